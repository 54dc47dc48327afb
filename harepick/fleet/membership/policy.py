"""The rule: which voter is dropped, and who is taken back. Pure: roster, plan and sight in, one step out.

`docs/design/membership.md` has the rule in words. Whoever leads evaluates it. A mark takes effect only if the
roster is still the one that it saw; a change of the members only if no other is under way (`raft/core.py`).
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
    keep: int = 3  # voters that stay, whoever is lost


@dataclass(frozen=True, slots=True)
class Member:
    address: str
    voter: bool


@dataclass(frozen=True, slots=True)
class FleetState:
    """What the leader sees, at one moment."""

    name: str  # its own
    now: float  # Unix time, for readers alone
    settled: bool  # no change of the members is under way
    members: Mapping[str, Member]
    gone: Mapping[str, float]  # members that hold no lease -> for how long, by this leader's clock
    rejoining: frozenset[str]  # no members, heard lately, with the folder that was known of them
    in_maintenance: frozenset[str]  # out for work, or on the way: they are expected back

    @property
    def voters(self) -> frozenset[str]:
        return frozenset(name for name, member in self.members.items() if member.voter)


@dataclass(frozen=True, slots=True)
class Remove:
    instance: str


@dataclass(frozen=True, slots=True)
class Add:
    instance: str
    address: str


Step = SetMemberState | Remove | Add


def removal_blocker(name: str, plan: MembershipSettings, sight: FleetState) -> str:
    """Why a member may not be dropped; empty if it may."""
    if name == sight.name:
        return "it leads"
    if name in sight.in_maintenance:
        return "it is out for work"
    if name not in sight.members or not sight.members[name].voter:
        return ""  # a learner has no part in any majority
    left = sight.voters - {name}
    if len(left) < plan.keep:
        return f"{len(left)} voters would be left, and keep is {plan.keep}"
    alive = len(left - sight.gone.keys())
    if alive < len(left) // 2 + 1:
        return f"{alive} of {len(left)} voters would be alive, and that is no majority"
    return ""


def _mark(
    absent: AbsentMember, state: str, why: str, roster: AbsenceList, sight: FleetState
) -> SetMemberState:
    return SetMemberState(absent.instance, state, roster.version, sight.name, why, at=sight.now)


def _further(
    absent: AbsentMember, roster: AbsenceList, plan: MembershipSettings, sight: FleetState
) -> Step | None:
    """The next step of one that is on the roster."""
    name, member = absent.instance, sight.members.get(absent.instance)
    if absent.state == LEAVING:
        if member is None:
            return _mark(absent, DROPPED, absent.why, roster, sight)
        if name not in sight.gone:
            return _mark(absent, PRESENT, "it is back", roster, sight)
        if why := removal_blocker(name, plan, sight):
            return _mark(absent, PRESENT, why, roster, sight)
        return Remove(name)
    if absent.state == DROPPED:
        if member is not None:
            return _mark(absent, PRESENT, "it was added by hand", roster, sight)
        if name in sight.rejoining:
            return _mark(absent, RETURNING, "it came back with its folder", roster, sight)
        return None
    if member is None:
        return Add(name, absent.address)
    if member.voter:
        return _mark(absent, PRESENT, "it votes again", roster, sight)
    if plan.drop_after and sight.gone.get(name, 0.0) >= plan.drop_after:
        return _mark(absent, LEAVING, "it went away again before it had caught up", roster, sight)
    return None


def decide(roster: AbsenceList, plan: MembershipSettings, sight: FleetState) -> Step | None:
    """The one thing to do now; None: nothing is due. What was begun comes to its end first."""
    if not sight.settled:
        return None
    for absent in roster.absent:
        if step := _further(absent, roster, plan, sight):
            return step
    if not plan.drop_after or any(row.state == LEAVING for row in roster.absent):
        return None
    for name, span in sorted(sight.gone.items(), key=lambda row: (-row[1], row[0])):
        if name not in sight.voters or roster.get(name) or span < plan.drop_after:
            continue
        if not removal_blocker(name, plan, sight):
            why = f"no lease for {span:.1f} s"
            address = sight.members[name].address
            return SetMemberState(name, LEAVING, roster.version, sight.name, why, address, sight.now)
    return None
