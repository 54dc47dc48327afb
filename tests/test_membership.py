"""Members that are dropped and taken back: the roster and the rule without I/O, and real instances."""

from __future__ import annotations

import tomllib
from dataclasses import replace
from pathlib import Path
from typing import Any

import anyio
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from harepick.fleet.membership.absences import (
    DROPPED,
    LEAVING,
    MOST,
    RETURNING,
    AbsenceList,
    RefusedMemberStateError,
    SetMemberState,
)
from harepick.fleet.membership.policy import (
    Add,
    FleetState,
    Member,
    MembershipSettings,
    Remove,
    decide,
    removal_blocker,
)
from harepick.fleet.runner import Report, ScenarioRunner
from harepick.fleet.scenario import make_scenario
from harepick.settings import SettingsError, read_store_config
from harepick.store.state_machine import Envelope, Refused, StateMachine, StepApplied, encode

NAMES = "abcde"
PLAN = MembershipSettings(drop_after=5.0, keep=3)


def sight(members: str = NAMES, **changes: Any) -> FleetState:
    rows = {name: Member(f"at-{name}", True) for name in members}
    base = FleetState("a", 100.0, True, rows, {}, frozenset(), frozenset())
    return replace(base, **changes)


def steps(roster: AbsenceList, seen: FleetState, plan: MembershipSettings = PLAN) -> list[str]:
    """What the rule does one after another, carried out as the consensus core would."""
    told: list[str] = []
    while (step := decide(roster, plan, seen)) and len(told) < 20:
        match step:
            case SetMemberState(instance, state):
                roster.apply(step)
                told.append(f"{instance} {state or 'present'}")
            case Remove(instance):
                rest = {n: m for n, m in seen.members.items() if n != instance}
                gone = {n: s for n, s in seen.gone.items() if n != instance}
                seen = replace(seen, members=rest, gone=gone)
                told.append(f"remove {instance}")
            case Add(instance, address):
                seen = replace(seen, members={**seen.members, instance: Member(address, False)})
                told.append(f"add {instance} {address}")
    return told


def test_two_of_five_are_dropped_one_after_another_and_no_more() -> None:
    roster = AbsenceList()
    found = steps(roster, sight(gone={"d": 6.0, "e": 7.0}))
    assert found == ["e leaving", "remove e", "e dropped", "d leaving", "remove d", "d dropped"]
    # A third one that is lost stays: with two voters either's loss would stop the store.
    assert not steps(roster, sight("abc", gone={"c": 99.0}))
    assert "2 voters would be left" in removal_blocker("c", PLAN, sight("abc", gone={"c": 99.0}))


def test_nobody_is_dropped_early_at_work_leading_or_where_it_leaves_no_majority_alive() -> None:
    assert not steps(AbsenceList(), sight(gone={"e": 4.9}))
    assert not steps(AbsenceList(), sight(gone={"e": 9.0}), MembershipSettings())
    assert not steps(AbsenceList(), sight(gone={"e": 9.0}, in_maintenance=frozenset("e")))
    assert not steps(AbsenceList(), sight(gone={"e": 9.0}, settled=False))
    assert "no majority" in removal_blocker("e", PLAN, sight(gone={"c": 9.0, "d": 9.0, "e": 9.0}))
    assert removal_blocker("a", PLAN, sight()) == "it leads"


def test_one_that_comes_back_is_added_under_its_old_address_and_votes_again() -> None:
    roster = AbsenceList()
    steps(roster, sight(gone={"e": 6.0}))
    rest = sight("abcd")
    assert not steps(roster, rest), "it has not come back"
    assert steps(roster, replace(rest, rejoining=frozenset("ex"))) == ["e returning", "add e at-e"]
    learner = replace(rest, members={**rest.members, "e": Member("at-e", False)})
    assert not steps(roster, learner), "it learns"
    away = replace(learner, gone={"e": 5.0})
    assert steps(roster, away) == ["e leaving", "remove e", "e dropped"], "it went away again"
    assert steps(roster, replace(rest, rejoining=frozenset("e"))) == ["e returning", "add e at-e"]
    assert steps(roster, sight()) == ["e present"] and not roster.absent


def test_a_leader_lost_between_two_steps_leaves_what_the_next_one_can_end() -> None:
    roster = AbsenceList()
    mark = decide(roster, PLAN, sight(gone={"e": 6.0}))
    assert isinstance(mark, SetMemberState)
    roster.apply(mark)
    assert steps(roster, sight()) == ["e present"], "it is back before it was removed"
    roster.apply(replace_expect(mark, roster))
    assert steps(roster, sight(gone={"c": 6.0, "d": 6.0, "e": 6.0})) == ["e present"], "too many are gone now"
    roster.apply(replace_expect(mark, roster))
    assert steps(roster, sight("abcd")) == ["e dropped"], "removed, and not written down"
    assert steps(roster, sight()) == ["e present"], "added by hand meanwhile"


def replace_expect(mark: SetMemberState, roster: AbsenceList) -> SetMemberState:
    return SetMemberState(mark.instance, mark.state, roster.version, address=mark.address)


def test_the_roster_takes_no_step_that_was_decided_on_another_one_or_out_of_order() -> None:
    machine = StateMachine()

    def apply(mark: SetMemberState) -> object:
        return machine.apply(machine.applied + 1, encode(Envelope("", 0, mark)))

    assert apply(SetMemberState("e", LEAVING, 0, address="at-e")) == StepApplied(1)
    for wrong in (
        SetMemberState("e", DROPPED, 0),
        SetMemberState("e", RETURNING, 1),
        SetMemberState("d", DROPPED, 1),
        SetMemberState("d", "x", 1),
    ):
        assert isinstance(apply(wrong), Refused)
    assert isinstance(apply(SetMemberState("e", DROPPED, 1)), StepApplied)
    copy = StateMachine()
    copy.restore(machine.snapshot())
    assert copy.absences.dump() == machine.absences.dump() and copy.absences.absent[0].address == "at-e"
    roster = AbsenceList()
    for n in range(MOST):
        roster.apply(SetMemberState(f"x{n}", LEAVING, n))
    with pytest.raises(RefusedMemberStateError, match="forget some"):
        roster.apply(SetMemberState("y", LEAVING, MOST))


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("drop_after = 1", "membership.drop_after"),
        ("drop_after_s = -1", "membership.drop_after_s"),
        ("drop_after_s = true", "membership.drop_after_s"),
        ("keep = 2", "membership.keep"),
        ("keep = 3.5", "membership.keep"),
    ],
)
def test_a_faulty_plan_names_its_key(text: str, key: str) -> None:
    shared = '[[upstream]]\nname = "s0"\naddress = "127.0.0.1:1"\n[membership]\n'
    with pytest.raises(SettingsError) as caught:
        read_store_config(shared + text)
    assert f"setting {key} " in str(caught.value), caught.value
    assert read_store_config(shared + "drop_after_s = 60\nkeep = 4").membership == MembershipSettings(60.0, 4)


class Lives(RuleBasedStateMachine):
    """Instances go and come in any order, some are at work, steps are lost: what always holds."""

    def __init__(self) -> None:
        super().__init__()
        self.roster = AbsenceList()
        self.members = {name: Member(f"at-{name}", True) for name in NAMES}
        self.gone: dict[str, float] = {}
        self.resting: frozenset[str] = frozenset()

    def seen(self) -> FleetState:
        up = frozenset(NAMES) - self.gone.keys()
        gone = {name: span for name, span in self.gone.items() if name in self.members}
        knocking = up - self.members.keys()
        return FleetState("a", 0.0, True, self.members, gone, knocking, self.resting)

    @rule(name=st.sampled_from(NAMES[1:]))
    def go_or_come(self, name: str) -> None:
        if name in self.gone:
            del self.gone[name]
        else:
            self.gone[name] = 0.0

    @rule(span=st.floats(1.0, 9.0))
    def wait(self, span: float) -> None:
        self.gone = {name: before + span for name, before in self.gone.items()}

    @rule(name=st.sampled_from(NAMES[1:]))
    def work(self, name: str) -> None:
        self.resting = self.resting ^ {name}

    @rule()
    def catch_up(self) -> None:
        for name, member in self.members.items():
            if not member.voter and name not in self.gone:
                self.members = {**self.members, name: Member(member.address, True)}
                return

    @rule(lost=st.booleans())
    def step(self, lost: bool) -> None:
        found = decide(self.roster, PLAN, self.seen())
        if found is None or lost:
            return
        match found:
            case SetMemberState():
                self.roster.apply(found)
            case Remove(name):
                voters = [n for n, m in self.members.items() if m.voter and n != name]
                if self.members[name].voter:
                    assert len(voters) >= PLAN.keep and name not in self.resting
                    assert len([n for n in voters if n not in self.gone]) > len(voters) // 2
                assert self.gone[name] >= 0.0 and name != "a"
                self.members = {n: m for n, m in self.members.items() if n != name}
            case Add(name, address):
                assert name not in self.members and address == f"at-{name}"
                self.members = {**self.members, name: Member(address, False)}

    @invariant()
    def whoever_is_no_member_is_on_the_roster_and_can_come_back(self) -> None:
        for name in set(NAMES) - self.members.keys():
            known = self.roster.get(name)
            assert known and known.address == f"at-{name}"

    @invariant()
    def with_all_there_all_come_to_vote_again(self) -> None:
        roster, members = AbsenceList(self.roster.dump()), dict(self.members)
        for _ in range(40):
            seen = FleetState("a", 0.0, True, members, {}, frozenset(NAMES) - members.keys(), frozenset())
            found = decide(roster, PLAN, seen)
            if isinstance(found, SetMemberState):
                roster.apply(found)
            elif isinstance(found, Add):
                members[found.instance] = Member(found.address, True)
            else:
                assert not isinstance(found, Remove), "one that is there was dropped"
                members = {n: Member(m.address, True) for n, m in members.items()}
        assert members.keys() == set(NAMES) and not roster.absent


TestLives = Lives.TestCase
TestLives.settings = settings(max_examples=60, stateful_step_count=30, derandomize=True, deadline=None)

# Real instances: two of five are lost, then a third; then all come back.
LOST = """
instances = 5
servers = 2
lease_ms = 600
seconds = 12.5
settings = "[membership]\\ndrop_after_s = 1.0\\n"
[load]
rate = 100.0
[change]
every_s = 0.25
[[fault]]
kind = "kill"
whom = "d"
at = 1.0
for_s = 10.0
[[fault]]
kind = "pause"
whom = "e"
at = 1.0
for_s = 10.0
[[fault]]
kind = "kill"
whom = "c"
at = 7.5
for_s = 3.5
[checks]
voters_kept = { least = 3 }
no_stale_act = {}
no_stale_arrival = {}
no_ack_lost = {}
one_answer = {}
one_leader_a_term = {}
complete = {}
no_crash = {}
"""


def play(folder: Path, text: str) -> tuple[Report, list[float]]:
    """The report, and when changes were acknowledged that were begun while three of five were gone."""
    report = anyio.run(
        ScenarioRunner(make_scenario(tomllib.loads(text), "lost"), 1, folder, beside=whole_again).run
    )
    begun = {e["note"]: e.mono - report.start for e in report.events if e.event == "change"}
    acks = [e.mono - report.start for e in report.events if e.event == "acked" and begun[e["note"]] > 7.6]
    return report, [at for at in acks if at < 11.0]


async def whole_again(play: ScenarioRunner) -> None:
    """Waits at the end until all are members again, as a tool sees it."""
    await anyio.sleep(11.5)
    async with play.client() as client:
        with anyio.move_on_after(15.0):
            while len((await client.call("status", {}, 5.0))["members"]) < 5:
                await anyio.sleep(0.1)


@pytest.mark.fleet
def test_a_fleet_that_lost_two_drops_them_bears_the_loss_of_a_third_and_takes_all_back(
    tmp_path: Path,
) -> None:
    report, acks = play(tmp_path, LOST)
    line = report.line()
    assert report.ok, (line, [(v.why, [e.told(report.start) for e in v.stretch]) for v in report.told])
    assert acks, "nothing was acknowledged while three of five were gone"
    assert line["fewest_voters"] == 3 and line["voters_at_end"] == 5


@pytest.mark.fleet
def test_its_twin_that_drops_nobody_stops_with_the_third(tmp_path: Path) -> None:
    report, acks = play(tmp_path, LOST.replace("drop_after_s = 1.0", "drop_after_s = 0"))
    assert report.ok and not acks
    assert report.line()["fewest_voters"] == 5
