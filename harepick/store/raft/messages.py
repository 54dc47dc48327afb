"""What the consensus cores say to each other, and the entries they agree on. Indices start at 1, terms at 1.

Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014): chapter 3 for votes and appends, 4 for
membership, 5 for snapshots, 6.4 for reads, 9.6 for the pre-vote. One definition is the type and the wire
(`store/wire.py`).
"""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct


class Kind(IntEnum):
    """What an entry is to the core."""

    NOTHING = 0  # a leader's first, so that it can commit what its forerunners left
    COMMAND = 1  # the state machine's, opaque here
    MEMBERSHIP = 2  # a whole `Membership`, encoded


class Entry(Struct, frozen=True, array_like=True):
    index: int
    term: int
    kind: Kind
    data: bytes


class Member(Struct, frozen=True, array_like=True):
    """One replica. `joining`: a learner that becomes a voter once it has caught up."""

    id: str
    address: str
    voter: bool = True
    joining: bool = False


class Membership(Struct, frozen=True, array_like=True):
    members: tuple[Member, ...] = ()

    def get(self, name: str) -> Member | None:
        return next((m for m in self.members if m.id == name), None)

    @property
    def voters(self) -> tuple[str, ...]:
        return tuple(m.id for m in self.members if m.voter)

    def is_voter(self, name: str) -> bool:
        return any(m.id == name and m.voter for m in self.members)

    @property
    def quorum(self) -> int:
        return len(self.voters) // 2 + 1

    def with_member(self, member: Member) -> Membership:
        kept = [m for m in self.members if m.id != member.id]
        return Membership(tuple(sorted([*kept, member], key=lambda m: m.id)))

    def without(self, name: str) -> Membership:
        return Membership(tuple(m for m in self.members if m.id != name))


class HardState(Struct, frozen=True, array_like=True):
    """What must be durable before any reply in its term."""

    term: int = 0
    vote: str = ""


class Snapshot(Struct, frozen=True):
    """The state machine's state after `index`, as the host encoded it."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    data: bytes = b""


# Messages. `term` is the sender's, but a pre-vote's is the one it would campaign in.


class PreVote(Struct, frozen=True, tag="pv", array_like=True):
    term: int
    last_index: int
    last_term: int


class PreVoteReply(Struct, frozen=True, tag="pr", array_like=True):
    term: int
    granted: bool


class Vote(Struct, frozen=True, tag="v", array_like=True):
    term: int
    last_index: int
    last_term: int
    forced: bool = False  # at the old leader's wish: stickiness does not hold it up


class VoteReply(Struct, frozen=True, tag="vr", array_like=True):
    term: int
    granted: bool


class Append(Struct, frozen=True, tag="a", array_like=True):
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int  # of reads: an answer to this or a later round confirms leadership


class AppendReply(Struct, frozen=True, tag="ar", array_like=True):
    term: int
    ok: bool
    index: int  # matched so far; or the `prev_index` that did not fit
    round: int
    hint_index: int = 0  # where the follower's conflicting term begins, or one past its end
    hint_term: int = 0


class Install(Struct, frozen=True, tag="i", array_like=True):
    """One chunk of a snapshot."""

    term: int
    index: int
    last_term: int
    membership: Membership
    offset: int
    total: int
    data: bytes
    round: int


class InstallReply(Struct, frozen=True, tag="ir", array_like=True):
    term: int
    index: int
    offset: int  # bytes held so far: the next chunk starts there
    round: int
    done: bool = False


class TimeoutNow(Struct, frozen=True, tag="tn", array_like=True):
    """The leader hands over: campaign at once."""

    term: int


Message = (
    PreVote | PreVoteReply | Vote | VoteReply | Append | AppendReply | Install | InstallReply | TimeoutNow
)
