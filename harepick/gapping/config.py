"""Gaps as a configuration writes them: the platform's JSON `gaps` and the operator's TOML `[[gap]]`.

Pure: reads rows into `GapRow`s, raising `GapError` whose text begins with the faulty key
(`gaps[2].interval_s`). When a row takes effect, and how long it runs, is the screen's (`screen.py`).

    {"id": "radio", "number": "+94112345678", "interval_s": 1.0, "for_s": 600, "reason": "appeal"}
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import inf, isfinite
from typing import Any, TypeGuard

from harepick.gapping.auto_gaps import AutoGapSettings
from harepick.gapping.gaps import BLOCK_ALL, PLANS, GapError

KEYS = {
    "id",
    "number",
    "prefix",
    "class",
    "zone",
    "interval_s",
    "count",
    "for_s",
    "since",
    "until",
    "inherit",
    "reason",
    "owner",
    "plan",
}
MAX_ROWS = 100_000


@dataclass(frozen=True, slots=True)
class GapRow:
    """One gap as written. `for_s` counts from `since`, or without it from when the row first takes effect;
    `since` and `until` are Unix seconds."""

    id: str
    interval: float  # seconds; 0 lets all pass, `BLOCK_ALL` none
    number: str = ""
    prefix: str = ""
    call_class: str = ""
    zone: str = ""
    count: int = 1
    for_s: float = inf
    since: float = 0.0  # 0: it is not told
    until: float = inf
    inherit: bool = True
    reason: str = ""
    owner: str = ""
    plan: str = "e164"

    def over(self, now: float) -> bool:
        """Whether its time is past, as far as the row alone tells."""
        return min(self.until, self.since + self.for_s if self.since else inf) <= now


def read_rows(rows: Any, where: str, plan: str) -> tuple[GapRow, ...]:
    """Rows of a configuration under the key `where`; `plan` is the front's own numbering plan, the default
    of a row that names none."""
    if rows is None:
        return ()
    if not isinstance(rows, Sequence) or isinstance(rows, str):
        raise GapError(f"{where} is no list of gaps")
    if len(rows) > MAX_ROWS:
        raise GapError(f"{where} has over {MAX_ROWS} gaps")
    read: dict[str, GapRow] = {}
    for n, row in enumerate(rows):
        try:
            gap = _row(row, plan)
        except GapError as error:
            raise GapError(f"{where}[{n}].{error}") from None
        if gap.id in read:
            raise GapError(f"{where}[{n}].id is there twice: {gap.id!r}")
        read[gap.id] = gap
    return tuple(read.values())


AUTO = {  # key of `[autogap]` -> field, from, to
    "per_s": ("per_s", 0.1, 1e6),
    "failing": ("failing", 0.0, 1.0),
    "after_s": ("after", 0.1, 600.0),
    "interval_s": ("interval", 0.05, 3600.0),
    "ttl_s": ("ttl", 1.0, 3600.0),
}


def read_autogap(table: Any) -> AutoGapSettings:
    """`[autogap]`: when gaps set themselves."""
    if not isinstance(table, Mapping):
        raise GapError(f"autogap is no table: {table!r}")
    for key in sorted(table.keys() - AUTO.keys() - {"act"}):
        raise GapError(f"autogap.{key} is not known")
    found: dict[str, float] = {}
    for key, (name, low, high) in AUTO.items():
        if key not in table:
            continue
        value = table[key]
        if not _number(value) or not low <= value <= high:
            raise GapError(f"autogap.{key} is not between {low:g} and {high:g}: {value!r}")
        found[name] = float(value)
    act = table.get("act", True)
    if not isinstance(act, bool):
        raise GapError(f"autogap.act is neither true nor false: {act!r}")
    if "per_s" not in found:
        raise GapError("autogap.per_s is missing")
    return AutoGapSettings(**found, act=act)


def _row(row: Any, plan: str) -> GapRow:
    if not isinstance(row, Mapping):
        raise GapError(f"id: the gap is no table: {row!r}")
    for key in sorted(row.keys() - KEYS):
        raise GapError(f"{key} is not known")
    written = row.get("interval_s")
    if written == "none":
        interval = BLOCK_ALL
    elif _number(written) and written >= 0:
        interval = float(written)
    else:
        raise GapError(f"interval_s is no number of seconds, 0 or more, nor 'none': {written!r}")
    count = row.get("count", 1)
    if isinstance(count, bool) or not isinstance(count, int) or count < 1:
        raise GapError(f"count is no whole number of 1 or more: {count!r}")
    if "for_s" in row and "until" in row:
        raise GapError("for_s and until are both given")
    if "since" in row and "for_s" not in row:
        raise GapError("since says nothing without for_s")
    for key in ("for_s", "since", "until"):
        if key in row and (not _number(row[key]) or row[key] <= 0):
            raise GapError(f"{key} is no positive number of seconds: {row[key]!r}")
    inherit = row.get("inherit", True)
    if not isinstance(inherit, bool):
        raise GapError(f"inherit is neither true nor false: {inherit!r}")
    texts = {key: row.get(key, "") for key in ("id", "number", "prefix", "class", "zone", "reason", "owner")}
    for key, value in texts.items():
        if not isinstance(value, str):
            raise GapError(f"{key} is no text: {value!r}")
    wanted = row.get("plan", plan)
    if wanted not in PLANS:
        raise GapError(f"plan is none of {sorted(PLANS)}: {wanted!r}")
    return GapRow(
        id=texts["id"],
        interval=interval,
        number=texts["number"],
        prefix=texts["prefix"],
        call_class=texts["class"],
        zone=texts["zone"],
        count=count,
        for_s=float(row.get("for_s", inf)),
        since=float(row.get("since", 0.0)),
        until=float(row.get("until", inf)),
        inherit=inherit,
        reason=texts["reason"],
        owner=texts["owner"],
        plan=wanted,
    )


def _number(value: Any) -> TypeGuard[int | float]:
    return not isinstance(value, bool) and isinstance(value, int | float) and isfinite(value)
