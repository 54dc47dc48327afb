"""Limits and verdicts on a real daemon: what an operator types, and what callers meet."""

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

LIMITED, OTHER = "5.4.3.2.1.1.1.4.9.e164.arpa.", "5.4.3.2.1.5.5.4.9.e164.arpa."


@pytest.fixture
def one(tmp_path: Path) -> Iterator[tuple[Cluster, Client, int, Upstream, Upstream]]:
    """One instance with an ops listener and two upstreams."""
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


def served(client: Client, name: str, count: int, pause: float = 0.0) -> int:
    found = 0
    for n in range(count):
        found += client.ask(f"{n % 10}.{name}").rcode() == dns.rcode.NOERROR
        time.sleep(pause)
    return found


def test_a_limit_is_set_kept_explained_and_lifted(
    one: tuple[Cluster, Client, int, Upstream, Upstream],
) -> None:
    cluster, client, ops, *_ = one
    words = ("limit", "set", "appeal", "--per-s", "5", "--prefix", "+9411")
    assert 'id = "appeal"' in cluster.ask(*words, "--dry-run")
    assert "no limit is set" in cluster.ask("limit", "list")
    assert "limit[0].prefixes" in cluster.ask("limit", "set", "x", "--per-s", "1", "--prefix", "0", code=2)
    assert "5 a second from revision 2 on" in cluster.ask(*words)
    assert cluster.ask("config", "get").startswith("# kept as it is written\n")
    until(
        lambda: orjson.loads(cluster.ask("limit", "list", "--json"))["limits"][0]["shares"], why="the share"
    )
    time.sleep(1.2)  # a bucket begins empty, and is full after a second
    began = time.monotonic()
    passed = served(client, LIMITED, 40)
    took = time.monotonic() - began
    assert 5 <= passed <= 5 + 5 * took + 1, (passed, took)
    assert served(client, OTHER, 20) == 20, "a number that meets no limit was held back"
    assert "appeal" in cluster.ask("limit", "explain", "+94112345678")
    assert "meets no limit" in cluster.ask("limit", "explain", "+94552345678")
    page = orjson.loads(ops_call(ops, "/api/limits")[1])["limits"][0]["here"]
    assert page["offered"] == 40 and page["passed"] == passed and page["refused"] == 40 - passed
    while (answer := client.ask(LIMITED)).rcode() != dns.rcode.SERVFAIL:
        pass
    assert "stay away" in answer.to_text()
    # Raised, and lifted.
    assert "50 a second" in cluster.ask("limit", "set", "appeal", "--per-s", "50")
    assert orjson.loads(cluster.ask("limit", "show", "appeal", "--json"))["per_s"] == 50
    cluster.ask("limit", "lift", "appeal")
    assert "no limit appeal" in cluster.ask("limit", "lift", "appeal", code=1)
    until(lambda: "no limit is set" in cluster.ask("limit", "list"), why="the lift")
    assert served(client, LIMITED, 60) == 60


def test_a_limit_for_each_caller_is_set_and_told(
    one: tuple[Cluster, Client, int, Upstream, Upstream],
) -> None:
    cluster, client, ops, *_ = one
    words = ("limit", "set", "desk", "--per-s", "4", "--burst-s", "0.5", "--each", "caller")
    assert "4 a second" in cluster.ask(*words)
    until(lambda: orjson.loads(cluster.ask("limit", "list", "--json"))["limits"][0]["shares"], why="the base")
    time.sleep(2.0)
    began = time.monotonic()
    passed = 0
    while time.monotonic() < began + 3.0:
        passed += served(client, OTHER, 10, 0.01)
    took = time.monotonic() - began
    assert 0.6 * 4 * took <= passed <= 4 * took + 0.5 * 4 + 1, (passed, took)
    assert "127.0.0.1 by name" in cluster.ask("limit", "show", "desk")
    page = orjson.loads(ops_call(ops, "/api/limits")[1])["limits"][0]
    assert page["each"] == "caller" and page["here"]["callers"] == 1
    assert "for each caller" in cluster.ask("limit", "explain", "+94112345678", "--source", HOST)


def test_a_verdict_bars_a_server_blocks_a_caller_and_ends(
    one: tuple[Cluster, Client, int, Upstream, Upstream],
) -> None:
    cluster, client, _, north, _ = one
    client.warm_up(30)
    assert "no server 'west'" in cluster.ask("verdict", "judge", "failed", "west", code=1)
    cluster.ask("verdict", "judge", "failed", "north", "--for", "3", "--why", "disk errors")
    before = len(north.came())
    assert served(client, LIMITED, 20) == 20 and len(north.came()) == before
    assert "disk errors" in cluster.ask("verdict", "list")
    # One on the last server as well is left aside: the fleet must not stop.
    cluster.ask("verdict", "judge", "overloaded", "south", "--for", "60")
    assert served(client, LIMITED, 10) == 10
    until(lambda: "failed" not in cluster.ask("verdict", "list"), 8.0, "the verdict's end")
    assert "argument subject" in cluster.ask("verdict", "judge", "blocked", "somebody", code=2)
    cluster.ask("verdict", "judge", "blocked", HOST, "--for", "600")
    assert served(client, OTHER, 10) == 0
    rows = orjson.loads(cluster.ask("verdict", "list", "--json"))
    blocked = next(row["verdict"] for row in rows if row["kind"] == "blocked")
    assert "blocks callers" in cluster.ask("limit", "explain", "+9455", "--source", HOST)
    cluster.ask("verdict", "lift", str(blocked))
    until(lambda: served(client, OTHER, 1) == 1, why="the caller to be heard again")
    assert "no verdict 99" in cluster.ask("verdict", "lift", "99", code=1)
