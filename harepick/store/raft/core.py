"""The Raft consensus core of one replica.

Its inputs are `step`, `tick` and requests such as `propose`; its outputs are messages, disk writes and
committed entries. It is pure: the host counts time in ticks, and randomness comes from the given `Random`.
After each batch of inputs the host

- calls `flush` and sends the messages in `outbox` at once,
- makes the result of `take_writes` durable, one write after another, and calls `written` only then, which
  adds the messages that had to wait for the disk to `outbox`,
- applies the entries that `committed` returns, in order.

Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

import msgspec

from harepick.store.raft.log import Log
from harepick.store.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    EntryKind,
    HardState,
    InstallSnapshot,
    InstallSnapshotReply,
    Member,
    Membership,
    Message,
    PreVote,
    PreVoteReply,
    RequestVote,
    RequestVoteReply,
    Snapshot,
    TimeoutNow,
)
from harepick.store.raft.progress import Mode, Progress

HEARTBEAT_TICKS = 3  # interval between heartbeats
ELECTION_TICKS = 15  # the election timeout is drawn from one to two times this
PRE_VOTE_RETRY_TICKS = 5  # a pre-vote without a majority is retried after one to two times this
MAX_APPEND_BYTES = 256 * 1024  # of entries in one message
SNAPSHOT_CHUNK_BYTES = 128 * 1024
MAX_SNAPSHOT_BYTES = 512 * 1024 * 1024
MAX_PENDING_ENTRIES = 4_096  # proposed and not yet committed
MAX_PENDING_BYTES = 32 * 1024 * 1024
MAX_PENDING_READS = 4_096
PROMOTION_LAG_ENTRIES = 64  # a learner that lags by no more than this becomes a voter
RETAINED_ENTRIES = 2_000  # kept before a snapshot, so that a slightly lagging follower needs no snapshot
RETAINED_BYTES = 16 * 1024 * 1024

_membership_decoder = msgspec.msgpack.Decoder(Membership)


class Role(Enum):
    """The role of a replica in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class NotLeaderError(Exception):
    """The operation needs the leader; `leader` is its name, or empty if it is not known."""

    def __init__(self, leader: str) -> None:
        super().__init__(f"not the leader; the leader is {leader or 'not known'}")
        self.leader = leader


class BusyError(Exception):
    """The leader can't accept the request now; nothing was changed."""


class BadChangeError(ValueError):
    """The requested change of the members, or transfer of the leadership, is not valid."""


@dataclass
class Writes:
    """What has to be made durable in one write, and the messages that wait for it."""

    hard_state: HardState | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    messages_after: list[tuple[str, Message]] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.hard_state or self.entries or self.snapshot or self.messages_after)


class Raft:
    """The consensus state of one replica, as follower, candidate or leader."""

    def __init__(
        self,
        name: str,
        rng: Random,
        hard_state: HardState,
        snapshot: Snapshot,
        entries: Iterable[Entry] = (),
    ) -> None:
        """Starts as a follower from the durable hard state, snapshot and the entries after it."""
        self.name = name
        self._rng = rng
        self.term, self.vote = hard_state.term, hard_state.vote
        self._submitted_hard_state = hard_state
        self.snapshot = snapshot
        self.log = Log(snapshot.index, snapshot.term)
        self._memberships: list[tuple[int, Membership]] = [(snapshot.index, snapshot.membership)]
        self._append([entry for entry in entries if entry.index > snapshot.index])
        self.log.stable = self.log.submitted = self.log.last_index
        self.commit = self.applied = snapshot.index  # log indices
        self.role = Role.FOLLOWER
        self.leader = ""
        self.progress: dict[str, Progress] = {}
        self.read_round = 0
        self.outbox: list[tuple[str, Message]] = []
        self.confirmed_reads: list[tuple[object, int]] = []  # token and read index
        self.installed_snapshot: Snapshot | None = None  # durable; the host loads it and resets this
        self.dropped_reads: list[object] = []  # tokens of reads lost with the leadership
        self._messages_after_write: list[tuple[str, Message]] = []
        self._snapshot_to_write: Snapshot | None = None
        self._partial_snapshot: tuple[int, int, bytearray] = (0, 0, bytearray())  # index, term and data
        self._votes: dict[str, bool] = {}
        self._pending_reads: list[tuple[int, int, object]] = []  # read round, index and token
        self._new_reads: list[object] = []
        self._commit_advanced = False  # since the last `flush`
        self._forced_campaign = False
        self._transfer_target = ""
        self._transfer_ticks = 0
        # Ticks since the leader's last message; on the leader, since its last quorum check.
        self._election_elapsed = 0
        self._heartbeat_elapsed = 0
        self._election_timeout = 0
        self._reset_election_timeout()
        if self.membership.voters == (name,):
            self._election_timeout = 1  # the only voter: there is no leader to wait for

    # State

    @property
    def membership(self) -> Membership:
        """The latest membership in the log: it takes effect when appended, before it is committed."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """The index of the entry that holds the latest membership."""
        return self._memberships[-1][0]

    @property
    def hard_state(self) -> HardState:
        """The current term and vote."""
        return HardState(self.term, self.vote)

    def membership_at(self, index: int) -> Membership:
        """The membership in effect after the entry at `index`."""
        return next(membership for at, membership in reversed(self._memberships) if at <= index)

    @property
    def committed_membership(self) -> tuple[int, Membership]:
        """The index of the latest committed membership, and the membership.

        The index is that of its entry, or the base index if that entry was compacted away.
        """
        return next(row for row in reversed(self._memberships) if row[0] <= self.commit)

    @property
    def has_leader(self) -> bool:
        """Whether this replica leads or has heard from a leader within the minimum election timeout."""
        return self.role is Role.LEADER or (self.leader != "" and self._election_elapsed < ELECTION_TICKS)

    # Inputs

    def tick(self) -> None:
        """Advances the clock by one tick."""
        self._election_elapsed += 1
        if self.role is Role.LEADER:
            self._heartbeat_elapsed += 1
            if self._election_elapsed >= ELECTION_TICKS:
                self._election_elapsed = 0
                self._check_quorum()
            if self._transfer_target:
                self._transfer_ticks += 1
                if self._transfer_ticks >= ELECTION_TICKS:
                    self._transfer_target = ""
            if self.role is Role.LEADER and self._heartbeat_elapsed >= HEARTBEAT_TICKS:
                self._broadcast()
        elif self._election_elapsed >= self._election_timeout and self.membership.is_voter(self.name):
            self._campaign(pre=True)

    def propose(self, data: bytes) -> tuple[int, int]:
        """Appends a command; returns the index and term under which it may be committed.

        Raises `NotLeaderError` and `BusyError`.
        """
        return self._propose(EntryKind.COMMAND, data)

    def add(self, name: str, address: str) -> tuple[int, int]:
        """Adds a replica as a learner, which is promoted to voter once it has caught up.

        Returns index and term of the entry; raises `BadChangeError`, `NotLeaderError` and `BusyError`.
        """
        if self.membership.get(name):
            raise BadChangeError(f"replica {name} is a member already")
        return self._propose_membership(
            self.membership.with_member(Member(name, address, voter=False, joining=True))
        )

    def remove(self, name: str) -> tuple[int, int]:
        """Removes a replica; returns and raises as `add` does."""
        if not self.membership.get(name):
            raise BadChangeError(f"replica {name} is no member")
        if self.membership.voters == (name,):
            raise BadChangeError(f"replica {name} is the only voter")
        return self._propose_membership(self.membership.without(name))

    def transfer(self, name: str) -> None:
        """Transfers leadership to a voter, which is told to campaign once it has caught up.

        Proposals are refused meanwhile, for one election timeout at most. Raises `NotLeaderError` and
        `BadChangeError`.
        """
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        if not self.membership.is_voter(name):
            raise BadChangeError(f"replica {name} is no voter")
        if name == self.name:
            return
        self._transfer_target, self._transfer_ticks = name, 0
        self._send_timeout_now()

    def read(self, token: object) -> None:
        """Requests a linearizable read.

        Its token appears in `confirmed_reads` once a quorum has confirmed this replica's leadership in a read
        round that started after the request, and in `dropped_reads` if leadership is lost. Raises
        `NotLeaderError` and `BusyError`.
        """
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        if len(self._pending_reads) + len(self._new_reads) >= MAX_PENDING_READS:
            raise BusyError("too many reads wait")
        self._new_reads.append(token)

    def step(self, sender: str, message: Message) -> None:
        """Handles a message of another replica; messages may be late, repeated or out of order."""
        if isinstance(message, PreVote):
            self._on_pre_vote(sender, message)
            return
        if message.term > self.term:
            if isinstance(message, PreVoteReply) and message.granted:
                pass  # its term is the one that this replica would campaign in
            elif isinstance(message, RequestVote) and self._rejects_candidates(message.forced):
                return
            else:
                from_leader = isinstance(message, AppendEntries | InstallSnapshot)
                self._become_follower(message.term, sender if from_leader else "")
        elif message.term < self.term:
            if isinstance(message, AppendEntries | InstallSnapshot):
                # From a leader of an earlier term: it steps down when it learns the current term.
                self._send_after_write(sender, AppendEntriesReply(self.term, False, 0, 0))
            elif isinstance(message, RequestVote):
                self._send_after_write(sender, RequestVoteReply(self.term, False))
            return
        match message:
            case RequestVote():
                self._on_request_vote(sender, message)
            case PreVoteReply():
                self._on_pre_vote_reply(sender, message)
            case RequestVoteReply():
                self._on_request_vote_reply(sender, message)
            case AppendEntries():
                self._on_append_entries(sender, message)
            case AppendEntriesReply():
                self._on_append_entries_reply(sender, message)
            case InstallSnapshot():
                self._on_install_snapshot(sender, message)
            case InstallSnapshotReply():
                self._on_install_snapshot_reply(sender, message)
            case TimeoutNow():
                if self.membership.is_voter(self.name) and self.role is Role.FOLLOWER:
                    self._forced_campaign = True
                    self._campaign(pre=False)

    # Outputs

    def flush(self) -> None:
        """Sends what is due: a read round for new reads, and entries to replicas that can receive more."""
        if self.role is not Role.LEADER:
            return
        self._start_reads()
        for name, progress in self.progress.items():
            while progress.can_send and (
                progress.mode is Mode.SNAPSHOT or progress.next <= self.log.last_index or progress.match == 0
            ):
                before = (progress.next, progress.awaiting_reply)
                self._send(name, progress)
                if (progress.next, progress.awaiting_reply) == before:
                    break
        if self._commit_advanced:  # at once: changes are acknowledged only after followers apply them
            self._commit_advanced = False
            self._broadcast()
        self._promote_learner()

    def take_writes(self) -> Writes:
        """Takes the next write; it must be durable before the following one is requested."""
        writes = Writes(messages_after=self._messages_after_write, snapshot=self._snapshot_to_write)
        self._messages_after_write, self._snapshot_to_write = [], None
        if self.hard_state != self._submitted_hard_state:
            writes.hard_state = self._submitted_hard_state = self.hard_state
        writes.entries = self.log.take_unwritten()
        return writes

    def written(self, writes: Writes) -> None:
        """Records that `writes` is durable, and releases the messages that waited for it."""
        if writes.snapshot and writes.snapshot is self.snapshot:
            self.installed_snapshot = writes.snapshot
            self.applied = max(self.applied, writes.snapshot.index)
        if writes.entries:
            last = writes.entries[-1]
            if self.log.term(last.index) == last.term:
                self.log.stable = max(self.log.stable, last.index)
        for to, message in writes.messages_after:
            if to == self.name:
                self.step(to, message)
            else:
                self.outbox.append((to, message))
        if self.role is Role.LEADER:
            self._advance_commit()

    def committed(self, max_entries: int = 1_024) -> list[Entry]:
        """Takes the next entries to apply, in order; each is returned once."""
        if self.applied < self.log.base_index:
            return []  # an installed snapshot is being written to the disk
        high = min(self.commit, self.log.stable, self.applied + max_entries)
        entries = [self.log.get(index) for index in range(self.applied + 1, high + 1)]
        self.applied = max(self.applied, high)
        return entries

    def make_snapshot(self, index: int, data: bytes) -> Snapshot:
        """Makes a snapshot of the state after `index`, which the host has applied and encoded as `data`.

        The host makes it durable and then calls `snapshot_durable`.
        """
        assert self.snapshot.index <= index <= self.applied
        term = self.log.term(index)
        assert term is not None
        return Snapshot(index, term, self.membership_at(index), data)

    def snapshot_durable(self, snapshot: Snapshot) -> None:
        """Records that the snapshot is durable, and drops entries that it covers except the latest."""
        if snapshot.index <= self.snapshot.index:
            return
        self.snapshot = snapshot
        base = max(self.log.base_index, snapshot.index - RETAINED_ENTRIES)
        while self.log.size(base + 1, snapshot.index) > RETAINED_BYTES:
            base = (base + 1 + snapshot.index) // 2
        if self.log.term(base) is not None:
            self.log.compact(base)
        later = [(at, membership) for at, membership in self._memberships if at > base]
        self._memberships = [(base, self.membership_at(base)), *later]

    # Terms and votes

    def _reset_election_timeout(self) -> None:
        self._election_timeout = ELECTION_TICKS + self._rng.randrange(ELECTION_TICKS)

    def _become_follower(self, term: int, leader: str) -> None:
        """Follows `leader` (empty: unknown) in `term`; a former leader drops its reads."""
        if term > self.term:
            self.term, self.vote = term, ""
        if self.role is Role.LEADER:
            self.dropped_reads += [token for *_, token in self._pending_reads] + self._new_reads
            self._pending_reads, self._new_reads = [], []
            self.progress = {}
        if self.role is not Role.FOLLOWER or leader:
            self._election_elapsed = 0
        self.role = Role.FOLLOWER
        self.leader = leader
        self._transfer_target = ""
        self._forced_campaign = False
        self._reset_election_timeout()

    def _rejects_candidates(self, forced: bool) -> bool:
        """Whether candidates are ignored because a leader is alive.

        `forced`: the leader itself told the candidate to campaign.
        """
        return self.has_leader and not forced

    def _campaign(self, *, pre: bool) -> None:
        """Starts a pre-vote, or an election in the next term."""
        self._election_elapsed = 0
        self._reset_election_timeout()
        self.leader = ""
        self._votes = {self.name: True} if pre else {}
        last = (self.log.last_index, self.log.last_term)
        if pre:
            # Others may have heard from the lost leader slightly later, and refuse until their own timeout. A
            # retry is harmless, because a pre-vote raises no term.
            self._election_timeout = PRE_VOTE_RETRY_TICKS + self._rng.randrange(PRE_VOTE_RETRY_TICKS)
            self.role = Role.PRE_CANDIDATE
            for name in self._other_voters():
                self.outbox.append((name, PreVote(self.term + 1, *last)))
            if self._has_majority():
                self._campaign(pre=False)
            return
        self.role = Role.CANDIDATE
        self.term += 1
        self.vote = self.name
        for name in self._other_voters():
            self._send_after_write(name, RequestVote(self.term, *last, self._forced_campaign))
        # This replica's own vote counts once it is durable, too.
        self._send_after_write(self.name, RequestVoteReply(self.term, True))

    def _other_voters(self) -> list[str]:
        return [name for name in self.membership.voters if name != self.name]

    def _has_majority(self) -> bool:
        granted = sum(self._votes.get(name, False) for name in self.membership.voters)
        return granted >= self.membership.quorum

    def _is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Whether a candidate's log is at least as up-to-date as this replica's (dissertation, 3.6.1)."""
        return (last_term, last_index) >= (self.log.last_term, self.log.last_index)

    def _on_pre_vote(self, sender: str, message: PreVote) -> None:
        if (
            self._rejects_candidates(False)
            or message.term <= self.term
            or not self._is_up_to_date(*self._log_position(message))
        ):
            self.outbox.append((sender, PreVoteReply(self.term, False)))
        else:
            self.outbox.append((sender, PreVoteReply(message.term, True)))

    @staticmethod
    def _log_position(message: PreVote | RequestVote) -> tuple[int, int]:
        return message.last_index, message.last_term

    def _on_pre_vote_reply(self, sender: str, message: PreVoteReply) -> None:
        if self.role is not Role.PRE_CANDIDATE or (message.granted and message.term != self.term + 1):
            return
        self._votes[sender] = message.granted
        if self._has_majority():
            self._campaign(pre=False)

    def _on_request_vote(self, sender: str, message: RequestVote) -> None:
        granted = (
            self.vote in ("", sender)
            and self.role is Role.FOLLOWER
            and self._is_up_to_date(*self._log_position(message))
        )
        if granted:
            self.vote = sender
            self._election_elapsed = 0
        self._send_after_write(sender, RequestVoteReply(self.term, granted))

    def _on_request_vote_reply(self, sender: str, message: RequestVoteReply) -> None:
        if self.role is not Role.CANDIDATE:
            return
        self._votes[sender] = message.granted
        if self._has_majority():
            self._become_leader()

    def _become_leader(self) -> None:
        self.role, self.leader = Role.LEADER, self.name
        self._election_elapsed = self._heartbeat_elapsed = 0
        self._forced_campaign = False
        self._transfer_target = ""
        self.progress = {}
        self._track_members()
        self._append([Entry(self.log.last_index + 1, self.term, EntryKind.NO_OP, b"")])
        self._broadcast()

    def _track_members(self) -> None:
        """Keeps one `Progress` for each other member, learners included."""
        names = [member.id for member in self.membership.members if member.id != self.name]
        # In the members' order, not a set's: a seeded simulation must be reproducible.
        self.progress = {name: self.progress.get(name) or Progress(self.log.last_index + 1) for name in names}

    def _check_quorum(self) -> None:
        """Steps down unless a quorum replied since the last check, so that clients find another leader."""
        voters = self.membership.voters
        active = sum(name == self.name or self.progress[name].recently_active for name in voters)
        for progress in self.progress.values():
            progress.recently_active = False
        if active < self.membership.quorum:
            self._become_follower(self.term, "")

    # Entries

    def _append(self, entries: list[Entry]) -> None:
        self.log.append(entries)
        for entry in entries:
            if entry.kind == EntryKind.MEMBERSHIP:
                self._memberships.append((entry.index, _membership_decoder.decode(entry.data)))

    def _propose(self, kind: EntryKind, data: bytes) -> tuple[int, int]:
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        if self._transfer_target:
            raise BusyError(f"leadership is being transferred to {self._transfer_target}")
        if self.log.last_index - self.commit >= MAX_PENDING_ENTRIES:
            raise BusyError("too many entries wait to be committed")
        if self.log.size(self.commit + 1, self.log.last_index) + len(data) > MAX_PENDING_BYTES:
            raise BusyError("too many bytes wait to be committed")
        entry = Entry(self.log.last_index + 1, self.term, kind, data)
        self._append([entry])
        return entry.index, entry.term

    def _propose_membership(self, membership: Membership) -> tuple[int, int]:
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        if self.membership_index > self.commit:
            raise BusyError("a change of the membership is under way")
        if self.log.term(self.commit) != self.term:
            raise BusyError("the leader has committed nothing of its term yet")
        position = self._propose(EntryKind.MEMBERSHIP, msgspec.msgpack.encode(membership))
        self._track_members()
        return position

    def _promote_learner(self) -> None:
        """Makes a voter of one learner that has caught up, if a membership change is possible now."""
        if (
            self._transfer_target
            or self.membership_index > self.commit
            or self.log.term(self.commit) != self.term
        ):
            return
        for member in self.membership.members:
            progress = self.progress.get(member.id)
            caught_up = (
                progress
                and progress.match > 0
                and progress.match + PROMOTION_LAG_ENTRIES >= self.log.last_index
            )
            if member.joining and caught_up and self.log.last_index - self.commit < MAX_PENDING_ENTRIES:
                self._propose_membership(self.membership.with_member(Member(member.id, member.address)))
                return

    def _broadcast(self) -> None:
        """Sends a heartbeat to every member, and repeats probes and chunks that may have been lost."""
        self._heartbeat_elapsed = 0
        for name, progress in self.progress.items():
            progress.awaiting_reply = False
            if progress.mode is Mode.REPLICATE:
                self._send_append(name, progress, empty=True)
            else:
                self._send(name, progress)

    def _send(self, name: str, progress: Progress) -> None:
        if progress.mode is Mode.SNAPSHOT:
            self._send_chunk(name, progress)
        else:
            self._send_append(name, progress)

    def _send_append(self, name: str, progress: Progress, *, empty: bool = False) -> None:
        prev_index = progress.next - 1
        prev_term = self.log.term(prev_index)
        if prev_term is None or progress.next <= self.log.base_index:
            progress.start_snapshot(self.snapshot.index)
            self._send_chunk(name, progress)
            return
        entries: tuple[Entry, ...] = ()
        if not empty and progress.next <= self.log.last_index:
            entries = self.log.slice(progress.next, self.log.last_index, MAX_APPEND_BYTES)
        if entries or progress.mode is Mode.PROBE:
            progress.record_sent(entries[-1].index if entries else prev_index)
        self.outbox.append(
            (name, AppendEntries(self.term, prev_index, prev_term, entries, self.commit, self.read_round))
        )

    def _send_chunk(self, name: str, progress: Progress) -> None:
        snapshot = self.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.start_snapshot(snapshot.index)
        data = snapshot.data[progress.snapshot_offset : progress.snapshot_offset + SNAPSHOT_CHUNK_BYTES]
        progress.awaiting_reply = True
        chunk = InstallSnapshot(
            self.term,
            snapshot.index,
            snapshot.term,
            snapshot.membership,
            progress.snapshot_offset,
            len(snapshot.data),
            data,
            self.read_round,
        )
        self.outbox.append((name, chunk))

    def _accept_leader(self, sender: str) -> None:
        """Follows the sender as the leader of the current term, and restarts the election timeout."""
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._become_follower(self.term, sender)
        self._election_elapsed = 0

    def _on_append_entries(self, sender: str, message: AppendEntries) -> None:
        assert self.role is not Role.LEADER, "two leaders in one term"
        self._accept_leader(sender)
        prev_index, read_round = message.prev_index, message.read_round
        prev_term = self.log.term(prev_index)
        if prev_index < self.log.base_index:
            # Entries up to the base index are compacted here, hence committed: the logs match up to there.
            remaining = tuple(each for each in message.entries if each.index > self.log.base_index)
            if not remaining:
                self._send_after_write(
                    sender, AppendEntriesReply(self.term, True, self.log.base_index, read_round)
                )
                return
            message = AppendEntries(
                message.term, self.log.base_index, self.log.base_term, remaining, message.commit, read_round
            )
        elif prev_term != message.prev_term:
            if prev_term is None:
                hint_index, hint_term = self.log.last_index + 1, 0
            else:
                hint_index, hint_term = self.log.first_index_of_term(prev_index), prev_term
            self._send_after_write(
                sender, AppendEntriesReply(self.term, False, prev_index, read_round, hint_index, hint_term)
            )
            return
        for position, entry in enumerate(message.entries):
            if self.log.term(entry.index) != entry.term:
                if entry.index <= self.log.last_index:
                    assert entry.index > self.commit, "a committed entry would be truncated"
                    self.log.truncate_from(entry.index)
                    self._memberships = [
                        (at, membership) for at, membership in self._memberships if at < entry.index
                    ]
                self._append(list(message.entries[position:]))
                break
        last = message.entries[-1].index if message.entries else message.prev_index
        self.commit = max(self.commit, min(message.commit, last))
        self._send_after_write(sender, AppendEntriesReply(self.term, True, last, read_round))

    def _record_reply(self, sender: str, read_round: int) -> Progress | None:
        """Records that a member replied, which may confirm reads.

        Returns None if this replica does not lead or `sender` is no member.
        """
        progress = self.progress.get(sender)
        if self.role is not Role.LEADER or progress is None:
            return None
        progress.recently_active = True
        progress.read_round = max(progress.read_round, read_round)
        self._confirm_reads()
        return progress

    def _on_append_entries_reply(self, sender: str, message: AppendEntriesReply) -> None:
        progress = self._record_reply(sender, message.read_round)
        if progress is None:
            return
        if message.ok:
            if progress.record_match(message.index):
                self._advance_commit()
                if self._transfer_target == sender:
                    self._send_timeout_now()
        elif message.index > progress.match and progress.mode is not Mode.SNAPSHOT:
            next_index = min(message.hint_index, message.index)
            if message.hint_term:
                last = self.log.last_index_of_term(message.hint_term, message.index)
                next_index = last + 1 if last is not None else message.hint_index
            progress.record_mismatch(next_index)

    def _advance_commit(self) -> None:
        """Commits what is durable on a quorum, if the last of it is an entry of the current term."""
        matches = sorted(
            self.log.stable if name == self.name else self.progress[name].match
            for name in self.membership.voters
        )
        index = matches[len(matches) - self.membership.quorum] if matches else 0
        if index > self.commit and self._may_commit(index):
            self.commit = index
            self._commit_advanced = True
        removed = not self.membership.is_voter(self.name)
        if removed and self.membership_index <= min(self.commit, self.log.stable):
            self._broadcast()
            self._become_follower(self.term, "")  # its own removal is committed
            return
        self._confirm_reads()

    def _may_commit(self, index: int) -> bool:
        """Only entries of the current term are committed by counting replicas (dissertation, 3.6.2)."""
        return self.log.term(index) == self.term

    def _send_timeout_now(self) -> None:
        """Tells the transfer target to campaign, once it has the whole log."""
        progress = self.progress.get(self._transfer_target)
        if progress is None:
            self._transfer_target = ""
        elif progress.match == self.log.last_index:
            self.outbox.append((self._transfer_target, TimeoutNow(self.term)))

    # Reads

    def _start_reads(self) -> None:
        """Starts a read round for the reads that wait for one."""
        if not self._new_reads or self.log.term(self.commit) != self.term:
            return  # until its first commit, a leader does not know what earlier leaders committed
        self.read_round += 1
        self._pending_reads += [(self.read_round, self.commit, token) for token in self._new_reads]
        self._new_reads = []
        self._broadcast()
        self._confirm_reads()

    def _confirm_reads(self) -> None:
        """Confirms the reads whose round a quorum has answered."""
        if not self._pending_reads:
            return
        read_rounds = sorted(
            self.read_round if name == self.name else self.progress[name].read_round
            for name in self.membership.voters
        )
        confirmed = read_rounds[len(read_rounds) - self.membership.quorum]
        self.confirmed_reads += [
            (token, index) for read_round, index, token in self._pending_reads if read_round <= confirmed
        ]
        self._pending_reads = [row for row in self._pending_reads if row[0] > confirmed]

    # Snapshots

    def _on_install_snapshot(self, sender: str, message: InstallSnapshot) -> None:
        assert self.role is not Role.LEADER, "two leaders in one term"
        self._accept_leader(sender)
        if message.index <= self.commit:
            self._send_after_write(
                sender, InstallSnapshotReply(self.term, message.index, 0, message.read_round, done=True)
            )
            return
        if self.log.term(message.index) == message.last_term:
            # The log holds all of it; later entries may have been acknowledged, and must be kept.
            self.commit = message.index
            self._send_after_write(
                sender, InstallSnapshotReply(self.term, message.index, 0, message.read_round, done=True)
            )
            return
        if message.total > MAX_SNAPSHOT_BYTES:
            return
        index, term, received = self._partial_snapshot
        if (index, term) != (message.index, message.last_term):
            self._partial_snapshot = (message.index, message.last_term, bytearray())
            received = self._partial_snapshot[2]
        if message.offset == len(received):
            received += message.data
        if len(received) < message.total:
            self.outbox.append(
                (sender, InstallSnapshotReply(self.term, message.index, len(received), message.read_round))
            )
            return
        self._partial_snapshot = (0, 0, bytearray())
        self.snapshot = self._snapshot_to_write = Snapshot(
            message.index, message.last_term, message.membership, bytes(received)
        )
        self.log.reset(message.index, message.last_term)
        self._memberships = [(message.index, message.membership)]
        self.commit = message.index
        self._send_after_write(
            sender,
            InstallSnapshotReply(self.term, message.index, len(received), message.read_round, done=True),
        )

    def _on_install_snapshot_reply(self, sender: str, message: InstallSnapshotReply) -> None:
        progress = self._record_reply(sender, message.read_round)
        if progress is None:
            return
        if message.done:
            if progress.record_match(message.index):
                self._advance_commit()
        elif progress.mode is Mode.SNAPSHOT and progress.snapshot_index == message.index:
            progress.snapshot_offset, progress.awaiting_reply = message.offset, False

    def _send_after_write(self, to: str, message: Message) -> None:
        """Sends the message once the current term, vote and entries are durable."""
        self._messages_after_write.append((to, message))
