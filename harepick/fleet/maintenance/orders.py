"""Maintenance orders of servers and controllers, and the states of controllers. Replicated, pure.

Every replica applies the same commands in the same sequence and gets the same orders. Nothing here depends on
a clock, on settings or on who applies it: decisions of the policy (`policy.py`) come as an `AdvanceOrder`,
which is refused unless the orders still have the version that the policy saw.
"""

from __future__ import annotations

from msgspec import Struct, field

SERVER, CONTROLLER = "server", "controller"
OPEN_STATES = ("waiting", "leaving", "out")
# Transitions by an `AdvanceOrder`; `FinishOrder` and `CancelOrder` end an order.
NEXT_STATE = {
    "waiting": "leaving",
    "leaving": "out",
}
CONTROLLER_STATES = ("joining", "serving", "gone")
MAX_OPEN_ORDERS = 256  # open orders at once
MAX_ENDED_ORDERS = 256  # ended orders kept for operators to look up
MAX_TEXT_LENGTH = 500  # characters of a reason or an operator's name


class RequestMaintenance(Struct, frozen=True, tag="ask_out"):
    """Requests maintenance of a machine, which may start between the Unix times `opens` and `closes`."""

    kind: str  # `SERVER` or `CONTROLLER`
    machine: str
    reason: str = ""
    by: str = ""
    priority: int = 0
    opens: float = 0.0
    closes: float = float("inf")
    at: float = 0.0


class CancelOrder(Struct, frozen=True, tag="withdraw"):
    """Withdraws an order; a machine that is leaving or out returns to service."""

    order: int
    by: str = ""
    at: float = 0.0


class FinishOrder(Struct, frozen=True, tag="finish"):
    """Ends an order after the work: the machine returns to service."""

    order: int
    by: str = ""
    at: float = 0.0


class ReportIdle(Struct, frozen=True, tag="idle"):
    """Reports that a leaving controller has no calls left."""

    order: int
    instance: str


class AdvanceOrder(Struct, frozen=True, tag="move"):
    """Advances an order to its next state.

    Refused unless `expect` is the version of the orders and `revision` that of the configuration.
    """

    order: int
    to: str
    expect: int
    revision: int
    by: str
    at: float = 0.0
    gone: tuple[str, ...] = ()  # controllers that did not confirm, and whose lease had expired


class SetControllerState(Struct, frozen=True, tag="seat"):
    """Sets a controller's state as the leader sees it; an empty state removes it from the list."""

    instance: str
    state: str
    expect: int
    at: float = 0.0


OrderCommand = RequestMaintenance | CancelOrder | FinishOrder | ReportIdle | AdvanceOrder | SetControllerState


class Order(Struct, frozen=True):
    """One maintenance order with its current state."""

    id: int
    kind: str
    machine: str
    reason: str
    by: str
    priority: int
    opens: float
    closes: float
    state: str
    version: int  # of the orders, when this state was entered
    index: int  # log index of that entry
    idle: bool = False
    gone: tuple[str, ...] = ()
    steps: tuple[tuple[str, float], ...] = ()  # states entered, each with the proposer's Unix time

    @property
    def key(self) -> str:
        """`KIND:MACHINE`, as operators write it."""
        return f"{self.kind}:{self.machine}"


class OrdersState(Struct):
    """The orders as written to a snapshot."""

    version: int = 0
    last: int = 0  # id given out last
    open: list[Order] = field(default_factory=list)
    ended: list[Order] = field(default_factory=list)
    seats: dict[str, str] = field(default_factory=dict)


class RefusedOrderError(ValueError):
    """A command was refused and changed nothing; the text is the reason."""


class Orders:
    """Open and ended orders and the states of controllers; only `apply` changes them."""

    def __init__(self, state: OrdersState | None = None) -> None:
        state = state or OrdersState()
        self.version, self._last_id = state.version, state.last
        self._open = {order.id: order for order in state.open}
        self._ended = list(state.ended)
        self.controller_states = dict(state.seats)

    def dump(self) -> OrdersState:
        """The state for a snapshot."""
        return OrdersState(
            self.version,
            self._last_id,
            list(self._open.values()),
            list(self._ended),
            dict(self.controller_states),
        )

    @property
    def open(self) -> list[Order]:
        """Orders that wait, leave or are out, in the sequence of their requests."""
        return list(self._open.values())

    @property
    def ended(self) -> list[Order]:
        """Ended orders, the most recent last."""
        return list(self._ended)

    def get(self, order_id: int) -> Order | None:
        """The open or ended order with that id, or None."""
        current = self._open.get(order_id)
        return current or next((order for order in self._ended if order.id == order_id), None)

    def excluded(self, kind: str) -> frozenset[str]:
        """Machines of that kind that get no new calls: leaving or out."""
        return frozenset(
            order.machine for order in self._open.values() if order.kind == kind and order.state != "waiting"
        )

    def inactive_controllers(self) -> frozenset[str]:
        """Controllers that take no calls any more: out, or leaving and idle."""
        return frozenset(
            order.machine
            for order in self._open.values()
            if order.kind == CONTROLLER and (order.state == "out" or order.idle)
        )

    def open_order(self, kind: str, machine: str) -> Order | None:
        """The open order of a machine."""
        return next(
            (order for order in self._open.values() if (order.kind, order.machine) == (kind, machine)), None
        )

    def apply(self, index: int, command: OrderCommand) -> Order | None:
        """Applies the command of log entry `index`; returns the changed order, None for a controller's state.

        Raises `RefusedOrderError`, changing nothing.
        """
        match command:
            case RequestMaintenance():
                return self._request(index, command)
            case AdvanceOrder():
                return self._advance(index, command)
            case SetControllerState(instance, state, expect):
                self._check_version(expect)
                if state and state not in CONTROLLER_STATES:
                    raise RefusedOrderError(f"a controller is never {state!r}")
                if state:
                    self.controller_states[instance] = state
                else:
                    self.controller_states.pop(instance, None)
                self.version += 1
                return None
            case ReportIdle(order_id, instance):
                current = self._open_order(order_id)
                if (current.kind, current.machine) != (CONTROLLER, instance) or current.state != "leaving":
                    raise RefusedOrderError(f"order {order_id} does not wait for {instance} to be idle")
                return self._replace(current, index, current.state, 0.0, idle=True)
            case FinishOrder(order_id, _, at):
                current = self._open_order(order_id)
                if current.state != "out":
                    raise RefusedOrderError(
                        f"order {order_id} is {current.state}: only what is out comes back"
                    )
                return self._end(current, index, "back", at)
            case CancelOrder(order_id, _, at):
                return self._end(self._open_order(order_id), index, "cancelled", at)

    def _request(self, index: int, request: RequestMaintenance) -> Order:
        if request.kind not in (SERVER, CONTROLLER):
            raise RefusedOrderError(f"no kind of machine: {request.kind!r}")
        if current := self.open_order(request.kind, request.machine):
            raise RefusedOrderError(
                f"order {current.id} has {request.machine} already, and is {current.state}"
            )
        if len(self._open) >= MAX_OPEN_ORDERS:
            raise RefusedOrderError(f"{MAX_OPEN_ORDERS} orders are open: end some first")
        if not request.opens < request.closes:
            raise RefusedOrderError("the window closes before it opens")
        self._last_id += 1
        self.version += 1
        order = Order(
            id=self._last_id,
            kind=request.kind,
            machine=request.machine,
            reason=request.reason[:MAX_TEXT_LENGTH],
            by=request.by[:MAX_TEXT_LENGTH],
            priority=request.priority,
            opens=request.opens,
            closes=request.closes,
            state="waiting",
            version=self.version,
            index=index,
            steps=(("waiting", request.at),),
        )
        self._open[order.id] = order
        return order

    def _advance(self, index: int, command: AdvanceOrder) -> Order:
        self._check_version(command.expect)
        current = self._open_order(command.order)
        if NEXT_STATE.get(current.state) != command.to:
            raise RefusedOrderError(
                f"order {command.order} is {current.state}: it does not become {command.to}"
            )
        return self._replace(current, index, command.to, command.at, gone=command.gone)

    def _check_version(self, expect: int) -> None:
        if expect != self.version:
            raise RefusedOrderError(f"decided on version {expect} of the orders, and they are {self.version}")

    def _open_order(self, order_id: int) -> Order:
        current = self._open.get(order_id)
        if current is None:
            raise RefusedOrderError(f"no open order {order_id}")
        return current

    def _replace(
        self,
        current: Order,
        index: int,
        state: str,
        at: float,
        *,
        idle: bool = False,
        gone: tuple[str, ...] = (),
    ) -> Order:
        self.version += 1
        changed = state != current.state
        order = Order(
            id=current.id,
            kind=current.kind,
            machine=current.machine,
            reason=current.reason,
            by=current.by,
            priority=current.priority,
            opens=current.opens,
            closes=current.closes,
            state=state,
            version=self.version if changed else current.version,
            index=index if changed else current.index,
            idle=idle or current.idle,
            gone=gone or current.gone,
            steps=(*current.steps, (state, at)) if changed else current.steps,
        )
        self._open[order.id] = order
        return order

    def _end(self, current: Order, index: int, state: str, at: float) -> Order:
        order = self._replace(current, index, state, at)
        del self._open[order.id]
        self._ended = [*self._ended, order][-MAX_ENDED_ORDERS:]
        return order
