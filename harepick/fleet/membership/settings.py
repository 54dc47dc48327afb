"""`[membership]` of the store's configuration: read and checked here; errors name the faulty key."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from harepick.fleet.membership.policy import MembershipSettings
from harepick.settings import SettingsError

KEYS = {"drop_after_s", "keep"}
MAX_AFTER = 604_800.0  # seconds: a week
KEEP = (3, 9)  # with two voters left, the loss of either stops the store


def _bad(key: str, why: str) -> SettingsError:
    return SettingsError(f"setting membership.{key} {why}")


def read_membership(table: Any) -> MembershipSettings:
    """Raises `SettingsError`."""
    if not isinstance(table, Mapping):
        raise SettingsError(f"setting membership makes no sense: {table!r}")
    for key in sorted(table.keys() - KEYS):
        raise _bad(key, "is not known")
    after = table.get("drop_after_s", 0.0)
    if isinstance(after, bool) or not isinstance(after, int | float) or not 0 <= after <= MAX_AFTER:
        raise _bad("drop_after_s", f"is not between 0 and {MAX_AFTER:g}: {after!r}")
    keep = table.get("keep", KEEP[0])
    if isinstance(keep, bool) or not isinstance(keep, int) or not KEEP[0] <= keep <= KEEP[1]:
        raise _bad("keep", f"is no whole number from {KEEP[0]} to {KEEP[1]}: {keep!r}")
    return MembershipSettings(float(after), keep)
