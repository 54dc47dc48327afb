"""Validation of set-ups, without sockets."""

from __future__ import annotations

import pytest

from harepick import interface
from harepick.net import binary
from harepick.net.setups import (
    CAUSE_BAD_NUMBER,
    CAUSE_INVALID,
    CAUSE_MISSING,
    InvalidSetUpError,
    SetUpParser,
)

PARSER = SetUpParser((interface.CallClass("a", aim=1.0, give_up=3.0, worth=1.0),))


def set_up(call: bytes = b"12345678", **changes: bytes | None) -> binary.Message:
    fields = {
        "class_name": b"a",
        "time_limit": b"1500",
        "number": b"7f3a",
        "attributes": b"dest:2;width:1;via:-1",
    }
    codes = {"class_name": 3, "time_limit": 5, "number": 11, "attributes": 13, "description": 33}
    wanted: dict[str, bytes | None] = {**fields, "description": b"offer", **changes}
    return binary.Message(1, call, {codes[k]: v for k, v in wanted.items() if v is not None})


def test_valid_set_up_is_parsed() -> None:
    found = PARSER.parse(set_up(attributes=b"dest:2;width:1;via:-1;again:1"), 0.0)
    assert (found.time_limit, found.destination, found.again) == (1.5, 2, True)
    assert (found.request.number, found.request.description) == (b"7f3a", b"offer")
    plain = PARSER.parse(set_up(time_limit=None, attributes=None), 0.0)
    assert (plain.time_limit, plain.destination, plain.again) == (3.0, -1, False)


@pytest.mark.parametrize(
    ("message", "cause"),
    [
        (set_up(b"\0" * 8), CAUSE_MISSING),  # servers would close the connection
        (set_up(class_name=None), CAUSE_MISSING),
        (set_up(number=None), CAUSE_MISSING),
        (set_up(description=None), CAUSE_MISSING),
        (set_up(class_name=b"a_x"), CAUSE_INVALID),
        (set_up(number=b"77\n"), CAUSE_BAD_NUMBER),
        (set_up(number=b"7 7"), CAUSE_BAD_NUMBER),
        *(
            (set_up(time_limit=p), CAUSE_INVALID)
            for p in (b"-5", b"+5", b"1_000", b" 5", b"soon", b"", b"0", b"3002")
        ),
        (set_up(time_limit=b"9" * 400), CAUSE_INVALID),  # float() would raise OverflowError
        *(
            (set_up(attributes=f), CAUSE_INVALID)
            for f in (b"x", b"dest:nan;width:1", b"dest:-3;width:1", b"dest:0;width:0", b"dest:1;width:400")
        ),
        (set_up(attributes=b"dest:" + b"9" * 400), CAUSE_INVALID),
        (set_up(attributes=b"dest:1_0"), CAUSE_INVALID),
    ],
)
def test_invalid_set_up_is_refused_with_its_cause(message: binary.Message, cause: int) -> None:
    with pytest.raises(InvalidSetUpError) as refused:
        PARSER.parse(message, 0.0)
    assert refused.value.cause == cause
