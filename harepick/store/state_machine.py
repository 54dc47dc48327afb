"""The replicated state: configuration as numbered revisions, clients' sessions, and the pool view. Pure.

Every replica applies the same entries in the same order and comes to the same state; nothing here may depend
on a clock, on chance or on who applies it. Times in it were written by whoever proposed, and decide nothing.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec
from msgspec import Struct

from harepick.fleet.limits import (
    IssueVerdict,
    LiftVerdict,
    LimitCommand,
    RefusedSplitError,
    ReleaseOwed,
    Shares,
    SharesState,
    Split,
    VerdictCommand,
    Verdicts,
    VerdictsState,
)
from harepick.fleet.maintenance import AdvanceOrder, OrderCommand, Orders, OrdersState, RefusedOrderError
from harepick.fleet.membership import AbsenceList, AbsenceListState, RefusedMemberStateError, SetMemberState
from harepick.gapping import SlotAllocator, SlotRequest

FORMAT_VERSION = 1  # of entries and snapshots; first byte of each
MAX_SESSIONS = 4_096  # the one that was silent for longest is forgotten
MAX_REVISIONS = 500
MAX_HISTORY_BYTES = 8 * 1024 * 1024  # bytes of all revisions' texts
MAX_TEXT_CHARS = 256 * 1024  # bytes of one configuration
MAX_VIEW_ROWS = 256  # rows of one instance's view
MAX_VIEWS = 64  # instances whose view is kept


class FormatError(Exception):
    """An entry or snapshot that this version does not know: acting on would be guessing."""


# Commands


class Put(Struct, frozen=True, tag="put"):
    """A whole new configuration, if `expect` (a revision's number, or None) is still the latest."""

    text: str
    expect: int | None = None
    author: str = ""
    note: str = ""
    at: float = 0.0


class RollBack(Struct, frozen=True, tag="rollback"):
    """The text of an earlier revision, as a new one."""

    to: int
    expect: int | None = None
    author: str = ""
    note: str = ""
    at: float = 0.0


class PoolViewRow(Struct, frozen=True, array_like=True):
    """What an instance knew of one server."""

    server: str
    number: int
    state: str  # ready, draining or gone
    size: float = 1.0
    started: float = 0.0
    zone: str = ""
    address: str = ""


class PoolView(Struct, frozen=True, tag="view"):
    """The pool as one instance knew it last."""

    instance: str
    rows: tuple[PoolViewRow, ...]
    offset: int = 0  # of the last event heard, where there is a bus
    at: float = 0.0


class RequestSlots(Struct, frozen=True, tag="turns"):
    """An instance wants turns of a gap from slot `first` on (`harepick/gapping/slot_allocation.py`)."""

    instance: str
    gap: str
    first: int
    demand: float  # its calls offered a second, lately
    at: float = 0.0
    most: int = 16  # slots at once


Command = (
    Put | RollBack | PoolView | RequestSlots | OrderCommand | LimitCommand | VerdictCommand | SetMemberState
)


class Envelope(Struct, frozen=True):
    """A command of a client's session; `number` rises by one with each, and a repeat keeps its own."""

    session: str
    number: int
    body: Command


# Results


class Done(Struct, frozen=True, tag="done"):
    revision: int
    index: int


class Conflict(Struct, frozen=True, tag="conflict"):
    """Another change came first."""

    expected: int
    latest: int


class Refused(Struct, frozen=True, tag="refused"):
    why: str


class SlotsGranted(Struct, frozen=True, tag="granted"):
    """Slots [first, first + length) of the gap are the asker's."""

    gap: str
    first: int
    length: int
    index: int


class OrderChanged(Struct, frozen=True, tag="ordered"):
    """An order (0: none) as the command left it, and the version of the orders."""

    order: int
    state: str
    version: int
    index: int


class StepApplied(Struct, frozen=True, tag="shared"):
    """A step of the limits, verdicts or roster took effect."""

    index: int


Result = Done | Conflict | Refused | SlotsGranted | OrderChanged | StepApplied


class Revision(Struct, frozen=True):
    number: int
    text: str
    author: str
    note: str
    at: float
    index: int  # of its entry


class Session(Struct):
    number: int
    result: Result


class State(Struct):
    """All that a snapshot holds."""

    applied: int = 0
    revisions: list[Revision] = msgspec.field(default_factory=list)
    sessions: list[tuple[str, Session]] = msgspec.field(default_factory=list)
    views: dict[str, PoolView] = msgspec.field(default_factory=dict)
    turns: list[tuple[str, int, list[tuple[str, float]], list[tuple[str, int, int]]]] = msgspec.field(
        default_factory=list
    )  # `SlotAllocator.dump`
    orders: OrdersState = msgspec.field(default_factory=OrdersState)
    shares: SharesState = msgspec.field(default_factory=SharesState)
    verdicts: VerdictsState = msgspec.field(default_factory=VerdictsState)
    roster: AbsenceListState = msgspec.field(default_factory=AbsenceListState)


_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_state_decoder = msgspec.msgpack.Decoder(State)


def encode(envelope: Envelope) -> bytes:
    return bytes([FORMAT_VERSION]) + msgspec.msgpack.encode(envelope)


def decode(data: bytes) -> Envelope:
    if not data or data[0] != FORMAT_VERSION:
        raise FormatError(f"entry of format {data[0] if data else None}; this version knows {FORMAT_VERSION}")
    try:
        return _envelope_decoder.decode(memoryview(data)[1:])
    except (msgspec.DecodeError, ValueError) as error:
        raise FormatError(f"entry of format {FORMAT_VERSION} that can't be read: {error}") from None


class StateMachine:
    """Owns the state; `apply` is the one way to change it."""

    def __init__(self) -> None:
        self.applied = 0  # index of the last entry
        self._revisions: OrderedDict[int, Revision] = OrderedDict()
        self._history_bytes = 0  # bytes of their texts
        self._sessions: OrderedDict[str, Session] = OrderedDict()
        self.views: dict[str, PoolView] = {}
        self.slots = SlotAllocator()  # of gaps' slots over the fleet
        self.orders = Orders()  # machines out for work
        self.shares = Shares()  # of limits
        self.verdicts = Verdicts()
        self.absences = AbsenceList()  # of absent members

    @property
    def latest(self) -> Revision | None:
        return next(reversed(self._revisions.values()), None)

    def revision(self, number: int) -> Revision | None:
        return self._revisions.get(number)

    def history(self, most: int = MAX_REVISIONS) -> list[Revision]:
        """The latest first."""
        return list(reversed(self._revisions.values()))[:most]

    def repeated(self, session: str, number: int) -> Result | None:
        """The result of a request that was applied before."""
        known = self._sessions.get(session)
        return known.result if known and known.number == number else None

    def apply(self, index: int, data: bytes) -> Result:
        """Raises `FormatError`, changing nothing."""
        assert index > self.applied, (index, self.applied)
        envelope = decode(data)
        self.applied = index
        known = self._sessions.get(envelope.session) if envelope.session else None
        if known and envelope.number <= known.number:
            if envelope.number == known.number:
                return known.result
            return Refused(f"request {envelope.number} of this session is older than {known.number}")
        result = self._execute(index, envelope.body)
        if envelope.session:
            self._sessions[envelope.session] = Session(envelope.number, result)
            self._sessions.move_to_end(envelope.session)
            while len(self._sessions) > MAX_SESSIONS:
                self._sessions.popitem(last=False)
        return result

    def skip(self, index: int) -> None:
        """An entry that is none of the machine's."""
        self.applied = index

    def _execute(self, index: int, command: Command) -> Result:
        match command:
            case Put(text, expect, author, note, at):
                return self._put(index, text, expect, author, note, at)
            case RollBack(to, expect, author, note, at):
                old = self._revisions.get(to)
                if old is None:
                    return Refused(f"revision {to} is not kept")
                return self._put(index, old.text, expect, author, note or f"rollback to {to}", at)
            case PoolView():
                if len(command.rows) > MAX_VIEW_ROWS:
                    return Refused(f"a view has {MAX_VIEW_ROWS} rows at most")
                self.views.pop(command.instance, None)
                self.views[command.instance] = command
                while len(self.views) > MAX_VIEWS:
                    del self.views[next(iter(self.views))]
                return Done(self.latest.number if self.latest else 0, index)
            case RequestSlots(instance, gap, first, demand, _, most):
                block = self.slots.apply(SlotRequest(instance, gap, first, demand, most))
                return SlotsGranted(gap, block.first, block.length, index)
            case Split() | ReleaseOwed():
                return self._apply_limit_command(index, command)
            case IssueVerdict() | LiftVerdict():
                number, why = self.verdicts.apply(index, command)
                if why:
                    return Refused(why)
                # `Done` is answered once all that may act honour it.
                return Done(number, index) if isinstance(command, IssueVerdict) else StepApplied(index)
            case SetMemberState():
                try:
                    self.absences.apply(command)
                except RefusedMemberStateError as error:
                    return Refused(str(error))
                return StepApplied(index)
            case _:
                return self._apply_order_command(index, command)

    def _check_revision(self, revision: int) -> Refused | None:
        """A step that was decided on another configuration than the latest."""
        latest = self.latest.number if self.latest else 0
        if revision == latest:
            return None
        return Refused(f"decided on revision {revision}, and {latest} is the latest")

    def _apply_order_command(self, index: int, command: OrderCommand) -> Result:
        if isinstance(command, AdvanceOrder) and (stale := self._check_revision(command.revision)):
            return stale
        try:
            order = self.orders.apply(index, command)
        except RefusedOrderError as error:
            return Refused(str(error))
        number, state = (order.id, order.state) if order else (0, "")
        return OrderChanged(number, state, self.orders.version, index)

    def _apply_limit_command(self, index: int, command: LimitCommand) -> Result:
        if isinstance(command, Split) and (stale := self._check_revision(command.revision)):
            return stale
        try:
            self.shares.apply(index, command)
        except RefusedSplitError as error:
            return Refused(str(error))
        return StepApplied(index)

    @property
    def versions(self) -> tuple[int, int, int]:
        """Versions of what instances have to follow at once: orders, shares and verdicts."""
        return (self.orders.version, self.shares.version, self.verdicts.version)

    def _put(self, index: int, text: str, expect: int | None, author: str, note: str, at: float) -> Result:
        latest = self.latest.number if self.latest else 0
        if expect is not None and expect != latest:
            return Conflict(expect, latest)
        if len(text) > MAX_TEXT_CHARS:
            return Refused(f"a configuration has {MAX_TEXT_CHARS} characters at most")
        self._add_revision(Revision(latest + 1, text, author, note, at, index))
        return Done(latest + 1, index)

    def _add_revision(self, revision: Revision) -> None:
        self._revisions[revision.number] = revision
        self._history_bytes += len(revision.text)
        while len(self._revisions) > MAX_REVISIONS or (
            self._history_bytes > MAX_HISTORY_BYTES and len(self._revisions) > 1
        ):
            self._history_bytes -= len(self._revisions.popitem(last=False)[1].text)

    def snapshot(self) -> bytes:
        state = State(
            self.applied,
            list(self._revisions.values()),
            list(self._sessions.items()),
            self.views,
            self.slots.dump(),
            self.orders.dump(),
            self.shares.dump(),
            self.verdicts.dump(),
            self.absences.dump(),
        )
        return bytes([FORMAT_VERSION]) + msgspec.msgpack.encode(state)

    def restore(self, data: bytes) -> None:
        """Takes a snapshot's state over; raises `FormatError`, changing nothing."""
        if not data or data[0] != FORMAT_VERSION:
            raise FormatError(
                f"snapshot of format {data[0] if data else None}; this version knows {FORMAT_VERSION}"
            )
        try:
            state = _state_decoder.decode(memoryview(data)[1:])
        except (msgspec.DecodeError, ValueError) as error:
            raise FormatError(f"snapshot of format {FORMAT_VERSION} that can't be read: {error}") from None
        self.applied = state.applied
        self._revisions = OrderedDict((r.number, r) for r in state.revisions)
        self._history_bytes = sum(len(r.text) for r in state.revisions)
        self._sessions = OrderedDict(state.sessions)
        self.views = state.views
        self.slots = SlotAllocator()
        self.slots.load(state.turns)
        self.orders = Orders(state.orders)
        self.shares = Shares(state.shares)
        self.verdicts = Verdicts(state.verdicts)
        self.absences = AbsenceList(state.roster)
