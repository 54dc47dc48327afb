"""The call ledger: owns the state of every call, from its offer to its end.

It holds to one final answer, one attempt out, the numbers of attempts and the deadline. What it is asked
about an unknown call, or one past that state, it answers with None: late or duplicate words do no harm.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from harepick.core.messages import Attempt, Offer


@dataclass(slots=True, eq=False)
class CallRecord:
    offer: Offer
    limit: int  # attempts, as the settings said when it was taken
    tries: int = 0
    out: Attempt | None = None
    answered: bool = False  # the final answer has been given, or the caller has gone and none is owed
    standing_at: str | None = None
    stood: float = 0.0  # when it was answered
    standing_attempt: int = -1


class CallTable:
    def __init__(self, room: int) -> None:
        self._calls: dict[str, CallRecord] = {}
        self.capacity = room

    def __len__(self) -> int:
        return len(self._calls)

    @property
    def full(self) -> bool:
        return len(self._calls) >= self.capacity

    def __contains__(self, call: str) -> bool:
        return call in self._calls

    def get(self, call: str) -> CallRecord | None:
        return self._calls.get(call)

    def book(self, offer: Offer, limit: int) -> CallRecord:
        entry = self._calls[offer.call] = CallRecord(offer, limit)
        return entry

    def owed(self, call: str) -> CallRecord | None:
        """The call if it still waits for its final answer."""
        entry = self._calls.get(call)
        return entry if entry and not entry.answered else None

    def standing(self, server: str | None = None) -> Iterator[CallRecord]:
        for entry in list(self._calls.values()):
            if entry.standing_at is not None and server in (None, entry.standing_at):
                yield entry

    def pending(self) -> int:
        """Calls owed their final answer or standing."""
        return sum(1 for e in self._calls.values() if not e.answered or e.standing_at is not None)

    def under_way(self, server: str) -> int:
        """Calls with an attempt out at that server, or standing there."""
        return sum(
            1
            for entry in self._calls.values()
            if entry.standing_at == server or (entry.out is not None and entry.out.server == server)
        )

    def unanswered(self) -> list[CallRecord]:
        return [entry for entry in self._calls.values() if not entry.answered]

    def close(self, entry: CallRecord) -> None:
        """Drops a call that has neither an answer owed, nor an attempt out, nor stands."""
        if entry.answered and entry.out is None and entry.standing_at is None:
            self._calls.pop(entry.offer.call, None)
