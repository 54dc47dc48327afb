"""The metrics of `GET /api/telemetry`, in the Prometheus text exposition format (version 0.0.4).

Metrics are read at the time of the request from counts kept where the events happen (`counters.py`, the
caller connections, the engine). Metric names have the prefix `edge_gw_`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector, CollectorRegistry

PREFIX = "edge_gw_"


@dataclass(frozen=True, slots=True)
class Telemetry:
    """A snapshot of the metrics; counts are since the process started."""

    lanes: dict[str, dict[str, int]] = field(default_factory=dict)  # class -> result -> final answers
    upstream_requests: int = 0  # set-ups written whole to setup servers
    pending: int = 0  # requests accepted and not ended: unanswered or standing
    members: int = 0  # setup servers in the list
    members_unavailable: int = 0  # of those, the ones that get no new calls now
    config_reloads: int = 0  # files taken at SIGHUP
    config_reload_errors: int = 0  # files turned down at SIGHUP
    gaps: dict[str, tuple[int, int, int]] = field(default_factory=dict)  # gap -> offered, passed, refused


class Status(Protocol):
    """What a front provides to the `ops` listener."""

    def ready(self) -> bool:
        """Whether this process accepts requests and can serve them."""

    def telemetry(self) -> Telemetry:
        """Returns the current metrics."""


class _TelemetryCollector(Collector):
    """Presents one snapshot to the Prometheus client library."""

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry

    def collect(self) -> Iterator[Metric]:
        telemetry = self._telemetry
        requests = CounterMetricFamily(
            PREFIX + "downstream_requests",
            "Requests of callers by class and final answer: completed, rejected (retry is harmless), failed.",
            labels=["lane", "result"],
        )
        for lane, results in sorted(telemetry.lanes.items()):
            for result, count in results.items():
                requests.add_metric([lane, result], count)
        yield requests
        yield CounterMetricFamily(
            PREFIX + "upstream_requests",
            "Set-ups written whole to setup servers.",
            value=telemetry.upstream_requests,
        )
        yield GaugeMetricFamily(
            PREFIX + "pending",
            "Requests taken and not ended: unanswered or standing.",
            value=telemetry.pending,
        )
        yield GaugeMetricFamily(PREFIX + "members", "Setup servers in the list.", value=telemetry.members)
        yield GaugeMetricFamily(
            PREFIX + "members_unavailable",
            "Listed setup servers that fresh requests avoid now.",
            value=telemetry.members_unavailable,
        )
        yield CounterMetricFamily(
            PREFIX + "config_reloads",
            "Configuration files taken at SIGHUP.",
            value=telemetry.config_reloads,
        )
        gap_calls = CounterMetricFamily(
            PREFIX + "gap_calls",
            "Calls that met a number gap, by gap: offered, passed, and refused by it.",
            labels=["gap", "result"],
        )
        for name, counts in sorted(telemetry.gaps.items()):
            for result, count in zip(("offered", "passed", "refused"), counts, strict=True):
                gap_calls.add_metric([name, result], count)
        yield gap_calls
        yield CounterMetricFamily(
            PREFIX + "config_reload_errors",
            "Configuration files turned down at SIGHUP.",
            value=telemetry.config_reload_errors,
        )


def exposition(telemetry: Telemetry) -> bytes:
    """Formats a snapshot as exposition text."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_TelemetryCollector(telemetry))
    return generate_latest(registry)
