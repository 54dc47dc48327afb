"""Writes the start times of gaps into a store's configuration, so that `for_s` spans restarts.

An operator gives a gap's duration (`for_s`), which every process would count from its own start. So the
instance that accepts a configuration adds each gap's start once (`since`, Unix seconds). A gap that exists
already keeps its start, as it does at SIGHUP, whatever else of the configuration changes.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from typing import Any


def may_need_start_times(text: str) -> bool:
    """Whether a configuration may hold gaps without a start time; cheap, as it does not parse the text."""
    return "for_s" in text


def _rows(text: str) -> dict[str, dict[str, Any]]:
    """Gap id -> row of a configuration."""
    rows = tomllib.loads(text).get("gap", [])
    return {row["id"]: row for row in rows if isinstance(row, dict) and isinstance(row.get("id"), str)}


def _needs_start_time(row: Mapping[str, Any]) -> bool:
    return "for_s" in row and "since" not in row


def _start_time(row: Mapping[str, Any], previous: Mapping[str, Any] | None, now: float) -> float:
    """Start of a gap whose row was `previous` before.

    An unchanged gap keeps its start, also after its end; a changed one keeps it unless it had ended.
    """
    if previous is None or "since" not in previous or "for_s" not in previous:
        return now
    unchanged = {**row, "since": previous["since"]} == dict(previous)
    ended = previous["since"] + previous["for_s"] <= now
    return float(previous["since"]) if unchanged or not ended else now


def with_start_times(text: str, latest: str, now: float) -> str:
    """Returns the configuration with `since` in every gap that has only `for_s`.

    `text` and `latest`, the configuration in force, must both be valid. Everything else stays as written,
    comments included. Blocks the calling thread for long on a large configuration.
    """
    rows = _rows(text)
    if not any(_needs_start_time(row) for row in rows.values()):
        return text
    import tomlkit

    known_rows = _rows(latest)
    document = tomlkit.parse(text)
    for row in document["gap"]:
        plain_row = rows[row["id"]]
        if _needs_start_time(plain_row):
            row["since"] = round(_start_time(plain_row, known_rows.get(plain_row["id"]), now), 3)
    return tomlkit.dumps(document)
