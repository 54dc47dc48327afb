"""Members that are dropped and added again: list and policy without I/O, and real instances."""

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
    MAX_ABSENT,
    RETURNING,
    AbsenceList,
    RefusedMemberStateError,
    SetMemberState,
)
from harepick.fleet.membership.policy import (
    Add,
    Member,
    MembershipFleetState,
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
SETTINGS = MembershipSettings(drop_after=5.0, keep=3)


def fleet_state(members: str = NAMES, **changes: Any) -> MembershipFleetState:
    rows = {name: Member(f"at-{name}", True) for name in members}
    base = MembershipFleetState("a", 100.0, True, rows, {}, frozenset(), frozenset())
    return replace(base, **changes)


def steps(
    absences: AbsenceList, observed: MembershipFleetState, policy_settings: MembershipSettings = SETTINGS
) -> list[str]:
    """The steps of the policy in sequence, executed as Raft would."""
    executed: list[str] = []
    while (step := decide(absences, policy_settings, observed)) and len(executed) < 20:
        match step:
            case SetMemberState(instance, state):
                absences.apply(step)
                executed.append(f"{instance} {state or 'present'}")
            case Remove(instance):
                rest = {n: m for n, m in observed.members.items() if n != instance}
                without_lease = {n: s for n, s in observed.without_lease.items() if n != instance}
                observed = replace(observed, members=rest, without_lease=without_lease)
                executed.append(f"remove {instance}")
            case Add(instance, address):
                observed = replace(observed, members={**observed.members, instance: Member(address, False)})
                executed.append(f"add {instance} {address}")
    return executed


def test_two_of_five_voters_are_dropped_in_turn_and_no_third() -> None:
    absences = AbsenceList()
    found = steps(absences, fleet_state(without_lease={"d": 6.0, "e": 7.0}))
    assert found == ["e leaving", "remove e", "e dropped", "d leaving", "remove d", "d dropped"]
    # A third lost voter stays: with two voters, the loss of either would stop the store.
    assert not steps(absences, fleet_state("abc", without_lease={"c": 99.0}))
    assert "2 voters would be left" in removal_blocker(
        "c", SETTINGS, fleet_state("abc", without_lease={"c": 99.0})
    )


def test_members_that_must_not_be_dropped() -> None:
    assert not steps(AbsenceList(), fleet_state(without_lease={"e": 4.9}))
    assert not steps(AbsenceList(), fleet_state(without_lease={"e": 9.0}), MembershipSettings())
    assert not steps(AbsenceList(), fleet_state(without_lease={"e": 9.0}, in_maintenance=frozenset("e")))
    assert not steps(AbsenceList(), fleet_state(without_lease={"e": 9.0}, membership_committed=False))
    assert "no majority" in removal_blocker(
        "e", SETTINGS, fleet_state(without_lease={"c": 9.0, "d": 9.0, "e": 9.0})
    )
    assert removal_blocker("a", SETTINGS, fleet_state()) == "it leads"


def test_a_returning_member_is_added_under_its_old_address_and_votes_again() -> None:
    absences = AbsenceList()
    steps(absences, fleet_state(without_lease={"e": 6.0}))
    rest = fleet_state("abcd")
    assert not steps(absences, rest), "it has not returned"
    assert steps(absences, replace(rest, rejoining=frozenset("ex"))) == ["e returning", "add e at-e"]
    learner = replace(rest, members={**rest.members, "e": Member("at-e", False)})
    assert not steps(absences, learner), "it is still a learner"
    away = replace(learner, without_lease={"e": 5.0})
    assert steps(absences, away) == ["e leaving", "remove e", "e dropped"], "it was lost again"
    assert steps(absences, replace(rest, rejoining=frozenset("e"))) == ["e returning", "add e at-e"]
    assert steps(absences, fleet_state()) == ["e present"] and not absences.absent


def test_the_next_leader_completes_the_steps_of_a_lost_one() -> None:
    absences = AbsenceList()
    command = decide(absences, SETTINGS, fleet_state(without_lease={"e": 6.0}))
    assert isinstance(command, SetMemberState)
    absences.apply(command)
    assert steps(absences, fleet_state()) == ["e present"], "it returned before it was removed"
    absences.apply(with_current_version(command, absences))
    assert steps(absences, fleet_state(without_lease={"c": 6.0, "d": 6.0, "e": 6.0})) == ["e present"], (
        "too many are without a lease now"
    )
    absences.apply(with_current_version(command, absences))
    assert steps(absences, fleet_state("abcd")) == ["e dropped"], (
        "it was removed, but not recorded as dropped"
    )
    assert steps(absences, fleet_state()) == ["e present"], "it was added by an operator meanwhile"


def with_current_version(command: SetMemberState, absences: AbsenceList) -> SetMemberState:
    return SetMemberState(command.instance, command.state, absences.version, address=command.address)


def test_a_state_for_another_version_or_out_of_sequence_is_refused() -> None:
    state_machine = StateMachine()

    def apply(command: SetMemberState) -> object:
        return state_machine.apply(state_machine.applied + 1, encode(Envelope("", 0, command)))

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
    copy.restore(state_machine.snapshot())
    assert copy.absences.dump() == state_machine.absences.dump() and copy.absences.absent[0].address == "at-e"
    absences = AbsenceList()
    for n in range(MAX_ABSENT):
        absences.apply(SetMemberState(f"x{n}", LEAVING, n))
    with pytest.raises(RefusedMemberStateError, match="forget some"):
        absences.apply(SetMemberState("y", LEAVING, MAX_ABSENT))


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
def test_a_faulty_membership_setting_is_named_in_the_error(text: str, key: str) -> None:
    shared = '[[upstream]]\nname = "s0"\naddress = "127.0.0.1:1"\n[membership]\n'
    with pytest.raises(SettingsError) as caught:
        read_store_config(shared + text)
    assert f"setting {key} " in str(caught.value), caught.value
    assert read_store_config(shared + "drop_after_s = 60\nkeep = 4").membership == MembershipSettings(60.0, 4)


class MembershipLifecycle(RuleBasedStateMachine):
    """Invariants under failures and returns of instances, maintenance and lost steps, in any sequence."""

    def __init__(self) -> None:
        super().__init__()
        self.absences = AbsenceList()
        self.members = {name: Member(f"at-{name}", True) for name in NAMES}
        self.without_lease: dict[str, float] = {}
        self.in_maintenance: frozenset[str] = frozenset()

    def observed(self) -> MembershipFleetState:
        up = frozenset(NAMES) - self.without_lease.keys()
        without_lease = {name: span for name, span in self.without_lease.items() if name in self.members}
        rejoining = up - self.members.keys()
        return MembershipFleetState(
            "a", 0.0, True, self.members, without_lease, rejoining, self.in_maintenance
        )

    @rule(name=st.sampled_from(NAMES[1:]))
    def toggle_alive(self, name: str) -> None:
        if name in self.without_lease:
            del self.without_lease[name]
        else:
            self.without_lease[name] = 0.0

    @rule(span=st.floats(1.0, 9.0))
    def wait(self, span: float) -> None:
        self.without_lease = {name: before + span for name, before in self.without_lease.items()}

    @rule(name=st.sampled_from(NAMES[1:]))
    def toggle_maintenance(self, name: str) -> None:
        self.in_maintenance = self.in_maintenance ^ {name}

    @rule()
    def catch_up(self) -> None:
        for name, member in self.members.items():
            if not member.voter and name not in self.without_lease:
                self.members = {**self.members, name: Member(member.address, True)}
                return

    @rule(lost=st.booleans())
    def step(self, lost: bool) -> None:
        found = decide(self.absences, SETTINGS, self.observed())
        if found is None or lost:
            return
        match found:
            case SetMemberState():
                self.absences.apply(found)
            case Remove(name):
                voters = [n for n, m in self.members.items() if m.voter and n != name]
                if self.members[name].voter:
                    assert len(voters) >= SETTINGS.keep and name not in self.in_maintenance
                    assert len([n for n in voters if n not in self.without_lease]) > len(voters) // 2
                assert self.without_lease[name] >= 0.0 and name != "a"
                self.members = {n: m for n, m in self.members.items() if n != name}
            case Add(name, address):
                assert name not in self.members and address == f"at-{name}"
                self.members = {**self.members, name: Member(address, False)}

    @invariant()
    def every_non_member_is_listed_as_absent_with_its_address(self) -> None:
        for name in set(NAMES) - self.members.keys():
            known = self.absences.get(name)
            assert known and known.address == f"at-{name}"

    @invariant()
    def all_vote_again_once_all_are_alive(self) -> None:
        absences, members = AbsenceList(self.absences.dump()), dict(self.members)
        for _ in range(40):
            observed = MembershipFleetState(
                "a", 0.0, True, members, {}, frozenset(NAMES) - members.keys(), frozenset()
            )
            found = decide(absences, SETTINGS, observed)
            if isinstance(found, SetMemberState):
                absences.apply(found)
            elif isinstance(found, Add):
                members[found.instance] = Member(found.address, True)
            else:
                assert not isinstance(found, Remove), "a live member was dropped"
                members = {n: Member(m.address, True) for n, m in members.items()}
        assert members.keys() == set(NAMES) and not absences.absent


TestMembershipLifecycle = MembershipLifecycle.TestCase
TestMembershipLifecycle.settings = settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)

# Real instances: two of five are lost, then a third; then all return.
LOST_MEMBERS_SCENARIO = """
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


def run_scenario(folder: Path, text: str) -> tuple[Report, list[float]]:
    """Returns the report, and the times of acknowledged changes that began while three of five were lost."""
    report = anyio.run(
        ScenarioRunner(
            make_scenario(tomllib.loads(text), "lost"), 1, folder, concurrent_task=wait_for_all_members
        ).run
    )
    begun = {e["note"]: e.mono - report.start for e in report.events if e.event == "change"}
    acknowledged_at = [
        e.mono - report.start for e in report.events if e.event == "acked" and begun[e["note"]] > 7.6
    ]
    return report, [at for at in acknowledged_at if at < 11.0]


async def wait_for_all_members(runner: ScenarioRunner) -> None:
    """Waits at the end until all instances are members again, as the operators' port shows it."""
    await anyio.sleep(11.5)
    async with runner.client() as client:
        with anyio.move_on_after(15.0):
            while len((await client.call("status", {}, 5.0))["members"]) < 5:
                await anyio.sleep(0.1)


@pytest.mark.fleet
def test_two_lost_members_are_dropped_a_third_loss_is_survived_and_all_return(
    tmp_path: Path,
) -> None:
    report, acknowledged_at = run_scenario(tmp_path, LOST_MEMBERS_SCENARIO)
    line = report.line()
    assert report.ok, (
        line,
        [(v.why, [e.as_row(report.start) for e in v.events]) for v in report.kept_violations],
    )
    assert acknowledged_at, "no change was acknowledged while three of five were lost"
    assert line["fewest_voters"] == 3 and line["voters_at_end"] == 5


@pytest.mark.fleet
def test_without_drop_after_the_store_stops_with_the_third_loss(tmp_path: Path) -> None:
    report, acknowledged_at = run_scenario(
        tmp_path, LOST_MEMBERS_SCENARIO.replace("drop_after_s = 1.0", "drop_after_s = 0")
    )
    assert report.ok and not acknowledged_at
    assert report.line()["fewest_voters"] == 5
