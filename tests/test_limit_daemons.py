"""Limits and verdicts on a real daemon: the operator's commands and their effect on callers."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import dns.rcode
import orjson
import pytest

from benchmarks.daemons import HOST, Cluster, config_text
from harepick.fleet.ports import free_port
from tests.dnspeers import Client, Upstream
from tests.peers import ops_call, until

LIMITED_NAME, UNLIMITED_NAME = "5.4.3.2.1.1.1.4.9.e164.arpa.", "5.4.3.2.1.5.5.4.9.e164.arpa."


@pytest.fixture
def instance(tmp_path: Path) -> Iterator[tuple[Cluster, Client, int, Upstream, Upstream]]:
    """One instance with an ops listener, and two upstreams."""
    north, south, ops = Upstream(), Upstream(), free_port()
    text = "# kept as it is written\n" + config_text(("north", north.port), ("south", south.port))
    cluster = Cluster(1, tmp_path, text)
    daemon = cluster.daemons[0]
    daemon.path.write_text(daemon.path.read_text() + f'[ops]\nlisten = "{HOST}:{ops}"\n')
    try:
        cluster.start()
        until(lambda: daemon.events("store_adopted"), why="the configuration")
        until(lambda: ops_call(ops, "/api/ready")[0] == 200, why="readiness")
        yield cluster, Client(daemon.dns_port), ops, north, south
    finally:
        cluster.end()
        north.close()
        south.close()


def count_served(client: Client, name: str, count: int, pause: float = 0.0) -> int:
    """Sends `count` look-ups, `pause` seconds apart; returns how many were answered."""
    answered = 0
    for n in range(count):
        answered += client.ask(f"{n % 10}.{name}").rcode() == dns.rcode.NOERROR
        time.sleep(pause)
    return answered


def test_a_limit_is_set_enforced_explained_and_lifted(
    instance: tuple[Cluster, Client, int, Upstream, Upstream],
) -> None:
    cluster, client, ops, *_ = instance
    command = ("limit", "set", "appeal", "--per-s", "5", "--prefix", "+9411")
    assert 'id = "appeal"' in cluster.ask(*command, "--dry-run")
    assert "no limit is set" in cluster.ask("limit", "list")
    assert "limit[0].prefixes" in cluster.ask("limit", "set", "x", "--per-s", "1", "--prefix", "0", code=2)
    assert "5 a second from revision 2 on" in cluster.ask(*command)
    assert cluster.ask("config", "get").startswith("# kept as it is written\n")
    until(
        lambda: orjson.loads(cluster.ask("limit", "list", "--json"))["limits"][0]["shares"], why="the share"
    )
    time.sleep(1.2)  # a bucket starts empty, and is full after a second
    started_at = time.monotonic()
    passed = count_served(client, LIMITED_NAME, 40)
    elapsed = time.monotonic() - started_at
    assert 5 <= passed <= 5 + 5 * elapsed + 1, (passed, elapsed)
    assert count_served(client, UNLIMITED_NAME, 20) == 20, "a look-up that no limit applies to was refused"
    assert "appeal" in cluster.ask("limit", "explain", "+94112345678")
    assert "no limit applies to +94552345678" in cluster.ask("limit", "explain", "+94552345678")
    page = orjson.loads(ops_call(ops, "/api/limits")[1])["limits"][0]["here"]
    assert page["offered"] == 40 and page["passed"] == passed and page["refused"] == 40 - passed
    while (answer := client.ask(LIMITED_NAME)).rcode() != dns.rcode.SERVFAIL:
        pass
    assert "stay away" in answer.to_text()
    # The limit is raised, then lifted.
    assert "50 a second" in cluster.ask("limit", "set", "appeal", "--per-s", "50")
    assert orjson.loads(cluster.ask("limit", "show", "appeal", "--json"))["per_s"] == 50
    cluster.ask("limit", "lift", "appeal")
    assert "no limit appeal" in cluster.ask("limit", "lift", "appeal", code=1)
    until(lambda: "no limit is set" in cluster.ask("limit", "list"), why="the lift")
    assert count_served(client, LIMITED_NAME, 60) == 60


def test_a_limit_for_each_caller_is_set_and_reported(
    instance: tuple[Cluster, Client, int, Upstream, Upstream],
) -> None:
    cluster, client, ops, *_ = instance
    command = ("limit", "set", "desk", "--per-s", "4", "--burst-s", "0.5", "--each", "caller")
    assert "4 a second" in cluster.ask(*command)
    until(lambda: orjson.loads(cluster.ask("limit", "list", "--json"))["limits"][0]["shares"], why="the base")
    time.sleep(2.0)
    started_at = time.monotonic()
    passed = 0
    while time.monotonic() < started_at + 3.0:
        passed += count_served(client, UNLIMITED_NAME, 10, 0.01)
    elapsed = time.monotonic() - started_at
    assert 0.6 * 4 * elapsed <= passed <= 4 * elapsed + 0.5 * 4 + 1, (passed, elapsed)
    assert "caller 127.0.0.1: " in cluster.ask("limit", "show", "desk")
    page = orjson.loads(ops_call(ops, "/api/limits")[1])["limits"][0]
    assert page["each"] == "caller" and page["here"]["callers"] == 1
    assert "for each caller" in cluster.ask("limit", "explain", "+94112345678", "--source", HOST)


def test_a_verdict_excludes_a_server_blocks_a_caller_and_ends(
    instance: tuple[Cluster, Client, int, Upstream, Upstream],
) -> None:
    cluster, client, _, north, _ = instance
    client.warm_up(30)
    assert "no server 'west'" in cluster.ask("verdict", "judge", "failed", "west", code=1)
    cluster.ask("verdict", "judge", "failed", "north", "--for", "3", "--why", "disk errors")
    before = len(north.received())
    assert count_served(client, LIMITED_NAME, 20) == 20 and len(north.received()) == before
    assert "disk errors" in cluster.ask("verdict", "list")
    # A verdict on the last server is not applied, so that the fleet keeps serving.
    cluster.ask("verdict", "judge", "overloaded", "south", "--for", "60")
    assert count_served(client, LIMITED_NAME, 10) == 10
    until(lambda: "failed" not in cluster.ask("verdict", "list"), 8.0, "the verdict's end")
    assert "argument subject" in cluster.ask("verdict", "judge", "blocked", "somebody", code=2)
    cluster.ask("verdict", "judge", "blocked", HOST, "--for", "600")
    assert count_served(client, UNLIMITED_NAME, 10) == 0
    verdicts = orjson.loads(cluster.ask("verdict", "list", "--json"))
    blocked = next(row["verdict"] for row in verdicts if row["kind"] == "blocked")
    assert "blocks callers" in cluster.ask("limit", "explain", "+9455", "--source", HOST)
    cluster.ask("verdict", "lift", str(blocked))
    until(lambda: count_served(client, UNLIMITED_NAME, 1) == 1, why="the caller to be served again")
    assert "no verdict 99" in cluster.ask("verdict", "lift", "99", code=1)
