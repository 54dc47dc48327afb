"""Limits and verdicts of the whole fleet: allocation, policy, token buckets and verdicts, without I/O."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harepick.counters import Counters
from harepick.fleet.limits.caller_buckets import CallerBuckets
from harepick.fleet.limits.limit_buckets import Bucket, Limit, LimitBuckets, in_networks
from harepick.fleet.limits.manager import LimitInputs, LimitManager
from harepick.fleet.limits.policy import (
    BASE_SHARE,
    MAX_NAMED,
    RESERVE,
    LimitFleetState,
    budgets,
    steps,
    targets,
    whole_targets,
)
from harepick.fleet.limits.screen import FleetScreen
from harepick.fleet.limits.settings import VerdictSettings
from harepick.fleet.limits.shares import RefusedSplitError, ReleaseOwed, Shares, Split
from harepick.fleet.limits.verdicts import BLOCKED, FAILED, IssueVerdict, LiftVerdict, Verdicts
from harepick.log import Log
from harepick.settings import SettingsError, read_operator_file, read_store_config
from harepick.store.state_machine import Envelope, Put, Refused, StateMachine, StepApplied, encode

NAMES = ("a", "b", "c")
LIVE = frozenset(NAMES)


def fleet_state(
    demand: dict[str, float], live: frozenset[str] = LIVE, settled: bool = True
) -> LimitFleetState:
    rows = {name: {"x": d} for name, d in demand.items()}
    return LimitFleetState("a", 1, live, rows, lambda index: [] if settled else ["b"])


def decide(shares: Shares, budgets: dict[str, float], observed: LimitFleetState) -> Any:
    """The first step that is due, or None."""
    return next(iter(steps(shares, budgets, observed)), None)


def settle(shares: Shares, observed: LimitFleetState, budget: float = 90.0, max_steps: int = 30) -> list[Any]:
    steps: list[Any] = []
    while (step := decide(shares, {"x": budget}, observed)) is not None:
        shares.apply(len(steps) + 1, step)
        steps.append(step)
        assert len(steps) < max_steps, "the policy never stops proposing steps"
    return steps


# Shares

Proposal = tuple[str, dict[str, float]]
PROPOSED_SHARES = st.dictionaries(st.sampled_from("abcd"), st.floats(0, 60), max_size=4)
PROPOSALS: st.SearchStrategy[list[Proposal]] = st.lists(
    st.tuples(st.sampled_from(("split", "split", "settle")), PROPOSED_SHARES), max_size=30
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(steps=PROPOSALS)
def test_ceilings_never_exceed_the_budget_whatever_is_proposed(steps: list[Proposal]) -> None:
    shares = Shares()
    for index, (kind, wanted) in enumerate(steps, 1):
        known = shares.get("x")
        before = shares.dump()
        step = (
            Split("x", 100.0, wanted, known.version, 0)
            if kind == "split"
            else ReleaseOwed("x", known.version)
        )
        try:
            shares.apply(index, step)
        except RefusedSplitError:
            assert shares.dump() == before
        known = shares.get("x")
        assert sum(known.ceiling(name) for name in "abcd") <= 100.0 * (1 + 1e-6)
        for name in "abcd":  # what was taken from an instance counts until its release
            if kind == "split":
                assert known.ceiling(name) >= before.limits.get("x", known).ceiling(name) - 1e-9
    assert Shares(shares.dump()).dump() == shares.dump()


def test_a_reduced_share_is_given_to_others_only_after_its_release() -> None:
    shares = Shares()
    settle(shares, fleet_state({"a": 10.0, "b": 10.0, "c": 10.0}))
    assert shares.get("x").shares == pytest.approx(dict.fromkeys(NAMES, 30.0))
    moving = fleet_state({"a": 90.0}, settled=False)
    settle(shares, moving)
    known = shares.get("x")
    assert known.shares["a"] == pytest.approx(30.0), "it got what others may still spend"
    assert known.owed["b"] == known.owed["c"] == pytest.approx(27.0)
    settle(shares, fleet_state({"a": 90.0}))
    assert shares.get("x").shares == pytest.approx({"a": 84.0, "b": 3.0, "c": 3.0})
    assert not shares.get("x").owed


def test_an_instance_may_regain_its_own_owed_share_without_waiting() -> None:
    shares = Shares()
    settle(shares, fleet_state({"a": 10.0, "b": 10.0, "c": 10.0}))
    settle(shares, fleet_state({"a": 90.0}, settled=False))
    settle(shares, fleet_state({"b": 90.0}, settled=False))
    assert shares.get("x").shares["b"] == pytest.approx(30.0)


def test_shares_of_a_lost_instance_are_reallocated_and_a_removed_limit_is_dropped() -> None:
    shares = Shares()
    settle(shares, fleet_state({}))
    settle(shares, fleet_state({}, live=frozenset("ab")))
    assert shares.get("x").shares == pytest.approx({"a": 45.0, "b": 45.0})
    while step := decide(shares, {}, fleet_state({})):
        shares.apply(99, step)
    assert "x" not in shares


def test_a_smaller_budget_reduces_shares_at_once_and_raises_none_until_released() -> None:
    shares = Shares()
    settle(shares, fleet_state({}))
    settle(shares, fleet_state({}, settled=False), budget=30.0)
    known = shares.get("x")
    assert known.shares == pytest.approx(dict.fromkeys(NAMES, 10.0))
    assert sum(known.owed.values()) == pytest.approx(60.0)
    settle(shares, fleet_state({}), budget=30.0)
    assert not shares.get("x").owed


def test_a_split_for_another_version_or_revision_is_refused() -> None:
    state_machine = StateMachine()
    state_machine.apply(1, encode(Envelope("", 0, Put("x"))))

    def apply(index: int, body: Any) -> Any:
        return state_machine.apply(index, encode(Envelope("", 0, body)))

    assert isinstance(apply(2, Split("x", 10.0, {"a": 10.0}, 0, 1)), StepApplied)
    assert isinstance(apply(3, Split("x", 10.0, {"b": 10.0}, 0, 1)), Refused)
    assert isinstance(apply(4, Split("x", 10.0, {"b": 10.0}, 1, 0)), Refused)
    assert isinstance(apply(5, Split("x", 10.0, {"b": 10.0}, 1, 1)), Refused), "ceilings of 20"
    apply(6, IssueVerdict(FAILED, "s0", "a", 1.0, 5.0))
    copy = StateMachine()
    copy.restore(state_machine.snapshot())
    assert (copy.shares.dump(), copy.verdicts.dump()) == (
        state_machine.shares.dump(),
        state_machine.verdicts.dump(),
    )


@settings(derandomize=True, max_examples=100, deadline=None)
@given(demand=st.dictionaries(st.sampled_from(NAMES), st.floats(0, 1e4)), budget=st.floats(0.1, 1e4))
def test_targets_add_up_to_the_budget_and_keep_a_reserve(demand: dict[str, float], budget: float) -> None:
    found = targets(budget, LIVE, demand)
    assert sum(found.values()) == pytest.approx(budget)
    assert all(share >= RESERVE * budget / 3 * 0.999 for share in found.values())
    assert targets(budget, frozenset(), demand) == {}


# Token buckets


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    share=st.floats(0.1, 50),
    burst=st.floats(0, 3),
    gaps=st.lists(st.floats(0, 0.4), min_size=10, max_size=120),
    new=st.floats(0.0, 50),
)
def test_a_bucket_passes_no_more_than_its_share_and_its_capacity(
    share: float, burst: float, gaps: list[float], new: float
) -> None:
    bucket, now, passed = Bucket(burst), 0.0, []
    bucket.set_share(share, now)
    assert not bucket.has_token(now), "a bucket starts empty"
    for n, gap in enumerate(gaps):
        now += gap
        if n == len(gaps) // 2:
            bucket.set_share(new, now)
        if bucket.has_token(now):
            bucket.take_token()
            passed.append(now)
    high = max(share, new)
    for k, start in enumerate(passed):
        for last in range(k, len(passed)):
            window = passed[last] - start
            assert last - k + 1 <= high * window + max(1.0, high * burst) + 1e-6


def test_a_call_takes_a_token_of_every_limit_that_applies_or_none() -> None:
    buckets = LimitBuckets()
    buckets.configure([Limit("all", 10.0, prefixes=("+94",)), Limit("one", 1.0, prefixes=("+9411",))])
    buckets.set_shares({"all": 10.0, "one": 1.0}, 0.0)
    assert buckets.take_tokens("+94112", "", "", 1.0) == (None, ["all", "one"])
    wait, _ = buckets.take_tokens("+94112", "", "", 1.0)
    assert wait == pytest.approx(1.0)
    statistics = buckets.statistics()
    assert (statistics["all"]["passed"], statistics["all"]["refused"]) == (1, 0)
    assert (statistics["one"]["passed"], statistics["one"]["refused"]) == (1, 1)
    assert sum(buckets.take_tokens("+9455", "", "", 1.0)[0] is None for _ in range(20)) == 9
    assert buckets.take_tokens("+1", "", "", 1.0) == (None, [])


def test_no_call_passes_without_a_share_and_a_changed_limit_keeps_its_tokens() -> None:
    buckets = LimitBuckets()
    buckets.configure([Limit("x", 10.0, prefixes=("+94",))])
    assert buckets.take_tokens("+94", "", "", 5.0)[0] is not None
    buckets.set_shares({"x": 10.0}, 5.0)
    buckets.configure([Limit("x", 10.0, burst_s=0.5, prefixes=("+94",))])
    assert sum(buckets.take_tokens("+94", "", "", 9.0)[0] is None for _ in range(20)) == 5


def test_limits_by_caller_and_class_and_the_demand_rate() -> None:
    limit = Limit("x", 1.0, callers=("10.0.0.0/8",), call_class="look-up")
    assert limit.applies_to("+94", "look-up", "10.1.2.3")
    assert not limit.applies_to("+94", "look-up", "11.1.2.3") and not limit.applies_to(
        "+94", "other", "10.1.2.3"
    )
    assert not limit.applies_to("+94", "look-up", "") and in_networks("::1", ("::/64",))
    buckets = LimitBuckets()
    buckets.configure([limit])
    for n in range(400):
        buckets.take_tokens("+94", "look-up", "10.0.0.1", n / 100)
        if n % 20 == 0:
            rate = buckets.demands(n / 100)["x"]
    assert rate == pytest.approx(100.0, rel=0.1)


# Limits that apply to each caller

CALLS = st.lists(
    st.tuples(
        st.floats(0.0, 0.6), st.sampled_from("uvwxyz"), st.sampled_from((None, None, None, 0.5, 2.0, 8.0))
    ),
    min_size=1,
    max_size=120,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(calls=CALLS, max_callers=st.integers(1, 6))
def test_no_caller_exceeds_its_limit_whatever_other_callers_do(
    calls: list[tuple[float, str, float | None]], max_callers: int
) -> None:
    """Compares the bounded table with unbounded exact buckets, for any table size and changes of the base."""
    table, burst = CallerBuckets(1.0, max_callers), 1.0
    exact: dict[str, Bucket] = {}
    now, base = 0.0, 2.0
    table.set_shares(base, {}, now)

    def cap() -> float:
        return max(1.0, base / BASE_SHARE * burst)

    for elapsed, caller, new_base in calls:
        now += elapsed
        if new_base is not None:
            base = new_base
            table.set_shares(base, {}, now)
        for name in "uvwxyz":  # tokens of each caller in an unbounded table
            if name not in exact:
                exact[name] = Bucket(burst, refilled_at=0.0, share=2.0)
            bucket = exact[name]
            bucket.burst_s = cap() / base
            if new_base is not None:
                bucket.burst_s = max(cap(), 1e9) / base  # refilled at the old share first, then capped
                bucket.set_share(base, now)
                bucket.burst_s = cap() / base
            bucket._refill(now)
            bucket.tokens = min(bucket.tokens, cap())
        if table.has_token(caller, now):
            table.take_token(caller)
            assert exact[caller].tokens >= 1.0 - 1e-6, f"{caller} passed at {now} without a token"
            exact[caller].take_token()
        assert len(table) <= max_callers


def test_a_named_share_adds_to_the_base_and_excess_demand_is_reported() -> None:
    buckets = LimitBuckets()
    buckets.configure([Limit("x", 40.0, burst_s=0.5, each=True)])
    buckets.set_shares({"x@*": 2.0, "x@u": 6.0}, 0.0)
    passed = [0, 0]
    for n in range(400):  # u offers 20 calls per second, v one
        passed[0] += buckets.take_tokens("+94", "", "u", n / 20)[0] is None
        if n % 20 == 0:
            passed[1] += buckets.take_tokens("+94", "", "v", n / 20)[0] is None
            reported = buckets.demands(n / 20)
    assert 8 * 19 - 1 <= passed[0] <= 8 * 20 + 4 and passed[1] >= 19
    assert reported.keys() == {"x@u"} and reported["x@u"] == pytest.approx(20.0, rel=0.2)
    while (found := buckets.take_tokens("+94", "", "u", 20.0))[0] is None:
        pass
    wait, names = found
    assert names == ["x@u"] and wait is not None and 0 < wait <= 1 / 8
    assert buckets.take_tokens("+94", "", "", 20.0) == (None, ["x@unknown"])
    buckets.return_tokens(["x@unknown"])
    assert buckets.statistics()["x"]["callers"] == 3
    buckets.set_shares({}, 21.0)  # no share is left
    assert buckets.take_tokens("+94", "", "v", 30.0)[0] == 1.0


def test_callers_with_the_highest_demand_get_named_shares_without_alternating() -> None:
    shares = Shares()
    demands = {"a": {f"x@u{n}": 10.0 + n for n in range(40)}, "b": {"x@u0": 100.0, "y": 3.0}}
    found = budgets({"x": 20.0, "y": 5.0}, frozenset("x"), shares, demands)
    named = [key for key in found if key.startswith("x@u")]
    assert found["x@*"] == BASE_SHARE * 20.0 and found["y"] == 5.0 and len(named) == MAX_NAMED
    assert named[0] == "x@u0" and set(named) == {"x@u0", *(f"x@u{n}" for n in range(9, 40))}
    assert all(found[key] + found["x@*"] == 20.0 for key in named)
    shares.apply(1, Split("x@u8", 15.0, {"a": 15.0}, 0, 1))
    found = budgets({"x": 20.0, "y": 5.0}, frozenset("x"), shares, demands)
    assert "x@u8" in found and "x@u9" not in found, (
        "a holder with nearly the same demand keeps its named share"
    )


class FakeGaps:
    """Gap screen that refuses calls with a given Retry-After."""

    def __init__(self) -> None:
        self.wait: float | None = 3.0

    def retry_after(self, called_number: str, class_name: str, now: float, source: str = "") -> float | None:
        return self.wait

    def record_outcome(self, called_number: str, succeeded: bool) -> None: ...


def test_the_screen_returns_the_token_if_a_gap_refuses_and_blocks_callers() -> None:
    buckets, gaps = LimitBuckets(), FakeGaps()
    admitted: list[str] = []
    buckets.configure([Limit("x", 1.0, prefixes=("+94",))])
    screen = FleetScreen(buckets, lambda: 1.0, admitted.append)
    buckets.set_shares({"x": 1.0}, 0.0)
    screen.gaps = gaps
    assert screen.retry_after("+94", "", 0.0) == 3.0 and admitted == []
    gaps.wait = None
    assert screen.retry_after("+94", "", 0.0) is None and admitted == ["x"]
    assert screen.retry_after("+94", "", 0.0) is not None
    screen.blocked = ("10.0.0.0/8",)
    assert screen.retry_after("+1", "", 0.0, "10.0.0.1") is not None
    assert screen.retry_after("+1", "", 0.0, "11.0.0.1") is None and screen.blocked_calls == 1


# Verdicts


def test_a_verdict_is_renewed_under_its_id_and_lifted_once() -> None:
    verdicts = Verdicts()
    assert verdicts.apply(1, IssueVerdict(FAILED, "s0", "a", 2.0, 5.0)) == (1, "")
    assert verdicts.apply(2, IssueVerdict(FAILED, "s0", "b", 3.0, 5.0)) == (1, "")
    assert verdicts.apply(3, IssueVerdict(BLOCKED, "10.0.0.0/8", "b", 0.0, 5.0)) == (2, "")
    assert verdicts.subjects(FAILED) == {"s0"} and verdicts.subjects(BLOCKED) == {"10.0.0.0/8"}
    known = verdicts.get(1)
    assert known and (known.origin, known.version, known.index) == ("b", 2, 2)
    assert verdicts.apply(4, LiftVerdict(1)) == (1, "")
    assert verdicts.apply(5, LiftVerdict(1))[0] == 0
    assert verdicts.apply(6, IssueVerdict("mood", "s0", "a", 0.0, 5.0))[0] == 0
    assert verdicts.apply(7, IssueVerdict(FAILED, "s0", "a", 0.0, 0.0))[0] == 0
    assert verdicts.version == 4


UPSTREAM = '[[upstream]]\nname = "s0"\naddress = "127.0.0.1:1"\n'


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ('[[limit]]\nid = "x"\nper_s = 1', "limit[0]"),
        ('[[limit]]\nid = ""\nper_s = 1\nprefix = "+94"', "limit[0].id"),
        ('[[limit]]\nid = "x"\nper_s = -1\nprefix = "+94"', "limit[0].per_s"),
        ('[[limit]]\nid = "x"\nper_s = 1\neach = "callers"', "limit[0].each"),
        ('[[limit]]\nid = "x"\nserver = "s0"\nconcurrent = 1\neach = "caller"', "limit[0].each"),
        (
            "".join(f'[[limit]]\nid = "x{n}"\nper_s = 1\neach = "caller"\n' for n in range(9)),
            "limit[8].each",
        ),
        ('[[limit]]\nid = "x"\nprefix = "+94"', "limit[0].per_s"),
        ('[[limit]]\nid = "x"\nper_s = 1\nprefix = "94"', "limit[0].prefix"),
        ('[[limit]]\nid = "x"\nper_s = 1\nprefixes = ["94"]', "limit[0].prefixes"),
        ('[[limit]]\nid = "x"\nper_s = 1\ncallers = ["10.0.0.1/8"]', "limit[0].callers"),
        ('[[limit]]\nid = "x"\nper_s = 1\nprefix = "+94"\nburst = 1', "limit[0].burst"),
        ('[[limit]]\nid = "x"\nper_s = 1\nprefix = "+94"\n' * 2, "limit[1].id"),
        ("limit = 3", "limit"),
        ("[verdicts]\nttl_s = 0", "verdicts.ttl_s"),
        ("[verdicts]\nfail = 1", "verdicts.fail"),
    ],
)
def test_a_faulty_limit_is_named_in_the_error(text: str, key: str) -> None:
    with pytest.raises(SettingsError) as caught:
        read_store_config((text + "\n" + UPSTREAM) if text[0] != "[" else UPSTREAM + text)
    assert f"setting {key} " in str(caught.value), caught.value


def test_limits_belong_in_the_store_s_configuration(tmp_path: Any) -> None:
    path = tmp_path / "own.toml"
    path.write_text(UPSTREAM + '[[limit]]\nid = "x"\nper_s = 1\nprefix = "+94"\n')
    with pytest.raises(SettingsError, match="setting limit belongs in the store's configuration"):
        read_operator_file(str(path))
    assert read_store_config(path.read_text()).limits == (Limit("x", 1.0, prefixes=("+94",)),)


# Limits on concurrent calls


def test_concurrency_shares_are_whole_numbers_and_move_after_calls_have_ended() -> None:
    shares = Shares()

    def observed(demand: dict[str, float], calls_ended: bool) -> LimitFleetState:
        base = fleet_state(demand)
        return LimitFleetState(
            "a",
            1,
            LIVE,
            base.demands,
            base.unconfirmed_by,
            frozenset({"x"}),
            lambda limit, index: calls_ended,
        )

    settle(shares, observed({"a": 80.0, "b": 10.0, "c": 10.0}, True), budget=7.0)
    held = shares.get("x").shares
    assert sum(held.values()) == 7.0 and all(share == int(share) for share in held.values())
    assert held["a"] >= 5.0
    settle(shares, observed({"c": 80.0}, False), budget=7.0)
    moving = shares.get("x")
    assert moving.shares.get("c", 0.0) <= held["c"], (
        "calls admitted by another instance may still be in progress"
    )
    settle(shares, observed({"c": 80.0}, True), budget=7.0)
    assert shares.get("x").shares["c"] >= 6.0 and not shares.get("x").owed


@settings(derandomize=True, max_examples=100, deadline=None)
@given(demand=st.dictionaries(st.sampled_from(NAMES), st.floats(0, 1e4)), budget=st.integers(0, 500))
def test_whole_targets_add_up_to_the_budget(demand: dict[str, float], budget: int) -> None:
    found = whole_targets(float(budget), LIVE, demand)
    assert sum(found.values()) == budget and all(share == int(share) >= 0 for share in found.values())


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ('server = "s9"\nconcurrent = 4', "server"),
        ('server = "s0"\nconcurrent = 1.5', "concurrent"),
        ('server = "s0"', "concurrent"),
        ('server = "s0"\nconcurrent = 4\nper_s = 1', "per_s"),
        ('concurrent = 4\nprefix = "+94"\nper_s = 1', "server"),
    ],
)
def test_a_faulty_concurrency_limit_is_named_in_the_error(text: str, key: str) -> None:
    with pytest.raises(SettingsError, match=rf"setting limit\[0\]\.{key} "):
        read_store_config(UPSTREAM + f'[[limit]]\nid = "x"\n{text}\n')


def test_at_most_one_step_per_limit_the_largest_deviation_first() -> None:
    shares = Shares()
    for index, name in enumerate("xyz", 1):
        shares.apply(index, Split(name, 90.0, {"a": 30.0, "b": 30.0, "c": 30.0}, 0, 1))
    rows = {"a": {"x": 10.0, "y": 90.0, "z": 1.0}, "b": {"x": 9.0}, "c": {"x": 10.0, "z": 1.0}}
    found = steps(shares, dict.fromkeys("xyz", 90.0), LimitFleetState("a", 1, LIVE, rows, lambda index: []))
    assert [step.limit for step in found] == ["y", "z"], "the deviation of x is too small"
    for index, step in enumerate(found, 4):
        shares.apply(index, step)
    found = steps(shares, dict.fromkeys("xyz", 90.0), LimitFleetState("a", 1, LIVE, rows, lambda index: []))
    assert [type(step) for step in found] == [ReleaseOwed, ReleaseOwed], "owed shares are released first"


class FakeLeader:
    """The parts of a replica that the manager uses: it leads, and its demand changes all the time."""

    def __init__(self) -> None:
        self.settings = SimpleNamespace(replica="a")
        members = [SimpleNamespace(id=name) for name in NAMES]
        raft = SimpleNamespace(membership=SimpleNamespace(members=members))
        self.node = SimpleNamespace(state_machine=StateMachine(), raft=raft, demand={})
        self.index = self.queries = 0

    def leases(self) -> tuple[frozenset[str], Any]:
        return LIVE, lambda index: []

    def demands(self) -> dict[str, dict[str, float]]:
        self.queries += 1
        return {name: {"x": 50.0 if n == self.queries % 3 else 1.0} for n, name in enumerate(NAMES)}

    async def change(self, envelope: Envelope, most: float) -> Any:
        await anyio.sleep(0.001)
        self.index += 1
        return self.node.state_machine.apply(self.index, encode(envelope))

    async def wait_for_change(self, most: float) -> None:
        await anyio.sleep(0.001)

    def may_act(self) -> bool:
        return True

    def change_nowait(self, envelope: Envelope) -> None:
        self.index += 1
        self.node.state_machine.apply(self.index, encode(envelope))


def test_a_verdict_is_lifted_in_time_although_splits_are_always_due() -> None:
    """The lift of a verdict must not wait for splits: with many limits, some split is always due."""
    replica = FakeLeader()
    inputs = LimitInputs(0, (Limit("x", 90.0, prefixes=("+",)),), VerdictSettings(), frozenset(), 2.0)
    manager = LimitManager(replica, LimitBuckets(), lambda: inputs, Counters(), Log(fd=1))  # type: ignore[arg-type]

    async def work() -> None:
        await replica.change(Envelope("", 0, IssueVerdict(FAILED, "s0", "op", 0.0, 0.3)), 1.0)
        with anyio.move_on_after(5.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(manager.run)
                while replica.node.state_machine.verdicts.all:
                    await anyio.sleep(0.02)
                tasks.cancel_scope.cancel()

    anyio.run(work)
    assert not replica.node.state_machine.verdicts.all, "it was never lifted"
    assert replica.node.state_machine.shares.get("x").version > 5, "no share moved, so the test shows nothing"
