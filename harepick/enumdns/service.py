"""The ENUM front: wires its parts up, follows its configuration, and sees a planned stop through.

The configuration comes from the operator's file, or from the replicated store (`harepick/store/service.py`),
which hands a new one to `apply`. A change of the upstreams or routes alone goes to the core that is there. A
change of class, rules or limits begins a new generation: a core of its own that takes what comes from then
on, while the one before finishes the look-ups that it has.
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

from harepick import interface as i
from harepick.core.engine import Engine
from harepick.core.inbox import Inbox
from harepick.core.messages import ConcurrencyLimit, ControllerEvent, Gate, Screen
from harepick.counters import Counters
from harepick.directory import Directory, ServerRecord
from harepick.enumdns.listener import DnsListener, Serving
from harepick.enumdns.routes import Routes
from harepick.enumdns.upstreams import Upstreams
from harepick.lifecycle import wait_until
from harepick.log import Log
from harepick.settings import Address, EnumSettings, SettingsError, read_operator_file

if TYPE_CHECKING:
    from harepick.fleet.limits.screen import FleetScreen
    from harepick.gapping.gaps import SlotOwnership
    from harepick.gapping.screen import GapScreen

STILL_COMING = 0.2  # after a stop, queries on their way are still taken for so long
FLUSH = 0.2
LATE_WORDS = 0.5  # an old generation stays so much longer than its last look-up may take
MAX_NUMBERS = 1_024  # of servers, past and present
MAX_GENERATIONS = 8  # a flood of changes waits: each generation has sockets of its own


def server_name(name: str, address: Address) -> str:
    """An upstream with a new address is another server to the module."""
    return f"{name}@{address}"


def ready_servers(config: EnumSettings) -> frozenset[str]:
    """The servers of a configuration that may be sent something."""
    return frozenset(server_name(u.name, u.address) for u in config.upstreams if not u.draining)


class Generation:
    """One core with its port towards the upstreams, for one set of class, rules and limits."""

    def __init__(
        self,
        config: EnumSettings,
        directory: Directory,
        counters: Counters,
        log: Log,
        gate: Gate | None,
        screen: Screen | None = None,
    ) -> None:
        module = config.settings
        self.config = config
        self.inbox = Inbox()
        self.port = Upstreams(directory, self.inbox, counters, log, module.connect_timeout, config.edns_size)
        seed = secrets.randbits(63) if config.seed is None else config.seed
        self.engine = Engine(
            module, seed, self.port, self.inbox, counters, log, config.open_lookups, gate=gate, screen=screen
        )
        self.scope = anyio.CancelScope()

    async def run(
        self, known: i.ServerList, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        with self.scope:
            async with anyio.create_task_group() as tasks:
                await tasks.start(self.port.run)
                tasks.start_soon(self.engine.run, known)
                task_status.started()

    def told(self, change: i.ServerList) -> None:
        self.port.listed(change)
        self.inbox.put_nowait(ControllerEvent(change))

    async def retire(self) -> None:
        """Finishes what it has, and ends."""
        await wait_until(lambda: self.engine.idle, self.config.deadline + LATE_WORDS, LATE_WORDS)
        self.engine.fail_unanswered()
        self.scope.cancel()


class EnumFront:
    def __init__(
        self,
        config: EnumSettings,
        counters: Counters,
        log: Log,
        *,
        path: str | None = None,
        gate: Gate | None = None,
        outer: FleetScreen | None = None,
    ) -> None:
        """`path`: the operator's file, read again on `reload`; none: `apply` alone brings changes.
        `outer`: limits and verdicts of the fleet, asked before the gaps."""
        self._path, self._counters, self._log, self._gate = path, counters, log, gate
        self._config = config
        self.directory = Directory()
        self._numbers: dict[str, int] = {}  # server -> its number, the same for good
        self._changed = anyio.Event()
        self._wanted: EnumSettings | None = None
        self._generations: list[Generation] = []
        self._front: DnsListener | None = None
        self._screen: GapScreen | None = None  # number gapping, once gaps are configured
        self._outer = outer
        self._rooms: dict[str, float] = {}  # upstream's name -> look-ups that may be under way there
        self.owns: SlotOwnership | None = None  # over a fleet: whose turn a gap's slot is

    def _screen_gaps(self, config: EnumSettings) -> str | None:
        """Sets, changes and lifts gaps as `config` says; if one makes no sense now, changes nothing and
        says why, naming the gap and its key."""
        if not config.gaps and self._screen is None:
            return None
        from harepick.gapping.gaps import GapError
        from harepick.gapping.screen import GapScreen

        screen = self._screen  # one without gaps is as good as any: it is the one that the cores ask
        if screen is None:
            screen = GapScreen(config.settings.zone, config.seed or 0, self.owns)
        now, rows = time.time(), config.gaps
        if self._path is None:  # the store's: what is over there holds up no later change, and no start
            rows = tuple(row for row in rows if not row.over(now))
        try:
            told = screen.apply(rows, now, [config.call_class])
        except GapError as error:
            return f"setting gap: {error}"
        if self._screen is None:
            self._screen = screen
            if self._outer:
                self._outer.gaps = screen
            for generation in self._generations:
                generation.engine.screen = self.screen
        if any(told.values()):
            self._log.event("gaps", **told, now=len(screen))
        return None

    @property
    def idle(self) -> bool:
        """No look-up is under way."""
        return all(generation.engine.idle for generation in self._generations)

    def set_concurrency_limit(self, name: str, room: float) -> None:
        """So many look-ups may be under way at the upstream of that name, at all addresses it has had and
        in all generations; the newest generation gets what the others leave."""
        self._rooms[name] = room
        if room == inf:
            del self._rooms[name]
        if not self._generations:
            return
        servers = [server for server in self._numbers if server.partition("@")[0] == name]
        now = [e.server for e in self.directory.entries() if e.server in servers and e.state != "gone"]
        newest = self._generations[-1]
        elsewhere = 0
        for generation in self._generations[:-1]:
            for server in servers:
                elsewhere += generation.engine.under_way(server)
                generation.inbox.put_nowait(ConcurrencyLimit(server, 0.0 if room < inf else inf))
        for server in servers:
            if server not in now:
                elsewhere += newest.engine.under_way(server)
        for server in now:
            newest.inbox.put_nowait(ConcurrencyLimit(server, max(0.0, room - elsewhere)))

    @property
    def pending(self) -> int:
        """Look-ups taken and not ended."""
        return sum(generation.engine.pending for generation in self._generations)

    @property
    def members(self) -> int:
        return self._generations[-1].engine.members if self._generations else 0

    @property
    def avoided(self) -> frozenset[str]:
        """Servers that fresh look-ups avoid now, as the latest core sees them."""
        return self._generations[-1].engine.avoided if self._generations else frozenset()

    @property
    def screen(self) -> Screen | None:
        """What the core asks before it books a call."""
        return self._outer or self._screen

    @property
    def gaps(self) -> GapScreen | None:
        return self._screen

    def reload(self) -> None:
        """Reads the file again; a faulty one changes nothing."""
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
        """Takes a new configuration over. At once for upstreams and routes: on return the core has the word.

        What else has changed begins a new generation as soon as the loop comes round; `listen` stays."""
        if error := self._screen_gaps(config):
            self._counters.add("enum.bad_files")
            self._log.event("reload_failed", error=error)
            return
        old, self._config = self._config, config
        if self._front is None:
            return  # not up yet: it starts with this one
        if config == old:
            return
        before = set(self.directory.entries())
        change = self.directory.update(self._rows(config), whole=True)
        news = tuple(entry for entry in change.entries if entry not in before)
        if news:
            for generation in self._generations:
                generation.told(i.ServerList(i.ListKind.CHANGES, news))
        if _core(config) != _core(old) or self._wanted:
            self._wanted = config
            self._changed.set()
        else:
            self._front.follow(self._serving(config, self._generations[-1]))
        self._log.event("reloaded", upstreams=[f"{e.server} {e.state}" for e in change.entries])

    def remember(self, rows: Sequence[ServerRecord]) -> None:
        """The pool as it was known before a restart; `apply` follows with what holds now."""
        self._numbers |= {row.entry.server: row.entry.number for row in rows}
        self.directory.update(list(rows), whole=False)
        known = i.ServerList(i.ListKind.REMEMBERED, self.directory.entries())
        for generation in self._generations:
            generation.told(known)

    async def run(
        self, stop: anyio.Event, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        config, counters, log = self._config, self._counters, self._log
        host, number = config.listen.host, config.listen.port
        change = self.directory.update(self._rows(config), whole=True)
        if faulty := self._screen_gaps(config):
            raise SettingsError(faulty)
        try:
            listener = await anyio.create_tcp_listener(local_host=host, local_port=number)
            sock = await anyio.create_udp_socket(local_host=host, local_port=number)
        except OSError as error:
            raise SettingsError(f"setting enum.listen: {config.listen}: {error.strerror}") from None
        async with listener, sock, anyio.create_task_group() as tasks:
            first = Generation(config, self.directory, counters, log, self._gate, self.screen)
            self._generations.append(first)
            await tasks.start(first.run, change)
            front = self._front = DnsListener(self._serving(config, first), counters, log)
            if self._config is not config:  # the store's came while the sockets were opened
                latest, self._config = self._config, config
                self.apply(latest)
                # What was remembered meanwhile may have missed the core: it hears the whole list anew.
                first.told(i.ServerList(i.ListKind.ALL, self.directory.entries()))
            for name, room in list(self._rooms.items()):
                self.set_concurrency_limit(name, room)
            tasks.start_soon(self._follow, tasks)
            tasks.start_soon(front.serve_udp, sock)
            tasks.start_soon(listener.serve, front.serve_tcp)
            log.event("listening", front="enum", listen=str(config.listen), suffix=config.suffix)
            task_status.started()
            await stop.wait()
            await wait_until(
                lambda: all(g.engine.idle for g in self._generations),
                self._config.deadline + STILL_COMING,
                STILL_COMING,
            )
            for generation in self._generations:
                generation.engine.fail_unanswered()
            await wait_until(lambda: not front.unwritten, FLUSH, 0.02)
            tasks.cancel_scope.cancel()

    async def _follow(self, tasks: TaskGroup) -> None:
        """Begins a new generation when class, rules or limits have changed."""
        assert self._front
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            while len(self._generations) >= MAX_GENERATIONS:
                await anyio.sleep(0.05)
            config, self._wanted = self._wanted or self._config, None
            generation = Generation(
                config, self.directory, self._counters, self._log, self._gate, self.screen
            )
            await tasks.start(generation.run, i.ServerList(i.ListKind.ALL, self.directory.entries()))
            old = self._generations[-1]
            self._generations.append(generation)
            for name, room in list(self._rooms.items()):  # before its first look-up
                self.set_concurrency_limit(name, room)
            self._front.follow(self._serving(self._config, generation))
            self._counters.add("enum.generations")
            self._log.event("new_generation", deadline=config.deadline, open_cap=config.open_lookups)
            tasks.start_soon(self._retire, old)

    async def _retire(self, old: Generation) -> None:
        await old.retire()
        self._generations.remove(old)

    def _serving(self, config: EnumSettings, generation: Generation) -> Serving:
        numbers = {u.name: self._numbers[server_name(u.name, u.address)] for u in config.upstreams}
        ready = [u.name for u in config.upstreams if not u.draining]
        routes = Routes(config.routes, numbers, ready)
        return Serving(generation.config, routes.first_choice, generation.inbox)

    def _rows(self, config: EnumSettings) -> list[ServerRecord]:
        rows = []
        for upstream in config.upstreams:
            server = server_name(upstream.name, upstream.address)
            number = self._numbers.setdefault(server, max(self._numbers.values(), default=-1) + 1)
            state = "draining" if upstream.draining else "ready"
            rows.append(ServerRecord(i.ServerEntry(server, number, state), upstream.address))
        while len(self._numbers) > MAX_NUMBERS:  # configurations come and go for as long as we run
            kept = {row.entry.server for row in rows}
            del self._numbers[next(name for name in self._numbers if name not in kept)]
        return rows


def _core(config: EnumSettings) -> EnumSettings:
    """What a new generation is begun for: all but upstreams, routes, and what the fleet's parts read."""
    return replace(
        config, upstreams=(), routes=(), gaps=(), maintenance=None, limits=(), verdicts=None, autogap=None
    )
