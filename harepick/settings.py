"""Configuration: reads it, checks it and applies the defaults.

Reads the GW_* variables, the JSON file they name and the settings in it (the simulator's `Options`, which
`simhost` passes here too), and the operator's TOML file that configures the ENUM front. The message of
every `SettingsError` names the faulty key."""

from __future__ import annotations

import ipaddress
import json
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache
from pathlib import Path
from typing import Any

from harepick import interface

DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKETS = 1024
DEFAULT_OPEN_CAP = 20_000
DEFAULT_IDLE_CLOSE_S = 600.0


class SettingsError(ValueError):
    """A setting is missing or invalid."""


@dataclass(frozen=True, slots=True)
class Address:
    """A host, as a numeric address, and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The configuration that the platform gives a border controller at its start; times in seconds."""

    name: str
    listen: Address
    bus: Address
    known: Mapping[str, Any]  # the server list at the start
    seed: int
    sockets: int  # descriptors that the process may open
    memory: int  # bytes that the process may take
    open_cap: int  # calls that may be open at once
    idle_close: float  # until an unused connection to a server is closed
    settings: interface.Settings
    ops: Address | None = None  # of the `ops` listener; None: there is none
    gaps: tuple[Any, ...] = ()  # `harepick.gapping.config.GapRow`s; imported only if there are any


@dataclass(frozen=True, slots=True)
class Upstream:
    """A DNS server that takes look-ups; the controller treats it as a setup server."""

    name: str
    address: Address
    draining: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """Numbers with a prefix (`+` and digits) go to these upstreams first."""

    prefix: str
    upstreams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EnumSettings:
    """The configuration of the ENUM front; times in seconds. Fields of type `Any` hold types of packages
    that are imported only if they are configured."""

    listen: Address
    suffix: str
    call_class: str
    deadline: float
    edns_size: int
    tcp_clients: int
    tcp_idle: float
    open_lookups: int
    seed: int | None
    upstreams: tuple[Upstream, ...]
    settings: interface.Settings
    routes: tuple[Route, ...] = ()
    gaps: tuple[Any, ...] = ()  # `harepick.gapping.config.GapRow`s of `[[gap]]`
    maintenance: Any = None  # `harepick.fleet.maintenance.policy.MaintenanceSettings`; None: its defaults
    limits: tuple[Any, ...] = ()  # `harepick.fleet.limits.limit_buckets.Limit`s of `[[limit]]`
    verdicts: Any = None  # `harepick.fleet.limits.settings.VerdictSettings`; None: its defaults
    membership: Any = None  # `harepick.fleet.membership.policy.MembershipSettings`; None: drops no member
    autogap: Any = None  # `harepick.gapping.auto_gaps.AutoGapSettings`; None: no automatic gaps


def _read_number(table: Mapping[str, Any], path: str, low: float, default: float | None = None) -> float:
    """Returns the number at a dotted path, which must be at least `low`; required without a default."""
    value: Any = table
    for part in path.split("."):
        value = value.get(part) if isinstance(value, Mapping) else None
    if value is None:
        if default is None:
            raise SettingsError(f"setting {path} is missing")
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value < float("inf"):
        raise SettingsError(f"setting {path} is not a number in the allowed range: {value!r}")
    return float(value)


def _is_integer(value: Any) -> bool:
    """Whether `value` is an int, and not a bool."""
    return isinstance(value, int) and not isinstance(value, bool)


def _read_table(table: Mapping[str, Any], key: str) -> Mapping[str, Any]:
    """Returns the table under a key; empty if there is none."""
    value = table.get(key)
    if value is None:
        return {}
    if not isinstance(value, Mapping):
        raise SettingsError(f"setting {key} is not a table: {value!r}")
    return value


def _read_text(table: Mapping[str, Any], key: str, default: str | None = None) -> str:
    """Returns the text under a key; required without a default."""
    value = table.get(key, default)
    if value is None:
        raise SettingsError(f"setting {key} is missing")
    if not isinstance(value, str) or not value:
        raise SettingsError(f"setting {key} is not a non-empty string: {value!r}")
    return value


def parse_address(text: Any, key: str) -> Address:
    """Parses `host:port`, where the host is a numeric address; raises `SettingsError` naming the key."""
    host, _, port = str(text).rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        raise SettingsError(f"setting {key} is not an address and a port: {text!r}") from None
    if not 0 <= number <= 65535:
        raise SettingsError(f"setting {key} has a port outside 0 to 65535: {text!r}")
    return Address(host, number)


# Settings of the controller


def _read_classes(options: Mapping[str, Any]) -> tuple[interface.CallClass, ...]:
    """Reads the call classes and, by position, the pools that each may use."""
    rows = options.get("Classes")
    if not isinstance(rows, list) or not rows:
        raise SettingsError("setting Classes is missing")
    pools = _read_table(options, "Extra").get("AllowedPools") or []
    if not isinstance(pools, list):
        raise SettingsError(f"setting Extra.AllowedPools is not a list: {pools!r}")
    classes: list[interface.CallClass] = []
    for index, row in enumerate(rows):
        if not isinstance(row, Mapping) or not isinstance(row.get("Name"), str):
            raise SettingsError(f"setting Classes[{index}].Name is missing")
        if any(call_class.name == row["Name"] for call_class in classes):
            raise SettingsError(f"setting Classes[{index}].Name is used twice: {row['Name']!r}")
        allowed = pools[index] if index < len(pools) else None
        if allowed is not None and not (isinstance(allowed, list) and all(map(_is_integer, allowed))):
            raise SettingsError(
                f"setting Extra.AllowedPools[{index}] is not a list of whole numbers: {allowed!r}"
            )
        try:
            classes.append(
                interface.CallClass(
                    name=row["Name"],
                    aim=_read_number(row, "Promise", 1e-6),
                    give_up=_read_number(row, "GiveUp", 1e-6),
                    worth=_read_number(row, "Importance", 0.0),
                    late_share=_read_number(row, "LateShare", 0.0, 0.0),
                    effect=str(row.get("Effect") or "free"),
                    pools=None if allowed is None else tuple(allowed),
                    dedup_window=_read_number(row, "DedupWindow", 0.0, 0.0),
                )
            )
        except SettingsError as error:
            raise SettingsError(str(error).replace("setting ", f"setting Classes[{index}].", 1)) from None
    return tuple(classes)


def read_settings(options: Any) -> interface.Settings:
    """Translates the simulator's `Options` into the controller's settings; raises `SettingsError` naming
    the key."""
    if not isinstance(options, Mapping):
        raise SettingsError("setting Options is not a table")
    bounds, extra = _read_table(options, "Bounds"), _read_table(options, "Extra")
    tenants = []
    projects = options.get("Projects") or []
    if not isinstance(projects, list) or not all(isinstance(row, Mapping) for row in projects):
        raise SettingsError(f"setting Projects is not a list of tables: {projects!r}")
    own_number = extra.get("SelfNo")
    if own_number is not None and not _is_integer(own_number):
        raise SettingsError(f"setting Extra.SelfNo is not a whole number: {own_number!r}")
    fields = _read_table(options, "Report").get("Fields") or []
    if not isinstance(fields, list):
        raise SettingsError(f"setting Report.Fields is not a list: {fields!r}")
    for row in projects:
        allowance, share = _read_number(row, "AllowancePerS", 0.0, 0.0), _read_number(row, "Share", 0.0, 0.0)
        tenants.append(interface.Tenant(str(row.get("Name")), allowance, share))
    return interface.Settings(
        me=int(_read_number(options, "Me", 0, 0)),
        fronts=int(_read_number(options, "Balancers", 1)),
        classes=_read_classes(options),
        cold_share=_read_number(options, "Rules.ColdFrom", 0.0),
        warm_after=_read_number(options, "Rules.WarmAfter", 0.0),
        tip_multiple=_read_number(options, "Rules.TipMultiple", 0.0),
        tip_after=_read_number(options, "Rules.TipAfter", 1e-6),
        drain_grace=_read_number(options, "Rules.DrainGrace", 0.0),
        answer_grace=_read_number(options, "Rules.GraceToAnswer", 0.0, 0.0),
        release_guard=_read_number(options, "Extra.Guard", 0.0),
        try_limit=int(_read_number(options, "Bounds.TryLimit", 1)),
        connect_timeout=_read_number(options, "Bounds.DialTimeout", 0.0, 0.5),
        resend_after=_read_number(options, "Extra.Repeat", 0.0, 0.0),
        tenants=tuple(tenants),
        over_share_worth=_read_number(options, "OverShareWorth", 0.0, 1.0),
        may_cancel=bool(bounds.get("Cancelling")),
        may_probe=bool(bounds.get("Probes")),
        may_tell=bool(bounds.get("MayTell")),
        may_advise=bool(bounds.get("RetryAfter")),
        max_advice=_read_number(options, "Bounds.MaxRetryAfter", 0.0, 0.0),
        marks_redials=bool(_read_table(options, "Callers").get("MarksRetry")),
        own_number=-1 if own_number is None else own_number,
        must_ask=options.get("MembershipMode") == "ask",
        ask_within=_read_number(options, "Rules.MustAskIn", 0.0, 10.0),
        report_fields=tuple(fields),
        zone=str(options.get("Locality") or ""),
    )


# Configuration by the platform


def read_platform(environ: Mapping[str, str]) -> PlatformSettings:
    """Reads the file that GW_CONFIG names; GW_NAME, GW_LISTEN and GW_OPS take precedence over it. Raises
    `SettingsError`."""
    path = environ.get("GW_CONFIG")
    if not path:
        raise SettingsError("variable GW_CONFIG is missing")
    try:
        config = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise SettingsError(f"variable GW_CONFIG: {error.strerror}: {path}") from None
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"variable GW_CONFIG: {path} is not JSON: {error}") from None
    if not isinstance(config, Mapping):
        raise SettingsError(f"variable GW_CONFIG: {path} holds no JSON object")
    settings = _read_table(config, "settings")
    if not settings:
        raise SettingsError("setting settings is missing")
    known = config.get("known")
    if not isinstance(known, Mapping) or not isinstance(known.get("batch"), list):
        raise SettingsError("setting known.batch is missing")
    _read_number(known, "offset", 0)
    seed = _read_text(config, "seed")
    try:
        seed_number = int(seed, 16)
    except ValueError:
        raise SettingsError(f"setting seed is not a hexadecimal number: {seed!r}") from None
    try:
        controller_settings = read_settings(settings)
        return PlatformSettings(
            name=environ.get("GW_NAME") or _read_text(config, "name"),
            listen=parse_address(environ.get("GW_LISTEN") or _read_text(config, "listen"), "listen"),
            bus=parse_address(_read_text(config, "bus"), "bus"),
            known=known,
            seed=seed_number,
            sockets=int(_read_number(config, "limits.sockets", 32, DEFAULT_SOCKETS)),
            memory=int(_read_number(config, "limits.memory_mb", 1, DEFAULT_MEMORY_MB)) << 20,
            open_cap=int(_read_number(settings, "Bounds.OpenCap", 1, DEFAULT_OPEN_CAP)),
            idle_close=_read_number(settings, "Bounds.IdleClose", 0.001, DEFAULT_IDLE_CLOSE_S),
            settings=controller_settings,
            gaps=_read_gaps(config.get("gaps"), "gaps", "platform"),
            ops=_read_ops(
                environ.get("GW_OPS") or config.get("ops"),
                environ.get("GW_LISTEN") or config["listen"],
            ),
        )
    except SettingsError:
        raise
    except (TypeError, AttributeError, ValueError, OverflowError, KeyError) as error:
        raise SettingsError(f"setting settings is malformed: {error}") from None


def _read_gaps(rows: Any, key: str, plan: str, call_class: str = "") -> tuple[Any, ...]:
    """Reads number gaps; the gapping package is imported only if there are any.

    Errors name the rows by `key`. With `call_class`, the only class of the front, the rows are also checked
    against that class, except for their times."""
    if not rows:
        return ()
    from harepick.gapping.config import read_rows
    from harepick.gapping.gaps import GapError

    try:
        read = read_rows(rows, key, plan)
        if call_class:
            from harepick.gapping.screen import check_rows

            check_rows(read, key, [call_class])
        return read
    except GapError as error:
        raise SettingsError(f"setting {error}") from None


def _read_ops(text: Any, listen: str) -> Address | None:
    """Parses `host:port`, or `:port` on the host of `listen`; None if not set."""
    if text is None or text == "":
        return None
    if isinstance(text, str) and text.startswith(":"):
        text = listen.rpartition(":")[0] + text
    address = parse_address(text, "ops")
    if ":" in address.host:
        raise SettingsError(f"setting ops is not an IPv4 address: {text!r}")
    return address


# Configuration by an operator's file

# Sections that apply to all instances of a store, and are allowed only in its configuration.
FLEET_SECTIONS = ("maintenance", "limit", "verdicts", "autogap", "membership")
KNOWN_KEYS = {
    "enum": {"listen", "suffix", "class", "deadline_ms", "edns_size", "tcp_clients", "tcp_idle_s", "seed"},
    "class": {"aim_ms", "worth", "late_share"},
    "rules": {"drain_grace_ms", "release_ms", "try_limit", "connect_timeout_ms", "stay_away_ms", "open_cap"},
    "upstream": {"name", "address", "draining"},
    "route": {"prefix", "upstreams"},
}
# Keys of [enum] that each instance configures for itself, outside the store's configuration.
INSTANCE_KEYS = {"listen", "seed", "tcp_clients", "tcp_idle_s"}
MAX_UPSTREAMS = 16
MAX_ROUTES = 1_000
ROUTE_PREFIX = re.compile(r"\+[0-9]{1,15}$")
DNS_LABEL = re.compile(r"[0-9A-Za-z_]([0-9A-Za-z_-]{0,61}[0-9A-Za-z_])?$")


def read_toml(path: str) -> dict[str, Any]:
    """Reads a TOML file; raises `SettingsError`."""
    try:
        return tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise SettingsError(f"file {path}: {error.strerror}") from None
    except ValueError as error:
        raise SettingsError(f"file {path} is not TOML: {error}") from None


def read_operator_file(path: str) -> EnumSettings:
    """Reads the ENUM front's configuration from a TOML file; raises `SettingsError` naming the faulty key."""
    table = read_toml(path)
    table.pop("store", None)  # read by `harepick.store.settings`, which may not be installed
    for key in FLEET_SECTIONS:
        if key in table:
            raise SettingsError(f"setting {key} belongs in the store's configuration")
    return read_enum(table)


@lru_cache(maxsize=4)
def _parse_store_config(text: str) -> Mapping[str, Any]:
    """Parses TOML. Cached, as the same text is read when it is proposed and when it takes effect; callers
    must not change the result."""
    try:
        return tomllib.loads(text)
    except ValueError as error:
        raise SettingsError(f"the configuration is not TOML: {error}") from None


def read_store_config(text: str, own: Mapping[str, Any] | None = None) -> EnumSettings:
    """Reads a configuration of the replicated store, with an instance's `own` keys of [enum] added.

    Raises `SettingsError` naming the faulty key, also if `text` contains a key that belongs to the
    instance."""
    table = _parse_store_config(text)
    if "store" in table:
        raise SettingsError("setting store belongs in the instance's own file")
    enum_table = _read_table(table, "enum")
    for key in sorted(INSTANCE_KEYS & enum_table.keys()):
        raise SettingsError(f"setting enum.{key} belongs in the instance's own file")
    return read_enum({**table, "enum": {**enum_table, **(own or {})}})


def read_enum(table: Mapping[str, Any]) -> EnumSettings:
    """Reads the ENUM front's configuration from a table; raises `SettingsError` naming the faulty key."""
    for section, value in table.items():
        if section in ("gap", *FLEET_SECTIONS):  # their readers check the keys
            continue
        if section not in KNOWN_KEYS:
            raise SettingsError(f"setting {section} is not known")
        for row in value if isinstance(value, list) else [value]:
            if not isinstance(row, Mapping):
                raise SettingsError(f"setting {section} is not a table: {row!r}")
            for key in sorted(row.keys() - KNOWN_KEYS[section]):
                raise SettingsError(f"setting {section}.{key} is not known")
    enum_table = _read_table(table, "enum")
    deadline = _read_number(table, "enum.deadline_ms", 100, 2000) / 1000.0
    aim = _read_number(table, "class.aim_ms", 10, 1000) / 1000.0
    class_name = _read_text(enum_table, "class", "look-up")
    settings = interface.Settings(
        me=0,
        fronts=1,
        classes=(
            interface.CallClass(
                name=class_name,
                aim=min(aim, deadline),
                give_up=deadline,
                worth=_read_number(table, "class.worth", 0.0, 1.0),
                late_share=_read_number(table, "class.late_share", 0.0, 0.25),
            ),
        ),
        cold_share=1.0,
        warm_after=0.0,  # DNS servers are taken to have no warm-up phase
        tip_multiple=2.0,
        tip_after=1.5,
        drain_grace=_read_number(table, "rules.drain_grace_ms", 0, 250) / 1000.0,
        answer_grace=0.02,  # for the answer to a caller whose attempt ended at the deadline
        release_guard=_read_number(table, "rules.release_ms", 0, 300) / 1000.0,
        try_limit=int(_read_number(table, "rules.try_limit", 1, 4)),
        connect_timeout=_read_number(table, "rules.connect_timeout_ms", 1, 500) / 1000.0,
        may_cancel=True,
        may_advise=True,
        max_advice=_read_number(table, "rules.stay_away_ms", 0, 2000) / 1000.0,
    )
    seed = _read_number(table, "enum.seed", 0, -1)
    listen = parse_address(_read_text(enum_table, "listen", "127.0.0.1:5353"), "enum.listen")
    upstreams = _read_upstreams(table.get("upstream"))
    return EnumSettings(
        listen=listen,
        suffix=_read_suffix(_read_text(enum_table, "suffix", "e164.arpa.")),
        call_class=class_name,
        deadline=deadline,
        edns_size=int(_read_number(table, "enum.edns_size", 512, 1232)),
        tcp_clients=int(_read_number(table, "enum.tcp_clients", 0, 128)),
        tcp_idle=_read_number(table, "enum.tcp_idle_s", 0.1, 10.0),
        open_lookups=int(_read_number(table, "rules.open_cap", 1, 10_000)),
        seed=None if seed < 0 else int(seed),
        upstreams=upstreams,
        settings=settings,
        routes=_read_routes(table.get("route", []), {upstream.name for upstream in upstreams}),
        gaps=_read_gaps(table.get("gap"), "gap", "e164", class_name),
        maintenance=_read_maintenance(table.get("maintenance"), {upstream.name for upstream in upstreams}),
        limits=_read_limits(table.get("limit"), {upstream.name for upstream in upstreams}),
        verdicts=_read_verdicts(table.get("verdicts")),
        autogap=_read_autogap(table.get("autogap")),
        membership=_read_membership(table.get("membership")),
    )


# The packages of the next five sections are imported only if the section is present.


def _read_limits(rows: Any, servers: set[str]) -> tuple[Any, ...]:
    if rows is None:
        return ()
    from harepick.fleet.limits.settings import read_limits

    return read_limits(rows, servers)


def _read_verdicts(table: Any) -> Any:
    if table is None:
        return None
    from harepick.fleet.limits.settings import read_verdicts

    return read_verdicts(table)


def _read_autogap(table: Any) -> Any:
    if table is None:
        return None
    from harepick.gapping.config import read_autogap
    from harepick.gapping.gaps import GapError

    try:
        return read_autogap(table)
    except GapError as error:
        raise SettingsError(f"setting {error}") from None


def _read_membership(table: Any) -> Any:
    if table is None:
        return None
    from harepick.fleet.membership.settings import read_membership

    return read_membership(table)


def _read_maintenance(table: Any, servers: set[str]) -> Any:
    """Reads `[maintenance]`, the bounds on what may be in maintenance at once."""
    if table is None:
        return None
    from harepick.fleet.maintenance.settings import read_maintenance

    return read_maintenance(table, servers)


def _read_suffix(text: str) -> str:
    """Checks that `text` is a domain name."""
    labels = text.rstrip(".").split(".")
    if len(text) > 200 or not all(DNS_LABEL.match(label) for label in labels):
        raise SettingsError(f"setting enum.suffix is not a domain name: {text!r}")
    return text


def _read_upstreams(rows: Any) -> tuple[Upstream, ...]:
    """Reads `[[upstream]]`; the error names the row and the key."""
    if not isinstance(rows, list) or not rows:
        raise SettingsError("setting upstream is missing")
    if len(rows) > MAX_UPSTREAMS:
        raise SettingsError(f"setting upstream has over {MAX_UPSTREAMS} rows")
    upstreams: list[Upstream] = []
    for index, row in enumerate(rows):
        try:
            address = parse_address(_read_text(row, "address"), "address")
            draining = row.get("draining", False)
            if not isinstance(draining, bool):
                raise SettingsError(f"setting draining is not true or false: {draining!r}")
            upstream = Upstream(_read_text(row, "name"), address, draining)
            if any(other.name == upstream.name for other in upstreams):
                raise SettingsError(f"setting name is used twice: {upstream.name!r}")
        except SettingsError as error:
            raise SettingsError(str(error).replace("setting ", f"setting upstream[{index}].", 1)) from None
        upstreams.append(upstream)
    return tuple(upstreams)


def _read_routes(rows: Any, known: set[str]) -> tuple[Route, ...]:
    """Reads `[[route]]`; the error names the row and the key."""
    if not isinstance(rows, list):
        raise SettingsError(f"setting route is not a list: {rows!r}")
    if len(rows) > MAX_ROUTES:
        raise SettingsError(f"setting route has over {MAX_ROUTES} rows")
    routes: dict[str, Route] = {}
    for index, row in enumerate(rows):
        prefix, upstreams = row.get("prefix"), row.get("upstreams")
        if not isinstance(prefix, str) or not ROUTE_PREFIX.match(prefix):
            raise SettingsError(f"setting route[{index}].prefix must be a + and up to 15 digits: {prefix!r}")
        if prefix in routes:
            raise SettingsError(f"setting route[{index}].prefix is used twice: {prefix!r}")
        if not isinstance(upstreams, list) or not upstreams:
            raise SettingsError(f"setting route[{index}].upstreams is not a non-empty list: {upstreams!r}")
        for name in upstreams:
            if name not in known:
                raise SettingsError(f"setting route[{index}].upstreams names an unknown upstream: {name!r}")
        routes[prefix] = Route(prefix, tuple(upstreams))
    return tuple(routes.values())
