"""The token buckets of one instance's shares, and the demand that it observes. Pure: time is an argument.

Each limit has a token bucket that fills at the instance's share. A call needs a token of every limit that
applies to it, and takes none if one is unavailable. A limit that applies to each caller separately has a
bucket per caller (`caller_buckets.py`).
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from math import exp

from harepick.fleet.limits.caller_buckets import CallerBuckets
from harepick.fleet.limits.policy import ALL_CALLERS, caller_limit_key

RATE_AVERAGING_S = 1.0  # time constant of the exponential average of demand
DEFAULT_RETRY_S = 1.0  # Retry-After when the share is 0, so that no time can be derived from it
MAX_RETRY_S = 10.0  # upper bound of Retry-After
UNKNOWN_CALLER = "unknown"  # stands for all callers without an address, which share one bucket


@dataclass(frozen=True, slots=True)
class Limit:
    """One `[[limit]]`: which calls it applies to, and the rate that it allows over the whole fleet."""

    id: str
    per_s: float
    burst_s: float = 1.0  # bucket capacity, in seconds of the share
    prefixes: tuple[str, ...] = ()  # of called numbers
    callers: tuple[str, ...] = ()  # networks of caller addresses, which share the limit
    call_class: str = ""
    reason: str = ""
    server: str = ""  # if set, `per_s` is the number of concurrent calls at this server
    each: bool = False  # the limit applies to each caller address separately

    def applies_to(self, called: str, class_name: str, source: str) -> bool:
        """Whether a call needs a token of this limit: every configured criterion has to match."""
        if self.server:
            return False  # enforced by the core, which is given the number of concurrent calls
        if self.call_class and class_name != self.call_class:
            return False
        if self.prefixes and not called.startswith(self.prefixes):
            return False
        return not self.callers or in_networks(source, self.callers)


@lru_cache(maxsize=4096)
def in_networks(address: str, networks: tuple[str, ...]) -> bool:
    """Whether the address is in one of the networks; false for an empty or malformed address."""
    try:
        parsed = ipaddress.ip_address(address)
    except ValueError:
        return False
    return any(parsed in ipaddress.ip_network(network) for network in networks)


@dataclass(slots=True)
class Bucket:
    """Token bucket of one limit. Starts empty, so that a restart grants no extra burst."""

    burst_s: float
    share: float = 0.0  # tokens per second
    tokens: float = 0.0
    refilled_at: float = field(default=float("-inf"))

    def _refill(self, now: float) -> None:
        if now > self.refilled_at:
            if self.share > 0 and self.refilled_at > float("-inf"):
                self.tokens = min(self.capacity, self.tokens + self.share * (now - self.refilled_at))
            self.refilled_at = now

    @property
    def capacity(self) -> float:
        """Most tokens that may accumulate; at least one for any share above 0."""
        return max(1.0, self.share * self.burst_s) if self.share > 0 else 0.0

    def set_share(self, share: float, now: float) -> None:
        """Sets the share from `now` on; tokens above a new, lower capacity are discarded."""
        self._refill(now)
        self.share = share
        self.tokens = min(self.tokens, self.capacity)

    def has_token(self, now: float) -> bool:
        """Refills the bucket up to `now`, and tells whether a call may pass."""
        self._refill(now)
        return self.tokens >= 1.0

    def take_token(self) -> None:
        """Spends a token after `has_token` returned true."""
        self.tokens -= 1.0

    def wait(self) -> float:
        """Seconds until the next token, at most `MAX_RETRY_S`."""
        return min(MAX_RETRY_S, (1.0 - self.tokens) / self.share) if self.share > 0 else DEFAULT_RETRY_S


@dataclass(slots=True)
class _LimitUse:
    """One limit, its buckets, and call counts since the start of the process."""

    limit: Limit
    bucket: Bucket
    callers: CallerBuckets | None = None  # replaces `bucket` if the limit applies to each caller separately
    offered: int = 0
    passed: int = 0
    refused: int = 0
    _rate: float = 0.0
    _counted_offered: int = 0
    _counted_at: float = field(default=float("-inf"))

    def has_token(self, source: str, now: float) -> bool:
        """Whether the limit has a token for a call of `source`."""
        return self.callers.has_token(source, now) if self.callers is not None else self.bucket.has_token(now)

    def take_token(self, source: str) -> None:
        """Spends a token."""
        if self.callers is not None:
            self.callers.take_token(source)
        else:
            self.bucket.take_token()

    def wait(self, source: str) -> float:
        """Retry-After in seconds for a refused caller."""
        if self.callers is None:
            return self.bucket.wait()
        wait = self.callers.wait(source)
        return DEFAULT_RETRY_S if wait is None else min(MAX_RETRY_S, wait)

    def counted_as(self, source: str) -> str:
        """Key that a call of `source` is counted under."""
        return caller_limit_key(self.limit.id, source) if self.callers is not None else self.limit.id

    def demand(self, now: float) -> float:
        """Offered calls per second, averaged; has to be called periodically."""
        if self._counted_at == float("-inf"):
            self._counted_at, self._counted_offered = now, self.offered
        elif (elapsed := now - self._counted_at) > 0.1:
            rate = (self.offered - self._counted_offered) / elapsed
            self._rate += (rate - self._rate) * (1 - exp(-elapsed / RATE_AVERAGING_S))
            self._counted_at, self._counted_offered = now, self.offered
        return self._rate


class LimitBuckets:
    """The buckets of all limits on one instance."""

    def __init__(self, make_callers: Callable[[float], CallerBuckets] = CallerBuckets) -> None:
        """`make_callers` creates the buckets of a limit that applies to each caller, given its `burst_s`."""
        self._uses: dict[str, _LimitUse] = {}
        self._make_callers = make_callers

    def __len__(self) -> int:
        return len(self._uses)

    def configure(self, limits: Iterable[Limit], now: float = 0.0) -> None:
        """Sets the configured limits; a limit that remains configured keeps its tokens and counts."""
        uses: dict[str, _LimitUse] = {}
        for limit in limits:
            use = self._uses.get(limit.id)
            if use is None:
                use = _LimitUse(limit, Bucket(limit.burst_s))
            use.limit, use.bucket.burst_s = limit, limit.burst_s
            if not limit.each:
                use.callers = None
            elif use.callers is None:
                use.callers = self._make_callers(limit.burst_s)
            else:
                use.callers.set_burst(limit.burst_s, now)
            use.bucket.tokens = min(use.bucket.tokens, use.bucket.capacity)
            uses[limit.id] = use
        self._uses = uses

    def set_shares(self, shares: Mapping[str, float], now: float) -> None:
        """Sets this instance's shares by limit, in tokens per second; 0 for a limit that is absent."""
        named: dict[str, dict[str, float]] = {}
        for key, share in shares.items():
            name, _, caller = key.partition("@")
            if caller:
                named.setdefault(name, {})[caller] = share
        for name, use in self._uses.items():
            if use.callers is not None:
                caller_shares = named.get(name, {})
                use.callers.set_shares(caller_shares.pop(ALL_CALLERS, 0.0), caller_shares, now)
            else:
                use.bucket.set_share(shares.get(name, 0.0), now)

    def take_tokens(
        self, called: str, class_name: str, source: str, now: float
    ) -> tuple[float | None, Sequence[str]]:
        """Takes a token of every limit that applies to the call, or of none if one has no token.

        Returns None, or the Retry-After in seconds of a refused call; and the keys of the limits that apply.
        """
        caller_name = source or UNKNOWN_CALLER
        applying = []
        for use in self._uses.values():
            if use.limit.server:
                use.offered += 1  # any call may be sent to this server
            elif use.limit.applies_to(called, class_name, source):
                applying.append(use)
        without_token = []
        for use in applying:
            use.offered += 1
            if not use.has_token(caller_name, now):
                without_token.append(use)
        limit_keys = [use.counted_as(caller_name) for use in applying]
        for use in without_token:
            use.refused += 1
        if without_token:
            return max(use.wait(caller_name) for use in without_token), limit_keys
        for use in applying:
            use.take_token(caller_name)
            use.passed += 1
        return None, limit_keys

    def return_tokens(self, limit_keys: Iterable[str]) -> None:
        """Returns the tokens of a call that passed the limits and was then refused for another reason."""
        for key in limit_keys:
            name, _, caller = key.partition("@")
            if use := self._uses.get(name):
                if use.callers is not None:
                    use.callers.return_token(caller)
                else:
                    use.bucket.tokens = min(use.bucket.capacity, use.bucket.tokens + 1.0)
                use.passed -= 1

    def demands(self, now: float) -> dict[str, float]:
        """Offered calls per second by limit; by caller for a limit that applies to each caller separately."""
        demands: dict[str, float] = {}
        for name, use in self._uses.items():
            if use.callers is not None:
                caller_demands = use.callers.demands(now)
                demands |= {caller_limit_key(name, caller): rate for caller, rate in caller_demands.items()}
            else:
                demands[name] = use.demand(now)
        return demands

    def rate(self, name: str, caller: str = UNKNOWN_CALLER) -> float:
        """Tokens per second of a limit on this instance (of one caller, if the limit applies to each)."""
        use = self._uses[name]
        return use.callers.rate(caller) if use.callers is not None else use.bucket.share

    def statistics(self) -> dict[str, dict[str, float]]:
        """Shares in tokens per second, and call counts since the start, by limit."""
        return {
            name: {
                "per_s": use.limit.per_s,
                "share": use.callers.base if use.callers is not None else use.bucket.share,
                **({"callers": len(use.callers)} if use.callers is not None else {}),
                "offered": use.offered,
                "passed": use.passed,
                "refused": use.refused,
            }
            for name, use in self._uses.items()
        }
