"""Simulates the load of a whole fleet of border controllers on cold servers, without sockets.

While servers are replaced and controllers restart, the set-ups that reach a cold server in any window of
`tip_after` seconds have to stay within N + 2 x sqrt(N) + 2, where N is what the settings allow it:
`tip_multiple` x its capacity in that window. Only the simulation counts them; the controllers have no such
count. A cold server's capacity rises evenly from `cold_share` to the full one.

    python -m benchmarks.cold_model --schedules 200 --first-seed 1 [--fronts 30] [--break ramp]

`--break ramp` turns off the ramp of the controllers, to prove that the bound is checked.
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

from harepick import decide, interface

SETTINGS = interface.Settings(
    me=0,
    fronts=1,
    classes=(
        interface.CallClass("search", aim=2.0, give_up=9.0, worth=1.0, late_share=0.25),
        interface.CallClass("update", aim=1.5, give_up=9.0, worth=3.0, late_share=0.25),
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
SCHEDULE_S = 26.0  # the servers are replaced, and the new ones warm up
REPLACEMENT_START_S = 6.0
MAX_QUEUE_WAIT_S = 2.5  # a server rejects set-ups that would wait longer
CALL_S = 9.0


@dataclass
class SetupServer:
    """A setup server: one processor with one queue."""

    name: str
    number: int
    capacity: float  # set-ups per second once warm
    started: float = 0.0  # 0: before the schedule, so it is warm
    gone_at: float = float("inf")
    busy_until: float = 0.0
    arrivals: deque[float] = field(default_factory=deque)  # arrival times within the last window, while cold
    max_bound_share: float = 0.0  # most arrivals of a window, as a share of the bound

    def share(self, now: float) -> float:
        """The share of its full capacity that it has now."""
        if not self.started:
            return 1.0
        warm_part = (now - self.started) / SETTINGS.warm_after
        return min(1.0, SETTINGS.cold_share + (1.0 - SETTINGS.cold_share) * max(0.0, warm_part))

    def accept(self, now: float) -> float | None:
        """Takes a set-up that arrives now; returns when it is answered, or None if it is rejected."""
        if self.started and now - self.started < SETTINGS.warm_after:
            self.arrivals.append(now)
            while self.arrivals[0] <= now - SETTINGS.tip_after:
                self.arrivals.popleft()
            # The capacity at the start of the window: it only rises.
            capacity = self.share(max(self.started, now - SETTINGS.tip_after)) * self.capacity
            allowed = SETTINGS.tip_multiple * capacity * SETTINGS.tip_after
            self.max_bound_share = max(
                self.max_bound_share, len(self.arrivals) / (allowed + 2.0 * sqrt(allowed) + 2.0)
            )
        work = 1.0 / (self.capacity * self.share(now))
        if self.busy_until - now > MAX_QUEUE_WAIT_S:
            self.busy_until += work / 5.0  # a rejection takes a fifth of the work
            return None
        self.busy_until = max(self.busy_until, now) + work
        return self.busy_until


class BorderController:
    """One border controller around its decision core; `share` is its part of all calls."""

    def __init__(self, world: World, number: int, share: float) -> None:
        self.world, self.number, self.share = world, number, share
        self.up = False
        self.core: decide.Controller

    def start(self) -> None:
        """Starts a process: a new decision core that is given the servers known so far."""
        world = self.world
        settings = replace(SETTINGS, me=self.number, fronts=len(world.controllers))
        self.core = decide.Controller(settings, world.rng.getrandbits(32), world.now)
        self.up, self.incarnation = True, object()
        self.perform_actions(self.core.start())
        entries = tuple(world.entry(server) for server in world.listed.values())
        self.handle_events(interface.ServerList(interface.ListKind.REMEMBERED, entries))

    def handle_events(self, *events: interface.Event) -> None:
        """Hands events to the decision core and performs its actions."""
        if self.up:
            self.perform_actions(self.core.step(self.world.now, events))

    def call_later(self, delay: float, event: Callable[[], interface.Event]) -> None:
        """Delivers an event after a delay, unless the process was restarted meanwhile."""
        incarnation = self.incarnation

        def deliver() -> None:
            if self.incarnation is incarnation and self.up:
                self.handle_events(event())

        self.world.call_later(delay, deliver)

    def perform_actions(self, actions: list[interface.Action]) -> None:
        """Performs what the core decided."""
        for action in actions:
            match action:
                case interface.WakeAfter(delay, token):
                    self.call_later(delay, lambda token=token: interface.Woken(token))  # type: ignore[misc]
                case interface.Send(call, server):
                    self.send(call, server)
                case interface.Refuse(call, retry_after):
                    self.world.handle_refusal(call, retry_after)

    def send(self, call: str, server: str) -> None:
        """Sends a set-up to a server and reports the answer and the end of the call."""
        world = self.world
        sent, latency = world.now, world.rng.uniform(0.004, 0.024)
        attempt = world.attempts[call] = world.attempts.get(call, -1) + 1

        def arrive() -> None:
            target = world.servers[server]
            if world.now >= target.gone_at:
                unreached = interface.AttemptEnded(
                    call, attempt, server, interface.Outcome.UNREACHED, world.now - sent, False
                )
                return self.call_later(latency, lambda: unreached)
            answered_at = target.accept(world.now)
            if answered_at is None:
                full = interface.AttemptEnded(
                    call, attempt, server, interface.Outcome.FULL, latency * 2, False, 3
                )
                return self.call_later(latency, lambda: full)
            delay = answered_at - world.now + latency
            self.call_later(delay, lambda: interface.CallStands(call, attempt, server, world.now - sent))
            ended = interface.AttemptEnded(call, attempt, server, interface.Outcome.OK, CALL_S, True)
            self.call_later(delay + CALL_S, lambda: ended)

        world.call_later(latency, arrive)


class World:
    """Servers, callers and border controllers of one seed."""

    def __init__(self, seed: int, fronts: int) -> None:
        self.rng = rng = random.Random(seed)
        self.now, self._heap, self._event_count = 0.0, [], 0  # type: ignore[var-annotated]
        # Some controllers get several times as many calls as the mean.
        shares = [rng.lognormvariate(0.0, 0.7) for _ in range(fronts)]
        self.controllers = [BorderController(self, n, s / sum(shares)) for n, s in enumerate(shares)]
        count = rng.randint(4, 12)
        self.rate = rng.uniform(1.5, 5.0) * fronts  # calls per second, over all controllers
        load = rng.uniform(0.6, 1.2)
        capacity = self.rate / (count * load)
        self.servers = {f"s{n}": SetupServer(f"s{n}", n, capacity) for n in range(count)}
        self.listed = dict(self.servers)
        self.attempts: dict[str, int] = {}
        # Call -> controller, number, earlier attempts.
        self.callers: dict[str, tuple[BorderController, int, int]] = {}
        self.replaced = max(1, round(count * rng.uniform(0.3, 0.7)))  # number of servers to replace
        self.restarts = rng.random() < 0.6  # whether the controllers restart meanwhile

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Runs a callback after a delay, in seconds of the world."""
        self._event_count += 1
        heapq.heappush(self._heap, (self.now + delay, self._event_count, callback))

    def entry(self, server: SetupServer) -> interface.ServerEntry:
        """The server's row of the server list."""
        state = (
            "gone" if self.now >= server.gone_at else "draining" if server.gone_at < SCHEDULE_S else "ready"
        )
        return interface.ServerEntry(server.name, server.number, state, 1.0, server.started)

    def announce(self, *servers: SetupServer) -> None:
        """Announces changes of the server list to each controller, after a delay of its own."""
        for controller in self.controllers:
            delay = self.rng.uniform(0.3, 2.5)

            def deliver(controller: BorderController = controller) -> None:
                controller.handle_events(
                    interface.ServerList(
                        interface.ListKind.CHANGES, tuple(self.entry(server) for server in servers)
                    )
                )

            self.call_later(delay, deliver)

    def place_call(self, controller: BorderController, number: int, tries: int = 0) -> None:
        """A caller's attempt at a controller; `number` also selects the class of the call."""
        self._event_count += 1
        call = f"c{self._event_count}"
        self.callers[call] = controller, number, tries
        class_name = "update" if number % 5 == 0 else "search"
        destination = self.rng.randrange(len(self.controllers)) % max(
            server.number + 1 for server in self.servers.values()
        )
        controller.handle_events(
            interface.CallArrived(call, destination, self.now + 9.0, class_name, number=number)
        )

    def handle_refusal(self, call: str, retry_after: float) -> None:
        """The caller tries again, at most twice."""
        controller, number, tries = self.callers[call]
        if tries < 2:
            pause = max(retry_after, self.rng.uniform(0.54, 1.3))
            self.call_later(pause, lambda: self.place_call(controller, number, tries + 1))

    def start_traffic(self, controller: BorderController) -> None:
        """Starts the Poisson arrivals of calls at a controller."""

        def next_call() -> None:
            self.place_call(controller, self.rng.getrandbits(40))
            self.call_later(self.rng.expovariate(self.rate * controller.share), next_call)

        self.call_later(self.rng.expovariate(self.rate * controller.share), next_call)

    def replace_servers(self) -> None:
        """Replaces servers within a few seconds: each drains first, and its successor starts cold."""
        span = self.rng.uniform(0.5, 8.0)
        for old in self.rng.sample(list(self.servers.values()), self.replaced):
            start, drain_s = REPLACEMENT_START_S + self.rng.uniform(0, span), self.rng.uniform(2.0, 6.0)
            pause = self.rng.uniform(0.0, 3.0)

            def drain(old: SetupServer = old, drain_s: float = drain_s) -> None:
                old.gone_at = self.now + drain_s
                self.announce(old)
                self.call_later(drain_s, lambda: self.announce(old))

            def replace_it(old: SetupServer = old) -> None:
                new = SetupServer(old.name + "n", old.number, old.capacity, started=self.now)
                self.servers[new.name] = self.listed[new.name] = new
                self.announce(new)

            self.call_later(start, drain)
            self.call_later(start + pause, replace_it)

    def restart(self, controller: BorderController) -> None:
        """Stops the controller, and starts it again after about a second."""
        controller.up = False
        self.call_later(self.rng.uniform(0.4, 1.2), controller.start)

    def run(self) -> dict[str, float]:
        """Runs the schedule; returns the largest share of the bound that a cold server got, and counts."""
        for controller in self.controllers:
            controller.start()
            self.start_traffic(controller)
        self.replace_servers()
        if self.restarts:
            for n, controller in enumerate(self.controllers):
                self.call_later(
                    REPLACEMENT_START_S + 1.6 * (n * 10 // len(self.controllers)),
                    partial(self.restart, controller),
                )
        while self._heap and self._heap[0][0] < SCHEDULE_S:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        cold = [server for server in self.servers.values() if server.started]
        sends = sum(self.attempts.values()) + len(self.attempts)
        return {
            "worst": max((server.max_bound_share for server in cold), default=0.0),
            "sends": sends,
            "cold": len(cold),
        }


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--schedules", type=int, default=100)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--fronts", type=int, default=30)
    parser.add_argument("--break", dest="broken", choices=["ramp"])
    options = parser.parse_args()
    if options.broken:
        decide.Controller._has_cold_token = lambda self, server: True  # type: ignore[method-assign]
    worst, violating_seeds, set_ups, cold_servers = (0.0, 0), [], 0.0, 0.0
    for seed in range(options.first_seed, options.first_seed + options.schedules):
        result = World(seed, options.fronts).run()
        worst = max(worst, (result["worst"], seed))
        violating_seeds += [seed] if result["worst"] > 1.0 else []
        set_ups, cold_servers = set_ups + result["sends"], cold_servers + result["cold"]
    line = {
        "benchmark": "cold_model",
        "seed": options.first_seed,
        "ok": not violating_seeds,
        "schedules": options.schedules,
        "fronts": options.fronts,
        "cold_servers": int(cold_servers),
        "set_ups": int(set_ups),
        "violations": len(violating_seeds),
        "over_seeds": violating_seeds[:10],
        "worst_of_bound": round(worst[0], 3),
        "worst_seed": worst[1],
    }
    print(orjson.dumps(line).decode())
    return 0 if not violating_seeds else 1


if __name__ == "__main__":
    sys.exit(main())
