"""Stand-ins for the review's cases: the platform's event bus, setup servers, callers, and a proxy.

They follow the protocol page and use the standard library only. Each case runs in one asyncio loop; the
border controller is a separate process, started with the `run` line of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import secrets
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case

# Binary messages of callers
SET_UP, ANSWER, RELEASE = 1, 9, 12
CLASS, TIME_LIMIT, NUMBER, ATTRIBUTES, CAUSE, DESCRIPTION = 3, 5, 11, 13, 31, 33


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, folder: str) -> None:
        self.started = time.time()
        self._file = (Path(folder) / "record.txt").open("w")

    def add(self, text: str) -> None:
        self._file.write(f"{time.time() - self.started:9.3f}  {text}\n")
        self._file.flush()


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


# Setup server


class Line:
    """One connection of a border controller to a setup server."""

    def __init__(self, number: int, writer: asyncio.StreamWriter) -> None:
        self.number, self.writer, self.open = number, writer, True

    def send(self, text: str) -> None:
        if self.open:
            self.writer.write(text.encode("latin-1"))


class StandingCall:
    """A call that stands at a setup server."""

    def __init__(self, call: str, number: str, line: Line) -> None:
        self.call, self.number, self.line = call, number, line
        self.answered_at = time.time()
        self.released_at: float | None = None  # the server's release
        self.heard = False  # the border controller has acknowledged the release
        self.ended_by_controller: float | None = None


class SetupServer:
    """A sound setup server: answers each set-up after `delay_s`; the call stands for `hold_s`, then it is
    released with cause 16: on the connection of its set-up or else on any open one, and, while that is not
    acknowledged, also on the next one opened.

    With `max_connections` it refuses further connections while it has that many (its listener is closed).
    """

    def __init__(self, name: str, record: Record, delay_s: float = 0.05, hold_s: float = 9.0) -> None:
        self.name, self.record, self.delay_s, self.hold_s = name, record, delay_s, hold_s
        self.port = free_port()
        self.max_connections: int | None = None
        self.lines: list[Line] = []
        self.calls: dict[str, StandingCall] = {}
        self.invites: list[tuple[float, str]] = []
        self._open_set_ups: dict[tuple[int, str], asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None
        self._listening = False
        self._line_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._listening = True
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def _close_listener(self) -> None:
        if self._server and self._listening:
            self._server.close()
            self._listening = False

    def _spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._line_count += 1
        line = Line(self._line_count, writer)
        self.lines.append(line)
        self.record.add(f"{self.name}: connection {line.number} opened")
        if self.max_connections is not None and len(self.lines) >= self.max_connections:
            self.record.add(f"{self.name}: has its {self.max_connections} connections and admits no more")
            self._close_listener()
        for standing in self.calls.values():
            if standing.released_at is not None and not standing.heard:
                self._send_release(standing, line)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                found = re.search(r"(?im)^content-length:\s*(\d+)", head)
                await reader.readexactly(int(found[1]) if found else 0)
                self._handle(head, line)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:  # the end of the case
            return
        line.open = False
        self.lines.remove(line)
        self.record.add(f"{self.name}: connection {line.number} closed")
        for key in [key for key in self._open_set_ups if key[0] == line.number]:
            self._open_set_ups.pop(key).cancel()  # set-ups open on a closed connection are given up
        writer.close()
        if not self._listening and self.max_connections and len(self.lines) < self.max_connections:
            await self.start()

    def _handle(self, head: str, line: Line) -> None:
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (text.partition(":") for text in head.split("\r\n")[1:])
        }
        first, call = head.split("\r\n")[0], headers.get("call-id", "")
        method = headers.get("cseq", " ").rpartition(" ")[2]
        if first.startswith("SIP/"):
            if method == "BYE" and call in self.calls:
                self.calls[call].heard = True
            return
        if method == "INVITE":
            self.invites.append((time.time(), call))
            self.record.add(f"{self.name}: set-up of {call} on connection {line.number}")
            number = first.split(" ")[1][4:].partition("@")[0]
            self._open_set_ups[line.number, call] = self._spawn(self._answer(call, number, line))
        elif method == "CANCEL":
            if task := self._open_set_ups.pop((line.number, call), None):
                task.cancel()
                self.record.add(f"{self.name}: {call} given up by the border controller")
                line.send(_response(call, "487 Request Terminated", "1 INVITE"))
        elif method == "BYE":
            line.send(_response(call, "200 OK", headers["cseq"]))
            standing = self.calls.get(call)
            if standing and standing.released_at is None and standing.ended_by_controller is None:
                standing.ended_by_controller = time.time()
                self.record.add(f"{self.name}: {call} released by the border controller")
        elif method == "OPTIONS":
            line.send(_response(call, "200 OK", headers["cseq"]))

    async def _answer(self, call: str, number: str, line: Line) -> None:
        await asyncio.sleep(self.delay_s)
        self._open_set_ups.pop((line.number, call), None)
        body = f"{secrets.token_hex(8)}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n"
        self.calls[call] = StandingCall(call, number, line)
        self.record.add(f"{self.name}: answers {call} on connection {line.number}; it stands")
        line.send(_response(call, "200 OK", "1 INVITE", body))
        self._spawn(self._hold(self.calls[call]))

    async def _hold(self, standing: StandingCall) -> None:
        await asyncio.sleep(self.hold_s)
        if standing.ended_by_controller is not None:
            return
        standing.released_at = time.time()
        lines = [standing.line] if standing.line.open else [line for line in self.lines if line.open]
        if lines:
            self._send_release(standing, lines[0])

    def _send_release(self, standing: StandingCall, line: Line) -> None:
        self.record.add(f"{self.name}: releases {standing.call} on connection {line.number}")
        line.send(
            f"BYE sip:{standing.number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {standing.call}\r\n"
            "CSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n"
        )


def _response(call: str, status: str, cseq: str, body: str = "") -> str:
    return (
        f"SIP/2.0 {status}\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\nCSeq: {cseq}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    )


# Proxy


class ProxiedLine:
    """One connection through the proxy. Once `quiet`, it carries nothing more and stays open."""

    def __init__(self, number: int) -> None:
        self.number, self.quiet = number, False


class Proxy:
    """A TCP proxy in front of one address.

    Its connections can fall quiet and stay open; what the target sends comes `delay_s` later.
    """

    def __init__(self, target: int, record: Record, delay_s: float = 0.0) -> None:
        self.port, self._target, self._record = free_port(), target, record
        self._delay_s = delay_s
        self.lines: list[ProxiedLine] = []

    async def start(self) -> None:
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = ProxiedLine(len(self.lines) + 1)
        self.lines.append(line)
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self._target)
            await asyncio.gather(
                self._pass_on(line, reader, target_writer, 0.0),
                self._pass_on(line, target_reader, writer, self._delay_s),
            )
        except (OSError, asyncio.CancelledError):
            writer.close()

    async def _pass_on(
        self, line: ProxiedLine, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, delay_s: float
    ) -> None:
        loop = asyncio.get_running_loop()

        def write(data: bytes) -> None:
            if not line.quiet:  # a quiet connection tells neither side of a close
                writer.write(data) if data else writer.close()

        data = b"-"
        while data:
            try:
                data = await reader.read(65536)
            except ConnectionError:
                data = b""
            if delay_s:
                loop.call_later(delay_s, write, data)
            else:
                write(data)


# Event bus


def row(name: str, port: int, cell: int, state: str = "SERVING") -> dict[str, Any]:
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": "colombo",
        "machineType": "standard",
        "cell": cell,
        "lifecycle": state,
        "weight": 1,
        "startedAtMs": 0,
    }


class Bus:
    """The event bus: sends the events after N, then later ones, and every second its last number."""

    def __init__(self, record: Record, *rows: dict[str, Any]) -> None:
        self.port, self.record = free_port(), record
        self.events = [{"offset": 1, "topology": {"generation": 1, "reset": True, "instances": list(rows)}}]

    async def start(self) -> None:
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def publish(self, *rows: dict[str, Any]) -> None:
        offset = len(self.events) + 1
        topology = {"generation": offset, "reset": False, "instances": list(rows)}
        self.events.append({"offset": offset, "topology": topology})
        self.record.add(f"bus: event {offset}: {[(r['instanceId'], r['lifecycle']) for r in rows]}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = await reader.readline()
            sent = int(line.split()[1])
            self.record.add(f"bus: asked for the events from {sent}")
            last_number_at = 0.0
            while not reader.at_eof():
                for event in self.events[sent:]:
                    writer.write(json.dumps(event).encode() + b"\n")
                    self.record.add(f"bus: sends event {event['offset']}")
                    sent += 1
                if time.time() - last_number_at >= 1.0:
                    last_number_at = time.time()
                    writer.write(b"%d\n" % len(self.events))
                await writer.drain()
                await asyncio.sleep(0.02)
        except (ConnectionError, IndexError, ValueError, asyncio.CancelledError):
            pass
        writer.close()


# Caller


class Call:
    """One call of a caller and what it was told."""

    def __init__(self, call: bytes, class_name: str) -> None:
        self.id, self.class_name = call.hex(), class_name
        self.sent_at = time.time()
        self.stands_at: float | None = None
        self.description = b""
        self.released_at: float | None = None  # a release; before an answer it is the final answer
        self.cause = -1
        self.answers = 0  # final answers

    @property
    def answered(self) -> bool:
        return self.answers > 0


class Caller:
    """A caller with one connection, which carries many calls."""

    def __init__(self, port: int, record: Record, name: str = "caller") -> None:
        self.port, self.record, self.name = port, record, name
        self.calls: dict[bytes, Call] = {}
        self.closed_at: float | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        reader, self._writer = await asyncio.open_connection("127.0.0.1", self.port)
        self._task = asyncio.ensure_future(self._read(reader))

    def set_up(self, class_name: str, wait_ms: int = 3000, destination: int = 0) -> Call:
        """Sends a set-up."""
        return self.set_up_many([class_name], wait_ms, destination)[0]

    def set_up_many(self, classes: list[str], wait_ms: int = 3000, destination: int = 0) -> list[Call]:
        """Sends several set-ups in one write."""
        assert self._writer is not None
        calls, data = [], b""
        for class_name in classes:
            call_id = secrets.token_bytes(8)
            parameters = {
                CLASS: class_name.encode(),
                TIME_LIMIT: b"%d" % wait_ms,
                NUMBER: secrets.token_hex(8).encode(),
                ATTRIBUTES: b"dest:%d;width:1;via:-1" % destination,
                DESCRIPTION: b"%s\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n"
                % secrets.token_hex(8).encode(),
            }
            body = b"".join(struct.pack(">BH", code, len(v)) + v for code, v in parameters.items())
            data += struct.pack(">HB8s", 9 + len(body), SET_UP, call_id) + body
            call = self.calls[call_id] = Call(call_id, class_name)
            calls.append(call)
            self.record.add(f"{self.name}: set-up of {call.id} class {class_name}")
        self._writer.write(data)
        return calls

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                length = int.from_bytes(await reader.readexactly(2), "big")
                self._handle(await reader.readexactly(length))
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_at = time.time()
            self.record.add(f"{self.name}: connection closed by the border controller")

    def _handle(self, data: bytes) -> None:
        kind, call = data[0], self.calls.get(data[1:9])
        parameters, position = {}, 9
        while position < len(data):
            code, length = struct.unpack_from(">BH", data, position)
            parameters[code] = data[position + 3 : position + 3 + length]
            position += 3 + length
        if call is None:
            return
        if kind == ANSWER:
            call.answers += 1
            call.stands_at, call.description = time.time(), parameters.get(DESCRIPTION, b"")
            self.record.add(f"{self.name}: {call.id} stands")
        elif kind == RELEASE:
            call.answers += call.stands_at is None
            call.released_at, call.cause = time.time(), parameters.get(CAUSE, b"\0")[0]
            what = "released" if call.stands_at is not None else "not set up"
            self.record.add(f"{self.name}: {call.id} {what}, cause {call.cause}")


# The border controller


def settings(**classes: dict[str, Any]) -> dict[str, Any]:
    """The settings of a small deployment, with the classes of the helpline unless others are given."""
    usual = {
        "item-search": {"Promise": 2.0, "Importance": 1.0},
        "claim-update": {"Promise": 1.5, "Importance": 3.0},
    }
    rows = [
        {
            "Name": name,
            "GiveUp": 9.0,
            "LateShare": 0.25,
            "Effect": "free",
            "KeyScope": "all",
            "DedupWindow": 5.0,
            "Streaming": True,
        }
        | values
        for name, values in (classes or usual).items()
    ]
    return {
        "Balancers": 6,
        "Me": 0,
        "Bounds": {
            "Cancelling": True,
            "DialTimeout": 0.5,
            "IdleClose": 600.0,
            "MaxRetryAfter": 2.0,
            "OpenCap": 20000,
            "RetryAfter": True,
            "TryLimit": 4,
        },
        "Classes": rows,
        "Extra": {
            "AllowedPools": [[0, 1]] * len(rows),
            "Guard": 0.3,
            "Holding": [9.0] * len(rows),
            "SelfNo": -1,
            "Shape": "pools",
        },
        "FailureDomains": ["colombo", "kandy"],
        "Kinds": ["standard"],
        "Locality": "colombo",
        "MembershipMode": "push",
        "Report": {"Fields": [], "Via": "silent"},
        "Rules": {
            "ColdFrom": 0.34,
            "DrainGrace": 0.25,
            "GraceToAnswer": 0.02,
            "MustAskIn": 10.0,
            "TipAfter": 1.5,
            "TipMultiple": 2.0,
            "WarmAfter": 14.0,
        },
    }


class Controller:
    """The border controller as a process, started with the `run` line of the deploy file."""

    def __init__(
        self, record: Record, bus: Bus, options: dict[str, Any], bus_port: int | None = None
    ) -> None:
        """`bus_port`: the address of the bus, if it is not reached directly."""
        self.record, self.options = record, options
        self._bus_port = bus.port if bus_port is None else bus_port
        self.port, self.ops = free_port(), free_port()
        self._folder = tempfile.TemporaryDirectory()
        self._process: asyncio.subprocess.Process | None = None
        self._known = {"offset": len(bus.events), "batch": list(bus.events)}

    def write_config(self) -> Path:
        """Writes the configuration, whole at once."""
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bus": f"127.0.0.1:{self._bus_port}",
            "ops": f"127.0.0.1:{self.ops}",
            "known": self._known,
            "settings": self.options,
        }
        path = Path(self._folder.name) / "config.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.rename(path)
        return path

    async def start(self) -> None:
        path = self.write_config()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        scratch = Path(self._folder.name) / "tmp"
        scratch.mkdir()
        with (Path(self._folder.name) / "log").open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                *("/bin/sh", "-c", command),
                cwd=ROOT,
                env=os.environ | {"GW_CONFIG": str(path), "TMPDIR": str(scratch)},
                stdout=log,
                stderr=log,
            )
        for _ in range(300):
            if self._process.returncode is not None or await self._ready():
                break
            await asyncio.sleep(0.05)
        if self._process.returncode is not None or not await self._ready():
            raise RuntimeError("the border controller did not start")
        self.record.add("border controller: ready")

    async def _ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ops)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ops\r\n\r\n")
            head = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in head

    def signal(self, number: signal.Signals) -> None:
        assert self._process is not None
        self.record.add(f"border controller: {number.name}")
        self._process.send_signal(number)

    def log(self) -> str:
        return (Path(self._folder.name) / "log").read_text()

    async def stop(self) -> None:
        if self._process is None:
            return
        if self._process.returncode is None:
            self._process.kill()
        else:
            self.record.add(f"border controller: ended by itself with {self._process.returncode}")
        await self._process.wait()
        self._process = None
        self.record.add("border controller: its log")
        for line in self.log().splitlines():
            self.record.add(f"    {line}")


def run_case(case: Callable[[Record], Awaitable[int]], limit_s: float = 110.0) -> None:
    """Runs a case and exits with its result. The folder of the record is the first argument."""
    record = Record(sys.argv[1])
    record.add(f"TROUBLE={int(TROUBLE)}")

    async def bounded() -> int:
        return await asyncio.wait_for(case(record), limit_s)

    try:
        result = asyncio.run(bounded())
    except Exception as error:
        record.add(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    record.add({HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "the case could not run"))
    sys.exit(result)
