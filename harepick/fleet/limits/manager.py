"""The steward of limits and verdicts: while this instance leads it proposes splits, settles them, and lifts
verdicts whose time is over; always, it tells its demand, and judges servers if the configuration asks for it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import anyio

from harepick.counters import Counters
from harepick.fleet.health import AvoidanceTracker
from harepick.fleet.limits.limit_buckets import Limit, LimitBuckets
from harepick.fleet.limits.policy import ALL_CALLERS, FleetState, budgets, caller_limit_key, steps
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

POLL_INTERVAL_S = 0.1  # seconds between two looks, if nothing wakes it
MIN_PAUSE_S = 0.02
COMMIT_TIMEOUT_S = 5.0  # for one step to be committed
MAX_STEPS = 16  # at one look, each about another limit; the next look sees what they came to
VERDICT_REPEAT_S = 1.0  # seconds between two verdicts of this instance on one server


@dataclass(frozen=True, slots=True)
class LimitInputs:
    """What the front knows, at one moment."""

    revision: int
    limits: tuple[Limit, ...]
    plan: VerdictSettings
    avoided: frozenset[str]  # servers that the module avoids now, by name
    longest: float  # seconds that a call may be under way
    auto: AutoGapSettings | None = None  # gaps that set themselves
    spared: frozenset[str] = frozenset()  # numbers that have a gap of the operators'


class LimitManager:
    def __init__(
        self,
        replica: Replica,
        purse: LimitBuckets,
        facts: Callable[[], LimitInputs | None],
        counters: Counters,
        log: Log,
        told: Callable[[IssueVerdict], None] = lambda judge: None,
    ) -> None:
        """`facts` gives None as long as there is no configuration; `told` hears of each verdict before it is
        proposed."""
        self._replica, self._purse, self._facts = replica, purse, facts
        self._counters, self._log, self._told = counters, log, told
        self._me = replica.settings.replica
        self._watch = AvoidanceTracker()  # of servers that are avoided here
        self._judged: dict[str, float] = {}  # server -> when this instance judged it last
        self._seen: dict[tuple[int, int], float] = {}  # verdict and its version -> when first seen leading
        self._resting: dict[tuple[str, int], float] = {}  # limit and entry -> since when nobody waits for it
        self._auto = AutoGaps()
        self.detector: Detector | None = None  # while gaps set themselves

    async def run(self) -> None:
        """Until cancelled."""
        while True:
            self._judge()
            now = clock()
            self._replica.node.demand = self._purse.demands(now) | self._heavy() | self._watch.rows(now)
            await self._turn()
            await anyio.sleep(MIN_PAUSE_S)
            await self._replica.wait_for_change(POLL_INTERVAL_S)

    async def _turn(self) -> None:
        facts, leases = self._facts(), self._replica.leases()
        if facts is None or leases is None:
            self._seen.clear()
            self._resting.clear()
            self._auto = AutoGaps()
            return
        machine = self._replica.node.state_machine
        live, waits = leases
        members = frozenset(m.id for m in self._replica.node.raft.membership.members)
        sight = FleetState(
            name=self._me,
            revision=facts.revision,
            live=live & members - machine.orders.given_up(),
            demands=self._replica.demands(),
            waits=waits,
            whole=frozenset(limit.id for limit in facts.limits if limit.server),
            rested=lambda limit, index: self._rested(limit, index, facts),
        )
        limits = {limit.id: limit.per_s for limit in facts.limits}
        each = frozenset(limit.id for limit in facts.limits if limit.each)
        due = budgets(limits, each, machine.shares, sight.demands)
        over = self._over()  # never behind the splits: there may be some to make all the time
        async with anyio.create_task_group() as tasks:
            for judge in self._gaps_due(facts):  # none waits for its answer: it comes when all honour it
                self._replica.change_nowait(Envelope("", 0, judge))
            for step in ([over] if over else []) + steps(machine.shares, due, sight)[:MAX_STEPS]:
                tasks.start_soon(self._propose, step)

    def _heavy(self) -> dict[str, float]:
        """Numbers that are called much here, as the leader hears of them."""
        facts = self._facts()
        if self.detector is None or facts is None or facts.auto is None:
            return {}
        found: dict[str, float] = {}
        # A tenth here: the fleet may have many instances, and a gap that holds is eased by what is told.
        for number, (offered, bad) in self.detector.heaviest(clock(), facts.auto.per_s / 10).items():
            found |= {number: offered, failed_rate_key(number): bad}
        return found

    def _gaps_due(self, facts: LimitInputs) -> list[IssueVerdict]:
        """Gaps that set themselves, to begin or to go on."""
        if facts.auto is None:
            return []
        holding = self._replica.node.state_machine.verdicts.gapped()
        rates = sum_call_rates(self._replica.demands())
        found = []
        for want in self._auto.decide(facts.auto, rates, holding, facts.spared, clock()):
            known = want.number in holding
            event = "autogap" if facts.auto.act else "autogap_proposed"
            self._log.event(event, number=want.number, interval=want.interval, why=want.why, known=known)
            self._counters.add("gaps.renewed" if known else "gaps.detected")
            judge = IssueVerdict(
                GAPPED, want.number, self._me, want.evidence, facts.auto.ttl, want.why, want.interval
            )
            if facts.auto.act:
                self._told(judge)
                found.append(judge)
        return found

    async def _propose(self, step: LimitCommand | LiftVerdict) -> None:
        try:
            answer = await self._replica.change(Envelope("", 0, step), COMMIT_TIMEOUT_S)
        except (NotLeaderError, BusyError, StoreUnavailableError):
            self._counters.add("limits.not_proposed")  # another leads, or comes to
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

    def _rested(self, limit: str, index: int, facts: LimitInputs) -> bool:
        """Calls under way when a share was taken end within their deadline; a clock may be fast."""
        if not any(known.id == limit and known.server for known in facts.limits):
            return True
        since = self._resting.setdefault((limit, index), clock())
        while len(self._resting) > MAX_LIMITS:
            del self._resting[next(iter(self._resting))]
        return clock() - since >= facts.longest * CLOCK_RATE_MARGIN

    def _over(self) -> LiftVerdict | None:
        """The next verdict whose time is over, counted from when this leader first saw it."""
        now = clock()
        held = self._replica.node.state_machine.verdicts.all
        self._seen = {(v.id, v.version): self._seen.get((v.id, v.version), now) for v in held}
        for verdict in held:
            if now - self._seen[verdict.id, verdict.version] >= verdict.ttl:
                return LiftVerdict(verdict.id, f"{self._me}: its time is over")
        return None

    def _judge(self) -> None:
        """A server that the module here has avoided for so long has failed, for all."""
        facts, now = self._facts(), clock()
        self._watch.update(facts.avoided if facts else frozenset(), now)
        if facts is None or facts.plan.failed_after <= 0 or not self._replica.may_act():
            return
        for name, long in self._watch.spans(now).items():
            last = self._judged.get(name, float("-inf"))
            if long >= facts.plan.failed_after and now - last >= min(VERDICT_REPEAT_S, facts.plan.ttl / 2):
                self._judged[name] = now
                self._counters.add("limits.judged")
                judge = IssueVerdict(
                    FAILED, name, self._me, long, facts.plan.ttl, f"avoided for {long:.1f} s"
                )
                self._told(judge)
                self._replica.change_nowait(Envelope("", 0, judge))

    # What can be seen

    def status(self) -> dict[str, Any]:
        """Limits and verdicts as last applied here, with what this instance spent of them."""
        machine = self._replica.node.state_machine
        facts = self._facts()
        demands: Mapping[str, Mapping[str, float]] = self._replica.demands() if self._leads() else {}
        here = self._purse.statistics()
        limits = []
        for limit in facts.limits if facts else ():
            holding = machine.shares.get(caller_limit_key(limit.id, ALL_CALLERS) if limit.each else limit.id)
            named = {
                key.partition("@")[2]: known.shares
                for key, known in machine.shares.limits.items()
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
                    "callers": named,
                    "burst_s": limit.burst_s,
                    "reason": limit.reason,
                    "shares": holding.shares,
                    "owed": holding.owed,
                    "free": holding.free if holding.budget else limit.per_s,
                    "demand": {name: round(row.get(limit.id, 0.0), 3) for name, row in demands.items()},
                    "here": here.get(limit.id, {}),
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
            for v in machine.verdicts.all
        ]
        return {
            "instance": self._me,
            "current": self._replica.may_act(),
            "limits": limits,
            "verdicts": verdicts,
        }

    def _leads(self) -> bool:
        return self._replica.leases() is not None
