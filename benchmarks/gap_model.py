"""Turns of a gap over a fleet in a seeded virtual world: never two calls in one slot, whatever fails.

Allotment, turns and screen are the real ones; the world is `benchmarks/fleet_world.py`. Demand is skewed and
moves; instances' wall clocks differ a little, and each counts slots by its own.

    python -m benchmarks.gap_model --schedules 100000 --first-seed 1
"""

from __future__ import annotations

import sys
from functools import partial
from math import floor
from typing import Any

from benchmarks import fleet_world
from benchmarks.fleet_world import SECONDS, TICK, Broken, Instance, Waits, World
from harepick.gapping.config import GapRow
from harepick.gapping.screen import GapScreen
from harepick.gapping.slot_allocation import SlotAllocator, SlotBlock, SlotRequest
from harepick.gapping.slot_requests import SlotRequester, slot_key

GAP, NUMBER = "radio", "+94112345678"
INTERVALS = (0.25, 2.0)  # seconds: the long one is longer than a restart
RATE = 40.0  # calls a second over the fleet
APART = 0.02  # seconds by which wall clocks are off, at most
EPOCH = 1_000_000.0  # wall time at the beginning
BREAKS = ("", "no_rest_after_start", "overlapping", "turns_taken_early")


class _Overlapping(SlotAllocator):
    """Broken on purpose: a block begins where its asker wants it, whoever owns those slots."""

    def apply(self, ask: SlotRequest) -> SlotBlock:
        if state := self._gaps.get(ask.gap):
            state.cursor = 0
        return super().apply(ask)


class Process:
    """One process of an instance: its turns and its gap, and nothing of the process before."""

    def __init__(self, name: str, owner: SlotAllocator, wall: float, interval: float, broken: str) -> None:
        self.owner = owner  # its copy of the allotment: a restarted process has another
        started = 0.0 if broken == "no_rest_after_start" else wall
        self.turns = SlotRequester(name, owner.blocks, started)
        self.asked: list[SlotRequest] = []
        owns = self._asked if broken == "turns_taken_early" else self.turns.owns
        self.screen = GapScreen(owns=owns)
        self.screen.apply([GapRow(GAP, interval, number=NUMBER)], wall)

    def _asked(self, gap: str, slot: int) -> bool:
        """Broken on purpose: what was asked for counts as given before the log has it."""
        early = any(ask.first <= slot < ask.first + ask.most for ask in self.asked)
        return early or self.turns.owns(gap, slot)


class GapWorld(World[SlotAllocator]):
    def __init__(self, seed: int, broken: str = "") -> None:
        super().__init__(seed, broken)
        self.processes: dict[str, Process] = {}
        self.off = {name: self.rng.uniform(-APART, APART) for name in self.names}
        self.passed: dict[int, str] = {}  # slot -> who passed a call in it
        self.offered = self.blocks = 0
        self.interval = self.rng.choice(INTERVALS)

    def fresh(self) -> SlotAllocator:
        return _Overlapping() if self.broken == "overlapping" else SlotAllocator()

    def apply(self, state: SlotAllocator, index: int, command: Any) -> None:
        state.apply(command)
        self.blocks += state is self.truth

    def lead(self, instance: Instance[SlotAllocator], live: frozenset[str], waits: Waits) -> None:
        """A leader settles nothing here: whoever wants turns asks for them."""

    def wall(self, name: str) -> float:
        return EPOCH + self.now + self.off[name]

    def _process(self, instance: Instance[SlotAllocator]) -> Process:
        known = self.processes.get(instance.name)
        if known is None or known.owner is not instance.state:
            wall = self.wall(instance.name)
            known = Process(instance.name, instance.state, wall, self.interval, self.broken)
            self.processes[instance.name] = known
        return known

    def act(self, instance: Instance[SlotAllocator]) -> None:
        process, wall = self._process(instance), self.wall(instance.name)
        calls = RATE * TICK * self.skew[instance.name] / sum(self.skew.values())
        for _ in range(int(calls) + (self.rng.random() < calls % 1)):
            self.offered += 1
            if process.screen.retry_after(NUMBER, "", wall) is None:
                self._pass(floor(wall / self.interval), instance.name)
        if leader := self.true_leader:
            for ask in process.turns.due_requests(wall, process.screen.uses()):
                process.asked.append(ask)
                self.send(instance.name, leader, partial(self.propose, leader, ask))

    def _pass(self, slot: int, name: str) -> None:
        if slot in self.passed:
            who = f"{self.passed[slot]} and {name}"
            raise Broken(
                f"{self.now:.3f}: {who} both passed a call in slot {slot} of {slot_key(GAP, self.interval)}"
            )
        self.passed[slot] = name

    def operate(self) -> None:
        self.at(0.0, self.shift)

    def figures(self) -> dict[str, float]:
        return super().figures() | {
            "offered": self.offered,
            "passed": len(self.passed),
            "blocks": self.blocks,
            "used_share": len(self.passed) * self.interval / SECONDS,
        }


def schedule(seed: int, broken: str = "") -> tuple[dict[str, float], str]:
    return fleet_world.schedule(GapWorld, seed, broken)


def main() -> int:
    wanted = fleet_world.arguments(__doc__, BREAKS).parse_args()
    found = fleet_world.many(
        GapWorld, wanted.first_seed, wanted.schedules, wanted.broken, wanted.processes, ()
    )
    total, _, played, _ = found
    total["used_share"] /= played
    enough = total["blocks"] > 2 * played and total["used_share"] > 0.3
    return fleet_world.tell("gap_model", wanted.first_seed, found, enough, intervals=INTERVALS)


if __name__ == "__main__":
    sys.exit(main())
