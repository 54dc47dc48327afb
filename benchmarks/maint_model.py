"""Simulates maintenance of servers and controllers: policy, orders and fencing, checked at each step.

The orders and the policy are the production code; the simulation is `benchmarks/fleet_world.py`.

    python -m benchmarks.maint_model --schedules 100000 --first-seed 1
"""

from __future__ import annotations

import sys
from typing import Any

from benchmarks import fleet_world
from benchmarks.fleet_world import Instance, UnconfirmedBy, Violation, World
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
from harepick.fleet.maintenance.policy import Group, MaintenanceFleetState, MaintenanceSettings, decide

SERVERS = tuple(f"s{n}" for n in range(4))
SERVER_GROUP = frozenset({"s0", "s1"})
SETTINGS = MaintenanceSettings(
    max_out=2, max_out_controllers=1, floor=2.0, groups=(Group("north", SERVER_GROUP),)
)
BREAKS = (
    "",
    "no_confirmation",
    "lease_ignored",
    "unguarded",
    "no_wait_after_election",
    "idle_too_early",
    "pressed_counts",
)
MAX_CALL_S = 0.5


class Process:
    """What one process of an instance keeps in memory: its state of the handover and its calls."""

    def __init__(self, orders: Orders) -> None:
        self.orders = orders  # its copy of the orders: a restarted process has a new one
        self.handover = Handover()
        self.served = False  # whether this process has taken a call
        self.calls: list[float] = []  # end of each, by the instance's clock


class _Unguarded(Orders):
    """Broken on purpose: an order advances whichever version the decision was based on."""

    def _check_version(self, expect: int) -> None:
        pass


class MaintWorld(World[Orders]):
    """Servers and controllers go out for maintenance while instances take calls; counts what happened."""

    def __init__(self, seed: int, broken: str = "") -> None:
        super().__init__(seed, broken)
        self.failed: set[str] = set()
        self.overloaded: set[str] = set()  # out of use for a while, but not failed
        self.recovered_at: dict[str, float] = {}  # server -> when its last failure ended
        self.acts = self.taken_out = self.returned = self.fenced = self.max_out_at_once = (
            self.handover_calls
        ) = 0
        self.processes: dict[str, Process] = {}
        self.handover_s = self.rng.choice((0.0, 0.1, 0.4))  # seconds that callers have to move away

    def initial_state(self) -> Orders:
        return _Unguarded() if self.broken == "unguarded" else Orders()

    def apply(self, state: Orders, index: int, command: Any) -> None:
        before = {order.id: order.state for order in state.open}
        try:
            order = state.apply(index, command)
        except RefusedOrderError:
            return
        if state is self.committed_state and order and order.state != before.get(order.id):
            self.taken_out += order.state == "out"
            self.returned += order.state == "back"
            if order.state == "leaving" and order.kind == SERVER:
                self._check_leaving(order.machine)

    def on_applied(self, instance: Instance[Orders]) -> None:
        process = self._process(instance)
        own_order = instance.state.open_order(CONTROLLER, instance.name)
        process.handover.follow(own_order, instance.clock(self.now), self.handover_s, process.served)

    def _process(self, instance: Instance[Orders]) -> Process:
        known = self.processes.get(instance.name)
        if known is None or known.orders is not instance.state:
            known = self.processes[instance.name] = Process(instance.state)
        return known

    def on_committed(self, command: Any) -> None:
        """Checks how many servers and controllers are out at once."""
        servers, controllers = (
            self.committed_state.excluded(SERVER),
            self.committed_state.excluded(CONTROLLER),
        )
        self.max_out_at_once = max(self.max_out_at_once, len(servers))
        if len(servers) > SETTINGS.max_out or len(controllers) > SETTINGS.max_out_controllers:
            raise Violation(f"{self.now:.3f}: {sorted(servers | controllers)} are out at once")

    def _check_leaving(self, machine: str) -> None:
        if not set(SERVERS) - self.committed_state.excluded(SERVER):
            raise Violation(f"{self.now:.3f}: no server is left in service")
        # The leader decided up to a message's delay ago, on the failures that it knew then.
        failed = machine in self.failed or self.now - self.recovered_at.get(machine, -1.0) <= self.max_delay
        if not SERVER_GROUP - self.committed_state.excluded(SERVER) and not failed:
            raise Violation(f"{self.now:.3f}: {machine} was the last of its group")

    def _check_remaining(self, state: Orders, advance: AdvanceOrder) -> None:
        """Checks what a server that is to leave would leave in service, at the moment of the decision."""
        order = state.get(advance.order)
        if order is None or order.kind != SERVER or order.machine in self.failed:
            return
        remaining = set(SERVERS) - state.excluded(SERVER) - self.failed - self.overloaded - {order.machine}
        if len(remaining) < SETTINGS.floor or (
            order.machine in SERVER_GROUP and not remaining & SERVER_GROUP
        ):
            raise Violation(f"{self.now:.3f}: {order.machine} leaves {sorted(remaining)} in service")

    def act_as_leader(
        self, instance: Instance[Orders], live: frozenset[str], unconfirmed_by: UnconfirmedBy
    ) -> None:
        """Proposes what the policy decides; checks what a leaving server would leave."""
        fleet = MaintenanceFleetState(
            name=instance.name,
            now=self.now,
            revision=0,
            servers=frozenset(SERVERS),
            failed=frozenset(self.failed),
            controllers=self.names,
            live=live,
            unconfirmed_by=unconfirmed_by,
            avoided=frozenset()
            if self.broken == "pressed_counts"
            else frozenset(self.overloaded - self.failed),
        )
        step = decide(instance.state, SETTINGS, fleet)
        if step is None:
            return
        if isinstance(step, AdvanceOrder) and step.to == "leaving":
            self._check_remaining(instance.state, step)
        self.fenced += isinstance(step, AdvanceOrder) and step.to == "out" and bool(step.gone)
        self.propose(instance.name, step)
        own_order = instance.state.open_order(CONTROLLER, instance.name)
        if own_order and own_order.state != "waiting" and instance.name == self.true_leader:
            self.elect()  # a leader that is to go out hands its leadership over

    def tick(self, instance: Instance[Orders]) -> None:
        """Reports to the leader that a controller that is to go out is idle."""
        own_order, leader = instance.state.open_order(CONTROLLER, instance.name), self.true_leader
        process, clock = self._process(instance), instance.clock(self.now)
        process.calls = [end for end in process.calls if end > clock]
        idle = not process.calls and process.handover.stage(clock) == CLOSED
        if self.broken == "idle_too_early":
            idle = not process.calls
        if (
            own_order
            and own_order.state == "leaving"
            and not own_order.idle
            and idle
            and self.rng.random() < 0.3
            and leader
        ):
            report = ReportIdle(own_order.id, instance.name)
            self.send(instance.name, leader, lambda: self.propose(leader, report))

    def act(self, instance: Instance[Orders]) -> None:
        """Takes a new call unless its handover forbids it, and sends to a server for an open call."""
        process, clock = self._process(instance), instance.clock(self.now)
        stage = process.handover.stage(clock)
        if stage not in CLOSED_STAGES:
            process.served = True
            self.handover_calls += stage == HANDING_OVER
            if self.rng.random() < 0.5:
                process.calls.append(clock + self.rng.uniform(0.0, MAX_CALL_S))
        if stage == OUT or not process.calls:
            return
        in_service = [name for name in SERVERS if name not in instance.state.excluded(SERVER)]
        if not in_service:
            raise Violation(f"{self.now:.3f}: {instance.name} has no server to send to")
        server = self.rng.choice(in_service)
        self.acts += 1
        if (order := self.committed_state.open_order(SERVER, server)) and order.state == "out":
            act = f"{instance.name} sent to {server} on version {instance.state.version}"
            raise Violation(f"{self.now:.3f}: {act}, out since version {order.version}")
        if (order := self.committed_state.open_order(CONTROLLER, instance.name)) and order.state == "out":
            raise Violation(f"{self.now:.3f}: {instance.name} is out, and sent to {server}")

    def inject_own_fault(self) -> None:
        """A server fails, recovers, or is overloaded for a while."""
        server = self.rng.choice(SERVERS)
        if self.rng.random() < 0.5:
            self.overloaded ^= {server}
            return
        if server in self.failed:
            self.recovered_at[server] = self.now
        self.failed ^= {server}

    def start_load(self) -> None:
        self.call_at(0.2, self._run_operator)

    def _run_operator(self) -> None:
        self.call_at(self.now + self.rng.uniform(0.05, 0.8), self._run_operator)
        if not self.true_leader:
            return
        out = [order for order in self.committed_state.open if order.state == "out"]
        if out and self.rng.random() < 0.5:
            self.propose(self.true_leader, FinishOrder(self.rng.choice(out).id))
        elif self.committed_state.open and self.rng.random() < 0.1:
            self.propose(self.true_leader, CancelOrder(self.rng.choice(self.committed_state.open).id))
        elif self.rng.random() < 0.2:
            self.propose(self.true_leader, RequestMaintenance(CONTROLLER, self.rng.choice(self.names)))
        else:
            priority = self.rng.choice((0, 0, 1))
            self.propose(
                self.true_leader, RequestMaintenance(SERVER, self.rng.choice(SERVERS), priority=priority)
            )

    def statistics(self) -> dict[str, float]:
        return super().statistics() | {
            "acts": self.acts,
            "outs": self.taken_out,
            "backs": self.returned,
            "fenced": self.fenced,
            "handed_over": self.handover_calls,
            "most_out_at_once": self.max_out_at_once,
        }


def schedule(seed: int, broken: str = "") -> tuple[dict[str, float], str]:
    """Runs one seed; see `fleet_world.schedule`."""
    return fleet_world.schedule(MaintWorld, seed, broken)


def main() -> int:
    options = fleet_world.arguments(__doc__, BREAKS).parse_args()
    result = fleet_world.run_schedules(
        MaintWorld,
        options.first_seed,
        options.schedules,
        options.broken,
        options.processes,
        ("most_out_at_once",),
    )
    total, _, run_count, _ = result
    enough = total["outs"] > run_count and total["fenced"] > 0
    return fleet_world.print_report(
        "maint_model", options.first_seed, result, enough, max_out=SETTINGS.max_out
    )


if __name__ == "__main__":
    sys.exit(main())
