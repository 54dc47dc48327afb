"""A limit that each caller address has for itself: one instance's buckets for it. Pure: time is an argument.

Each caller may spend the instance's *base* here without anybody asking for it, and what is shared out for it
by name beside that (`policy.py`). The table is bounded, whatever addresses come: a caller that is not in it
is taken for one that has spent nothing since the latest moment at which one that was dropped had spent
something. That can only be too little, so that a flood of addresses lets nobody have more than its limit.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from heapq import nlargest
from math import exp

from harepick.fleet.limits.policy import BASE_SHARE

MAX_CALLERS = 2_048  # in one limit's table; the one that called longest ago is dropped
MAX_TOLD = 8  # callers whose demand one instance tells of one limit
MEMORY = 1.0  # seconds over which demand is averaged
ASKS_FROM = 0.8  # of its base: a caller with more demand is told of
ASKS_ON = 0.4  # the same for one that holds a share by name: it must not come and go


@dataclass(slots=True)
class _Row:
    """One caller. `credit` and `at`: when its tokens were counted last, by the two measures they grow by."""

    tokens: float
    credit: float
    at: float
    rate: float = 0.0  # calls offered a second, lately, as of `called`
    called: float = 0.0


class CallerBuckets:
    """Owns the table of one limit."""

    def __init__(self, burst_s: float, most: int = MAX_CALLERS) -> None:
        self._burst_s, self._most = burst_s, most
        self._base = 0.0  # tokens a second for every caller
        self._named: dict[str, float] = {}  # caller -> tokens a second beside that
        self._rows: OrderedDict[str, _Row] = OrderedDict()  # the one that called last is last
        self._credit = 0.0  # tokens that the base has come to, for a caller that spends nothing
        self._at = float("-inf")
        self._floor = 0.0  # credit at which a caller without a row had nothing left

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def base(self) -> float:
        return self._base

    @property
    def named(self) -> dict[str, float]:
        """Shares held for callers by name."""
        return dict(self._named)

    def rate(self, caller: str) -> float:
        """Tokens a second that this caller gets here."""
        return self._base + self._named.get(caller, 0.0)

    def _earned(self, now: float) -> float:
        """The credit at `now`; it begins at 0 with the first share: what is before is not made up for."""
        if now > self._at:
            if self._at > float("-inf"):
                self._credit += self._base * (now - self._at)
            self._at = now
        return self._credit

    def _cap(self, caller: str) -> float:
        """What a caller may save up here: an even part of the limit's burst, whoever holds shares, so that
        one that calls seldom may call twice in a moment; and however small its share, one call."""
        if self._base <= 0:
            return 1.0 if self._named.get(caller) else 0.0
        return max(1.0, self._base / BASE_SHARE * self._burst_s)

    def _count(self, caller: str, row: _Row, now: float) -> None:
        """Brings a row's tokens up to `now`."""
        credit = self._earned(now)
        gained = credit - row.credit + self._named.get(caller, 0.0) * max(0.0, now - row.at)
        row.tokens = min(self._cap(caller), row.tokens + gained)
        row.credit, row.at = credit, max(row.at, now)

    def _row(self, caller: str, now: float) -> _Row:
        row = self._rows.get(caller)
        if row is None:
            credit = self._earned(now)
            row = _Row(min(self._cap(caller), credit - self._floor), credit, now)
            self._rows[caller] = row
            while len(self._rows) > self._most:
                self._forget(*self._rows.popitem(last=False))
        else:
            self._count(caller, row, now)
        return row

    def _forget(self, caller: str, row: _Row) -> None:
        """Whoever comes back has had no more time to save up than since this one's last call."""
        self._floor = max(self._floor, row.credit)

    def burst(self, burst_s: float, now: float) -> None:
        """What may be saved up from now on."""
        if burst_s != self._burst_s:
            self._burst_s = burst_s
            self._cut(now)

    def set(self, base: float, named: Mapping[str, float], now: float) -> None:
        """The shares from now on; what larger ones would have saved up is not made up for."""
        if self._at == float("-inf"):
            self._at = now
        changed = [c for c in named.keys() | self._named.keys() if named.get(c) != self._named.get(c)]
        for caller in changed:
            if row := self._rows.get(caller):
                self._count(caller, row, now)
        self._earned(now)
        less, self._base = base < self._base, base
        self._named = dict(named)
        for caller in changed:
            if row := self._rows.get(caller):
                row.tokens = min(row.tokens, self._cap(caller))
        if less:
            self._cut(now)

    def _cut(self, now: float) -> None:
        """Nobody has saved up more than may be, whether it is in the table or not."""
        for caller, row in self._rows.items():
            self._count(caller, row, now)
        self._floor = max(self._floor, self._earned(now) - self._cap(""))

    def has_token(self, caller: str, now: float) -> bool:
        """Whether a call of that caller may pass; counts as one that it offered."""
        row = self._row(caller, now)
        self._rows.move_to_end(caller)
        row.rate = row.rate * exp(-max(0.0, now - row.called) / MEMORY) + 1.0 / MEMORY
        row.called = now
        return row.tokens >= 1.0

    def take_token(self, caller: str) -> None:
        self._rows[caller].tokens -= 1.0

    def return_token(self, caller: str) -> None:
        if row := self._rows.get(caller):
            row.tokens = min(self._cap(caller), row.tokens + 1.0)

    def wait(self, caller: str) -> float | None:
        """Seconds until that caller's next token; None if none will come."""
        rate = self.rate(caller)
        return (1.0 - self._rows[caller].tokens) / rate if rate > 0 else None

    def demands(self, now: float) -> dict[str, float]:
        """Callers that want more than their base here, the greediest first, and what they offer a second."""
        found: list[tuple[float, str]] = []
        for caller in reversed(self._rows):
            row = self._rows[caller]
            if now - row.called > 3 * MEMORY:
                break
            rate = row.rate * exp(-max(0.0, now - row.called) / MEMORY)
            self._count(caller, row, now)
            if caller in self._named:
                wants = rate > self._base * ASKS_ON
            else:  # one that lives on what it has saved up needs nothing
                wants = rate > self._base * ASKS_FROM and row.tokens < self._cap(caller) / 2
            if wants:
                found.append((rate, caller))
        return {caller: rate for rate, caller in nlargest(MAX_TOLD, found)}
