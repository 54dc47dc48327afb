"""The platform's front: wires its parts up, and sees a planned stop through."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
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
from harepick.net.bus import Bus
from harepick.net.callers import HANDSHAKE_SETTLE_S, MAX_ENTERING, Callers
from harepick.net.servers import Servers
from harepick.settings import PlatformSettings, SettingsError, read_platform

if TYPE_CHECKING:
    from harepick.gapping.screen import GapScreen
    from harepick.ops import Telemetry

STILL_COMING = 0.8  # after SIGTERM, connections and set-ups still come for so long
LONGEST_GRACE = 3.0  # SIGKILL comes this or the longest deadline, if shorter, and 0.7 s after SIGTERM
LONGEST_HOLD = 5.0  # at a handover SIGKILL comes after the longest deadline, 5 s at most, and 0.7 s
KILL_AFTER = 0.7
FLUSH = 0.2
# Descriptors of the program itself: log, loop, listeners, bus, a file that is read again, and connections
# that have been accepted and not yet counted.
OWN = 12 + MAX_ENTERING
RECEIVE = 32 * 1024  # bytes in a caller connection's receive buffer, twice a message at its longest


@dataclass(frozen=True, slots=True)
class Shares:
    """Who may hold how many of the descriptors. Together they stay under the limit, whoever fills their
    share: the bus, a line to a server and a late caller always find one."""

    callers: int
    lines: int
    ops: int

    @classmethod
    def of(cls, sockets: int) -> Shares:
        lines = max(1, sockets // 4)
        ops = max(2, min(64, sockets // 16))
        return cls(max(1, min(sockets // 2, sockets - lines - ops - OWN)), lines, ops)


class PlatformFront:
    def __init__(
        self, config: PlatformSettings, environ: Mapping[str, str], counters: Counters, log: Log
    ) -> None:
        self._config, self._environ, self._counters, self._log = config, environ, counters, log
        self._directory = Directory()
        self._bus: Bus | None = None
        self._engine: Engine | None = None
        self._callers: Callers | None = None
        self._inbox: Inbox | None = None
        self._screen: GapScreen | None = None  # number gapping, once gaps are configured
        self._servers: Servers | None = None
        self._serving = False  # the readiness that `ops` tells: listening, and not stopping
        # Of all settings since the start: which of them SIGKILL is reckoned by after a reload is not told.
        self._longest = _longest(config.settings)
        try:
            self._known = self._directory.load(config.known)
        except DirectoryError as error:
            raise SettingsError(f"setting known.batch makes no sense: {error}") from None

    def reload(self) -> None:
        """Reads the configuration again (hot reload): a new bus is followed at once, new settings reach the
        module through the inbox and hold for what arrives from then on; all else waits for a restart.

        A faulty file changes nothing: it may be half written, or meant for another program."""
        try:
            config = read_platform(self._environ)
        except SettingsError as error:
            self._counters.add("reload.bad_files")
            self._log.event("reload_failed", error=str(error))
            return
        try:
            self._screen_gaps(config)
        except SettingsError as error:  # a gap that makes no sense now, an end in the past say
            self._counters.add("reload.bad_files")
            self._log.event("reload_failed", error=str(error))
            return
        if self._bus and config.bus != self._bus.address:
            self._bus.move(config.bus)
        old = self._config
        retuned = (config.settings, config.open_cap, config.idle_close) != (
            old.settings,
            old.open_cap,
            old.idle_close,
        )
        if retuned and self._inbox is not None and self._callers is not None and self._servers is not None:
            self._callers.retune(config.settings.classes)
            self._inbox.put_nowait(ReplaceSettings(config.settings, config.open_cap))
            self._servers.connect_timeout = config.settings.connect_timeout
            self._servers.idle_close = config.idle_close
            self._longest = min(self._longest, _longest(config.settings))
            self._config = replace(
                old, settings=config.settings, open_cap=config.open_cap, idle_close=config.idle_close
            )
        self._config = replace(self._config, gaps=config.gaps)
        start = self._config  # `known` and `seed` are of a start, and new with each
        waiting = [
            key.name
            for key in fields(PlatformSettings)
            if key.name not in ("bus", "known", "seed")
            and getattr(config, key.name) != getattr(start, key.name)
        ]
        self._counters.add("reload.files")
        classes = [c.name for c in self._config.settings.classes]
        self._log.event("reloaded", retuned=retuned, classes=classes, waiting_for_restart=waiting)

    def _screen_gaps(self, config: PlatformSettings) -> None:
        """Sets, changes and lifts gaps as `config` says; the package is loaded once there are any.

        Raises `SettingsError` naming the gap and key, and then changes nothing."""
        if not config.gaps and self._screen is None:
            return
        if self._screen is None:
            from harepick.gapping.screen import GapScreen

            screen = GapScreen(config.settings.zone, config.seed)
        else:
            screen = self._screen
        from harepick.gapping.gaps import GapError

        try:
            told = screen.apply(config.gaps, time.time(), [c.name for c in config.settings.classes])
        except GapError as error:
            raise SettingsError(f"setting gaps: {error}") from None
        self._screen = screen
        if self._engine is not None:
            self._engine.screen = screen
        if any(told.values()):
            self._log.event("gaps", **told, now=len(screen))

    def ready(self) -> bool:
        return self._serving

    def telemetry(self) -> Telemetry:
        from harepick.ops import Telemetry

        counters = self._counters
        return Telemetry(
            lanes=counters.lanes(),
            upstream_requests=counters["servers.invites_written"],
            pending=self._engine.pending if self._engine is not None else 0,
            members=self._engine.members if self._engine is not None else 0,
            members_unavailable=self._engine.unavailable if self._engine is not None else 0,
            config_reloads=counters["reload.files"],
            config_reload_errors=counters["reload.bad_files"],
            gaps=dict(self._screen.counts()) if self._screen is not None else {},
        )

    async def run(
        self, stop: anyio.Event, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        config, counters, log = self._config, self._counters, self._log
        module = config.settings
        inbox = self._inbox = Inbox()
        directory = self._directory
        shares = Shares.of(config.sockets)
        servers = self._servers = Servers(
            directory,
            inbox,
            counters,
            log,
            module.connect_timeout,
            config.idle_close,
            most_lines=shares.lines,
        )
        self._screen_gaps(config)
        engine = self._engine = Engine(
            module, config.seed, servers, inbox, counters, log, config.open_cap, screen=self._screen
        )
        callers = self._callers = Callers(module.classes, inbox, counters, log, most=shares.callers)
        bus = self._bus = Bus(config.bus, directory, inbox, servers, counters, log, config.seed)
        where = config.listen
        # SO_REUSEPORT: a process that is to take over listens beside this one (docs/design/operating.md).
        listener = await anyio.create_tcp_listener(
            local_host=where.host, local_port=where.port, reuse_port=True
        )
        closing = anyio.Event()
        async with listener, anyio.create_task_group() as tasks:
            if config.ops:  # off unless configured: not even loaded then
                from harepick.ops import OpsListener

                await tasks.start(OpsListener(config.ops, self, counters, log, most=shares.ops).run)
            await tasks.start(servers.run)
            tasks.start_soon(engine.run, self._known)
            tasks.start_soon(bus.run)
            for each in listener.listeners:
                assert isinstance(each, SocketListener)
                # A client that sends without end may hold so much of our memory, and no more.
                each.extra(SocketAttribute.raw_socket).setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE)
                tasks.start_soon(callers.listen, each, closing)
            log.event("listening", front="platform", listen=str(where), offset=directory.offset)
            self._serving = True
            task_status.started()
            await stop.wait()
            self._serving = False  # a successor that says yes takes the new requests
            await self._drain(engine, callers, servers, closing)
            tasks.cancel_scope.cancel()

    async def _drain(self, engine: Engine, callers: Callers, servers: Servers, closing: anyio.Event) -> None:
        """A graceful drain, in the order of docs/design/operating.md: take what still comes, answer all that
        was taken before SIGKILL can come, keep what stands while this process may, then release it."""
        began = time.monotonic()

        def grace() -> float:
            return min(LONGEST_GRACE, self._longest) + KILL_AFTER - 2 * FLUSH

        coming = min(STILL_COMING, grace())
        await anyio.sleep(coming)
        closing.set()  # new connections meet the successor, or are refused once none can come any more
        hold = min(LONGEST_HOLD, self._longest) + KILL_AFTER + FLUSH  # a reload may have come with the signal
        # A set-up is taken with its connection: it may still come, or its rest. What the listener took last
        # is there a moment after the close.
        await wait_until(
            lambda: engine.idle and not callers.hearing, grace() - coming, 2 * HANDSHAKE_SETTLE_S
        )
        engine.fail_unanswered()
        self._log.event("drained", standing=len(engine), after=round(time.monotonic() - began, 3))
        await wait_until(lambda: engine.idle and not callers.unwritten, hold - (time.monotonic() - began))
        engine.release_all()
        await wait_until(lambda: not callers.unwritten and not servers.unwritten, FLUSH, 0.02)


def _longest(settings: Settings) -> float:
    """The longest deadline, in seconds."""
    return max(c.give_up for c in settings.classes)
