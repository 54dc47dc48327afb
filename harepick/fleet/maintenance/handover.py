"""How one controller that was asked out hands its callers over. Pure: time is an argument.

`serving`, then `handing_over` (readiness says no, so that callers move, and what still comes is served),
then `closed` (nothing new is taken, what is under way ends), then `out` (nothing leaves any more). That it is
idle is told in `closed` alone, so that no call can come after it was told.
"""

from __future__ import annotations

from harepick.fleet.maintenance.orders import Order

SERVING, HANDING_OVER, CLOSED, OUT = "serving", "handing_over", "closed", "out"
CLOSED_STAGES = (CLOSED, OUT)


class Handover:
    """Owns how far the controller of this process has come; `follow` hears of its order, `stage` tells."""

    def __init__(self) -> None:
        self._order: Order | None = None
        self._until = float("-inf")  # when handing over is done, on the caller's clock

    def follow(self, order: Order | None, now: float, length: float, served: bool) -> None:
        """`order`: the open one on this controller, as last applied; `length`: seconds for the callers to
        move; `served`: whether this process has taken calls. One that starts under an order has no callers to
        hand over, and takes none: what the process before it told of its being idle goes on holding."""
        if order is not None and order.state == "waiting":
            order = None
        if order is None:
            self._until = float("-inf")
        elif self._order is None or self._order.id != order.id:
            self._until = now + length if served else float("-inf")
        self._order = order

    def stage(self, now: float) -> str:
        order = self._order
        if order is None:
            return SERVING
        if order.state == "out":
            return OUT
        return CLOSED if order.idle or now >= self._until else HANDING_OVER
