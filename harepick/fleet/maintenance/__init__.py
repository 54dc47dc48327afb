"""Machines out for work: what the fleet's instances settle among themselves. `docs/design/maintenance.md`."""

from harepick.fleet.maintenance.orders import (
    AdvanceOrder,
    CancelOrder,
    FinishOrder,
    Order,
    OrderCommand,
    Orders,
    OrdersState,
    RefusedOrderError,
    ReportIdle,
    RequestMaintenance,
    SetControllerState,
)

__all__ = [
    "AdvanceOrder",
    "CancelOrder",
    "FinishOrder",
    "Order",
    "OrderCommand",
    "Orders",
    "OrdersState",
    "RefusedOrderError",
    "ReportIdle",
    "RequestMaintenance",
    "SetControllerState",
]
