"""The replicated state machine: revisions of the configuration, client sessions, pool views and fleet state.

Every replica applies the same entries in the same order and must reach the same state, so nothing here may
depend on a clock, on randomness or on the replica that applies it. Times (`at`, in seconds) come from the
proposer and influence no result.
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

FORMAT_VERSION = 1  # first byte of each entry and snapshot
MAX_SESSIONS = 4_096  # the least recently used one is dropped
MAX_REVISIONS = 500
MAX_HISTORY_CHARS = 8 * 1024 * 1024  # of all revisions' texts
MAX_TEXT_CHARS = 256 * 1024  # of one configuration
MAX_VIEW_ROWS = 256  # of one instance's pool view
MAX_VIEWS = 64  # pool views, one for each instance


class FormatError(Exception):
    """An entry or snapshot that this version can't read; the replica must not go on without it."""


# Commands


class Put(Struct, frozen=True, tag="put"):
    """Stores a complete configuration, if revision `expect` is still the latest (None: in any case)."""

    text: str
    expect: int | None = None
    author: str = ""
    note: str = ""
    at: float = 0.0


class RollBack(Struct, frozen=True, tag="rollback"):
    """Stores the text of the earlier revision `to` as a new revision."""

    to: int
    expect: int | None = None
    author: str = ""
    note: str = ""
    at: float = 0.0


class PoolViewRow(Struct, frozen=True, array_like=True):
    """One server in an instance's pool view."""

    server: str
    number: int
    state: str  # ready, draining or gone
    size: float = 1.0
    started: float = 0.0
    zone: str = ""
    address: str = ""


class PoolView(Struct, frozen=True, tag="view"):
    """Stores an instance's latest list of servers."""

    instance: str
    rows: tuple[PoolViewRow, ...]
    offset: int = 0  # of the last event received from the bus, if there is one
    at: float = 0.0


class RequestSlots(Struct, frozen=True, tag="turns"):
    """An instance requests slots of a gap, from slot `first` on (`harepick/gapping/slot_allocation.py`)."""

    instance: str
    gap: str
    first: int
    demand: float  # calls per second offered at the instance lately
    at: float = 0.0
    most: int = 16  # maximum number of slots


Command = (
    Put | RollBack | PoolView | RequestSlots | OrderCommand | LimitCommand | VerdictCommand | SetMemberState
)


class Envelope(Struct, frozen=True):
    """A command in a client's session.

    `number` rises by one with each command; a repeated command keeps its number and is applied once.
    """

    session: str
    number: int
    body: Command


# Results


class Done(Struct, frozen=True, tag="done"):
    """The command took effect; `revision` is the latest revision, or the number of the issued verdict."""

    revision: int
    index: int


class Conflict(Struct, frozen=True, tag="conflict"):
    """The latest revision is not the expected one."""

    expected: int
    latest: int


class Refused(Struct, frozen=True, tag="refused"):
    """The command changed nothing.

    `why` is kept in the replicated sessions, so all versions that run together must give the same text.
    """

    why: str


class SlotsGranted(Struct, frozen=True, tag="granted"):
    """The slots [first, first + length) of the gap belong to the requesting instance."""

    gap: str
    first: int
    length: int
    index: int


class OrderChanged(Struct, frozen=True, tag="ordered"):
    """The order (0: none) after the command, and the version of the orders."""

    order: int
    state: str
    version: int
    index: int


class StepApplied(Struct, frozen=True, tag="shared"):
    """A change of the limits, the verdicts or the absent members took effect."""

    index: int


Result = Done | Conflict | Refused | SlotsGranted | OrderChanged | StepApplied


class Revision(Struct, frozen=True):
    """One numbered version of the configuration."""

    number: int
    text: str
    author: str
    note: str
    at: float
    index: int  # of its entry


class Session(Struct):
    """The number and result of a session's last command."""

    number: int
    result: Result


class State(Struct):
    """The contents of a snapshot."""

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
    """The data of an entry."""
    return bytes([FORMAT_VERSION]) + msgspec.msgpack.encode(envelope)


def decode(data: bytes) -> Envelope:
    """The command in an entry's data; raises `FormatError`."""
    if not data or data[0] != FORMAT_VERSION:
        raise FormatError(f"entry of format {data[0] if data else None}; this version knows {FORMAT_VERSION}")
    try:
        return _envelope_decoder.decode(memoryview(data)[1:])
    except (msgspec.DecodeError, ValueError) as error:
        raise FormatError(f"entry of format {FORMAT_VERSION} that can't be read: {error}") from None


class StateMachine:
    """The replicated state; only `apply`, `skip` and `restore` change it."""

    def __init__(self) -> None:
        self.applied = 0  # index of the last applied entry
        self._revisions: OrderedDict[int, Revision] = OrderedDict()
        self._history_chars = 0  # size of their texts
        self._sessions: OrderedDict[str, Session] = OrderedDict()
        self.views: dict[str, PoolView] = {}
        self.slots = SlotAllocator()  # which instance each slot of a gap belongs to
        self.orders = Orders()  # maintenance orders
        self.shares = Shares()  # each instance's share of each limit
        self.verdicts = Verdicts()
        self.absences = AbsenceList()

    @property
    def latest(self) -> Revision | None:
        """The latest revision, or None if there is none."""
        return next(reversed(self._revisions.values()), None)

    def revision(self, number: int) -> Revision | None:
        """The revision of this number, or None if it is not kept."""
        return self._revisions.get(number)

    def history(self, limit: int = MAX_REVISIONS) -> list[Revision]:
        """At most `limit` revisions, the latest first."""
        return list(reversed(self._revisions.values()))[:limit]

    def repeated(self, session: str, number: int) -> Result | None:
        """The result of a request if it is the last one applied in its session."""
        known = self._sessions.get(session)
        return known.result if known and known.number == number else None

    def apply(self, index: int, data: bytes) -> Result:
        """Applies the entry at `index`; raises `FormatError` and changes nothing if it can't be read."""
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
        """Records an entry that carries no command."""
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
            case RequestSlots(instance, gap, first, demand, _, max_slots):
                block = self.slots.apply(SlotRequest(instance, gap, first, demand, max_slots))
                return SlotsGranted(gap, block.first, block.length, index)
            case Split() | ReleaseOwed():
                return self._apply_limit_command(index, command)
            case IssueVerdict() | LiftVerdict():
                number, refusal = self.verdicts.apply(index, command)
                if refusal:
                    return Refused(refusal)
                # The node acknowledges `Done` only once all lease holders have adopted the verdict.
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
        """Refuses a command that was decided on another revision than the latest."""
        latest = self.latest.number if self.latest else 0
        if revision == latest:
            return None
        return Refused(f"decided on revision {revision}, and {latest} is the latest")

    def _apply_order_command(self, index: int, command: OrderCommand) -> Result:
        if isinstance(command, AdvanceOrder) and (refused := self._check_revision(command.revision)):
            return refused
        try:
            order = self.orders.apply(index, command)
        except RefusedOrderError as error:
            return Refused(str(error))
        number, state = (order.id, order.state) if order else (0, "")
        return OrderChanged(number, state, self.orders.version, index)

    def _apply_limit_command(self, index: int, command: LimitCommand) -> Result:
        if isinstance(command, Split) and (refused := self._check_revision(command.revision)):
            return refused
        try:
            self.shares.apply(index, command)
        except RefusedSplitError as error:
            return Refused(str(error))
        return StepApplied(index)

    @property
    def versions(self) -> tuple[int, int, int]:
        """Versions of the orders, shares and verdicts, whose changes instances put into effect at once."""
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
        self._history_chars += len(revision.text)
        while len(self._revisions) > MAX_REVISIONS or (
            self._history_chars > MAX_HISTORY_CHARS and len(self._revisions) > 1
        ):
            self._history_chars -= len(self._revisions.popitem(last=False)[1].text)

    def snapshot(self) -> bytes:
        """The whole state, encoded."""
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
        """Replaces the state by a snapshot's; raises `FormatError`, and changes nothing, if unreadable."""
        if not data or data[0] != FORMAT_VERSION:
            raise FormatError(
                f"snapshot of format {data[0] if data else None}; this version knows {FORMAT_VERSION}"
            )
        try:
            state = _state_decoder.decode(memoryview(data)[1:])
        except (msgspec.DecodeError, ValueError) as error:
            raise FormatError(f"snapshot of format {FORMAT_VERSION} that can't be read: {error}") from None
        self.applied = state.applied
        self._revisions = OrderedDict((revision.number, revision) for revision in state.revisions)
        self._history_chars = sum(len(revision.text) for revision in state.revisions)
        self._sessions = OrderedDict(state.sessions)
        self.views = state.views
        self.slots = SlotAllocator()
        self.slots.load(state.turns)
        self.orders = Orders(state.orders)
        self.shares = Shares(state.shares)
        self.verdicts = Verdicts(state.verdicts)
        self.absences = AbsenceList(state.roster)
