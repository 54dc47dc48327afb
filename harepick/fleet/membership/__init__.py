"""Which instances the store counts on: the fleet drops voters that are lost, and takes them back.
`docs/design/membership.md`."""

from harepick.fleet.membership.roster import Absent, Mark, RefusedMarkError, Roster, RosterState

__all__ = ["Absent", "Mark", "RefusedMarkError", "Roster", "RosterState"]
