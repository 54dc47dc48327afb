"""The list of absent members: which were dropped, their addresses and states. Replicated, pure.

The members themselves are kept by Raft (`store/raft/`). Dropping a member and adding it again take several
steps, and the leader may be lost between any two of them; so each step is recorded here before it is made.
"""

from __future__ import annotations

from msgspec import Struct, field

LEAVING, DROPPED, RETURNING = "leaving", "dropped", "returning"
PRESENT = ""  # not in the list
NEXT_STATES = {
    PRESENT: (LEAVING,),
    LEAVING: (DROPPED, PRESENT),
    DROPPED: (RETURNING, PRESENT),
    RETURNING: (LEAVING, PRESENT),
}
MAX_ABSENT = 64  # absent members at once
MAX_TEXT_LENGTH = 500  # characters of a reason or a proposer's name


class SetMemberState(Struct, frozen=True, tag="mark"):
    """Sets the state of an instance; refused unless `expect` is the version of the list."""

    instance: str
    state: str
    expect: int
    by: str = ""
    why: str = ""
    address: str = ""  # of the store's port, set when it leaves
    at: float = 0.0  # the proposer's Unix time, for information only


class AbsentMember(Struct, frozen=True):
    """A member that is being dropped, was dropped, or is being added again."""

    instance: str
    state: str
    address: str
    by: str
    why: str
    at: float
    version: int  # of the list, when this state was entered


class AbsenceListState(Struct):
    """The list as written to a snapshot."""

    version: int = 0
    absent: list[AbsentMember] = field(default_factory=list)


class RefusedMemberStateError(ValueError):
    """A command was refused and changed nothing; the text is the reason."""


class AbsenceList:
    """The list of absent members; only `apply` changes it."""

    def __init__(self, state: AbsenceListState | None = None) -> None:
        state = state or AbsenceListState()
        self.version = state.version
        self._absent = {member.instance: member for member in state.absent}

    def dump(self) -> AbsenceListState:
        """The state for a snapshot."""
        return AbsenceListState(self.version, list(self._absent.values()))

    @property
    def absent(self) -> list[AbsentMember]:
        """In the sequence in which they were added to the list."""
        return list(self._absent.values())

    def get(self, instance: str) -> AbsentMember | None:
        """The entry of an instance, or None if it is not absent."""
        return self._absent.get(instance)

    def apply(self, command: SetMemberState) -> None:
        """Applies a command. Raises `RefusedMemberStateError`, changing nothing."""
        if command.expect != self.version:
            raise RefusedMemberStateError(
                f"decided on version {command.expect} of the roster, and it is {self.version}"
            )
        current = self._absent.get(command.instance)
        state_before = current.state if current else PRESENT
        if command.state not in NEXT_STATES[state_before]:
            raise RefusedMemberStateError(
                f"{command.instance} is {state_before or 'present'}: it does not become {command.state}"
            )
        if current is None and len(self._absent) >= MAX_ABSENT:
            raise RefusedMemberStateError(f"{MAX_ABSENT} are absent: forget some first")
        self.version += 1
        if command.state == PRESENT:
            del self._absent[command.instance]
            return
        self._absent[command.instance] = AbsentMember(
            instance=command.instance,
            state=command.state,
            address=current.address if current else command.address,
            by=command.by[:MAX_TEXT_LENGTH],
            why=command.why[:MAX_TEXT_LENGTH],
            at=command.at,
            version=self.version,
        )
