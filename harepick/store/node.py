"""One replica without its host: consensus, state machine and fencing put together. Pure, as its parts are.

The real host is `replica.py`; the seeded world of `benchmarks/store_model.py` is another. Both do the same:
feed `tick`, `receive` and requests with their time, call `poll`, carry out `outbox`, `writes` and `answers`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from msgspec import Struct

from harepick.store.leases import LEASE_S, Grants, Lease
from harepick.store.raft.core import BusyError, Raft, Role, Writes
from harepick.store.raft.messages import Entry, HardState, Kind, Message, Snapshot
from harepick.store.state_machine import (
    Done,
    Envelope,
    FormatError,
    Result,
    Revision,
    StateMachine,
    encode,
)

LEASE_RENEWAL_FRACTION = 0.27  # share of a lease after which the next is asked for
SNAPSHOT_INTERVAL_ENTRIES = 10_000  # entries, or
SNAPSHOT_INTERVAL_BYTES = 32 * 1024 * 1024  # of them, whichever comes first
MAX_PENDING_CHANGES = 4_096
MAX_APPLIED_PER_POLL = 1_024  # entries at one poll


class LeaseRequest(Struct, frozen=True, tag="q", array_like=True):
    """An instance asks the leader for its lease, and tells how far it has applied."""

    number: int
    applied: int


class LeaseGrant(Struct, frozen=True, tag="g", array_like=True):
    number: int
    index: int  # to be applied before the lease counts


class Adopted(Struct, frozen=True, tag="d", array_like=True):
    """The sender acts on nothing older than this index any more."""

    index: int


class Demand(Struct, frozen=True, tag="m", array_like=True):
    """Calls offered a second here, by limit; the leader splits limits by it."""

    rows: dict[str, float]


class Propose(Struct, frozen=True, tag="p", array_like=True):
    """A command for the leader that nobody waits for."""

    data: bytes


PeerMessage = Message | LeaseRequest | LeaseGrant | Adopted | Propose | Demand


class LeadershipLost(Struct, frozen=True):
    """Leadership went while a request waited: whether it took effect is not known. Ask again, same number."""


Waiter = object
Answer = Result | LeadershipLost | int  # int: the index that a confirmed read may be answered at


@dataclass(slots=True)
class _PendingChange:
    term: int
    waiter: Waiter


@dataclass(slots=True)
class _ClientRead:
    """A client's read."""

    waiter: Waiter


@dataclass(slots=True)
class _LeaseRead:
    """The confirmation that a lease waits for."""

    instance: str
    number: int


@dataclass(slots=True)
class _PendingMembership:
    """An answer with the index alone, once the change of members is committed."""

    waiter: Waiter


@dataclass
class NodeOutput:
    """What `poll` hands to the host."""

    outbox: list[tuple[str, PeerMessage]] = field(default_factory=list)
    answers: list[tuple[Waiter, Answer]] = field(default_factory=list)


class Node:
    def __init__(
        self,
        name: str,
        rng: Random,
        hard: HardState,
        snapshot: Snapshot,
        entries: Iterable[Entry],
        now: float,
        *,
        lease: float = LEASE_S,
        adopt: Callable[[Revision], None] = lambda revision: None,
        follow: Callable[[StateMachine], None] = lambda machine: None,
        snapshot_every: int = SNAPSHOT_INTERVAL_ENTRIES,
        raft: type[Raft] = Raft,
    ) -> None:
        """`adopt` is called in the moment a revision takes effect: on return, nothing older is acted on.
        `follow` likewise for orders of machines out for work, shares of limits, and verdicts.

        Raises `FormatError` for a state of another version."""
        self.name = name
        self.state_machine = StateMachine()
        if snapshot.data:
            self.state_machine.restore(snapshot.data)
        self.raft = raft(name, rng, hard, snapshot, entries)
        self.lease = Lease(lease, rng.getrandbits(62))
        self.grants = Grants(lease)
        self.stopped = ""  # why it takes part in nothing any more
        self._adopt, self._follow = adopt, follow
        self._revision = 0  # adopted last
        self._followed_versions = (0, 0, 0)  # versions of the orders, shares and verdicts that are followed
        self.demand: Mapping[str, float] = {}  # by limit, calls offered a second; output with each question
        self._sent_demand = False  # whether the last telling was of any
        self.demands: dict[str, tuple[float, Mapping[str, float]]] = {}  # instance -> when heard, its demand
        self._snapshot_every = snapshot_every
        self._snapshot_in_progress = False
        self._changes: dict[int, _PendingChange | _PendingMembership] = {}
        self._unacknowledged: list[tuple[int, Waiter, Result]] = []  # index that must be adopted by all
        self._pending_reads: list[tuple[int, _ClientRead]] = []  # confirmed, and not applied so far here
        self._leading_term = 0  # the term in which `grants` was output that we lead
        self._next_lease_request = now
        self._outbox: list[tuple[str, PeerMessage]] = []
        self._answers: list[tuple[Waiter, Answer]] = []

    # What can be asked

    def may_act(self, now: float) -> bool:
        """The last look before something leaves that rests on the configuration."""
        return not self.stopped and self.lease.holds(now)

    @property
    def revision(self) -> Revision | None:
        return self.state_machine.latest

    # Inputs

    def tick(self, now: float) -> None:
        if self.stopped:
            return
        self.raft.tick()
        self._track_leadership(now)
        if now >= self._next_lease_request:
            self._request_lease(now)

    def receive(self, sender: str, message: PeerMessage, now: float) -> None:
        if self.stopped:
            return
        match message:
            case LeaseRequest(number, applied):
                self._on_lease_request(sender, number, applied, now)
            case LeaseGrant(number, index):
                self.lease.record_grant(number, index)
            case Adopted(index):
                self.grants.record_adopted(sender, index)
            case Demand(rows):
                if self.raft.membership.get(sender):
                    self.demands[sender] = (now, rows)
            case Propose(data):
                if self.raft.role is Role.LEADER:
                    with suppress(BusyError):  # nobody waits for it; it comes again
                        self.raft.propose(data)
            case _:
                self.raft.step(sender, message)
        self._track_leadership(now)

    def change(self, envelope: Envelope, waiter: Waiter) -> None:
        """Answered once it is committed, applied, and adopted by all who may act."""
        if len(self._changes) + len(self._unacknowledged) >= MAX_PENDING_CHANGES:
            raise BusyError("too many changes wait")
        index, term = self.raft.propose(encode(envelope))
        self._changes[index] = _PendingChange(term, waiter)

    def change_nowait(self, envelope: Envelope) -> None:
        """A command that nobody waits for, to whoever leads; lost if nobody does."""
        data = encode(envelope)
        if self.raft.role is Role.LEADER:
            try:
                self.raft.propose(data)
            except BusyError:
                return
        elif self.raft.leader:
            self._outbox.append((self.raft.leader, Propose(data)))

    def read(self, waiter: Waiter) -> None:
        """Answered with an index once the state here is no older than the question."""
        self.raft.read(_ClientRead(waiter))

    def add(self, name: str, address: str, waiter: Waiter) -> None:
        index, _ = self.raft.add(name, address)
        self._changes[index] = _PendingMembership(waiter)

    def remove(self, name: str, waiter: Waiter) -> None:
        index, _ = self.raft.remove(name)
        self._changes[index] = _PendingMembership(waiter)

    def stop(self, why: str) -> None:
        """Steps aside: acts on nothing, votes for nobody, says why."""
        self.stopped = why
        self.lease.drop()
        self.grants.become_follower()
        self._fail_pending()

    # Outputs

    def poll(self, now: float) -> NodeOutput:
        """After every turn of inputs, and after `written`."""
        if not self.stopped:
            self.raft.flush()
            self._track_leadership(now)
            self._restore_snapshot()
            self._apply_committed()
            self._serve_reads()
            self._acknowledge(now)
        output = NodeOutput(self._outbox + list(self.raft.outbox), self._answers)
        self._outbox, self._answers = [], []
        self.raft.outbox.clear()
        return output

    def writes(self) -> Writes:
        return Writes() if self.stopped else self.raft.writes()

    def written(self, writes: Writes, now: float) -> None:
        if not self.stopped:
            self.raft.written(writes)
            self._track_leadership(now)

    def snapshot_due(self) -> Snapshot | None:
        """A snapshot to be made durable, if it is time; `compacted` follows."""
        since, applied = self.raft.snapshot.index, self.state_machine.applied
        enough = applied - since >= self._snapshot_every
        large = self.raft.log.size(since + 1, applied) >= SNAPSHOT_INTERVAL_BYTES
        return self.take_snapshot() if enough or large else None

    def take_snapshot(self) -> Snapshot | None:
        if (
            self._snapshot_in_progress
            or self.stopped
            or self.state_machine.applied <= self.raft.snapshot.index
        ):
            return None
        self._snapshot_in_progress = True
        return self.raft.compact(self.state_machine.applied, self.state_machine.snapshot())

    def compacted(self, snapshot: Snapshot) -> None:
        self._snapshot_in_progress = False
        self.raft.compacted(snapshot)

    def next_check_at(self, now: float) -> float:
        """When an acknowledgement may come due by time alone."""
        return self.grants.next_check_at(now, (index for index, *_ in self._unacknowledged))

    # Leases

    def _request_lease(self, now: float) -> None:
        self._next_lease_request = now + self.lease.length * LEASE_RENEWAL_FRACTION
        leader = self.raft.leader
        if leader == self.name and self.raft.role is Role.LEADER:
            self.demands[self.name] = (now, self.demand)
            self._on_lease_request(self.name, self.lease.request(now), self.state_machine.applied, now)
        elif leader:
            self._outbox.append((leader, LeaseRequest(self.lease.request(now), self.state_machine.applied)))
            if self.demand or self._sent_demand:  # that there is none any more is output as well, once
                self._outbox.append((leader, Demand(dict(self.demand))))
            self._sent_demand = bool(self.demand)
        else:
            self._next_lease_request = now  # with the first tick that knows a leader

    def _on_lease_request(self, sender: str, number: int, applied: int, now: float) -> None:
        if self.raft.role is not Role.LEADER or not self.raft.membership.get(sender):
            return
        self._track_leadership(now)
        self.grants.record_adopted(sender, applied)
        self.grants.record_lease(sender, now)  # before the quorum is asked
        with suppress(BusyError):  # it asks again
            self.raft.read(_LeaseRead(sender, number))

    def _track_leadership(self, now: float) -> None:
        """Follows the consensus core into leadership and out of it."""
        if self.raft.role is Role.LEADER:
            if self._leading_term != self.raft.term:
                self._fail_pending()
                self._leading_term = self.raft.term
                self.grants.become_leader(now)
                self._next_lease_request = now
        elif self._leading_term:
            self._leading_term = 0
            self.grants.become_follower()
            self._restore_snapshot()
            self._apply_committed()  # a leader that was removed steps down with the entry that says so
            self._fail_pending()
            self._next_lease_request = now
        for token in self.raft.dropped_reads:
            if isinstance(token, _ClientRead):
                self._answers.append((token.waiter, LeadershipLost()))
        self.raft.dropped_reads.clear()

    def _fail_pending(self) -> None:
        for change in self._changes.values():
            self._answers.append((change.waiter, LeadershipLost()))
        for _, waiter, _ in self._unacknowledged:
            self._answers.append((waiter, LeadershipLost()))
        self._changes.clear()
        self._unacknowledged.clear()

    # Entries

    def _restore_snapshot(self) -> None:
        snapshot = self.raft.installed_snapshot
        if snapshot is None:
            return
        self.raft.installed_snapshot = None
        if snapshot.index <= self.state_machine.applied:
            return
        try:
            if snapshot.data:
                self.state_machine.restore(snapshot.data)
        except FormatError as error:
            self.stop(str(error))
            return
        self.state_machine.skip(snapshot.index)
        self._after_apply()

    @property
    def has_unapplied(self) -> bool:
        """Whether more is there to be applied: `poll` takes a part of it at a time, so that a host that has
        much to catch up with goes on hearing and being heard."""
        raft = self.raft
        return not self.stopped and raft.log.base_index <= raft.applied < min(raft.commit, raft.log.stable)

    def _apply_committed(self) -> None:
        for entry in self.raft.committed(MAX_APPLIED_PER_POLL):
            self._apply_one(entry)
            if self.stopped:
                return
        if not self.stopped and not self.has_unapplied:
            self._after_apply()

    def _apply_one(self, entry: Entry) -> None:
        change = self._changes.pop(entry.index, None)
        if entry.kind != Kind.COMMAND:
            self.state_machine.skip(entry.index)
            if isinstance(change, _PendingMembership):
                self._answers.append((change.waiter, entry.index))
            return
        try:
            result = self.state_machine.apply(entry.index, entry.data)
        except FormatError as error:
            self.stop(f"entry {entry.index}: {error}")
            return
        if change is None:
            return
        if isinstance(change, _PendingMembership) or change.term != entry.term:
            self._answers.append((change.waiter, LeadershipLost()))
        elif isinstance(result, Done):
            # A repeated request's result names its first entry, and that is long adopted: waiting for this
            # one costs nothing more.
            self._unacknowledged.append((entry.index, change.waiter, result))
        else:
            self._answers.append((change.waiter, result))

    def _after_apply(self) -> None:
        """A new revision, new orders, shares or verdicts take effect here, and the leader hears of it."""
        latest, versions = self.state_machine.latest, self.state_machine.versions
        changed = False
        if versions != self._followed_versions:  # first, so that a revision takes effect under them at once
            self._followed_versions, changed = versions, True
            self._follow(self.state_machine)
        if latest and latest.number != self._revision:
            self._revision, changed = latest.number, True
            self._adopt(latest)
        if changed and self.raft.leader and self.raft.leader != self.name:
            self._outbox.append((self.raft.leader, Adopted(self.state_machine.applied)))
        self.lease.record_applied(self.state_machine.applied)
        self.grants.record_adopted(self.name, self.state_machine.applied)

    def _acknowledge(self, now: float) -> None:
        kept = []
        for index, waiter, result in self._unacknowledged:
            if self.grants.waits_for(index, now):
                kept.append((index, waiter, result))
            else:
                self._answers.append((waiter, result))
        self._unacknowledged = kept

    def _serve_reads(self) -> None:
        for token, index in self.raft.confirmed_reads:
            if isinstance(token, _LeaseRead):
                if token.instance == self.name:
                    self.lease.record_grant(token.number, index)
                else:
                    self._outbox.append((token.instance, LeaseGrant(token.number, index)))
            elif isinstance(token, _ClientRead):
                self._pending_reads.append((index, token))
        self.raft.confirmed_reads.clear()
        waiting = []
        for index, read in self._pending_reads:
            if self.state_machine.applied >= index:
                self._answers.append((read.waiter, index))
            else:
                waiting.append((index, read))
        self._pending_reads = waiting
