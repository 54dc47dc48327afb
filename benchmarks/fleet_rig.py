"""What the fleet fault rig itself costs: the time its relay adds to a message, and its share of a processor.

Plays five instances under a timeline of partitions, one-way cuts, pauses and kills. Meanwhile another process
sends small frames over two connections to its own echo, in turn: one directly, one through the rig's relay.

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

FRAME = (100).to_bytes(4, "big") + b"x" * 100  # about a heartbeat's size
EVERY = 0.01  # seconds between two pings of one connection
SKIPPED = 50  # first pings: connections and caches that warm up


def table(instances: int, seconds: float) -> dict[str, Any]:
    """A fault of each kind, spread over the play."""
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
    """The other process: tells its echo's port, is told the relay's, and tells round trips at the end."""
    echo = socket.create_server((HOST, 0))
    threading.Thread(target=_echo, args=(echo,), daemon=True).start()
    print(echo.getsockname()[1], flush=True)
    relayed = int(sys.stdin.readline())
    lines = [socket.create_connection((HOST, port)) for port in (echo.getsockname()[1], relayed)]
    for line in lines:
        line.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    done = threading.Event()
    threading.Thread(target=_until_closed, args=(done,), daemon=True).start()
    took: list[list[float]] = [[], []]
    while not done.is_set():
        for line, times in zip(lines, took, strict=True):
            began = time.perf_counter()
            line.sendall(FRAME)
            left = len(FRAME)
            while left:
                left -= len(line.recv(left))
            times.append((time.perf_counter() - began) * 1000)
        time.sleep(EVERY)
    print(orjson.dumps([times[SKIPPED:] for times in took]).decode(), flush=True)
    return 0


def _until_closed(done: threading.Event) -> None:
    sys.stdin.read()
    done.set()


def _echo(listener: socket.socket) -> None:
    while True:
        peer, _ = listener.accept()
        peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=_give_back, args=(peer,), daemon=True).start()


def _give_back(peer: socket.socket) -> None:
    with suppress(OSError):
        while data := peer.recv(4096):
            peer.sendall(data)


class Pinger:
    """Runs beside the play; `took` has the round trips in ms, directly and through the relay."""

    def __init__(self) -> None:
        self.took: list[list[float]] = [[], []]
        self.cpu = self.wall = 0.0

    async def beside(self, play: ScenarioRunner) -> None:
        words = [sys.executable, "-m", "benchmarks.fleet_rig", "--ping"]
        async with await anyio.open_process(words, cwd=ROOT, stderr=None, stdin=subprocess.PIPE) as process:
            assert process.stdin and process.stdout
            port = int((await process.stdout.receive()).decode())
            through = await play.relay.port("echo", port, TOOL)  # faults of "*" leave it alone
            await process.stdin.send(f"{through}\n".encode())
            began, used = time.monotonic(), _cpu()
            await anyio.sleep(play.seconds - 1.0)
            self.cpu, self.wall = _cpu() - used, time.monotonic() - began
            await process.stdin.aclose()
            text = b""
            with suppress(anyio.EndOfStream):
                while True:
                    text += await process.stdout.receive()
            self.took = orjson.loads(text)


def _cpu() -> float:
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
    wanted = parser.parse_args()
    if wanted.ping:
        return ping()
    pinger = Pinger()
    scenario = make_scenario(table(wanted.instances, wanted.seconds), "fleet_rig")
    with tempfile.TemporaryDirectory() as folder:
        play = ScenarioRunner(scenario, wanted.seed, Path(folder), beside=pinger.beside)
        report = anyio.run(play.run)
    for violation in report.told:
        print(f"{violation.check}: {violation.why}", file=sys.stderr)
    direct, through = pinger.took
    quantiles = {
        f"rtt_{name}_ms_p{n}": round(percentile(times, n / 100), 3)
        for name, times in (("direct", direct), ("relayed", through))
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
        "seed": wanted.seed,
        "ok": report.ok and len(through) > wanted.seconds * 10,
        "seconds": wanted.seconds,
        **added,
        **quantiles,
        "pings": len(through),
        "rig_cpu_share": round(pinger.cpu / max(pinger.wall, 0.001), 3),
        **report.figures,
        "violations": report.violations,
        "error": report.error,
    }
    return print_line(line)


if __name__ == "__main__":
    sys.exit(main())
