"""Measures what the store costs: look-ups without it, with it idle, under changes, with a follower paused.

All modes alternate in one run. It also measures how long a change takes, how long a cluster is without a
leader, and how long starts take.

    python -m benchmarks.store_cost --seconds 60 --seed 1
"""

from __future__ import annotations

import argparse
import multiprocessing
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from multiprocessing.connection import Connection
from pathlib import Path

import anyio

from benchmarks.daemons import (
    HOST,
    Cluster,
    Daemon,
    LookupGenerator,
    Upstreams,
    config_text,
    percentile,
    print_line,
    query_bytes,
)
from harepick.fleet.ports import free_ports
from harepick.settings import parse_address
from harepick.store.client import StoreClient
from harepick.store.disk.files import OsFiles
from harepick.store.disk.storage import Identity, Storage, create
from harepick.store.raft.messages import Entry, EntryKind, HardState, Member, Membership
from harepick.store.state_machine import Envelope, Put, encode

LOOKUPS_PER_S = 200.0
CHANGES_PER_S = 100.0
WRITER_COUNT = 5
MODES = ("off", "idle", "changes", "stopped")


class Writers:
    """Several clients that change the configuration at a fixed rate and measure the time to acknowledgement.

    They run in a process of their own, so that they do not delay the look-ups that are measured meanwhile."""

    def __init__(self, cluster: Cluster, text: str, rate: float, writers: int = WRITER_COUNT) -> None:
        self._addresses = [f"{HOST}:{daemon.store_port}" for daemon in cluster.daemons]
        self._name, self._text, self._rate, self._writers = cluster.name, text, rate, writers
        self._pipe, other = multiprocessing.Pipe()
        context = multiprocessing.get_context("fork")
        self._process = context.Process(target=self._main, args=(other,), daemon=True)
        self._process.start()

    def finish(self) -> list[tuple[float, float]]:
        """Stops; returns (Unix time of the acknowledgement, milliseconds) of each change."""
        self._pipe.send(None)
        took: list[tuple[float, float]] = self._pipe.recv()
        self._process.join(5)
        return took

    def _main(self, pipe: Connection) -> None:
        took: list[tuple[float, float]] = []
        anyio.run(self._run, pipe, took)
        pipe.send(took)

    async def _run(self, pipe: Connection, took: list[tuple[float, float]]) -> None:
        async with anyio.create_task_group() as tasks:
            for index in range(self._writers):
                tasks.start_soon(self._write, index, pipe, took)

    async def _write(self, index: int, pipe: Connection, took: list[tuple[float, float]]) -> None:
        addresses = [parse_address(address, "at") for address in self._addresses]
        async with StoreClient(self._name, addresses) as client:
            start, count = time.monotonic() + index / self._rate, 0
            while not pipe.poll():
                await anyio.sleep(max(0.0, start + count * self._writers / self._rate - time.monotonic()))
                began = time.monotonic()
                # Drains the second upstream or puts it back into service: a change that reaches the core.
                text = self._text + ("draining = true\n" if (index + count) % 2 else "")
                await client.call("set", {"text": text}, 20.0)
                took.append((time.time(), (time.monotonic() - began) * 1000))
                count += 1


def measure_lookups(port: int, seconds: float, seed: int) -> tuple[list[float], int]:
    """Sends look-ups to one instance; returns their times in ms, and how many were not served."""
    load_generator = LookupGenerator(port, LOOKUPS_PER_S, seed)
    load_generator.start()
    time.sleep(seconds)
    load_generator.rate = 0.001  # sends no more
    load_generator.finish(0.3)
    times = [
        (answered_at - load_generator.sent[number]) * 1000
        for number, (answered_at, rcode) in load_generator.answers.items()
        if rcode == 0
    ]
    return times, len(load_generator.sent) - len(times)


def wait_until_served(daemon: Daemon, within: float = 30.0) -> float:
    """Unix time of the first look-up served. Raises `AssertionError` after `within` seconds."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.settimeout(0.02)
        end, query_id = time.time() + within, 0
        while time.time() < end:
            query_id = (query_id + 1) & 0xFFFF
            with suppress(OSError):
                sock.sendto(query_bytes(query_id, "94112345678"), (HOST, daemon.dns_port))
                data = sock.recv(4096)
                if data[3] & 15 == 0:
                    return time.time()
            time.sleep(0.005)
    raise AssertionError(
        f"{daemon.name} served no look-up within {within} s: {daemon.log.read_text()[-2000:]}"
    )


def measure_restart(entries: int, folder: Path, ports: tuple[int, int], text: str) -> tuple[float, float]:
    """Starts a replica whose log has that many entries.

    Returns the seconds from its start to the first look-up served, and its memory in MB."""
    dns_port, store_port = ports
    path = folder / f"e{entries}"
    files = OsFiles(str(path))
    files.lock()
    create(files, Identity("cost", "r0", "f"), Membership((Member("r0", f"{HOST}:{store_port}"),)))
    files.close()
    storage = Storage(files)
    storage.open()
    for first in range(1, entries + 1, 500):
        batch = [
            Entry(n, 1, EntryKind.COMMAND, encode(Envelope(f"s{n % 50}", n, Put(f"# {n}\n{text}"))))
            for n in range(first, min(first + 500, entries + 1))
        ]
        storage.write(HardState(1, "r0") if first == 1 else None, tuple(batch), None)
    storage.close()
    operator = (
        f'[enum]\nlisten = "{HOST}:{dns_port}"\n[store]\ncluster = "cost"\nreplica = "r0"\n'
        f'listen = "{HOST}:{store_port}"\nfolder = "{path}"\n'
    )
    daemon = Daemon(f"e{entries}", folder, dns_port, store_port, operator)
    try:
        began = time.time()
        daemon.start()
        seconds = wait_until_served(daemon) - began
        return seconds, daemon.memory_mb()
    finally:
        daemon.kill()


def measure_leader_loss(cluster: Cluster, text: str) -> tuple[float, float]:
    """Kills the leader; returns the ms until another leads and until a change is acknowledged again."""
    leader = cluster.leader()
    others = [daemon for daemon in cluster.daemons if daemon is not leader]
    writers = Writers(cluster, text, 50.0, 1)
    time.sleep(1.0)
    killed = time.time()
    leader.kill()
    time.sleep(5.0)
    acknowledged = min((when for when, _ in writers.finish() if when > killed + 0.01), default=killed + 99)
    elected = min(
        (
            event["at"]
            for daemon in others
            for event in daemon.events("store_role")
            if event["role"] == "leader" and event["at"] >= killed - 0.01
        ),
        default=killed + 99,
    )
    leader.start()
    wait_until_served(leader)
    cluster.leader()
    return (elected - killed) * 1000, (acknowledged - killed) * 1000


def measure_cold_start(cluster: Cluster) -> float:
    """Seconds until two of three instances that start together both serve look-ups."""
    for daemon in cluster.daemons:
        daemon.kill()
    began = time.time()
    two = cluster.daemons[:2]
    for daemon in two:
        daemon.start()
    seconds = max(wait_until_served(daemon) for daemon in two) - began
    cluster.daemons[2].start()
    wait_until_served(cluster.daemons[2])
    cluster.leader()
    return seconds


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=40.0, help="seconds of look-ups, over all modes")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        return measure(options, Path(folder))


def measure(options: argparse.Namespace, folder: Path) -> int:
    """Runs all measurements and reports them."""
    upstreams = Upstreams(2)
    text = config_text(("north", upstreams.ports[0]), ("south", upstreams.ports[1]))
    port, *spare = free_ports(5)
    without_store = Daemon("off", folder, port, 0, f'[enum]\nlisten = "{HOST}:{port}"\n' + text)
    cluster = Cluster(3, folder, text)
    times: dict[str, list[float]] = {mode: [] for mode in MODES}
    unserved = dict.fromkeys(MODES, 0)
    changes: dict[str, list[float]] = {"changes": [], "stopped": []}
    try:
        without_store.start()
        cluster.start()
        leader = cluster.leader()
        for daemon in (without_store, *cluster.daemons):
            wait_until_served(daemon)
        follower = next(candidate for candidate in cluster.daemons if candidate is not leader)
        victim = next(candidate for candidate in cluster.daemons if candidate not in (leader, follower))
        for daemon in (without_store, follower):
            measure_lookups(daemon.dns_port, 1.0, 0)  # so that it knows its upstream's response times
        # Many short windows, so that load on the machine affects all modes alike.
        rounds = max(3, int(options.seconds // 20))
        window_s = max(1.0, options.seconds / rounds / len(MODES))
        for round_number in range(rounds):
            for mode in MODES:
                writers = None
                if mode in changes:
                    writers = Writers(cluster, text, CHANGES_PER_S)
                    if mode == "stopped":
                        victim.pause()
                    time.sleep(0.2)
                target = without_store if mode == "off" else follower
                found, missed = measure_lookups(target.dns_port, window_s, options.seed + round_number)
                times[mode] += found
                unserved[mode] += missed
                if writers:
                    changes[mode] += [ms for _, ms in writers.finish()]
                victim.resume()
                time.sleep(0.3)
        memory = {
            "off": without_store.memory_mb(),
            "store": follower.memory_mb(),
            "leader": leader.memory_mb(),
        }
        losses = [measure_leader_loss(cluster, text) for _ in range(3)]
        cold = measure_cold_start(cluster)
    finally:
        without_store.kill()
        cluster.end()
    restart_s, restart_memory_mb = {}, {}
    for entries in (100, 10_000, 100_000):
        restart_s[entries], restart_memory_mb[entries] = measure_restart(
            entries, folder, (spare[0], spare[1]), text
        )
    upstreams.finish()
    return report(options, times, unserved, changes, memory, losses, cold, restart_s, restart_memory_mb)


def report(
    options: argparse.Namespace,
    times: dict[str, list[float]],
    unserved: dict[str, int],
    changes: dict[str, list[float]],
    memory: dict[str, float],
    losses: list[tuple[float, float]],
    cold: float,
    restart_s: dict[int, float],
    restart_memory_mb: dict[int, float],
) -> int:
    """Prints the result with the aims that were missed; returns the exit code."""
    rounded: Callable[[list[float], float], float] = lambda v, s: round(percentile(v, s), 2)  # noqa: E731
    line: dict[str, object] = {"benchmark": "store_cost", "seed": options.seed}
    for mode in MODES:
        line |= {
            f"lookup_{mode}_ms_p50": rounded(times[mode], 0.5),
            f"lookup_{mode}_ms_p99": rounded(times[mode], 0.99),
        }
    base = max(percentile(times["off"], 0.99), 1e-9)
    ratios = {mode: round(percentile(times[mode], 0.99) / base, 2) for mode in MODES[1:]}
    line |= {f"p99_ratio_{mode}": ratio for mode, ratio in ratios.items()}
    line |= {"unserved": sum(unserved.values())}
    for mode, took in changes.items():
        line |= {
            f"change_{mode}_ms_p50": rounded(took, 0.5),
            f"change_{mode}_ms_p99": rounded(took, 0.99),
        }
        line |= {f"change_{mode}_count": len(took)}
    line |= {
        "new_leader_ms": [round(new_leader_ms) for new_leader_ms, _ in losses],
        "change_after_loss_ms": [round(change_ms) for _, change_ms in losses],
        "two_cold_s": round(cold, 2),
        "restart_s": {str(n): round(s, 2) for n, s in restart_s.items()},
        "restart_memory_mb": {str(n): round(s, 1) for n, s in restart_memory_mb.items()},
        "memory_mb": {k: round(v, 1) for k, v in memory.items()},
    }
    aims = {
        "lookup_p99_idle": ratios["idle"] <= 1.1,
        "lookup_p99_changes": ratios["changes"] <= 1.1,
        "change_p99_50ms": percentile(changes["changes"], 0.99) <= 50.0,
        "new_leader_1500ms": max(new_leader_ms for new_leader_ms, _ in losses) <= 1500,
        "two_cold_3s": cold <= 3.0,
        "entries_100000_2s": restart_s[100_000] <= 2.0,
    }
    missed = [name for name, held in aims.items() if not held]
    return print_line(line | {"missed": missed, "ok": not missed})


if __name__ == "__main__":
    sys.exit(main())
