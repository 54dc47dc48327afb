"""The Raft consensus core alone: cases that the simulation in `benchmarks/store_model.py` rarely meets."""

from __future__ import annotations

from random import Random

import pytest

from harepick.store.raft.core import BadChangeError, BusyError, NotLeaderError, Raft, Role, Writes
from harepick.store.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    EntryKind,
    HardState,
    InstallSnapshot,
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
    """Consensus cores that exchange messages when the test says so; disk writes complete at once."""

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
        """Runs rounds of disk writes, applying and message delivery on the replicas that are not down."""
        for _ in range(rounds):
            for name, raft in list(self.rafts.items()):
                if name in self.down:
                    continue
                raft.flush()
                while writes := raft.take_writes():
                    raft.written(writes)
                raft.committed()
                messages, raft.outbox = raft.outbox, []
                for to, message in messages:
                    self.sent.append((name, to, message))
                    if to in self.rafts and to not in self.down:
                        self.rafts[to].step(name, message)

    def lead(self, name: str) -> Raft:
        """Lets this replica campaign until it leads."""
        raft = self.rafts[name]
        for _ in range(20):
            for _ in range(40):
                raft.tick()
            self.settle()
            if raft.role is Role.LEADER:
                return raft
            for other in self.rafts.values():
                if other is not raft and other.name not in self.down:
                    other._election_elapsed = 100  # they have not heard from a leader for long
        raise AssertionError(f"{name} does not become the leader")

    def terms(self, name: str) -> list[int]:
        """The terms of the entries in that replica's log."""
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
    """Broken: a leader commits entries of earlier terms as soon as a quorum has them."""

    def _may_commit(self, index: int) -> bool:
        return True


def _figure_8(raft: type[Raft]) -> Raft:
    """Figure 8 of the Raft paper: a quorum has an entry of an old term, and none of the leader's own term."""
    names = ("a", "b", "c", "d", "e")
    membership = Membership(tuple(Member(n, f"127.0.0.1:{k + 1}") for k, n in enumerate(names)))
    old = [Entry(1, 1, EntryKind.NO_OP, b""), Entry(2, 2, EntryKind.COMMAND, b"old")]
    leader = raft("a", Random(1), HardState(3, ""), Snapshot(0, 0, membership), old)
    while leader.role is Role.FOLLOWER:
        leader.tick()
    for name in ("b", "c"):
        leader.step(name, PreVoteReply(4, True))
    leader.written(leader.take_writes())
    for name in ("b", "c"):
        leader.step(name, RequestVoteReply(4, True))
    assert leader.role is Role.LEADER and leader.term == 4
    for name in ("b", "c"):
        leader.step(name, AppendEntriesReply(4, True, 2, 0))
    return leader


def test_an_entry_of_an_old_term_is_not_committed_by_counting_replicas() -> None:
    """Such an entry may still be overwritten; it is committed together with one of the leader's own term."""
    leader = _figure_8(Raft)
    assert leader.commit == 0
    leader.written(leader.take_writes())
    for name in ("b", "c"):
        leader.step(name, AppendEntriesReply(4, True, 3, 0))
    assert leader.commit == 3
    assert _figure_8(_CommitsOldTerms).commit == 2, "the broken core passes as well"


def test_a_vote_is_durable_before_it_is_sent_and_given_once_a_term() -> None:
    cluster = Cluster("a", "b", "c")
    voter = cluster["a"]
    voter.step("b", RequestVote(5, 0, 0))
    assert not voter.outbox, "a vote was sent before it was durable"
    writes = voter.take_writes()
    assert writes.hard_state == HardState(5, "b")
    voter.written(writes)
    assert voter.outbox == [("b", RequestVoteReply(5, True))]
    voter.outbox.clear()
    voter.step("c", RequestVote(5, 9, 4))
    voter.written(voter.take_writes())
    assert voter.outbox == [("c", RequestVoteReply(5, False))]


def test_a_partitioned_replica_does_not_raise_the_term_when_it_returns() -> None:
    """Without pre-votes it would campaign in ever higher terms, and depose the leader on its return."""
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


def test_a_candidate_is_rejected_while_a_leader_is_known() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    term = leader.term
    cluster["b"].step("c", RequestVote(term + 5, 99, term))
    assert cluster["b"].term == term
    cluster["b"].step("c", RequestVote(term + 5, 99, term, forced=True))
    assert cluster["b"].term == term + 5


def test_a_rejected_pre_vote_is_retried_soon() -> None:
    """A voter that heard from the lost leader slightly later rejects the first pre-vote.

    Without an early retry, the rejected replica waits for a whole election timeout.
    """
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
            assert ticks <= 12, "the pre-vote was not retried"
        assert c.term == b.term == 2, "a pre-vote raised the term"


def test_a_leader_without_a_quorum_steps_down_and_drops_its_reads() -> None:
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
    """Broken: a leader confirms reads without a quorum."""

    def _confirm_reads(self) -> None:
        self.confirmed_reads += [(token, index) for _, index, token in self._pending_reads]
        self._pending_reads = []


def test_a_partitioned_leader_answers_no_read() -> None:
    """Another leader may have been elected meanwhile, so its state may be stale."""
    for raft, answers in ((Raft, False), (_ReadsWithoutQuorum, True)):
        cluster = Cluster("a", "b", "c", raft=raft)
        leader = cluster.lead("a")
        cluster.down = {"b", "c"}
        leader.read("question")
        cluster.settle()
        assert bool(leader.confirmed_reads) is answers, raft


def test_a_read_needs_a_read_round_that_started_after_it() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    late = [m for m in cluster.sent if m[1] == "a"]
    leader.read("question")
    leader.flush()
    for sender, _, message in late:  # replies to earlier read rounds confirm nothing
        leader.step(sender, message)
    assert not leader.confirmed_reads
    cluster.settle()
    assert leader.confirmed_reads == [("question", leader.commit)]


def test_a_lagging_follower_catches_up_with_few_messages() -> None:
    """Probing back entry by entry would take one message for each entry that conflicts."""
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    cluster.down = {"c"}
    for n in range(500):
        leader.propose(b"%d" % n)
        if n % 50 == 0:
            cluster.settle(3)
    cluster.settle()
    # c has further entries that no other replica has.
    tail = [Entry(n, 1, EntryKind.COMMAND, b"own") for n in range(cluster["c"].log.last_index + 1, 200)]
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


def test_messages_in_flight_to_an_unresponsive_replica_are_bounded() -> None:
    """So are the entries that wait to be committed: further proposals are refused."""
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    cluster.settle()
    cluster.down = {"c"}
    for n in range(300):
        leader.propose(b"%d" % n)
        cluster.settle(2)
    in_flight = [m for s, to, m in cluster.sent if to == "c" and isinstance(m, AppendEntries) and m.entries]
    assert len(in_flight) <= MAX_IN_FLIGHT_APPENDS + 2
    with pytest.raises(BusyError):
        for _ in range(10_000):
            leader.propose(b"x")


def _compacted(cluster: Cluster, leader: Raft, data: bytes) -> None:
    """Takes a snapshot with this data, and drops all entries that it covers."""
    snapshot = leader.make_snapshot(leader.applied, data)
    leader.snapshot_durable(snapshot)
    leader.log.compact(snapshot.index)


def test_a_snapshot_is_sent_in_chunks_and_resumes_after_a_loss() -> None:
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
        writes = follower.take_writes()
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


def test_acknowledged_entries_after_a_snapshot_are_kept() -> None:
    """A late snapshot that ends within the follower's log must not cut off what it acknowledged since."""
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


def test_a_new_replica_is_a_learner_until_it_has_caught_up() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    for n in range(200):
        leader.propose(b"%d" % n)
        cluster.settle(2)
    leader.add("d", "127.0.0.1:9")
    assert not leader.membership.is_voter("d") and leader.membership.quorum == 2
    cluster.settle()
    assert not leader.membership.is_voter("d"), "promoted before it has caught up"
    with pytest.raises(BadChangeError):
        leader.add("d", "127.0.0.1:9")
    cluster.rafts["d"] = Raft("d", Random(9), HardState(), Snapshot())
    for _ in range(10):
        leader.tick()
        cluster.settle(10)
    assert leader.membership.is_voter("d") and cluster["d"].membership.is_voter("d")
    assert leader.membership.quorum == 3


def test_one_membership_change_at_a_time() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    cluster.down = {"b", "c"}
    leader.remove("c")
    with pytest.raises(BusyError):
        leader.remove("b")


def test_a_removed_leader_commits_its_removal_and_steps_down() -> None:
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    leader.remove("a")
    cluster.settle()
    assert leader.role is Role.FOLLOWER
    for _ in range(200):
        leader.tick()
    assert leader.role is Role.FOLLOWER, "a removed replica campaigned"
    next_leader = cluster.lead("b")
    assert next_leader.membership.voters == ("b", "c")
    with pytest.raises(BadChangeError):
        Cluster("x").lead("x").remove("x")


def test_a_membership_change_of_a_dead_leader_is_undone_by_the_next() -> None:
    """The change reached no other replica: the old leader must drop it when it follows the new one."""
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    cluster.down = {"b", "c"}
    leader.remove("c")  # reaches no other replica
    cluster.settle()
    cluster.down = {"a"}
    next_leader = cluster.lead("b")
    assert next_leader.membership.voters == ("a", "b", "c")
    cluster.down = set()
    for _ in range(20):
        next_leader.tick()
        cluster.settle(5)
    assert cluster["a"].membership.voters == ("a", "b", "c"), "the undone change is still in effect"


def test_leadership_is_transferred_at_once() -> None:
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
    cluster["c"].propose(b"z")  # the target did not take over, so proposals are accepted again


def test_unexpected_messages_change_nothing() -> None:
    """Old messages, from wrong senders too, must not disturb the leader."""
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    before = (leader.term, leader.commit, leader.log.last_index)
    for message in [m for *_, m in cluster.sent]:
        for sender in ("b", "c", "stranger"):
            if not isinstance(message, AppendEntries | InstallSnapshot):
                leader.step(sender, message)
    cluster.settle()
    assert (leader.term, leader.commit) == before[:2] and leader.role is Role.LEADER


def test_each_entry_is_written_once_and_in_order() -> None:
    cluster = Cluster("a")
    raft = cluster["a"]
    for _ in range(40):
        raft.tick()
    writes: Writes = raft.take_writes()
    assert writes.hard_state and raft.role is Role.CANDIDATE, "it leads before its own vote is durable"
    raft.written(writes)
    raft.propose(b"x")
    first = raft.take_writes()
    raft.propose(b"y")
    second = raft.take_writes()
    assert [e.index for e in first.entries + second.entries] == [1, 2, 3]
    assert raft.commit == 0
    raft.written(first)
    raft.written(second)
    assert raft.commit == 3
