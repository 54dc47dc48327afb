"""How a controller under a maintenance order hands its callers over. Pure: time is an argument.

Stages: `serving`; `handing_over` (readiness is false, so that callers move, but calls are still served);
`closed` (new calls are refused, calls in progress end); `out` (nothing is sent any more). The controller
reports that it is idle only while `closed`, so that no call can arrive after the report.
"""

from __future__ import annotations

from harepick.fleet.maintenance.orders import Order

SERVING, HANDING_OVER, CLOSED, OUT = "serving", "handing_over", "closed", "out"
CLOSED_STAGES = (CLOSED, OUT)


class Handover:
    """The handover of this process's controller: `follow` takes its order, `stage` returns the stage."""

    def __init__(self) -> None:
        self._order: Order | None = None
        self._handover_ends_at = float("-inf")  # by the clock that is passed to `follow` and `stage`

    def follow(self, order: Order | None, now: float, duration: float, served: bool) -> None:
        """Takes the open order on this controller, as last applied.

        `duration`: seconds for the callers to move. `served`: whether this process has taken calls. A process
        that starts under an order has no callers to hand over and accepts none, so that an idle report of the
        previous process remains valid.
        """
        if order is not None and order.state == "waiting":
            order = None
        if order is None:
            self._handover_ends_at = float("-inf")
        elif self._order is None or self._order.id != order.id:
            self._handover_ends_at = now + duration if served else float("-inf")
        self._order = order

    def stage(self, now: float) -> str:
        """The stage at `now`."""
        order = self._order
        if order is None:
            return SERVING
        if order.state == "out":
            return OUT
        return CLOSED if order.idle or now >= self._handover_ends_at else HANDING_OVER
