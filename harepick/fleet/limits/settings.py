"""Reads and checks `[[limit]]` and `[verdicts]` of the store's configuration; errors name the faulty key."""

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
ID_PATTERN = re.compile(r"[0-9A-Za-z][0-9A-Za-z._-]{0,63}$")
PREFIX_PATTERN = re.compile(r"\+[0-9]{1,15}$")
MAX_LIST_ITEMS = 64  # prefixes or networks of one limit
MAX_LIMITS_FOR_EACH_CALLER = 8  # limits that apply to each caller; each keeps a table of callers


@dataclass(frozen=True, slots=True)
class VerdictSettings:
    """`[verdicts]`: when an instance declares a server failed by itself, and for how long, in seconds."""

    failed_after: float = 0.0  # avoided without interruption for so long; 0: never
    ttl: float = 5.0


def _settings_error(key: str, problem: str) -> SettingsError:
    return SettingsError(f"setting {key} {problem}")


def _read_amount(
    row: Mapping[str, Any], name: str, key: str, minimum: float, maximum: float, default: Any = None
) -> float:
    value = row.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
        raise _settings_error(f"{key}.{name}", f"is not between {minimum:g} and {maximum:g}: {value!r}")
    return float(value)


def _read_text(row: Mapping[str, Any], name: str, key: str) -> str:
    value = row.get(name, "")
    if not isinstance(value, str) or len(value) > 500:
        raise _settings_error(f"{key}.{name}", f"is not a text of up to 500 characters: {value!r}")
    return value


def _read_list(row: Mapping[str, Any], name: str, key: str) -> list[str]:
    value = row.get(name, [])
    if (
        not isinstance(value, list)
        or len(value) > MAX_LIST_ITEMS
        or not all(isinstance(item, str) for item in value)
    ):
        raise _settings_error(f"{key}.{name}", f"is not a list of up to {MAX_LIST_ITEMS} texts: {value!r}")
    return value


def network(text: str, key: str) -> str:
    """The canonical form of a network; a single address is a network of one.

    Raises `SettingsError`, which names `key`.
    """
    try:
        return str(ipaddress.ip_network(text))
    except ValueError:
        raise _settings_error(key, f"is not a network address: {text!r}") from None


def read_limits(rows: Any, servers: Set[str] = frozenset()) -> tuple[Limit, ...]:
    """Reads the `[[limit]]` rows; `servers` are the configured upstreams. Raises `SettingsError`."""
    if not isinstance(rows, list):
        raise _settings_error("limit", f"is not a list of tables: {rows!r}")
    if len(rows) > MAX_LIMITS:
        raise _settings_error("limit", f"has over {MAX_LIMITS} rows")
    limits: dict[str, Limit] = {}
    for number, row in enumerate(rows):
        key = f"limit[{number}]"
        if not isinstance(row, Mapping):
            raise _settings_error(key, f"is not a table: {row!r}")
        for name in sorted(row.keys() - CONCURRENT_KEYS - RATE_KEYS):
            raise _settings_error(f"{key}.{name}", "is not known")
        limit = _read_concurrency_limit(row, key, servers) if "server" in row else _read_rate_limit(row, key)
        if limit.id in limits:
            raise _settings_error(f"{key}.id", f"is used twice: {limit.id!r}")
        if limit.server and any(known.server == limit.server for known in limits.values()):
            raise _settings_error(f"{key}.server", f"already has a limit: {limit.server!r}")
        limits[limit.id] = limit
        if sum(known.each for known in limits.values()) > MAX_LIMITS_FOR_EACH_CALLER:
            raise _settings_error(f"{key}.each", f"is used more than {MAX_LIMITS_FOR_EACH_CALLER} times")
    return tuple(limits.values())


def _read_id(row: Mapping[str, Any], key: str) -> str:
    name = row.get("id")
    if not isinstance(name, str) or not ID_PATTERN.match(name):
        raise _settings_error(f"{key}.id", f"is not a name of letters, digits, '.', '_' and '-': {name!r}")
    return name


def _read_concurrency_limit(row: Mapping[str, Any], key: str, servers: Set[str]) -> Limit:
    """A limit on the concurrent calls at one server."""
    for name in sorted(row.keys() - CONCURRENT_KEYS):
        raise _settings_error(f"{key}.{name}", "cannot be combined with server")
    server, concurrent = row["server"], row.get("concurrent")
    if server not in servers:
        raise _settings_error(f"{key}.server", f"is not the name of an upstream: {server!r}")
    if isinstance(concurrent, bool) or not isinstance(concurrent, int) or not 0 <= concurrent <= 1_000_000:
        raise _settings_error(f"{key}.concurrent", f"is not a whole number from 0 to 1000000: {concurrent!r}")
    return Limit(_read_id(row, key), float(concurrent), server=server, reason=_read_text(row, "reason", key))


def _read_rate_limit(row: Mapping[str, Any], key: str) -> Limit:
    """A limit on the rate of calls."""
    name = _read_id(row, key)
    if "concurrent" in row:
        raise _settings_error(f"{key}.server", "is missing")
    prefixes = [*_read_list(row, "prefixes", key), *([row["prefix"]] if "prefix" in row else [])]
    for prefix in prefixes:
        if not isinstance(prefix, str) or not PREFIX_PATTERN.match(prefix):
            row_key = "prefix" if prefix == row.get("prefix") else "prefixes"
            raise _settings_error(f"{key}.{row_key}", f"is not + followed by digits: {prefix!r}")
    callers = [network(text, f"{key}.callers") for text in _read_list(row, "callers", key)]
    call_class = _read_text(row, "class", key)
    each = row.get("each", "")
    if each not in ("", "caller"):
        raise _settings_error(f"{key}.each", f"is not 'caller': {each!r}")
    if not (prefixes or callers or call_class or each):
        raise _settings_error(key, "has no criterion: set prefix, prefixes, callers, class or each")
    return Limit(
        id=name,
        per_s=_read_amount(row, "per_s", key, 0.0, 1e6),
        burst_s=_read_amount(row, "burst_s", key, 0.0, 60.0, 1.0),
        prefixes=tuple(prefixes),
        callers=tuple(callers),
        call_class=call_class,
        each=bool(each),
        reason=_read_text(row, "reason", key),
    )


def read_verdicts(table: Any) -> VerdictSettings:
    """Reads the `[verdicts]` table. Raises `SettingsError`."""
    if not isinstance(table, Mapping):
        raise _settings_error("verdicts", f"is not a table: {table!r}")
    for name in sorted(table.keys() - {"failed_after_s", "ttl_s"}):
        raise _settings_error(f"verdicts.{name}", "is not known")
    return VerdictSettings(
        _read_amount(table, "failed_after_s", "verdicts", 0.0, 3600.0, 0.0),
        _read_amount(table, "ttl_s", "verdicts", 0.5, 3600.0, 5.0),
    )
