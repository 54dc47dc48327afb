"""Simulates a fleet that drops lost members from the store's voters and takes them back.

This is the simulation of `benchmarks/store_model.py` with the membership policy at work in the leader and
with instances that are down for a long time. Beside the invariants of the store it checks that dropping a
member leaves `keep` voters and a majority of them present, and that all vote again once all faults are over.

    python -m benchmarks.heal_model --seeds 1000 --first-seed 1
"""

from __future__ import annotations

import contextlib
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from benchmarks.daemons import print_line
from benchmarks.store_model import (
    LEASE_S,
    Host,
    Result,
    ViolationError,
    World,
    arguments,
    run_seed,
    run_world,
    sum_results,
)
from harepick.fleet.membership.absences import LEAVING, SetMemberState
from harepick.fleet.membership.policy import (
    Add,
    Member,
    MembershipFleetState,
    MembershipSettings,
    Remove,
    decide,
)
from harepick.store.node import Node
from harepick.store.raft.core import BadChangeError, BusyError, NotLeaderError, Role
from harepick.store.state_machine import Envelope

REPLICAS = 5
SETTINGS = MembershipSettings(drop_after=1.2, keep=3)
CHECK_INTERVAL_S = 0.1  # between two decisions of a leader
MEAN_ABSENCE_S = 7.0
BREAKS = ("", "keeps_none", "forgets")


class HealingWorld(World):
    """The store's world with the membership policy.

    `broken`: `keeps_none` drops members down to the last voter, `forgets` removes a member without recording
    its absence."""

    broken = ""

    def __init__(self, seed: int, replicas: int) -> None:
        super().__init__(seed, replicas)
        self.stats |= dict.fromkeys(("dropped", "taken_back", "marks", "fewest"), 0)
        self.stats["fewest"] = replicas
        self.healed = False
        self.call_later(1.5, self._lose_host)

    def _start(self, host: Host) -> None:
        super()._start(host)
        lost_since: dict[str, float] = {}
        incarnation = host.incarnation

        def check_members() -> None:
            if host.incarnation != incarnation:
                return
            self._run(host, incarnation, lambda: self._check_members(host, lost_since))
            self.call_later(CHECK_INTERVAL_S, check_members)

        self.call_later(CHECK_INTERVAL_S, check_members)

    def heal(self) -> None:
        super().heal()
        self.healed = True

    def _inject_fault(self) -> None:
        """Fewer faults than in the store's world: a leader has to last until it may drop a member."""
        if self.rng.random() < 0.3:
            super()._inject_fault()
        else:
            self.call_later(self.rng.expovariate(1 / 0.5), self._inject_fault)

    def _change_membership(self) -> None:
        """No operator changes the members here: only the fleet does."""

    def _lose_host(self) -> None:
        """Stops one host after another for a long time, at times until no majority is left."""
        if self.healed:
            return
        self.call_later(self.rng.uniform(1.5, 4.0), self._lose_host)
        host = self.rng.choice(list(self.hosts.values()))
        if host.node:
            host.incarnation += 1
            host.node = host.storage = None
            host.files.process_dies()
            self.call_later(self.rng.uniform(0.5, 1.5) * MEAN_ABSENCE_S, partial(self._bring_back, host))

    def _bring_back(self, host: Host) -> None:
        if host.node is None:
            self._start(host)

    def _check_members(self, host: Host, lost_since: dict[str, float]) -> None:
        node, now = host.node, self.clock(host)
        assert node
        if node.stopped or node.raft.role is not Role.LEADER or node.grants.unconfirmed_by(0, now):
            lost_since.clear()
            return
        fleet = self._fleet_state(host, node, lost_since, now)
        absences = node.state_machine.absences
        settings = MembershipSettings(SETTINGS.drop_after, 1) if self.broken == "keeps_none" else SETTINGS
        step = decide(absences, settings, fleet)
        with contextlib.suppress(NotLeaderError, BusyError, BadChangeError):
            match step:
                case SetMemberState():
                    if self.broken == "forgets" and step.state == LEAVING:
                        node.remove(step.instance, lambda answer: None)
                        return
                    node.change(Envelope("", 0, step), lambda answer: None)
                    self.stats["marks"] += 1
                case Remove(instance):
                    self._check_removal(instance, fleet)
                    node.remove(instance, lambda answer: None)
                    self.stats["dropped"] += 1
                case Add(instance, address):
                    node.add(instance, address, lambda answer: None)
                    self.stats["taken_back"] += 1

    def _fleet_state(
        self, host: Host, node: Node, lost_since: dict[str, float], now: float
    ) -> MembershipFleetState:
        members = {member.id: Member(member.address, member.voter) for member in node.raft.membership.members}
        live = node.grants.holders(now)
        for name in members:
            if name in live:
                lost_since.pop(name, None)
            else:
                lost_since.setdefault(name, now)
        for name in [name for name in lost_since if name not in members]:
            del lost_since[name]
        return MembershipFleetState(
            name=host.name,
            now=now,
            membership_committed=node.raft.membership_index <= node.raft.commit,
            members=members,
            without_lease={name: now - lost_at for name, lost_at in lost_since.items()},
            rejoining=frozenset(
                other.name
                for other in self.hosts.values()
                if other.name not in members
                and other.node
                and not other.paused
                and not {(other.name, host.name), (host.name, other.name)} & self.cuts
            ),
            in_maintenance=frozenset(),
        )

    def _check_removal(self, instance: str, fleet: MembershipFleetState) -> None:
        if not fleet.members[instance].voter:
            return
        remaining = fleet.voters - {instance}
        present = remaining - fleet.without_lease.keys()
        self.stats["fewest"] = min(self.stats["fewest"], len(remaining))
        if len(remaining) < SETTINGS.keep or len(present) <= len(remaining) // 2:
            raise ViolationError(
                f"{instance} was dropped while {sorted(present)} of {sorted(remaining)} were present"
            )


def run_until_healed(
    seed: int, seconds: float = 20.0, world_class: type[HealingWorld] = HealingWorld
) -> HealingWorld:
    """Runs one world; at its end, after the faults, all must vote again. Raises `ViolationError`."""
    healed_world = run_world(seed, REPLICAS, seconds, world_class)
    assert isinstance(healed_world, HealingWorld)
    healed_world.run_until(seconds + 12.0 + 3 * MEAN_ABSENCE_S + 10 * LEASE_S)
    for host in healed_world.hosts.values():
        if host.node and host.node.raft.role is Role.LEADER:
            voters = host.node.raft.membership.voters
            if len(voters) != REPLICAS:
                raise ViolationError(
                    f"at the end {voters} vote and {host.node.state_machine.absences.absent} are absent"
                )
    return healed_world


def _broken_world(broken: str) -> type[HealingWorld]:
    return type(broken, (HealingWorld,), {"broken": broken})


def schedule(seed: int, broken: str = "", seconds: float = 20.0) -> tuple[dict[str, int], str]:
    """Runs one seed; returns its statistics and the violation found, or an empty text."""
    return _run_job((seed, broken, seconds))[1:]


def _run_job(job: tuple[int, str, float]) -> Result:
    seed, broken, seconds = job
    return run_seed(
        seed, lambda: run_until_healed(seed, seconds, _broken_world(broken) if broken else HealingWorld)
    )


def main() -> int:
    parser = arguments(__doc__)
    parser.add_argument(
        "--break",
        dest="broken",
        choices=BREAKS,
        default="",
        help="break a rule on purpose, to prove that it is checked",
    )
    options = parser.parse_args()
    began = time.monotonic()
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    with ProcessPoolExecutor(options.processes) as pool:
        jobs = [(seed, options.broken, options.seconds) for seed in seeds]
        totals, violations = sum_results(list(pool.map(_run_job, jobs, chunksize=4)), "fewest")
    enough = totals.get("dropped", 0) > options.seeds and totals.get("taken_back", 0) > options.seeds
    line = {
        "benchmark": "heal_model",
        "seed": options.first_seed,
        "ok": not violations and enough,
        "seeds": options.seeds,
        "violations": len(violations),
        **totals,
        "took_s": round(time.monotonic() - began, 1),
    }
    return print_line(line)


if __name__ == "__main__":
    sys.exit(main())
