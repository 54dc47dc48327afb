"""`[maintenance]` of the store's configuration: read and checked here; errors name the faulty key."""

from __future__ import annotations

from collections.abc import Mapping, Set
from typing import Any

from harepick.fleet.maintenance.policy import Group, MaintenanceSettings
from harepick.settings import SettingsError

KEYS = {"max_out", "max_out_controllers", "floor", "capacity", "group", "handover_s", "failed_after_s"}
MAX_GROUPS = 64
MAX_CAPACITY = 1e9
MAX_HANDOVER = 60.0  # seconds
MAX_FAILED_AFTER = 3600.0


def _bad(key: str, why: str) -> SettingsError:
    return SettingsError(f"setting maintenance.{key} {why}")


def _count(table: Mapping[str, Any], key: str) -> int:
    value = table.get(key, 1)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= 64:
        raise _bad(key, f"is no whole number from 0 to 64: {value!r}")
    return value


def _amount(value: Any, key: str, most: float = MAX_CAPACITY) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= most:
        raise _bad(key, f"is no amount from 0 to {most:g}: {value!r}")
    return float(value)


def read_maintenance(table: Any, servers: Set[str]) -> MaintenanceSettings:
    """`servers` are the names of the configuration's upstreams. Raises `SettingsError`."""
    if not isinstance(table, Mapping):
        raise SettingsError(f"setting maintenance makes no sense: {table!r}")
    for key in sorted(table.keys() - KEYS):
        raise _bad(key, "is not known")
    capacity = table.get("capacity", {})
    if not isinstance(capacity, Mapping):
        raise _bad("capacity", f"makes no sense: {capacity!r}")
    for name in capacity:
        if name not in servers:
            raise _bad(f"capacity.{name}", "names no upstream")
    rows = table.get("group", [])
    if not isinstance(rows, list) or len(rows) > MAX_GROUPS:
        raise _bad("group", f"is not up to {MAX_GROUPS} groups")
    return MaintenanceSettings(
        max_out=_count(table, "max_out"),
        max_out_controllers=_count(table, "max_out_controllers"),
        floor=_amount(table.get("floor", 0.0), "floor"),
        handover=_amount(table.get("handover_s", MaintenanceSettings().handover), "handover_s", MAX_HANDOVER),
        failed_after=_amount(
            table.get("failed_after_s", MaintenanceSettings().failed_after),
            "failed_after_s",
            MAX_FAILED_AFTER,
        ),
        capacity={name: _amount(value, f"capacity.{name}") for name, value in capacity.items()},
        groups=tuple(_group(row, f"group[{n}]", servers) for n, row in enumerate(rows)),
    )


def _group(row: Any, key: str, servers: Set[str]) -> Group:
    if not isinstance(row, Mapping):
        raise _bad(key, f"makes no sense: {row!r}")
    for name in sorted(row.keys() - {"name", "servers"}):
        raise _bad(f"{key}.{name}", "is not known")
    title, names = row.get("name"), row.get("servers")
    if not isinstance(title, str) or not title:
        raise _bad(f"{key}.name", f"is no name: {title!r}")
    if not isinstance(names, list) or not names:
        raise _bad(f"{key}.servers", f"is no list of servers: {names!r}")
    for name in names:
        if name not in servers:
            raise _bad(f"{key}.servers", f"names no upstream: {name!r}")
    return Group(title, frozenset(names))
