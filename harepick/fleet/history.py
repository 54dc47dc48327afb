"""Histories: what an instance, and the rig itself, wrote down of what they did; one JSON line each.

A line has `at` (Unix time, seconds, rounded), `event`, `name` (who), `mono` (the machine's monotonic clock,
the same in all processes of one machine) and the event's fields. Off unless `[history]` is in an instance's
file. Nothing is dropped without a trace: `left_out` on a line tells how many before it were.
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

QUEUE = 20_000  # lines that wait for the disk
FIXED = {"at", "event", "name", "mono"}


class Recorder:
    """Writes a history; never blocks its caller."""

    def __init__(self, path: str | Path, name: str) -> None:
        """Raises `OSError` if the file can't be opened; an earlier process's lines stay."""
        self._fd = os.open(path, os.O_APPEND | os.O_CREAT | os.O_WRONLY, 0o644)
        self._log = Log(name, self._fd, lines_a_second=inf, queue_size=QUEUE)

    def note(self, event: str, *, mono: float | None = None, **fields: object) -> None:
        """One event, now or at `mono`."""
        self._log.event(event, mono=time.monotonic() if mono is None else mono, **fields)

    def close(self) -> None:
        self._log.close(5.0)
        os.close(self._fd)


def read_history(table: Mapping[str, Any]) -> str | None:
    """`[history] file` of an operator's file; None if it has none. Raises `SettingsError`."""
    history = table.get("history")
    if history is None:
        return None
    if not isinstance(history, Mapping):
        raise SettingsError(f"setting history makes no sense: {history!r}")
    for key in sorted(history.keys() - {"file"}):
        raise SettingsError(f"setting history.{key} is not known")
    path = history.get("file")
    if not isinstance(path, str) or not path:
        raise SettingsError(f"setting history.file is no path: {path!r}")
    return path


@dataclass(frozen=True, slots=True)
class Event:
    """One line of a history. `mono` in seconds on the machine's clock; `fields` are the event's own."""

    mono: float
    name: str
    event: str
    fields: Mapping[str, Any]

    def __getitem__(self, key: str) -> Any:
        return self.fields[key]

    def told(self, start: float = 0.0) -> dict[str, Any]:
        """For a reader: seconds from `start`, who, what."""
        return {"t": round(self.mono - start, 6), "name": self.name, "event": self.event, **self.fields}


def _read(path: Path) -> list[Event]:
    """A last line without its end is that of a process that was killed while it wrote: left alone."""
    events = []
    for line in path.read_bytes().split(b"\n")[:-1]:
        row = orjson.loads(line)
        fields = {key: value for key, value in row.items() if key not in FIXED}
        events.append(Event(row["mono"], row.get("name", ""), row["event"], fields))
    return events


def merge(paths: Iterable[Path]) -> list[Event]:
    """All that was written, in order of time; a file that is missing was never begun."""
    events = [event for path in paths if path.exists() for event in _read(path)]
    return sorted(events, key=lambda event: event.mono)
