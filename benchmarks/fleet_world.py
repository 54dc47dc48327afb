"""Seeded simulation of a fleet whose instances agree through the store's log and act under its leases.

The log itself is assumed to be correct (`benchmarks/store_model.py` checks that): a single sequence of
committed entries, of which none is lost. `Lease` and `Grants` are the production classes. They run
under faults: clocks of different rates, lost and late messages, one-way cuts, paused and killed instances,
and deposed leaders that do not know it. A subclass of `World` defines the replicated state, what a leader
proposes and what an instance does.
"""

from __future__ import annotations

import argparse
import heapq
import multiprocessing
import sys
import time
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, Generic, Protocol, TypeVar

from benchmarks.daemons import print_line
from harepick.store.leases import Grants, Lease

LEASE_S = 1.0
RENEW_INTERVAL_S = 0.27 * LEASE_S
CLOCK_RATES = (0.955, 1.045)  # their ratio stays below the 1.1 that leases allow (CLOCK_RATE_MARGIN)
SCHEDULE_S = 12.0
TICK_S = 0.05
DEMAND_SHIFT_S = 2.0  # mean time between two shifts of demand

State = TypeVar("State")
UnconfirmedBy = Callable[[int], list[str]]  # index -> instances that may still act on an older state


class Violation(Exception):  # noqa: N818 - a finding, not an error of the program
    """A checked rule was broken; the text says which, when and by which instance."""


class Instance(Generic[State]):
    """One controller: its copy of the replicated state, its lease, and its grants if it leads."""

    def __init__(self, name: str, rng: Random, initial_state: Callable[[], State], broken: str) -> None:
        self.name, self.clock_rate = name, rng.uniform(*CLOCK_RATES)
        self.clock_offset = rng.uniform(0.0, 1000.0)
        self.broken = broken
        self.up, self.paused = True, False
        self.believes_leader = False  # may be wrong: a deposed leader learns of it late
        self.grants = Grants(LEASE_S)
        self._initial_state = initial_state
        self._reset(rng)

    def _reset(self, rng: Random) -> None:
        self.state = self._initial_state()
        self.applied = 0
        self.lease = Lease(LEASE_S, rng.getrandbits(60))
        self.next_request_at = 0.0

    def restart(self, rng: Random) -> None:
        """Starts a new process, which applies the log from its disk again."""
        self.up, self.paused, self.believes_leader = True, False, False
        self.grants = Grants(LEASE_S)
        self._reset(rng)

    def clock(self, now: float) -> float:
        """The reading of its own clock at simulated time `now`, both in seconds."""
        return self.clock_offset + now * self.clock_rate

    def may_act(self, now: float) -> bool:
        """Whether its lease lets it act now."""
        if self.broken == "lease_ignored":
            return True
        return self.lease.holds(self.clock(now))


class World(Generic[State]):
    """A fleet of 3 or 5 instances; `broken` names a rule to break on purpose, to prove that it is checked."""

    def __init__(self, seed: int, broken: str = "") -> None:
        self.rng, self.broken = Random(seed), broken
        size = self.rng.choice((3, 5))
        self.instances = {
            name: Instance(name, self.rng, self.initial_state, broken) for name in "abcde"[:size]
        }
        self.names = tuple(self.instances)
        self.now, self.steps = 0.0, 0
        self.log: list[Any] = []  # committed entries; log[0] has index 1
        self.committed_state = self.initial_state()
        self.true_leader = ""
        self.pending: list[tuple[str, Any]] = []  # (proposer, command), not yet committed
        self.cut_links: set[tuple[str, str]] = set()  # (sender, receiver) pairs
        self.loss = self.rng.choice((0.0, 0.05, 0.2))  # probability that a message is lost
        self.max_delay = self.rng.choice((0.01, 0.05, 0.2))  # seconds that a message may take
        self.skew = dict.fromkeys(self.names, 1.0)  # relative demand at each instance
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0

    # Hooks for subclasses

    def initial_state(self) -> State:
        """The replicated state before any entry."""
        raise NotImplementedError

    def apply(self, state: State, index: int, command: Any) -> None:
        """Applies the entry `index` to one copy of the state."""
        raise NotImplementedError

    def on_applied(self, instance: Instance[State]) -> None:
        """Called when an instance has caught up, before it reports how far it has applied."""

    def on_committed(self, command: Any) -> None:
        """Called after a command was applied to `committed_state`; checks rules."""

    def act_as_leader(
        self, instance: Instance[State], live: frozenset[str], unconfirmed_by: UnconfirmedBy
    ) -> None:
        """A tick of an instance that believes it leads; `live` are the holders of unexpired leases."""
        raise NotImplementedError

    def act(self, instance: Instance[State]) -> None:
        """A tick of an instance whose lease lets it act; checks rules."""
        raise NotImplementedError

    def tick(self, instance: Instance[State]) -> None:
        """A tick of any running instance, whether or not it may act."""

    def start_load(self) -> None:
        """Schedules the actions of operators and callers."""

    def inject_own_fault(self) -> None:
        """Injects a fault that only this subclass has."""

    def statistics(self) -> dict[str, float]:
        """Counts of what happened in the run; the keys are those of the JSON line."""
        return {"steps": self.steps, "entries": len(self.log)}

    # Time and messages

    def call_at(self, when: float, work: Callable[[], None]) -> None:
        """Runs `work` at simulated time `when`, in seconds."""
        self._event_count += 1
        heapq.heappush(self._heap, (when, self._event_count, work))

    def send(self, sender: str, receiver: str, work: Callable[[], None]) -> None:
        """Sends a message: it may be lost, is delayed, and is held back while its receiver is paused."""
        if sender != receiver and ((sender, receiver) in self.cut_links or self.rng.random() < self.loss):
            return
        wait = 0.0 if sender == receiver else self.rng.uniform(0.001, self.max_delay)
        self.call_at(self.now + wait, partial(self._deliver, receiver, work))

    def _deliver(self, name: str, work: Callable[[], None]) -> None:
        instance = self.instances[name]
        if not instance.up:
            return
        if instance.paused:
            self.call_at(self.now + TICK_S, partial(self._deliver, name, work))
        else:
            work()

    def shift_demand(self) -> None:
        """Changes the skew of demand, now and about every `DEMAND_SHIFT_S` seconds."""
        self.call_at(self.now + self.rng.uniform(0.5, 1.5) * DEMAND_SHIFT_S, self.shift_demand)
        self.skew = {name: self.rng.choice((0.05, 1.0, 1.0, 6.0)) for name in self.names}

    # The log

    def _reaches_quorum(self, name: str) -> bool:
        """Whether the instance can now exchange messages with a majority, itself included."""
        instance = self.instances[name]
        reachable = sum(
            other == name
            or (
                self.instances[other].up
                and not self.instances[other].paused
                and (name, other) not in self.cut_links
                and (other, name) not in self.cut_links
            )
            for other in self.names
        )
        return instance.up and not instance.paused and 2 * reachable > len(self.names)

    def elect(self) -> None:
        """Elects a leader at random; its predecessor may go on believing that it leads."""
        candidates = [name for name in self.names if self._reaches_quorum(name)]
        if not candidates:
            self.true_leader = ""
            return
        predecessor, self.true_leader = self.true_leader, self.rng.choice(candidates)
        inherited, self.pending = self.pending, []
        leader = self.instances[self.true_leader]
        leader.believes_leader = True
        leader.grants = Grants(LEASE_S)
        leader.grants.become_leader(leader.clock(self.now))
        if self.broken == "no_wait_after_election":
            leader.grants._earlier_leases_end = 0.0
        # About half of the pending entries had reached the new leader, which commits them; the rest is lost.
        for _, command in inherited:
            if self.rng.random() < 0.5:
                self._commit(command)
        self._catch_up(self.true_leader)
        if predecessor and predecessor != self.true_leader:
            self.call_at(self.now + self.rng.uniform(0.0, 3 * LEASE_S), partial(self._step_down, predecessor))

    def _step_down(self, name: str) -> None:
        if name != self.true_leader:
            self.instances[name].believes_leader = False

    def _commit(self, command: Any) -> None:
        self.log.append(command)
        self.apply(self.committed_state, len(self.log), command)
        self.on_committed(command)

    def propose(self, name: str, command: Any) -> None:
        """Proposes a command at `name`; ignored unless that is the true leader.

        An entry of a deposed leader never commits: the new leader's own first entry, without which it grants
        no lease, precedes it in every log that could win an election."""
        if name != self.true_leader:
            return
        self.pending.append((name, command))
        self.call_at(
            self.now + self.rng.uniform(0.002, self.max_delay), partial(self._finish_proposal, name, command)
        )

    def _finish_proposal(self, name: str, command: Any) -> None:
        if (name, command) not in self.pending:
            return
        self.pending.remove((name, command))
        if name == self.true_leader and self._reaches_quorum(name):
            self._commit(command)

    def _catch_up(self, name: str) -> None:
        """Applies the committed entries and reports the index to the leader, as the store's `Node` does."""
        instance = self.instances[name]
        while instance.applied < len(self.log):
            instance.applied += 1
            self.apply(instance.state, instance.applied, self.log[instance.applied - 1])
        self.on_applied(instance)
        instance.lease.record_applied(instance.applied)
        if instance.believes_leader:
            instance.grants.record_adopted(name, instance.applied)
        if self.true_leader:
            leader = self.instances[self.true_leader]
            self.send(name, self.true_leader, partial(leader.grants.record_adopted, name, instance.applied))

    # Instances

    def _tick(self, name: str) -> None:
        self.call_at(self.now + TICK_S * self.rng.uniform(0.8, 1.2), partial(self._tick, name))
        instance = self.instances[name]
        if not instance.up or instance.paused:
            return
        self.steps += 1
        leader = self.true_leader
        if leader and (
            name == leader or ((leader, name) not in self.cut_links and self.rng.random() > self.loss)
        ):
            self._catch_up(name)
        clock = instance.clock(self.now)
        if clock >= instance.next_request_at:
            instance.next_request_at = clock + RENEW_INTERVAL_S
            self._request_lease(name)
        # For index 0 the list is empty unless leases of an earlier leader may still run.
        if instance.believes_leader and not instance.grants.unconfirmed_by(0, clock):
            grants = instance.grants
            skip_confirmation = self.broken == "no_confirmation"

            def unconfirmed_by(index: int) -> list[str]:
                return [] if skip_confirmation else grants.unconfirmed_by(index, clock)

            self.act_as_leader(instance, frozenset(grants.holders(clock)), unconfirmed_by)
        self.tick(instance)
        if instance.may_act(self.now):
            self.act(instance)

    def _request_lease(self, name: str) -> None:
        """Requests a lease from the true leader, or from itself if it believes that it leads."""
        instance = self.instances[name]
        to = name if instance.believes_leader else self.true_leader
        if not to:
            return
        number = instance.lease.request(instance.clock(self.now))
        self.send(name, to, partial(self._receive_lease_request, to, name, number, instance.applied))

    def _receive_lease_request(self, leader: str, name: str, number: int, applied: int) -> None:
        receiver = self.instances[leader]
        if not receiver.believes_leader:
            return
        receiver.grants.record_adopted(name, applied)
        receiver.grants.record_lease(name, receiver.clock(self.now))
        wait = self.rng.uniform(0.002, self.max_delay)  # the quorum round that confirms its leadership
        # The index that is committed when the round begins.
        index = receiver.applied if leader != self.true_leader else len(self.log)
        self.call_at(self.now + wait, partial(self._grant_lease, leader, name, number, index))

    def _grant_lease(self, leader: str, name: str, number: int, index: int) -> None:
        if leader == self.true_leader and self._reaches_quorum(leader):
            self.send(leader, name, partial(self.instances[name].lease.record_grant, number, index))

    # Faults

    def _inject_fault(self) -> None:
        self.call_at(self.now + self.rng.uniform(0.1, 1.5), self._inject_fault)
        name = self.rng.choice(self.names)
        instance = self.instances[name]
        end = self.now + self.rng.uniform(0.1, 3 * LEASE_S)
        match self.rng.choice(("pause", "pause", "kill", "cut", "cut", "cut", "elect", "elect", "own")):
            case "pause" if instance.up:
                instance.paused = True
                self.call_at(end, lambda: setattr(instance, "paused", False))
            case "kill" if instance.up:
                instance.up = False
                self.call_at(end, lambda: instance.restart(self.rng))
            case "cut":
                links = {(name, other) for other in self.names if other != name}
                if self.rng.random() < 0.5:
                    links = {(target, source) for source, target in links}
                elif self.rng.random() < 0.5:
                    links |= {(target, source) for source, target in links}
                self.cut_links |= links
                self.call_at(end, lambda: self.cut_links.difference_update(links))
            case "own":
                self.inject_own_fault()
        if not self.true_leader or not self._reaches_quorum(self.true_leader) or self.rng.random() < 0.3:
            self.elect()

    def run(self) -> None:
        """Runs the schedule. Raises `Violation`."""
        self.elect()
        for name in self.names:
            self.call_at(self.rng.uniform(0.0, TICK_S), partial(self._tick, name))
        self.start_load()
        self.call_at(self.rng.uniform(0.5, 2.5), self._inject_fault)
        while self._heap and self._heap[0][0] < SCHEDULE_S:
            self.now, _, work = heapq.heappop(self._heap)
            work()


class WorldFactory(Protocol):
    """A `World` subclass, as `schedule` calls it."""

    def __call__(self, seed: int, broken: str) -> World[Any]: ...


def schedule(make: WorldFactory, seed: int, broken: str = "") -> tuple[dict[str, float], str]:
    """Runs one seed; returns its statistics and the violation found, or an empty text."""
    world = make(seed, broken)
    violation = ""
    try:
        world.run()
    except Violation as error:
        violation = f"seed {seed}: {error}"
    return world.statistics(), violation


def run_schedules(
    make: WorldFactory, first: int, count: int, broken: str, processes: int, highest: tuple[str, ...]
) -> tuple[dict[str, float], list[str], int, float]:
    """Runs `count` seeds from `first` on, in parallel.

    Returns the summed statistics (for those named in `highest` the maximum), the violations, the number of
    schedules and the seconds that they took."""
    total: dict[str, float] = {}
    violations: list[str] = []
    run_count, began = 0, time.monotonic()
    work = partial(schedule, make, broken=broken)
    with multiprocessing.get_context("fork").Pool(processes) as pool:
        for statistics, violation in pool.imap_unordered(work, range(first, first + count), 200):
            run_count += 1
            for key, value in statistics.items():
                known = total.get(key, 0)
                total[key] = max(known, value) if key in highest else known + value
            if violation:
                violations.append(violation)
    return total, sorted(violations), run_count, time.monotonic() - began


def arguments(doc: str | None, breaks: tuple[str, ...]) -> argparse.ArgumentParser:
    """The options that all models have."""
    parser = argparse.ArgumentParser(description=doc, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--schedules", type=int, default=100_000)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument(
        "--break",
        dest="broken",
        choices=breaks,
        default="",
        help="break a rule on purpose, to prove that it is checked",
    )
    parser.add_argument("--processes", type=int, default=multiprocessing.cpu_count())
    return parser


def print_report(
    name: str,
    first: int,
    result: tuple[dict[str, float], list[str], int, float],
    enough: bool,
    **fields: object,
) -> int:
    """Prints up to five violations and the JSON line of a model; returns the exit code.

    `enough`: whether the schedules exercised the checked rules often enough."""
    total, violations, run_count, seconds = result
    for text in violations[:5]:
        print(text, file=sys.stderr)
    line = {
        "benchmark": name,
        "seed": first,
        "ok": not violations and enough,
        "schedules": run_count,
        "violations": len(violations),
        **fields,
        **{key: round(value, 3) for key, value in total.items()},
        "took_s": round(seconds, 1),
    }
    return print_line(line)
