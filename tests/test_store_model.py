"""The seeded simulation of the store: its invariants hold under faults, and broken rules are detected."""

from __future__ import annotations

from contextlib import suppress

import pytest

from benchmarks.store_model import Host, ViolationError, World, run_world
from harepick.store.disk.storage import Storage
from harepick.store.raft.core import BusyError, NotLeaderError, Raft, Role, Writes
from harepick.store.raft.messages import Message, PreVote, PreVoteReply, RequestVote
from harepick.store.state_machine import Done, Envelope, Put


@pytest.mark.parametrize("seed", range(12))
def test_the_invariants_hold_under_faults(seed: int) -> None:
    """Crashes, pauses, partitions and lost messages; `World` checks the invariants in every step."""
    world = run_world(seed, (3, 5)[seed % 2], 12.0)
    assert world.stats["acks"] > 20 and world.stats["acts"] > 200 and world.stats["leaders"] > 1


def violation_message(world: type[World], seeds: int = 60) -> str:
    """The message of the first seed that detects a violation."""
    for seed in range(seeds):
        try:
            run_world(seed, 3, 20.0, world)
        except AssertionError as error:
            return str(error)
    raise AssertionError(f"{world.__name__}: not detected with {seeds} seeds")


class VoteNotPersisted(World):
    """Broken: term and vote are lost in a crash."""

    def persist(self, storage: Storage, writes: Writes) -> None:
        super().persist(storage, Writes(None, writes.entries, writes.snapshot))


class AcknowledgedBeforeSync(World):
    """Broken: some writes are reported durable without being written."""

    def persist(self, storage: Storage, writes: Writes) -> None:
        if writes.snapshot or self.rng.random() < 0.7:
            super().persist(storage, writes)
        elif writes.hard_state:
            super().persist(storage, Writes(writes.hard_state))


class _VotesForAnyone(Raft):
    """Broken: a vote is granted whatever log the candidate has."""

    def _is_up_to_date(self, last_index: int, last_term: int) -> bool:
        return True


class OldLogsElected(World):
    """Broken: candidates that lack committed entries are elected."""

    raft = _VotesForAnyone


class _VotesTwice(Raft):
    """Broken: grants any number of votes in a term, and rejects no candidate for a known leader."""

    def step(self, sender: str, message: Message) -> None:
        if isinstance(message, RequestVote) and message.term == self.term:
            self.vote = ""
        super().step(sender, message)

    def _rejects_candidates(self, forced: bool) -> bool:
        return False

    def _on_pre_vote(self, sender: str, message: PreVote) -> None:
        self.outbox.append((sender, PreVoteReply(message.term, True)))


class TwoVotesATerm(World):
    """Broken: replicas vote more than once in a term."""

    raft = _VotesTwice


class LeaseIgnoredAfterAPause(World):
    """Broken: an instance acts without checking its lease."""

    def may_act(self, host: Host) -> bool:
        return bool(host.node and not host.node.stopped and host.revision)


class NoWaitAfterElection(World):
    """Broken: a new leader does not wait for the leases of earlier leaders to expire."""

    def _start(self, host: Host) -> None:
        super()._start(host)
        if host.node:
            host.node.grants.become_leader = lambda now: setattr(host.node.grants, "_earlier_leases_end", now)  # type: ignore


class AcknowledgedUnadopted(World):
    """Broken: a change is acknowledged before all lease holders have adopted it."""

    def _start(self, host: Host) -> None:
        super()._start(host)
        if host.node:
            host.node.grants.unconfirmed_by = lambda index, now: []  # type: ignore[method-assign]


@pytest.mark.parametrize(
    "world",
    [
        VoteNotPersisted,
        AcknowledgedBeforeSync,
        OldLogsElected,
        TwoVotesATerm,
        LeaseIgnoredAfterAPause,
        NoWaitAfterElection,
        AcknowledgedUnadopted,
    ],
)
def test_a_broken_rule_is_detected(world: type[World]) -> None:
    assert violation_message(world)


def test_a_violation_is_reproduced_from_its_seed() -> None:
    def first() -> tuple[int, str]:
        for seed in range(60):
            try:
                run_world(seed, 3, 20.0, AcknowledgedUnadopted)
            except ViolationError as error:
                return seed, str(error)
        raise AssertionError("not detected")

    assert first() == first()
    assert "stale act" in first()[1]


class Quiet(World):
    """A simulation without faults and clients, except for those of the test."""

    def __init__(self, seed: int, replicas: int) -> None:
        super().__init__(seed, replicas)
        self.loss = self.repeat = 0.0
        self.delay = 0.004

    def _client(self) -> None: ...

    def _reader(self) -> None: ...

    def _inject_fault(self) -> None: ...

    def leader(self) -> Host:
        """The host that leads."""
        return next(host for host in self.hosts.values() if host.node and host.node.raft.role is Role.LEADER)

    def change(self, text: str, answers: list[object]) -> None:
        """Requests a change from every replica until one has answered, always under the same number."""

        def ask() -> None:
            if answers:
                return
            self.call_later(0.25, ask)
            for host in list(self.hosts.values()):
                if host.node and not host.paused:
                    self._run(host, host.incarnation, lambda host=host: self._ask(host, text, answers))  # type: ignore[misc]

        ask()

    def _ask(self, host: Host, text: str, answers: list[object]) -> None:
        def answered(answer: object) -> None:
            if isinstance(answer, Done):
                answers.append(answer)
                self.acknowledged = max(self.acknowledged, answer.revision)

        assert host.node
        with suppress(NotLeaderError, BusyError):
            host.node.change(Envelope("session", 1, Put(text)), answered)


@pytest.mark.parametrize("role", ["leader", "follower"])
@pytest.mark.parametrize("loss", ["killed", "power", "paused", "receives_nothing", "sends_nothing"])
def test_a_change_survives_the_loss_of_one_replica_at_any_step(loss: str, role: str) -> None:
    """The change takes effect exactly once and within 6 s, whichever step the fault falls on.

    `World` also checks that nobody acts on an older configuration once the change is acknowledged.
    """
    for step in range(0, 90, 2):
        world = Quiet(7, 3)
        world.run_until(2.0)
        leader = world.leader()
        host = leader if role == "leader" else next(h for h in world.hosts.values() if h is not leader)
        answers: list[object] = []
        before = world.steps
        world.change("wanted", answers)
        while world.steps < before + step:
            world.run_until(world.next_due())
        if loss == "killed" or loss == "power":
            world._crash(host, power=loss == "power")
        elif loss == "paused":
            world._pause(host)
        else:
            for other in world.hosts:
                world.cuts.add((other, host.name) if loss == "receives_nothing" else (host.name, other))
        world.run_until(world.now + 6.0)
        assert len(set(map(str, answers))) == 1, (step, answers)
        world.cuts.clear()
        world.run_until(world.now + 3.0)
        for each in world.hosts.values():
            assert each.node and [r.text for r in each.node.state_machine.history()] == ["wanted"], step
