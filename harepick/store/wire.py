"""Framing of the peer port and the operators' port: a 4-byte length, then one MessagePack value.

`docs/protocol/operators.md` describes the protocol for authors of clients.
"""

from __future__ import annotations

import struct
import time
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import anyio
import msgspec
from anyio.abc import ByteStream
from msgspec import Struct

from harepick.store.node import PeerMessage

VERSION = 1
LENGTH = struct.Struct(">I")
MAX_HELLO = 4 * 1024  # bytes
MAX_FRAME = 4 * 1024 * 1024  # bytes
FRAME_TIMEOUT_S = 5.0  # from the first byte of a tool's request to its last
READ_SIZE = 256 * 1024  # bytes

Value = TypeVar("Value")


class WireError(Exception):
    """A malformed, oversized or unexpected frame; the connection is closed."""


class Hello(Struct, frozen=True):
    """The first frame on a connection, from the side that opened it."""

    role: str  # "peer" or "tool"
    cluster: str
    replica: str = ""  # name of the sender, if it is a peer
    folder: str = ""  # id of the sender's folder
    version: int = VERSION
    address: str = ""  # where a peer listens; a joining replica does not know it from the log yet


class Welcome(Struct, frozen=True):
    """The answer to a hello; `error` is empty if the connection is accepted."""

    cluster: str
    replica: str
    folder: str
    error: str = ""
    version: int = VERSION


class Request(Struct, frozen=True):
    """A tool's request; the protocol page lists the methods and their arguments."""

    id: int
    method: str
    arguments: dict[str, Any] = {}


class Response(Struct, frozen=True):
    """The answer to a request, or one of many answers to a watch.

    `error` is a code of the protocol page; `leader` is the address of the replica to ask instead.
    """

    id: int
    result: Any = None
    error: str = ""
    text: str = ""
    leader: str = ""
    more: bool = False


_encoder = msgspec.msgpack.Encoder()
peer_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)


def frame(value: object) -> bytes:
    """Encodes a value as one frame; raises `WireError` if it is over `MAX_FRAME`."""
    data = _encoder.encode(value)
    if len(data) > MAX_FRAME:
        raise WireError(f"frame of {len(data)} bytes exceeds the limit of {MAX_FRAME}")
    return LENGTH.pack(len(data)) + data


class Frames:
    """Splits a byte stream into frames; buffers at most one frame and one read.

    `max_size` bounds the next frame, in bytes: that of a hello until the handshake is done.
    """

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self.max_size = MAX_HELLO
        self.waiting_since: float | None = None  # for a request; on the clock of `time.monotonic`
        self.on_growth: Callable[[], None] = lambda: None  # called when more of a request is buffered

    @property
    def buffered(self) -> int:
        """Bytes received and not taken yet."""
        return len(self._buffer)

    def pop_buffered(self) -> bytes | None:
        """Takes a complete frame out of the buffer, or returns None; raises `WireError` for one too large."""
        if len(self._buffer) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self._buffer)
        if length > self.max_size:
            raise WireError(f"frame of {length} bytes exceeds the limit of {self.max_size}")
        if len(self._buffer) < LENGTH.size + length:
            return None
        data = bytes(memoryview(self._buffer)[LENGTH.size : LENGTH.size + length])
        del self._buffer[: LENGTH.size + length]
        return data

    async def fill(self) -> None:
        """Reads more bytes; raises `anyio.EndOfStream` at the end of the stream."""
        self._buffer += await self._stream.receive(READ_SIZE)

    async def next(self) -> bytes:
        """Waits for the next frame; raises as `pop_buffered` and `fill` do."""
        while (data := self.pop_buffered()) is None:
            await self.fill()
        return data

    async def next_request(self, idle_timeout: float) -> bytes:
        """Waits for a tool's request, `idle_timeout` seconds for its first byte and `FRAME_TIMEOUT_S` for the
        rest; raises `TimeoutError`, or as `next` does."""
        self.waiting_since = time.monotonic()
        try:
            if not self._buffer:
                with anyio.fail_after(idle_timeout):
                    await self.fill()
            with anyio.fail_after(FRAME_TIMEOUT_S):
                while (data := self.pop_buffered()) is None:
                    self.on_growth()
                    await self.fill()
            return data
        finally:
            self.waiting_since = None


class TypedDecoder(Generic[Value]):
    """A MessagePack decoder of one type that raises `WireError`."""

    def __init__(self, kind: type[Value]) -> None:
        self._decoder = msgspec.msgpack.Decoder(kind)

    def read(self, data: bytes) -> Value:
        """Decodes the contents of one frame; raises `WireError`."""
        try:
            return self._decoder.decode(data)
        except (msgspec.DecodeError, ValueError) as error:
            raise WireError(f"undecodable frame: {error}") from None


hello_decoder: TypedDecoder[Hello] = TypedDecoder(Hello)
welcome_decoder: TypedDecoder[Welcome] = TypedDecoder(Welcome)
request_decoder: TypedDecoder[Request] = TypedDecoder(Request)
response_decoder: TypedDecoder[Response] = TypedDecoder(Response)


def decode_peer_message(data: bytes) -> PeerMessage:
    """Decodes a message between replicas; raises `WireError`."""
    try:
        return peer_decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as error:
        raise WireError(f"undecodable message: {error}") from None


CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    WireError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
