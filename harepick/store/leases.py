"""Fencing: who may act on the configuration it holds, and when a change may be acknowledged. Pure.

Times are seconds on the caller's own clock, of which only the rate counts. `Lease` is an instance's side,
`Grants` the leader's. The argument that the two together hold is in `docs/design/store.md`.
"""

from __future__ import annotations

from collections.abc import Iterable

LEASE_S = 1.5  # seconds, from the asking
CLOCK_RATE_MARGIN = 1.1  # the leader waits so much longer: two clocks differ by less in rate
ASKS = 8  # questions that may be open at once


class Lease:
    """An instance's right to act, from its question's time on, once it has applied what it was told to."""

    def __init__(self, length: float = LEASE_S, first: int = 0) -> None:
        """`first` numbers the first question, and has to be drawn anew by each process: a grant that an
        earlier one asked for may still be on its way, and must not pass for an answer to this one's
        question."""
        self.length = length
        self._asked: dict[int, float] = {}  # number -> when
        self._number = first
        self._granted: list[tuple[float, int]] = []  # until, and the index that must be applied
        self._until = float("-inf")
        self._applied = 0

    def ask(self, now: float) -> int:
        """The number of a new question."""
        self._number += 1
        self._asked[self._number] = now
        while len(self._asked) > ASKS:
            del self._asked[next(iter(self._asked))]
        return self._number

    def granted(self, number: int, index: int) -> None:
        """The leader's grant for that question; an unknown or repeated one changes nothing."""
        asked = self._asked.pop(number, None)
        if asked is None:
            return
        self._granted.append((asked + self.length, index))
        self.applied(self._applied)

    def applied(self, index: int) -> None:
        self._applied = max(self._applied, index)
        due = [until for until, needed in self._granted if needed <= self._applied]
        self._granted = [row for row in self._granted if row[1] > self._applied][-ASKS:]
        self._until = max([self._until, *due])

    def drop(self) -> None:
        """Gives up the right at once, and any on its way."""
        self._until = float("-inf")
        self._asked.clear()
        self._granted.clear()

    def holds(self, now: float) -> bool:
        return now < self._until

    def remaining(self, now: float) -> float:
        return max(0.0, self._until - now)


class Grants:
    """What a leader has to know before it may acknowledge: who may still act on something older."""

    def __init__(self, length: float = LEASE_S) -> None:
        self._wait = length * CLOCK_RATE_MARGIN
        self._floor = float("inf")  # not leading: nothing is acknowledged
        self._until: dict[str, float] = {}
        self._adopted: dict[str, int] = {}

    def lead(self, now: float) -> None:
        """A new leader knows nothing of leases granted before it: it waits all of them out."""
        self._floor = now + self._wait
        self._until.clear()
        self._adopted.clear()

    def follow(self) -> None:
        self._floor = float("inf")

    def book(self, instance: str, now: float) -> None:
        """Before a quorum is asked: from here on, this instance may come to act."""
        self._until[instance] = now + self._wait

    def adopted(self, instance: str, index: int) -> None:
        self._adopted[instance] = max(index, self._adopted.get(instance, 0))

    def holders(self, now: float) -> dict[str, float]:
        """Instances that may act, and for how long."""
        return {name: until - now for name, until in self._until.items() if until > now}

    def waits_for(self, index: int, now: float) -> list[str]:
        """Those that may still act on something older than `index`; empty once it may be acknowledged."""
        for name in [n for n, until in self._until.items() if until <= now]:
            del self._until[name]
        if now < self._floor:
            return ["leases of an earlier leader"]
        return [name for name in self._until if self._adopted.get(name, 0) < index]

    def next_look(self, now: float, indices: Iterable[int]) -> float:
        """When time alone may have cleared something; infinite if nothing waits."""
        if not any(True for _ in indices) or self._floor == float("inf"):
            return float("inf")
        return min(
            [u for u in self._until.values() if u > now] + [self._floor] * (self._floor > now), default=now
        )
