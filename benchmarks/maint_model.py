"""Machines out for work in a seeded virtual world: rule, orders and fencing, checked at each step.

The log is taken for what `benchmarks/store_model.py` shows it to be: one order of entries, of which a
majority keeps those that are committed. Everything else is real (`Orders`, `rule.decide`, `Lease`, `Grants`)
and badly treated: clocks of different rates, messages lost and late, links cut one way, instances paused and
killed, leaders deposed without knowing it.

    python -m benchmarks.maint_model --schedules 100000 --first-seed 1
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
from typing import Any

from benchmarks.daemons import print_line
from harepick.fleet.maintenance.orders import (
    CONTROLLER,
    SERVER,
    AskOut,
    Finish,
    Idle,
    Move,
    OrderCommand,
    Orders,
    RefusedOrderError,
    Withdraw,
)
from harepick.fleet.maintenance.rule import Group, Plan, Sight, decide
from harepick.store.fence import Grants, Lease

LENGTH = 1.0  # seconds of a lease
RENEW = 0.27 * LENGTH
RATES = (0.955, 1.045)  # of clocks: their ratio stays under the fence's slack of 1.1
SECONDS = 12.0  # of one schedule
TICK = 0.05
SERVERS = tuple(f"s{n}" for n in range(4))
GROUP = frozenset({"s0", "s1"})
PLAN = Plan(max_out=2, max_out_controllers=1, floor=2.0, groups=(Group("north", GROUP),))
BREAKS = ("", "no_confirmation", "lease_ignored", "unguarded", "no_wait_after_election")


class Broken(Exception):  # noqa: N818 - a finding, not a fault of the program
    """A rule was broken; the text says which, when and by whom."""


class _Unguarded(Orders):
    """Broken on purpose: a move counts whatever it was decided on."""

    def _guard(self, expect: int) -> None:
        pass


class Instance:
    """One controller: its copy of the orders, its lease, and its part as a leader."""

    def __init__(self, name: str, rng: Random, broken: str) -> None:
        self.name, self.rate = name, rng.uniform(*RATES)
        self.offset = rng.uniform(0.0, 1000.0)
        self.broken = broken
        self.up, self.paused = True, False
        self.leads = False  # what it believes
        self.grants = Grants(LENGTH)
        self._new(rng)

    def _new(self, rng: Random) -> None:
        self.orders: Orders = _Unguarded() if self.broken == "unguarded" else Orders()
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


class World:
    def __init__(self, seed: int, broken: str = "") -> None:
        self.rng, self.broken = Random(seed), broken
        count = self.rng.choice((3, 5))
        self.instances = {name: Instance(name, self.rng, broken) for name in "abcde"[:count]}
        self.names = tuple(self.instances)
        self.now, self.steps = 0.0, 0
        self.log: list[OrderCommand] = []  # committed; entry n is number n + 1
        self.truth: Orders = _Unguarded() if broken == "unguarded" else Orders()
        self.true_leader = ""
        self.pending: list[tuple[str, OrderCommand]] = []  # proposed, on their way to a majority
        self.cut: set[tuple[str, str]] = set()
        self.loss = self.rng.choice((0.0, 0.05, 0.2))
        self.late = self.rng.choice((0.01, 0.05, 0.2))
        self.failed: set[str] = set()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.acts = self.outs = self.backs = self.fenced = 0
        self.most_out = 0
        self._elect()

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

    # The log

    def _heard_by(self, name: str) -> int:
        """Instances with which it can exchange messages now."""
        return sum(
            other == name
            or (
                self.instances[other].up
                and not self.instances[other].paused
                and (name, other) not in self.cut
                and (other, name) not in self.cut
            )
            for other in self.names
        )

    def _quorum(self, name: str) -> bool:
        instance = self.instances[name]
        return instance.up and not instance.paused and 2 * self._heard_by(name) > len(self.names)

    def _elect(self) -> None:
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
        leader.grants.lead(leader.clock(self.now))
        if self.broken == "no_wait_after_election":
            leader.grants._floor = 0.0
        for _, command in kept:  # what had reached the new leader is committed by it, the rest is lost
            if self.rng.random() < 0.5:
                self._commit(command)
        self._catch_up(self.true_leader)
        if old and old != self.true_leader:
            self.at(self.now + self.rng.uniform(0.0, 3 * LENGTH), partial(self._learns, old))

    def _learns(self, name: str) -> None:
        if name != self.true_leader:
            self.instances[name].leads = False

    def _commit(self, command: OrderCommand) -> None:
        self.log.append(command)
        before = {order.id: order.state for order in self.truth.open}
        try:
            order = self.truth.apply(len(self.log), command)
        except RefusedOrderError:
            return
        if order and order.state != before.get(order.id):
            self.outs += order.state == "out"
            self.backs += order.state == "back"
            if order.state == "leaving":
                self._check_leaving(order.machine, order.kind)
        self._check_budget(self.truth, "the log")

    def propose(self, name: str, command: OrderCommand) -> None:
        """From one that believes that it leads, or by way of the true leader."""
        self.pending.append((name, command))
        self.at(self.now + self.rng.uniform(0.002, self.late), partial(self._settle, name, command))

    def _settle(self, name: str, command: OrderCommand) -> None:
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
            try:
                instance.orders.apply(instance.applied, self.log[instance.applied - 1])
            except RefusedOrderError:
                continue
        instance.lease.applied(instance.applied)
        if instance.leads:
            instance.grants.adopted(name, instance.applied)
        if self.true_leader:
            leader = self.instances[self.true_leader]
            self.send(name, self.true_leader, partial(leader.grants.adopted, name, instance.applied))

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
        if instance.leads:
            self._lead(instance)
        own = instance.orders.of(CONTROLLER, name)
        if own and own.state == "leaving" and not own.idle and self.rng.random() < 0.3 and leader:
            idle = Idle(own.id, name)
            self.send(name, leader, partial(self.propose, leader, idle))
        self._act(instance)

    def _ask(self, name: str) -> None:
        """Asks whom it takes for the leader: the true one, or itself."""
        instance = self.instances[name]
        to = name if instance.leads else self.true_leader
        if not to:
            return
        number = instance.lease.ask(instance.clock(self.now))
        self.send(name, to, partial(self._asked, to, name, number, instance.applied))

    def _asked(self, leader: str, name: str, number: int, applied: int) -> None:
        lead = self.instances[leader]
        if not lead.leads:
            return
        lead.grants.adopted(name, applied)
        lead.grants.book(name, lead.clock(self.now))
        wait = self.rng.uniform(0.002, self.late)  # the round that confirms that it still leads
        index = lead.applied if leader != self.true_leader else len(self.log)  # committed as it begins
        self.at(self.now + wait, partial(self._confirmed, leader, name, number, index))

    def _confirmed(self, leader: str, name: str, number: int, index: int) -> None:
        if leader == self.true_leader and self._quorum(leader):
            self.send(leader, name, partial(self.instances[name].lease.granted, number, index))

    def _lead(self, instance: Instance) -> None:
        clock = instance.clock(self.now)
        grants = instance.grants
        if grants.waits_for(0, clock):
            return
        skip = self.broken == "no_confirmation"
        sight = Sight(
            name=instance.name,
            now=self.now,
            revision=0,
            servers=frozenset(SERVERS),
            failed=frozenset(self.failed),
            controllers=self.names,
            live=frozenset(grants.holders(clock)),
            waits=lambda index: [] if skip else grants.waits_for(index, clock),
        )
        step = decide(instance.orders, PLAN, sight)
        if step is None:
            return
        if isinstance(step, Move) and step.to == "out" and step.gone:
            self.fenced += 1
        self.propose(instance.name, step)
        own = instance.orders.of(CONTROLLER, instance.name)
        if own and own.state != "waiting" and instance.name == self.true_leader:
            self._elect()  # hands over

    def _act(self, instance: Instance) -> None:
        """Sends to a server, if it believes that it may: here the rules are looked at."""
        if not instance.may_act(self.now):
            return
        if instance.name in instance.orders.barred(CONTROLLER):
            return
        open_to = [s for s in SERVERS if s not in instance.orders.barred(SERVER)]
        if not open_to:
            raise Broken(f"{self.now:.3f}: {instance.name} has no server left")
        server = self.rng.choice(open_to)
        self.acts += 1
        if (order := self.truth.of(SERVER, server)) and order.state == "out":
            why = f"{instance.name} sent to {server} at version {instance.orders.version}"
            raise Broken(f"{self.now:.3f}: {why}, out since version {order.version}")
        if (order := self.truth.of(CONTROLLER, instance.name)) and order.state == "out":
            raise Broken(f"{self.now:.3f}: {instance.name} is out, and sent to {server}")

    # Rules

    def _check_budget(self, orders: Orders, whose: str) -> None:
        servers, controllers = orders.barred(SERVER), orders.barred(CONTROLLER)
        self.most_out = max(self.most_out, len(servers))
        if len(servers) > PLAN.max_out or len(controllers) > PLAN.max_out_controllers:
            raise Broken(f"{self.now:.3f}: {whose} has {sorted(servers | controllers)} out at once")

    def _check_leaving(self, machine: str, kind: str) -> None:
        if kind == SERVER and not set(SERVERS) - self.truth.barred(SERVER):
            raise Broken(f"{self.now:.3f}: no server is left in service")
        if kind == SERVER and not GROUP - self.truth.barred(SERVER) and machine not in self.failed:
            raise Broken(f"{self.now:.3f}: {machine} was the last of its group")

    # Troubles and operators

    def _trouble(self) -> None:
        self.at(self.now + self.rng.uniform(0.1, 1.5), self._trouble)
        name = self.rng.choice(self.names)
        instance = self.instances[name]
        wait = self.now + self.rng.uniform(0.1, 3 * LENGTH)
        match self.rng.choice(("pause", "pause", "kill", "cut", "cut", "cut", "elect", "elect", "fail")):
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
            case "fail":
                server = self.rng.choice(SERVERS)
                self.failed ^= {server}
        if not self.true_leader or not self._quorum(self.true_leader) or self.rng.random() < 0.3:
            self._elect()

    def _operator(self) -> None:
        self.at(self.now + self.rng.uniform(0.05, 0.8), self._operator)
        if not self.true_leader:
            return
        done = [order for order in self.truth.open if order.state == "out"]
        if done and self.rng.random() < 0.5:
            self.propose(self.true_leader, Finish(self.rng.choice(done).id))
        elif self.truth.open and self.rng.random() < 0.1:
            self.propose(self.true_leader, Withdraw(self.rng.choice(self.truth.open).id))
        elif self.rng.random() < 0.2:
            self.propose(self.true_leader, AskOut(CONTROLLER, self.rng.choice(self.names)))
        else:
            priority = self.rng.choice((0, 0, 1))
            self.propose(self.true_leader, AskOut(SERVER, self.rng.choice(SERVERS), priority=priority))

    def play(self) -> None:
        """Raises `Broken`."""
        for name in self.names:
            self.at(self.rng.uniform(0.0, TICK), partial(self._tick, name))
        self.at(0.2, self._operator)
        self.at(self.rng.uniform(0.5, 2.5), self._trouble)
        while self._heap and self._heap[0][0] < SECONDS:
            self.now, _, work = heapq.heappop(self._heap)
            work()


def schedule(seed: int, broken: str = "") -> tuple[dict[str, int], str]:
    """What one schedule came to, and the rule that was broken in it, if one was."""
    world = World(seed, broken)
    found = ""
    try:
        world.play()
    except Broken as error:
        found = f"seed {seed}: {error}"
    figures = {"steps": world.steps, "acts": world.acts, "outs": world.outs, "backs": world.backs}
    return figures | {"fenced": world.fenced, "entries": len(world.log), "most": world.most_out}, found


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--schedules", type=int, default=100_000)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=0.0, help="stop after so long; 0: play all")
    parser.add_argument("--break", dest="broken", choices=BREAKS, default="", help="break a rule on purpose")
    parser.add_argument("--processes", type=int, default=multiprocessing.cpu_count())
    wanted = parser.parse_args()
    total: dict[str, Any] = dict.fromkeys(("steps", "acts", "outs", "backs", "fenced", "entries"), 0)
    violations, most, played, began = [], 0, 0, time.monotonic()
    seeds = range(wanted.first_seed, wanted.first_seed + wanted.schedules)
    with multiprocessing.get_context("fork").Pool(wanted.processes) as pool:
        for figures, found in pool.imap_unordered(partial(schedule, broken=wanted.broken), seeds, 200):
            played += 1
            most = max(most, figures.pop("most"))
            for key, value in figures.items():
                total[key] += value
            if found:
                violations.append(found)
            if wanted.seconds and time.monotonic() - began > wanted.seconds:
                pool.terminate()
                break
    for found in sorted(violations)[:5]:
        print(found, file=sys.stderr)
    line = {
        "benchmark": "maint_model",
        "seed": wanted.first_seed,
        "ok": not violations and total["outs"] > played and total["fenced"] > 0,
        "schedules": played,
        "violations": len(violations),
        "most_out_at_once": most,
        "max_out": PLAN.max_out,
        **total,
        "took_s": round(time.monotonic() - began, 1),
    }
    return print_line(line)


if __name__ == "__main__":
    sys.exit(main())
