"""The binary messages that callers speak: a codec without sockets.

message   = length:2 type:1 call:8 parameters      length counts all that follows it; big-endian
parameter = code:1 length:2 value
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field

MOST = 16 * 1024  # bytes of a message, its length field included

SET_UP, PROGRESS, ANSWER, RELEASE, HEARD, STATE, TEST, TESTED = 1, 6, 9, 12, 16, 43, 52, 53
CLASS, PATIENCE, NUMBER, STAY_AWAY, FIGURES, CAUSE, DESCRIPTION = 3, 5, 11, 15, 13, 31, 33

HEAD = struct.Struct(">HB8s")
PARAMETER = struct.Struct(">BH")


class BinaryError(ValueError):
    """Bytes that are no message; the connection they came on is of no more use."""


@dataclass(slots=True)
class Message:
    type: int
    call: bytes
    parameters: dict[int, bytes] = field(default_factory=dict)

    def encode(self) -> bytes:
        body = b"".join(PARAMETER.pack(code, len(value)) + value for code, value in self.parameters.items())
        return HEAD.pack(HEAD.size - 2 + len(body), self.type, self.call) + body


class Decoder:
    """Takes bytes as they come, gives whole messages; keeps at most one message's worth."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def pending(self) -> bool:
        """A message has begun that is not yet whole."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[Message]:
        """The messages that are whole now, one by one: what comes ahead of a malformed one counts."""
        buffer = self._buffer + data
        self._buffer = bytearray()
        start = 0
        while len(buffer) - start >= 2:
            length = int.from_bytes(buffer[start : start + 2], "big")
            if length < HEAD.size - 2 or length + 2 > MOST:
                raise BinaryError(f"a message of {length} bytes")
            end = start + 2 + length
            if len(buffer) < end:
                break
            yield _message(bytes(buffer[start:end]))
            start = end
        self._buffer = buffer[start:]


def _message(data: bytes) -> Message:
    _, kind, call = HEAD.unpack_from(data)
    parameters = {}
    at = HEAD.size
    while at < len(data):
        if at + PARAMETER.size > len(data):
            raise BinaryError("a parameter is cut short")
        code, length = PARAMETER.unpack_from(data, at)
        at += PARAMETER.size
        if at + length > len(data):
            raise BinaryError(f"parameter {code} is cut short")
        parameters[code] = data[at : at + length]
        at += length
    return Message(kind, call, parameters)


def figures(value: bytes) -> dict[str, str]:
    """`dest:2;width:1;via:-1` as a table."""
    pairs = (part.partition(":") for part in value.decode("ascii", "replace").split(";"))
    return {name.strip(): text.strip() for name, mark, text in pairs if mark}


def answer(call: bytes, description: bytes) -> bytes:
    return Message(ANSWER, call, {DESCRIPTION: description}).encode()


def release(call: bytes, cause: int, stay_away_ms: int | None = None) -> bytes:
    parameters = {CAUSE: bytes([cause])}
    if stay_away_ms is not None:
        parameters[STAY_AWAY] = str(stay_away_ms).encode()
    return Message(RELEASE, call, parameters).encode()
