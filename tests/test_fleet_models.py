"""Simulations of maintenance, limits, gaps and membership: the rules hold, and each broken rule is found."""

from __future__ import annotations

import pytest

from benchmarks import gap_model, heal_model, limit_model, maint_model


def test_maintenance_keeps_its_budget_and_leases_in_all_schedules() -> None:
    total: dict[str, float] = {}
    for seed in range(1, 301):
        figures, violation = maint_model.schedule(seed)
        assert not violation, violation
        assert figures["most_out_at_once"] <= maint_model.SETTINGS.max_out
        for key, value in figures.items():
            total[key] = total.get(key, 0) + value
    # The schedules exercise the rules: orders ended, some while an instance was gone.
    assert total["outs"] > 1_000 and total["backs"] > 1_000 and total["fenced"] > 300
    assert total["acts"] > 50_000 and total["handed_over"] > 500
    assert maint_model.schedule(7) == maint_model.schedule(7)


@pytest.mark.parametrize(
    ("broken", "seeds"),
    [
        ("no_confirmation", range(1, 60)),
        ("lease_ignored", range(1, 60)),
        ("no_wait_after_election", range(1, 60)),
        ("idle_too_early", (1167, 2429, 2976)),  # cut off between reporting idle and learning that it is out
        ("pressed_counts", range(1, 20)),
        ("unguarded", (280, 355, 1252, 1485)),  # needs two leaders that decide within the delay of a message
    ],
)
def test_a_broken_maintenance_rule_is_found(broken: str, seeds: range | tuple[int, ...]) -> None:
    violations = [text for seed in seeds if (text := maint_model.schedule(seed, broken)[1])]
    assert violations, f"{broken} was not found in {len(seeds)} schedules"
    assert not any(maint_model.schedule(seed)[1] for seed in seeds)


def test_limits_hold_in_every_window_of_all_schedules() -> None:
    splits = used = 0.0
    for seed in range(1, 201):
        figures, violation = limit_model.schedule(seed)
        assert not violation, violation
        splits += figures["splits"]
        used += figures["used_share"]
    assert splits > 2_000 and used / 200 > 0.3  # shares move and are used in spite of the faults


@pytest.mark.parametrize(
    "broken", ["no_confirmation", "lease_ignored", "unbudgeted", "no_wait_after_election"]
)
@pytest.mark.parametrize("each", [False, True])
def test_a_broken_limit_rule_is_found(broken: str, each: bool) -> None:
    violations = [text for seed in range(1, 40) if (text := limit_model.schedule(seed, broken, each)[1])]
    assert violations, f"{broken} was not found in 39 schedules"


def test_limits_by_caller_hold_and_a_table_that_forgets_callers_is_found() -> None:
    used = 0.0
    for seed in range(1, 101):
        figures, violation = limit_model.schedule(seed, each=True)
        assert not violation, violation
        used += figures["used_share"]
    assert used / 100 / len(limit_model.GREEDY_CALLERS) > 0.2
    assert any(limit_model.schedule(seed, "forgetful", each=True)[1] for seed in range(1, 20))


def test_one_call_per_slot_passes_over_the_fleet_in_all_schedules() -> None:
    used = blocks = 0.0
    for seed in range(1, 201):
        figures, violation = gap_model.schedule(seed)
        assert not violation, violation
        used += figures["used_share"]
        blocks += figures["blocks"]
    assert used / 200 > 0.3 and blocks > 800


@pytest.mark.parametrize(
    ("broken", "seeds"),
    [
        ("no_rest_after_start", (1127, 1158)),  # restarts within a slot that the process before used
        ("overlapping", range(1, 20)),
        ("turns_taken_early", range(1, 20)),
    ],
)
def test_a_broken_slot_rule_is_found(broken: str, seeds: range | tuple[int, ...]) -> None:
    violations = [text for seed in seeds if (text := gap_model.schedule(seed, broken)[1])]
    assert violations, f"{broken} was not found in {len(seeds)} schedules"
    assert not any(gap_model.schedule(seed)[1] for seed in seeds)


def test_members_are_dropped_and_taken_back_by_the_rules() -> None:
    dropped = taken_back = 0
    for seed in range(1, 7):
        stats, violation = heal_model.schedule(seed)
        assert not violation, violation
        dropped += stats["dropped"]
        taken_back += stats["taken_back"]
    assert dropped > 6 and taken_back > 6


@pytest.mark.parametrize(("broken", "seeds"), [("keeps_none", (8, 9, 19)), ("forgets", (1, 2))])
def test_a_broken_membership_rule_is_found(broken: str, seeds: range | tuple[int, ...]) -> None:
    assert any(heal_model.schedule(seed, broken)[1] for seed in seeds)
