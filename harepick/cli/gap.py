"""`harepick gap`: the gaps in the store's configuration or in a file, and which of them apply to a call.

A file is read by the same code as in an instance: an operator's TOML (`[[gap]]`, numbers in E.164) or the
platform's JSON (`gaps`, numbers as its set-ups carry them). Nothing is sent then; an instance reads the file
on SIGHUP. Without a file the commands work on the store's configuration, where a change applies to all
instances.
"""

from __future__ import annotations

import json
import time
from datetime import datetime
from math import inf
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from harepick.cli.common import EXIT_CODES, USAGE, StoreAccess, author, fail, store_options
from harepick.cli.toml_rows import commit_config, with_row, without_row
from harepick.gapping.config import GapRow, read_rows
from harepick.gapping.gaps import GapError
from harepick.gapping.screen import GapScreen
from harepick.settings import SettingsError, read_store_config, read_toml

if TYPE_CHECKING:
    from harepick.store.client import StoreClient


@click.group(epilog=EXIT_CODES)
def gap() -> None:
    """Set, lift and show gaps."""


def _read_file(file: str) -> tuple[GapRow, ...]:
    if file.endswith(".json"):
        table: Any = json.loads(Path(file).read_text())
        return read_rows(table.get("gaps") if isinstance(table, dict) else None, "gaps", "platform")
    return read_rows(read_toml(file).get("gap"), "gap", "e164")


def _gap_rows(file: str | None, store: StoreAccess) -> tuple[GapRow, ...]:
    """The gaps of a file, or of the store's latest configuration."""
    if file is None:
        return tuple(read_store_config(_latest_revision(store)["text"]).gaps)
    try:
        return _read_file(file)
    except (OSError, ValueError, SettingsError, GapError) as error:
        store.fail(f"{file}: {error}", "invalid")


def _latest_revision(store: StoreAccess) -> dict[str, Any]:
    return dict(store.request(lambda client: client.call("get", {}, store.timeout_s)))


def _build_screen(rows: tuple[GapRow, ...], file: str | None, zone: str, store: StoreAccess) -> GapScreen:
    """The gaps as an instance applies them now; leaves out those of the store that have ended.

    Ends the program with an error if they are invalid.
    """
    screen, now = GapScreen(zone), time.time()
    try:
        screen.apply([row for row in rows if file or not row.has_ended(now)], now)
    except GapError as error:
        store.fail(f"{file}: {error}" if file else str(error), "invalid")
    return screen


def _gap_fields(row: GapRow) -> dict[str, Any]:
    """A gap as it is printed: its keys in the configuration that are set."""
    criterion = {k: v for k, v in (("number", row.number), ("prefix", row.prefix)) if v}
    criterion |= {k: v for k, v in (("class", row.call_class), ("zone", row.zone)) if v}
    interval: Any = "none" if row.interval == float("inf") else row.interval
    end = {"until": row.until} if row.until < inf else {"for_s": row.for_s} if row.for_s < inf else {}
    end |= {"since": row.since} if row.since else {}
    optional = {k: v for k, v in (("reason", row.reason), ("owner", row.owner)) if v}
    fields = {"id": row.id, **criterion, "interval_s": interval, "count": row.count, "inherit": row.inherit}
    return fields | end | optional


@gap.command("list", epilog=EXIT_CODES)
@click.argument("file", required=False)
@store_options
def list_(file: str | None, store: StoreAccess) -> None:
    """List and check the gaps of FILE, as a SIGHUP would; without FILE, those of the store."""
    rows = _gap_rows(file, store)
    _build_screen(rows, file, "", store)
    gaps = [_gap_fields(row) for row in rows]
    store.print_result({"ok": True, "gaps": gaps}, "\n".join(json.dumps(row) for row in gaps) or "no gaps")


@gap.command(epilog=EXIT_CODES)
@click.argument("name")
@store_options
def show(name: str, store: StoreAccess) -> None:
    """Show gap NAME of the store's configuration, and whether its time is over."""
    row = next((row for row in _gap_rows(None, store) if row.id == name), None)
    if row is None:
        store.fail(f"no gap {name} is set", "refused")
    fields = _gap_fields(row) | {"over": row.has_ended(time.time())}
    store.print_result(fields, "\n".join(f"{key:<12} {value}" for key, value in fields.items()))


@gap.command(epilog=EXIT_CODES)
@click.argument("number")
@click.argument("file", required=False)
@click.option("--class", "call_class", default="", help="The call's class.")
@click.option("--zone", default="", help="The instance's zone.")
@store_options
def explain(number: str, file: str | None, call_class: str, zone: str, store: StoreAccess) -> None:
    """Show which gaps apply to a call to NUMBER, most specific first, and why the list ends there.

    The gaps are those of FILE, or without it those of the store."""
    matching = _build_screen(_gap_rows(file, store), file, zone, store).explain(
        number, call_class, time.time()
    )
    lines = [
        f"{g.id}: {'the last that applies, it does not inherit' if not g.inherit else 'applies'}"
        for g in matching
    ]
    answer = {"ok": True, "number": number, "gaps": [g.id for g in matching]}
    store.print_result(answer, "\n".join(lines) or f"no gap applies to {number}")


def _parse_interval(context: click.Context, option: click.Parameter, value: str) -> float | str:
    if value == "none":
        return value
    try:
        return float(value)
    except ValueError:
        raise click.BadParameter(f"neither a number of seconds nor 'none': {value!r}") from None


@gap.command("set", epilog=EXIT_CODES)
@click.argument("name")
@click.option("--number", help="The number called: + and digits.")
@click.option("--prefix", help="A prefix of the numbers called.")
@click.option("--class", "call_class", help="A class of call.")
@click.option("--zone", help="Only calls at instances of this zone.")
@click.option("--interval", required=True, callback=_parse_interval, help="Seconds, 0 (all pass) or none.")
@click.option("--count", type=int, help="Calls that pass in each interval. [1]")
@click.option("--for", "for_s", type=click.FloatRange(1.0), help="Seconds until it ends.")
@click.option("--until", type=click.DateTime(), help="Local time at which it ends, in place of --for.")
@click.option("--alone", is_flag=True, default=None, help="Broader gaps do not apply where this one does.")
@click.option("--reason", help="Shown with the gap.")
@click.option("--dry-run", is_flag=True, help="Print the new configuration, and change nothing.")
@store_options
def set_(
    name: str,
    interval: float | str,
    for_s: float | None,
    until: datetime | None,
    alone: bool | None,
    call_class: str | None,
    dry_run: bool,
    store: StoreAccess,
    **options: Any,
) -> None:
    """Set gap NAME in the store's configuration, or change it; options that are not given stay as they were.

    A duration is stored as the time at which it ends, so that a restart does not extend it."""
    if for_s is not None and until is not None:
        fail("--for and --until are both given", USAGE)
    end = time.time() + for_s if for_s is not None else until.timestamp() if until else None
    found = _latest_revision(store)
    keys = {"id": name, "interval_s": interval, **options, "class": call_class, "until": end}
    keys |= {"inherit": None if alone is None else not alone, "owner": author() or None}
    wanted = {key: value for key, value in keys.items() if value is not None}
    drop = () if end is None else ("for_s", "since")  # a gap has one end only
    text = with_row(found["text"], "gap", wanted, drop)
    try:
        rows = tuple(read_store_config(text).gaps)
    except SettingsError as error:
        fail(f"{error}; nothing was changed", USAGE)
    _build_screen(rows, None, "", store)
    if any(row.id == name and row.has_ended(time.time()) for row in rows):
        fail(f"the time of gap {name} is over: give --for or --until; nothing was changed", USAGE)
    if dry_run:
        click.echo(text, nl=False)
        return
    revision = commit_config(store, text, found["revision"], f"gap {name}")
    store.print_result({"revision": revision}, f"gap {name} is set from revision {revision} on")


@gap.command(epilog=EXIT_CODES)
@click.argument("name")
@store_options
def lift(name: str, store: StoreAccess) -> None:
    """Remove gap NAME from the store's configuration."""
    found = _latest_revision(store)
    text = without_row(found["text"], "gap", name)
    if text is None:
        store.fail(f"no gap {name} is set", "refused")
    revision = commit_config(store, text, found["revision"], f"gap {name}: lifted")
    store.print_result({"revision": revision}, f"gap {name} is lifted from revision {revision} on")


def _gap_changes(before: dict[str, GapRow], after: dict[str, GapRow]) -> list[tuple[str, GapRow]]:
    """The gaps that differ between two revisions, each `set`, `changed` or `lifted`."""
    lifted = [("lifted", row) for name, row in before.items() if name not in after]
    updated = [("changed" if n in before else "set", r) for n, r in after.items() if before.get(n) != r]
    return lifted + updated


@gap.command(epilog=EXIT_CODES)
@click.option("--count", type=click.IntRange(1), help="End after this many lines.")
@store_options
def watch(count: int | None, store: StoreAccess) -> None:
    """Print the current gaps, and each gap that is set, changed or lifted from then on.

    Gaps that the fleet sets automatically are verdicts: 'harepick verdict list' shows them."""

    async def follow(client: StoreClient) -> None:
        import orjson

        rows: dict[str, GapRow] = {}
        printed = 0
        start = await client.call("history", {"most": 1}, store.timeout_s)
        async for revision in client.watch(start[0]["revision"] - 1 if start else 0):
            latest = {row.id: row for row in read_store_config(revision["text"]).gaps}
            for what, row in _gap_changes(rows, latest):
                change = {"revision": revision["revision"], "what": what, **_gap_fields(row)}
                line = f"{change['revision']:>6}  {what:<8} {json.dumps(_gap_fields(row))}"
                click.echo(orjson.dumps(change).decode() if store.as_json else line)
                printed += 1
                if count and printed >= count:
                    return
            rows = latest

    store.request(follow)
