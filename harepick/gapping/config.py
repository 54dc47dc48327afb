"""Reads gaps from a configuration: the platform's JSON `gaps` and the operator's TOML `[[gap]]`.

Pure: reads rows into `GapRow`s and raises `GapError`, whose text begins with the key that is wrong
(`gaps[2].interval_s`). `screen.py` decides when a row takes effect and when it ends.

    {"id": "radio", "number": "+94112345678", "interval_s": 1.0, "for_s": 600, "reason": "appeal"}
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import inf, isfinite
from typing import Any, TypeGuard

from harepick.gapping.auto_gaps import AutoGapSettings
from harepick.gapping.gaps import BLOCK_ALL, NUMBERING_PLANS, GapError

GAP_KEYS = {
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
    """One gap as configured.

    `for_s` is its duration in seconds, counted from `since`, or if that is 0 from when the row first takes
    effect. `since` and `until` are Unix seconds.
    """

    id: str
    interval: float  # seconds; 0 passes every call, `BLOCK_ALL` none
    number: str = ""
    prefix: str = ""
    call_class: str = ""
    zone: str = ""
    count: int = 1
    for_s: float = inf
    since: float = 0.0  # 0: not given
    until: float = inf
    inherit: bool = True
    reason: str = ""
    owner: str = ""
    plan: str = "e164"

    def has_ended(self, now: float) -> bool:
        """Whether the gap has ended at `now` (Unix seconds).

        A row without `since` counts as active before `until`: only the screen knows when it took effect.
        """
        return min(self.until, self.since + self.for_s if self.since else inf) <= now


def read_rows(rows: Any, where: str, plan: str) -> tuple[GapRow, ...]:
    """Reads the rows under the key `where` of a configuration, such as `gaps`.

    `plan` is the numbering plan of a row that names none. Raises `GapError`.
    """
    if rows is None:
        return ()
    if not isinstance(rows, Sequence) or isinstance(rows, str):
        raise GapError(f"{where} is not a list of gaps")
    if len(rows) > MAX_ROWS:
        raise GapError(f"{where} has more than {MAX_ROWS} gaps")
    rows_by_id: dict[str, GapRow] = {}
    for position, row in enumerate(rows):
        try:
            gap = _read_row(row, plan)
        except GapError as error:
            raise GapError(f"{where}[{position}].{error}") from None
        if gap.id in rows_by_id:
            raise GapError(f"{where}[{position}].id is given twice: {gap.id!r}")
        rows_by_id[gap.id] = gap
    return tuple(rows_by_id.values())


AUTOGAP_RANGES = {  # key of `[autogap]` -> field of AutoGapSettings, minimum, maximum
    "per_s": ("per_s", 0.1, 1e6),
    "failing": ("failing", 0.0, 1.0),
    "after_s": ("after", 0.1, 600.0),
    "interval_s": ("interval", 0.05, 3600.0),
    "ttl_s": ("ttl", 1.0, 3600.0),
}


def read_autogap(table: Any) -> AutoGapSettings:
    """Reads `[autogap]`, the settings of automatic gaps. Raises `GapError`."""
    if not isinstance(table, Mapping):
        raise GapError(f"autogap is not a table: {table!r}")
    for key in sorted(table.keys() - AUTOGAP_RANGES.keys() - {"act"}):
        raise GapError(f"autogap.{key} is not known")
    found: dict[str, float] = {}
    for key, (field_name, minimum, maximum) in AUTOGAP_RANGES.items():
        if key not in table:
            continue
        value = table[key]
        if not _is_number(value) or not minimum <= value <= maximum:
            raise GapError(f"autogap.{key} is not between {minimum:g} and {maximum:g}: {value!r}")
        found[field_name] = float(value)
    act = table.get("act", True)
    if not isinstance(act, bool):
        raise GapError(f"autogap.act is neither true nor false: {act!r}")
    if "per_s" not in found:
        raise GapError("autogap.per_s is missing")
    return AutoGapSettings(**found, act=act)


def _read_row(row: Any, plan: str) -> GapRow:
    if not isinstance(row, Mapping):
        raise GapError(f"id: the gap is not a table: {row!r}")
    for key in sorted(row.keys() - GAP_KEYS):
        raise GapError(f"{key} is not known")
    interval_value = row.get("interval_s")
    if interval_value == "none":
        interval = BLOCK_ALL
    elif _is_number(interval_value) and interval_value >= 0:
        interval = float(interval_value)
    else:
        raise GapError(f"interval_s is neither 0 or more seconds nor 'none': {interval_value!r}")
    count = row.get("count", 1)
    if isinstance(count, bool) or not isinstance(count, int) or count < 1:
        raise GapError(f"count is not a whole number of 1 or more: {count!r}")
    if "for_s" in row and "until" in row:
        raise GapError("for_s and until are both given")
    if "since" in row and "for_s" not in row:
        raise GapError("since has no effect without for_s")
    for key in ("for_s", "since", "until"):
        if key in row and (not _is_number(row[key]) or row[key] <= 0):
            raise GapError(f"{key} is not a positive number of seconds: {row[key]!r}")
    inherit = row.get("inherit", True)
    if not isinstance(inherit, bool):
        raise GapError(f"inherit is neither true nor false: {inherit!r}")
    texts = {key: row.get(key, "") for key in ("id", "number", "prefix", "class", "zone", "reason", "owner")}
    for key, value in texts.items():
        if not isinstance(value, str):
            raise GapError(f"{key} is not a string: {value!r}")
    row_plan = row.get("plan", plan)
    if row_plan not in NUMBERING_PLANS:
        raise GapError(f"plan is none of {sorted(NUMBERING_PLANS)}: {row_plan!r}")
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
        plan=row_plan,
    )


def _is_number(value: Any) -> TypeGuard[int | float]:
    return not isinstance(value, bool) and isinstance(value, int | float) and isfinite(value)
