"""Reads and writes the DNS messages of the ENUM front, on dnspython; opens no sockets.

The records of an upstream's reply are passed on unchanged. The id, the flags and the EDNS record are set for
the client.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

import dns.edns
import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdatatype
import dns.rdtypes.ANY.SOA  # dnspython would import record types at their first use, while look-ups wait
import dns.rdtypes.IN.NAPTR

HEADER = struct.Struct(">HHHHHH")
OPT_RECORD = struct.Struct(">BHHIH")  # an EDNS record without options
LISTENER_PAYLOAD_BYTES = 1024  # largest UDP message that the listener announces to its clients
DEFAULT_PAYLOAD_BYTES = 512  # largest UDP answer to a client without EDNS (RFC 1035)
NOT_READY, NETWORK_ERROR = dns.edns.EDECode.NOT_READY, dns.edns.EDECode.NETWORK_ERROR  # RFC 8914
PROHIBITED = dns.edns.EDECode.PROHIBITED

# A query has one question, and an EDNS record and a signature at most. The longest name takes 255 bytes; the
# rest is for options such as cookies and padding, each of which costs time to parse.
MAX_QUERY_BYTES = 2_048
MAX_ADDITIONAL_RECORDS = 2

Question = tuple[dns.name.Name, int, int]


@dataclass(slots=True)
class Query:
    """A client's query with its only question."""

    message: dns.message.Message
    question: Question

    @property
    def id(self) -> int:
        return self.message.id

    @property
    def max_udp_size(self) -> int:
        """Bytes of the largest answer that the client accepts over UDP."""
        return (
            max(DEFAULT_PAYLOAD_BYTES, self.message.payload)
            if self.message.edns >= 0
            else DEFAULT_PAYLOAD_BYTES
        )


class MalformedError(Exception):
    """The bytes are not a valid query; `answer` is the reply for the client, None if it gets none."""

    def __init__(self, text: str, answer: bytes | None) -> None:
        super().__init__(text)
        self.answer = answer


def read_query(data: bytes) -> Query:
    """Parses a client's message; raises `MalformedError`."""
    if len(data) < HEADER.size:
        raise MalformedError("message is shorter than a DNS header", None)
    ident, flags, questions, answers, authorities, additional = HEADER.unpack_from(data)
    if flags & dns.flags.QR:
        # Never answered: two servers would answer each other's replies without end.
        raise MalformedError("message is a reply, not a query", None)
    opcode = (flags >> 11) & 15
    if opcode != dns.opcode.QUERY:
        raise MalformedError(
            f"opcode {opcode} is not supported", _header_only(ident, flags, dns.rcode.NOTIMP)
        )
    form_error = _header_only(ident, flags, dns.rcode.FORMERR)
    if questions != 1:
        raise MalformedError(f"query has {questions} questions", form_error)
    # Checked before the records are parsed, which takes time and memory for each.
    if len(data) > MAX_QUERY_BYTES or answers or authorities or additional > MAX_ADDITIONAL_RECORDS:
        raise MalformedError("query is longer, or has other records, than queries do", form_error)
    try:
        message = dns.message.from_wire(data)
        question = message.question[0]
    except (dns.exception.DNSException, ValueError, IndexError) as error:
        raise MalformedError(f"{type(error).__name__}: {error}", form_error) from None
    return Query(message, (question.name, question.rdtype, question.rdclass))


def _header_only(ident: int, flags: int, rcode: int) -> bytes:
    """A reply without a question section, for a query whose question cannot be repeated."""
    kept = flags & (dns.flags.RD | 0x7800)  # 0x7800: the opcode
    return HEADER.pack(ident, dns.flags.QR | kept | rcode, 0, 0, 0, 0)


def e164_number(question: Question, suffix: dns.name.Name) -> str | None:
    """The E.164 number (`+` and digits) of a name under the suffix (RFC 6116); None if it is not a number."""
    name = question[0]
    if not name.is_subdomain(suffix) or name == suffix:
        return None
    labels = name.relativize(suffix).labels
    digits = b"".join(reversed(labels))
    if any(len(label) != 1 for label in labels) or not digits.isdigit() or len(digits) > 15:
        return None
    return "+" + digits.decode()


def make_response(
    query: Query, rcode: int, code: dns.edns.EDECode | None = None, text: str = ""
) -> dns.message.Message:
    """A response without records; clients with EDNS get the extended error `code` and `text` (RFC 8914)."""
    message = dns.message.make_response(query.message, recursion_available=True)
    message.set_rcode(dns.rcode.Rcode(rcode))
    if query.message.edns >= 0:
        options: list[dns.edns.Option] = [] if code is None else [dns.edns.EDEOption(code, text or None)]
        message.use_edns(0, 0, LISTENER_PAYLOAD_BYTES, options=options)
    return message


def relay_response(query: Query, upstream: bytes, size_limit: int) -> bytes | None:
    """The bytes of the upstream's records, behind the client's own header and question.

    None if the reply is larger than `size_limit` bytes, or if its additional section holds more than an EDNS
    record without options: `rebuild_response` handles these. The records keep their offsets, so compressed
    names stay valid.
    """
    _, flags, questions, answers, authorities, additional = HEADER.unpack_from(upstream)
    name, rdtype, rdclass = query.question
    question = (name.to_wire() or b"") + struct.pack(">HH", rdtype, rdclass)
    end = len(upstream)
    if (
        additional == 1
        and upstream[-OPT_RECORD.size :].startswith(b"\0\0\x29")
        and upstream.endswith(b"\0\0")
    ):
        end -= OPT_RECORD.size
    elif additional:
        return None
    edns = query.message.edns >= 0
    start = HEADER.size + len(question)
    if questions != 1 or flags & dns.flags.TC or end < start or end + edns * OPT_RECORD.size > size_limit:
        return None
    flags = flags & (dns.flags.QR | dns.flags.AA | 15) | dns.flags.RA | query.message.flags & dns.flags.RD
    header = HEADER.pack(query.id, flags, 1, answers, authorities, int(edns))
    return header + question + upstream[start:end] + (_opt_record(LISTENER_PAYLOAD_BYTES) if edns else b"")


def rebuild_response(query: Query, upstream: bytes) -> dns.message.Message:
    """The upstream's records and response code, with the client's own id, question and EDNS.

    Raises dnspython's errors if the reply cannot be parsed.
    """
    reply = dns.message.from_wire(upstream)
    message = make_response(query, reply.rcode())
    message.flags |= reply.flags & dns.flags.AA
    message.answer, message.authority = reply.answer, reply.authority
    message.additional = reply.additional
    return message


def encode(message: dns.message.Message, size_limit: int) -> bytes:
    """The message in at most `size_limit` bytes; without its records and with TC set if it is larger."""
    try:
        return message.to_wire(max_size=size_limit)
    except dns.exception.TooBig:
        truncated = dns.message.Message(id=message.id)
        truncated.flags = dns.flags.Flag(message.flags | dns.flags.TC)
        truncated.question = message.question
        truncated.set_rcode(message.rcode())
        if message.edns >= 0:
            truncated.use_edns(0, 0, message.payload)
        return truncated.to_wire(max_size=size_limit)


def encode_query(question: Question, ident: int, payload: int) -> bytes:
    """A query to an upstream, with RD and an EDNS record that announces `payload` bytes.

    Packed directly, without a dnspython message: this runs once for every attempt.
    """
    name, rdtype, rdclass = question
    header = HEADER.pack(ident, dns.flags.RD, 1, 0, 0, 1)
    return header + (name.to_wire() or b"") + struct.pack(">HH", rdtype, rdclass) + _opt_record(payload)


def _opt_record(payload: int) -> bytes:
    return OPT_RECORD.pack(0, dns.rdatatype.OPT, payload, 0, 0)


@dataclass(slots=True)
class Reply:
    """An upstream's reply; its records are still unparsed in `data`."""

    data: bytes
    id: int
    question: Question | None
    rcode: int
    truncated: bool


def read_reply(data: bytes) -> Reply | None:
    """Parses the header and the question of a reply; None if the bytes are not a reply.

    The records are parsed only after the reply has been matched to a query.
    """
    if len(data) < HEADER.size:
        return None
    ident, flags, *_ = HEADER.unpack_from(data)
    if not flags & dns.flags.QR:
        return None
    truncated = bool(flags & dns.flags.TC)
    try:
        message = dns.message.from_wire(data, question_only=True, ignore_trailing=True)
    except (dns.exception.DNSException, ValueError):
        return None
    first = message.question[0] if message.question else None
    question = (first.name, int(first.rdtype), int(first.rdclass)) if first is not None else None
    return Reply(data, ident, question, flags & 15, truncated)
