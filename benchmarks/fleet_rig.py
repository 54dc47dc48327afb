"""Measures the cost of the fleet fault rig: the latency that its relay adds, and its share of a processor.

Runs five instances through partitions, one-way cuts, pauses and kills. Meanwhile another process sends small
frames in turn over two connections to its own echo server: one direct, one through the rig's relay.

    python -m benchmarks.fleet_rig --instances 5 --seconds 60 --seed 1
"""

from __future__ import annotations

import argparse
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import orjson

from benchmarks.daemons import percentile, print_line
from harepick.fleet.checks import CHECKS
from harepick.fleet.faults import TOOL
from harepick.fleet.ports import HOST
from harepick.fleet.processes import ROOT
from harepick.fleet.runner import ScenarioRunner
from harepick.fleet.scenario import make_scenario

FRAME = (100).to_bytes(4, "big") + b"x" * 100  # about the size of a heartbeat
PING_INTERVAL_S = 0.01  # between two pings of one connection
WARM_UP_PINGS = 50  # first pings of each connection, not counted: connections and caches warm up


def table(instances: int, seconds: float) -> dict[str, Any]:
    """The scenario: a fault of each kind, spread over its length."""
    part = seconds / 6
    half = part / 2
    faults: list[dict[str, Any]] = [
        {
            "kind": "partition",
            "groups": "{leader} | {rest}",
            "at": [0.2 * part, 0.4 * part],
            "for_s": half,
        },
        {"kind": "link", "from": "leader", "to": "*", "drop": True, "at": 1.2 * part, "for_s": half},
        {"kind": "pause", "whom": "leader", "at": 2.2 * part, "for_s": min(3.0, half)},
        {"kind": "kill_in_change", "whom": "leader", "at": 3.2 * part, "for_s": half},
        {
            "kind": "link",
            "from": "*",
            "to": "*",
            "delay_ms": 2,
            "jitter_ms": 10,
            "loss": 0.02,
            "at": 4.2 * part,
            "for_s": half,
        },
        {"kind": "kill", "whom": "follower", "at": 5.2 * part, "for_s": part / 3},
    ]
    names = ("no_stale_act", "no_stale_arrival", "no_ack_lost", "one_answer", "complete", "no_crash")
    return {
        "instances": instances,
        "servers": 3,
        "lease_ms": 1000,
        "seconds": seconds,
        "load": {"rate": 30 * instances},
        "change": {"every_s": 0.4},
        "fault": faults,
        "checks": {name: {} for name in names if name in CHECKS},
    }


def ping() -> int:
    """The other process: prints its echo server's port, reads the relay's, and finally prints round trips."""
    echo = socket.create_server((HOST, 0))
    threading.Thread(target=_echo, args=(echo,), daemon=True).start()
    print(echo.getsockname()[1], flush=True)
    relayed = int(sys.stdin.readline())
    connections = [socket.create_connection((HOST, port)) for port in (echo.getsockname()[1], relayed)]
    for connection in connections:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    done = threading.Event()
    threading.Thread(target=_wait_for_stdin_end, args=(done,), daemon=True).start()
    round_trips: list[list[float]] = [[], []]
    while not done.is_set():
        for connection, times in zip(connections, round_trips, strict=True):
            began = time.perf_counter()
            connection.sendall(FRAME)
            remaining = len(FRAME)
            while remaining:
                remaining -= len(connection.recv(remaining))
            times.append((time.perf_counter() - began) * 1000)
        time.sleep(PING_INTERVAL_S)
    print(orjson.dumps([times[WARM_UP_PINGS:] for times in round_trips]).decode(), flush=True)
    return 0


def _wait_for_stdin_end(done: threading.Event) -> None:
    sys.stdin.read()
    done.set()


def _echo(listener: socket.socket) -> None:
    while True:
        peer, _ = listener.accept()
        peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=_echo_peer, args=(peer,), daemon=True).start()


def _echo_peer(peer: socket.socket) -> None:
    with suppress(OSError):
        while data := peer.recv(4096):
            peer.sendall(data)


class Pinger:
    """Runs the pinging process beside a scenario.

    `round_trips` are in ms, the direct ones first, then those through the relay."""

    def __init__(self) -> None:
        self.round_trips: list[list[float]] = [[], []]
        self.cpu_s = self.wall_s = 0.0

    async def run_beside(self, runner: ScenarioRunner) -> None:
        """Runs the pinging process until shortly before the scenario ends."""
        command = [sys.executable, "-m", "benchmarks.fleet_rig", "--ping"]
        async with await anyio.open_process(command, cwd=ROOT, stderr=None, stdin=subprocess.PIPE) as process:
            assert process.stdin and process.stdout
            port = int((await process.stdout.receive()).decode())
            # A link of the operator's tool, which faults of "*" do not affect.
            relay_port = await runner.relay.port("echo", port, TOOL)
            await process.stdin.send(f"{relay_port}\n".encode())
            began, cpu_before = time.monotonic(), _cpu_seconds()
            await anyio.sleep(runner.seconds - 1.0)
            self.cpu_s, self.wall_s = _cpu_seconds() - cpu_before, time.monotonic() - began
            await process.stdin.aclose()
            text = b""
            with suppress(anyio.EndOfStream):
                while True:
                    text += await process.stdout.receive()
            self.round_trips = orjson.loads(text)


def _cpu_seconds() -> float:
    own = resource.getrusage(resource.RUSAGE_SELF)
    return own.ru_utime + own.ru_stime


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--instances", type=int, default=5)
    parser.add_argument("--ping", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.ping:
        return ping()
    pinger = Pinger()
    scenario = make_scenario(table(options.instances, options.seconds), "fleet_rig")
    with tempfile.TemporaryDirectory() as folder:
        runner = ScenarioRunner(scenario, options.seed, Path(folder), concurrent_task=pinger.run_beside)
        report = anyio.run(runner.run)
    for violation in report.kept_violations:
        print(f"{violation.check}: {violation.why}", file=sys.stderr)
    direct, relayed = pinger.round_trips
    quantiles = {
        f"rtt_{name}_ms_p{n}": round(percentile(times, n / 100), 3)
        for name, times in (("direct", direct), ("relayed", relayed))
        for n in (50, 99)
    }
    added = {
        f"relay_added_ms_p{n}": round(
            max(0.0, quantiles[f"rtt_relayed_ms_p{n}"] - quantiles[f"rtt_direct_ms_p{n}"]) / 2, 3
        )
        for n in (50, 99)
    }
    line = {
        "benchmark": "fleet_rig",
        "seed": options.seed,
        "ok": report.ok and len(relayed) > options.seconds * 10,
        "seconds": options.seconds,
        **added,
        **quantiles,
        "pings": len(relayed),
        "rig_cpu_share": round(pinger.cpu_s / max(pinger.wall_s, 0.001), 3),
        **report.figures,
        "violations": report.violations,
        "error": report.error,
    }
    return print_line(line)


if __name__ == "__main__":
    sys.exit(main())
