"""A leader's view of one other replica: how far its log matches, and what is in flight to it."""

from __future__ import annotations

from collections import deque
from enum import Enum

MAX_IN_FLIGHT_APPENDS = 16  # messages with entries that one replica has not acknowledged


class Mode(Enum):
    """How the leader sends to the replica."""

    PROBE = "probe"  # one message at a time until the matching index is known
    REPLICATE = "replicate"  # messages follow each other without waiting for replies
    SNAPSHOT = "snapshot"  # one chunk of a snapshot at a time


class Progress:
    """Replication progress of one replica; `next_index` is the first entry to send to it."""

    def __init__(self, next_index: int) -> None:
        self.match = 0  # last index up to which its log is known to match the leader's
        self.next = next_index  # index of the next entry to send
        self.mode = Mode.PROBE
        self.in_flight: deque[int] = deque()  # last index of each unacknowledged message with entries
        self.awaiting_reply = False  # a probe or a chunk is in flight
        self.recently_active = True  # has replied since the last quorum check
        self.read_round = 0  # last read round that it confirmed
        self.snapshot_offset = 0  # bytes of the snapshot that it has received
        self.snapshot_index = 0  # index of the snapshot that is being sent

    @property
    def can_send(self) -> bool:
        """Whether more entries may be sent now."""
        if self.mode is Mode.REPLICATE:
            return len(self.in_flight) < MAX_IN_FLIGHT_APPENDS
        return not self.awaiting_reply

    def record_sent(self, last_index: int) -> None:
        """Records a message whose last entry is `last_index`."""
        if self.mode is Mode.REPLICATE:
            self.in_flight.append(last_index)
            self.next = last_index + 1
        else:
            self.awaiting_reply = True

    def record_match(self, index: int) -> bool:
        """Records that its log matches up to `index`; True if the matching index advanced."""
        advanced = index > self.match
        self.match = max(self.match, index)
        self.next = max(self.next, index + 1)
        while self.in_flight and self.in_flight[0] <= self.match:
            self.in_flight.popleft()
        self.awaiting_reply = False
        if self.mode is Mode.PROBE or (self.mode is Mode.SNAPSHOT and self.match >= self.snapshot_index):
            self.mode = Mode.REPLICATE
            self.next = self.match + 1
            self.in_flight.clear()
        return advanced

    def record_mismatch(self, next_index: int) -> None:
        """Records a conflict of the logs; probes again from `next_index`."""
        self.mode = Mode.PROBE
        self.next = max(self.match + 1, next_index)
        self.in_flight.clear()
        self.awaiting_reply = False

    def start_snapshot(self, index: int) -> None:
        """Starts to send the snapshot at `index`, unless it is being sent already."""
        if self.mode is not Mode.SNAPSHOT or self.snapshot_index != index:
            self.mode, self.snapshot_index, self.snapshot_offset = Mode.SNAPSHOT, index, 0
            self.in_flight.clear()
            self.awaiting_reply = False
