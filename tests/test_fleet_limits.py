"""Limits and verdicts of the whole fleet: shares, their rule, the purse and the list, each without I/O."""

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
    FleetState,
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


def sight(demand: dict[str, float], live: frozenset[str] = LIVE, settled: bool = True) -> FleetState:
    rows = {name: {"x": d} for name, d in demand.items()}
    return FleetState("a", 1, live, rows, lambda index: [] if settled else ["b"])


def decide(shares: Shares, budgets: dict[str, float], seen: FleetState) -> Any:
    """The step that is due first."""
    return next(iter(steps(shares, budgets, seen)), None)


def settle(shares: Shares, seen: FleetState, budget: float = 90.0, most: int = 30) -> list[Any]:
    steps: list[Any] = []
    while (step := decide(shares, {"x": budget}, seen)) is not None:
        shares.apply(len(steps) + 1, step)
        steps.append(step)
        assert len(steps) < most, "the rule never settles"
    return steps


# Shares

Kind = tuple[str, dict[str, float]]
WANTED = st.dictionaries(st.sampled_from("abcd"), st.floats(0, 60), max_size=4)
SPLITS: st.SearchStrategy[list[Kind]] = st.lists(
    st.tuples(st.sampled_from(("split", "split", "settle")), WANTED), max_size=30
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(steps=SPLITS)
def test_whatever_is_proposed_the_ceilings_never_exceed_the_budget(steps: list[Kind]) -> None:
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
        for name in "abcd":  # what an instance may still believe to hold stays counted until settled
            if kind == "split":
                assert known.ceiling(name) >= before.limits.get("x", known).ceiling(name) - 1e-9
    assert Shares(shares.dump()).dump() == shares.dump()


def test_what_is_taken_from_one_goes_to_another_only_once_it_is_settled() -> None:
    shares = Shares()
    settle(shares, sight({"a": 10.0, "b": 10.0, "c": 10.0}))
    assert shares.get("x").shares == pytest.approx(dict.fromkeys(NAMES, 30.0))
    moving = sight({"a": 90.0}, settled=False)
    settle(shares, moving)
    known = shares.get("x")
    assert known.shares["a"] == pytest.approx(30.0), "it was given what others may still spend"
    assert known.owed["b"] == known.owed["c"] == pytest.approx(27.0)
    settle(shares, sight({"a": 90.0}))
    assert shares.get("x").shares == pytest.approx({"a": 84.0, "b": 3.0, "c": 3.0})
    assert not shares.get("x").owed


def test_an_instance_may_have_back_what_was_taken_from_it_without_waiting() -> None:
    shares = Shares()
    settle(shares, sight({"a": 10.0, "b": 10.0, "c": 10.0}))
    settle(shares, sight({"a": 90.0}, settled=False))
    settle(shares, sight({"b": 90.0}, settled=False))
    assert shares.get("x").shares["b"] == pytest.approx(30.0)


def test_a_share_comes_back_from_one_that_is_gone_and_a_lifted_limit_is_forgotten() -> None:
    shares = Shares()
    settle(shares, sight({}))
    settle(shares, sight({}, live=frozenset("ab")))
    assert shares.get("x").shares == pytest.approx({"a": 45.0, "b": 45.0})
    while step := decide(shares, {}, sight({})):
        shares.apply(99, step)
    assert "x" not in shares


def test_a_smaller_budget_takes_at_once_and_gives_nothing_until_it_fits() -> None:
    shares = Shares()
    settle(shares, sight({}))
    settle(shares, sight({}, settled=False), budget=30.0)
    known = shares.get("x")
    assert known.shares == pytest.approx(dict.fromkeys(NAMES, 10.0))
    assert sum(known.owed.values()) == pytest.approx(60.0)
    settle(shares, sight({}), budget=30.0)
    assert not shares.get("x").owed


def test_a_split_of_another_version_or_revision_changes_nothing() -> None:
    machine = StateMachine()
    machine.apply(1, encode(Envelope("", 0, Put("x"))))

    def apply(index: int, body: Any) -> Any:
        return machine.apply(index, encode(Envelope("", 0, body)))

    assert isinstance(apply(2, Split("x", 10.0, {"a": 10.0}, 0, 1)), StepApplied)
    assert isinstance(apply(3, Split("x", 10.0, {"b": 10.0}, 0, 1)), Refused)
    assert isinstance(apply(4, Split("x", 10.0, {"b": 10.0}, 1, 0)), Refused)
    assert isinstance(apply(5, Split("x", 10.0, {"b": 10.0}, 1, 1)), Refused), "ceilings of 20"
    apply(6, IssueVerdict(FAILED, "s0", "a", 1.0, 5.0))
    copy = StateMachine()
    copy.restore(machine.snapshot())
    assert (copy.shares.dump(), copy.verdicts.dump()) == (machine.shares.dump(), machine.verdicts.dump())


@settings(derandomize=True, max_examples=100, deadline=None)
@given(demand=st.dictionaries(st.sampled_from(NAMES), st.floats(0, 1e4)), budget=st.floats(0.1, 1e4))
def test_targets_are_the_whole_budget_by_demand_with_a_reserve(
    demand: dict[str, float], budget: float
) -> None:
    found = targets(budget, LIVE, demand)
    assert sum(found.values()) == pytest.approx(budget)
    assert all(share >= RESERVE * budget / 3 * 0.999 for share in found.values())
    assert targets(budget, frozenset(), demand) == {}


# The purse


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    share=st.floats(0.1, 50),
    burst=st.floats(0, 3),
    gaps=st.lists(st.floats(0, 0.4), min_size=10, max_size=120),
    new=st.floats(0.0, 50),
)
def test_a_bucket_passes_no_more_than_its_share_and_its_cap(
    share: float, burst: float, gaps: list[float], new: float
) -> None:
    bucket, now, passed = Bucket(burst), 0.0, []
    bucket.set(share, now)
    assert not bucket.has_token(now), "a bucket begins empty"
    for n, gap in enumerate(gaps):
        now += gap
        if n == len(gaps) // 2:
            bucket.set(new, now)
        if bucket.has_token(now):
            bucket.take_token()
            passed.append(now)
    high = max(share, new)
    for k, start in enumerate(passed):
        for last in range(k, len(passed)):
            window = passed[last] - start
            assert last - k + 1 <= high * window + max(1.0, high * burst) + 1e-6


def test_a_call_takes_a_token_of_each_limit_that_it_meets_or_none() -> None:
    purse = LimitBuckets()
    purse.configure([Limit("all", 10.0, prefixes=("+94",)), Limit("one", 1.0, prefixes=("+9411",))])
    purse.set_shares({"all": 10.0, "one": 1.0}, 0.0)
    assert purse.take_tokens("+94112", "", "", 1.0) == (None, ["all", "one"])
    wait, _ = purse.take_tokens("+94112", "", "", 1.0)
    assert wait == pytest.approx(1.0)
    figures = purse.statistics()
    assert (figures["all"]["passed"], figures["all"]["refused"]) == (1, 0)
    assert (figures["one"]["passed"], figures["one"]["refused"]) == (1, 1)
    assert sum(purse.take_tokens("+9455", "", "", 1.0)[0] is None for _ in range(20)) == 9
    assert purse.take_tokens("+1", "", "", 1.0) == (None, [])


def test_without_a_share_nothing_passes_and_a_changed_limit_keeps_its_tokens() -> None:
    purse = LimitBuckets()
    purse.configure([Limit("x", 10.0, prefixes=("+94",))])
    assert purse.take_tokens("+94", "", "", 5.0)[0] is not None
    purse.set_shares({"x": 10.0}, 5.0)
    purse.configure([Limit("x", 10.0, burst_s=0.5, prefixes=("+94",))])
    assert sum(purse.take_tokens("+94", "", "", 9.0)[0] is None for _ in range(20)) == 5


def test_limits_by_caller_and_class_and_a_demand_that_is_measured() -> None:
    limit = Limit("x", 1.0, callers=("10.0.0.0/8",), call_class="look-up")
    assert limit.applies_to("+94", "look-up", "10.1.2.3")
    assert not limit.applies_to("+94", "look-up", "11.1.2.3") and not limit.applies_to(
        "+94", "other", "10.1.2.3"
    )
    assert not limit.applies_to("+94", "look-up", "") and in_networks("::1", ("::/64",))
    purse = LimitBuckets()
    purse.configure([limit])
    for n in range(400):
        purse.take_tokens("+94", "look-up", "10.0.0.1", n / 100)
        if n % 20 == 0:
            rate = purse.demands(n / 100)["x"]
    assert rate == pytest.approx(100.0, rel=0.1)


# Limits that each caller has for itself

CALLS = st.lists(
    st.tuples(
        st.floats(0.0, 0.6), st.sampled_from("uvwxyz"), st.sampled_from((None, None, None, 0.5, 2.0, 8.0))
    ),
    min_size=1,
    max_size=120,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(calls=CALLS, most=st.integers(1, 6))
def test_a_caller_never_passes_more_than_its_own_whoever_else_comes(
    calls: list[tuple[float, str, float | None]], most: int
) -> None:
    """However small the table is, and however the base moves: against a bucket that forgets nobody."""
    table, burst = CallerBuckets(1.0, most), 1.0
    exact: dict[str, Bucket] = {}
    now, base = 0.0, 2.0
    table.set(base, {}, now)

    def cap() -> float:
        return max(1.0, base / BASE_SHARE * burst)

    for passed, caller, changed in calls:
        now += passed
        if changed is not None:
            base = changed
            table.set(base, {}, now)
        for name in "uvwxyz":  # what each could have saved up, were there room for all
            if name not in exact:
                exact[name] = Bucket(burst, refilled_at=0.0, share=2.0)
            bucket = exact[name]
            bucket.burst_s = cap() / base
            if changed is not None:
                bucket.burst_s = max(cap(), 1e9) / base  # filled at the old share first, then cut
                bucket.set(base, now)
                bucket.burst_s = cap() / base
            bucket._refill(now)
            bucket.tokens = min(bucket.tokens, cap())
        if table.has_token(caller, now):
            table.take_token(caller)
            assert exact[caller].tokens >= 1.0 - 1e-6, f"{caller} passed at {now} without a token"
            exact[caller].take_token()
        assert len(table) <= most


def test_a_caller_by_name_gets_its_share_beside_the_base_and_is_told_of_while_it_wants_more() -> None:
    purse = LimitBuckets()
    purse.configure([Limit("x", 40.0, burst_s=0.5, each=True)])
    purse.set_shares({"x@*": 2.0, "x@u": 6.0}, 0.0)
    passed = [0, 0]
    for n in range(400):  # u wants 20 a second, v one
        passed[0] += purse.take_tokens("+94", "", "u", n / 20)[0] is None
        if n % 20 == 0:
            passed[1] += purse.take_tokens("+94", "", "v", n / 20)[0] is None
            told = purse.demands(n / 20)
    assert 8 * 19 - 1 <= passed[0] <= 8 * 20 + 4 and passed[1] >= 19
    assert told.keys() == {"x@u"} and told["x@u"] == pytest.approx(20.0, rel=0.2)
    while (found := purse.take_tokens("+94", "", "u", 20.0))[0] is None:
        pass
    wait, names = found
    assert names == ["x@u"] and wait is not None and 0 < wait <= 1 / 8
    assert purse.take_tokens("+94", "", "", 20.0) == (None, ["x@unknown"])
    purse.return_tokens(["x@unknown"])
    assert purse.statistics()["x"]["callers"] == 3
    purse.set_shares({}, 21.0)  # nothing is held any more
    assert purse.take_tokens("+94", "", "v", 30.0)[0] == 1.0


def test_the_greediest_callers_are_shared_out_by_name_and_two_alike_do_not_take_turns() -> None:
    shares = Shares()
    demands = {"a": {f"x@u{n}": 10.0 + n for n in range(40)}, "b": {"x@u0": 100.0, "y": 3.0}}
    found = budgets({"x": 20.0, "y": 5.0}, frozenset("x"), shares, demands)
    named = [key for key in found if key.startswith("x@u")]
    assert found["x@*"] == BASE_SHARE * 20.0 and found["y"] == 5.0 and len(named) == MAX_NAMED
    assert named[0] == "x@u0" and set(named) == {"x@u0", *(f"x@u{n}" for n in range(9, 40))}
    assert all(found[key] + found["x@*"] == 20.0 for key in named)
    shares.apply(1, Split("x@u8", 15.0, {"a": 15.0}, 0, 1))
    found = budgets({"x": 20.0, "y": 5.0}, frozenset("x"), shares, demands)
    assert "x@u8" in found and "x@u9" not in found, "it holds a share, and wants nearly as much"


class Gaps:
    """Refuses what it is told to."""

    def __init__(self) -> None:
        self.wait: float | None = 3.0

    def retry_after(self, called: str, class_name: str, now: float, source: str = "") -> float | None:
        return self.wait

    def ended(self, called: str, good: bool) -> None: ...


def test_the_screen_gives_a_token_back_if_a_gap_refuses_and_blocks_callers() -> None:
    purse, gaps = LimitBuckets(), Gaps()
    admitted: list[str] = []
    purse.configure([Limit("x", 1.0, prefixes=("+94",))])
    screen = FleetScreen(purse, lambda: 1.0, admitted.append)
    purse.set_shares({"x": 1.0}, 0.0)
    screen.gaps = gaps
    assert screen.retry_after("+94", "", 0.0) == 3.0 and admitted == []
    gaps.wait = None
    assert screen.retry_after("+94", "", 0.0) is None and admitted == ["x"]
    assert screen.retry_after("+94", "", 0.0) is not None
    screen.blocked = ("10.0.0.0/8",)
    assert screen.retry_after("+1", "", 0.0, "10.0.0.1") is not None
    assert screen.retry_after("+1", "", 0.0, "11.0.0.1") is None and screen.blocked_calls == 1


# Verdicts


def test_a_verdict_is_renewed_under_its_number_and_ends_once() -> None:
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


SHARED = '[[upstream]]\nname = "s0"\naddress = "127.0.0.1:1"\n'


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
def test_a_faulty_limit_names_its_key(text: str, key: str) -> None:
    with pytest.raises(SettingsError) as caught:
        read_store_config((text + "\n" + SHARED) if text[0] != "[" else SHARED + text)
    assert f"setting {key} " in str(caught.value), caught.value


def test_what_holds_for_the_fleet_needs_a_store(tmp_path: Any) -> None:
    path = tmp_path / "own.toml"
    path.write_text(SHARED + '[[limit]]\nid = "x"\nper_s = 1\nprefix = "+94"\n')
    with pytest.raises(SettingsError, match="setting limit belongs in the store's configuration"):
        read_operator_file(str(path))
    assert read_store_config(path.read_text()).limits == (Limit("x", 1.0, prefixes=("+94",)),)


# Calls under way


def test_room_at_a_server_is_shared_in_whole_ones_and_rests_before_it_moves() -> None:
    shares = Shares()

    def seen(demand: dict[str, float], rested: bool) -> FleetState:
        base = sight(demand)
        return FleetState(
            "a", 1, LIVE, base.demands, base.waits, frozenset({"x"}), lambda limit, index: rested
        )

    settle(shares, seen({"a": 80.0, "b": 10.0, "c": 10.0}, True), budget=7.0)
    held = shares.get("x").shares
    assert sum(held.values()) == 7.0 and all(share == int(share) for share in held.values())
    assert held["a"] >= 5.0
    settle(shares, seen({"c": 80.0}, False), budget=7.0)
    moving = shares.get("x")
    assert moving.shares.get("c", 0.0) <= held["c"], "calls of another may still be under way there"
    settle(shares, seen({"c": 80.0}, True), budget=7.0)
    assert shares.get("x").shares["c"] >= 6.0 and not shares.get("x").owed


@settings(derandomize=True, max_examples=100, deadline=None)
@given(demand=st.dictionaries(st.sampled_from(NAMES), st.floats(0, 1e4)), budget=st.integers(0, 500))
def test_whole_targets_are_the_whole_budget(demand: dict[str, float], budget: int) -> None:
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
def test_a_faulty_limit_on_calls_under_way_names_its_key(text: str, key: str) -> None:
    with pytest.raises(SettingsError, match=rf"setting limit\[0\]\.{key} "):
        read_store_config(SHARED + f'[[limit]]\nid = "x"\n{text}\n')


def test_each_look_proposes_one_step_a_limit_and_what_is_furthest_off_first() -> None:
    shares = Shares()
    for index, name in enumerate("xyz", 1):
        shares.apply(index, Split(name, 90.0, {"a": 30.0, "b": 30.0, "c": 30.0}, 0, 1))
    rows = {"a": {"x": 10.0, "y": 90.0, "z": 1.0}, "b": {"x": 9.0}, "c": {"x": 10.0, "z": 1.0}}
    found = steps(shares, dict.fromkeys("xyz", 90.0), FleetState("a", 1, LIVE, rows, lambda index: []))
    assert [step.limit for step in found] == ["y", "z"], "x is near enough"
    for index, step in enumerate(found, 4):
        shares.apply(index, step)
    found = steps(shares, dict.fromkeys("xyz", 90.0), FleetState("a", 1, LIVE, rows, lambda index: []))
    assert [type(step) for step in found] == [ReleaseOwed, ReleaseOwed], "what was taken is free first"


class Restless:
    """As much of a replica as the steward asks for: it leads, and demand never comes to rest."""

    def __init__(self) -> None:
        self.settings = SimpleNamespace(replica="a")
        members = [SimpleNamespace(id=name) for name in NAMES]
        raft = SimpleNamespace(membership=SimpleNamespace(members=members))
        self.node = SimpleNamespace(state_machine=StateMachine(), raft=raft, demand={})
        self.index = self.asked = 0

    def leases(self) -> tuple[frozenset[str], Any]:
        return LIVE, lambda index: []

    def demands(self) -> dict[str, dict[str, float]]:
        self.asked += 1
        return {name: {"x": 50.0 if n == self.asked % 3 else 1.0} for n, name in enumerate(NAMES)}

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


def test_a_verdict_ends_in_time_though_there_is_always_a_share_to_move() -> None:
    """A lift waited until no share had to move, and with many of them that was never."""
    replica = Restless()
    facts = LimitInputs(0, (Limit("x", 90.0, prefixes=("+",)),), VerdictSettings(), frozenset(), 2.0)
    steward = LimitManager(replica, LimitBuckets(), lambda: facts, Counters(), Log(fd=1))  # type: ignore[arg-type]

    async def work() -> None:
        await replica.change(Envelope("", 0, IssueVerdict(FAILED, "s0", "op", 0.0, 0.3)), 1.0)
        with anyio.move_on_after(5.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(steward.run)
                while replica.node.state_machine.verdicts.all:
                    await anyio.sleep(0.02)
                tasks.cancel_scope.cancel()

    anyio.run(work)
    assert not replica.node.state_machine.verdicts.all, "it was never lifted"
    assert replica.node.state_machine.shares.get("x").version > 5, "no share moved: the test shows nothing"
