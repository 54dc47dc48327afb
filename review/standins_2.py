"""Stand-ins for the cases 6 to 10: callers, setup servers and the event bus, and the start of the program.

They follow the operators' protocol page. Every address is on loopback, every port is free when it is
chosen. A case calls `main` with its test; the exit code is 0 if the rule held, 1 if it was broken, 2 if the
case could not run.
"""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import dns.message
import dns.rcode
import dns.rrset

from harepick.net import binary, sip

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
CLUSTER = "review"
AGENTS = 400  # of a setup server: far more calls than are usual
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ORDERLY_END_S = 6.0  # for a program to end after SIGTERM, at the end of a case


class CannotRunError(Exception):
    """The case could not run: the machine, the build or a stand-in failed, not the rule."""


def free_port() -> int:
    """A port of 127.0.0.1 that is free for TCP and UDP."""
    while True:
        port = 20_000 + secrets.randbelow(12_000)
        with (
            socket.socket() as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
            suppress(OSError),
        ):
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
            return port


class Case:
    """One run of a case: its record, its temporary folder and the processes that it has started."""

    def __init__(self, folder: Path) -> None:
        self.started_at = time.time()
        self._record = (folder / "record.txt").open("w")
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.broken: list[str] = []

    @property
    def now(self) -> float:
        """Seconds since the case began."""
        return time.time() - self.started_at

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        self._record.write(f"{self.now:8.3f} {text}\n")
        self._record.flush()

    def rule_broken(self, text: str) -> None:
        """Notes that the rule was broken."""
        self.broken.append(text)
        self.note(f"RULE BROKEN: {text}")

    def start(self, *arguments: str, **environ: str) -> subprocess.Popen[bytes]:
        """Starts the program with the command `run` of the deploy file, and arguments after it."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        command = " ".join([command, *arguments])
        log = (self.folder / f"log{len(self.processes)}").open("wb")
        process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env=os.environ | {"TMPDIR": str(self.folder)} | environ,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes.append(process)
        self.note(f"started process {len(self.processes) - 1}: {' '.join(arguments) or 'run'}")
        return process

    def log_events(self, number: int, name: str) -> list[dict[str, Any]]:
        """The log lines of an event of process `number`."""
        lines = (self.folder / f"log{number}").read_bytes().split(b"\n")[:-1]
        found = [json.loads(line) for line in lines if line.startswith(b"{")]
        return [line for line in found if line["event"] == name]

    async def until(self, condition: Callable[[], Any], within: float, why: str) -> None:
        """Waits for a condition; the case cannot run if it does not come true."""
        end = time.monotonic() + within
        while not condition():
            if time.monotonic() > end:
                raise CannotRunError(f"waited {within} s for {why}")
            await asyncio.sleep(0.02)

    async def serving(self, number: int = 0) -> None:
        """Waits until process `number` serves."""

        def is_serving() -> bool:
            if self.processes[number].poll() is not None:
                raise CannotRunError(f"process {number} ended with {self.processes[number].returncode}")
            return bool(self.log_events(number, "serving"))

        await self.until(is_serving, 30.0, "the start of the program")
        self.note(f"process {number} serves")

    def close(self) -> None:
        """Ends all processes that this case has started, and closes the record."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for number in range(len(self.processes)):
            for name in ("died", "unreached", "closed", "reloaded", "reload_failed", "list", "bus_broken"):
                for line in self.log_events(number, name)[:12]:
                    at = line.pop("at", 0.0) - self.started_at
                    self._record.write(f"{at:8.3f} log of process {number}: {json.dumps(line)}\n")
            text = (self.folder / f"log{number}").read_text(errors="replace")
            if "Traceback" in text:
                self._record.write(text[-3000:])
        self._record.close()
        self._temporary.cleanup()


def main(folder: Path, test: Callable[[Case], Awaitable[None]], limit: float = 110.0) -> None:
    """Runs the test of a case and ends the script with its exit code."""
    case = Case(folder)
    case.note(f"TROUBLE={int(TROUBLE)}")
    code = 2
    try:
        asyncio.run(asyncio.wait_for(test(case), limit))
        code = 1 if case.broken else 0
    except CannotRunError as error:
        case.note(f"could not run: {error}")
    except Exception:
        case.note(f"could not run: {traceback.format_exc()}")
    finally:
        words = {0: "the rule held", 1: "the rule was broken", 2: "could not run"}
        case.note(f"result: {words[code]}")
        case.close()
    print(f"{folder.name}: {words[code]}" + "".join(f"\n  {text}" for text in case.broken[:5]))
    sys.stdout.flush()
    os._exit(code)  # without the noise of streams that outlive the event loop


# Configuration


def call_class(name: str, aim: float, worth: float) -> dict[str, Any]:
    """A class as in the settings of lpo-helpline."""
    return {
        "DedupWindow": 5.0,
        "Effect": "free",
        "GiveUp": 9.0,
        "Importance": worth,
        "KeyScope": "all",
        "LateShare": 0.25,
        "Name": name,
        "Promise": aim,
        "Streaming": True,
    }


CLASSES = [call_class("item-search", 2.0, 1.0), call_class("claim-update", 1.5, 3.0)]


def settings(classes: list[dict[str, Any]], servers: int) -> dict[str, Any]:
    """Settings like those of a small deployment: two districts, few setup servers, six border controllers."""
    return {
        "Balancers": 6,
        "Bounds": {
            "Cancelling": True,
            "CpuUsPerS": 300000,
            "DialTimeout": 0.5,
            "IdleClose": 600.0,
            "MaxRetryAfter": 2.0,
            "Multiplex": 1048576,
            "OpenCap": 20000,
            "RetryAfter": True,
            "SecondCopies": False,
            "TryLimit": 4,
        },
        "Classes": classes,
        "Extra": {
            "AllowedPools": [list(range(servers)) for _ in classes],
            "Guard": 0.3,
            "Holding": [9.0 for _ in classes],
            "Repeat": 0.0,
            "SelfNo": -1,
            "Shape": "pools",
        },
        "FailureDomains": ["colombo", "kandy"],
        "Kinds": ["standard"],
        "Locality": "colombo",
        "Me": 3,
        "MembershipMode": "push",
        "Report": {"Fields": ["free", "size"], "Via": "silent"},
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


def row(server: SetupServer, state: str = "SERVING") -> dict[str, Any]:
    """A setup server in an event of the bus."""
    return {
        "instanceId": server.name,
        "hostPort": f"{HOST}:{server.port}",
        "zone": "colombo",
        "machineType": "standard",
        "cell": server.cell,
        "lifecycle": state,
        "weight": 1,
        "startedAtMs": 0,
    }


def event(offset: int, rows: list[dict[str, Any]], reset: bool = False) -> dict[str, Any]:
    """One event of the bus."""
    return {"offset": offset, "topology": {"generation": offset, "reset": reset, "instances": rows}}


def platform(bus: Bus, servers: list[SetupServer], classes: list[dict[str, Any]] = CLASSES) -> dict[str, Any]:
    """The configuration of one border controller; `listen` has a free port."""
    return {
        "name": "n3",
        "listen": f"{HOST}:{free_port()}",
        "seed": secrets.token_hex(8),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "bus": f"{HOST}:{bus.port}",
        "known": {"offset": 1, "batch": [bus.events[0]]},
        "settings": settings(classes, len(servers)),
    }


# The event bus


class Bus:
    """The event bus: sends the later events of a watch, and the last number every second.

    `answer_after` is the time that a new watch waits for its first line."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self.events: list[dict[str, Any]] = []
        self.answer_after = 0.0
        self.watches = 0
        self.port = 0
        self._changed = asyncio.Event()

    async def open(self, rows: list[dict[str, Any]]) -> None:
        """Opens the port; `rows` is the whole list at the start."""
        self.events = [event(1, rows, reset=True)]
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def publish(self, rows: list[dict[str, Any]]) -> None:
        """Adds an event."""
        self.events.append(event(len(self.events) + 1, rows))
        self._case.note(f"bus: event {len(self.events)}: {[(r['instanceId'], r['lifecycle']) for r in rows]}")
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, ValueError):
            line = await reader.readuntil(b"\n")
            self.watches += 1
            number = self.watches
            self._case.note(f"bus: watch {number}: {line.decode().strip()}")
            last = int(line.split()[1])
            await asyncio.sleep(self.answer_after)
            while True:
                for item in self.events[last:]:
                    writer.write(json.dumps(item).encode() + b"\n")
                    self._case.note(f"bus: event {item['offset']} written to watch {number}")
                last = len(self.events)
                writer.write(b"%d\n" % last)
                await writer.drain()
                with suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), 1.0)
        writer.close()


# Setup servers


class ServerCall:
    """A call as its setup server knows it."""

    def __init__(self, call: str, connection: ServerSide, number: bytes) -> None:
        self.call, self.connection, self.number = call, connection, number
        self.stood_at = 0.0
        self.released_by_server = self.released_by_controller = False
        self.cut = False

    @property
    def stands(self) -> bool:
        """Whether the call stands at the server."""
        return not (self.released_by_server or self.released_by_controller or self.cut)


class ServerSide:
    """The server's end of one connection."""

    def __init__(self, writer: asyncio.StreamWriter, number: int) -> None:
        self.writer, self.number = writer, number
        self.open = True


class SetupServer:
    """A sound setup server: answers every set-up at once; a call stands for `hold` seconds, then it releases
    it on the connection of its set-up, else on any open one, and also on the next one opened. It tells its
    free agents on each new connection, and on four open ones whenever they have changed.

    With `admits`, it refuses connections while it holds that many."""

    def __init__(self, case: Case, name: str, cell: int) -> None:
        self._case, self.name, self.cell = case, name, cell
        self.hold = 9.0
        self.admits: int | None = None
        self.calls: dict[str, ServerCall] = {}
        self.set_ups: list[tuple[float, str]] = []
        self.connections: list[ServerSide] = []
        self.port = free_port()
        self._listener: asyncio.Server | None = None
        self._accepted = 0
        self._unconfirmed: dict[str, ServerCall] = {}  # releases to repeat on the next connection
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listens."""
        self._listener = await asyncio.start_server(self._serve, HOST, self.port, reuse_address=True)

    async def follow_limit(self) -> None:
        """Opens and closes the port by `admits`, from now on."""
        full = self.admits is not None and len(self.connections) >= self.admits
        if full and self._listener:
            self._case.note(f"{self.name}: holds {len(self.connections)} connections, refuses further ones")
            self._listener.close()
            self._listener = None
        elif not full and not self._listener:
            self._case.note(f"{self.name}: holds {len(self.connections)} connections, accepts again")
            await self.open()

    async def stop(self) -> None:
        """The process ends: its connections are reset and its calls are cut."""
        self._case.note(f"{self.name}: the process ends")
        if self._listener:
            self._listener.close()
        for call in self.calls.values():
            if call.stands:
                call.cut = True
        for connection in list(self.connections):
            connection.writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._accepted += 1
        side = ServerSide(writer, self._accepted)
        self.connections.append(side)
        self._case.note(f"{self.name}: connection {side.number} accepted")
        await self.follow_limit()
        self._tell_free_agents([side])
        for call in list(self._unconfirmed.values()):
            self._write_release(call, side)
        self._unconfirmed.clear()
        decoder = sip.Decoder()
        with suppress(OSError, sip.SipError):
            while data := await reader.read(65536):
                for message in decoder.feed(data):
                    self._handle(message, side)
        side.open = False
        self.connections.remove(side)
        self._case.note(f"{self.name}: connection {side.number} ended")
        writer.close()
        with suppress(OSError):
            await self.follow_limit()

    def _handle(self, message: sip.Message, side: ServerSide) -> None:
        call = message.call
        if message.status or message.method == "ACK":
            return
        if message.method == "INVITE":
            self.set_ups.append((self._case.now, call))
            self._case.note(f"{self.name}: INVITE {call}")
            known = self.calls[call] = ServerCall(call, side, message.target[4:].split(b"@")[0])
            known.stood_at = self._case.now
            body = b"answer-%s-%s\r\n" % (self.name.encode(), call.encode())
            head = sip.response(message, 200, b"OK").replace(
                b"Content-Length: 0", b"Content-Length: %d" % len(body)
            )
            side.writer.write(head + body)
            self._tell_free_agents(self.connections[:4])
            task = asyncio.create_task(self._release_later(known))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif message.method == "BYE":
            self._case.note(f"{self.name}: BYE {call}")
            if call in self.calls:
                self.calls[call].released_by_controller = True
            side.writer.write(sip.response(message, 200, b"OK"))
            self._tell_free_agents(self.connections[:4])
        elif message.method in ("OPTIONS", "CANCEL"):
            side.writer.write(sip.response(message, 200, b"OK"))

    async def _release_later(self, call: ServerCall) -> None:
        await asyncio.sleep(self.hold)
        if not call.stands:
            return
        call.released_by_server = True
        sides = [call.connection] if call.connection.open else self.connections[:1]
        for side in sides:
            self._write_release(call, side)
        self._unconfirmed[call.call] = call
        self._tell_free_agents(self.connections[:4])

    def _tell_free_agents(self, sides: list[ServerSide]) -> None:
        free = AGENTS - sum(call.stands for call in self.calls.values())
        report = b"P-Load: free:%d;size:%d\r\n" % (free, AGENTS)
        for side in sides:
            if side.open and not side.writer.transport.is_closing():
                side.writer.write(sip.request("NOTIFY", b"group", secrets.token_hex(8), 1, report))

    def _write_release(self, call: ServerCall, side: ServerSide) -> None:
        self._case.note(f"{self.name}: releases {call.call} on connection {side.number}")
        side.writer.write(sip.bye(call.number, call.call, 2, 16))


# Callers


class Caller:
    """A caller's connection to a border controller, with the calls that were set up on it."""

    def __init__(self, case: Case, name: str = "caller") -> None:
        self._case, self.name = case, name
        self.sent: dict[str, float] = {}
        self.answers: dict[str, list[tuple[float, int, int]]] = {}  # call -> (time, type, cause)
        self.ended_at: float | None = None
        self.reset = False
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    async def open(self, address: str) -> None:
        """Connects."""
        host, _, port = address.rpartition(":")
        reader, self._writer = await asyncio.open_connection(host, int(port))
        self._task = asyncio.create_task(self._read(reader))

    def set_up(self, class_name: str, destination: int, wait_ms: int = 3000) -> str:
        """Sends a set-up with a new id; returns the id."""
        assert self._writer
        call = secrets.token_bytes(8)
        fields = {
            binary.CLASS: class_name.encode(),
            binary.TIME_LIMIT: str(wait_ms).encode(),
            binary.NUMBER: secrets.token_hex(8).encode(),
            binary.ATTRIBUTES: b"dest:%d;width:1;via:-1" % destination,
            binary.DESCRIPTION: b"c=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n",
        }
        self._writer.write(binary.Message(binary.SET_UP, call, fields).encode())
        self.sent[call.hex()] = self._case.now
        self._case.note(f"{self.name}: set-up {call.hex()} {class_name} to {destination}")
        return call.hex()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        decoder = binary.Decoder()
        try:
            while data := await reader.read(65536):
                for message in decoder.feed(data):
                    if message.type in (binary.ANSWER, binary.RELEASE):
                        cause = message.parameters.get(binary.CAUSE, b"\0")[0]
                        call = message.call.hex()
                        self.answers.setdefault(call, []).append((self._case.now, message.type, cause))
                        word = "answer" if message.type == binary.ANSWER else f"release, cause {cause}"
                        self._case.note(f"{self.name}: {word} {call}")
        except ConnectionResetError:
            self.reset = True
        self.ended_at = self._case.now
        self._case.note(f"{self.name}: connection ended{' with a reset' if self.reset else ''}")

    def close(self) -> None:
        """Closes the connection."""
        if self._writer:
            self._writer.close()


# ENUM


class Upstream:
    """A DNS server over UDP; answers a query after `delay` seconds with one NAPTR record, or never while it
    is `silent`."""

    def __init__(self, case: Case, name: str) -> None:
        self._case, self.name = case, name
        self.delay = 0.0
        self.silent = False
        self.port = free_port()
        self.queries: list[tuple[float, str]] = []
        self.under_way: dict[int, float] = {}  # query -> time of its arrival
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Opens the port."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._received), local_addr=(HOST, self.port)
        )

    def _received(self, data: bytes, peer: Any) -> None:
        query = dns.message.from_wire(data)
        number = len(self.queries)
        name = query.question[0].name.to_text()
        self.queries.append((self._case.now, name))
        self.under_way[number] = self._case.now
        self._case.note(f"{self.name}: query {number} {name}, under way: {len(self.under_way)}")
        if not self.silent:
            asyncio.get_running_loop().call_later(self.delay, self._answer, number, query, peer)

    def _answer(self, number: int, query: dns.message.Message, peer: Any) -> None:
        reply = dns.message.make_response(query)
        text = f'1 10 "u" "E2U+sip" "!^.*$!sip:{self.name}@lpo.example!" .'
        reply.answer.append(dns.rrset.from_text(query.question[0].name, 60, "IN", "NAPTR", text))
        del self.under_way[number]
        assert self._transport
        self._transport.sendto(reply.to_wire(), peer)
        self._case.note(f"{self.name}: answers query {number}")


class DnsClient:
    """A DNS client over UDP."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self.answers: dict[int, tuple[float, dns.message.Message]] = {}
        self.sent: dict[int, tuple[float, str]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, port: int) -> None:
        """Opens a socket towards the program."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._received), remote_addr=(HOST, port)
        )

    def _received(self, data: bytes, peer: Any) -> None:
        message = dns.message.from_wire(data)
        self.answers.setdefault(message.id, (self._case.now, message))
        self._case.note(f"client: answer {message.id} {dns.rcode.to_text(message.rcode())}")

    def ask(self, name: str) -> int:
        """Sends a query; returns its id."""
        query = dns.message.make_query(name, "NAPTR", use_edns=0, payload=1232)
        while query.id in self.sent:
            query.id = secrets.randbelow(1 << 16)
        self.sent[query.id] = (self._case.now, name)
        self._case.note(f"client: query {query.id} {name}")
        assert self._transport
        self._transport.sendto(query.to_wire())
        return query.id

    async def lookup(self, name: str, within: float = 3.0) -> dns.message.Message | None:
        """Sends a query and waits for its answer."""
        ident = self.ask(name)
        end = time.monotonic() + within
        while ident not in self.answers and time.monotonic() < end:
            await asyncio.sleep(0.002)
        return self.answers[ident][1] if ident in self.answers else None


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, received: Callable[[bytes, Any], None]) -> None:
        self._on_datagram = received

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._on_datagram(data, addr)


def enum_name(number: str, suffix: str = "e164.arpa.") -> str:
    """The ENUM name of a number."""
    return ".".join(reversed(number.lstrip("+"))) + "." + suffix


class Instance:
    """The files of one instance with a store: `first` is the first configuration, `members` has the names
    and addresses of all replicas, or nothing for a single one with an embedded store."""

    def __init__(
        self, case: Case, first: str, name: str = "a", store_port: int = 0, members: str = ""
    ) -> None:
        self._case, self.name = case, name
        self.dns_port, self.store_port = free_port(), store_port or free_port()
        (case.folder / "first.toml").write_text(first)
        self.path = case.folder / f"{name}.toml"
        self.path.write_text(
            f'[enum]\nlisten = "{HOST}:{self.dns_port}"\n'
            f'[store]\ncluster = "{CLUSTER}"\nreplica = "{name}"\nlisten = "{HOST}:{self.store_port}"\n'
            f'folder = "{case.folder / f"store-{name}"}"\nlease_ms = 1500\nfirst = "first.toml"\n{members}'
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> subprocess.Popen[bytes]:
        """Starts the instance."""
        self.process = self._case.start("--operator", str(self.path))
        return self.process

    @property
    def up(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    async def current(self, client: DnsClient, suffix: str = "e164.arpa.") -> None:
        """Waits until the instance serves look-ups."""
        end = time.monotonic() + 20.0
        while time.monotonic() < end:
            answer = await client.lookup(enum_name("+94110000000", suffix), 1.0)
            if answer is not None and answer.rcode() == dns.rcode.NOERROR:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"instance {self.name} serves no look-up")


def cluster(case: Case, count: int, first: str) -> list[Instance]:
    """Instances that share a replicated store; their folders are initialized, nothing is started."""
    names = [chr(ord("a") + number) for number in range(count)]
    ports = [free_port() for _ in names]
    members = "".join(
        f'[[store.member]]\nreplica = "{name}"\naddress = "{HOST}:{port}"\n'
        for name, port in zip(names, ports, strict=True)
    )
    instances = [Instance(case, first, name, port, members) for name, port in zip(names, ports, strict=True)]
    for instance in instances:
        if tool(case, "store", "init", "--operator", str(instance.path)):
            raise CannotRunError("a replica could not be initialized")
    return instances


def tool(case: Case, *arguments: str) -> int:
    """Runs the operators' command line; returns its exit code."""
    done = subprocess.run(
        [str(ROOT / ".venv/bin/python"), "-m", "harepick.cli.main", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30.0,
    )
    text = (done.stdout + done.stderr).strip().replace("\n", " | ")[-400:]
    case.note(f"harepick {arguments[0]} {arguments[1]}: exit code {done.returncode}: {text}")
    return done.returncode
