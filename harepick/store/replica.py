"""The host of one replica: one task owns the node; the disk has a thread, the sockets are the transport's.

All that reaches the node comes through one queue. Disk work never blocks the loop: one write is in the
thread at a time, and what comes meanwhile gathers for the next.
"""

from __future__ import annotations

import gc
import secrets
import time
from collections import deque
from collections.abc import Callable, Mapping
from functools import partial
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskStatus
from anyio.to_thread import run_sync

from harepick.counters import Counters
from harepick.log import Log
from harepick.settings import SettingsError
from harepick.store.disk.files import OsFiles, StorageError
from harepick.store.disk.storage import Identity, Recovered, Storage, create, read_identity
from harepick.store.node import Answer, LeadershipLost, Node, PeerMessage
from harepick.store.raft.core import NotLeaderError, Role, Writes
from harepick.store.raft.messages import Membership, Snapshot
from harepick.store.settings import StoreSettings
from harepick.store.state_machine import Envelope, FormatError, Revision, StateMachine
from harepick.store.transport import Transport

TICK = 0.02  # seconds
DEMAND_HOLDS = 2.0  # seconds after which an instance's demand is not counted any more
INBOX = 16_384  # inputs that wait; what finds it full is dropped, as a network would
TURN = 256  # inputs in one turn
SNAPSHOTS = 64  # tools that wait for a snapshot
STOPPED_COME_BACK = 5.0  # seconds that callers of a stopped replica are told to stay away


def clock() -> float:
    """Seconds that also pass while the machine is suspended; only the rate counts."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StoreUnavailableError(Exception):
    """The replica can't answer that now; the text says why."""


def initialize_replica(settings: StoreSettings, *, join: bool = False) -> Identity:
    """A new folder for this replica; `join`: it waits to be added to a cluster. Raises `StorageError`."""
    files = OsFiles(settings.folder)
    files.lock()
    try:
        if not join and not settings.members.is_voter(settings.replica):
            raise StorageError(f"replica {settings.replica} is not among store.member")
        identity = Identity(settings.cluster, settings.replica, secrets.token_hex(16))
        create(files, identity, Membership() if join else settings.members)
    except OSError as error:
        raise StorageError(f"folder {settings.folder}: {error.strerror}") from None
    finally:
        files.close()
    return identity


class _Waiter:
    """A request's answer, for the task that waits for it."""

    def __init__(self) -> None:
        self._event = anyio.Event()
        self.answer: Answer | Exception | None = None

    def set(self, answer: Answer | Exception) -> None:
        self.answer = answer
        self._event.set()

    async def wait(self) -> Answer:
        await self._event.wait()
        if isinstance(self.answer, Exception):
            raise self.answer
        assert self.answer is not None
        return self.answer


class Replica:
    """Raises `StorageError` from `open` if the folder can't be used."""

    def __init__(
        self,
        settings: StoreSettings,
        counters: Counters,
        log: Log,
        adopt: Callable[[Revision], None] = lambda revision: None,
        follow: Callable[[StateMachine], None] = lambda machine: None,
    ) -> None:
        self.settings = settings
        self._counters, self._log, self._adopt = counters, log, adopt
        self._follow = follow
        self._storage = Storage(OsFiles(settings.folder))
        self._inbox: deque[Callable[[], None]] = deque()
        self._some = anyio.Event()
        self._to_disk: deque[tuple[Callable[[], None], Callable[[], None]]] = deque()  # one at most
        self._disk_some = anyio.Event()
        self._writing = False
        self._wanted: list[tuple[int, _Waiter]] = []  # snapshots asked for: of this entry at least
        self._changed = anyio.Event()  # something to look at: a revision, a role, members
        self._seen: tuple[object, ...] = ()
        self._members_seen: object = None
        self.rejoin_attempts: dict[str, float] = {}  # known folder, no member -> when turned away last
        self._stopped_told = False
        self.identity: Identity
        self.node: Node
        self.transport: Transport

    # The start

    def open(self) -> None:
        """Reads the folder; blocking. One alone makes its own."""
        files = OsFiles(self.settings.folder)
        if self.settings.alone and read_identity(files) is None:
            initialize_replica(self.settings)
            self._log.event("store_made", folder=self.settings.folder, replica=self.settings.replica)
        gc.disable()  # nothing that a start reads is garbage, and there may be a hundred thousand of it
        try:
            found = self._storage.open()
        finally:
            gc.enable()
            gc.freeze()
        self.identity = found.identity
        for key in ("cluster", "replica"):
            told, kept = getattr(self.settings, key), getattr(found.identity, key)
            if told != kept:
                raise StorageError(f"setting store.{key} is {told!r}; the folder is {kept!r}'s")
        for note in found.notes:
            self._counters.add("store.notes")
            self._log.event("store_recovered", note=note)
        self._make_node(found)

    def _make_node(self, found: Recovered) -> None:
        try:
            self.node = Node(
                self.identity.replica,
                Random(secrets.randbits(64)),
                found.hard,
                found.snapshot,
                found.entries,
                clock(),
                lease=self.settings.lease,
                adopt=self._adopted,
                follow=self._followed,
            )
        except FormatError as error:
            raise StorageError(f"folder {self.settings.folder}: {error}") from None
        pins = self._storage.pins()
        self.transport = Transport(
            self.identity, self.settings.listen, pins, self._heard, self._pin, self._counters, self._log
        )
        self.transport.on_rejoin_attempt = self._knocked
        self._log.event(
            "store_open",
            replica=self.identity.replica,
            term=found.hard.term,
            snapshot=found.snapshot.index,
            entries=len(found.entries),
        )

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Takes part until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                await tasks.start(self.transport.run)
                tasks.start_soon(self._disk)
                task_status.started()
                await self._own()
        finally:
            self.node.lease.drop()
            self._storage.close()

    async def _own(self) -> None:
        """The one task that touches the node."""
        next_tick = clock()
        while True:
            now = clock()
            if self._inbox:
                for _ in range(min(len(self._inbox), TURN)):
                    self._inbox.popleft()()
            # One tick a turn: a process that was paused has not heard silence, it has been silent.
            if now >= next_tick:
                next_tick = max(next_tick + TICK, now)
                self.node.tick(now)
            self._poll()
            if self._inbox or self.node.has_unapplied:
                await anyio.lowlevel.checkpoint()
                continue
            self._some = anyio.Event()
            wait = min(next_tick, self.node.next_check_at(clock()) + 0.001) - clock()
            with anyio.move_on_after(max(0.0, wait)):
                await self._some.wait()

    def _poll(self) -> None:
        told = self.node.poll(clock())
        for to, message in told.outbox:
            self.transport.send(to, message)
        for waiter, answer in told.answers:
            if isinstance(waiter, _Waiter):
                waiter.set(answer)
        if not self._writing and not self.node.stopped:
            if self._wanted and (snapshot := self.node.take_snapshot()):
                self._save(snapshot)
            elif writes := self.node.writes():
                self._hand_to_disk(partial(self._write, writes), partial(self._written, writes))
            elif snapshot := self.node.snapshot_due():
                self._save(snapshot)
        if self._wanted:
            self._tell_snapshots()
        self._look()

    def _tell_snapshots(self) -> None:
        """Answers those whose snapshot is durable; one that a leader sent counts once it is restored."""
        index = self.node.raft.snapshot.index
        if self.node.stopped:
            over = StoreUnavailableError(f"this replica has stepped aside: {self.node.stopped}")
            for _, waiter in self._wanted:
                waiter.set(over)
            self._wanted.clear()
        elif index <= self.node.state_machine.applied:
            for least, waiter in self._wanted:
                if least <= index:
                    waiter.set(index)
            self._wanted = [wanted for wanted in self._wanted if wanted[0] > index]

    def _look(self) -> None:
        """Follows what the node has come to, for those who watch."""
        raft = self.node.raft
        # Until a change is committed both hold: a leader that is removed has to hear that it is.
        now, settled = raft.membership, raft.membership_at(raft.commit)
        if (now, settled) != self._members_seen:
            self._members_seen = (now, settled)
            rows = {m.id: m.address for m in (*settled.members, *now.members)}
            # One that knows no members yet has to listen to whoever adds it.
            self.transport.members(rows, lambda name: not rows or name in rows)
            self.notify()
        if self.node.stopped and not self._stopped_told:
            self._stopped_told = True
            self._counters.add("store.stopped")
            self._log.event("store_stopped", why=self.node.stopped)
        seen = (raft.role, raft.term, raft.leader, self.node.stopped)
        if seen != self._seen:
            if self._seen and seen[:3] != self._seen[:3]:
                self._log.event("store_role", role=raft.role.value, term=raft.term, leader=raft.leader)
            self._seen = seen
            self.notify()

    def notify(self) -> None:
        """Wakes all who wait in `wait_for_change`."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self, most: float) -> None:
        """Returns after the next change of revision, role or state, or after `most` seconds."""
        with anyio.move_on_after(most):
            await self._changed.wait()

    def _adopted(self, revision: Revision) -> None:
        try:
            self._adopt(revision)
        except SettingsError as error:
            self.node.stop(f"revision {revision.number} can't be read by this version: {error}")
            return
        self.notify()

    def _followed(self, machine: StateMachine) -> None:
        self._follow(machine)
        self.notify()

    # Inputs

    def _put(self, work: Callable[[], None]) -> bool:
        if len(self._inbox) >= INBOX:
            self._counters.add("store.inbox_full")
            return False
        self._inbox.append(work)
        self._some.set()
        return True

    def _heard(self, sender: str, message: PeerMessage) -> None:
        self._put(lambda: self.node.receive(sender, message, clock()))

    def _knocked(self, name: str) -> None:
        self.rejoin_attempts[name] = clock()  # bounded as the pins are: by all who ever were members

    async def _ask(self, work: Callable[[_Waiter], Any], most: float) -> Answer:
        """Has the owning task carry that out, and waits for the answer, for `most` seconds."""
        if self.node.stopped:
            raise StoreUnavailableError(f"this replica has stepped aside: {self.node.stopped}")
        waiter = _Waiter()

        def turn() -> None:
            try:
                work(waiter)
            except Exception as error:  # the asker's error: it gets it, the owner goes on
                waiter.set(error)

        if not self._put(turn):
            raise StoreUnavailableError("this replica is too busy")
        with anyio.move_on_after(most):
            return await waiter.wait()
        raise StoreUnavailableError(f"no answer in {most:g} s; whether it took effect is not known")

    async def change(self, envelope: Envelope, most: float) -> Answer:
        """Raises `NotLeaderError`, `BusyError`, `StoreUnavailableError`."""
        return await self._ask(lambda waiter: self.node.change(envelope, waiter), most)

    async def read(self, most: float) -> None:
        """Returns once the state here is no older than this call."""
        if isinstance(await self._ask(self.node.read, most), LeadershipLost):
            raise NotLeaderError(self.node.raft.leader)

    async def add(self, name: str, where: str, most: float) -> Answer:
        return await self._ask(lambda waiter: self.node.add(name, where, waiter), most)

    async def remove(self, name: str, most: float) -> Answer:
        return await self._ask(lambda waiter: self.node.remove(name, waiter), most)

    async def transfer(self, name: str, most: float) -> None:
        """Returns once another leads, or raises."""

        def work(waiter: _Waiter) -> None:
            self.node.raft.transfer(name)
            waiter.set(0)

        await self._ask(work, most)
        with anyio.move_on_after(most):
            while self.node.raft.role is Role.LEADER and name != self.identity.replica:
                await self.wait_for_change(0.1)
            return
        raise StoreUnavailableError(f"{name} did not take over in {most:g} s")

    async def snapshot(self, most: float) -> int:
        """The index of a snapshot that is durable and holds all that was applied when this was asked.

        The disk may be at a write then: the snapshot is cut after it. Raises `StoreUnavailableError`.
        """

        def work(waiter: _Waiter) -> None:
            if len(self._wanted) >= SNAPSHOTS:
                raise StoreUnavailableError("too many wait for a snapshot")
            self._wanted.append((self.node.state_machine.applied, waiter))

        answer = await self._ask(work, most)
        assert isinstance(answer, int)
        return answer

    def change_nowait(self, envelope: Envelope) -> None:
        """A command that nobody waits for, and that may be lost."""
        self._put(lambda: self.node.change_nowait(envelope))

    # The disk

    def _hand_to_disk(self, work: Callable[[], None], done: Callable[[], None]) -> None:
        self._writing = True
        self._to_disk.append((work, done))
        self._disk_some.set()

    async def _disk(self) -> None:
        """Carries out one job after another in a thread; what it came to goes to the owner, ahead of
        others."""
        while True:
            if not self._to_disk:
                self._disk_some = anyio.Event()
                await self._disk_some.wait()
            work, done = self._to_disk.popleft()
            try:
                await run_sync(work)
            except (StorageError, OSError) as error:
                done = partial(self._disk_failed, f"the disk failed: {error}")
            self._inbox.appendleft(done)
            self._some.set()

    def _disk_failed(self, why: str) -> None:
        """Nothing is written any more, so that nothing may be promised: the replica steps aside."""
        self.node.stop(why)

    def _write(self, writes: Writes) -> None:
        if writes.hard_state or writes.entries or writes.snapshot:
            self._storage.write(writes.hard_state, writes.entries, writes.snapshot)

    def _written(self, writes: Writes) -> None:
        self._writing = False
        self.node.written(writes, clock())

    def _save(self, snapshot: Snapshot) -> None:
        def done() -> None:
            self._writing = False
            self.node.compacted(snapshot)
            self._log.event("store_snapshot", index=snapshot.index, bytes=len(snapshot.data))

        self._hand_to_disk(partial(self._storage.save, snapshot), done)

    async def _pin(self, pins: dict[str, str]) -> None:
        await run_sync(partial(self._storage.pin, pins))

    # What can be seen

    def may_act(self) -> bool:
        return self.node.may_act(clock())

    def leases(self) -> tuple[frozenset[str], Callable[[int], list[str]]] | None:
        """While this replica leads and knows whose leases run: who may act now, and a function that tells
        who of them may still act on something older than an index. None else, and for the first 1.1 leases
        after an election."""
        node = self.node
        grants = node.grants
        if node.stopped or node.raft.role is not Role.LEADER or grants.waits_for(0, clock()):
            return None
        return frozenset(grants.holders(clock())), lambda index: grants.waits_for(index, clock())

    def demands(self) -> dict[str, Mapping[str, float]]:
        """What instances told of their demand lately, by limit; this one's own too while it leads."""
        now = clock()
        return {name: rows for name, (at, rows) in self.node.demands.items() if now - at < DEMAND_HOLDS}

    def lease_left(self) -> float:
        """Seconds for which this instance may still act, by its own clock."""
        return self.node.lease.remaining(clock())

    def retry_after(self) -> float:
        """Seconds after which a refused caller may find this instance current."""
        return STOPPED_COME_BACK if self.node.stopped else self.settings.lease

    def status(self) -> dict[str, Any]:
        node, raft, now = self.node, self.node.raft, clock()
        latest = node.revision
        status: dict[str, Any] = {
            "cluster": self.identity.cluster,
            "replica": self.identity.replica,
            "role": "stopped" if node.stopped else raft.role.value,
            "stopped": node.stopped,
            "term": raft.term,
            "leader": raft.leader,
            "leader_address": self.leader_address(),
            "commit": raft.commit,
            "applied": node.state_machine.applied,
            "last": raft.log.last_index,
            "durable": raft.log.stable,
            "snapshot": raft.snapshot.index,
            "revision": latest.number if latest else 0,
            "current": self.may_act(),
            "lease_left_ms": round(node.lease.remaining(now) * 1000),
            "members": [
                {
                    "replica": m.id,
                    "address": m.address,
                    "voter": m.voter,
                    "joining": m.joining,
                }
                for m in raft.membership.members
            ],
            "absent": [
                {"replica": row.instance, "address": row.address, "state": row.state, "why": row.why}
                for row in node.state_machine.absences.absent
            ],
            "peers": self.transport.status(),
        }
        if raft.role is Role.LEADER:
            status["holders_ms"] = {n: round(t * 1000) for n, t in node.grants.holders(now).items()}
            status["followers"] = {
                name: {"match": p.match, "mode": p.mode.value, "behind": raft.log.last_index - p.match}
                for name, p in raft.progress.items()
            }
        return status

    def leader_address(self) -> str:
        member = self.node.raft.membership.get(self.node.raft.leader)
        return member.address if member else ""
