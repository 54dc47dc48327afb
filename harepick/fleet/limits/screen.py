"""What the core asks before a call is booked: verdicts on its caller, limits, then the gaps if there are any.

A call that a gap refuses takes no token of a limit, and one that a limit refuses takes no turn of a gap.
"""

from __future__ import annotations

from collections.abc import Callable

from harepick.core.messages import Screen
from harepick.fleet.limits.limit_buckets import DEFAULT_RETRY_S, LimitBuckets, in_networks
from harepick.gapping.detector import Detector


class FleetScreen:
    """`harepick.core.messages.Screen`; one task uses it, the core's."""

    def __init__(
        self,
        purse: LimitBuckets,
        clock: Callable[[], float],
        admitted: Callable[[str], None],
        passed: Callable[[str, float], None] = lambda called, now: None,
    ) -> None:
        """`clock`: seconds of which the rate counts; `admitted` hears of each limit that a call counted
        against, `passed` of each number that passed the gaps, and when."""
        self.buckets = purse
        self.gaps: Screen | None = None
        self.blocked: tuple[str, ...] = ()  # networks of callers under a verdict
        self.turned_away = 0  # calls of theirs
        self.detector: Detector | None = None  # of numbers that want a gap, where gaps set themselves
        self._clock, self._admitted, self._passed = clock, admitted, passed

    def retry_after(self, called: str, class_name: str, now: float, source: str = "") -> float | None:
        if self.blocked and in_networks(source, self.blocked):
            self.turned_away += 1
            return DEFAULT_RETRY_S
        if self.detector is not None:
            self.detector.offered(called, self._clock())
        if not self.buckets and not self.gaps:
            return None
        wait, names = self.buckets.take_tokens(called, class_name, source, self._clock())
        if wait is not None:
            return wait
        if self.gaps:
            if (wait := self.gaps.retry_after(called, class_name, now, source)) is not None:
                self.buckets.return_tokens(names)
                return wait
            self._passed(called, now)
        for name in names:
            self._admitted(name)
        return None

    def ended(self, called: str, good: bool) -> None:
        if self.detector is not None:
            self.detector.ended(called, good, self._clock())
