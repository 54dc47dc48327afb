"""One instance of the ENUM service with a replica of the store; serves look-ups as the store configures it.

It is the `SendPermission` of the ENUM front: look-ups are admitted and attempts are sent only while this
instance holds its lease, and only to servers of the revision that it adopted. Its pool view is written to
the store at a bounded rate, and restored from there after a restart.
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

from harepick import interface
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

VIEW_INTERVAL_S = 1.0  # between two writes of the pool view
FIRST_CONFIG_RETRY_S = 0.5  # between two attempts to write the first configuration
CONCURRENCY_INTERVAL_S = 0.25  # between two updates of the concurrency limits of servers
SLOT_REQUEST_INTERVAL_S = 0.05  # between two checks whether slots of gaps have to be requested
HISTORY_INTERVAL_S = 1.0  # between two checks of the role for the history, if no change is notified
# Used until a configuration is known; there is no send permission then, so every look-up is refused with a
# retry time.
PLACEHOLDER_CONFIG = '[[upstream]]\nname = "none"\naddress = "127.0.0.1:9"\ndraining = true\n'


class StoreFront:
    """One instance: the replica, the operators' port, and the ENUM front that the replica configures."""

    def __init__(self, path: str, counters: Counters, log: Log) -> None:
        """Reads the operator's file at `path` and opens the replica.

        Raises `SettingsError`, also if the folder of the store can't be used.
        """
        table = read_toml(path)
        settings = read_store(table)
        if settings is None:
            raise SettingsError("setting store is missing")
        self.settings: StoreSettings = settings
        self._instance_keys, self._first_config = _read_instance_keys(table, path)
        self._history = _recorder(table, settings.replica)
        self._ops = _ops_address(table)
        self._serving = False
        self._counters, self._log = counters, log
        self._allowed_servers: frozenset[str] = frozenset()
        self._revision = 0
        self._config: EnumSettings | None = None  # of revision `_revision`
        # Names of servers leaving or out for maintenance.
        self._servers_in_maintenance: frozenset[str] = frozenset()
        self._handover = Handover()  # of this instance's callers, when it goes out for maintenance itself
        self._stage = SERVING
        self._has_served = False  # whether this process has accepted look-ups
        self._orders_version = 0  # of the maintenance orders last applied
        self._view_restored = False
        placeholder = replace(read_store_config(PLACEHOLDER_CONFIG, self._instance_keys), upstreams=())
        self.buckets = LimitBuckets()
        self.screen = FleetScreen(self.buckets, clock, self._on_admitted, self._on_gap_passed)
        self.front = EnumFront(placeholder, counters, log, send_permission=self, fleet_screen=self.screen)
        self.slot_requester = SlotRequester(settings.replica, self._slot_blocks, time.time())
        self.front.owns_slot = self.slot_requester.owns
        self.replica = Replica(settings, counters, log, self._on_adopted, self._on_applied)
        self.maintenance = MaintenanceManager(self.replica, self._maintenance_inputs, counters, log)
        self.limits = LimitManager(
            self.replica, self.buckets, self._limit_inputs, counters, log, self._on_verdict_issued
        )
        self.membership = MembershipManager(self.replica, self._membership_settings, counters, log)
        self._auto_gaps: tuple[GapRow, ...] = ()  # set by verdicts
        self._verdict_servers: frozenset[str] = frozenset()  # names of servers under a verdict
        self._enforced_verdict_servers: frozenset[str] = frozenset()  # none if no ready server would be left
        self._verdicts_version = 0  # of the verdicts last applied
        self._verdict_ids: set[int] = set()  # of the verdicts last applied
        self._limited_servers: set[str] = set()  # names of servers with a concurrency limit
        self._formerly_limited_servers: set[str] = set()  # names of servers whose limit has to be lifted
        self._started_at = clock()
        try:
            self.replica.open()
        except StorageError as error:
            raise SettingsError(str(error)) from None
        except OSError as error:
            raise SettingsError(f"setting store.folder: {error.strerror}: {settings.folder}") from None

    def reload(self) -> None:
        """Does nothing but log: the configuration is in the store."""
        self._log.event("reload_ignored", why="the configuration is in the store: harepick config set")

    # `SendPermission` of the ENUM front

    def closed_for(self) -> float | None:
        """Returns None if a new look-up may start, or the seconds after which to try again."""
        if self._revision and self.replica.may_act() and self._handover_stage() not in CLOSED_STAGES:
            self._has_served = True
            return None
        return self.replica.retry_after()

    def may_send(self, server: str) -> bool:
        """Returns whether an attempt may be sent to a server now; checked right before each one."""
        return server in self._allowed_servers and self.replica.may_act() and self._stage != OUT

    def _handover_stage(self) -> str:
        """Returns the current stage of the handover of this instance's callers; logs changes."""
        stage = self._handover.stage(clock())
        if stage != self._stage:
            self._stage = stage
            self._log.event("handover", stage=stage)
            if self._history:
                self._history.note("handover", stage=stage)
        return stage

    def record_sent(self, attempt: Attempt) -> None:
        """Records an attempt in the history, if there is one."""
        if self._history:
            # The time of the last check: an order acknowledged after it came too late to stop this attempt.
            checked_at = time.monotonic() - (time.time() - attempt.checked_at)
            self._history.note(
                "left",
                mono=checked_at,
                call=attempt.call,
                server=attempt.server,
                revision=self._revision,
                orders=self._orders_version,
                lease_left=self.replica.lease_left(),
            )

    def _on_adopted(self, revision: Revision) -> None:
        """Adopts a revision: from here on nothing is sent under an older one."""
        self._config = config = read_store_config(revision.text, self._instance_keys)
        self.buckets.configure(config.limits, clock())
        self._update_shares()
        if (config.autogap is None) != (self.limits.detector is None):
            self.limits.detector = self.screen.detector = Detector() if config.autogap else None
        self._formerly_limited_servers |= self._limited_servers - {
            limit.server for limit in config.limits if limit.server
        }
        self._revision = revision.number
        if not self._view_restored:
            self._view_restored = True
            self._restore_view()
        self._refresh_front()
        self._counters.add("store.adopted")
        if self._history:
            settings = config.maintenance or MaintenanceSettings()
            self._history.note(
                "adopted",
                revision=revision.number,
                index=revision.index,
                max_out=settings.max_out,
                max_out_controllers=settings.max_out_controllers,
                floor=settings.floor,
                failed_after=settings.failed_after,
                capacity={
                    upstream.name: settings.capacity.get(upstream.name, 1.0)
                    for upstream in config.upstreams
                    if not upstream.draining
                },
            )
        self._log.event("store_adopted", revision=revision.number, author=revision.author)

    def _update_shares(self) -> None:
        """Sets this instance's share of each limit as in the state machine."""
        replica, limits = self.settings.replica, self.replica.node.state_machine.shares.limits
        self.buckets.set_shares(
            {name: allocation.shares.get(replica, 0.0) for name, allocation in limits.items()}, clock()
        )

    def _on_applied(self, state_machine: StateMachine) -> None:
        """Puts changed orders, shares and verdicts into effect: from here on no new call goes to a server in
        maintenance or under a verdict, and no more calls are admitted than the shares allow.
        """
        self._update_shares()
        self._update_concurrency_limits()
        if state_machine.verdicts.version != self._verdicts_version:
            self._apply_verdicts(state_machine.verdicts)
        if state_machine.orders.version != self._orders_version:
            self._apply_orders(state_machine.orders)

    def _apply_verdicts(self, verdicts: Verdicts) -> None:
        """Puts changed verdicts into effect: excluded servers, automatic gaps and blocked callers."""
        if self._history:
            for verdict in verdicts.all:
                if verdict.version > self._verdicts_version:
                    self._history.note(
                        "verdict", verdict=verdict.id, kind=verdict.kind, subject=verdict.subject
                    )
            for number in self._verdict_ids - {verdict.id for verdict in verdicts.all}:
                self._history.note("verdict_lifted", verdict=number)
        self._verdict_ids = {verdict.id for verdict in verdicts.all}
        self._verdicts_version = verdicts.version
        self._verdict_servers = verdicts.subjects(FAILED, OVERLOADED)
        self._auto_gaps = tuple(
            GapRow(
                id=f"auto:{number}",
                interval=interval,
                number=number,
                reason="set by the fleet itself",
            )
            for number, interval in sorted(verdicts.gapped().items())
        )
        self.screen.blocked = tuple(sorted(verdicts.subjects(BLOCKED)))
        self._refresh_front()

    def _apply_orders(self, orders: Orders) -> None:
        """Puts changed maintenance orders into effect: excluded servers and the handover of this instance."""
        if self._history:
            for order in (*orders.open, *orders.ended):
                if order.version > self._orders_version:
                    self._history.note(
                        "order",
                        order=order.id,
                        machine=order.key,
                        state=order.state,
                        version=order.version,
                        index=order.index,
                    )
        self._orders_version = orders.version
        self._servers_in_maintenance = orders.excluded(SERVER)
        settings = (self._config.maintenance if self._config else None) or MaintenanceSettings()
        own_order = orders.open_order(CONTROLLER, self.settings.replica)
        self._handover.follow(own_order, clock(), settings.handover, self._has_served)
        self._handover_stage()
        self._refresh_front()

    def _refresh_front(self) -> None:
        """Applies the current configuration again, with the exclusions by orders and verdicts."""
        if self._config is None:
            return
        self._apply_to_front(self._config)
        self._update_concurrency_limits()  # after the list of servers, for those with a new address

    def _update_concurrency_limits(self) -> None:
        """Sets the front's concurrency limits of servers to this instance's shares.

        They are 0 until the deadline of a call has passed since the start, because calls of the previous
        process may still be under way.
        """
        config = self._config
        if config is None:
            return
        shares, replica = self.replica.node.state_machine.shares, self.settings.replica
        recently_started = clock() - self._started_at < config.deadline * CLOCK_RATE_MARGIN
        for name in self._formerly_limited_servers:
            self.front.set_concurrency_limit(name, inf)
        self._formerly_limited_servers = set()
        self._limited_servers = {limit.server for limit in config.limits if limit.server}
        for limit in config.limits:
            if limit.server:
                self.front.set_concurrency_limit(
                    limit.server, 0.0 if recently_started else shares.share(limit.id, replica)
                )

    async def _refresh_concurrency_limits(self) -> None:
        """Updates the limits regularly: they change as calls of earlier generations end, and once the wait
        after the start is over.
        """
        while True:
            await anyio.sleep(CONCURRENCY_INTERVAL_S)
            if self._limited_servers:
                self._update_concurrency_limits()

    def _apply_to_front(self, config: EnumSettings) -> None:
        """Applies the configuration to the front, with excluded servers draining and automatic gaps added.

        Verdicts rest on what controllers observe, so they may never exclude the last ready servers: if they
        would, none is enforced.
        """
        config = with_draining(config, self._servers_in_maintenance)
        without_verdict_servers = with_draining(config, self._verdict_servers)
        self._enforced_verdict_servers = (
            self._verdict_servers if ready_servers(without_verdict_servers) else frozenset()
        )
        if self._enforced_verdict_servers:
            config = without_verdict_servers
        self._allowed_servers = ready_servers(config)
        self.front.apply(replace(config, gaps=(*config.gaps, *self._auto_gaps)))

    def _maintenance_inputs(self) -> MaintenanceInputs | None:
        """Returns this instance's inputs of the maintenance policy; None without a configuration."""
        config = self._config
        if config is None:
            return None
        verdicts = self.replica.node.state_machine.verdicts
        return MaintenanceInputs(
            settings=config.maintenance or MaintenanceSettings(),
            revision=self._revision,
            servers=frozenset(upstream.name for upstream in config.upstreams if not upstream.draining),
            failed=self._enforced_verdict_servers & verdicts.subjects(FAILED),
            overloaded=self._enforced_verdict_servers & verdicts.subjects(OVERLOADED),
            idle=self._handover_stage() == CLOSED and self.front.idle,
        )

    def _membership_settings(self) -> MembershipSettings | None:
        """Returns the settings of the membership policy; None without a configuration."""
        return (self._config.membership or MembershipSettings()) if self._config else None

    def _limit_inputs(self) -> LimitInputs | None:
        """Returns this instance's inputs of the policy of limits; None without a configuration."""
        config = self._config
        if config is None:
            return None
        avoided = self.front.avoided
        ready = [
            upstream
            for upstream in config.upstreams
            if not upstream.draining
            and upstream.name not in self._servers_in_maintenance | self._verdict_servers
        ]
        return LimitInputs(
            revision=self._revision,
            limits=config.limits,
            verdict_settings=config.verdicts or VerdictSettings(),
            avoided=frozenset(
                upstream.name for upstream in ready if server_name(upstream.name, upstream.address) in avoided
            ),
            longest_call_s=config.deadline,
            auto_gaps=config.autogap,
            configured_numbers=frozenset(gap.number for gap in config.gaps if gap.number),
        )

    def _on_gap_passed(self, called: str, now: float) -> None:
        """Records in the history which gaps a call has passed, and in which slots."""
        if self._history is None or self.front.gaps is None or self._config is None:
            return
        for gap in self.front.gaps.explain(called, self._config.call_class, now):
            if 0 < gap.interval < BLOCK_ALL:
                self._history.note("passed", gap=gap.id, slot=floor(now / gap.interval))

    def _on_admitted(self, limit: str) -> None:
        if self._history:
            self._history.note("admitted", limit=limit)

    def _on_verdict_issued(self, command: IssueVerdict) -> None:
        """Logs and records a verdict that this instance proposes."""
        self._log.event("verdict", kind=command.kind, subject=command.subject, why=command.why)
        if self._history:
            self._history.note("judging", kind=command.kind, subject=command.subject)

    def _server_names(self) -> frozenset[str]:
        return (
            frozenset(upstream.name for upstream in self._config.upstreams) if self._config else frozenset()
        )

    # For the ops listener

    def ready(self) -> bool:
        """Returns whether this instance accepts look-ups and is not handing its callers over."""
        return self._serving and self.closed_for() is None and self._stage == SERVING

    def telemetry(self) -> Telemetry:
        """Returns the current metrics."""
        from harepick.ops import Telemetry

        counters = self._counters
        return Telemetry(
            lanes=counters.lanes(),
            upstream_requests=counters["enum.sent_udp"] + counters["enum.sent_tcp"],
            pending=self.front.pending,
            members=self.front.listed_server_count,
            members_unavailable=len(self.front.avoided),
            config_reloads=counters["store.adopted"],
        )

    # Running

    async def run(
        self, stop: anyio.Event, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until `stop` is set."""
        async with anyio.create_task_group() as tasks:
            maintenance_api = MaintenanceApi(self.replica, self.maintenance, self._server_names)
            limit_api = LimitApi(self.replica, self.limits, self._server_names)
            # Registers itself with the transport of the replica.
            OperatorApi(self.replica, self._counters, maintenance_api.methods | limit_api.methods)
            await tasks.start(self.replica.run)
            tasks.start_soon(self.maintenance.run)
            tasks.start_soon(self.limits.run)
            tasks.start_soon(self.membership.run)
            tasks.start_soon(self._request_slots)
            tasks.start_soon(self._refresh_concurrency_limits)
            tasks.start_soon(self._publish_view)
            if self._history:
                tasks.start_soon(self._record_history, self._history)
            if self._ops:  # imported only if configured
                from harepick.ops import OpsListener

                pages = {
                    "/api/maintenance": self.maintenance.status,
                    "/api/limits": self.limits.status,
                    "/api/members": self.membership.status,
                }
                await tasks.start(OpsListener(self._ops, self, self._counters, self._log, pages).run)
                tasks.start_soon(self._track_serving, stop)
            if self._first_config is not None:
                tasks.start_soon(self._write_first_config, self._first_config)
            await self.front.run(stop, task_status=task_status)
            tasks.cancel_scope.cancel()

    async def _track_serving(self, stop: anyio.Event) -> None:
        """Marks this instance as serving until `stop` is set."""
        self._serving = True
        await stop.wait()
        self._serving = False

    async def _record_history(self, history: Recorder) -> None:
        """Records changes of the role and of the committed membership in the history."""
        history.note("began", process=os.getpid())
        last_state: tuple[object, ...] = ()
        committed: object = None
        while True:
            node = self.replica.node
            membership = node.raft.committed_membership
            if membership != committed:
                committed = membership
                history.note("voters", voters=membership[1].voters, index=membership[0])
            state = (node.raft.role.value, node.raft.term, node.raft.leader, node.stopped)
            if state != last_state:
                last_state = state
                history.note("role", role=state[0], term=state[1], leader=state[2], stopped=state[3])
            await self.replica.wait_for_change(HISTORY_INTERVAL_S)

    def _slot_blocks(self, name: str, instance: str) -> list[SlotBlock]:
        return self.replica.node.state_machine.slots.blocks(name, instance)

    async def _request_slots(self) -> None:
        """Requests slots of the gaps that apply to calls here, several slots a message and none per call."""
        while True:
            await anyio.sleep(SLOT_REQUEST_INTERVAL_S)
            gaps = self.front.gaps
            if gaps is None or not self.replica.may_act():
                continue
            for request in self.slot_requester.due_requests(time.time(), gaps.usage()):
                body = RequestSlots(
                    request.instance,
                    request.gap,
                    request.first,
                    request.demand,
                    time.time(),
                    request.max_slots,
                )
                self.replica.change_nowait(Envelope("", 0, body))
                self._counters.add("gaps.asked")

    async def _write_first_config(self, text: str) -> None:
        """Writes the first configuration of a new cluster, from the file that `store.first` names.

        All instances try; only the first write takes effect.
        """
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
                pass  # retried: no leader yet, another instance leads, or the store is busy
            await anyio.sleep(FIRST_CONFIG_RETRY_S)

    # Pool view

    def _restore_view(self) -> None:
        """Hands the stored pool view of this instance to the front as its initial list of servers."""
        view = self.replica.node.state_machine.views.get(self.settings.replica)
        if view is None:
            return
        rows = []
        for row in view.rows:
            entry = interface.ServerEntry(row.server, row.number, row.state, row.size, row.started, row.zone)
            rows.append(ServerRecord(entry, parse_address(row.address, "view.address")))
        self.front.remember(rows)
        self._counters.add("store.remembered", len(rows))
        self._log.event(
            "store_remembered", servers=[f"{record.server} {record.state}" for record in view.rows]
        )

    def _view_rows(self) -> tuple[PoolViewRow, ...]:
        directory = self.front.directory
        rows = []
        for entry in directory.entries():
            record = directory.get(entry.server)
            assert record
            rows.append(
                PoolViewRow(
                    entry.server,
                    entry.number,
                    entry.state,
                    entry.size,
                    entry.started,
                    entry.zone,
                    str(record.address),
                )
            )
        return tuple(rows)

    async def _publish_view(self) -> None:
        """Keeps the stored pool view of this instance up to date, independently of calls."""
        while True:
            await anyio.sleep(VIEW_INTERVAL_S)
            if not self._revision or not self.replica.may_act():
                continue
            rows = self._view_rows()
            known = self.replica.node.state_machine.views.get(self.settings.replica)
            if known is None or known.rows != rows:
                view = PoolView(self.settings.replica, rows, at=time.time())
                self.replica.change_nowait(Envelope("", 0, view))
                self._counters.add("store.views")


def _recorder(table: Mapping[str, Any], replica: str) -> Recorder | None:
    """Opens the history if `[history]` is set; imports its module only then. Raises `SettingsError`."""
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
    """Reads `[ops] listen`, the address for readiness, metrics and status pages; None without it."""
    ops = table.get("ops")
    if ops is None:
        return None
    if not isinstance(ops, Mapping) or set(ops) - {"listen"}:
        raise SettingsError(f"setting ops is not a table with listen: {ops!r}")
    return parse_address(ops.get("listen"), "ops.listen")


def _read_instance_keys(table: Mapping[str, Any], path: str) -> tuple[dict[str, Any], str | None]:
    """Reads an instance's own keys of `[enum]`, and the text of the first configuration if one is named."""
    for section in sorted(table.keys() - {"store", "enum", "history", "ops"}):
        raise SettingsError(
            f"setting {section} belongs in the store's configuration: "
            "put it in the file that store.first names"
        )
    enum = table.get("enum", {})
    if not isinstance(enum, Mapping):
        raise SettingsError(f"setting enum is not a table: {enum!r}")
    for key in sorted(enum.keys() - INSTANCE_KEYS):
        raise SettingsError(f"setting enum.{key} belongs in the store's configuration")
    first = table["store"].get("first")
    if first is None:
        return dict(enum), None
    if not isinstance(first, str):
        raise SettingsError(f"setting store.first is not a path: {first!r}")
    first_path = Path(path).parent / first
    try:
        text = first_path.read_text()
        read_store_config(text)
    except (OSError, ValueError) as error:  # a `SettingsError` is a ValueError
        raise SettingsError(f"setting store.first: {first_path}: {error}") from None
    return dict(enum), text
