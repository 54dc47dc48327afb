"""Failed and merely avoided servers, from the reports of the instances; and that the end of an avoidance is
reported as promptly as its start."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from harepick.fleet.health import (
    MAX_REPORTED_SERVERS,
    MIN_CONFIRMING_INSTANCES,
    AvoidanceTracker,
    fleet_health,
)
from harepick.store.leases import LEASE_S
from harepick.store.node import Demand, Node
from harepick.store.raft.messages import HardState, Member, Membership, Snapshot

LIVE = frozenset("abc")


def reports(**spans: dict[str, float]) -> dict[str, dict[str, float]]:
    return {name: {f"!{server}": span for server, span in rows.items()} for name, rows in spans.items()}


def test_avoidance_ends_with_the_first_update_without_the_server() -> None:
    tracker = AvoidanceTracker()
    tracker.update(frozenset({"s0", "s1"}), 10.0)
    tracker.update(frozenset({"s0"}), 11.0)
    tracker.update(frozenset({"s0", "s1"}), 12.0)
    assert tracker.durations(13.0) == {"s0": 3.0, "s1": 1.0} and list(tracker.durations(13.0)) == ["s0", "s1"]
    tracker.update(frozenset(f"s{n}" for n in range(200)), 14.0)
    assert len(tracker.report(15.0)) == MAX_REPORTED_SERVERS and tracker.report(15.0)["!s0"] == 5.0


def test_a_server_has_failed_once_two_instances_report_it() -> None:
    assert fleet_health(reports(a={"s0": 9.0}), LIVE, 2.0).avoided == {"s0"}
    found = fleet_health(reports(a={"s0": 9.0, "s1": 9.0}, b={"s0": 2.0, "s1": 1.9}), LIVE, 2.0)
    assert (found.failed, found.avoided) == (frozenset({"s0"}), frozenset({"s1"}))
    assert fleet_health(reports(a={"s0": 9.0}), frozenset("a"), 2.0).failed == {"s0"}, (
        "a single live instance needs no confirmation"
    )
    without_lease = fleet_health(reports(a={"s0": 9.0}, d={"s0": 9.0}), LIVE, 2.0)
    assert not without_lease.failed, "an instance without a lease was counted"


def test_a_verdict_needs_no_confirmation_by_reports() -> None:
    found = fleet_health({}, LIVE, 2.0, frozenset({"s0"}), frozenset({"s0", "s1"}))
    assert (found.failed, found.avoided) == (frozenset({"s0"}), frozenset({"s1"}))


@settings(derandomize=True, deadline=None)
@given(
    rows=st.dictionaries(
        st.sampled_from("abcd"),
        st.dictionaries(st.sampled_from(("s0", "s1")), st.floats(0, 5), max_size=2),
        max_size=4,
    ),
    live=st.frozensets(st.sampled_from("abcd"), min_size=1),
)
def test_failed_servers_are_those_that_enough_live_instances_report(
    rows: dict[str, dict[str, float]], live: frozenset[str]
) -> None:
    found = fleet_health(reports(**rows), live, 2.0)
    assert not found.failed & found.avoided
    for server in ("s0", "s1"):
        spans = [row[server] for name, row in rows.items() if name in live and server in row]
        confirmations = sum(span >= 2.0 for span in spans)
        assert (server in found.failed) == (confirmations >= min(MIN_CONFIRMING_INSTANCES, len(live)))
        assert (server in found.failed | found.avoided) == bool(spans)


def test_the_end_of_avoidance_is_reported_at_once() -> None:
    """An empty report has to be sent: without it, the previous report remains valid for two more seconds."""
    members = Membership((Member("a", "127.0.0.1:1"), Member("b", "127.0.0.1:2")))
    node = Node("b", Random(1), HardState(1, ""), Snapshot(0, 0, members, b""), (), 0.0)
    node.raft.leader = "a"

    def sent_reports(now: float) -> list[dict[str, float]]:
        node.tick(now)
        return [
            dict(message.rows)
            for receiver, message in node.poll(now).outbox
            if isinstance(message, Demand) and receiver == "a"
        ]

    node.demand = {"!s0": 1.0}
    assert sent_reports(0.0) == [{"!s0": 1.0}]
    node.demand = {}
    assert sent_reports(LEASE_S) == [{}] and sent_reports(2 * LEASE_S) == []
