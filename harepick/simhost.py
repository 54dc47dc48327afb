"""Runs isolated controllers for the simulator, over standard input and output.

The protocol is one JSON array per line; a batch of messages stands between `Frame` and `Go`. This module only
translates between messages and events or actions; `harepick.decide` makes every decision.
"""

from __future__ import annotations

import base64
import json
import sys
from collections.abc import Callable, Mapping
from typing import Any, TextIO

from harepick import interface
from harepick.decide import Controller
from harepick.settings import read_settings

# Outcome codes of the protocol.
OUTCOMES_BY_CODE = {
    0: interface.Outcome.OK,
    13: interface.Outcome.ERROR,
    8: interface.Outcome.FULL,
    4: interface.Outcome.TIMEOUT,
    14: interface.Outcome.UNREACHED,
    10: interface.Outcome.RESET,
    1: interface.Outcome.CANCELLED,
    9: interface.Outcome.MOOT,
}
# Least number of values that follow the name of each message; further ones are ignored.
MIN_VALUE_COUNTS = {
    "Frame": 2,
    "Go": 0,
    "OpenInstance": 3,
    "Halt": 1,
    "Census": 2,
    "Targets": 4,
    "Ingress": 11,
    "Flowing": 5,
    "Settled": 9,
    "CancelledByClient": 2,
    "Alarm": 2,
    "Health": 5,
    "Memo": 3,
}


class WireError(Exception):
    """A line that violates the simulator's protocol."""


class Host:
    """The instances of one process; each has its own controller and is isolated from the others."""

    def __init__(self) -> None:
        self._controllers: dict[int, Controller] = {}
        self._report_fields: dict[int, tuple[str, ...]] = {}
        self._server_lists: dict[int, tuple[interface.ServerEntry, ...]] = {}
        self._failures: dict[int, str] = {}
        self._events: dict[str, Callable[[list[Any]], interface.Event]] = {
            "Targets": self._server_list,
            "Ingress": self._call_arrived,
            # `CallStands` has the last two values of the message in the opposite order.
            "Flowing": lambda message: interface.CallStands(message[2], message[3], message[5], message[4]),
            "Settled": self._attempt_ended,
            "CancelledByClient": lambda message: interface.CallerLeft(message[2]),
            "Alarm": lambda message: interface.Woken(message[2]),
            "Health": lambda message: interface.Probed(
                message[2],
                _parse_outcome(message[3]),
                message[4] or 0.0,
                self._report(message[1], message[5]),
            ),
            "Memo": self._peer_note,
        }

    def batch(self, now: float, messages: list[list[Any]]) -> list[list[Any]]:
        """Handles one batch at clock time `now` and returns the replies in order.

        An error in one controller stops that instance alone and is reported as an `Exception` reply.
        """
        replies: list[list[Any]] = []
        pending_events: list[tuple[int, list[interface.Event]]] = []
        for message in messages:
            name = message[0]
            if name == "Census":
                self._server_lists[message[1]] = tuple(_parse_entry(row) for row in message[2])
                continue
            instance = message[1]
            if name in ("OpenInstance", "Halt"):
                self._step_controllers(now, pending_events, replies)
                self._controllers.pop(instance, None)
                self._failures.pop(instance, None)
                if name == "OpenInstance":
                    self._open_instance(now, message, replies)
            elif instance in self._controllers:
                event = self._events[name](message)
                # Consecutive messages for one instance are handled in one step.
                if pending_events and pending_events[-1][0] == instance:
                    pending_events[-1][1].append(event)
                else:
                    pending_events.append((instance, [event]))
            # Messages for an instance that has stopped or failed are ignored.
        self._step_controllers(now, pending_events, replies)
        return replies

    def _open_instance(self, now: float, message: list[Any], replies: list[list[Any]]) -> None:
        instance, seed, options = message[1:]
        try:
            settings = read_settings(options)
            controller = Controller(settings, seed, now)
        except Exception as error:
            print(f"harepick: instance {instance}: {error}", file=sys.stderr)
            self._failures[instance] = str(error)
            replies.append(["Exception", instance, str(error)])
            return
        self._controllers[instance] = controller
        self._report_fields[instance] = settings.report_fields
        replies += [_reply(instance, action) for action in controller.start()]

    def _step_controllers(
        self, now: float, pending_events: list[tuple[int, list[interface.Event]]], replies: list[list[Any]]
    ) -> None:
        for instance, events in pending_events:
            if instance not in self._controllers:
                continue
            try:
                actions = self._controllers[instance].step(now, events)
            except Exception as error:
                text = f"{type(error).__name__}: {error}"
                print(f"harepick: instance {instance}: {text}", file=sys.stderr)
                del self._controllers[instance]
                self._failures[instance] = text
                replies.append(["Exception", instance, text])
                continue
            replies += [_reply(instance, action) for action in actions]
        pending_events.clear()

    def _server_list(self, message: list[Any]) -> interface.Event:
        kind = interface.ListKind(message[3])
        if kind is interface.ListKind.REFUSED:
            return interface.ServerList(kind)
        if message[2] not in self._server_lists:
            raise WireError(f"Targets: list {message[2]} was never sent")
        return interface.ServerList(kind, self._server_lists[message[2]])

    def _call_arrived(self, message: list[Any]) -> interface.Event:
        flags = message[9] or 0  # bits: 2 for a redial, 8 for a call in transit
        tenant = message[8] if isinstance(message[8], str) else ""
        return interface.CallArrived(
            call=message[2],
            destination=-1 if message[3] is None else message[3],
            deadline=message[6],
            class_name=message[10] or "",
            tenant=tenant,
            redial=bool(flags & 2),
            in_transit=bool(flags & 8),
            number=message[5],
        )

    def _attempt_ended(self, message: list[Any]) -> interface.Event:
        # The low four bits hold the cause; above them cause 3 has the wait in milliseconds.
        cause = message[8] or 0
        return interface.AttemptEnded(
            call=message[2],
            attempt=message[3],
            server=message[4],
            outcome=_parse_outcome(message[5]),
            elapsed=message[6] or 0.0,
            final=bool(message[7]),
            cause=cause & 15,
            told_wait=(cause >> 4) / 1000.0 if cause & 15 == 3 else 0.0,
            report=self._report(message[1], message[9]),
        )

    def _peer_note(self, message: list[Any]) -> interface.Event:
        return interface.PeerNote(message[2], base64.b64decode(message[3] or ""))

    def _report(self, instance: int, values: Any) -> Mapping[str, float]:
        if not values:
            return {}
        if isinstance(values, Mapping):
            return {
                key: value for key, value in values.items() if isinstance(value, int | float) and value >= 0
            }
        if values and isinstance(values[0], list):
            return {key: value for key, value in values if isinstance(value, int | float) and value >= 0}
        return {
            key: value
            # A report may be shorter than the configured fields.
            for key, value in zip(self._report_fields[instance], values, strict=False)
            if value is not None and value >= 0
        }


def _parse_outcome(code: Any) -> interface.Outcome:
    try:
        return OUTCOMES_BY_CODE[code]
    except (KeyError, TypeError):
        raise WireError(f"unknown outcome {code!r}") from None


def _parse_entry(row: list[Any]) -> interface.ServerEntry:
    server, zone, _, number, state, size, started = row[:7]
    return interface.ServerEntry(
        server, number, state, 1.0 if size is None else size, started or 0.0, zone or ""
    )


def _reply(instance: int, action: interface.Action) -> list[Any]:
    match action:
        case interface.Send(call, server, timeout):
            return ["Place", instance, call, server, timeout]
        case interface.WakeAfter(delay, token):
            return ["WakeMe", instance, delay, token]
        case interface.Refuse(call, come_back):
            return ["Reject", instance, call, come_back]
        case interface.Fail(call):
            return ["Abort", instance, call]
        case interface.Cancel(call, attempt):
            return ["Revoke", instance, call, attempt]
        case interface.Log(text):
            return ["Record", instance, text]
        case interface.Probe(server):
            return ["Touch", instance, server]
        case interface.Tell(data, peer):
            return ["Signal", instance, peer, base64.b64encode(data).decode()]
        case interface.Subscribe(active):
            return ["Listen", instance, active]
    raise WireError(f"unknown action {action!r}")


def parse(line: str) -> list[Any]:
    """Parses one line; raises `WireError` if it is malformed."""
    try:
        message = json.loads(line)
    except ValueError:
        raise WireError(f"not JSON: {line[:80].strip()!r}") from None
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise WireError(f"not a message: {line[:80].strip()!r}")
    name = message[0]
    if name not in MIN_VALUE_COUNTS:
        raise WireError(f"unknown message {name}")
    if len(message) - 1 < MIN_VALUE_COUNTS[name]:
        raise WireError(f"{name}: {len(message) - 1} values, {MIN_VALUE_COUNTS[name]} wanted")
    return message


def serve(source: TextIO, sink: TextIO) -> None:
    """Answers batches from `source` until it ends; raises `WireError` at the first bad line."""
    host = Host()
    frame: list[Any] | None = None
    messages: list[list[Any]] = []
    for line in source:
        message = parse(line)
        if message[0] == "Frame":
            if frame is not None:
                raise WireError("Frame: the batch before has no Go")
            frame, messages = message, []
        elif frame is None:
            raise WireError(f"{message[0]}: outside of a batch")
        elif message[0] == "Go":
            replies = host.batch(float(frame[1]), messages)
            lines = [json.dumps(reply, separators=(",", ":")) for reply in replies]
            lines.append(json.dumps(["Ok", frame[2]], separators=(",", ":")))
            sink.write("\n".join(lines) + "\n")
            sink.flush()
            frame = None
        else:
            messages.append(message)
    if frame is not None:
        raise WireError("the input ended within a batch")


def main() -> int:
    """Entry point of the command in deploy/balancer.toml; returns the exit status."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"harepick: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
