"""Real daemons on one store: what operators do to them, and what happens to them."""

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

from benchmarks.daemons import HOST, Asker, Daemon, Upstreams, cluster, config_text
from harepick.fleet.ports import free_port
from harepick.settings import parse_address
from harepick.store import wire
from harepick.store.client import StoreClient, StoreError
from harepick.store.wire import Hello, Welcome
from tests.dnspeers import Client, Upstream
from tests.peers import until


@pytest.fixture
def upstream() -> Iterator[Upstream]:
    made = Upstream()
    yield made
    made.close()


def serving(daemon: Daemon, within: float = 10.0) -> None:
    """Waits until it answers a look-up from an upstream."""
    client = Client(daemon.dns_port)

    def served() -> bool:
        client.send(client.query())
        try:
            answer = client.hear(0.3)
        except ConnectionRefusedError:
            return False
        return answer is not None and answer.rcode() == dns.rcode.NOERROR

    until(served, within, f"a look-up served by {daemon.name}: {daemon.log.read_text()[-3000:]}")


def put(tmp_path: Path, text: str) -> str:
    path = tmp_path / "wanted.toml"
    path.write_text(text)
    return str(path)


def test_one_instance_alone_keeps_configuration_routes_and_pool_view(
    upstream: Upstream, tmp_path: Path
) -> None:
    other = Upstream()
    with cluster(1, config_text(("north", upstream.port))) as made:
        daemon = made.daemons[0]
        serving(daemon)
        route = '[[route]]\nprefix = "+94"\nupstreams = ["south"]\n'
        text = config_text(("north", upstream.port), ("south", other.port)) + route
        assert "revision 2" in made.ask("config", "set", put(tmp_path, text))
        client = Client(daemon.dns_port)
        assert client.ask("7.6.5.4.3.2.1.1.1.4.9.e164.arpa.").rcode() == dns.rcode.NOERROR
        assert len(other.came()) == 1, "the route was not taken"
        until(lambda: "south" in made.ask("config", "get"), why="the revision")
        views = until(lambda: daemon.counters().get("store.views"), why="the pool view")
        assert views
        time.sleep(0.2)
        daemon.kill()
        daemon.start()
        serving(daemon)
        assert daemon.events("store_remembered")[-1]["servers"] == [
            f"north@{HOST}:{upstream.port} ready",
            f"south@{HOST}:{other.port} ready",
        ]
        assert made.ask("config", "get") == text
        assert client.ask("7.6.5.4.3.2.1.1.1.4.9.e164.arpa.").rcode() == dns.rcode.NOERROR
        assert daemon.stop() == 0


def test_a_faulty_configuration_names_its_key_and_changes_nothing(upstream: Upstream, tmp_path: Path) -> None:
    with cluster(1, config_text(("north", upstream.port))) as made:
        serving(made.daemons[0])
        before = made.ask("config", "get")
        for text, key in (
            ("[rules]\ntry_limit = 0\n", "rules.try_limit"),
            ('[enum]\nlisten = "127.0.0.1:1"\n', "enum.listen"),
            ("[store]\n", "store"),
            ('[[upstream]]\nname = "x"\naddress = "nowhere"\n', "upstream[0].address"),
            ("[rule]\n", "rule"),
            ('[[route]]\nprefix = "0094"\nupstreams = ["x"]\n', "upstream"),
        ):
            told = made.ask("config", "set", put(tmp_path, text), code=1)
            assert key in told, told
            assert key in made.tool("config", "check", put(tmp_path, text), code=1)

            async def unchecked(text: str = text, key: str = key) -> None:
                """The same for a tool that does not look itself."""
                async with StoreClient(
                    made.name, [parse_address(f"{HOST}:{made.daemons[0].store_port}", "")]
                ) as c:
                    with pytest.raises(StoreError) as caught:
                        await c.call("set", {"text": text}, 5.0)
                    assert caught.value.code == "invalid" and key in str(caught.value)

            anyio.run(unchecked)
        assert made.ask("config", "get") == before
        assert len(made.ask("config", "history").splitlines()) == 1


def test_history_diff_rollback_and_two_changes_of_one_revision(upstream: Upstream, tmp_path: Path) -> None:
    with cluster(1, config_text(("north", upstream.port))) as made:
        serving(made.daemons[0])
        first = made.ask("config", "get")
        path = put(tmp_path, config_text(("south", upstream.port)))
        made.ask("config", "set", path, "--expect", "1", "--note", "to the south")
        told = made.ask("config", "set", path, "--expect", "1", code=4)
        assert "1 was expected, and 2 is the latest" in told
        assert '-name = "north"' in made.ask("config", "diff")
        made.ask("config", "rollback", "1")
        assert made.ask("config", "get") == first
        rows = orjson.loads(made.ask("config", "history", "--json"))
        assert [r["revision"] for r in rows] == [3, 2, 1] and rows[1]["note"] == "to the south"
        assert "rollback to 1" in rows[0]["note"]
        assert "not kept" in made.ask("config", "rollback", "99", code=1)
        watched = made.ask("config", "watch", "--after", "0", "--count", "3", "--json")
        assert [orjson.loads(line)["revision"] for line in watched.splitlines()] == [1, 2, 3]


def test_a_change_of_class_and_rules_takes_effect_without_a_restart(
    upstream: Upstream, tmp_path: Path
) -> None:
    with cluster(1, config_text(("north", upstream.port))) as made:
        daemon = made.daemons[0]
        serving(daemon)
        upstream.mode = "silent"
        client = Client(daemon.dns_port)
        slow = client.query("1.1.e164.arpa.")
        client.send(slow)  # under the old deadline of 2 s
        until(lambda: len(upstream.came()) >= 2, why="the query")
        text = '[enum]\ndeadline_ms = 600\nsuffix = "lpo.example."\n' + config_text(("north", upstream.port))
        made.ask("config", "set", put(tmp_path, text))
        until(lambda: daemon.events("new_generation"), why="the new generation")
        began = time.time()
        quick = Client(daemon.dns_port)
        answer = quick.ask("1.1.lpo.example.")
        assert answer.rcode() == dns.rcode.SERVFAIL and time.time() - began < 0.7
        assert quick.ask("1.1.e164.arpa.").rcode() == dns.rcode.REFUSED
        upstream.mode = "serve"
        old = client.hear()
        assert old is not None and old.id == slow.id, "a look-up under way was dropped by the change"
        assert quick.ask("2.1.lpo.example.").rcode() in (dns.rcode.NOERROR, dns.rcode.SERVFAIL)
        assert daemon.stop() == 0


def test_a_drain_through_the_store_is_kept_at_once_on_all_instances(tmp_path: Path) -> None:
    stand_ins = Upstreams(2)
    north, south = (("north", stand_ins.ports[0]), ("south", stand_ins.ports[1]))
    with cluster(3, config_text(north, south)) as made:
        for daemon in made.daemons:
            until(lambda d=daemon: d.events("store_adopted"), why="the first revision")  # type: ignore[misc]
        askers = [Asker(d.dns_port, 100, n) for n, d in enumerate(made.daemons)]
        for asker in askers:
            asker.start()
        time.sleep(1.5)
        text = config_text(north, south).replace(
            f":{north[1]}" + '"\n', f":{north[1]}" + '"\ndraining = true\n', 1
        )
        made.ask("config", "set", put(tmp_path, text))
        acknowledged = time.time()
        time.sleep(1.0)
        for asker in askers:
            asker.finish()
    came = stand_ins.finish()
    assert sum(n == 0 for _, n in came) > 20, "nothing went there before the drain"
    # Not only in 250 ms: once it is acknowledged, no instance sends there any more.
    assert max(when for when, n in came if n == 0) <= acknowledged
    assert sum(when > acknowledged for when, _ in came) > 50


def test_a_cut_off_or_paused_instance_refuses_at_once_and_comes_back(upstream: Upstream) -> None:
    with cluster(3, config_text(("north", upstream.port))) as made:
        for daemon in made.daemons:
            serving(daemon)
        left, *others = made.daemons
        for other in others:
            other.pause()
        client = Client(left.dns_port)

        def refused() -> bool:
            client.send(client.query("5.5.e164.arpa."))
            answer = client.hear(1.0)
            return answer is not None and "stay away" in answer.to_text()

        until(refused, 5.0, "a refusal with a time to come back")
        came = len(upstream.came())
        began = time.time()
        answer = client.ask("6.6.e164.arpa.")
        assert answer.rcode() == dns.rcode.SERVFAIL and time.time() - began < 0.2
        assert len(upstream.came()) == came
        assert left.counters()["answers.not_current"] > 0
        assert "no leader" in made.ask("store", "status", "--timeout", "1", code=3, at=left)
        for other in others:
            other.resume()
        for daemon in made.daemons:
            serving(daemon)


@pytest.mark.parametrize("whom", ["leader", "follower"])
def test_one_that_hears_nothing_and_still_speaks_holds_up_nobody(
    whom: str, upstream: Upstream, tmp_path: Path
) -> None:
    """Cut in one direction only, in the middle of changes."""
    with cluster(3, config_text(("north", upstream.port)), proxies=True) as made:
        for daemon in made.daemons:
            serving(daemon)
        leader = made.leader()
        deaf = leader if whom == "leader" else next(d for d in made.daemons if d is not leader)
        path = put(tmp_path, config_text(("south", upstream.port)))
        made.proxies[deaf.name].cut = True
        rest = [d for d in made.daemons if d is not deaf]
        for _ in range(5):
            made.ask("config", "set", path, at=rest[0])
        acknowledged = time.time()
        client = Client(deaf.dns_port)
        for n in range(20):
            client.send(client.query(f"{n % 10}.5.e164.arpa."))
            client.hear(0.3)
        # It may not know the new revision, and must not act on the old one.
        assert not [when for when, *_ in upstream.queries if when > acknowledged]
        for daemon in rest:
            serving(daemon)
        terms = {made.status(d)["term"] for d in rest}
        time.sleep(1.5)
        assert {made.status(d)["term"] for d in rest} == terms, "the deaf one disturbs elections"
        made.proxies[deaf.name].cut = False
        serving(deaf)
        assert made.status(deaf)["revision"] == 6


def test_a_client_is_led_to_the_leader_and_a_repeated_change_counts_once(
    upstream: Upstream, tmp_path: Path
) -> None:
    with cluster(3, config_text(("north", upstream.port))) as made:
        leader = made.leader()
        follower = next(d for d in made.daemons if d is not leader)
        serving(follower)
        path = put(tmp_path, config_text(("south", upstream.port)))
        assert "revision 2" in made.ask("config", "set", path, at=follower)

        async def twice() -> None:
            where = [parse_address(f"{HOST}:{d.store_port}", "") for d in made.daemons]
            async with StoreClient(made.name, where) as client:
                text = config_text(("east", upstream.port))
                first = await client.call("set", {"text": text}, 10.0)
                client._number -= 1  # as after a time-out
                assert await client.call("set", {"text": text}, 10.0) == first
                assert first["revision"] == 3

        anyio.run(twice)
        assert len(made.ask("config", "history").splitlines()) == 3


def test_a_change_is_carried_out_by_others_when_the_leader_that_was_asked_hangs(
    upstream: Upstream, tmp_path: Path
) -> None:
    """Its connections stay open: a tool waited for its answer until its own time was over."""
    with cluster(3, config_text(("north", upstream.port))) as made:
        leader = made.leader()
        serving(leader)

        async def change() -> None:
            where = [parse_address(f"{HOST}:{d.store_port}", "") for d in made.daemons]
            async with StoreClient(made.name, where) as client:
                assert (await client.call("get", {}, 5.0))["revision"] == 1  # the line to the leader is up
                leader.pause()
                found = await client.call("set", {"text": config_text(("east", upstream.port))}, 30.0)
                assert found["revision"] == 2

        began = time.monotonic()
        anyio.run(change)
        assert time.monotonic() - began < 25.0, "it waited for the one that hangs"
        leader.resume()
        serving(leader)
        assert len(made.ask("config", "history").splitlines()) == 2


def test_members_come_and_go_and_the_leader_may_be_among_them(upstream: Upstream, tmp_path: Path) -> None:
    with cluster(3, config_text(("north", upstream.port))) as made:
        leader = made.leader()
        serving(leader)
        new = made.joining("r9")
        new.start()
        made.ask("store", "add", "r9", f"{HOST}:{new.store_port}")
        until(lambda: "r9" in made.ask("store", "members") and "learner" not in made.ask("store", "members"))
        serving(new)
        assert "member already" in made.ask("store", "add", "r9", f"{HOST}:{new.store_port}", code=2)
        assert "loopback" in made.ask("store", "add", "r8", "10.0.0.1:99", code=1)
        made.ask("store", "transfer", new.name)
        until(lambda: made.leader() is new, why="the transfer")
        made.ask("store", "remove", new.name, at=leader)
        until(lambda: made.status(leader)["leader"] not in ("", new.name), 10.0, "a leader among the rest")
        assert new.name not in made.ask("store", "members", at=leader)
        client = Client(new.dns_port)

        def refused() -> bool:
            client.send(client.query("5.5.e164.arpa."))
            answer = client.hear(1.0)
            return answer is not None and answer.rcode() == dns.rcode.SERVFAIL

        until(refused, 5.0, "refusals by the one that was removed")
        time.sleep(1.0)  # it would campaign now
        terms = {made.status(d)["term"] for d in made.daemons if d is not new}
        made.daemons.remove(new)
        path = put(tmp_path, config_text(("south", upstream.port)))
        made.ask("config", "set", path)
        assert {made.status(d)["term"] for d in made.daemons} == terms, "the removed one disturbs elections"
        new.kill()


def test_a_wiped_folder_is_not_let_in_under_its_old_name(upstream: Upstream) -> None:
    with cluster(3, config_text(("north", upstream.port))) as made:
        for daemon in made.daemons:
            serving(daemon)
        wiped = next(d for d in made.daemons if d is not made.leader())
        wiped.kill()
        shutil.rmtree(made.folder / wiped.name)
        wiped.start()
        assert wiped.process is not None and wiped.process.wait(10) == 2
        assert "harepick store init" in wiped.log.read_text()
        made.tool("store", "init", "--operator", str(wiped.path))  # an operator who insists
        wiped.start()
        rest = [d for d in made.daemons if d is not wiped]
        until(lambda: any(d.events("store_turned_away") for d in rest), why="its being turned away")
        assert "wiped" in next(d for d in rest if d.events("store_turned_away")).log.read_text()
        # With one of the others gone as well there is no majority: the wiped one's vote does not make one.
        gone = until(
            lambda: next((d for d in rest if made.status(d)["role"] == "leader"), None), why="a leader"
        )
        gone.kill()
        left = next(d for d in rest if d is not gone)
        time.sleep(2.5)
        assert made.status(left)["role"] not in ("leader", "candidate")
        gone.start()
        serving(gone)


def test_two_of_three_start_cold_with_and_without_the_newest_entry(
    upstream: Upstream, tmp_path: Path
) -> None:
    with cluster(3, config_text(("north", upstream.port))) as made:
        for daemon in made.daemons:
            serving(daemon)
        behind = next(d for d in made.daemons if d is not made.leader())
        behind.kill()
        path = put(tmp_path, config_text(("south", upstream.port)))
        made.ask("config", "set", path)
        newest = [d for d in made.daemons if d is not behind]
        for daemon in newest:
            daemon.kill()
        began = time.time()
        behind.start()
        newest[0].start()
        serving(behind)
        serving(newest[0])
        assert time.time() - began < 10.0  # the figure itself is benchmarks.store_cost's
        assert "south" in made.ask("config", "get", at=behind)


def test_a_full_disk_makes_a_replica_step_aside_and_say_so(upstream: Upstream, tmp_path: Path) -> None:
    """RLIMIT_FSIZE stands in for a full disk: writes past it fail."""
    import resource

    with cluster(3, config_text(("north", upstream.port))) as made:
        for daemon in made.daemons:
            serving(daemon)
        victim = next(d for d in made.daemons if d is not made.leader())
        assert victim.process
        size = victim.log.stat().st_size + 4_000  # its log goes to a file as well
        resource.prlimit(victim.process.pid, resource.RLIMIT_FSIZE, (size, size))
        path = put(tmp_path, "# " + "x" * size + "\n" + config_text(("south", upstream.port)))
        made.ask("config", "set", path)
        until(lambda: victim.events("store_stopped"), why="its stepping aside")
        assert "disk failed" in victim.events("store_stopped")[0]["why"]
        assert made.status(victim)["role"] == "stopped"
        answer = Client(victim.dns_port).ask("5.5.e164.arpa.")
        assert answer.rcode() == dns.rcode.SERVFAIL
        rest = next(d for d in made.daemons if d is not victim)
        serving(rest)
        victim.kill()
        victim.start()
        serving(victim)


def test_strangers_at_the_peer_port_cost_their_connection_alone(upstream: Upstream, tmp_path: Path) -> None:
    with cluster(1, config_text(("north", upstream.port))) as made:
        daemon = made.daemons[0]
        serving(daemon)
        silent = [socket.create_connection((HOST, daemon.store_port)) for _ in range(200)]

        def said(data: bytes) -> bytes:
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
            return wire.welcomes.read(said(wire.frame(hello))[4:])

        assert said(b"\xff\xff\xff\xff") == b""
        assert said(b"GET / HTTP/1.1\r\n\r\n") == b""
        assert said(wire.frame(Hello("peer", made.name, "r9"))[:-1] + b"\0") is not None
        assert "cluster" in welcome(Hello("peer", "other", "r9", "f")).error
        assert "no member" in welcome(Hello("peer", made.name, "r9", "f")).error
        assert "this one" in welcome(Hello("peer", made.name, "r0", "f")).error
        assert "version 9" in welcome(Hello("peer", made.name, "r9", "f", 9)).error
        assert "role" in welcome(Hello("lord", made.name, "r9", "f")).error
        made.ask("config", "set", put(tmp_path, config_text(("south", upstream.port))))
        serving(daemon)
        counters = daemon.counters()
        assert counters["store.strangers_dropped"] >= 100 and counters["store.malformed"] >= 2
        for sock in silent:
            sock.close()


def test_tools_that_stall_or_talk_nonsense_stall_nobody(upstream: Upstream, tmp_path: Path) -> None:
    with cluster(1, config_text(("north", upstream.port))) as made:
        daemon = made.daemons[0]
        serving(daemon)
        hello = wire.frame(Hello("tool", made.name))
        nonsense = [b"\0\0\0\1\xc1", wire.frame({"id": "x"}), b"\x7f\xff\xff\xff" + b"x" * 100]
        for data in nonsense:
            with socket.create_connection((HOST, daemon.store_port), timeout=5) as sock:
                sock.sendall(hello + data)
                received = b""
                while part := sock.recv(4096):
                    received += part
                assert wire.welcomes.read(received[4:]).error == ""
        with socket.create_connection((HOST, daemon.store_port), timeout=5) as stalled:
            ask = wire.frame(wire.Request(1, "get", {}))
            stalled.sendall(hello + ask * 2000)  # and never reads
            for _ in range(3):
                made.ask("config", "set", put(tmp_path, config_text(("south", upstream.port))))
        for method, arguments, code in (
            ("fly", {}, "unknown_method"),
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
                answer = wire.responses.read(stream.read(int.from_bytes(stream.read(4), "big")))
                assert answer.error == code, (method, answer)
        serving(daemon)


def test_a_stopped_replicas_folder_can_be_verified_and_dumped(upstream: Upstream, tmp_path: Path) -> None:
    with cluster(1, config_text(("north", upstream.port))) as made:
        daemon = made.daemons[0]
        serving(daemon)
        made.ask("store", "snapshot")
        text = config_text(("south", upstream.port))
        made.ask("config", "set", put(tmp_path, text))
        words = ("--operator", str(daemon.path))
        assert "in use" in made.tool("store", "verify", *words, code=1)
        assert daemon.stop() == 0
        told = orjson.loads(made.tool("store", "verify", *words, "--json"))
        assert told["last"] >= 4 and told["snapshot"] >= 2
        assert made.tool("store", "dump", *words, "--revision", "0") == text
        name = sorted((made.folder / "r0").glob("log-*"))[-2 if told["last"] < 4 else -1]
        data = bytearray(name.read_bytes())
        data[60] ^= 1
        name.write_bytes(data)
        assert name.name in made.tool("store", "verify", *words, code=1)
        daemon.start()
        assert daemon.process is not None and daemon.process.wait(10) == 2
        assert name.name in daemon.log.read_text()


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


def test_an_address_in_use_is_told_by_its_key(upstream: Upstream, tmp_path: Path) -> None:
    with cluster(1, config_text(("north", upstream.port))) as made:
        daemon = made.daemons[0]
        serving(daemon)
        for key in ("enum.listen", "store.listen"):
            text = daemon.path.read_text().replace(str(made.folder / "r0"), str(tmp_path / "other"))
            mine = str(daemon.store_port if key == "enum.listen" else daemon.dns_port)
            path = tmp_path / "second.toml"
            path.write_text(text.replace(mine, str(free_port())))
            (tmp_path / "first.toml").write_text(made.first.read_text())
            told = made.tool("run", "--operator", str(path), code=2)
            assert f"setting {key}" in told and "already in use" in told.lower()


def test_nothing_of_the_store_is_loaded_where_it_is_off() -> None:
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
        assert not any(m == name or m.startswith(name + ".") for m in loaded), name


def test_sigterm_while_changes_and_look_ups_flow_ends_cleanly(upstream: Upstream, tmp_path: Path) -> None:
    with cluster(3, config_text(("north", upstream.port))) as made:
        for daemon in made.daemons:
            serving(daemon)
        leader = made.leader()
        asker = Asker(leader.dns_port, 50, 1)
        asker.start()
        done = threading.Event()
        path = put(tmp_path, config_text(("north", upstream.port)))

        def change() -> None:
            while not done.is_set():
                made.ask("config", "set", path)

        changer = threading.Thread(target=change)
        changer.start()
        time.sleep(0.5)
        assert leader.process
        leader.process.send_signal(signal.SIGTERM)
        assert leader.process.wait(8) == 0
        leader.process = None
        done.set()
        changer.join()
        asker.finish()
        assert not any(d.events("crashed") for d in made.daemons)
        until(lambda: made.leader() is not leader, why="another leader")
