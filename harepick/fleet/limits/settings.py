"""`[[limit]]` and `[verdicts]` of the store's configuration: read and checked here; errors name the key."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from harepick.fleet.limits.purse import Limit
from harepick.fleet.limits.shares import MOST_LIMITS
from harepick.settings import SettingsError

LIMIT_KEYS = {"id", "per_s", "burst_s", "prefix", "prefixes", "callers", "class", "reason"}
ID = re.compile(r"[0-9A-Za-z][0-9A-Za-z._-]{0,63}$")
PREFIX = re.compile(r"\+[0-9]{1,15}$")
MOST_LIST = 64  # prefixes, or networks, of one limit


@dataclass(frozen=True, slots=True)
class VerdictPlan:
    """When a controller judges a server by itself, and for how long; 0 seconds: never."""

    failed_after: float = 0.0
    ttl: float = 5.0


def _bad(key: str, why: str) -> SettingsError:
    return SettingsError(f"setting {key} {why}")


def _amount(
    row: Mapping[str, Any], name: str, key: str, low: float, high: float, default: Any = None
) -> float:
    value = row.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        raise _bad(f"{key}.{name}", f"is not between {low:g} and {high:g}: {value!r}")
    return float(value)


def _text(row: Mapping[str, Any], name: str, key: str) -> str:
    value = row.get(name, "")
    if not isinstance(value, str) or len(value) > 500:
        raise _bad(f"{key}.{name}", f"is no text of up to 500 characters: {value!r}")
    return value


def _list(row: Mapping[str, Any], name: str, key: str) -> list[str]:
    value = row.get(name, [])
    if not isinstance(value, list) or len(value) > MOST_LIST or not all(isinstance(v, str) for v in value):
        raise _bad(f"{key}.{name}", f"is no list of up to {MOST_LIST} texts: {value!r}")
    return value


def network(text: str, key: str) -> str:
    """A network of addresses as it is written in one way; a single address is one of itself."""
    try:
        return str(ipaddress.ip_network(text))
    except ValueError:
        raise _bad(key, f"is no network of addresses: {text!r}") from None


def read_limits(rows: Any) -> tuple[Limit, ...]:
    """Raises `SettingsError`."""
    if not isinstance(rows, list):
        raise _bad("limit", f"makes no sense: {rows!r}")
    if len(rows) > MOST_LIMITS:
        raise _bad("limit", f"has over {MOST_LIMITS} rows")
    limits: dict[str, Limit] = {}
    for n, row in enumerate(rows):
        key = f"limit[{n}]"
        if not isinstance(row, Mapping):
            raise _bad(key, f"makes no sense: {row!r}")
        for name in sorted(row.keys() - LIMIT_KEYS):
            raise _bad(f"{key}.{name}", "is not known")
        limit = _limit(row, key)
        if limit.id in limits:
            raise _bad(f"{key}.id", f"is there twice: {limit.id!r}")
        limits[limit.id] = limit
    return tuple(limits.values())


def _limit(row: Mapping[str, Any], key: str) -> Limit:
    name = row.get("id")
    if not isinstance(name, str) or not ID.match(name):
        raise _bad(f"{key}.id", f"is no name of letters, digits, '.', '_' and '-': {name!r}")
    prefixes = [*_list(row, "prefixes", key), *([row["prefix"]] if "prefix" in row else [])]
    for prefix in prefixes:
        if not isinstance(prefix, str) or not PREFIX.match(prefix):
            which = "prefix" if prefix == row.get("prefix") else "prefixes"
            raise _bad(f"{key}.{which}", f"is no + and digits: {prefix!r}")
    callers = [network(text, f"{key}.callers") for text in _list(row, "callers", key)]
    call_class = _text(row, "class", key)
    if not (prefixes or callers or call_class):
        raise _bad(key, "counts nothing: name prefix, prefixes, callers or class")
    return Limit(
        id=name,
        per_s=_amount(row, "per_s", key, 0.0, 1e6),
        burst_s=_amount(row, "burst_s", key, 0.0, 60.0, 1.0),
        prefixes=tuple(prefixes),
        callers=tuple(callers),
        call_class=call_class,
        reason=_text(row, "reason", key),
    )


def read_verdicts(table: Any) -> VerdictPlan:
    """Raises `SettingsError`."""
    if not isinstance(table, Mapping):
        raise _bad("verdicts", f"makes no sense: {table!r}")
    for name in sorted(table.keys() - {"failed_after_s", "ttl_s"}):
        raise _bad(f"verdicts.{name}", "is not known")
    return VerdictPlan(
        _amount(table, "failed_after_s", "verdicts", 0.0, 3600.0, 0.0),
        _amount(table, "ttl_s", "verdicts", 0.5, 3600.0, 5.0),
    )
