"""The SIP messages that setup servers speak: a codec without sockets, incremental and bounded."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

MOST = 16 * 1024  # bytes of a message, head and body together
GAP = b"\r\n\r\n"
STATUS = re.compile(rb"SIP/2\.0 ([1-6]\d\d)(?: .*)?")
REQUEST = re.compile(rb"([A-Z]+) (\S+) SIP/2\.0")
# A first line cut short: of a response, of a request, or the keep-alive ahead of one.
BEGUN = re.compile(rb"SIP(/(2(\.(0( .*)?)?)?)?)?|[A-Z]{1,12}( (s(i(p(:.*)?)?)?)?)?|\r", re.DOTALL)
DIGITS = re.compile(rb"\d{1,9}")
SINGLE = (b"content-length", b"call-id", b"cseq")  # headers that must not be there twice with two values


class SipError(ValueError):
    """Bytes that are no message; the connection they came on is of no more use."""


@dataclass(slots=True)
class Message:
    """A request (with method and target) or a response (with a status)."""

    method: str  # of a response: the method in its CSeq
    status: int = 0
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)  # names in lower case
    body: bytes = b""

    @property
    def call(self) -> str:
        return self.headers.get(b"call-id", b"").decode("latin-1")

    @property
    def number(self) -> int:
        """Of its CSeq; -1 without one."""
        word = self.headers.get(b"cseq", b"").split(b" ")[0]
        return int(word) if DIGITS.fullmatch(word) else -1

    def text(self, name: bytes) -> str:
        return self.headers.get(name, b"").decode("latin-1")


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
        buffer, self._buffer = self._buffer + data, bytearray()
        while True:
            start = 0
            while buffer[start : start + 2] == b"\r\n":  # keep-alives between messages
                start += 2
            del buffer[:start]
            end = buffer.find(GAP)
            if end < 0:
                if len(buffer) > MOST:
                    raise SipError("a head over 16 KiB")
                break
            message = _head(bytes(buffer[:end]))
            length = message.headers.get(b"content-length", b"")
            if not DIGITS.fullmatch(length):
                raise SipError(f"Content-Length {length[:20]!r}")
            whole = end + len(GAP) + int(length)
            if whole > MOST:
                raise SipError(f"a message of {whole} bytes")
            if len(buffer) < whole:
                break
            message.body = bytes(buffer[end + len(GAP) : whole])
            del buffer[:whole]
            _fits(message.body, buffer)
            yield message
        self._buffer = buffer
        if not _begins(buffer):
            raise SipError(f"first line {bytes(buffer[:40])!r}")


def _fits(body: bytes, rest: bytearray) -> None:
    """Guards against a Content-Length that is too small: the start of a body would pass for all of it, and
    be passed on as an answer that nobody gave. What follows a message must be able to begin one, and a line
    end that the body lacks is the body's."""
    cut = rest.startswith(b"\r\n") and body and not body.endswith(b"\r\n")
    start = 0
    while rest[start : start + 2] == b"\r\n":
        start += 2
    if cut or not _begins(rest[start:]):
        raise SipError(f"a body of {len(body)} bytes that goes on")


def _begins(data: bytearray) -> bool:
    """Nothing, or what may be the start of a message."""
    line, whole, _ = data.partition(b"\r\n")
    if whole:
        return bool(STATUS.fullmatch(line) or REQUEST.fullmatch(line))
    return not line or bool(BEGUN.fullmatch(line))


def _head(data: bytes) -> Message:
    first, *lines = data.split(b"\r\n")
    headers: dict[bytes, bytes] = {}
    for line in lines:
        name, mark, value = line.partition(b":")
        if not mark:
            raise SipError(f"header line {line[:40]!r}")
        name, value = name.strip().lower(), value.strip()
        if headers.setdefault(name, value) != value and name in SINGLE:
            raise SipError(f"two values of {name.decode('latin-1')}")
    if status := STATUS.fullmatch(first):
        method = headers.get(b"cseq", b"").rpartition(b" ")[2].decode("latin-1")
        return Message(method, int(status[1]), headers=headers)
    if request := REQUEST.fullmatch(first):
        return Message(request[1].decode(), 0, request[2], headers)
    raise SipError(f"first line {first[:40]!r}")


def request(
    method: str, number: bytes, call: str, sequence: int, extra: bytes = b"", body: bytes = b""
) -> bytes:
    """`extra`: further header lines, each with its line end."""
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
    extra = b"Priority-Class: %s\r\nExpires-Ms: %d\r\n" % (class_name, expires_ms)
    return request("INVITE", number, call, sequence, extra, description)


def bye(number: bytes, call: str, sequence: int, cause: int) -> bytes:
    return request("BYE", number, call, sequence, b"Reason: Q.850;cause=%d\r\n" % cause)


def response(message: Message, status: int, reason: bytes) -> bytes:
    """The response to a request, with the headers that match it."""
    copied = b"".join(
        b"%s: %s\r\n" % (name, message.headers[key])
        for name, key in ((b"Via", b"via"), (b"Call-ID", b"call-id"), (b"CSeq", b"cseq"))
        if key in message.headers
    )
    return b"SIP/2.0 %d %s\r\n%sContent-Length: 0\r\n\r\n" % (status, reason, copied)


def cause(message: Message) -> int:
    """The cause in `Reason: Q.850;cause=N`; -1 without one."""
    found = re.search(rb"cause\s*=\s*(\d+)", message.headers.get(b"reason", b""))
    return int(found[1]) if found else -1


def load(message: Message) -> dict[str, float]:
    """The state of a group, `P-Load: free:278;size:278`; what is no figure is left out."""
    report = {}
    for part in message.text(b"p-load").split(";"):
        name, _, value = part.partition(":")
        if DIGITS.fullmatch(value.strip().encode()):
            report[name.strip()] = float(value)
    return report
