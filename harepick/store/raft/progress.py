"""What a leader knows of one other replica, and how much it may have on the way to it."""

from __future__ import annotations

from collections import deque
from enum import Enum

FLIGHT = 16  # appends with entries on the way to one replica, at most


class Mode(Enum):
    PROBE = "probe"  # one append at a time until the logs are known to meet
    REPLICATE = "replicate"  # appends follow each other without waiting
    SNAPSHOT = "snapshot"  # one chunk at a time


class Progress:
    def __init__(self, following: int) -> None:
        self.match = 0  # its log is known to equal ours up to here
        self.next = following  # the next entry to send
        self.mode = Mode.PROBE
        self.flight: deque[int] = deque()  # last index of each append on the way
        self.waiting = False  # a probe or chunk is on the way
        self.active = True  # heard since the last check of the quorum
        self.round = 0  # the last round of reads that it confirmed
        self.offset = 0  # bytes of the snapshot that it has
        self.snapshot = 0  # index of the snapshot on its way

    @property
    def open(self) -> bool:
        """Whether more entries may be sent now."""
        if self.mode is Mode.REPLICATE:
            return len(self.flight) < FLIGHT
        return not self.waiting

    def sent(self, last: int) -> None:
        if self.mode is Mode.REPLICATE:
            self.flight.append(last)
            self.next = last + 1
        else:
            self.waiting = True

    def matched(self, index: int) -> bool:
        """It has all up to `index`. True: that is news."""
        news = index > self.match
        self.match = max(self.match, index)
        self.next = max(self.next, index + 1)
        while self.flight and self.flight[0] <= self.match:
            self.flight.popleft()
        self.waiting = False
        if self.mode is Mode.PROBE or (self.mode is Mode.SNAPSHOT and self.match >= self.snapshot):
            self.mode = Mode.REPLICATE
            self.next = self.match + 1
            self.flight.clear()
        return news

    def missed(self, following: int) -> None:
        """Its log does not meet ours there: try at `following`."""
        self.mode = Mode.PROBE
        self.next = max(self.match + 1, following)
        self.flight.clear()
        self.waiting = False

    def start_snapshot(self, index: int) -> None:
        if self.mode is not Mode.SNAPSHOT or self.snapshot != index:
            self.mode, self.snapshot, self.offset = Mode.SNAPSHOT, index, 0
            self.flight.clear()
            self.waiting = False
