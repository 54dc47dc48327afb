"""Machines out for work: what the fleet's instances settle among themselves. `docs/design/maintenance.md`."""

from harepick.fleet.maintenance.orders import (
    AskOut,
    Finish,
    Idle,
    Move,
    Order,
    OrderCommand,
    Orders,
    OrdersState,
    RefusedOrderError,
    Seat,
    Withdraw,
)

__all__ = [
    "AskOut",
    "Finish",
    "Idle",
    "Move",
    "Order",
    "OrderCommand",
    "Orders",
    "OrdersState",
    "RefusedOrderError",
    "Seat",
    "Withdraw",
]
