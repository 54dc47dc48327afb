"""Gaps on a running instance with a store: the operator's commands, and gaps that end."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import dns.rcode
import orjson
import pytest

from benchmarks.daemons import Cluster, config_text
from harepick.gapping.config import GapRow
from tests.dnspeers import Client, Upstream
from tests.peers import until

RADIO, OTHER = "5.4.3.2.1.1.1.4.9.e164.arpa.", "5.4.3.2.1.5.5.4.9.e164.arpa."


@pytest.fixture
def instance(tmp_path: Path) -> Iterator[tuple[Cluster, Client, Upstream, Upstream]]:
    """A cluster of one instance, a DNS client of it, its upstream (north) and a spare one (south)."""
    north, south = Upstream(), Upstream()
    cluster = Cluster(1, tmp_path, "# kept as it is written\n" + config_text(("north", north.port)))
    try:
        cluster.start()
        client = Client(cluster.daemons[0].dns_port)
        # The instance adopts the configuration before it gets the lease that lets it answer look-ups.
        until(lambda: served(client, OTHER, 1) == 1, why="the first look-up served")
        yield cluster, client, north, south
    finally:
        cluster.end()
        north.close()
        south.close()


def served(client: Client, name: str, count: int) -> int:
    """How many of `count` look-ups succeed; 0 if nobody listens yet."""
    with suppress(ConnectionRefusedError):
        return sum(client.ask(f"{n % 10}.{name}").rcode() == dns.rcode.NOERROR for n in range(count))
    return 0


def test_a_gap_is_set_explained_changed_and_lifted_by_command(
    instance: tuple[Cluster, Client, Upstream, Upstream],
) -> None:
    cluster, client, *_ = instance
    client.warm_up(20)
    command = ("gap", "set", "radio", "--prefix", "+9411", "--interval", "none", "--reason", "appeal")
    assert 'id = "radio"' in cluster.ask(*command, "--dry-run")
    assert "no gaps" in cluster.ask("gap", "list")
    assert "set from revision 2" in cluster.ask(*command)
    assert cluster.ask("config", "get").startswith("# kept as it is written\n")
    assert served(client, RADIO, 10) == 0 and served(client, OTHER, 10) == 10
    assert "radio: applies" in cluster.ask("gap", "explain", "+94112345678")
    assert "no gap applies to +94552345678" in cluster.ask("gap", "explain", "+94552345678")
    # A change keeps the keys that are not given.
    cluster.ask("gap", "set", "radio", "--interval", "0")
    shown = orjson.loads(cluster.ask("gap", "show", "radio", "--json"))
    assert (shown["prefix"], shown["interval_s"], shown["reason"]) == ("+9411", 0.0, "appeal")
    assert served(client, RADIO, 10) == 10
    invalid: list[tuple[tuple[str, ...], str]] = [
        (("--prefix", "+94x", "--interval", "1"), "prefix is no + and up to 15 digits"),
        (("--prefix", "+94", "--interval", "-1"), "interval_s"),
        (("--prefix", "+94", "--interval", "1", "--class", "fax"), "class is not known"),
        (("--interval", "1"), "are all empty"),
        (("--prefix", "+94", "--interval", "x"), "neither a number of seconds nor 'none'"),
        (("--prefix", "+94", "--interval", "1", "--for", "5", "--until", "2030-01-01"), "both given"),
    ]
    for arguments, message in invalid:
        assert message in cluster.ask("gap", "set", "bad", *arguments, code=2), arguments
    assert "lifted from revision 4" in cluster.ask("gap", "lift", "radio")
    assert "no gap radio" in cluster.ask("gap", "lift", "radio", code=1)
    # Guards against a fault by which a gap set after the last one was lifted had no effect.
    assert served(client, RADIO, 10) == 10
    cluster.ask("gap", "set", "again", "--prefix", "+9411", "--interval", "none")
    assert served(client, RADIO, 10) == 0


def test_gap_watch_prints_gaps_as_they_are_set_and_changed(
    instance: tuple[Cluster, Client, Upstream, Upstream],
) -> None:
    cluster, *_ = instance
    cluster.ask("gap", "set", "radio", "--prefix", "+9411", "--interval", "1")
    outputs: list[str] = []
    listener = threading.Thread(
        target=lambda: outputs.append(cluster.ask("gap", "watch", "--count", "3", "--json"))
    )
    listener.start()
    for n in range(2, 40):  # the first line is the gap in force when the watch starts
        cluster.ask("gap", "set", "radio", "--interval", str(n))
        listener.join(0.01)
        if not listener.is_alive():
            break
    listener.join(20.0)
    rows = [orjson.loads(line) for line in outputs[0].splitlines()]
    assert [row["what"] for row in rows] == ["set", "changed", "changed"]
    intervals = [row["interval_s"] for row in rows]
    assert intervals == sorted(intervals) and {row["id"] for row in rows} == {"radio"}


def test_an_end_set_by_command_replaces_a_duration_in_the_file() -> None:
    from harepick.cli.toml_rows import with_row

    text = '[[gap]]\nid = "a"\nprefix = "+1"\ninterval_s = 1\nfor_s = 60\n'
    assert with_row(text, "gap", {"id": "a", "until": 5.0}, ("for_s",)).count("for_s") == 0
    assert "for_s = 60" in with_row(text, "gap", {"id": "a", "interval_s": 2})


def test_gap_watch_compares_the_gaps_of_two_revisions() -> None:
    from harepick.cli.gap import _gap_changes

    first, second, changed = (
        GapRow("a", 1.0, prefix="+1"),
        GapRow("b", 1.0, prefix="+2"),
        GapRow("a", 2.0, prefix="+1"),
    )
    assert _gap_changes({}, {"a": first}) == [("set", first)]
    assert _gap_changes({"a": first, "b": second}, {"a": changed}) == [
        ("lifted", second),
        ("changed", changed),
    ]
    assert _gap_changes({"a": first}, {"a": first}) == []


def test_an_invalid_gap_never_becomes_a_revision(
    instance: tuple[Cluster, Client, Upstream, Upstream],
) -> None:
    """Guards against a configuration that the store acknowledges and every instance then refuses whole."""
    cluster, _, north, _ = instance
    text = config_text(("north", north.port))
    path = cluster.folder / "faulty.toml"
    for row, message in (('number = "+94a"', "number is no"), ('class = "fax"', "class is not known")):
        path.write_text(text + f'[[gap]]\nid = "x"\ninterval_s = 1.0\n{row}\n')
        assert message in cluster.ask("config", "set", str(path), code=1)


def test_a_gap_that_is_over_blocks_neither_a_change_nor_a_restart(
    instance: tuple[Cluster, Client, Upstream, Upstream],
) -> None:
    cluster, client, north, south = instance
    (daemon,) = cluster.daemons
    client.warm_up(20)
    cluster.ask("gap", "set", "radio", "--prefix", "+9411", "--interval", "none", "--for", "4")
    assert served(client, RADIO, 5) == 0
    # Over a restart it keeps its end.
    daemon.kill()
    daemon.start()
    until(lambda: served(client, OTHER, 1) == 1, why="the restart")
    assert orjson.loads(cluster.ask("gap", "show", "radio", "--json"))["over"] is False
    assert served(client, RADIO, 1) == 0
    until(lambda: served(client, RADIO, 1) == 1, 8.0, "the gap's end")
    assert orjson.loads(cluster.ask("gap", "show", "radio", "--json"))["over"] is True
    assert "is over: give --for" in cluster.ask("gap", "set", "radio", "--interval", "1", code=2)
    # A later change takes effect although the row is still there.
    text = cluster.ask("config", "get").replace(f":{north.port}", f":{south.port}")
    path = cluster.folder / "next.toml"
    path.write_text(text)
    cluster.ask("config", "set", str(path))
    count_before, deadline = len(south.received()), time.monotonic() + 8.0
    while len(south.received()) == count_before and time.monotonic() < deadline:
        client.ask(OTHER)
    assert len(south.received()) > count_before, "the change did not take effect"
    daemon.kill()
    daemon.start()
    until(lambda: served(client, OTHER, 1) == 1, why="a start with a gap that is over")


def test_a_gap_with_for_s_keeps_its_start_over_a_restart_and_other_changes(
    instance: tuple[Cluster, Client, Upstream, Upstream],
) -> None:
    """Guards against a duration that counts again from the start of each process that reads it."""
    cluster, client, north, south = instance
    (daemon,) = cluster.daemons
    client.warm_up(20)
    path = cluster.folder / "by_hand.toml"
    gap_text = '[[gap]]\nid = "radio"\nprefix = "+9411"\ninterval_s = "none"\nfor_s = 5  # seconds\n'
    path.write_text(config_text(("north", north.port)) + gap_text)
    set_at = time.time()
    cluster.ask("config", "set", str(path))
    shown = orjson.loads(cluster.ask("gap", "show", "radio", "--json"))
    assert set_at - 0.1 <= shown["since"] <= time.time()
    assert "for_s = 5  # seconds" in cluster.ask("config", "get")
    # Another change from the same file, and a restart.
    path.write_text(config_text(("north", south.port)) + gap_text)
    cluster.ask("config", "set", str(path))
    daemon.kill()
    daemon.start()
    until(lambda: served(client, OTHER, 1) == 1, why="the restart")
    assert orjson.loads(cluster.ask("gap", "show", "radio", "--json"))["since"] == shown["since"]
    until(lambda: served(client, RADIO, 1) == 1, 8.0, "the gap's end")
    assert time.time() >= shown["since"] + 5.0
    # An unchanged row that is over does not start again, whatever else changes.
    path.write_text(config_text(("north", north.port)) + gap_text)
    cluster.ask("config", "set", str(path))
    assert orjson.loads(cluster.ask("gap", "show", "radio", "--json"))["over"] is True
