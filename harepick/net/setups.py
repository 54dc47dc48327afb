"""What a caller's set-up must look like before it goes further: checked here, once, before it is booked.

A setup server closes on what it can't read, with everything else that is open on that connection; so nothing
goes on that is not in the form of the protocol. Figures are digits within bounds: no signs, blanks or
underscores, and nothing that is too large to count with.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from harepick import interface as i
from harepick.net import binary

MISSING, INVALID, BAD_NUMBER = 96, 100, 28  # causes of Q.850
NUMBER = re.compile(rb"[0-9A-Za-z+*_.-]{1,64}")  # what fits into a SIP address as it is
COUNT = re.compile(rb"[0-9]{1,9}")
FIGURES = re.compile(rb"[a-z]+:-?[0-9]{1,9}(;[a-z]+:-?[0-9]{1,9})*;?")
BOUNDS = {"dest": (-1, 65_535), "width": (1, 64), "via": (-1, 65_535), "again": (0, 1)}
NO_ID = bytes(8)
DROPPED_FOR = 2.0  # clients move to new classes 1.2 s after a reload: until then the old ones still come


class BadSetUpError(ValueError):
    """A set-up that is refused at the door, with the cause that its caller is told."""

    def __init__(self, cause: int) -> None:
        super().__init__(cause)
        self.cause = cause


@dataclass(slots=True)
class Request:
    """The fields of a set-up that go on unchanged."""

    class_name: bytes
    number: bytes
    description: bytes


@dataclass(slots=True)
class SetUp:
    request: Request
    patience: float
    destination: int
    again: bool


class SetUps:
    def __init__(self, classes: tuple[i.CallClass, ...]) -> None:
        self._patience = {c.name.encode(): c.give_up for c in classes}
        self._dropped: dict[bytes, float] = {}  # classes of the settings before the last reload
        self._dropped_until = 0.0

    def retune(self, classes: tuple[i.CallClass, ...], now: float) -> None:
        """New classes at once; one that was dropped is taken for `DROPPED_FOR` more seconds."""
        patience = {c.name.encode(): c.give_up for c in classes}
        self._dropped = {name: most for name, most in self._patience.items() if name not in patience}
        self._dropped_until = now + DROPPED_FOR
        self._patience = patience

    def _most(self, class_name: bytes, now: float) -> float | None:
        if (most := self._patience.get(class_name)) is not None:
            return most
        return self._dropped.get(class_name) if now < self._dropped_until else None

    def known(self, class_name: bytes, now: float) -> str | None:
        """The class of that name, if there is one."""
        return class_name.decode() if self._most(class_name, now) is not None else None

    def read(self, message: binary.Message, now: float) -> SetUp:
        """Raises `BadSetUpError`."""
        fields = message.parameters
        class_name, number = fields.get(binary.CLASS, b""), fields.get(binary.NUMBER, b"")
        description = fields.get(binary.DESCRIPTION)
        if message.call == NO_ID or not class_name or not number or description is None:
            raise BadSetUpError(MISSING)
        most = self._most(class_name, now)
        if most is None:
            raise BadSetUpError(INVALID)
        if not NUMBER.fullmatch(number):
            raise BadSetUpError(BAD_NUMBER)
        patience = most
        if (text := fields.get(binary.PATIENCE)) is not None:
            if not COUNT.fullmatch(text):
                raise BadSetUpError(INVALID)
            patience = int(text) / 1000.0
            if not 0 < patience <= most + 0.001:  # past its class's own, its caller has gone
                raise BadSetUpError(INVALID)
        figures = _figures(fields.get(binary.FIGURES, b""))
        request = Request(class_name, number, description)
        return SetUp(request, patience, figures.get("dest", -1), figures.get("again") == 1)


def _figures(value: bytes) -> dict[str, int]:
    """`dest:2;width:1;via:-1` as a table; names that are not known here may be there."""
    if not value:
        return {}
    if not FIGURES.fullmatch(value):
        raise BadSetUpError(INVALID)
    table = {name: int(text) for name, text in binary.figures(value).items()}
    for name, (low, high) in BOUNDS.items():
        if not low <= table.get(name, low) <= high:
            raise BadSetUpError(INVALID)
    return table
