"""Simulates the slots of a gap over a fleet: never two calls in one slot, whatever fails.

Slot allocation, slot requests and the gap screen are the production code; the simulation is
`benchmarks/fleet_world.py`. Demand is skewed and moves between instances. Their wall clocks differ a little,
and each counts slots by its own.

    python -m benchmarks.gap_model --schedules 100000 --first-seed 1
"""

from __future__ import annotations

import sys
from functools import partial
from math import floor
from typing import Any

from benchmarks import fleet_world
from benchmarks.fleet_world import SCHEDULE_S, TICK_S, Instance, UnconfirmedBy, Violation, World
from harepick.gapping.config import GapRow
from harepick.gapping.screen import GapScreen
from harepick.gapping.slot_allocation import SlotAllocator, SlotBlock, SlotRequest
from harepick.gapping.slot_requests import SlotRequester, slot_key

GAP_ID, CALLED_NUMBER = "radio", "+94112345678"
INTERVALS_S = (0.25, 2.0)  # the second is longer than a restart takes
CALLS_PER_S = 40.0  # over the fleet
MAX_CLOCK_OFFSET_S = 0.02  # of a wall clock
START_TIME = 1_000_000.0  # Unix time at which a schedule starts
BREAKS = ("", "no_rest_after_start", "overlapping", "turns_taken_early")


class _OverlappingAllocator(SlotAllocator):
    """Broken on purpose: a block begins where it is requested, even if another instance owns those slots."""

    def apply(self, request: SlotRequest) -> SlotBlock:
        if state := self._gaps.get(request.gap):
            state.cursor = 0
        return super().apply(request)


class Process:
    """One process of an instance: its slots and its gap, and nothing of the process before it."""

    def __init__(
        self, name: str, allocator: SlotAllocator, wall: float, interval: float, broken: str
    ) -> None:
        self.allocator = allocator  # its copy of the state: a restarted process has a new one
        started = 0.0 if broken == "no_rest_after_start" else wall
        self.slots = SlotRequester(name, allocator.blocks, started)
        self.requests: list[SlotRequest] = []
        owns = self._owns_requested if broken == "turns_taken_early" else self.slots.owns
        self.screen = GapScreen(owns=owns)
        self.screen.apply([GapRow(GAP_ID, interval, number=CALLED_NUMBER)], wall)

    def _owns_requested(self, gap: str, slot: int) -> bool:
        """Broken on purpose: requested slots count as owned before the log has granted them."""
        requested = any(
            request.first <= slot < request.first + request.max_slots for request in self.requests
        )
        return requested or self.slots.owns(gap, slot)


class GapWorld(World[SlotAllocator]):
    """One gap over the fleet; checks that no two calls pass in one slot."""

    def __init__(self, seed: int, broken: str = "") -> None:
        super().__init__(seed, broken)
        self.processes: dict[str, Process] = {}
        self.clock_offsets = {
            name: self.rng.uniform(-MAX_CLOCK_OFFSET_S, MAX_CLOCK_OFFSET_S) for name in self.names
        }
        self.passed: dict[int, str] = {}  # slot -> instance that passed a call in it
        self.offered = self.blocks = 0
        self.interval = self.rng.choice(INTERVALS_S)

    def initial_state(self) -> SlotAllocator:
        return _OverlappingAllocator() if self.broken == "overlapping" else SlotAllocator()

    def apply(self, state: SlotAllocator, index: int, command: Any) -> None:
        state.apply(command)
        self.blocks += state is self.committed_state

    def act_as_leader(
        self, instance: Instance[SlotAllocator], live: frozenset[str], unconfirmed_by: UnconfirmedBy
    ) -> None:
        """A leader decides nothing here: instances propose their requests for slots themselves."""

    def wall_time(self, name: str) -> float:
        """Wall time of an instance, seconds since the Unix epoch."""
        return START_TIME + self.now + self.clock_offsets[name]

    def _process(self, instance: Instance[SlotAllocator]) -> Process:
        known = self.processes.get(instance.name)
        if known is None or known.allocator is not instance.state:
            wall = self.wall_time(instance.name)
            known = Process(instance.name, instance.state, wall, self.interval, self.broken)
            self.processes[instance.name] = known
        return known

    def act(self, instance: Instance[SlotAllocator]) -> None:
        """Offers the calls of one tick and requests slots."""
        process, wall = self._process(instance), self.wall_time(instance.name)
        calls = CALLS_PER_S * TICK_S * self.skew[instance.name] / sum(self.skew.values())
        for _ in range(int(calls) + (self.rng.random() < calls % 1)):
            self.offered += 1
            if process.screen.retry_after(CALLED_NUMBER, "", wall) is None:
                self._record_pass(floor(wall / self.interval), instance.name)
        if leader := self.true_leader:
            for request in process.slots.due_requests(wall, process.screen.usage()):
                process.requests.append(request)
                self.send(instance.name, leader, partial(self.propose, leader, request))

    def _record_pass(self, slot: int, name: str) -> None:
        if slot in self.passed:
            names = f"{self.passed[slot]} and {name}"
            raise Violation(
                f"{self.now:.3f}: {names} passed a call in slot {slot} of {slot_key(GAP_ID, self.interval)}"
            )
        self.passed[slot] = name

    def start_load(self) -> None:
        self.call_at(0.0, self.shift_demand)

    def statistics(self) -> dict[str, float]:
        return super().statistics() | {
            "offered": self.offered,
            "passed": len(self.passed),
            "blocks": self.blocks,
            "used_share": len(self.passed) * self.interval / SCHEDULE_S,
        }


def schedule(seed: int, broken: str = "") -> tuple[dict[str, float], str]:
    """Runs one seed; see `fleet_world.schedule`."""
    return fleet_world.schedule(GapWorld, seed, broken)


def main() -> int:
    options = fleet_world.arguments(__doc__, BREAKS).parse_args()
    result = fleet_world.run_schedules(
        GapWorld, options.first_seed, options.schedules, options.broken, options.processes, ()
    )
    total, _, run_count, _ = result
    total["used_share"] /= run_count
    enough = total["blocks"] > 2 * run_count and total["used_share"] > 0.3
    return fleet_world.print_report("gap_model", options.first_seed, result, enough, intervals=INTERVALS_S)


if __name__ == "__main__":
    sys.exit(main())
