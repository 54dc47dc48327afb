"""Helpers of the network tests: start the real program, and act as its callers, setup servers and event
bus."""

from __future__ import annotations

import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from http.client import HTTPConnection
from pathlib import Path
from typing import Any, TypeVar

from harepick.fleet.ports import free_port
from harepick.net import binary, sip
from tests.test_wire import OPTIONS

ROOT = Path(__file__).parent.parent
Found = TypeVar("Found")


def until(condition: Callable[[], Found | None], within: float = 10.0, why: str = "a condition") -> Found:
    """Polls a condition and returns its first true value; fails with `why` after `within` seconds."""
    end = time.monotonic() + within
    while time.monotonic() < end:
        if found := condition():
            return found
        time.sleep(0.01)
    raise AssertionError(f"waited {within} s for {why}")


def listen() -> socket.socket:
    """Returns a listening socket on a free port of 127.0.0.1."""
    return socket.create_server(("127.0.0.1", 0))


def ops_call(port: int, path: str, method: str = "GET", within: float = 2.0) -> tuple[int, bytes]:
    """Makes one request to the `ops` listener, as a scraper does; returns status and body."""
    connection = HTTPConnection("127.0.0.1", port, timeout=within)
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def metrics(port: int) -> dict[str, float]:
    """Reads `GET /api/telemetry`; returns name{labels} -> value."""
    status, body = ops_call(port, "/api/telemetry")
    assert status == 200
    table = {}
    for line in body.decode().splitlines():
        if line and not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            table[name] = float(value)
    return table


class Peer:
    """One connection, read message by message with the program's own codecs."""

    def __init__(self, sock: socket.socket, decoder: binary.Decoder | sip.Decoder) -> None:
        self.sock, self.decoder, self.received = sock, decoder, []  # type: ignore[var-annotated]

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def next(self, matches: Callable[[Any], bool] = lambda _: True, within: float = 5.0) -> Any:
        """Returns the next message that matches and keeps the others; raises `EOFError` at the end of the
        connection."""
        end = time.monotonic() + within
        while True:
            for message in self.received:
                if matches(message):
                    self.received.remove(message)
                    return message
            self.sock.settimeout(max(0.001, end - time.monotonic()))
            try:
                data = self.sock.recv(65536)
            except TimeoutError:
                raise AssertionError(f"no matching message; kept: {self.received}") from None
            if not data:
                raise EOFError
            self.received += self.decoder.feed(data)

    def silent(self, span: float) -> bool:
        """Whether nothing arrives for `span` seconds."""
        with suppress(AssertionError):
            message = self.next(within=span)
            self.received.insert(0, message)
            return False
        return True

    def close(self, reset: bool = False) -> None:
        """Closes the connection, with a TCP reset if asked to."""
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.sock.close()


class Caller(Peer):
    """A caller on a connection to the program."""

    def __init__(self, port: int) -> None:
        super().__init__(socket.create_connection(("127.0.0.1", port)), binary.Decoder())

    def call(
        self,
        time_limit_ms: int = 4000,
        destination: int = 0,
        *,
        time_limit: str = "",
        call_id: bytes = b"",
        **changes: bytes,
    ) -> bytes:
        """Sends a set-up and returns its call id. `time_limit`, as text, replaces `time_limit_ms`."""
        call = call_id or secrets.token_bytes(8)
        fields = {
            binary.CLASS: changes.get("class_name", b"a"),
            binary.TIME_LIMIT: (time_limit or str(time_limit_ms)).encode(),
            binary.NUMBER: changes.get("number", b"7f3a9c21e0b4d655"),
            binary.ATTRIBUTES: b"dest:%d;width:1;via:-1" % destination,
            binary.DESCRIPTION: b"offer\r\n",
        }
        self.send(binary.Message(binary.SET_UP, call, fields).encode())
        return call

    def send_request(self, kind: int, call: bytes, cause: int) -> None:
        """Sends a message of any type with a cause."""
        self.send(binary.Message(kind, call, {binary.CAUSE: bytes([cause])}).encode())

    def final_answer(self, call: bytes, within: float = 5.0) -> binary.Message:
        """Returns the answer or the release of a call."""
        return self.next(lambda m: m.call == call and m.type in (binary.ANSWER, binary.RELEASE), within)  # type: ignore[no-any-return]


class SetupServer:
    """A setup server under the test's control."""

    def __init__(self) -> None:
        self.listener = listen()
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.connections: list[Peer] = []

    def accept(self, within: float = 5.0) -> Peer:
        """Accepts the next connection of the program."""
        self.listener.settimeout(within)
        self.connections.append(Peer(self.listener.accept()[0], sip.Decoder()))
        return self.connections[-1]

    def invited(self, within: float) -> tuple[Peer, sip.Message] | None:
        """Returns the next set-up on any connection, new ones included; None if none comes.

        The program sends a set-up on another connection while the last one still has bytes to write, so
        which one it uses depends on timing."""
        end = time.monotonic() + within
        while True:
            with suppress(TimeoutError):
                self.accept(within=0.005)
            for connection in self.connections:
                with suppress(AssertionError, OSError, EOFError):
                    return connection, invite(connection, within=0.005)
            if time.monotonic() >= end:
                return None


def invite(peer: Peer, within: float = 5.0) -> sip.Message:
    """Returns the next INVITE on a connection."""
    return peer.next(lambda m: m.method == "INVITE" and not m.status, within)  # type: ignore[no-any-return]


def reply(peer: Peer, to: sip.Message, status: int, body: bytes = b"", note: bytes = b"") -> None:
    """Sends a response; `note` is its Warning-Word."""
    head = sip.response(to, status, b"-").replace(b"Content-Length: 0", b"Content-Length: %d" % len(body))
    head = head.replace(b"CSeq: 2 INVITE", b"CSeq: 1 INVITE")  # as the platform's servers answer every INVITE
    if note:
        head = head.replace(b"Content-Length", b"Warning-Word: %s\r\nContent-Length" % note)
    peer.send(head + body)


def row(name: str, address: str, cell: int, state: str = "SERVING", started: int = 0) -> dict[str, Any]:
    """One instance in an event of the bus."""
    keys = ("instanceId", "hostPort", "zone", "machineType", "cell", "lifecycle", "weight", "startedAtMs")
    return dict(zip(keys, (name, address, "z", "std", cell, state, 1, started), strict=True))


def event(offset: int, *rows: dict[str, Any], reset: bool = False) -> dict[str, Any]:
    """One event of the bus; with `reset`, it holds the whole list."""
    return {"offset": offset, "topology": {"generation": offset, "reset": reset, "instances": list(rows)}}


class Program:
    """The real program as a process, with its log."""

    def __init__(self, process: subprocess.Popen[bytes], log: Path) -> None:
        self.process, self._log = process, log

    def events(self, name: str) -> list[dict[str, Any]]:
        """Returns the log lines with that event name."""
        lines = self._log.read_bytes().split(b"\n")[:-1]
        records = [json.loads(line) for line in lines if line.startswith(b"{")]
        return [line for line in records if line["event"] == name]

    def text(self) -> str:
        return self._log.read_text()

    def counters(self) -> dict[str, int]:
        """Has the program log its counters (SIGUSR1) and returns them."""
        before = len(self.events("counters"))
        self.process.send_signal(signal.SIGUSR1)
        return until(lambda: self.events("counters")[before:], why="the counters")[0]

    def wait_for_counter(self, name: str, least: int = 1, within: float = 10.0) -> int:
        """Waits until a counter has reached `least`; polls slowly enough for the log's rate limit."""
        end = time.monotonic() + within
        while (value := self.counters().get(name, 0)) < least:
            assert time.monotonic() < end, f"waited {within} s for {name} to be {least}; it is {value}"
            time.sleep(0.1)
        return value

    def ready(self, port: int) -> bool:
        """Whether the `ops` listener on that port reports readiness."""
        with suppress(OSError):
            return ops_call(port, "/api/ready")[0] == 200
        return False

    def stop(self, within: float = 6.0) -> int:
        """Sends SIGTERM and returns the exit status."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(within)


@contextmanager
def program(*arguments: str, **environ: str) -> Iterator[Program]:
    """Runs `python -m harepick` with these arguments and variables; kills it at the end."""
    with tempfile.TemporaryDirectory() as folder:
        log = Path(folder) / "log"
        with log.open("wb") as out:
            process = subprocess.Popen(
                [sys.executable, "-m", "harepick", *arguments],
                cwd=ROOT,
                env=os.environ | environ,
                stdout=out,
                stderr=out,
            )
        try:
            running = Program(process, log)
            until(lambda: running.events("serving") or process.poll() is not None, why="the start")
            yield running
        finally:
            process.kill()
            process.wait()


class Platform:
    """The platform around a border controller: its configuration, event bus and setup servers."""

    def __init__(self, servers: int = 1) -> None:
        self.servers = [SetupServer() for _ in range(servers)]
        self.bus = listen()
        self.port = free_port()
        self.ops = free_port()
        self.rows = [row(f"s{n}", s.address, n) for n, s in enumerate(self.servers)]
        options = json.loads(json.dumps(OPTIONS))
        options["Bounds"] |= {"RetryAfter": True, "MaxRetryAfter": 2.0, "OpenCap": 1000}
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bus": f"127.0.0.1:{self.bus.getsockname()[1]}",
            "ops": f"127.0.0.1:{self.ops}",
            "known": {"offset": 1, "batch": [event(1, *self.rows, reset=True)]},
            "settings": options,
        }

    @contextmanager
    def run(self, **environ: str) -> Iterator[Program]:
        """Runs the program on this configuration."""
        with tempfile.TemporaryDirectory() as folder:
            self.path = Path(folder) / "config.json"
            self.path.write_text(json.dumps(self.config))
            with program(GW_CONFIG=str(self.path), **environ) as running:
                yield running

    def accept_bus_connection(self) -> socket.socket:
        """Returns the bus's end of the program's connection."""
        self.bus.settimeout(5.0)
        return self.bus.accept()[0]
