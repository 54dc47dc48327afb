"""The store attached to the ENUM front: one instance that serves look-ups under the store's configuration.

It is the front's gate: nothing new starts, and nothing leaves, unless this instance holds its lease, and
then only to servers of the revision that it adopted. What it knows of the pool goes to the store at a
bounded rate, and comes back after a restart.
"""

from __future__ import annotations

import os
import time
from collections.abc import Mapping
from dataclasses import replace
from math import floor, inf
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
from anyio.abc import TaskStatus
from anyio.to_thread import run_sync

from harepick import interface as i
from harepick.core.messages import Attempt
from harepick.counters import Counters
from harepick.directory import ServerRecord
from harepick.enumdns.service import EnumFront, ready_servers, server_name
from harepick.fleet.limits import IssueVerdict, Verdicts
from harepick.fleet.limits.limit_buckets import LimitBuckets
from harepick.fleet.limits.manager import LimitInputs, LimitManager
from harepick.fleet.limits.operator_api import LimitApi
from harepick.fleet.limits.screen import FleetScreen
from harepick.fleet.limits.settings import VerdictSettings
from harepick.fleet.limits.verdicts import BLOCKED, FAILED, OVERLOADED
from harepick.fleet.maintenance import Orders
from harepick.fleet.maintenance.handover import CLOSED, CLOSED_STAGES, OUT, SERVING, Handover
from harepick.fleet.maintenance.manager import MaintenanceInputs, MaintenanceManager, with_draining
from harepick.fleet.maintenance.operator_api import MaintenanceApi
from harepick.fleet.maintenance.orders import CONTROLLER, SERVER
from harepick.fleet.maintenance.policy import MaintenanceSettings
from harepick.fleet.membership.manager import MembershipManager
from harepick.fleet.membership.policy import MembershipSettings
from harepick.gapping.config import GapRow
from harepick.gapping.detector import Detector
from harepick.gapping.gaps import BLOCK_ALL
from harepick.gapping.slot_allocation import SlotBlock
from harepick.gapping.slot_requests import SlotRequester
from harepick.gapping.start_times import with_start_times
from harepick.log import Log
from harepick.settings import (
    INSTANCE_KEYS,
    Address,
    EnumSettings,
    SettingsError,
    parse_address,
    read_store_config,
    read_toml,
)
from harepick.store.disk.files import StorageError
from harepick.store.leases import CLOCK_RATE_MARGIN
from harepick.store.operator_api import OperatorApi
from harepick.store.raft.core import BusyError, NotLeaderError
from harepick.store.replica import Replica, StoreUnavailableError, clock
from harepick.store.settings import StoreSettings, read_store
from harepick.store.state_machine import (
    Conflict,
    Done,
    Envelope,
    PoolView,
    PoolViewRow,
    Put,
    RequestSlots,
    Revision,
    StateMachine,
)

if TYPE_CHECKING:
    from harepick.fleet.history import Recorder
    from harepick.ops import Telemetry

VIEW_EVERY = 1.0  # seconds between two writes of the pool view
FIRST_EVERY = 0.5  # between two tries to write the first configuration
ALLOT_EVERY = 0.25  # seconds between two tellings of how many calls may be under way at limited servers
TURNS_EVERY = 0.05  # seconds between two looks at the turns of gaps
HISTORY_EVERY = 1.0  # between two looks at the role, if nothing wakes the watch
# Until a configuration is known: everything is refused with a time to come back, as the gate is shut.
PLACEHOLDER_CONFIG = '[[upstream]]\nname = "none"\naddress = "127.0.0.1:9"\ndraining = true\n'


class StoreFront:
    """One instance: the replica, the operators' port, and the ENUM front on top of it."""

    def __init__(self, path: str, counters: Counters, log: Log) -> None:
        """Raises `SettingsError`, also for a folder that can't be used."""
        table = read_toml(path)
        settings = read_store(table)
        if settings is None:
            raise SettingsError("setting store is missing")
        self.settings: StoreSettings = settings
        self._own, self._first = _own_part(table, path)
        self._history = _recorder(table, settings.replica)
        self._ops = _ops_address(table)
        self._serving = False
        self._counters, self._log = counters, log
        self._allowed: frozenset[str] = frozenset()
        self._revision = 0
        self._config: EnumSettings | None = None  # of that revision
        self._barred: frozenset[str] = frozenset()  # servers that are leaving or out for work, by name
        self._handover = Handover()  # of this instance's own callers, when it is asked out itself
        self._stage = SERVING
        self._served = False  # whether this process has been open to calls
        self._orders = 0  # version of the orders that is followed
        self._remembered = False
        nothing = replace(read_store_config(PLACEHOLDER_CONFIG, self._own), upstreams=())
        self.buckets = LimitBuckets()
        self.screen = FleetScreen(self.buckets, clock, self._admitted, self._passed)
        self.front = EnumFront(nothing, counters, log, gate=self, outer=self.screen)
        self.turns = SlotRequester(settings.replica, self._blocks, time.time())
        self.front.owns = self.turns.owns
        self.replica = Replica(settings, counters, log, self._adopt, self._follow)
        self.maintenance = MaintenanceManager(self.replica, self._facts, counters, log)
        self.limits = LimitManager(
            self.replica, self.buckets, self._limit_facts, counters, log, self._judging
        )
        self.membership = MembershipManager(self.replica, self._roster_plan, counters, log)
        self._auto_gaps: tuple[GapRow, ...] = ()  # those that the fleet has set by itself
        self._judged: frozenset[str] = frozenset()  # servers under a verdict, by name
        self._honoured: frozenset[str] = frozenset()  # of these, the ones that fresh calls keep away from
        self._verdicts = 0  # version of the list that is followed
        self._holding: set[int] = set()  # numbers of those on it
        self._bound: set[str] = set()  # servers with a limit on calls under way, by name
        self._unbound: set[str] = set()  # those that had one
        self._began = clock()
        try:
            self.replica.open()
        except StorageError as error:
            raise SettingsError(str(error)) from None
        except OSError as error:
            raise SettingsError(f"setting store.folder: {error.strerror}: {settings.folder}") from None

    def reload(self) -> None:
        self._log.event("reload_ignored", why="the configuration is in the store: harepick config set")

    # The gate

    def closed_for(self) -> float | None:
        if self._revision and self.replica.may_act() and self._handing_over() not in CLOSED_STAGES:
            self._served = True
            return None
        return self.replica.retry_after()

    def may_send(self, server: str) -> bool:
        return server in self._allowed and self.replica.may_act() and self._stage != OUT

    def _handing_over(self) -> str:
        """How far this instance is on its way out, now."""
        stage = self._handover.stage(clock())
        if stage != self._stage:
            self._stage = stage
            self._log.event("handover", stage=stage)
            if self._history:
                self._history.note("handover", stage=stage)
        return stage

    def record_sent(self, attempt: Attempt) -> None:
        if self._history:
            # The time of the last look: an acknowledgement after it may have crossed the bytes.
            looked = time.monotonic() - (time.time() - attempt.checked_at)
            self._history.note(
                "left",
                mono=looked,
                call=attempt.call,
                server=attempt.server,
                revision=self._revision,
                orders=self._orders,
                lease_left=self.replica.lease_left(),
            )

    def _adopt(self, revision: Revision) -> None:
        """From here on nothing leaves under an older one."""
        self._config = config = read_store_config(revision.text, self._own)
        self.buckets.configure(config.limits, clock())
        self._hold_shares()
        if (config.autogap is None) != (self.limits.detector is None):
            self.limits.detector = self.screen.detector = Detector() if config.autogap else None
        self._unbound |= self._bound - {limit.server for limit in config.limits if limit.server}
        self._revision = revision.number
        if not self._remembered:
            self._remembered = True
            self._remember()
        self._take_effect()
        self._counters.add("store.adopted")
        if self._history:
            plan = config.maintenance or MaintenanceSettings()
            self._history.note(
                "adopted",
                revision=revision.number,
                index=revision.index,
                max_out=plan.max_out,
                max_out_controllers=plan.max_out_controllers,
                floor=plan.floor,
                failed_after=plan.failed_after,
                capacity={u.name: plan.capacity.get(u.name, 1.0) for u in config.upstreams if not u.draining},
            )
        self._log.event("store_adopted", revision=revision.number, author=revision.author)

    def _hold_shares(self) -> None:
        """This instance's part of every limit, as last applied."""
        me, limits = self.settings.replica, self.replica.node.state_machine.shares.limits
        self.buckets.set_shares({name: known.shares.get(me, 0.0) for name, known in limits.items()}, clock())

    def _follow(self, machine: StateMachine) -> None:
        """From here on nothing fresh leaves for a machine that is leaving or out, or against a verdict, and
        no more is admitted than the shares."""
        self._hold_shares()
        self._allot()
        if machine.verdicts.version != self._verdicts:
            self._follow_verdicts(machine.verdicts)
        if machine.orders.version != self._orders:
            self._follow_orders(machine.orders)

    def _follow_verdicts(self, verdicts: Verdicts) -> None:
        if self._history:
            for verdict in verdicts.all:
                if verdict.version > self._verdicts:
                    self._history.note(
                        "verdict", verdict=verdict.id, kind=verdict.kind, subject=verdict.subject
                    )
            for number in self._holding - {verdict.id for verdict in verdicts.all}:
                self._history.note("verdict_lifted", verdict=number)
        self._holding = {verdict.id for verdict in verdicts.all}
        self._verdicts = verdicts.version
        self._judged = verdicts.subjects(FAILED, OVERLOADED)
        self._auto_gaps = tuple(
            GapRow(id=f"auto:{number}", interval=interval, number=number, reason="set by the fleet itself")
            for number, interval in sorted(verdicts.gapped().items())
        )
        self.screen.blocked = tuple(sorted(verdicts.subjects(BLOCKED)))
        self._take_effect()

    def _follow_orders(self, orders: Orders) -> None:
        if self._history:
            for order in (*orders.open, *orders.ended):
                if order.version > self._orders:
                    self._history.note(
                        "order",
                        order=order.id,
                        machine=order.key,
                        state=order.state,
                        version=order.version,
                        index=order.index,
                    )
        self._orders = orders.version
        self._barred = orders.excluded(SERVER)
        plan = (self._config.maintenance if self._config else None) or MaintenanceSettings()
        own = orders.of(CONTROLLER, self.settings.replica)
        self._handover.follow(own, clock(), plan.handover, self._served)
        self._handing_over()
        self._take_effect()

    def _take_effect(self) -> None:
        """The configuration as the orders leave it: at once for the last look, and told to the core."""
        if self._config is None:
            return
        self._apply_barred(self._config)
        self._allot()  # after the list: a server with a new address is told how much it may get

    def _allot(self) -> None:
        """Limits on calls under way, as the module hears of free agents. A process that has just started
        waits: calls of the one before it may be under way."""
        config = self._config
        if config is None:
            return
        shares, me = self.replica.node.state_machine.shares, self.settings.replica
        young = clock() - self._began < config.deadline * CLOCK_RATE_MARGIN
        for name in self._unbound:
            self.front.set_concurrency_limit(name, inf)
        self._unbound = set()
        self._bound = {limit.server for limit in config.limits if limit.server}
        for limit in config.limits:
            if limit.server:
                self.front.set_concurrency_limit(limit.server, 0.0 if young else shares.share(limit.id, me))

    async def _allot_again(self) -> None:
        """As old generations end, and once this process is no longer young."""
        while True:
            await anyio.sleep(ALLOT_EVERY)
            if self._bound:
                self._allot()

    def _apply_barred(self, config: EnumSettings) -> None:
        config = with_draining(config, self._barred)
        judged = with_draining(config, self._judged)
        self._honoured = self._judged if ready_servers(judged) else frozenset()
        if self._honoured:  # what one controller sees must not stop the fleet
            config = judged
        self._allowed = ready_servers(config)
        self.front.apply(replace(config, gaps=(*config.gaps, *self._auto_gaps)))

    def _facts(self) -> MaintenanceInputs | None:
        """What the rule of maintenance has to know of this instance and its configuration."""
        config = self._config
        if config is None:
            return None
        verdicts = self.replica.node.state_machine.verdicts
        return MaintenanceInputs(
            settings=config.maintenance or MaintenanceSettings(),
            revision=self._revision,
            servers=frozenset(u.name for u in config.upstreams if not u.draining),
            failed=self._honoured & verdicts.subjects(FAILED),
            overloaded=self._honoured & verdicts.subjects(OVERLOADED),
            idle=self._handing_over() == CLOSED and self.front.idle,
        )

    def _roster_plan(self) -> MembershipSettings | None:
        return (self._config.membership or MembershipSettings()) if self._config else None

    def _limit_facts(self) -> LimitInputs | None:
        config = self._config
        if config is None:
            return None
        avoided = self.front.avoided
        ready = [u for u in config.upstreams if not u.draining and u.name not in self._barred | self._judged]
        return LimitInputs(
            revision=self._revision,
            limits=config.limits,
            verdict_settings=config.verdicts or VerdictSettings(),
            avoided=frozenset(u.name for u in ready if server_name(u.name, u.address) in avoided),
            longest_call_s=config.deadline,
            auto_gaps=config.autogap,
            configured_numbers=frozenset(row.number for row in config.gaps if row.number),
        )

    def _passed(self, called: str, now: float) -> None:
        if self._history is None or self.front.gaps is None or self._config is None:
            return
        for gap in self.front.gaps.explain(called, self._config.call_class, now):
            if 0 < gap.interval < BLOCK_ALL:
                self._history.note("passed", gap=gap.id, slot=floor(now / gap.interval))

    def _admitted(self, limit: str) -> None:
        if self._history:
            self._history.note("admitted", limit=limit)

    def _judging(self, judge: IssueVerdict) -> None:
        self._log.event("verdict", kind=judge.kind, subject=judge.subject, why=judge.why)
        if self._history:
            self._history.note("judging", kind=judge.kind, subject=judge.subject)

    def _names(self) -> frozenset[str]:
        return frozenset(u.name for u in self._config.upstreams) if self._config else frozenset()

    # What the ops listener tells

    def ready(self) -> bool:
        return self._serving and self.closed_for() is None and self._stage == SERVING

    def telemetry(self) -> Telemetry:
        from harepick.ops import Telemetry

        counters = self._counters
        return Telemetry(
            lanes=counters.lanes(),
            upstream_requests=counters["enum.sent_udp"] + counters["enum.sent_tcp"],
            pending=self.front.pending,
            members=self.front.members,
            members_unavailable=len(self.front.avoided),
            config_reloads=counters["store.adopted"],
        )

    # Running

    async def run(
        self, stop: anyio.Event, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        async with anyio.create_task_group() as tasks:
            desk = MaintenanceApi(self.replica, self.maintenance, self._names)
            limits = LimitApi(self.replica, self.limits, self._names)
            OperatorApi(self.replica, self._counters, desk.methods | limits.methods)
            await tasks.start(self.replica.run)
            tasks.start_soon(self.maintenance.run)
            tasks.start_soon(self.limits.run)
            tasks.start_soon(self.membership.run)
            tasks.start_soon(self._ask_turns)
            tasks.start_soon(self._allot_again)
            tasks.start_soon(self._tell_view)
            if self._history:
                tasks.start_soon(self._tell_history, self._history)
            if self._ops:  # off unless configured: not even loaded then
                from harepick.ops import OpsListener

                pages = {
                    "/api/maintenance": self.maintenance.status,
                    "/api/limits": self.limits.status,
                    "/api/members": self.membership.status,
                }
                await tasks.start(OpsListener(self._ops, self, self._counters, self._log, pages).run)
                tasks.start_soon(self._until_stopped, stop)
            if self._first is not None:
                tasks.start_soon(self._write_first, self._first)
            await self.front.run(stop, task_status=task_status)
            tasks.cancel_scope.cancel()

    async def _until_stopped(self, stop: anyio.Event) -> None:
        """Ready from the first current configuration on, until the stop."""
        self._serving = True
        await stop.wait()
        self._serving = False

    async def _tell_history(self, history: Recorder) -> None:
        """Changes of role, and of the members as committed."""
        history.note("began", process=os.getpid())
        seen: tuple[object, ...] = ()
        settled: object = None
        while True:
            node = self.replica.node
            told = node.raft.committed_membership
            if told != settled:
                settled = told
                history.note("voters", voters=told[1].voters, index=told[0])
            now = (node.raft.role.value, node.raft.term, node.raft.leader, node.stopped)
            if now != seen:
                seen = now
                history.note("role", role=now[0], term=now[1], leader=now[2], stopped=now[3])
            await self.replica.wait_for_change(HISTORY_EVERY)

    def _blocks(self, name: str, instance: str) -> list[SlotBlock]:
        return self.replica.node.state_machine.slots.blocks(name, instance)

    async def _ask_turns(self) -> None:
        """Turns of gaps, as long as calls come for them here: a message for some slots, never for a call."""
        while True:
            await anyio.sleep(TURNS_EVERY)
            gaps = self.front.gaps
            if gaps is None or not self.replica.may_act():
                continue
            for ask in self.turns.due_requests(time.time(), gaps.uses()):
                body = RequestSlots(ask.instance, ask.gap, ask.first, ask.demand, time.time(), ask.most)
                self.replica.change_nowait(Envelope("", 0, body))
                self._counters.add("gaps.asked")

    async def _write_first(self, text: str) -> None:
        """The first configuration of a new cluster, from the file that `store.first` names; one of them
        wins."""
        text = await run_sync(with_start_times, text, "", time.time())
        envelope = Envelope("", 0, Put(text, 0, f"{self.settings.replica}: store.first", "", time.time()))
        while self.replica.node.revision is None and not self.replica.node.stopped:
            try:
                await self.replica.read(5.0)
                if self.replica.node.revision is None:
                    answer = await self.replica.change(envelope, 5.0)
                    if isinstance(answer, Done | Conflict):
                        return
            except (NotLeaderError, BusyError, StoreUnavailableError):
                pass  # another leads, and does the same; or nobody does yet
            await anyio.sleep(FIRST_EVERY)

    # The pool view

    def _remember(self) -> None:
        """What this instance knew last goes to the module as the remembered list."""
        view = self.replica.node.state_machine.views.get(self.settings.replica)
        if view is None:
            return
        rows = []
        for row in view.rows:
            entry = i.ServerEntry(row.server, row.number, row.state, row.size, row.started, row.zone)
            rows.append(ServerRecord(entry, parse_address(row.address, "view.address")))
        self.front.remember(rows)
        self._counters.add("store.remembered", len(rows))
        self._log.event("store_remembered", servers=[f"{r.server} {r.state}" for r in view.rows])

    def _rows(self) -> tuple[PoolViewRow, ...]:
        directory = self.front.directory
        rows = []
        for entry in directory.entries():
            row = directory.get(entry.server)
            assert row
            rows.append(
                PoolViewRow(
                    entry.server,
                    entry.number,
                    entry.state,
                    entry.size,
                    entry.started,
                    entry.zone,
                    str(row.address),
                )
            )
        return tuple(rows)

    async def _tell_view(self) -> None:
        """Keeps the store's copy of what we know up to date, off the path of calls."""
        while True:
            await anyio.sleep(VIEW_EVERY)
            if not self._revision or not self.replica.may_act():
                continue
            rows = self._rows()
            known = self.replica.node.state_machine.views.get(self.settings.replica)
            if known is None or known.rows != rows:
                view = PoolView(self.settings.replica, rows, at=time.time())
                self.replica.change_nowait(Envelope("", 0, view))
                self._counters.add("store.views")


def _recorder(table: Mapping[str, Any], replica: str) -> Recorder | None:
    """The history, if `[history]` asks for one; else its part of the program is not even loaded."""
    if "history" not in table:
        return None
    from harepick.fleet.history import Recorder, read_history

    path = read_history(table)
    assert path
    try:
        return Recorder(path, replica)
    except OSError as error:
        raise SettingsError(f"setting history.file: {error.strerror}: {path}") from None


def _ops_address(table: Mapping[str, Any]) -> Address | None:
    """`[ops] listen`: where readiness, figures and the orders of maintenance are told; off without it."""
    ops = table.get("ops")
    if ops is None:
        return None
    if not isinstance(ops, Mapping) or set(ops) - {"listen"}:
        raise SettingsError(f"setting ops is not a table with listen: {ops!r}")
    return parse_address(ops.get("listen"), "ops.listen")


def _own_part(table: Mapping[str, Any], path: str) -> tuple[dict[str, Any], str | None]:
    """An instance's own keys of [enum], and the text of the first configuration."""
    for section in sorted(table.keys() - {"store", "enum", "history", "ops"}):
        raise SettingsError(
            f"setting {section} belongs in the store's configuration: "
            "put it in the file that store.first names"
        )
    front = table.get("enum", {})
    if not isinstance(front, Mapping):
        raise SettingsError(f"setting enum makes no sense: {front!r}")
    for key in sorted(front.keys() - INSTANCE_KEYS):
        raise SettingsError(f"setting enum.{key} belongs in the store's configuration")
    first = table["store"].get("first")
    if first is None:
        return dict(front), None
    if not isinstance(first, str):
        raise SettingsError(f"setting store.first is no path: {first!r}")
    where = Path(path).parent / first
    try:
        text = where.read_text()
        read_store_config(text)
    except (OSError, ValueError) as error:  # a `SettingsError` is a ValueError
        raise SettingsError(f"setting store.first: {where}: {error}") from None
    return dict(front), text
