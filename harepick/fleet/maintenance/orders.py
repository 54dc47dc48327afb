"""The orders: which machines are asked out, leaving and out, and who is a controller. Replicated, pure.

Every replica applies the same commands in the same order and comes to the same orders. Nothing here depends
on a clock, on settings or on who applies it: what a rule has to decide (`policy.py`) comes as an
`AdvanceOrder`, guarded by the version of the orders that the rule saw.
"""

from __future__ import annotations

from msgspec import Struct, field

SERVER, CONTROLLER = "server", "controller"
OPEN = ("waiting", "leaving", "out")
NEXT = {"waiting": "leaving", "leaving": "out"}  # by a move; `FinishOrder` and `CancelOrder` end an order
SEATS = ("joining", "serving", "gone")
MAX_OPEN = 256  # orders that are not ended
MAX_ENDED = 256  # ended ones that are kept to be looked up
MAX_TEXT = 500  # characters of a reason


class RequestMaintenance(Struct, frozen=True, tag="ask_out"):
    """An operator wants a machine out for work, between two Unix times."""

    kind: str  # `SERVER` or `CONTROLLER`
    machine: str
    reason: str = ""
    by: str = ""
    priority: int = 0
    opens: float = 0.0
    closes: float = float("inf")
    at: float = 0.0


class CancelOrder(Struct, frozen=True, tag="withdraw"):
    """The request is not wanted any more; a machine that is leaving or out comes back."""

    order: int
    by: str = ""
    at: float = 0.0


class FinishOrder(Struct, frozen=True, tag="finish"):
    """The work is done: the machine comes back."""

    order: int
    by: str = ""
    at: float = 0.0


class ReportIdle(Struct, frozen=True, tag="idle"):
    """A controller that leaves has no calls left."""

    order: int
    instance: str


class AdvanceOrder(Struct, frozen=True, tag="move"):
    """An order goes on to its next state, decided on the orders of `expect` and the configuration of
    `revision`."""

    order: int
    to: str
    expect: int
    revision: int
    by: str
    at: float = 0.0
    gone: tuple[str, ...] = ()  # controllers whose lease had run out instead of their confirming


class SetControllerState(Struct, frozen=True, tag="seat"):
    """What a controller is, seen by whoever led; an empty state takes it off the list."""

    instance: str
    state: str
    expect: int
    at: float = 0.0


OrderCommand = RequestMaintenance | CancelOrder | FinishOrder | ReportIdle | AdvanceOrder | SetControllerState


class Order(Struct, frozen=True):
    """One request, as it stands."""

    id: int
    kind: str
    machine: str
    reason: str
    by: str
    priority: int
    opens: float
    closes: float
    state: str
    version: int  # of the orders, when it came to this state
    index: int  # of that entry in the log
    idle: bool = False
    gone: tuple[str, ...] = ()
    steps: tuple[tuple[str, float], ...] = ()  # states it came to, and the proposer's Unix time

    @property
    def key(self) -> str:
        return f"{self.kind}:{self.machine}"


class OrdersState(Struct):
    """All that a snapshot holds."""

    version: int = 0
    last: int = 0  # id given out last
    open: list[Order] = field(default_factory=list)
    ended: list[Order] = field(default_factory=list)
    seats: dict[str, str] = field(default_factory=dict)


class RefusedOrderError(ValueError):
    """A command that changes nothing; the text says why."""


class Orders:
    """Owns the orders; `apply` is the one way to change them."""

    def __init__(self, state: OrdersState | None = None) -> None:
        state = state or OrdersState()
        self.version, self._last = state.version, state.last
        self._open = {order.id: order for order in state.open}
        self._ended = list(state.ended)
        self.controller_states = dict(state.seats)

    def dump(self) -> OrdersState:
        return OrdersState(
            self.version,
            self._last,
            list(self._open.values()),
            list(self._ended),
            dict(self.controller_states),
        )

    @property
    def open(self) -> list[Order]:
        """Waiting, leaving and out, in order of arrival."""
        return list(self._open.values())

    @property
    def ended(self) -> list[Order]:
        """The latest last."""
        return list(self._ended)

    def get(self, number: int) -> Order | None:
        known = self._open.get(number)
        return known or next((order for order in self._ended if order.id == number), None)

    def excluded(self, kind: str) -> frozenset[str]:
        """Machines that nothing fresh may go to."""
        return frozenset(o.machine for o in self._open.values() if o.kind == kind and o.state != "waiting")

    def given_up(self) -> frozenset[str]:
        """Controllers that take no calls any more: out, or leaving with none under way."""
        return frozenset(
            o.machine for o in self._open.values() if o.kind == CONTROLLER and (o.state == "out" or o.idle)
        )

    def of(self, kind: str, machine: str) -> Order | None:
        """The open order of a machine."""
        return next((o for o in self._open.values() if (o.kind, o.machine) == (kind, machine)), None)

    def apply(self, index: int, command: OrderCommand) -> Order | None:
        """The order that it was about (None for a seat). Raises `RefusedOrderError`, changing nothing."""
        match command:
            case RequestMaintenance():
                return self._ask(index, command)
            case AdvanceOrder():
                return self._move(index, command)
            case SetControllerState(instance, state, expect):
                self._guard(expect)
                if state and state not in SEATS:
                    raise RefusedOrderError(f"a controller is never {state!r}")
                if state:
                    self.controller_states[instance] = state
                else:
                    self.controller_states.pop(instance, None)
                self.version += 1
                return None
            case ReportIdle(order, instance):
                known = self._known(order)
                if (known.kind, known.machine) != (CONTROLLER, instance) or known.state != "leaving":
                    raise RefusedOrderError(f"order {order} does not wait for {instance} to be idle")
                return self._put(known, index, known.state, 0.0, idle=True)
            case FinishOrder(order, _, at):
                known = self._known(order)
                if known.state != "out":
                    raise RefusedOrderError(f"order {order} is {known.state}: only what is out comes back")
                return self._end(known, index, "back", at)
            case CancelOrder(order, _, at):
                return self._end(self._known(order), index, "cancelled", at)

    def _ask(self, index: int, ask: RequestMaintenance) -> Order:
        if ask.kind not in (SERVER, CONTROLLER):
            raise RefusedOrderError(f"no kind of machine: {ask.kind!r}")
        if known := self.of(ask.kind, ask.machine):
            raise RefusedOrderError(f"order {known.id} has {ask.machine} already, and is {known.state}")
        if len(self._open) >= MAX_OPEN:
            raise RefusedOrderError(f"{MAX_OPEN} orders are open: end some first")
        if not ask.opens < ask.closes:
            raise RefusedOrderError("the window closes before it opens")
        self._last += 1
        self.version += 1
        order = Order(
            id=self._last,
            kind=ask.kind,
            machine=ask.machine,
            reason=ask.reason[:MAX_TEXT],
            by=ask.by[:MAX_TEXT],
            priority=ask.priority,
            opens=ask.opens,
            closes=ask.closes,
            state="waiting",
            version=self.version,
            index=index,
            steps=(("waiting", ask.at),),
        )
        self._open[order.id] = order
        return order

    def _move(self, index: int, move: AdvanceOrder) -> Order:
        self._guard(move.expect)
        known = self._known(move.order)
        if NEXT.get(known.state) != move.to:
            raise RefusedOrderError(f"order {move.order} is {known.state}: it does not become {move.to}")
        return self._put(known, index, move.to, move.at, gone=move.gone)

    def _guard(self, expect: int) -> None:
        if expect != self.version:
            raise RefusedOrderError(f"decided on version {expect} of the orders, and they are {self.version}")

    def _known(self, number: int) -> Order:
        known = self._open.get(number)
        if known is None:
            raise RefusedOrderError(f"no open order {number}")
        return known

    def _put(
        self,
        known: Order,
        index: int,
        state: str,
        at: float,
        *,
        idle: bool = False,
        gone: tuple[str, ...] = (),
    ) -> Order:
        self.version += 1
        changed = state != known.state
        order = Order(
            id=known.id,
            kind=known.kind,
            machine=known.machine,
            reason=known.reason,
            by=known.by,
            priority=known.priority,
            opens=known.opens,
            closes=known.closes,
            state=state,
            version=self.version if changed else known.version,
            index=index if changed else known.index,
            idle=idle or known.idle,
            gone=gone or known.gone,
            steps=(*known.steps, (state, at)) if changed else known.steps,
        )
        self._open[order.id] = order
        return order

    def _end(self, known: Order, index: int, state: str, at: float) -> Order:
        order = self._put(known, index, state, at)
        del self._open[order.id]
        self._ended = [*self._ended, order][-MAX_ENDED:]
        return order
