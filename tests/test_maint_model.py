"""The virtual world of machines out for work: it holds, and it can fail."""

from __future__ import annotations

import pytest

from benchmarks.maint_model import PLAN, schedule


def test_some_hundred_schedules_keep_the_budget_and_the_fence() -> None:
    total: dict[str, int] = {}
    for seed in range(1, 301):
        figures, found = schedule(seed)
        assert not found, found
        assert figures["most"] <= PLAN.max_out
        for key, value in figures.items():
            total[key] = total.get(key, 0) + value
    # It was no world in which nothing happens: orders came to their end, some with an instance gone.
    assert total["outs"] > 1_000 and total["backs"] > 1_000 and total["fenced"] > 300
    assert total["acts"] > 100_000
    assert schedule(7) == schedule(7)


@pytest.mark.parametrize(
    ("broken", "seeds"),
    [
        ("no_confirmation", range(1, 60)),
        ("lease_ignored", range(1, 60)),
        ("no_wait_after_election", range(1, 60)),
        ("unguarded", (280, 355, 1055, 1252)),  # two leaders have to decide within a message's time
    ],
)
def test_a_rule_that_is_broken_is_found(broken: str, seeds: range | tuple[int, ...]) -> None:
    found = [text for seed in seeds if (text := schedule(seed, broken)[1])]
    assert found, f"{broken} was not found in {len(seeds)} schedules"
    assert not any(schedule(seed)[1] for seed in seeds)
