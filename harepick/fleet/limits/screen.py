"""Admission check of a new call: verdicts on its caller, then limits, then gaps.

A call that a gap refuses takes no token of a limit, and a call that a limit refuses takes no slot of a gap.
"""

from __future__ import annotations

from collections.abc import Callable

from harepick.core.messages import Screen
from harepick.fleet.limits.limit_buckets import DEFAULT_RETRY_S, LimitBuckets, in_networks
from harepick.gapping.detector import Detector


class FleetScreen:
    """Implements `harepick.core.messages.Screen`; used by the core's task alone."""

    def __init__(
        self,
        buckets: LimitBuckets,
        clock: Callable[[], float],
        on_admitted: Callable[[str], None],
        on_passed: Callable[[str, float], None] = lambda called_number, now: None,
    ) -> None:
        """`clock` gives the time for token buckets, in seconds. `on_admitted` is called with the key of each
        limit that an admitted call counts against; `on_passed` with each number that passes the gaps, and the
        time.
        """
        self.buckets = buckets
        self.gaps: Screen | None = None
        self.blocked: tuple[str, ...] = ()  # networks of callers blocked by a verdict
        self.blocked_calls = 0  # count since the start
        self.detector: Detector | None = None  # detects numbers for automatic gaps, if they are enabled
        self._clock, self._on_admitted, self._on_passed = clock, on_admitted, on_passed

    def retry_after(self, called_number: str, class_name: str, now: float, source: str = "") -> float | None:
        """None if the call is admitted, or else its Retry-After in seconds."""
        if self.blocked and in_networks(source, self.blocked):
            self.blocked_calls += 1
            return DEFAULT_RETRY_S
        if self.detector is not None:
            self.detector.count_offered(called_number, self._clock())
        if not self.buckets and not self.gaps:
            return None
        wait, limit_keys = self.buckets.take_tokens(called_number, class_name, source, self._clock())
        if wait is not None:
            return wait
        if self.gaps:
            if (wait := self.gaps.retry_after(called_number, class_name, now, source)) is not None:
                self.buckets.return_tokens(limit_keys)
                return wait
            self._on_passed(called_number, now)
        for key in limit_keys:
            self._on_admitted(key)
        return None

    def record_outcome(self, called_number: str, succeeded: bool) -> None:
        """Reports the outcome of a call to the detector."""
        if self.detector is not None:
            self.detector.count_ended(called_number, succeeded, self._clock())
