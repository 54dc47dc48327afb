"""One instance's slots of the gaps that a fleet shares: which it owns and which to request. No I/O.

Slot blocks come from the store (`slot_allocation.py`), as far as this instance has applied its log. Design:
`docs/design/gapping.md`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from math import ceil, exp, floor

from harepick.gapping.gaps import BLOCK_ALL
from harepick.gapping.slot_allocation import MAX_BLOCK, SlotBlock, SlotRequest

REQUEST_LEAD_S = 0.4  # before the last block ends, the next is requested: covers a commit and a short stall
# Longest span of one block, and so the longest time for which an instance that lost its demand owns slots.
MAX_BLOCK_SPAN_S = 2.0
DEMAND_AVERAGING_S = 1.0  # time constant of the demand
MIN_DEMAND_PER_S = 0.05  # calls; an instance with less requests no slots
REQUEST_TIMEOUT_S = 0.5  # after which a request that may be lost is sent again

GapUse = tuple[str, float, int]  # gap, interval in seconds, calls offered so far


def slot_key(gap: str, interval: float) -> str:
    """The key of a gap's slots in the store; another interval has other slots."""
    return f"{gap}@{interval:g}"


class SlotRequester:
    """Decides which slots this instance may use, and when it requests more of them."""

    def __init__(self, instance: str, blocks: Callable[[str, str], list[SlotBlock]], started: float) -> None:
        """`blocks(slot_key, instance)` returns committed blocks. `started` is the start of the process in
        Unix seconds. An earlier process of the same instance may have used the slot of that moment and those
        before it, so this one uses only later ones.
        """
        self._instance, self._blocks, self._started = instance, blocks, started
        self._intervals: dict[str, float] = {}
        # Gap -> time of the last sample, calls offered until then, calls offered per second.
        self._samples: dict[str, tuple[float, int, float]] = {}
        # Slot key -> time of the last request, and end of the last owned block at that time.
        self._requested: dict[str, tuple[float, int]] = {}

    def owns(self, gap: str, slot: int) -> bool:
        """Whether this instance may use that slot (numbered from the Unix epoch): one it owns, and that began
        after its process started."""
        interval = self._intervals.get(gap)
        if interval is None or slot <= floor(self._started / interval):
            return False
        return any(slot in block for block in self._blocks(slot_key(gap, interval), self._instance))

    def due_requests(self, now: float, uses: Iterable[GapUse]) -> Iterator[SlotRequest]:
        """Yields the requests that are due at `now` (Unix seconds); to be called several times a second."""
        uses = list(uses)
        self._intervals = {gap: interval for gap, interval, _ in uses if 0 < interval < BLOCK_ALL}
        self._samples = {gap: sample for gap, sample in self._samples.items() if gap in self._intervals}
        for gap, interval, offered in uses:
            if gap not in self._intervals:
                continue
            demand = self._demand(gap, offered, now)
            slot = floor(now / interval)
            key = slot_key(gap, interval)
            end = max((block.end for block in self._blocks(key, self._instance)), default=slot)
            # No request is due while the owned slots reach beyond the next slot and the lead time.
            if demand < MIN_DEMAND_PER_S or end > slot + 1 + ceil(REQUEST_LEAD_S / interval):
                continue
            requested_at, end_then = self._requested.get(key, (float("-inf"), -1))
            if end_then == end and now - requested_at < REQUEST_TIMEOUT_S:
                continue  # a request is pending
            self._requested[key] = (now, end)
            max_slots = max(1, min(MAX_BLOCK, round(MAX_BLOCK_SPAN_S / interval)))
            yield SlotRequest(self._instance, key, slot + 1, demand, max_slots)

    def _demand(self, gap: str, offered: int, now: float) -> float:
        """Calls offered per second, as an exponential moving average; `offered` is the total so far."""
        sampled_at, offered_then, rate = self._samples.get(gap, (now, 0, 0.0))
        if now > sampled_at:
            rate += ((offered - offered_then) / (now - sampled_at) - rate) * (
                1 - exp(-(now - sampled_at) / DEMAND_AVERAGING_S)
            )
        elif gap not in self._samples and offered:
            rate = MIN_DEMAND_PER_S  # the first calls: enough to request slots at once
        self._samples[gap] = (now, offered, rate)
        return rate
