"""Client of the operators' port: finds the leader, retries what is safe to retry, and keeps a deadline.

A change is retried only under the session and number that it was first sent with, so that it takes effect
at most once.
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

CONNECT_TIMEOUT_S = 1.5  # for connecting to one replica, with the handshake
# For one replica's answer to a request that may be retried. A leader that hangs keeps its connections open
# without answering, while the other replicas elect a new leader long before the tool's own deadline.
REPLY_TIMEOUT_S = 4.0
ROUND_PAUSE_S = 0.1  # between two attempts
# A leader named by an error answer is tried without a pause, except after every fourth attempt of a `call`.
ATTEMPTS_PER_PAUSE = 4
MAX_ATTEMPTS_WITHOUT_PAUSE = 20  # of a `call`; from then on there is a pause after each
RETRIABLE_ERRORS = ("not_leader", "busy", "lost", "unavailable")
NUMBERED_METHODS = (
    "set",
    "rollback",
    "maint_request",
    "maint_cancel",
    "maint_done",
    "verdict_judge",
    "verdict_lift",
)
WATCH_TIMEOUT_S = 12.0  # a watch without a revision or heartbeat for this long is started again


class StoreError(Exception):
    """An error answer of the store, or none in time.

    `code` is an error code of the protocol page, or `no_answer`, `lost` or `turned_away`.
    """

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class _Connection:
    """A connection to one replica."""

    def __init__(self, stream: ByteStream) -> None:
        self.stream, self.frames, self._last_number = stream, Frames(stream), 0

    async def hello(self, cluster: str) -> None:
        """Does the handshake; raises `StoreError` if the replica refuses the connection."""
        await self.stream.send(wire.frame(Hello("tool", cluster)))
        welcome = wire.welcome_decoder.read(await self.frames.next())
        if welcome.error:
            raise StoreError("turned_away", f"{welcome.replica}: {welcome.error}")
        self.frames.max_size = wire.MAX_FRAME

    async def request(self, method: str, arguments: dict[str, Any]) -> int:
        """Sends a request and returns its number."""
        self._last_number += 1
        await self.stream.send(wire.frame(Request(self._last_number, method, arguments)))
        return self._last_number

    async def receive(self, number: int) -> Response:
        """Waits for an answer to request `number`; raises `WireError` for one to another request."""
        response = wire.response_decoder.read(await self.frames.next())
        if response.id != number:
            raise WireError(f"answer to request {response.id} instead of {number}")
        return response


class StoreClient:
    """Client of a cluster, reached through any of `addresses`; for use by one task at a time."""

    def __init__(self, cluster: str, addresses: Sequence[Address]) -> None:
        self._cluster = cluster
        self._addresses = list(addresses)
        self._connection: _Connection | None = None
        self._connected_to: Address | None = None
        self.session = secrets.token_hex(8)
        self._number = 0

    async def __aenter__(self) -> StoreClient:
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Closes the connection, if there is one; a later call opens another."""
        connection, self._connection, self._connected_to = self._connection, None, None
        if connection:
            with anyio.move_on_after(0.5, shield=True):
                await connection.stream.aclose()

    def repeat_last(self) -> None:
        """Makes the next numbered call reuse the number of the last one, whose outcome is not known.

        If the last call took effect, the next one returns its result and changes nothing.
        """
        self._number -= 1

    async def _connect(self, address: Address) -> _Connection:
        if self._connection and self._connected_to == address:
            return self._connection
        await self.close()
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            connection = _Connection(await open_stream(address))
            try:
                await connection.hello(self._cluster)
            except BaseException:
                with anyio.move_on_after(0.5, shield=True):
                    await connection.stream.aclose()
                raise
        self._connection, self._connected_to = connection, address
        return connection

    async def call(self, method: str, arguments: dict[str, Any] | None = None, within: float = 10.0) -> Any:
        """Returns the result of a method, from whichever replica can give it; raises `StoreError`.

        Retries for `within` seconds, changes under their session and number so that they take effect once.
        `add`, `remove` and `transfer` have no number and are not retried once a replica may have run them.
        """
        full_arguments = dict(arguments or {})
        if method in NUMBERED_METHODS:
            self._number += 1
            full_arguments |= {"session": self.session, "number": self._number}
        unrepeatable = method in ("add", "remove", "transfer")
        deadline = anyio.current_time() + within
        last_error = StoreError("no_answer", f"no replica answered in {within:g} s; is one running?")
        hints: list[Address] = [self._connected_to] if self._connected_to else []
        attempts = 0
        while (remaining := deadline - anyio.current_time()) > 0:
            address = hints.pop() if hints else self._addresses[attempts % len(self._addresses)]
            requested = False
            try:
                timeout = remaining if unrepeatable else min(remaining, REPLY_TIMEOUT_S)
                with anyio.fail_after(timeout):
                    connection = await self._connect(address)
                    requested = True
                    # The replica's timeout is shorter than ours, so that its error still arrives.
                    wait = max(0.05, min(0.9 * timeout, 55.0))
                    number = await connection.request(method, full_arguments | {"wait": wait})
                    response = await connection.receive(number)
            except CONNECTION_ERRORS as error:
                await self.close()
                if unrepeatable and requested:
                    raise StoreError(
                        "lost",
                        f"connection to {address} lost; check whether it took effect before trying again",
                    ) from None
                if last_error.code == "no_answer":
                    last_error = StoreError(
                        "no_answer", f"{address}: {type(error).__name__}: {error}".rstrip(": ")
                    )
            else:
                if not response.error:
                    return response.result
                last_error = StoreError(response.error, response.text)
                if response.error not in RETRIABLE_ERRORS or (
                    unrepeatable and response.error in ("lost", "unavailable")
                ):
                    raise last_error
                if response.leader:
                    hints.append(parse_address(response.leader, "leader"))
                    if attempts < MAX_ATTEMPTS_WITHOUT_PAUSE:
                        attempts += 1
                        if attempts % ATTEMPTS_PER_PAUSE:
                            continue
            if not hints:
                attempts += 1
            await anyio.sleep(min(ROUND_PAUSE_S, max(0.0, deadline - anyio.current_time())))
        raise last_error

    async def watch(self, after: int = 0) -> AsyncIterator[dict[str, Any]]:
        """Yields all revisions after number `after`, without end, reconnecting as needed.

        Raises `StoreError` on an error answer, such as `compacted` if the next revision is not kept any more.
        """
        attempts = 0
        while True:
            try:
                connection = await self._connect(self._addresses[attempts % len(self._addresses)])
                number = await connection.request("watch", {"after": after})
                while True:
                    with anyio.fail_after(WATCH_TIMEOUT_S):
                        response = await connection.receive(number)
                    if response.error:
                        raise StoreError(response.error, response.text)
                    if "revision" in response.result and response.result["revision"] > after:
                        after = response.result["revision"]
                        yield response.result
            except CONNECTION_ERRORS:
                attempts += 1
                await self.close()
                await anyio.sleep(ROUND_PAUSE_S)
