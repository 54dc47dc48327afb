"""Which servers are avoided, and which of them count as failed, as seen by the whole fleet. Pure.

Each instance reports to the leader, with its demand, how long it has avoided each server by its own clock.
A server that is avoided has not necessarily failed: overload control also avoids a server briefly when it is
full. It counts as failed once several instances have avoided it without interruption, so that a broken
connection of one instance is not taken for a failure of the server. `docs/design/maintenance.md`, "What has
failed".
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

SERVER_KEY_PREFIX = "!"  # of a key in a report; the ids of limits and called numbers never start with it
MAX_REPORTED_SERVERS = 64  # per instance; those avoided for longest are reported
MIN_CONFIRMING_INSTANCES = 2  # or all live instances, if there are fewer


@dataclass(frozen=True, slots=True)
class Health:
    """Failed servers, which maintenance may take out at any time, and servers that are only avoided.

    An avoided server gets no new calls from some instance, and may be back in service at any moment.
    """

    failed: frozenset[str]
    avoided: frozenset[str]


class AvoidanceTracker:
    """Since when one instance has avoided each server without interruption."""

    def __init__(self) -> None:
        self._avoided_since: dict[str, float] = {}

    def update(self, avoided: frozenset[str], now: float) -> None:
        """Records the servers avoided now.

        `avoided`: by overload control alone, not because of orders, verdicts or the configuration.
        """
        self._avoided_since = {name: self._avoided_since.get(name, now) for name in sorted(avoided)}

    def durations(self, now: float) -> dict[str, float]:
        """Seconds for which each avoided server has been avoided, the longest first."""
        longest_first = sorted(self._avoided_since.items(), key=lambda item: item[1])
        return {name: now - avoided_since for name, avoided_since in longest_first}

    def report(self, now: float) -> dict[str, float]:
        """The report to the leader: report key -> seconds, of the servers avoided for longest.

        It holds at most `MAX_REPORTED_SERVERS`.
        """
        return {
            SERVER_KEY_PREFIX + name: duration
            for name, duration in list(self.durations(now).items())[:MAX_REPORTED_SERVERS]
        }


def fleet_health(
    reports: Mapping[str, Mapping[str, float]],
    live: frozenset[str],
    failed_after: float,
    failed: frozenset[str] = frozenset(),
    overloaded: frozenset[str] = frozenset(),
) -> Health:
    """Combines the recent reports of the instances.

    `reports`: instance -> its report (`AvoidanceTracker.report`). `live`: instances whose reports count.
    `failed_after`: seconds of avoidance until a server counts as failed. `failed`, `overloaded`: servers
    under a verdict of that kind.
    """
    confirmations: dict[str, int] = {}
    avoided = set(overloaded)
    for instance, report in reports.items():
        if instance not in live:
            continue
        for key, duration in report.items():
            if key[:1] == SERVER_KEY_PREFIX:
                avoided.add(key[1:])
                confirmations[key[1:]] = confirmations.get(key[1:], 0) + (duration >= failed_after)
    required_confirmations = max(1, min(MIN_CONFIRMING_INSTANCES, len(live)))
    failed_servers = failed | {
        server for server, count in confirmations.items() if count >= required_confirmations
    }
    return Health(failed_servers, frozenset(avoided) - failed_servers)
