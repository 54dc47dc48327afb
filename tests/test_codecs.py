"""The codecs without sockets: independent of segmentation, and bounded for any input."""

from __future__ import annotations

from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harepick.net import binary, sip

MESSAGES = st.builds(
    binary.Message,
    st.integers(0, 255),
    st.binary(min_size=8, max_size=8),
    st.dictionaries(st.integers(0, 255), st.binary(max_size=200), max_size=4),
)


@settings(derandomize=True, deadline=None)
@given(st.lists(MESSAGES, max_size=4), st.integers(1, 40))
def test_binary_messages_survive_any_segmentation(messages: list[binary.Message], step: int) -> None:
    data = b"".join(message.encode() for message in messages)
    decoder = binary.Decoder()
    pieces = [data[at : at + step] for at in range(0, len(data), step)]
    assert [message for piece in pieces for message in decoder.feed(piece)] == messages


@settings(derandomize=True, deadline=None)
@given(st.lists(st.binary(max_size=300).map(lambda b: b + b"\r\n"), max_size=4), st.integers(1, 60))
def test_sip_messages_survive_any_segmentation(bodies: list[bytes], step: int) -> None:
    data = b"\r\n".join(sip.invite(b"77", f"{n:016x}", 1, b"a", 900, b) for n, b in enumerate(bodies))
    decoder = sip.Decoder()
    found = [m for at in range(0, len(data), step) for m in decoder.feed(data[at : at + step])]
    assert [(m.call, m.method, m.body) for m in found] == [
        (f"{n:016x}", "INVITE", body) for n, body in enumerate(bodies)
    ]


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=400))
def test_random_bytes_raise_only_the_codecs_own_error(data: bytes) -> None:
    for decoder, error in ((binary.Decoder(), binary.BinaryError), (sip.Decoder(), sip.SipError)):
        with suppress(error):
            list(decoder.feed(data))


@pytest.mark.parametrize(
    "data",
    [
        b"INVITE sip:1@net SIP/2.0\r\nX: " + b"y" * 17_000,
        b"INVITE sip:1@net SIP/2.0\r\nContent-Length: 16384\r\n\r\n",
        b"INVITE sip:1@net SIP/2.0\r\n\r\n",
        b"SIP/2.0 999 No\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_malformed_or_oversized_sip_is_rejected(data: bytes) -> None:
    with pytest.raises(sip.SipError):
        list(sip.Decoder().feed(data))


BODY = b"v=0\r\nm=audio 1 RTP/AVP 0\r\n"
ANSWER = b"SIP/2.0 200 OK\r\nCall-ID: %b\r\nCSeq: 1 INVITE\r\nContent-Length: %d\r\n\r\n" + BODY
LENGTH = len(BODY)


@pytest.mark.parametrize("missing_bytes", range(1, LENGTH + 1))
def test_body_longer_than_its_content_length_is_rejected(missing_bytes: int) -> None:
    """With a Content-Length that is too small, the start of a body would pass for the whole session
    description, and the caller would be given an answer that no server sent."""
    decoder = sip.Decoder()
    valid_message = ANSWER % (b"1" * 16, LENGTH)
    found = []
    with pytest.raises(sip.SipError):
        for message in decoder.feed(
            valid_message + ANSWER % (b"2" * 16, LENGTH - missing_bytes) + valid_message
        ):
            found.append(message.call)
    assert found == ["1" * 16]  # the message ahead of it is delivered


def test_conflicting_content_lengths_are_rejected() -> None:
    with pytest.raises(sip.SipError):
        list(sip.Decoder().feed(b"SIP/2.0 200 OK\r\nContent-Length: 0\r\nContent-Length: 4\r\n\r\n"))


def test_load_report_is_parsed_without_invalid_values() -> None:
    head = b"NOTIFY sip:exchange@net SIP/2.0\r\nP-Load: free:27;size:278;odd:x;\r\nContent-Length: 0\r\n\r\n"
    assert sip.parse_load(next(iter(sip.Decoder().feed(head)))) == {"free": 27.0, "size": 278.0}
