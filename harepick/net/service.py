"""The platform's front: creates and connects its parts, and carries out a planned stop."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from pathlib import Path
from socket import SO_RCVBUF, SOL_SOCKET
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketAttribute, SocketListener, TaskStatus

from harepick.core.engine import Engine
from harepick.core.inbox import Inbox
from harepick.core.messages import ReplaceSettings
from harepick.counters import Counters
from harepick.directory import Directory, DirectoryError
from harepick.interface import Settings
from harepick.lifecycle import wait_until
from harepick.log import Log
from harepick.net.bus import BusClient
from harepick.net.callers import HANDSHAKE_SETTLE_S, MAX_UNCOUNTED_CONNECTIONS, Callers
from harepick.net.effect_file import EffectFile
from harepick.net.servers import Servers
from harepick.settings import PlatformSettings, SettingsError, read_platform

if TYPE_CHECKING:
    from harepick.gapping.screen import GapScreen
    from harepick.ops import Telemetry

ACCEPT_AFTER_SIGTERM_S = 0.8  # new connections and set-ups still arrive for this long after SIGTERM
# After SIGTERM, SIGKILL comes after the longest deadline, or this time if shorter, plus KILL_MARGIN_S.
MAX_ANSWER_GRACE_S = 3.0
MAX_HANDOVER_HOLD_S = 5.0  # the same at a handover to a successor
KILL_MARGIN_S = 0.7  # between the time given above and SIGKILL
FLUSH_S = 0.2  # for writing the last messages
# Descriptors of the process itself: log, event loop, listeners, bus, a file that is reloaded, and
# connections that have been accepted and are not yet counted.
OWN_DESCRIPTORS = 12 + MAX_UNCOUNTED_CONNECTIONS
# The requests of the open calls may take one part in this many of the memory limit; what is being written to
# the servers takes as much again.
OPEN_REQUESTS_MEMORY_PARTS = 6
RECEIVE_BUFFER_BYTES = 32 * 1024  # of a caller connection: twice the longest message


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """How many of the process's descriptors each kind of connection may use.

    The sum stays under the limit, so that one kind using its whole share leaves enough for the bus, for a
    connection to a server and for a caller that comes late."""

    callers: int
    server_connections: int
    ops: int

    @classmethod
    def divide(cls, sockets: int) -> DescriptorBudget:
        """Divides `sockets`, the limit on descriptors."""
        server_connections = max(1, sockets // 4)
        ops = max(2, min(64, sockets // 16))
        return cls(
            max(1, min(sockets // 2, sockets - server_connections - ops - OWN_DESCRIPTORS)),
            server_connections,
            ops,
        )


class PlatformFront:
    """Runs the platform's parts as one front."""

    def __init__(
        self, config: PlatformSettings, environ: Mapping[str, str], counters: Counters, log: Log
    ) -> None:
        self._config, self._environ, self._counters, self._log = config, environ, counters, log
        self._directory = Directory()
        self._bus: BusClient | None = None
        self._engine: Engine | None = None
        self._callers: Callers | None = None
        self._inbox: Inbox | None = None
        self._screen: GapScreen | None = None  # number gapping; None until gaps are configured
        self._servers: Servers | None = None
        self._serving = False  # what the `ops` listener reports as readiness
        # The longest deadline of the classes; after a reload the smaller of the old and the new value, as it
        # is not specified which settings then determine the time of SIGKILL.
        self._longest_deadline = _longest_deadline(config.settings)
        try:
            self._initial_list = self._directory.load(config.known)
        except DirectoryError as error:
            raise SettingsError(f"setting known.batch is malformed: {error}") from None

    def reload(self) -> None:
        """Reloads the configuration (at SIGHUP).

        A new bus address is followed at once. New settings reach the controller through the inbox and
        apply to calls that arrive afterwards. Everything else waits for a restart. An invalid file changes
        nothing: it may be incomplete, or meant for another program."""
        try:
            config = read_platform(self._environ)
        except SettingsError as error:
            self._counters.add("reload.bad_files")
            self._log.event("reload_failed", error=str(error))
            return
        try:
            self._apply_gaps(config)
        except SettingsError as error:  # for example a gap whose end is in the past
            self._counters.add("reload.bad_files")
            self._log.event("reload_failed", error=str(error))
            return
        if self._bus and config.bus != self._bus.address:
            self._bus.change_address(config.bus)
        old = self._config
        settings_changed = (config.settings, config.open_cap, config.idle_close) != (
            old.settings,
            old.open_cap,
            old.idle_close,
        )
        if (
            settings_changed
            and self._inbox is not None
            and self._callers is not None
            and self._servers is not None
        ):
            self._callers.replace_classes(config.settings.classes)
            self._inbox.put_nowait(ReplaceSettings(config.settings, config.open_cap))
            self._servers.connect_timeout = config.settings.connect_timeout
            self._servers.idle_close = config.idle_close
            self._longest_deadline = min(self._longest_deadline, _longest_deadline(config.settings))
            self._config = replace(
                old, settings=config.settings, open_cap=config.open_cap, idle_close=config.idle_close
            )
        self._config = replace(self._config, gaps=config.gaps)
        in_use = self._config
        # A new `bus` is in use already; `known` and `seed` differ at every start.
        waiting = [
            key.name
            for key in fields(PlatformSettings)
            if key.name not in ("bus", "known", "seed")
            and getattr(config, key.name) != getattr(in_use, key.name)
        ]
        self._counters.add("reload.files")
        classes = [c.name for c in self._config.settings.classes]
        self._log.event("reloaded", retuned=settings_changed, classes=classes, waiting_for_restart=waiting)

    def _apply_gaps(self, config: PlatformSettings) -> None:
        """Sets, changes and lifts gaps as configured; the gapping package is imported only if there are
        any.

        Raises `SettingsError` naming the gap and the key; nothing is changed then."""
        if not config.gaps and self._screen is None:
            return
        if self._screen is None:
            from harepick.gapping.screen import GapScreen

            screen = GapScreen(config.settings.zone, config.seed)
        else:
            screen = self._screen
        from harepick.gapping.gaps import GapError

        try:
            changes = screen.apply(config.gaps, time.time(), [c.name for c in config.settings.classes])
        except GapError as error:
            raise SettingsError(f"setting gaps: {error}") from None
        self._screen = screen
        if self._engine is not None:
            self._engine.screen = screen
        if any(changes.values()):
            self._log.event("gaps", **changes, now=len(screen))

    def _effect_file(self) -> EffectFile | None:
        """The file shared with the other process of an upgrade; None where the platform gives no folder."""
        folder = self._environ.get("TMPDIR")
        return EffectFile(Path(folder), self._config.listen, self._counters) if folder else None

    def ready(self) -> bool:
        """Whether the front takes requests: it listens, and is not stopping."""
        return self._serving

    def telemetry(self) -> Telemetry:
        """Returns the current metrics."""
        from harepick.ops import Telemetry

        counters = self._counters
        return Telemetry(
            lanes=counters.lanes(),
            upstream_requests=counters["servers.invites_written"],
            pending=self._engine.pending if self._engine is not None else 0,
            members=self._engine.listed_server_count if self._engine is not None else 0,
            members_unavailable=self._engine.unavailable if self._engine is not None else 0,
            config_reloads=counters["reload.files"],
            config_reload_errors=counters["reload.bad_files"],
            gaps=dict(self._screen.counts()) if self._screen is not None else {},
        )

    async def run(
        self, stop: anyio.Event, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until `stop`, then drains."""
        config, counters, log = self._config, self._counters, self._log
        settings = config.settings
        inbox = self._inbox = Inbox()
        directory = self._directory
        budget = DescriptorBudget.divide(config.sockets)
        servers = self._servers = Servers(
            directory,
            inbox,
            counters,
            log,
            settings.connect_timeout,
            config.idle_close,
            max_connections=budget.server_connections,
        )
        self._apply_gaps(config)
        engine = self._engine = Engine(
            settings,
            config.seed,
            servers,
            inbox,
            counters,
            log,
            config.open_cap,
            screen=self._screen,
            max_request_bytes=config.memory // OPEN_REQUESTS_MEMORY_PARTS,
            effect_journal=self._effect_file(),
        )
        callers = self._callers = Callers(
            settings.classes, inbox, counters, log, max_connections=budget.callers
        )
        bus = self._bus = BusClient(config.bus, directory, inbox, servers, counters, log, config.seed)
        address = config.listen
        # SO_REUSEPORT: a successor listens beside this process during a handover
        # (docs/design/operating.md).
        listener = await anyio.create_tcp_listener(
            local_host=address.host, local_port=address.port, reuse_port=True
        )
        closing = anyio.Event()
        async with listener, anyio.create_task_group() as tasks:
            if config.ops:  # imported only if configured
                from harepick.ops import OpsListener

                await tasks.start(
                    OpsListener(config.ops, self, counters, log, max_connections=budget.ops).run
                )
            await tasks.start(servers.run)
            tasks.start_soon(engine.run, self._initial_list)
            tasks.start_soon(bus.run)
            for each in listener.listeners:
                assert isinstance(each, SocketListener)
                # Bounds the kernel memory that a client can occupy by sending without end.
                each.extra(SocketAttribute.raw_socket).setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                tasks.start_soon(callers.listen, each, closing)
            log.event("listening", front="platform", listen=str(address), offset=directory.offset)
            self._serving = True
            task_status.started()
            await stop.wait()
            self._serving = False  # new requests go to a successor that is ready
            await self._drain(engine, callers, servers, closing)
            tasks.cancel_scope.cancel()

    async def _drain(self, engine: Engine, callers: Callers, servers: Servers, closing: anyio.Event) -> None:
        """Drains gracefully, in the order of docs/design/operating.md.

        Accepts requests that still arrive, answers every request before SIGKILL can come, keeps standing
        calls for as long as this process may run, and then releases them."""
        started_at = time.monotonic()

        def grace() -> float:
            return min(MAX_ANSWER_GRACE_S, self._longest_deadline) + KILL_MARGIN_S - 2 * FLUSH_S

        accept_for = min(ACCEPT_AFTER_SIGTERM_S, grace())
        await anyio.sleep(accept_for)
        closing.set()  # from now on new connections go to the successor, or are refused
        # Computed after the wait: a reload may have come with the signal.
        hold = min(MAX_HANDOVER_HOLD_S, self._longest_deadline) + KILL_MARGIN_S + FLUSH_S
        # An accepted connection may still send a set-up, or the rest of one. Connections that the listener
        # accepted last are registered shortly after it is closed.
        await wait_until(
            lambda: engine.idle and not callers.receiving, grace() - accept_for, 2 * HANDSHAKE_SETTLE_S
        )
        engine.fail_unanswered()
        self._log.event("drained", standing=len(engine), after=round(time.monotonic() - started_at, 3))
        await wait_until(
            lambda: engine.idle and not callers.pending_writes, hold - (time.monotonic() - started_at)
        )
        engine.release_all()
        await wait_until(lambda: not callers.pending_writes and not servers.pending_writes, FLUSH_S, 0.02)


def _longest_deadline(settings: Settings) -> float:
    """The longest deadline of all classes, in seconds."""
    return max(c.give_up for c in settings.classes)
