"""Number gapping under load: the real program on one of its fronts, one number flooded, others beside it.

python -m benchmarks.gap_load --rate 300 --interval 1.0 --seconds 30 --seed 1 [--front enum]

The run alternates stretches without and with a gap on the flooded number, set and lifted by SIGHUP, so that
the other numbers' service is paired in one run. What is claimed is checked by what the stand-ins saw: the
server counts what reaches it for the flooded number in each slot of the gap (slots are counted from the Unix
epoch, from when the program logs the gap until it logs the lift), and the callers time the refusals.
"""

from __future__ import annotations

import argparse
import json
import math
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

from benchmarks.daemons import percentile, print_line
from benchmarks.gap_load_enum import Callers as EnumCallers
from benchmarks.gap_load_enum import EnumFront
from harepick.fleet.ports import free_port
from harepick.net import binary, sip
from tests.peers import event, row
from tests.test_wire import OPTIONS

ROOT = Path(__file__).parent.parent
CLAIM = b"7f3a9c21e0b4d655"
HOLD = 1.0  # seconds that a call stands before the server ends it
CONNECTIONS = 8
ROUNDED = 0.001  # seconds to which the log tells its times


class Server(threading.Thread):
    """A setup server that answers every set-up at once and ends each call after `HOLD`; counts by number."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.seen: list[tuple[float, bytes, str]] = []  # (time, number, call)
        self.lock = threading.Lock()

    def run(self) -> None:
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        decoder, ends = sip.Decoder(), []
        conn.settimeout(0.05)
        while True:
            try:
                data = conn.recv(65536)
                if not data:
                    return
            except TimeoutError:
                data = b""
            except OSError:
                return
            now = time.time()
            for message in decoder.feed(data) if data else []:
                if message.method == "INVITE" and not message.status:
                    number = message.target.removeprefix(b"sip:").partition(b"@")[0]
                    with self.lock:
                        self.seen.append((now, number, message.call))
                    reply = sip.response(message, 200, b"OK")
                    conn.sendall(reply.replace(b"Content-Length: 0", b"Content-Length: 6") + b"answer")
                    ends.append((now + HOLD, number, message.call))
            due = [e for e in ends if e[0] <= now]
            ends = [e for e in ends if e[0] > now]
            for _, number, call in due:
                conn.sendall(sip.bye(number, call, 7, 16))


class Bus(threading.Thread):
    """An event bus that tells nothing new and says the last number every second."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"

    def run(self) -> None:
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self._beat, args=(conn,), daemon=True).start()

    def _beat(self, conn: socket.socket) -> None:
        try:
            while True:
                conn.sendall(b"1\n")
                time.sleep(1.0)
        except OSError:
            return


class Callers:
    """Set-ups on a fixed schedule over a few connections; what each was told, and when."""

    def __init__(self, port: int) -> None:
        self.socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(CONNECTIONS)]
        self.sent: dict[bytes, tuple[float, bytes]] = {}  # call -> (time, number)
        self.told: dict[bytes, tuple[float, int, int]] = {}  # call -> (time, type, cause)
        self.lock = threading.Lock()
        for sock in self.socks:
            threading.Thread(target=self._hear, args=(sock,), daemon=True).start()

    def send(self, n: int, number: bytes) -> None:
        call = os.urandom(8)
        fields = {
            binary.CLASS: b"a",
            binary.TIME_LIMIT: b"4000",
            binary.NUMBER: number,
            binary.ATTRIBUTES: b"dest:0;width:1;via:-1",
            binary.DESCRIPTION: b"offer\r\n",
        }
        with self.lock:
            self.sent[call] = (time.time(), number)
        self.socks[n % CONNECTIONS].sendall(binary.Message(binary.SET_UP, call, fields).encode())

    def _hear(self, sock: socket.socket) -> None:
        decoder = binary.Decoder()
        while True:
            try:
                data = sock.recv(65536)
            except OSError:
                return
            if not data:
                return
            now = time.time()
            for message in decoder.feed(data):
                if message.type in (binary.ANSWER, binary.RELEASE) and message.call not in self.told:
                    cause = message.parameters.get(binary.CAUSE, b"\0")[0]
                    with self.lock:
                        self.told[message.call] = (now, message.type, cause)


class PlatformFront:
    """The program on the platform's front, with its JSON and SIGHUP."""

    claim = CLAIM

    def __init__(self) -> None:
        self.server, bus = Server(), Bus()
        self.server.start()
        bus.start()
        self.port = free_port()
        options = json.loads(json.dumps(OPTIONS))
        options["Bounds"] |= {"RetryAfter": True, "MaxRetryAfter": 2.0, "OpenCap": 20000}
        self._config: dict[str, Any] = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bus": bus.address,
            "ops": f"127.0.0.1:{free_port()}",
            "known": {"offset": 1, "batch": [event(1, row("s0", self.server.address, 0), reset=True)]},
            "settings": options,
        }

    def start(self, folder: Path) -> tuple[Path, list[str], dict[str, str]]:
        """The file, and what to start the program with."""
        path = folder / "config.json"
        return path, [], {"GW_CONFIG": str(path)}

    def write(self, path: Path, interval: float | None) -> None:
        """The configuration, with the gap or without."""
        gap = {"id": "flood", "number": CLAIM.decode(), "interval_s": interval}
        path.write_text(json.dumps(self._config | {"gaps": [gap] if interval is not None else []}))

    def callers(self) -> Callers:
        return Callers(self.port)

    def other(self, rng: random.Random) -> bytes:
        return b"%016x" % rng.getrandbits(64)

    @staticmethod
    def served(told: tuple[float, int, int]) -> bool:
        return told[1] == binary.ANSWER

    @staticmethod
    def refused(told: tuple[float, int, int]) -> bool:
        return told[1] == binary.RELEASE and told[2] == 42

    def wasted(self, callers: Callers, refused: set[bytes]) -> int:
        """Set-ups that reached the server and were refused all the same."""
        reached = {call for _, number, call in self.server.seen if number == CLAIM}
        return sum(call.hex() in reached for call in refused)


Front = PlatformFront | EnumFront
FRONTS: dict[str, type[Front]] = {"platform": PlatformFront, "enum": EnumFront}


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rate", type=float, default=300.0, help="set-ups a second to the flooded number")
    parser.add_argument("--others", type=float, default=30.0, help="set-ups a second to other numbers")
    parser.add_argument("--interval", type=float, default=1.0)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--front", choices=sorted(FRONTS), default="platform")
    wanted = parser.parse_args()
    rng = random.Random(wanted.seed)
    front = FRONTS[wanted.front]()
    with tempfile.TemporaryDirectory() as folder:
        path, more, environ = front.start(Path(folder))
        log = Path(folder) / "log"
        front.write(path, None)
        with log.open("wb") as out:
            words = [sys.executable, "-m", "harepick", *more]
            program = subprocess.Popen(words, cwd=ROOT, env=os.environ | environ, stdout=out, stderr=out)
        try:
            line = run(wanted, rng, program, path, log, front)
        finally:
            program.kill()
            program.wait()
    return print_line(line)


def run(
    wanted: argparse.Namespace,
    rng: random.Random,
    program: subprocess.Popen[bytes],
    path: Path,
    log: Path,
    front: Front,
) -> dict[str, Any]:
    end = time.time() + 10
    while b'"serving"' not in log.read_bytes():
        if time.time() > end or program.poll() is not None:
            raise SystemExit(f"the program did not start: {log.read_text()[-500:]}")
        time.sleep(0.02)
    callers = front.callers()
    stretch = wanted.seconds / 4
    phases: list[tuple[str, float, float]] = []  # (gap on or off, start, end)
    step = 1.0 / (wanted.rate + wanted.others)
    share = wanted.rate / (wanted.rate + wanted.others)
    n = 0
    for k in range(4):
        on = k % 2 == 1
        front.write(path, wanted.interval if on else None)
        program.send_signal(signal.SIGHUP)
        time.sleep(0.2)  # the reload is heard before the stretch is counted
        begin, sent = time.time(), 0
        while time.time() < begin + stretch:
            number = front.claim if rng.random() < share else front.other(rng)
            callers.send(n, number)
            n, sent = n + 1, sent + 1
            time.sleep(max(0.0, begin + sent * step - time.time()))  # a fixed schedule, not one after another
        phases.append(("on" if on else "off", begin, time.time()))
    time.sleep(HOLD + 4.5)  # every call answered, and ended
    cpu = _cpu_seconds(program.pid)
    return _figures(wanted, log, phases, callers, front, cpu)


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _figures(
    wanted: argparse.Namespace,
    log: Path,
    phases: list[tuple[str, float, float]],
    callers: Callers | EnumCallers,
    front: Front,
    cpu: float,
) -> dict[str, Any]:
    events = [json.loads(line) for line in log.read_text().splitlines() if line.startswith("{")]
    set_at = [e["at"] for e in events if e["event"] == "gaps" and e["set"]]  # each gap's start, as logged
    lifted_at = [e["at"] for e in events if e["event"] == "gaps" and e["lifted"]]
    slots: Counter[tuple[int, int]] = Counter()  # (stretch, slot) -> set-ups that reached the server
    full: list[tuple[int, int]] = []  # slots wholly within a stretch with the gap
    for k, (kind, begin, end) in enumerate(phases):
        if kind != "on":
            continue
        start = max(s for s in set_at if s <= begin)
        first, last = math.ceil(begin / wanted.interval), int(end // wanted.interval)  # of Unix time
        full += [(k, s) for s in range(first, last)]
        lifted = min((t for t in lifted_at if t > start), default=math.inf)  # after it, all may pass
        passed: set[str] = set()  # a call that passed may be tried again
        for at, number, which in front.server.seen:
            if number == front.claim and start <= at < lifted - ROUNDED and which not in passed:
                passed.add(which)
                slots[(k, int(at // wanted.interval))] += 1
    refused_ms: list[float] = []
    others: dict[str, list[float]] = {"on": [], "off": []}
    refused: set[bytes] = set()
    others_offered = Counter[str]()
    others_served = Counter[str]()
    for call, (sent, number) in callers.sent.items():
        stretch = next((p[0] for p in phases if p[1] <= sent <= p[2]), None)
        told = callers.told.get(call)
        if stretch is None:
            continue
        kind = stretch
        if number == front.claim and kind == "on":
            if told and front.refused(told):
                refused.add(call)
                refused_ms.append((told[0] - sent) * 1000)
        elif number != front.claim:
            others_offered[kind] += 1
            if told and front.served(told):
                others_served[kind] += 1
                others[kind].append((told[0] - sent) * 1000)
    counts = [slots.get(s, 0) for s in full]
    work_for_refused = front.wasted(callers, refused)  # type: ignore[arg-type]
    line: dict[str, Any] = {
        "benchmark": "gap_load",
        "front": wanted.front,
        "seed": wanted.seed,
        "rate": wanted.rate,
        "interval": wanted.interval,
        "passed": sum(slots.values()),
        "intervals": len(full),
        # Of whole slots: in the one in which it was set, a call that was taken before may leave after.
        "most_in_one_interval": max(counts, default=0),
        "least_in_one_interval": min(counts, default=0),
        "refused": len(refused),
        "refusal_ms_p99": round(percentile(refused_ms, 0.99), 2),
        "setup_server_work_for_refused": work_for_refused,
        "others_served_share_off": round(others_served["off"] / max(1, others_offered["off"]), 4),
        "others_served_share_on": round(others_served["on"] / max(1, others_offered["on"]), 4),
        "others_ms_p99_off": round(percentile(others["off"], 0.99), 2),
        "others_ms_p99_on": round(percentile(others["on"], 0.99), 2),
        "offered": len(callers.sent),
        "program_cpu_s": round(cpu, 2),
    }
    line["ok"] = (
        line["most_in_one_interval"] == 1
        and line["least_in_one_interval"] == 1
        and work_for_refused == 0
        and line["others_served_share_on"] >= line["others_served_share_off"] - 0.01
    )
    return line


if __name__ == "__main__":
    sys.exit(main())
