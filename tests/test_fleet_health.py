"""What has failed and what is only full for a moment, from what instances tell; and that a server's being
back is told as soon as its being away."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from harepick.fleet.health import MOST, WITNESSES, AvoidanceTracker, health
from harepick.store.leases import LEASE_S
from harepick.store.node import Demand, Node
from harepick.store.raft.messages import HardState, Member, Membership, Snapshot

LIVE = frozenset("abc")


def told(**spans: dict[str, float]) -> dict[str, dict[str, float]]:
    return {name: {f"!{server}": span for server, span in rows.items()} for name, rows in spans.items()}


def test_a_span_ends_with_the_first_look_that_does_not_find_it() -> None:
    watch = AvoidanceTracker()
    watch.update(frozenset({"s0", "s1"}), 10.0)
    watch.update(frozenset({"s0"}), 11.0)
    watch.update(frozenset({"s0", "s1"}), 12.0)
    assert watch.spans(13.0) == {"s0": 3.0, "s1": 1.0} and list(watch.spans(13.0)) == ["s0", "s1"]
    watch.update(frozenset(f"s{n}" for n in range(200)), 14.0)
    assert len(watch.rows(15.0)) == MOST and watch.rows(15.0)["!s0"] == 5.0


def test_one_witness_is_no_failure_and_two_are() -> None:
    assert health(told(a={"s0": 9.0}), LIVE, 2.0).pressed == {"s0"}
    found = health(told(a={"s0": 9.0, "s1": 9.0}, b={"s0": 2.0, "s1": 1.9}), LIVE, 2.0)
    assert (found.failed, found.pressed) == (frozenset({"s0"}), frozenset({"s1"}))
    assert health(told(a={"s0": 9.0}), frozenset("a"), 2.0).failed == {"s0"}, "alone, its own word is enough"
    gone = health(told(a={"s0": 9.0}, d={"s0": 9.0}), LIVE, 2.0)
    assert not gone.failed, "one that may not act is no witness"


def test_a_verdict_needs_no_witness() -> None:
    found = health({}, LIVE, 2.0, frozenset({"s0"}), frozenset({"s0", "s1"}))
    assert (found.failed, found.pressed) == (frozenset({"s0"}), frozenset({"s1"}))


@settings(derandomize=True, deadline=None)
@given(
    rows=st.dictionaries(
        st.sampled_from("abcd"),
        st.dictionaries(st.sampled_from(("s0", "s1")), st.floats(0, 5), max_size=2),
        max_size=4,
    ),
    live=st.frozensets(st.sampled_from("abcd"), min_size=1),
)
def test_what_has_failed_is_what_enough_of_the_living_say(
    rows: dict[str, dict[str, float]], live: frozenset[str]
) -> None:
    found = health(told(**rows), live, 2.0)
    assert not found.failed & found.pressed
    for server in ("s0", "s1"):
        spans = [row[server] for name, row in rows.items() if name in live and server in row]
        agree = sum(span >= 2.0 for span in spans)
        assert (server in found.failed) == (agree >= min(WITNESSES, len(live)))
        assert (server in found.failed | found.pressed) == bool(spans)


def test_that_nothing_is_avoided_any_more_is_told_at_once() -> None:
    """An empty telling was left out, and what was told before it stood for two seconds more."""
    members = Membership((Member("a", "127.0.0.1:1"), Member("b", "127.0.0.1:2")))
    node = Node("b", Random(1), HardState(1, ""), Snapshot(0, 0, members, b""), (), 0.0)
    node.raft.leader = "a"

    def tellings(now: float) -> list[dict[str, float]]:
        node.tick(now)
        return [dict(m.rows) for to, m in node.poll(now).outbox if isinstance(m, Demand) and to == "a"]

    node.demand = {"!s0": 1.0}
    assert tellings(0.0) == [{"!s0": 1.0}]
    node.demand = {}
    assert tellings(LEASE_S) == [{}] and tellings(2 * LEASE_S) == []
