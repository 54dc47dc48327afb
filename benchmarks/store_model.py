"""The store in a seeded virtual world: loss, repeats, reordering, one-way cuts, crashes, pauses, new members.

Plays the real consensus core, log, state machine and fencing on a faulty file layer, and checks in every
step: one leader a term, logs that match, no committed entry lost, entries applied once and in order, reads
that see what was acknowledged, and no act on a configuration older than the last acknowledged one.

    python -m benchmarks.store_model --seeds 200 --first-seed 1
"""

from __future__ import annotations

import argparse
import contextlib
import heapq
import sys
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from random import Random

from benchmarks.daemons import print_line
from benchmarks.faultyfiles import Crash, FaultyFiles
from harepick.store.disk.files import StorageError
from harepick.store.disk.storage import Identity, Storage, create
from harepick.store.node import LeadershipLost, Node, PeerMessage
from harepick.store.raft.core import BadChangeError, BusyError, NotLeaderError, Raft, Role, Writes
from harepick.store.raft.messages import Member, Membership
from harepick.store.state_machine import Conflict, Done, Envelope, Put

TICK = 0.02
LEASE = 0.8
ACT = 0.03  # mean time between two acts of an instance


class ViolationError(AssertionError):
    """A rule of the store was broken."""


@dataclass
class Host:
    """One replica's machine: its files outlive its processes."""

    name: str
    files: FaultyFiles
    rate: float  # of its clock
    offset: float
    node: Node | None = None
    storage: Storage | None = None
    life: int = 0  # processes so far
    paused: bool = False
    backlog: list[Callable[[], None]] = field(default_factory=list)
    writing: Writes | None = None
    checked: dict[int, int] = field(default_factory=dict)  # index -> term that was compared
    committed: int = 0  # up to where commits were compared
    led: tuple[int, int] = (0, 0)  # term and life in which it was seen to lead last
    revision: int = 0


@dataclass
class Request:
    """A client's change, repeated under its number until it has an answer."""

    session: str
    number: int
    text: str
    expect: int | None = None
    done: bool = False


class World:
    raft: type[Raft] = Raft

    def __init__(self, seed: int, replicas: int) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.steps = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.hosts: dict[str, Host] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.loss = self.rng.choice((0.0, 0.02, 0.1))
        self.repeat = self.rng.choice((0.0, 0.05))
        self.delay = self.rng.choice((0.002, 0.01, 0.03))
        self.stats = dict.fromkeys(
            ("acts", "refused_acts", "acks", "crashes", "pauses", "cuts", "members", "snapshots", "leaders"),
            0,
        )
        self.leaders: dict[int, str] = {}
        self.entries: dict[tuple[int, int], tuple[bytes, int | None]] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.committed_in: dict[int, int] = {}  # index -> term of the leader that committed it
        self.acknowledged = 0  # revision
        self.acknowledged_texts: dict[str, int] = {}
        self.applied_texts: dict[str, int] = {}
        self.requests: list[Request] = []
        self.sessions = 0
        names = [f"r{n}" for n in range(replicas)]
        self.spare = [f"r{n}" for n in range(replicas, replicas + 2)]
        membership = Membership(tuple(Member(n, f"127.0.0.1:{n}") for n in names))
        for name in names:
            self._host(name, membership)
        for name in names:
            self._start(self.hosts[name])
        self.at(0.3, self._client)
        self.at(0.5, self._reader)
        self.at(1.0, self._trouble)

    # Time

    def at(self, delay: float, what: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._queue, (self.now + delay, self._count, what))

    def play(self, seconds: float) -> None:
        while self._queue and self._queue[0][0] <= seconds:
            self.now, _, what = heapq.heappop(self._queue)
            self.steps += 1
            what()

    def next_due(self) -> float:
        return self._queue[0][0]

    def clock(self, host: Host) -> float:
        return self.now * host.rate + host.offset

    # Machines

    def _host(self, name: str, membership: Membership) -> Host:
        rng = self.rng
        files = FaultyFiles(Random(rng.random()))
        host = Host(name, files, rng.uniform(0.96, 1.04), rng.uniform(0, 1e6))
        create(files, Identity("c", name, f"{name}-{rng.random()}"), membership)
        self.hosts[name] = host
        return host

    def _start(self, host: Host) -> None:
        host.life += 1
        host.paused, host.backlog, host.writing = False, [], None
        host.checked.clear()
        host.committed = 0
        host.revision = 0
        host.storage = Storage(host.files, segment_bytes=4_000)
        try:
            found = host.storage.open()
        except Crash:
            self._crash(host, power=True)
            return
        except StorageError as error:
            raise ViolationError(f"{host.name} refuses a folder that only crashed: {error}") from None

        def adopt(revision: object) -> None:
            host.revision = revision.number  # type: ignore[attr-defined]

        host.node = Node(
            host.name,
            Random(self.rng.random()),
            found.hard,
            found.snapshot,
            found.entries,
            self.clock(host),
            lease=LEASE,
            adopt=adopt,
            snapshot_every=25,
            raft=self.raft,
        )
        life = host.life
        self.at(self.rng.random() * TICK, lambda: self._tick(host, life))
        self.at(self.rng.random() * ACT, lambda: self._act(host, life))

    def _crash(self, host: Host, *, power: bool) -> None:
        self.stats["crashes"] += 1
        host.life += 1
        host.node = host.storage = None
        host.files.crash_at = None
        if power:
            host.files.power_fails()
        else:
            host.files.process_dies()

        def again() -> None:
            if host.node is None:
                self._start(host)

        self.at(self.rng.uniform(0.05, 2.0), again)

    def _run(self, host: Host, life: int, what: Callable[[], None]) -> None:
        """One turn of that process; what comes while it is paused waits."""
        if host.life != life or host.node is None:
            return
        if host.paused:
            if len(host.backlog) < 500:
                host.backlog.append(lambda: self._run(host, life, what))
            return
        try:
            what()
            self._poll(host, life)
        except Crash:
            self._crash(host, power=True)

    def _tick(self, host: Host, life: int) -> None:
        if host.life != life:
            return
        node = host.node
        assert node
        self._run(host, life, lambda: node.tick(self.clock(host)))
        self.at(TICK / host.rate, lambda: self._tick(host, life))

    def _poll(self, host: Host, life: int) -> None:
        node, storage = host.node, host.storage
        assert node and storage
        told = node.poll(self.clock(host))
        for to, message in told.outbox:
            self._send(host.name, to, message)
        self._check(host)
        for waiter, answer in told.answers:
            waiter(answer)  # type: ignore[operator]
        if host.writing is None and (writes := node.writes()):
            host.writing = writes
            took = self.rng.uniform(0.0005, 0.01)
            self.at(took, lambda: self._run(host, life, lambda: self._write(host, writes)))
        if host.writing is None and (snapshot := node.snapshot_due()):
            self.stats["snapshots"] += 1
            storage.save(snapshot)
            node.compacted(snapshot)

    def _write(self, host: Host, writes: Writes) -> None:
        node, storage = host.node, host.storage
        assert node and storage
        self.persist(storage, writes)
        host.writing = None
        node.written(writes, self.clock(host))

    def persist(self, storage: Storage, writes: Writes) -> None:
        if writes.hard_state or writes.entries or writes.snapshot:
            storage.write(writes.hard_state, writes.entries, writes.snapshot)

    # The network

    def _send(self, sender: str, to: str, message: PeerMessage) -> None:
        target = self.hosts.get(to)
        rng = self.rng
        if target is None or (sender, to) in self.cuts:
            return
        for _ in range(1 + (rng.random() < self.repeat)):
            if rng.random() < self.loss:
                continue
            delay = rng.expovariate(1 / self.delay)
            if rng.random() < 0.01:
                delay += rng.uniform(0.2, 3.0)  # a straggler, of an earlier leader perhaps
            self.at(delay, lambda: self._deliver(target, sender, message))

    def _deliver(self, target: Host, sender: str, message: PeerMessage) -> None:
        life = target.life

        def work() -> None:
            assert target.node
            target.node.receive(sender, message, self.clock(target))

        if (sender, target.name) not in self.cuts:
            self._run(target, life, work)

    # What instances and clients do

    def _act(self, host: Host, life: int) -> None:
        if host.life != life or host.node is None:
            return
        if not host.paused:
            if self.may_act(host):
                self.stats["acts"] += 1
                if host.revision < self.acknowledged:
                    raise ViolationError(
                        f"stale act: {host.name} on {host.revision}, acknowledged {self.acknowledged}"
                    )
            else:
                self.stats["refused_acts"] += 1
        self.at(self.rng.expovariate(1 / ACT), lambda: self._act(host, life))

    def may_act(self, host: Host) -> bool:
        assert host.node
        return host.node.may_act(self.clock(host))

    def _anyone(self) -> Host | None:
        up = [h for h in self.hosts.values() if h.node and not h.paused]
        leaders = [h for h in up if h.node and h.node.raft.role is Role.LEADER]
        if leaders and self.rng.random() < 0.9:
            return self.rng.choice(leaders)
        return self.rng.choice(up) if up else None

    def _client(self) -> None:
        rng = self.rng
        self.at(rng.expovariate(1 / 0.1), self._client)
        open_ = [r for r in self.requests if not r.done]
        if open_ and rng.random() < 0.5:
            request = rng.choice(open_)  # after a time-out: the same change again, under its number
        elif len(open_) < 8:
            self.sessions += 1
            expect = self.acknowledged if rng.random() < 0.3 else None
            request = Request(f"s{self.sessions}", 1, f"text {self.sessions}", expect)
            self.requests.append(request)
        else:
            return
        host = self._anyone()
        if host is None:
            return

        def answered(answer: object) -> None:
            if isinstance(answer, Done):
                request.done = True
                self.stats["acks"] += 1
                self.acknowledged = max(self.acknowledged, answer.revision)
                self.acknowledged_texts.setdefault(request.text, answer.revision)
                if self.acknowledged_texts[request.text] != answer.revision:
                    raise ViolationError(f"{request.text} was acknowledged as two revisions")
            elif isinstance(answer, Conflict):
                request.done = True
            elif not isinstance(answer, LeadershipLost):
                raise ViolationError(f"answer {answer}")

        def ask() -> None:
            assert host.node
            try:
                envelope = Envelope(request.session, request.number, Put(request.text, request.expect))
                host.node.change(envelope, answered)
            except (NotLeaderError, BusyError):
                pass

        self._run(host, host.life, ask)

    def _reader(self) -> None:
        self.at(self.rng.expovariate(1 / 0.2), self._reader)
        host = self._anyone()
        if host:
            self._read(host)

    def _read(self, host: Host) -> None:
        before, life = self.acknowledged, host.life

        def answered(answer: object) -> None:
            if isinstance(answer, int) and host.life == life and host.node:
                latest = host.node.revision
                if (latest.number if latest else 0) < before:
                    raise ViolationError(f"a read at {host.name} missed revision {before}")

        def ask() -> None:
            assert host.node
            with contextlib.suppress(NotLeaderError, BusyError):
                host.node.read(answered)

        self._run(host, life, ask)

    def _trouble(self) -> None:
        rng = self.rng
        self.at(rng.expovariate(1 / 0.5), self._trouble)
        host = rng.choice(list(self.hosts.values()))
        match rng.choice(
            ("crash", "power", "at", "pause", "pause", "cut", "one-way", "member", "transfer", "two")
        ):
            case "crash" if host.node:
                self._crash(host, power=False)
            case "power" if host.node:
                self._crash(host, power=True)
            case "two":
                for other in rng.sample(list(self.hosts.values()), 2):
                    if other.node:
                        self._crash(other, power=rng.random() < 0.5)
            case "at" if host.node:  # in the middle of one of its next writes
                host.files.crash_at = host.files.operations + rng.randint(1, 20)
            case "pause" if host.node and not host.paused:
                self._pause(host)
            case "cut":
                for name in self.hosts:
                    self._cut(host.name, name, both=True)
            case "one-way":
                self._cut(host.name, rng.choice(list(self.hosts)), both=False)
            case "member":
                self._member()
            case "transfer":
                leader = next(
                    (h for h in self.hosts.values() if h.node and h.node.raft.role is Role.LEADER), None
                )
                if leader and leader.node and not leader.paused:
                    voters = leader.node.raft.membership.voters
                    with contextlib.suppress(NotLeaderError, BadChangeError):
                        leader.node.raft.transfer(rng.choice(voters))

    def _pause(self, host: Host) -> None:
        self.stats["pauses"] += 1
        host.paused = True
        life = host.life

        def resume() -> None:
            if host.life != life or not host.paused:
                return
            host.paused = False
            backlog, host.backlog = host.backlog, []
            if self.rng.random() < 0.5:  # it may act before it reads anything
                self._act_once(host)
            if self.rng.random() < 0.5:  # and a client that waited for it to come back is served first
                self._read(host)
            for work in backlog:
                work()

        self.at(self.rng.uniform(0.05, 2.5 * LEASE), resume)

    def _act_once(self, host: Host) -> None:
        if self.may_act(host) and host.revision < self.acknowledged:
            raise ViolationError(f"stale act after a pause: {host.name} on {host.revision}")

    def _cut(self, one: str, other: str, *, both: bool) -> None:
        self.stats["cuts"] += 1
        lines = {(one, other), (other, one)} if both else {(one, other)}
        self.cuts |= lines
        self.at(self.rng.uniform(0.1, 2.0), lambda: self.cuts.difference_update(lines))

    def _member(self) -> None:
        leader = next((h for h in self.hosts.values() if h.node and h.node.raft.role is Role.LEADER), None)
        if leader is None or leader.paused:
            return
        rng, node = self.rng, leader.node
        assert node
        present = [m.id for m in node.raft.membership.members]

        def work() -> None:
            try:
                if self.spare and (len(present) < 4 or rng.random() < 0.5):
                    name = self.spare.pop()
                    host = self._host(name, Membership())
                    self._start(host)
                    node.add(name, f"127.0.0.1:{name}", lambda answer: None)
                elif len(present) > 2:
                    node.remove(rng.choice(present), lambda answer: None)
                self.stats["members"] += 1
            except (NotLeaderError, BusyError, BadChangeError):
                pass

        self._run(leader, leader.life, work)

    # The rules

    def _check(self, host: Host) -> None:
        node = host.node
        assert node
        raft = node.raft
        if raft.role is Role.LEADER:
            holder = self.leaders.setdefault(raft.term, host.name)
            if holder != host.name:
                raise ViolationError(f"two leaders in term {raft.term}: {holder} and {host.name}")
            if (raft.term, host.life) != host.led:
                host.led = (raft.term, host.life)
                self.stats["leaders"] += 1
                self._complete(host)
        self._match(host)
        self._commits(host)

    def _complete(self, host: Host) -> None:
        """A new leader holds every entry that was committed in an earlier term than its own.

        One that wins its term late, when a later one has its leader already, need not hold what that one
        has."""
        assert host.node
        raft = host.node.raft
        for index, (term, _) in self.committed.items():
            late = self.committed_in[index] >= raft.term
            if index > raft.log.base_index and raft.log.term(index) != term and not late:
                raise ViolationError(f"leader {host.name} lacks the committed entry {index}")

    def _match(self, host: Host) -> None:
        """Same index and term: same entry, and the same before it."""
        assert host.node
        log = host.node.raft.log
        index = log.last_index
        while index > log.base_index:
            entry = log.get(index)
            if host.checked.get(index) == entry.term:
                break
            host.checked[index] = entry.term
            seen = self.entries.setdefault((index, entry.term), (entry.data, log.term(index - 1)))
            if seen != (entry.data, log.term(index - 1)):
                raise ViolationError(f"logs do not match at {index}, term {entry.term}")
            index -= 1

    def _commits(self, host: Host) -> None:
        assert host.node
        raft = host.node.raft
        start = max(raft.log.base_index, host.committed)
        for index in range(start + 1, raft.commit + 1):
            entry = raft.log.get(index)
            seen = self.committed.setdefault(index, (entry.term, entry.data))
            self.committed_in.setdefault(index, raft.term)
            if seen != (entry.term, entry.data):
                raise ViolationError(f"{host.name} committed another entry {index}")
        host.committed = max(host.committed, raft.commit)
        for revision in host.node.state_machine.history(3):
            if self.applied_texts.setdefault(revision.text, revision.number) != revision.number:
                raise ViolationError(f"{revision.text} was applied twice")

    def heal(self) -> None:
        """All troubles end: the cluster must come back, and hold all that was acknowledged."""
        self.loss = self.repeat = 0.0
        self._trouble = lambda: None  # type: ignore[method-assign]
        self.cuts.clear()
        for host in self.hosts.values():
            host.files.crash_at = None


def play(seed: int, replicas: int, seconds: float = 20.0, world: type[World] = World) -> World:
    """One world; raises `ViolationError`."""
    made = world(seed, replicas)
    made.play(seconds)
    made.heal()
    before = made.stats["acks"]
    made.play(seconds + 12.0)
    if made.stats["acks"] <= before:
        raise ViolationError("no change was acknowledged after all troubles had ended")
    kept = {r.text for h in made.hosts.values() if h.node for r in h.node.state_machine.history()}
    lost = made.acknowledged_texts.keys() - kept
    if lost:
        raise ViolationError(f"acknowledged and lost: {sorted(lost)[:3]}")
    return made


Row = tuple[int, dict[str, int], str]  # seed, what came of its world, and what it found


def row(seed: int, made: Callable[[], World]) -> Row:
    """One world's row; empty figures for one that broke a rule."""
    try:
        world = made()
    except AssertionError as error:
        return seed, {}, f"{type(error).__name__}: {error}"
    return seed, world.stats | {"steps": world.steps}, ""


def summed(rows: Sequence[Row], least: str = "") -> tuple[dict[str, int], list[str]]:
    """Figures over all worlds (of `least` the lowest), and what was found, which is printed."""
    for seed, _, why in [row for row in rows if row[2]][:20]:
        print(f"seed {seed}: {why}", file=sys.stderr)
    totals: dict[str, int] = {}
    for _, stats, _ in rows:
        for key, value in stats.items():
            totals[key] = min(totals.get(key, value), value) if key == least else totals.get(key, 0) + value
    return totals, [why for _, _, why in rows if why]


def arguments(about: str | None) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=about, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first-seed", "--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0, help="of each world's own time")
    parser.add_argument("--processes", "--jobs", type=int, default=None)
    return parser


def _one(job: tuple[int, int, float]) -> Row:
    return row(job[0], lambda: play(*job))


def main() -> int:
    wanted = arguments(__doc__).parse_args()
    began = time.monotonic()
    seeds = range(wanted.first_seed, wanted.first_seed + wanted.seeds)
    jobs = [(seed, (3, 5)[seed % 2], wanted.seconds) for seed in seeds]
    with ProcessPoolExecutor(wanted.processes) as pool:
        totals, bad = summed(list(pool.map(_one, jobs)))
    line = {
        "benchmark": "store_model",
        "seed": wanted.first_seed,
        "ok": not bad,
        "seeds": wanted.seeds,
        "violations": len(bad),
        "stale_acts": sum("stale act" in why for why in bad),
        **totals,
        "seconds": round(time.monotonic() - began, 1),
    }
    return print_line(line)


if __name__ == "__main__":
    sys.exit(main())
