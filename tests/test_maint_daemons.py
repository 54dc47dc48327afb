"""Maintenance on real daemons: the operator's commands, and the pages of the ops listener."""

from __future__ import annotations

from pathlib import Path

import orjson

from benchmarks.daemons import HOST, Cluster, Daemon, config_text
from harepick.fleet.ports import free_port
from tests.dnspeers import Client, Upstream
from tests.peers import ops_call, until

MAINTENANCE_SETTINGS = (
    '[maintenance]\nmax_out = 1\n[[maintenance.group]]\nname = "Galle"\nservers = ["south"]\n'
)


def start_single(cluster: Cluster) -> tuple[Daemon, int]:
    """Starts the only instance with an ops listener; returns it with the listener's port."""
    daemon, ops = cluster.daemons[0], free_port()
    daemon.path.write_text(daemon.path.read_text() + f'[ops]\nlisten = "{HOST}:{ops}"\n')
    cluster.start()
    until(lambda: daemon.events("store_adopted"), why="the configuration")
    until(lambda: ops_call(ops, "/api/ready")[0] == 200, why="readiness")
    return daemon, ops


def order_states(cluster: Cluster) -> dict[str, str]:
    """State of each open order, by machine."""
    listing = orjson.loads(cluster.ask("maint", "list", "--json"))
    return {row["machine"]: row["state"] for row in listing["orders"]}


def test_a_server_is_taken_out_and_returned_to_service(tmp_path: Path) -> None:
    north, south = Upstream(), Upstream()
    text = config_text(("north", north.port), ("south", south.port), extra=MAINTENANCE_SETTINGS)
    cluster = Cluster(1, tmp_path, text)
    try:
        daemon, ops = start_single(cluster)
        client = Client(daemon.dns_port)
        client.warm_up(30)
        assert len(north.received()) > 0 and len(south.received()) > 0
        assert "no server 'west'" in cluster.ask("maint", "request", "west", code=1)
        assert "order 1: north is waiting" in cluster.ask("maint", "request", "north", "--reason", "disks")
        until(lambda: order_states(cluster) == {"server:north": "out"}, why="north out")
        assert "has north already" in cluster.ask("maint", "request", "server:north", code=1)
        cluster.ask("maint", "request", "south")
        before = len(north.received())
        for n in range(30):
            client.ask(f"{n % 10}.4.3.2.1.1.1.4.9.e164.arpa.")
        assert len(north.received()) == before, "a look-up was sent to a server that is out"
        assert "max_out is 1" in cluster.ask("maint", "explain", "2")
        status, body = ops_call(ops, "/api/maintenance")
        page = orjson.loads(body)
        assert status == 200 and page["current"] and page["controllers"] == {"r0": "serving"}
        assert [(row["machine"], row["state"]) for row in page["orders"]] == [
            ("server:north", "out"),
            ("server:south", "waiting"),
        ]
        # The server stays out across a restart of the instance.
        daemon.kill()
        daemon.start()
        until(lambda: len(daemon.events("serving")) == 2, why="the restart")
        until(lambda: order_states(cluster)["server:north"] == "out", why="the order")
        until(lambda: ops_call(ops, "/api/ready")[0] == 200, why="readiness")
        for n in range(10):
            client.ask(f"{n}.4.3.2.1.1.1.4.9.e164.arpa.")
        assert len(north.received()) == before
        assert "order 1 is back" in cluster.ask("maint", "done", "1")
        # South is the last server of its group: its order waits and gives the reason.
        until(
            lambda: "last server in service of Galle" in cluster.ask("maint", "explain", "2"), why="the group"
        )
        assert "only what is out" in cluster.ask("maint", "done", "2", code=1)
        cluster.ask("maint", "cancel", "2")
        assert order_states(cluster) == {}
        until(
            lambda: client.ask() is not None and len(north.received()) > before, why="north to be used again"
        )
        shown = orjson.loads(cluster.ask("maint", "show", "1", "--json"))
        assert [step["state"] for step in shown["steps"]] == ["waiting", "leaving", "out", "back"]
        assert shown["reason"] == "disks"
        figures = ops_call(ops, "/api/telemetry")[1].decode()
        assert 'downstream_requests_total{lane="look-up",result="completed"}' in figures
        assert "edge_gw_members 2.0" in figures, [
            line for line in figures.splitlines() if line[0] != "#"
        ] + daemon.log.read_text().splitlines()[-25:]
        assert daemon.stop() == 0
    finally:
        cluster.end()
        for upstream in (north, south):
            upstream.close()


def test_an_invalid_window_is_refused_before_anything_is_sent(tmp_path: Path) -> None:
    cluster = Cluster(1, tmp_path, config_text(("north", 1)))
    for window, why in (("tomorrow", "no FROM/TO"), ("x/y", "--window"), ("2026-02-01/2026-01-01", "closes")):
        assert why in cluster.tool("maint", "request", "north", "--window", window, code=2)


def test_a_leader_under_an_order_hands_leadership_over_and_goes_out(tmp_path: Path) -> None:
    upstream = Upstream()
    cluster = Cluster(3, tmp_path, config_text(("north", upstream.port)))
    try:
        cluster.start()
        leader = cluster.leader()
        for daemon in cluster.daemons:
            until(lambda d=daemon: d.events("store_adopted"), why="the configuration")  # type: ignore[misc]
        cluster.ask("maint", "request", f"controller:{leader.name}")
        until(lambda: order_states(cluster) == {f"controller:{leader.name}": "out"}, 20.0, "the leader out")
        assert leader.events("maint_hand_over")[0]["to"] in {d.name for d in cluster.daemons} - {leader.name}
        assert leader.up and cluster.leader() is not leader
        answer = Client(leader.dns_port).ask()
        assert "stay away" in answer.to_text(), "a controller that is out served a look-up"
        assert leader.stop() == 0
        leader.start()
        cluster.ask("maint", "done", "1")
        until(lambda: leader.events("serving")[1:], why="the restart")
        client = Client(leader.dns_port)
        until(lambda: client.ask().rcode() == 0, 15.0, "the controller back")
    finally:
        cluster.end()
        upstream.close()


def test_without_a_quorum_orders_do_not_change(tmp_path: Path) -> None:
    north, south = Upstream(), Upstream()
    cluster = Cluster(3, tmp_path, config_text(("north", north.port), ("south", south.port)), lease_ms=800)
    try:
        cluster.start()
        for daemon in cluster.daemons:
            until(lambda d=daemon: d.events("store_adopted"), why="the configuration")  # type: ignore[misc]
        cluster.ask("maint", "request", "north")
        until(lambda: order_states(cluster) == {"server:north": "out"}, 15.0, "north out")
        # Paused too, as it could accept the requests below and commit them once the quorum is back.
        leader = cluster.leader()
        remaining = next(daemon for daemon in cluster.daemons if daemon is not leader)
        others = [daemon for daemon in cluster.daemons if daemon is not remaining]
        for other in others:
            other.pause()
        command = ("maint", "list", "--stale", "--json")
        until(
            lambda: not orjson.loads(cluster.ask(*command, at=remaining))["current"],
            10.0,
            "the loss of the quorum",
        )
        cluster.ask("maint", "request", "south", "--timeout", "1", code=3, at=remaining)
        cluster.ask("maint", "done", "1", "--timeout", "1", code=3, at=remaining)
        listing = orjson.loads(cluster.ask(*command, at=remaining))
        assert [(row["machine"], row["state"]) for row in listing["orders"]] == [("server:north", "out")]
        before = len(north.received())
        assert "stay away" in Client(remaining.dns_port).ask().to_text()
        for other in others:
            other.resume()
        until(lambda: cluster.leader(), 15.0, "a leader")
        client = Client(remaining.dns_port)
        until(lambda: client.ask().rcode() == 0, 15.0, "service")
        assert len(north.received()) == before
    finally:
        cluster.end()
        north.close()
        south.close()
