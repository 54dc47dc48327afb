"""Incremental, bounded codec of the SIP messages exchanged with setup servers; uses no sockets."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

MAX_MESSAGE_BYTES = 16 * 1024  # head and body together
HEADER_END = b"\r\n\r\n"
STATUS_LINE = re.compile(rb"SIP/2\.0 ([1-6]\d\d)(?: .*)?")
REQUEST_LINE = re.compile(rb"([A-Z]+) (\S+) SIP/2\.0")
# An incomplete first line: of a response, of a request, or of the keep-alive before one.
PARTIAL_FIRST_LINE = re.compile(
    rb"SIP(/(2(\.(0( .*)?)?)?)?)?|[A-Z]{1,12}( (s(i(p(:.*)?)?)?)?)?|\r", re.DOTALL
)
DIGITS = re.compile(rb"\d{1,9}")
# Two different values of one of these make the message malformed.
SINGLE_VALUE_HEADERS = (b"content-length", b"call-id", b"cseq")


class SipError(ValueError):
    """The bytes received are not a valid message; the connection cannot be used any further."""


@dataclass(slots=True)
class Message:
    """A request (with method and target) or a response (with a status)."""

    method: str  # for a response: the method in its CSeq
    status: int = 0
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)  # names in lower case
    body: bytes = b""

    @property
    def call(self) -> str:
        """The Call-ID; empty without one."""
        return self.headers.get(b"call-id", b"").decode("latin-1")

    @property
    def number(self) -> int:
        """The CSeq number; -1 without one."""
        number = self.headers.get(b"cseq", b"").split(b" ")[0]
        return int(number) if DIGITS.fullmatch(number) else -1

    def text(self, name: bytes) -> str:
        """The value of a header, given in lower case; empty without one."""
        return self.headers.get(name, b"").decode("latin-1")


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

        Raises `SipError` at a malformed message."""
        buffer, self._buffer = self._buffer + data, bytearray()
        while True:
            start = 0
            while buffer[start : start + 2] == b"\r\n":  # keep-alives between messages
                start += 2
            del buffer[:start]
            end = buffer.find(HEADER_END)
            if end < 0:
                if len(buffer) > MAX_MESSAGE_BYTES:
                    raise SipError("message head exceeds 16 KiB")
                break
            message = _parse_head(bytes(buffer[:end]))
            length = message.headers.get(b"content-length", b"")
            if not DIGITS.fullmatch(length):
                raise SipError(f"invalid Content-Length {length[:20]!r}")
            total = end + len(HEADER_END) + int(length)
            if total > MAX_MESSAGE_BYTES:
                raise SipError(f"message of {total} bytes exceeds 16 KiB")
            if len(buffer) < total:
                break
            message.body = bytes(buffer[end + len(HEADER_END) : total])
            del buffer[:total]
            _check_body_end(message.body, buffer)
            yield message
        self._buffer = buffer
        if not _may_begin_message(buffer):
            raise SipError(f"invalid first line {bytes(buffer[:40])!r}")


def _check_body_end(body: bytes, rest: bytearray) -> None:
    """Raises `SipError` if the Content-Length was too small.

    Otherwise the start of the body would be passed on as an answer that no server gave. The bytes after a
    message must be able to begin another one; if they start with a line end that the body lacks, it belongs
    to the body."""
    cut = rest.startswith(b"\r\n") and body and not body.endswith(b"\r\n")
    start = 0
    while rest[start : start + 2] == b"\r\n":
        start += 2
    if cut or not _may_begin_message(rest[start:]):
        raise SipError(f"body is longer than its Content-Length of {len(body)}")


def _may_begin_message(data: bytearray) -> bool:
    """Whether `data` is empty or may be the start of a message."""
    line, line_end, _ = data.partition(b"\r\n")
    if line_end:
        return bool(STATUS_LINE.fullmatch(line) or REQUEST_LINE.fullmatch(line))
    return not line or bool(PARTIAL_FIRST_LINE.fullmatch(line))


def _parse_head(data: bytes) -> Message:
    first, *lines = data.split(b"\r\n")
    headers: dict[bytes, bytes] = {}
    for line in lines:
        name, separator, value = line.partition(b":")
        if not separator:
            raise SipError(f"invalid header line {line[:40]!r}")
        name, value = name.strip().lower(), value.strip()
        if headers.setdefault(name, value) != value and name in SINGLE_VALUE_HEADERS:
            raise SipError(f"conflicting values of header {name.decode('latin-1')}")
    if status := STATUS_LINE.fullmatch(first):
        method = headers.get(b"cseq", b"").rpartition(b" ")[2].decode("latin-1")
        return Message(method, int(status[1]), headers=headers)
    if request := REQUEST_LINE.fullmatch(first):
        return Message(request[1].decode(), 0, request[2], headers)
    raise SipError(f"invalid first line {first[:40]!r}")


def request(
    method: str, number: bytes, call: str, sequence: int, extra: bytes = b"", body: bytes = b""
) -> bytes:
    """Encodes a request; `extra` holds further header lines, each with its line end."""
    return (
        b"%s sip:%s@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: %d %s\r\n"
        b"%sContent-Length: %d\r\n\r\n%s"
    ) % (
        method.encode(),
        number,
        call.encode(),
        sequence,
        method.encode(),
        extra,
        len(body),
        body,
    )


def invite(
    number: bytes, call: str, sequence: int, class_name: bytes, expires_ms: int, description: bytes
) -> bytes:
    """Encodes an INVITE with the call class, the time left in milliseconds and the session description."""
    extra = b"Priority-Class: %s\r\nExpires-Ms: %d\r\n" % (class_name, expires_ms)
    return request("INVITE", number, call, sequence, extra, description)


def bye(number: bytes, call: str, sequence: int, cause: int) -> bytes:
    """Encodes a BYE with a Q.850 cause."""
    return request("BYE", number, call, sequence, b"Reason: Q.850;cause=%d\r\n" % cause)


def response(message: Message, status: int, reason: bytes) -> bytes:
    """Encodes a response to a request, with the headers that identify the transaction."""
    copied = b"".join(
        b"%s: %s\r\n" % (name, message.headers[key])
        for name, key in ((b"Via", b"via"), (b"Call-ID", b"call-id"), (b"CSeq", b"cseq"))
        if key in message.headers
    )
    return b"SIP/2.0 %d %s\r\n%sContent-Length: 0\r\n\r\n" % (status, reason, copied)


def release_cause(message: Message) -> int:
    """Returns the Q.850 cause in `Reason: Q.850;cause=N`; -1 without one."""
    found = re.search(rb"cause\s*=\s*(\d+)", message.headers.get(b"reason", b""))
    return int(found[1]) if found else -1


def parse_load(message: Message) -> dict[str, float]:
    """Parses a load report, `P-Load: free:278;size:278`; values that are not numbers are left out."""
    report = {}
    for part in message.text(b"p-load").split(";"):
        name, _, value = part.partition(":")
        if DIGITS.fullmatch(value.strip().encode()):
            report[name.strip()] = float(value)
    return report
