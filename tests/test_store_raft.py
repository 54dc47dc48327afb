"""The consensus core by itself: the cases that the seeded world meets too seldom, written out."""

from __future__ import annotations

from random import Random

import pytest

from harepick.store.raft.core import BadChangeError, BusyError, NotLeaderError, Raft, Role, Writes
from harepick.store.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    HardState,
    InstallSnapshot,
    Kind,
    Member,
    Membership,
    Message,
    PreVoteReply,
    RequestVote,
    RequestVoteReply,
    Snapshot,
)
from harepick.store.raft.progress import MAX_IN_FLIGHT_APPENDS


class Cluster:
    """Cores whose messages the test lets through, and whose disks are at once."""

    def __init__(self, *names: str, raft: type[Raft] = Raft) -> None:
        self.membership = Membership(tuple(Member(n, f"127.0.0.1:{k + 1}") for k, n in enumerate(names)))
        self.rafts: dict[str, Raft] = {}
        self.down: set[str] = set()
        self.sent: list[tuple[str, str, Message]] = []
        for n, name in enumerate(names):
            self.rafts[name] = raft(name, Random(n), HardState(), Snapshot(0, 0, self.membership))

    def __getitem__(self, name: str) -> Raft:
        return self.rafts[name]

    def settle(self, rounds: int = 60) -> None:
        for _ in range(rounds):
            for name, raft in list(self.rafts.items()):
                if name in self.down:
                    continue
                raft.flush()
                while writes := raft.writes():
                    raft.written(writes)
                raft.committed()
                messages, raft.outbox = raft.outbox, []
                for to, message in messages:
                    self.sent.append((name, to, message))
                    if to in self.rafts and to not in self.down:
                        self.rafts[to].step(name, message)

    def lead(self, name: str) -> Raft:
        """Has this one campaign until it leads."""
        raft = self.rafts[name]
        for _ in range(20):
            for _ in range(40):
                raft.tick()
            self.settle()
            if raft.role is Role.LEADER:
                return raft
            for other in self.rafts.values():
                if other is not raft and other.name not in self.down:
                    other._election_elapsed = 100  # they have heard no leader for long
        raise AssertionError(f"{name} does not come to lead")

    def terms(self, name: str) -> list[int]:
        log = self.rafts[name].log
        return [log.get(n).term for n in range(log.base_index + 1, log.last_index + 1)]


def test_an_entry_is_committed_once_a_quorum_has_it() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    cluster.down = {"b", "c"}
    index, _ = leader.propose(b"x")
    cluster.settle()
    assert leader.commit < index
    cluster.down = {"c"}
    for _ in range(4):
        leader.tick()
    cluster.settle()
    assert leader.commit == index == cluster["b"].commit


class _CommitsOldTerms(Raft):
    def _may_commit(self, index: int) -> bool:
        return True


def _figure_8(raft: type[Raft]) -> Raft:
    """Figure 8 of the Raft paper: a leader finds an entry of an old term on a quorum, its own on none."""
    names = ("a", "b", "c", "d", "e")
    membership = Membership(tuple(Member(n, f"127.0.0.1:{k + 1}") for k, n in enumerate(names)))
    old = [Entry(1, 1, Kind.NO_OP, b""), Entry(2, 2, Kind.COMMAND, b"old")]
    leader = raft("a", Random(1), HardState(3, ""), Snapshot(0, 0, membership), old)
    while leader.role is Role.FOLLOWER:
        leader.tick()
    for name in ("b", "c"):
        leader.step(name, PreVoteReply(4, True))
    leader.written(leader.writes())
    for name in ("b", "c"):
        leader.step(name, RequestVoteReply(4, True))
    assert leader.role is Role.LEADER and leader.term == 4
    for name in ("b", "c"):
        leader.step(name, AppendEntriesReply(4, True, 2, 0))
    return leader


def test_an_entry_of_an_old_term_is_not_committed_by_counting_disks() -> None:
    leader = _figure_8(Raft)
    assert leader.commit == 0
    leader.written(leader.writes())
    for name in ("b", "c"):
        leader.step(name, AppendEntriesReply(4, True, 3, 0))
    assert leader.commit == 3
    assert _figure_8(_CommitsOldTerms).commit == 2, "the case does not show what it is for"


def test_a_vote_waits_for_the_disk_and_is_given_once_a_term() -> None:
    cluster = Cluster("a", "b", "c")
    voter = cluster["a"]
    voter.step("b", RequestVote(5, 0, 0))
    assert not voter.outbox, "a vote left before it was durable"
    writes = voter.writes()
    assert writes.hard_state == HardState(5, "b")
    voter.written(writes)
    assert voter.outbox == [("b", RequestVoteReply(5, True))]
    voter.outbox.clear()
    voter.step("c", RequestVote(5, 9, 4))
    voter.written(voter.writes())
    assert voter.outbox == [("c", RequestVoteReply(5, False))]


def test_a_cut_off_replica_does_not_raise_the_term_when_it_comes_back() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    cluster.down = {"c"}
    for _ in range(300):
        cluster["c"].tick()
    term = leader.term
    cluster.down = set()
    for _ in range(10):
        leader.tick()
        cluster.settle(5)
    assert leader.role is Role.LEADER and leader.term == term == cluster["c"].term


def test_a_candidate_is_turned_away_while_the_leader_is_heard() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    term = leader.term
    cluster["b"].step("c", RequestVote(term + 5, 99, term))
    assert cluster["b"].term == term
    cluster["b"].step("c", RequestVote(term + 5, 99, term, forced=True))
    assert cluster["b"].term == term + 5


def test_a_pre_vote_that_came_too_early_is_asked_for_again_soon() -> None:
    """Another had heard the lost leader a little later, and turned it away: it waited a whole time-out."""
    for seed in range(20):
        cluster = Cluster("a", "b", "c")
        cluster.lead("a")
        cluster.down = {"a"}
        b, c = cluster["b"], cluster["c"]
        c._rng = Random(seed)
        c._election_elapsed, c._election_timeout = 20, 20
        b._election_elapsed, b._election_timeout = 11, 60
        ticks = 0
        while Role.LEADER not in (b.role, c.role):
            b.tick()
            c.tick()
            cluster.settle()
            ticks += 1
            assert ticks <= 12, "it did not ask again"
        assert c.term == b.term == 2, "no term was wasted on it"


def test_a_leader_that_its_quorum_does_not_hear_steps_down_and_drops_its_reads() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    cluster.down = {"b", "c"}
    leader.read("question")
    for _ in range(40):
        leader.tick()
    cluster.settle()
    assert (
        leader.role is Role.FOLLOWER and leader.dropped_reads == ["question"] and not leader.confirmed_reads
    )
    with pytest.raises(NotLeaderError):
        leader.propose(b"x")


class _ReadsWithoutQuorum(Raft):
    def _confirm_reads(self) -> None:
        self.confirmed_reads += [(token, index) for _, index, token in self._pending_reads]
        self._pending_reads = []


def test_a_leader_that_is_cut_off_answers_no_read() -> None:
    for raft, answers in ((Raft, False), (_ReadsWithoutQuorum, True)):
        cluster = Cluster("a", "b", "c", raft=raft)
        leader = cluster.lead("a")
        cluster.down = {"b", "c"}
        leader.read("question")
        cluster.settle()
        assert bool(leader.confirmed_reads) is answers, raft


def test_a_read_needs_a_round_that_began_after_it() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    late = [m for m in cluster.sent if m[1] == "a"]
    leader.read("question")
    leader.flush()
    for sender, _, message in late:  # answers to earlier rounds say nothing
        leader.step(sender, message)
    assert not leader.confirmed_reads
    cluster.settle()
    assert leader.confirmed_reads == [("question", leader.commit)]


def test_a_follower_far_behind_is_found_again_with_few_messages() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    cluster.down = {"c"}
    for n in range(500):
        leader.propose(b"%d" % n)
        if n % 50 == 0:
            cluster.settle(3)
    cluster.settle()
    # c has a tail of its own, of a term that no one else knows.
    tail = [Entry(n, 1, Kind.COMMAND, b"own") for n in range(cluster["c"].log.last_index + 1, 200)]
    cluster["c"].log.append(tail)
    cluster.down = set()
    cluster.sent.clear()
    for _ in range(8):
        leader.tick()
        cluster.settle(10)
    assert cluster["c"].log.last_index == leader.log.last_index
    assert cluster.terms("c") == cluster.terms("a")
    probes = [m for s, to, m in cluster.sent if to == "c" and isinstance(m, AppendEntries) and m.entries]
    assert len(probes) < 40


def test_flight_is_bounded_towards_one_that_does_not_answer() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    cluster.settle()
    cluster.down = {"c"}
    for n in range(300):
        leader.propose(b"%d" % n)
        cluster.settle(2)
    on_the_way = [m for s, to, m in cluster.sent if to == "c" and isinstance(m, AppendEntries) and m.entries]
    assert len(on_the_way) <= MAX_IN_FLIGHT_APPENDS + 2
    with pytest.raises(BusyError):
        for _ in range(10_000):
            leader.propose(b"x")


def _compacted(cluster: Cluster, leader: Raft, data: bytes) -> None:
    snapshot = leader.compact(leader.applied, data)
    leader.compacted(snapshot)
    leader.log.compact(snapshot.index)


def test_a_snapshot_goes_in_chunks_and_resumes_where_it_broke_off() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    cluster.down = {"c"}
    for n in range(20):
        leader.propose(b"%d" % n)
    cluster.settle()
    data = Random(3).randbytes(1_000_000)
    _compacted(cluster, leader, data)
    cluster.down = set()
    for _ in range(4):
        leader.tick()
    leader.flush()
    follower, offsets = cluster["c"], []
    for _ in range(200):
        messages, leader.outbox = leader.outbox, []
        for to, message in messages:
            if to != "c":
                continue
            if isinstance(message, InstallSnapshot):
                offsets.append(message.offset)
                if len(offsets) == 3:
                    continue  # lost
            follower.step("a", message)
        writes = follower.writes()
        follower.written(writes)
        replies, follower.outbox = follower.outbox, []
        for _, reply in replies:
            leader.step("c", reply)
        leader.tick()
        leader.flush()
        if follower.installed_snapshot:
            break
    assert follower.installed_snapshot is not None and follower.installed_snapshot.data == data
    assert offsets.count(0) <= 2 and len(set(offsets)) == 8, offsets
    leader.propose(b"goes on")
    follower.installed_snapshot = None
    cluster.settle()
    assert follower.commit == leader.commit


def test_entries_behind_a_snapshot_that_were_acknowledged_stay() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    for n in range(10):
        leader.propose(b"%d" % n)
    cluster.settle()
    follower = cluster["c"]
    last = follower.log.last_index
    follower.commit = follower.applied = 3
    term = follower.log.term(5)
    assert term is not None
    follower.step("a", InstallSnapshot(leader.term, 5, term, cluster.membership, 0, 3, b"abc", 0))
    assert follower.log.last_index == last and follower.commit == 5


def test_a_new_replica_learns_first_and_then_votes() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    for n in range(200):
        leader.propose(b"%d" % n)
        cluster.settle(2)
    leader.add("d", "127.0.0.1:9")
    assert not leader.membership.is_voter("d") and leader.membership.quorum == 2
    cluster.settle()
    assert not leader.membership.is_voter("d"), "promoted though it has not caught up"
    with pytest.raises(BadChangeError):
        leader.add("d", "127.0.0.1:9")
    cluster.rafts["d"] = Raft("d", Random(9), HardState(), Snapshot())
    for _ in range(10):
        leader.tick()
        cluster.settle(10)
    assert leader.membership.is_voter("d") and cluster["d"].membership.is_voter("d")
    assert leader.membership.quorum == 3


def test_one_change_of_members_at_a_time() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    cluster.down = {"b", "c"}
    leader.remove("c")
    with pytest.raises(BusyError):
        leader.remove("b")


def test_a_leader_that_is_removed_sees_it_through_and_goes() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    leader.remove("a")
    cluster.settle()
    assert leader.role is Role.FOLLOWER
    for _ in range(200):
        leader.tick()
    assert leader.role is Role.FOLLOWER, "a removed replica campaigns"
    again = cluster.lead("b")
    assert again.membership.voters == ("b", "c")
    with pytest.raises(BadChangeError):
        Cluster("x").lead("x").remove("x")


def test_the_leader_dies_in_a_change_of_members_and_the_next_undoes_or_finishes_it() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    cluster.down = {"b", "c"}
    leader.remove("c")  # nobody else has heard of it
    cluster.settle()
    cluster.down = {"a"}
    following = cluster.lead("b")
    assert following.membership.voters == ("a", "b", "c")
    cluster.down = set()
    for _ in range(20):
        following.tick()
        cluster.settle(5)
    assert cluster["a"].membership.voters == ("a", "b", "c"), "the cut off change still holds"


def test_leadership_is_handed_over_at_once() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    leader.propose(b"x")
    leader.transfer("c")
    with pytest.raises(BusyError):
        leader.propose(b"y")
    cluster.settle()
    assert cluster["c"].role is Role.LEADER and leader.role is Role.FOLLOWER
    cluster["c"].transfer("b")
    cluster.down = {"b"}
    for _ in range(20):
        cluster["c"].tick()
        cluster["a"].tick()
    cluster.settle()
    cluster["c"].propose(b"z")  # the target did not come: it goes on


def test_messages_of_no_sense_change_nothing() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    before = (leader.term, leader.commit, leader.log.last_index)
    for message in [m for *_, m in cluster.sent]:
        for sender in ("b", "c", "stranger"):
            if not isinstance(message, AppendEntries | InstallSnapshot):
                leader.step(sender, message)
    cluster.settle()
    assert (leader.term, leader.commit) == before[:2] and leader.role is Role.LEADER


def test_the_disk_gets_each_entry_once_and_in_order() -> None:
    cluster = Cluster("a")
    raft = cluster["a"]
    for _ in range(40):
        raft.tick()
    writes: Writes = raft.writes()
    assert writes.hard_state and raft.role is Role.CANDIDATE, "leads before its own vote is durable"
    raft.written(writes)
    raft.propose(b"x")
    first = raft.writes()
    raft.propose(b"y")
    second = raft.writes()
    assert [e.index for e in first.entries + second.entries] == [1, 2, 3]
    assert raft.commit == 0
    raft.written(first)
    raft.written(second)
    assert raft.commit == 3
