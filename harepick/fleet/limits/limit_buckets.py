"""What one instance spends of its shares, and the demand that it sees. Pure: time is an argument.

A token bucket for each limit, filled at the instance's share; a call needs a token of every limit that it
meets, and takes none if one is missing. A limit that each caller has for itself has a table of buckets
(`caller_buckets.py`).
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from math import exp

from harepick.fleet.limits.caller_buckets import CallerBuckets
from harepick.fleet.limits.policy import ALL_CALLERS, caller_limit_key

MEMORY = 1.0  # seconds over which demand is averaged
DEFAULT_RETRY_S = 1.0  # seconds that a caller stays away if the share tells nothing better
MAX_WAIT = 10.0
UNKNOWN = "unknown"  # all callers whose front tells no address, counted as one


@dataclass(frozen=True, slots=True)
class Limit:
    """One `[[limit]]`: what it counts, and how much of it may be over the fleet."""

    id: str
    per_s: float
    burst_s: float = 1.0  # what an unused share may save up, in seconds of it
    prefixes: tuple[str, ...] = ()  # of called numbers; a district is a list of them
    callers: tuple[str, ...] = ()  # networks of caller addresses, all of them counted together
    call_class: str = ""
    reason: str = ""
    server: str = ""  # its `per_s` is calls under way at this server instead, a whole number
    each: bool = False  # each caller address has all of `per_s` for itself

    def meets(self, called: str, class_name: str, source: str) -> bool:
        """Whether a call needs a token; every criterion that is given has to fit."""
        if self.server:
            return False  # it is kept by the module, which is told how many may be under way
        if self.call_class and class_name != self.call_class:
            return False
        if self.prefixes and not called.startswith(self.prefixes):
            return False
        return not self.callers or in_networks(source, self.callers)


@lru_cache(maxsize=4096)
def in_networks(address: str, networks: tuple[str, ...]) -> bool:
    """Whether that address is in one of the networks; no address is in none."""
    try:
        where = ipaddress.ip_address(address)
    except ValueError:
        return False
    return any(where in ipaddress.ip_network(network) for network in networks)


@dataclass(slots=True)
class Bucket:
    """Tokens of one limit. Begins empty, whatever its share."""

    burst_s: float
    share: float = 0.0  # tokens a second
    tokens: float = 0.0
    at: float = field(default=float("-inf"))

    def _fill(self, now: float) -> None:
        if now > self.at:
            if self.share > 0 and self.at > float("-inf"):
                self.tokens = min(self.cap, self.tokens + self.share * (now - self.at))
            self.at = now

    @property
    def cap(self) -> float:
        """A share, however small, may save up for one call."""
        return max(1.0, self.share * self.burst_s) if self.share > 0 else 0.0

    def set(self, share: float, now: float) -> None:
        """From now on; what a larger share would have saved up is not made up for."""
        self._fill(now)
        self.share = share
        self.tokens = min(self.tokens, self.cap)

    def has_token(self, now: float) -> bool:
        self._fill(now)
        return self.tokens >= 1.0

    def take_token(self) -> None:
        self.tokens -= 1.0

    def wait(self) -> float:
        """Seconds until the next token."""
        return min(MAX_WAIT, (1.0 - self.tokens) / self.share) if self.share > 0 else DEFAULT_RETRY_S


@dataclass(slots=True)
class _Use:
    """One limit, and what came of it; counts since the start."""

    limit: Limit
    bucket: Bucket
    callers: CallerBuckets | None = None  # in place of the bucket
    offered: int = 0
    passed: int = 0
    refused: int = 0
    _rate: float = 0.0
    _seen: int = 0
    _since: float = field(default=float("-inf"))

    def has(self, source: str, now: float) -> bool:
        return self.callers.has_token(source, now) if self.callers is not None else self.bucket.has_token(now)

    def take(self, source: str) -> None:
        if self.callers is not None:
            self.callers.take_token(source)
        else:
            self.bucket.take_token()

    def wait(self, source: str) -> float:
        """Seconds for a refused caller to stay away."""
        if self.callers is None:
            return self.bucket.wait()
        wait = self.callers.wait(source)
        return DEFAULT_RETRY_S if wait is None else min(MAX_WAIT, wait)

    def name(self, source: str) -> str:
        """What a call of that caller is counted under."""
        return caller_limit_key(self.limit.id, source) if self.callers is not None else self.limit.id

    def demand(self, now: float) -> float:
        """Calls offered a second, lately; to be asked every now and then."""
        if self._since == float("-inf"):
            self._since, self._seen = now, self.offered
        elif (passed := now - self._since) > 0.1:
            rate = (self.offered - self._seen) / passed
            self._rate += (rate - self._rate) * (1 - exp(-passed / MEMORY))
            self._since, self._seen = now, self.offered
        return self._rate


class LimitBuckets:
    """Owns the buckets of one instance."""

    def __init__(self, make: Callable[[float], CallerBuckets] = CallerBuckets) -> None:
        """`make`: the table of a limit that each caller has for itself, from its `burst_s`."""
        self._uses: dict[str, _Use] = {}
        self._make = make

    def __len__(self) -> int:
        return len(self._uses)

    def configure(self, limits: Iterable[Limit], now: float = 0.0) -> None:
        """The limits of a configuration; one that stays keeps its tokens and counts."""
        uses: dict[str, _Use] = {}
        for limit in limits:
            use = self._uses.get(limit.id)
            if use is None:
                use = _Use(limit, Bucket(limit.burst_s))
            use.limit, use.bucket.burst_s = limit, limit.burst_s
            if not limit.each:
                use.callers = None
            elif use.callers is None:
                use.callers = self._make(limit.burst_s)
            else:
                use.callers.burst(limit.burst_s, now)
            use.bucket.tokens = min(use.bucket.tokens, use.bucket.cap)
            uses[limit.id] = use
        self._uses = uses

    def set_shares(self, shares: Mapping[str, float], now: float) -> None:
        """This instance's shares, by limit; of one that is not named it holds nothing."""
        named: dict[str, dict[str, float]] = {}
        for key, share in shares.items():
            name, _, caller = key.partition("@")
            if caller:
                named.setdefault(name, {})[caller] = share
        for name, use in self._uses.items():
            if use.callers is not None:
                rows = named.get(name, {})
                use.callers.set(rows.pop(ALL_CALLERS, 0.0), rows, now)
            else:
                use.bucket.set(shares.get(name, 0.0), now)

    def take_tokens(
        self, called: str, class_name: str, source: str, now: float
    ) -> tuple[float | None, Sequence[str]]:
        """None and the limits that the call was counted against, or the seconds to stay away and the limits
        that it met. It takes a token of each, or none."""
        who = source or UNKNOWN
        met = []
        for use in self._uses.values():
            if use.limit.server:
                use.offered += 1  # every call may go there
            elif use.limit.meets(called, class_name, source):
                met.append(use)
        missing = []
        for use in met:
            use.offered += 1
            if not use.has(who, now):
                missing.append(use)
        names = [use.name(who) for use in met]
        for use in missing:
            use.refused += 1
        if missing:
            return max(use.wait(who) for use in missing), names
        for use in met:
            use.take(who)
            use.passed += 1
        return None, names

    def return_tokens(self, names: Iterable[str]) -> None:
        """A call that was counted and then refused by something else."""
        for key in names:
            name, _, caller = key.partition("@")
            if use := self._uses.get(name):
                if use.callers is not None:
                    use.callers.return_token(caller)
                else:
                    use.bucket.tokens = min(use.bucket.cap, use.bucket.tokens + 1.0)
                use.passed -= 1

    def demands(self, now: float) -> dict[str, float]:
        """By limit; of one that each caller has for itself, by the callers that want more than their base."""
        found: dict[str, float] = {}
        for name, use in self._uses.items():
            if use.callers is not None:
                rows = use.callers.demands(now)
                found |= {caller_limit_key(name, caller): rate for caller, rate in rows.items()}
            else:
                found[name] = use.demand(now)
        return found

    def rate(self, name: str, caller: str = UNKNOWN) -> float:
        """Tokens a second of that limit here, for that caller if each has the limit for itself."""
        use = self._uses[name]
        return use.callers.rate(caller) if use.callers is not None else use.bucket.share

    def statistics(self) -> dict[str, dict[str, float]]:
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
