"""The gaps of one instance as the core's admission check.

Owns a `Gaps` and the configured rows it is built from. Pure: time is an argument, in Unix seconds. After a
reload, `apply` changes only what changed: an unchanged row keeps its start, its end and the calls that passed
in its current slot.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping, Sequence
from math import floor, inf

from harepick.gapping.config import GapRow
from harepick.gapping.gaps import (
    BLOCK_ALL,
    MAX_BROAD_GAPS,
    Call,
    Gap,
    GapError,
    Gaps,
    SlotOwnership,
    check_gap,
)

EXPIRY_CHECK_INTERVAL_S = 1.0


class GapScreen:
    """The gaps of this instance as a `harepick.core.messages.Screen`: an admission check, which may refuse a
    call with a Retry-After."""

    def __init__(self, zone: str = "", seed: int = 0, owns: SlotOwnership | None = None) -> None:
        """`zone` is the zone of this instance. `owns` tells whether this instance owns a slot of a gap
        (`slot_allocation.py`); without it the instance owns every slot."""
        self._zone = zone
        self.owns = owns
        self._rng = random.Random(seed)  # spreads Retry-After, so that refused callers don't return together
        self._gaps = Gaps()
        self._rows: dict[str, tuple[GapRow, Gap]] = {}
        self._expiry_checked_at = -inf

    def __len__(self) -> int:
        return len(self._gaps)

    def apply(self, rows: Sequence[GapRow], now: float, classes: Iterable[str] = ()) -> dict[str, list[str]]:
        """Replaces the configured rows; returns the ids of the gaps that were set, changed and lifted.

        A gap may name only a class in `classes`, unless that is empty. Raises `GapError`, naming the id and
        the key of the invalid row, and then changes nothing.
        """
        known_classes = tuple(classes)
        new_gaps: dict[str, Gap] = {}
        for row in rows:
            old = self._rows.get(row.id)
            if old and old[0] == row:
                continue
            gap = _gap_from_row(row, old[1].start if old else now)
            try:
                check_gap(gap, now, known_classes)
            except GapError as error:
                raise GapError(f"gap {row.id!r}: {error}") from None
            new_gaps[row.id] = gap
        changes: dict[str, list[str]] = {"set": [], "changed": [], "lifted": []}
        for gap_id in [gap_id for gap_id in self._rows if gap_id not in {row.id for row in rows}]:
            self._gaps.lift(gap_id)
            del self._rows[gap_id]
            changes["lifted"].append(gap_id)
        for row in rows:
            if row.id in new_gaps:
                changes["changed" if row.id in self._rows else "set"].append(row.id)
                self._gaps.set(new_gaps[row.id], now, known_classes)
                self._rows[row.id] = (row, new_gaps[row.id])
        return changes

    def retry_after(self, called_number: str, class_name: str, now: float, source: str = "") -> float | None:
        """None if the call passes every gap that applies to it, or else its Retry-After in seconds.

        That is the time until the gap that refused it may pass a call, plus a random part of one interval.
        For a gap that passes no call it is the time until the gap ends, or 0 if it has no end.
        """
        if now - self._expiry_checked_at >= EXPIRY_CHECK_INTERVAL_S:
            self._expiry_checked_at = now
            for gap in self._gaps.expire(now):
                self._rows.pop(gap.id, None)
        decision = self._gaps.decide(Call(called_number, class_name, self._zone), now, self.owns)
        if decision.passed:
            return None
        interval = self._rows[decision.gap][1].interval
        if interval == BLOCK_ALL:
            return decision.retry_after
        return decision.retry_after + self._rng.random() * interval  # docs/design/gapping.md

    def record_outcome(self, called_number: str, succeeded: bool) -> None:
        """Called when a call to that number has ended; gaps do not depend on whether it `succeeded`."""

    def explain(self, called_number: str, class_name: str, now: float) -> list[Gap]:
        """The gaps that apply to such a call, most specific first; counts nothing."""
        return [gap for gap, _ in self._gaps.explain(Call(called_number, class_name, self._zone), now)]

    def usage(self) -> list[tuple[str, float, int]]:
        """For each gap: its id, interval in seconds, and calls offered so far."""
        counts = self._gaps.counts()
        return [
            (gap_id, gap.interval, counts[gap_id][0])
            for gap_id, (_, gap) in self._rows.items()
            if gap_id in counts
        ]

    def counts(self) -> Mapping[str, tuple[int, int, int]]:
        """Gap id -> calls offered, passed, and refused by that gap."""
        return self._gaps.counts()


def check_rows(rows: Sequence[GapRow], where: str, classes: Iterable[str]) -> None:
    """Checks rows for errors that do not depend on the time, before a configuration is stored.

    `where` is the key of the list of rows, such as `gaps`. Raises `GapError`, which names the row in that
    list and the row's key that is wrong.
    """
    known_classes, broad_count = tuple(classes), 0
    for position, row in enumerate(rows):
        try:
            check_gap(_gap_from_row(row, 0.0), -inf, known_classes)
            broad_count += not row.number and not row.prefix
            if broad_count > MAX_BROAD_GAPS:
                raise GapError(f"prefix: more than {MAX_BROAD_GAPS} gaps have neither prefix nor number")
        except GapError as error:
            raise GapError(f"{where}[{position}].{error}") from None


def _gap_from_row(row: GapRow, start: float) -> Gap:
    """Builds the gap of a row that first took effect at `start`, or at its `since` if given.

    The end counts from that moment. The start is rounded down to a multiple of the interval since the Unix
    epoch, so that instances that set the same gap at different moments agree on its slots.
    """
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
