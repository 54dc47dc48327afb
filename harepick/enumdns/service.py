"""The ENUM front: connects its parts, applies configuration changes, and finishes look-ups before a stop.

The configuration comes from the operator's file, or from the replicated store (`harepick/store/service.py`),
which passes a new one to `apply`. A change of upstreams or routes alone is applied to the running core. A
change of the class, rules or limits starts a new generation: a core that takes all new look-ups, while the
previous core finishes those that it has.
"""

from __future__ import annotations

import secrets
import time
from collections.abc import Sequence
from dataclasses import replace
from math import inf
from typing import TYPE_CHECKING

import anyio
from anyio.abc import TaskGroup, TaskStatus

from harepick import interface
from harepick.core.engine import Engine
from harepick.core.inbox import Inbox
from harepick.core.messages import ConcurrencyLimit, ControllerEvent, Screen, SendPermission
from harepick.counters import Counters
from harepick.directory import Directory, ServerRecord
from harepick.enumdns.listener import ActiveConfig, DnsListener
from harepick.enumdns.routes import Routes
from harepick.enumdns.upstreams import Upstreams
from harepick.lifecycle import wait_until
from harepick.log import Log
from harepick.settings import Address, EnumSettings, SettingsError, read_operator_file

if TYPE_CHECKING:
    from harepick.fleet.limits.screen import FleetScreen
    from harepick.gapping.gaps import SlotOwnership
    from harepick.gapping.screen import GapScreen

STOP_GRACE_S = 0.2  # after a stop, queries that are on their way are still accepted for this long
FLUSH_TIMEOUT_S = 0.2
RETIRE_MARGIN_S = 0.5  # an old generation runs this much longer than the deadline of its last look-up
MAX_SERVER_NUMBERS = 1_024  # kept for present and earlier servers
MAX_GENERATIONS = 8  # each has its own sockets; further changes wait until one has retired


def server_name(name: str, address: Address) -> str:
    """The controller's name of an upstream, which includes the address: a new address makes a new server."""
    return f"{name}@{address}"


def ready_servers(config: EnumSettings) -> frozenset[str]:
    """The servers of a configuration that may be sent look-ups: those that are not draining."""
    return frozenset(server_name(u.name, u.address) for u in config.upstreams if not u.draining)


class Generation:
    """A core and its port to the upstreams, for one set of class, rules and limits."""

    def __init__(
        self,
        config: EnumSettings,
        directory: Directory,
        counters: Counters,
        log: Log,
        send_permission: SendPermission | None,
        screen: Screen | None = None,
    ) -> None:
        settings = config.settings
        self.config = config
        self.inbox = Inbox()
        self.port = Upstreams(
            directory, self.inbox, counters, log, settings.connect_timeout, config.edns_size
        )
        seed = secrets.randbits(63) if config.seed is None else config.seed
        self.engine = Engine(
            settings,
            seed,
            self.port,
            self.inbox,
            counters,
            log,
            config.open_lookups,
            send_permission=send_permission,
            screen=screen,
        )
        self.scope = anyio.CancelScope()

    async def run(
        self, known: interface.ServerList, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the core and its port until retired; `known`: the servers to start with."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                await tasks.start(self.port.run)
                tasks.start_soon(self.engine.run, known)
                task_status.started()

    def update_servers(self, change: interface.ServerList) -> None:
        """Passes a changed server list to the port and to the core."""
        self.port.listed(change)
        self.inbox.put_nowait(ControllerEvent(change))

    async def retire(self) -> None:
        """Stops the core once its look-ups are finished, or their deadlines have passed."""
        await wait_until(lambda: self.engine.idle, self.config.deadline + RETIRE_MARGIN_S, RETIRE_MARGIN_S)
        self.engine.fail_unanswered()
        self.scope.cancel()


class EnumFront:
    """The ENUM service: a DNS listener, the generations behind it, and the gaps."""

    def __init__(
        self,
        config: EnumSettings,
        counters: Counters,
        log: Log,
        *,
        path: str | None = None,
        send_permission: SendPermission | None = None,
        fleet_screen: FleetScreen | None = None,
    ) -> None:
        """`path`: the operator's file, read again by `reload`; without it, changes come only by `apply`.

        `fleet_screen`: the fleet's limits and verdicts, checked before the gaps.
        """
        self._path, self._counters, self._log, self._send_permission = path, counters, log, send_permission
        self._config = config
        self.directory = Directory()
        self._server_numbers: dict[str, int] = {}  # server -> its number, which never changes
        self._config_changed = anyio.Event()
        self._pending_config: EnumSettings | None = None
        self._generations: list[Generation] = []
        self._listener: DnsListener | None = None
        self._screen: GapScreen | None = None  # None until gaps are configured
        self._fleet_screen = fleet_screen
        # Upstream's name -> look-ups that may be in progress there.
        self._concurrency_limits: dict[str, float] = {}
        self.owns_slot: SlotOwnership | None = None  # in a fleet: which instance owns a gap's slot

    def _apply_gaps(self, config: EnumSettings) -> str | None:
        """Sets, changes and lifts gaps as configured.

        If a gap is invalid, changes nothing and returns an error text that names the gap and its key.
        """
        if not config.gaps and self._screen is None:
            return None
        from harepick.gapping.gaps import GapError
        from harepick.gapping.screen import GapScreen

        screen = self._screen  # kept even without gaps: the cores hold a reference to it
        if screen is None:
            screen = GapScreen(config.settings.zone, config.seed or 0, self.owns_slot)
        now, rows = time.time(), config.gaps
        # In a configuration of the store, gaps that are over must not block a later change or a start.
        if self._path is None:
            rows = tuple(row for row in rows if not row.has_ended(now))
        try:
            changes = screen.apply(rows, now, [config.call_class])
        except GapError as error:
            return f"setting gap: {error}"
        if self._screen is None:
            self._screen = screen
            if self._fleet_screen:
                self._fleet_screen.gaps = screen
            for generation in self._generations:
                generation.engine.screen = self.screen
        if any(changes.values()):
            self._log.event("gaps", **changes, now=len(screen))
        return None

    @property
    def idle(self) -> bool:
        """Whether no look-up is in progress."""
        return all(generation.engine.idle for generation in self._generations)

    def set_concurrency_limit(self, name: str, limit: float) -> None:
        """Limits the look-ups in progress at the upstream of that name; infinity: no limit.

        The limit covers all addresses that the upstream has had and all generations. The newest generation
        gets what the others leave.
        """
        self._concurrency_limits[name] = limit
        if limit == inf:
            del self._concurrency_limits[name]
        if not self._generations:
            return
        servers = [server for server in self._server_numbers if server.partition("@")[0] == name]
        current = [e.server for e in self.directory.entries() if e.server in servers and e.state != "gone"]
        newest = self._generations[-1]
        elsewhere = 0
        for generation in self._generations[:-1]:
            for server in servers:
                elsewhere += generation.engine.under_way(server)
                generation.inbox.put_nowait(ConcurrencyLimit(server, 0.0 if limit < inf else inf))
        for server in servers:
            if server not in current:
                elsewhere += newest.engine.under_way(server)
        for server in current:
            newest.inbox.put_nowait(ConcurrencyLimit(server, max(0.0, limit - elsewhere)))

    @property
    def pending(self) -> int:
        """The number of look-ups accepted and not ended."""
        return sum(generation.engine.pending for generation in self._generations)

    @property
    def listed_server_count(self) -> int:
        """The number of servers that the latest core knows."""
        return self._generations[-1].engine.listed_server_count if self._generations else 0

    @property
    def avoided(self) -> frozenset[str]:
        """Servers that the latest core avoids for new look-ups."""
        return self._generations[-1].engine.avoided if self._generations else frozenset()

    @property
    def screen(self) -> Screen | None:
        """What a core checks before it accepts a call: the fleet's limits, or the gaps alone."""
        return self._fleet_screen or self._screen

    @property
    def gaps(self) -> GapScreen | None:
        """The configured gaps; None until there are any."""
        return self._screen

    def reload(self) -> None:
        """Reads the operator's file again; an invalid one changes nothing."""
        if self._path is None:
            return
        try:
            config = read_operator_file(self._path)
        except SettingsError as error:
            self._counters.add("enum.bad_files")
            self._log.event("reload_failed", error=str(error))
            return
        self.apply(config)

    def apply(self, config: EnumSettings) -> None:
        """Applies a new configuration; an invalid gap in it changes nothing.

        Upstreams and routes change at once: the core's inbox has the change on return. Any other change
        starts a new generation soon after. `listen` does not change.
        """
        if error := self._apply_gaps(config):
            self._counters.add("enum.bad_files")
            self._log.event("reload_failed", error=error)
            return
        old, self._config = self._config, config
        if self._listener is None:
            return  # not started yet: `run` will use this configuration
        if config == old:
            return
        before = set(self.directory.entries())
        change = self.directory.update(self._server_records(config), whole=True)
        changed = tuple(entry for entry in change.entries if entry not in before)
        if changed:
            for generation in self._generations:
                generation.update_servers(interface.ServerList(interface.ListKind.CHANGES, changed))
        if _core_settings(config) != _core_settings(old) or self._pending_config:
            self._pending_config = config
            self._config_changed.set()
        else:
            self._listener.use_config(self._active_config(config, self._generations[-1]))
        self._log.event("reloaded", upstreams=[f"{e.server} {e.state}" for e in change.entries])

    def remember(self, rows: Sequence[ServerRecord]) -> None:
        """Restores the pool as it was known before a restart; the current one follows by `apply`."""
        self._server_numbers |= {row.entry.server: row.entry.number for row in rows}
        self.directory.update(list(rows), whole=False)
        known = interface.ServerList(interface.ListKind.REMEMBERED, self.directory.entries())
        for generation in self._generations:
            generation.update_servers(known)

    async def run(
        self, stop: anyio.Event, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves clients until `stop` is set and the look-ups in progress are finished.

        Raises `SettingsError` if a gap is invalid or the listening address cannot be opened.
        """
        config, counters, log = self._config, self._counters, self._log
        host, port = config.listen.host, config.listen.port
        change = self.directory.update(self._server_records(config), whole=True)
        if gap_error := self._apply_gaps(config):
            raise SettingsError(gap_error)
        try:
            tcp_listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
            sock = await anyio.create_udp_socket(local_host=host, local_port=port)
        except OSError as error:
            raise SettingsError(f"setting enum.listen: {config.listen}: {error.strerror}") from None
        async with tcp_listener, sock, anyio.create_task_group() as tasks:
            first = Generation(config, self.directory, counters, log, self._send_permission, self.screen)
            self._generations.append(first)
            await tasks.start(first.run, change)
            dns_listener = self._listener = DnsListener(self._active_config(config, first), counters, log)
            if self._config is not config:  # `apply` stored a newer one while the sockets were opened
                latest, self._config = self._config, config
                self.apply(latest)
                # The core may have missed a pool restored in the meantime: pass it the whole list.
                first.update_servers(interface.ServerList(interface.ListKind.ALL, self.directory.entries()))
            for name, limit in list(self._concurrency_limits.items()):
                self.set_concurrency_limit(name, limit)
            tasks.start_soon(self._replace_generations, tasks)
            tasks.start_soon(dns_listener.serve_udp, sock)
            tasks.start_soon(tcp_listener.serve, dns_listener.serve_tcp)
            log.event("listening", front="enum", listen=str(config.listen), suffix=config.suffix)
            task_status.started()
            await stop.wait()
            await wait_until(
                lambda: all(g.engine.idle for g in self._generations),
                self._config.deadline + STOP_GRACE_S,
                STOP_GRACE_S,
            )
            for generation in self._generations:
                generation.engine.fail_unanswered()
            await wait_until(lambda: not dns_listener.unwritten, FLUSH_TIMEOUT_S, 0.02)
            tasks.cancel_scope.cancel()

    async def _replace_generations(self, tasks: TaskGroup) -> None:
        """Starts a new generation whenever the class, rules or limits have changed."""
        assert self._listener
        while True:
            await self._config_changed.wait()
            self._config_changed = anyio.Event()
            while len(self._generations) >= MAX_GENERATIONS:
                await anyio.sleep(0.05)
            config, self._pending_config = self._pending_config or self._config, None
            generation = Generation(
                config, self.directory, self._counters, self._log, self._send_permission, self.screen
            )
            await tasks.start(
                generation.run, interface.ServerList(interface.ListKind.ALL, self.directory.entries())
            )
            old = self._generations[-1]
            self._generations.append(generation)
            for name, limit in list(self._concurrency_limits.items()):  # before its first look-up
                self.set_concurrency_limit(name, limit)
            self._listener.use_config(self._active_config(self._config, generation))
            self._counters.add("enum.generations")
            self._log.event("new_generation", deadline=config.deadline, open_cap=config.open_lookups)
            tasks.start_soon(self._retire, old)

    async def _retire(self, old: Generation) -> None:
        await old.retire()
        self._generations.remove(old)

    def _active_config(self, config: EnumSettings, generation: Generation) -> ActiveConfig:
        numbers = {u.name: self._server_numbers[server_name(u.name, u.address)] for u in config.upstreams}
        ready = [u.name for u in config.upstreams if not u.draining]
        routes = Routes(config.routes, numbers, ready)
        return ActiveConfig(generation.config, routes.first_choice, generation.inbox)

    def _server_records(self, config: EnumSettings) -> list[ServerRecord]:
        records = []
        for upstream in config.upstreams:
            server = server_name(upstream.name, upstream.address)
            number = self._server_numbers.setdefault(
                server, max(self._server_numbers.values(), default=-1) + 1
            )
            state = "draining" if upstream.draining else "ready"
            records.append(ServerRecord(interface.ServerEntry(server, number, state), upstream.address))
        while len(self._server_numbers) > MAX_SERVER_NUMBERS:  # bounds the memory kept for earlier upstreams
            kept = {record.entry.server for record in records}
            del self._server_numbers[next(name for name in self._server_numbers if name not in kept)]
        return records


def _core_settings(config: EnumSettings) -> EnumSettings:
    """The part of a configuration whose change starts a new generation.

    Leaves out upstreams, routes, and what the fleet's parts read.
    """
    return replace(
        config, upstreams=(), routes=(), gaps=(), maintenance=None, limits=(), verdicts=None, autogap=None
    )
