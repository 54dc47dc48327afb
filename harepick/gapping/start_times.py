"""When the gaps of a store's configuration began: written into it, so that `for_s` goes on over a restart.

An operator writes how long a gap runs; every process that reads it would count anew. So whoever takes a
configuration in writes the moment beside it (`since`, Unix seconds), once: a gap that is there already keeps
its own, as it does at SIGHUP, whatever else of the configuration changes.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from typing import Any


def may_need_start_times(text: str) -> bool:
    """Whether that configuration has anything to date, at a glance: most have not, and are not parsed."""
    return "for_s" in text


def _rows(text: str) -> dict[str, dict[str, Any]]:
    rows = tomllib.loads(text).get("gap", [])
    return {row["id"]: row for row in rows if isinstance(row, dict) and isinstance(row.get("id"), str)}


def _undated(row: Mapping[str, Any]) -> bool:
    return "for_s" in row and "since" not in row


def _began(row: Mapping[str, Any], before: Mapping[str, Any] | None, now: float) -> float:
    """A gap that is the same goes on, or stays over; one that was changed goes on unless it was over."""
    if before is None or "since" not in before or "for_s" not in before:
        return now
    same = {**row, "since": before["since"]} == dict(before)
    over = before["since"] + before["for_s"] <= now
    return float(before["since"]) if same or not over else now


def with_start_times(text: str, latest: str, now: float) -> str:
    """The configuration with `since` in every gap that has `for_s` alone; `latest` is the one in force.

    Both have passed the reader. The rest stays as it is written, comments too; blocking, for a large one."""
    rows = _rows(text)
    if not any(_undated(row) for row in rows.values()):
        return text
    import tomlkit

    known = _rows(latest)
    document = tomlkit.parse(text)
    for row in document["gap"]:
        plain = rows[row["id"]]
        if _undated(plain):
            row["since"] = round(_began(plain, known.get(plain["id"]), now), 3)
    return tomlkit.dumps(document)
