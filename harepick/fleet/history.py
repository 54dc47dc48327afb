"""Histories: the events that an instance, or the rig itself, records, one JSON line each.

A line has `at` (Unix time in seconds, rounded), `event`, `name` (of the instance, or `rig`), `mono` (seconds
of the monotonic clock, which all processes of a machine share) and the event's fields. Off unless the
operator's file has `[history]`. If lines had to be dropped, `left_out` on the next line is their number.
"""

from __future__ import annotations

import os
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import inf
from pathlib import Path
from typing import Any

import orjson

from harepick.log import Log
from harepick.settings import SettingsError

QUEUE_LINES = 20_000  # waiting to be written to disk
COMMON_FIELDS = {"at", "event", "name", "mono"}


class Recorder:
    """Writes a history without blocking its caller."""

    def __init__(self, path: str | Path, name: str) -> None:
        """Appends to the file at `path`; raises `OSError` if it can't be opened."""
        self._fd = os.open(path, os.O_APPEND | os.O_CREAT | os.O_WRONLY, 0o644)
        self._log = Log(name, self._fd, lines_a_second=inf, queue_size=QUEUE_LINES)

    def note(self, event: str, *, mono: float | None = None, **fields: object) -> None:
        """Records an event, at the current time or at `mono`."""
        self._log.event(event, mono=time.monotonic() if mono is None else mono, **fields)

    def close(self) -> None:
        """Writes what is queued, for up to 5 seconds, and closes the file."""
        self._log.close(5.0)
        os.close(self._fd)


def read_history(table: Mapping[str, Any]) -> str | None:
    """The value of `[history] file` in an operator's file; None without `[history]`. Raises
    `SettingsError`."""
    history = table.get("history")
    if history is None:
        return None
    if not isinstance(history, Mapping):
        raise SettingsError(f"setting history is not a table: {history!r}")
    for key in sorted(history.keys() - {"file"}):
        raise SettingsError(f"setting history.{key} is not known")
    path = history.get("file")
    if not isinstance(path, str) or not path:
        raise SettingsError(f"setting history.file is not a path: {path!r}")
    return path


@dataclass(frozen=True, slots=True)
class Event:
    """One line of a history. `mono` in seconds of the monotonic clock; `fields` are the event's own."""

    mono: float
    name: str
    event: str
    fields: Mapping[str, Any]

    def __getitem__(self, key: str) -> Any:
        return self.fields[key]

    def as_row(self, start: float = 0.0) -> dict[str, Any]:
        """The event as it is printed, with the time `t` in seconds from `start`."""
        return {"t": round(self.mono - start, 6), "name": self.name, "event": self.event, **self.fields}


def _read(path: Path) -> list[Event]:
    """Reads a history. An incomplete last line, left by a process killed while it wrote, is ignored."""
    events = []
    for line in path.read_bytes().split(b"\n")[:-1]:
        row = orjson.loads(line)
        fields = {key: value for key, value in row.items() if key not in COMMON_FIELDS}
        events.append(Event(row["mono"], row.get("name", ""), row["event"], fields))
    return events


def merge(paths: Iterable[Path]) -> list[Event]:
    """The events of all files, ordered by time; missing files are skipped."""
    events = [event for path in paths if path.exists() for event in _read(path)]
    return sorted(events, key=lambda event: event.mono)
