"""Reads and checks `[maintenance]` of the store's configuration; errors name the faulty key."""

from __future__ import annotations

from collections.abc import Mapping, Set
from typing import Any

from harepick.fleet.maintenance.policy import Group, MaintenanceSettings
from harepick.settings import SettingsError

MAINTENANCE_KEYS = {
    "max_out",
    "max_out_controllers",
    "floor",
    "capacity",
    "group",
    "handover_s",
    "failed_after_s",
}
MAX_GROUPS = 64
MAX_CAPACITY = 1e9
MAX_HANDOVER_S = 60.0
MAX_FAILED_AFTER_S = 3600.0


def _settings_error(key: str, problem: str) -> SettingsError:
    return SettingsError(f"setting maintenance.{key} {problem}")


def _read_count(table: Mapping[str, Any], key: str) -> int:
    value = table.get(key, 1)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= 64:
        raise _settings_error(key, f"is not a whole number from 0 to 64: {value!r}")
    return value


def _read_amount(value: Any, key: str, maximum: float = MAX_CAPACITY) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= maximum:
        raise _settings_error(key, f"is not a number from 0 to {maximum:g}: {value!r}")
    return float(value)


def read_maintenance(table: Any, servers: Set[str]) -> MaintenanceSettings:
    """Reads the `[maintenance]` table; `servers` are the configured upstreams. Raises `SettingsError`."""
    if not isinstance(table, Mapping):
        raise SettingsError(f"setting maintenance is not a table: {table!r}")
    for key in sorted(table.keys() - MAINTENANCE_KEYS):
        raise _settings_error(key, "is not known")
    capacity = table.get("capacity", {})
    if not isinstance(capacity, Mapping):
        raise _settings_error("capacity", f"is not a table: {capacity!r}")
    for name in capacity:
        if name not in servers:
            raise _settings_error(f"capacity.{name}", "is not the name of an upstream")
    rows = table.get("group", [])
    if not isinstance(rows, list) or len(rows) > MAX_GROUPS:
        raise _settings_error("group", f"is not a list of up to {MAX_GROUPS} groups")
    return MaintenanceSettings(
        max_out=_read_count(table, "max_out"),
        max_out_controllers=_read_count(table, "max_out_controllers"),
        floor=_read_amount(table.get("floor", 0.0), "floor"),
        handover=_read_amount(
            table.get("handover_s", MaintenanceSettings().handover), "handover_s", MAX_HANDOVER_S
        ),
        failed_after=_read_amount(
            table.get("failed_after_s", MaintenanceSettings().failed_after),
            "failed_after_s",
            MAX_FAILED_AFTER_S,
        ),
        capacity={name: _read_amount(value, f"capacity.{name}") for name, value in capacity.items()},
        groups=tuple(_read_group(row, f"group[{number}]", servers) for number, row in enumerate(rows)),
    )


def _read_group(row: Any, key: str, servers: Set[str]) -> Group:
    if not isinstance(row, Mapping):
        raise _settings_error(key, f"is not a table: {row!r}")
    for name in sorted(row.keys() - {"name", "servers"}):
        raise _settings_error(f"{key}.{name}", "is not known")
    group_name, names = row.get("name"), row.get("servers")
    if not isinstance(group_name, str) or not group_name:
        raise _settings_error(f"{key}.name", f"is not a name: {group_name!r}")
    if not isinstance(names, list) or not names:
        raise _settings_error(f"{key}.servers", f"is not a list of servers: {names!r}")
    for name in names:
        if name not in servers:
            raise _settings_error(f"{key}.servers", f"is not the name of an upstream: {name!r}")
    return Group(group_name, frozenset(names))
