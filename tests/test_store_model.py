"""The store's rules in the seeded world, and that the world finds it when one of them is broken."""

from __future__ import annotations

from contextlib import suppress

import pytest

from benchmarks.store_model import Host, ViolationError, World, play
from harepick.store.disk.storage import Storage
from harepick.store.raft.core import BusyError, NotLeaderError, Raft, Role, Writes
from harepick.store.raft.messages import Message, PreVote, PreVoteReply, RequestVote
from harepick.store.state_machine import Done, Envelope, Put


@pytest.mark.parametrize("seed", range(12))
def test_the_rules_hold_in_a_world_of_troubles(seed: int) -> None:
    world = play(seed, (3, 5)[seed % 2], 12.0)
    assert world.stats["acks"] > 20 and world.stats["acts"] > 200 and world.stats["leaders"] > 1


def found(world: type[World], seeds: int = 60) -> str:
    """What the first seed that finds something says."""
    for seed in range(seeds):
        try:
            play(seed, 3, 20.0, world)
        except AssertionError as error:
            return str(error)
    raise AssertionError(f"{world.__name__}: not found in {seeds} worlds")


class VoteNotPersisted(World):
    def persist(self, storage: Storage, writes: Writes) -> None:
        super().persist(storage, Writes(None, writes.entries, writes.snapshot))


class AcknowledgedBeforeSync(World):
    def persist(self, storage: Storage, writes: Writes) -> None:
        if writes.snapshot or self.rng.random() < 0.7:
            super().persist(storage, writes)
        elif writes.hard_state:
            super().persist(storage, Writes(writes.hard_state))


class _VotesForAnyone(Raft):
    def _is_up_to_date(self, last_index: int, last_term: int) -> bool:
        return True


class OldLogsElected(World):
    raft = _VotesForAnyone


class _VotesTwice(Raft):
    def step(self, sender: str, message: Message) -> None:
        if isinstance(message, RequestVote) and message.term == self.term:
            self.vote = ""
        super().step(sender, message)

    def _rejects_candidates(self, forced: bool) -> bool:
        return False

    def _on_pre_vote(self, sender: str, message: PreVote) -> None:
        self.outbox.append((sender, PreVoteReply(message.term, True)))


class TwoVotesATerm(World):
    raft = _VotesTwice


class LeaseIgnoredAfterAPause(World):
    def may_act(self, host: Host) -> bool:
        return bool(host.node and not host.node.stopped and host.revision)


class NoWaitAfterElection(World):
    def _start(self, host: Host) -> None:
        super()._start(host)
        if host.node:
            host.node.grants.become_leader = lambda now: setattr(host.node.grants, "_earlier_leases_end", now)  # type: ignore


class AcknowledgedUnadopted(World):
    def _start(self, host: Host) -> None:
        super()._start(host)
        if host.node:
            host.node.grants.waits_for = lambda index, now: []  # type: ignore[method-assign]


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
def test_a_broken_rule_is_found(world: type[World]) -> None:
    assert found(world)


def test_what_is_found_is_a_violation_and_plays_again_from_its_seed() -> None:
    def first() -> tuple[int, str]:
        for seed in range(60):
            try:
                play(seed, 3, 20.0, AcknowledgedUnadopted)
            except ViolationError as error:
                return seed, str(error)
        raise AssertionError("not found")

    assert first() == first()
    assert "stale act" in first()[1]


class Quiet(World):
    """No troubles but the one that a test brings, and no clients but its own."""

    def __init__(self, seed: int, replicas: int) -> None:
        super().__init__(seed, replicas)
        self.loss = self.repeat = 0.0
        self.delay = 0.004

    def _client(self) -> None: ...

    def _reader(self) -> None: ...

    def _trouble(self) -> None: ...

    def leader(self) -> Host:
        return next(h for h in self.hosts.values() if h.node and h.node.raft.role is Role.LEADER)

    def change(self, text: str, answers: list[object]) -> None:
        """Asked of every replica until one of them has answered, always under the same number."""

        def ask() -> None:
            if answers:
                return
            self.at(0.25, ask)
            for host in list(self.hosts.values()):
                if host.node and not host.paused:
                    self._run(host, host.life, lambda host=host: self._ask(host, text, answers))  # type: ignore[misc]

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
@pytest.mark.parametrize("loss", ["killed", "power", "paused", "deaf", "mute"])
def test_one_replica_lost_at_every_step_of_a_change(loss: str, role: str) -> None:
    """The change takes effect once, in bounded time, and nothing acts on what was before it once it is
    told."""
    for step in range(0, 90, 2):
        world = Quiet(7, 3)
        world.play(2.0)
        leader = world.leader()
        host = leader if role == "leader" else next(h for h in world.hosts.values() if h is not leader)
        answers: list[object] = []
        before = world.steps
        world.change("wanted", answers)
        while world.steps < before + step:
            world.play(world.next_due())
        if loss == "killed" or loss == "power":
            world._crash(host, power=loss == "power")
        elif loss == "paused":
            world._pause(host)
        else:
            for other in world.hosts:
                world.cuts.add((other, host.name) if loss == "deaf" else (host.name, other))
        world.play(world.now + 6.0)
        assert len(set(map(str, answers))) == 1, (step, answers)
        world.cuts.clear()
        world.play(world.now + 3.0)
        for each in world.hosts.values():
            assert each.node and [r.text for r in each.node.state_machine.history()] == ["wanted"], step
