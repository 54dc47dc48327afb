"""Seeded simulation of the replicated store under faults of the network, the processes and the disks.

Messages are lost, repeated and reordered, links are cut (also one way), processes crash and pause, and
members are added and removed. The consensus core, log, state machine and leases are the production code, on
a faulty file layer. Checked in every step: one leader per term, matching logs, no committed entry lost,
entries applied once and in order, reads that see what was acknowledged, and no act on a configuration older
than the last acknowledged one.

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

TICK_S = 0.02
LEASE_S = 0.8
MEAN_ACT_INTERVAL_S = 0.03


class ViolationError(AssertionError):
    """A rule of the store was broken."""


@dataclass
class Host:
    """One replica's host, whose files outlive its processes."""

    name: str
    files: FaultyFiles
    clock_rate: float  # seconds of its clock per simulated second
    clock_offset: float  # its clock at simulated time 0, in seconds
    node: Node | None = None
    storage: Storage | None = None
    incarnation: int = 0  # number of the current process
    paused: bool = False
    backlog: list[Callable[[], None]] = field(default_factory=list)
    writing: Writes | None = None
    checked: dict[int, int] = field(default_factory=dict)  # index -> term that was compared
    committed: int = 0  # index up to which commits were compared
    last_led: tuple[int, int] = (0, 0)  # term and incarnation in which it was last seen to lead
    revision: int = 0  # number of the configuration that it acts on


@dataclass
class Request:
    """A client's change, repeated under the same number until it is answered."""

    session: str
    number: int
    text: str
    expect: int | None = None
    done: bool = False


class World:
    """A cluster, its clients and its faults; subclasses break rules to prove that they are checked."""

    raft: type[Raft] = Raft

    def __init__(self, seed: int, replicas: int) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.steps = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self.hosts: dict[str, Host] = {}
        self.cuts: set[tuple[str, str]] = set()  # (sender, receiver) pairs that lose all messages
        self.loss = self.rng.choice((0.0, 0.02, 0.1))  # probability that a message is lost
        self.repeat = self.rng.choice((0.0, 0.05))  # probability that a message is sent twice
        self.delay = self.rng.choice((0.002, 0.01, 0.03))  # mean seconds that a message takes
        self.stats = dict.fromkeys(
            ("acts", "refused_acts", "acks", "crashes", "pauses", "cuts", "members", "snapshots", "leaders"),
            0,
        )
        self.leaders: dict[int, str] = {}  # term -> leader
        # (index, term) -> data, term of the preceding entry
        self.entries: dict[tuple[int, int], tuple[bytes, int | None]] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}  # index -> term, data
        self.committed_in: dict[int, int] = {}  # index -> term of the leader that committed it
        self.acknowledged = 0  # highest acknowledged revision
        self.acknowledged_texts: dict[str, int] = {}  # text -> revision
        self.applied_texts: dict[str, int] = {}  # text -> revision
        self.requests: list[Request] = []
        self.sessions = 0
        names = [f"r{n}" for n in range(replicas)]
        self.spare = [f"r{n}" for n in range(replicas, replicas + 2)]
        membership = Membership(tuple(Member(n, f"127.0.0.1:{n}") for n in names))
        for name in names:
            self._add_host(name, membership)
        for name in names:
            self._start(self.hosts[name])
        self.call_later(0.3, self._client)
        self.call_later(0.5, self._reader)
        self.call_later(1.0, self._inject_fault)

    # Time

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Runs a callback after a delay, in simulated seconds."""
        self._event_count += 1
        heapq.heappush(self._queue, (self.now + delay, self._event_count, callback))

    def run_until(self, seconds: float) -> None:
        """Runs all callbacks that are due up to that simulated time, in seconds."""
        while self._queue and self._queue[0][0] <= seconds:
            self.now, _, callback = heapq.heappop(self._queue)
            self.steps += 1
            callback()

    def next_due(self) -> float:
        """The simulated time at which the next callback is due, in seconds."""
        return self._queue[0][0]

    def clock(self, host: Host) -> float:
        """The reading of the host's own clock, in seconds."""
        return self.now * host.clock_rate + host.clock_offset

    # Hosts

    def _add_host(self, name: str, membership: Membership) -> Host:
        rng = self.rng
        files = FaultyFiles(Random(rng.random()))
        host = Host(name, files, rng.uniform(0.96, 1.04), rng.uniform(0, 1e6))
        create(files, Identity("c", name, f"{name}-{rng.random()}"), membership)
        self.hosts[name] = host
        return host

    def _start(self, host: Host) -> None:
        host.incarnation += 1
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
            raise ViolationError(f"{host.name} cannot open its folder after a crash: {error}") from None

        def adopt(revision: object) -> None:
            host.revision = revision.number  # type: ignore[attr-defined]

        host.node = Node(
            host.name,
            Random(self.rng.random()),
            found.hard,
            found.snapshot,
            found.entries,
            self.clock(host),
            lease=LEASE_S,
            on_revision=adopt,
            snapshot_every=25,
            raft=self.raft,
        )
        incarnation = host.incarnation
        self.call_later(self.rng.random() * TICK_S, lambda: self._tick(host, incarnation))
        self.call_later(self.rng.random() * MEAN_ACT_INTERVAL_S, lambda: self._act(host, incarnation))

    def _crash(self, host: Host, *, power: bool) -> None:
        self.stats["crashes"] += 1
        host.incarnation += 1
        host.node = host.storage = None
        host.files.crash_at = None
        if power:
            host.files.power_fails()
        else:
            host.files.process_dies()

        def restart() -> None:
            if host.node is None:
                self._start(host)

        self.call_later(self.rng.uniform(0.05, 2.0), restart)

    def _run(self, host: Host, incarnation: int, callback: Callable[[], None]) -> None:
        """Runs a callback in that process, or later if the process is paused."""
        if host.incarnation != incarnation or host.node is None:
            return
        if host.paused:
            if len(host.backlog) < 500:
                host.backlog.append(lambda: self._run(host, incarnation, callback))
            return
        try:
            callback()
            self._poll(host, incarnation)
        except Crash:
            self._crash(host, power=True)

    def _tick(self, host: Host, incarnation: int) -> None:
        if host.incarnation != incarnation:
            return
        node = host.node
        assert node
        self._run(host, incarnation, lambda: node.tick(self.clock(host)))
        self.call_later(TICK_S / host.clock_rate, lambda: self._tick(host, incarnation))

    def _poll(self, host: Host, incarnation: int) -> None:
        node, storage = host.node, host.storage
        assert node and storage
        output = node.poll(self.clock(host))
        for to, message in output.outbox:
            self._send(host.name, to, message)
        self._check(host)
        for waiter, answer in output.answers:
            waiter(answer)  # type: ignore[operator]
        if host.writing is None and (writes := node.take_writes()):
            host.writing = writes
            duration = self.rng.uniform(0.0005, 0.01)
            self.call_later(duration, lambda: self._run(host, incarnation, lambda: self._write(host, writes)))
        if host.writing is None and (snapshot := node.snapshot_due()):
            self.stats["snapshots"] += 1
            storage.save(snapshot)
            node.snapshot_durable(snapshot)

    def _write(self, host: Host, writes: Writes) -> None:
        node, storage = host.node, host.storage
        assert node and storage
        self.persist(storage, writes)
        host.writing = None
        node.written(writes, self.clock(host))

    def persist(self, storage: Storage, writes: Writes) -> None:
        """Writes to disk what the node has to persist."""
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
                delay += rng.uniform(0.2, 3.0)  # a message may arrive after its sender was deposed
            self.call_later(delay, lambda: self._deliver(target, sender, message))

    def _deliver(self, target: Host, sender: str, message: PeerMessage) -> None:
        incarnation = target.incarnation

        def receive() -> None:
            assert target.node
            target.node.receive(sender, message, self.clock(target))

        if (sender, target.name) not in self.cuts:
            self._run(target, incarnation, receive)

    # Instances and clients

    def _act(self, host: Host, incarnation: int) -> None:
        if host.incarnation != incarnation or host.node is None:
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
        self.call_later(self.rng.expovariate(1 / MEAN_ACT_INTERVAL_S), lambda: self._act(host, incarnation))

    def may_act(self, host: Host) -> bool:
        """Whether the host's lease lets it act now."""
        assert host.node
        return host.node.may_act(self.clock(host))

    def _pick_host(self) -> Host | None:
        up = [candidate for candidate in self.hosts.values() if candidate.node and not candidate.paused]
        leaders = [
            candidate for candidate in up if candidate.node and candidate.node.raft.role is Role.LEADER
        ]
        if leaders and self.rng.random() < 0.9:
            return self.rng.choice(leaders)
        return self.rng.choice(up) if up else None

    def _client(self) -> None:
        rng = self.rng
        self.call_later(rng.expovariate(1 / 0.1), self._client)
        unanswered = [pending for pending in self.requests if not pending.done]
        if unanswered and rng.random() < 0.5:
            request = rng.choice(unanswered)  # a retry after a time-out: the same change and number
        elif len(unanswered) < 8:
            self.sessions += 1
            expect = self.acknowledged if rng.random() < 0.3 else None
            request = Request(f"s{self.sessions}", 1, f"text {self.sessions}", expect)
            self.requests.append(request)
        else:
            return
        host = self._pick_host()
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

        def send_request() -> None:
            assert host.node
            try:
                envelope = Envelope(request.session, request.number, Put(request.text, request.expect))
                host.node.change(envelope, answered)
            except (NotLeaderError, BusyError):
                pass

        self._run(host, host.incarnation, send_request)

    def _reader(self) -> None:
        self.call_later(self.rng.expovariate(1 / 0.2), self._reader)
        host = self._pick_host()
        if host:
            self._read(host)

    def _read(self, host: Host) -> None:
        before, incarnation = self.acknowledged, host.incarnation

        def answered(answer: object) -> None:
            if isinstance(answer, int) and host.incarnation == incarnation and host.node:
                latest = host.node.revision
                if (latest.number if latest else 0) < before:
                    raise ViolationError(f"a read at {host.name} missed revision {before}")

        def send_request() -> None:
            assert host.node
            with contextlib.suppress(NotLeaderError, BusyError):
                host.node.read(answered)

        self._run(host, incarnation, send_request)

    def _inject_fault(self) -> None:
        rng = self.rng
        self.call_later(rng.expovariate(1 / 0.5), self._inject_fault)
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
            case "at" if host.node:  # power fails in one of its next 20 file operations
                host.files.crash_at = host.files.operations + rng.randint(1, 20)
            case "pause" if host.node and not host.paused:
                self._pause(host)
            case "cut":
                for name in self.hosts:
                    self._cut_link(host.name, name, both=True)
            case "one-way":
                self._cut_link(host.name, rng.choice(list(self.hosts)), both=False)
            case "member":
                self._change_membership()
            case "transfer":
                leader = next(
                    (
                        candidate
                        for candidate in self.hosts.values()
                        if candidate.node and candidate.node.raft.role is Role.LEADER
                    ),
                    None,
                )
                if leader and leader.node and not leader.paused:
                    voters = leader.node.raft.membership.voters
                    with contextlib.suppress(NotLeaderError, BadChangeError):
                        leader.node.raft.transfer(rng.choice(voters))

    def _pause(self, host: Host) -> None:
        self.stats["pauses"] += 1
        host.paused = True
        incarnation = host.incarnation

        def resume() -> None:
            if host.incarnation != incarnation or not host.paused:
                return
            host.paused = False
            backlog, host.backlog = host.backlog, []
            if self.rng.random() < 0.5:  # it may act before it reads any message
                self._check_act(host)
            if self.rng.random() < 0.5:  # a waiting client may be served first
                self._read(host)
            for work in backlog:
                work()

        self.call_later(self.rng.uniform(0.05, 2.5 * LEASE_S), resume)

    def _check_act(self, host: Host) -> None:
        if self.may_act(host) and host.revision < self.acknowledged:
            raise ViolationError(f"stale act after a pause: {host.name} on {host.revision}")

    def _cut_link(self, source: str, target: str, *, both: bool) -> None:
        self.stats["cuts"] += 1
        links = {(source, target), (target, source)} if both else {(source, target)}
        self.cuts |= links
        self.call_later(self.rng.uniform(0.1, 2.0), lambda: self.cuts.difference_update(links))

    def _change_membership(self) -> None:
        leader = next(
            (
                candidate
                for candidate in self.hosts.values()
                if candidate.node and candidate.node.raft.role is Role.LEADER
            ),
            None,
        )
        if leader is None or leader.paused:
            return
        rng, node = self.rng, leader.node
        assert node
        present = [member.id for member in node.raft.membership.members]

        def change() -> None:
            try:
                if self.spare and (len(present) < 4 or rng.random() < 0.5):
                    name = self.spare.pop()
                    host = self._add_host(name, Membership())
                    self._start(host)
                    node.add(name, f"127.0.0.1:{name}", lambda answer: None)
                elif len(present) > 2:
                    node.remove(rng.choice(present), lambda answer: None)
                self.stats["members"] += 1
            except (NotLeaderError, BusyError, BadChangeError):
                pass

        self._run(leader, leader.incarnation, change)

    # Invariants

    def _check(self, host: Host) -> None:
        node = host.node
        assert node
        raft = node.raft
        if raft.role is Role.LEADER:
            holder = self.leaders.setdefault(raft.term, host.name)
            if holder != host.name:
                raise ViolationError(f"two leaders in term {raft.term}: {holder} and {host.name}")
            if (raft.term, host.incarnation) != host.last_led:
                host.last_led = (raft.term, host.incarnation)
                self.stats["leaders"] += 1
                self._check_leader_completeness(host)
        self._check_log_matching(host)
        self._check_commits(host)

    def _check_leader_completeness(self, host: Host) -> None:
        """A new leader holds every entry that was committed in a term earlier than its own.

        A leader that learns of its election late need not hold the entries of a later term's leader."""
        assert host.node
        raft = host.node.raft
        for index, (term, _) in self.committed.items():
            committed_later = self.committed_in[index] >= raft.term
            if index > raft.log.base_index and raft.log.term(index) != term and not committed_later:
                raise ViolationError(f"leader {host.name} lacks the committed entry {index}")

    def _check_log_matching(self, host: Host) -> None:
        """Log matching: the same index and term mean the same entry and the same predecessor."""
        assert host.node
        log = host.node.raft.log
        index = log.last_index
        while index > log.base_index:
            entry = log.get(index)
            if host.checked.get(index) == entry.term:
                break
            host.checked[index] = entry.term
            known = self.entries.setdefault((index, entry.term), (entry.data, log.term(index - 1)))
            if known != (entry.data, log.term(index - 1)):
                raise ViolationError(f"logs do not match at {index}, term {entry.term}")
            index -= 1

    def _check_commits(self, host: Host) -> None:
        assert host.node
        raft = host.node.raft
        start = max(raft.log.base_index, host.committed)
        for index in range(start + 1, raft.commit + 1):
            entry = raft.log.get(index)
            known = self.committed.setdefault(index, (entry.term, entry.data))
            self.committed_in.setdefault(index, raft.term)
            if known != (entry.term, entry.data):
                raise ViolationError(f"{host.name} committed another entry {index}")
        host.committed = max(host.committed, raft.commit)
        for revision in host.node.state_machine.history(3):
            if self.applied_texts.setdefault(revision.text, revision.number) != revision.number:
                raise ViolationError(f"{revision.text} was applied twice")

    def heal(self) -> None:
        """Ends all faults: the cluster must recover and hold all that was acknowledged."""
        self.loss = self.repeat = 0.0
        self._inject_fault = lambda: None  # type: ignore[method-assign]
        self.cuts.clear()
        for host in self.hosts.values():
            host.files.crash_at = None


def run_world(seed: int, replicas: int, seconds: float = 20.0, world_class: type[World] = World) -> World:
    """Runs one world, with faults for that many seconds and 12 s without. Raises `ViolationError`."""
    world = world_class(seed, replicas)
    world.run_until(seconds)
    world.heal()
    before = world.stats["acks"]
    world.run_until(seconds + 12.0)
    if world.stats["acks"] <= before:
        raise ViolationError("no change was acknowledged after all faults had ended")
    kept = {
        revision.text
        for host in world.hosts.values()
        if host.node
        for revision in host.node.state_machine.history()
    }
    lost = world.acknowledged_texts.keys() - kept
    if lost:
        raise ViolationError(f"acknowledged and lost: {sorted(lost)[:3]}")
    return world


Result = tuple[int, dict[str, int], str]  # seed, statistics of its world, violation or an empty text


def run_seed(seed: int, make_world: Callable[[], World]) -> Result:
    """Makes and runs one world; its statistics are empty if it broke a rule."""
    try:
        world = make_world()
    except AssertionError as error:
        return seed, {}, f"{type(error).__name__}: {error}"
    return seed, world.stats | {"steps": world.steps}, ""


def sum_results(results: Sequence[Result], minimum_key: str = "") -> tuple[dict[str, int], list[str]]:
    """Sums the statistics (takes the minimum of `minimum_key`); prints and returns the violations."""
    for seed, _, violation in [result for result in results if result[2]][:20]:
        print(f"seed {seed}: {violation}", file=sys.stderr)
    totals: dict[str, int] = {}
    for _, stats, _ in results:
        for key, value in stats.items():
            totals[key] = (
                min(totals.get(key, value), value) if key == minimum_key else totals.get(key, 0) + value
            )
    return totals, [violation for _, _, violation in results if violation]


def arguments(about: str | None) -> argparse.ArgumentParser:
    """The options of the models of the store."""
    parser = argparse.ArgumentParser(description=about, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first-seed", "--seed", type=int, default=1)
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="simulated time of each world, with faults"
    )
    parser.add_argument("--processes", "--jobs", type=int, default=None)
    return parser


def _run_job(job: tuple[int, int, float]) -> Result:
    return run_seed(job[0], lambda: run_world(*job))


def main() -> int:
    options = arguments(__doc__).parse_args()
    began = time.monotonic()
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    jobs = [(seed, (3, 5)[seed % 2], options.seconds) for seed in seeds]
    with ProcessPoolExecutor(options.processes) as pool:
        totals, violations = sum_results(list(pool.map(_run_job, jobs)))
    line = {
        "benchmark": "store_model",
        "seed": options.first_seed,
        "ok": not violations,
        "seeds": options.seeds,
        "violations": len(violations),
        "stale_acts": sum("stale act" in violation for violation in violations),
        **totals,
        "seconds": round(time.monotonic() - began, 1),
    }
    return print_line(line)


if __name__ == "__main__":
    sys.exit(main())
