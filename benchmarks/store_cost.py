"""What the store costs: look-ups with it off, idle, under changes and with a follower stopped, all in one
run.

Also how long a change takes, how long a cluster is without a leader, and how long starts take.

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
from harepick.store.raft.messages import Entry, HardState, Kind, Member, Membership
from harepick.store.state_machine import Envelope, Put, encode

RATE = 200.0  # look-ups a second
CHANGES = 100.0  # changes a second
WRITERS = 5
MODES = ("off", "idle", "changes", "stopped")


class Writers:
    """Changes at a fixed rate, from several clients; how long each took until it was acknowledged.

    In a process of their own: they must not hold up the look-ups that are measured beside them."""

    def __init__(self, cluster: Cluster, text: str, rate: float, writers: int = WRITERS) -> None:
        self._where = [f"{HOST}:{d.store_port}" for d in cluster.daemons]
        self._name, self._text, self._rate, self._writers = cluster.name, text, rate, writers
        self._pipe, other = multiprocessing.Pipe()
        context = multiprocessing.get_context("fork")
        self._process = context.Process(target=self._main, args=(other,), daemon=True)
        self._process.start()

    def finish(self) -> list[tuple[float, float]]:
        """When each was acknowledged, and the ms that it took."""
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
            for n in range(self._writers):
                tasks.start_soon(self._write, n, pipe, took)

    async def _write(self, n: int, pipe: Connection, took: list[tuple[float, float]]) -> None:
        where = [parse_address(a, "at") for a in self._where]
        async with StoreClient(self._name, where) as client:
            start, count = time.monotonic() + n / self._rate, 0
            while not pipe.poll():
                await anyio.sleep(max(0.0, start + count * self._writers / self._rate - time.monotonic()))
                began = time.monotonic()
                # Each drains the second upstream, or takes it back: a change that the core has to hear of.
                text = self._text + ("draining = true\n" if (n + count) % 2 else "")
                await client.call("set", {"text": text}, 20.0)
                took.append((time.time(), (time.monotonic() - began) * 1000))
                count += 1


def window(port: int, seconds: float, seed: int) -> tuple[list[float], int]:
    """Times of look-ups at one instance, in ms, and how many were not served."""
    asker = LookupGenerator(port, RATE, seed)
    asker.start()
    time.sleep(seconds)
    asker.rate = 0.001
    asker.finish(0.3)
    times = [(when - asker.sent[n]) * 1000 for n, (when, code) in asker.answers.items() if code == 0]
    return times, len(asker.sent) - len(times)


def first_served(daemon: Daemon, within: float = 30.0) -> float:
    """When a look-up was served; raises if none is in time."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.settimeout(0.02)
        end, ident = time.time() + within, 0
        while time.time() < end:
            ident = (ident + 1) & 0xFFFF
            with suppress(OSError):
                sock.sendto(query_bytes(ident, "94112345678"), (HOST, daemon.dns_port))
                data = sock.recv(4096)
                if data[3] & 15 == 0:
                    return time.time()
            time.sleep(0.005)
    raise AssertionError(f"{daemon.name} serves nothing in {within} s: {daemon.log.read_text()[-2000:]}")


def restart(entries: int, folder: Path, ports: tuple[int, int], text: str) -> tuple[float, float]:
    """Seconds from the start of the process to the first look-up served, with so many entries; memory in
    MB."""
    dns_port, store_port = ports
    path = folder / f"e{entries}"
    files = OsFiles(str(path))
    files.lock()
    create(files, Identity("cost", "r0", "f"), Membership((Member("r0", f"{HOST}:{store_port}"),)))
    files.close()
    storage = Storage(files)
    storage.open()
    for first in range(1, entries + 1, 500):
        part = [
            Entry(n, 1, Kind.COMMAND, encode(Envelope(f"s{n % 50}", n, Put(f"# {n}\n{text}"))))
            for n in range(first, min(first + 500, entries + 1))
        ]
        storage.write(HardState(1, "r0") if first == 1 else None, tuple(part), None)
    storage.close()
    operator = (
        f'[enum]\nlisten = "{HOST}:{dns_port}"\n[store]\ncluster = "cost"\nreplica = "r0"\n'
        f'listen = "{HOST}:{store_port}"\nfolder = "{path}"\n'
    )
    daemon = Daemon(f"e{entries}", folder, dns_port, store_port, operator)
    try:
        began = time.time()
        daemon.start()
        took = first_served(daemon) - began
        return took, daemon.memory_mb()
    finally:
        daemon.kill()


def leader_lost(made: Cluster, text: str) -> tuple[float, float]:
    """Kills the leader: ms until another leads, and until a change is acknowledged again."""
    leader = made.leader()
    rest = [d for d in made.daemons if d is not leader]
    writers = Writers(made, text, 50.0, 1)
    time.sleep(1.0)
    killed = time.time()
    leader.kill()
    time.sleep(5.0)
    acknowledged = min((when for when, _ in writers.finish() if when > killed + 0.01), default=killed + 99)
    won = min(
        (
            e["at"]
            for d in rest
            for e in d.events("store_role")
            if e["role"] == "leader" and e["at"] >= killed - 0.01
        ),
        default=killed + 99,
    )
    leader.start()
    first_served(leader)
    made.leader()
    return (won - killed) * 1000, (acknowledged - killed) * 1000


def two_cold(made: Cluster) -> float:
    """Seconds until two of three that start together both serve look-ups."""
    for daemon in made.daemons:
        daemon.kill()
    began = time.time()
    two = made.daemons[:2]
    for daemon in two:
        daemon.start()
    took = max(first_served(daemon) for daemon in two) - began
    made.daemons[2].start()
    first_served(made.daemons[2])
    made.leader()
    return took


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=40.0, help="of look-ups, over all modes")
    parser.add_argument("--seed", type=int, default=1)
    wanted = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        return measure(wanted, Path(folder))


def measure(wanted: argparse.Namespace, folder: Path) -> int:
    upstreams = Upstreams(2)
    text = config_text(("north", upstreams.ports[0]), ("south", upstreams.ports[1]))
    port, *spare = free_ports(5)
    off = Daemon("off", folder, port, 0, f'[enum]\nlisten = "{HOST}:{port}"\n' + text)
    made = Cluster(3, folder, text)
    times: dict[str, list[float]] = {mode: [] for mode in MODES}
    unserved = dict.fromkeys(MODES, 0)
    changes: dict[str, list[float]] = {"changes": [], "stopped": []}
    try:
        off.start()
        made.start()
        leader = made.leader()
        for daemon in (off, *made.daemons):
            first_served(daemon)
        on = next(d for d in made.daemons if d is not leader)
        victim = next(d for d in made.daemons if d not in (leader, on))
        for daemon in (off, on):
            window(daemon.dns_port, 1.0, 0)  # what a front in service knows of its upstream
        rounds = max(
            3, int(wanted.seconds // 20)
        )  # many short windows: what the machine does meets all modes
        span = max(1.0, wanted.seconds / rounds / len(MODES))
        for k in range(rounds):
            for mode in MODES:
                writers = None
                if mode in changes:
                    writers = Writers(made, text, CHANGES)
                    if mode == "stopped":
                        victim.pause()
                    time.sleep(0.2)
                target = off if mode == "off" else on
                found, missed = window(target.dns_port, span, wanted.seed + k)
                times[mode] += found
                unserved[mode] += missed
                if writers:
                    changes[mode] += [ms for _, ms in writers.finish()]
                victim.resume()
                time.sleep(0.3)
        memory = {"off": off.memory_mb(), "store": on.memory_mb(), "leader": leader.memory_mb()}
        losses = [leader_lost(made, text) for _ in range(3)]
        cold = two_cold(made)
    finally:
        off.kill()
        made.end()
    starts, sizes = {}, {}
    for entries in (100, 10_000, 100_000):
        starts[entries], sizes[entries] = restart(entries, folder, (spare[0], spare[1]), text)
    upstreams.finish()
    return tell(wanted, times, unserved, changes, memory, losses, cold, starts, sizes)


def tell(
    wanted: argparse.Namespace,
    times: dict[str, list[float]],
    unserved: dict[str, int],
    changes: dict[str, list[float]],
    memory: dict[str, float],
    losses: list[tuple[float, float]],
    cold: float,
    starts: dict[int, float],
    sizes: dict[int, float],
) -> int:
    p: Callable[[list[float], float], float] = lambda v, s: round(percentile(v, s), 2)  # noqa: E731
    line: dict[str, object] = {"benchmark": "store_cost", "seed": wanted.seed}
    for mode in MODES:
        line |= {f"lookup_{mode}_ms_p50": p(times[mode], 0.5), f"lookup_{mode}_ms_p99": p(times[mode], 0.99)}
    base = max(percentile(times["off"], 0.99), 1e-9)
    ratios = {mode: round(percentile(times[mode], 0.99) / base, 2) for mode in MODES[1:]}
    line |= {f"p99_ratio_{mode}": ratio for mode, ratio in ratios.items()}
    line |= {"unserved": sum(unserved.values())}
    for mode, took in changes.items():
        line |= {f"change_{mode}_ms_p50": p(took, 0.5), f"change_{mode}_ms_p99": p(took, 0.99)}
        line |= {f"change_{mode}_count": len(took)}
    line |= {
        "new_leader_ms": [round(won) for won, _ in losses],
        "change_after_loss_ms": [round(ack) for _, ack in losses],
        "two_cold_s": round(cold, 2),
        "restart_s": {str(n): round(s, 2) for n, s in starts.items()},
        "restart_memory_mb": {str(n): round(s, 1) for n, s in sizes.items()},
        "memory_mb": {k: round(v, 1) for k, v in memory.items()},
    }
    aims = {
        "lookup_p99_idle": ratios["idle"] <= 1.1,
        "lookup_p99_changes": ratios["changes"] <= 1.1,
        "change_p99_50ms": percentile(changes["changes"], 0.99) <= 50.0,
        "new_leader_1500ms": max(won for won, _ in losses) <= 1500,
        "two_cold_3s": cold <= 3.0,
        "entries_100000_2s": starts[100_000] <= 2.0,
    }
    missed = [name for name, held in aims.items() if not held]
    return print_line(line | {"missed": missed, "ok": not missed})


if __name__ == "__main__":
    sys.exit(main())
