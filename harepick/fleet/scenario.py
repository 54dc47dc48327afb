"""Scenarios: what a play of the rig is made of, read from TOML, and the timeline that a seed makes of it.

Pure but for `read_scenario`. A faulty key is named and nothing is played. Times in a file are in seconds from
when the fleet serves; a time may be a pair, from which the seed draws. Names: `a`, `b`, `c`, ... are the
instances, `s0`, `s1`, ... the stand-in servers; `leader`, `follower` and `any` are resolved when a step is
due.
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
MAX_RATE = 2_000.0  # look-ups a second over the fleet
NAMES = "abcdefghi"
ROLES = ("leader", "follower", "any")
RATE_SKEW = (0.5, 2.0)  # clock rates that make sense to try
START = {"scenario", "instances", "servers", "relay_servers", "answer_ms", "busy", "lease_ms", "seconds"}
SECTIONS = START | {"about", "load", "change", "fault", "checks", "clock_rate", "double", "settings"}

Time = float | tuple[float, float]


@dataclass(frozen=True, slots=True)
class Burst:
    """From `at` on, for `length` seconds, `times` as many look-ups as else."""

    at: float
    length: float
    times: float


@dataclass(frozen=True, slots=True)
class Load:
    rate: float = 60.0  # look-ups a second over the fleet
    skew: tuple[float, ...] = ()  # weight of each instance; evenly if empty
    numbers: tuple[tuple[str, float], ...] = (("+9411", 1.0),)  # prefix of called numbers -> weight
    bursts: tuple[Burst, ...] = ()
    shifts: tuple[tuple[float, tuple[float, ...]], ...] = ()  # from when on, another skew
    callers: tuple[
        tuple[str, float], ...
    ] = ()  # addresses of callers -> weight; one of the system's if empty
    follow: bool = False  # callers ask for readiness, and go elsewhere while their instance says no

    def at(self, t: float, instance: int, instances: int) -> float:
        """Look-ups a second offered to that instance at `t`."""
        skew = next((skew for since, skew in reversed(self.shifts) if t >= since), self.skew)
        weights = skew or (1.0,) * instances
        share = weights[instance] / sum(weights)
        times = max([b.times for b in self.bursts if b.at <= t < b.at + b.length], default=1.0)
        return self.rate * share * times


@dataclass(frozen=True, slots=True)
class Step:
    """One thing that the rig does at `at`, seconds from the start."""

    at: float
    what: str  # one of `ACTIONS`
    whom: tuple[str, ...] = ()  # instances or roles
    groups: tuple[tuple[str, ...], ...] = ()
    link: tuple[str, str] = ("", "")
    fault: Fault = CLEAR
    key: int = 0  # the same for the steps of one fault: a role is resolved once for all of them
    mode: str = ""  # of a server that fails

    def told(self) -> dict[str, Any]:
        """For a reader; what is empty is left out."""
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
MODES = ("silent", "failing")  # of a stand-in server: says nothing, or answers that it has failed


@dataclass(frozen=True, slots=True)
class Scenario:
    name: str
    instances: int = 3
    servers: int = 3
    relay_servers: bool = False  # links from the instances to the stand-in servers go through the relay too
    answer: float = 0.0  # seconds that a stand-in server takes for an answer
    lease: float = 1.5
    seconds: float = 20.0
    about: str = ""
    load: Load = Load()
    change_every: float = 0.0  # seconds between two changes of the configuration; 0: none
    faults: tuple[Mapping[str, Any], ...] = ()
    checks: Mapping[str, Mapping[str, Any]] = field(default_factory=dict)
    clock_rates: Mapping[str, float] = field(default_factory=dict)
    doubles: Mapping[str, str] = field(default_factory=dict)
    busy: str = ""  # numbers with this prefix have no answer but SERVFAIL at the stand-in servers
    settings: str = ""  # TOML that each revision of the configuration begins with
    plans: tuple[str, ...] = ()  # TOML that the n-th revision goes on with, by turns

    @property
    def names(self) -> tuple[str, ...]:
        return tuple(NAMES[: self.instances])

    def text(self, n: int) -> str:
        """What the n-th revision, from 1 on, says beside the servers."""
        return self.settings + ("\n" + self.plans[(n - 1) % len(self.plans)] if self.plans else "")

    def timeline(self, seed: int, seconds: float | None = None) -> list[Step]:
        """The steps of a play, in order; the same for the same seed. Faults that would begin after the end
        are left out, and those that reach beyond it end with it."""
        rng = Random(seed)
        length = self.seconds if seconds is None else seconds
        steps: list[Step] = []
        keys = count(1)
        for row in self.faults:
            for at in _times(row, rng, length):
                steps += _steps(row, at, rng, length, next(keys), self.names)
        return sorted(steps, key=lambda step: step.at)


# Reading


def _bad(path: str, why: str) -> SettingsError:
    return SettingsError(f"setting {path} {why}")


def _number(table: Mapping[str, Any], key: str, path: str, default: float, low: float, high: float) -> float:
    value = table.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        raise _bad(f"{path}{key}", f"is not between {low:g} and {high:g}: {value!r}")
    return float(value)


def _whole(table: Mapping[str, Any], key: str, path: str, default: int, low: int, high: int) -> int:
    value = _number(table, key, path, default, low, high)
    if value != int(value):
        raise _bad(f"{path}{key}", f"is no whole number: {value!r}")
    return int(value)


def _known(table: Any, path: str, keys: set[str]) -> Mapping[str, Any]:
    if not isinstance(table, Mapping):
        raise _bad(path or "scenario", f"makes no sense: {table!r}")
    for key in sorted(table.keys() - keys):
        raise _bad(f"{path}.{key}" if path else key, "is not known")
    return table


def _rows(table: Mapping[str, Any], key: str, path: str = "") -> list[Any]:
    rows = table.get(key, [])
    if not isinstance(rows, list):
        raise _bad(f"{path}{key}", f"makes no sense: {rows!r}")
    return rows


def _word(table: Mapping[str, Any], key: str, path: str, default: str = "") -> str:
    value = table.get(key, default)
    if not isinstance(value, str):
        raise _bad(f"{path}{key}", f"is no text: {value!r}")
    return value


def read_scenario(path: str) -> Scenario:
    """Raises `SettingsError`, naming the faulty key."""
    return make_scenario(read_toml(path), Path(path).stem)


def make_scenario(table: Mapping[str, Any], name: str) -> Scenario:
    _known(table, "", SECTIONS)
    instances = _whole(table, "instances", "", 3, 1, MAX_INSTANCES)
    names = NAMES[:instances]
    seconds = _number(table, "seconds", "", 20.0, 1.0, MAX_SECONDS)
    change = _known(table.get("change", {}), "change", {"every_s", "settings"})
    plans = _rows(change, "settings", "change.")
    if not all(isinstance(plan, str) for plan in plans):
        raise _bad("change.settings", f"is no list of texts: {plans!r}")
    rates = _known(table.get("clock_rate", {}), "clock_rate", set(names))
    doubles = _known(table.get("double", {}), "double", set(names))
    relayed = table.get("relay_servers", False)
    if not isinstance(relayed, bool):
        raise _bad("relay_servers", f"is neither true nor false: {relayed!r}")
    settings = _word(table, "settings", "")
    servers = _whole(table, "servers", "", 3, 1, MAX_SERVERS)
    scenario = Scenario(
        name=_word(table, "scenario", "", name),
        instances=instances,
        servers=servers,
        relay_servers=relayed,
        answer=_number(table, "answer_ms", "", 0.0, 0.0, 10_000.0) / 1000.0,
        lease=_number(table, "lease_ms", "", 1500, 500, 60_000) / 1000.0,
        seconds=seconds,
        about=_word(table, "about", ""),
        load=_load(table.get("load", {}), instances),
        change_every=_number(change, "every_s", "change.", 0.0, 0.0, 600.0),
        faults=tuple(_fault(row, f"fault[{n}]", names) for n, row in enumerate(_rows(table, "fault"))),
        checks=_checks(table.get("checks", {})),
        clock_rates={n: _number(rates, n, "clock_rate.", 1.0, *RATE_SKEW) for n in rates},
        doubles={n: _word(doubles, n, "double.") for n in doubles},
        settings=settings,
        plans=tuple(plans),
        busy=_word(table, "busy", ""),
    )
    if scenario.relay_servers and "no_stale_arrival" in scenario.checks:
        raise _bad("checks.no_stale_arrival", "says nothing with relay_servers: the relay delays them")
    if not scenario.change_every and any(row["kind"] == "kill_in_change" for row in scenario.faults):
        raise _bad("change.every_s", "is missing, and a fault waits for a change")
    return scenario


def _load(table: Any, instances: int) -> Load:
    _known(table, "load", {"rate", "skew", "numbers", "burst", "shift", "callers", "follow"})
    follow = table.get("follow", False)
    if not isinstance(follow, bool):
        raise _bad("load.follow", f"is neither true nor false: {follow!r}")
    skew = _skew(table.get("skew", []), "load.skew", instances)
    shifts = []
    for n, row in enumerate(_rows(table, "shift", "load.")):
        _known(row, f"load.shift[{n}]", {"at", "skew"})
        at = _number(row, "at", f"load.shift[{n}].", -1.0, 0.0, MAX_SECONDS)
        shifts.append((at, _skew(row.get("skew"), f"load.shift[{n}].skew", instances)))
    numbers = table.get("numbers", {"+9411": 1.0})
    if not isinstance(numbers, Mapping) or not numbers:
        raise _bad("load.numbers", f"is not a weight for each prefix: {numbers!r}")
    for prefix in numbers:
        if not (prefix[:1] == "+" and prefix[1:].isdigit() and len(prefix) <= 12):
            raise _bad(f"load.numbers.{prefix}", "is no prefix of a number: + and up to 11 digits")
        _number(numbers, prefix, "load.numbers.", 1.0, 0.0, 1e6)
    bursts = []
    for n, row in enumerate(_rows(table, "burst", "load.")):
        path = f"load.burst[{n}]"
        _known(row, path, {"at", "for_s", "times"})
        bursts.append(
            Burst(
                _number(row, "at", f"{path}.", -1.0, 0.0, MAX_SECONDS),
                _number(row, "for_s", f"{path}.", 1.0, 0.01, MAX_SECONDS),
                _number(row, "times", f"{path}.", 2.0, 0.0, 100.0),
            )
        )
    return Load(
        _number(table, "rate", "load.", 60.0, 0.0, MAX_RATE),
        skew,
        tuple((prefix, float(weight)) for prefix, weight in numbers.items()),
        tuple(bursts),
        tuple(sorted(shifts)),
        _callers(table.get("callers", {})),
        follow,
    )


def _callers(table: Any) -> tuple[tuple[str, float], ...]:
    if not isinstance(table, Mapping) or len(table) > MAX_CALLERS:
        raise _bad("load.callers", f"is not a weight for each of up to {MAX_CALLERS} addresses: {table!r}")
    for caller in table:
        try:
            good = ipaddress.ip_address(caller) in LOOPBACK
        except ValueError:
            good = False
        if not good:
            raise _bad(f"load.callers.{caller}", f"is no address in {LOOPBACK}")
        _number(table, caller, "load.callers.", 1.0, 0.0, 1e6)
    return tuple((caller, float(weight)) for caller, weight in table.items())


def _skew(weights: Any, path: str, instances: int) -> tuple[float, ...]:
    good = isinstance(weights, list) and all(
        isinstance(w, int | float) and not isinstance(w, bool) and w >= 0 for w in weights
    )
    if not good or (weights and (len(weights) != instances or sum(weights) <= 0)):
        raise _bad(path, f"is not one weight for each instance: {weights!r}")
    return tuple(float(w) for w in weights)


def _checks(table: Any) -> dict[str, Mapping[str, Any]]:
    _known(table, "checks", set(CHECKS))
    found: dict[str, Mapping[str, Any]] = {}
    for name, row in table.items():
        wanted = CHECKS[name].arguments
        _known(row, f"checks.{name}", set(wanted))
        for key in wanted:
            if key not in row:
                raise _bad(f"checks.{name}.{key}", "is missing")
            _number(row, key, f"checks.{name}.", 0.0, 0.0, 1e9)
        found[name] = dict(row)
    return found


TIMES = {"kind", "at", "every_s"}
LASTING = {"for_s"}
SHARES = ("loss", "reorder", "duplicate")
KINDS: dict[str, set[str]] = {
    "partition": LASTING | {"groups"},
    "link": LASTING | {"from", "to", "both", "drop", *SHARES, "delay_ms", "jitter_ms", "cut_at", "rate_bps"},
    "kill": LASTING | {"whom", "wipe"},
    "pause": LASTING | {"whom"},
    "stop": LASTING | {"whom"},
    "kill_in_change": LASTING | {"whom"},
    "server": LASTING | {"whom", "mode"},
    "rolling_restart": {"gap_s"},
}


def _time(row: Mapping[str, Any], key: str, path: str, default: Any = None) -> Time:
    value = row.get(key, default)
    if isinstance(value, list) and len(value) == 2:
        low, high = (_number({key: v}, key, f"{path}.", 0.0, 0.0, MAX_SECONDS) for v in value)
        if low <= high:
            return (low, high)
    elif not isinstance(value, list):
        return _number({key: value}, key, f"{path}.", 0.0, 0.0, MAX_SECONDS)
    raise _bad(f"{path}.{key}", f"is no time and no pair of times in order: {value!r}")


def _end(value: Any, path: str, names: str, more: tuple[str, ...]) -> str:
    if (value not in names and value not in more) or not isinstance(value, str) or not value:
        raise _bad(path, f"is no instance ({', '.join(names)}) nor one of {', '.join(more)}: {value!r}")
    return value


def _fault(row: Any, path: str, names: str) -> dict[str, Any]:
    """A row of `[[fault]]`, checked, with defaults filled in."""
    if not isinstance(row, Mapping):
        raise _bad(path, f"makes no sense: {row!r}")
    kind = row.get("kind")
    if kind not in KINDS:
        raise _bad(f"{path}.kind", f"is none of {', '.join(sorted(KINDS))}: {kind!r}")
    _known(row, path, TIMES | KINDS[kind])
    found: dict[str, Any] = {"kind": kind, "at": _time(row, "at", path)}
    found["every_s"] = _number(row, "every_s", f"{path}.", 0.0, 0.0, MAX_SECONDS)
    if "for_s" in KINDS[kind]:
        found["for_s"] = _time(row, "for_s", path)
    match kind:
        case "partition":
            found["groups"] = _groups(row.get("groups"), path, names)
        case "link":
            found |= _link(row, path, names)
        case "server":
            found |= _server(row, path)
        case "rolling_restart":
            found["gap_s"] = _number(row, "gap_s", f"{path}.", 2.0, 0.1, 600.0)
        case _:
            found["whom"] = _end(row.get("whom", "any"), f"{path}.whom", names, ROLES)
            found["wipe"] = row.get("wipe", False)
            if not isinstance(found["wipe"], bool):
                raise _bad(f"{path}.wipe", f"is neither true nor false: {found['wipe']!r}")
    return found


def _server(row: Mapping[str, Any], path: str) -> dict[str, Any]:
    whom, mode = row.get("whom", "any"), row.get("mode", MODES[0])
    if whom != "any" and not (isinstance(whom, str) and whom[:1] == "s" and whom[1:].isdigit()):
        raise _bad(f"{path}.whom", f"is no server (s0, s1, ...) nor any: {whom!r}")
    if mode not in MODES:
        raise _bad(f"{path}.mode", f"is none of {', '.join(MODES)}: {mode!r}")
    return {"whom": whom, "mode": mode}


def _groups(groups: Any, path: str, names: str) -> tuple[tuple[str, ...], ...]:
    """`{a,b} | {c}`, or a list of lists."""
    if isinstance(groups, str):
        groups = [[n.strip() for n in part.strip(" {}").split(",")] for part in groups.split("|")]
    if not isinstance(groups, list) or len(groups) < 2 or not all(isinstance(g, list) and g for g in groups):
        raise _bad(f"{path}.groups", f"is not two groups or more: {groups!r}")
    for group in groups:
        for name in group:
            _end(name, f"{path}.groups", names, ("leader", "rest"))
    flat = [name for group in groups for name in group]
    if len(set(flat)) != len(flat):
        raise _bad(f"{path}.groups", f"has a name twice: {groups!r}")
    return tuple(tuple(group) for group in groups)


def _link(row: Mapping[str, Any], path: str, names: str) -> dict[str, Any]:
    ends = ("leader", "follower", ANY)
    found: dict[str, Any] = {}
    for key in ("from", "to"):
        value = row.get(key)
        if isinstance(value, str) and value[:1] == "s" and value[1:].isdigit():
            found[key] = value
        else:
            found[key] = _end(value, f"{path}.{key}", names, ends)
    for key in ("drop", "both"):
        found[key] = row.get(key, False)
        if not isinstance(found[key], bool):
            raise _bad(f"{path}.{key}", f"is neither true nor false: {found[key]!r}")
    cut = _whole(row, "cut_at", f"{path}.", 0, 0, 1 << 30) if "cut_at" in row else None
    found["fault"] = Fault(
        drop=found["drop"],
        delay=_number(row, "delay_ms", f"{path}.", 0.0, 0.0, 60_000.0) / 1000.0,
        jitter=_number(row, "jitter_ms", f"{path}.", 0.0, 0.0, 60_000.0) / 1000.0,
        cut_at=cut,
        rate=_number(row, "rate_bps", f"{path}.", 0.0, 0.0, 1e9),
        **{key: _number(row, key, f"{path}.", 0.0, 0.0, 1.0) for key in SHARES},
    )
    if found["fault"] == CLEAR:
        raise _bad(path, "is a link with no fault: name drop, loss, delay_ms, cut_at or another")
    return found


# The timeline


def _drawn(value: Time, rng: Random) -> float:
    return rng.uniform(*value) if isinstance(value, tuple) else value


def _times(row: Mapping[str, Any], rng: Random, length: float) -> Iterator[float]:
    """When a row's fault begins: once, or every so many seconds."""
    at = _drawn(row["at"], rng)
    while at < length:
        yield at
        if not row["every_s"]:
            return
        at += row["every_s"]


def _steps(
    row: Mapping[str, Any], at: float, rng: Random, length: float, key: int, names: tuple[str, ...]
) -> list[Step]:
    end = min(length, at + _drawn(row["for_s"], rng)) if "for_s" in row else length
    whom = (row["whom"],) if "whom" in row else ()
    made: dict[str, Callable[[], list[Step]]] = {
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
    return made[row["kind"]]()


def _link_steps(row: Mapping[str, Any], at: float, end: float, key: int) -> list[Step]:
    links = [(row["from"], row["to"])] + ([(row["to"], row["from"])] if row["both"] else [])
    begin = [Step(at, "link", link=link, fault=row["fault"], key=key) for link in links]
    return begin + [Step(end, "link", link=link, key=key) for link in links]
