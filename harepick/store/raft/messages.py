"""Messages between the consensus cores, and the log entries that they replicate.

Indices and terms start at 1.

Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014): chapter 3 for elections and log replication,
chapter 4 for membership changes, chapter 5 for snapshots, section 6.4 for linearizable reads and section 9.6
for pre-votes. These types are also the wire format (`store/wire.py`).
"""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct


class EntryKind(IntEnum):
    """The kind of a log entry."""

    NO_OP = 0  # a new leader's first entry, so that it can commit the entries of earlier terms
    COMMAND = 1  # a command of the state machine, opaque to the consensus core
    MEMBERSHIP = 2  # a complete `Membership`, encoded


class Entry(Struct, frozen=True, array_like=True):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


class Member(Struct, frozen=True, array_like=True):
    """One replica of the cluster; `joining` marks a learner that becomes a voter once it has caught up."""

    id: str
    address: str
    voter: bool = True
    joining: bool = False


class Membership(Struct, frozen=True, array_like=True):
    """The members of the cluster, voters and learners."""

    members: tuple[Member, ...] = ()

    def get(self, name: str) -> Member | None:
        """The member of this name, or None."""
        return next((member for member in self.members if member.id == name), None)

    @property
    def voters(self) -> tuple[str, ...]:
        """The names of the voters."""
        return tuple(member.id for member in self.members if member.voter)

    def is_voter(self, name: str) -> bool:
        """Whether the member of this name exists and votes."""
        return any(member.id == name and member.voter for member in self.members)

    @property
    def quorum(self) -> int:
        """The number of voters in a majority."""
        return len(self.voters) // 2 + 1

    def with_member(self, member: Member) -> Membership:
        """A copy with `member` added or replaced; members are kept sorted by name."""
        others = [other for other in self.members if other.id != member.id]
        return Membership(tuple(sorted([*others, member], key=lambda each: each.id)))

    def without(self, name: str) -> Membership:
        """A copy without the member of this name."""
        return Membership(tuple(member for member in self.members if member.id != name))


class HardState(Struct, frozen=True, array_like=True):
    """The term and the vote in it; must be durable before any reply in that term."""

    term: int = 0
    vote: str = ""


class Snapshot(Struct, frozen=True):
    """The state after the entry at `index`; `data` is the state machine's, as the host encoded it."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    data: bytes = b""


# Messages. `term` is the sender's term; in a pre-vote it is the term that the sender would campaign in.


class PreVote(Struct, frozen=True, tag="pv", array_like=True):
    """Asks whether a vote would be granted, without raising the term."""

    term: int
    last_index: int
    last_term: int


class PreVoteReply(Struct, frozen=True, tag="pr", array_like=True):
    """Answers a pre-vote; if granted, `term` is the term of the request."""

    term: int
    granted: bool


class RequestVote(Struct, frozen=True, tag="v", array_like=True):
    """A candidate asks for a vote."""

    term: int
    last_index: int
    last_term: int
    forced: bool = False  # the leader handed over: not ignored although a leader is known


class RequestVoteReply(Struct, frozen=True, tag="vr", array_like=True):
    """Answers a vote request."""

    term: int
    granted: bool


class AppendEntries(Struct, frozen=True, tag="a", array_like=True):
    """The leader's entries after `prev_index`; without entries, a heartbeat or a probe."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    read_round: int  # a reply with this or a later read round confirms the leader's leadership


class AppendEntriesReply(Struct, frozen=True, tag="ar", array_like=True):
    """Answers entries: how far the logs match, or where they conflict."""

    term: int
    ok: bool
    index: int  # the last matching index; if not ok, the `prev_index` that conflicted
    read_round: int
    hint_index: int = 0  # where the follower's conflicting term begins, or one past the end of its log
    hint_term: int = 0


class InstallSnapshot(Struct, frozen=True, tag="i", array_like=True):
    """One chunk of a snapshot; `offset` and `total` are in bytes."""

    term: int
    index: int
    last_term: int
    membership: Membership
    offset: int
    total: int
    data: bytes
    read_round: int


class InstallSnapshotReply(Struct, frozen=True, tag="ir", array_like=True):
    """Answers a chunk of a snapshot."""

    term: int
    index: int
    offset: int  # bytes received so far: the next chunk starts there
    read_round: int
    done: bool = False


class TimeoutNow(Struct, frozen=True, tag="tn", array_like=True):
    """The leader hands leadership over: the receiver campaigns at once."""

    term: int


Message = (
    PreVote
    | PreVoteReply
    | RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotReply
    | TimeoutNow
)
