"""Runs one replica: feeds its node with inputs, writes to its disk and connects it to the transport.

A single task runs the node, and inputs of other tasks reach it through one queue. Writes of the log and of
snapshots run in a worker thread, one job at a time, so that they never block the event loop; the node batches
what arrives during a write.
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

TICK_INTERVAL_S = 0.02
DEMAND_LIFETIME_S = 2.0  # older demand reports are ignored
MAX_INBOX = 16_384  # queued inputs; further ones are dropped, like messages lost by a network
MAX_INPUTS_PER_TURN = 256  # inputs handled between two polls of the node
MAX_SNAPSHOT_WAITERS = 64  # requests that may wait for a snapshot
STOPPED_RETRY_S = 5.0  # retry delay told to callers that a stopped replica refuses


def clock() -> float:
    """Returns seconds since an arbitrary start, including time for which the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StoreUnavailableError(Exception):
    """The replica can't answer the request now; the text says why."""


def initialize_replica(settings: StoreSettings, *, join: bool = False) -> Identity:
    """Creates the folder of a new replica and returns its identity.

    With `join`, the replica starts without members and waits until it is added to a cluster. Raises
    `StorageError`.
    """
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
    """Hands a request's answer or error to the task that waits for it."""

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
    """One replica of the store.

    Call `open` first, which raises `StorageError` if the folder can't be used, then `run`.
    """

    def __init__(
        self,
        settings: StoreSettings,
        counters: Counters,
        log: Log,
        on_revision: Callable[[Revision], None] = lambda revision: None,
        on_state_changed: Callable[[StateMachine], None] = lambda machine: None,
    ) -> None:
        """`on_revision` is called with each new revision of the configuration, `on_state_changed` when
        maintenance orders, shares of limits or verdicts have changed.

        `on_revision` may raise `SettingsError`: the replica then stops.
        """
        self.settings = settings
        self._counters, self._log, self._on_revision = counters, log, on_revision
        self._on_state_changed = on_state_changed
        self._storage = Storage(OsFiles(settings.folder))
        self._inbox: deque[Callable[[], None]] = deque()
        self._inbox_filled = anyio.Event()
        self._disk_jobs: deque[tuple[Callable[[], None], Callable[[], None]]] = deque()  # one at most
        self._disk_job_added = anyio.Event()
        self._writing = False
        self._snapshot_waiters: list[tuple[int, _Waiter]] = []  # (index the snapshot must reach, waiter)
        self._state_changed = anyio.Event()  # set and replaced by `notify`
        self._last_state: tuple[object, ...] = ()
        self._last_members: object = None
        # Non-member that tried to connect with its pinned folder -> time of its last attempt, by `clock`.
        self.rejoin_attempts: dict[str, float] = {}
        self._stop_logged = False
        self.identity: Identity
        self.node: Node
        self.transport: Transport

    # Start

    def open(self) -> None:
        """Reads the folder, blocking. A replica configured as the only member creates a missing one."""
        files = OsFiles(self.settings.folder)
        if self.settings.alone and read_identity(files) is None:
            initialize_replica(self.settings)
            self._log.event("store_made", folder=self.settings.folder, replica=self.settings.replica)
        # The garbage collector would scan up to 100,000 recovered entries again and again and find nothing.
        gc.disable()
        try:
            recovered = self._storage.open()
        finally:
            gc.enable()
            gc.freeze()
        self.identity = recovered.identity
        for key in ("cluster", "replica"):
            configured, stored = getattr(self.settings, key), getattr(recovered.identity, key)
            if configured != stored:
                raise StorageError(f"setting store.{key} is {configured!r}; the folder belongs to {stored!r}")
        for note in recovered.notes:
            self._counters.add("store.notes")
            self._log.event("store_recovered", note=note)
        self._make_node(recovered)

    def _make_node(self, recovered: Recovered) -> None:
        try:
            self.node = Node(
                self.identity.replica,
                Random(secrets.randbits(64)),
                recovered.hard,
                recovered.snapshot,
                recovered.entries,
                clock(),
                lease=self.settings.lease,
                on_revision=self._on_adopted,
                on_state_changed=self._on_applied,
            )
        except FormatError as error:
            raise StorageError(f"folder {self.settings.folder}: {error}") from None
        pins = self._storage.pins()  # replica -> id of the only folder accepted under its name
        self.transport = Transport(
            self.identity,
            self.settings.listen,
            pins,
            self._on_message,
            self._save_pins,
            self._counters,
            self._log,
        )
        self.transport.on_rejoin_attempt = self._on_rejoin_attempt
        self._log.event(
            "store_open",
            replica=self.identity.replica,
            term=recovered.hard.term,
            snapshot=recovered.snapshot.index,
            entries=len(recovered.entries),
        )

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Runs transport, disk and node until cancelled; then drops the lease and closes the storage."""
        try:
            async with anyio.create_task_group() as tasks:
                await tasks.start(self.transport.run)
                tasks.start_soon(self._run_disk)
                task_status.started()
                await self._run_node()
        finally:
            self.node.lease.drop()
            self._storage.close()

    async def _run_node(self) -> None:
        """Feeds the node with inputs and ticks; no other task does."""
        next_tick = clock()
        while True:
            now = clock()
            if self._inbox:
                for _ in range(min(len(self._inbox), MAX_INPUTS_PER_TURN)):
                    self._inbox.popleft()()
            # At most one tick per turn: a paused process must not take its pause for silence of the leader.
            if now >= next_tick:
                next_tick = max(next_tick + TICK_INTERVAL_S, now)
                self.node.tick(now)
            self._poll()
            if self._inbox or self.node.has_unapplied:
                await anyio.lowlevel.checkpoint()
                continue
            self._inbox_filled = anyio.Event()
            wait = min(next_tick, self.node.next_check_at(clock()) + 0.001) - clock()
            with anyio.move_on_after(max(0.0, wait)):
                await self._inbox_filled.wait()

    def _poll(self) -> None:
        """Sends the node's messages, delivers answers and starts the next disk job."""
        output = self.node.poll(clock())
        for to, message in output.outbox:
            self.transport.send(to, message)
        for waiter, answer in output.answers:
            if isinstance(waiter, _Waiter):
                waiter.set(answer)
        if not self._writing and not self.node.stopped:
            if self._snapshot_waiters and (snapshot := self.node.take_snapshot()):
                self._save(snapshot)
            elif writes := self.node.take_writes():
                self._start_disk_job(partial(self._write, writes), partial(self._written, writes))
            elif snapshot := self.node.snapshot_due():
                self._save(snapshot)
        if self._snapshot_waiters:
            self._answer_snapshot_waiters()
        self._track_state()

    def _answer_snapshot_waiters(self) -> None:
        """Answers requests whose snapshot is durable; a leader's snapshot counts once it is restored here."""
        index = self.node.raft.snapshot.index
        if self.node.stopped:
            stopped_error = StoreUnavailableError(f"this replica has stopped: {self.node.stopped}")
            for _, waiter in self._snapshot_waiters:
                waiter.set(stopped_error)
            self._snapshot_waiters.clear()
        elif index <= self.node.state_machine.applied:
            for required_index, waiter in self._snapshot_waiters:
                if required_index <= index:
                    waiter.set(index)
            self._snapshot_waiters = [pending for pending in self._snapshot_waiters if pending[0] > index]

    def _track_state(self) -> None:
        """Passes changes of membership, role and state on to the transport, the log and waiting tasks."""
        raft = self.node.raft
        # Until a change is committed both memberships count: a removed leader has to learn of its removal.
        current, committed = raft.membership, raft.membership_at(raft.commit)
        if (current, committed) != self._last_members:
            self._last_members = (current, committed)
            addresses = {member.id: member.address for member in (*committed.members, *current.members)}
            # A replica that knows no members yet accepts every peer, because one of them is to add it.
            self.transport.set_members(addresses, lambda name: not addresses or name in addresses)
            self.notify()
        if self.node.stopped and not self._stop_logged:
            self._stop_logged = True
            self._counters.add("store.stopped")
            self._log.event("store_stopped", why=self.node.stopped)
        state = (raft.role, raft.term, raft.leader, self.node.stopped)
        if state != self._last_state:
            if self._last_state and state[:3] != self._last_state[:3]:
                self._log.event("store_role", role=raft.role.value, term=raft.term, leader=raft.leader)
            self._last_state = state
            self.notify()

    def notify(self) -> None:
        """Wakes `wait_for_change`: the revision, role, members, orders, shares or verdicts have changed."""
        self._state_changed.set()
        self._state_changed = anyio.Event()

    async def wait_for_change(self, timeout: float) -> None:
        """Returns after the next change that `notify` reports, or after `timeout` seconds."""
        with anyio.move_on_after(timeout):
            await self._state_changed.wait()

    def _on_adopted(self, revision: Revision) -> None:
        try:
            self._on_revision(revision)
        except SettingsError as error:
            self.node.stop(f"revision {revision.number} can't be read by this version: {error}")
            return
        self.notify()

    def _on_applied(self, state_machine: StateMachine) -> None:
        self._on_state_changed(state_machine)
        self.notify()

    # Inputs

    def _enqueue(self, work: Callable[[], None]) -> bool:
        if len(self._inbox) >= MAX_INBOX:
            self._counters.add("store.inbox_full")
            return False
        self._inbox.append(work)
        self._inbox_filled.set()
        return True

    def _on_message(self, sender: str, message: PeerMessage) -> None:
        self._enqueue(lambda: self.node.receive(sender, message, clock()))

    def _on_rejoin_attempt(self, name: str) -> None:
        self.rejoin_attempts[name] = clock()  # at most one entry per replica that was ever a member

    async def _submit(self, work: Callable[[_Waiter], Any], timeout: float) -> Answer:
        """Runs `work` in the task that runs the node and waits up to `timeout` seconds for the answer.

        Raises `StoreUnavailableError`, and whatever `work` raises.
        """
        if self.node.stopped:
            raise StoreUnavailableError(f"this replica has stopped: {self.node.stopped}")
        waiter = _Waiter()

        def run_work() -> None:
            try:
                work(waiter)
            except Exception as error:  # goes to the task that waits; the task that runs the node continues
                waiter.set(error)

        if not self._enqueue(run_work):
            raise StoreUnavailableError("this replica is too busy")
        with anyio.move_on_after(timeout):
            return await waiter.wait()
        raise StoreUnavailableError(f"no answer in {timeout:g} s; whether it took effect is not known")

    async def change(self, envelope: Envelope, timeout: float) -> Answer:
        """Replicates a command and returns its result.

        Raises `NotLeaderError`, `BusyError`, `StoreUnavailableError`.
        """
        return await self._submit(lambda waiter: self.node.change(envelope, waiter), timeout)

    async def read(self, timeout: float) -> None:
        """Returns once the local state is no older than this call (a linearizable read).

        Raises `NotLeaderError`, `BusyError`, `StoreUnavailableError`.
        """
        if isinstance(await self._submit(self.node.read, timeout), LeadershipLost):
            raise NotLeaderError(self.node.raft.leader)

    async def add(self, name: str, address: str, timeout: float) -> Answer:
        """Adds a member; raises `NotLeaderError`, `BadChangeError`, `BusyError`, `StoreUnavailableError`."""
        return await self._submit(lambda waiter: self.node.add(name, address, waiter), timeout)

    async def remove(self, name: str, timeout: float) -> Answer:
        """Removes a member; raises the errors of `add`."""
        return await self._submit(lambda waiter: self.node.remove(name, waiter), timeout)

    async def transfer(self, name: str, timeout: float) -> None:
        """Transfers the leadership to `name` and returns once this replica does not lead any more.

        Raises `NotLeaderError`, `BadChangeError`, `StoreUnavailableError`.
        """

        def work(waiter: _Waiter) -> None:
            self.node.raft.transfer(name)
            waiter.set(0)

        await self._submit(work, timeout)
        with anyio.move_on_after(timeout):
            while self.node.raft.role is Role.LEADER and name != self.identity.replica:
                await self.wait_for_change(0.1)
            return
        raise StoreUnavailableError(f"{name} did not take over in {timeout:g} s")

    async def snapshot(self, timeout: float) -> int:
        """Returns the index of a durable snapshot that holds everything applied before this call.

        If the disk is writing, the snapshot is taken after that write. Raises `StoreUnavailableError`.
        """

        def work(waiter: _Waiter) -> None:
            if len(self._snapshot_waiters) >= MAX_SNAPSHOT_WAITERS:
                raise StoreUnavailableError("too many requests wait for a snapshot")
            self._snapshot_waiters.append((self.node.state_machine.applied, waiter))

        answer = await self._submit(work, timeout)
        assert isinstance(answer, int)
        return answer

    def change_nowait(self, envelope: Envelope) -> None:
        """Submits a command without waiting for its result; it may be lost."""
        self._enqueue(lambda: self.node.change_nowait(envelope))

    # Disk

    def _start_disk_job(self, work: Callable[[], None], done: Callable[[], None]) -> None:
        self._writing = True
        self._disk_jobs.append((work, done))
        self._disk_job_added.set()

    async def _run_disk(self) -> None:
        """Runs disk jobs in a worker thread; each completion goes to the head of the inbox."""
        while True:
            if not self._disk_jobs:
                self._disk_job_added = anyio.Event()
                await self._disk_job_added.wait()
            work, done = self._disk_jobs.popleft()
            try:
                await run_sync(work)
            except (StorageError, OSError) as error:
                done = partial(self._disk_failed, f"the disk failed: {error}")
            self._inbox.appendleft(done)
            self._inbox_filled.set()

    def _disk_failed(self, why: str) -> None:
        """Stops the node: without durable writes it may neither vote nor acknowledge entries."""
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
            self.node.snapshot_durable(snapshot)
            self._log.event("store_snapshot", index=snapshot.index, bytes=len(snapshot.data))

        self._start_disk_job(partial(self._storage.save, snapshot), done)

    async def _save_pins(self, pins: dict[str, str]) -> None:
        await run_sync(partial(self._storage.pin, pins))

    # State

    def may_act(self) -> bool:
        """Returns whether this instance holds its lease and is not stopped."""
        return self.node.may_act(clock())

    def leases(self) -> tuple[frozenset[str], Callable[[int], list[str]]] | None:
        """Returns (live, unconfirmed_by): the instances that may act now, and a function that returns those
        that may still act on a state older than a given log index.

        None while this replica does not lead, and for the first 1.1 lease durations after an election: until
        then leases of the previous leader may be running.
        """
        node = self.node
        grants = node.grants
        if node.stopped or node.raft.role is not Role.LEADER or grants.unconfirmed_by(0, clock()):
            return None
        return frozenset(grants.holders(clock())), lambda index: grants.unconfirmed_by(index, clock())

    def demands(self) -> dict[str, Mapping[str, float]]:
        """Returns recent demand reports, instance -> limit -> demand; with its own if it leads."""
        now = clock()
        return {name: rows for name, (at, rows) in self.node.demands.items() if now - at < DEMAND_LIFETIME_S}

    def lease_left(self) -> float:
        """Returns the seconds for which this instance may still act, by its own clock."""
        return self.node.lease.remaining(clock())

    def retry_after(self) -> float:
        """Returns the seconds after which a refused caller may try this instance again."""
        return STOPPED_RETRY_S if self.node.stopped else self.settings.lease

    def status(self) -> dict[str, Any]:
        """Returns the `status` answer of the operators' port."""
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
                    "replica": member.id,
                    "address": member.address,
                    "voter": member.voter,
                    "joining": member.joining,
                }
                for member in raft.membership.members
            ],
            "absent": [
                {"replica": row.instance, "address": row.address, "state": row.state, "why": row.why}
                for row in node.state_machine.absences.absent
            ],
            "peers": self.transport.status(),
        }
        if raft.role is Role.LEADER:
            status["holders_ms"] = {
                instance: round(remaining * 1000) for instance, remaining in node.grants.holders(now).items()
            }
            status["followers"] = {
                name: {
                    "match": progress.match,
                    "mode": progress.mode.value,
                    "behind": raft.log.last_index - progress.match,
                }
                for name, progress in raft.progress.items()
            }
        return status

    def leader_address(self) -> str:
        """Returns the peer address of the known leader; empty if there is none."""
        member = self.node.raft.membership.get(self.node.raft.leader)
        return member.address if member else ""
