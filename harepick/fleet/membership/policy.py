"""The membership policy: which voter is dropped, and which instance is added again. Pure.

From the absent members, the settings and the state of the fleet it derives one step. The leader evaluates it.
A `SetMemberState` takes effect only if the list of absent members has not changed since; a change of the
members only if no other is in progress (`raft/core.py`). `docs/design/membership.md` describes the policy.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from harepick.fleet.membership.absences import (
    DROPPED,
    LEAVING,
    PRESENT,
    RETURNING,
    AbsenceList,
    AbsentMember,
    SetMemberState,
)


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """`[membership]`."""

    drop_after: float = 0.0  # seconds without a lease after which a voter is dropped; 0: never
    keep: int = 3  # least number of voters; none is dropped below it


@dataclass(frozen=True, slots=True)
class Member:
    """A member of the store as Raft knows it."""

    address: str
    voter: bool


@dataclass(frozen=True, slots=True)
class MembershipFleetState:
    """The leader's view of the fleet at one moment."""

    name: str  # the leader
    now: float  # Unix time, for information only
    membership_committed: bool  # no change of the members is in progress
    members: Mapping[str, Member]
    without_lease: Mapping[str, float]  # member without a lease -> seconds, by the leader's clock
    rejoining: frozenset[str]  # non-members that recently tried to connect and kept their folder
    in_maintenance: frozenset[str]  # under a maintenance order: they are expected to return

    @property
    def voters(self) -> frozenset[str]:
        """Names of the voting members."""
        return frozenset(name for name, member in self.members.items() if member.voter)


@dataclass(frozen=True, slots=True)
class Remove:
    """Step: remove a member from the store."""

    instance: str


@dataclass(frozen=True, slots=True)
class Add:
    """Step: add an instance to the store as a learner, which Raft promotes to a voter."""

    instance: str
    address: str


Step = SetMemberState | Remove | Add


def removal_blocker(name: str, settings: MembershipSettings, fleet_state: MembershipFleetState) -> str:
    """Why a member may not be dropped; empty if it may be."""
    if name == fleet_state.name:
        return "it leads"
    if name in fleet_state.in_maintenance:
        return "it is under a maintenance order"
    if name not in fleet_state.members or not fleet_state.members[name].voter:
        return ""  # a learner does not count in any majority
    remaining_voters = fleet_state.voters - {name}
    if len(remaining_voters) < settings.keep:
        return f"{len(remaining_voters)} voters would be left, and keep is {settings.keep}"
    alive = len(remaining_voters - fleet_state.without_lease.keys())
    if alive < len(remaining_voters) // 2 + 1:
        return f"{alive} of {len(remaining_voters)} voters would be alive, and that is no majority"
    return ""


def _set_state(
    absent: AbsentMember, state: str, why: str, absences: AbsenceList, fleet_state: MembershipFleetState
) -> SetMemberState:
    return SetMemberState(absent.instance, state, absences.version, fleet_state.name, why, at=fleet_state.now)


def _next_step(
    absent: AbsentMember,
    absences: AbsenceList,
    settings: MembershipSettings,
    fleet_state: MembershipFleetState,
) -> Step | None:
    """The next step of an absent member."""
    name, member = absent.instance, fleet_state.members.get(absent.instance)
    if absent.state == LEAVING:
        if member is None:
            return _set_state(absent, DROPPED, absent.why, absences, fleet_state)
        if name not in fleet_state.without_lease:
            return _set_state(absent, PRESENT, "it is back", absences, fleet_state)
        if why := removal_blocker(name, settings, fleet_state):
            return _set_state(absent, PRESENT, why, absences, fleet_state)
        return Remove(name)
    if absent.state == DROPPED:
        if member is not None:
            return _set_state(absent, PRESENT, "it was added by hand", absences, fleet_state)
        if name in fleet_state.rejoining:
            return _set_state(absent, RETURNING, "it came back with its folder", absences, fleet_state)
        return None
    # Returning: the instance is added as a learner, and is off the list once it is a voter again.
    if member is None:
        return Add(name, absent.address)
    if member.voter:
        return _set_state(absent, PRESENT, "it votes again", absences, fleet_state)
    if settings.drop_after and fleet_state.without_lease.get(name, 0.0) >= settings.drop_after:
        return _set_state(
            absent, LEAVING, "it went away again before it had caught up", absences, fleet_state
        )
    return None


def decide(
    absences: AbsenceList, settings: MembershipSettings, fleet_state: MembershipFleetState
) -> Step | None:
    """The step to make now; None if nothing is due. Started changes are completed first."""
    if not fleet_state.membership_committed:
        return None
    for absent in absences.absent:
        if step := _next_step(absent, absences, settings, fleet_state):
            return step
    if not settings.drop_after or any(entry.state == LEAVING for entry in absences.absent):
        return None
    for name, duration in sorted(fleet_state.without_lease.items(), key=lambda item: (-item[1], item[0])):
        if name not in fleet_state.voters or absences.get(name) or duration < settings.drop_after:
            continue
        if not removal_blocker(name, settings, fleet_state):
            why = f"no lease for {duration:.1f} s"
            address = fleet_state.members[name].address
            return SetMemberState(
                name, LEAVING, absences.version, fleet_state.name, why, address, fleet_state.now
            )
    return None
