"""The membership manager of one instance: while it leads, it evaluates the policy and executes its steps."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import anyio

from harepick.counters import Counters
from harepick.fleet.membership.absences import AbsenceList, SetMemberState
from harepick.fleet.membership.policy import (
    Add,
    Member,
    MembershipFleetState,
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

POLL_INTERVAL_S = 0.2  # between two evaluations, unless the store changes
MIN_PAUSE_S = 0.05  # between two evaluations in any case
COMMIT_TIMEOUT_S = 5.0  # for one step to be committed
REJOIN_VISIBLE_S = 3.0  # for which a non-member counts as alive after its connection was refused


class MembershipManager:
    """Evaluates the membership policy periodically and executes its steps."""

    def __init__(
        self,
        replica: Replica,
        settings: Callable[[], MembershipSettings | None],
        counters: Counters,
        log: Log,
    ) -> None:
        """`settings` returns None while there is no configuration."""
        self._replica, self._settings = replica, settings
        self._counters, self._log = counters, log
        self._without_lease_since: dict[str, float] = {}  # by member, while this instance leads

    @property
    def absences(self) -> AbsenceList:
        """The absent members as last applied here."""
        return self._replica.node.state_machine.absences

    def fleet_state(self) -> MembershipFleetState | None:
        """Input of the policy; None while this instance does not lead or know yet who holds a lease."""
        leases = self._replica.leases()
        if leases is None:
            self._without_lease_since.clear()
            return None
        raft, now = self._replica.node.raft, clock()
        members = {member.id: Member(member.address, member.voter) for member in raft.membership.members}
        self._without_lease_since = {
            name: self._without_lease_since.get(name, now) for name in members if name not in leases[0]
        }
        rejoin_attempts = self._replica.rejoin_attempts
        orders = self._replica.node.state_machine.orders
        return MembershipFleetState(
            name=self._replica.settings.replica,
            now=time.time(),
            membership_committed=raft.membership_index <= raft.commit,
            members=members,
            without_lease={name: now - since for name, since in self._without_lease_since.items()},
            rejoining=frozenset(
                other
                for other, at in rejoin_attempts.items()
                if other not in members and now - at < REJOIN_VISIBLE_S
            ),
            in_maintenance=orders.excluded("controller"),
        )

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            try:
                await self._evaluate()
            except (NotLeaderError, BusyError, BadChangeError, StoreUnavailableError):
                # Another instance leads, or another change is in progress: the next evaluation retries.
                self._counters.add("roster.not_done")
            await anyio.sleep(MIN_PAUSE_S)
            await self._replica.wait_for_change(POLL_INTERVAL_S)

    async def _evaluate(self) -> None:
        settings, fleet_state = self._settings(), self.fleet_state()
        if settings is None or fleet_state is None:
            return
        step = decide(self.absences, settings, fleet_state)
        if step is not None:
            await self._execute(step)

    async def _execute(self, step: Step) -> None:
        match step:
            case Remove(instance):
                await self._replica.remove(instance, COMMIT_TIMEOUT_S)
                self._record("member_removed", instance)
            case Add(instance, address):
                await self._replica.add(instance, address, COMMIT_TIMEOUT_S)
                self._record("member_added", instance)
            case SetMemberState(instance, state, why=why):
                answer = await self._replica.change(Envelope("", 0, step), COMMIT_TIMEOUT_S)
                if isinstance(answer, Refused):
                    self._counters.add("roster.refused")
                    self._log.event("roster_refused", why=answer.why)
                    return
                self._record(f"member_{state or 'present'}", instance, why)

    def _record(self, event: str, instance: str, why: str = "") -> None:
        self._counters.add(f"roster.{event}")
        self._log.event(event, instance=instance, why=why)

    def status(self) -> dict[str, Any]:
        """Absent members as last applied here; if this instance leads, also members without a lease, and why
        each is still a member.
        """
        settings, fleet_state = self._settings() or MembershipSettings(), self.fleet_state()
        without_lease = fleet_state.without_lease if fleet_state else {}
        return {
            "instance": self._replica.settings.replica,
            "current": self._replica.may_act(),
            "drop_after_s": settings.drop_after,
            "keep": settings.keep,
            "absent": [
                {
                    "replica": member.instance,
                    "state": member.state,
                    "address": member.address,
                    "why": member.why,
                    "at": member.at,
                }
                for member in self.absences.absent
            ],
            "gone": [
                {
                    "replica": name,
                    "for_s": round(duration, 1),
                    "stays": removal_blocker(name, settings, fleet_state) if fleet_state else "",
                }
                for name, duration in without_lease.items()
            ],
        }
