"""The rig's side of the instances: files, processes through the keeper, and what they have written.

Owns the keeper's two pipes. An instance's file and folder outlive its processes.
"""

from __future__ import annotations

import shutil
import signal
import sys
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import orjson
from anyio.abc import Process, TaskStatus
from anyio.to_thread import run_sync

from harepick.fleet.ports import HOST
from harepick.settings import read_toml
from harepick.store.replica import initialize_replica
from harepick.store.settings import read_store

ROOT = Path(__file__).parent.parent.parent
STARTED = 5.0  # seconds for the keeper to answer
SERVES = 20.0  # seconds for an instance to serve after its start
STOPS = 10.0  # seconds from SIGTERM until an instance is killed
LOOK = 0.02  # seconds between two looks at what a process has written


class RigError(Exception):
    """The rig itself can't go on: nothing is known about the fleet then."""


class Tail:
    """Lines of a file of JSON lines, as they are written."""

    def __init__(self, path: Path) -> None:
        self._path, self._at = path, 0

    def new(self) -> list[dict[str, Any]]:
        """What has come since the last call; lines that are no JSON are left out."""
        if not self._path.exists():
            return []
        with self._path.open("rb") as file:
            file.seek(self._at)
            data = file.read()
        whole = data[: data.rfind(b"\n") + 1]
        self._at += len(whole)
        return [orjson.loads(line) for line in whole.splitlines() if line.startswith(b"{")]


class SupervisorClient:
    """`supervisor.py` as a process: what it starts is gone as soon as this rig is, however it ends."""

    def __init__(self, ended: Callable[[str, int], None]) -> None:
        """`ended` hears of each process that ended, with its exit code (negative: the signal)."""
        self._ended = ended
        self._process: Process | None = None
        self._ids: dict[str, int] = {}
        self._answers: dict[str, anyio.Event] = {}
        self.log: Path | None = None

    @property
    def ids(self) -> dict[str, int]:
        """Processes that run, by instance."""
        return dict(self._ids)

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Until cancelled; then all that it started is ended and waited for."""
        words = [sys.executable, "-m", "harepick.fleet.supervisor"]
        # A session of its own: a Ctrl-C at the terminal must not end it before it has cleaned up.
        self._process = await anyio.open_process(words, cwd=ROOT, stderr=None, start_new_session=True)
        try:
            task_status.started()
            buffer = b""
            assert self._process.stdout
            async for data in self._process.stdout:
                *lines, buffer = (buffer + data).split(b"\n")
                for line in lines:
                    self._hear(orjson.loads(line))
            raise RigError("the keeper of the processes has ended")
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(STOPS):
                assert self._process.stdin
                await self._process.stdin.aclose()
                await self._process.wait()

    def _hear(self, line: dict[str, Any]) -> None:
        if "started" in line:
            name = line["started"]
            if line["id"]:
                self._ids[name] = line["id"]
            if answer := self._answers.pop(name, None):
                answer.set()
        else:
            self._ids.pop(line["ended"], None)
            self._ended(line["ended"], line["code"])

    async def _say(self, **line: object) -> None:
        assert self._process and self._process.stdin
        await self._process.stdin.send(orjson.dumps(line) + b"\n")

    async def start(self, name: str, words: list[str], folder: Path, log: Path) -> int:
        """Its process id. Raises `RigError` if it can't be started."""
        answer = self._answers[name] = anyio.Event()
        await self._say(start=name, words=words, folder=str(folder), log=str(log))
        with anyio.move_on_after(STARTED):
            await answer.wait()
        if name not in self._ids:
            raise RigError(f"instance {name} could not be started: {' '.join(words)}")
        return self._ids[name]

    async def signal(self, name: str, number: int) -> None:
        """To the process of that instance, by its id; nothing if it has ended."""
        if name in self._ids:
            await self._say(signal=name, number=number)


@dataclass
class Instance:
    """One instance of the program as the rig knows it; `state` is running, paused or down."""

    name: str
    folder: Path  # of the play; the instance's own is `data`
    dns_port: int
    store_port: int
    relay_port: int = 0
    ops_port: int = 0  # 0: it has no ops listener
    clock_rate: float = 1.0
    double: str = ""
    state: str = "down"
    expected: bool = True  # whether its end is the rig's doing
    ended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def path(self) -> Path:
        return self.folder / f"{self.name}.toml"

    @property
    def data(self) -> Path:
        return self.folder / self.name

    @property
    def log(self) -> Path:
        return self.folder / f"{self.name}.log"

    @property
    def history(self) -> Path:
        return self.folder / f"{self.name}.jsonl"

    @property
    def words(self) -> list[str]:
        """The command line: the program itself, unless a clock or a rule is bent."""
        if self.clock_rate == 1.0 and not self.double:
            return [sys.executable, "-m", "harepick", "--operator", str(self.path)]
        bent = ["--clock-rate", str(self.clock_rate)] + (["--double", self.double] if self.double else [])
        return [sys.executable, "-m", "harepick.fleet.child", *bent, "--", "--operator", str(self.path)]

    def write(self, cluster: str, lease: float, members: dict[str, int]) -> None:
        """Its operator's file; `members`: name -> the port that others reach it at."""
        rows = "".join(
            f'[[store.member]]\nreplica = "{name}"\naddress = "{HOST}:{port}"\n'
            for name, port in members.items()
        )
        self.path.write_text(
            f'[enum]\nlisten = "{HOST}:{self.dns_port}"\n'
            f'[history]\nfile = "{self.history}"\n'
            + (f'[ops]\nlisten = "{HOST}:{self.ops_port}"\n' if self.ops_port else "")
            + f'[store]\ncluster = "{cluster}"\nreplica = "{self.name}"\n'
            f'listen = "{HOST}:{self.store_port}"\nfolder = "{self.data}"\n'
            f'lease_ms = {lease * 1000:g}\nfirst = "first.toml"\n{rows}'
        )

    def prepare(self) -> None:
        """Makes its folder if there is none; blocking."""
        if not self.data.exists():
            settings = read_store(read_toml(str(self.path)))
            assert settings
            initialize_replica(settings)

    async def start(self, keeper: SupervisorClient) -> None:
        """Returns once its process runs; `serves` waits for more."""
        await run_sync(self.prepare)
        self.expected, self.ended = False, anyio.Event()
        await keeper.start(self.name, self.words, ROOT, self.log)
        self.state = "running"

    async def serves(self, seen: Tail) -> bool:
        """Waits until it says that it serves; False if it ended, or did not in time."""
        with anyio.move_on_after(SERVES):
            while not self.ended.is_set():
                if any(line["event"] == "serving" for line in seen.new()):
                    return True
                await anyio.sleep(LOOK)
        return False

    async def kill(self, keeper: SupervisorClient, number: int = signal.SIGKILL) -> None:
        """Returns once it has ended; one that does not stop in time is killed."""
        if self.state == "down":
            return
        self.expected = True
        if self.state == "paused" and number != signal.SIGKILL:
            await keeper.signal(self.name, signal.SIGCONT)
        await keeper.signal(self.name, number)
        with anyio.move_on_after(STOPS):
            await self.ended.wait()
        if not self.ended.is_set():
            await keeper.signal(self.name, signal.SIGKILL)
            await self.ended.wait()
        self.state = "down"

    async def pause(self, keeper: SupervisorClient) -> None:
        if self.state == "running":
            await keeper.signal(self.name, signal.SIGSTOP)
            self.state = "paused"

    async def resume(self, keeper: SupervisorClient) -> None:
        if self.state == "paused":
            await keeper.signal(self.name, signal.SIGCONT)
            self.state = "running"

    def wipe(self) -> None:
        """Its folder goes; it must be down."""
        assert self.state == "down", self.state
        shutil.rmtree(self.data, ignore_errors=True)


def udp_owner(port: int, ids: dict[str, int]) -> str:
    """The instance whose process holds that UDP port on loopback; empty if none does.

    The relay sees a datagram's source port alone, and all instances send from one address."""
    inodes = _udp_inodes(port)
    for name, number in ids.items():
        if inodes and _holds(number, inodes):
            return name
    return ""


def _udp_inodes(port: int) -> set[str]:
    found = set()
    for line in Path("/proc/net/udp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].split(":")[1], 16) == port:
            found.add(f"socket:[{fields[9]}]")
    return found


def _holds(number: int, links: Collection[str]) -> bool:
    try:
        for entry in Path(f"/proc/{number}/fd").iterdir():
            try:
                if str(entry.readlink()) in links:
                    return True
            except OSError:
                continue
    except OSError:
        pass
    return False
