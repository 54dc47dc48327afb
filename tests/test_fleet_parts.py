"""The rig's parts without I/O: link faults, scenarios, and the checks, each of which must be able to fail."""

from __future__ import annotations

import tomllib
from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harepick.fleet.checks import CHECKS, run_checks
from harepick.fleet.faults import ANY, CLEAR, TOOL, Fault, LinkSchedule, Network
from harepick.fleet.history import Event, Recorder, merge
from harepick.fleet.scenario import Scenario, make_scenario, read_scenario
from harepick.settings import SettingsError

SCENARIOS = sorted((Path(__file__).parent.parent / "deploy" / "scenarios").glob("*.toml"))

# Links


def test_a_partition_separates_groups_but_not_tools_and_other_ends() -> None:
    """A partition must not cut the rig's own client off, nor an end that is in none of its groups."""
    network = Network()
    network.partition([["a", "b"], ["c"]])
    assert network.fault("a", "c").drop and network.fault("c", "b").drop
    assert not network.fault("a", "b").drop
    assert not network.fault(TOOL, "c").drop and not network.fault("c", TOOL).drop
    assert not network.fault("d", "c").drop  # d is in no group
    network.heal()
    assert network.fault("a", "c") is CLEAR


def test_a_fault_holds_in_its_direction_only_and_a_specific_link_takes_precedence() -> None:
    """A fault set for `ANY` must not reach the reverse direction or tools, nor replace a specific link's
    fault."""
    network = Network()
    network.set("a", ANY, Fault(drop=True))
    network.set("a", "b", Fault(delay=0.5))
    assert network.fault("a", "c").drop and not network.fault("c", "a").drop
    assert network.fault("a", "b") == Fault(drop=True, delay=0.5)
    assert network.fault("a", TOOL) is CLEAR
    network.set("a", ANY, CLEAR)
    assert network.fault("a", "b") == Fault(delay=0.5)


FAULTS = st.builds(
    Fault,
    delay=st.floats(0, 0.2),
    jitter=st.floats(0, 0.2),
    rate=st.sampled_from([0.0, 1e4, 1e6]),
    loss=st.sampled_from([0.0, 0.3]),
    duplicate=st.sampled_from([0.0, 0.3]),
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(fault=FAULTS, seed=st.integers(0, 99), gaps=st.lists(st.floats(0, 0.05), min_size=1, max_size=40))
def test_without_reordering_a_lane_keeps_its_order_and_the_same_seed_does_the_same(
    fault: Fault, seed: int, gaps: list[float]
) -> None:
    plays = []
    for _ in range(2):
        lane, now, out = LinkSchedule(Random(seed)), 0.0, []
        for n, gap in enumerate(gaps):
            now += gap
            for passage in lane.deliveries(bytes([n]), now, fault):
                assert passage.due >= now + fault.delay - 1e-9
                out.append((passage.due, passage.data))
        assert out == sorted(out, key=lambda row: row[0])
        assert [d for _, d in out] == sorted(d for _, d in out)
        plays.append(out)
    assert plays[0] == plays[1]


def test_a_schedule_reorders_and_cuts_but_exempts_the_handshake() -> None:
    """A lost or reordered first message would keep connections from opening; a cut must fall on its exact
    byte."""
    schedule = LinkSchedule(Random(1), exempt_messages=1)
    reorder_all = Fault(reorder=1.0)
    first, second = (
        schedule.deliveries(b"hello", 0.0, reorder_all)[0],
        schedule.deliveries(b"x", 0.0, reorder_all)[0],
    )
    assert first.due == 0.0 and second.due > 0.0
    schedule = LinkSchedule(Random(1), exempt_messages=1)
    assert schedule.deliveries(b"hello", 0.0, Fault(loss=1.0)) and not schedule.deliveries(
        b"x", 0.0, Fault(loss=1.0)
    )
    schedule = LinkSchedule(Random(1))
    assert [delivery.data for delivery in schedule.deliveries(b"12345", 0.0, Fault(cut_at=7))] == [b"12345"]
    cut = schedule.deliveries(b"67890", 0.0, Fault(cut_at=7))[0]
    assert cut.data == b"67" and cut.cut
    assert not LinkSchedule(Random(1), exempt_messages=1).deliveries(b"hello", 0.0, Fault(drop=True))


# Scenarios


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda p: p.stem)
def test_every_scenario_is_valid_and_its_timeline_depends_on_the_seed_only(path: Path) -> None:
    """Guards the scenarios in `deploy/scenarios` against invalid keys, and against timelines that can't be
    repeated."""
    scenario = read_scenario(str(path))
    assert scenario.timeline(3) == scenario.timeline(3)
    assert all(step.at <= scenario.seconds for step in scenario.timeline(3))
    assert len(scenario.checks) >= 7
    drawn = any(isinstance(row["at"], tuple) for row in scenario.faults)
    assert not drawn or scenario.timeline(3) != scenario.timeline(4)


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("instances = 0", "instances"),
        ("instances = 2.5", "instances"),
        ("instance = 3", "instance"),
        ("relay_servers = 1", "relay_servers"),
        ("[load]\nskew = [1, 2]", "load.skew"),
        ('[load.numbers]\n"94" = 1', "load.numbers.94"),
        ("[[load.burst]]\nat = 1\nfor = 2", "load.burst[0].for"),
        ('[[fault]]\nkind = "earthquake"\nat = 1', "fault[0].kind"),
        ('[[fault]]\nkind = "kill"\nwhom = "z"\nat = 1\nfor_s = 1', "fault[0].whom"),
        ('[[fault]]\nkind = "kill"\nwhom = "a"\nat = [2, 1]\nfor_s = 1', "fault[0].at"),
        ('[[fault]]\nkind = "kill"\nwhom = "a"\nat = 1', "fault[0].for_s"),
        ('[[fault]]\nkind = "partition"\ngroups = "{a, b}"\nat = 1\nfor_s = 1', "fault[0].groups"),
        ('[[fault]]\nkind = "partition"\ngroups = "{a} | {a}"\nat = 1\nfor_s = 1', "fault[0].groups"),
        ('[[fault]]\nkind = "link"\nfrom = "a"\nto = "b"\nat = 1\nfor_s = 1', "fault[0]"),
        ('[[fault]]\nkind = "link"\nfrom = "a"\nto = "b"\nloss = 2\nat = 1\nfor_s = 1', "fault[0].loss"),
        ('[[fault]]\nkind = "kill_in_change"\nat = 1\nfor_s = 1', "change.every_s"),
        ('[[fault]]\nkind = "server"\nwhom = "a"\nat = 1\nfor_s = 1', "fault[0].whom"),
        ('[[fault]]\nkind = "server"\nmode = "odd"\nat = 1\nfor_s = 1', "fault[0].mode"),
        ("[change]\nsettings = [1]", "change.settings"),
        ("[load]\nfollow = 1", "load.follow"),
        ('[load.callers]\n"10.0.0.1" = 1', "load.callers.10.0.0.1"),
        ('[load.callers]\n"127.0.0.9" = -1', "load.callers.127.0.0.9"),
        ("[checks.no_such]", "checks.no_such"),
        ("[checks.most_out]", "checks.most_out.servers"),
        ("[clock_rate]\na = 9", "clock_rate.a"),
        ("relay_servers = true\n[checks.no_stale_arrival]", "checks.no_stale_arrival"),
    ],
)
def test_an_invalid_scenario_is_refused_with_its_key(text: str, key: str) -> None:
    """A key that is ignored or misread would run another scenario than the one written."""
    with pytest.raises(SettingsError) as caught:
        make_scenario(tomllib.loads(text), "x")
    assert f"setting {key} " in str(caught.value), caught.value


def test_a_rolling_restart_restarts_the_instances_one_after_another() -> None:
    """`gap_s` lies between two restarts; a stop and its start have the same time."""
    scenario: Scenario = make_scenario(
        tomllib.loads('seconds = 9\n[[fault]]\nkind = "rolling_restart"\nat = 1\ngap_s = 3'), "x"
    )
    steps = [(step.at, step.what, step.whom) for step in scenario.timeline(1)]
    assert steps == [
        (start, what, (name,)) for start, name in ((1, "a"), (4, "b"), (7, "c")) for what in ("stop", "start")
    ]


# Checks


def make_event(mono: float, name: str, event: str, **fields: Any) -> Event:
    return Event(mono, name, event, fields)


# A history that satisfies every check.
FLOOR_SETTINGS = {"floor": 2.0, "failed_after": 2.0, "capacity": {"s7": 1.0, "s8": 1.0}}
GOOD_HISTORY = [
    make_event(0.0, "a", "began"),
    make_event(0.1, "rig", "process", what="serving", whom="a"),
    make_event(0.2, "a", "role", role="leader", term=1, stopped=""),
    make_event(0.3, "a", "voters", voters=["a", "b", "c"], index=1),
    make_event(0.4, "b", "voters", voters=[], index=0),
    make_event(0.5, "b", "voters", voters=["a", "b"], index=3),
    make_event(1.0, "a", "adopted", revision=1),
    make_event(1.1, "a", "left", revision=1, call="1", server="s9@1"),
    make_event(1.2, "rig", "lookup", instance="a", answers=1, rcode=0),
    make_event(2.0, "rig", "acked", revision=2, note="n=2"),
    make_event(2.0, "a", "adopted", revision=2),
    make_event(2.1, "a", "left", revision=2, call="2", server="s9@1"),
    make_event(2.1, "rig", "arrived", server="s0", revision=2),
    *[
        make_event(3.0 + n / 10, "a", "order", order=1, machine="server:s0", state=state, version=n + 1)
        for n, state in enumerate(("waiting", "leaving", "out", "back"))
    ],
    make_event(4.0, "a", "adopted", revision=3, index=40, max_out=1, max_out_controllers=1, **FLOOR_SETTINGS),
    make_event(5.2, "rig", "server", server="s7", mode="silent"),
    make_event(8.2, "a", "adopted", revision=4, index=80, max_out=9, max_out_controllers=1, **FLOOR_SETTINGS),
    make_event(8.3, "a", "order", order=5, machine="server:s7", state="leaving", version=30, index=90),
    make_event(8.4, "a", "order", order=5, machine="server:s7", state="back", version=31, index=91),
    *[
        make_event(
            4.1 + n / 10, "a", "order", order=2, machine="controller:b", state=s, version=n + 5, index=n + 50
        )
        for n, s in enumerate(("waiting", "leaving", "out"))
    ],
    make_event(4.2, "b", "handover", stage="handing_over"),
    make_event(4.25, "b", "handover", stage="closed"),
    make_event(4.5, "rig", "lookup", instance="b", answers=1, rcode=2, ready=False),
    make_event(4.8, "a", "order", order=2, machine="controller:b", state="back", version=8, index=60),
    make_event(4.85, "b", "handover", stage="serving"),
    make_event(5.0, "a", "admitted", limit="x"),
    make_event(6.0, "a", "passed", gap="radio", slot=7),
    make_event(7.5, "a", "verdict", verdict=1, kind="failed", subject="s8"),
    make_event(8.0, "b", "left", server="s8@1", revision=9, orders=4),
    make_event(9.0, "rig", "kept", revision=2, note="n=2"),
]
# Every check, with 1.0 for all arguments.
ALL_CHECKS = {name: dict.fromkeys(check.arguments, 1.0) for name, check in CHECKS.items()}
# Events that make `GOOD_HISTORY` violate one check; the last one must be in the violation's sequence.
VIOLATIONS = [
    ("no_stale_act", make_event(2.5, "a", "left", revision=1, call="3", server="s9@1")),
    ("no_stale_arrival", make_event(2.5, "rig", "arrived", server="s0", revision=1)),
    ("no_ack_lost", make_event(3.0, "rig", "acked", revision=3, note="n=3")),
    ("no_ack_lost", make_event(9.0, "rig", "kept", revision=4, note="n=2")),
    ("one_answer", make_event(3.0, "rig", "lookup", instance="a", answers=0, rcode=-1)),
    ("one_answer", make_event(3.0, "rig", "lookup", instance="a", answers=2, rcode=0)),
    ("one_leader_a_term", make_event(3.0, "b", "role", role="leader", term=1, stopped="")),
    ("complete", make_event(3.0, "a", "left", revision=2, left_out=7, server="s9@1")),
    ("complete", make_event(3.0, "rig", "process", what="serving", whom="b")),
    ("no_crash", make_event(3.0, "rig", "process", what="ended", whom="a", code=1)),
    ("no_crash", make_event(3.0, "a", "role", role="follower", term=1, stopped="the disk failed")),
    ("most_out", make_event(3.25, "a", "order", order=2, machine="server:s1", state="leaving", version=3)),
    ("most_out", make_event(3.35, "b", "order", order=9, machine="server:s1", state="waiting", version=4)),
    ("no_fresh_to_out", make_event(3.25, "a", "left", server="s0@1", revision=2, orders=3)),
    ("no_fresh_to_out", make_event(3.25, "rig", "arrived", server="s0", revision=2)),
    ("no_fresh_to_out", make_event(3.25, "a", "left", server="s1@1", revision=2, orders=1)),
    ("no_fresh_from_out", make_event(4.5, "b", "left", revision=3, server="s9@1", orders=8)),
    ("handover", make_event(4.5, "rig", "lookup", instance="b", answers=1, rcode=2, ready=True)),
    (
        "within_plan",
        [
            make_event(6.5, "a", "order", order=3, machine="server:s6", state="leaving", version=9, index=70),
            make_event(6.6, "a", "adopted", revision=4, index=71, max_out=0, max_out_controllers=1),
            make_event(6.7, "a", "order", order=3, machine="server:s6", state="back", version=10, index=72),
            make_event(6.9, "a", "order", order=4, machine="server:s6", state="back", version=12, index=74),
            make_event(
                6.8, "a", "order", order=4, machine="server:s6", state="leaving", version=11, index=73
            ),
        ],
    ),
    ("voters_kept", make_event(3.05, "a", "voters", voters=["a", "c"], index=3)),
    ("voters_kept", make_event(3.05, "a", "voters", voters=["c"], index=9)),
    (
        "above_floor",
        [
            make_event(6.4, "a", "order", order=3, machine="server:s8", state="leaving", version=9, index=70),
            make_event(6.5, "a", "order", order=3, machine="server:s8", state="back", version=10, index=71),
            make_event(
                6.8, "a", "order", order=4, machine="server:s7", state="leaving", version=11, index=73
            ),
        ],
    ),
    ("verdict_staleness", make_event(8.9, "b", "left", server="s8@1", revision=9, orders=4)),
    ("concurrency", [make_event(6.2 + n / 100, "rig", "arrived", server="s1", revision=9) for n in range(2)]),
    ("one_pass_a_slot", make_event(6.1, "b", "passed", gap="radio", slot=7)),
    ("admissions", [make_event(5.5 + n / 100, "b", "admitted", limit="x") for n in range(2)]),
    ("admissions_by_caller", [make_event(5.5 + n / 100, "b", "admitted", limit="x@u") for n in range(3)]),
]


def test_a_good_history_passes_every_check() -> None:
    """A check that finds a violation in a correct history would make the rig's results useless."""
    _, counts, violations = run_checks(GOOD_HISTORY, ALL_CHECKS)
    assert set(counts) == set(CHECKS) and not any(counts.values()), violations


@pytest.mark.parametrize(
    ("check", "more"), VIOLATIONS, ids=[f"{c}-{n}" for n, (c, _) in enumerate(VIOLATIONS)]
)
def test_each_check_finds_a_violation_of_its_rule_and_shows_it(check: str, more: Event | list[Event]) -> None:
    """A check that can't fail shows nothing. Only the check in question may fail, and must show the event."""
    extra = more if isinstance(more, list) else [more]
    events = sorted([*GOOD_HISTORY, *extra], key=lambda event: event.mono)
    _, counts, violations = run_checks(events, ALL_CHECKS)
    assert counts[check] >= 1
    assert any(violation.check == check and extra[-1] in violation.events for violation in violations)
    assert {name for name, count in counts.items() if count} == {check}


def test_a_stale_act_is_shown_with_its_adoption_and_the_first_acknowledgement_it_missed() -> None:
    """With two later revisions acknowledged, the violation must name the first one."""
    act = make_event(2.5, "a", "left", revision=1, call="3", server="s9@1")
    later = make_event(2.3, "rig", "acked", revision=3, note="n=3")
    events = sorted([*GOOD_HISTORY, act, later], key=lambda event: event.mono)
    _, _, violations = run_checks(events, {"no_stale_act": {}})
    (violation,) = violations
    assert [e.event for e in violation.events] == ["adopted", "acked", "left"]
    assert violation.events[1]["revision"] == 2, "not the first acknowledgement that it missed"


def test_a_look_up_at_an_instance_that_was_down_is_not_judged() -> None:
    """An instance that the rig killed can't answer: a missing answer is no violation then."""
    outage = [
        make_event(3.0, "rig", "process", what="kill", whom="a"),
        make_event(3.5, "rig", "lookup", instance="a", answers=0, rcode=-1),
        make_event(6.0, "rig", "process", what="serving", whom="a"),
    ]
    figures, counts, _ = run_checks([*GOOD_HISTORY[:10], *outage], {"one_answer": {}})
    assert counts["one_answer"] == 0 and figures["judged"] == 0 and figures["lookups"] == 2


def test_recorded_histories_are_merged_in_order_of_time(tmp_path: Path) -> None:
    """Also with a missing file, and an incomplete last line left by a process killed while it wrote."""
    one, two = Recorder(tmp_path / "a.jsonl", "a"), Recorder(tmp_path / "b.jsonl", "b")
    for n in range(100):
        (one, two)[n % 2].note("left", mono=100.0 - n, revision=n)
    one.close()
    two.close()
    with (tmp_path / "a.jsonl").open("ab") as file:
        file.write(b'{"half a li')  # an incomplete line
    events = merge([tmp_path / "a.jsonl", tmp_path / "b.jsonl", tmp_path / "missing.jsonl"])
    assert [e["revision"] for e in events] == list(range(99, -1, -1))
    assert {e.name for e in events} == {"a", "b"}
