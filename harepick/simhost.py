"""Runs many isolated controllers on the line wire (one JSON array a line) over standard input and output.

This file translates and nothing more: every decision is made in `harepick.decide`.
"""

from __future__ import annotations

import base64
import json
import sys
from collections.abc import Callable, Mapping
from typing import Any, TextIO

from harepick import interface as i
from harepick.decide import Controller
from harepick.settings import read_settings

OUTCOMES = {
    0: i.Outcome.OK,
    13: i.Outcome.ERROR,
    8: i.Outcome.FULL,
    4: i.Outcome.TIMEOUT,
    14: i.Outcome.UNREACHED,
    10: i.Outcome.RESET,
    1: i.Outcome.CANCELLED,
    9: i.Outcome.MOOT,
}
# Values that follow each message's name.
COUNTS = {
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
    """A line that the wire does not allow."""


class Host:
    """The instances of one process; each has its own controller and knows nothing of the others."""

    def __init__(self) -> None:
        self._controllers: dict[int, Controller] = {}
        self._fields: dict[int, tuple[str, ...]] = {}
        self._lists: dict[int, tuple[i.ServerEntry, ...]] = {}
        self._failed: dict[int, str] = {}
        self._events: dict[str, Callable[[list[Any]], i.Event]] = {
            "Targets": self._targets,
            "Ingress": self._ingress,
            "Flowing": lambda m: i.CallStands(m[2], m[3], m[5], m[4]),
            "Settled": self._settled,
            "CancelledByClient": lambda m: i.CallerLeft(m[2]),
            "Alarm": lambda m: i.Woken(m[2]),
            "Health": lambda m: i.Probed(m[2], _outcome(m[3]), m[4] or 0.0, self._report(m[1], m[5])),
            "Memo": self._memo,
        }

    def batch(self, now: float, messages: list[list[Any]]) -> list[list[Any]]:
        """The replies to one batch, in order."""
        replies: list[list[Any]] = []
        runs: list[tuple[int, list[i.Event]]] = []
        for message in messages:
            name = message[0]
            if name == "Census":
                self._lists[message[1]] = tuple(_entry(row) for row in message[2])
                continue
            front = message[1]
            if name in ("OpenInstance", "Halt"):
                self._run(now, runs, replies)
                self._controllers.pop(front, None)
                self._failed.pop(front, None)
                if name == "OpenInstance":
                    self._open(now, message, replies)
            elif front in self._controllers:
                event = self._events[name](message)
                if runs and runs[-1][0] == front:
                    runs[-1][1].append(event)
                else:
                    runs.append((front, [event]))
            # Anything else is for an instance that has stopped or failed: passed over.
        self._run(now, runs, replies)
        return replies

    def _open(self, now: float, message: list[Any], replies: list[list[Any]]) -> None:
        front, seed, options = message[1:]
        try:
            settings = read_settings(options)
            controller = Controller(settings, seed, now)
        except Exception as error:
            print(f"harepick: instance {front}: {error}", file=sys.stderr)
            self._failed[front] = str(error)
            replies.append(["Exception", front, str(error)])
            return
        self._controllers[front] = controller
        self._fields[front] = settings.report_fields
        replies += [_wire(front, action) for action in controller.start()]

    def _run(self, now: float, runs: list[tuple[int, list[i.Event]]], replies: list[list[Any]]) -> None:
        for front, events in runs:
            if front not in self._controllers:
                continue
            try:
                actions = self._controllers[front].step(now, events)
            except Exception as error:
                text = f"{type(error).__name__}: {error}"
                print(f"harepick: instance {front}: {text}", file=sys.stderr)
                del self._controllers[front]
                self._failed[front] = text
                replies.append(["Exception", front, text])
                continue
            replies += [_wire(front, action) for action in actions]
        runs.clear()

    def _targets(self, m: list[Any]) -> i.Event:
        kind = i.ListKind(m[3])
        if kind is i.ListKind.REFUSED:
            return i.ServerList(kind)
        if m[2] not in self._lists:
            raise WireError(f"Targets: list {m[2]} was never sent")
        return i.ServerList(kind, self._lists[m[2]])

    def _ingress(self, m: list[Any]) -> i.Event:
        flags = m[9] or 0
        tenant = m[8] if isinstance(m[8], str) else ""
        return i.CallArrived(
            call=m[2],
            destination=-1 if m[3] is None else m[3],
            deadline=m[6],
            class_name=m[10] or "",
            tenant=tenant,
            redial=bool(flags & 2),
            in_transit=bool(flags & 8),
            number=m[5],
        )

    def _settled(self, m: list[Any]) -> i.Event:
        cause = m[8] or 0
        return i.AttemptEnded(
            call=m[2],
            attempt=m[3],
            server=m[4],
            outcome=_outcome(m[5]),
            elapsed=m[6] or 0.0,
            final=bool(m[7]),
            cause=cause & 15,
            told_wait=(cause >> 4) / 1000.0 if cause & 15 == 3 else 0.0,
            report=self._report(m[1], m[9]),
        )

    def _memo(self, m: list[Any]) -> i.Event:
        return i.PeerNote(m[2], base64.b64decode(m[3] or ""))

    def _report(self, front: int, usage: Any) -> Mapping[str, float]:
        if not usage:
            return {}
        if isinstance(usage, Mapping):
            return {k: v for k, v in usage.items() if isinstance(v, int | float) and v >= 0}
        if usage and isinstance(usage[0], list):
            return {k: v for k, v in usage if isinstance(v, int | float) and v >= 0}
        return {k: v for k, v in zip(self._fields[front], usage, strict=False) if v is not None and v >= 0}


def _outcome(code: Any) -> i.Outcome:
    try:
        return OUTCOMES[code]
    except (KeyError, TypeError):
        raise WireError(f"unknown outcome {code!r}") from None


def _entry(row: list[Any]) -> i.ServerEntry:
    server, zone, _, number, state, size, started = row[:7]
    return i.ServerEntry(server, number, state, 1.0 if size is None else size, started or 0.0, zone or "")


def _wire(front: int, action: i.Action) -> list[Any]:
    match action:
        case i.Send(call, server, timeout):
            return ["Place", front, call, server, timeout]
        case i.WakeAfter(delay, token):
            return ["WakeMe", front, delay, token]
        case i.Refuse(call, come_back):
            return ["Reject", front, call, come_back]
        case i.Fail(call):
            return ["Abort", front, call]
        case i.Cancel(call, attempt):
            return ["Revoke", front, call, attempt]
        case i.Log(text):
            return ["Record", front, text]
        case i.Probe(server):
            return ["Touch", front, server]
        case i.Tell(data, peer):
            return ["Signal", front, peer, base64.b64encode(data).decode()]
        case i.Subscribe(active):
            return ["Listen", front, active]
    raise WireError(f"unknown action {action!r}")


def parse(line: str) -> list[Any]:
    """One line of the wire; raises `WireError` with what is wrong."""
    try:
        message = json.loads(line)
    except ValueError:
        raise WireError(f"not JSON: {line[:80].strip()!r}") from None
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise WireError(f"not a message: {line[:80].strip()!r}")
    name = message[0]
    if name not in COUNTS:
        raise WireError(f"unknown message {name}")
    if len(message) - 1 < COUNTS[name]:
        raise WireError(f"{name}: {len(message) - 1} values, {COUNTS[name]} wanted")
    return message


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends."""
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
    """Entry point of the command in deploy/balancer.toml."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"harepick: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
