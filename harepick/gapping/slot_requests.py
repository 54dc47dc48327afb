"""One instance's part in the turns of gaps over the fleet: whose a slot is, and what to ask for. No I/O.

The blocks are the store's (`slot_allocation.py`), as far as this instance has applied them.
`docs/design/gapping.md`, "Turns over the fleet".
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from math import ceil, exp, floor

from harepick.gapping.gaps import BLOCK_ALL
from harepick.gapping.slot_allocation import MAX_BLOCK, SlotBlock, SlotRequest

LEAD = 0.4  # seconds before its last block ends when an instance asks for the next: a commit, and a hiccup
SPAN = 2.0  # seconds that one block may cover: so long demand that has gone elsewhere holds turns
MEMORY = 1.0  # seconds over which demand is averaged
IDLE = 0.05  # calls a second under which an instance has no use for turns
PATIENCE = 0.5  # seconds after which what was asked for is asked for again: it may have been lost

Use = tuple[str, float, int]  # gap, interval in seconds, calls offered since the start


def slot_key(gap: str, interval: float) -> str:
    """What the store keeps a gap's turns under: slots of another interval are other turns."""
    return f"{gap}@{interval:g}"


class SlotRequester:
    """Owns what this instance asked for last, and the demand that it sees."""

    def __init__(self, instance: str, blocks: Callable[[str, str], list[SlotBlock]], started: float) -> None:
        """`blocks` tells the committed ones of a coin and an instance; `started`: Unix time. Turns of the
        slot in which the process started, and before, may have been used by the one before it."""
        self._me, self._blocks, self._started = instance, blocks, started
        self._intervals: dict[str, float] = {}
        self._seen: dict[str, tuple[float, int, float]] = {}  # gap -> when, offered, calls a second
        self._asked: dict[str, tuple[float, int]] = {}  # coin -> when, and the end that it had

    def owns(self, gap: str, slot: int) -> bool:
        interval = self._intervals.get(gap)
        if interval is None or slot <= floor(self._started / interval):
            return False
        return any(slot in block for block in self._blocks(slot_key(gap, interval), self._me))

    def due_requests(self, now: float, uses: Iterable[Use]) -> Iterator[SlotRequest]:
        """What is due to be asked for at Unix time `now`; to be called some times a second."""
        uses = list(uses)
        self._intervals = {gap: interval for gap, interval, _ in uses if 0 < interval < BLOCK_ALL}
        self._seen = {gap: row for gap, row in self._seen.items() if gap in self._intervals}
        for gap, interval, offered in uses:
            if gap not in self._intervals:
                continue
            demand = self._demand(gap, offered, now)
            slot = floor(now / interval)
            name = slot_key(gap, interval)
            end = max((block.end for block in self._blocks(name, self._me)), default=slot)
            if demand < IDLE or end > slot + 1 + ceil(LEAD / interval):
                continue
            when, had = self._asked.get(name, (float("-inf"), -1))
            if had == end and now - when < PATIENCE:
                continue  # the answer is on its way
            self._asked[name] = (now, end)
            most = max(1, min(MAX_BLOCK, round(SPAN / interval)))
            yield SlotRequest(self._me, name, slot + 1, demand, most)

    def _demand(self, gap: str, offered: int, now: float) -> float:
        when, before, rate = self._seen.get(gap, (now, 0, 0.0))
        if now > when:
            rate += ((offered - before) / (now - when) - rate) * (1 - exp(-(now - when) / MEMORY))
        elif gap not in self._seen and offered:
            rate = IDLE  # the first calls: something is wanted here
        self._seen[gap] = (now, offered, rate)
        return rate
