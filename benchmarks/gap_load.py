"""Number gapping under load: the real program on one of its fronts, with one number flooded among others.

python -m benchmarks.gap_load --rate 300 --interval 1.0 --seconds 30 --seed 1 [--front enum]

The run alternates phases without and with a gap on the flooded number, which is set and lifted by SIGHUP, so
that the service of the other numbers is compared within one run. The results come from the fake peers: the
server counts what reaches it for the flooded number in each slot of the gap (slots count from the Unix epoch,
from when the program logs the gap until it logs that it is lifted), and the callers time the refusals.
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
FLOODED_NUMBER = b"7f3a9c21e0b4d655"
CALL_S = 1.0  # seconds that a call stands before the server ends it
CONNECTIONS = 8
LOG_RESOLUTION_S = 0.001  # to which times in the log are rounded


class FakeSetupServer(threading.Thread):
    """A setup server that answers every set-up at once and ends each call after `CALL_S`."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.received: list[tuple[float, bytes, str]] = []  # (time, number, call)
        self.lock = threading.Lock()

    def run(self) -> None:
        """Accepts connections until the socket is closed."""
        while True:
            try:
                connection, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        decoder, ends = sip.Decoder(), []
        connection.settimeout(0.05)
        while True:
            try:
                data = connection.recv(65536)
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
                        self.received.append((now, number, message.call))
                    reply = sip.response(message, 200, b"OK")
                    connection.sendall(reply.replace(b"Content-Length: 0", b"Content-Length: 6") + b"answer")
                    ends.append((now + CALL_S, number, message.call))
            due = [call_end for call_end in ends if call_end[0] <= now]
            ends = [call_end for call_end in ends if call_end[0] > now]
            for _, number, call in due:
                connection.sendall(sip.bye(number, call, 7, 16))


class FakeBus(threading.Thread):
    """An event bus without events: it repeats the number of the last event every second."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"

    def run(self) -> None:
        """Accepts connections until the socket is closed."""
        while True:
            try:
                connection, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self._repeat_number, args=(connection,), daemon=True).start()

    def _repeat_number(self, connection: socket.socket) -> None:
        try:
            while True:
                connection.sendall(b"1\n")
                time.sleep(1.0)
        except OSError:
            return


class Callers:
    """Sends set-ups over a few connections; records when each was sent and how and when it was answered."""

    def __init__(self, port: int) -> None:
        self.sockets = [socket.create_connection(("127.0.0.1", port)) for _ in range(CONNECTIONS)]
        self.sent: dict[bytes, tuple[float, bytes]] = {}  # call -> (time, number)
        self.answers: dict[bytes, tuple[float, int, int]] = {}  # call -> (time, type, cause)
        self.lock = threading.Lock()
        for sock in self.sockets:
            threading.Thread(target=self._receive, args=(sock,), daemon=True).start()

    def send(self, n: int, number: bytes) -> None:
        """Sends set-up `n` for a number."""
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
        self.sockets[n % CONNECTIONS].sendall(binary.Message(binary.SET_UP, call, fields).encode())

    def _receive(self, sock: socket.socket) -> None:
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
                if message.type in (binary.ANSWER, binary.RELEASE) and message.call not in self.answers:
                    cause = message.parameters.get(binary.CAUSE, b"\0")[0]
                    with self.lock:
                        self.answers[message.call] = (now, message.type, cause)


class PlatformFront:
    """The program on its platform front, configured by JSON and SIGHUP."""

    flooded_number = FLOODED_NUMBER

    def __init__(self) -> None:
        self.server, bus = FakeSetupServer(), FakeBus()
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

    def launch_options(self, folder: Path) -> tuple[Path, list[str], dict[str, str]]:
        """The configuration file, and the arguments and environment to start the program with."""
        path = folder / "config.json"
        return path, [], {"GW_CONFIG": str(path)}

    def write(self, path: Path, interval: float | None) -> None:
        """Writes the configuration, with a gap on the flooded number or (None) without."""
        gap = {"id": "flood", "number": FLOODED_NUMBER.decode(), "interval_s": interval}
        path.write_text(json.dumps(self._config | {"gaps": [gap] if interval is not None else []}))

    def callers(self) -> Callers:
        """Connects the callers."""
        return Callers(self.port)

    def draw_other_number(self, rng: random.Random) -> bytes:
        """A random number that is not flooded."""
        return b"%016x" % rng.getrandbits(64)

    @staticmethod
    def served(answer: tuple[float, int, int]) -> bool:
        """Whether the answer is that the call stands."""
        return answer[1] == binary.ANSWER

    @staticmethod
    def refused(answer: tuple[float, int, int]) -> bool:
        """Whether the answer is a refusal by a gap."""
        return answer[1] == binary.RELEASE and answer[2] == 42

    def count_wasted(self, callers: Callers, refused: set[bytes]) -> int:
        """Number of set-ups that reached the server although they were refused."""
        reached = {call for _, number, call in self.server.received if number == FLOODED_NUMBER}
        return sum(call.hex() in reached for call in refused)


Front = PlatformFront | EnumFront
FRONTS: dict[str, type[Front]] = {"platform": PlatformFront, "enum": EnumFront}


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rate", type=float, default=300.0, help="set-ups per second to the flooded number")
    parser.add_argument("--others", type=float, default=30.0, help="set-ups per second to other numbers")
    parser.add_argument("--interval", type=float, default=1.0)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--front", choices=sorted(FRONTS), default="platform")
    options = parser.parse_args()
    rng = random.Random(options.seed)
    front = FRONTS[options.front]()
    with tempfile.TemporaryDirectory() as folder:
        path, arguments, environ = front.launch_options(Path(folder))
        log = Path(folder) / "log"
        front.write(path, None)
        with log.open("wb") as log_file:
            command = [sys.executable, "-m", "harepick", *arguments]
            program = subprocess.Popen(
                command, cwd=ROOT, env=os.environ | environ, stdout=log_file, stderr=log_file
            )
        try:
            line = run(options, rng, program, path, log, front)
        finally:
            program.kill()
            program.wait()
    return print_line(line)


def run(
    options: argparse.Namespace,
    rng: random.Random,
    program: subprocess.Popen[bytes],
    path: Path,
    log: Path,
    front: Front,
) -> dict[str, Any]:
    """Runs the four phases; returns the JSON line."""
    end = time.time() + 10
    while b'"serving"' not in log.read_bytes():
        if time.time() > end or program.poll() is not None:
            raise SystemExit(f"the program did not start: {log.read_text()[-500:]}")
        time.sleep(0.02)
    callers = front.callers()
    phase_s = options.seconds / 4
    phases: list[tuple[str, float, float]] = []  # (gap on or off, start, end)
    step = 1.0 / (options.rate + options.others)
    share = options.rate / (options.rate + options.others)
    n = 0
    for phase_index in range(4):
        on = phase_index % 2 == 1
        front.write(path, options.interval if on else None)
        program.send_signal(signal.SIGHUP)
        time.sleep(0.2)  # the program reloads before the phase starts
        begin, sent = time.time(), 0
        while time.time() < begin + phase_s:
            number = front.flooded_number if rng.random() < share else front.draw_other_number(rng)
            callers.send(n, number)
            n, sent = n + 1, sent + 1
            time.sleep(max(0.0, begin + sent * step - time.time()))  # a fixed rate, whatever answers take
        phases.append(("on" if on else "off", begin, time.time()))
    time.sleep(CALL_S + 4.5)  # until every call is answered and ended
    cpu = _cpu_seconds(program.pid)
    return _make_line(options, log, phases, callers, front, cpu)


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _make_line(
    options: argparse.Namespace,
    log: Path,
    phases: list[tuple[str, float, float]],
    callers: Callers | EnumCallers,
    front: Front,
    cpu: float,
) -> dict[str, Any]:
    events = [json.loads(line) for line in log.read_text().splitlines() if line.startswith("{")]
    # The start of each gap, as logged.
    set_at = [event["at"] for event in events if event["event"] == "gaps" and event["set"]]
    lifted_at = [event["at"] for event in events if event["event"] == "gaps" and event["lifted"]]
    slots: Counter[tuple[int, int]] = Counter()  # (phase, slot) -> set-ups that reached the server
    full: list[tuple[int, int]] = []  # slots that lie wholly within a phase with the gap
    for phase_index, (kind, begin, end) in enumerate(phases):
        if kind != "on":
            continue
        start = max(s for s in set_at if s <= begin)
        # Slots are counted from the Unix epoch.
        first, last = math.ceil(begin / options.interval), int(end // options.interval)
        full += [(phase_index, s) for s in range(first, last)]
        # All calls may pass once the gap is lifted.
        lifted = min((time_lifted for time_lifted in lifted_at if time_lifted > start), default=math.inf)
        passed: set[str] = set()  # a call that passed may reach the server again
        for at, number, call_id in front.server.received:
            if (
                number == front.flooded_number
                and start <= at < lifted - LOG_RESOLUTION_S
                and call_id not in passed
            ):
                passed.add(call_id)
                slots[(phase_index, int(at // options.interval))] += 1
    refused_ms: list[float] = []
    others: dict[str, list[float]] = {"on": [], "off": []}
    refused: set[bytes] = set()
    others_offered = Counter[str]()
    others_served = Counter[str]()
    for call, (sent, number) in callers.sent.items():
        phase_kind = next((phase[0] for phase in phases if phase[1] <= sent <= phase[2]), None)
        answer = callers.answers.get(call)
        if phase_kind is None:
            continue
        kind = phase_kind
        if number == front.flooded_number and kind == "on":
            if answer and front.refused(answer):
                refused.add(call)
                refused_ms.append((answer[0] - sent) * 1000)
        elif number != front.flooded_number:
            others_offered[kind] += 1
            if answer and front.served(answer):
                others_served[kind] += 1
                others[kind].append((answer[0] - sent) * 1000)
    counts = [slots.get(s, 0) for s in full]
    work_for_refused = front.count_wasted(callers, refused)  # type: ignore[arg-type]
    line: dict[str, Any] = {
        "benchmark": "gap_load",
        "front": options.front,
        "seed": options.seed,
        "rate": options.rate,
        "interval": options.interval,
        "passed": sum(slots.values()),
        "intervals": len(full),
        # Whole slots only: in the one in which the gap is set, a call admitted before may be sent after.
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
