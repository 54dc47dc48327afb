"""Token buckets by caller address, for a limit that applies to each caller. Pure: time is an argument.

On one instance, each caller's bucket fills at the instance's base share without a request, plus the share
allocated to that caller by name (`policy.py`). The table of buckets is bounded; the least recently used one
is dropped. A caller without a bucket gets no tokens for the time before the last refill of any dropped
bucket, which may have been its own. So a flood of caller addresses lets no caller exceed its limit.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from heapq import nlargest
from math import exp

from harepick.fleet.limits.policy import BASE_SHARE

MAX_CALLERS = 2_048  # per limit; the least recently used bucket is dropped
MAX_REPORTED_CALLERS = 8  # per limit, whose demand one instance reports to the leader
RATE_AVERAGING_S = 1.0  # time constant of the exponential average of demand
REPORT_ABOVE_BASE = 0.8  # times the base share: a caller's demand above this is reported
KEEP_REPORTING_ABOVE_BASE = 0.4  # lower for a caller that holds a named share, so that it does not flap


@dataclass(slots=True)
class _CallerBucket:
    """One caller's token bucket.

    `refilled_at` is the time of its last refill, and `base_credit` the table's base credit at that time. The
    next refill adds the base credit gained since, and the tokens of a named share for the time since.
    """

    tokens: float
    base_credit: float
    refilled_at: float
    rate: float = 0.0  # offered calls per second, averaged, as of the last call
    last_call_at: float = 0.0


class CallerBuckets:
    """The buckets of all callers of one limit, on one instance."""

    def __init__(self, burst_s: float, max_callers: int = MAX_CALLERS) -> None:
        self._burst_s, self._max_callers = burst_s, max_callers
        self._base = 0.0  # base share: tokens per second for every caller
        self._named_shares: dict[str, float] = {}  # caller -> tokens per second in addition to the base
        self._buckets: OrderedDict[str, _CallerBucket] = OrderedDict()  # least recently used first
        self._base_credit = 0.0  # tokens that the base share has yielded in total, without any cap
        self._base_credited_at = float("-inf")
        self._spent_credit = 0.0  # credit at which a caller without a bucket counts as empty

    def __len__(self) -> int:
        return len(self._buckets)

    @property
    def base(self) -> float:
        """The base share: tokens per second that every caller gets on this instance."""
        return self._base

    @property
    def named(self) -> dict[str, float]:
        """Shares allocated to callers by name, in tokens per second, in addition to the base."""
        return dict(self._named_shares)

    def rate(self, caller: str) -> float:
        """Tokens per second that this caller gets on this instance."""
        return self._base + self._named_shares.get(caller, 0.0)

    def _advance_base_credit(self, now: float) -> float:
        """Advances the base credit to `now` and returns it. It starts at 0 when the first share is set."""
        if now > self._base_credited_at:
            if self._base_credited_at > float("-inf"):
                self._base_credit += self._base * (now - self._base_credited_at)
            self._base_credited_at = now
        return self._base_credit

    def _capacity(self, caller: str) -> float:
        """Most tokens that a caller may accumulate here; at least 1, however small its share.

        The burst is computed from the base share alone, scaled up to the whole limit, so that a caller
        without a named share may place two calls in quick succession too.
        """
        if self._base <= 0:
            return 1.0 if self._named_shares.get(caller) else 0.0
        return max(1.0, self._base / BASE_SHARE * self._burst_s)

    def _refill(self, caller: str, bucket: _CallerBucket, now: float) -> None:
        """Refills a bucket up to `now`."""
        credit = self._advance_base_credit(now)
        refill = (
            credit
            - bucket.base_credit
            + self._named_shares.get(caller, 0.0) * max(0.0, now - bucket.refilled_at)
        )
        bucket.tokens = min(self._capacity(caller), bucket.tokens + refill)
        bucket.base_credit, bucket.refilled_at = credit, max(bucket.refilled_at, now)

    def _bucket(self, caller: str, now: float) -> _CallerBucket:
        bucket = self._buckets.get(caller)
        if bucket is None:
            credit = self._advance_base_credit(now)
            bucket = _CallerBucket(min(self._capacity(caller), credit - self._spent_credit), credit, now)
            self._buckets[caller] = bucket
            while len(self._buckets) > self._max_callers:
                self._forget(*self._buckets.popitem(last=False))
        else:
            self._refill(caller, bucket, now)
        return bucket

    def _forget(self, caller: str, bucket: _CallerBucket) -> None:
        """Records a dropped bucket: callers without one get no tokens for the time before its last refill."""
        self._spent_credit = max(self._spent_credit, bucket.base_credit)

    def set_burst(self, burst_s: float, now: float) -> None:
        """Sets the burst, in seconds of the share, from `now` on."""
        if burst_s != self._burst_s:
            self._burst_s = burst_s
            self._cap_all(now)

    def set_shares(self, base: float, named: Mapping[str, float], now: float) -> None:
        """Sets the shares from `now` on; tokens above a new, lower capacity are discarded."""
        if self._base_credited_at == float("-inf"):
            self._base_credited_at = now
        changed = [
            c for c in named.keys() | self._named_shares.keys() if named.get(c) != self._named_shares.get(c)
        ]
        for caller in changed:
            if bucket := self._buckets.get(caller):
                self._refill(caller, bucket, now)
        self._advance_base_credit(now)
        decreased, self._base = base < self._base, base
        self._named_shares = dict(named)
        for caller in changed:
            if bucket := self._buckets.get(caller):
                bucket.tokens = min(bucket.tokens, self._capacity(caller))
        if decreased:
            self._cap_all(now)

    def _cap_all(self, now: float) -> None:
        """Discards tokens above the capacity, also for callers without a bucket."""
        for caller, bucket in self._buckets.items():
            self._refill(caller, bucket, now)
        self._spent_credit = max(self._spent_credit, self._advance_base_credit(now) - self._capacity(""))

    def has_token(self, caller: str, now: float) -> bool:
        """Whether the caller has a token for a call; counts the call as offered."""
        bucket = self._bucket(caller, now)
        self._buckets.move_to_end(caller)
        bucket.rate = (
            bucket.rate * exp(-max(0.0, now - bucket.last_call_at) / RATE_AVERAGING_S)
            + 1.0 / RATE_AVERAGING_S
        )
        bucket.last_call_at = now
        return bucket.tokens >= 1.0

    def take_token(self, caller: str) -> None:
        """Spends a token after `has_token` returned true."""
        self._buckets[caller].tokens -= 1.0

    def return_token(self, caller: str) -> None:
        """Returns the token of a call that was refused for another reason."""
        if bucket := self._buckets.get(caller):
            bucket.tokens = min(self._capacity(caller), bucket.tokens + 1.0)

    def wait(self, caller: str) -> float | None:
        """Seconds until the caller's next token; None if its share is 0."""
        rate = self.rate(caller)
        return (1.0 - self._buckets[caller].tokens) / rate if rate > 0 else None

    def demands(self, now: float) -> dict[str, float]:
        """Offered calls per second of callers that want more than the base share, highest first."""
        demanding: list[tuple[float, str]] = []
        for caller in reversed(self._buckets):
            bucket = self._buckets[caller]
            if now - bucket.last_call_at > 3 * RATE_AVERAGING_S:
                break
            rate = bucket.rate * exp(-max(0.0, now - bucket.last_call_at) / RATE_AVERAGING_S)
            self._refill(caller, bucket, now)
            if caller in self._named_shares:
                wants_more = rate > self._base * KEEP_REPORTING_ABOVE_BASE
            else:  # a caller that is served from accumulated tokens needs no named share
                wants_more = (
                    rate > self._base * REPORT_ABOVE_BASE and bucket.tokens < self._capacity(caller) / 2
                )
            if wants_more:
                demanding.append((rate, caller))
        return {caller: rate for rate, caller in nlargest(MAX_REPORTED_CALLERS, demanding)}
