"""`harepick gap`: the gaps that a configuration file sets, and which of them a call would meet.

Reads the file as the program does, with the same reader: an operator's TOML (`[[gap]]`, numbers in E.164) or
the platform's JSON (`gaps`, numbers as its set-ups carry them). Nothing is sent anywhere; SIGHUP puts a file
into effect.
"""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click

from harepick.cli.common import EXIT_CODES, Store
from harepick.gapping.config import Row, read_rows
from harepick.gapping.gaps import GapError
from harepick.gapping.screen import GapScreen
from harepick.settings import SettingsError, read_toml


@click.group(epilog=EXIT_CODES)
def gap() -> None:
    """Look at the gaps that a configuration file sets."""


def _rows(file: str, store: Store) -> tuple[Row, ...]:
    try:
        if file.endswith(".json"):
            table: Any = json.loads(Path(file).read_text())
            return read_rows(table.get("gaps") if isinstance(table, dict) else None, "gaps", "platform")
        return read_rows(read_toml(file).get("gap"), "gap", "e164")
    except (OSError, ValueError, SettingsError, GapError) as error:
        store.fail(f"{file}: {error}", "invalid")


def _told(row: Row) -> dict[str, Any]:
    criterion = {k: v for k, v in (("number", row.number), ("prefix", row.prefix)) if v}
    criterion |= {k: v for k, v in (("class", row.call_class), ("zone", row.zone)) if v}
    interval: Any = "none" if row.interval == float("inf") else row.interval
    return {"id": row.id, **criterion, "interval_s": interval, "count": row.count, "inherit": row.inherit}


@gap.command("list")
@click.argument("file")
@click.option("--json", "as_json", is_flag=True, help="Answer as JSON.")
def list_(file: str, as_json: bool) -> None:
    """The gaps that FILE sets, checked as a SIGHUP would check them."""
    store = Store(None, (), None, 1.0, as_json)
    rows = _rows(file, store)
    try:
        GapScreen().apply(rows, time.time())
    except GapError as error:
        store.fail(f"{file}: {error}", "invalid")
    told = [_told(row) for row in rows]
    store.tell({"ok": True, "gaps": told}, "\n".join(json.dumps(row) for row in told) or "no gaps")


@gap.command()
@click.argument("number")
@click.argument("file")
@click.option("--class", "call_class", default="", help="The call's class.")
@click.option("--zone", default="", help="The instance's zone.")
@click.option("--json", "as_json", is_flag=True, help="Answer as JSON.")
def explain(number: str, file: str, call_class: str, zone: str, as_json: bool) -> None:
    """Which gaps of FILE a call to NUMBER would meet, most specific first, and why the list ends there."""
    store = Store(None, (), None, 1.0, as_json)
    rows = _rows(file, store)
    screen, now = GapScreen(zone), time.time()
    try:
        screen.apply(rows, now)
    except GapError as error:
        store.fail(f"{file}: {error}", "invalid")
    met = screen.explain(number, call_class, now)
    lines = [
        f"{g.id}: {'the last that counts, it does not inherit' if not g.inherit else 'counts'}" for g in met
    ]
    answer = {"ok": True, "number": number, "gaps": [g.id for g in met]}
    store.tell(answer, "\n".join(lines) or f"{number} meets no gap")
