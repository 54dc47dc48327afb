"""Allocates the slots of gaps to the instances of a fleet: each slot has one owner. Pure and deterministic.

Every replica applies the same `SlotRequest`s in the same order and so derives the same owners. The result
depends on no clock, on no random number and not on the replica; a `SlotRequest` carries the first slot that
its instance could still use. `slot_requests.py` is one instance's side. Design: `docs/design/gapping.md`.

Slots are numbered from the Unix epoch: slot n is [n * interval, (n + 1) * interval). `gap` is a slot key
(`slot_requests.slot_key`), which names a gap and its interval.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_BLOCK = 16  # slots per block; bounds the slots that stay unused when their owner fails
MAX_INSTANCES_PER_GAP = 8  # instances whose demand is kept; the one that requested longest ago is dropped
MAX_ALLOCATIONS = 4_096  # slot keys with an allocation; the one requested longest ago is dropped
MAX_BLOCKS_KEPT = 8  # latest blocks kept per gap and instance; an instance requests one at a time


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """An instance requests slots of `gap` from slot `first` on; `demand` is its offered calls per second."""

    instance: str
    gap: str
    first: int
    demand: float
    max_slots: int = MAX_BLOCK  # upper bound of the slots in the block


@dataclass(frozen=True, slots=True)
class SlotBlock:
    """Slots [first, first + length) of a gap, owned by `instance`."""

    gap: str
    instance: str
    first: int
    length: int

    @property
    def end(self) -> int:
        """The first slot after the block."""
        return self.first + self.length

    def __contains__(self, slot: int) -> bool:
        return self.first <= slot < self.end


@dataclass(slots=True)
class _GapAllocation:
    """The allocation of one gap."""

    cursor: int = 0  # the first slot without an owner
    demand: OrderedDict[str, float] = field(default_factory=OrderedDict)  # instance -> last reported demand
    # Instance -> its latest blocks, ended ones included.
    blocks_by_instance: dict[str, list[SlotBlock]] = field(default_factory=dict)


class SlotAllocator:
    """The slot allocation of all gaps."""

    def __init__(self) -> None:
        self._gaps: OrderedDict[str, _GapAllocation] = OrderedDict()

    def apply(self, request: SlotRequest) -> SlotBlock:
        """Allocates a block to the requesting instance.

        It starts at the cursor, or at `request.first` if that is later, so it never covers a slot that
        another instance owns. Its length is in proportion to the instance's share of the demand.
        """
        state = self._gaps.pop(request.gap, None) or _GapAllocation()
        self._gaps[request.gap] = state
        while len(self._gaps) > MAX_ALLOCATIONS:
            self._gaps.popitem(last=False)
        state.demand.pop(request.instance, None)
        state.demand[request.instance] = max(0.0, request.demand)
        while len(state.demand) > MAX_INSTANCES_PER_GAP:
            state.demand.popitem(last=False)
        total = sum(state.demand.values())
        share = state.demand[request.instance] / total if total > 0 else 1.0 / len(state.demand)
        max_length = max(1, min(MAX_BLOCK, request.max_slots))
        length = max(1, round(share * max_length))
        first = max(state.cursor, request.first)
        state.cursor = first + length
        block = SlotBlock(request.gap, request.instance, first, length)
        blocks = state.blocks_by_instance.setdefault(request.instance, [])
        blocks.append(block)
        del blocks[:-MAX_BLOCKS_KEPT]
        for instance in [instance for instance in state.blocks_by_instance if instance not in state.demand]:
            del state.blocks_by_instance[instance]  # its demand was dropped: its blocks ended long ago
        return block

    def blocks(self, gap: str, instance: str) -> list[SlotBlock]:
        """The latest blocks of an instance, oldest first."""
        state = self._gaps.get(gap)
        return list(state.blocks_by_instance.get(instance, ())) if state else []

    def dump(self) -> list[tuple[str, int, list[tuple[str, float]], list[tuple[str, int, int]]]]:
        """The whole state for a snapshot, one row per gap: gap, cursor, demand, blocks."""
        return [
            (
                key,
                state.cursor,
                list(state.demand.items()),
                [
                    (block.instance, block.first, block.length)
                    for blocks in state.blocks_by_instance.values()
                    for block in blocks
                ],
            )
            for key, state in self._gaps.items()
        ]

    def load(self, rows: list[tuple[str, int, list[tuple[str, float]], list[tuple[str, int, int]]]]) -> None:
        """Replaces the state by that of a `dump`."""
        self._gaps = OrderedDict()
        for key, cursor, demand, blocks in rows:
            state = self._gaps[key] = _GapAllocation(cursor, OrderedDict(demand))
            for instance, first, length in blocks:
                state.blocks_by_instance.setdefault(instance, []).append(
                    SlotBlock(key, instance, first, length)
                )

    def cursor(self, gap: str) -> int:
        """The first slot of the gap without an owner; 0 for a gap without an allocation."""
        state = self._gaps.get(gap)
        return state.cursor if state else 0

    def forget(self, gap: str) -> None:
        """Drops the allocation of a lifted gap; a new gap of the same id starts empty."""
        self._gaps.pop(gap, None)
