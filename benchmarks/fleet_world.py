"""A seeded virtual world for what the fleet's instances settle through the store's log, under its leases.

The log is taken for what `benchmarks/store_model.py` shows it to be: one order of entries, of which a
majority keeps those that are committed. `Lease` and `Grants` are the real ones, and badly treated: clocks of
different rates, messages lost and late, links cut one way, instances paused and killed, leaders deposed
without knowing it. What is replicated, what a leader proposes and what an instance does are a subclass's.
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

LENGTH = 1.0  # seconds of a lease
RENEW = 0.27 * LENGTH
RATES = (0.955, 1.045)  # of clocks: their ratio stays under the fence's slack of 1.1
SECONDS = 12.0  # of one schedule
TICK = 0.05
MOVES = 2.0  # seconds between two shifts of demand

State = TypeVar("State")
Waits = Callable[[int], list[str]]  # index -> who may still act on something older


class Broken(Exception):  # noqa: N818 - a finding, not a fault of the program
    """A rule was broken; the text says which, when and by whom."""


class Instance(Generic[State]):
    """One controller: its copy of the state, its lease, and its part as a leader."""

    def __init__(self, name: str, rng: Random, fresh: Callable[[], State], broken: str) -> None:
        self.name, self.rate = name, rng.uniform(*RATES)
        self.offset = rng.uniform(0.0, 1000.0)
        self.broken = broken
        self.up, self.paused = True, False
        self.leads = False  # what it believes
        self.grants = Grants(LENGTH)
        self._fresh = fresh
        self._new(rng)

    def _new(self, rng: Random) -> None:
        self.state = self._fresh()
        self.applied = 0
        self.lease = Lease(LENGTH, rng.getrandbits(60))
        self.next_ask = 0.0

    def restart(self, rng: Random) -> None:
        """Its log is on disk: it applies it anew."""
        self.up, self.paused, self.leads = True, False, False
        self.grants = Grants(LENGTH)
        self._new(rng)

    def clock(self, now: float) -> float:
        return self.offset + now * self.rate

    def may_act(self, now: float) -> bool:
        if self.broken == "lease_ignored":
            return True
        return self.lease.holds(self.clock(now))


class World(Generic[State]):
    """`broken` names a rule that is broken on purpose."""

    def __init__(self, seed: int, broken: str = "") -> None:
        self.rng, self.broken = Random(seed), broken
        count = self.rng.choice((3, 5))
        self.instances = {n: Instance(n, self.rng, self.fresh, broken) for n in "abcde"[:count]}
        self.names = tuple(self.instances)
        self.now, self.steps = 0.0, 0
        self.log: list[Any] = []  # committed; entry n is number n + 1
        self.truth = self.fresh()
        self.true_leader = ""
        self.pending: list[tuple[str, Any]] = []  # proposed, on their way to a majority
        self.cut: set[tuple[str, str]] = set()
        self.loss = self.rng.choice((0.0, 0.05, 0.2))
        self.late = self.rng.choice((0.01, 0.05, 0.2))
        self.skew = dict.fromkeys(self.names, 1.0)  # demand at each, for worlds that have any
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    # A subclass's

    def fresh(self) -> State:
        """The replicated state before any entry."""
        raise NotImplementedError

    def apply(self, state: State, index: int, command: Any) -> None:
        """One entry, on one copy."""
        raise NotImplementedError

    def applied(self, instance: Instance[State]) -> None:
        """That copy has come so far; right after this it tells so."""

    def committed(self, command: Any) -> None:
        """It was applied to `truth`: here rules are looked at."""

    def lead(self, instance: Instance[State], live: frozenset[str], waits: Waits) -> None:
        """It believes that it leads, and knows whose leases run."""
        raise NotImplementedError

    def act(self, instance: Instance[State]) -> None:
        """A tick of an instance that may act: here rules are looked at."""
        raise NotImplementedError

    def tick(self, instance: Instance[State]) -> None:
        """A tick of an instance that runs, whether it may act or not."""

    def operate(self) -> None:
        """What operators and callers do from the start on."""

    def trouble(self) -> None:
        """Something of the subclass's own goes wrong."""

    def figures(self) -> dict[str, float]:
        return {"steps": self.steps, "entries": len(self.log)}

    # Time and messages

    def at(self, when: float, work: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, work))

    def send(self, one: str, other: str, work: Callable[[], None]) -> None:
        """A message: lost, late, or held up while its hearer is paused."""
        if one != other and ((one, other) in self.cut or self.rng.random() < self.loss):
            return
        wait = 0.0 if one == other else self.rng.uniform(0.001, self.late)
        self.at(self.now + wait, partial(self._deliver, other, work))

    def _deliver(self, name: str, work: Callable[[], None]) -> None:
        instance = self.instances[name]
        if not instance.up:
            return
        if instance.paused:
            self.at(self.now + TICK, partial(self._deliver, name, work))
        else:
            work()

    def shift(self) -> None:
        """Demand moves, now and every `MOVES` seconds or so."""
        self.at(self.now + self.rng.uniform(0.5, 1.5) * MOVES, self.shift)
        self.skew = {name: self.rng.choice((0.05, 1.0, 1.0, 6.0)) for name in self.names}

    # The log

    def _quorum(self, name: str) -> bool:
        """Whether it can exchange messages with a majority now, itself among them."""
        instance = self.instances[name]
        heard = sum(
            other == name
            or (
                self.instances[other].up
                and not self.instances[other].paused
                and (name, other) not in self.cut
                and (other, name) not in self.cut
            )
            for other in self.names
        )
        return instance.up and not instance.paused and 2 * heard > len(self.names)

    def elect(self) -> None:
        """Another leads; the one before may go on believing that it does."""
        able = [name for name in self.names if self._quorum(name)]
        if not able:
            self.true_leader = ""
            return
        old, self.true_leader = self.true_leader, self.rng.choice(able)
        kept, self.pending = self.pending, []
        leader = self.instances[self.true_leader]
        leader.leads = True
        leader.grants = Grants(LENGTH)
        leader.grants.become_leader(leader.clock(self.now))
        if self.broken == "no_wait_after_election":
            leader.grants._earlier_leases_end = 0.0
        for _, command in kept:  # what had reached the new leader it commits, the rest is lost
            if self.rng.random() < 0.5:
                self._commit(command)
        self._catch_up(self.true_leader)
        if old and old != self.true_leader:
            self.at(self.now + self.rng.uniform(0.0, 3 * LENGTH), partial(self._learns, old))

    def _learns(self, name: str) -> None:
        if name != self.true_leader:
            self.instances[name].leads = False

    def _commit(self, command: Any) -> None:
        self.log.append(command)
        self.apply(self.truth, len(self.log), command)
        self.committed(command)

    def propose(self, name: str, command: Any) -> None:
        """From one that believes that it leads, or by way of the true leader.

        An entry of one that was deposed never commits: a later leader's own entries, without which that one
        grants no lease, go before it in every log that could win an election."""
        if name != self.true_leader:
            return
        self.pending.append((name, command))
        self.at(self.now + self.rng.uniform(0.002, self.late), partial(self._settle, name, command))

    def _settle(self, name: str, command: Any) -> None:
        if (name, command) not in self.pending:
            return
        self.pending.remove((name, command))
        if name == self.true_leader and self._quorum(name):
            self._commit(command)

    def _catch_up(self, name: str) -> None:
        """Applies what is committed; then tells the leader, as the node does."""
        instance = self.instances[name]
        while instance.applied < len(self.log):
            instance.applied += 1
            self.apply(instance.state, instance.applied, self.log[instance.applied - 1])
        self.applied(instance)
        instance.lease.record_applied(instance.applied)
        if instance.leads:
            instance.grants.record_adopted(name, instance.applied)
        if self.true_leader:
            leader = self.instances[self.true_leader]
            self.send(name, self.true_leader, partial(leader.grants.record_adopted, name, instance.applied))

    # What instances do

    def _tick(self, name: str) -> None:
        self.at(self.now + TICK * self.rng.uniform(0.8, 1.2), partial(self._tick, name))
        instance = self.instances[name]
        if not instance.up or instance.paused:
            return
        self.steps += 1
        leader = self.true_leader
        if leader and (name == leader or ((leader, name) not in self.cut and self.rng.random() > self.loss)):
            self._catch_up(name)
        clock = instance.clock(self.now)
        if clock >= instance.next_ask:
            instance.next_ask = clock + RENEW
            self._ask(name)
        if instance.leads and not instance.grants.waits_for(0, clock):
            grants = instance.grants
            skip = self.broken == "no_confirmation"

            def waits(index: int) -> list[str]:
                return [] if skip else grants.waits_for(index, clock)

            self.lead(instance, frozenset(grants.holders(clock)), waits)
        self.tick(instance)
        if instance.may_act(self.now):
            self.act(instance)

    def _ask(self, name: str) -> None:
        """Asks whom it takes for the leader: the true one, or itself."""
        instance = self.instances[name]
        to = name if instance.leads else self.true_leader
        if not to:
            return
        number = instance.lease.request(instance.clock(self.now))
        self.send(name, to, partial(self._asked, to, name, number, instance.applied))

    def _asked(self, leader: str, name: str, number: int, applied: int) -> None:
        lead = self.instances[leader]
        if not lead.leads:
            return
        lead.grants.record_adopted(name, applied)
        lead.grants.record_lease(name, lead.clock(self.now))
        wait = self.rng.uniform(0.002, self.late)  # the round that confirms that it still leads
        index = lead.applied if leader != self.true_leader else len(self.log)  # committed as it begins
        self.at(self.now + wait, partial(self._confirmed, leader, name, number, index))

    def _confirmed(self, leader: str, name: str, number: int, index: int) -> None:
        if leader == self.true_leader and self._quorum(leader):
            self.send(leader, name, partial(self.instances[name].lease.record_grant, number, index))

    # Troubles

    def _trouble(self) -> None:
        self.at(self.now + self.rng.uniform(0.1, 1.5), self._trouble)
        name = self.rng.choice(self.names)
        instance = self.instances[name]
        wait = self.now + self.rng.uniform(0.1, 3 * LENGTH)
        match self.rng.choice(("pause", "pause", "kill", "cut", "cut", "cut", "elect", "elect", "own")):
            case "pause" if instance.up:
                instance.paused = True
                self.at(wait, lambda: setattr(instance, "paused", False))
            case "kill" if instance.up:
                instance.up = False
                self.at(wait, lambda: instance.restart(self.rng))
            case "cut":
                links = {(name, other) for other in self.names if other != name}
                if self.rng.random() < 0.5:
                    links = {(b, a) for a, b in links}
                elif self.rng.random() < 0.5:
                    links |= {(b, a) for a, b in links}
                self.cut |= links
                self.at(wait, lambda: self.cut.difference_update(links))
            case "own":
                self.trouble()
        if not self.true_leader or not self._quorum(self.true_leader) or self.rng.random() < 0.3:
            self.elect()

    def play(self) -> None:
        """Raises `Broken`."""
        self.elect()
        for name in self.names:
            self.at(self.rng.uniform(0.0, TICK), partial(self._tick, name))
        self.operate()
        self.at(self.rng.uniform(0.5, 2.5), self._trouble)
        while self._heap and self._heap[0][0] < SECONDS:
            self.now, _, work = heapq.heappop(self._heap)
            work()


class Made(Protocol):
    def __call__(self, seed: int, broken: str) -> World[Any]: ...


def schedule(make: Made, seed: int, broken: str = "") -> tuple[dict[str, float], str]:
    """What one schedule came to, and the rule that was broken in it, if one was."""
    world = make(seed, broken)
    found = ""
    try:
        world.play()
    except Broken as error:
        found = f"seed {seed}: {error}"
    return world.figures(), found


def many(
    make: Made, first: int, count: int, broken: str, processes: int, highest: tuple[str, ...]
) -> tuple[dict[str, float], list[str], int, float]:
    """Sums of the figures (the largest of those named `highest`), what was broken, schedules, seconds."""
    total: dict[str, float] = {}
    violations: list[str] = []
    played, began = 0, time.monotonic()
    work = partial(schedule, make, broken=broken)
    with multiprocessing.get_context("fork").Pool(processes) as pool:
        for figures, found in pool.imap_unordered(work, range(first, first + count), 200):
            played += 1
            for key, value in figures.items():
                known = total.get(key, 0)
                total[key] = max(known, value) if key in highest else known + value
            if found:
                violations.append(found)
    return total, sorted(violations), played, time.monotonic() - began


def arguments(doc: str | None, breaks: tuple[str, ...]) -> argparse.ArgumentParser:
    """What all models take."""
    parser = argparse.ArgumentParser(description=doc, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--schedules", type=int, default=100_000)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--break", dest="broken", choices=breaks, default="", help="break a rule on purpose")
    parser.add_argument("--processes", type=int, default=multiprocessing.cpu_count())
    return parser


def tell(
    name: str, first: int, found: tuple[dict[str, float], list[str], int, float], enough: bool, **more: object
) -> int:
    """The last line of a model, and the exit code."""
    total, violations, played, took = found
    for text in violations[:5]:
        print(text, file=sys.stderr)
    line = {
        "benchmark": name,
        "seed": first,
        "ok": not violations and enough,
        "schedules": played,
        "violations": len(violations),
        **more,
        **{key: round(value, 3) for key, value in total.items()},
        "took_s": round(took, 1),
    }
    return print_line(line)
