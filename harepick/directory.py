"""The list of setup servers: owns what the program knows of them, as numbered events changed it.

The platform's event bus and the operator's file both end here; the core gets its `ServerEntry` rows from
here, and the connections get the addresses.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from harepick import interface as i
from harepick.settings import Address, SettingsError, parse_address

STATES = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}
MAX_GONE = 64  # rows kept of servers that are gone: they come and go for as long as we run


class DirectoryError(ValueError):
    """An event that can't be understood."""


@dataclass(frozen=True, slots=True)
class ServerRecord:
    entry: i.ServerEntry
    address: Address


class Directory:
    def __init__(self) -> None:
        self.offset = 0  # number of the last event applied
        self._rows: dict[str, ServerRecord] = {}

    def get(self, server: str) -> ServerRecord | None:
        return self._rows.get(server)

    def entries(self) -> tuple[i.ServerEntry, ...]:
        """The whole list."""
        return tuple(row.entry for row in self._rows.values())

    def load(self, known: Mapping[str, Any]) -> i.ServerList:
        """The events of the start, as one list."""
        for event in known["batch"]:
            self.apply(event)
        try:
            self.offset = max(self.offset, int(known["offset"]))
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise DirectoryError(f"offset: {type(error).__name__}: {error}") from None
        return i.ServerList(i.ListKind.REMEMBERED, self.entries())

    def skips(self, event: Any) -> bool:
        """Whether events are missing between the last one applied and this, which is no whole list."""
        try:
            return int(event["offset"]) > self.offset + 1 and not event["topology"].get("reset")
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
            return False  # `apply` says what is wrong with it

    def apply(self, event: Any) -> i.ServerList | None:
        """One event of the bus; None if it was heard before. Raises `DirectoryError`, changing nothing."""
        try:
            offset = int(event["offset"])
            topology = event["topology"]
            rows = [_row(item) for item in topology["instances"]]
            reset = bool(topology.get("reset"))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            raise DirectoryError(f"{type(error).__name__}: {error}") from None
        if offset <= self.offset:
            return None
        self.offset = offset
        return self.update(rows, whole=reset)

    def update(self, rows: list[ServerRecord], *, whole: bool) -> i.ServerList:
        """Takes in changed rows, or the whole list, in which what is not named is gone."""
        named = {row.entry.server for row in rows}
        changed = list(rows)
        if whole:
            changed += [
                replace(row, entry=replace(row.entry, state="gone"))
                for name, row in self._rows.items()
                if name not in named and row.entry.state != "gone"
            ]
        for row in changed:
            self._rows[row.entry.server] = row
        gone = [n for n, r in self._rows.items() if r.entry.state == "gone"]
        for name in gone[: max(0, len(gone) - MAX_GONE)]:
            del self._rows[name]
        # A whole list goes on as changes that name each row: the module then hears of what is gone by name.
        return i.ServerList(i.ListKind.CHANGES, tuple(row.entry for row in changed))


def _row(item: Mapping[str, Any]) -> ServerRecord:
    state = STATES.get(item["lifecycle"])
    if state is None:
        raise DirectoryError(f"unknown lifecycle {item['lifecycle']!r}")
    try:
        where = parse_address(item["hostPort"], "hostPort")
    except SettingsError as error:
        raise DirectoryError(str(error)) from None
    entry = i.ServerEntry(
        server=str(item["instanceId"]),
        number=int(item["cell"]),
        state=state,
        size=float(item.get("weight") or 1.0),
        started=float(item.get("startedAtMs") or 0) / 1000.0,
        zone=str(item.get("zone") or ""),
    )
    return ServerRecord(entry, where)
