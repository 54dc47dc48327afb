"""The gaps of one instance and the decision which calls pass them. Pure: time is an argument, in seconds.

Owns the gaps and the number of calls that passed in the current slot of each. The rules, and where they
differ from ITU-T E.412 and Q.1248, are in `docs/design/gapping.md`.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import floor, inf
from operator import attrgetter

MAX_GAPS = 200_000  # of one instance
MAX_BROAD_GAPS = 256  # gaps with neither number nor prefix: every call is matched against each of them
BLOCK_ALL = inf  # interval of a gap that passes no call
# Format of the called number on each service. ENUM uses E.164 numbers (ITU-T E.164, section 6); the platform
# uses the tokens that the first line of its SIP messages may hold (the same check as in `net/setups.py`).
NUMBERING_PLANS = {
    "e164": (re.compile(r"\+[0-9]{1,15}"), "+ and up to 15 digits"),
    "platform": (re.compile(r"[0-9A-Za-z+*_.-]{1,64}"), "up to 64 letters, digits and +*_.-"),
}


# (gap id, slot number from the Unix epoch) -> whether this instance owns that slot.
SlotOwnership = Callable[[str, int], bool]


class GapError(ValueError):
    """An invalid gap; the text begins with the key that is wrong."""


@dataclass(frozen=True, slots=True)
class Gap:
    """One gap; times are Unix seconds. An empty criterion matches every call."""

    id: str
    interval: float  # length of a slot in seconds; 0 passes every call, `BLOCK_ALL` none
    number: str = ""
    prefix: str = ""
    call_class: str = ""
    zone: str = ""
    count: int = 1  # calls that pass per slot
    start: float = 0.0
    end: float = inf  # exclusive
    inherit: bool = True  # broader gaps that match the call apply as well
    # For operators: why the gap was set, and who set it. Decisions do not depend on them.
    reason: str = ""
    owner: str = ""
    plan: str = "e164"  # numbering plan of `number` and `prefix`: a key of `NUMBERING_PLANS`

    @property
    def specificity(self) -> tuple[bool, int, int]:
        """Sorts gaps by how specific their criteria are; greater is more specific."""
        return bool(self.number), len(self.prefix), bool(self.call_class) + bool(self.zone)

    def matches(self, call: Call) -> bool:
        """Whether the call meets all criteria; its time is not considered."""
        return (
            self.number in ("", call.number)
            and call.number.startswith(self.prefix)
            and self.call_class in ("", call.call_class)
            and self.zone in ("", call.zone)
        )


@dataclass(frozen=True, slots=True)
class Call:
    """The properties of a call that gaps are matched against."""

    number: str
    call_class: str = ""
    zone: str = ""


@dataclass(frozen=True, slots=True)
class GapDecision:
    """Whether a call passes.

    `gap` is the id of the gap that refused it; `retry_after` the seconds until that gap may pass a call, or 0
    if it passes none and has no end.
    """

    passed: bool
    gap: str = ""  # id
    retry_after: float = 0.0


PASS_DECISION = GapDecision(True)  # for a call that no gap refuses


@dataclass(slots=True)
class _GapState:
    """A gap, the calls that passed in its current slot, and its counters."""

    gap: Gap
    sort_key: tuple[tuple[bool, int, int], str]
    slot: int = -1  # current slot, counted from the gap's start
    passed_in_slot: int = 0
    offered: int = 0
    passed: int = 0
    refused: int = 0


def check_gap(gap: Gap, now: float, classes: Iterable[str] = ()) -> None:
    """Raises `GapError` if the gap is invalid or has ended; any class is valid if `classes` is empty."""
    if gap.plan not in NUMBERING_PLANS:
        raise GapError(f"plan is none of {sorted(NUMBERING_PLANS)}: {gap.plan!r}")
    pattern, description = NUMBERING_PLANS[gap.plan]
    for key in ("number", "prefix"):
        value = getattr(gap, key)
        if value and not (value.isascii() and pattern.fullmatch(value)):
            raise GapError(f"{key} is no {description}: {value!r}")
    if not gap.id:
        raise GapError("id is empty")
    if not (gap.number or gap.prefix or gap.call_class or gap.zone):
        raise GapError("number, prefix, class and zone are all empty: the gap would match every call")
    if gap.number and not gap.number.startswith(gap.prefix):
        raise GapError(f"prefix {gap.prefix!r} is not a prefix of the number {gap.number!r}")
    if not gap.interval >= 0:
        raise GapError(f"interval is negative: {gap.interval!r}")
    if isinstance(gap.count, bool) or gap.count < 1:
        raise GapError(f"count is less than 1: {gap.count!r}")
    if not gap.end > max(gap.start, now):
        raise GapError(f"end is past, or not after the start: {gap.end!r}")
    known_classes = set(classes)
    if gap.call_class and known_classes and gap.call_class not in known_classes:
        raise GapError(f"class is not known: {gap.call_class!r}")


class Gaps:
    """The gaps of one instance.

    A decision takes one look-up by number and one for each length of prefix in use, whatever the number of
    gaps; gaps with neither number nor prefix are all compared.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, _GapState] = {}
        self._by_number: dict[str, list[_GapState]] = {}
        self._by_prefix: dict[int, dict[str, list[_GapState]]] = {}  # length -> prefix -> gaps
        self._broad: list[_GapState] = []

    def __len__(self) -> int:
        return len(self._by_id)

    def set(self, gap: Gap, now: float, classes: Iterable[str] = ()) -> None:
        """Adds or replaces a gap.

        A replaced gap keeps its counters, and with the same start and interval also the calls that passed in
        the current slot. Raises `GapError` and changes nothing if the gap is invalid or there are too many.
        """
        check_gap(gap, now, classes)
        old = self._by_id.get(gap.id)
        if old is None and len(self._by_id) >= MAX_GAPS:
            raise GapError(f"id: there are {MAX_GAPS} gaps already")
        broad = not gap.number and not gap.prefix
        if broad and len(self._broad) - (old in self._broad) >= MAX_BROAD_GAPS:
            raise GapError(f"number and prefix are empty, and there are {MAX_BROAD_GAPS} such gaps already")
        state = _GapState(gap, (gap.specificity, gap.id))
        if old:
            state.offered, state.passed, state.refused = old.offered, old.passed, old.refused
            if (old.gap.interval, old.gap.start) == (gap.interval, gap.start):
                state.slot, state.passed_in_slot = old.slot, old.passed_in_slot
            self.lift(gap.id)
        self._by_id[gap.id] = state
        self._index_list(gap).append(state)

    def lift(self, gap_id: str) -> Gap | None:
        """Removes and returns the gap with that id; None if there is none."""
        state = self._by_id.pop(gap_id, None)
        if state is None:
            return None
        gap, states = state.gap, self._index_list(state.gap)
        states.remove(state)
        if not states and gap.number:
            del self._by_number[gap.number]
        elif not states and gap.prefix:
            by_prefix = self._by_prefix[len(gap.prefix)]
            del by_prefix[gap.prefix]
            if not by_prefix:
                del self._by_prefix[len(gap.prefix)]
        return gap

    def expire(self, now: float) -> list[Gap]:
        """Removes and returns the gaps that have ended."""
        expired = [state.gap for state in self._by_id.values() if state.gap.end <= now]
        for gap in expired:
            self.lift(gap.id)
        return expired

    def decide(self, call: Call, now: float, owns: SlotOwnership | None = None) -> GapDecision:
        """Decides whether a call passes, and counts it at every gap that applies to it.

        A call passes if every such gap may still pass one in its current slot; a refused call uses up none of
        them. With `owns`, a gap passes calls only in slots for which `owns(gap, slot)` is true, where slots
        are counted from the Unix epoch: in a fleet each slot has one owner (`slot_allocation.py`).
        """
        applicable = self._applicable(call, now)
        if not applicable:
            return PASS_DECISION
        decision, longest_wait = PASS_DECISION, 0.0
        for state in applicable:
            state.offered += 1
            wait = _seconds_until_pass(state, now, owns)
            # Of several gaps that refuse the call, the one with the longest wait is reported.
            if wait is not None and (decision.passed or wait > longest_wait):
                decision, longest_wait = GapDecision(False, state.gap.id, 0.0 if wait == inf else wait), wait
        for state in applicable:
            if decision.passed:
                state.passed += 1
                state.passed_in_slot += 1
            else:
                state.refused += state.gap.id == decision.gap
        return decision

    def explain(self, call: Call, now: float) -> list[tuple[Gap, bool]]:
        """The gaps that apply to a call, most specific first, and whether each would pass it; counts
        nothing."""
        return [(state.gap, _seconds_until_pass(state, now) is None) for state in self._applicable(call, now)]

    def counts(self) -> Mapping[str, tuple[int, int, int]]:
        """Gap id -> calls offered, passed, and refused by that gap."""
        return {gap_id: (state.offered, state.passed, state.refused) for gap_id, state in self._by_id.items()}

    def _index_list(self, gap: Gap) -> list[_GapState]:
        """The list in which the gap is indexed, created if there is none."""
        if gap.number:
            return self._by_number.setdefault(gap.number, [])
        if gap.prefix:
            return self._by_prefix.setdefault(len(gap.prefix), {}).setdefault(gap.prefix, [])
        return self._broad

    def _applicable(self, call: Call, now: float) -> list[_GapState]:
        """Active gaps that match, most specific first, up to the first that does not inherit."""
        number = call.number
        found: list[_GapState] = []
        if states := self._by_number.get(number):
            found += states
        for length, by_prefix in self._by_prefix.items():
            if states := by_prefix.get(number[:length]):
                found += states
        found += self._broad
        if not found:
            return found
        if len(found) == 1:  # the common case: no need to sort
            gap = found[0].gap
            return found if gap.start <= now < gap.end and gap.matches(call) else []
        found = [
            candidate
            for candidate in found
            if candidate.gap.start <= now < candidate.gap.end and candidate.gap.matches(call)
        ]
        found.sort(key=_sort_key, reverse=True)
        for position, state in enumerate(found):
            if not state.gap.inherit:
                return found[: position + 1]
        return found


_sort_key = attrgetter("sort_key")


def _seconds_until_pass(state: _GapState, now: float, owns: SlotOwnership | None = None) -> float | None:
    """None if the gap passes a call now, or else the seconds until it may pass one.

    Infinity for a gap that passes no call and has no end. Advances the state to the current slot.
    """
    gap = state.gap
    if gap.interval == 0:
        return None
    if gap.interval == BLOCK_ALL:
        return gap.end - now
    slot = floor((now - gap.start) / gap.interval)
    if slot > state.slot:  # never backwards: a clock that is set back must not let a slot be used twice
        state.slot, state.passed_in_slot = slot, 0
    # `owns` numbers slots from the Unix epoch, `state.slot` from the gap's start, which is a multiple of the
    # interval where slots have owners (`screen.py`).
    owned = owns is None or owns(gap.id, state.slot + round(gap.start / gap.interval))
    if state.passed_in_slot < gap.count and owned:
        return None
    return max(0.0, gap.start + (state.slot + 1) * gap.interval - now)
