"""`[[limit]]` and `[verdicts]` of the store's configuration: read and checked here; errors name the key."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Mapping, Set
from dataclasses import dataclass
from typing import Any

from harepick.fleet.limits.limit_buckets import Limit
from harepick.fleet.limits.shares import MAX_LIMITS
from harepick.settings import SettingsError

CONCURRENT_KEYS = {"id", "server", "concurrent", "reason"}
RATE_KEYS = {"id", "per_s", "burst_s", "prefix", "prefixes", "callers", "class", "each", "reason"}
ID = re.compile(r"[0-9A-Za-z][0-9A-Za-z._-]{0,63}$")
PREFIX = re.compile(r"\+[0-9]{1,15}$")
MAX_LIST = 64  # prefixes, or networks, of one limit
MAX_EACH = 8  # limits that each caller has for itself


@dataclass(frozen=True, slots=True)
class VerdictSettings:
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
    if not isinstance(value, list) or len(value) > MAX_LIST or not all(isinstance(v, str) for v in value):
        raise _bad(f"{key}.{name}", f"is no list of up to {MAX_LIST} texts: {value!r}")
    return value


def network(text: str, key: str) -> str:
    """A network of addresses as it is written in one way; a single address is one of itself."""
    try:
        return str(ipaddress.ip_network(text))
    except ValueError:
        raise _bad(key, f"is no network of addresses: {text!r}") from None


def read_limits(rows: Any, servers: Set[str] = frozenset()) -> tuple[Limit, ...]:
    """`servers`: names of the configuration's upstreams. Raises `SettingsError`."""
    if not isinstance(rows, list):
        raise _bad("limit", f"makes no sense: {rows!r}")
    if len(rows) > MAX_LIMITS:
        raise _bad("limit", f"has over {MAX_LIMITS} rows")
    limits: dict[str, Limit] = {}
    for n, row in enumerate(rows):
        key = f"limit[{n}]"
        if not isinstance(row, Mapping):
            raise _bad(key, f"makes no sense: {row!r}")
        for name in sorted(row.keys() - CONCURRENT_KEYS - RATE_KEYS):
            raise _bad(f"{key}.{name}", "is not known")
        limit = _concurrent(row, key, servers) if "server" in row else _limit(row, key)
        if limit.id in limits:
            raise _bad(f"{key}.id", f"is there twice: {limit.id!r}")
        if limit.server and any(known.server == limit.server for known in limits.values()):
            raise _bad(f"{key}.server", f"has a limit already: {limit.server!r}")
        limits[limit.id] = limit
        if sum(known.each for known in limits.values()) > MAX_EACH:
            raise _bad(f"{key}.each", f"is there more than {MAX_EACH} times")
    return tuple(limits.values())


def _id(row: Mapping[str, Any], key: str) -> str:
    name = row.get("id")
    if not isinstance(name, str) or not ID.match(name):
        raise _bad(f"{key}.id", f"is no name of letters, digits, '.', '_' and '-': {name!r}")
    return name


def _concurrent(row: Mapping[str, Any], key: str, servers: Set[str]) -> Limit:
    """Calls under way at one server."""
    for name in sorted(row.keys() - CONCURRENT_KEYS):
        raise _bad(f"{key}.{name}", "does not go with server")
    server, most = row["server"], row.get("concurrent")
    if server not in servers:
        raise _bad(f"{key}.server", f"names no upstream: {server!r}")
    if isinstance(most, bool) or not isinstance(most, int) or not 0 <= most <= 1_000_000:
        raise _bad(f"{key}.concurrent", f"is no whole number from 0 on: {most!r}")
    return Limit(_id(row, key), float(most), server=server, reason=_text(row, "reason", key))


def _limit(row: Mapping[str, Any], key: str) -> Limit:
    name = _id(row, key)
    if "concurrent" in row:
        raise _bad(f"{key}.server", "is missing")
    prefixes = [*_list(row, "prefixes", key), *([row["prefix"]] if "prefix" in row else [])]
    for prefix in prefixes:
        if not isinstance(prefix, str) or not PREFIX.match(prefix):
            which = "prefix" if prefix == row.get("prefix") else "prefixes"
            raise _bad(f"{key}.{which}", f"is no + and digits: {prefix!r}")
    callers = [network(text, f"{key}.callers") for text in _list(row, "callers", key)]
    call_class = _text(row, "class", key)
    each = row.get("each", "")
    if each not in ("", "caller"):
        raise _bad(f"{key}.each", f"is not caller: {each!r}")
    if not (prefixes or callers or call_class or each):
        raise _bad(key, "counts nothing: name prefix, prefixes, callers, class or each")
    return Limit(
        id=name,
        per_s=_amount(row, "per_s", key, 0.0, 1e6),
        burst_s=_amount(row, "burst_s", key, 0.0, 60.0, 1.0),
        prefixes=tuple(prefixes),
        callers=tuple(callers),
        call_class=call_class,
        each=bool(each),
        reason=_text(row, "reason", key),
    )


def read_verdicts(table: Any) -> VerdictSettings:
    """Raises `SettingsError`."""
    if not isinstance(table, Mapping):
        raise _bad("verdicts", f"makes no sense: {table!r}")
    for name in sorted(table.keys() - {"failed_after_s", "ttl_s"}):
        raise _bad(f"verdicts.{name}", "is not known")
    return VerdictSettings(
        _amount(table, "failed_after_s", "verdicts", 0.0, 3600.0, 0.0),
        _amount(table, "ttl_s", "verdicts", 0.5, 3600.0, 5.0),
    )
