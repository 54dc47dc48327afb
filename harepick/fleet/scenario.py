"""Scenarios of the rig: read from TOML, and expanded into a timeline of steps by a seed.

No I/O but for `read_scenario`. An invalid key is named in the error, and nothing is run. Times in a file are
in seconds from when the fleet serves; for a pair of times, the seed determines a time between the two. The
instances are named `a`, `b`, `c`, ..., the fake servers `s0`, `s1`, ...; the roles `leader`, `follower` and
`any` are resolved when a step is due.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterator, Mapping
from dataclasses import asdict, dataclass, field
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

from harepick.fleet.checks import CHECKS
from harepick.fleet.faults import ANY, CLEAR, Fault
from harepick.settings import SettingsError, read_toml

MAX_INSTANCES = 9
MAX_SERVERS = 32
MAX_SECONDS = 3_600.0
MAX_CALLERS = 64
LOOPBACK = ipaddress.IPv4Network("127.0.0.0/8")
MAX_LOOKUP_RATE = 2_000.0  # look-ups a second over the fleet
INSTANCE_NAMES = "abcdefghi"
ROLES = ("leader", "follower", "any")
CLOCK_RATE_RANGE = (0.5, 2.0)  # lowest and highest clock rate
FLEET_KEYS = {"scenario", "instances", "servers", "relay_servers", "answer_ms", "busy", "lease_ms", "seconds"}
SCENARIO_KEYS = FLEET_KEYS | {
    "about",
    "load",
    "change",
    "fault",
    "checks",
    "clock_rate",
    "double",
    "settings",
}

Time = float | tuple[float, float]


@dataclass(frozen=True, slots=True)
class Burst:
    """For `length` seconds from `at` on, the rate of look-ups is multiplied by `times`."""

    at: float
    length: float
    times: float


@dataclass(frozen=True, slots=True)
class Load:
    """The look-ups offered to the fleet."""

    rate: float = 60.0  # look-ups a second over the fleet
    skew: tuple[float, ...] = ()  # weight of each instance; equal weights if empty
    numbers: tuple[tuple[str, float], ...] = (("+9411", 1.0),)  # prefix of called numbers -> weight
    bursts: tuple[Burst, ...] = ()
    shifts: tuple[tuple[float, tuple[float, ...]], ...] = ()  # start time, and the skew from then on
    callers: tuple[tuple[str, float], ...] = ()  # source address -> weight; if empty, chosen by the system
    follow: bool = False  # callers poll readiness, and use other instances while their own is not ready

    def at(self, t: float, instance: int, instances: int) -> float:
        """Look-ups a second offered to an instance, given by index, `t` seconds from the start."""
        skew = next((skew for since, skew in reversed(self.shifts) if t >= since), self.skew)
        weights = skew or (1.0,) * instances
        share = weights[instance] / sum(weights)
        times = max([b.times for b in self.bursts if b.at <= t < b.at + b.length], default=1.0)
        return self.rate * share * times


@dataclass(frozen=True, slots=True)
class Step:
    """One action of the rig, `at` seconds from the start."""

    at: float
    what: str  # one of `ACTIONS`
    whom: tuple[str, ...] = ()  # instances or roles
    groups: tuple[tuple[str, ...], ...] = ()
    link: tuple[str, str] = ("", "")
    fault: Fault = CLEAR
    key: int = 0  # number of the fault that the step is part of; a role is resolved once for all its steps
    mode: str = ""  # one of `MODES`, for a failing server

    def as_row(self) -> dict[str, Any]:
        """The step as it is printed and recorded; empty fields are left out."""
        row: dict[str, Any] = {"at": round(self.at, 3), "what": self.what}
        if self.whom:
            row["whom"] = list(self.whom)
        if self.mode:
            row["mode"] = self.mode
        if self.groups:
            row["groups"] = [list(group) for group in self.groups]
        if self.link != ("", ""):
            row["link"] = ">".join(self.link)
            row["fault"] = {f: v for f, v in asdict(self.fault).items() if v != getattr(CLEAR, f)}
        return row


ACTIONS = (
    *("partition", "heal", "link", "kill", "start", "pause", "resume", "stop", "wipe", "kill_in_change"),
    *("fail_server", "mend_server"),
)
MODES = ("silent", "failing")  # of a failing fake server: no answer, or SERVFAIL


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario as it was read. Times in seconds; the keys of the file are in `make_scenario`."""

    name: str
    instances: int = 3
    servers: int = 3
    relay_servers: bool = False  # whether links to the fake servers go through the relay too
    answer_delay: float = 0.0  # seconds until a fake server answers
    lease: float = 1.5
    seconds: float = 20.0
    about: str = ""
    load: Load = Load()
    change_every: float = 0.0  # mean seconds between two changes of the configuration; 0: none
    faults: tuple[Mapping[str, Any], ...] = ()
    checks: Mapping[str, Mapping[str, Any]] = field(default_factory=dict)
    clock_rates: Mapping[str, float] = field(default_factory=dict)
    # Instance -> rule that it breaks, a key of `child.DOUBLES`.
    doubles: Mapping[str, str] = field(default_factory=dict)
    busy_prefix: str = ""  # the fake servers answer SERVFAIL to numbers with this prefix
    settings: str = ""  # TOML at the start of every revision of the configuration
    rotating_settings: tuple[str, ...] = ()  # TOML after `settings`; the revisions use them in rotation

    @property
    def names(self) -> tuple[str, ...]:
        """The names of the instances."""
        return tuple(INSTANCE_NAMES[: self.instances])

    def settings_text(self, revision: int) -> str:
        """The TOML of a revision (numbered from 1) without the servers."""
        return self.settings + (
            "\n" + self.rotating_settings[(revision - 1) % len(self.rotating_settings)]
            if self.rotating_settings
            else ""
        )

    def timeline(self, seed: int, seconds: float | None = None) -> list[Step]:
        """The steps of a run, ordered by time and determined by the seed. Faults that would begin after the
        end are left out, and faults that would last beyond it end with it."""
        rng = Random(seed)
        length = self.seconds if seconds is None else seconds
        steps: list[Step] = []
        keys = count(1)
        for row in self.faults:
            for at in _times(row, rng, length):
                steps += _steps(row, at, rng, length, next(keys), self.names)
        return sorted(steps, key=lambda step: step.at)


# Reading


def _error(path: str, why: str) -> SettingsError:
    return SettingsError(f"setting {path} {why}")


def _number(table: Mapping[str, Any], key: str, path: str, default: float, low: float, high: float) -> float:
    value = table.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        raise _error(f"{path}{key}", f"is not between {low:g} and {high:g}: {value!r}")
    return float(value)


def _integer(table: Mapping[str, Any], key: str, path: str, default: int, low: int, high: int) -> int:
    value = _number(table, key, path, default, low, high)
    if value != int(value):
        raise _error(f"{path}{key}", f"is not a whole number: {value!r}")
    return int(value)


def _check_keys(table: Any, path: str, keys: set[str]) -> Mapping[str, Any]:
    if not isinstance(table, Mapping):
        raise _error(path or "scenario", f"is not a table: {table!r}")
    for key in sorted(table.keys() - keys):
        raise _error(f"{path}.{key}" if path else key, "is not known")
    return table


def _list(table: Mapping[str, Any], key: str, path: str = "") -> list[Any]:
    rows = table.get(key, [])
    if not isinstance(rows, list):
        raise _error(f"{path}{key}", f"is not a list: {rows!r}")
    return rows


def _string(table: Mapping[str, Any], key: str, path: str, default: str = "") -> str:
    value = table.get(key, default)
    if not isinstance(value, str):
        raise _error(f"{path}{key}", f"is not a string: {value!r}")
    return value


def read_scenario(path: str) -> Scenario:
    """Reads a scenario file; raises `SettingsError`, which names the invalid key."""
    return make_scenario(read_toml(path), Path(path).stem)


def make_scenario(table: Mapping[str, Any], name: str) -> Scenario:
    """Makes a scenario of a parsed file; `name` is the default of its name. Raises `SettingsError`."""
    _check_keys(table, "", SCENARIO_KEYS)
    instances = _integer(table, "instances", "", 3, 1, MAX_INSTANCES)
    names = INSTANCE_NAMES[:instances]
    seconds = _number(table, "seconds", "", 20.0, 1.0, MAX_SECONDS)
    change_table = _check_keys(table.get("change", {}), "change", {"every_s", "settings"})
    rotating_settings = _list(change_table, "settings", "change.")
    if not all(isinstance(text, str) for text in rotating_settings):
        raise _error("change.settings", f"is not a list of strings: {rotating_settings!r}")
    clock_rates = _check_keys(table.get("clock_rate", {}), "clock_rate", set(names))
    doubles = _check_keys(table.get("double", {}), "double", set(names))
    relayed = table.get("relay_servers", False)
    if not isinstance(relayed, bool):
        raise _error("relay_servers", f"is neither true nor false: {relayed!r}")
    settings = _string(table, "settings", "")
    servers = _integer(table, "servers", "", 3, 1, MAX_SERVERS)
    scenario = Scenario(
        name=_string(table, "scenario", "", name),
        instances=instances,
        servers=servers,
        relay_servers=relayed,
        answer_delay=_number(table, "answer_ms", "", 0.0, 0.0, 10_000.0) / 1000.0,
        lease=_number(table, "lease_ms", "", 1500, 500, 60_000) / 1000.0,
        seconds=seconds,
        about=_string(table, "about", ""),
        load=_read_load(table.get("load", {}), instances),
        change_every=_number(change_table, "every_s", "change.", 0.0, 0.0, 600.0),
        faults=tuple(_read_fault(row, f"fault[{n}]", names) for n, row in enumerate(_list(table, "fault"))),
        checks=_read_checks(table.get("checks", {})),
        clock_rates={n: _number(clock_rates, n, "clock_rate.", 1.0, *CLOCK_RATE_RANGE) for n in clock_rates},
        doubles={n: _string(doubles, n, "double.") for n in doubles},
        settings=settings,
        rotating_settings=tuple(rotating_settings),
        busy_prefix=_string(table, "busy", ""),
    )
    if scenario.relay_servers and "no_stale_arrival" in scenario.checks:
        raise _error("checks.no_stale_arrival", "can't be used with relay_servers: the relay delays arrivals")
    if not scenario.change_every and any(row["kind"] == "kill_in_change" for row in scenario.faults):
        raise _error("change.every_s", "is missing, but a kill_in_change fault needs changes")
    return scenario


def _read_load(table: Any, instances: int) -> Load:
    _check_keys(table, "load", {"rate", "skew", "numbers", "burst", "shift", "callers", "follow"})
    follow = table.get("follow", False)
    if not isinstance(follow, bool):
        raise _error("load.follow", f"is neither true nor false: {follow!r}")
    skew = _read_skew(table.get("skew", []), "load.skew", instances)
    shifts = []
    for n, row in enumerate(_list(table, "shift", "load.")):
        _check_keys(row, f"load.shift[{n}]", {"at", "skew"})
        # The default -1 is out of range: the key is required.
        at = _number(row, "at", f"load.shift[{n}].", -1.0, 0.0, MAX_SECONDS)
        shifts.append((at, _read_skew(row.get("skew"), f"load.shift[{n}].skew", instances)))
    numbers = table.get("numbers", {"+9411": 1.0})
    if not isinstance(numbers, Mapping) or not numbers:
        raise _error("load.numbers", f"is not a table of weights by prefix: {numbers!r}")
    for prefix in numbers:
        if not (prefix[:1] == "+" and prefix[1:].isdigit() and len(prefix) <= 12):
            raise _error(f"load.numbers.{prefix}", "is not a prefix of a number: + and up to 11 digits")
        _number(numbers, prefix, "load.numbers.", 1.0, 0.0, 1e6)
    bursts = []
    for n, row in enumerate(_list(table, "burst", "load.")):
        path = f"load.burst[{n}]"
        _check_keys(row, path, {"at", "for_s", "times"})
        bursts.append(
            Burst(
                # The default -1 is out of range: the key is required.
                _number(row, "at", f"{path}.", -1.0, 0.0, MAX_SECONDS),
                _number(row, "for_s", f"{path}.", 1.0, 0.01, MAX_SECONDS),
                _number(row, "times", f"{path}.", 2.0, 0.0, 100.0),
            )
        )
    return Load(
        _number(table, "rate", "load.", 60.0, 0.0, MAX_LOOKUP_RATE),
        skew,
        tuple((prefix, float(weight)) for prefix, weight in numbers.items()),
        tuple(bursts),
        tuple(sorted(shifts)),
        _read_callers(table.get("callers", {})),
        follow,
    )


def _read_callers(table: Any) -> tuple[tuple[str, float], ...]:
    if not isinstance(table, Mapping) or len(table) > MAX_CALLERS:
        raise _error(
            "load.callers", f"is not a table of weights by address, at most {MAX_CALLERS}: {table!r}"
        )
    for caller in table:
        try:
            valid = ipaddress.ip_address(caller) in LOOPBACK
        except ValueError:
            valid = False
        if not valid:
            raise _error(f"load.callers.{caller}", f"is not an address in {LOOPBACK}")
        _number(table, caller, "load.callers.", 1.0, 0.0, 1e6)
    return tuple((caller, float(weight)) for caller, weight in table.items())


def _read_skew(weights: Any, path: str, instances: int) -> tuple[float, ...]:
    valid = isinstance(weights, list) and all(
        isinstance(w, int | float) and not isinstance(w, bool) and w >= 0 for w in weights
    )
    if not valid or (weights and (len(weights) != instances or sum(weights) <= 0)):
        raise _error(path, f"is not one weight for each instance: {weights!r}")
    return tuple(float(w) for w in weights)


def _read_checks(table: Any) -> dict[str, Mapping[str, Any]]:
    _check_keys(table, "checks", set(CHECKS))
    checks: dict[str, Mapping[str, Any]] = {}
    for name, arguments in table.items():
        argument_names = CHECKS[name].arguments
        _check_keys(arguments, f"checks.{name}", set(argument_names))
        for key in argument_names:
            if key not in arguments:
                raise _error(f"checks.{name}.{key}", "is missing")
            _number(arguments, key, f"checks.{name}.", 0.0, 0.0, 1e9)
        checks[name] = dict(arguments)
    return checks


TIME_KEYS = {"kind", "at", "every_s"}
DURATION_KEYS = {"for_s"}
PROBABILITY_KEYS = ("loss", "reorder", "duplicate")
KEYS_BY_KIND: dict[str, set[str]] = {
    "partition": DURATION_KEYS | {"groups"},
    "link": DURATION_KEYS
    | {"from", "to", "both", "drop", *PROBABILITY_KEYS, "delay_ms", "jitter_ms", "cut_at", "rate_bps"},
    "kill": DURATION_KEYS | {"whom", "wipe"},
    "pause": DURATION_KEYS | {"whom"},
    "stop": DURATION_KEYS | {"whom"},
    "kill_in_change": DURATION_KEYS | {"whom"},
    "server": DURATION_KEYS | {"whom", "mode"},
    "rolling_restart": {"gap_s"},
}


def _read_time(row: Mapping[str, Any], key: str, path: str, default: Any = None) -> Time:
    value = row.get(key, default)
    if isinstance(value, list) and len(value) == 2:
        low, high = (_number({key: v}, key, f"{path}.", 0.0, 0.0, MAX_SECONDS) for v in value)
        if low <= high:
            return (low, high)
    elif not isinstance(value, list):
        return _number({key: value}, key, f"{path}.", 0.0, 0.0, MAX_SECONDS)
    raise _error(f"{path}.{key}", f"is neither a time nor a pair of times in ascending order: {value!r}")


def _read_instance_or_role(value: Any, path: str, names: str, roles: tuple[str, ...]) -> str:
    if (value not in names and value not in roles) or not isinstance(value, str) or not value:
        raise _error(
            path, f"is neither an instance ({', '.join(names)}) nor one of {', '.join(roles)}: {value!r}"
        )
    return value


def _read_fault(row: Any, path: str, names: str) -> dict[str, Any]:
    """Validates a row of `[[fault]]` and fills in the defaults."""
    if not isinstance(row, Mapping):
        raise _error(path, f"is not a table: {row!r}")
    kind = row.get("kind")
    if kind not in KEYS_BY_KIND:
        raise _error(f"{path}.kind", f"is none of {', '.join(sorted(KEYS_BY_KIND))}: {kind!r}")
    _check_keys(row, path, TIME_KEYS | KEYS_BY_KIND[kind])
    fault: dict[str, Any] = {"kind": kind, "at": _read_time(row, "at", path)}
    fault["every_s"] = _number(row, "every_s", f"{path}.", 0.0, 0.0, MAX_SECONDS)
    if "for_s" in KEYS_BY_KIND[kind]:
        fault["for_s"] = _read_time(row, "for_s", path)
    match kind:
        case "partition":
            fault["groups"] = _read_groups(row.get("groups"), path, names)
        case "link":
            fault |= _read_link(row, path, names)
        case "server":
            fault |= _read_server(row, path)
        case "rolling_restart":
            fault["gap_s"] = _number(row, "gap_s", f"{path}.", 2.0, 0.1, 600.0)
        case _:
            fault["whom"] = _read_instance_or_role(row.get("whom", "any"), f"{path}.whom", names, ROLES)
            fault["wipe"] = row.get("wipe", False)
            if not isinstance(fault["wipe"], bool):
                raise _error(f"{path}.wipe", f"is neither true nor false: {fault['wipe']!r}")
    return fault


def _read_server(row: Mapping[str, Any], path: str) -> dict[str, Any]:
    whom, mode = row.get("whom", "any"), row.get("mode", MODES[0])
    if whom != "any" and not (isinstance(whom, str) and whom[:1] == "s" and whom[1:].isdigit()):
        raise _error(f"{path}.whom", f'is neither a server (s0, s1, ...) nor "any": {whom!r}')
    if mode not in MODES:
        raise _error(f"{path}.mode", f"is none of {', '.join(MODES)}: {mode!r}")
    return {"whom": whom, "mode": mode}


def _read_groups(groups: Any, path: str, names: str) -> tuple[tuple[str, ...], ...]:
    """Reads the groups of a partition: a string such as `{a,b} | {c}`, or a list of lists."""
    if isinstance(groups, str):
        groups = [[n.strip() for n in part.strip(" {}").split(",")] for part in groups.split("|")]
    if not isinstance(groups, list) or len(groups) < 2 or not all(isinstance(g, list) and g for g in groups):
        raise _error(f"{path}.groups", f"is not a list of at least two groups: {groups!r}")
    for group in groups:
        for name in group:
            _read_instance_or_role(name, f"{path}.groups", names, ("leader", "rest"))
    members = [name for group in groups for name in group]
    if len(set(members)) != len(members):
        raise _error(f"{path}.groups", f"contains a name twice: {groups!r}")
    return tuple(tuple(group) for group in groups)


def _read_link(row: Mapping[str, Any], path: str, names: str) -> dict[str, Any]:
    ends = ("leader", "follower", ANY)
    link: dict[str, Any] = {}
    for key in ("from", "to"):
        value = row.get(key)
        if isinstance(value, str) and value[:1] == "s" and value[1:].isdigit():
            link[key] = value
        else:
            link[key] = _read_instance_or_role(value, f"{path}.{key}", names, ends)
    for key in ("drop", "both"):
        link[key] = row.get(key, False)
        if not isinstance(link[key], bool):
            raise _error(f"{path}.{key}", f"is neither true nor false: {link[key]!r}")
    cut_at = _integer(row, "cut_at", f"{path}.", 0, 0, 1 << 30) if "cut_at" in row else None
    link["fault"] = Fault(
        drop=link["drop"],
        delay=_number(row, "delay_ms", f"{path}.", 0.0, 0.0, 60_000.0) / 1000.0,
        jitter=_number(row, "jitter_ms", f"{path}.", 0.0, 0.0, 60_000.0) / 1000.0,
        cut_at=cut_at,
        rate=_number(row, "rate_bps", f"{path}.", 0.0, 0.0, 1e9),
        **{key: _number(row, key, f"{path}.", 0.0, 0.0, 1.0) for key in PROBABILITY_KEYS},
    )
    if link["fault"] == CLEAR:
        raise _error(path, "has no fault: set drop, loss, delay_ms, cut_at or another")
    return link


# The timeline


def _draw(value: Time, rng: Random) -> float:
    return rng.uniform(*value) if isinstance(value, tuple) else value


def _times(row: Mapping[str, Any], rng: Random, length: float) -> Iterator[float]:
    """The times at which a row's fault begins: once, or every `every_s` seconds."""
    at = _draw(row["at"], rng)
    while at < length:
        yield at
        if not row["every_s"]:
            return
        at += row["every_s"]


def _steps(
    row: Mapping[str, Any], at: float, rng: Random, length: float, key: int, names: tuple[str, ...]
) -> list[Step]:
    end = min(length, at + _draw(row["for_s"], rng)) if "for_s" in row else length
    whom = (row["whom"],) if "whom" in row else ()
    step_makers: dict[str, Callable[[], list[Step]]] = {
        "partition": lambda: [
            Step(at, "partition", groups=row["groups"], key=key),
            Step(end, "heal", key=key),
        ],
        "link": lambda: _link_steps(row, at, end, key),
        "kill": lambda: [
            Step(at, "kill", whom, key=key),
            *([Step(at, "wipe", whom, key=key)] if row["wipe"] else []),
            Step(end, "start", whom, key=key),
        ],
        "pause": lambda: [Step(at, "pause", whom, key=key), Step(end, "resume", whom, key=key)],
        "stop": lambda: [Step(at, "stop", whom, key=key), Step(end, "start", whom, key=key)],
        "kill_in_change": lambda: [
            Step(at, "kill_in_change", whom, key=key),
            Step(end, "start", whom, key=key),
        ],
        "server": lambda: [
            Step(at, "fail_server", whom, key=key, mode=row["mode"]),
            Step(end, "mend_server", whom, key=key),
        ],
        "rolling_restart": lambda: [
            step
            for n, name in enumerate(names)
            for step in (
                Step(at + n * row["gap_s"], "stop", (name,), key=key),
                Step(at + n * row["gap_s"], "start", (name,), key=key),
            )
            if step.at < length
        ],
    }
    return step_makers[row["kind"]]()


def _link_steps(row: Mapping[str, Any], at: float, end: float, key: int) -> list[Step]:
    links = [(row["from"], row["to"])] + ([(row["to"], row["from"])] if row["both"] else [])
    begin_steps = [Step(at, "link", link=link, fault=row["fault"], key=key) for link in links]
    return begin_steps + [Step(end, "link", link=link, key=key) for link in links]
