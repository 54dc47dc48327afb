"""The instances of the program as the rig sees them: their files, processes, logs and histories.

Processes are started through the supervisor (`supervisor.py`), whose two pipes are owned here. An instance's
settings file and store folder outlive its processes.
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
START_TIMEOUT_S = 5.0  # for the supervisor to confirm a start
SERVE_TIMEOUT_S = 20.0  # for an instance to serve after its start
STOP_TIMEOUT_S = 10.0  # from SIGTERM until an instance is killed; also for the supervisor's own end
POLL_INTERVAL_S = 0.02  # between two reads of a process's log
# For one port: a read of the kernel's table misses open sockets while others are opened and closed.
SOCKET_TABLE_READS = 5


class RigError(Exception):
    """The rig itself failed, so the run says nothing about the fleet."""


class Tail:
    """Follows a file of JSON lines that another process writes."""

    def __init__(self, path: Path) -> None:
        self._path, self._offset = path, 0

    def read_new(self) -> list[dict[str, Any]]:
        """Returns the complete lines written since the last call; skips lines that are not JSON objects."""
        if not self._path.exists():
            return []
        with self._path.open("rb") as file:
            file.seek(self._offset)
            data = file.read()
        complete_lines = data[: data.rfind(b"\n") + 1]
        self._offset += len(complete_lines)
        return [orjson.loads(line) for line in complete_lines.splitlines() if line.startswith(b"{")]


class SupervisorClient:
    """Runs `supervisor.py` in a process of its own, which ends all instances when the rig ends, even if the
    rig is killed."""

    def __init__(self, on_ended: Callable[[str, int], None]) -> None:
        """`on_ended` is called for each process that ended, with its exit code (negative: the signal)."""
        self._on_ended = on_ended
        self._process: Process | None = None
        self._ids: dict[str, int] = {}
        self._start_confirmed: dict[str, anyio.Event] = {}
        self.log: Path | None = None

    @property
    def ids(self) -> dict[str, int]:
        """Ids of the running processes, by instance."""
        return dict(self._ids)

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Runs until cancelled, then ends all processes and waits for the supervisor. Raises `RigError` if
        the supervisor ends before that."""
        command = [sys.executable, "-m", "harepick.fleet.supervisor"]
        # Its own session: a Ctrl-C at the terminal must not end the supervisor before it has cleaned up.
        self._process = await anyio.open_process(command, cwd=ROOT, stderr=None, start_new_session=True)
        try:
            task_status.started()
            buffer = b""
            assert self._process.stdout
            async for data in self._process.stdout:
                *lines, buffer = (buffer + data).split(b"\n")
                for line in lines:
                    self._handle(orjson.loads(line))
            raise RigError("the process supervisor has ended")
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(STOP_TIMEOUT_S):
                assert self._process.stdin
                await self._process.stdin.aclose()
                await self._process.wait()

    def _handle(self, line: dict[str, Any]) -> None:
        if "started" in line:
            name = line["started"]
            if line["id"]:  # 0: the process could not be started
                self._ids[name] = line["id"]
            if confirmed := self._start_confirmed.pop(name, None):
                confirmed.set()
        else:
            self._ids.pop(line["ended"], None)
            self._on_ended(line["ended"], line["code"])

    async def _send(self, **line: object) -> None:
        assert self._process and self._process.stdin
        await self._process.stdin.send(orjson.dumps(line) + b"\n")

    async def start(self, name: str, words: list[str], folder: Path, log: Path) -> int:
        """Starts an instance and returns its process id; raises `RigError` if it can't be started."""
        confirmed = self._start_confirmed[name] = anyio.Event()
        await self._send(start=name, words=words, folder=str(folder), log=str(log))
        with anyio.move_on_after(START_TIMEOUT_S):
            await confirmed.wait()
        if name not in self._ids:
            raise RigError(f"instance {name} could not be started: {' '.join(words)}")
        return self._ids[name]

    async def signal(self, name: str, signal_number: int) -> None:
        """Sends a signal to the process of an instance; does nothing if it has ended."""
        if name in self._ids:
            await self._send(signal=name, number=signal_number)


@dataclass
class Instance:
    """One instance of the program; `state` is running, paused or down."""

    name: str
    run_folder: Path  # the run's files; the instance's replica has `store_folder`
    dns_port: int
    store_port: int
    relay_port: int = 0
    ops_port: int = 0  # 0: no ops listener
    clock_rate: float = 1.0
    double: str = ""
    state: str = "down"
    ended_by_rig: bool = True  # False from a start until the rig ends it; True before the first start
    ended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def settings_path(self) -> Path:
        """Its settings file (`--operator`)."""
        return self.run_folder / f"{self.name}.toml"

    @property
    def store_folder(self) -> Path:
        """The folder of its store replica."""
        return self.run_folder / self.name

    @property
    def log(self) -> Path:
        return self.run_folder / f"{self.name}.log"

    @property
    def history(self) -> Path:
        return self.run_folder / f"{self.name}.jsonl"

    @property
    def command(self) -> list[str]:
        """The command line; through `harepick.fleet.child` for a clock rate or a double."""
        if self.clock_rate == 1.0 and not self.double:
            return [sys.executable, "-m", "harepick", "--operator", str(self.settings_path)]
        options = ["--clock-rate", str(self.clock_rate)] + (["--double", self.double] if self.double else [])
        return [
            sys.executable,
            "-m",
            "harepick.fleet.child",
            *options,
            "--",
            "--operator",
            str(self.settings_path),
        ]

    def write_settings(self, cluster: str, lease: float, members: dict[str, int]) -> None:
        """Writes its settings file. `lease` in seconds; `members`: name -> port that others connect to."""
        rows = "".join(
            f'[[store.member]]\nreplica = "{name}"\naddress = "{HOST}:{port}"\n'
            for name, port in members.items()
        )
        self.settings_path.write_text(
            f'[enum]\nlisten = "{HOST}:{self.dns_port}"\n'
            f'[history]\nfile = "{self.history}"\n'
            + (f'[ops]\nlisten = "{HOST}:{self.ops_port}"\n' if self.ops_port else "")
            + f'[store]\ncluster = "{cluster}"\nreplica = "{self.name}"\n'
            f'listen = "{HOST}:{self.store_port}"\nfolder = "{self.store_folder}"\n'
            f'lease_ms = {lease * 1000:g}\nfirst = "first.toml"\n{rows}'
        )

    def prepare(self) -> None:
        """Initializes its replica folder if there is none; blocking."""
        if not self.store_folder.exists():
            settings = read_store(read_toml(str(self.settings_path)))
            assert settings
            initialize_replica(settings)

    async def start(self, supervisor: SupervisorClient) -> None:
        """Starts its process and returns once that runs; `wait_until_serving` waits until it serves."""
        await run_sync(self.prepare)
        self.ended_by_rig, self.ended = False, anyio.Event()
        await supervisor.start(self.name, self.command, ROOT, self.log)
        self.state = "running"

    async def wait_until_serving(self, log: Tail) -> bool:
        """Waits until its log says that it serves; False if it ended before or did not serve in time."""
        with anyio.move_on_after(SERVE_TIMEOUT_S):
            while not self.ended.is_set():
                if any(line["event"] == "serving" for line in log.read_new()):
                    return True
                await anyio.sleep(POLL_INTERVAL_S)
        return False

    async def end_process(self, supervisor: SupervisorClient, signal_number: int = signal.SIGKILL) -> None:
        """Sends its process a terminating signal and waits for its end; kills it if that takes too long."""
        if self.state == "down":
            return
        self.ended_by_rig = True
        if self.state == "paused" and signal_number != signal.SIGKILL:
            await supervisor.signal(self.name, signal.SIGCONT)
        await supervisor.signal(self.name, signal_number)
        with anyio.move_on_after(STOP_TIMEOUT_S):
            await self.ended.wait()
        if not self.ended.is_set():
            await supervisor.signal(self.name, signal.SIGKILL)
            await self.ended.wait()
        self.state = "down"

    async def pause(self, supervisor: SupervisorClient) -> None:
        if self.state == "running":
            await supervisor.signal(self.name, signal.SIGSTOP)
            self.state = "paused"

    async def resume(self, supervisor: SupervisorClient) -> None:
        if self.state == "paused":
            await supervisor.signal(self.name, signal.SIGCONT)
            self.state = "running"

    def wipe(self) -> None:
        """Deletes its replica folder; it must be down."""
        assert self.state == "down", self.state
        shutil.rmtree(self.store_folder, ignore_errors=True)


def udp_owner(port: int, ids: dict[str, int]) -> str:
    """The instance whose process owns a UDP port on loopback; empty if none does. `ids`: processes by
    instance.

    The relay sees only a datagram's source port, as all instances send from one address."""
    for _ in range(SOCKET_TABLE_READS):
        if inodes := _udp_inodes(port):
            return next((name for name, process_id in ids.items() if _has_open(process_id, inodes)), "")
    return ""


def _udp_inodes(port: int) -> set[str]:
    inodes = set()
    for line in Path("/proc/net/udp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].split(":")[1], 16) == port:
            inodes.add(f"socket:[{fields[9]}]")
    return inodes


def _has_open(process_id: int, links: Collection[str]) -> bool:
    try:
        for entry in Path(f"/proc/{process_id}/fd").iterdir():
            try:
                if str(entry.readlink()) in links:
                    return True
            except OSError:
                continue
    except OSError:
        pass
    return False
