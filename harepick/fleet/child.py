"""Starts an instance of the program with a changed clock rate, or with one rule broken; used only by the rig.

    python -m harepick.fleet.child [--clock-rate R] [--double NAME] -- --operator FILE

Without these options the rig starts `python -m harepick` itself. Each double breaks one rule, to show that
the check of that rule can fail.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from dataclasses import replace

from harepick import __main__ as program


def _set_clock_rate(rate: float) -> None:
    """Makes the store's clock run at `rate` from now on; the store reads it only through `replica.clock`."""
    from harepick.store import replica

    original_clock = replica.clock
    started_at = original_clock()
    replica.clock = lambda: started_at + (original_clock() - started_at) * rate


def _stale_lease() -> None:
    """Breaks the rule that an instance acts only while it holds its lease."""
    from harepick.store.leases import Lease

    Lease.holds = lambda self, now: True  # type: ignore[method-assign]


def _skip_confirmation() -> None:
    """Breaks the rule that a machine is out only once every instance that may act has confirmed it."""
    from harepick.store.replica import Replica

    original = Replica.leases

    def leases(self: Replica) -> tuple[frozenset[str], Callable[[int], list[str]]] | None:
        result = original(self)
        return (result[0], lambda index: []) if result else None

    Replica.leases = leases  # type: ignore[method-assign]


def _skip_handover() -> None:
    """Breaks the rule that a controller asked to go out reports that it is not ready, and serves its callers
    until they have moved."""
    from harepick.fleet.maintenance.handover import Handover
    from harepick.fleet.maintenance.orders import Order
    from harepick.store.service import StoreFront

    original = Handover.follow

    def follow(self: Handover, order: Order | None, now: float, duration: float, served: bool) -> None:
        original(self, order, now, 0.0, served)

    Handover.follow = follow  # type: ignore[method-assign]
    StoreFront.ready = lambda self: self._serving  # type: ignore[method-assign]


def _hasty_failure() -> None:
    """Breaks the rule that a server has failed only once several instances have avoided it for long enough,
    and not when it is merely full."""
    from harepick.fleet.maintenance.manager import MaintenanceManager
    from harepick.fleet.maintenance.policy import MaintenanceFleetState

    original = MaintenanceManager.fleet_state

    def fleet_state(self: MaintenanceManager) -> MaintenanceFleetState | None:
        state = original(self)
        return replace(state, failed=state.failed | state.avoided, avoided=frozenset()) if state else None

    MaintenanceManager.fleet_state = fleet_state  # type: ignore[method-assign]


def _borrow() -> None:
    """Breaks the rule that an instance uses only what it was allocated: its share of a limit, its slots of a
    gap, its concurrent calls at a server."""
    from harepick.enumdns.service import EnumFront
    from harepick.fleet.limits.caller_buckets import CallerBuckets
    from harepick.fleet.limits.limit_buckets import Bucket
    from harepick.gapping.slot_requests import SlotRequester

    EnumFront.set_concurrency_limit = lambda self, name, limit: None  # type: ignore[method-assign]
    Bucket.has_token = lambda self, now: True  # type: ignore[method-assign]
    original = CallerBuckets.has_token
    CallerBuckets.has_token = lambda self, caller, now: original(self, caller, now) or True  # type: ignore[method-assign]
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
    parser.add_argument("words", nargs="*", help="what follows -- is passed to the program")
    options = parser.parse_args()
    if options.clock_rate != 1.0:
        _set_clock_rate(options.clock_rate)
    if options.double:
        DOUBLES[options.double]()
    sys.argv = ["harepick", *options.words]
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
