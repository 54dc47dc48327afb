"""The virtual worlds of maintenance, limits and gaps: they hold, and they can fail."""

from __future__ import annotations

import pytest

from benchmarks import gap_model, heal_model, limit_model, maint_model


def test_some_hundred_schedules_keep_the_budget_and_the_fence() -> None:
    total: dict[str, float] = {}
    for seed in range(1, 301):
        figures, found = maint_model.schedule(seed)
        assert not found, found
        assert figures["most_out_at_once"] <= maint_model.PLAN.max_out
        for key, value in figures.items():
            total[key] = total.get(key, 0) + value
    # It was no world in which nothing happens: orders came to their end, some with an instance gone.
    assert total["outs"] > 1_000 and total["backs"] > 1_000 and total["fenced"] > 300
    assert total["acts"] > 50_000 and total["handed_over"] > 500
    assert maint_model.schedule(7) == maint_model.schedule(7)


@pytest.mark.parametrize(
    ("broken", "seeds"),
    [
        ("no_confirmation", range(1, 60)),
        ("lease_ignored", range(1, 60)),
        ("no_wait_after_election", range(1, 60)),
        ("idle_too_early", (1167, 2429, 2976)),  # cut off between telling so and hearing that it is out
        ("pressed_counts", range(1, 20)),
        ("unguarded", (280, 355, 1252, 1485)),  # two leaders have to decide within a message's time
    ],
)
def test_a_broken_rule_of_maintenance_is_found(broken: str, seeds: range | tuple[int, ...]) -> None:
    found = [text for seed in seeds if (text := maint_model.schedule(seed, broken)[1])]
    assert found, f"{broken} was not found in {len(seeds)} schedules"
    assert not any(maint_model.schedule(seed)[1] for seed in seeds)


def test_some_hundred_schedules_keep_every_window_within_the_bound() -> None:
    splits = used = 0.0
    for seed in range(1, 201):
        figures, found = limit_model.schedule(seed)
        assert not found, found
        splits += figures["splits"]
        used += figures["used_share"]
    assert splits > 2_000 and used / 200 > 0.3  # shares move, and are spent, for all that goes wrong


@pytest.mark.parametrize(
    "broken", ["no_confirmation", "lease_ignored", "unbudgeted", "no_wait_after_election"]
)
@pytest.mark.parametrize("each", [False, True])
def test_a_broken_rule_of_limits_is_found(broken: str, each: bool) -> None:
    found = [text for seed in range(1, 40) if (text := limit_model.schedule(seed, broken, each)[1])]
    assert found, f"{broken} was not found in 39 schedules"


def test_some_schedules_keep_each_caller_within_its_own_and_a_table_that_forgets_is_found() -> None:
    used = 0.0
    for seed in range(1, 101):
        figures, found = limit_model.schedule(seed, each=True)
        assert not found, found
        used += figures["used_share"]
    assert used / 100 / len(limit_model.GREEDY) > 0.2
    assert any(limit_model.schedule(seed, "forgetful", each=True)[1] for seed in range(1, 20))


def test_some_hundred_schedules_pass_one_call_a_slot_over_the_fleet() -> None:
    used = blocks = 0.0
    for seed in range(1, 201):
        figures, found = gap_model.schedule(seed)
        assert not found, found
        used += figures["used_share"]
        blocks += figures["blocks"]
    assert used / 200 > 0.3 and blocks > 800


@pytest.mark.parametrize(
    ("broken", "seeds"),
    [
        ("no_rest_after_start", (1127, 1158)),  # back within the slot that the process before used
        ("overlapping", range(1, 20)),
        ("turns_taken_early", range(1, 20)),
    ],
)
def test_a_broken_rule_of_turns_is_found(broken: str, seeds: range | tuple[int, ...]) -> None:
    found = [text for seed in seeds if (text := gap_model.schedule(seed, broken)[1])]
    assert found, f"{broken} was not found in {len(seeds)} schedules"
    assert not any(gap_model.schedule(seed)[1] for seed in seeds)


def test_some_worlds_drop_and_take_back_members_and_break_no_rule() -> None:
    dropped = taken_back = 0
    for seed in range(1, 7):
        stats, found = heal_model.schedule(seed)
        assert not found, found
        dropped += stats["dropped"]
        taken_back += stats["taken_back"]
    assert dropped > 6 and taken_back > 6


@pytest.mark.parametrize(("broken", "seeds"), [("keeps_none", (8, 9, 19)), ("forgets", (1, 2))])
def test_a_broken_rule_of_membership_is_found(broken: str, seeds: range | tuple[int, ...]) -> None:
    assert any(heal_model.schedule(seed, broken)[1] for seed in seeds)
