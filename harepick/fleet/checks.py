"""Checks of a merged history. Each violation comes with the shortest sequence of events that shows it.

A check reads events (`history.py`) and returns figures, which go into the report, and violations. The events
are described where they are written: `store/service.py` for instances, `runner.py` for the rig. No I/O.
"""

from __future__ import annotations

import bisect
import itertools
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from harepick.fleet.history import Event

ANSWER_TIMEOUT_S = 2.6  # for one look-up: its deadline and a margin for a busy machine
RESTART_MARGIN_S = 0.1  # look-ups sent within this time after an instance is back are not judged
MAX_KEPT_VIOLATIONS = 20  # kept for one check; all are counted
RIG_NAME = "rig"  # `name` of the rig's own events


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a check; `events` holds the fewest events that show it, in order of time."""

    check: str
    why: str
    events: tuple[Event, ...]


@dataclass(slots=True)
class Finding:
    """The result of one check. `count` counts all violations; `violations` keeps the first of them."""

    figures: dict[str, float] = field(default_factory=dict)
    count: int = 0
    violations: list[Violation] = field(default_factory=list)

    def add_violation(self, check: str, why: str, *events: Event | None) -> None:
        self.count += 1
        if len(self.violations) < MAX_KEPT_VIOLATIONS:
            self.violations.append(Violation(check, why, tuple(e for e in events if e is not None)))


CheckFunction = Callable[[Sequence[Event], Mapping[str, Any]], Finding]


@dataclass(frozen=True, slots=True)
class Check:
    """A check function and the names of the arguments that it needs from the scenario."""

    run: CheckFunction
    arguments: tuple[str, ...] = ()


def _select(events: Iterable[Event], *names: str) -> list[Event]:
    return [event for event in events if event.event in names]


def _quantile(ordered: Sequence[float], share: float) -> float:
    """Quantile `share` of sorted values, rounded to 0.1; 0 if there are none."""
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 1) if ordered else 0.0


def _acknowledgements(events: Sequence[Event]) -> tuple[list[float], list[Event]]:
    """The acknowledgements that raised the highest acknowledged revision: their times, and the events."""
    kept: list[Event] = []
    for event in _select(events, "acked"):
        if not kept or event["revision"] > kept[-1]["revision"]:
            kept.append(event)
    return [event.mono for event in kept], kept


def _check_stale(events: Sequence[Event], check: str, event_name: str, count_key: str) -> Finding:
    """Finds events called `event_name` under a revision older than the last one acknowledged at that time."""
    finding = Finding()
    times, acks = _acknowledgements(events)
    adopted: dict[str, Event] = {}
    matches = 0
    for event in events:
        if event.event == "adopted":
            adopted[event.name] = event
        elif event.event == event_name:
            matches += 1
            ack_count = bisect.bisect_right(times, event.mono)
            if ack_count and event["revision"] < acks[ack_count - 1]["revision"]:
                # The first acknowledgement that made the event's revision stale.
                ack = acks[bisect.bisect_right([a["revision"] for a in acks], event["revision"])]
                late_ms = (event.mono - ack.mono) * 1000
                subject = (
                    f"{event['server']} was sent something"
                    if event_name == "arrived"
                    else f"{event.name} sent a set-up"
                )
                why = (
                    f"{subject} under revision {event['revision']} "
                    f"{late_ms:.1f} ms after revision {ack['revision']} was acknowledged"
                )
                finding.add_violation(check, why, adopted.get(event.name), ack, event)
    finding.figures = {count_key: finding.count, event_name: matches}
    return finding


def no_stale_act(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """No instance sends a set-up under a revision older than the last one acknowledged."""
    return _check_stale(events, "no_stale_act", "left", "stale_acts")


def no_stale_arrival(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """As `no_stale_act`, seen by the servers: nothing arrives at an address of an older revision."""
    return _check_stale(events, "no_stale_arrival", "arrived", "stale_arrivals")


def no_ack_lost(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """Every acknowledged change is in the store's final history once, under the acknowledged revision."""
    finding = Finding()
    kept: dict[str, list[Event]] = defaultdict(list)
    final_history = _select(events, "kept")
    for event in final_history:
        kept[event["note"]].append(event)
    oldest = min((event["revision"] for event in final_history), default=0)
    acks = _select(events, "acked")
    for ack in acks:
        if ack["revision"] < oldest:
            continue  # older than the history that the store keeps
        rows = kept.get(ack["note"], [])
        if (revisions := [row["revision"] for row in rows]) != [ack["revision"]]:
            why = f"{ack['note']} was acknowledged as revision {ack['revision']}, and is kept as {revisions}"
            finding.add_violation("no_ack_lost", why, ack, *rows)
    finding.figures = {"changes_acked": len(acks), "acks_lost": finding.count}
    return finding


def downtimes(events: Sequence[Event]) -> dict[str, list[tuple[float, float]]]:
    """For each instance the periods (monotonic seconds) in which it was killed, stopped or paused."""
    down_since: dict[str, float] = {}
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for event in _select(events, "process"):
        name, what = event["whom"], event["what"]
        if what in ("kill", "stop", "pause", "ended"):
            down_since.setdefault(name, event.mono)
        elif what in ("serving", "resume") and name in down_since:
            spans[name].append((down_since.pop(name), event.mono))
    for name, start in down_since.items():
        spans[name].append((start, float("inf")))
    return spans


def find_fault_periods(events: Sequence[Event], start: float, seconds: float) -> list[tuple[float, float]]:
    """Periods with a fault, in seconds from `start`, from the rig's own events: link faults, partitions, and
    instances that were not running."""
    spans: list[tuple[float, float]] = []
    since: dict[str, float] = {}
    for event in _select(events, "partition", "heal", "link", "process"):
        at = event.mono - start
        if not 0 <= at <= seconds:
            continue  # a fault that is not repaired by the end of the run ends there
        match event.event, event.fields.get("what"):
            case "partition", _:
                since["net"] = at
            case "heal", _:
                if "net" in since:
                    spans.append((since.pop("net"), at))
            case "link", _:
                if event["fault"]:
                    since[event["link"]] = at
                elif event["link"] in since:
                    spans.append((since.pop(event["link"]), at))
            case "process", "kill" | "pause" | "stop":
                since[event["whom"]] = at
            case "process", "serving" | "resume":
                if event["whom"] in since:
                    spans.append((since.pop(event["whom"]), at))
    return [*spans, *((at, seconds) for at in since.values())]


def one_answer(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """Each look-up has at most one answer, and exactly one if its instance stayed up."""
    finding = Finding()
    spans = downtimes(events)
    figures: Counter[str] = Counter(lookups=0, served=0, refused=0, judged=0, unanswered=0, answered_twice=0)
    for event in _select(events, "lookup"):
        figures["lookups"] += 1
        answers = event["answers"]
        if answers:
            figures["served" if event["rcode"] == 0 else "refused"] += 1
        if answers > 1:
            figures["answered_twice"] += 1
            why = f"a look-up at {event['instance']} got {answers} answers"
            finding.add_violation("one_answer", why, event)
        start, end = event.mono - RESTART_MARGIN_S, event.mono + ANSWER_TIMEOUT_S
        if any(start <= back and since <= end for since, back in spans.get(event["instance"], ())):
            continue
        figures["judged"] += 1
        if not answers:
            figures["unanswered"] += 1
            why = f"a look-up at {event['instance']}, which stayed up, got no answer in {ANSWER_TIMEOUT_S} s"
            finding.add_violation("one_answer", why, event)
    finding.figures = dict(figures)
    return finding


def one_leader_a_term(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """No term has two leaders."""
    finding = Finding()
    leaders: dict[int, Event] = {}
    for event in _select(events, "role"):
        if event["role"] != "leader":
            continue
        first = leaders.setdefault(event["term"], event)
        if first.name != event.name:
            why = f"{first.name} and {event.name} both led in term {event['term']}"
            finding.add_violation("one_leader_a_term", why, first, event)
    finding.figures = {"terms_led": len(leaders)}
    return finding


def complete(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """No history lacks lines, and every instance that was started wrote a history."""
    finding = Finding()
    lost = 0
    for event in events:
        if left_out := event.fields.get("left_out"):
            lost += left_out
            finding.add_violation("complete", f"{event.name} left out {left_out} lines", event)
    wrote = {event.name for event in _select(events, "began")}
    for event in _select(events, "process"):
        if event["what"] == "serving" and event["whom"] not in wrote:
            wrote.add(event["whom"])
            finding.add_violation("complete", f"{event['whom']} wrote no history", event)
    finding.figures = {"events": len(events), "lines_left_out": lost}
    return finding


def no_crash(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """No instance exits unless the rig ends it, and no replica stops itself."""
    finding = Finding()
    for event in events:
        if event.event == "process" and event["what"] == "ended":
            why = f"{event['whom']} exited on its own with code {event['code']}"
            finding.add_violation("no_crash", why, event)
        elif event.event == "role" and event["stopped"]:
            finding.add_violation("no_crash", f"{event.name}'s replica stopped: {event['stopped']}", event)
    finding.figures = {"crashes": finding.count}
    return finding


def _order_states(events: Iterable[Event]) -> list[Event]:
    """The first event of each state of each maintenance order, by version of the orders."""
    first: dict[tuple[int, str], Event] = {}
    for event in _select(events, "order"):
        first.setdefault((event["order"], event["state"]), event)
    return sorted(first.values(), key=lambda event: int(event["version"]))


def most_out(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """At no version of the orders are more than `servers` servers or `controllers` controllers leaving or out
    for maintenance; and all instances report the same orders."""
    finding = Finding()
    out: dict[str, dict[str, Event]] = {"server": {}, "controller": {}}
    highest = dict.fromkeys(out, 0)
    for event in _order_states(events):
        kind = event["machine"].partition(":")[0]
        if event["state"] in ("back", "cancelled"):
            out[kind].pop(event["machine"], None)
        elif event["state"] in ("leaving", "out"):
            out[kind].setdefault(event["machine"], event)
        highest[kind] = max(highest[kind], len(out[kind]))
        if len(out[kind]) > arguments[f"{kind}s"]:
            names = ", ".join(out[kind])
            why = f"{len(out[kind])} {kind}s out at once, at most {arguments[f'{kind}s']:g} allowed: {names}"
            finding.add_violation("most_out", why, *out[kind].values())
    by_version: dict[int, Event] = {}
    for event in _select(events, "order"):
        other = by_version.setdefault(event["version"], event)
        if (other["order"], other["state"]) != (event["order"], event["state"]):
            why = f"{other.name} and {event.name} report version {event['version']} of the orders differently"
            finding.add_violation("most_out", why, other, event)
    finding.figures = {
        "most_out_at_once": highest["server"],
        "most_controllers_out_at_once": highest["controller"],
    }
    return finding


def no_fresh_to_out(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """While a server is out, it gets no fresh calls, that is, calls other than those under way.

    A server is out from its order's first `out` event to the first `back` or `cancelled` event. Meanwhile no
    instance sends anything to it, nothing arrives there, and no instance sends anything to any server under a
    version of the orders that is older than the one in which the server was leaving.
    """
    finding = Finding()
    rows = _order_states(events)
    # Machine -> since when and until when it was out, version in which it was leaving, its `out` event.
    spans: dict[str, list[tuple[float, float, int, Event]]] = defaultdict(list)
    times_to_out: list[float] = []
    for event in rows:
        if event["state"] != "out":
            continue
        by_state = {other["state"]: other for other in rows if other["order"] == event["order"]}
        end = by_state.get("back") or by_state.get("cancelled")
        until = end.mono if end else float("inf")
        spans[event["machine"]].append((event.mono, until, by_state["leaving"]["version"], event))
        times_to_out.append((event.mono - by_state["leaving"].mono) * 1000)
    fresh_calls = stale_orders = 0
    for event in _select(events, "left", "arrived"):
        server = str(event["server"]).partition("@")[0]
        for since, until, _, out in spans.get(f"server:{server}", ()):
            if since < event.mono < until:
                fresh_calls += 1
                late_ms = (event.mono - since) * 1000
                why = f"{event.event} for {server} {late_ms:.1f} ms after it was out"
                finding.add_violation("no_fresh_to_out", why, out, event)
        if event.event != "left" or "orders" not in event.fields:
            continue
        for ends in spans.values():
            for since, until, version, out in ends:
                if since < event.mono < until and event["orders"] < version:
                    stale_orders += 1
                    why = f"{event.name} sent a set-up under version {event['orders']} of the orders"
                    finding.add_violation(
                        "no_fresh_to_out", f"{why} after {version} was confirmed", out, event
                    )
    times_to_out.sort()
    finding.figures = {
        "fresh_calls_to_out_servers": fresh_calls,
        "stale_orders": stale_orders,
        "orders_out": len(times_to_out),
        "time_to_out_ms_p50": _quantile(times_to_out, 0.5),
        "time_to_out_ms_p99": _quantile(times_to_out, 0.99),
    }
    return finding


def no_fresh_from_out(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """A controller sends nothing from the first event that says it is out until the first one that says it is
    back."""
    finding = Finding()
    rows = [event for event in _order_states(events) if event["machine"].startswith("controller:")]
    left: dict[str, list[Event]] = defaultdict(list)
    for event in _select(events, "left"):
        left[event.name].append(event)
    spans = 0
    for out in (event for event in rows if event["state"] == "out"):
        spans += 1
        ends = (e.mono for e in rows if e["order"] == out["order"] and e["state"] in ("back", "cancelled"))
        until, name = next(ends, float("inf")), out["machine"].partition(":")[2]
        for event in left[name]:
            if out.mono < event.mono < until:
                late_ms = (event.mono - out.mono) * 1000
                why = f"{name} sent {late_ms:.1f} ms after it was out"
                finding.add_violation("no_fresh_from_out", why, out, event)
    finding.figures = {"controllers_taken_out": spans, "fresh_calls_from_out_controllers": finding.count}
    return finding


def handover(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """No caller that follows readiness is refused, or left without an answer, because a controller goes out.

    From the `handover` event with which a controller closes until the one with which it serves again, every
    look-up of a caller whose last poll said that the controller is ready is answered without an error.
    """
    finding = Finding()
    spans: dict[str, list[tuple[float, float, Event]]] = defaultdict(list)
    closed: dict[str, Event] = {}
    handovers: set[tuple[str, float]] = set()
    for event in _select(events, "handover"):
        if event["stage"] in ("closed", "out"):
            closed.setdefault(event.name, event)
            continue
        if event["stage"] == "handing_over":
            handovers.add((event.name, event.mono))
        if since := closed.pop(event.name, None):
            spans[event.name].append((since.mono, event.mono, since))
    for name, since in closed.items():
        spans[name].append((since.mono, float("inf"), since))
    moved = refused = 0
    for event in _select(events, "lookup"):
        moved += bool(event.fields.get("moved"))
        for begin, until, stage in spans.get(event["instance"], ()):
            if not begin < event.mono < until or (event["answers"] and event["rcode"] == 0):
                continue
            refused += 1
            if event.fields.get("ready"):
                why = f"{event['instance']} did not serve a caller whose last poll said that it is ready"
                finding.add_violation("handover", why, stage, event)
    finding.figures = {
        "handovers": len(handovers),
        "lookups_moved": moved,
        "turned_away_by_handover": finding.count,
        "turned_away_unready": refused - finding.count,
    }
    return finding


def within_plan(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """A machine begins to leave only if the maintenance settings then in force (`max_out` of the latest
    `adopted` revision) allow one more to be out. Settings that come later may allow fewer than are out."""
    finding = Finding()
    settings_by_index: dict[int, Event] = {}
    for event in _select(events, "adopted"):
        if "max_out" in event.fields:
            settings_by_index.setdefault(event["index"], event)
    indices = sorted(settings_by_index)
    out: dict[str, set[str]] = {"server": set(), "controller": set()}
    judged = 0
    for event in _order_states(events):
        kind = event["machine"].partition(":")[0]
        if event["state"] in ("back", "cancelled"):
            out[kind].discard(event["machine"])
        elif event["state"] == "leaving":
            out[kind].add(event["machine"])
            earlier = bisect.bisect_left(indices, event.fields.get("index", 0))
            if not earlier:
                continue  # no settings are known for that time
            judged += 1
            settings = settings_by_index[indices[earlier - 1]]
            max_out = settings["max_out" if kind == "server" else "max_out_controllers"]
            if len(out[kind]) > max_out:
                why = (
                    f"with {event['machine']}, {len(out[kind])} are leaving or out, at most {max_out} may be"
                )
                finding.add_violation("within_plan", why, settings, event)
    finding.figures = {
        "moves_judged": judged,
        "plans": len({(row["max_out"]) for row in settings_by_index.values()}),
    }
    return finding


def above_floor(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """When a server begins to leave, the capacity that stays in service is at least the floor of the settings
    then in force.

    A server may leave below the floor if the rig had made it fail for at least `failed_after` seconds: its
    capacity was lost already. This holds until `recovers_s` seconds after its repair.
    """
    finding = Finding()
    settings_by_index = {
        event["index"]: event for event in reversed(_select(events, "adopted")) if "floor" in event.fields
    }
    indices = sorted(settings_by_index)
    failing: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for event in _select(events, "server"):
        spans = failing[event["server"]]
        if event["mode"]:
            spans.append((event.mono, float("inf")))
        elif spans:
            spans[-1] = (spans[-1][0], event.mono)
    out: set[str] = set()
    judged = 0
    for event in _order_states(events):
        kind, _, name = event["machine"].partition(":")
        if kind != "server" or event["state"] not in ("leaving", "back", "cancelled"):
            continue
        if event["state"] != "leaving":
            out.discard(name)
            continue
        out.add(name)
        earlier = bisect.bisect_left(indices, event.fields.get("index", 0))
        if not earlier:
            continue
        judged += 1
        settings = settings_by_index[indices[earlier - 1]]
        remaining = sum(amount for server, amount in settings["capacity"].items() if server not in out)
        failed = any(
            since + settings["failed_after"] <= event.mono <= until + arguments["recovers_s"]
            and until - since >= settings["failed_after"]
            for since, until in failing[name]
        )
        if remaining < settings["floor"] and not failed:
            why = f"{name} left a capacity of {remaining:g}, the floor is {settings['floor']:g}"
            finding.add_violation("above_floor", why, settings, event)
    finding.figures = {"floors_judged": judged}
    return finding


def voters_kept(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """There are never fewer than `least` voters, consecutive committed memberships differ by at most one
    voter, and all instances report the same membership for the same log entry."""
    finding = Finding()
    memberships: dict[int, Event] = {}  # index of the last committed entry -> the first event with it
    for event in _select(events, "voters"):
        if not event["voters"]:
            continue  # a joining replica that knows no membership yet
        first = memberships.setdefault(event["index"], event)
        if first["voters"] != event["voters"]:
            why = f"{first.name} and {event.name} report entry {event['index']} differently"
            finding.add_violation("voters_kept", why, first, event)
        if len(event["voters"]) < arguments["least"]:
            why = f"{len(event['voters'])} voters were left, at least {arguments['least']:g} are required"
            finding.add_violation("voters_kept", why, event)
    ordered = [memberships[index] for index in sorted(memberships)]
    for before, after in itertools.pairwise(ordered):
        if len(set(before["voters"]) ^ set(after["voters"])) > 1:
            why = f"from {before['voters']} to {after['voters']} in one step"
            finding.add_violation("voters_kept", why, before, after)
    counts = [len(event["voters"]) for event in ordered]
    finding.figures = {
        "memberships": len(ordered),
        "fewest_voters": min(counts, default=0),
        "voters_at_end": counts[-1] if counts else 0,
    }
    return finding


def _check_windows(
    admitted: Sequence[Event], check: str, name: str, arguments: Mapping[str, Any], finding: Finding
) -> int:
    """Checks the admissions of one limit; returns the highest count in one window."""
    window, allowed = arguments["window_s"], arguments["per_s"] * arguments["window_s"]
    highest = first = 0
    for last, event in enumerate(admitted):
        while admitted[first].mono <= event.mono - window:
            first += 1
        highest = max(highest, last - first + 1)
        if last - first + 1 > allowed + arguments["epsilon"]:
            stretch = admitted[first : last + 1]
            finding.add_violation(
                check, f"limit {name}: {len(stretch)} in {window:g} s, {allowed:g} allowed", *stretch
            )
    return highest


def _check_admissions(
    events: Sequence[Event], arguments: Mapping[str, Any], check: str, callers: bool
) -> Finding:
    finding = Finding()
    by_limit: dict[str, list[Event]] = defaultdict(list)
    for event in _select(events, "admitted"):
        if callers == ("@" in event["limit"]):
            by_limit[event["limit"]].append(event)
    window_counts = [_check_windows(rows, check, name, arguments, finding) for name, rows in by_limit.items()]
    highest, allowed = max(window_counts, default=0), arguments["per_s"] * arguments["window_s"]
    figure_name = "worst_caller_window" if callers else "worst_window"
    finding.figures = {figure_name: highest, f"{figure_name}_over": round(max(0.0, highest - allowed), 1)}
    return finding


def admissions(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """In every window of `window_s` seconds, admissions under one limit (`admitted`, by `limit`) are at most
    `per_s` times the window, plus `epsilon`."""
    return _check_admissions(events, arguments, "admissions", callers=False)


def admissions_by_caller(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """As `admissions`, for limits that apply to each caller (`limit` is its name, `@` and the caller)."""
    return _check_admissions(events, arguments, "admissions_by_caller", callers=True)


def verdict_staleness(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """Until a verdict on a server is lifted, no instance sends to that server later than `bound_s` seconds
    after the first event of the verdict."""
    finding = Finding()
    began: dict[int, Event] = {}
    ended: dict[int, float] = {}
    for event in _select(events, "verdict", "verdict_lifted"):
        if event.event == "verdict" and event["kind"] != "blocked":  # that one is on callers
            began.setdefault(event["verdict"], event)
        elif event.event == "verdict_lifted":
            ended.setdefault(event["verdict"], event.mono)
    left: dict[str, list[Event]] = defaultdict(list)
    for event in _select(events, "left"):
        left[str(event["server"]).partition("@")[0]].append(event)
    staleness_ms = []
    for verdict_id, verdict in began.items():
        until = ended.get(verdict_id, float("inf"))
        rows = left[verdict["subject"]]
        first = bisect.bisect_right([row.mono for row in rows], verdict.mono)
        after = [row for row in rows[first:] if row.mono < until]
        late_ms = (after[-1].mono - verdict.mono) * 1000 if after else 0.0
        staleness_ms.append(late_ms)
        if late_ms > arguments["bound_s"] * 1000:
            why = f"{after[-1].name} sent to {verdict['subject']} {late_ms:.0f} ms after the verdict on it"
            finding.add_violation("verdict_staleness", why, verdict, after[-1])
    staleness_ms.sort()
    finding.figures = {
        "verdicts": len(staleness_ms),
        "verdict_stale_ms_p99": _quantile(staleness_ms, 0.99),
        "verdict_stale_ms_max": _quantile(staleness_ms, 1.0),
    }
    return finding


def one_pass_a_slot(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """Over all instances at most `most` calls pass a gap in one of its slots (`passed`)."""
    finding = Finding()
    slots: dict[tuple[str, int], list[Event]] = defaultdict(list)
    for event in _select(events, "passed"):
        rows = slots[event["gap"], event["slot"]]
        rows.append(event)
        if len(rows) > arguments["most"]:
            who = ", ".join(row.name for row in rows)
            why = f"gap {event['gap']}: {len(rows)} calls passed in slot {event['slot']}, at {who}"
            finding.add_violation("one_pass_a_slot", why, *rows)
    finding.figures = {
        "slots_used": len(slots),
        "most_in_one_interval": max((len(rows) for rows in slots.values()), default=0),
        "double_passes": finding.count,
    }
    return finding


def concurrency(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """At most `most` calls are under way at server `s<server>`, as seen by that server."""
    finding = Finding()
    name = f"s{arguments['server']:g}"
    under_way: list[Event] = []
    highest = 0
    for event in _select(events, "arrived", "answered"):
        if event["server"] != name:
            continue
        if event.event == "answered":
            del under_way[:1]
            continue
        under_way.append(event)
        highest = max(highest, len(under_way))
        if len(under_way) > arguments["most"]:
            why = f"{len(under_way)} calls under way at {name}, at most {arguments['most']:g} allowed"
            finding.add_violation("concurrency", why, *under_way)
    finding.figures = {"most_under_way": highest}
    return finding


CHECKS: dict[str, Check] = {
    "no_stale_act": Check(no_stale_act),
    "no_stale_arrival": Check(no_stale_arrival),
    "no_ack_lost": Check(no_ack_lost),
    "one_answer": Check(one_answer),
    "one_leader_a_term": Check(one_leader_a_term),
    "complete": Check(complete),
    "no_crash": Check(no_crash),
    "most_out": Check(most_out, ("servers", "controllers")),
    "no_fresh_to_out": Check(no_fresh_to_out),
    "no_fresh_from_out": Check(no_fresh_from_out),
    "handover": Check(handover),
    "within_plan": Check(within_plan),
    "voters_kept": Check(voters_kept, ("least",)),
    "above_floor": Check(above_floor, ("recovers_s",)),
    "admissions": Check(admissions, ("per_s", "window_s", "epsilon")),
    "admissions_by_caller": Check(admissions_by_caller, ("per_s", "window_s", "epsilon")),
    "concurrency": Check(concurrency, ("server", "most")),
    "one_pass_a_slot": Check(one_pass_a_slot, ("most",)),
    "verdict_staleness": Check(verdict_staleness, ("bound_s",)),
}


def run_checks(
    events: Sequence[Event], wanted: Mapping[str, Mapping[str, Any]]
) -> tuple[dict[str, float], dict[str, int], list[Violation]]:
    """Runs the `wanted` checks, given by name with their arguments. Returns the figures of all checks, the
    violations counted by check, and the violations kept."""
    figures: dict[str, float] = {}
    counts: dict[str, int] = {}
    violations: list[Violation] = []
    for name, arguments in wanted.items():
        finding = CHECKS[name].run(events, arguments)
        figures |= finding.figures
        counts[name] = finding.count
        violations += finding.violations
    return figures, counts, violations
