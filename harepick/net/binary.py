"""Codec of the binary messages that callers send and receive; uses no sockets.

message   = length:2 type:1 call:8 parameters      length counts all bytes after itself; big-endian
parameter = code:1 length:2 value"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field

MAX_MESSAGE_BYTES = 16 * 1024  # including the length field
MAX_PARAMETERS = 64  # of a message; the protocol defines seven, and each one costs time to parse

# Message types
SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_COMPLETE, STATE, TEST, TEST_RESULT = 1, 6, 9, 12, 16, 43, 52, 53
# Parameter codes
CLASS, TIME_LIMIT, NUMBER, RETRY_AFTER, ATTRIBUTES, CAUSE, DESCRIPTION = 3, 5, 11, 15, 13, 31, 33

HEADER = struct.Struct(">HB8s")
PARAMETER = struct.Struct(">BH")


class BinaryError(ValueError):
    """The bytes received are not a valid message; the connection cannot be used any further."""


@dataclass(slots=True)
class Message:
    """One message: its type, the 8-byte call id, and the values of its parameters by code."""

    type: int
    call: bytes
    parameters: dict[int, bytes] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Returns the message as bytes, length field included."""
        body = b"".join(PARAMETER.pack(code, len(value)) + value for code, value in self.parameters.items())
        return HEADER.pack(HEADER.size - 2 + len(body), self.type, self.call) + body


class Decoder:
    """Incremental decoder; buffers at most one incomplete message."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def pending(self) -> bool:
        """Whether an incomplete message is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[Message]:
        """Yields the messages completed by `data`, one at a time, so that those ahead of a malformed one
        are still delivered.

        Raises `BinaryError` at a malformed message."""
        buffer = self._buffer + data
        self._buffer = bytearray()
        start = 0
        while len(buffer) - start >= 2:
            length = int.from_bytes(buffer[start : start + 2], "big")
            if length < HEADER.size - 2 or length + 2 > MAX_MESSAGE_BYTES:
                raise BinaryError(f"message length {length} is out of bounds")
            end = start + 2 + length
            if len(buffer) < end:
                break
            yield _parse_message(bytes(buffer[start:end]))
            start = end
        self._buffer = buffer[start:]


def _parse_message(data: bytes) -> Message:
    _, kind, call = HEADER.unpack_from(data)
    parameters: dict[int, bytes] = {}
    position, count = HEADER.size, 0
    while position < len(data):
        count += 1
        if count > MAX_PARAMETERS:
            raise BinaryError(f"more than {MAX_PARAMETERS} parameters")
        if position + PARAMETER.size > len(data):
            raise BinaryError("parameter header is truncated")
        code, length = PARAMETER.unpack_from(data, position)
        position += PARAMETER.size
        if position + length > len(data):
            raise BinaryError(f"parameter {code} is truncated")
        parameters[code] = data[position : position + length]
        position += length
    return Message(kind, call, parameters)


def parse_attributes(value: bytes) -> dict[str, str]:
    """Parses `dest:2;width:1;via:-1` into a dict of texts; parts without a colon are left out."""
    pairs = (part.partition(":") for part in value.decode("ascii", "replace").split(";"))
    return {name.strip(): text.strip() for name, separator, text in pairs if separator}


def encode_answer(call: bytes, description: bytes) -> bytes:
    """Encodes the answer to a set-up, with the session description."""
    return Message(ANSWER, call, {DESCRIPTION: description}).encode()


def encode_release(call: bytes, cause: int, retry_after_ms: int | None = None) -> bytes:
    """Encodes a release with a Q.850 cause, and optionally the time after which to retry, in milliseconds."""
    parameters = {CAUSE: bytes([cause])}
    if retry_after_ms is not None:
        parameters[RETRY_AFTER] = str(retry_after_ms).encode()
    return Message(RELEASE, call, parameters).encode()
