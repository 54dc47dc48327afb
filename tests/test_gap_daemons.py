"""Gaps on a real daemon with a store: what an operator types, and what holds when a gap's time is over."""

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
def one(tmp_path: Path) -> Iterator[tuple[Cluster, Client, Upstream, Upstream]]:
    north, south = Upstream(), Upstream()
    cluster = Cluster(1, tmp_path, "# kept as it is written\n" + config_text(("north", north.port)))
    try:
        cluster.start()
        client = Client(cluster.daemons[0].dns_port)
        # Adopting the configuration comes before the lease under which it is acted on.
        until(lambda: served(client, OTHER, 1) == 1, why="the first look-up served")
        yield cluster, client, north, south
    finally:
        cluster.end()
        north.close()
        south.close()


def served(client: Client, name: str, count: int) -> int:
    """Look-ups that were answered; none where nobody listens for now."""
    with suppress(ConnectionRefusedError):
        return sum(client.ask(f"{n % 10}.{name}").rcode() == dns.rcode.NOERROR for n in range(count))
    return 0


def test_a_gap_is_set_explained_changed_and_lifted_by_command(
    one: tuple[Cluster, Client, Upstream, Upstream],
) -> None:
    cluster, client, *_ = one
    client.warm_up(20)
    words = ("gap", "set", "radio", "--prefix", "+9411", "--interval", "none", "--reason", "appeal")
    assert 'id = "radio"' in cluster.ask(*words, "--dry-run")
    assert "no gaps" in cluster.ask("gap", "list")
    assert "set from revision 2" in cluster.ask(*words)
    assert cluster.ask("config", "get").startswith("# kept as it is written\n")
    assert served(client, RADIO, 10) == 0 and served(client, OTHER, 10) == 10
    assert "radio: counts" in cluster.ask("gap", "explain", "+94112345678")
    assert "meets no gap" in cluster.ask("gap", "explain", "+94552345678")
    # Changed: what is not given stays as it was.
    cluster.ask("gap", "set", "radio", "--interval", "0")
    shown = orjson.loads(cluster.ask("gap", "show", "radio", "--json"))
    assert (shown["prefix"], shown["interval_s"], shown["reason"]) == ("+9411", 0.0, "appeal")
    assert served(client, RADIO, 10) == 10
    faulty: list[tuple[tuple[str, ...], str]] = [
        (("--prefix", "+94x", "--interval", "1"), "prefix is no + and up to 15 digits"),
        (("--prefix", "+94", "--interval", "-1"), "interval_s"),
        (("--prefix", "+94", "--interval", "1", "--class", "fax"), "class is not known"),
        (("--interval", "1"), "are all empty"),
        (("--prefix", "+94", "--interval", "x"), "no number of seconds"),
        (("--prefix", "+94", "--interval", "1", "--for", "5", "--until", "2030-01-01"), "both given"),
    ]
    for more, why in faulty:
        assert why in cluster.ask("gap", "set", "bad", *more, code=2), more
    assert "lifted from revision 4" in cluster.ask("gap", "lift", "radio")
    assert "no gap radio" in cluster.ask("gap", "lift", "radio", code=1)
    # Once there was none left, the next gap that was set was looked at by nobody.
    assert served(client, RADIO, 10) == 10
    cluster.ask("gap", "set", "again", "--prefix", "+9411", "--interval", "none")
    assert served(client, RADIO, 10) == 0


def test_a_watch_tells_of_gaps_as_they_are_set_and_changed(
    one: tuple[Cluster, Client, Upstream, Upstream],
) -> None:
    cluster, *_ = one
    cluster.ask("gap", "set", "radio", "--prefix", "+9411", "--interval", "1")
    heard: list[str] = []
    listener = threading.Thread(
        target=lambda: heard.append(cluster.ask("gap", "watch", "--count", "3", "--json"))
    )
    listener.start()
    for n in range(2, 40):  # whenever it begins to listen, the first line is the gap that holds by then
        cluster.ask("gap", "set", "radio", "--interval", str(n))
        listener.join(0.01)
        if not listener.is_alive():
            break
    listener.join(20.0)
    rows = [orjson.loads(line) for line in heard[0].splitlines()]
    assert [row["what"] for row in rows] == ["set", "changed", "changed"]
    intervals = [row["interval_s"] for row in rows]
    assert intervals == sorted(intervals) and {row["id"] for row in rows} == {"radio"}


def test_an_end_by_command_takes_the_place_of_one_written_by_hand() -> None:
    from harepick.cli.toml_rows import changed

    text = '[[gap]]\nid = "a"\nprefix = "+1"\ninterval_s = 1\nfor_s = 60\n'
    assert changed(text, "gap", {"id": "a", "until": 5.0}, ("for_s",)).count("for_s") == 0
    assert "for_s = 60" in changed(text, "gap", {"id": "a", "interval_s": 2})


def test_what_became_of_gaps_from_one_revision_to_the_next() -> None:
    from harepick.cli.gap import _news

    one, two, changed = (
        GapRow("a", 1.0, prefix="+1"),
        GapRow("b", 1.0, prefix="+2"),
        GapRow("a", 2.0, prefix="+1"),
    )
    assert _news({}, {"a": one}) == [("set", one)]
    assert _news({"a": one, "b": two}, {"a": changed}) == [("lifted", two), ("changed", changed)]
    assert _news({"a": one}, {"a": one}) == []


def test_a_faulty_gap_never_becomes_a_revision(one: tuple[Cluster, Client, Upstream, Upstream]) -> None:
    """It was acknowledged, and then turned down by every instance with all else that it said."""
    cluster, _, north, _ = one
    text = config_text(("north", north.port))
    path = cluster.folder / "faulty.toml"
    for row, why in (('number = "+94a"', "number is no"), ('class = "fax"', "class is not known")):
        path.write_text(text + f'[[gap]]\nid = "x"\ninterval_s = 1.0\n{row}\n')
        assert why in cluster.ask("config", "set", str(path), code=1)


def test_a_gap_whose_time_is_over_holds_up_no_change_and_no_restart(
    one: tuple[Cluster, Client, Upstream, Upstream],
) -> None:
    cluster, client, north, south = one
    (daemon,) = cluster.daemons
    client.warm_up(20)
    cluster.ask("gap", "set", "radio", "--prefix", "+9411", "--interval", "none", "--for", "4")
    assert served(client, RADIO, 5) == 0
    # It goes on over a restart, for as long as it had left.
    daemon.kill()
    daemon.start()
    until(lambda: served(client, OTHER, 1) == 1, why="the restart")
    assert orjson.loads(cluster.ask("gap", "show", "radio", "--json"))["over"] is False
    assert served(client, RADIO, 1) == 0
    until(lambda: served(client, RADIO, 1) == 1, 8.0, "the gap's end")
    assert orjson.loads(cluster.ask("gap", "show", "radio", "--json"))["over"] is True
    assert "is over: give --for" in cluster.ask("gap", "set", "radio", "--interval", "1", code=2)
    # What comes after takes effect, with the row still there.
    text = cluster.ask("config", "get").replace(f":{north.port}", f":{south.port}")
    path = cluster.folder / "next.toml"
    path.write_text(text)
    cluster.ask("config", "set", str(path))
    before, time_out = len(south.came()), time.monotonic() + 8.0
    while len(south.came()) == before and time.monotonic() < time_out:
        client.ask(OTHER)
    assert len(south.came()) > before, "the change never took effect"
    daemon.kill()
    daemon.start()
    until(lambda: served(client, OTHER, 1) == 1, why="a start with a gap that is over")


def test_a_gap_written_with_for_s_goes_on_over_a_restart_and_over_other_changes(
    one: tuple[Cluster, Client, Upstream, Upstream],
) -> None:
    """Its time began anew with each process that read it."""
    cluster, client, north, south = one
    (daemon,) = cluster.daemons
    client.warm_up(20)
    path = cluster.folder / "by_hand.toml"
    gap = '[[gap]]\nid = "radio"\nprefix = "+9411"\ninterval_s = "none"\nfor_s = 5  # seconds\n'
    path.write_text(config_text(("north", north.port)) + gap)
    began = time.time()
    cluster.ask("config", "set", str(path))
    shown = orjson.loads(cluster.ask("gap", "show", "radio", "--json"))
    assert began - 0.1 <= shown["since"] <= time.time()
    assert "for_s = 5  # seconds" in cluster.ask("config", "get")
    # Another change from the same file, and a restart.
    path.write_text(config_text(("north", south.port)) + gap)
    cluster.ask("config", "set", str(path))
    daemon.kill()
    daemon.start()
    until(lambda: served(client, OTHER, 1) == 1, why="the restart")
    assert orjson.loads(cluster.ask("gap", "show", "radio", "--json"))["since"] == shown["since"]
    until(lambda: served(client, RADIO, 1) == 1, 8.0, "the gap's end")
    assert time.time() >= shown["since"] + 5.0
    # Over is over, whatever else changes: the same row does not begin anew.
    path.write_text(config_text(("north", north.port)) + gap)
    cluster.ask("config", "set", str(path))
    assert orjson.loads(cluster.ask("gap", "show", "radio", "--json"))["over"] is True
