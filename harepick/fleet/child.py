"""An instance of the program with its clock's rate changed, or with one rule broken: for the rig alone.

    python -m harepick.fleet.child [--clock-rate R] [--double NAME] -- --operator FILE

Without either the rig starts `python -m harepick` itself. A double shows that a check can fail.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from dataclasses import replace

from harepick import __main__ as program


def _skewed(rate: float) -> None:
    """The store's clock, the one seam it is read through, runs at `rate` from now on."""
    from harepick.store import replica

    true = replica.clock
    start = true()
    replica.clock = lambda: start + (true() - start) * rate


def _stale_lease() -> None:
    """Breaks: an instance acts only while it holds its lease."""
    from harepick.store.leases import Lease

    Lease.holds = lambda self, now: True  # type: ignore[method-assign]


def _skip_confirmation() -> None:
    """Breaks: a machine is out only once every instance that may act has confirmed it."""
    from harepick.store.replica import Replica

    true = Replica.leases

    def leases(self: Replica) -> tuple[frozenset[str], Callable[[int], list[str]]] | None:
        found = true(self)
        return (found[0], lambda index: []) if found else None

    Replica.leases = leases  # type: ignore[method-assign]


def _skip_handover() -> None:
    """Breaks: a controller that is asked out says so, and serves its callers until they have moved."""
    from harepick.fleet.maintenance.handover import Handover
    from harepick.fleet.maintenance.orders import Order
    from harepick.store.service import StoreFront

    true = Handover.follow

    def follow(self: Handover, order: Order | None, now: float, duration: float, served: bool) -> None:
        true(self, order, now, 0.0, served)

    Handover.follow = follow  # type: ignore[method-assign]
    StoreFront.ready = lambda self: self._serving  # type: ignore[method-assign]


def _hasty_failure() -> None:
    """Breaks: a server has failed once several have avoided it for long, and not when it is full."""
    from harepick.fleet.maintenance.manager import MaintenanceManager
    from harepick.fleet.maintenance.policy import FleetState

    true = MaintenanceManager.fleet_state

    def sight(self: MaintenanceManager) -> FleetState | None:
        found = true(self)
        return replace(found, failed=found.failed | found.avoided, avoided=frozenset()) if found else None

    MaintenanceManager.fleet_state = sight  # type: ignore[method-assign]


def _borrow() -> None:
    """Breaks: an instance spends only what it holds: its share, its turns, its room at a server."""
    from harepick.enumdns.service import EnumFront
    from harepick.fleet.limits.caller_buckets import CallerBuckets
    from harepick.fleet.limits.limit_buckets import Bucket
    from harepick.gapping.slot_requests import SlotRequester

    EnumFront.set_concurrency_limit = lambda self, name, room: None  # type: ignore[method-assign]
    Bucket.has_token = lambda self, now: True  # type: ignore[method-assign]
    true = CallerBuckets.has_token
    CallerBuckets.has_token = lambda self, caller, now: true(self, caller, now) or True  # type: ignore[method-assign]
    SlotRequester.owns = lambda self, gap, slot: True  # type: ignore[method-assign]


DOUBLES: dict[str, Callable[[], None]] = {
    "stale-lease": _stale_lease,
    "skip-confirmation": _skip_confirmation,
    "skip-handover": _skip_handover,
    "hasty-failure": _hasty_failure,
    "borrow": _borrow,
}


def main() -> int:
    parser = argparse.ArgumentParser(prog="harepick.fleet.child", description=__doc__)
    parser.add_argument("--clock-rate", type=float, default=1.0)
    parser.add_argument("--double", choices=sorted(DOUBLES))
    parser.add_argument("words", nargs="*", help="what follows -- goes to the program")
    wanted = parser.parse_args()
    if wanted.clock_rate != 1.0:
        _skewed(wanted.clock_rate)
    if wanted.double:
        DOUBLES[wanted.double]()
    sys.argv = ["harepick", *wanted.words]
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
