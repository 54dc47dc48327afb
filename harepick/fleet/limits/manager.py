"""The manager of limits and verdicts on one instance.

While this instance leads, it proposes splits of the limits, frees shares that were taken from instances once
these can no longer spend them (`owed`, see `shares.py`), and lifts expired verdicts. On every instance it
reports demand to the leader and, if configured, issues verdicts on failed servers.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import anyio

from harepick.counters import Counters
from harepick.fleet.health import AvoidanceTracker
from harepick.fleet.limits.limit_buckets import Limit, LimitBuckets
from harepick.fleet.limits.policy import ALL_CALLERS, LimitFleetState, budgets, caller_limit_key, steps
from harepick.fleet.limits.settings import VerdictSettings
from harepick.fleet.limits.shares import MAX_LIMITS, LimitCommand, Split
from harepick.fleet.limits.verdicts import FAILED, GAPPED, IssueVerdict, LiftVerdict
from harepick.gapping.auto_gaps import AutoGaps, AutoGapSettings, failed_rate_key, sum_call_rates
from harepick.gapping.detector import Detector
from harepick.log import Log
from harepick.store.leases import CLOCK_RATE_MARGIN
from harepick.store.raft.core import BusyError, NotLeaderError
from harepick.store.replica import Replica, StoreUnavailableError, clock
from harepick.store.state_machine import Envelope, StepApplied

POLL_INTERVAL_S = 0.1  # between two evaluations, unless the store changes
MIN_PAUSE_S = 0.02  # between two evaluations in any case
COMMIT_TIMEOUT_S = 5.0  # for one command to be committed
MAX_STEPS = 16  # commands per evaluation, each for another limit; the next evaluation sees their results
VERDICT_REPEAT_S = 1.0  # between two verdicts of this instance on the same server


@dataclass(frozen=True, slots=True)
class LimitInputs:
    """Configuration and local state that the manager evaluates, at one moment."""

    revision: int
    limits: tuple[Limit, ...]
    verdict_settings: VerdictSettings
    avoided: frozenset[str]  # servers that overload control avoids on this instance, by name
    longest_call_s: float  # longest duration of a call attempt
    auto_gaps: AutoGapSettings | None = None  # None: no automatic gaps
    configured_numbers: frozenset[str] = frozenset()  # they have a configured gap, and get no automatic one


class LimitManager:
    """Evaluates the policy of limits and verdicts periodically and proposes its commands."""

    def __init__(
        self,
        replica: Replica,
        buckets: LimitBuckets,
        inputs: Callable[[], LimitInputs | None],
        counters: Counters,
        log: Log,
        on_verdict: Callable[[IssueVerdict], None] = lambda verdict: None,
    ) -> None:
        """`inputs` returns None while there is no configuration; `on_verdict` is called with each
        verdict before it is proposed."""
        self._replica, self._buckets, self._inputs = replica, buckets, inputs
        self._counters, self._log, self._on_verdict = counters, log, on_verdict
        self._name = replica.settings.replica
        self._avoidance = AvoidanceTracker()
        self._last_verdict_at: dict[str, float] = {}  # server -> time of the last verdict on it
        self._first_seen: dict[tuple[int, int], float] = {}  # (verdict, version) -> time; only while leading
        # (limit, log index of its last reduction) -> time when that was first seen confirmed by all instances
        self._confirmed_since: dict[tuple[str, int], float] = {}
        self._auto_gaps = AutoGaps()
        self.detector: Detector | None = None  # set while automatic gaps are enabled

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            self._issue_failure_verdicts()
            now = clock()
            self._replica.node.demand = (
                self._buckets.demands(now) | self._number_rates() | self._avoidance.report(now)
            )
            await self._evaluate()
            await anyio.sleep(MIN_PAUSE_S)
            await self._replica.wait_for_change(POLL_INTERVAL_S)

    async def _evaluate(self) -> None:
        inputs, leases = self._inputs(), self._replica.leases()
        if inputs is None or leases is None:
            self._first_seen.clear()
            self._confirmed_since.clear()
            self._auto_gaps = AutoGaps()
            return
        state_machine = self._replica.node.state_machine
        live, unconfirmed_by = leases
        members = frozenset(m.id for m in self._replica.node.raft.membership.members)
        fleet_state = LimitFleetState(
            name=self._name,
            revision=inputs.revision,
            live=live & members - state_machine.orders.inactive_controllers(),
            demands=self._replica.demands(),
            unconfirmed_by=unconfirmed_by,
            concurrency_limits=frozenset(limit.id for limit in inputs.limits if limit.server),
            calls_ended=lambda limit, index: self._calls_ended(limit, index, inputs),
        )
        limits = {limit.id: limit.per_s for limit in inputs.limits}
        per_caller_limits = frozenset(limit.id for limit in inputs.limits if limit.each)
        limit_budgets = budgets(limits, per_caller_limits, state_machine.shares, fleet_state.demands)
        # Proposed before the splits, of which some may be due at every evaluation.
        expired = self._lift_expired()
        async with anyio.create_task_group() as tasks:
            # Without waiting: the answer comes only once all instances apply the verdict.
            for verdict in self._gaps_due(inputs):
                self._replica.change_nowait(Envelope("", 0, verdict))
            for step in ([expired] if expired else []) + steps(
                state_machine.shares, limit_budgets, fleet_state
            )[:MAX_STEPS]:
                tasks.start_soon(self._propose, step)

    def _number_rates(self) -> dict[str, float]:
        """Call rates of frequently called numbers on this instance, as reported to the leader."""
        inputs = self._inputs()
        if self.detector is None or inputs is None or inputs.auto_gaps is None:
            return {}
        rates: dict[str, float] = {}
        # A tenth of the limit: the fleet's calls may spread over many instances, and an existing
        # gap is relaxed according to the reported rates.
        for number, (offered, failed) in self.detector.heaviest(clock(), inputs.auto_gaps.per_s / 10).items():
            rates |= {number: offered, failed_rate_key(number): failed}
        return rates

    def _gaps_due(self, inputs: LimitInputs) -> list[IssueVerdict]:
        """Verdicts that set or renew automatic gaps."""
        if inputs.auto_gaps is None:
            return []
        gapped_numbers = self._replica.node.state_machine.verdicts.gapped()
        rates = sum_call_rates(self._replica.demands())
        due = []
        for proposal in self._auto_gaps.decide(
            inputs.auto_gaps, rates, gapped_numbers, inputs.configured_numbers, clock()
        ):
            known = proposal.number in gapped_numbers
            event = "autogap" if inputs.auto_gaps.act else "autogap_proposed"
            self._log.event(
                event, number=proposal.number, interval=proposal.interval, why=proposal.why, known=known
            )
            self._counters.add("gaps.renewed" if known else "gaps.detected")
            verdict = IssueVerdict(
                GAPPED,
                proposal.number,
                self._name,
                proposal.evidence,
                inputs.auto_gaps.ttl,
                proposal.why,
                proposal.interval,
            )
            if inputs.auto_gaps.act:
                self._on_verdict(verdict)
                due.append(verdict)
        return due

    async def _propose(self, step: LimitCommand | LiftVerdict) -> None:
        try:
            answer = await self._replica.change(Envelope("", 0, step), COMMIT_TIMEOUT_S)
        except (NotLeaderError, BusyError, StoreUnavailableError):
            self._counters.add("limits.not_proposed")  # another instance leads, or is about to
            return
        if not isinstance(answer, StepApplied):
            self._counters.add("limits.refused_steps")
            self._log.event("limit_step_refused", why=str(answer))
        elif isinstance(step, Split):
            self._counters.add("limits.splits")
            shares = {name: round(share, 3) for name, share in step.shares.items()}
            self._log.event("limit_split", limit=step.limit, budget=step.budget, shares=shares)
        elif isinstance(step, LiftVerdict):
            self._counters.add("limits.lifts")

    def _calls_ended(self, limit: str, index: int, inputs: LimitInputs) -> bool:
        """Whether calls that were in progress when a share was reduced have ended.

        They end within `longest_call_s`; the margin covers a fast clock. Always true for a rate limit.
        """
        if not any(known.id == limit and known.server for known in inputs.limits):
            return True
        since = self._confirmed_since.setdefault((limit, index), clock())
        while len(self._confirmed_since) > MAX_LIMITS:
            del self._confirmed_since[next(iter(self._confirmed_since))]
        return clock() - since >= inputs.longest_call_s * CLOCK_RATE_MARGIN

    def _lift_expired(self) -> LiftVerdict | None:
        """The command that lifts the next expired verdict, by the time since this leader first saw it."""
        now = clock()
        held = self._replica.node.state_machine.verdicts.all
        self._first_seen = {(v.id, v.version): self._first_seen.get((v.id, v.version), now) for v in held}
        for verdict in held:
            if now - self._first_seen[verdict.id, verdict.version] >= verdict.ttl:
                return LiftVerdict(verdict.id, f"{self._name}: its time is over")
        return None

    def _issue_failure_verdicts(self) -> None:
        """Issues a verdict on each server that this instance has avoided for `failed_after` seconds."""
        inputs, now = self._inputs(), clock()
        self._avoidance.update(inputs.avoided if inputs else frozenset(), now)
        if inputs is None or inputs.verdict_settings.failed_after <= 0 or not self._replica.may_act():
            return
        for name, avoided_s in self._avoidance.durations(now).items():
            last_verdict_at = self._last_verdict_at.get(name, float("-inf"))
            if avoided_s >= inputs.verdict_settings.failed_after and now - last_verdict_at >= min(
                VERDICT_REPEAT_S, inputs.verdict_settings.ttl / 2
            ):
                self._last_verdict_at[name] = now
                self._counters.add("limits.judged")
                verdict = IssueVerdict(
                    FAILED,
                    name,
                    self._name,
                    avoided_s,
                    inputs.verdict_settings.ttl,
                    f"avoided for {avoided_s:.1f} s",
                )
                self._on_verdict(verdict)
                self._replica.change_nowait(Envelope("", 0, verdict))

    # Status

    def status(self) -> dict[str, Any]:
        """Limits and verdicts as last applied here, with the call counts of this instance."""
        state_machine = self._replica.node.state_machine
        inputs = self._inputs()
        demands: Mapping[str, Mapping[str, float]] = self._replica.demands() if self._leads() else {}
        local_statistics = self._buckets.statistics()
        limits = []
        for limit in inputs.limits if inputs else ():
            allocation = state_machine.shares.get(
                caller_limit_key(limit.id, ALL_CALLERS) if limit.each else limit.id
            )
            caller_shares = {
                key.partition("@")[2]: allocation_of_caller.shares
                for key, allocation_of_caller in state_machine.shares.limits.items()
                if limit.each
                and key.startswith(f"{limit.id}@")
                and key != caller_limit_key(limit.id, ALL_CALLERS)
            }
            limits.append(
                {
                    "id": limit.id,
                    "per_s": limit.per_s,
                    "server": limit.server,
                    "each": "caller" if limit.each else "",
                    "callers": caller_shares,
                    "burst_s": limit.burst_s,
                    "reason": limit.reason,
                    "shares": allocation.shares,
                    "owed": allocation.owed,
                    "free": allocation.free if allocation.budget else limit.per_s,
                    "demand": {name: round(row.get(limit.id, 0.0), 3) for name, row in demands.items()},
                    "here": local_statistics.get(limit.id, {}),
                }
            )
        verdicts = [
            {
                "verdict": v.id,
                "kind": v.kind,
                "subject": v.subject,
                "origin": v.origin,
                "evidence_s": round(v.evidence, 3),
                "ttl_s": v.ttl,
                "why": v.why,
                "value": v.value,
                "version": v.version,
            }
            for v in state_machine.verdicts.all
        ]
        return {
            "instance": self._name,
            "current": self._replica.may_act(),
            "limits": limits,
            "verdicts": verdicts,
        }

    def _leads(self) -> bool:
        """Whether this instance leads and knows who holds a lease."""
        return self._replica.leases() is not None
