"""Plots a run: set-ups sent, look-ups refused, revisions adopted, and the faults. Needs matplotlib."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from harepick.fleet.checks import downtimes
from harepick.fleet.runner import Report

BIN_S = 0.25


def _rates(times: list[float], end: float) -> tuple[list[float], list[float]]:
    """Event rates: the bins' start times, and events a second in each bin."""
    counts = Counter(int(t / BIN_S) for t in times if 0 <= t <= end)
    bins = range(int(end / BIN_S) + 1)
    return [n * BIN_S for n in bins], [counts[n] / BIN_S for n in bins]


def _link_spans(report: Report) -> list[tuple[str, float, float]]:
    """Partitions and link faults: name, start and end (monotonic seconds)."""
    spans: list[tuple[str, float, float]] = []
    since: dict[str, float] = {}
    last = max((event.mono for event in report.events), default=report.start)

    def end_span(what: str, at: float) -> None:
        if what in since:
            spans.append((what, since.pop(what), at))

    for event in report.events:
        match event.event:
            case "partition":
                end_span("partition", event.mono)
                since["partition"] = event.mono
            case "heal":
                end_span("partition", event.mono)
            case "link":
                link = event["link"]
                end_span(link, event.mono)
                if event["fault"]:
                    since[link] = event.mono
    for what in list(since):
        end_span(what, last)
    return spans


def draw(report: Report, path: Path) -> None:
    """Writes a PNG with set-ups sent by instance, look-ups refused, revisions, and the faults."""
    start = report.start
    end = max((event.mono - start for event in report.events), default=1.0)
    figure, axes = pyplot.subplots(3, 1, sharex=True, figsize=(11, 8), height_ratios=(3, 1.5, 1.5))
    names = sorted({event.name for event in report.events if event.event == "left"})
    for name in names:
        times = [e.mono - start for e in report.events if e.event == "left" and e.name == name]
        axes[0].plot(*_rates(times, end), label=f"{name}: left")
    refused = [
        e.mono - start for e in report.events if e.event == "lookup" and e["answers"] and e["rcode"] != 0
    ]
    axes[0].plot(*_rates(refused, end), color="grey", linestyle=":", label="refused, all")
    axes[0].set_ylabel("look-ups a second")
    axes[0].legend(loc="upper right", fontsize="small")
    axes[0].set_title(f"{report.scenario}, seed {report.seed}: {'held' if report.ok else 'VIOLATED'}")
    for name in names:
        rows = [e for e in report.events if e.event == "adopted" and e.name == name]
        axes[1].step([e.mono - start for e in rows], [e["revision"] for e in rows], where="post", label=name)
    acks = [e for e in report.events if e.event == "acked"]
    axes[1].plot([e.mono - start for e in acks], [e["revision"] for e in acks], "k.", label="acknowledged")
    axes[1].set_ylabel("revision")
    axes[1].legend(loc="upper left", fontsize="small")
    _draw_faults(axes[2], report, end)
    axes[2].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _draw_faults(axis: Any, report: Report, end: float) -> None:
    rows: list[tuple[str, float, float, str]] = []
    for what, since, until in _link_spans(report):
        rows.append((what, since - report.start, until - report.start, "tab:orange"))
    for name, spans in downtimes(report.events).items():
        for since, until in spans:
            rows.append((f"{name} down", since - report.start, min(end, until - report.start), "tab:red"))
    labels = sorted({what for what, *_ in rows})
    for what, since, until, colour in rows:
        axis.barh(labels.index(what), until - since, left=since, color=colour, height=0.6)
    for violation in report.kept_violations:
        for event in violation.events[-1:]:
            axis.axvline(event.mono - report.start, color="k", linestyle="--")
    axis.set_yticks(range(len(labels)), labels)
    axis.set_xlim(0, end)
