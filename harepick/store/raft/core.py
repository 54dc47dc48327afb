"""The consensus core of one replica: `step`, `tick`, `propose` in; messages, writes and committed entries
out.

Pure: time is counted in ticks that the host gives, chance comes from the `Random` handed in. The host's
duties: call `flush` after each turn of inputs; send `outbox` at once; have `writes()` made durable, one
after another, and only then call `written`, which puts what had to wait for the disk into `outbox`; apply
`committed()` in order.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

import msgspec

from harepick.store.raft.log import Log
from harepick.store.raft.messages import (
    Append,
    AppendReply,
    Entry,
    HardState,
    Install,
    InstallReply,
    Kind,
    Member,
    Membership,
    Message,
    PreVote,
    PreVoteReply,
    Snapshot,
    TimeoutNow,
    Vote,
    VoteReply,
)
from harepick.store.raft.progress import Mode, Progress

HEARTBEAT = 3  # ticks between two of a leader's
ELECTION = 15  # ticks of silence before a campaign, and up to as many more by chance
AGAIN = 5  # ticks until a pre-vote that found no majority is asked for again, and up to as many more
BATCH = 256 * 1024  # bytes of entries in one append
CHUNK = 128 * 1024  # bytes of a snapshot in one message
MAX_SNAPSHOT = 512 * 1024 * 1024
MAX_PENDING = 4_096  # entries proposed and not yet committed
MAX_PENDING_BYTES = 32 * 1024 * 1024
MAX_READS = 4_096
CAUGHT_UP = 64  # a learner with so few entries to go becomes a voter
KEPT = 2_000  # entries kept behind a snapshot, for followers a little behind
KEPT_BYTES = 16 * 1024 * 1024

_membership = msgspec.msgpack.Decoder(Membership)


class Role(Enum):
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class NotLeaderError(Exception):
    """Only a leader can do that; `leader` may be known."""

    def __init__(self, leader: str) -> None:
        super().__init__(f"not the leader; {leader or 'none'} is")
        self.leader = leader


class BusyError(Exception):
    """The leader can't take that now; nothing was changed."""


class BadChangeError(ValueError):
    """A change of the membership that makes no sense."""


@dataclass
class Writes:
    """What the disk has to make durable, in one go; messages that wait for it."""

    hard: HardState | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    after: list[tuple[str, Message]] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.hard or self.entries or self.snapshot or self.after)


class Raft:
    def __init__(
        self,
        name: str,
        rng: Random,
        hard: HardState,
        snapshot: Snapshot,
        entries: Iterable[Entry] = (),
    ) -> None:
        self.name = name
        self._rng = rng
        self.term, self.vote = hard.term, hard.vote
        self._hard_written = hard
        self.snapshot = snapshot
        self.log = Log(snapshot.index, snapshot.term)
        self._memberships: list[tuple[int, Membership]] = [(snapshot.index, snapshot.membership)]
        self._append([e for e in entries if e.index > snapshot.index])
        self.log.stable = self.log.handed = self.log.last_index
        self.commit = self.applied = snapshot.index
        self.role = Role.FOLLOWER
        self.leader = ""
        self.progress: dict[str, Progress] = {}
        self.round = 0
        self.outbox: list[tuple[str, Message]] = []
        self.reads: list[tuple[object, int]] = []  # confirmed: the token and its index
        self.restored: Snapshot | None = None  # the host takes this state over, and then sets None
        self.dropped: list[object] = []  # tokens of reads that this leader can't answer any more
        self._after: list[tuple[str, Message]] = []
        self._installing: Snapshot | None = None
        self._incoming: tuple[int, int, bytearray] = (0, 0, bytearray())
        self._votes: dict[str, bool] = {}
        self._waiting: list[tuple[int, int, object]] = []  # round, index and token of reads
        self._new_reads: list[object] = []
        self._news = False  # the commit index has moved and nobody was told
        self._forced = False
        self._transfer = ""
        self._transfer_ticks = 0
        self._silence = 0  # ticks since the leader was heard, or since a leader last checked its quorum
        self._beat = 0
        self._timeout = 0
        self._draw()
        if self.membership.voters == (name,):
            self._timeout = 1  # nobody else to hear of

    # What can be asked

    @property
    def membership(self) -> Membership:
        """The latest in the log, committed or not, as membership holds from its append on."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        return self._memberships[-1][0]

    @property
    def hard(self) -> HardState:
        return HardState(self.term, self.vote)

    def membership_at(self, index: int) -> Membership:
        return next(m for at, m in reversed(self._memberships) if at <= index)

    @property
    def committed_membership(self) -> tuple[int, Membership]:
        """The latest that is committed here, and the entry that it came with or was compacted to."""
        return next(row for row in reversed(self._memberships) if row[0] <= self.commit)

    @property
    def led(self) -> bool:
        """A leader was heard of lately, or this is one that its quorum hears."""
        return self.role is Role.LEADER or (self.leader != "" and self._silence < ELECTION)

    # Inputs

    def tick(self) -> None:
        self._silence += 1
        if self.role is Role.LEADER:
            self._beat += 1
            if self._silence >= ELECTION:
                self._silence = 0
                self._check_quorum()
            if self._transfer:
                self._transfer_ticks += 1
                if self._transfer_ticks >= ELECTION:
                    self._transfer = ""
            if self.role is Role.LEADER and self._beat >= HEARTBEAT:
                self._broadcast()
        elif self._silence >= self._timeout and self.membership.is_voter(self.name):
            self._campaign(pre=True)

    def propose(self, data: bytes) -> tuple[int, int]:
        """Index and term that the entry has if it is ever committed."""
        return self._propose(Kind.COMMAND, data)

    def add(self, name: str, address: str) -> tuple[int, int]:
        """A new replica, as a learner; it becomes a voter by itself once it has caught up."""
        if self.membership.get(name):
            raise BadChangeError(f"replica {name} is a member already")
        return self._change(self.membership.with_member(Member(name, address, voter=False, joining=True)))

    def remove(self, name: str) -> tuple[int, int]:
        if not self.membership.get(name):
            raise BadChangeError(f"replica {name} is no member")
        if self.membership.voters == (name,):
            raise BadChangeError(f"replica {name} is the only voter")
        return self._change(self.membership.without(name))

    def transfer(self, name: str) -> None:
        """Hands leadership over; a follower notices by its being asked to campaign."""
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        if not self.membership.is_voter(name):
            raise BadChangeError(f"replica {name} is no voter")
        if name == self.name:
            return
        self._transfer, self._transfer_ticks = name, 0
        self._hand_over()

    def read(self, token: object) -> None:
        """Answered in `reads` once a quorum has confirmed, in a round begun after this, that we lead."""
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        if len(self._waiting) + len(self._new_reads) >= MAX_READS:
            raise BusyError("too many reads wait")
        self._new_reads.append(token)

    def step(self, sender: str, message: Message) -> None:
        """A message of another replica. Anything may come late, twice or out of order."""
        if isinstance(message, PreVote):
            self._on_pre_vote(sender, message)
            return
        if message.term > self.term:
            if isinstance(message, PreVoteReply) and message.granted:
                pass  # it names the term that we would campaign in
            elif isinstance(message, Vote) and self._sticks(message.forced):
                return
            else:
                led = isinstance(message, Append | Install)
                self._follow(message.term, sender if led else "")
        elif message.term < self.term:
            if isinstance(message, Append | Install):  # a leader of the past: told the term, it steps down
                self._later(sender, AppendReply(self.term, False, 0, 0))
            elif isinstance(message, Vote):
                self._later(sender, VoteReply(self.term, False))
            return
        match message:
            case Vote():
                self._on_vote(sender, message)
            case PreVoteReply():
                self._on_pre_vote_reply(sender, message)
            case VoteReply():
                self._on_vote_reply(sender, message)
            case Append():
                self._on_append(sender, message)
            case AppendReply():
                self._on_append_reply(sender, message)
            case Install():
                self._on_install(sender, message)
            case InstallReply():
                self._on_install_reply(sender, message)
            case TimeoutNow():
                if self.membership.is_voter(self.name) and self.role is Role.FOLLOWER:
                    self._forced = True
                    self._campaign(pre=False)

    # Outputs

    def flush(self) -> None:
        """Sends what has gathered: entries to those with room in flight, a round for new reads."""
        if self.role is not Role.LEADER:
            return
        self._start_reads()
        for name, progress in self.progress.items():
            while progress.open and (
                progress.mode is Mode.SNAPSHOT or progress.next <= self.log.last_index or progress.match == 0
            ):
                before = (progress.next, progress.waiting)
                self._send(name, progress)
                if (progress.next, progress.waiting) == before:
                    break
        if self._news:  # adoption waits for it: not left to the next heartbeat
            self._news = False
            self._broadcast()
        self._promote()

    def writes(self) -> Writes:
        """What the disk has to do next; each is to be made durable before the following one is asked for."""
        writes = Writes(after=self._after, snapshot=self._installing)
        self._after, self._installing = [], None
        if self.hard != self._hard_written:
            writes.hard = self._hard_written = self.hard
        writes.entries = self.log.unwritten()
        return writes

    def written(self, writes: Writes) -> None:
        """The disk has it all."""
        if writes.snapshot and writes.snapshot is self.snapshot:
            self.restored = writes.snapshot
            self.applied = max(self.applied, writes.snapshot.index)
        if writes.entries:
            last = writes.entries[-1]
            if self.log.term(last.index) == last.term:
                self.log.stable = max(self.log.stable, last.index)
        for to, message in writes.after:
            if to == self.name:
                self.step(to, message)
            else:
                self.outbox.append((to, message))
        if self.role is Role.LEADER:
            self._advance()

    def committed(self, most: int = 1_024) -> list[Entry]:
        """The next entries to apply, in order; each is given once."""
        if self.applied < self.log.base_index:
            return []  # an installed snapshot is on its way to the disk
        high = min(self.commit, self.log.stable, self.applied + most)
        entries = [self.log.get(n) for n in range(self.applied + 1, high + 1)]
        self.applied = max(self.applied, high)
        return entries

    def compact(self, index: int, data: bytes) -> Snapshot:
        """The host has encoded the state after `index`, which was applied; it is to be made durable by
        itself."""
        assert self.snapshot.index <= index <= self.applied
        term = self.log.term(index)
        assert term is not None
        return Snapshot(index, term, self.membership_at(index), data)

    def compacted(self, snapshot: Snapshot) -> None:
        """That snapshot is durable: entries well behind it go."""
        if snapshot.index <= self.snapshot.index:
            return
        self.snapshot = snapshot
        keep = max(self.log.base_index, snapshot.index - KEPT)
        while self.log.size(keep + 1, snapshot.index) > KEPT_BYTES:
            keep = (keep + 1 + snapshot.index) // 2
        if self.log.term(keep) is not None:
            self.log.compact(keep)
        later = [(at, m) for at, m in self._memberships if at > keep]
        self._memberships = [(keep, self.membership_at(keep)), *later]

    # Terms and votes

    def _draw(self) -> None:
        self._timeout = ELECTION + self._rng.randrange(ELECTION)

    def _follow(self, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
        if self.role is Role.LEADER:
            self.dropped += [token for *_, token in self._waiting] + self._new_reads
            self._waiting, self._new_reads = [], []
            self.progress = {}
        if self.role is not Role.FOLLOWER or leader:
            self._silence = 0
        self.role = Role.FOLLOWER
        self.leader = leader
        self._transfer = ""
        self._forced = False
        self._draw()

    def _sticks(self, forced: bool) -> bool:
        """Whether a leader is heard well enough to turn candidates away."""
        return self.led and not forced

    def _campaign(self, *, pre: bool) -> None:
        self._silence = 0
        self._draw()
        self.leader = ""
        self._votes = {self.name: True} if pre else {}
        last = (self.log.last_index, self.log.last_term)
        if pre:
            # Others may have heard the lost leader a little later, and turn this one away for so long. Asking
            # again costs them nothing: no term moves.
            self._timeout = AGAIN + self._rng.randrange(AGAIN)
            self.role = Role.PRE_CANDIDATE
            for name in self._others():
                self.outbox.append((name, PreVote(self.term + 1, *last)))
            if self._won():
                self._campaign(pre=False)
            return
        self.role = Role.CANDIDATE
        self.term += 1
        self.vote = self.name
        for name in self._others():
            self._later(name, Vote(self.term, *last, self._forced))
        self._later(self.name, VoteReply(self.term, True))  # our own counts once it is durable

    def _others(self) -> list[str]:
        return [name for name in self.membership.voters if name != self.name]

    def _won(self) -> bool:
        granted = sum(self._votes.get(name, False) for name in self.membership.voters)
        return granted >= self.membership.quorum

    def _fresh(self, last_index: int, last_term: int) -> bool:
        """Whether a candidate's log is no older than ours."""
        return (last_term, last_index) >= (self.log.last_term, self.log.last_index)

    def _on_pre_vote(self, sender: str, message: PreVote) -> None:
        if self._sticks(False) or message.term <= self.term or not self._fresh(*self._last(message)):
            self.outbox.append((sender, PreVoteReply(self.term, False)))
        else:
            self.outbox.append((sender, PreVoteReply(message.term, True)))

    @staticmethod
    def _last(message: PreVote | Vote) -> tuple[int, int]:
        return message.last_index, message.last_term

    def _on_pre_vote_reply(self, sender: str, message: PreVoteReply) -> None:
        if self.role is not Role.PRE_CANDIDATE or (message.granted and message.term != self.term + 1):
            return
        self._votes[sender] = message.granted
        if self._won():
            self._campaign(pre=False)

    def _on_vote(self, sender: str, message: Vote) -> None:
        granted = (
            self.vote in ("", sender) and self.role is Role.FOLLOWER and self._fresh(*self._last(message))
        )
        if granted:
            self.vote = sender
            self._silence = 0
        self._later(sender, VoteReply(self.term, granted))

    def _on_vote_reply(self, sender: str, message: VoteReply) -> None:
        if self.role is not Role.CANDIDATE:
            return
        self._votes[sender] = message.granted
        if self._won():
            self._lead()

    def _lead(self) -> None:
        self.role, self.leader = Role.LEADER, self.name
        self._silence = self._beat = 0
        self._forced = False
        self._transfer = ""
        self.progress = {}
        self._track()
        self._append([Entry(self.log.last_index + 1, self.term, Kind.NOTHING, b"")])
        self._broadcast()

    def _track(self) -> None:
        """One `Progress` for each other member, learners as well."""
        names = [m.id for m in self.membership.members if m.id != self.name]
        # In the members' order: what a seed plays must not hang on a set's.
        self.progress = {n: self.progress.get(n) or Progress(self.log.last_index + 1) for n in names}

    def _check_quorum(self) -> None:
        """A leader that its quorum does not hear steps down: its clients must look for another."""
        voters = self.membership.voters
        heard = sum(name == self.name or self.progress[name].active for name in voters)
        for progress in self.progress.values():
            progress.active = False
        if heard < self.membership.quorum:
            self._follow(self.term, "")

    # Entries

    def _append(self, entries: list[Entry]) -> None:
        self.log.append(entries)
        for entry in entries:
            if entry.kind == Kind.MEMBERSHIP:
                self._memberships.append((entry.index, _membership.decode(entry.data)))

    def _propose(self, kind: Kind, data: bytes) -> tuple[int, int]:
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        if self._transfer:
            raise BusyError(f"leadership goes to {self._transfer}")
        if self.log.last_index - self.commit >= MAX_PENDING:
            raise BusyError("too many entries wait to be committed")
        if self.log.size(self.commit + 1, self.log.last_index) + len(data) > MAX_PENDING_BYTES:
            raise BusyError("too many bytes wait to be committed")
        entry = Entry(self.log.last_index + 1, self.term, kind, data)
        self._append([entry])
        return entry.index, entry.term

    def _change(self, membership: Membership) -> tuple[int, int]:
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        if self.membership_index > self.commit:
            raise BusyError("a change of the membership is under way")
        if self.log.term(self.commit) != self.term:
            raise BusyError("the leader has committed nothing of its term yet")
        at = self._propose(Kind.MEMBERSHIP, msgspec.msgpack.encode(membership))
        self._track()
        return at

    def _promote(self) -> None:
        if self._transfer or self.membership_index > self.commit or self.log.term(self.commit) != self.term:
            return
        for member in self.membership.members:
            progress = self.progress.get(member.id)
            near = progress and progress.match > 0 and progress.match + CAUGHT_UP >= self.log.last_index
            if member.joining and near and self.log.last_index - self.commit < MAX_PENDING:
                self._change(self.membership.with_member(Member(member.id, member.address)))
                return

    def _broadcast(self) -> None:
        """A heartbeat to everyone; it also tries again what was lost on the way."""
        self._beat = 0
        for name, progress in self.progress.items():
            progress.waiting = False
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
        prev = progress.next - 1
        prev_term = self.log.term(prev)
        if prev_term is None or progress.next <= self.log.base_index:
            progress.start_snapshot(self.snapshot.index)
            self._send_chunk(name, progress)
            return
        entries: tuple[Entry, ...] = ()
        if not empty and progress.next <= self.log.last_index:
            entries = self.log.slice(progress.next, self.log.last_index, BATCH)
        if entries or progress.mode is Mode.PROBE:
            progress.sent(entries[-1].index if entries else prev)
        self.outbox.append((name, Append(self.term, prev, prev_term, entries, self.commit, self.round)))

    def _send_chunk(self, name: str, progress: Progress) -> None:
        snapshot = self.snapshot
        if progress.snapshot != snapshot.index:
            progress.start_snapshot(snapshot.index)
        data = snapshot.data[progress.offset : progress.offset + CHUNK]
        progress.waiting = True
        chunk = Install(
            self.term,
            snapshot.index,
            snapshot.term,
            snapshot.membership,
            progress.offset,
            len(snapshot.data),
            data,
            self.round,
        )
        self.outbox.append((name, chunk))

    def _heard(self, sender: str) -> None:
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._follow(self.term, sender)
        self._silence = 0

    def _on_append(self, sender: str, message: Append) -> None:
        assert self.role is not Role.LEADER, "two leaders in one term"
        self._heard(sender)
        prev, rounds = message.prev_index, message.round
        held = self.log.term(prev)
        if prev < self.log.base_index:
            # What it starts from is in our snapshot, and so committed: we match up to there.
            kept = tuple(e for e in message.entries if e.index > self.log.base_index)
            if not kept:
                self._later(sender, AppendReply(self.term, True, self.log.base_index, rounds))
                return
            message = Append(
                message.term, self.log.base_index, self.log.base_term, kept, message.commit, rounds
            )
        elif held != message.prev_term:
            if held is None:
                hint, hint_term = self.log.last_index + 1, 0
            else:
                hint, hint_term = self.log.first_of_term(prev), held
            self._later(sender, AppendReply(self.term, False, prev, rounds, hint, hint_term))
            return
        for n, entry in enumerate(message.entries):
            if self.log.term(entry.index) != entry.term:
                if entry.index <= self.log.last_index:
                    assert entry.index > self.commit, "a committed entry would be cut off"
                    self.log.cut(entry.index)
                    self._memberships = [(at, m) for at, m in self._memberships if at < entry.index]
                self._append(list(message.entries[n:]))
                break
        last = message.entries[-1].index if message.entries else message.prev_index
        self.commit = max(self.commit, min(message.commit, last))
        self._later(sender, AppendReply(self.term, True, last, rounds))

    def _replied(self, sender: str, at_round: int) -> Progress | None:
        """A follower's reply shows that it is there, and confirms reads; None if it is not ours to hear."""
        progress = self.progress.get(sender)
        if self.role is not Role.LEADER or progress is None:
            return None
        progress.active = True
        progress.round = max(progress.round, at_round)
        self._confirm()
        return progress

    def _on_append_reply(self, sender: str, message: AppendReply) -> None:
        progress = self._replied(sender, message.round)
        if progress is None:
            return
        if message.ok:
            if progress.matched(message.index):
                self._advance()
                if self._transfer == sender:
                    self._hand_over()
        elif message.index > progress.match and progress.mode is not Mode.SNAPSHOT:
            following = min(message.hint_index, message.index)
            if message.hint_term:
                met = self.log.last_with_term(message.hint_term, message.index)
                following = met + 1 if met is not None else message.hint_index
            progress.missed(following)

    def _advance(self) -> None:
        """Commits what a quorum has on its disks, if an entry of this term is among it."""
        matches = sorted(
            self.log.stable if name == self.name else self.progress[name].match
            for name in self.membership.voters
        )
        index = matches[len(matches) - self.membership.quorum] if matches else 0
        if index > self.commit and self._may_commit(index):
            self.commit = index
            self._news = True
        removed = not self.membership.is_voter(self.name)
        if removed and self.membership_index <= min(self.commit, self.log.stable):
            self._broadcast()
            self._follow(self.term, "")  # it has seen its own removal through
            return
        self._confirm()

    def _may_commit(self, index: int) -> bool:
        return self.log.term(index) == self.term

    def _hand_over(self) -> None:
        progress = self.progress.get(self._transfer)
        if progress is None:
            self._transfer = ""
        elif progress.match == self.log.last_index:
            self.outbox.append((self._transfer, TimeoutNow(self.term)))

    # Reads

    def _start_reads(self) -> None:
        if not self._new_reads or self.log.term(self.commit) != self.term:
            return  # before its first commit a leader does not know what its forerunners had committed
        self.round += 1
        self._waiting += [(self.round, self.commit, token) for token in self._new_reads]
        self._new_reads = []
        self._broadcast()
        self._confirm()

    def _confirm(self) -> None:
        if not self._waiting:
            return
        rounds = sorted(
            self.round if name == self.name else self.progress[name].round for name in self.membership.voters
        )
        confirmed = rounds[len(rounds) - self.membership.quorum]
        self.reads += [(token, index) for at, index, token in self._waiting if at <= confirmed]
        self._waiting = [row for row in self._waiting if row[0] > confirmed]

    # Snapshots

    def _on_install(self, sender: str, message: Install) -> None:
        assert self.role is not Role.LEADER, "two leaders in one term"
        self._heard(sender)
        if message.index <= self.commit:
            self._later(sender, InstallReply(self.term, message.index, 0, message.round, done=True))
            return
        if self.log.term(message.index) == message.last_term:
            # We hold all of it as entries; those behind it may have been acknowledged, and stay.
            self.commit = message.index
            self._later(sender, InstallReply(self.term, message.index, 0, message.round, done=True))
            return
        if message.total > MAX_SNAPSHOT:
            return
        index, term, held = self._incoming
        if (index, term) != (message.index, message.last_term):
            self._incoming = (message.index, message.last_term, bytearray())
            held = self._incoming[2]
        if message.offset == len(held):
            held += message.data
        if len(held) < message.total:
            self.outbox.append((sender, InstallReply(self.term, message.index, len(held), message.round)))
            return
        self._incoming = (0, 0, bytearray())
        self.snapshot = self._installing = Snapshot(
            message.index, message.last_term, message.membership, bytes(held)
        )
        self.log.reset(message.index, message.last_term)
        self._memberships = [(message.index, message.membership)]
        self.commit = message.index
        self._later(sender, InstallReply(self.term, message.index, len(held), message.round, done=True))

    def _on_install_reply(self, sender: str, message: InstallReply) -> None:
        progress = self._replied(sender, message.round)
        if progress is None:
            return
        if message.done:
            if progress.matched(message.index):
                self._advance()
        elif progress.mode is Mode.SNAPSHOT and progress.snapshot == message.index:
            progress.offset, progress.waiting = message.offset, False

    def _later(self, to: str, message: Message) -> None:
        """Sent once the term, the vote and the entries of now are durable."""
        self._after.append((to, message))
