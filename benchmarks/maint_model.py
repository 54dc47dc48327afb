"""Machines out for work in a seeded virtual world: rule, orders and fencing, checked at each step.

The orders and the rule are the real ones; the world is `benchmarks/fleet_world.py`.

    python -m benchmarks.maint_model --schedules 100000 --first-seed 1
"""

from __future__ import annotations

import sys
from typing import Any

from benchmarks import fleet_world
from benchmarks.fleet_world import Broken, Instance, Waits, World
from harepick.fleet.maintenance.handover import CLOSED, CLOSED_STAGES, HANDING_OVER, OUT, Handover
from harepick.fleet.maintenance.orders import (
    CONTROLLER,
    SERVER,
    AdvanceOrder,
    CancelOrder,
    FinishOrder,
    Orders,
    RefusedOrderError,
    ReportIdle,
    RequestMaintenance,
)
from harepick.fleet.maintenance.policy import FleetState, Group, MaintenanceSettings, decide

SERVERS = tuple(f"s{n}" for n in range(4))
GROUP = frozenset({"s0", "s1"})
PLAN = MaintenanceSettings(max_out=2, max_out_controllers=1, floor=2.0, groups=(Group("north", GROUP),))
BREAKS = (
    "",
    "no_confirmation",
    "lease_ignored",
    "unguarded",
    "no_wait_after_election",
    "idle_too_early",
    "pressed_counts",
)
LONGEST = 0.5  # seconds that a call may be under way


class Process:
    """What one process of an instance knows by itself: its part of the handover, and its calls."""

    def __init__(self, owner: Orders) -> None:
        self.owner = owner  # its copy of the orders: a restarted process has another
        self.handover = Handover()
        self.served = False
        self.calls: list[float] = []  # when each ends, by the instance's clock


class _Unguarded(Orders):
    """Broken on purpose: a move counts whatever it was decided on."""

    def _check_version(self, expect: int) -> None:
        pass


class MaintWorld(World[Orders]):
    def __init__(self, seed: int, broken: str = "") -> None:
        super().__init__(seed, broken)
        self.failed: set[str] = set()
        self.pressed: set[str] = set()  # full for a moment: they give nothing now, and have not failed
        self.mended: dict[str, float] = {}  # server -> when it was no longer failed
        self.acts = self.outs = self.backs = self.fenced = self.most = self.handed = 0
        self.processes: dict[str, Process] = {}
        self.length = self.rng.choice((0.0, 0.1, 0.4))  # seconds for callers to move

    def fresh(self) -> Orders:
        return _Unguarded() if self.broken == "unguarded" else Orders()

    def apply(self, state: Orders, index: int, command: Any) -> None:
        before = {order.id: order.state for order in state.open}
        try:
            order = state.apply(index, command)
        except RefusedOrderError:
            return
        if state is self.truth and order and order.state != before.get(order.id):
            self.outs += order.state == "out"
            self.backs += order.state == "back"
            if order.state == "leaving" and order.kind == SERVER:
                self._check_leaving(order.machine)

    def applied(self, instance: Instance[Orders]) -> None:
        process = self._process(instance)
        own = instance.state.of(CONTROLLER, instance.name)
        process.handover.follow(own, instance.clock(self.now), self.length, process.served)

    def _process(self, instance: Instance[Orders]) -> Process:
        known = self.processes.get(instance.name)
        if known is None or known.owner is not instance.state:
            known = self.processes[instance.name] = Process(instance.state)
        return known

    def committed(self, command: Any) -> None:
        servers, controllers = self.truth.excluded(SERVER), self.truth.excluded(CONTROLLER)
        self.most = max(self.most, len(servers))
        if len(servers) > PLAN.max_out or len(controllers) > PLAN.max_out_controllers:
            raise Broken(f"{self.now:.3f}: {sorted(servers | controllers)} are out at once")

    def _check_leaving(self, machine: str) -> None:
        if not set(SERVERS) - self.truth.excluded(SERVER):
            raise Broken(f"{self.now:.3f}: no server is left in service")
        # What has failed is as the leader saw it when it decided: a message's time before.
        failed = machine in self.failed or self.now - self.mended.get(machine, -1.0) <= self.late
        if not GROUP - self.truth.excluded(SERVER) and not failed:
            raise Broken(f"{self.now:.3f}: {machine} was the last of its group")

    def _check_left(self, state: Orders, move: AdvanceOrder) -> None:
        """What a server that is called out leaves, as all is in the moment of the decision."""
        order = state.get(move.order)
        if order is None or order.kind != SERVER or order.machine in self.failed:
            return
        left = set(SERVERS) - state.excluded(SERVER) - self.failed - self.pressed - {order.machine}
        if len(left) < PLAN.floor or (order.machine in GROUP and not left & GROUP):
            raise Broken(f"{self.now:.3f}: {order.machine} leaves {sorted(left)} in service")

    def lead(self, instance: Instance[Orders], live: frozenset[str], waits: Waits) -> None:
        sight = FleetState(
            name=instance.name,
            now=self.now,
            revision=0,
            servers=frozenset(SERVERS),
            failed=frozenset(self.failed),
            controllers=self.names,
            live=live,
            unconfirmed_by=waits,
            avoided=frozenset() if self.broken == "pressed_counts" else frozenset(self.pressed - self.failed),
        )
        step = decide(instance.state, PLAN, sight)
        if step is None:
            return
        if isinstance(step, AdvanceOrder) and step.to == "leaving":
            self._check_left(instance.state, step)
        self.fenced += isinstance(step, AdvanceOrder) and step.to == "out" and bool(step.gone)
        self.propose(instance.name, step)
        own = instance.state.of(CONTROLLER, instance.name)
        if own and own.state != "waiting" and instance.name == self.true_leader:
            self.elect()  # hands over

    def tick(self, instance: Instance[Orders]) -> None:
        own, leader = instance.state.of(CONTROLLER, instance.name), self.true_leader
        process, clock = self._process(instance), instance.clock(self.now)
        process.calls = [end for end in process.calls if end > clock]
        idle = not process.calls and process.handover.stage(clock) == CLOSED
        if self.broken == "idle_too_early":
            idle = not process.calls
        if own and own.state == "leaving" and not own.idle and idle and self.rng.random() < 0.3 and leader:
            word = ReportIdle(own.id, instance.name)
            self.send(instance.name, leader, lambda: self.propose(leader, word))

    def act(self, instance: Instance[Orders]) -> None:
        """Takes a call, if it believes that it may, and sends to a server for one that is under way."""
        process, clock = self._process(instance), instance.clock(self.now)
        stage = process.handover.stage(clock)
        if stage not in CLOSED_STAGES:
            process.served = True
            self.handed += stage == HANDING_OVER
            if self.rng.random() < 0.5:
                process.calls.append(clock + self.rng.uniform(0.0, LONGEST))
        if stage == OUT or not process.calls:
            return
        open_to = [s for s in SERVERS if s not in instance.state.excluded(SERVER)]
        if not open_to:
            raise Broken(f"{self.now:.3f}: {instance.name} has no server left")
        server = self.rng.choice(open_to)
        self.acts += 1
        if (order := self.truth.of(SERVER, server)) and order.state == "out":
            why = f"{instance.name} sent to {server} at version {instance.state.version}"
            raise Broken(f"{self.now:.3f}: {why}, out since version {order.version}")
        if (order := self.truth.of(CONTROLLER, instance.name)) and order.state == "out":
            raise Broken(f"{self.now:.3f}: {instance.name} is out, and sent to {server}")

    def trouble(self) -> None:
        server = self.rng.choice(SERVERS)
        if self.rng.random() < 0.5:
            self.pressed ^= {server}
            return
        if server in self.failed:
            self.mended[server] = self.now
        self.failed ^= {server}

    def operate(self) -> None:
        self.at(0.2, self._operator)

    def _operator(self) -> None:
        self.at(self.now + self.rng.uniform(0.05, 0.8), self._operator)
        if not self.true_leader:
            return
        done = [order for order in self.truth.open if order.state == "out"]
        if done and self.rng.random() < 0.5:
            self.propose(self.true_leader, FinishOrder(self.rng.choice(done).id))
        elif self.truth.open and self.rng.random() < 0.1:
            self.propose(self.true_leader, CancelOrder(self.rng.choice(self.truth.open).id))
        elif self.rng.random() < 0.2:
            self.propose(self.true_leader, RequestMaintenance(CONTROLLER, self.rng.choice(self.names)))
        else:
            priority = self.rng.choice((0, 0, 1))
            self.propose(
                self.true_leader, RequestMaintenance(SERVER, self.rng.choice(SERVERS), priority=priority)
            )

    def figures(self) -> dict[str, float]:
        return super().figures() | {
            "acts": self.acts,
            "outs": self.outs,
            "backs": self.backs,
            "fenced": self.fenced,
            "handed_over": self.handed,
            "most_out_at_once": self.most,
        }


def schedule(seed: int, broken: str = "") -> tuple[dict[str, float], str]:
    return fleet_world.schedule(MaintWorld, seed, broken)


def main() -> int:
    wanted = fleet_world.arguments(__doc__, BREAKS).parse_args()
    found = fleet_world.many(
        MaintWorld,
        wanted.first_seed,
        wanted.schedules,
        wanted.broken,
        wanted.processes,
        ("most_out_at_once",),
    )
    total, _, played, _ = found
    enough = total["outs"] > played and total["fenced"] > 0
    return fleet_world.tell("maint_model", wanted.first_seed, found, enough, max_out=PLAN.max_out)


if __name__ == "__main__":
    sys.exit(main())
