"""The roster of absent members: who was dropped from the voters, where it was, and how far that has come.
Replicated, pure.

The members themselves are the consensus core's (`store/raft/`). Dropping one and taking it back are several
steps, and whoever leads may be lost between any two of them; so each is written down before it is made.
"""

from __future__ import annotations

from msgspec import Struct, field

LEAVING, DROPPED, RETURNING = "leaving", "dropped", "returning"
PRESENT = ""  # not on the roster
NEXT = {
    PRESENT: (LEAVING,),
    LEAVING: (DROPPED, PRESENT),
    DROPPED: (RETURNING, PRESENT),
    RETURNING: (LEAVING, PRESENT),
}
MOST = 64  # absent at once
MAX_TEXT = 500


class SetMemberState(Struct, frozen=True, tag="mark"):
    """An instance goes on to `state`, decided on the roster of version `expect`."""

    instance: str
    state: str
    expect: int
    by: str = ""
    why: str = ""
    address: str = ""  # of the store's port, told as it leaves
    at: float = 0.0  # the proposer's Unix time, for readers alone


class AbsentMember(Struct, frozen=True):
    instance: str
    state: str
    address: str
    by: str
    why: str
    at: float
    version: int  # of the roster, when it came to this state


class AbsenceListState(Struct):
    """All that a snapshot holds."""

    version: int = 0
    absent: list[AbsentMember] = field(default_factory=list)


class RefusedMemberStateError(ValueError):
    """A step that changes nothing; the text says why."""


class AbsenceList:
    """Owns the roster; `apply` is the one way to change it."""

    def __init__(self, state: AbsenceListState | None = None) -> None:
        state = state or AbsenceListState()
        self.version = state.version
        self._absent = {row.instance: row for row in state.absent}

    def dump(self) -> AbsenceListState:
        return AbsenceListState(self.version, list(self._absent.values()))

    @property
    def absent(self) -> list[AbsentMember]:
        """In the order in which they were put on the roster."""
        return list(self._absent.values())

    def get(self, instance: str) -> AbsentMember | None:
        return self._absent.get(instance)

    def apply(self, mark: SetMemberState) -> None:
        """Raises `RefusedMemberStateError`, changing nothing."""
        if mark.expect != self.version:
            raise RefusedMemberStateError(
                f"decided on version {mark.expect} of the roster, and it is {self.version}"
            )
        known = self._absent.get(mark.instance)
        before = known.state if known else PRESENT
        if mark.state not in NEXT[before]:
            raise RefusedMemberStateError(
                f"{mark.instance} is {before or 'present'}: it does not become {mark.state}"
            )
        if known is None and len(self._absent) >= MOST:
            raise RefusedMemberStateError(f"{MOST} are absent: forget some first")
        self.version += 1
        if mark.state == PRESENT:
            del self._absent[mark.instance]
            return
        self._absent[mark.instance] = AbsentMember(
            instance=mark.instance,
            state=mark.state,
            address=known.address if known else mark.address,
            by=mark.by[:MAX_TEXT],
            why=mark.why[:MAX_TEXT],
            at=mark.at,
            version=self.version,
        )
