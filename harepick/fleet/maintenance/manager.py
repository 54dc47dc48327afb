"""The steward of one instance: while it leads it proposes the rule's moves; always, it does its own part.

Its own part: to tell once it has no calls left when it was asked out, and to hand leadership over first. All
that it proposes is guarded (`orders.py`), so that a steward that is behind changes nothing.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import anyio

from harepick.counters import Counters
from harepick.fleet.health import health
from harepick.fleet.maintenance.orders import CONTROLLER, AdvanceOrder, Order, Orders, ReportIdle
from harepick.fleet.maintenance.policy import FleetState, MaintenanceSettings, decide, why
from harepick.log import Log
from harepick.store.raft.core import BadChangeError, BusyError, NotLeaderError
from harepick.store.replica import Replica, StoreUnavailableError
from harepick.store.state_machine import Envelope, OrderChanged

POLL_INTERVAL_S = 0.1  # seconds between two looks, if nothing wakes it
MIN_PAUSE_S = 0.02  # between two looks in any case
COMMIT_TIMEOUT_S = 5.0  # for one move to be committed
HAND_OVER = 3.0  # for another to lead


@dataclass(frozen=True, slots=True)
class MaintenanceInputs:
    """What the front knows, at one moment."""

    plan: MaintenanceSettings
    revision: int
    servers: frozenset[str]  # ready in the configuration, by name
    failed: frozenset[str]  # under a verdict that says so, by name
    pressed: frozenset[str]  # under a verdict that they are overloaded
    idle: bool  # no calls under way here, and none taken any more


class MaintenanceManager:
    def __init__(
        self, replica: Replica, facts: Callable[[], MaintenanceInputs | None], counters: Counters, log: Log
    ) -> None:
        """`facts` gives None as long as there is no configuration."""
        self._replica, self._facts = replica, facts
        self._counters, self._log = counters, log
        self._me = replica.settings.replica

    @property
    def orders(self) -> Orders:
        return self._replica.node.state_machine.orders

    def fleet_state(self) -> FleetState | None:
        """What the rule may be evaluated on; None while this instance can't know it."""
        facts, leases = self._facts(), self._replica.leases()
        if facts is None or leases is None:
            return None
        live, waits = leases
        voters = self._replica.node.raft.membership.voters
        demands = self._replica.demands()
        seen = health(demands, live, facts.plan.failed_after, facts.failed, facts.pressed)
        return FleetState(
            name=self._me,
            now=time.time(),
            revision=facts.revision,
            servers=facts.servers,
            failed=seen.failed & facts.servers,
            pressed=seen.pressed & facts.servers,
            controllers=voters,
            live=live & frozenset(voters),
            waits=waits,
        )

    async def run(self) -> None:
        """Until cancelled."""
        while True:
            try:
                await self._own_part()
                await self._turn()
            except (NotLeaderError, BusyError, BadChangeError, StoreUnavailableError):
                self._counters.add("maint.not_proposed")  # another leads, or comes to: it looks for itself
            await anyio.sleep(MIN_PAUSE_S)
            await self._replica.wait_for_change(POLL_INTERVAL_S)

    async def _turn(self) -> None:
        sight, facts = self.fleet_state(), self._facts()
        if sight is None or facts is None:
            return
        step = decide(self.orders, facts.plan, sight)
        if step is None:
            return
        answer = await self._replica.change(Envelope("", 0, step), COMMIT_TIMEOUT_S)
        if not isinstance(answer, OrderChanged):
            self._counters.add("maint.moves_refused")
            self._log.event("maint_refused", why=str(answer))
            return
        self._counters.add("maint.moves")
        if isinstance(step, AdvanceOrder):
            order = self.orders.get(step.order)
            machine = order.key if order else ""
            self._log.event("maint_move", order=step.order, machine=machine, to=step.to, gone=step.gone)
        else:
            self._log.event("maint_seat", controller=step.instance, state=step.state)

    async def _own_part(self) -> None:
        order = self.orders.of(CONTROLLER, self._me)
        if order is None or order.state == "waiting":
            return
        facts = self._facts()
        if order.state == "leaving" and not order.idle and facts and facts.idle:
            self._replica.change_nowait(Envelope("", 0, ReportIdle(order.id, self._me)))
        if leases := self._replica.leases():  # it leads
            able = leases[0] & frozenset(self._replica.node.raft.membership.voters)  # a learner can't lead
            heirs = sorted(able - self.orders.excluded(CONTROLLER) - {self._me})
            if heirs:
                self._log.event("maint_hand_over", to=heirs[0], order=order.id)
                await self._replica.transfer(heirs[0], HAND_OVER)

    # What can be seen

    def told(self, order: Order, sight: FleetState | None) -> dict[str, Any]:
        """An order for a reader; `why` only where this instance leads and can tell."""
        facts = self._facts()
        held = why(order, self.orders, facts.plan, sight) if sight and facts else None
        return {
            "order": order.id,
            "machine": order.key,
            "state": order.state,
            "reason": order.reason,
            "by": order.by,
            "priority": order.priority,
            "opens": order.opens or None,
            "closes": None if order.closes == float("inf") else order.closes,
            "why": held,
            "gone": list(order.gone),
            "steps": [{"state": state, "at": at} for state, at in order.steps],
        }

    def status(self) -> dict[str, Any]:
        """The queue and who is out, as last applied here; `current` tells whether that may be old."""
        sight, orders = self.fleet_state(), self.orders
        seats = dict(orders.controller_states)
        for order in orders.open:
            if order.kind == CONTROLLER and order.state != "waiting":
                seats[order.machine] = "draining" if order.state == "leaving" else "out"
        return {
            "instance": self._me,
            "current": self._replica.may_act(),
            "leader": self._replica.node.raft.leader,
            "version": orders.version,
            "controllers": seats,
            "orders": [self.told(order, sight) for order in orders.open],
            "ended": [self.told(order, None) for order in orders.ended[-20:]],
        }


def with_draining(config: Any, barred: frozenset[str]) -> Any:
    """The configuration as it is acted on: servers that are leaving or out drain."""
    upstreams = tuple(replace(u, draining=True) if u.name in barred else u for u in config.upstreams)
    return replace(config, upstreams=upstreams)
