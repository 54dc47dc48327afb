"""Maintenance orders for servers and controllers of the fleet. `docs/design/maintenance.md`."""

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
