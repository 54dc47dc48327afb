"""The list of setup servers and their addresses, kept up to date by numbered events.

The events come from the platform's event bus or the operator's file. The core gets its `ServerEntry` rows
here, and the connections get the addresses.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from harepick import interface
from harepick.settings import Address, SettingsError, parse_address

STATES = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}
MAX_GONE = 64  # rows of removed servers that are kept: servers are replaced all the time


class DirectoryError(ValueError):
    """An event that cannot be parsed."""


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """A server list row and the address of the server."""

    entry: interface.ServerEntry
    address: Address


class Directory:
    """The setup servers by id."""

    def __init__(self) -> None:
        self.offset = 0  # number of the last event applied
        self._records: dict[str, ServerRecord] = {}

    def get(self, server: str) -> ServerRecord | None:
        """The record of a server, also of one removed lately."""
        return self._records.get(server)

    def entries(self) -> tuple[interface.ServerEntry, ...]:
        """The whole list."""
        return tuple(record.entry for record in self._records.values())

    def load(self, known: Mapping[str, Any]) -> interface.ServerList:
        """Applies the events known at the start and returns the whole list.

        `known` holds them as `batch`, and the number of the last one as `offset`. Raises `DirectoryError`.
        """
        for event in known["batch"]:
            self.apply(event)
        try:
            self.offset = max(self.offset, int(known["offset"]))
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise DirectoryError(f"offset: {type(error).__name__}: {error}") from None
        return interface.ServerList(interface.ListKind.REMEMBERED, self.entries())

    def skips(self, event: Any) -> bool:
        """Whether events are missing between the last one applied and this one, unless it is a whole list."""
        try:
            return int(event["offset"]) > self.offset + 1 and not event["topology"].get("reset")
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
            return False  # `apply` reports the error

    def apply(self, event: Any) -> interface.ServerList | None:
        """Applies one event of the bus and returns the changes; None for one that was applied before.

        Raises `DirectoryError` and changes nothing if the event is malformed.
        """
        try:
            offset = int(event["offset"])
            topology = event["topology"]
            rows = [_parse_row(item) for item in topology["instances"]]
            reset = bool(topology.get("reset"))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            raise DirectoryError(f"{type(error).__name__}: {error}") from None
        if offset <= self.offset:
            return None
        self.offset = offset
        return self.update(rows, whole=reset)

    def update(self, rows: list[ServerRecord], *, whole: bool) -> interface.ServerList:
        """Applies changed rows, or with `whole` the whole list: servers that it does not name are gone."""
        named = {record.entry.server for record in rows}
        changed = list(rows)
        if whole:
            changed += [
                replace(record, entry=replace(record.entry, state="gone"))
                for name, record in self._records.items()
                if name not in named and record.entry.state != "gone"
            ]
        for record in changed:
            self._records[record.entry.server] = record
        gone = [server for server, known in self._records.items() if known.entry.state == "gone"]
        for name in gone[: max(0, len(gone) - MAX_GONE)]:
            del self._records[name]
        # A whole list is passed on as changes, so that the controller gets the removed servers by name.
        return interface.ServerList(interface.ListKind.CHANGES, tuple(record.entry for record in changed))


def _parse_row(item: Mapping[str, Any]) -> ServerRecord:
    state = STATES.get(item["lifecycle"])
    if state is None:
        raise DirectoryError(f"unknown lifecycle {item['lifecycle']!r}")
    try:
        address = parse_address(item["hostPort"], "hostPort")
    except SettingsError as error:
        raise DirectoryError(str(error)) from None
    entry = interface.ServerEntry(
        server=str(item["instanceId"]),
        number=int(item["cell"]),
        state=state,
        size=float(item.get("weight") or 1.0),
        started=float(item.get("startedAtMs") or 0) / 1000.0,
        zone=str(item.get("zone") or ""),
    )
    return ServerRecord(entry, address)
