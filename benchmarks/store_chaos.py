"""Real daemons on one store, killed, paused and restarted at random while the configuration changes all the
time.

Every revision names an upstream of its own, so that each query that arrives tells which revision it was sent
under, and the kernel's time stamp tells when. An arrival after a later revision's acknowledgement is a stale
act.

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

UPSTREAMS = 400  # a revision's upstream comes round again only after so many others
RATE = 60.0  # look-ups a second at each instance
PACE = 0.15  # seconds between an acknowledgement and the next change, at most
ANSWER = 2.6  # seconds that a look-up may take: the deadline, and what a busy machine adds


class Changer(threading.Thread):
    """Changes the configuration, one change after another; each names upstream n of its own."""

    def __init__(self, cluster: Cluster, ports: list[int], seed: int) -> None:
        super().__init__(daemon=True)
        self.cluster, self.ports, self.rng = cluster, ports, Random(seed)
        self.acks: list[tuple[float, int, int]] = []  # when, n, revision
        self.took: list[tuple[float, float]] = []  # when it was begun, and how long it took
        self.done = threading.Event()
        self.failed = ""

    def text(self, n: int) -> str:
        return config_text((f"u{n}", self.ports[n % len(self.ports)]))

    def run(self) -> None:
        try:
            anyio.run(self._run)
        except BaseException as error:
            self.failed = repr(error)
            raise

    async def _run(self) -> None:
        addresses = [parse_address(f"{HOST}:{d.store_port}", "at") for d in self.cluster.daemons]
        self.rng.shuffle(addresses)
        async with StoreClient(self.cluster.name, addresses) as client:
            n = 1
            while not self.done.is_set():
                began = time.time()
                while True:  # one number of the session until its answer is known, so that none is doubled
                    try:
                        arguments = {"text": self.text(n), "note": f"n={n}"}
                        found = await client.call("set", arguments, 50.0)
                        break
                    except StoreError as error:
                        if error.code in ("invalid", "bad_request", "conflict", "refused"):
                            raise
                        client.repeat_last()
                self.acks.append((time.time(), n, found["revision"]))
                self.took.append((began, time.time() - began))
                n += 1
                await anyio.sleep(self.rng.uniform(0.0, PACE))


class Trouble:
    """Kills, pauses and restarts, as the seed says; keeps when each instance was running."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster, self.rng = cluster, Random(seed)
        self.kills = self.pauses = 0
        self.losses: list[float] = []
        self.away: dict[str, list[tuple[float, float]]] = {d.name: [] for d in cluster.daemons}
        self._due: list[tuple[float, str, Daemon, float]] = []  # when, what, whom, away since

    def play(self, until: float) -> None:
        next_one = time.time() + 1.0
        while (now := time.time()) < until:
            for row in [r for r in self._due if r[0] <= now]:
                self._due.remove(row)
                self._back(row)
            if now >= next_one:
                next_one = now + self.rng.uniform(0.3, 4.0)
                self._hit()
            time.sleep(0.02)
        for row in self._due:
            self._back(row)
        self._due.clear()

    def majority(self, start: float, end: float) -> bool:
        """Whether more than half were running at every moment between, counting one that starts as away."""
        rows = [row for rows in self.away.values() for row in rows]
        moments = [start, *(since for since, _ in rows if start <= since <= end)]
        away = [sum(since <= at < back for since, back in rows) for at in moments]
        return 2 * max(away) < len(self.away)

    def _back(self, row: tuple[float, str, Daemon, float]) -> None:
        _, what, daemon, since = row
        if what == "start":
            daemon.start()
            ready = len(daemon.events("serving"))
            while len(daemon.events("serving")) == ready and time.time() < daemon.started + 10:
                time.sleep(0.01)
        else:
            daemon.resume()
        self.away[daemon.name].append((since, time.time()))

    def _hit(self) -> None:
        up = [d for d in self.cluster.daemons if d.up]
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
    wanted = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        return play(wanted, Path(wanted.keep) if wanted.keep else Path(folder))


def play(wanted: argparse.Namespace, folder: Path) -> int:
    folder.mkdir(exist_ok=True)
    upstreams = Upstreams(UPSTREAMS)
    made = Cluster(wanted.instances, folder, config_text(("u0", upstreams.ports[0])))
    try:
        made.start()
        made.leader()
        changer = Changer(made, upstreams.ports, wanted.seed)
        changer.start()
        askers = {d.name: LookupGenerator(d.dns_port, RATE, n) for n, d in enumerate(made.daemons)}
        for asker in askers.values():
            asker.start()
        trouble = Trouble(made, wanted.seed)
        trouble.play(time.time() + wanted.seconds)
        time.sleep(4.0)  # all are up: they must come back
        changer.done.set()
        changer.join(30)
        for asker in askers.values():
            asker.rate = 0.001
        time.sleep(ANSWER)
        for asker in askers.values():
            asker.finish()
        history = orjson.loads(made.ask("config", "history", "--most", "500", "--json"))
        stopped = [e for d in made.daemons for e in d.events("store_stopped") + d.events("crashed")]
        came = upstreams.finish()
    finally:
        made.end()
    return judge(wanted, changer, askers, trouble, history, stopped, came)


def judge(
    wanted: argparse.Namespace,
    changer: Changer,
    askers: dict[str, LookupGenerator],
    trouble: Trouble,
    history: list[dict[str, object]],
    stopped: list[dict[str, object]],
    came: list[tuple[float, int]],
) -> int:
    acks = changer.acks
    kept = {row["note"]: row["revision"] for row in history}
    oldest = min((int(str(row["revision"])) for row in history), default=0)
    lost = [n for _, n, revision in acks if revision >= oldest and kept.get(f"n={n}") != revision]
    doubled = len([r for _, _, r in acks]) - len({r for _, _, r in acks})
    times = [when for when, *_ in acks]
    stale = []
    for when, k in came:
        at = bisect.bisect_right(times, when)
        acknowledged = acks[at - 1][1] if at else 0
        # The upstream's number tells n up to a multiple of UPSTREAMS: the nearest to what was acknowledged.
        n = acknowledged + (k - acknowledged + UPSTREAMS // 2) % UPSTREAMS - UPSTREAMS // 2
        if n < acknowledged:
            stale.append((when, n, acknowledged))
    served = refused = unanswered = judged = 0
    for name, asker in askers.items():
        away = trouble.away[name]
        for number, sent in enumerate(asker.sent):
            answer = asker.answers.get(number)
            if answer:
                served += answer[1] == 0
                refused += answer[1] != 0
            if any(since - 0.05 <= sent + ANSWER and sent <= back + 0.1 for since, back in away):
                continue  # it was not running all the while
            judged += 1
            unanswered += answer is None
    gaps, majority_gaps = [], []
    for loss in trouble.losses:
        first = next((began + took for began, took in changer.took if began + took > loss), None)
        if first is None:
            continue
        gaps.append((first - loss) * 1000)
        if trouble.majority(loss, first):
            majority_gaps.append(gaps[-1])
    took = [t * 1000 for _, t in changer.took]
    for row in stale[:5]:
        print(f"stale: {row}", file=sys.stderr)
    ok = (
        not (stale or lost or doubled or unanswered or changer.failed or stopped)
        and len(acks) > wanted.seconds / 4
    )
    return print_line(
        {
            "benchmark": "store_chaos",
            "seed": wanted.seed,
            "ok": ok,
            "seconds": wanted.seconds,
            "instances": wanted.instances,
            "kills": trouble.kills,
            "pauses": trouble.pauses,
            "changes_acked": len(acks),
            "acks_lost": len(lost),
            "acks_doubled": doubled,
            "acts": len(came),
            "stale_acts": len(stale),
            "lookups": sum(len(a.sent) for a in askers.values()),
            "lookups_served": served,
            "lookups_refused": refused,
            "lookups_judged": judged,
            "unanswered": unanswered,
            "answered_twice": sum(a.repeated for a in askers.values()),
            "change_ms_p50": round(percentile(took, 0.5), 1),
            "change_ms_p99": round(percentile(took, 0.99), 1),
            "losses_with_majority": len(majority_gaps),
            "unavailable_ms_p50": round(percentile(majority_gaps, 0.5), 1),
            "unavailable_ms_p99": round(percentile(majority_gaps, 0.99), 1),
            "unavailable_any_ms_p99": round(percentile(gaps, 0.99), 1),
            "stopped": len(stopped),
            "error": changer.failed,
        }
    )


if __name__ == "__main__":
    sys.exit(main())
