"""The maintenance manager of one instance.

While this instance leads, it proposes the commands of the policy. On every instance it follows the order on
its own controller: it hands leadership over and reports when it has no calls left. The policy's commands
carry the version of the orders that they were decided on, and are refused if that has changed (`orders.py`).
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import anyio

from harepick.counters import Counters
from harepick.fleet.health import fleet_health
from harepick.fleet.maintenance.orders import CONTROLLER, AdvanceOrder, Order, Orders, ReportIdle
from harepick.fleet.maintenance.policy import (
    MaintenanceFleetState,
    MaintenanceSettings,
    decide,
    waiting_reason,
)
from harepick.log import Log
from harepick.store.raft.core import BadChangeError, BusyError, NotLeaderError
from harepick.store.replica import Replica, StoreUnavailableError
from harepick.store.state_machine import Envelope, OrderChanged

POLL_INTERVAL_S = 0.1  # between two evaluations, unless the store changes
MIN_PAUSE_S = 0.02  # between two evaluations in any case
COMMIT_TIMEOUT_S = 5.0  # for one command to be committed
LEADERSHIP_TRANSFER_TIMEOUT_S = 3.0  # for another instance to take over leadership


@dataclass(frozen=True, slots=True)
class MaintenanceInputs:
    """Configuration and local state that the manager evaluates, at one moment."""

    settings: MaintenanceSettings
    revision: int
    servers: frozenset[str]  # configured and not draining, by name
    failed: frozenset[str]  # by name, under a verdict `failed`
    overloaded: frozenset[str]  # by name, under a verdict `overloaded`
    idle: bool  # this instance has no calls and accepts none


class MaintenanceManager:
    """Evaluates the maintenance policy periodically and proposes its commands."""

    def __init__(
        self, replica: Replica, inputs: Callable[[], MaintenanceInputs | None], counters: Counters, log: Log
    ) -> None:
        """`inputs` returns None while there is no configuration."""
        self._replica, self._inputs = replica, inputs
        self._counters, self._log = counters, log
        self._name = replica.settings.replica

    @property
    def orders(self) -> Orders:
        """The orders as last applied here."""
        return self._replica.node.state_machine.orders

    def fleet_state(self) -> MaintenanceFleetState | None:
        """Input of the policy; None while this instance does not lead, or has no configuration."""
        inputs, leases = self._inputs(), self._replica.leases()
        if inputs is None or leases is None:
            return None
        live, unconfirmed_by = leases
        voters = self._replica.node.raft.membership.voters
        demands = self._replica.demands()
        server_health = fleet_health(
            demands, live, inputs.settings.failed_after, inputs.failed, inputs.overloaded
        )
        return MaintenanceFleetState(
            name=self._name,
            now=time.time(),
            revision=inputs.revision,
            servers=inputs.servers,
            failed=server_health.failed & inputs.servers,
            avoided=server_health.avoided & inputs.servers,
            controllers=voters,
            live=live & frozenset(voters),
            unconfirmed_by=unconfirmed_by,
        )

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            try:
                await self._advance_own_order()
                await self._evaluate()
            except (NotLeaderError, BusyError, BadChangeError, StoreUnavailableError):
                self._counters.add("maint.not_proposed")  # another instance leads, or is about to
            await anyio.sleep(MIN_PAUSE_S)
            await self._replica.wait_for_change(POLL_INTERVAL_S)

    async def _evaluate(self) -> None:
        fleet_state, inputs = self.fleet_state(), self._inputs()
        if fleet_state is None or inputs is None:
            return
        step = decide(self.orders, inputs.settings, fleet_state)
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

    async def _advance_own_order(self) -> None:
        order = self.orders.open_order(CONTROLLER, self._name)
        if order is None or order.state == "waiting":
            return
        inputs = self._inputs()
        if order.state == "leaving" and not order.idle and inputs and inputs.idle:
            self._replica.change_nowait(Envelope("", 0, ReportIdle(order.id, self._name)))
        if leases := self._replica.leases():  # this instance leads
            # A learner cannot lead.
            eligible = leases[0] & frozenset(self._replica.node.raft.membership.voters)
            successors = sorted(eligible - self.orders.excluded(CONTROLLER) - {self._name})
            if successors:
                self._log.event("maint_hand_over", to=successors[0], order=order.id)
                await self._replica.transfer(successors[0], LEADERSHIP_TRANSFER_TIMEOUT_S)

    # Status

    def describe(self, order: Order, fleet_state: MaintenanceFleetState | None) -> dict[str, Any]:
        """An order as shown to operators; `why` is None unless this instance leads."""
        inputs = self._inputs()
        waiting_for = (
            waiting_reason(order, self.orders, inputs.settings, fleet_state)
            if fleet_state and inputs
            else None
        )
        return {
            "order": order.id,
            "machine": order.key,
            "state": order.state,
            "reason": order.reason,
            "by": order.by,
            "priority": order.priority,
            "opens": order.opens or None,
            "closes": None if order.closes == float("inf") else order.closes,
            "why": waiting_for,
            "gone": list(order.gone),
            "steps": [{"state": state, "at": at} for state, at in order.steps],
        }

    def status(self) -> dict[str, Any]:
        """Orders and controllers as last applied here; `current` is false if they may be out of date."""
        fleet_state, orders = self.fleet_state(), self.orders
        controller_states = dict(orders.controller_states)
        for order in orders.open:
            if order.kind == CONTROLLER and order.state != "waiting":
                controller_states[order.machine] = "draining" if order.state == "leaving" else "out"
        return {
            "instance": self._name,
            "current": self._replica.may_act(),
            "leader": self._replica.node.raft.leader,
            "version": orders.version,
            "controllers": controller_states,
            "orders": [self.describe(order, fleet_state) for order in orders.open],
            "ended": [self.describe(order, None) for order in orders.ended[-20:]],
        }


def with_draining(config: Any, excluded: frozenset[str]) -> Any:
    """The configuration with the excluded servers marked as draining."""
    upstreams = tuple(
        replace(upstream, draining=True) if upstream.name in excluded else upstream
        for upstream in config.upstreams
    )
    return replace(config, upstreams=upstreams)
