"""The `ops` listener: one HTTP/1.1 request per connection (RFC 9112), parsed by h11 and answered at once.

Owns the listening socket on the `ops` address and its connections. Each connection has its own task and
time limit, so that a slow or silent client affects no other. At the limit on connections, the oldest one
is closed to make room. Malformed requests get 400 and a close, methods other than GET and HEAD 405,
unknown paths 404 (RFC 9110, section 15.5)."""

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
from harepick.net.flow_control import pause_reading
from harepick.ops.exposition import Status, exposition
from harepick.settings import Address

MAX_CONNECTIONS = 64  # open at once; scrapers come every second or two
MAX_HEAD_BYTES = 8 * 1024  # of a request; requests have no body
READ_TIMEOUT_S = 2.0  # from the acceptance to the complete request; clients wait 1 s for the answer
WRITE_TIMEOUT_S = 1.0  # to write the answer, a few kilobytes at most
READ_CHUNK_BYTES = 4 * 1024
SERVER_NAME = b"harepick"
TEXT_TYPE = b"text/plain; charset=utf-8"
JSON_TYPE = b"application/json"


def _json_response(page: Callable[[], Any]) -> tuple[int, bytes, bytes]:
    """Returns status, body and content type of a JSON page."""
    return 200, orjson.dumps(page()) + b"\n", JSON_TYPE


class _Client:
    """One connection to the listener."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.accepted_at = time.monotonic()
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
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """`pages` maps further paths to functions that return the value to send as JSON.

        `max_connections` bounds the connections, and so the descriptors, that are open at once."""
        self._max_connections = max_connections
        self._address, self._status, self._counters, self._log = address, status, counters, log
        self._clients: set[_Client] = set()
        self._routes: dict[bytes, Callable[[], tuple[int, bytes, bytes]]] = {
            b"/api/ready": self._ready,
            b"/api/telemetry": self._telemetry,
        }
        for path, page in (pages or {}).items():
            self._routes[path.encode()] = partial(_json_response, page)

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Listens and serves until cancelled; raises `OSError` if the address is not available."""
        address = self._address
        listener = await anyio.create_tcp_listener(local_host=address.host, local_port=address.port)
        async with listener, anyio.create_task_group() as tasks:
            self._log.event("listening", front="ops", listen=str(address))
            task_status.started()
            for socket_listener in listener.listeners:
                assert isinstance(socket_listener, SocketListener)
                tasks.start_soon(self._accept, socket_listener, tasks)

    async def _accept(self, listener: SocketListener, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:  # for example, no descriptor is left: the platform's front has priority
                self._counters.add("ops.not_accepted")
                self._log.event("not_accepted", front="ops", error=error.strerror)
                await anyio.sleep(0.05)
                continue
            if len(self._clients) >= self._max_connections:
                oldest = min(self._clients, key=lambda c: c.accepted_at)
                oldest.scope.cancel()
                self._clients.discard(oldest)
                self._counters.add("ops.made_room")
            pause_reading(stream)
            client = _Client(stream)
            self._clients.add(client)
            tasks.start_soon(self._serve, client)

    async def _serve(self, client: _Client) -> None:
        """Answers one request; contains any fault to this connection."""
        self._counters.add("ops.connections")
        try:
            with client.scope:
                await self._exchange(client.stream)
        except Exception as error:
            self._counters.add("ops.faults")
            self._log.event("fault", where="ops", error=repr(error))
        finally:
            self._clients.discard(client)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(client.stream)

    async def _exchange(self, stream: SocketStream) -> None:
        """Reads the request, routes it and sends the response."""
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        try:
            with anyio.fail_after(READ_TIMEOUT_S):
                request = await self._read_request(connection, stream)
        except TimeoutError:
            self._counters.add("ops.silent")
            return
        except h11.RemoteProtocolError:
            self._counters.add("ops.malformed")
            if connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                await self._send(connection, stream, 400, b"malformed\n", TEXT_TYPE)
            return
        if request is None:
            return
        if request.method not in (b"GET", b"HEAD"):
            self._counters.add("ops.bad_method")
            await self._send(connection, stream, 405, b"GET or HEAD\n", TEXT_TYPE, [(b"Allow", b"GET, HEAD")])
            return
        route = self._routes.get(request.target.partition(b"?")[0])
        if route is None:
            self._counters.add("ops.not_found")
            await self._send(connection, stream, 404, b"no such call\n", TEXT_TYPE)
            return
        self._counters.add("ops.requests")
        status, body, content_type = route()
        await self._send(connection, stream, status, b"" if request.method == b"HEAD" else body, content_type)

    async def _read_request(self, connection: h11.Connection, stream: SocketStream) -> h11.Request | None:
        """Returns the request's head, or None if the client disconnected before it was complete."""
        while True:
            event = connection.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is h11.NEED_DATA:
                try:
                    data = await stream.receive(READ_CHUNK_BYTES)
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
        content_type: bytes,
        extra_headers: list[tuple[bytes, bytes]] | None = None,
    ) -> None:
        headers = [
            (b"Content-Type", content_type),
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"),
            (b"Server", SERVER_NAME),
            *(extra_headers or []),
        ]
        data = connection.send(h11.Response(status_code=status, headers=headers)) or b""
        if body:
            data += connection.send(h11.Data(data=body)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        try:
            with anyio.fail_after(WRITE_TIMEOUT_S):
                await stream.send(data)
        except (TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self._counters.add("ops.unwritten")

    def _ready(self) -> tuple[int, bytes, bytes]:
        if self._status.ready():
            return 200, b"ready\n", TEXT_TYPE
        return 503, b"not ready\n", TEXT_TYPE

    def _telemetry(self) -> tuple[int, bytes, bytes]:
        return 200, exposition(self._status.telemetry()), CONTENT_TYPE_PLAIN_0_0_4.encode()
