"""Daemons with a replicated store, as separate processes: operators' commands, faults and recovery."""

from __future__ import annotations

import shutil
import signal
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import anyio
import dns.rcode
import orjson
import pytest

from benchmarks.daemons import HOST, Daemon, LookupGenerator, Upstreams, cluster, config_text
from harepick.fleet.ports import free_port
from harepick.settings import parse_address
from harepick.store import wire
from harepick.store.client import StoreClient, StoreError
from harepick.store.wire import Hello, Welcome
from tests.dnspeers import Client, Upstream
from tests.peers import until


@pytest.fixture
def upstream() -> Iterator[Upstream]:
    server = Upstream()
    yield server
    server.close()


def wait_until_serving(daemon: Daemon, within: float = 10.0) -> None:
    """Waits until the daemon answers a look-up with an upstream's answer."""
    client = Client(daemon.dns_port)

    def served() -> bool:
        client.send(client.query())
        try:
            answer = client.receive(0.3)
        except ConnectionRefusedError:
            return False
        return answer is not None and answer.rcode() == dns.rcode.NOERROR

    until(served, within, f"a look-up served by {daemon.name}: {daemon.log.read_text()[-3000:]}")


def write_config(tmp_path: Path, text: str) -> str:
    path = tmp_path / "wanted.toml"
    path.write_text(text)
    return str(path)


def test_one_instance_alone_keeps_configuration_routes_and_pool_view(
    upstream: Upstream, tmp_path: Path
) -> None:
    other = Upstream()
    with cluster(1, config_text(("north", upstream.port))) as store:
        daemon = store.daemons[0]
        wait_until_serving(daemon)
        route = '[[route]]\nprefix = "+94"\nupstreams = ["south"]\n'
        text = config_text(("north", upstream.port), ("south", other.port)) + route
        assert "revision 2" in store.ask("config", "set", write_config(tmp_path, text))
        client = Client(daemon.dns_port)
        assert client.ask("7.6.5.4.3.2.1.1.1.4.9.e164.arpa.").rcode() == dns.rcode.NOERROR
        assert len(other.received()) == 1, "the route was not taken"
        until(lambda: "south" in store.ask("config", "get"), why="the revision")
        views = until(lambda: daemon.counters().get("store.views"), why="the pool view")
        assert views
        time.sleep(0.2)
        daemon.kill()
        daemon.start()
        wait_until_serving(daemon)
        assert daemon.events("store_remembered")[-1]["servers"] == [
            f"north@{HOST}:{upstream.port} ready",
            f"south@{HOST}:{other.port} ready",
        ]
        assert store.ask("config", "get") == text
        assert client.ask("7.6.5.4.3.2.1.1.1.4.9.e164.arpa.").rcode() == dns.rcode.NOERROR
        assert daemon.stop() == 0


def test_a_faulty_configuration_names_its_key_and_changes_nothing(upstream: Upstream, tmp_path: Path) -> None:
    with cluster(1, config_text(("north", upstream.port))) as store:
        wait_until_serving(store.daemons[0])
        before = store.ask("config", "get")
        for text, key in (
            ("[rules]\ntry_limit = 0\n", "rules.try_limit"),
            ('[enum]\nlisten = "127.0.0.1:1"\n', "enum.listen"),
            ("[store]\n", "store"),
            ('[[upstream]]\nname = "x"\naddress = "nowhere"\n', "upstream[0].address"),
            ("[rule]\n", "rule"),
            ('[[route]]\nprefix = "0094"\nupstreams = ["x"]\n', "upstream"),
        ):
            output = store.ask("config", "set", write_config(tmp_path, text), code=1)
            assert key in output, output
            assert key in store.tool("config", "check", write_config(tmp_path, text), code=1)

            async def set_without_tool_check(text: str = text, key: str = key) -> None:
                """The replica rejects it too if the tool does not check it first."""
                async with StoreClient(
                    store.name, [parse_address(f"{HOST}:{store.daemons[0].store_port}", "")]
                ) as client:
                    with pytest.raises(StoreError) as caught:
                        await client.call("set", {"text": text}, 5.0)
                    assert caught.value.code == "invalid" and key in str(caught.value)

            anyio.run(set_without_tool_check)
        assert store.ask("config", "get") == before
        assert len(store.ask("config", "history").splitlines()) == 1


def test_history_diff_rollback_and_refusal_of_a_second_change_of_one_revision(
    upstream: Upstream, tmp_path: Path
) -> None:
    with cluster(1, config_text(("north", upstream.port))) as store:
        wait_until_serving(store.daemons[0])
        first = store.ask("config", "get")
        path = write_config(tmp_path, config_text(("south", upstream.port)))
        store.ask("config", "set", path, "--expect", "1", "--note", "to the south")
        output = store.ask("config", "set", path, "--expect", "1", code=4)
        assert "1 was expected, and 2 is the latest" in output
        assert '-name = "north"' in store.ask("config", "diff")
        store.ask("config", "rollback", "1")
        assert store.ask("config", "get") == first
        rows = orjson.loads(store.ask("config", "history", "--json"))
        assert [row["revision"] for row in rows] == [3, 2, 1] and rows[1]["note"] == "to the south"
        assert "rollback to 1" in rows[0]["note"]
        assert "not kept" in store.ask("config", "rollback", "99", code=1)
        watched = store.ask("config", "watch", "--after", "0", "--count", "3", "--json")
        assert [orjson.loads(line)["revision"] for line in watched.splitlines()] == [1, 2, 3]


def test_a_change_of_class_and_rules_takes_effect_without_a_restart(
    upstream: Upstream, tmp_path: Path
) -> None:
    with cluster(1, config_text(("north", upstream.port))) as store:
        daemon = store.daemons[0]
        wait_until_serving(daemon)
        upstream.mode = "silent"
        client = Client(daemon.dns_port)
        old_query = client.query("1.1.e164.arpa.")
        client.send(old_query)  # under the old deadline of 2 s
        until(lambda: len(upstream.received()) >= 2, why="the query")
        text = '[enum]\ndeadline_ms = 600\nsuffix = "lpo.example."\n' + config_text(("north", upstream.port))
        store.ask("config", "set", write_config(tmp_path, text))
        until(lambda: daemon.events("new_generation"), why="the new generation")
        began = time.time()
        new_client = Client(daemon.dns_port)
        answer = new_client.ask("1.1.lpo.example.")
        assert answer.rcode() == dns.rcode.SERVFAIL and time.time() - began < 0.7
        assert new_client.ask("1.1.e164.arpa.").rcode() == dns.rcode.REFUSED
        upstream.mode = "serve"
        old_answer = client.receive()
        assert old_answer is not None and old_answer.id == old_query.id, (
            "a look-up under way was dropped by the change"
        )
        assert new_client.ask("2.1.lpo.example.").rcode() in (dns.rcode.NOERROR, dns.rcode.SERVFAIL)
        assert daemon.stop() == 0


def test_a_drain_through_the_store_holds_on_all_instances_once_acknowledged(tmp_path: Path) -> None:
    fake_servers = Upstreams(2)
    north, south = (("north", fake_servers.ports[0]), ("south", fake_servers.ports[1]))
    with cluster(3, config_text(north, south)) as store:
        for daemon in store.daemons:
            until(lambda instance=daemon: instance.events("store_adopted"), why="the first revision")  # type: ignore[misc]
        load_generators = [
            LookupGenerator(instance.dns_port, 100, number) for number, instance in enumerate(store.daemons)
        ]
        for load_generator in load_generators:
            load_generator.start()
        time.sleep(1.5)
        text = config_text(north, south).replace(
            f":{north[1]}" + '"\n', f":{north[1]}" + '"\ndraining = true\n', 1
        )
        store.ask("config", "set", write_config(tmp_path, text))
        acknowledged = time.time()
        time.sleep(1.0)
        for load_generator in load_generators:
            load_generator.finish()
    queries = fake_servers.finish()
    assert sum(number == 0 for _, number in queries) > 20, "nothing went there before the drain"
    # From the acknowledgement on, no instance sends to the drained server, not even for 250 ms.
    assert max(sent_at for sent_at, number in queries if number == 0) <= acknowledged
    assert sum(sent_at > acknowledged for sent_at, _ in queries) > 50


def test_an_isolated_instance_refuses_at_once_and_recovers(upstream: Upstream) -> None:
    """Without a lease, an instance may hold an outdated configuration, so it must send nothing."""
    with cluster(3, config_text(("north", upstream.port))) as store:
        for daemon in store.daemons:
            wait_until_serving(daemon)
        isolated, *others = store.daemons
        for other in others:
            other.pause()
        client = Client(isolated.dns_port)

        def refused() -> bool:
            client.send(client.query("5.5.e164.arpa."))
            answer = client.receive(1.0)
            return answer is not None and "stay away" in answer.to_text()

        until(refused, 5.0, "a refusal with a retry time")
        query_count = len(upstream.received())
        began = time.time()
        answer = client.ask("6.6.e164.arpa.")
        assert answer.rcode() == dns.rcode.SERVFAIL and time.time() - began < 0.2
        assert len(upstream.received()) == query_count
        assert isolated.counters()["answers.not_current"] > 0
        assert "no leader" in store.ask("store", "status", "--timeout", "1", code=3, at=isolated)
        for other in others:
            other.resume()
        for daemon in store.daemons:
            wait_until_serving(daemon)


@pytest.mark.parametrize("role", ["leader", "follower"])
def test_a_replica_that_only_sends_does_not_block_the_others(
    role: str, upstream: Upstream, tmp_path: Path
) -> None:
    """Guards against a link that fails in one direction only: the replica can't receive, but its requests for
    votes reach the others and could disturb their leader."""
    with cluster(3, config_text(("north", upstream.port)), proxies=True) as store:
        for daemon in store.daemons:
            wait_until_serving(daemon)
        leader = store.leader()
        send_only = (
            leader
            if role == "leader"
            else next(instance for instance in store.daemons if instance is not leader)
        )
        path = write_config(tmp_path, config_text(("south", upstream.port)))
        store.proxies[send_only.name].cut = True
        rest = [instance for instance in store.daemons if instance is not send_only]
        for _ in range(5):
            store.ask("config", "set", path, at=rest[0])
        acknowledged = time.time()
        client = Client(send_only.dns_port)
        for number in range(20):
            client.send(client.query(f"{number % 10}.5.e164.arpa."))
            client.receive(0.3)
        # It may not know the new revision yet, but must not act on the old one.
        assert not [sent_at for sent_at, *_ in upstream.queries if sent_at > acknowledged]
        for daemon in rest:
            wait_until_serving(daemon)
        terms = {store.status(instance)["term"] for instance in rest}
        time.sleep(1.5)
        assert {store.status(instance)["term"] for instance in rest} == terms, (
            "the replica that only sends disturbs elections"
        )
        store.proxies[send_only.name].cut = False
        wait_until_serving(send_only)
        assert store.status(send_only)["revision"] == 6


def test_a_client_is_redirected_to_the_leader_and_a_repeated_change_takes_effect_once(
    upstream: Upstream, tmp_path: Path
) -> None:
    """A change repeated under its number must return the first result and add no revision."""
    with cluster(3, config_text(("north", upstream.port))) as store:
        leader = store.leader()
        follower = next(instance for instance in store.daemons if instance is not leader)
        wait_until_serving(follower)
        path = write_config(tmp_path, config_text(("south", upstream.port)))
        assert "revision 2" in store.ask("config", "set", path, at=follower)

        async def twice() -> None:
            addresses = [parse_address(f"{HOST}:{instance.store_port}", "") for instance in store.daemons]
            async with StoreClient(store.name, addresses) as client:
                text = config_text(("east", upstream.port))
                first = await client.call("set", {"text": text}, 10.0)
                client._number -= 1  # as after a timeout
                assert await client.call("set", {"text": text}, 10.0) == first
                assert first["revision"] == 3

        anyio.run(twice)
        assert len(store.ask("config", "history").splitlines()) == 3


def test_a_change_succeeds_on_another_replica_when_the_leader_hangs(
    upstream: Upstream, tmp_path: Path
) -> None:
    """A hanging leader keeps its connections open, so a tool must not wait for it until its own deadline."""
    with cluster(3, config_text(("north", upstream.port))) as store:
        leader = store.leader()
        wait_until_serving(leader)

        async def change() -> None:
            addresses = [parse_address(f"{HOST}:{instance.store_port}", "") for instance in store.daemons]
            async with StoreClient(store.name, addresses) as client:
                assert (await client.call("get", {}, 5.0))["revision"] == 1  # connects to the leader
                leader.pause()
                result = await client.call("set", {"text": config_text(("east", upstream.port))}, 30.0)
                assert result["revision"] == 2

        began = time.monotonic()
        anyio.run(change)
        assert time.monotonic() - began < 25.0, "the client waited for the hanging leader"
        leader.resume()
        wait_until_serving(leader)
        assert len(store.ask("config", "history").splitlines()) == 2


def test_members_are_added_and_removed_including_the_leader(upstream: Upstream, tmp_path: Path) -> None:
    with cluster(3, config_text(("north", upstream.port))) as store:
        leader = store.leader()
        wait_until_serving(leader)
        joining = store.joining("r9")
        joining.start()
        store.ask("store", "add", "r9", f"{HOST}:{joining.store_port}")
        until(
            lambda: "r9" in store.ask("store", "members") and "learner" not in store.ask("store", "members")
        )
        wait_until_serving(joining)
        assert "member already" in store.ask("store", "add", "r9", f"{HOST}:{joining.store_port}", code=2)
        assert "loopback" in store.ask("store", "add", "r8", "10.0.0.1:99", code=1)
        store.ask("store", "transfer", joining.name)
        until(lambda: store.leader() is joining, why="the transfer")
        store.ask("store", "remove", joining.name, at=leader)
        until(
            lambda: store.status(leader)["leader"] not in ("", joining.name), 10.0, "a leader among the rest"
        )
        assert joining.name not in store.ask("store", "members", at=leader)
        client = Client(joining.dns_port)

        def refused() -> bool:
            client.send(client.query("5.5.e164.arpa."))
            answer = client.receive(1.0)
            return answer is not None and answer.rcode() == dns.rcode.SERVFAIL

        until(refused, 5.0, "refusals by the removed replica")
        time.sleep(1.0)  # long enough for the removed replica to start an election
        terms = {store.status(instance)["term"] for instance in store.daemons if instance is not joining}
        store.daemons.remove(joining)
        path = write_config(tmp_path, config_text(("south", upstream.port)))
        store.ask("config", "set", path)
        assert {store.status(instance)["term"] for instance in store.daemons} == terms, (
            "the removed replica disturbs elections"
        )
        joining.kill()


def test_a_wiped_replica_is_refused_under_its_old_name(upstream: Upstream) -> None:
    """A wiped replica has lost its votes and entries, so it could elect a leader that lacks some of them."""
    with cluster(3, config_text(("north", upstream.port))) as store:
        for daemon in store.daemons:
            wait_until_serving(daemon)
        wiped = next(instance for instance in store.daemons if instance is not store.leader())
        wiped.kill()
        shutil.rmtree(store.folder / wiped.name)
        wiped.start()
        assert wiped.process is not None and wiped.process.wait(10) == 2
        assert "harepick store init" in wiped.log.read_text()
        # An operator creates the folder again anyway.
        store.tool("store", "init", "--operator", str(wiped.path))
        wiped.start()
        rest = [instance for instance in store.daemons if instance is not wiped]
        until(
            lambda: any(instance.events("store_turned_away") for instance in rest),
            why="the refusal of the wiped replica",
        )
        assert (
            "wiped"
            in next(instance for instance in rest if instance.events("store_turned_away")).log.read_text()
        )
        # With another replica down there is no majority, and the vote of the wiped one must not make one.
        leader = until(
            lambda: next((instance for instance in rest if store.status(instance)["role"] == "leader"), None),
            why="a leader",
        )
        leader.kill()
        follower = next(instance for instance in rest if instance is not leader)
        time.sleep(2.5)
        assert store.status(follower)["role"] not in ("leader", "candidate")
        leader.start()
        wait_until_serving(leader)


def test_two_of_three_start_cold_with_and_without_the_newest_entry(
    upstream: Upstream, tmp_path: Path
) -> None:
    """The replica that was down during the change must get it from the other one."""
    with cluster(3, config_text(("north", upstream.port))) as store:
        for daemon in store.daemons:
            wait_until_serving(daemon)
        behind = next(instance for instance in store.daemons if instance is not store.leader())
        behind.kill()
        path = write_config(tmp_path, config_text(("south", upstream.port)))
        store.ask("config", "set", path)
        up_to_date = [instance for instance in store.daemons if instance is not behind]
        for daemon in up_to_date:
            daemon.kill()
        began = time.time()
        behind.start()
        up_to_date[0].start()
        wait_until_serving(behind)
        wait_until_serving(up_to_date[0])
        assert time.time() - began < 10.0  # benchmarks.store_cost measures the time itself
        assert "south" in store.ask("config", "get", at=behind)


def test_a_full_disk_stops_the_replica_and_is_reported(upstream: Upstream, tmp_path: Path) -> None:
    """RLIMIT_FSIZE simulates a full disk: writes beyond it fail."""
    import resource

    with cluster(3, config_text(("north", upstream.port))) as store:
        for daemon in store.daemons:
            wait_until_serving(daemon)
        victim = next(instance for instance in store.daemons if instance is not store.leader())
        assert victim.process
        size = victim.log.stat().st_size + 4_000  # the limit also applies to the daemon's log file
        resource.prlimit(victim.process.pid, resource.RLIMIT_FSIZE, (size, size))
        path = write_config(tmp_path, "# " + "x" * size + "\n" + config_text(("south", upstream.port)))
        store.ask("config", "set", path)
        until(lambda: victim.events("store_stopped"), why="the stop of the replica")
        assert "disk failed" in victim.events("store_stopped")[0]["why"]
        assert store.status(victim)["role"] == "stopped"
        answer = Client(victim.dns_port).ask("5.5.e164.arpa.")
        assert answer.rcode() == dns.rcode.SERVFAIL
        other = next(instance for instance in store.daemons if instance is not victim)
        wait_until_serving(other)
        victim.kill()
        victim.start()
        wait_until_serving(victim)


def test_invalid_connections_to_the_peer_port_are_closed_and_affect_nothing_else(
    upstream: Upstream, tmp_path: Path
) -> None:
    with cluster(1, config_text(("north", upstream.port))) as store:
        daemon = store.daemons[0]
        wait_until_serving(daemon)
        silent = [socket.create_connection((HOST, daemon.store_port)) for _ in range(200)]

        def answer_to(data: bytes) -> bytes:
            with socket.create_connection((HOST, daemon.store_port), timeout=5) as sock:
                sock.sendall(data)
                answer = b""
                try:
                    while part := sock.recv(4096):
                        answer += part
                except ConnectionResetError:
                    pass
                return answer

        def welcome(hello: Hello) -> Welcome:
            return wire.welcome_decoder.read(answer_to(wire.frame(hello))[4:])

        assert answer_to(b"\xff\xff\xff\xff") == b""
        assert answer_to(b"GET / HTTP/1.1\r\n\r\n") == b""
        assert answer_to(wire.frame(Hello("peer", store.name, "r9"))[:-1] + b"\0") is not None
        assert "cluster" in welcome(Hello("peer", "other", "r9", "f")).error
        assert "no member" in welcome(Hello("peer", store.name, "r9", "f")).error
        assert "this one" in welcome(Hello("peer", store.name, "r0", "f")).error
        assert "version 9" in welcome(Hello("peer", store.name, "r9", "f", 9)).error
        assert "role" in welcome(Hello("observer", store.name, "r9", "f")).error
        store.ask("config", "set", write_config(tmp_path, config_text(("south", upstream.port))))
        wait_until_serving(daemon)
        counters = daemon.counters()
        assert counters["store.strangers_dropped"] >= 100 and counters["store.malformed"] >= 2
        for sock in silent:
            sock.close()


def test_tools_that_stall_or_send_malformed_requests_do_not_block_others(
    upstream: Upstream, tmp_path: Path
) -> None:
    with cluster(1, config_text(("north", upstream.port))) as store:
        daemon = store.daemons[0]
        wait_until_serving(daemon)
        hello = wire.frame(Hello("tool", store.name))
        malformed = [b"\0\0\0\1\xc1", wire.frame({"id": "x"}), b"\x7f\xff\xff\xff" + b"x" * 100]
        for data in malformed:
            with socket.create_connection((HOST, daemon.store_port), timeout=5) as sock:
                sock.sendall(hello + data)
                received = b""
                while part := sock.recv(4096):
                    received += part
                assert wire.welcome_decoder.read(received[4:]).error == ""
        with socket.create_connection((HOST, daemon.store_port), timeout=5) as stalled:
            request = wire.frame(wire.Request(1, "get", {}))
            stalled.sendall(hello + request * 2000)  # never reads the answers
            for _ in range(3):
                store.ask("config", "set", write_config(tmp_path, config_text(("south", upstream.port))))
        for method, arguments, code in (
            ("no_such_method", {}, "unknown_method"),
            ("set", {"text": 3}, "bad_request"),
            ("set", {}, "bad_request"),
            ("get", {"revision": -1}, "bad_request"),
            ("get", {"revision": 99}, "no_revision"),
            ("get", {"wait": "long"}, "bad_request"),
            ("watch", {"after": "x"}, "bad_request"),
        ):
            with socket.create_connection((HOST, daemon.store_port), timeout=5) as sock:
                sock.sendall(hello + wire.frame(wire.Request(1, method, arguments)))
                stream = sock.makefile("rb")
                stream.read(int.from_bytes(stream.read(4), "big"))
                answer = wire.response_decoder.read(stream.read(int.from_bytes(stream.read(4), "big")))
                assert answer.error == code, (method, answer)
        wait_until_serving(daemon)


def test_a_stopped_replicas_folder_can_be_verified_and_dumped(upstream: Upstream, tmp_path: Path) -> None:
    with cluster(1, config_text(("north", upstream.port))) as store:
        daemon = store.daemons[0]
        wait_until_serving(daemon)
        store.ask("store", "snapshot")
        text = config_text(("south", upstream.port))
        store.ask("config", "set", write_config(tmp_path, text))
        operator_arguments = ("--operator", str(daemon.path))
        assert "in use" in store.tool("store", "verify", *operator_arguments, code=1)
        assert daemon.stop() == 0
        report = orjson.loads(store.tool("store", "verify", *operator_arguments, "--json"))
        assert report["last"] >= 4 and report["snapshot"] >= 2
        assert store.tool("store", "dump", *operator_arguments, "--revision", "0") == text
        segment = sorted((store.folder / "r0").glob("log-*"))[-2 if report["last"] < 4 else -1]
        data = bytearray(segment.read_bytes())
        data[60] ^= 1
        segment.write_bytes(data)
        assert segment.name in store.tool("store", "verify", *operator_arguments, code=1)
        daemon.start()
        assert daemon.process is not None and daemon.process.wait(10) == 2
        assert segment.name in daemon.log.read_text()


@pytest.mark.parametrize(
    ("key", "text"),
    [
        ("store.folder", "[store]\n"),
        ("store.listen", '[store]\nfolder = "x"\nlisten = "10.0.0.1:7353"\n'),
        ("store.lease_ms", '[store]\nfolder = "x"\nlease_ms = 1\n'),
        ("store.replica", '[store]\nfolder = "x"\nreplica = "a b"\n'),
        ("store.colour", '[store]\nfolder = "x"\ncolour = 1\n'),
        ("store.member[0].address", '[store]\nfolder = "x"\n[[store.member]]\nreplica = "a"\n'),
        ("store.first", '[store]\nfolder = "x"\nfirst = "nowhere.toml"\n'),
        ("upstream", '[store]\nfolder = "x"\n[[upstream]]\nname = "a"\n'),
        ("enum.suffix", '[enum]\nsuffix = "a."\n[store]\nfolder = "x"\n'),
    ],
)
def test_a_faulty_operators_file_names_its_key(key: str, text: str, tmp_path: Path) -> None:
    import subprocess
    import sys

    path = tmp_path / "operator.toml"
    path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "harepick", "--operator", str(path)],
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert done.returncode == 2 and f"setting {key}" in done.stderr, done.stderr
    assert len(done.stderr.strip().splitlines()) == 1


def test_an_address_in_use_is_reported_with_its_key(upstream: Upstream, tmp_path: Path) -> None:
    with cluster(1, config_text(("north", upstream.port))) as store:
        daemon = store.daemons[0]
        wait_until_serving(daemon)
        for key in ("enum.listen", "store.listen"):
            text = daemon.path.read_text().replace(str(store.folder / "r0"), str(tmp_path / "other"))
            own_port = str(daemon.store_port if key == "enum.listen" else daemon.dns_port)
            path = tmp_path / "second.toml"
            path.write_text(text.replace(own_port, str(free_port())))
            (tmp_path / "first.toml").write_text(store.first.read_text())
            output = store.tool("run", "--operator", str(path), code=2)
            assert f"setting {key}" in output and "already in use" in output.lower()


def test_the_store_is_not_imported_where_it_is_off() -> None:
    """Parts that are not configured must not be loaded, nor the packages that only they need."""
    import subprocess
    import sys

    code = "import harepick.__main__, sys; print([m for m in sys.modules])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded = set(eval(done.stdout))
    assert "harepick.net.service" in loaded
    for name in (
        "harepick.store",
        "harepick.cli",
        "harepick.fleet",
        "harepick.gapping",
        "matplotlib",
        "msgspec",
        "zstandard",
        "click",
        "google_crc32c",
        "harepick.enumdns",
        "harepick.ops",  # loaded only where `ops` is configured
        "prometheus_client",
        "h11",
    ):
        assert not any(module == name or module.startswith(name + ".") for module in loaded), name


def test_sigterm_while_changes_and_look_ups_flow_ends_cleanly(upstream: Upstream, tmp_path: Path) -> None:
    with cluster(3, config_text(("north", upstream.port))) as store:
        for daemon in store.daemons:
            wait_until_serving(daemon)
        leader = store.leader()
        load_generator = LookupGenerator(leader.dns_port, 50, 1)
        load_generator.start()
        done = threading.Event()
        path = write_config(tmp_path, config_text(("north", upstream.port)))

        def change() -> None:
            while not done.is_set():
                store.ask("config", "set", path)

        change_thread = threading.Thread(target=change)
        change_thread.start()
        time.sleep(0.5)
        assert leader.process
        leader.process.send_signal(signal.SIGTERM)
        assert leader.process.wait(8) == 0
        leader.process = None
        done.set()
        change_thread.join()
        load_generator.finish()
        assert not any(instance.events("crashed") for instance in store.daemons)
        until(lambda: store.leader() is not leader, why="another leader")
