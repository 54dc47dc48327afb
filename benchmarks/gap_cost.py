"""Measures what a decision costs with many gaps set, and how much memory the gaps take.

python -m benchmarks.gap_cost --seconds 5 --seed 1
"""

from __future__ import annotations

import argparse
import sys
import time
import tracemalloc
from random import Random

from benchmarks.daemons import print_line
from harepick.gapping.gaps import Call, Gap, Gaps

AIM_US = 5.0  # per decision, with the most gaps


def make_gaps(count: int, rng: Random) -> Gaps:
    """Sets `count` gaps: half by number, half by prefix, of 6 to 16 digits."""
    gaps = Gaps()
    for n in range(count):
        digits = "".join(rng.choices("0123456789", k=rng.randint(4, 14)))
        criterion = {"number": f"+9{digits}"} if n % 2 else {"prefix": f"+9{digits}"}
        gaps.set(Gap(f"g{n}", 1.0, **criterion), 0.0)  # type: ignore[arg-type]
    return gaps


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    rng = Random(options.seed)
    calls = [Call("+9" + "".join(rng.choices("0123456789", k=10)), "claim") for _ in range(2_000)]
    line: dict[str, object] = {"benchmark": "gap_cost", "seed": options.seed}
    median_us = 0.0
    for count in (0, 1_000, 100_000):
        tracemalloc.start()
        gaps = make_gaps(count, Random(options.seed))
        line[f"memory_mb_{count}"] = round(tracemalloc.get_traced_memory()[0] / 1e6, 1)
        tracemalloc.stop()
        decision_times_us = []
        end = time.perf_counter() + options.seconds / 3
        while time.perf_counter() < end:
            began = time.perf_counter()
            for n, call in enumerate(calls):
                gaps.decide(call, n * 0.001)
            decision_times_us.append((time.perf_counter() - began) / len(calls) * 1e6)
        decision_times_us.sort()
        line[f"decision_us_{count}"] = round(decision_times_us[len(decision_times_us) // 2], 2)
        median_us = decision_times_us[len(decision_times_us) // 2]
    return print_line(line | {"aim_us": AIM_US, "ok": median_us < AIM_US})


if __name__ == "__main__":
    sys.exit(main())
