"""Automatic gaps: the policy that sets, relaxes and ends gaps on numbers that many calls fail to reach. Pure.

The leader evaluates it on the call rates that all instances report. An automatic gap is a verdict (`gapped`)
that every instance applies, so it is set, renewed and lifted as verdicts are. Design:
`docs/design/gapping.md`.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field

# Share of `per_s`: a gap starts at `per_s`, and is relaxed only while demand is below this share of it.
HOLD_DEMAND = 0.5
RELAX_STEPS = 3  # halvings of the interval before a gap ends
RENEW_AGE = 0.5  # share of the time to live after which a gap that is still needed is renewed
MAX_ACTIVE = 64  # automatic gaps at once
# First characters of the keys under which instances report rates. A number consists of + and digits; its
# failed calls are reported under the same digits after a minus sign.
OFFERED_PREFIX, FAILED_PREFIX = "+", "-"


@dataclass(frozen=True, slots=True)
class AutoGapSettings:
    """The table `[autogap]` of the configuration."""

    per_s: float  # calls per second to one number, over the fleet, from which a gap may start
    failing: float = 0.5  # share of these calls that must fail
    after: float = 2.0  # seconds for which both conditions must hold
    interval: float = 1.0  # of the gap, in seconds
    ttl: float = 10.0  # time to live of a gap, and of each step in which it is relaxed, in seconds
    act: bool = True  # False: gaps are only proposed in the log


@dataclass(frozen=True, slots=True)
class GapProposal:
    """A gap to set or renew now; `why` is the explanation for operators."""

    number: str
    interval: float  # seconds
    evidence: float  # seconds for which the conditions have held; at a renewal, since the last proposal
    why: str


@dataclass(slots=True)
class _NumberState:
    """The leader's state of one number; times are in seconds."""

    conditions_met_since: float | None = None  # since when all conditions for a gap have held
    step: int = 0  # halvings of the interval so far
    proposed_at: float = float("-inf")  # when its gap was last set or renewed
    seen_active: bool = False  # its gap has been among the verdicts since then
    suppressed: bool = False  # an operator lifted its gap: no other one until demand has fallen


def failed_rate_key(offered: str) -> str:
    """The key that reports a number's failed calls; `offered` is the key of its offered calls."""
    return FAILED_PREFIX + offered[1:]


def sum_call_rates(demands: Mapping[str, Mapping[str, float]]) -> dict[str, tuple[float, float]]:
    """Number -> offered and failed calls per second, summed over all instances that report it."""
    totals: dict[str, tuple[float, float]] = {}
    for rates in demands.values():
        for key, rate in rates.items():
            if key[:1] == OFFERED_PREFIX:
                offered, failed = totals.get(key, (0.0, 0.0))
                totals[key] = (offered + rate, failed + rates.get(failed_rate_key(key), 0.0))
    return totals


@dataclass(slots=True)
class AutoGaps:
    """The policy and one leader's state of it. A new leader starts empty and learns from the active gaps."""

    _numbers: dict[str, _NumberState] = field(default_factory=dict)

    def decide(
        self,
        settings: AutoGapSettings,
        rates: Mapping[str, tuple[float, float]],
        active_gaps: Mapping[str, float],
        configured_numbers: Collection[str],
        now: float,
    ) -> Iterator[GapProposal]:
        """Yields the gaps to set or renew at `now`; a gap that is not renewed ends with its time to live.

        `rates`: number -> offered and failed calls per second. `active_gaps`: number -> interval of the
        automatic gap in force. `configured_numbers`: they have a gap set by an operator, which takes
        precedence.
        """
        for number in [n for n in self._numbers if n not in rates and n not in active_gaps]:
            del self._numbers[number]  # no instance reports demand for it
        for number in active_gaps:
            # An active gap for whose number no instance reports demand is judged as without demand.
            rates = rates if number in rates else {**rates, number: (0.0, 0.0)}
        proposals: list[GapProposal] = []
        for number, (offered, failed) in rates.items():
            state = self._numbers.setdefault(number, _NumberState())
            if number in configured_numbers:
                self._numbers[number] = _NumberState()
            elif number in active_gaps:
                proposals += self._renew_or_relax(number, state, settings, offered, active_gaps[number], now)
            else:
                proposals += self._propose_new(number, state, settings, offered, failed, now)
        free = MAX_ACTIVE - len(active_gaps)
        for proposal in proposals:
            if proposal.number in active_gaps or free > 0:
                free -= proposal.number not in active_gaps
                yield proposal

    def _propose_new(
        self,
        number: str,
        state: _NumberState,
        settings: AutoGapSettings,
        offered: float,
        failed: float,
        now: float,
    ) -> Iterator[GapProposal]:
        """Proposes a gap on a number that has none, once the conditions have held for `settings.after`.

        After an operator lifted the number's gap, proposes none until demand has fallen.
        """
        if state.seen_active:  # its gap is gone: the time to live ran out, or an operator lifted it
            state.suppressed = (
                now < state.proposed_at + settings.ttl and offered >= HOLD_DEMAND * settings.per_s
            )
            state.seen_active, state.conditions_met_since, state.step = False, None, 0
        if state.suppressed and offered >= HOLD_DEMAND * settings.per_s:
            return
        state.suppressed = False
        if offered < settings.per_s or failed < settings.failing * offered:
            state.conditions_met_since = None
            return
        if state.conditions_met_since is None:
            state.conditions_met_since = now
        # The gap of a proposal made less than `after` ago may not be active yet: it is not proposed again.
        if now - state.conditions_met_since >= settings.after and now - state.proposed_at >= settings.after:
            state.proposed_at, state.step = now, 0
            failed_share = failed / offered
            why = f"{offered:.0f} calls a second, {failed_share:.0%} of them for nothing"
            yield GapProposal(number, settings.interval, now - state.conditions_met_since, why)

    def _renew_or_relax(
        self,
        number: str,
        state: _NumberState,
        settings: AutoGapSettings,
        offered: float,
        interval: float,
        now: float,
    ) -> Iterator[GapProposal]:
        """Renews an active gap while demand lasts, halves its interval as demand falls, and restores it when
        demand returns."""
        if not state.seen_active:  # seen for the first time; a new leader derives the step from the interval
            # The time at which another leader proposed it is not known: assume a fixed share of the ttl ago.
            state.seen_active, state.proposed_at = (
                True,
                max(state.proposed_at, now - (1 - RENEW_AGE) * settings.ttl),
            )
            state.step = 0
            while state.step < RELAX_STEPS and settings.interval / 2 ** (state.step + 1) >= interval * (
                1 - 1e-9
            ):
                state.step += 1
        age = now - state.proposed_at
        if offered >= settings.per_s and state.step:
            step = 0  # demand has returned: the whole interval again
        elif offered >= HOLD_DEMAND * settings.per_s:
            if age < RENEW_AGE * settings.ttl:
                return
            step = state.step
        else:
            # Each step lasts for almost a time to live. After the last step the gap expires.
            if age < (1 - RENEW_AGE / 4) * settings.ttl or state.step >= RELAX_STEPS:
                return
            step = state.step + 1
        state.proposed_at, state.step = now, step
        yield GapProposal(number, settings.interval / 2**step, age, f"{offered:.0f} calls a second")
