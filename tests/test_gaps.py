"""The gaps of one instance: precedence, slots and validation, and decisions against a model of the rules."""

from __future__ import annotations

from math import floor, inf

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from harepick.gapping.gaps import BLOCK_ALL, Call, Gap, GapError, Gaps

NUMBER = "+94112345678"


def passed(gaps: Gaps, number: str, *times: float) -> list[bool]:
    """Whether a call to the number passes at each of these times."""
    return [gaps.decide(Call(number), now).passed for now in times]


def test_one_call_a_slot_passes_and_an_unused_slot_is_not_saved_up() -> None:
    gaps = Gaps()
    gaps.set(Gap("radio", 1.0, number=NUMBER, start=10.0), 10.0)
    assert passed(gaps, NUMBER, 9.9, 9.95) == [True, True], "the gap has not started"
    assert passed(gaps, NUMBER, 10.0, 10.5, 10.99, 11.0, 11.1) == [True, False, False, True, False]
    assert passed(gaps, NUMBER, 15.0, 15.1, 15.2) == [True, False, False]
    assert passed(gaps, "+94112345679", 15.0, 15.1) == [True, True]
    decision = gaps.decide(Call(NUMBER), 15.25)
    assert decision.gap == "radio" and decision.retry_after == pytest.approx(0.75)


def test_a_clock_set_back_passes_no_second_call_in_a_slot() -> None:
    gaps = Gaps()
    gaps.set(Gap("g", 1.0, number=NUMBER), 0.0)
    assert passed(gaps, NUMBER, 5.5, 4.5, 3.0, 5.9, 6.0) == [True, False, False, False, True]


def test_a_gap_passes_a_call_at_the_moment_of_its_end() -> None:
    gaps = Gaps()
    gaps.set(Gap("g", BLOCK_ALL, number=NUMBER, end=20.0), 0.0)
    assert passed(gaps, NUMBER, 19.999, 20.0) == [False, True]
    assert [gap.id for gap in gaps.expire(20.0)] == ["g"] and not len(gaps)


def test_a_broader_gap_applies_with_inherit_and_not_without() -> None:
    for inherit, second_passes in ((True, False), (False, True)):
        gaps = Gaps()
        gaps.set(Gap("district", 1.0, prefix="+9411"), 0.0)
        gaps.set(Gap("claim", 1.0, number=NUMBER, inherit=inherit), 0.0)
        assert passed(gaps, "+94119999999", 5.0) == [True], "uses the slot of the district gap"
        assert passed(gaps, NUMBER, 5.1) == [second_passes]
        # A call that the district gap refused has not used the slot of the claim gap.
        assert passed(gaps, NUMBER, 6.0) == [True]
        applicable = [gap.id for gap, _ in gaps.explain(Call(NUMBER), 6.5)]
        assert applicable == (["claim", "district"] if inherit else ["claim"])


def test_a_more_specific_gap_of_interval_0_exempts_a_number() -> None:
    gaps = Gaps()
    gaps.set(Gap("district", BLOCK_ALL, prefix="+94"), 0.0)
    gaps.set(Gap("hospital", 0.0, number="+94110", inherit=False), 0.0)
    assert passed(gaps, "+94110", 1.0, 1.1) == [True, True]
    assert passed(gaps, "+94111", 1.0) == [False]


def test_a_gap_set_again_keeps_its_slot_and_another_interval_starts_new_slots() -> None:
    gaps = Gaps()
    gaps.set(Gap("g", 10.0, number=NUMBER), 0.0)
    assert passed(gaps, NUMBER, 1.0) == [True]
    gaps.set(Gap("g", 10.0, number=NUMBER, reason="again"), 2.0)
    assert passed(gaps, NUMBER, 2.0) == [False] and len(gaps) == 1
    gaps.set(Gap("g", 1.0, number=NUMBER), 3.0)
    assert passed(gaps, NUMBER, 3.0, 3.5, 4.0) == [True, False, True]
    assert gaps.counts()["g"] == (5, 3, 2)


@pytest.mark.parametrize(
    ("key", "gap"),
    [
        ("number", Gap("g", 1.0, number="+94abc")),
        ("number", Gap("g", 1.0, number="+9٤")),
        ("prefix", Gap("g", 1.0, prefix="94")),
        ("prefix", Gap("g", 1.0, prefix="+95", number="+94")),
        ("id", Gap("", 1.0, prefix="+94")),
        ("number, prefix, class and zone", Gap("g", 1.0)),
        ("interval", Gap("g", -1.0, prefix="+94")),
        ("interval", Gap("g", float("nan"), prefix="+94")),
        ("count", Gap("g", 1.0, prefix="+94", count=0)),
        ("end", Gap("g", 1.0, prefix="+94", end=4.0)),
        ("class", Gap("g", 1.0, call_class="fly")),
    ],
)
def test_an_invalid_gap_is_refused_by_its_key_and_changes_nothing(key: str, gap: Gap) -> None:
    gaps = Gaps()
    gaps.set(Gap("g", 7.0, prefix="+94"), 0.0)
    with pytest.raises(GapError) as caught:
        gaps.set(gap, 5.0, ["claim"])
    assert str(caught.value).startswith(key)
    assert gaps.explain(Call("+94"), 5.0)[0][0].interval == 7.0 and len(gaps) == 1


NUMBERS = ["+941", "+942", "+9411", "+9412", "+94111"]


class Model(RuleBasedStateMachine):
    """Compares the decision on every call with a plain implementation of the rules."""

    def __init__(self) -> None:
        super().__init__()
        self.gaps, self.now = Gaps(), 0.0
        self.expected_gaps: dict[str, Gap] = {}
        self.slot: dict[str, int] = {}
        self.passed_in_slot: dict[str, int] = {}

    @rule(
        name=st.sampled_from("abc"),
        interval=st.sampled_from((0.0, 1.0, 2.5, BLOCK_ALL)),
        number=st.sampled_from(("", "+9411", "+94111")),
        prefix=st.sampled_from(("+", "+94", "+941", "+9411")),
        call_class=st.sampled_from(("", "claim")),
        count=st.integers(1, 2),
        inherit=st.booleans(),
    )
    def set_gap(
        self, name: str, interval: float, number: str, prefix: str, call_class: str, count: int, inherit: bool
    ) -> None:
        prefix = "" if number else prefix
        gap = Gap(
            name,
            interval,
            number,
            prefix if prefix != "+" else "+9",
            call_class,
            count=count,
            inherit=inherit,
        )
        old = self.expected_gaps.get(name)
        self.gaps.set(gap, self.now)
        if old is None or old.interval != gap.interval:
            self.slot[name], self.passed_in_slot[name] = -1, 0
        self.expected_gaps[name] = gap

    @rule(name=st.sampled_from("abc"))
    def lift(self, name: str) -> None:
        assert self.gaps.lift(name) == self.expected_gaps.pop(name, None)

    @rule(step=st.sampled_from((0.1, 0.5, 1.0, 4.0, -1.5)))
    def pass_time(self, step: float) -> None:
        self.now = max(0.0, self.now + step)

    @rule(number=st.sampled_from(NUMBERS), call_class=st.sampled_from(("", "claim")))
    def call(self, number: str, call_class: str) -> None:
        applicable = [g for g in self.expected_gaps.values() if g.matches(Call(number, call_class))]
        applicable.sort(key=lambda g: (g.specificity, g.id), reverse=True)
        stop = next((n + 1 for n, g in enumerate(applicable) if not g.inherit), len(applicable))
        passes = True
        for gap in applicable[:stop]:
            if gap.interval in (0.0, inf):
                passes &= gap.interval == 0.0
                continue
            slot = floor(self.now / gap.interval)
            if slot > self.slot[gap.id]:
                self.slot[gap.id], self.passed_in_slot[gap.id] = slot, 0
            passes &= self.passed_in_slot[gap.id] < gap.count
        for gap in applicable[:stop]:
            self.passed_in_slot[gap.id] += passes
        decision = self.gaps.decide(Call(number, call_class), self.now)
        assert decision.passed is passes
        assert decision.passed or decision.retry_after >= 0.0

    @invariant()
    def same_number_of_gaps(self) -> None:
        assert len(self.gaps) == len(self.expected_gaps)


Model.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None, derandomize=True)
TestModel = Model.TestCase
