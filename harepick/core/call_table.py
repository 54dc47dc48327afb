"""The table of open calls, from the offer of a call to its end.

A call has one final answer, at most one open attempt, and numbered attempts. `get` and `get_unanswered`
return None for an unknown or ended call, so that late or duplicate messages do no harm.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from harepick.core.messages import Attempt, Offer
from harepick.core.timers import Timer

DEFAULT_MAX_REQUEST_BYTES = 32 << 20  # over all open calls


@dataclass(slots=True, eq=False)
class CallRecord:
    """The state of one call."""

    offer: Offer
    attempt_limit: int  # attempts allowed by the settings when it was accepted
    tries: int = 0  # attempts so far
    open_attempt: Attempt | None = None
    answered: bool = False  # the final answer was given, or the caller has left and needs none
    standing_server: str | None = None  # where the call stands
    stood_at: float = 0.0  # time of the answer
    standing_attempt: int = -1  # number of the attempt that was answered
    may_have_run: bool = False  # an attempt that has ended may have taken effect
    deadline_timer: Timer[Any] | None = None  # until it is answered
    attempt_timer: Timer[Any] | None = None  # of the open attempt


class CallTable:
    """All open calls by id; at most `capacity`, which a reload may change.

    Their requests may take `max_request_bytes` together. A request is kept for as long as the call may still
    be sent to a server."""

    def __init__(self, capacity: int, max_request_bytes: int = DEFAULT_MAX_REQUEST_BYTES) -> None:
        self._calls: dict[str, CallRecord] = {}
        self.capacity = capacity
        self._max_request_bytes = max_request_bytes
        self.request_bytes = 0

    def __len__(self) -> int:
        return len(self._calls)

    @property
    def full(self) -> bool:
        """Whether no further call may be added."""
        return len(self._calls) >= self.capacity or self.request_bytes >= self._max_request_bytes

    def __contains__(self, call: str) -> bool:
        return call in self._calls

    def get(self, call: str) -> CallRecord | None:
        """The record of a call; None if there is none."""
        return self._calls.get(call)

    def add(self, offer: Offer, attempt_limit: int) -> CallRecord:
        """Adds a call that may have `attempt_limit` attempts."""
        record = self._calls[offer.call] = CallRecord(offer, attempt_limit)
        self.request_bytes += offer.request_bytes
        return record

    def drop_request(self, record: CallRecord) -> None:
        """Drops the request of a call that is not sent again: answered, and with no open attempt."""
        if record.answered and record.open_attempt is None:
            self.request_bytes -= record.offer.request_bytes
            record.offer.request, record.offer.request_bytes = None, 0

    def get_unanswered(self, call: str) -> CallRecord | None:
        """The call, if it still waits for its final answer."""
        record = self._calls.get(call)
        return record if record and not record.answered else None

    def standing(self, server: str | None = None) -> Iterator[CallRecord]:
        """Standing calls, at `server` or at any."""
        for record in list(self._calls.values()):
            if record.standing_server is not None and server in (None, record.standing_server):
                yield record

    def pending(self) -> int:
        """Number of calls that are unanswered or standing."""
        return sum(
            1 for record in self._calls.values() if not record.answered or record.standing_server is not None
        )

    def count_at(self, server: str) -> int:
        """Number of calls with an open attempt at the server, or standing there."""
        return sum(
            1
            for record in self._calls.values()
            if record.standing_server == server
            or (record.open_attempt is not None and record.open_attempt.server == server)
        )

    def unanswered(self) -> list[CallRecord]:
        """Calls that wait for their final answer."""
        return [record for record in self._calls.values() if not record.answered]

    def remove_if_ended(self, record: CallRecord) -> None:
        """Removes the call if it is answered, has no open attempt and does not stand; else does nothing."""
        if record.answered and record.open_attempt is None and record.standing_server is None:
            self._calls.pop(record.offer.call, None)
