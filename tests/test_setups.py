"""What a set-up must look like, without sockets."""

from __future__ import annotations

import pytest

from harepick import interface as i
from harepick.net import binary
from harepick.net.setups import BAD_NUMBER, INVALID, MISSING, BadSetUpError, SetUps

READER = SetUps((i.CallClass("a", aim=1.0, give_up=3.0, worth=1.0),))


def set_up(call: bytes = b"12345678", **changes: bytes | None) -> binary.Message:
    fields = {"cls": b"a", "patience": b"1500", "number": b"7f3a", "figures": b"dest:2;width:1;via:-1"}
    codes = {"cls": 3, "patience": 5, "number": 11, "figures": 13, "description": 33}
    wanted: dict[str, bytes | None] = {**fields, "description": b"offer", **changes}
    return binary.Message(1, call, {codes[k]: v for k, v in wanted.items() if v is not None})


def test_a_set_up_as_it_should_be_is_read() -> None:
    found = READER.read(set_up(figures=b"dest:2;width:1;via:-1;again:1"), 0.0)
    assert (found.patience, found.destination, found.again) == (1.5, 2, True)
    assert (found.request.number, found.request.description) == (b"7f3a", b"offer")
    plain = READER.read(set_up(patience=None, figures=None), 0.0)
    assert (plain.patience, plain.destination, plain.again) == (3.0, -1, False)


@pytest.mark.parametrize(
    ("message", "cause"),
    [
        (set_up(b"\0" * 8), MISSING),  # servers close on a set-up without an id, with all that is open there
        (set_up(cls=None), MISSING),
        (set_up(number=None), MISSING),
        (set_up(description=None), MISSING),
        (set_up(cls=b"a_x"), INVALID),
        (set_up(number=b"77\n"), BAD_NUMBER),
        (set_up(number=b"7 7"), BAD_NUMBER),
        *(
            (set_up(patience=p), INVALID)
            for p in (b"-5", b"+5", b"1_000", b" 5", b"soon", b"", b"0", b"3002")
        ),
        (set_up(patience=b"9" * 400), INVALID),  # as a float it raised OverflowError and ended the program
        *(
            (set_up(figures=f), INVALID)
            for f in (b"x", b"dest:nan;width:1", b"dest:-3;width:1", b"dest:0;width:0", b"dest:1;width:400")
        ),
        (set_up(figures=b"dest:" + b"9" * 400), INVALID),
        (set_up(figures=b"dest:1_0"), INVALID),
    ],
)
def test_what_is_out_of_bounds_is_refused_with_its_cause(message: binary.Message, cause: int) -> None:
    with pytest.raises(BadSetUpError) as refused:
        READER.read(message, 0.0)
    assert refused.value.cause == cause
