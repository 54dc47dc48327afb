"""Serves tools on the operators' port: configuration, history, members, status.

`docs/protocol/operators.md` lists methods, arguments and error codes. The requests of a connection are served
one after another; a watch occupies its connection until it is closed.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import anyio
from anyio.abc import ByteStream
from anyio.to_thread import run_sync

from harepick.counters import Counters
from harepick.fleet.membership.absences import PRESENT, SetMemberState
from harepick.gapping.start_times import may_need_start_times, with_start_times
from harepick.settings import SettingsError, read_store_config
from harepick.store import wire
from harepick.store.node import Answer
from harepick.store.raft.core import BadChangeError, BusyError, NotLeaderError
from harepick.store.replica import Replica, StoreUnavailableError
from harepick.store.settings import peer_address
from harepick.store.state_machine import (
    Conflict,
    Done,
    Envelope,
    Put,
    Refused,
    Revision,
    RollBack,
    StepApplied,
)
from harepick.store.wire import Frames, Request, Response

DEFAULT_WAIT_S = 10.0  # for a request without the argument `wait`
MAX_WAIT_S = 60.0
SEND_TIMEOUT_S = 5.0  # for one answer to a tool that does not read
HEARTBEAT_INTERVAL_S = 5.0  # of a watch without new revisions
IDLE_TIMEOUT_S = 300.0  # a connection without a request for this long is closed

Method = Callable[["OperatorApi", dict[str, Any], float], Awaitable[Any]]
ExtraMethod = Callable[[dict[str, Any], float], Awaitable[Any]]


class BadRequestError(ValueError):
    """Invalid arguments of a request; the text names the argument."""


class OutcomeError(Exception):
    """A request that failed: an error code of the protocol page and a text."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


def argument_text(arguments: dict[str, Any], name: str, default: str | None = None) -> str:
    """Returns a text argument; raises `BadRequestError` if it is missing without a default, or no text."""
    value = arguments.get(name, default)
    if not isinstance(value, str):
        raise BadRequestError(f"argument {name} is no text: {value!r}")
    return value


def argument_number(arguments: dict[str, Any], name: str, default: int | None = None) -> int:
    """Returns an integer argument of at least 0; raises `BadRequestError` otherwise."""
    value = arguments.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise BadRequestError(f"argument {name} is no number: {value!r}")
    return value


def _optional_number(arguments: dict[str, Any], name: str) -> int | None:
    return None if arguments.get(name) is None else argument_number(arguments, name)


def revision_row(revision: Revision, *, text: bool = True) -> dict[str, Any]:
    """Returns a revision as tools get it; `at` is Unix time in seconds."""
    row: dict[str, Any] = {
        "revision": revision.number,
        "author": revision.author,
        "note": revision.note,
        "at": revision.at,
    }
    return row | {"text": revision.text} if text else row


class OperatorApi:
    """Serves the tools that are connected to one replica.

    A method takes the arguments of a request and its timeout in seconds, and returns the result.
    """

    def __init__(
        self, replica: Replica, counters: Counters, extra_methods: Mapping[str, ExtraMethod] | None = None
    ) -> None:
        """`extra_methods`: methods of other parts of the program, in addition to the store's own."""
        self._replica, self._counters = replica, counters
        self._extra_methods = extra_methods or {}
        replica.transport.serve_tool = self.serve

    async def serve(self, stream: ByteStream, frames: Frames) -> None:
        """Serves one connection after its handshake; raises `TimeoutError` if the tool stalls."""
        while True:
            request = wire.request_decoder.read(await frames.next_request(IDLE_TIMEOUT_S))
            self._counters.add("store.requests")
            if request.method == "watch":
                await self._watch(stream, request)
                return
            with anyio.fail_after(SEND_TIMEOUT_S + MAX_WAIT_S):
                await self._send(stream, await self._answer(request))

    async def _send(self, stream: ByteStream, response: Response) -> None:
        with anyio.fail_after(SEND_TIMEOUT_S):
            await stream.send(wire.frame(response))

    async def _answer(self, request: Request) -> Response:
        method, extra_method = METHODS.get(request.method), self._extra_methods.get(request.method)
        if method is None and extra_method is None:
            return Response(request.id, error="unknown_method", text=f"no method {request.method!r}")
        wait = request.arguments.get("wait", DEFAULT_WAIT_S)
        if isinstance(wait, bool) or not isinstance(wait, int | float) or not 0 < wait <= MAX_WAIT_S:
            return Response(
                request.id, error="bad_request", text=f"argument wait is no number in range: {wait!r}"
            )
        try:
            if method is None:
                assert extra_method
                return Response(request.id, await extra_method(request.arguments, float(wait)))
            return Response(request.id, await method(self, request.arguments, float(wait)))
        except NotLeaderError as error:
            return Response(
                request.id, error="not_leader", text=str(error), leader=self._replica.leader_address()
            )
        except BusyError as error:
            return Response(request.id, error="busy", text=str(error))
        except StoreUnavailableError as error:
            return Response(request.id, error="unavailable", text=str(error))
        except SettingsError as error:
            return Response(request.id, error="invalid", text=str(error))
        except (BadRequestError, BadChangeError) as error:
            return Response(request.id, error="bad_request", text=str(error))
        except OutcomeError as error:
            return Response(request.id, error=error.code, text=str(error))

    # Reading

    async def _ensure_current(self, arguments: dict[str, Any], timeout: float) -> None:
        """Makes the leader confirm its leadership before a read, unless the tool accepts a stale answer."""
        if not arguments.get("stale"):
            await self._replica.read(timeout)

    async def get(self, arguments: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Returns the revision `revision`, by default the latest."""
        await self._ensure_current(arguments, timeout)
        number = _optional_number(arguments, "revision")
        state_machine = self._replica.node.state_machine
        revision = state_machine.latest if number is None else state_machine.revision(number)
        if revision is None:
            raise OutcomeError(
                "no_revision", f"revision {number} is not kept" if number else "there is no revision yet"
            )
        return revision_row(revision)

    async def history(self, arguments: dict[str, Any], timeout: float) -> list[dict[str, Any]]:
        """Returns the latest revisions without their texts."""
        await self._ensure_current(arguments, timeout)
        most = argument_number(arguments, "most", 20)
        return [
            revision_row(revision, text=False) for revision in self._replica.node.state_machine.history(most)
        ]

    async def views(self, arguments: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Returns the stored pool view of each instance."""
        await self._ensure_current(arguments, timeout)
        views = self._replica.node.state_machine.views
        fields = ("server", "number", "state", "size", "started", "zone", "address")
        return {
            name: {
                "at": view.at,
                "rows": [{field: getattr(row, field) for field in fields} for row in view.rows],
            }
            for name, view in views.items()
        }

    async def status(self, arguments: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Returns the status of this replica."""
        del arguments, timeout
        return self._replica.status()

    async def _watch(self, stream: ByteStream, request: Request) -> None:
        """Sends each revision after `after` once and in order, and heartbeats while there are no new ones."""
        try:
            last = argument_number(request.arguments, "after", 0)
        except BadRequestError as error:
            await self._send(stream, Response(request.id, error="bad_request", text=str(error)))
            return
        state_machine = self._replica.node.state_machine
        while True:
            state_machine = self._replica.node.state_machine
            latest = state_machine.latest.number if state_machine.latest else 0
            while last < latest:
                revision = state_machine.revision(last + 1)
                if revision is None:
                    text = f"revision {last + 1} is not kept any more; read the latest and watch from there"
                    await self._send(stream, Response(request.id, error="compacted", text=text))
                    return
                await self._send(stream, Response(request.id, revision_row(revision), more=True))
                last += 1
            if state_machine.latest and state_machine.latest.number > last:
                continue
            await self._replica.wait_for_change(HEARTBEAT_INTERVAL_S)
            if not state_machine.latest or state_machine.latest.number <= last:
                await self._send(stream, Response(request.id, {"latest": last}, more=True))

    # Changing

    async def set(self, arguments: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Checks a configuration and stores it as the next revision."""
        text = argument_text(arguments, "text")
        read_store_config(text)  # checked by the reader that adopts it, before it is proposed
        if may_need_start_times(text):
            latest = self._replica.node.state_machine.latest
            text = await run_sync(with_start_times, text, latest.text if latest else "", time.time())
        body = Put(
            text,
            _optional_number(arguments, "expect"),
            argument_text(arguments, "author", ""),
            argument_text(arguments, "note", ""),
            time.time(),
        )
        return await self._change(arguments, body, timeout)

    async def rollback(self, arguments: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Stores the text of an earlier revision as the next one."""
        target = argument_number(arguments, "to")
        await self._replica.read(timeout)
        restored = self._replica.node.state_machine.revision(target)
        if restored is None:
            raise OutcomeError("no_revision", f"revision {target} is not kept")
        # Checked again: the version of the program that accepted it may have had other rules.
        read_store_config(restored.text)
        body = RollBack(
            target,
            _optional_number(arguments, "expect"),
            argument_text(arguments, "author", ""),
            argument_text(arguments, "note", ""),
            time.time(),
        )
        return await self._change(arguments, body, timeout)

    async def _change(
        self, arguments: dict[str, Any], body: Put | RollBack, timeout: float
    ) -> dict[str, Any]:
        session, number = argument_text(arguments, "session", ""), argument_number(arguments, "number", 0)
        return _result(await self._replica.change(Envelope(session, number, body), timeout))

    async def add(self, arguments: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Adds a member."""
        name, address = argument_text(arguments, "replica"), argument_text(arguments, "address")
        peer_address(address, "address")
        return _result(await self._replica.add(name, address, timeout))

    async def remove(self, arguments: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Removes a member, also from the list of absent members."""
        name = argument_text(arguments, "replica")
        result: dict[str, Any] = {}
        if self._replica.node.raft.membership.get(name) or not self._replica.node.state_machine.absences.get(
            name
        ):
            result = _result(await self._replica.remove(name, timeout))
        absences = self._replica.node.state_machine.absences
        if absences.get(name):  # off the list, it is not added again when it returns
            command = SetMemberState(name, PRESENT, absences.version, why="removed by hand")
            answer = await self._replica.change(Envelope("", 0, command), timeout)
            if not isinstance(answer, StepApplied):
                raise OutcomeError(
                    "conflict",
                    f"the list of absent members changed meanwhile ({answer}): remove {name} again",
                )
            result = result or {"index": answer.index}
        return result

    async def transfer(self, arguments: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Transfers the leadership to another member."""
        await self._replica.transfer(argument_text(arguments, "replica"), timeout)
        return {"leader": self._replica.node.raft.leader}

    async def snapshot(self, arguments: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Writes a snapshot and returns its index once it is durable."""
        del arguments
        return {"index": await self._replica.snapshot(timeout)}


def _result(answer: Answer) -> dict[str, Any]:
    """Turns the node's answer to a change into a result; raises `OutcomeError` unless it took effect."""
    match answer:
        case Done(revision, index):
            return {"revision": revision, "index": index}
        case Conflict(expected, latest):
            raise OutcomeError("conflict", f"revision {expected} was expected, and {latest} is the latest")
        case Refused(why):
            raise OutcomeError("refused", why)
        case int():
            return {"index": answer}
        case _:
            raise OutcomeError("lost", "leadership was lost; whether it took effect is not known: try again")


METHODS: dict[str, Method] = {
    "get": OperatorApi.get,
    "history": OperatorApi.history,
    "views": OperatorApi.views,
    "status": OperatorApi.status,
    "set": OperatorApi.set,
    "rollback": OperatorApi.rollback,
    "add": OperatorApi.add,
    "remove": OperatorApi.remove,
    "transfer": OperatorApi.transfer,
    "snapshot": OperatorApi.snapshot,
}
