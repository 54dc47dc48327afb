"""The checker: properties of a merged history, each with the shortest stretch that shows it broken. Pure.

A check reads events (`history.py`) and tells figures, which go into the report, and violations. What each
event means is said where it is written: `store/service.py` for instances, `runner.py` for the rig.
"""

from __future__ import annotations

import bisect
import itertools
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from harepick.fleet.history import Event

ANSWER = 2.6  # seconds that a look-up may take: its deadline, and what a busy machine adds
STOP_MARGIN_S = 0.1  # seconds round a process's stop and start in which nothing is asked of it
MAX_TOLD = 20  # violations of one check that are kept; all are counted
RIG = "rig"  # the name under which the rig writes


@dataclass(frozen=True, slots=True)
class Violation:
    """`stretch`: the fewest events that show it, in order."""

    check: str
    why: str
    stretch: tuple[Event, ...]


@dataclass(slots=True)
class Finding:
    """What one check found. `count` counts violations; `told` keeps the first of them."""

    figures: dict[str, float] = field(default_factory=dict)
    count: int = 0
    told: list[Violation] = field(default_factory=list)

    def against(self, check: str, why: str, *stretch: Event | None) -> None:
        self.count += 1
        if len(self.told) < MAX_TOLD:
            self.told.append(Violation(check, why, tuple(e for e in stretch if e is not None)))


Run = Callable[[Sequence[Event], Mapping[str, Any]], Finding]


@dataclass(frozen=True, slots=True)
class Check:
    run: Run
    arguments: tuple[str, ...] = ()


def _of(events: Iterable[Event], *names: str) -> list[Event]:
    return [event for event in events if event.event in names]


def _quantile(ordered: Sequence[float], share: float) -> float:
    """Of values in order, in ms; 0 for none."""
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 1) if ordered else 0.0


def _acks(events: Sequence[Event]) -> tuple[list[float], list[Event]]:
    """Acknowledgements as they raised the latest revision, and their times."""
    kept: list[Event] = []
    for event in _of(events, "acked"):
        if not kept or event["revision"] > kept[-1]["revision"]:
            kept.append(event)
    return [event.mono for event in kept], kept


def _stale(events: Sequence[Event], check: str, what: str, field_name: str) -> Finding:
    """Events `what` under a revision older than the last acknowledged when they were."""
    finding = Finding()
    times, acks = _acks(events)
    adopted: dict[str, Event] = {}
    acts = 0
    for event in events:
        if event.event == "adopted":
            adopted[event.name] = event
        elif event.event == what:
            acts += 1
            at = bisect.bisect_right(times, event.mono)
            if at and event["revision"] < acks[at - 1]["revision"]:
                ack = acks[bisect.bisect_right([a["revision"] for a in acks], event["revision"])]
                late = (event.mono - ack.mono) * 1000
                who = f"{event['server']} was sent something" if what == "arrived" else f"{event.name} acted"
                why = (
                    f"{who} under revision {event['revision']} "
                    f"{late:.1f} ms after revision {ack['revision']} was acknowledged"
                )
                finding.against(check, why, adopted.get(event.name), ack, event)
    finding.figures = {field_name: finding.count, what: acts}
    return finding


def no_stale_act(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """No set-up leaves an instance under a revision older than the last one acknowledged."""
    return _stale(events, "no_stale_act", "left", "stale_acts")


def no_stale_arrival(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """The same from outside: nothing arrives at a server that only an older revision names."""
    return _stale(events, "no_stale_arrival", "arrived", "stale_arrivals")


def no_ack_lost(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """Every change acknowledged is in the store's own history at the end, once, as the revision told."""
    finding = Finding()
    kept: dict[str, list[Event]] = defaultdict(list)
    ends = _of(events, "kept")
    for event in ends:
        kept[event["note"]].append(event)
    oldest = min((event["revision"] for event in ends), default=0)
    acks = _of(events, "acked")
    for ack in acks:
        if ack["revision"] < oldest:
            continue  # older than the history that the store keeps
        rows = kept.get(ack["note"], [])
        if (found := [row["revision"] for row in rows]) != [ack["revision"]]:
            why = f"{ack['note']} was acknowledged as revision {ack['revision']}, and is kept as {found}"
            finding.against("no_ack_lost", why, ack, *rows)
    finding.figures = {"changes_acked": len(acks), "acks_lost": finding.count}
    return finding


def away(events: Sequence[Event]) -> dict[str, list[tuple[float, float]]]:
    """For each instance the times between which it was not running: killed, stopped or paused."""
    since: dict[str, float] = {}
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for event in _of(events, "process"):
        name, what = event["whom"], event["what"]
        if what in ("kill", "stop", "pause", "ended"):
            since.setdefault(name, event.mono)
        elif what in ("serving", "resume") and name in since:
            spans[name].append((since.pop(name), event.mono))
    for name, start in since.items():
        spans[name].append((start, float("inf")))
    return spans


def trouble(events: Sequence[Event], start: float, seconds: float) -> list[tuple[float, float]]:
    """When something was wrong, by the rig's own lines, in seconds from `start`: links, partitions, and
    instances that were not running."""
    found: list[tuple[float, float]] = []
    since: dict[str, float] = {}
    for event in _of(events, "partition", "heal", "link", "process"):
        at = event.mono - start
        if not 0 <= at <= seconds:
            continue
        match event.event, event.fields.get("what"):
            case "partition", _:
                since["net"] = at
            case "heal", _:
                if "net" in since:
                    found.append((since.pop("net"), at))
            case "link", _:
                if event["fault"]:
                    since[event["link"]] = at
                elif event["link"] in since:
                    found.append((since.pop(event["link"]), at))
            case "process", "kill" | "pause" | "stop":
                since[event["whom"]] = at
            case "process", "serving" | "resume":
                if event["whom"] in since:
                    found.append((since.pop(event["whom"]), at))
    return [*found, *((at, seconds) for at in since.values())]


def one_answer(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """Each look-up has one answer at most, and one for certain if its instance ran all the while."""
    finding = Finding()
    spans = away(events)
    figures: Counter[str] = Counter(lookups=0, served=0, refused=0, judged=0, unanswered=0, answered_twice=0)
    for event in _of(events, "lookup"):
        figures["lookups"] += 1
        answers = event["answers"]
        if answers:
            figures["served" if event["rcode"] == 0 else "refused"] += 1
        if answers > 1:
            figures["answered_twice"] += 1
            why = f"a look-up at {event['instance']} had {answers} answers"
            finding.against("one_answer", why, event)
        start, end = event.mono - STOP_MARGIN_S, event.mono + ANSWER
        if any(start <= back and since <= end for since, back in spans.get(event["instance"], ())):
            continue
        figures["judged"] += 1
        if not answers:
            figures["unanswered"] += 1
            why = f"a look-up at {event['instance']}, which ran all the while, had no answer in {ANSWER} s"
            finding.against("one_answer", why, event)
    finding.figures = dict(figures)
    return finding


def one_leader_a_term(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """No two instances lead in the same term."""
    finding = Finding()
    leaders: dict[int, Event] = {}
    for event in _of(events, "role"):
        if event["role"] != "leader":
            continue
        first = leaders.setdefault(event["term"], event)
        if first.name != event.name:
            why = f"{first.name} and {event.name} both led in term {event['term']}"
            finding.against("one_leader_a_term", why, first, event)
    finding.figures = {"terms_led": len(leaders)}
    return finding


def complete(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """No history has lines left out, and every instance that was started wrote one."""
    finding = Finding()
    lost = 0
    for event in events:
        if left_out := event.fields.get("left_out"):
            lost += left_out
            finding.against("complete", f"{event.name} left out {left_out} lines", event)
    wrote = {event.name for event in _of(events, "began")}
    for event in _of(events, "process"):
        if event["what"] == "serving" and event["whom"] not in wrote:
            wrote.add(event["whom"])
            finding.against("complete", f"{event['whom']} wrote no history", event)
    finding.figures = {"events": len(events), "lines_left_out": lost}
    return finding


def no_crash(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """No instance ends but by the rig's own doing, and none steps aside."""
    finding = Finding()
    for event in events:
        if event.event == "process" and event["what"] == "ended":
            why = f"{event['whom']} ended by itself with code {event['code']}"
            finding.against("no_crash", why, event)
        elif event.event == "role" and event["stopped"]:
            finding.against("no_crash", f"{event.name} stepped aside: {event['stopped']}", event)
    finding.figures = {"crashes": finding.count}
    return finding


def _orders(events: Iterable[Event]) -> list[Event]:
    """Every state that an order came to, where it was first applied, in the order of the log."""
    first: dict[tuple[int, str], Event] = {}
    for event in _of(events, "order"):
        first.setdefault((event["order"], event["state"]), event)
    return sorted(first.values(), key=lambda event: int(event["version"]))


def most_out(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """Never more than `servers` servers, and `controllers` controllers, are leaving or out for work at
    once, at any version of the orders; and all instances tell the same orders."""
    finding = Finding()
    out: dict[str, dict[str, Event]] = {"server": {}, "controller": {}}
    highest = dict.fromkeys(out, 0)
    for event in _orders(events):
        kind = event["machine"].partition(":")[0]
        if event["state"] in ("back", "cancelled"):
            out[kind].pop(event["machine"], None)
        elif event["state"] in ("leaving", "out"):
            out[kind].setdefault(event["machine"], event)
        highest[kind] = max(highest[kind], len(out[kind]))
        if len(out[kind]) > arguments[f"{kind}s"]:
            names = ", ".join(out[kind])
            why = f"{len(out[kind])} {kind}s out at once, {arguments[f'{kind}s']:g} may be: {names}"
            finding.against("most_out", why, *out[kind].values())
    told: dict[int, Event] = {}
    for event in _of(events, "order"):
        other = told.setdefault(event["version"], event)
        if (other["order"], other["state"]) != (event["order"], event["state"]):
            why = f"{other.name} and {event.name} tell version {event['version']} of the orders differently"
            finding.against("most_out", why, other, event)
    finding.figures = {
        "most_out_at_once": highest["server"],
        "most_controllers_out_at_once": highest["controller"],
    }
    return finding


def no_fresh_to_out(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """From when the first instance is told that a server is out until the first is told that it is back,
    nothing leaves any instance for it, nothing arrives there, and nothing at all leaves under orders from
    before it was leaving."""
    finding = Finding()
    rows = _orders(events)
    spans: dict[str, list[tuple[float, float, int, Event]]] = defaultdict(list)
    took: list[float] = []
    for event in rows:
        if event["state"] != "out":
            continue
        of = {other["state"]: other for other in rows if other["order"] == event["order"]}
        end = of.get("back") or of.get("cancelled")
        until = end.mono if end else float("inf")
        spans[event["machine"]].append((event.mono, until, of["leaving"]["version"], event))
        took.append((event.mono - of["leaving"].mono) * 1000)
    fresh = stale = 0
    for event in _of(events, "left", "arrived"):
        server = str(event["server"]).partition("@")[0]
        for since, until, _, out in spans.get(f"server:{server}", ()):
            if since < event.mono < until:
                fresh += 1
                late = (event.mono - since) * 1000
                why = f"{event.event} for {server} {late:.1f} ms after it was out"
                finding.against("no_fresh_to_out", why, out, event)
        if event.event != "left" or "orders" not in event.fields:
            continue
        for ends in spans.values():
            for since, until, version, out in ends:
                if since < event.mono < until and event["orders"] < version:
                    stale += 1
                    why = f"{event.name} acted on version {event['orders']} of the orders"
                    finding.against("no_fresh_to_out", f"{why}, {version} was confirmed", out, event)
    took.sort()
    finding.figures = {
        "fresh_calls_to_out_servers": fresh,
        "stale_orders": stale,
        "orders_out": len(took),
        "time_to_out_ms_p50": _quantile(took, 0.5),
        "time_to_out_ms_p99": _quantile(took, 0.99),
    }
    return finding


def no_fresh_from_out(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """From when the first instance is told that a controller is out until the first is told that it is
    back, nothing leaves that controller."""
    finding = Finding()
    rows = [event for event in _orders(events) if event["machine"].startswith("controller:")]
    left: dict[str, list[Event]] = defaultdict(list)
    for event in _of(events, "left"):
        left[event.name].append(event)
    spans = 0
    for out in (event for event in rows if event["state"] == "out"):
        spans += 1
        ends = (e.mono for e in rows if e["order"] == out["order"] and e["state"] in ("back", "cancelled"))
        until, name = next(ends, float("inf")), out["machine"].partition(":")[2]
        for event in left[name]:
            if out.mono < event.mono < until:
                late = (event.mono - out.mono) * 1000
                why = f"{name} sent {late:.1f} ms after it was out"
                finding.against("no_fresh_from_out", why, out, event)
    finding.figures = {"controllers_taken_out": spans, "fresh_calls_from_out_controllers": finding.count}
    return finding


def handover(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """No caller that follows readiness is turned away, or left without an answer, by a controller because it
    goes out: nobody that was last told that it is ready comes once it takes nothing new (`handover`)."""
    finding = Finding()
    spans: dict[str, list[tuple[float, float, Event]]] = defaultdict(list)
    closed: dict[str, Event] = {}
    handed: set[tuple[str, float]] = set()
    for event in _of(events, "handover"):
        if event["stage"] in ("closed", "out"):
            closed.setdefault(event.name, event)
            continue
        if event["stage"] == "handing_over":
            handed.add((event.name, event.mono))
        if since := closed.pop(event.name, None):
            spans[event.name].append((since.mono, event.mono, since))
    for name, since in closed.items():
        spans[name].append((since.mono, float("inf"), since))
    moved = turned_away = 0
    for event in _of(events, "lookup"):
        moved += bool(event.fields.get("moved"))
        for begin, until, stage in spans.get(event["instance"], ()):
            if not begin < event.mono < until or (event["answers"] and event["rcode"] == 0):
                continue
            turned_away += 1
            if event.fields.get("ready"):
                why = f"a caller that {event['instance']} had told that it is ready was turned away by it"
                finding.against("handover", why, stage, event)
    finding.figures = {
        "handovers": len(handed),
        "lookups_moved": moved,
        "turned_away_by_handover": finding.count,
        "turned_away_unready": turned_away - finding.count,
    }
    return finding


def within_plan(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """Whatever begins to leave finds room under the plan of the revision that was the latest then, however
    plans change (`max_out` of `adopted`); what is out already may be more than a plan that came later has."""
    finding = Finding()
    plans: dict[int, Event] = {}
    for event in _of(events, "adopted"):
        if "max_out" in event.fields:
            plans.setdefault(event["index"], event)
    indices = sorted(plans)
    out: dict[str, set[str]] = {"server": set(), "controller": set()}
    judged = 0
    for event in _orders(events):
        kind = event["machine"].partition(":")[0]
        if event["state"] in ("back", "cancelled"):
            out[kind].discard(event["machine"])
        elif event["state"] == "leaving":
            out[kind].add(event["machine"])
            at = bisect.bisect_left(indices, event.fields.get("index", 0))
            if not at:
                continue  # no plan is known of that time
            judged += 1
            plan = plans[indices[at - 1]]
            most = plan["max_out" if kind == "server" else "max_out_controllers"]
            if len(out[kind]) > most:
                why = f"{event['machine']} left as number {len(out[kind])}, and {most} may be out"
                finding.against("within_plan", why, plan, event)
    finding.figures = {"moves_judged": judged, "plans": len({(p["max_out"]) for p in plans.values()})}
    return finding


def above_floor(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """What a server that begins to leave leaves in service is the floor at least, under the plan of the
    revision that was the latest then; but one that had failed, by the rig's doing and for as long as the plan
    says, may go whatever it leaves. `recovers_s`: seconds after its mending in which it still may."""
    finding = Finding()
    plans = {event["index"]: event for event in reversed(_of(events, "adopted")) if "floor" in event.fields}
    indices = sorted(plans)
    failing: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for event in _of(events, "server"):
        spans = failing[event["server"]]
        if event["mode"]:
            spans.append((event.mono, float("inf")))
        elif spans:
            spans[-1] = (spans[-1][0], event.mono)
    out: set[str] = set()
    judged = 0
    for event in _orders(events):
        kind, _, name = event["machine"].partition(":")
        if kind != "server" or event["state"] not in ("leaving", "back", "cancelled"):
            continue
        if event["state"] != "leaving":
            out.discard(name)
            continue
        out.add(name)
        at = bisect.bisect_left(indices, event.fields.get("index", 0))
        if not at:
            continue
        judged += 1
        plan = plans[indices[at - 1]]
        left = sum(amount for server, amount in plan["capacity"].items() if server not in out)
        failed = any(
            since + plan["failed_after"] <= event.mono <= until + arguments["recovers_s"]
            and until - since >= plan["failed_after"]
            for since, until in failing[name]
        )
        if left < plan["floor"] and not failed:
            why = f"{name} left a capacity of {left:g}, and the floor is {plan['floor']:g}"
            finding.against("above_floor", why, plan, event)
    finding.figures = {"floors_judged": judged}
    return finding


def voters_kept(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """Never fewer than `least` voters, and from one committed membership to the next one voter more or less;
    every instance tells the same of the same entry."""
    finding = Finding()
    at: dict[int, Event] = {}  # entry up to which it was committed -> the first that told
    for event in _of(events, "voters"):
        if not event["voters"]:
            continue  # one that joins, and knows of none yet
        first = at.setdefault(event["index"], event)
        if first["voters"] != event["voters"]:
            why = f"{first.name} and {event.name} tell entry {event['index']} differently"
            finding.against("voters_kept", why, first, event)
        if len(event["voters"]) < arguments["least"]:
            why = f"{len(event['voters'])} voters were left, {arguments['least']:g} have to be"
            finding.against("voters_kept", why, event)
    ordered = [at[index] for index in sorted(at)]
    for before, after in itertools.pairwise(ordered):
        if len(set(before["voters"]) ^ set(after["voters"])) > 1:
            why = f"from {before['voters']} to {after['voters']} in one step"
            finding.against("voters_kept", why, before, after)
    counts = [len(event["voters"]) for event in ordered]
    finding.figures = {
        "memberships": len(ordered),
        "fewest_voters": min(counts, default=0),
        "voters_at_end": counts[-1] if counts else 0,
    }
    return finding


def _windows(
    rows: Sequence[Event], check: str, name: str, arguments: Mapping[str, Any], finding: Finding
) -> int:
    """Admissions of one limit; the most that one window has."""
    window, allowed = arguments["window_s"], arguments["per_s"] * arguments["window_s"]
    worst = first = 0
    for last, event in enumerate(rows):
        while rows[first].mono <= event.mono - window:
            first += 1
        worst = max(worst, last - first + 1)
        if last - first + 1 > allowed + arguments["epsilon"]:
            stretch = rows[first : last + 1]
            finding.against(
                check, f"limit {name}: {len(stretch)} in {window:g} s, {allowed:g} may be", *stretch
            )
    return worst


def _admissions(events: Sequence[Event], arguments: Mapping[str, Any], check: str, callers: bool) -> Finding:
    finding = Finding()
    by_limit: dict[str, list[Event]] = defaultdict(list)
    for event in _of(events, "admitted"):
        if callers == ("@" in event["limit"]):
            by_limit[event["limit"]].append(event)
    worst = [_windows(rows, check, name, arguments, finding) for name, rows in by_limit.items()]
    most, allowed = max(worst, default=0), arguments["per_s"] * arguments["window_s"]
    what = "worst_caller_window" if callers else "worst_window"
    finding.figures = {what: most, f"{what}_over": round(max(0.0, most - allowed), 1)}
    return finding


def admissions(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """Over every window of `window_s`, admissions (`admitted`, by `limit`) are no more than `per_s` times
    the window and `epsilon` over it."""
    return _admissions(events, arguments, "admissions", callers=False)


def admissions_by_caller(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """The same of limits that each caller has for itself (`limit` is its name, `@` and the caller)."""
    return _admissions(events, arguments, "admissions_by_caller", callers=True)


def verdict_staleness(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """From when the first instance is told of a verdict on a server until it is lifted, nothing leaves any
    instance for that server later than `bound_s` after the beginning."""
    finding = Finding()
    began: dict[int, Event] = {}
    ended: dict[int, float] = {}
    for event in _of(events, "verdict", "verdict_lifted"):
        if event.event == "verdict" and event["kind"] != "blocked":
            began.setdefault(event["verdict"], event)
        elif event.event == "verdict_lifted":
            ended.setdefault(event["verdict"], event.mono)
    left: dict[str, list[Event]] = defaultdict(list)
    for event in _of(events, "left"):
        left[str(event["server"]).partition("@")[0]].append(event)
    stale = []
    for number, verdict in began.items():
        until = ended.get(number, float("inf"))
        rows = left[verdict["subject"]]
        first = bisect.bisect_right([row.mono for row in rows], verdict.mono)
        after = [row for row in rows[first:] if row.mono < until]
        late = (after[-1].mono - verdict.mono) * 1000 if after else 0.0
        stale.append(late)
        if late > arguments["bound_s"] * 1000:
            why = f"{after[-1].name} sent to {verdict['subject']} {late:.0f} ms after the verdict on it"
            finding.against("verdict_staleness", why, verdict, after[-1])
    stale.sort()
    finding.figures = {
        "verdicts": len(stale),
        "verdict_stale_ms_p99": _quantile(stale, 0.99),
        "verdict_stale_ms_max": _quantile(stale, 1.0),
    }
    return finding


def one_pass_a_slot(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """Over all instances no more than `most` calls pass a gap in one of its slots (`passed`)."""
    finding = Finding()
    slots: dict[tuple[str, int], list[Event]] = defaultdict(list)
    for event in _of(events, "passed"):
        rows = slots[event["gap"], event["slot"]]
        rows.append(event)
        if len(rows) > arguments["most"]:
            who = ", ".join(row.name for row in rows)
            why = f"gap {event['gap']}: {len(rows)} calls passed in slot {event['slot']}, at {who}"
            finding.against("one_pass_a_slot", why, *rows)
    finding.figures = {
        "slots_used": len(slots),
        "most_in_one_interval": max((len(rows) for rows in slots.values()), default=0),
        "double_passes": finding.count,
    }
    return finding


def concurrency(events: Sequence[Event], arguments: Mapping[str, Any]) -> Finding:
    """Never more than `most` calls are under way at server `s<server>`, as it sees it itself."""
    finding = Finding()
    name = f"s{arguments['server']:g}"
    under_way: list[Event] = []
    highest = 0
    for event in _of(events, "arrived", "answered"):
        if event["server"] != name:
            continue
        if event.event == "answered":
            del under_way[:1]
            continue
        under_way.append(event)
        highest = max(highest, len(under_way))
        if len(under_way) > arguments["most"]:
            why = f"{len(under_way)} calls under way at {name}, {arguments['most']:g} may be"
            finding.against("concurrency", why, *under_way)
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
    """Figures of all checks, violations counted by check, and the violations kept."""
    figures: dict[str, float] = {}
    counts: dict[str, int] = {}
    told: list[Violation] = []
    for name, arguments in wanted.items():
        finding = CHECKS[name].run(events, arguments)
        figures |= finding.figures
        counts[name] = finding.count
        told += finding.told
    return figures, counts, told
