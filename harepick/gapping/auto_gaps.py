"""Gaps that set themselves: when the fleet begins one on a number, eases it and lets it end. Pure.

Whoever leads evaluates the rule on what all instances tell of their numbers; a gap is a verdict (`gapped`)
that all honour, so that it is set, renewed and lifted as verdicts are. `docs/design/gapping.md`, "Gaps that
set themselves".
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field

HOLDS = 0.5  # of `per_s`: under so much demand a gap is eased, and only over `per_s` is one begun
STEPS = 3  # halvings of the interval before a gap ends
RENEW = 0.5  # of its time to live, after which a gap that is still wanted is renewed
MOST = 64  # gaps that set themselves, at once
OFFERED, BAD = "+", "-"  # first letters of what instances tell: a number is `+` and digits


@dataclass(frozen=True, slots=True)
class AutoGapSettings:
    """`[autogap]`."""

    per_s: float  # calls a second to one number, over the fleet, from which a gap may begin
    failing: float = 0.5  # share of them that must come to nothing
    after: float = 2.0  # seconds for which both must hold
    interval: float = 1.0  # of the gap
    ttl: float = 10.0  # seconds that a gap, and each step of its easing, holds
    act: bool = True  # False: it is proposed in the log, and nothing is set


@dataclass(frozen=True, slots=True)
class GapProposal:
    """A gap on `number` from now on; `why` for whoever reads of it."""

    number: str
    interval: float
    evidence: float  # seconds that it was seen for
    why: str


@dataclass(slots=True)
class _Number:
    """What the leader remembers of one number."""

    since: float | None = None  # when it came to want a gap
    step: int = 0  # halvings so far
    said: float = float("-inf")  # when its gap was set or renewed last
    set: bool = False  # whether its gap was seen among the verdicts since
    left: bool = False  # an operator lifted it: it is left alone until demand has fallen


def failed_rate_key(offered: str) -> str:
    """The key under which a number's bad calls are told beside its offered ones."""
    return BAD + offered[1:]


def sum_call_rates(demands: Mapping[str, Mapping[str, float]]) -> dict[str, tuple[float, float]]:
    """Offered and bad calls a second to each number that instances tell of, over all of them."""
    found: dict[str, tuple[float, float]] = {}
    for rows in demands.values():
        for key, rate in rows.items():
            if key[:1] == OFFERED:
                offered, bad = found.get(key, (0.0, 0.0))
                found[key] = (offered + rate, bad + rows.get(failed_rate_key(key), 0.0))
    return found


@dataclass(slots=True)
class AutoGaps:
    """Owns what one leader remembers; a new one begins anew, from the gaps that hold."""

    _numbers: dict[str, _Number] = field(default_factory=dict)

    def decide(
        self,
        plan: AutoGapSettings,
        rates: Mapping[str, tuple[float, float]],
        holding: Mapping[str, float],
        spared: Collection[str],
        now: float,
    ) -> Iterator[GapProposal]:
        """Gaps to set or renew now. `holding`: those that hold, with their intervals; `spared`: numbers that
        an operator has a gap on, which goes first. One that is not renewed ends with its time to live."""
        for number in [n for n in self._numbers if n not in rates and n not in holding]:
            del self._numbers[number]  # no demand that anybody tells of: it begins anew
        for number in holding:
            rates = rates if number in rates else {**rates, number: (0.0, 0.0)}
        wanted: list[GapProposal] = []
        for number, (offered, bad) in rates.items():
            known = self._numbers.setdefault(number, _Number())
            if number in spared:
                self._numbers[number] = _Number()
            elif number in holding:
                wanted += self._hold(number, known, plan, offered, holding[number], now)
            else:
                wanted += self._begin(number, known, plan, offered, bad, now)
        room = MOST - len(holding)
        for want in wanted:
            if want.number in holding or room > 0:
                room -= want.number not in holding
                yield want

    def _begin(
        self, number: str, known: _Number, plan: AutoGapSettings, offered: float, bad: float, now: float
    ) -> Iterator[GapProposal]:
        if known.set:  # it was there, and is not: its time was over, or an operator lifted it
            known.left = now < known.said + plan.ttl and offered >= HOLDS * plan.per_s
            known.set, known.since, known.step = False, None, 0
        if known.left and offered >= HOLDS * plan.per_s:
            return
        known.left = False
        if offered < plan.per_s or bad < plan.failing * offered:
            known.since = None
            return
        if known.since is None:
            known.since = now
        if now - known.since >= plan.after and now - known.said >= plan.after:
            known.said, known.step = now, 0
            share = bad / offered
            why = f"{offered:.0f} calls a second, {share:.0%} of them for nothing"
            yield GapProposal(number, plan.interval, now - known.since, why)

    def _hold(
        self, number: str, known: _Number, plan: AutoGapSettings, offered: float, interval: float, now: float
    ) -> Iterator[GapProposal]:
        if not known.set:  # the first look at it; a new leader's, perhaps: all that it knows is the interval
            known.set, known.said = True, max(known.said, now - (1 - RENEW) * plan.ttl)
            known.step = 0
            while known.step < STEPS and plan.interval / 2 ** (known.step + 1) >= interval * (1 - 1e-9):
                known.step += 1
        age = now - known.said
        if offered >= plan.per_s and known.step:
            step = 0  # it is back
        elif offered >= HOLDS * plan.per_s:
            if age < RENEW * plan.ttl:
                return
            step = known.step
        else:
            # Each step of the easing holds for nearly a time to live; after the last the gap ends by itself.
            if age < (1 - RENEW / 4) * plan.ttl or known.step >= STEPS:
                return
            step = known.step + 1
        known.said, known.step = now, step
        yield GapProposal(number, plan.interval / 2**step, age, f"{offered:.0f} calls a second")
