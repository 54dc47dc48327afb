"""Runs a scenario: starts the fleet, applies the faults, offers the load, and checks the histories.

Writes `rig.jsonl` beside the instances' histories. Its events: `began_play` (the fleet serves), `process` (an
action on an instance; also `serving` and `ended`), `partition`, `heal` and `link` (faults as they were set),
`change` and `acked` (of the configuration), `kept` (the store's history at the end), `server`, `arrived` and
`answered` (`fake_servers.py`), `lookup` (`load.py`).
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

from harepick.fleet.checks import RIG_NAME, Violation, run_checks
from harepick.fleet.fake_servers import FakeServers
from harepick.fleet.faults import Network
from harepick.fleet.history import Event, Recorder, merge
from harepick.fleet.load import LoadGenerator
from harepick.fleet.ports import HOST, free_ports
from harepick.fleet.processes import Instance, RigError, SupervisorClient, Tail, udp_owner
from harepick.fleet.readiness import Readiness
from harepick.fleet.relay import Relay, store_sender
from harepick.fleet.scenario import ROLES, Scenario, Step
from harepick.settings import parse_address
from harepick.store.client import StoreClient, StoreError

FLEET_START_TIMEOUT_S = 30.0  # until all instances serve after the start
HISTORY_POLL_INTERVAL_S = 0.02  # between two reads of the instances' histories
SETTLE_S = 2.0  # without faults, before the run ends
KILL_IN_CHANGE_MAX_DELAY_S = 0.015  # upper bound of the random time between a change's start and the kill
CONCURRENT_TASK_TIMEOUT_S = 90.0  # for the concurrent task to end once all faults are over
CHANGE_TIMEOUT_S = 50.0  # for one attempt of a change
# Error codes of a change that has not taken effect.
FINAL_ERRORS = ("invalid", "bad_request", "conflict", "refused")


@dataclass
class Report:
    """The result of one run. `figures` are those of the checks and of the relay; `violations` counts them by
    check; `kept_violations` holds those that the checks kept; `start` is a time of the monotonic clock."""

    scenario: str
    seed: int
    seconds: float
    figures: dict[str, Any] = field(default_factory=dict)
    violations: dict[str, int] = field(default_factory=dict)
    kept_violations: list[Violation] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)
    start: float = 0.0
    error: str = ""

    @property
    def ok(self) -> bool:
        """Whether the rig worked and every check held."""
        return not self.error and not any(self.violations.values())

    def line(self) -> dict[str, Any]:
        """The fields of the JSON line that is printed at the end."""
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
    """Runs a scenario once, with all files in `folder`, which must be empty."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        folder: Path,
        seconds: float | None = None,
        report_progress: Callable[[str], None] = lambda text: None,
        concurrent_task: Callable[[ScenarioRunner], Coroutine[Any, Any, None]] | None = None,
    ) -> None:
        """`seconds` overrides the scenario's duration; `report_progress` is given progress messages.
        `concurrent_task` belongs to a benchmark or test: started once the fleet serves, awaited after the
        faults."""
        self.scenario, self.seed, self.folder = scenario, seed, folder
        self.seconds = scenario.seconds if seconds is None else seconds
        self.timeline = scenario.timeline(seed, self.seconds)
        self._report_progress = report_progress
        self._concurrent_task = concurrent_task
        self._rng = Random(seed + 1)  # another sequence than that of the timeline
        self.network = Network()
        self.relay = Relay(self.network, seed)
        self.supervisor = SupervisorClient(self._on_ended)
        self.cluster = f"fleet{secrets.token_hex(4)}"
        self.history: Recorder
        self.instances: dict[str, Instance] = {}
        self._servers: FakeServers
        self._generators: list[LoadGenerator] = []
        self._tails: dict[str, Tail] = {}
        self._roles: dict[str, dict[str, Any]] = {}  # instance -> its last `role`
        self._locks: dict[str, anyio.Lock] = {}
        self._targets: dict[int, tuple[str, ...]] = {}  # `Step.key` of a fault -> its targets
        self._kill_in_change_steps: list[Step] = []
        self._tasks: TaskGroup
        self._revision = 0
        self._started_at = 0.0

    async def run(self) -> Report:
        """Runs the scenario and its checks; a failure of the rig itself is in the report's `error`."""
        _raise_descriptor_limit()
        self.history = Recorder(self.folder / "rig.jsonl", RIG_NAME)
        report = Report(self.scenario.name, self.seed, self.seconds)
        try:
            async with anyio.create_task_group() as self._tasks:
                await self._run()
                self._tasks.cancel_scope.cancel()
        except* RigError as group:
            report.error = "; ".join(str(error) for error in group.exceptions)
        finally:
            self.history.close()
        self._check(report)
        return report

    # The run

    async def _run(self) -> None:
        tasks = self._tasks
        await tasks.start(self.supervisor.run)
        await tasks.start(self.relay.run)
        self._servers = FakeServers(
            self.scenario.servers, self.history, self.scenario.answer_delay, self.scenario.busy_prefix
        )
        await tasks.start(self._servers.run)
        await self._prepare()
        # Before the instances start: it holds up the relay, and leases and elections with it.
        readiness = self._prepare_load()
        for instance in self.instances.values():
            tasks.start_soon(self._start_instance, instance)
        await self._wait_until_all_serve("the start")
        self._started_at = time.monotonic()
        self.history.note("began_play", scenario=self.scenario.name, seed=self.seed)
        self._report_progress(f"{len(self.instances)} instances serve")
        if readiness:
            tasks.start_soon(readiness.run)
        for generator in self._generators:
            tasks.start_soon(generator.run, self._started_at)
        stop = anyio.Event()
        changes_ended = anyio.Event()
        tasks.start_soon(self._change_configuration, stop, changes_ended)
        concurrent_task_ended = anyio.Event()
        tasks.start_soon(self._run_concurrent_task, concurrent_task_ended)
        for step in self.timeline:
            await anyio.sleep(max(0.0, self._started_at + step.at - time.monotonic()))
            self._apply_step(step)
        await anyio.sleep(max(0.0, self._started_at + self.seconds - time.monotonic()))
        await self._clear_faults()
        await anyio.sleep(SETTLE_S)
        with anyio.move_on_after(CONCURRENT_TASK_TIMEOUT_S):
            await concurrent_task_ended.wait()
        if not concurrent_task_ended.is_set():
            raise RigError(f"the concurrent task did not end in {CONCURRENT_TASK_TIMEOUT_S:g} s")
        stop.set()
        with anyio.move_on_after(CHANGE_TIMEOUT_S):
            await changes_ended.wait()
        if not changes_ended.is_set():
            raise RigError("the last change of the configuration got no answer")
        async with anyio.create_task_group() as tasks:
            for generator in self._generators:
                tasks.start_soon(generator.finish)
        await self._record_store_history()
        async with anyio.create_task_group() as stops:
            for instance in self.instances.values():
                self._record_process("stop", instance)
                stops.start_soon(instance.end_process, self.supervisor, signal.SIGTERM)

    async def _run_concurrent_task(self, concurrent_task_ended: anyio.Event) -> None:
        if self._concurrent_task:
            await self._concurrent_task(self)
        concurrent_task_ended.set()

    async def _prepare(self) -> None:
        """Allocates ports, opens the relays, and writes the instances' files."""
        scenario = self.scenario
        ports = free_ports(3 * scenario.instances)
        for index, name in enumerate(scenario.names):
            instance = Instance(
                name,
                self.folder,
                ports[3 * index],
                ports[3 * index + 1],
                ops_port=ports[3 * index + 2] if scenario.load.follow else 0,
                clock_rate=scenario.clock_rates.get(name, 1.0),
                double=scenario.doubles.get(name, ""),
            )
            instance.relay_port = await self.relay.port(name, instance.store_port, store_sender)
            self.instances[name] = instance
            self._locks[name] = anyio.Lock()
            self._tails[name] = Tail(instance.history)
        members = {name: instance.relay_port for name, instance in self.instances.items()}
        for instance in self.instances.values():
            instance.write_settings(self.cluster, scenario.lease, members)
        (self.folder / "first.toml").write_text(await self._configuration(1))
        self._revision = 1

    def _prepare_load(self) -> Readiness | None:
        """Builds the load generators, and the readiness that they follow if the scenario says so."""
        readiness = None
        if self.scenario.load.follow:
            readiness = Readiness({n: i.ops_port for n, i in self.instances.items()}, self.history)
        ports = {name: instance.dns_port for name, instance in self.instances.items()}
        for index, name in enumerate(ports):
            generator = LoadGenerator(
                name, index, ports, self.scenario.load, self.seed, self.history, readiness
            )
            self._generators.append(generator)
        return readiness

    async def _configuration(self, revision: int) -> str:
        """The text of a revision of the configuration; each has its own server addresses."""
        servers = []
        ports = self._servers.open(revision)
        for name, port in zip(self._servers.names, ports, strict=True):
            if self.scenario.relay_servers:
                port = await self.relay.datagrams(name, (HOST, port), self._udp_source)
            servers.append(f'[[upstream]]\nname = "{name}"\naddress = "{HOST}:{port}"\n')
        return self.scenario.settings_text(revision) + "\n" + "".join(servers)

    def _udp_source(self, port: int) -> str:
        return udp_owner(port, self.supervisor.ids)

    async def _start_instance(self, instance: Instance) -> None:
        """Starts the instance, and records when it serves."""
        log = Tail(instance.log)
        log.read_new()  # skips the lines of earlier processes
        await instance.start(self.supervisor)
        self._record_process("start", instance)
        if await instance.wait_until_serving(log):
            self._record_process("serving", instance)

    async def _wait_until_all_serve(self, when: str) -> None:
        """Waits until every instance has adopted a revision of the store; raises `RigError` on a timeout."""
        deadline = time.monotonic() + FLEET_START_TIMEOUT_S
        adopted: set[str] = set()
        while len(adopted) < len(self.instances):
            if time.monotonic() > deadline:
                late = sorted(self.instances.keys() - adopted)
                raise RigError(
                    f"{', '.join(late)} did not serve in {FLEET_START_TIMEOUT_S:g} s at {when}; see the logs"
                )
            for name in self.instances:
                if any(line["event"] == "adopted" for line in self._read_history(name)):
                    adopted.add(name)
            await anyio.sleep(HISTORY_POLL_INTERVAL_S)

    def _read_history(self, name: str) -> list[dict[str, Any]]:
        """Reads the new lines of an instance's history, and remembers its latest role."""
        lines = self._tails[name].read_new()
        for line in lines:
            if line["event"] == "role":
                self._roles[name] = line
        return lines

    def _on_ended(self, name: str, code: int) -> None:
        instance = self.instances[name]
        if not instance.ended_by_rig:
            self.history.note("process", what="ended", whom=name, code=code)
            instance.state = "down"
        instance.ended.set()

    async def _clear_faults(self) -> None:
        """Clears all faults, and starts or resumes every instance that is stopped."""
        self.network.clear()
        self.relay.network_changed()
        self.history.note("heal")
        for name in self._servers.names:
            self._servers.repair(name)
        for instance in self.instances.values():
            async with self._locks[instance.name]:
                if instance.state == "paused":
                    await self._resume(instance)
                elif instance.state == "down" and instance.ended_by_rig:
                    await self._start_instance(instance)

    # Steps

    def _apply_step(self, step: Step) -> None:
        """Starts a step. Actions on one instance run one after another, all others concurrently."""
        self._report_progress(f"{step.at:8.3f} s  {_describe(step)}")
        match step.what:
            case "partition":
                groups = self._groups(step.groups)
                self.network.partition(groups)
                self.history.note("partition", groups=groups)
            case "heal":
                self.network.heal()
                self.history.note("heal")
            case "link":
                sender, receiver = self._link_ends(step)
                self.network.set(sender, receiver, step.fault)
                self.history.note("link", link=f"{sender}>{receiver}", fault=step.as_row().get("fault", {}))
            case "kill_in_change":
                self._kill_in_change_steps.append(step)
            case "fail_server" | "mend_server":
                self._apply_server_fault(step)
            case _:
                for name in self._step_targets(step):
                    self._tasks.start_soon(self.apply_fault, step.what, self.instances[name])
        self.relay.network_changed()

    def _apply_server_fault(self, step: Step) -> None:
        """Fails or repairs a server. `any` is resolved when it fails; the same server is repaired later."""
        (name,) = self._targets.get(step.key, step.whom)
        if step.what == "mend_server":
            self._servers.repair(name)
            return
        if name == "any":
            name = self._rng.choice(self._servers.working or self._servers.names)
        self._targets[step.key] = (name,)
        self._servers.fail(name, step.mode)

    async def apply_fault(self, what: str, instance: Instance) -> None:
        """Applies a scenario's action to an instance, after any action on it that is still running."""
        async with self._locks[instance.name]:
            state = instance.state
            match what:
                case "kill" if state != "down":
                    self._record_process(what, instance)
                    await instance.end_process(self.supervisor)
                case "stop" if state != "down":
                    self._record_process(what, instance)
                    await instance.end_process(self.supervisor, signal.SIGTERM)
                case "start" if state == "down" and instance.ended_by_rig:
                    await self._start_instance(instance)
                case "pause" if state == "running":
                    self._record_process(what, instance)
                    await instance.pause(self.supervisor)
                case "resume" if state == "paused":
                    await self._resume(instance)
                case "wipe" if state == "down":
                    self._record_process(what, instance)
                    await run_sync(instance.wipe)

    def _record_process(self, what: str, instance: Instance) -> None:
        self.history.note("process", what=what, whom=instance.name)

    async def _resume(self, instance: Instance) -> None:
        await instance.resume(self.supervisor)
        self._record_process("resume", instance)

    def _step_targets(self, step: Step) -> tuple[str, ...]:
        """The instances that a step applies to; all steps of one fault apply to the same ones."""
        if not any(name in ROLES for name in step.whom):
            return step.whom
        resolved = self._targets.get(step.key)
        # The step that begins a fault resolves its roles; a later step takes what that one found.
        if resolved is None or step.what in ("kill", "pause", "stop", "kill_in_change"):
            # The kill of a `kill_in_change` fault waits for a change; if none comes before the fault's end,
            # there is nothing to start.
            if step.what in ("start", "resume"):
                return ()
            resolved = self._targets[step.key] = tuple(
                target for role in step.whom if (target := self.role(role))
            )
        return resolved

    def role(self, role: str) -> str:
        """The instance that has this role now, empty if none has. An instance's name is returned as it is."""
        if role not in ROLES:
            return role
        for name in self.instances:
            self._read_history(name)
        running = [name for name, instance in self.instances.items() if instance.state == "running"]
        leaders = [n for n in running if n in self._roles and self._roles[n]["role"] == "leader"]
        leader = max(leaders, key=lambda n: int(self._roles[n]["term"]), default="")
        if role == "leader":
            return leader
        others = [name for name in running if role == "any" or name != leader]
        return self._rng.choice(others) if others else ""

    def _groups(self, groups: tuple[tuple[str, ...], ...]) -> list[list[str]]:
        """The groups with roles resolved, and `rest` replaced by the instances that are in no other group."""
        named = [[self.role(n) if n != "rest" else n for n in group] for group in groups]
        taken = {name for group in named for name in group}
        rest = [name for name in self.instances if name not in taken]
        return [
            [member for name in group for member in (rest if name == "rest" else [name]) if member]
            for group in named
        ]

    def _link_ends(self, step: Step) -> tuple[str, str]:
        """The two ends of a link, roles resolved; a fault is cleared on the link on which it was set."""
        roles = [end for end in step.link if end in ROLES]
        if not roles:
            return step.link
        resolved = self._targets.get(step.key)
        if resolved is None:
            # If no instance has the role now, any instance will do.
            resolved = self._targets[step.key] = (self.role(roles[0]) or "a",)
        sender, receiver = (resolved[0] if end in ROLES else end for end in step.link)
        return sender, receiver

    # The configuration

    def client(self) -> StoreClient:
        """A client of the store, on the port that the command-line tools use; each task needs its own."""
        addresses = [parse_address(f"{HOST}:{i.store_port}", "at") for i in self.instances.values()]
        return StoreClient(self.cluster, addresses)

    async def _change_configuration(self, stop: anyio.Event, changes_ended: anyio.Event) -> None:
        """Changes the configuration, one change after another, until `stop`."""
        if not self.scenario.change_every:
            changes_ended.set()
            return
        async with self.client() as client:
            while not stop.is_set():
                with anyio.move_on_after(self.scenario.change_every * self._rng.uniform(0.5, 1.5)):
                    await stop.wait()
                if not stop.is_set():
                    await self._change_once(client)
        changes_ended.set()

    async def _change_once(self, client: StoreClient) -> None:
        self._revision += 1
        n = self._revision
        arguments = {"text": await self._configuration(n), "note": f"n={n}", "author": RIG_NAME}
        self.history.note("change", note=f"n={n}")
        if self._kill_in_change_steps:
            self._tasks.start_soon(self._kill_in_change, self._kill_in_change_steps.pop(0))
        while True:  # retried as the same request (`repeat_last`): a change takes effect at most once
            try:
                reply = await client.call("set", arguments, CHANGE_TIMEOUT_S)
                break
            except StoreError as error:
                if error.code in FINAL_ERRORS:
                    raise RigError(f"change {n} was refused: {error}") from None
                client.repeat_last()
        if reply["revision"] != n:
            raise RigError(
                f"change {n} became revision {reply['revision']}: another client changes the store"
            )
        self.history.note("acked", note=f"n={n}", revision=n)

    async def _kill_in_change(self, step: Step) -> None:
        await anyio.sleep(self._rng.uniform(0.0, KILL_IN_CHANGE_MAX_DELAY_S))
        for name in self._step_targets(step):
            await self.apply_fault("kill", self.instances[name])

    async def _record_store_history(self) -> None:
        """Records the store's history of revisions, read through its leader, as `kept` events."""
        try:
            async with self.client() as client:
                rows = await client.call("history", {"most": 500}, 20.0)
        except StoreError as error:
            raise RigError(f"the store's history could not be read: {error}") from None
        for row in rows:
            self.history.note("kept", revision=row["revision"], note=row["note"])

    # The end

    def _check(self, report: Report) -> None:
        paths = [self.folder / "rig.jsonl", *(i.history for i in self.instances.values())]
        report.events = merge(paths)
        report.start = self._started_at
        figures, report.violations, report.kept_violations = run_checks(report.events, self.scenario.checks)
        relay_counters = self.relay.counters
        report.figures = {
            "instances": self.scenario.instances,
            "servers": self.scenario.servers,
            "steps": len(self.timeline),
            "changes": max(0, self._revision - 1),
            **figures,
            "relay_messages": relay_counters.forwarded,
            "relay_dropped": relay_counters.dropped,
            "relay_cuts": relay_counters.cuts,
        }


def _describe(step: Step) -> str:
    row = step.as_row()
    return " ".join(f"{key}={value}" for key, value in row.items() if key != "at")


def _raise_descriptor_limit() -> None:
    """Raises the soft limit on open files: each revision has its own sockets, each relayed connection two."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = min(hard, 8192) if hard != resource.RLIM_INFINITY else 8192
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
