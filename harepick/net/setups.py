"""Validation of callers' set-ups, done once, before a call is registered.

A setup server closes a connection on which it receives a message that it cannot parse, and every other
set-up open there is lost. Only set-ups that follow the protocol are therefore passed on. Numeric fields
are digits within bounds: no signs, blanks or underscores, and no values too large to convert."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from harepick import interface
from harepick.net import binary

CAUSE_MISSING, CAUSE_INVALID, CAUSE_BAD_NUMBER = 96, 100, 28  # Q.850 causes
NUMBER = re.compile(rb"[0-9A-Za-z+*_.-]{1,64}")  # can be part of a SIP URI without escaping
DIGITS = re.compile(rb"[0-9]{1,9}")
ATTRIBUTES = re.compile(rb"[a-z]+:-?[0-9]{1,9}(;[a-z]+:-?[0-9]{1,9})*;?")
ATTRIBUTE_BOUNDS = {"dest": (-1, 65_535), "width": (1, 64), "via": (-1, 65_535), "again": (0, 1)}
NULL_CALL_ID = bytes(8)


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

    @property
    def size(self) -> int:
        """Bytes of all fields."""
        return len(self.class_name) + len(self.number) + len(self.description)


@dataclass(slots=True)
class SetUp:
    """A valid set-up.

    `time_limit` is how long the caller waits, in seconds; `destination` is -1 if the caller named none;
    `again` is set if the caller marked the call as a redial."""

    request: Request
    time_limit: float
    destination: int
    again: bool


@dataclass(slots=True)
class _TimeLimits:
    """The longest time that set-ups of one class may name, in seconds."""

    current: float = 0.0  # 0: the class is not configured
    # Longer ones that earlier settings allowed, each with the Unix time until which it is accepted.
    earlier: list[tuple[float, float]] = field(default_factory=list)

    def replace(self, new: float, now: float) -> None:
        """Applies new settings; what the ones before allowed is accepted for the time of a reload."""
        self.earlier = [(limit, until) for limit, until in self.earlier if now < until and limit > new]
        if self.current > new:
            self.earlier.append((self.current, now + interface.RELOAD_GRACE_S))
        self.current = new

    def longest(self, now: float) -> float:
        """The longest time that is accepted now; 0 if the class is not known."""
        return max((limit for limit, until in self.earlier if now < until), default=self.current)


class SetUpParser:
    """Parses and validates set-ups against the configured call classes.

    Callers go on using the previous settings for a while after a reload. A class that was dropped, or a time
    limit that was lowered, is therefore accepted for `interface.RELOAD_GRACE_S` after the reload that did so,
    however many reloads follow."""

    def __init__(self, classes: tuple[interface.CallClass, ...]) -> None:
        self._time_limits = {each.name.encode(): _TimeLimits(each.give_up) for each in classes}

    def replace_classes(self, classes: tuple[interface.CallClass, ...], now: float) -> None:
        """Uses new classes from `now` on, Unix time in seconds."""
        new_limits = {each.name.encode(): each.give_up for each in classes}
        for name in new_limits:
            self._time_limits.setdefault(name, _TimeLimits())
        for name, limits in self._time_limits.items():
            limits.replace(new_limits.get(name, 0.0), now)
        self._time_limits = {
            name: limits for name, limits in self._time_limits.items() if limits.longest(now) > 0
        }

    def _max_time_limit(self, class_name: bytes, now: float) -> float | None:
        limits = self._time_limits.get(class_name)
        return (limits.longest(now) or None) if limits is not None else None

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
