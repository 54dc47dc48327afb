"""A tool's side of the operators' port: finds the leader, repeats what is safe to repeat, gives up in time.

A change is repeated only under the session and number that it was first sent with, so that it takes effect
once.
"""

from __future__ import annotations

import secrets
from collections.abc import AsyncIterator, Sequence
from typing import Any

import anyio
from anyio.abc import ByteStream

from harepick.settings import Address, parse_address
from harepick.store import wire
from harepick.store.transport import open_stream
from harepick.store.wire import CONNECTION_ERRORS, Frames, Hello, Request, Response, WireError

TRY = 1.5  # seconds for one replica to welcome us
# Seconds for one replica to answer what may be repeated. A leader that hangs keeps its connections open and
# says nothing; the others have another leader long before a tool's own time is over.
PATIENCE = 4.0
PAUSE = 0.1  # seconds between two rounds through the replicas
AGAIN = ("not_leader", "busy", "lost", "unavailable")
NUMBERED = ("set", "rollback", "maint_request", "maint_cancel", "maint_done", "verdict_judge", "verdict_lift")
BEATS = 12.0  # seconds without a sign of life after which a watch is begun anew


class StoreError(Exception):
    """The store's answer, or the want of one: `code` as on the protocol page, or `no_answer`."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class _Line:
    """One connection to one replica."""

    def __init__(self, stream: ByteStream) -> None:
        self.stream, self.frames, self._last = stream, Frames(stream), 0

    async def hello(self, cluster: str) -> None:
        await self.stream.send(wire.frame(Hello("tool", cluster)))
        welcome = wire.welcomes.read(await self.frames.next())
        if welcome.error:
            raise StoreError("turned_away", f"{welcome.replica}: {welcome.error}")
        self.frames.most = wire.MAX_FRAME

    async def ask(self, method: str, arguments: dict[str, Any]) -> int:
        self._last += 1
        await self.stream.send(wire.frame(Request(self._last, method, arguments)))
        return self._last

    async def hear(self, number: int) -> Response:
        response = wire.responses.read(await self.frames.next())
        if response.id != number:
            raise WireError(f"an answer to {response.id}, {number} was asked")
        return response


class StoreClient:
    """Speaks to a cluster through any of its `addresses`. Not for several tasks at once."""

    def __init__(self, cluster: str, addresses: Sequence[Address]) -> None:
        self._cluster = cluster
        self._addresses = list(addresses)
        self._line: _Line | None = None
        self._at: Address | None = None
        self.session = secrets.token_hex(8)
        self._number = 0

    async def __aenter__(self) -> StoreClient:
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.close()

    async def close(self) -> None:
        line, self._line, self._at = self._line, None, None
        if line:
            with anyio.move_on_after(0.5, shield=True):
                await line.stream.aclose()

    def repeat_last(self) -> None:
        """The next `set` or `rollback` repeats the last, whose fate is not known: it takes effect once."""
        self._number -= 1

    async def _connect(self, where: Address) -> _Line:
        if self._line and self._at == where:
            return self._line
        await self.close()
        with anyio.fail_after(TRY):
            line = _Line(await open_stream(where))
            try:
                await line.hello(self._cluster)
            except BaseException:
                with anyio.move_on_after(0.5, shield=True):
                    await line.stream.aclose()
                raise
        self._line, self._at = line, where
        return line

    async def call(self, method: str, arguments: dict[str, Any] | None = None, within: float = 10.0) -> Any:
        """The result, from whichever replica can give it; raises `StoreError`.

        What may be repeated is; changes under their session and number, so that they take effect once."""
        sent = dict(arguments or {})
        if method in NUMBERED:
            self._number += 1
            sent |= {"session": self.session, "number": self._number}
        once = method in ("add", "remove", "transfer")
        deadline = anyio.current_time() + within
        last = StoreError("no_answer", f"no replica answers in {within:g} s; is one running?")
        hints: list[Address] = [self._at] if self._at else []
        tried = 0
        while (left := deadline - anyio.current_time()) > 0:
            where = hints.pop() if hints else self._addresses[tried % len(self._addresses)]
            asked = False
            try:
                most = left if once else min(left, PATIENCE)
                with anyio.fail_after(most):
                    line = await self._connect(where)
                    asked = True
                    # It gives up a little earlier than we do, so that its answer is heard.
                    wait = max(0.05, min(0.9 * most, 55.0))
                    number = await line.ask(method, sent | {"wait": wait})
                    response = await line.hear(number)
            except CONNECTION_ERRORS as error:
                await self.close()
                if once and asked:
                    raise StoreError(
                        "lost", f"{where} went away; look whether it took effect before you ask again"
                    ) from None
                if last.code == "no_answer":
                    last = StoreError("no_answer", f"{where}: {type(error).__name__}: {error}".rstrip(": "))
            else:
                if not response.error:
                    return response.result
                last = StoreError(response.error, response.text)
                if response.error not in AGAIN or (once and response.error in ("lost", "unavailable")):
                    raise last
                if response.leader:
                    hints.append(parse_address(response.leader, "leader"))
                    if tried < 20:
                        tried += 1
                        if tried % 4:
                            continue
            if not hints:
                tried += 1
            await anyio.sleep(min(PAUSE, max(0.0, deadline - anyio.current_time())))
        raise last

    async def watch(self, after: int = 0) -> AsyncIterator[dict[str, Any]]:
        """Revisions after that one, for ever, across lost connections; raises `StoreError` on `compacted`."""
        tried = 0
        while True:
            try:
                line = await self._connect(self._addresses[tried % len(self._addresses)])
                number = await line.ask("watch", {"after": after})
                while True:
                    with anyio.fail_after(BEATS):
                        response = await line.hear(number)
                    if response.error:
                        raise StoreError(response.error, response.text)
                    if "revision" in response.result and response.result["revision"] > after:
                        after = response.result["revision"]
                        yield response.result
            except CONNECTION_ERRORS:
                tried += 1
                await self.close()
                await anyio.sleep(PAUSE)
