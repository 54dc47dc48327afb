"""Frames between replicas, and between tools and replicas: a length, then one MessagePack value.

`docs/protocol/operators.md` is the page for those who write a client.
"""

from __future__ import annotations

import struct
from typing import Any, Generic, TypeVar

import anyio
import msgspec
from anyio.abc import ByteStream
from msgspec import Struct

from harepick.store.node import PeerMessage

VERSION = 1
LENGTH = struct.Struct(">I")
MAX_HELLO = 4 * 1024
MAX_FRAME = 4 * 1024 * 1024
READ = 256 * 1024

Value = TypeVar("Value")


class WireError(Exception):
    """Bytes that make no sense here; the connection goes."""


class Hello(Struct, frozen=True):
    """The first frame in each direction."""

    role: str  # peer, or tool
    cluster: str
    replica: str = ""  # of the sender, or of who answers
    folder: str = ""
    version: int = VERSION
    address: str = ""  # where a peer listens: one that joins knows no other


class Welcome(Struct, frozen=True):
    """The answer to a hello; `error` is empty if the connection stands."""

    cluster: str
    replica: str
    folder: str
    error: str = ""
    version: int = VERSION


class Request(Struct, frozen=True):
    """What a tool asks; `arguments` by name, as the page says."""

    id: int
    method: str
    arguments: dict[str, Any] = {}


class Response(Struct, frozen=True):
    """One answer, or one of many to a watch. `error` is a code of the page; `leader` an address to ask."""

    id: int
    result: Any = None
    error: str = ""
    text: str = ""
    leader: str = ""
    more: bool = False


_encoder = msgspec.msgpack.Encoder()
peer_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)


def frame(value: object) -> bytes:
    data = _encoder.encode(value)
    if len(data) > MAX_FRAME:
        raise WireError(f"a frame of {len(data)} bytes; {MAX_FRAME} at most")
    return LENGTH.pack(len(data)) + data


class Frames:
    """Cuts a byte stream into frames; holds one frame and a read at most."""

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self.most = MAX_HELLO

    def ready(self) -> bytes | None:
        """A frame that is here already; raises `WireError` for one too large."""
        if len(self._buffer) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self._buffer)
        if length > self.most:
            raise WireError(f"a frame of {length} bytes; {self.most} at most")
        if len(self._buffer) < LENGTH.size + length:
            return None
        data = bytes(memoryview(self._buffer)[LENGTH.size : LENGTH.size + length])
        del self._buffer[: LENGTH.size + length]
        return data

    async def fill(self) -> None:
        """Waits for more; raises `anyio.EndOfStream` at the end."""
        self._buffer += await self._stream.receive(READ)

    async def next(self) -> bytes:
        while (data := self.ready()) is None:
            await self.fill()
        return data


class Typed(Generic[Value]):
    """A decoder whose errors are this module's."""

    def __init__(self, kind: type[Value]) -> None:
        self._decoder = msgspec.msgpack.Decoder(kind)

    def read(self, data: bytes) -> Value:
        try:
            return self._decoder.decode(data)
        except (msgspec.DecodeError, ValueError) as error:
            raise WireError(f"a frame that can't be read: {error}") from None


hellos: Typed[Hello] = Typed(Hello)
welcomes: Typed[Welcome] = Typed(Welcome)
requests: Typed[Request] = Typed(Request)
responses: Typed[Response] = Typed(Response)


def peer_message(data: bytes) -> PeerMessage:
    try:
        return peer_decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as error:
        raise WireError(f"a message that can't be read: {error}") from None


CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    WireError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
