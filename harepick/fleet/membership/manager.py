"""The steward of one instance: while it leads, it watches who holds a lease and takes the rule's steps."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import anyio

from harepick.counters import Counters
from harepick.fleet.membership.absences import AbsenceList, SetMemberState
from harepick.fleet.membership.policy import (
    Add,
    FleetState,
    Member,
    MembershipSettings,
    Remove,
    Step,
    decide,
    removal_blocker,
)
from harepick.log import Log
from harepick.store.raft.core import BadChangeError, BusyError, NotLeaderError
from harepick.store.replica import Replica, StoreUnavailableError, clock
from harepick.store.state_machine import Envelope, Refused

POLL_INTERVAL_S = 0.2  # seconds between two looks, if nothing wakes it
MIN_PAUSE_S = 0.05  # between two looks in any case
COMMIT_TIMEOUT_S = 5.0  # for one step to be committed
KNOCKS = 3.0  # seconds for which one that was turned away counts as being there


class MembershipManager:
    def __init__(
        self, replica: Replica, plan: Callable[[], MembershipSettings | None], counters: Counters, log: Log
    ) -> None:
        """`plan` gives None as long as there is no configuration."""
        self._replica, self._plan = replica, plan
        self._counters, self._log = counters, log
        self._since: dict[str, float] = {}  # member -> since when it holds no lease, seen while leading

    @property
    def absences(self) -> AbsenceList:
        return self._replica.node.state_machine.absences

    def fleet_state(self) -> FleetState | None:
        """None while this instance does not lead, or can't know yet who holds a lease."""
        leases = self._replica.leases()
        if leases is None:
            self._since.clear()
            return None
        raft, now = self._replica.node.raft, clock()
        members = {m.id: Member(m.address, m.voter) for m in raft.membership.members}
        self._since = {name: self._since.get(name, now) for name in members if name not in leases[0]}
        knocks = self._replica.rejoin_attempts
        orders = self._replica.node.state_machine.orders
        return FleetState(
            name=self._replica.settings.replica,
            now=time.time(),
            settled=raft.membership_index <= raft.commit,
            members=members,
            gone={name: now - since for name, since in self._since.items()},
            rejoining=frozenset(n for n, at in knocks.items() if n not in members and now - at < KNOCKS),
            in_maintenance=orders.excluded("controller"),
        )

    async def run(self) -> None:
        """Until cancelled."""
        while True:
            try:
                await self._turn()
            except (NotLeaderError, BusyError, BadChangeError, StoreUnavailableError):
                self._counters.add(
                    "roster.not_done"
                )  # another leads, or a change is under way: it looks anew
            await anyio.sleep(MIN_PAUSE_S)
            await self._replica.wait_for_change(POLL_INTERVAL_S)

    async def _turn(self) -> None:
        plan, sight = self._plan(), self.fleet_state()
        if plan is None or sight is None:
            return
        step = decide(self.absences, plan, sight)
        if step is not None:
            await self._carry_out(step)

    async def _carry_out(self, step: Step) -> None:
        match step:
            case Remove(instance):
                await self._replica.remove(instance, COMMIT_TIMEOUT_S)
                self._told("member_removed", instance)
            case Add(instance, address):
                await self._replica.add(instance, address, COMMIT_TIMEOUT_S)
                self._told("member_added", instance)
            case SetMemberState(instance, state, why=why):
                answer = await self._replica.change(Envelope("", 0, step), COMMIT_TIMEOUT_S)
                if isinstance(answer, Refused):
                    self._counters.add("roster.refused")
                    self._log.event("roster_refused", why=answer.why)
                    return
                self._told(f"member_{state or 'present'}", instance, why)

    def _told(self, event: str, instance: str, why: str = "") -> None:
        self._counters.add(f"roster.{event}")
        self._log.event(event, instance=instance, why=why)

    def status(self) -> dict[str, Any]:
        """Who is absent, as last applied here; and, where this instance leads, who is gone and why it still
        is a member."""
        plan, sight = self._plan() or MembershipSettings(), self.fleet_state()
        gone = sight.gone if sight else {}
        return {
            "instance": self._replica.settings.replica,
            "current": self._replica.may_act(),
            "drop_after_s": plan.drop_after,
            "keep": plan.keep,
            "absent": [
                {"replica": a.instance, "state": a.state, "address": a.address, "why": a.why, "at": a.at}
                for a in self.absences.absent
            ],
            "gone": [
                {
                    "replica": name,
                    "for_s": round(span, 1),
                    "stays": removal_blocker(name, plan, sight) if sight else "",
                }
                for name, span in gone.items()
            ],
        }
