"""What tools may ask of a replica, over its port: configuration, history, members, status.

`docs/protocol/operators.md` lists methods, arguments and error codes. One request of a connection after
another; a watch takes its connection over.
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

WAIT = 10.0  # seconds that a request may take, if the tool names none
MAX_WAIT = 60.0
STALL = 5.0  # seconds that a tool may leave an answer unread
BEAT = 5.0  # seconds between two signs of life of a watch
IDLE = 300.0

Method = Callable[["OperatorApi", dict[str, Any], float], Awaitable[Any]]
MoreMethod = Callable[[dict[str, Any], float], Awaitable[Any]]


class BadRequestError(ValueError):
    """Arguments that make no sense; the text names the one."""


class OutcomeError(Exception):
    """An answer that is no success: a code of the page, and a text."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


def argument_text(arguments: dict[str, Any], name: str, default: str | None = None) -> str:
    """Raises `BadRequestError`, as the next one does."""
    value = arguments.get(name, default)
    if not isinstance(value, str):
        raise BadRequestError(f"argument {name} is no text: {value!r}")
    return value


def argument_number(arguments: dict[str, Any], name: str, default: int | None = None) -> int:
    value = arguments.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise BadRequestError(f"argument {name} is no number: {value!r}")
    return value


def _optional(arguments: dict[str, Any], name: str) -> int | None:
    return None if arguments.get(name) is None else argument_number(arguments, name)


def told(revision: Revision, *, text: bool = True) -> dict[str, Any]:
    row: dict[str, Any] = {
        "revision": revision.number,
        "author": revision.author,
        "note": revision.note,
        "at": revision.at,
    }
    return row | {"text": revision.text} if text else row


class OperatorApi:
    """Serves the tools of one replica."""

    def __init__(
        self, replica: Replica, counters: Counters, more: Mapping[str, MoreMethod] | None = None
    ) -> None:
        """`more`: methods of other parts of the program, beside the store's own."""
        self._replica, self._counters = replica, counters
        self._more = more or {}
        replica.transport.serve_tool = self.serve

    async def serve(self, stream: ByteStream, frames: Frames) -> None:
        while True:
            with anyio.fail_after(IDLE):
                request = wire.requests.read(await frames.next())
            self._counters.add("store.requests")
            if request.method == "watch":
                await self._watch(stream, request)
                return
            with anyio.fail_after(STALL + MAX_WAIT):
                await self._send(stream, await self._answer(request))

    async def _send(self, stream: ByteStream, response: Response) -> None:
        with anyio.fail_after(STALL):
            await stream.send(wire.frame(response))

    async def _answer(self, request: Request) -> Response:
        method, more = METHODS.get(request.method), self._more.get(request.method)
        if method is None and more is None:
            return Response(request.id, error="unknown_method", text=f"no method {request.method!r}")
        wait = request.arguments.get("wait", WAIT)
        if isinstance(wait, bool) or not isinstance(wait, int | float) or not 0 < wait <= MAX_WAIT:
            return Response(request.id, error="bad_request", text=f"argument wait makes no sense: {wait!r}")
        try:
            if method is None:
                assert more
                return Response(request.id, await more(request.arguments, float(wait)))
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

    async def _fresh(self, arguments: dict[str, Any], wait: float) -> None:
        """Unless the tool takes what is here, the leader shows that it is current first."""
        if not arguments.get("stale"):
            await self._replica.read(wait)

    async def get(self, arguments: dict[str, Any], wait: float) -> dict[str, Any]:
        await self._fresh(arguments, wait)
        number = _optional(arguments, "revision")
        machine = self._replica.node.state_machine
        revision = machine.latest if number is None else machine.revision(number)
        if revision is None:
            raise OutcomeError(
                "no_revision", f"revision {number} is not kept" if number else "there is none yet"
            )
        return told(revision)

    async def history(self, arguments: dict[str, Any], wait: float) -> list[dict[str, Any]]:
        await self._fresh(arguments, wait)
        most = argument_number(arguments, "most", 20)
        return [told(r, text=False) for r in self._replica.node.state_machine.history(most)]

    async def views(self, arguments: dict[str, Any], wait: float) -> dict[str, Any]:
        await self._fresh(arguments, wait)
        views = self._replica.node.state_machine.views
        fields = ("server", "number", "state", "size", "started", "zone", "address")
        return {
            name: {"at": view.at, "rows": [{f: getattr(row, f) for f in fields} for row in view.rows]}
            for name, view in views.items()
        }

    async def status(self, arguments: dict[str, Any], wait: float) -> dict[str, Any]:
        del arguments, wait
        return self._replica.status()

    async def _watch(self, stream: ByteStream, request: Request) -> None:
        """Every revision after `after`, in order, none missed or told twice; a beat when there is none."""
        try:
            last = argument_number(request.arguments, "after", 0)
        except BadRequestError as error:
            await self._send(stream, Response(request.id, error="bad_request", text=str(error)))
            return
        machine = self._replica.node.state_machine
        while True:
            machine = self._replica.node.state_machine
            latest = machine.latest.number if machine.latest else 0
            while last < latest:
                revision = machine.revision(last + 1)
                if revision is None:
                    text = f"revision {last + 1} is not kept any more; read the latest and watch from there"
                    await self._send(stream, Response(request.id, error="compacted", text=text))
                    return
                await self._send(stream, Response(request.id, told(revision), more=True))
                last += 1
            if machine.latest and machine.latest.number > last:
                continue
            await self._replica.wait_for_change(BEAT)
            if not machine.latest or machine.latest.number <= last:
                await self._send(stream, Response(request.id, {"latest": last}, more=True))

    # Changing

    async def set(self, arguments: dict[str, Any], wait: float) -> dict[str, Any]:
        text = argument_text(arguments, "text")
        read_store_config(text)  # the same reader as the file's, before anything is proposed
        if may_need_start_times(text):
            latest = self._replica.node.state_machine.latest
            text = await run_sync(with_start_times, text, latest.text if latest else "", time.time())
        body = Put(
            text,
            _optional(arguments, "expect"),
            argument_text(arguments, "author", ""),
            argument_text(arguments, "note", ""),
            time.time(),
        )
        return await self._change(arguments, body, wait)

    async def rollback(self, arguments: dict[str, Any], wait: float) -> dict[str, Any]:
        to = argument_number(arguments, "to")
        await self._replica.read(wait)
        old = self._replica.node.state_machine.revision(to)
        if old is None:
            raise OutcomeError("no_revision", f"revision {to} is not kept")
        read_store_config(old.text)  # this version may read differently from the one that took it
        body = RollBack(
            to,
            _optional(arguments, "expect"),
            argument_text(arguments, "author", ""),
            argument_text(arguments, "note", ""),
            time.time(),
        )
        return await self._change(arguments, body, wait)

    async def _change(self, arguments: dict[str, Any], body: Put | RollBack, wait: float) -> dict[str, Any]:
        session, number = argument_text(arguments, "session", ""), argument_number(arguments, "number", 0)
        return _result(await self._replica.change(Envelope(session, number, body), wait))

    async def add(self, arguments: dict[str, Any], wait: float) -> dict[str, Any]:
        name, where = argument_text(arguments, "replica"), argument_text(arguments, "address")
        peer_address(where, "address")
        return _result(await self._replica.add(name, where, wait))

    async def remove(self, arguments: dict[str, Any], wait: float) -> dict[str, Any]:
        name = argument_text(arguments, "replica")
        found: dict[str, Any] = {}
        if self._replica.node.raft.membership.get(name) or not self._replica.node.state_machine.absences.get(
            name
        ):
            found = _result(await self._replica.remove(name, wait))
        roster = self._replica.node.state_machine.absences
        if roster.get(name):  # for good: it is not taken back when it returns
            mark = SetMemberState(name, PRESENT, roster.version, why="removed by hand")
            answer = await self._replica.change(Envelope("", 0, mark), wait)
            if not isinstance(answer, StepApplied):
                raise OutcomeError(
                    "conflict", f"the roster changed meanwhile ({answer}): remove {name} again"
                )
            found = found or {"index": answer.index}
        return found

    async def transfer(self, arguments: dict[str, Any], wait: float) -> dict[str, Any]:
        await self._replica.transfer(argument_text(arguments, "replica"), wait)
        return {"leader": self._replica.node.raft.leader}

    async def snapshot(self, arguments: dict[str, Any], wait: float) -> dict[str, Any]:
        del arguments
        return {"index": await self._replica.snapshot(wait)}


def _result(answer: Answer) -> dict[str, Any]:
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
            raise OutcomeError("lost", "the leader has gone; whether it took effect is not known: ask again")


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
