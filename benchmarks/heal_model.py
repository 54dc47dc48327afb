"""Members that are dropped and taken back in the store's seeded world: `benchmarks/store_model.py`, with the
roster's rule at work in whoever leads, and losses that last.

All that the store's world checks is checked here too; and that dropping leaves `keep` voters and a majority
of them there, and that all vote again once all troubles are over.

    python -m benchmarks.heal_model --seeds 1000 --first-seed 1
"""

from __future__ import annotations

import contextlib
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from benchmarks.daemons import print_line
from benchmarks.store_model import LEASE, Host, Row, ViolationError, World, arguments, play, row, summed
from harepick.fleet.membership.absences import LEAVING, SetMemberState
from harepick.fleet.membership.policy import Add, FleetState, Member, MembershipSettings, Remove, decide
from harepick.store.node import Node
from harepick.store.raft.core import BadChangeError, BusyError, NotLeaderError, Role
from harepick.store.state_machine import Envelope

REPLICAS = 5
PLAN = MembershipSettings(drop_after=1.2, keep=3)
LOOK = 0.1  # seconds between two looks of a leader
LOST = 7.0  # mean seconds for which one that is lost for long is away
BREAKS = ("", "keeps_none", "forgets")


class HealingWorld(World):
    """`broken`: `keeps_none` drops to the last voter, `forgets` removes without writing it on the roster."""

    broken = ""

    def __init__(self, seed: int, replicas: int) -> None:
        super().__init__(seed, replicas)
        self.stats |= dict.fromkeys(("dropped", "taken_back", "marks", "fewest"), 0)
        self.stats["fewest"] = replicas
        self.healed = False
        self.at(1.5, self._lose)

    def _start(self, host: Host) -> None:
        super()._start(host)
        since: dict[str, float] = {}
        life = host.life

        def look() -> None:
            if host.life != life:
                return
            self._run(host, life, lambda: self._look(host, since))
            self.at(LOOK, look)

        self.at(LOOK, look)

    def heal(self) -> None:
        super().heal()
        self.healed = True

    def _trouble(self) -> None:
        """Fewer than in the store's own world: a leader has to last until it may judge anybody."""
        if self.rng.random() < 0.3:
            super()._trouble()
        else:
            self.at(self.rng.expovariate(1 / 0.5), self._trouble)

    def _member(self) -> None:
        """No operator here: the fleet alone changes its members."""

    def _lose(self) -> None:
        """One after another is gone for long, at times until no majority is left."""
        if self.healed:
            return
        self.at(self.rng.uniform(1.5, 4.0), self._lose)
        host = self.rng.choice(list(self.hosts.values()))
        if host.node:
            host.life += 1
            host.node = host.storage = None
            host.files.process_dies()
            self.at(self.rng.uniform(0.5, 1.5) * LOST, partial(self._back, host))

    def _back(self, host: Host) -> None:
        if host.node is None:
            self._start(host)

    def _look(self, host: Host, since: dict[str, float]) -> None:
        node, now = host.node, self.clock(host)
        assert node
        if node.stopped or node.raft.role is not Role.LEADER or node.grants.waits_for(0, now):
            since.clear()
            return
        sight = self._sight(host, node, since, now)
        roster = node.state_machine.absences
        plan = MembershipSettings(PLAN.drop_after, 1) if self.broken == "keeps_none" else PLAN
        step = decide(roster, plan, sight)
        with contextlib.suppress(NotLeaderError, BusyError, BadChangeError):
            match step:
                case SetMemberState():
                    if self.broken == "forgets" and step.state == LEAVING:
                        node.remove(step.instance, lambda answer: None)
                        return
                    node.change(Envelope("", 0, step), lambda answer: None)
                    self.stats["marks"] += 1
                case Remove(instance):
                    self._judge(instance, sight)
                    node.remove(instance, lambda answer: None)
                    self.stats["dropped"] += 1
                case Add(instance, address):
                    node.add(instance, address, lambda answer: None)
                    self.stats["taken_back"] += 1

    def _sight(self, host: Host, node: Node, since: dict[str, float], now: float) -> FleetState:
        members = {m.id: Member(m.address, m.voter) for m in node.raft.membership.members}
        live = node.grants.holders(now)
        for name in members:
            if name in live:
                since.pop(name, None)
            else:
                since.setdefault(name, now)
        for name in [name for name in since if name not in members]:
            del since[name]
        return FleetState(
            name=host.name,
            now=now,
            membership_committed=node.raft.membership_index <= node.raft.commit,
            members=members,
            without_lease={name: now - at for name, at in since.items()},
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

    def _judge(self, instance: str, sight: FleetState) -> None:
        if not sight.members[instance].voter:
            return
        left = sight.voters - {instance}
        there = left - sight.without_lease.keys()
        self.stats["fewest"] = min(self.stats["fewest"], len(left))
        if len(left) < PLAN.keep or len(there) <= len(left) // 2:
            raise ViolationError(f"{instance} was dropped, and {sorted(there)} of {sorted(left)} were there")


def heals(seed: int, seconds: float = 20.0, world: type[HealingWorld] = HealingWorld) -> HealingWorld:
    """One world; at its end, with no trouble left, all have to be voters again. Raises `ViolationError`."""
    made = play(seed, REPLICAS, seconds, world)
    assert isinstance(made, HealingWorld)
    made.play(seconds + 12.0 + 3 * LOST + 10 * LEASE)
    for host in made.hosts.values():
        if host.node and host.node.raft.role is Role.LEADER:
            voters = host.node.raft.membership.voters
            if len(voters) != REPLICAS:
                raise ViolationError(
                    f"at the end {voters} vote, and {host.node.state_machine.absences.absent} are absent"
                )
    return made


def _broken(kind: str) -> type[HealingWorld]:
    return type(kind, (HealingWorld,), {"broken": kind})


def schedule(seed: int, kind: str = "", seconds: float = 20.0) -> tuple[dict[str, int], str]:
    """What came of one world, and what it found."""
    return _one((seed, kind, seconds))[1:]


def _one(job: tuple[int, str, float]) -> Row:
    seed, kind, seconds = job
    return row(seed, lambda: heals(seed, seconds, _broken(kind) if kind else HealingWorld))


def main() -> int:
    parser = arguments(__doc__)
    parser.add_argument("--break", dest="kind", choices=BREAKS, default="", help="a rule, on purpose")
    wanted = parser.parse_args()
    began = time.monotonic()
    seeds = range(wanted.first_seed, wanted.first_seed + wanted.seeds)
    with ProcessPoolExecutor(wanted.processes) as pool:
        jobs = [(seed, wanted.kind, wanted.seconds) for seed in seeds]
        totals, bad = summed(list(pool.map(_one, jobs, chunksize=4)), "fewest")
    enough = totals.get("dropped", 0) > wanted.seeds and totals.get("taken_back", 0) > wanted.seeds
    line = {
        "benchmark": "heal_model",
        "seed": wanted.first_seed,
        "ok": not bad and enough,
        "seeds": wanted.seeds,
        "violations": len(bad),
        **totals,
        "took_s": round(time.monotonic() - began, 1),
    }
    return print_line(line)


if __name__ == "__main__":
    sys.exit(main())
