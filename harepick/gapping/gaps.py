"""The decider of one instance: which calls pass the gaps that are set. Pure: time is an argument, in seconds.

Owns the gaps and what was used of the slot that each is in. Rules and where they differ from ITU-T E.412 and
Q.1248: `docs/design/gapping.md`.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import floor, inf
from operator import attrgetter

MAX_GAPS = 200_000
MAX_BROAD = 256  # gaps that name no number and no prefix: each is looked at for every call
BLOCK_ALL = inf  # as an interval: no call passes
# How each front writes the number called: ENUM's are E.164 (ITU-T E.164, section 6); the platform's are the
# tokens that the first line of its SIP address holds (the door's own check, `net/setups.py`).
PLANS = {
    "e164": (re.compile(r"\+[0-9]{1,15}"), "+ and up to 15 digits"),
    "platform": (re.compile(r"[0-9A-Za-z+*_.-]{1,64}"), "up to 64 letters, digits and +*_.-"),
}


# Gap id and slot from the Unix epoch -> whether this instance owns that slot's turns.
SlotOwnership = Callable[[str, int], bool]


class GapError(ValueError):
    """A gap that makes no sense; the text begins with the faulty key."""


@dataclass(frozen=True, slots=True)
class Gap:
    """One gap. `number` and `prefix` are `+` and digits; an empty criterion fits everything."""

    id: str
    interval: float  # seconds of a slot; 0: all pass; `BLOCK_ALL`: none
    number: str = ""
    prefix: str = ""
    call_class: str = ""
    zone: str = ""
    count: int = 1  # turns in a slot
    start: float = 0.0
    end: float = inf  # from this moment on it is over
    inherit: bool = True  # the next broader gap counts as well
    reason: str = ""
    owner: str = ""
    plan: str = "e164"  # how `number` and `prefix` are written: a key of `PLANS`

    @property
    def specific(self) -> tuple[bool, int, int]:
        """Greater is more specific."""
        return bool(self.number), len(self.prefix), bool(self.call_class) + bool(self.zone)

    def fits(self, call: Call) -> bool:
        return (
            self.number in ("", call.number)
            and call.number.startswith(self.prefix)
            and self.call_class in ("", call.call_class)
            and self.zone in ("", call.zone)
        )


@dataclass(frozen=True, slots=True)
class Call:
    """What a gap can see of a call."""

    number: str
    call_class: str = ""
    zone: str = ""


@dataclass(frozen=True, slots=True)
class GapDecision:
    """`gap` is the one that refused; `come_back` the seconds until it has a turn again, 0 if that is not
    known."""

    passed: bool
    gap: str = ""
    come_back: float = 0.0


PASSED = GapDecision(True)


@dataclass(slots=True)
class _Use:
    """A gap and what was used of it."""

    gap: Gap
    order: tuple[tuple[bool, int, int], str]
    slot: int = -1
    taken: int = 0
    offered: int = 0
    passed: int = 0
    refused: int = 0


def check_gap(gap: Gap, now: float, classes: Iterable[str] = ()) -> None:
    """Raises `GapError`, its text beginning with the faulty key."""
    if gap.plan not in PLANS:
        raise GapError(f"plan is none of {sorted(PLANS)}: {gap.plan!r}")
    form, told = PLANS[gap.plan]
    for key in ("number", "prefix"):
        value = getattr(gap, key)
        if value and not (value.isascii() and form.fullmatch(value)):
            raise GapError(f"{key} is no {told}: {value!r}")
    if not gap.id:
        raise GapError("id is empty")
    if not (gap.number or gap.prefix or gap.call_class or gap.zone):
        raise GapError("number, prefix, class and zone are all empty: the gap would fit every call")
    if gap.number and not gap.number.startswith(gap.prefix):
        raise GapError(f"prefix {gap.prefix!r} does not begin the number {gap.number!r}")
    if not gap.interval >= 0:
        raise GapError(f"interval is negative: {gap.interval!r}")
    if isinstance(gap.count, bool) or gap.count < 1:
        raise GapError(f"count is under 1: {gap.count!r}")
    if not gap.end > max(gap.start, now):
        raise GapError(f"end is past, or not after the start: {gap.end!r}")
    known = set(classes)
    if gap.call_class and known and gap.call_class not in known:
        raise GapError(f"class is not known: {gap.call_class!r}")


class Gaps:
    """The gaps that are set. A decision looks at one entry for each length of prefix in use, however many
    gaps."""

    def __init__(self) -> None:
        self._by_id: dict[str, _Use] = {}
        self._by_number: dict[str, list[_Use]] = {}
        self._by_prefix: dict[int, dict[str, list[_Use]]] = {}  # length -> prefix -> gaps
        self._broad: list[_Use] = []

    def __len__(self) -> int:
        return len(self._by_id)

    def set(self, gap: Gap, now: float, classes: Iterable[str] = ()) -> None:
        """Begins or changes a gap; one that changes keeps what was used of its slot if its slots stay the
        same.

        Raises `GapError`, changing nothing."""
        check_gap(gap, now, classes)
        old = self._by_id.get(gap.id)
        if old is None and len(self._by_id) >= MAX_GAPS:
            raise GapError(f"id: there are {MAX_GAPS} gaps already")
        broad = not gap.number and not gap.prefix
        if broad and len(self._broad) - (old in self._broad) >= MAX_BROAD:
            raise GapError(f"number and prefix are empty, and there are {MAX_BROAD} such gaps already")
        use = _Use(gap, (gap.specific, gap.id))
        if old:
            use.offered, use.passed, use.refused = old.offered, old.passed, old.refused
            if (old.gap.interval, old.gap.start) == (gap.interval, gap.start):
                use.slot, use.taken = old.slot, old.taken
            self.lift(gap.id)
        self._by_id[gap.id] = use
        self._place(gap).append(use)

    def lift(self, name: str) -> Gap | None:
        """Ends a gap; None if there is none of that id."""
        use = self._by_id.pop(name, None)
        if use is None:
            return None
        gap, rows = use.gap, self._place(use.gap)
        rows.remove(use)
        if not rows and gap.number:
            del self._by_number[gap.number]
        elif not rows and gap.prefix:
            table = self._by_prefix[len(gap.prefix)]
            del table[gap.prefix]
            if not table:
                del self._by_prefix[len(gap.prefix)]
        return gap

    def expire(self, now: float) -> list[Gap]:
        """Lifts those that are over."""
        over = [use.gap for use in self._by_id.values() if use.gap.end <= now]
        for gap in over:
            self.lift(gap.id)
        return over

    def decide(self, call: Call, now: float, owns: SlotOwnership | None = None) -> GapDecision:
        """Takes a turn at every gap that counts for this call, or at none. With `owns`, a slot's turns are
        this instance's only if `owns(gap, slot)` says so, the slot counted from the Unix epoch: over a fleet
        each slot has one owner (`slot_allocation.py`)."""
        counting = self._counting(call, now)
        if not counting:
            return PASSED
        verdict, waits = PASSED, 0.0
        for use in counting:
            use.offered += 1
            wait = _wait(use, now, owns)
            if wait is not None and (verdict.passed or wait > waits):
                verdict, waits = GapDecision(False, use.gap.id, 0.0 if wait == inf else wait), wait
        for use in counting:
            if verdict.passed:
                use.passed += 1
                use.taken += 1
            else:
                use.refused += use.gap.id == verdict.gap
        return verdict

    def explain(self, call: Call, now: float) -> list[tuple[Gap, bool]]:
        """The gaps that count for a call, most specific first, and whether each has a turn now; takes
        none."""
        return [(use.gap, _wait(use, now) is None) for use in self._counting(call, now)]

    def counts(self) -> Mapping[str, tuple[int, int, int]]:
        """By gap: calls offered, passed, and refused by it."""
        return {name: (use.offered, use.passed, use.refused) for name, use in self._by_id.items()}

    def _place(self, gap: Gap) -> list[_Use]:
        if gap.number:
            return self._by_number.setdefault(gap.number, [])
        if gap.prefix:
            return self._by_prefix.setdefault(len(gap.prefix), {}).setdefault(gap.prefix, [])
        return self._broad

    def _counting(self, call: Call, now: float) -> list[_Use]:
        """Those that fit and run, most specific first, down to the first that does not inherit."""
        number = call.number
        found: list[_Use] = []
        if rows := self._by_number.get(number):
            found += rows
        for length, table in self._by_prefix.items():
            if rows := table.get(number[:length]):
                found += rows
        found += self._broad
        if not found:
            return found
        if len(found) == 1:  # as nearly always
            gap = found[0].gap
            return found if gap.start <= now < gap.end and gap.fits(call) else []
        found = [u for u in found if u.gap.start <= now < u.gap.end and u.gap.fits(call)]
        found.sort(key=_order, reverse=True)
        for n, use in enumerate(found):
            if not use.gap.inherit:
                return found[: n + 1]
        return found


_order = attrgetter("order")


def _wait(use: _Use, now: float, owns: SlotOwnership | None = None) -> float | None:
    """None if it has a turn now, else the seconds until it may have one; moves on to the slot of now."""
    gap = use.gap
    if gap.interval == 0:
        return None
    if gap.interval == BLOCK_ALL:
        return gap.end - now
    slot = floor((now - gap.start) / gap.interval)
    if slot > use.slot:  # never back: a clock that jumps gives no second turn
        use.slot, use.taken = slot, 0
    mine = owns is None or owns(gap.id, use.slot + round(gap.start / gap.interval))
    if use.taken < gap.count and mine:
        return None
    return max(0.0, gap.start + (use.slot + 1) * gap.interval - now)
