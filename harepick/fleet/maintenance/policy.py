"""The rule: which order goes on next, and why one waits. Pure: orders, plan and sight in, one move out.

`docs/design/maintenance.md` has the rule in words. Whoever leads evaluates it; what it says takes effect only
if the orders and the configuration are still those that it saw.
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
    """A class or district, never left without a server."""

    name: str
    servers: frozenset[str]


@dataclass(frozen=True, slots=True)
class MaintenanceSettings:
    """What the operators allow; capacities in whatever unit they count in, 1 for a server not named."""

    max_out: int = 1
    max_out_controllers: int = 1
    floor: float = 0.0
    handover: float = 1.0  # seconds for the callers of a controller that leaves to move (`handover.py`)
    failed_after: float = (
        2.0  # seconds for which a server is avoided before it has failed (`fleet/health.py`)
    )
    capacity: Mapping[str, float] = field(default_factory=dict)
    groups: tuple[Group, ...] = ()


@dataclass(frozen=True, slots=True)
class FleetState:
    """What the leader sees. `waits(index)`: who may still act on something older than that entry."""

    name: str  # its own
    now: float  # Unix time, for windows alone
    revision: int  # of the configuration that all of this is from
    servers: frozenset[str]  # those that the configuration has ready
    failed: frozenset[str]  # of these, the ones that have failed
    controllers: tuple[str, ...]  # voting members
    live: frozenset[str]  # members that may hold a lease
    waits: Callable[[int], list[str]]
    pressed: frozenset[str] = frozenset()  # of the servers, those that give nothing just now


@dataclass(frozen=True, slots=True)
class Hold:
    """Why an order waits. `shared`: for something that those behind it need as well."""

    why: str
    shared: bool = False


def queue(orders: Orders, kind: str) -> list[Order]:
    """What waits, in the order in which it is settled."""
    waiting = [order for order in orders.open if order.kind == kind and order.state == "waiting"]
    return sorted(waiting, key=lambda order: (-order.priority, order.id))


def hold(order: Order, orders: Orders, plan: MaintenanceSettings, sight: FleetState) -> Hold | None:
    """None: a waiting order may start now, as far as it alone is concerned."""
    if sight.now < order.opens:
        return Hold(f"its window opens in {order.opens - sight.now:.0f} s")
    if sight.now >= order.closes:
        return Hold("its window is over: cancel it, and ask again")
    barred = orders.excluded(order.kind)
    if order.kind == SERVER:
        return _hold_server(order.machine, barred, plan, sight)
    return _hold_controller(order.machine, barred, plan, sight)


def _hold_server(
    server: str, barred: frozenset[str], plan: MaintenanceSettings, sight: FleetState
) -> Hold | None:
    if server not in sight.servers:
        return Hold(f"{server} is not among the servers that the configuration has ready")
    if len(barred) >= plan.max_out:
        return Hold(f"{_named(barred)} out or leaving, and max_out is {plan.max_out}", shared=True)
    if server in sight.failed:
        return None  # it gives nothing now: the fleet bears its going
    serving = sight.servers - barred - sight.failed - sight.pressed - {server}
    absent = sight.failed | sight.pressed - {server}
    more = f" ({_named(absent)} failed or avoided)" if absent else ""
    for group in (Group("all servers", sight.servers), *plan.groups):
        if server in group.servers and not group.servers & serving:
            return Hold(f"it is the last server in service of {group.name}{more}")
    left = sum(plan.capacity.get(name, 1.0) for name in serving)
    if left < plan.floor:
        why = f"it would leave a capacity of {left:g}, and the floor is {plan.floor:g}{more}"
        return Hold(why, shared=True)
    return None


def _hold_controller(
    name: str, barred: frozenset[str], plan: MaintenanceSettings, sight: FleetState
) -> Hold | None:
    if name not in sight.controllers:
        return Hold(f"{name} is no member")
    if len(barred) >= plan.max_out_controllers:
        why = f"{_named(barred)} out or leaving, and max_out_controllers is {plan.max_out_controllers}"
        return Hold(why, shared=True)
    left = len(sight.live - barred - {name})
    majority = len(sight.controllers) // 2 + 1
    if left < majority:
        return Hold(f"it would leave {left} live controllers, and a majority is {majority}", shared=True)
    return None


def _named(names: frozenset[str]) -> str:
    return f"{', '.join(sorted(names))} {'is' if len(names) == 1 else 'are'}"


def why(order: Order, orders: Orders, plan: MaintenanceSettings, sight: FleetState) -> str:
    """Why an order is not further than it is; empty if nothing holds it."""
    if order.state == "waiting":
        if found := hold(order, orders, plan, sight):
            return found.why
        for ahead in queue(orders, order.kind):
            if ahead.id == order.id:
                return ""
            if (found := hold(ahead, orders, plan, sight)) and not found.shared:
                continue
            return f"order {ahead.id} ({ahead.machine}) goes first"
    if order.state == "leaving":
        return _unsettled(order, sight)
    return ""


def _unsettled(order: Order, sight: FleetState) -> str:
    """What a leaving order still waits for."""
    if waits := sight.waits(order.index):
        return f"not confirmed by {', '.join(sorted(waits))}"
    if order.kind == CONTROLLER:
        if order.machine == sight.name:
            return f"{order.machine} leads, and hands over first"
        if order.machine in sight.live and not order.idle:
            return f"{order.machine} has calls under way"
    return ""


def moves(orders: Orders, plan: MaintenanceSettings, sight: FleetState) -> Iterator[AdvanceOrder]:
    """What may be done now, best first; each decided on `orders` as they are, so that one may be taken."""
    for order in orders.open:
        if order.state == "leaving" and not _unsettled(order, sight):
            gone = tuple(name for name in sight.controllers if name not in sight.live)
            yield _move(order, "out", orders, sight, gone)
    for kind in (SERVER, CONTROLLER):
        for order in queue(orders, kind):
            found = hold(order, orders, plan, sight)
            if found is None:
                yield _move(order, "leaving", orders, sight)
                break
            if found.shared:
                break


def _move(
    order: Order, to: str, orders: Orders, sight: FleetState, gone: tuple[str, ...] = ()
) -> AdvanceOrder:
    return AdvanceOrder(order.id, to, orders.version, sight.revision, sight.name, sight.now, gone)


def seats(orders: Orders, sight: FleetState) -> Iterator[SetControllerState]:
    """Changes of the list of controllers that are due."""
    for name in sight.controllers:
        known = orders.controller_states.get(name)
        absent = "joining" if known in (None, "joining") else "gone"
        wanted = "serving" if name in sight.live else absent
        if wanted != known:
            yield SetControllerState(name, wanted, orders.version, sight.now)
    for name in orders.controller_states:
        if name not in sight.controllers:
            yield SetControllerState(name, "", orders.version, sight.now)


def decide(
    orders: Orders, plan: MaintenanceSettings, sight: FleetState
) -> AdvanceOrder | SetControllerState | None:
    """The one thing to propose now; None: nothing is due."""
    return next(seats(orders, sight), None) or next(moves(orders, plan, sight), None)
