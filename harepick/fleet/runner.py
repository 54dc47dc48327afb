"""One play of a scenario: starts the fleet, plays the timeline, offers the load, and has it all checked.

Writes `rig.jsonl` beside the instances' histories: `process` (what was done to which, `serving` and `ended`
too), `partition`, `heal` and `link` (faults as they were set), `change` and `acked` (of the configuration),
`kept` (the store's own history at the end), `arrived` and `lookup` (`fake_servers.py`, `load.py`).
"""

from __future__ import annotations

import resource
import secrets
import signal
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup
from anyio.to_thread import run_sync

from harepick.fleet.checks import RIG, Violation, run_checks
from harepick.fleet.fake_servers import FakeServers
from harepick.fleet.faults import Network
from harepick.fleet.history import Event, Recorder, merge
from harepick.fleet.load import LoadGenerator
from harepick.fleet.ports import HOST, free_ports
from harepick.fleet.processes import Instance, RigError, SupervisorClient, Tail, udp_owner
from harepick.fleet.readiness import Readiness
from harepick.fleet.relay import Relay, store_speaker
from harepick.fleet.scenario import ROLES, Scenario, Step
from harepick.settings import parse_address
from harepick.store.client import StoreClient, StoreError

UP = 30.0  # seconds for the fleet to serve, at the start and again at the end
SETTLE = 2.0  # seconds that all run on together at the end
IN_CHANGE = 0.015  # seconds after a change was begun within which its leader is killed
BESIDE = 90.0  # seconds for what runs beside a play to end once there is no fault any more
CHANGE = 50.0  # seconds that one try of a change may take
FINAL = ("invalid", "bad_request", "conflict", "refused")  # a change answered so has not taken effect


@dataclass
class Report:
    """What a play came to. `figures` are the checks' fields; `violations` counts them by check."""

    scenario: str
    seed: int
    seconds: float
    figures: dict[str, Any] = field(default_factory=dict)
    violations: dict[str, int] = field(default_factory=dict)
    told: list[Violation] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)
    start: float = 0.0
    error: str = ""

    @property
    def ok(self) -> bool:
        return not self.error and not any(self.violations.values())

    def line(self) -> dict[str, Any]:
        return {
            "scenario": self.scenario,
            "seed": self.seed,
            "ok": self.ok,
            "seconds": self.seconds,
            **self.figures,
            "violations": self.violations,
            "error": self.error,
        }


class ScenarioRunner:
    """Plays once, in `folder`, which must be empty; raises `RigError` if the rig itself fails."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        folder: Path,
        seconds: float | None = None,
        say: Callable[[str], None] = lambda text: None,
        beside: Callable[[ScenarioRunner], Coroutine[Any, Any, None]] | None = None,
    ) -> None:
        """`beside` is what a benchmark or test does with the fleet besides: begun when it serves, and waited
        for once the faults are over."""
        self.scenario, self.seed, self.folder = scenario, seed, folder
        self.seconds = scenario.seconds if seconds is None else seconds
        self.timeline = scenario.timeline(seed, self.seconds)
        self._say = say
        self._beside = beside
        self._rng = Random(seed + 1)
        self.network = Network()
        self.relay = Relay(self.network, seed)
        self.keeper = SupervisorClient(self._ended)
        self.cluster = f"fleet{secrets.token_hex(4)}"
        self.history: Recorder
        self.instances: dict[str, Instance] = {}
        self._servers: FakeServers
        self._askers: list[LoadGenerator] = []
        self._tails: dict[str, Tail] = {}
        self._leaders: dict[str, dict[str, Any]] = {}  # instance -> its last `role`
        self._locks: dict[str, anyio.Lock] = {}
        self._resolved: dict[int, tuple[str, ...]] = {}  # a fault's key -> whom it struck
        self._in_change: list[Step] = []
        self._tasks: TaskGroup
        self._changes = 0
        self._start = 0.0

    async def run(self) -> Report:
        _more_descriptors()
        self.history = Recorder(self.folder / "rig.jsonl", RIG)
        report = Report(self.scenario.name, self.seed, self.seconds)
        try:
            async with anyio.create_task_group() as self._tasks:
                await self._play()
                self._tasks.cancel_scope.cancel()
        except* RigError as group:
            report.error = "; ".join(str(error) for error in group.exceptions)
        finally:
            self.history.close()
        self._judge(report)
        return report

    # The play

    async def _play(self) -> None:
        tasks = self._tasks
        await tasks.start(self.keeper.run)
        await tasks.start(self.relay.run)
        self._servers = FakeServers(
            self.scenario.servers, self.history, self.scenario.answer, self.scenario.busy
        )
        await tasks.start(self._servers.run)
        await self._set_up()
        for instance in self.instances.values():
            tasks.start_soon(self._begin, instance)
        await self._all_serve("the start")
        self._start = time.monotonic()
        self.history.note("began_play", scenario=self.scenario.name, seed=self.seed)
        self._say(f"{len(self.instances)} instances serve")
        readiness = None
        if self.scenario.load.follow:
            readiness = Readiness({n: i.ops_port for n, i in self.instances.items()}, self.history)
            tasks.start_soon(readiness.run)
        ports = {name: instance.dns_port for name, instance in self.instances.items()}
        for place, name in enumerate(ports):
            asker = LoadGenerator(name, place, ports, self.scenario.load, self.seed, self.history, readiness)
            self._askers.append(asker)
            tasks.start_soon(asker.run, self._start)
        stop = anyio.Event()
        changed = anyio.Event()
        tasks.start_soon(self._change, stop, changed)
        finished = anyio.Event()
        tasks.start_soon(self._run_beside, finished)
        for step in self.timeline:
            await anyio.sleep(max(0.0, self._start + step.at - time.monotonic()))
            self._do(step)
        await anyio.sleep(max(0.0, self._start + self.seconds - time.monotonic()))
        await self._mend()
        await anyio.sleep(SETTLE)
        with anyio.move_on_after(BESIDE):
            await finished.wait()
        if not finished.is_set():
            raise RigError(f"what runs beside the play did not come to its end in {BESIDE:g} s")
        stop.set()
        with anyio.move_on_after(CHANGE):
            await changed.wait()
        if not changed.is_set():
            raise RigError("the last change of the configuration had no answer")
        async with anyio.create_task_group() as tasks:
            for asker in self._askers:
                tasks.start_soon(asker.finish)
        await self._tell_kept()
        async with anyio.create_task_group() as stops:
            for instance in self.instances.values():
                self._note("stop", instance)
                stops.start_soon(instance.kill, self.keeper, signal.SIGTERM)

    async def _run_beside(self, finished: anyio.Event) -> None:
        if self._beside:
            await self._beside(self)
        finished.set()

    async def _set_up(self) -> None:
        """Ports, relays and files."""
        scenario = self.scenario
        ports = free_ports(3 * scenario.instances)
        for n, name in enumerate(scenario.names):
            instance = Instance(
                name,
                self.folder,
                ports[3 * n],
                ports[3 * n + 1],
                ops_port=ports[3 * n + 2] if scenario.load.follow else 0,
                clock_rate=scenario.clock_rates.get(name, 1.0),
                double=scenario.doubles.get(name, ""),
            )
            instance.relay_port = await self.relay.port(name, instance.store_port, store_speaker)
            self.instances[name] = instance
            self._locks[name] = anyio.Lock()
            self._tails[name] = Tail(instance.history)
        members = {name: instance.relay_port for name, instance in self.instances.items()}
        for instance in self.instances.values():
            instance.write(self.cluster, scenario.lease, members)
        (self.folder / "first.toml").write_text(await self._text(1))
        self._changes = 1

    async def _text(self, n: int) -> str:
        """The n-th configuration: its own addresses of all servers."""
        rows = []
        ports = self._servers.open(n)
        for name, port in zip(self._servers.names, ports, strict=True):
            if self.scenario.relay_servers:
                port = await self.relay.datagrams(name, (HOST, port), self._source)
            rows.append(f'[[upstream]]\nname = "{name}"\naddress = "{HOST}:{port}"\n')
        return self.scenario.text(n) + "\n" + "".join(rows)

    def _source(self, port: int) -> str:
        return udp_owner(port, self.keeper.ids)

    async def _begin(self, instance: Instance) -> None:
        """Starts it, and notes when it serves."""
        seen = Tail(instance.log)
        seen.new()
        await instance.start(self.keeper)
        self._note("start", instance)
        if await instance.serves(seen):
            self._note("serving", instance)

    async def _all_serve(self, when: str) -> None:
        """Until every instance has adopted what the store holds, or has refused to serve by itself."""
        due = time.monotonic() + UP
        adopted: set[str] = set()
        while len(adopted) < len(self.instances):
            if time.monotonic() > due:
                late = sorted(self.instances.keys() - adopted)
                raise RigError(f"{', '.join(late)} did not serve in {UP:g} s at {when}; see the logs")
            for name in self.instances:
                if any(line["event"] == "adopted" for line in self._look(name)):
                    adopted.add(name)
            await anyio.sleep(0.02)

    def _look(self, name: str) -> list[dict[str, Any]]:
        """New lines of an instance's history; keeps its role."""
        lines = self._tails[name].new()
        for line in lines:
            if line["event"] == "role":
                self._leaders[name] = line
        return lines

    def _ended(self, name: str, code: int) -> None:
        instance = self.instances[name]
        if not instance.expected:
            self.history.note("process", what="ended", whom=name, code=code)
            instance.state = "down"
        instance.ended.set()

    async def _mend(self) -> None:
        """The end: no fault any more, all run."""
        self.network.clear()
        self.relay.changed()
        self.history.note("heal")
        for name in self._servers.names:
            self._servers.repair(name)
        for instance in self.instances.values():
            async with self._locks[instance.name]:
                if instance.state == "paused":
                    await self._resume(instance)
                elif instance.state == "down" and instance.expected:
                    await self._begin(instance)

    # Steps

    def _do(self, step: Step) -> None:
        """Begins a step; those of one instance are carried out one after another, the rest side by side."""
        self._say(f"{step.at:8.3f} s  {_told(step)}")
        match step.what:
            case "partition":
                groups = self._groups(step.groups)
                self.network.partition(groups)
                self.history.note("partition", groups=groups)
            case "heal":
                self.network.heal()
                self.history.note("heal")
            case "link":
                speaker, hearer = self._ends(step)
                self.network.set(speaker, hearer, step.fault)
                self.history.note("link", link=f"{speaker}>{hearer}", fault=step.told().get("fault", {}))
            case "kill_in_change":
                self._in_change.append(step)
            case "fail_server" | "mend_server":
                self._strike_server(step)
            case _:
                for name in self._whom(step):
                    self._tasks.start_soon(self.apply_fault, step.what, self.instances[name])
        self.relay.changed()

    def _strike_server(self, step: Step) -> None:
        """One is chosen as it fails; the same one is mended."""
        (name,) = self._resolved.get(step.key, step.whom)
        if step.what == "mend_server":
            self._servers.repair(name)
            return
        if name == "any":
            name = self._rng.choice(self._servers.well or self._servers.names)
        self._resolved[step.key] = (name,)
        self._servers.fail(name, step.mode)

    async def apply_fault(self, what: str, instance: Instance) -> None:
        """Does that to an instance, after what is being done to it already."""
        async with self._locks[instance.name]:
            running = instance.state
            match what:
                case "kill" if running != "down":
                    self._note(what, instance)
                    await instance.kill(self.keeper)
                case "stop" if running != "down":
                    self._note(what, instance)
                    await instance.kill(self.keeper, signal.SIGTERM)
                case "start" if running == "down" and instance.expected:
                    await self._begin(instance)
                case "pause" if running == "running":
                    self._note(what, instance)
                    await instance.pause(self.keeper)
                case "resume" if running == "paused":
                    await self._resume(instance)
                case "wipe" if running == "down":
                    self._note(what, instance)
                    await run_sync(instance.wipe)

    def _note(self, what: str, instance: Instance) -> None:
        self.history.note("process", what=what, whom=instance.name)

    async def _resume(self, instance: Instance) -> None:
        await instance.resume(self.keeper)
        self._note("resume", instance)

    def _whom(self, step: Step) -> tuple[str, ...]:
        """Instances that a step strikes; a fault's later steps strike the same as its first."""
        if not any(name in ROLES for name in step.whom):
            return step.whom
        known = self._resolved.get(step.key)
        if known is None or step.what in ("kill", "pause", "stop", "kill_in_change"):
            if step.what in ("start", "resume"):
                return ()
            known = self._resolved[step.key] = tuple(n for role in step.whom if (n := self.role(role)))
        return known

    def role(self, role: str) -> str:
        """Who plays that role now; empty if nobody does."""
        if role not in ROLES:
            return role
        for name in self.instances:
            self._look(name)
        up = [name for name, instance in self.instances.items() if instance.state == "running"]
        leaders = [n for n in up if n in self._leaders and self._leaders[n]["role"] == "leader"]
        leader = max(leaders, key=lambda n: int(self._leaders[n]["term"]), default="")
        if role == "leader":
            return leader
        others = [name for name in up if role == "any" or name != leader]
        return self._rng.choice(others) if others else ""

    def _groups(self, groups: tuple[tuple[str, ...], ...]) -> list[list[str]]:
        named = [[self.role(n) if n != "rest" else n for n in group] for group in groups]
        taken = {name for group in named for name in group}
        rest = [name for name in self.instances if name not in taken]
        return [[m for name in group for m in (rest if name == "rest" else [name]) if m] for group in named]

    def _ends(self, step: Step) -> tuple[str, str]:
        """The two ends of a link; a fault is taken away where it was set."""
        roles = [end for end in step.link if end in ROLES]
        if not roles:
            return step.link
        known = self._resolved.get(step.key)
        if known is None:
            known = self._resolved[step.key] = (self.role(roles[0]) or "a",)
        speaker, hearer = (known[0] if end in ROLES else end for end in step.link)
        return speaker, hearer

    # The configuration

    def client(self) -> StoreClient:
        """A tool of the store's, for one task."""
        addresses = [parse_address(f"{HOST}:{i.store_port}", "at") for i in self.instances.values()]
        return StoreClient(self.cluster, addresses)

    async def _change(self, stop: anyio.Event, done: anyio.Event) -> None:
        """Changes it, one change after another, until `stop`."""
        if not self.scenario.change_every:
            done.set()
            return
        async with self.client() as client:
            while not stop.is_set():
                with anyio.move_on_after(self.scenario.change_every * self._rng.uniform(0.5, 1.5)):
                    await stop.wait()
                if not stop.is_set():
                    await self._change_once(client)
        done.set()

    async def _change_once(self, client: StoreClient) -> None:
        self._changes += 1
        n = self._changes
        arguments = {"text": await self._text(n), "note": f"n={n}", "author": RIG}
        self.history.note("change", note=f"n={n}")
        if self._in_change:
            self._tasks.start_soon(self._kill_in_change, self._in_change.pop(0))
        while True:  # one number of the session until its answer is known, so that none takes effect twice
            try:
                found = await client.call("set", arguments, CHANGE)
                break
            except StoreError as error:
                if error.code in FINAL:
                    raise RigError(f"change {n} was refused: {error}") from None
                client.repeat_last()
        if found["revision"] != n:
            raise RigError(f"change {n} became revision {found['revision']}: somebody else changes the store")
        self.history.note("acked", note=f"n={n}", revision=n)

    async def _kill_in_change(self, step: Step) -> None:
        await anyio.sleep(self._rng.uniform(0.0, IN_CHANGE))
        for name in self._whom(step):
            await self.apply_fault("kill", self.instances[name])

    async def _tell_kept(self) -> None:
        """What the store itself says of its history, read through its leader."""
        try:
            async with self.client() as client:
                rows = await client.call("history", {"most": 500}, 20.0)
        except StoreError as error:
            raise RigError(f"the store does not tell its history: {error}") from None
        for row in rows:
            self.history.note("kept", revision=row["revision"], note=row["note"])

    # The end

    def _judge(self, report: Report) -> None:
        paths = [self.folder / "rig.jsonl", *(i.history for i in self.instances.values())]
        report.events = merge(paths)
        report.start = self._start
        figures, report.violations, report.told = run_checks(report.events, self.scenario.checks)
        relay = self.relay.figures
        report.figures = {
            "instances": self.scenario.instances,
            "servers": self.scenario.servers,
            "steps": len(self.timeline),
            "changes": max(0, self._changes - 1),
            **figures,
            "relay_messages": relay.carried,
            "relay_dropped": relay.dropped,
            "relay_cuts": relay.cuts,
        }


def _told(step: Step) -> str:
    row = step.told()
    return " ".join(f"{key}={value}" for key, value in row.items() if key != "at")


def _more_descriptors() -> None:
    """Each revision has sockets of its own, and each link two."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = min(hard, 8192) if hard != resource.RLIM_INFINITY else 8192
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
