"""Automatic gaps: the detector, the policy and its settings without I/O, and a fleet that sets one."""

from __future__ import annotations

import tomllib
from math import exp
from pathlib import Path

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harepick.fleet.runner import ScenarioRunner
from harepick.fleet.scenario import make_scenario
from harepick.gapping.auto_gaps import (
    HOLD_DEMAND,
    RELAX_STEPS,
    AutoGaps,
    AutoGapSettings,
    failed_rate_key,
    sum_call_rates,
)
from harepick.gapping.detector import AVERAGING_TIME_S, RESCALE_AFTER, Detector
from harepick.settings import SettingsError, read_operator_file, read_store_config

HOT_NUMBER, OTHER_NUMBER = "+94112345678", "+94551112222"
STORE_CONFIG = '[[upstream]]\nname = "s0"\naddress = "127.0.0.1:1"\n'


# The detector


# Guards against a rate that is overestimated, which would gap a number that few call, and against a heavy
# number that the bounded table drops.
@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    calls=st.lists(st.tuples(st.floats(0.0, 3.0), st.integers(0, 30)), min_size=1, max_size=200),
    capacity=st.integers(2, 8),
)
def test_a_rate_is_never_overestimated_and_no_heavy_number_is_lost(
    calls: list[tuple[float, int]], capacity: int
) -> None:
    detector, now = Detector(capacity), 5.0
    weights: dict[str, float] = {}  # the true ones
    for elapsed, n in calls:
        now += elapsed
        weights = {number: weight * exp(-elapsed / AVERAGING_TIME_S) for number, weight in weights.items()}
        number = f"+{n}"
        weights[number] = weights.get(number, 0.0) + 1.0
        detector.count_offered(number, now)
        assert len(detector) <= capacity
    total = sum(weights.values())
    for number, weight in weights.items():
        rate = detector.rate(number, now)[0] * AVERAGING_TIME_S
        assert rate <= weight * (1 + 1e-6) + 1e-9
        assert rate >= weight - total / capacity - 1e-6, "underestimates more than Space-Saving may"


def test_many_numbers_called_once_make_none_heavy_and_hide_no_heavy_one() -> None:
    detector, now = Detector(64), 0.0
    for n in range(20_000):  # 1,000 calls per second, one in twenty to the hot number
        now = n / 1000
        number = HOT_NUMBER if n % 20 == 0 else f"+9{n:09d}"
        detector.count_offered(number, now)
        detector.count_ended(number, n % 40 == 0, now)
    rates = detector.heaviest(now, 5.0)
    assert rates.keys() == {HOT_NUMBER}
    offered, failed = rates[HOT_NUMBER]
    assert 30 < offered < 55 and failed == pytest.approx(offered / 2, rel=0.3)
    # Long after the weights got a new reference time.
    later = now + 3 * RESCALE_AFTER * AVERAGING_TIME_S
    detector.count_offered(HOT_NUMBER, later)
    assert detector.rate(HOT_NUMBER, later)[0] == pytest.approx(1 / AVERAGING_TIME_S, rel=0.01)


# The policy

SETTINGS = AutoGapSettings(per_s=40.0, failing=0.5, after=2.0, interval=1.0, ttl=10.0)


class LeaderModel:
    """A simulated leader: applies the proposals of the policy and ends gaps after their time to live."""

    def __init__(self, settings: AutoGapSettings = SETTINGS) -> None:
        self.settings, self.policy, self.now = settings, AutoGaps(), 0.0
        self.gaps: dict[str, tuple[float, float]] = {}  # number -> interval, when it was set or renewed
        self.proposals: list[tuple[float, str, float]] = []  # time, number, interval

    def run(
        self,
        seconds: float,
        rates: dict[str, tuple[float, float]],
        configured_numbers: frozenset[str] = frozenset(),
    ) -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += 0.1
            self.gaps = {
                name: gap for name, gap in self.gaps.items() if self.now - gap[1] < self.settings.ttl
            }
            active_gaps = {number: interval for number, (interval, _) in self.gaps.items()}
            for proposal in self.policy.decide(
                self.settings, rates, active_gaps, configured_numbers, self.now
            ):
                self.gaps[proposal.number] = (proposal.interval, self.now)
                self.proposals.append((round(self.now, 1), proposal.number, proposal.interval))


def test_a_gap_starts_only_after_high_demand_and_many_failures_have_lasted() -> None:
    leader = LeaderModel()
    leader.run(20.0, {HOT_NUMBER: (39.0, 39.0), OTHER_NUMBER: (500.0, 100.0)})
    assert not leader.gaps, "demand below the rate, or too few failures"
    leader.run(1.9, {HOT_NUMBER: (60.0, 40.0)})
    leader.run(0.2, {HOT_NUMBER: (60.0, 20.0)})  # few failures for a moment: the time starts again
    leader.run(1.9, {HOT_NUMBER: (60.0, 40.0)})
    assert not leader.gaps
    leader.run(0.3, {HOT_NUMBER: (60.0, 40.0)})
    assert leader.gaps.keys() == {HOT_NUMBER} and leader.gaps[HOT_NUMBER][0] == 1.0


def test_a_gap_lasts_as_long_as_demand_then_is_relaxed_in_steps_and_ends() -> None:
    leader = LeaderModel()
    leader.run(3.0, {HOT_NUMBER: (60.0, 60.0)})
    leader.run(60.0, {HOT_NUMBER: (60.0, 0.0)})  # calls succeed now because of the gap
    assert leader.gaps[HOT_NUMBER][0] == 1.0 and 10 <= len(leader.proposals) <= 14, (
        "renewed now and then, not at each evaluation"
    )
    leader.run(60.0, {HOT_NUMBER: (HOLD_DEMAND * 40.0 + 1, 0.0)})
    assert leader.gaps[HOT_NUMBER][0] == 1.0, "between the two bounds nothing changes"
    leader.proposals.clear()
    leader.run(60.0, {HOT_NUMBER: (5.0, 0.0)})
    assert [interval for *_, interval in leader.proposals] == [1.0 / 2**n for n in range(1, RELAX_STEPS + 1)]
    assert not leader.gaps and leader.proposals[-1][0] - leader.proposals[0][0] > 15.0
    # The whole interval applies again at once if demand returns while the gap is relaxed.
    leader.run(3.0, {HOT_NUMBER: (60.0, 60.0)})
    leader.run(15.0, {HOT_NUMBER: (5.0, 0.0)})
    assert leader.gaps[HOT_NUMBER][0] < 1.0
    leader.run(0.3, {HOT_NUMBER: (60.0, 0.0)})
    assert leader.gaps[HOT_NUMBER][0] == 1.0


def test_demand_that_varies_around_the_threshold_neither_ends_nor_relaxes_the_gap() -> None:
    leader = LeaderModel()
    for _ in range(30):
        leader.run(2.5, {HOT_NUMBER: (41.0, 41.0)})
        leader.run(2.5, {HOT_NUMBER: (38.0, 38.0)})
    assert HOT_NUMBER in leader.gaps and {interval for *_, interval in leader.proposals} == {1.0}


def test_a_gap_that_an_operator_lifts_is_not_set_again_until_demand_has_fallen() -> None:
    leader = LeaderModel()
    leader.run(4.0, {HOT_NUMBER: (60.0, 60.0)})
    del leader.gaps[HOT_NUMBER]
    leader.run(30.0, {HOT_NUMBER: (60.0, 60.0)})
    assert not leader.gaps
    leader.run(1.0, {HOT_NUMBER: (10.0, 10.0)})
    leader.run(3.0, {HOT_NUMBER: (60.0, 60.0)})
    assert HOT_NUMBER in leader.gaps
    leader.run(11.0, {HOT_NUMBER: (60.0, 60.0)}, configured_numbers=frozenset({HOT_NUMBER}))
    assert not leader.gaps, "a configured gap takes precedence"


def test_a_new_leader_continues_from_the_active_gaps() -> None:
    leader = LeaderModel()
    leader.run(4.0, {HOT_NUMBER: (60.0, 60.0)})
    leader.run(15.0, {HOT_NUMBER: (1.0, 0.0)})
    relaxed = leader.gaps[HOT_NUMBER][0]
    assert relaxed < 1.0
    leader.policy, count_before = AutoGaps(), len(leader.proposals)
    # A new leader counts the time to live of verdicts from its election.
    leader.gaps = {number: (interval, leader.now) for number, (interval, _) in leader.gaps.items()}
    leader.run(1.0, {})  # no instance has reported demand yet
    assert leader.gaps[HOT_NUMBER][0] == relaxed and len(leader.proposals) == count_before
    leader.run(60.0, {HOT_NUMBER: (1.0, 0.0)})
    assert not leader.gaps and leader.proposals[-1][2] == 1.0 / 2**RELAX_STEPS


def test_reported_call_rates_are_summed_over_instances() -> None:
    demands = {
        "a": {HOT_NUMBER: 30.0, failed_rate_key(HOT_NUMBER): 20.0, "appeal": 5.0},
        "b": {HOT_NUMBER: 20.0, "x@10.0.0.1": 1.0},
    }
    assert sum_call_rates(demands) == {HOT_NUMBER: (50.0, 20.0)}


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[autogap]\nfailing = 0.5", "autogap.per_s"),
        ("[autogap]\nper_s = 0", "autogap.per_s"),
        ("[autogap]\nper_s = 5\nfailing = 2", "autogap.failing"),
        ("[autogap]\nper_s = 5\nper_m = 2", "autogap.per_m"),
        ("[autogap]\nper_s = 5\nact = 1", "autogap.act"),
        ("autogap = 3", "autogap"),
    ],
)
def test_invalid_settings_are_refused_by_their_key(text: str, key: str) -> None:
    with pytest.raises(SettingsError) as caught:
        read_store_config(text + "\n" + STORE_CONFIG if text[0] != "[" else STORE_CONFIG + text)
    assert f"setting {key} " in str(caught.value), caught.value


def test_settings_are_read_and_need_a_store(tmp_path: Path) -> None:
    text = STORE_CONFIG + "[autogap]\nper_s = 40\nttl_s = 5\nact = false\n"
    assert read_store_config(text).autogap == AutoGapSettings(40.0, ttl=5.0, act=False)
    (tmp_path / "x.toml").write_text('[enum]\nlisten = "127.0.0.1:1"\n' + text)
    with pytest.raises(SettingsError, match="autogap"):
        read_operator_file(str(tmp_path / "x.toml"))


# The fleet

SCENARIO = """
instances = 3
servers = 2
lease_ms = 1000
seconds = 18.0
busy = "+94112345678"
settings = "[autogap]\\nper_s = 40.0\\nafter_s = 0.5\\ninterval_s = 0.5\\nttl_s = 1.5\\n"
[load]
rate = 30.0
numbers = { "+94112345678" = 1, "+9455" = 1 }
[[load.burst]]
at = 2.0
for_s = 6.0
times = 7.0
[[fault]]
kind = "kill"
whom = "leader"
at = 5.0
for_s = 1.0
[checks]
one_pass_a_slot = { most = 1 }
one_answer = {}
one_leader_a_term = {}
complete = {}
no_crash = {}
"""


# Before the kill is recorded: a look-up sent then may still be unanswered when the process ends.
LOOKUP_MARGIN_S = 0.1
RETURN_BOUND_S = 2.5  # from the start of serving: a leader's election (1.5 s) and a lease (1 s)


@pytest.mark.fleet
def test_the_fleet_sets_and_ends_a_gap_on_a_number_whose_calls_fail(tmp_path: Path) -> None:
    report = anyio.run(ScenarioRunner(make_scenario(tomllib.loads(SCENARIO), "autogap"), 1, tmp_path).run)
    line = report.line()
    assert report.ok, (
        line,
        [
            (violation.why, [event.as_row(report.start) for event in violation.events])
            for violation in report.kept_violations
        ],
    )
    timed_events = [(event.mono - report.start, event) for event in report.events]
    set_at = [at for at, event in timed_events if event.event == "verdict" and event["kind"] == "gapped"]
    assert set_at and 2.0 < set_at[0] < 5.0
    assert all(event["subject"] == "+94112345678" for _, event in timed_events if event.event == "verdict")
    ended_at = [at for at, event in timed_events if event.event == "verdict_lifted"]
    assert ended_at and ended_at[-1] > 8.0, "the gap ended while demand was high"
    passed = [at for at, event in timed_events if event.event == "passed" and 4.0 < at < 8.0]
    assert 3 <= len(passed) <= 9, "one per slot of 0.5 s over all instances"
    (killed_at, killed), *_ = [
        (at, event["whom"])
        for at, event in timed_events
        if event.event == "process" and event["what"] == "kill"
    ]
    adopted_at = [
        at
        for at, event in timed_events
        if event.event == "adopted" and event.name == killed and at > killed_at
    ]
    serving_at = [
        at
        for at, event in timed_events
        if event.event == "process" and event["what"] == "serving" and at > killed_at
    ]
    assert adopted_at and adopted_at[0] < serving_at[0] + RETURN_BOUND_S, "the killed instance did not return"
    # The killed instance's own callers are not served until it has adopted the configuration again.
    lookups = [
        event
        for at, event in timed_events
        if event.event == "lookup" and event["prefix"] == "+9455" and set_at[0] + 0.2 < at
        if event["instance"] != killed or not killed_at - LOOKUP_MARGIN_S < at < adopted_at[0]
    ]
    assert lookups and sum(event["rcode"] == 0 for event in lookups) > 0.95 * len(lookups), (
        "look-ups of other numbers failed"
    )
