"""Which servers give nothing now, and which of them have failed, as the whole fleet sees it. Pure.

Each instance watches what its own module avoids and tells the leader beside its demand, as spans by its own
clock. Avoiding alone is no failure: a module shuts a server for a moment whenever it is full. One has failed
once several instances have avoided it without a break, so that one instance's broken link is no failure of
the server either. `docs/design/maintenance.md`, "What has failed".
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

SERVER_KEY_PREFIX = "!"  # first letter of what is told: a limit's name and a number called begin otherwise
MOST = 64  # servers that one instance tells of, those avoided for longest
WITNESSES = 2  # instances that have to agree, or all that live if they are fewer


@dataclass(frozen=True, slots=True)
class Health:
    """`failed` gives nothing and may go out whatever it would leave; `pressed` gives nothing fresh to some
    instance now, and may be back the next moment."""

    failed: frozenset[str]
    pressed: frozenset[str]


class AvoidanceTracker:
    """Owns, for one instance, since when each server has been avoided there without a break."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}

    def update(self, avoided: frozenset[str], now: float) -> None:
        """`avoided` is by the module's own doing: not what orders, verdicts or the list keep away from."""
        self._since = {name: self._since.get(name, now) for name in sorted(avoided)}

    def spans(self, now: float) -> dict[str, float]:
        """Seconds for which each that is avoided now has been, longest first."""
        rows = sorted(self._since.items(), key=lambda row: row[1])
        return {name: now - since for name, since in rows}

    def rows(self, now: float) -> dict[str, float]:
        """What the leader is told."""
        return {SERVER_KEY_PREFIX + name: span for name, span in list(self.spans(now).items())[:MOST]}


def health(
    told: Mapping[str, Mapping[str, float]],
    live: frozenset[str],
    after: float,
    failed: frozenset[str] = frozenset(),
    pressed: frozenset[str] = frozenset(),
) -> Health:
    """`told`: rows of each instance, heard lately; `after`: seconds without a break; `failed` and `pressed`:
    what verdicts say that hold."""
    witnesses: dict[str, int] = {}
    avoided = set(pressed)
    for name, rows in told.items():
        if name not in live:
            continue
        for key, span in rows.items():
            if key[:1] == SERVER_KEY_PREFIX:
                avoided.add(key[1:])
                witnesses[key[1:]] = witnesses.get(key[1:], 0) + (span >= after)
    enough = max(1, min(WITNESSES, len(live)))
    found = failed | {server for server, count in witnesses.items() if count >= enough}
    return Health(found, frozenset(avoided) - found)
