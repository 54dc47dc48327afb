"""The pure parts of the store: state machine, node, leases, routes and wire format."""

from __future__ import annotations

from contextlib import suppress
from random import Random

import anyio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from harepick.enumdns.routes import Routes
from harepick.settings import Route, SettingsError, read_store_config
from harepick.store import state_machine, wire
from harepick.store.leases import CLOCK_RATE_MARGIN, Grants, Lease
from harepick.store.node import Node
from harepick.store.raft.core import BusyError, Raft
from harepick.store.raft.messages import Entry, EntryKind, HardState, Member, Membership, Snapshot

EXAMPLES = settings(max_examples=80, deadline=None, derandomize=True)
SINGLE_REPLICA = Membership((Member("a", "127.0.0.1:1"),))


def apply(
    machine: state_machine.StateMachine, body: state_machine.Command, session: str = "", number: int = 0
) -> state_machine.Result:
    """Applies a command as the next entry."""
    return machine.apply(
        machine.applied + 1, state_machine.encode(state_machine.Envelope(session, number, body))
    )


def test_revisions_are_numbered_and_an_unexpected_one_is_a_conflict() -> None:
    machine = state_machine.StateMachine()
    assert apply(machine, state_machine.Put("one", 0)) == state_machine.Done(1, 1)
    assert apply(machine, state_machine.Put("two", 0)) == state_machine.Conflict(0, 1)
    assert apply(machine, state_machine.Put("two", 1)) == state_machine.Done(2, 3)
    assert apply(machine, state_machine.RollBack(1)) == state_machine.Done(3, 4)
    assert machine.latest and machine.latest.text == "one" and "rollback to 1" in machine.latest.note
    assert apply(machine, state_machine.RollBack(9)) == state_machine.Refused("revision 9 is not kept")
    assert isinstance(
        apply(machine, state_machine.Put("x" * (state_machine.MAX_TEXT_CHARS + 1))), state_machine.Refused
    )
    assert machine.latest.number == 3


def test_history_sessions_and_views_are_bounded() -> None:
    machine = state_machine.StateMachine()
    for n in range(state_machine.MAX_REVISIONS + 50):
        apply(machine, state_machine.Put(f"{n}"), f"s{n}", 1)
    assert len(machine.history()) == state_machine.MAX_REVISIONS and machine.revision(1) is None
    for _ in range(40):
        apply(machine, state_machine.Put("x" * state_machine.MAX_TEXT_CHARS))
    assert sum(len(r.text) for r in machine.history()) <= state_machine.MAX_HISTORY_CHARS
    for n in range(state_machine.MAX_VIEWS + 5):
        apply(machine, state_machine.PoolView(f"i{n}", ()))
    assert len(machine.views) == state_machine.MAX_VIEWS and "i0" not in machine.views
    rows = tuple(
        state_machine.PoolViewRow(f"s{n}", n, "ready") for n in range(state_machine.MAX_VIEW_ROWS + 1)
    )
    assert isinstance(apply(machine, state_machine.PoolView("i", rows)), state_machine.Refused)


def test_an_entry_of_an_unknown_format_stops_the_replica() -> None:
    """An entry of a newer version must not be skipped: the replica stops before it, and acts no more."""
    machine = state_machine.StateMachine()
    for data in (b"", b"\x02rest", bytes([state_machine.FORMAT_VERSION]) + b"\xc1"):
        with pytest.raises(state_machine.FormatError):
            machine.apply(1, data)
        assert machine.applied == 0
        with pytest.raises(state_machine.FormatError):
            machine.restore(data)
    entries = [
        Entry(
            1,
            1,
            EntryKind.COMMAND,
            state_machine.encode(state_machine.Envelope("", 0, state_machine.Put("old"))),
        ),
        Entry(2, 1, EntryKind.COMMAND, b"\x09later"),
        Entry(
            3,
            1,
            EntryKind.COMMAND,
            state_machine.encode(state_machine.Envelope("", 0, state_machine.Put("never"))),
        ),
    ]
    node = Node("a", Random(1), HardState(1, "a"), Snapshot(0, 0, SINGLE_REPLICA), entries, 0.0)
    for n in range(50):
        node.tick(n * 0.02)
        if writes := node.take_writes():
            node.written(writes, n * 0.02)
        node.poll(n * 0.02)
    assert "entry 2" in node.stopped and "format 9" in node.stopped
    assert node.revision and node.revision.text == "old" and not node.may_act(1.0)
    assert not node.take_writes() and not node.poll(1.0).outbox


def test_a_revision_that_this_version_cannot_read_stops_the_replica() -> None:
    """Adopting it fails, so it must not be acknowledged."""
    node = Node("a", Random(1), HardState(), Snapshot(0, 0, SINGLE_REPLICA), (), 0.0)

    def adopt(revision: state_machine.Revision) -> None:
        node.stop(f"revision {revision.number}")

    node._on_revision = adopt
    answers: list[tuple[object, object]] = []
    for n in range(60):
        node.tick(n * 0.02)
        if n == 20:
            node.change(state_machine.Envelope("", 0, state_machine.Put("new words")), "asker")
        if writes := node.take_writes():
            node.written(writes, n * 0.02)
        answers += node.poll(n * 0.02).answers
    assert node.stopped == "revision 1" and not node.may_act(1.2)
    assert not any(isinstance(answer, state_machine.Done) for _, answer in answers), (
        "acknowledged by a stopped replica"
    )


def test_pending_bytes_are_bounded() -> None:
    raft = Raft("a", Random(1), HardState(), Snapshot(0, 0, SINGLE_REPLICA))
    raft.tick()
    raft.written(raft.take_writes())
    with pytest.raises(BusyError, match="bytes"):
        for _ in range(1000):
            raft.propose(bytes(1 << 20))
    assert raft.log.size(1, raft.log.last_index) <= 33 << 20


class Machines(RuleBasedStateMachine):
    """Two machines that get the same entries, one of them by way of snapshots."""

    def __init__(self) -> None:
        super().__init__()
        self.one, self.two = state_machine.StateMachine(), state_machine.StateMachine()
        self.model: list[str] = []
        self.answers: dict[tuple[str, int], state_machine.Result] = {}
        self.numbers: dict[str, int] = {}

    def both(self, body: state_machine.Command, session: str = "", number: int = 0) -> state_machine.Result:
        results = [apply(machine, body, session, number) for machine in (self.one, self.two)]
        assert results[0] == results[1]
        return results[0]

    @rule(text=st.text(max_size=5), expect=st.none() | st.integers(0, 8), session=st.sampled_from("abc"))
    def put(self, text: str, expect: int | None, session: str) -> None:
        number = self.numbers[session] = self.numbers.get(session, 0) + 1
        result = self.both(state_machine.Put(text, expect), session, number)
        self.answers[session, number] = result
        if expect is None or expect == len(self.model):
            self.model.append(text)
            assert isinstance(result, state_machine.Done) and result.revision == len(self.model)
        else:
            assert result == state_machine.Conflict(expect, len(self.model))

    @precondition(lambda self: self.numbers)
    @rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        session = data.draw(st.sampled_from(sorted(self.numbers)))
        number = data.draw(st.integers(1, self.numbers[session]))
        result = self.both(state_machine.Put("again"), session, number)
        if number == self.numbers[session]:
            assert result == self.answers[session, number]
        else:
            assert isinstance(result, state_machine.Refused)

    @precondition(lambda self: self.model)
    @rule(data=st.data())
    def roll_back(self, data: st.DataObject) -> None:
        to = data.draw(st.integers(1, len(self.model)))
        assert isinstance(self.both(state_machine.RollBack(to)), state_machine.Done)
        self.model.append(self.model[to - 1])

    @rule()
    def snapshot(self) -> None:
        restored = state_machine.StateMachine()
        restored.restore(self.two.snapshot())
        self.two = restored

    @invariant()
    def same(self) -> None:
        assert [r.text for r in reversed(self.one.history())] == self.model
        assert self.one.snapshot() == self.two.snapshot()


Machines.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None, derandomize=True
)
TestMachines = Machines.TestCase


def test_a_lease_runs_from_its_request_once_the_index_is_applied() -> None:
    lease = Lease(1.0, 7)
    number = lease.request(10.0)
    assert not lease.holds(10.0)
    lease.record_grant(number + 1, 0)  # a request that was never made
    assert not lease.holds(10.0)
    lease.record_grant(number, 5)
    assert not lease.holds(10.1), "the granted index is not applied yet"
    lease.record_applied(5)
    assert lease.holds(10.99) and not lease.holds(11.0)
    lease.record_grant(number, 0)  # repeated
    assert not lease.holds(11.0)
    other = lease.request(20.0)
    lease.drop()
    lease.record_grant(other, 0)
    assert not lease.holds(20.1)


@EXAMPLES
@given(st.data())
def test_an_acknowledgement_never_comes_before_a_holder_has_adopted_or_lapsed(data: st.DataObject) -> None:
    """The clocks of leader and holders differ in rate by less than `CLOCK_RATE_MARGIN`."""
    length, grants = 1.0, Grants(1.0)
    rates = [data.draw(st.floats(0.96, 1.04)) for _ in range(3)]
    leases = [Lease(length, n) for n in range(3)]
    grants.become_leader(0.0)
    now, adopted = 0.0, [0, 0, 0]
    for _ in range(data.draw(st.integers(1, 25))):
        now += data.draw(st.floats(0.0, 0.5))
        n = data.draw(st.integers(0, 2))
        action = data.draw(st.sampled_from(("request", "adopt")))
        if action == "request":
            number = leases[n].request(now * rates[n])
            now += data.draw(st.floats(0.0, 0.3))
            grants.record_lease(f"{n}", now)
            leases[n].record_grant(number, 0)
        else:
            adopted[n] = 5
            grants.record_adopted(f"{n}", 5)
        if not grants.unconfirmed_by(5, now):
            assert now >= length * CLOCK_RATE_MARGIN
            for k in range(3):
                assert adopted[k] == 5 or not leases[k].holds(now * rates[k])


def test_a_number_goes_to_the_longest_prefix_and_past_draining_upstreams() -> None:
    numbers = {"north": 0, "south": 1, "east": 2}
    rows = [Route("+94", ("south",)), Route("+9411", ("east", "north")), Route("+9481", ("gone",))]
    routes = Routes(rows, numbers, ["north", "south", "east"])
    assert routes.first_choice("+94771234560") == 1
    assert {routes.first_choice(f"+941112345{n}") for n in range(10)} == {0, 2}
    assert routes.first_choice("+94815") == 1, "a route without a known upstream was used"
    assert routes.first_choice("+1") in (0, 1, 2)
    drained = Routes(rows, numbers, ["north"])
    assert drained.first_choice("+94771234560") == 0 and drained.first_choice("+94111") == 0
    assert Routes([], {}, []).first_choice("+94") == 0


@pytest.mark.parametrize(
    ("key", "text"),
    [
        ("route[0].prefix", '[[route]]\nprefix = "+"\nupstreams = ["a"]\n'),
        ("route[1].prefix", '[[route]]\nprefix = "+1"\nupstreams = ["a"]\n' * 2),
        ("route[0].upstreams", '[[route]]\nprefix = "+1"\nupstreams = ["b"]\n'),
        ("route[0].upstreams", '[[route]]\nprefix = "+1"\nupstreams = []\n'),
        ("route.via", '[[route]]\nprefix = "+1"\nupstreams = ["a"]\nvia = 1\n'),
        ("enum.seed", "[enum]\nseed = 1\n"),
        ("not TOML", "[enum\n"),
    ],
)
def test_a_faulty_store_configuration_names_its_key(key: str, text: str) -> None:
    with pytest.raises(SettingsError) as caught:
        read_store_config('[[upstream]]\nname = "a"\naddress = "127.0.0.1:1"\n' + text)
    assert key in str(caught.value)


class _Stream:
    """A byte stream that arrives in pieces."""

    def __init__(self, data: bytes, cuts: list[int]) -> None:
        self.pieces = [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True) if a < b]

    async def receive(self, most: int = 65536) -> bytes:
        if not self.pieces:
            raise anyio.EndOfStream
        return self.pieces.pop(0)


@EXAMPLES
@given(st.lists(st.binary(max_size=40), max_size=6), st.data())
def test_frames_come_whole_however_they_are_cut(values: list[bytes], data: st.DataObject) -> None:
    sent = b"".join(wire.frame(value) for value in values)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(sent)), max_size=8)))

    async def read() -> list[bytes]:
        frames = wire.Frames(_Stream(sent, cuts))  # type: ignore[arg-type]
        return [msgspec.msgpack.decode(await frames.next()) for _ in values]

    assert anyio.run(read) == values


@EXAMPLES
@given(st.binary(max_size=80))
def test_malformed_bytes_raise_wire_errors_only(data: bytes) -> None:
    for reader in (
        wire.hello_decoder.read,
        wire.request_decoder.read,
        wire.response_decoder.read,
        wire.decode_peer_message,
    ):
        with suppress(wire.WireError):
            reader(data)

    async def read() -> None:
        frames = wire.Frames(_Stream(data, []))  # type: ignore[arg-type]
        while True:
            await frames.next()

    with pytest.raises((wire.WireError, anyio.EndOfStream)):
        anyio.run(read)
