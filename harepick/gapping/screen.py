"""The screen that the core asks before it books a call: the gaps of one instance, as configured.

Owns a `Gaps` and the rows that set it. Pure: time is an argument, in Unix seconds. `apply` takes the rows of
a configuration read anew and changes only what changed; a row that is unchanged keeps its start, its end and
the turns used of its slot.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping, Sequence
from math import floor, inf

from harepick.gapping.config import GapRow
from harepick.gapping.gaps import BLOCK_ALL, MAX_BROAD, Call, Gap, GapError, Gaps, SlotOwnership, check_gap

EXPIRE_EVERY = 1.0  # seconds between looks for gaps that are over


class GapScreen:
    """`harepick.core.messages.Screen` over the gaps of this instance; `zone` is the instance's own."""

    def __init__(self, zone: str = "", seed: int = 0, owns: SlotOwnership | None = None) -> None:
        """`owns`: over a fleet, whether this instance owns a gap's slot (`slot_allocation.py`); alone, every
        slot."""
        self._zone = zone
        self.owns = owns
        self._rng = random.Random(seed)  # spreads the come-back: refused callers must not return together
        self._gaps = Gaps()
        self._rows: dict[str, tuple[GapRow, Gap]] = {}
        self._looked = -inf

    def __len__(self) -> int:
        return len(self._gaps)

    def apply(self, rows: Sequence[GapRow], now: float, classes: Iterable[str] = ()) -> dict[str, list[str]]:
        """Sets new and changed gaps, lifts those that are no longer there; says which did what. A gap may
        name only a class of `classes`, if any are given.

        Raises `GapError` naming the row's id and key, and then changes nothing."""
        known = tuple(classes)
        wanted: dict[str, Gap] = {}
        for row in rows:
            kept = self._rows.get(row.id)
            if kept and kept[0] == row:
                continue
            gap = _gap(row, kept[1].start if kept else now)
            try:
                check_gap(gap, now, known)
            except GapError as error:
                raise GapError(f"gap {row.id!r}: {error}") from None
            wanted[row.id] = gap
        told: dict[str, list[str]] = {"set": [], "changed": [], "lifted": []}
        for name in [name for name in self._rows if name not in {row.id for row in rows}]:
            self._gaps.lift(name)
            del self._rows[name]
            told["lifted"].append(name)
        for row in rows:
            if row.id in wanted:
                told["changed" if row.id in self._rows else "set"].append(row.id)
                self._gaps.set(wanted[row.id], now, known)
                self._rows[row.id] = (row, wanted[row.id])
        return told

    def retry_after(self, called: str, class_name: str, now: float, source: str = "") -> float | None:
        """None if the call passes every gap that counts for it; else the seconds to stay away: until the gap
        that refused has a turn again, and a share of one interval more drawn from the seed (for a gap that
        passes none, until its end, or 0 if it has none)."""
        if now - self._looked >= EXPIRE_EVERY:
            self._looked = now
            for gap in self._gaps.expire(now):
                self._rows.pop(gap.id, None)
        verdict = self._gaps.decide(Call(called, class_name, self._zone), now, self.owns)
        if verdict.passed:
            return None
        interval = self._rows[verdict.gap][1].interval
        if interval == BLOCK_ALL:
            return verdict.come_back
        return verdict.come_back + self._rng.random() * interval  # docs/design/gapping.md: come back

    def ended(self, called: str, good: bool) -> None:
        """Nothing rests on it here."""

    def explain(self, called: str, class_name: str, now: float) -> list[Gap]:
        """The gaps that count for such a call, most specific first; takes no turn."""
        return [gap for gap, _ in self._gaps.explain(Call(called, class_name, self._zone), now)]

    def uses(self) -> list[tuple[str, float, int]]:
        """By gap: its id, interval in seconds, and calls offered since the start."""
        counts = self._gaps.counts()
        return [
            (name, gap.interval, counts[name][0]) for name, (_, gap) in self._rows.items() if name in counts
        ]

    def counts(self) -> Mapping[str, tuple[int, int, int]]:
        """By gap: calls offered, passed, and refused by it."""
        return self._gaps.counts()


def check_rows(rows: Sequence[GapRow], where: str, classes: Iterable[str]) -> None:
    """Whatever is wrong with rows at any time: a revision of the store is checked with it before anybody
    acts on it. Raises `GapError`, naming the row under the key `where`, and its key."""
    known, broad = tuple(classes), 0
    for n, row in enumerate(rows):
        try:
            check_gap(_gap(row, 0.0), -inf, known)
            broad += not row.number and not row.prefix
            if broad > MAX_BROAD:
                raise GapError(f"prefix: there are over {MAX_BROAD} gaps without one and without a number")
        except GapError as error:
            raise GapError(f"{where}[{n}].{error}") from None


def _gap(row: GapRow, start: float) -> Gap:
    """A changed row keeps its start: its slots, and the time it runs, count from when it was first set. The
    start is on the grid of the interval from the Unix epoch, so that instances that set the same gap at
    different moments agree on its slots."""
    start = row.since or start
    end = min(row.until, start + row.for_s)
    if 0 < row.interval < BLOCK_ALL:
        start = floor(start / row.interval) * row.interval
    return Gap(
        id=row.id,
        interval=row.interval,
        number=row.number,
        prefix=row.prefix,
        call_class=row.call_class,
        zone=row.zone,
        count=row.count,
        start=start,
        end=end,
        inherit=row.inherit,
        reason=row.reason,
        owner=row.owner,
        plan=row.plan,
    )
