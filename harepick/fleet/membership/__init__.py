"""Which instances the store counts on: the fleet drops voters that are lost, and takes them back.
`docs/design/membership.md`."""

from harepick.fleet.membership.absences import (
    AbsenceList,
    AbsenceListState,
    AbsentMember,
    RefusedMemberStateError,
    SetMemberState,
)

__all__ = ["AbsenceList", "AbsenceListState", "AbsentMember", "RefusedMemberStateError", "SetMemberState"]
