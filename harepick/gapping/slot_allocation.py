"""The allotment of a gap's turns over the fleet: which instance owns which slots. Pure and deterministic.

`docs/design/gapping.md`, "Turns over the fleet". Every replica applies the same `SlotRequest`s in the same
order and comes to the same owners. Nothing depends on a clock, on chance or on who applies it; a
`SlotRequest` carries the slot from which its instance could still use turns. One instance's part is
`slot_requests.py`.

Slots are numbered from the Unix epoch: slot n is [n * interval, (n + 1) * interval).
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_BLOCK = 16  # slots in one block: what an instance that dies can take with it
DEMAND_MEMORY = 8  # asks of a gap whose demand is remembered, the oldest forgotten first
MAX_GAPS = 4_096  # gaps with an allotment; the one asked for longest ago is forgotten
MAX_HELD = 8  # blocks that one instance keeps of a gap, the latest; it asks for one at a time


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """An instance wants turns of `gap` from slot `first` on; `demand`: its calls offered a second lately."""

    instance: str
    gap: str
    first: int
    demand: float
    most: int = MAX_BLOCK  # slots in the block that it is given


@dataclass(frozen=True, slots=True)
class SlotBlock:
    """Slots [first, first + length) of a gap, owned by `instance`."""

    gap: str
    instance: str
    first: int
    length: int

    @property
    def end(self) -> int:
        return self.first + self.length

    def __contains__(self, slot: int) -> bool:
        return self.first <= slot < self.end


@dataclass(slots=True)
class _Gap:
    cursor: int = 0  # the first slot that nobody owns yet
    demand: OrderedDict[str, float] = field(default_factory=OrderedDict)  # instance -> its last told demand
    held: dict[str, list[SlotBlock]] = field(default_factory=dict)  # instance -> its latest blocks


class SlotAllocator:
    """Owns the cursor of each gap and the demand last told by each instance."""

    def __init__(self) -> None:
        self._gaps: OrderedDict[str, _Gap] = OrderedDict()

    def apply(self, ask: SlotRequest) -> SlotBlock:
        """The block that this ask is given: from the cursor (or `ask.first`, if later), as long as the
        asker's share of the demand says, and never over a slot that another owns."""
        state = self._gaps.pop(ask.gap, None) or _Gap()
        self._gaps[ask.gap] = state
        while len(self._gaps) > MAX_GAPS:
            self._gaps.popitem(last=False)
        state.demand.pop(ask.instance, None)
        state.demand[ask.instance] = max(0.0, ask.demand)
        while len(state.demand) > DEMAND_MEMORY:
            state.demand.popitem(last=False)
        total = sum(state.demand.values())
        share = state.demand[ask.instance] / total if total > 0 else 1.0 / len(state.demand)
        most = max(1, min(MAX_BLOCK, ask.most))
        length = max(1, round(share * most))
        first = max(state.cursor, ask.first)
        state.cursor = first + length
        block = SlotBlock(ask.gap, ask.instance, first, length)
        held = state.held.setdefault(ask.instance, [])
        held.append(block)
        del held[:-MAX_HELD]
        for name in [name for name in state.held if name not in state.demand]:
            del state.held[name]  # an instance forgotten by the demand: its blocks are long over
        return block

    def blocks(self, gap: str, instance: str) -> list[SlotBlock]:
        """The latest blocks of an instance, oldest first."""
        state = self._gaps.get(gap)
        return list(state.held.get(instance, ())) if state else []

    def dump(self) -> list[tuple[str, int, list[tuple[str, float]], list[tuple[str, int, int]]]]:
        """The whole state as plain rows, for a snapshot: gap, cursor, demand, blocks."""
        return [
            (
                name,
                state.cursor,
                list(state.demand.items()),
                [(b.instance, b.first, b.length) for held in state.held.values() for b in held],
            )
            for name, state in self._gaps.items()
        ]

    def load(self, rows: list[tuple[str, int, list[tuple[str, float]], list[tuple[str, int, int]]]]) -> None:
        """The state of `dump`, in place of this one."""
        self._gaps = OrderedDict()
        for name, cursor, demand, blocks in rows:
            state = self._gaps[name] = _Gap(cursor, OrderedDict(demand))
            for instance, first, length in blocks:
                state.held.setdefault(instance, []).append(SlotBlock(name, instance, first, length))

    def cursor(self, gap: str) -> int:
        state = self._gaps.get(gap)
        return state.cursor if state else 0

    def forget(self, gap: str) -> None:
        """A gap that was lifted: a new one of the same id begins anew."""
        self._gaps.pop(gap, None)
