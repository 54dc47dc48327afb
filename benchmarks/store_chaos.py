"""Runs real daemons on one store and kills, pauses and restarts them while the configuration keeps changing.

Every revision names an upstream of its own, so a query's destination shows under which revision it was sent,
and the kernel's time stamp shows when it arrived. An arrival after the acknowledgement of a later revision is
a stale act.

    python -m benchmarks.store_chaos --seconds 600 --seed 1 --instances 3
"""

from __future__ import annotations

import argparse
import bisect
import sys
import tempfile
import threading
import time
from pathlib import Path
from random import Random

import anyio
import orjson

from benchmarks.daemons import (
    HOST,
    Cluster,
    Daemon,
    LookupGenerator,
    Upstreams,
    config_text,
    percentile,
    print_line,
)
from harepick.settings import parse_address
from harepick.store.client import StoreClient, StoreError

UPSTREAM_COUNT = 400  # change n names the upstream n modulo this count
LOOKUPS_PER_S = 60.0  # at each instance
MAX_CHANGE_PAUSE_S = 0.15  # from an acknowledgement to the next change
MAX_ANSWER_S = 2.6  # most time that a look-up may take: the deadline, and what a busy machine adds


class ConfigChanger(threading.Thread):
    """Changes the configuration, one change after another; change n names upstream n."""

    def __init__(self, cluster: Cluster, ports: list[int], seed: int) -> None:
        super().__init__(daemon=True)
        self.cluster, self.ports, self.rng = cluster, ports, Random(seed)
        self.acks: list[tuple[float, int, int]] = []  # (Unix time, n, revision)
        self.took: list[tuple[float, float]] = []  # (Unix time of its start, seconds)
        self.done = threading.Event()
        self.failed = ""

    def text(self, n: int) -> str:
        """The configuration of change n."""
        return config_text((f"u{n}", self.ports[n % len(self.ports)]))

    def run(self) -> None:
        try:
            anyio.run(self._run)
        except BaseException as error:
            self.failed = repr(error)
            raise

    async def _run(self) -> None:
        addresses = [parse_address(f"{HOST}:{daemon.store_port}", "at") for daemon in self.cluster.daemons]
        self.rng.shuffle(addresses)
        async with StoreClient(self.cluster.name, addresses) as client:
            n = 1
            while not self.done.is_set():
                began = time.time()
                while True:  # repeated under one session number until answered, so that none is applied twice
                    try:
                        arguments = {"text": self.text(n), "note": f"n={n}"}
                        answer = await client.call("set", arguments, 50.0)
                        break
                    except StoreError as error:
                        if error.code in ("invalid", "bad_request", "conflict", "refused"):
                            raise
                        client.repeat_last()
                self.acks.append((time.time(), n, answer["revision"]))
                self.took.append((began, time.time() - began))
                n += 1
                await anyio.sleep(self.rng.uniform(0.0, MAX_CHANGE_PAUSE_S))


class FaultInjector:
    """Kills, pauses and restarts instances as the seed says; records when each was not running."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster, self.rng = cluster, Random(seed)
        self.kills = self.pauses = 0
        self.losses: list[float] = []
        self.absences: dict[str, list[tuple[float, float]]] = {daemon.name: [] for daemon in cluster.daemons}
        self._due: list[tuple[float, str, Daemon, float]] = []  # (due, action, daemon, away since)

    def run(self, until: float) -> None:
        """Injects faults until that Unix time, then brings all instances back."""
        next_fault_at = time.time() + 1.0
        while (now := time.time()) < until:
            for row in [entry for entry in self._due if entry[0] <= now]:
                self._due.remove(row)
                self._bring_back(row)
            if now >= next_fault_at:
                next_fault_at = now + self.rng.uniform(0.3, 4.0)
                self._inject_fault()
            time.sleep(0.02)
        for row in self._due:
            self._bring_back(row)
        self._due.clear()

    def majority(self, start: float, end: float) -> bool:
        """Whether more than half were running all the time from `start` to `end`; a starting one is away."""
        intervals = [interval for intervals in self.absences.values() for interval in intervals]
        moments = [start, *(since for since, _ in intervals if start <= since <= end)]
        away_counts = [sum(since <= moment < back for since, back in intervals) for moment in moments]
        return 2 * max(away_counts) < len(self.absences)

    def _bring_back(self, row: tuple[float, str, Daemon, float]) -> None:
        _, action, daemon, since = row
        if action == "start":
            daemon.start()
            ready = len(daemon.events("serving"))
            while len(daemon.events("serving")) == ready and time.time() < daemon.started + 10:
                time.sleep(0.01)
        else:
            daemon.resume()
        self.absences[daemon.name].append((since, time.time()))

    def _inject_fault(self) -> None:
        up = [candidate for candidate in self.cluster.daemons if candidate.up]
        count = 2 if self.rng.random() < 0.25 else 1
        for daemon in self.rng.sample(up, min(count, len(up))):
            now = time.time()
            self.losses.append(now)
            if self.rng.random() < 0.55:
                self.kills += 1
                daemon.kill()
                self._due.append((now + self.rng.uniform(0.1, 3.0), "start", daemon, now))
            else:
                self.pauses += 1
                daemon.pause()
                self._due.append((now + self.rng.uniform(0.1, 5.0), "resume", daemon, now))


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--keep", help="folder to keep logs in")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        return run(options, Path(options.keep) if options.keep else Path(folder))


def run(options: argparse.Namespace, folder: Path) -> int:
    """Runs the daemons, the changes, the look-ups and the faults, and reports."""
    folder.mkdir(exist_ok=True)
    upstreams = Upstreams(UPSTREAM_COUNT)
    cluster = Cluster(options.instances, folder, config_text(("u0", upstreams.ports[0])))
    try:
        cluster.start()
        cluster.leader()
        changer = ConfigChanger(cluster, upstreams.ports, options.seed)
        changer.start()
        load_generators = {
            daemon.name: LookupGenerator(daemon.dns_port, LOOKUPS_PER_S, n)
            for n, daemon in enumerate(cluster.daemons)
        }
        for load_generator in load_generators.values():
            load_generator.start()
        faults = FaultInjector(cluster, options.seed)
        faults.run(time.time() + options.seconds)
        time.sleep(4.0)  # all are running: the cluster has to recover
        changer.done.set()
        changer.join(30)
        for load_generator in load_generators.values():
            load_generator.rate = 0.001  # sends no more
        time.sleep(MAX_ANSWER_S)
        for load_generator in load_generators.values():
            load_generator.finish()
        history = orjson.loads(cluster.ask("config", "history", "--most", "500", "--json"))
        stopped = [
            event
            for daemon in cluster.daemons
            for event in daemon.events("store_stopped") + daemon.events("crashed")
        ]
        arrivals = upstreams.finish()
    finally:
        cluster.end()
    return report(options, changer, load_generators, faults, history, stopped, arrivals)


def report(
    options: argparse.Namespace,
    changer: ConfigChanger,
    load_generators: dict[str, LookupGenerator],
    faults: FaultInjector,
    history: list[dict[str, object]],
    stopped: list[dict[str, object]],
    arrivals: list[tuple[float, int]],
) -> int:
    """Checks and prints the result; returns the exit code."""
    acks = changer.acks
    revisions = {row["note"]: row["revision"] for row in history}
    oldest = min((int(str(row["revision"])) for row in history), default=0)
    lost = [n for _, n, revision in acks if revision >= oldest and revisions.get(f"n={n}") != revision]
    doubled = len([acked_revision for _, _, acked_revision in acks]) - len(
        {acked_revision for _, _, acked_revision in acks}
    )
    times = [when for when, *_ in acks]
    stale = []
    for when, upstream in arrivals:
        ack_count = bisect.bisect_right(times, when)
        acknowledged = acks[ack_count - 1][1] if ack_count else 0
        # The upstream's index gives n modulo UPSTREAM_COUNT: take the n nearest to the acknowledged one.
        n = (
            acknowledged
            + (upstream - acknowledged + UPSTREAM_COUNT // 2) % UPSTREAM_COUNT
            - UPSTREAM_COUNT // 2
        )
        if n < acknowledged:
            stale.append((when, n, acknowledged))
    served = refused = unanswered = judged = 0
    for name, load_generator in load_generators.items():
        absences = faults.absences[name]
        for number, sent in enumerate(load_generator.sent):
            answer = load_generator.answers.get(number)
            if answer:
                served += answer[1] == 0
                refused += answer[1] != 0
            if any(since - 0.05 <= sent + MAX_ANSWER_S and sent <= back + 0.1 for since, back in absences):
                continue  # the instance was not running all the time
            judged += 1
            unanswered += answer is None
    unavailable_ms, majority_unavailable_ms = [], []
    for loss in faults.losses:
        next_ack = next(
            (began + took for began, took in changer.took if began + took > loss),
            None,
        )
        if next_ack is None:
            continue
        unavailable_ms.append((next_ack - loss) * 1000)
        if faults.majority(loss, next_ack):
            majority_unavailable_ms.append(unavailable_ms[-1])
    took = [duration * 1000 for _, duration in changer.took]
    for row in stale[:5]:
        print(f"stale: {row}", file=sys.stderr)
    ok = (
        not (stale or lost or doubled or unanswered or changer.failed or stopped)
        and len(acks) > options.seconds / 4
    )
    return print_line(
        {
            "benchmark": "store_chaos",
            "seed": options.seed,
            "ok": ok,
            "seconds": options.seconds,
            "instances": options.instances,
            "kills": faults.kills,
            "pauses": faults.pauses,
            "changes_acked": len(acks),
            "acks_lost": len(lost),
            "acks_doubled": doubled,
            "acts": len(arrivals),
            "stale_acts": len(stale),
            "lookups": sum(len(generator.sent) for generator in load_generators.values()),
            "lookups_served": served,
            "lookups_refused": refused,
            "lookups_judged": judged,
            "unanswered": unanswered,
            "answered_twice": sum(generator.repeated for generator in load_generators.values()),
            "change_ms_p50": round(percentile(took, 0.5), 1),
            "change_ms_p99": round(percentile(took, 0.99), 1),
            "losses_with_majority": len(majority_unavailable_ms),
            "unavailable_ms_p50": round(percentile(majority_unavailable_ms, 0.5), 1),
            "unavailable_ms_p99": round(percentile(majority_unavailable_ms, 0.99), 1),
            "unavailable_any_ms_p99": round(percentile(unavailable_ms, 0.99), 1),
            "stopped": len(stopped),
            "error": changer.failed,
        }
    )


if __name__ == "__main__":
    sys.exit(main())
