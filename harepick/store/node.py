"""One replica without its host: the consensus core, the state machine and the leases combined. Pure.

Its hosts are `replica.py` in production and the simulation in `benchmarks/store_model.py`. A host calls
`tick`, `receive` and the requests with its own time in seconds, then `poll`, and carries out the result: it
sends the messages, delivers the answers, and makes the result of `take_writes` durable.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from msgspec import Struct

from harepick.store.leases import LEASE_S, Grants, Lease
from harepick.store.raft.core import BusyError, Raft, Role, Writes
from harepick.store.raft.messages import Entry, EntryKind, HardState, Message, Snapshot
from harepick.store.state_machine import (
    Done,
    Envelope,
    FormatError,
    Result,
    Revision,
    StateMachine,
    encode,
)

LEASE_RENEWAL_FRACTION = 0.27  # of a lease's length, after which the next is requested
# A snapshot is due after so many entries or bytes of entries, whichever comes first.
SNAPSHOT_INTERVAL_ENTRIES = 10_000
SNAPSHOT_INTERVAL_BYTES = 32 * 1024 * 1024
MAX_PENDING_CHANGES = 4_096
MAX_APPLIED_PER_POLL = 1_024  # entries


class LeaseRequest(Struct, frozen=True, tag="q", array_like=True):
    """An instance requests a lease from the leader, and reports the last index it has applied."""

    number: int
    applied: int


class LeaseGrant(Struct, frozen=True, tag="g", array_like=True):
    """The leader grants the lease that was requested under `number`."""

    number: int
    index: int  # of the log entry up to which the instance must apply before the lease takes effect


class Adopted(Struct, frozen=True, tag="d", array_like=True):
    """The sender no longer acts on any state older than the log entry `index`."""

    index: int


class Demand(Struct, frozen=True, tag="m", array_like=True):
    """Calls per second offered at the sender, by limit; the leader splits limits by it."""

    rows: dict[str, float]


class Propose(Struct, frozen=True, tag="p", array_like=True):
    """A command for the leader to propose; no answer is sent."""

    data: bytes


PeerMessage = Message | LeaseRequest | LeaseGrant | Adopted | Propose | Demand


class LeadershipLost(Struct, frozen=True):
    """Leadership was lost while a request waited, so whether it took effect is unknown.

    The client repeats the request under the same number.
    """


Waiter = object  # the host's handle for delivering an answer; the node only hands it back
Answer = Result | LeadershipLost | int  # int: the index of a confirmed read or of a membership change


@dataclass(slots=True)
class _PendingChange:
    """A client's change; `term` is the term it was proposed in."""

    term: int
    waiter: Waiter


@dataclass(slots=True)
class _ClientRead:
    """A client's linearizable read."""

    waiter: Waiter


@dataclass(slots=True)
class _LeaseRead:
    """A read that confirms leadership for a lease request."""

    instance: str
    number: int


@dataclass(slots=True)
class _PendingMembership:
    """A membership change; its answer is its index, once it is committed."""

    waiter: Waiter


@dataclass
class NodeOutput:
    """The messages to send and the answers to deliver."""

    outbox: list[tuple[str, PeerMessage]] = field(default_factory=list)
    answers: list[tuple[Waiter, Answer]] = field(default_factory=list)


class Node:
    """One replica: applies committed entries, grants and holds leases, and answers clients."""

    def __init__(
        self,
        name: str,
        rng: Random,
        hard_state: HardState,
        snapshot: Snapshot,
        entries: Iterable[Entry],
        now: float,
        *,
        lease: float = LEASE_S,
        on_revision: Callable[[Revision], None] = lambda revision: None,
        on_state_changed: Callable[[StateMachine], None] = lambda machine: None,
        snapshot_every: int = SNAPSHOT_INTERVAL_ENTRIES,
        raft: type[Raft] = Raft,
    ) -> None:
        """Starts from what is durable: the hard state, the snapshot and the entries after it.

        `on_revision` is called with each new revision, `on_state_changed` when maintenance orders, shares of
        limits or verdicts have changed. Both put the new state into effect: once they return, nothing older
        may be acted on.

        `lease` is the length of a lease in seconds, `snapshot_every` is in entries.
        Raises `FormatError` for another version's state.
        """
        self.name = name
        self.state_machine = StateMachine()
        if snapshot.data:
            self.state_machine.restore(snapshot.data)
        self.raft = raft(name, rng, hard_state, snapshot, entries)
        self.lease = Lease(lease, rng.getrandbits(62))
        self.grants = Grants(lease)
        self.stopped = ""  # why the replica has stopped; empty while it runs
        self._on_revision, self._on_state_changed = on_revision, on_state_changed
        self._revision = 0  # last adopted
        self._followed_versions = (0, 0, 0)  # of the orders, shares and verdicts passed to `on_state_changed`
        self.demand: Mapping[str, float] = {}  # set by the host: limit -> calls per second offered here
        self._sent_demand = False  # whether the last demand sent was not empty
        self.demands: dict[str, tuple[float, Mapping[str, float]]] = {}  # instance -> time received, demand
        self._snapshot_every = snapshot_every
        self._snapshot_in_progress = False
        # log index -> the request that waits for its entry
        self._pending_by_index: dict[int, _PendingChange | _PendingMembership] = {}
        # Applied changes: index that all lease holders have to adopt before the answer, waiter, result.
        self._unacknowledged: list[tuple[int, Waiter, Result]] = []
        # Confirmed reads: index that has to be applied before the answer, read.
        self._pending_reads: list[tuple[int, _ClientRead]] = []
        self._leading_term = 0  # the term for which `grants` has started to lead; 0: not leading
        self._next_lease_request = now
        self._outbox: list[tuple[str, PeerMessage]] = []
        self._answers: list[tuple[Waiter, Answer]] = []

    # State

    def may_act(self, now: float) -> bool:
        """Whether this instance may act; checked last before anything based on the configuration is sent."""
        return not self.stopped and self.lease.holds(now)

    @property
    def revision(self) -> Revision | None:
        """The latest revision applied here."""
        return self.state_machine.latest

    # Inputs

    def tick(self, now: float) -> None:
        """Advances the consensus core by one tick, and renews the lease when that is due."""
        if self.stopped:
            return
        self.raft.tick()
        self._track_leadership(now)
        if now >= self._next_lease_request:
            self._request_lease(now)

    def receive(self, sender: str, message: PeerMessage, now: float) -> None:
        """Handles a message of another replica."""
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
                    with suppress(BusyError):  # nobody waits for the command, and its sender repeats it
                        self.raft.propose(data)
            case _:
                self.raft.step(sender, message)
        self._track_leadership(now)

    def change(self, envelope: Envelope, waiter: Waiter) -> None:
        """Proposes a change, answered once it is committed and applied here.

        `Done` is answered only once all lease holders have adopted the change. Raises `NotLeaderError` and
        `BusyError`.
        """
        if len(self._pending_by_index) + len(self._unacknowledged) >= MAX_PENDING_CHANGES:
            raise BusyError("too many changes wait")
        index, term = self.raft.propose(encode(envelope))
        self._pending_by_index[index] = _PendingChange(term, waiter)

    def change_nowait(self, envelope: Envelope) -> None:
        """Proposes a command without an answer, or forwards it to the leader; dropped if none is known."""
        data = encode(envelope)
        if self.raft.role is Role.LEADER:
            try:
                self.raft.propose(data)
            except BusyError:
                return
        elif self.raft.leader:
            self._outbox.append((self.raft.leader, Propose(data)))

    def read(self, waiter: Waiter) -> None:
        """Starts a linearizable read, answered with an index once the state here includes it.

        Raises `NotLeaderError` and `BusyError`.
        """
        self.raft.read(_ClientRead(waiter))

    def add(self, name: str, address: str, waiter: Waiter) -> None:
        """Adds a replica as a learner, answered once that is committed; raises as `Raft.add` does."""
        index, _ = self.raft.add(name, address)
        self._pending_by_index[index] = _PendingMembership(waiter)

    def remove(self, name: str, waiter: Waiter) -> None:
        """Removes a replica, answered once that is committed; raises as `Raft.remove` does."""
        index, _ = self.raft.remove(name)
        self._pending_by_index[index] = _PendingMembership(waiter)

    def stop(self, reason: str) -> None:
        """Stops for good: the replica neither acts nor votes any more."""
        self.stopped = reason
        self.lease.drop()
        self.grants.become_follower()
        self._fail_pending()

    # Outputs

    def poll(self, now: float) -> NodeOutput:
        """Applies and answers what is due; called after each batch of inputs and after `written`."""
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

    def take_writes(self) -> Writes:
        """Takes the next write, which must be durable before the following one is requested."""
        return Writes() if self.stopped else self.raft.take_writes()

    def written(self, writes: Writes, now: float) -> None:
        """Records that `writes` is durable."""
        if not self.stopped:
            self.raft.written(writes)
            self._track_leadership(now)

    def snapshot_due(self) -> Snapshot | None:
        """A snapshot if one is due: the host makes it durable, then calls `snapshot_durable`."""
        last, applied = self.raft.snapshot.index, self.state_machine.applied
        many = applied - last >= self._snapshot_every
        large = self.raft.log.size(last + 1, applied) >= SNAPSHOT_INTERVAL_BYTES
        return self.take_snapshot() if many or large else None

    def take_snapshot(self) -> Snapshot | None:
        """A snapshot of the applied state; None if one is in progress or would hold nothing new."""
        if (
            self._snapshot_in_progress
            or self.stopped
            or self.state_machine.applied <= self.raft.snapshot.index
        ):
            return None
        self._snapshot_in_progress = True
        return self.raft.make_snapshot(self.state_machine.applied, self.state_machine.snapshot())

    def snapshot_durable(self, snapshot: Snapshot) -> None:
        """Records that the snapshot is durable."""
        self._snapshot_in_progress = False
        self.raft.snapshot_durable(snapshot)

    def next_check_at(self, now: float) -> float:
        """The next time at which the expiry of a lease may allow an acknowledgement."""
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
            if self.demand or self._sent_demand:  # an empty demand is sent once, to cancel the last
                self._outbox.append((leader, Demand(dict(self.demand))))
            self._sent_demand = bool(self.demand)
        else:
            self._next_lease_request = now  # at the first tick with a known leader

    def _on_lease_request(self, sender: str, number: int, applied: int, now: float) -> None:
        if self.raft.role is not Role.LEADER or not self.raft.membership.get(sender):
            return
        self._track_leadership(now)
        self.grants.record_adopted(sender, applied)
        self.grants.record_lease(sender, now)  # before the quorum confirms leadership
        with suppress(BusyError):  # the instance repeats its request
            self.raft.read(_LeaseRead(sender, number))

    def _track_leadership(self, now: float) -> None:
        """Starts or stops leading as the consensus core does, and fails the requests that are lost by it."""
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
            # A removed leader steps down on committing its removal: the request for it is still answered.
            self._apply_committed()
            self._fail_pending()
            self._next_lease_request = now
        for token in self.raft.dropped_reads:
            if isinstance(token, _ClientRead):
                self._answers.append((token.waiter, LeadershipLost()))
        self.raft.dropped_reads.clear()

    def _fail_pending(self) -> None:
        """Answers all pending changes with `LeadershipLost`."""
        for change in self._pending_by_index.values():
            self._answers.append((change.waiter, LeadershipLost()))
        for _, waiter, _ in self._unacknowledged:
            self._answers.append((waiter, LeadershipLost()))
        self._pending_by_index.clear()
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
        """Whether committed entries still have to be applied.

        `poll` applies a bounded number of them, so that a replica that is catching up keeps on exchanging
        messages.
        """
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
        change = self._pending_by_index.pop(entry.index, None)
        if entry.kind != EntryKind.COMMAND:
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
            # A repeated request returns the result of its first entry, which was adopted long before. Waiting
            # for the later index of the repeat is safe and costs nothing more.
            self._unacknowledged.append((entry.index, change.waiter, result))
        else:
            self._answers.append((change.waiter, result))

    def _after_apply(self) -> None:
        """Puts a new revision, orders, shares or verdicts into effect, and reports that to the leader."""
        latest, versions = self.state_machine.latest, self.state_machine.versions
        changed = False
        if versions != self._followed_versions:  # first: in force before a new revision is
            self._followed_versions, changed = versions, True
            self._on_state_changed(self.state_machine)
        if latest and latest.number != self._revision:
            self._revision, changed = latest.number, True
            self._on_revision(latest)
        if changed and self.raft.leader and self.raft.leader != self.name:
            self._outbox.append((self.raft.leader, Adopted(self.state_machine.applied)))
        self.lease.record_applied(self.state_machine.applied)
        self.grants.record_adopted(self.name, self.state_machine.applied)

    def _acknowledge(self, now: float) -> None:
        waiting = []
        for index, waiter, result in self._unacknowledged:
            if self.grants.unconfirmed_by(index, now):
                waiting.append((index, waiter, result))
            else:
                self._answers.append((waiter, result))
        self._unacknowledged = waiting

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
