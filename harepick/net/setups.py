"""Validation of callers' set-ups, done once, before a call is registered.

A setup server closes a connection on which it receives a message that it cannot parse, and every other
set-up open there is lost. Only set-ups that follow the protocol are therefore passed on. Numeric fields
are digits within bounds: no signs, blanks or underscores, and no values too large to convert."""

from __future__ import annotations

import re
from dataclasses import dataclass

from harepick import interface
from harepick.net import binary

CAUSE_MISSING, CAUSE_INVALID, CAUSE_BAD_NUMBER = 96, 100, 28  # Q.850 causes
NUMBER = re.compile(rb"[0-9A-Za-z+*_.-]{1,64}")  # can be part of a SIP URI without escaping
DIGITS = re.compile(rb"[0-9]{1,9}")
ATTRIBUTES = re.compile(rb"[a-z]+:-?[0-9]{1,9}(;[a-z]+:-?[0-9]{1,9})*;?")
ATTRIBUTE_BOUNDS = {"dest": (-1, 65_535), "width": (1, 64), "via": (-1, 65_535), "again": (0, 1)}
NULL_CALL_ID = bytes(8)
# Clients move to new classes 1.2 s after a reload and send the old ones until then.
DROPPED_CLASS_GRACE_S = 2.0


class InvalidSetUpError(ValueError):
    """A set-up that is refused by validation; `cause` is the Q.850 cause sent to its caller."""

    def __init__(self, cause: int) -> None:
        super().__init__(cause)
        self.cause = cause


@dataclass(slots=True)
class Request:
    """The fields of a set-up that are passed on unchanged to the setup server."""

    class_name: bytes
    number: bytes
    description: bytes


@dataclass(slots=True)
class SetUp:
    """A valid set-up.

    `time_limit` is how long the caller waits, in seconds; `destination` is -1 if the caller named none;
    `again` is set if the caller marked the call as a redial."""

    request: Request
    time_limit: float
    destination: int
    again: bool


class SetUpParser:
    """Parses and validates set-ups against the configured call classes."""

    def __init__(self, classes: tuple[interface.CallClass, ...]) -> None:
        self._time_limits = {c.name.encode(): c.give_up for c in classes}
        self._dropped: dict[bytes, float] = {}  # classes dropped by the last reload
        self._dropped_until = 0.0

    def replace_classes(self, classes: tuple[interface.CallClass, ...], now: float) -> None:
        """Uses new classes from `now` on; dropped ones are accepted for `DROPPED_CLASS_GRACE_S` more
        seconds."""
        time_limits = {c.name.encode(): c.give_up for c in classes}
        self._dropped = {
            name: max_time_limit
            for name, max_time_limit in self._time_limits.items()
            if name not in time_limits
        }
        self._dropped_until = now + DROPPED_CLASS_GRACE_S
        self._time_limits = time_limits

    def _max_time_limit(self, class_name: bytes, now: float) -> float | None:
        if (max_time_limit := self._time_limits.get(class_name)) is not None:
            return max_time_limit
        return self._dropped.get(class_name) if now < self._dropped_until else None

    def known_class(self, class_name: bytes, now: float) -> str | None:
        """Returns the class name as text, or None if there is no such class."""
        return class_name.decode() if self._max_time_limit(class_name, now) is not None else None

    def parse(self, message: binary.Message, now: float) -> SetUp:
        """Validates a set-up; raises `InvalidSetUpError`."""
        parameters = message.parameters
        class_name, number = parameters.get(binary.CLASS, b""), parameters.get(binary.NUMBER, b"")
        description = parameters.get(binary.DESCRIPTION)
        if message.call == NULL_CALL_ID or not class_name or not number or description is None:
            raise InvalidSetUpError(CAUSE_MISSING)
        max_time_limit = self._max_time_limit(class_name, now)
        if max_time_limit is None:
            raise InvalidSetUpError(CAUSE_INVALID)
        if not NUMBER.fullmatch(number):
            raise InvalidSetUpError(CAUSE_BAD_NUMBER)
        time_limit = max_time_limit
        if (text := parameters.get(binary.TIME_LIMIT)) is not None:
            if not DIGITS.fullmatch(text):
                raise InvalidSetUpError(CAUSE_INVALID)
            time_limit = int(text) / 1000.0
            if not 0 < time_limit <= max_time_limit + 0.001:  # the caller gives up at its class's limit
                raise InvalidSetUpError(CAUSE_INVALID)
        attributes = _parse_attributes(parameters.get(binary.ATTRIBUTES, b""))
        request = Request(class_name, number, description)
        return SetUp(request, time_limit, attributes.get("dest", -1), attributes.get("again") == 1)


def _parse_attributes(value: bytes) -> dict[str, int]:
    """Parses `dest:2;width:1;via:-1` into numbers; unknown names are allowed."""
    if not value:
        return {}
    if not ATTRIBUTES.fullmatch(value):
        raise InvalidSetUpError(CAUSE_INVALID)
    table = {name: int(text) for name, text in binary.parse_attributes(value).items()}
    for name, (low, high) in ATTRIBUTE_BOUNDS.items():
        if not low <= table.get(name, low) <= high:
            raise InvalidSetUpError(CAUSE_INVALID)
    return table
