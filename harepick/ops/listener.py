"""The `ops` listener: one HTTP/1.1 request a connection (RFC 9112), framed by h11, answered at once.

Owns the listening socket on the `ops` address and the connections to it. Each connection has a task of its
own and a time limit: a caller that is slow or says nothing costs its own connection, never another's answer.
At the cap the connection that has waited longest is closed to make room. Malformed requests get 400 and a
close; other methods than GET and HEAD 405, other paths 404 (RFC 9110, section 15.5).
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

import anyio
import h11
import orjson
from anyio.abc import SocketListener, SocketStream, TaskStatus
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4

from harepick.counters import Counters
from harepick.log import Log
from harepick.ops.exposition import Status, exposition
from harepick.settings import Address

MAX_CONNECTIONS = 64  # callers that may wait for their answer at once; scrapers come every second or two
HEAD_LIMIT = 8 * 1024  # bytes of a request's head; a request here has no body
READ_WITHIN = 2.0  # from the acceptance to the whole request: callers wait 1 s for their answer
WRITE_WITHIN = 1.0  # to hand over the answer, a few kilobytes at most
CHUNK = 4 * 1024
SERVER = b"harepick"
TEXT = b"text/plain; charset=utf-8"
JSON = b"application/json"


def _json(page: Callable[[], Any]) -> tuple[int, bytes, bytes]:
    return 200, orjson.dumps(page()) + b"\n", JSON


class _Caller:
    """One connection to the listener."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.since = time.monotonic()
        self.scope = anyio.CancelScope()


class OpsListener:
    """Serves `GET /api/ready` and `GET /api/telemetry` from `status` on `address` until cancelled."""

    def __init__(
        self,
        address: Address,
        status: Status,
        counters: Counters,
        log: Log,
        pages: Mapping[str, Callable[[], Any]] | None = None,
        most: int = MAX_CONNECTIONS,
    ) -> None:
        """`pages`: other paths, each with what its JSON is made of at the moment of the call. `most`: how
        many connections, and so descriptors, may be open at once."""
        self._most = most
        self._address, self._status, self._counters, self._log = address, status, counters, log
        self._callers: set[_Caller] = set()
        self._routes: dict[bytes, Callable[[], tuple[int, bytes, bytes]]] = {
            b"/api/ready": self._ready,
            b"/api/telemetry": self._telemetry,
        }
        for path, page in (pages or {}).items():
            self._routes[path.encode()] = partial(_json, page)

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        where = self._address
        listener = await anyio.create_tcp_listener(local_host=where.host, local_port=where.port)
        async with listener, anyio.create_task_group() as tasks:
            self._log.event("listening", front="ops", listen=str(where))
            task_status.started()
            for each in listener.listeners:
                assert isinstance(each, SocketListener)
                tasks.start_soon(self._accept, each, tasks)

    async def _accept(self, listener: SocketListener, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:  # out of descriptors, say: the platform's front goes first
                self._counters.add("ops.not_accepted")
                self._log.event("not_accepted", front="ops", error=error.strerror)
                await anyio.sleep(0.05)
                continue
            if len(self._callers) >= self._most:
                oldest = min(self._callers, key=lambda c: c.since)
                oldest.scope.cancel()
                self._callers.discard(oldest)
                self._counters.add("ops.made_room")
            caller = _Caller(stream)
            self._callers.add(caller)
            tasks.start_soon(self._serve, caller)

    async def _serve(self, caller: _Caller) -> None:
        """One request and its answer; no fault of it goes further."""
        self._counters.add("ops.connections")
        try:
            with caller.scope:
                await self._exchange(caller.stream)
        except Exception as error:
            self._counters.add("ops.faults")
            self._log.event("fault", where="ops", error=repr(error))
        finally:
            self._callers.discard(caller)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(caller.stream)

    async def _exchange(self, stream: SocketStream) -> None:
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_LIMIT)
        try:
            with anyio.fail_after(READ_WITHIN):
                request = await self._request(connection, stream)
        except TimeoutError:
            self._counters.add("ops.silent")
            return
        except h11.RemoteProtocolError:
            self._counters.add("ops.malformed")
            if connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                await self._send(connection, stream, 400, b"malformed\n", TEXT)
            return
        if request is None:
            return
        if request.method not in (b"GET", b"HEAD"):
            self._counters.add("ops.bad_method")
            await self._send(connection, stream, 405, b"GET or HEAD\n", TEXT, [(b"Allow", b"GET, HEAD")])
            return
        route = self._routes.get(request.target.partition(b"?")[0])
        if route is None:
            self._counters.add("ops.not_found")
            await self._send(connection, stream, 404, b"no such call\n", TEXT)
            return
        self._counters.add("ops.requests")
        status, body, kind = route()
        await self._send(connection, stream, status, b"" if request.method == b"HEAD" else body, kind)

    async def _request(self, connection: h11.Connection, stream: SocketStream) -> h11.Request | None:
        """The request's head, or None if the caller went before it was whole."""
        while True:
            event = connection.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is h11.NEED_DATA:
                try:
                    data = await stream.receive(CHUNK)
                except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                    data = b""
                connection.receive_data(data)
                if not data and connection.their_state is h11.IDLE:
                    return None
            elif isinstance(event, h11.ConnectionClosed):
                return None

    async def _send(
        self,
        connection: h11.Connection,
        stream: SocketStream,
        status: int,
        body: bytes,
        kind: bytes,
        extra: list[tuple[bytes, bytes]] | None = None,
    ) -> None:
        headers = [
            (b"Content-Type", kind),
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"),
            (b"Server", SERVER),
            *(extra or []),
        ]
        data = connection.send(h11.Response(status_code=status, headers=headers)) or b""
        if body:
            data += connection.send(h11.Data(data=body)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        try:
            with anyio.fail_after(WRITE_WITHIN):
                await stream.send(data)
        except (TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self._counters.add("ops.unwritten")

    def _ready(self) -> tuple[int, bytes, bytes]:
        if self._status.ready():
            return 200, b"ready\n", TEXT
        return 503, b"not ready\n", TEXT

    def _telemetry(self) -> tuple[int, bytes, bytes]:
        return 200, exposition(self._status.telemetry()), CONTENT_TYPE_PLAIN_0_0_4.encode()
