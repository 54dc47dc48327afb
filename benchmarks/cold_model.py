"""Cold servers under the sum of a whole fleet: many decision modules, no sockets, one world a seed.

The claim: however a fleet of border controllers hears of a release, restarts in the middle of it and shares
its traffic out, the set-ups that reach a cold server in any window of `tip_after` stay within
N + 2 x root of N + 2, with N what the settings allow it: `tip_multiple` x its capacity in that window. The
world counts; the modules are told nothing of it. Servers rise evenly from `cold_share` to all they can do.

    python -m benchmarks.cold_model --schedules 200 --first-seed 1 [--fronts 30] [--break ramp]

`--break ramp` has the modules keep to no ramp at all, and must be found.
"""

from __future__ import annotations

import argparse
import heapq
import random
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from math import sqrt

import orjson

from harepick import decide
from harepick import interface as i

SETTINGS = i.Settings(
    me=0,
    fronts=1,
    classes=(
        i.CallClass("search", aim=2.0, give_up=9.0, worth=1.0, late_share=0.25),
        i.CallClass("update", aim=1.5, give_up=9.0, worth=3.0, late_share=0.25),
    ),
    cold_share=0.34,
    warm_after=14.0,
    tip_multiple=2.0,
    tip_after=1.5,
    drain_grace=0.25,
    answer_grace=0.02,
    release_guard=0.3,
    try_limit=4,
    may_cancel=True,
    may_advise=True,
    max_advice=2.0,
)
LENGTH = 26.0  # seconds of a schedule: a release, and the time its servers take to warm
BEGINS = 6.0
FULL_AFTER = 2.5  # a processor turns set-ups away past this wait
HOLD = 9.0


@dataclass
class Machine:
    """A setup server as the world knows it: one processor with one line."""

    name: str
    number: int
    capacity: float  # set-ups a second once warm
    started: float = 0.0  # 0: long ago
    gone_at: float = float("inf")
    busy_until: float = 0.0
    sent: deque[float] = field(default_factory=deque)  # arrivals within the last window
    worst: float = 0.0  # most calls of a window over what may be, as a share of that

    def share(self, now: float) -> float:
        if not self.started:
            return 1.0
        rise = (now - self.started) / SETTINGS.warm_after
        return min(1.0, SETTINGS.cold_share + (1.0 - SETTINGS.cold_share) * max(0.0, rise))

    def takes(self, now: float) -> float | None:
        """When a set-up that arrives now is answered; None: turned away."""
        if self.started and now - self.started < SETTINGS.warm_after:
            self.sent.append(now)
            while self.sent[0] <= now - SETTINGS.tip_after:
                self.sent.popleft()
            # By what it can do as the window begins: it only rises.
            can = self.share(max(self.started, now - SETTINGS.tip_after)) * self.capacity
            allowed = SETTINGS.tip_multiple * can * SETTINGS.tip_after
            self.worst = max(self.worst, len(self.sent) / (allowed + 2.0 * sqrt(allowed) + 2.0))
        work = 1.0 / (self.capacity * self.share(now))
        if self.busy_until - now > FULL_AFTER:
            self.busy_until += work / 5.0
            return None
        self.busy_until = max(self.busy_until, now) + work
        return self.busy_until


class Front:
    """One border controller: its module, and what it was told."""

    def __init__(self, world: World, number: int, share: float) -> None:
        self.world, self.number, self.share = world, number, share
        self.up = False
        self.module: decide.Controller

    def start(self) -> None:
        world = self.world
        settings = replace(SETTINGS, me=self.number, fronts=len(world.fronts))
        self.module = decide.Controller(settings, world.rng.getrandbits(32), world.now)
        self.up, self.life = True, object()
        self.perform(self.module.start())
        rows = tuple(world.entry(m) for m in world.listed.values())
        self.hear(i.ServerList(i.ListKind.REMEMBERED, rows))

    def hear(self, *events: i.Event) -> None:
        if self.up:
            self.perform(self.module.step(self.world.now, events))

    def later(self, delay: float, event: Callable[[], i.Event]) -> None:
        life = self.life

        def told() -> None:
            if self.life is life and self.up:
                self.hear(event())

        self.world.at(delay, told)

    def perform(self, actions: list[i.Action]) -> None:
        for action in actions:
            match action:
                case i.WakeAfter(delay, token):
                    self.later(delay, lambda token=token: i.Woken(token))  # type: ignore[misc]
                case i.Send(call, server):
                    self.send(call, server)
                case i.Refuse(call, come_back):
                    self.world.refused(call, come_back)

    def send(self, call: str, server: str) -> None:
        world = self.world
        sent, way = world.now, world.rng.uniform(0.004, 0.024)
        attempt = world.attempts[call] = world.attempts.get(call, -1) + 1

        def arrives() -> None:
            machine = world.machines[server]
            if world.now >= machine.gone_at:
                ended = i.AttemptEnded(call, attempt, server, i.Outcome.UNREACHED, world.now - sent, False)
                return self.later(way, lambda: ended)
            done = machine.takes(world.now)
            if done is None:
                full = i.AttemptEnded(call, attempt, server, i.Outcome.FULL, way * 2, False, 3)
                return self.later(way, lambda: full)
            delay = done - world.now + way
            self.later(delay, lambda: i.CallStands(call, attempt, server, world.now - sent))
            over = i.AttemptEnded(call, attempt, server, i.Outcome.OK, HOLD, True)
            self.later(delay + HOLD, lambda: over)

        world.at(way, arrives)


class World:
    def __init__(self, seed: int, fronts: int) -> None:
        self.rng = rng = random.Random(seed)
        self.now, self._heap, self._count = 0.0, [], 0  # type: ignore[var-annotated]
        shares = [rng.lognormvariate(0.0, 0.7) for _ in range(fronts)]  # some get several times the mean
        self.fronts = [Front(self, n, s / sum(shares)) for n, s in enumerate(shares)]
        count = rng.randint(4, 12)
        self.rate = rng.uniform(1.5, 5.0) * fronts  # calls a second, over all of them
        load = rng.uniform(0.6, 1.2)
        capacity = self.rate / (count * load)
        self.machines = {f"s{n}": Machine(f"s{n}", n, capacity) for n in range(count)}
        self.listed = dict(self.machines)
        self.attempts: dict[str, int] = {}
        self.callers: dict[str, tuple[Front, int, int]] = {}
        self.replaced = max(1, round(count * rng.uniform(0.3, 0.7)))
        self.restarts = rng.random() < 0.6

    def at(self, delay: float, what: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._heap, (self.now + delay, self._count, what))

    def entry(self, machine: Machine) -> i.ServerEntry:
        state = "gone" if self.now >= machine.gone_at else "draining" if machine.gone_at < LENGTH else "ready"
        return i.ServerEntry(machine.name, machine.number, state, 1.0, machine.started)

    def tell(self, *machines: Machine) -> None:
        """News of the list, to each front in its own time."""
        for front in self.fronts:
            late = self.rng.uniform(0.3, 2.5)

            def told(front: Front = front) -> None:
                front.hear(i.ServerList(i.ListKind.CHANGES, tuple(self.entry(m) for m in machines)))

            self.at(late, told)

    def arrive(self, front: Front, number: int, tries: int = 0) -> None:
        self._count += 1
        call = f"c{self._count}"
        self.callers[call] = front, number, tries
        kind = "update" if number % 5 == 0 else "search"
        dest = self.rng.randrange(len(self.fronts)) % max(m.number + 1 for m in self.machines.values())
        front.hear(i.CallArrived(call, dest, self.now + 9.0, kind, number=number))

    def refused(self, call: str, come_back: float) -> None:
        front, number, tries = self.callers[call]
        if tries < 2:
            pause = max(come_back, self.rng.uniform(0.54, 1.3))
            self.at(pause, lambda: self.arrive(front, number, tries + 1))

    def traffic(self, front: Front) -> None:
        def next_call() -> None:
            self.arrive(front, self.rng.getrandbits(40))
            self.at(self.rng.expovariate(self.rate * front.share), next_call)

        self.at(self.rng.expovariate(self.rate * front.share), next_call)

    def release(self) -> None:
        """Servers replaced within some seconds: drained first, the successor in their place cold."""
        span = self.rng.uniform(0.5, 8.0)
        for old in self.rng.sample(list(self.machines.values()), self.replaced):
            begin, stays = BEGINS + self.rng.uniform(0, span), self.rng.uniform(2.0, 6.0)
            pause = self.rng.uniform(0.0, 3.0)

            def drain(old: Machine = old, stays: float = stays) -> None:
                old.gone_at = self.now + stays
                self.tell(old)
                self.at(stays, lambda: self.tell(old))

            def replace_it(old: Machine = old) -> None:
                new = Machine(old.name + "n", old.number, old.capacity, started=self.now)
                self.machines[new.name] = self.listed[new.name] = new
                self.tell(new)

            self.at(begin, drain)
            self.at(begin + pause, replace_it)

    def restart(self, front: Front) -> None:
        front.up = False
        self.at(self.rng.uniform(0.4, 1.2), front.start)

    def play(self) -> dict[str, float]:
        for front in self.fronts:
            front.start()
            self.traffic(front)
        self.release()
        if self.restarts:
            for n, front in enumerate(self.fronts):
                self.at(BEGINS + 1.6 * (n * 10 // len(self.fronts)), partial(self.restart, front))
        while self._heap and self._heap[0][0] < LENGTH:
            self.now, _, what = heapq.heappop(self._heap)
            what()
        cold = [m for m in self.machines.values() if m.started]
        sends = sum(self.attempts.values()) + len(self.attempts)
        return {"worst": max((m.worst for m in cold), default=0.0), "sends": sends, "cold": len(cold)}


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--schedules", type=int, default=100)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--fronts", type=int, default=30)
    parser.add_argument("--break", dest="broken", choices=["ramp"])
    args = parser.parse_args()
    if args.broken:
        decide.Controller._has_cold_token = lambda self, server: True  # type: ignore[method-assign]
    worst, over, sends, cold = (0.0, 0), [], 0.0, 0.0
    for seed in range(args.first_seed, args.first_seed + args.schedules):
        found = World(seed, args.fronts).play()
        worst = max(worst, (found["worst"], seed))
        over += [seed] if found["worst"] > 1.0 else []
        sends, cold = sends + found["sends"], cold + found["cold"]
    line = {
        "benchmark": "cold_model",
        "seed": args.first_seed,
        "ok": not over,
        "schedules": args.schedules,
        "fronts": args.fronts,
        "cold_servers": int(cold),
        "set_ups": int(sends),
        "violations": len(over),
        "over_seeds": over[:10],
        "worst_of_bound": round(worst[0], 3),
        "worst_seed": worst[1],
    }
    print(orjson.dumps(line).decode())
    return 0 if not over else 1


if __name__ == "__main__":
    sys.exit(main())
