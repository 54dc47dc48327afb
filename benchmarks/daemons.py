"""Runs real daemons with a replicated store on loopback, for tests and benchmarks.

`Cluster` starts, stops and queries the daemons, `LookupGenerator` sends DNS look-ups to one of them, and
`Upstreams` runs fake DNS servers that record when each query arrived, by the kernel's time stamp.
"""

from __future__ import annotations

import multiprocessing
import secrets
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import dns.flags
import dns.message
import dns.name
import dns.rdatatype
import orjson

from harepick.fleet.ports import free_ports

ROOT = Path(__file__).parent.parent
SO_TIMESTAMPNS = 35  # Linux socket option: kernel receive time stamps
TIMESPEC = struct.Struct("qq")  # seconds, nanoseconds
HOST = "127.0.0.1"
SUFFIX = "e164.arpa."


class Daemon:
    """One instance, whose settings file and data folder outlive its processes."""

    def __init__(self, name: str, folder: Path, dns_port: int, store_port: int, text: str) -> None:
        self.name, self.folder = name, folder
        self.dns_port, self.store_port = dns_port, store_port
        self.path = folder / f"{name}.toml"
        self.path.write_text(text)
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.paused = False
        self.started = 0.0

    def start(self) -> None:
        """Starts a process that appends its output to the log file."""
        with self.log.open("ab") as log_file:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "harepick", "--operator", str(self.path)],
                cwd=ROOT,
                stdout=log_file,
                stderr=log_file,
            )
        self.paused, self.started = False, time.time()

    def kill(self) -> None:
        """Kills the process, if any, with SIGKILL."""
        if self.process:
            self.process.kill()
            self.process.wait()
            self.process, self.paused = None, False

    def stop(self, within: float = 8.0) -> int:
        """Stops the process with SIGTERM; returns its exit code. `within` is in seconds."""
        assert self.process
        self.process.send_signal(signal.SIGTERM)
        code = self.process.wait(within)
        self.process = None
        return code

    def pause(self) -> None:
        """Pauses the process with SIGSTOP."""
        assert self.process
        self.process.send_signal(signal.SIGSTOP)
        self.paused = True

    def resume(self) -> None:
        """Continues a paused process."""
        if self.process and self.paused:
            self.process.send_signal(signal.SIGCONT)
        self.paused = False

    @property
    def up(self) -> bool:
        """Whether the process is running and not paused."""
        return self.process is not None and self.process.poll() is None and not self.paused

    def memory_mb(self) -> float:
        """Resident memory of the process, 0 if it has exited."""
        assert self.process
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def events(self, name: str) -> list[dict[str, Any]]:
        """All complete log lines of one event, over all processes so far."""
        if not self.log.exists():
            return []
        lines = self.log.read_bytes().split(b"\n")[:-1]
        records = [orjson.loads(line) for line in lines if line.startswith(b"{")]
        return [line for line in records if line["event"] == name]

    def counters(self, within: float = 5.0) -> dict[str, int]:
        """Makes the process log its counters and returns them; waits up to `within` seconds."""
        assert self.process
        before = len(self.events("counters"))
        self.process.send_signal(signal.SIGUSR1)
        end = time.monotonic() + within
        while time.monotonic() < end:
            if found := self.events("counters")[before:]:
                return {name: value for name, value in found[0].items() if isinstance(value, int)}
            time.sleep(0.01)
        raise AssertionError(f"{self.name} did not log its counters")


class Cluster:
    """The instances of one replicated store."""

    def __init__(
        self, count: int, folder: Path, first: str, lease_ms: int = 1500, *, proxies: bool = False
    ) -> None:
        """`first`: text of the first configuration; `proxies`: replicas connect through a `Proxy` each."""
        self.folder, self.lease_ms = folder, lease_ms
        self.name = f"c{secrets.token_hex(4)}"
        self.first = folder / "first.toml"
        self.first.write_text(first)
        ports = free_ports(2 * count)
        # (name, DNS port, store port) of each.
        self.rows = [(f"r{n}", ports[2 * n], ports[2 * n + 1]) for n in range(count)]
        self.proxies = {name: Proxy(port) for name, _, port in self.rows} if proxies else {}
        self.daemons = [self._daemon(*row, members=True) for row in self.rows]

    def _daemon(self, name: str, dns_port: int, store_port: int, *, members: bool) -> Daemon:
        text = (
            f'[enum]\nlisten = "{HOST}:{dns_port}"\n[store]\ncluster = "{self.name}"\nreplica = "{name}"\n'
            f'listen = "{HOST}:{store_port}"\nfolder = "{self.folder / name}"\nlease_ms = {self.lease_ms}\n'
            'first = "first.toml"\n'
        )
        if members:
            for other, _, own_port in self.rows:
                port = self.proxies[other].port if self.proxies else own_port
                text += f'[[store.member]]\nreplica = "{other}"\naddress = "{HOST}:{port}"\n'
        return Daemon(name, self.folder, dns_port, store_port, text)

    def joining(self, name: str) -> Daemon:
        """Initializes the folder of a further replica for a running cluster; starts nothing."""
        dns_port, store_port = free_ports(2)
        daemon = self._daemon(name, dns_port, store_port, members=True)
        self.tool("store", "init", "--join", "--operator", str(daemon.path))
        self.daemons.append(daemon)
        return daemon

    def start(self) -> None:
        """Initializes the folders (not needed for a single replica) and starts all daemons."""
        if len(self.daemons) > 1:
            for daemon in self.daemons:
                self.tool("store", "init", "--operator", str(daemon.path))
        for daemon in self.daemons:
            daemon.start()

    def tool(self, *arguments: str, code: int = 0, within: float = 30.0) -> str:
        """Runs the command line tool, asserts its exit code and returns standard output.

        With an expected failure (`code` is not 0) it returns standard error. `within` is in seconds."""
        result = subprocess.run(
            [sys.executable, "-m", "harepick.cli.main", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=within,
        )
        assert result.returncode == code, f"{arguments}: {result.returncode}\n{result.stdout}{result.stderr}"
        return result.stdout if code == 0 else result.stderr

    def ask(self, *arguments: str, code: int = 0, at: Daemon | None = None) -> str:
        """Runs a command against the store, through one daemon (`at`) or all of them; returns its output."""
        daemons = [at] if at else self.daemons
        addresses = [argument for daemon in daemons for argument in ("--at", f"{HOST}:{daemon.store_port}")]
        return self.tool(*arguments, "--cluster", self.name, *addresses, code=code)

    def status(self, at: Daemon) -> dict[str, Any]:
        """The replica's own row of `store status`, whether or not there is a leader."""
        address = ("--cluster", self.name, "--at", f"{HOST}:{at.store_port}")
        arguments = ("store", "status", "--json", *address)
        result = subprocess.run(
            [sys.executable, "-m", "harepick.cli.main", *arguments], cwd=ROOT, capture_output=True, timeout=30
        )
        rows = orjson.loads(result.stdout[: result.stdout.rindex(b"]") + 1])
        return next(row for row in rows if row["replica"] == at.name)

    def leader(self, within: float = 10.0) -> Daemon:
        """The leader, once all running daemons have logged the same one; waits up to `within` seconds."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            up = [candidate for candidate in self.daemons if candidate.up]
            roles = [(candidate, candidate.events("store_role")) for candidate in up]
            last = {candidate.name: events[-1] for candidate, events in roles if events}
            if len(last) == len(up) and len({event["leader"] for event in last.values()}) == 1:
                for daemon in up:
                    if last[daemon.name]["leader"] == daemon.name:
                        return daemon
            time.sleep(0.05)
        raise AssertionError(f"the running daemons agreed on no leader within {within} s")

    def end(self) -> None:
        """Kills all daemons and closes the proxies."""
        for daemon in self.daemons:
            daemon.kill()
        for proxy in self.proxies.values():
            proxy.close()


@contextmanager
def cluster(count: int, first: str, lease_ms: int = 1500, *, proxies: bool = False) -> Iterator[Cluster]:
    """Starts a cluster in a temporary folder and kills its processes on exit."""
    with tempfile.TemporaryDirectory() as folder:
        running_cluster = Cluster(count, Path(folder), first, lease_ms, proxies=proxies)
        try:
            running_cluster.start()
            yield running_cluster
        finally:
            running_cluster.end()


class Proxy:
    """TCP proxy in front of a replica's port; drops inbound data while `cut` is set: a one-way cut."""

    def __init__(self, to: int) -> None:
        self.cut, self._target = False, to
        self._listener = socket.create_server((HOST, 0), backlog=64)
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                inbound, _ = self._listener.accept()
                threading.Thread(target=self._forward, args=(inbound,), daemon=True).start()

    def _forward(self, inbound: socket.socket) -> None:
        with inbound, suppress(OSError), socket.create_connection((HOST, self._target), 2.0) as outbound:
            threading.Thread(target=self._copy, args=(outbound, inbound, False), daemon=True).start()
            self._copy(inbound, outbound, True)

    def _copy(self, source: socket.socket, sink: socket.socket, inward: bool) -> None:
        with suppress(OSError):
            while data := source.recv(65536):
                if not (inward and self.cut):
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Stops accepting connections."""
        self._listener.close()


# DNS look-ups


def query_bytes(query_id: int, number: str) -> bytes:
    """The wire format of a NAPTR query for an E.164 number (digits only)."""
    name = ".".join(reversed(number)) + "." + SUFFIX
    query = dns.message.make_query(dns.name.from_text(name), dns.rdatatype.NAPTR, use_edns=0)
    query.id = query_id
    return query.to_wire()


class LookupGenerator(threading.Thread):
    """Sends look-ups to one instance at a fixed rate (per second); records send and answer times."""

    def __init__(self, port: int, rate: float, seed: int) -> None:
        super().__init__(daemon=True)
        self.rate = rate
        self.sent: list[float] = []  # Unix time, indexed by query number
        self.answers: dict[int, tuple[float, int]] = {}  # query number -> (Unix time, rcode)
        self.repeated = 0  # answers to queries that were answered before
        self._first_number = seed * 7919
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        self._socket.setblocking(False)
        self._target = (HOST, port)
        self._done = threading.Event()
        # Encoded beforehand to keep up with the rate. The id carries the low 16 bits of the query number.
        self._queries = [
            query_bytes(0, f"9411{(self._first_number + n) % 1000000:07d}")[2:] for n in range(512)
        ]

    def run(self) -> None:
        start = time.time()
        while not self._done.is_set():
            now = time.time()
            while start + len(self.sent) / self.rate <= now:
                number = len(self.sent)
                self.sent.append(time.time())
                data = (number & 0xFFFF).to_bytes(2, "big") + self._queries[number % 512]
                with suppress(OSError):  # the daemon is down: refused
                    self._socket.sendto(data, self._target)
            self._receive(max(0.0, start + len(self.sent) / self.rate - time.time()))

    def _receive(self, wait: float) -> None:
        ready, _, _ = select.select([self._socket], [], [], min(wait, 0.05))
        while ready:
            try:
                data = self._socket.recv(4096)
            except BlockingIOError:
                return
            except OSError:
                continue
            query_id = int.from_bytes(data[:2], "big")
            # The latest query sent whose number has these low 16 bits.
            number = (len(self.sent) - 1) & ~0xFFFF | query_id
            if number >= len(self.sent):
                number -= 0x10000
            if number in self.answers:
                self.repeated += 1
            self.answers.setdefault(number, (time.time(), data[3] & 15))

    def finish(self, linger: float = 0.0) -> None:
        """Stops sending after `linger` seconds and collects late answers."""
        time.sleep(linger)
        self._done.set()
        self.join()
        end = time.time() + 0.2
        while time.time() < end:
            self._receive(0.05)
        self._socket.close()


def _run_upstreams(count: int, pipe: Connection) -> None:
    """The process of the fake upstreams: answers queries at once, records arrivals by the kernel's clock."""
    sockets = []
    for _ in range(count):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((HOST, 0))
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        sock.setblocking(False)
        sockets.append(sock)
    pipe.send([sock.getsockname()[1] for sock in sockets])
    poll = select.epoll()
    numbers = {sock.fileno(): n for n, sock in enumerate(sockets)}
    for sock in sockets:
        poll.register(sock, select.EPOLLIN)
    poll.register(pipe, select.EPOLLIN)
    arrivals: list[tuple[float, int]] = []
    while True:
        for fd, _ in poll.poll():
            if fd not in numbers:
                pipe.recv()
                pipe.send(arrivals)
                return
            sock = sockets[numbers[fd]]
            while True:
                try:
                    data, extra, _, peer = sock.recvmsg(2048, 64)
                except BlockingIOError:
                    break
                except OSError:
                    continue
                seconds, nanoseconds = TIMESPEC.unpack(extra[0][2][: TIMESPEC.size])
                arrivals.append((seconds + nanoseconds / 1e9, numbers[fd]))
                reply = bytearray(data)
                reply[2] |= 0x80  # the QR flag: the query is returned as an empty response
                with suppress(OSError):
                    sock.sendto(reply, peer)


class Upstreams:
    """A process that runs `count` fake DNS servers."""

    def __init__(self, count: int) -> None:
        self._pipe, other = multiprocessing.Pipe()
        context = multiprocessing.get_context("fork")
        self._process = context.Process(target=_run_upstreams, args=(count, other), daemon=True)
        self._process.start()
        self.ports: list[int] = self._pipe.recv()

    def finish(self) -> list[tuple[float, int]]:
        """Stops the process; returns all arrivals in order, as (Unix time, index of the upstream)."""
        self._pipe.send(None)
        arrivals: list[tuple[float, int]] = self._pipe.recv()
        self._process.join(5)
        return sorted(arrivals)


def config_text(*upstreams: tuple[str, int], extra: str = "") -> str:
    """A configuration with these upstreams (name, port), after the text `extra`."""
    rows = [f'[[upstream]]\nname = "{name}"\naddress = "{HOST}:{port}"\n' for name, port in upstreams]
    return extra + "".join(rows)


def percentile(values: list[float], share: float) -> float:
    """The value at `share` (0 to 1) of the sorted values; 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def print_line(line: dict[str, Any]) -> int:
    """Prints the benchmark's JSON line; returns the exit code, 0 if `line["ok"]`."""
    print(orjson.dumps(line).decode(), flush=True)
    return 0 if line["ok"] else 1
