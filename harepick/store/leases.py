"""Leases: which instances may act on the configuration they hold, and when a change may be acknowledged.

Pure: times are seconds on the caller's own clock, of which only the rate matters. `Lease` is an instance's
side, `Grants` the leader's. `docs/design/store.md` argues why the two together are safe.
"""

from __future__ import annotations

from collections.abc import Iterable

LEASE_S = 1.5  # counted from when the lease was requested
CLOCK_RATE_MARGIN = 1.1  # the leader waits this many lease lengths: clock rates differ by less than that
MAX_OPEN_REQUESTS = 8


class Lease:
    """An instance's right to act.

    It runs from the time of the request, once the instance has applied the index that the grant names.
    """

    def __init__(self, length: float = LEASE_S, first: int = 0) -> None:
        """`length` is in seconds; requests are numbered from `first + 1` on.

        Each process must draw a new `first`: a grant that an earlier process requested may still be in
        flight, and must not be taken for an answer to one of this process's requests.
        """
        self.length = length
        self._requested_at: dict[int, float] = {}  # request number -> time
        self._last_number = first
        self._pending_grants: list[tuple[float, int]] = []  # expiry time, and the index to be applied first
        self._expires_at = float("-inf")
        self._applied = 0

    def request(self, now: float) -> int:
        """Opens a request and returns its number; drops the oldest of more than `MAX_OPEN_REQUESTS`."""
        self._last_number += 1
        self._requested_at[self._last_number] = now
        while len(self._requested_at) > MAX_OPEN_REQUESTS:
            del self._requested_at[next(iter(self._requested_at))]
        return self._last_number

    def record_grant(self, number: int, index: int) -> None:
        """Records the leader's grant for request `number`; an unknown or repeated number changes nothing.

        The lease takes effect once the entry `index` is applied here.
        """
        requested_at = self._requested_at.pop(number, None)
        if requested_at is None:
            return
        self._pending_grants.append((requested_at + self.length, index))
        self.record_applied(self._applied)

    def record_applied(self, index: int) -> None:
        """Records that entries up to `index` are applied; grants that required only these take effect."""
        self._applied = max(self._applied, index)
        effective = [
            expiry for expiry, required_index in self._pending_grants if required_index <= self._applied
        ]
        self._pending_grants = [grant for grant in self._pending_grants if grant[1] > self._applied][
            -MAX_OPEN_REQUESTS:
        ]
        self._expires_at = max([self._expires_at, *effective])

    def drop(self) -> None:
        """Gives up the lease at once, with all open requests and pending grants."""
        self._expires_at = float("-inf")
        self._requested_at.clear()
        self._pending_grants.clear()

    def holds(self, now: float) -> bool:
        """Whether the instance may act."""
        return now < self._expires_at

    def remaining(self, now: float) -> float:
        """Seconds until the lease expires."""
        return max(0.0, self._expires_at - now)


class Grants:
    """The leader's record of leases: which instances may still act on an older configuration."""

    def __init__(self, length: float = LEASE_S) -> None:
        """`length` of a lease in seconds."""
        self._expiry_s = length * CLOCK_RATE_MARGIN
        self._earlier_leases_end = float("inf")  # infinite while not leading: nothing is acknowledged
        self._expires_at: dict[str, float] = {}  # instance -> time
        self._adopted: dict[str, int] = {}  # instance -> log index

    def become_leader(self, now: float) -> None:
        """Starts to lead; leases granted by earlier leaders are unknown, so all have to expire first."""
        self._earlier_leases_end = now + self._expiry_s
        self._expires_at.clear()
        self._adopted.clear()

    def become_follower(self) -> None:
        """Stops leading."""
        self._earlier_leases_end = float("inf")

    def record_lease(self, instance: str, now: float) -> None:
        """Records a lease that may be granted; called before the quorum confirms leadership for it."""
        self._expires_at[instance] = now + self._expiry_s

    def record_adopted(self, instance: str, index: int) -> None:
        """Records that the instance acts on nothing older than `index` any more."""
        self._adopted[instance] = max(index, self._adopted.get(instance, 0))

    def holders(self, now: float) -> dict[str, float]:
        """The instances that may act, and for how many more seconds."""
        return {name: expiry - now for name, expiry in self._expires_at.items() if expiry > now}

    def unconfirmed_by(self, index: int, now: float) -> list[str]:
        """The instances that may still act on something older than `index`.

        A change at `index` may be acknowledged once the list is empty. While leases of an earlier leader may
        be running, whose holders are unknown, the list has a text in place of their names.
        """
        for name in [each for each, expiry in self._expires_at.items() if expiry <= now]:
            del self._expires_at[name]
        if now < self._earlier_leases_end:
            return ["leases of an earlier leader"]
        return [name for name in self._expires_at if self._adopted.get(name, 0) < index]

    def next_check_at(self, now: float, indices: Iterable[int]) -> float:
        """The next time at which an expiry may let one of `indices` be acknowledged; infinite without any."""
        if not any(True for _ in indices) or self._earlier_leases_end == float("inf"):
            return float("inf")
        return min(
            [expiry for expiry in self._expires_at.values() if expiry > now]
            + [self._earlier_leases_end] * (self._earlier_leases_end > now),
            default=now,
        )
