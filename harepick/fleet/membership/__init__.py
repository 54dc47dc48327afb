"""Automatic membership of the store: lost voters are dropped, and added again when they return.

`docs/design/membership.md`.
"""

from harepick.fleet.membership.absences import (
    AbsenceList,
    AbsenceListState,
    AbsentMember,
    RefusedMemberStateError,
    SetMemberState,
)

__all__ = ["AbsenceList", "AbsenceListState", "AbsentMember", "RefusedMemberStateError", "SetMemberState"]
