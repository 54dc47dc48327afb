"""The maintenance policy: which order advances next, and why an order waits. Pure.

From the orders, the settings and the state of the fleet it derives one command. The leader evaluates it; the
command takes effect only if the orders and the configuration have not changed since. An order is waiting,
then leaving, then out, until it ends. The policy is described in `docs/design/maintenance.md`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from harepick.fleet.maintenance.orders import (
    CONTROLLER,
    SERVER,
    AdvanceOrder,
    Order,
    Orders,
    SetControllerState,
)


@dataclass(frozen=True, slots=True)
class Group:
    """A group of servers, such as a class or district, of which one always remains in service."""

    name: str
    servers: frozenset[str]


@dataclass(frozen=True, slots=True)
class MaintenanceSettings:
    """`[maintenance]`. Capacities are in any one unit; a server without a configured capacity counts as 1."""

    max_out: int = 1  # servers leaving or out at once
    max_out_controllers: int = 1  # controllers leaving or out at once
    floor: float = 0.0  # capacity that remains in service
    handover: float = 1.0  # seconds for the callers of a leaving controller to move (`handover.py`)
    failed_after: float = 2.0  # seconds for which a server is avoided until it counts as failed (`health.py`)
    capacity: Mapping[str, float] = field(default_factory=dict)
    groups: tuple[Group, ...] = ()


@dataclass(frozen=True, slots=True)
class MaintenanceFleetState:
    """The leader's view of the fleet.

    `unconfirmed_by(index)`: instances that may still act on a state older than that log entry.
    """

    name: str  # the leader
    now: float  # Unix time, used only for maintenance windows
    revision: int  # of the configuration
    servers: frozenset[str]  # configured and not draining
    failed: frozenset[str]  # of `servers`
    controllers: tuple[str, ...]  # voting members
    live: frozenset[str]  # members that may hold a lease
    unconfirmed_by: Callable[[int], list[str]]
    avoided: frozenset[str] = frozenset()  # of `servers`, not failed


@dataclass(frozen=True, slots=True)
class HoldReason:
    """Why an order waits. `affects_others`: those behind it must wait too, instead of overtaking it."""

    why: str
    affects_others: bool = False


def queue(orders: Orders, kind: str) -> list[Order]:
    """Waiting orders by priority, then by request."""
    waiting = [order for order in orders.open if order.kind == kind and order.state == "waiting"]
    return sorted(waiting, key=lambda order: (-order.priority, order.id))


def hold_reason(
    order: Order, orders: Orders, settings: MaintenanceSettings, fleet_state: MaintenanceFleetState
) -> HoldReason | None:
    """Why a waiting order may not start, regardless of those ahead of it; None if it may."""
    if fleet_state.now < order.opens:
        return HoldReason(f"its window opens in {order.opens - fleet_state.now:.0f} s")
    if fleet_state.now >= order.closes:
        return HoldReason("its window is over: cancel it, and ask again")
    excluded = orders.excluded(order.kind)
    if order.kind == SERVER:
        return _server_hold_reason(order.machine, excluded, settings, fleet_state)
    return _controller_hold_reason(order.machine, excluded, settings, fleet_state)


def _server_hold_reason(
    server: str, excluded: frozenset[str], settings: MaintenanceSettings, fleet_state: MaintenanceFleetState
) -> HoldReason | None:
    if server not in fleet_state.servers:
        return HoldReason(f"{server} is not in the configuration, or is draining")
    if len(excluded) >= settings.max_out:
        return HoldReason(
            f"{_names_with_verb(excluded)} out or leaving, and max_out is {settings.max_out}",
            affects_others=True,
        )
    if server in fleet_state.failed:
        return None  # it provides no capacity, so taking it out loses none
    serving = fleet_state.servers - excluded - fleet_state.failed - fleet_state.avoided - {server}
    not_serving = fleet_state.failed | fleet_state.avoided - {server}
    absent_note = f" ({_names_with_verb(not_serving)} failed or avoided)" if not_serving else ""
    for group in (Group("all servers", fleet_state.servers), *settings.groups):
        if server in group.servers and not group.servers & serving:
            return HoldReason(f"it is the last server in service of {group.name}{absent_note}")
    remaining_capacity = sum(settings.capacity.get(name, 1.0) for name in serving)
    if remaining_capacity < settings.floor:
        why = (
            f"it would leave a capacity of {remaining_capacity:g}, "
            f"and the floor is {settings.floor:g}{absent_note}"
        )
        return HoldReason(why, affects_others=True)
    return None


def _controller_hold_reason(
    name: str, excluded: frozenset[str], settings: MaintenanceSettings, fleet_state: MaintenanceFleetState
) -> HoldReason | None:
    if name not in fleet_state.controllers:
        return HoldReason(f"{name} is no member")
    if len(excluded) >= settings.max_out_controllers:
        why = (
            f"{_names_with_verb(excluded)} out or leaving, "
            f"and max_out_controllers is {settings.max_out_controllers}"
        )
        return HoldReason(why, affects_others=True)
    remaining_live = len(fleet_state.live - excluded - {name})
    majority = len(fleet_state.controllers) // 2 + 1
    if remaining_live < majority:
        return HoldReason(
            f"it would leave {remaining_live} live controllers, and a majority is {majority}",
            affects_others=True,
        )
    return None


def _names_with_verb(names: frozenset[str]) -> str:
    """The sorted names followed by "is" or "are"."""
    return f"{', '.join(sorted(names))} {'is' if len(names) == 1 else 'are'}"


def waiting_reason(
    order: Order, orders: Orders, settings: MaintenanceSettings, fleet_state: MaintenanceFleetState
) -> str:
    """Why an order does not advance; empty if nothing holds it back."""
    if order.state == "waiting":
        if reason := hold_reason(order, orders, settings, fleet_state):
            return reason.why
        for ahead in queue(orders, order.kind):
            if ahead.id == order.id:
                return ""
            if (reason := hold_reason(ahead, orders, settings, fleet_state)) and not reason.affects_others:
                continue
            return f"order {ahead.id} ({ahead.machine}) goes first"
    if order.state == "leaving":
        return _leaving_hold_reason(order, fleet_state)
    return ""


def _leaving_hold_reason(order: Order, fleet_state: MaintenanceFleetState) -> str:
    """What a leaving order still waits for; empty if nothing."""
    if unconfirmed_by := fleet_state.unconfirmed_by(order.index):
        return f"not confirmed by {', '.join(sorted(unconfirmed_by))}"
    if order.kind == CONTROLLER:
        if order.machine == fleet_state.name:
            return f"{order.machine} leads, and hands over first"
        if order.machine in fleet_state.live and not order.idle:
            return f"{order.machine} has calls under way"
    return ""


def due_advances(
    orders: Orders, settings: MaintenanceSettings, fleet_state: MaintenanceFleetState
) -> Iterator[AdvanceOrder]:
    """Possible advances, in order of preference; only one may be proposed, as each assumes `orders`."""
    for order in orders.open:
        if order.state == "leaving" and not _leaving_hold_reason(order, fleet_state):
            without_lease = tuple(name for name in fleet_state.controllers if name not in fleet_state.live)
            yield _advance(order, "out", orders, fleet_state, without_lease)
    for kind in (SERVER, CONTROLLER):
        for order in queue(orders, kind):
            reason = hold_reason(order, orders, settings, fleet_state)
            if reason is None:
                yield _advance(order, "leaving", orders, fleet_state)
                break
            if reason.affects_others:
                break


def _advance(
    order: Order,
    to: str,
    orders: Orders,
    fleet_state: MaintenanceFleetState,
    without_lease: tuple[str, ...] = (),
) -> AdvanceOrder:
    return AdvanceOrder(
        order.id, to, orders.version, fleet_state.revision, fleet_state.name, fleet_state.now, without_lease
    )


def controller_state_changes(
    orders: Orders, fleet_state: MaintenanceFleetState
) -> Iterator[SetControllerState]:
    """Due changes of the states of controllers, from the leases and the membership."""
    for name in fleet_state.controllers:
        current = orders.controller_states.get(name)
        state_without_lease = "joining" if current in (None, "joining") else "gone"
        wanted = "serving" if name in fleet_state.live else state_without_lease
        if wanted != current:
            yield SetControllerState(name, wanted, orders.version, fleet_state.now)
    for name in orders.controller_states:
        if name not in fleet_state.controllers:
            yield SetControllerState(name, "", orders.version, fleet_state.now)


def decide(
    orders: Orders, settings: MaintenanceSettings, fleet_state: MaintenanceFleetState
) -> AdvanceOrder | SetControllerState | None:
    """The command to propose now; None if nothing is due."""
    return next(controller_state_changes(orders, fleet_state), None) or next(
        due_advances(orders, settings, fleet_state), None
    )
