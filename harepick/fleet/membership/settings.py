"""Reads and checks `[membership]` of the store's configuration; errors name the faulty key."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from harepick.fleet.membership.policy import MembershipSettings
from harepick.settings import SettingsError

MEMBERSHIP_KEYS = {"drop_after_s", "keep"}
MAX_DROP_AFTER_S = 604_800.0  # a week
KEEP_RANGE = (3, 9)  # bounds of `keep`; with two voters, the loss of either stops the store


def _settings_error(key: str, problem: str) -> SettingsError:
    return SettingsError(f"setting membership.{key} {problem}")


def read_membership(table: Any) -> MembershipSettings:
    """Reads the `[membership]` table. Raises `SettingsError`."""
    if not isinstance(table, Mapping):
        raise SettingsError(f"setting membership is not a table: {table!r}")
    for key in sorted(table.keys() - MEMBERSHIP_KEYS):
        raise _settings_error(key, "is not known")
    drop_after_s = table.get("drop_after_s", 0.0)
    if (
        isinstance(drop_after_s, bool)
        or not isinstance(drop_after_s, int | float)
        or not 0 <= drop_after_s <= MAX_DROP_AFTER_S
    ):
        raise _settings_error("drop_after_s", f"is not between 0 and {MAX_DROP_AFTER_S:g}: {drop_after_s!r}")
    keep = table.get("keep", KEEP_RANGE[0])
    if isinstance(keep, bool) or not isinstance(keep, int) or not KEEP_RANGE[0] <= keep <= KEEP_RANGE[1]:
        raise _settings_error(
            "keep", f"is not a whole number from {KEEP_RANGE[0]} to {KEEP_RANGE[1]}: {keep!r}"
        )
    return MembershipSettings(float(drop_after_s), keep)
