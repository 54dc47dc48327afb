"""Real daemons with a replicated store on loopback, and what a test or benchmark does to them.

Also the stand-in upstreams that tell with the kernel's own time stamp when each query came.
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
SO_TIMESTAMPNS = 35
STAMP = struct.Struct("qq")
HOST = "127.0.0.1"
SUFFIX = "e164.arpa."


class Daemon:
    """One instance: its file and folder outlive its processes."""

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
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "harepick", "--operator", str(self.path)],
                cwd=ROOT,
                stdout=out,
                stderr=out,
            )
        self.paused, self.started = False, time.time()

    def kill(self) -> None:
        if self.process:
            self.process.kill()
            self.process.wait()
            self.process, self.paused = None, False

    def stop(self, within: float = 8.0) -> int:
        assert self.process
        self.process.send_signal(signal.SIGTERM)
        code = self.process.wait(within)
        self.process = None
        return code

    def pause(self) -> None:
        assert self.process
        self.process.send_signal(signal.SIGSTOP)
        self.paused = True

    def resume(self) -> None:
        if self.process and self.paused:
            self.process.send_signal(signal.SIGCONT)
        self.paused = False

    @property
    def up(self) -> bool:
        return self.process is not None and self.process.poll() is None and not self.paused

    def memory_mb(self) -> float:
        assert self.process
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def events(self, name: str) -> list[dict[str, Any]]:
        if not self.log.exists():
            return []
        lines = self.log.read_bytes().split(b"\n")[:-1]
        read = [orjson.loads(line) for line in lines if line.startswith(b"{")]
        return [line for line in read if line["event"] == name]

    def counters(self, within: float = 5.0) -> dict[str, int]:
        assert self.process
        before = len(self.events("counters"))
        self.process.send_signal(signal.SIGUSR1)
        end = time.monotonic() + within
        while time.monotonic() < end:
            if found := self.events("counters")[before:]:
                return {k: v for k, v in found[0].items() if isinstance(v, int)}
            time.sleep(0.01)
        raise AssertionError(f"{self.name} tells no counters")


class Cluster:
    """Some instances of one store."""

    def __init__(
        self, count: int, folder: Path, first: str, lease_ms: int = 1500, *, proxies: bool = False
    ) -> None:
        """With `proxies`, replicas reach each other through one before each port."""
        self.folder, self.lease_ms = folder, lease_ms
        self.name = f"c{secrets.token_hex(4)}"
        self.first = folder / "first.toml"
        self.first.write_text(first)
        ports = free_ports(2 * count)
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
            for other, _, own in self.rows:
                port = self.proxies[other].port if self.proxies else own
                text += f'[[store.member]]\nreplica = "{other}"\naddress = "{HOST}:{port}"\n'
        return Daemon(name, self.folder, dns_port, store_port, text)

    def joining(self, name: str) -> Daemon:
        """One more, for a cluster that runs."""
        dns_port, store_port = free_ports(2)
        daemon = self._daemon(name, dns_port, store_port, members=True)
        self.tool("store", "init", "--join", "--operator", str(daemon.path))
        self.daemons.append(daemon)
        return daemon

    def start(self) -> None:
        if len(self.daemons) > 1:
            for daemon in self.daemons:
                self.tool("store", "init", "--operator", str(daemon.path))
        for daemon in self.daemons:
            daemon.start()

    def tool(self, *words: str, code: int = 0, within: float = 30.0) -> str:
        """The command line; its output. Checks the exit code."""
        done = subprocess.run(
            [sys.executable, "-m", "harepick.cli.main", *words],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=within,
        )
        assert done.returncode == code, f"{words}: {done.returncode}\n{done.stdout}{done.stderr}"
        return done.stdout if code == 0 else done.stderr

    def ask(self, *words: str, code: int = 0, at: Daemon | None = None) -> str:
        """A command that speaks to the store."""
        daemons = [at] if at else self.daemons
        where = [w for d in daemons for w in ("--at", f"{HOST}:{d.store_port}")]
        return self.tool(*words, "--cluster", self.name, *where, code=code)

    def status(self, at: Daemon) -> dict[str, Any]:
        """As it sees itself, with a leader or without."""
        where = ("--cluster", self.name, "--at", f"{HOST}:{at.store_port}")
        words = ("store", "status", "--json", *where)
        done = subprocess.run(
            [sys.executable, "-m", "harepick.cli.main", *words], cwd=ROOT, capture_output=True, timeout=30
        )
        rows = orjson.loads(done.stdout[: done.stdout.rindex(b"]") + 1])
        return next(row for row in rows if row["replica"] == at.name)

    def leader(self, within: float = 10.0) -> Daemon:
        """The one that leads, once all that are up agree."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            up = [d for d in self.daemons if d.up]
            roles = [(d, d.events("store_role")) for d in up]
            last = {d.name: events[-1] for d, events in roles if events}
            if len(last) == len(up) and len({e["leader"] for e in last.values()}) == 1:
                for daemon in up:
                    if last[daemon.name]["leader"] == daemon.name:
                        return daemon
            time.sleep(0.05)
        raise AssertionError(f"no leader in {within} s")

    def end(self) -> None:
        for daemon in self.daemons:
            daemon.kill()
        for proxy in self.proxies.values():
            proxy.close()


@contextmanager
def cluster(count: int, first: str, lease_ms: int = 1500, *, proxies: bool = False) -> Iterator[Cluster]:
    """A cluster that runs, and is ended by its processes' ids."""
    with tempfile.TemporaryDirectory() as folder:
        made = Cluster(count, Path(folder), first, lease_ms, proxies=proxies)
        try:
            made.start()
            yield made
        finally:
            made.end()


class Proxy:
    """Stands before a replica's port; `cut` makes all that comes for it vanish, as a one-way cut does."""

    def __init__(self, to: int) -> None:
        self.cut, self._to = False, to
        self._listener = socket.create_server((HOST, 0), backlog=64)
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                threading.Thread(target=self._carry, args=(near,), daemon=True).start()

    def _carry(self, near: socket.socket) -> None:
        with near, suppress(OSError), socket.create_connection((HOST, self._to), 2.0) as far:
            threading.Thread(target=self._copy, args=(far, near, False), daemon=True).start()
            self._copy(near, far, True)

    def _copy(self, one: socket.socket, other: socket.socket, inward: bool) -> None:
        with suppress(OSError):
            while data := one.recv(65536):
                if not (inward and self.cut):
                    other.sendall(data)
            other.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        self._listener.close()


# Look-ups


def query_bytes(ident: int, number: str) -> bytes:
    name = ".".join(reversed(number)) + "." + SUFFIX
    query = dns.message.make_query(dns.name.from_text(name), dns.rdatatype.NAPTR, use_edns=0)
    query.id = ident
    return query.to_wire()


class Asker(threading.Thread):
    """Sends look-ups to one instance on a fixed schedule, and notes when each was sent and answered."""

    def __init__(self, port: int, rate: float, seed: int) -> None:
        super().__init__(daemon=True)
        self.rate = rate
        self.sent: list[float] = []  # by number
        self.answers: dict[int, tuple[float, int]] = {}  # number -> when, rcode
        self.repeated = 0
        self._offset = seed * 7919
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        self._sock.setblocking(False)
        self._to = (HOST, port)
        self._done = threading.Event()
        # Of ready bytes, so that the schedule is kept: the number is in the id, and in the name by turns.
        self._queries = [query_bytes(0, f"9411{(self._offset + n) % 1000000:07d}")[2:] for n in range(512)]

    def run(self) -> None:
        start = time.time()
        while not self._done.is_set():
            now = time.time()
            while start + len(self.sent) / self.rate <= now:
                number = len(self.sent)
                self.sent.append(time.time())
                data = (number & 0xFFFF).to_bytes(2, "big") + self._queries[number % 512]
                with suppress(OSError):  # nobody listens there for now
                    self._sock.sendto(data, self._to)
            self._hear(max(0.0, start + len(self.sent) / self.rate - time.time()))

    def _hear(self, wait: float) -> None:
        ready, _, _ = select.select([self._sock], [], [], min(wait, 0.05))
        while ready:
            try:
                data = self._sock.recv(4096)
            except BlockingIOError:
                return
            except OSError:
                continue
            ident = int.from_bytes(data[:2], "big")
            number = (len(self.sent) - 1) & ~0xFFFF | ident
            if number >= len(self.sent):
                number -= 0x10000
            if number in self.answers:
                self.repeated += 1
            self.answers.setdefault(number, (time.time(), data[3] & 15))

    def finish(self, linger: float = 0.0) -> None:
        time.sleep(linger)
        self._done.set()
        self.join()
        end = time.time() + 0.2
        while time.time() < end:
            self._hear(0.05)
        self._sock.close()


def _serve(count: int, pipe: Connection) -> None:
    """The upstreams' process: answers at once, and keeps what came where and when, by the kernel's clock."""
    socks = []
    for _ in range(count):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((HOST, 0))
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        sock.setblocking(False)
        socks.append(sock)
    pipe.send([sock.getsockname()[1] for sock in socks])
    poll = select.epoll()
    numbers = {sock.fileno(): n for n, sock in enumerate(socks)}
    for sock in socks:
        poll.register(sock, select.EPOLLIN)
    poll.register(pipe, select.EPOLLIN)
    came: list[tuple[float, int]] = []
    while True:
        for fd, _ in poll.poll():
            if fd not in numbers:
                pipe.recv()
                pipe.send(came)
                return
            sock = socks[numbers[fd]]
            while True:
                try:
                    data, extra, _, peer = sock.recvmsg(2048, 64)
                except BlockingIOError:
                    break
                except OSError:
                    continue
                seconds, nanoseconds = STAMP.unpack(extra[0][2][: STAMP.size])
                came.append((seconds + nanoseconds / 1e9, numbers[fd]))
                reply = bytearray(data)
                reply[2] |= 0x80
                with suppress(OSError):
                    sock.sendto(reply, peer)


class Upstreams:
    """A process with that many stand-in DNS servers."""

    def __init__(self, count: int) -> None:
        self._pipe, other = multiprocessing.Pipe()
        context = multiprocessing.get_context("fork")
        self._process = context.Process(target=_serve, args=(count, other), daemon=True)
        self._process.start()
        self.ports: list[int] = self._pipe.recv()

    def finish(self) -> list[tuple[float, int]]:
        """All that came: time and number of the upstream, in order of time."""
        self._pipe.send(None)
        came: list[tuple[float, int]] = self._pipe.recv()
        self._process.join(5)
        return sorted(came)


def config_text(*upstreams: tuple[str, int], extra: str = "") -> str:
    rows = [f'[[upstream]]\nname = "{name}"\naddress = "{HOST}:{port}"\n' for name, port in upstreams]
    return extra + "".join(rows)


def percentile(values: list[float], share: float) -> float:
    """0 for none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def print_line(line: dict[str, Any]) -> int:
    """The last line, and the exit code."""
    print(orjson.dumps(line).decode(), flush=True)
    return 0 if line["ok"] else 1
