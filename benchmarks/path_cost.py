"""Measures the cost of an ordinary call in the core, compared with another checkout of the program.

A look-up is offered, sent to a fake `ServersPort`, answered and over; no gap, limit or verdict is set. The
two checkouts run in turn, each time in a process of its own; the result is the ratio of their medians.

    python -m benchmarks.path_cost --against ../before --rounds 15
"""

from __future__ import annotations

import argparse
import os
import subprocess
import sys
import time
from pathlib import Path

from benchmarks.daemons import percentile, print_line

ROOT = Path(__file__).parent.parent
CALLS = 4_000
MAX_RATIO = 1.05

# Runs in either checkout, so names that differ between them are looked up under both.
WORK = """
import sys, time
from harepick import interface as i
from harepick.core.engine import Engine
from harepick.core.inbox import Inbox
try:
    from harepick.core.messages import Answered, Offer
except ImportError:
    from harepick.core.words import Answered, Offer
from harepick.counters import Counters
from harepick.log import Log
from harepick.settings import read_enum

def may_send(attempt, now):
    return attempt.may_send(now) if hasattr(attempt, "may_send") else attempt.may_leave(now)

class Port:
    def place(self, attempt):
        now = clock()
        if not may_send(attempt, now):
            return i.Outcome.MOOT
        attempt.sent = now
        self.out = attempt
        return None
    def cancel(self, attempt):
        return True
    def release(self, server, call):
        pass

class Caller:
    gone = False
    def stands(self, description): pass
    established = stands
    def refused(self, retry_after): raise SystemExit("refused")
    def failed(self): raise SystemExit("failed")
    def over(self, *, cut): pass
    ended = over
    def clashes(self): raise SystemExit("clashes")
    duplicate_id = clashes

now = 1000.0
def clock():
    return now

settings = read_enum({"upstream": [{"name": "a", "address": "127.0.0.1:1"}]}).settings
port = Port()
engine = Engine(settings, 1, port, Inbox(), Counters(), Log(), 20000, clock)
start = engine.start if hasattr(engine, "start") else engine.begin
process = engine.process if hasattr(engine, "process") else engine.turn
start(i.ServerList(i.ListKind.ALL, (i.ServerEntry("a", 0, "ready"),)))
caller = Caller()
number_field = "called_number" if "called_number" in Offer.__dataclass_fields__ else "called"
called = {number_field: "+94112345678"}
def calls(count):
    global now
    for n in range(count):
        now += 0.01
        process([Offer(f"c{now}", "look-up", 0, n, now + 2.0, caller, b"", **called)])
        attempt = port.out
        process([Answered(attempt.call, attempt.number, attempt.server, b"x", lasting=False)])
calls(500)
began = time.process_time()
calls(int(sys.argv[1]))
print((time.process_time() - began) / int(sys.argv[1]) * 1e6)
"""


def measure_checkout(checkout: Path) -> float:
    """Runs `WORK` in a checkout; returns the microseconds per call."""
    result = subprocess.run(
        [sys.executable, "-c", WORK, str(CALLS)],
        cwd=checkout,
        env=os.environ | {"PYTHONPATH": str(checkout)},
        capture_output=True,
        text=True,
        timeout=120,
        check=True,
    )
    return float(result.stdout)


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--against", required=True, type=Path, help="root of the other checkout")
    parser.add_argument("--rounds", type=int, default=15)
    parser.add_argument("--seed", type=int, default=1, help="only printed: the benchmark draws nothing")
    options = parser.parse_args()
    own_us: list[float] = []
    other_us: list[float] = []
    began = time.monotonic()
    for _ in range(options.rounds):
        own_us.append(measure_checkout(ROOT))
        other_us.append(measure_checkout(options.against.resolve()))
    ratio = percentile(own_us, 0.5) / percentile(other_us, 0.5)
    line = {
        "benchmark": "path_cost",
        "seed": options.seed,
        "ok": ratio <= MAX_RATIO,
        "us_per_call": round(percentile(own_us, 0.5), 2),
        "us_per_call_before": round(percentile(other_us, 0.5), 2),
        "ratio": round(ratio, 3),
        "most_ratio": MAX_RATIO,
        "rounds": options.rounds,
        "took_s": round(time.monotonic() - began, 1),
    }
    return print_line(line)


if __name__ == "__main__":
    sys.exit(main())
