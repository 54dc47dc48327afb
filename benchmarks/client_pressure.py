"""One client, or many, at full speed against the real program, and another client that is served beside them.

python -m benchmarks.client_pressure --front platform --seconds 30 --seed 1

Each kind of flood of `tests/flooder.py` for that front is played in turn, in an order drawn from the seed,
with 1, 20 or 200 connections. The claim: the other client gets every answer within the aim of its class, and
the process stays below the memory limit, also when the first bytes come before the connection is accepted.
"""

from __future__ import annotations

import argparse
import os
import random
import signal
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from benchmarks.daemons import print_line
from tests import peers
from tests.dnspeers import Client, EnumProgram, Upstream
from tests.test_floods import flooding
from tests.test_memory_bounds import MEMORY_MB, peak_memory_mb, serve

AIM_S = 1.0  # of the classes of both fronts
NO_ANSWER_S = 99.0  # reported for an answer that never came
PAUSE_S = 0.02  # between two requests of the other client
KINDS = {
    "platform": (
        *("tests", "unknown types", "states", "releases of new ids", "new calls", "large calls"),
        *("calls given up", "many fields"),
    ),
    "enum": (
        *("empty queries", "garbage queries", "queries outside", "new queries", "queries of many records"),
    ),
}
CONNECTIONS = (1, 20, 200)


@dataclass(frozen=True)
class Target:
    """The running program, and how the other client makes one request and waits for its answer."""

    process: int
    port: int
    request: Callable[[], None]


@contextmanager
def platform_front() -> Iterator[Target]:
    """The platform's front, with a server that answers."""
    platform = peers.Platform()
    platform.config["settings"]["Bounds"]["OpenCap"] = 20_000
    serve(platform.servers[0], answer=b"answer")
    with platform.run() as running:
        caller = peers.Caller(platform.port)

        def request() -> None:
            caller.final_answer(caller.call(class_name=b"b", time_limit_ms=6000), within=9.0)

        yield Target(running.process.pid, platform.port, request)


@contextmanager
def enum_front() -> Iterator[Target]:
    """The ENUM front, with an upstream that answers."""
    front = EnumProgram(Upstream())
    with front.run() as running:
        client = Client(front.port)
        client.warm_up(10)

        def request() -> None:
            query = client.query()
            client.send(query)
            while (answer := client.receive(3.0)) is not None and answer.id != query.id:
                pass
            assert answer is not None, "no answer in 3 s"

        yield Target(running.process.pid, front.port, request)


FRONTS = {"platform": platform_front, "enum": enum_front}


def play(front: str, kind: str, connections: int, seconds: float) -> dict[str, float]:
    """Plays one flood; returns the other client's longest wait in seconds and the peak memory in MB."""
    with FRONTS[front]() as target:
        os.kill(target.process, signal.SIGSTOP)  # the first bytes come before the connections are accepted
        with flooding(kind, target.port, connections):
            time.sleep(0.5)
            os.kill(target.process, signal.SIGCONT)
            time.sleep(1.0)
            longest = 0.0
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                started_at = time.monotonic()
                try:
                    target.request()
                except (AssertionError, EOFError):
                    longest = NO_ANSWER_S
                    break
                longest = max(longest, time.monotonic() - started_at)
                time.sleep(PAUSE_S)
        return {"longest_s": round(longest, 3), "peak_mb": round(peak_memory_mb(target.process), 1)}


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--front", choices=sorted(FRONTS), default="platform")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    rng = random.Random(options.seed)
    kinds = list(KINDS[options.front])
    rng.shuffle(kinds)
    floods = {}
    for kind in kinds:
        connections = rng.choice(CONNECTIONS)
        floods[f"{kind}, {connections}"] = play(
            options.front, kind, connections, options.seconds / len(kinds)
        )
    ok = all(found["longest_s"] < AIM_S and found["peak_mb"] < MEMORY_MB for found in floods.values())
    return print_line(
        {
            "benchmark": "client_pressure",
            "seed": options.seed,
            "ok": ok,
            "front": options.front,
            "floods": floods,
        }
    )


if __name__ == "__main__":
    raise SystemExit(main())
