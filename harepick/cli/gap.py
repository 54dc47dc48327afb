"""`harepick gap`: the gaps of the store's configuration or of a file, and which of them a call would meet.

A file is read as the program does, with the same reader: an operator's TOML (`[[gap]]`, numbers in E.164) or
the platform's JSON (`gaps`, numbers as its set-ups carry them); nothing is sent then, and SIGHUP puts it into
effect. Without a file the store's configuration is meant, and a change holds at all instances at once.
"""

from __future__ import annotations

import json
import time
from datetime import datetime
from math import inf
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from harepick.cli.common import EXIT_CODES, USAGE, Store, author, fail, store_options
from harepick.cli.toml_rows import changed, put, without
from harepick.gapping.config import GapRow, read_rows
from harepick.gapping.gaps import GapError
from harepick.gapping.screen import GapScreen
from harepick.settings import SettingsError, read_store_config, read_toml

if TYPE_CHECKING:
    from harepick.store.client import StoreClient


@click.group(epilog=EXIT_CODES)
def gap() -> None:
    """Set, lift and look at gaps."""


def _read(file: str) -> tuple[GapRow, ...]:
    if file.endswith(".json"):
        table: Any = json.loads(Path(file).read_text())
        return read_rows(table.get("gaps") if isinstance(table, dict) else None, "gaps", "platform")
    return read_rows(read_toml(file).get("gap"), "gap", "e164")


def _rows(file: str | None, store: Store) -> tuple[GapRow, ...]:
    """Of a file, or of the store's latest configuration."""
    if file is None:
        return tuple(read_store_config(_latest(store)["text"]).gaps)
    try:
        return _read(file)
    except (OSError, ValueError, SettingsError, GapError) as error:
        store.fail(f"{file}: {error}", "invalid")


def _latest(store: Store) -> dict[str, Any]:
    return dict(store.ask(lambda client: client.call("get", {}, store.within)))


def _screen(rows: tuple[GapRow, ...], file: str | None, zone: str, store: Store) -> GapScreen:
    """The gaps as an instance would have them now; from the store, without those that are over."""
    screen, now = GapScreen(zone), time.time()
    try:
        screen.apply([row for row in rows if file or not row.over(now)], now)
    except GapError as error:
        store.fail(f"{file}: {error}" if file else str(error), "invalid")
    return screen


def _told(row: GapRow) -> dict[str, Any]:
    criterion = {k: v for k, v in (("number", row.number), ("prefix", row.prefix)) if v}
    criterion |= {k: v for k, v in (("class", row.call_class), ("zone", row.zone)) if v}
    interval: Any = "none" if row.interval == float("inf") else row.interval
    end = {"until": row.until} if row.until < inf else {"for_s": row.for_s} if row.for_s < inf else {}
    end |= {"since": row.since} if row.since else {}
    more = {k: v for k, v in (("reason", row.reason), ("owner", row.owner)) if v}
    told = {"id": row.id, **criterion, "interval_s": interval, "count": row.count, "inherit": row.inherit}
    return told | end | more


@gap.command("list", epilog=EXIT_CODES)
@click.argument("file", required=False)
@store_options
def list_(file: str | None, store: Store) -> None:
    """The gaps that FILE sets, checked as a SIGHUP would check them; without FILE, the store's."""
    rows = _rows(file, store)
    _screen(rows, file, "", store)
    told = [_told(row) for row in rows]
    store.tell({"ok": True, "gaps": told}, "\n".join(json.dumps(row) for row in told) or "no gaps")


@gap.command(epilog=EXIT_CODES)
@click.argument("name")
@store_options
def show(name: str, store: Store) -> None:
    """Gap NAME of the store's configuration, and whether its time is over."""
    row = next((row for row in _rows(None, store) if row.id == name), None)
    if row is None:
        store.fail(f"no gap {name} is set", "refused")
    told = _told(row) | {"over": row.over(time.time())}
    store.tell(told, "\n".join(f"{key:<12} {value}" for key, value in told.items()))


@gap.command(epilog=EXIT_CODES)
@click.argument("number")
@click.argument("file", required=False)
@click.option("--class", "call_class", default="", help="The call's class.")
@click.option("--zone", default="", help="The instance's zone.")
@store_options
def explain(number: str, file: str | None, call_class: str, zone: str, store: Store) -> None:
    """Which gaps a call to NUMBER would meet, most specific first, and why the list ends there: those of
    FILE, or without it the store's."""
    met = _screen(_rows(file, store), file, zone, store).explain(number, call_class, time.time())
    lines = [
        f"{g.id}: {'the last that counts, it does not inherit' if not g.inherit else 'counts'}" for g in met
    ]
    answer = {"ok": True, "number": number, "gaps": [g.id for g in met]}
    store.tell(answer, "\n".join(lines) or f"{number} meets no gap")


def _interval(context: click.Context, option: click.Parameter, value: str) -> float | str:
    if value == "none":
        return value
    try:
        return float(value)
    except ValueError:
        raise click.BadParameter(f"no number of seconds, nor 'none': {value!r}") from None


@gap.command("set", epilog=EXIT_CODES)
@click.argument("name")
@click.option("--number", help="The number called: + and digits.")
@click.option("--prefix", help="What the number begins with.")
@click.option("--class", "call_class", help="A class of call.")
@click.option("--zone", help="Calls at instances of this zone.")
@click.option("--interval", required=True, callback=_interval, help="Seconds, 0 (all pass) or none.")
@click.option("--count", type=int, help="Calls that pass in an interval. [1]")
@click.option("--for", "for_s", type=click.FloatRange(1.0), help="Seconds from now on.")
@click.option("--until", type=click.DateTime(), help="Local time, in place of --for.")
@click.option("--alone", is_flag=True, default=None, help="Broader gaps do not count beside it.")
@click.option("--reason", help="Told to whoever asks.")
@click.option("--dry-run", is_flag=True, help="Print the configuration it would become, and change nothing.")
@store_options
def set_(
    name: str,
    interval: float | str,
    for_s: float | None,
    until: datetime | None,
    alone: bool | None,
    call_class: str | None,
    dry_run: bool,
    store: Store,
    **words: Any,
) -> None:
    """Set gap NAME in the store's configuration, or change it; what is not given stays as it was.

    A time to live is kept as the moment of its end, so that it goes on over a restart."""
    if for_s is not None and until is not None:
        fail("--for and --until are both given", USAGE)
    end = time.time() + for_s if for_s is not None else until.timestamp() if until else None
    found = _latest(store)
    wanted = {"id": name, "interval_s": interval, **words, "class": call_class, "until": end}
    wanted |= {"inherit": None if alone is None else not alone, "owner": author() or None}
    given = {key: value for key, value in wanted.items() if value is not None}
    drop = () if end is None else ("for_s", "since")  # one end, or the other
    text = changed(found["text"], "gap", given, drop)
    try:
        rows = tuple(read_store_config(text).gaps)
    except SettingsError as error:
        fail(f"{error}; nothing was changed", USAGE)
    _screen(rows, None, "", store)
    if any(row.id == name and row.over(time.time()) for row in rows):
        fail(f"the time of gap {name} is over: give --for or --until; nothing was changed", USAGE)
    if dry_run:
        click.echo(text, nl=False)
        return
    revision = put(store, text, found["revision"], f"gap {name}")
    store.tell({"revision": revision}, f"gap {name} is set from revision {revision} on")


@gap.command(epilog=EXIT_CODES)
@click.argument("name")
@store_options
def lift(name: str, store: Store) -> None:
    """Take gap NAME out of the store's configuration."""
    found = _latest(store)
    text = without(found["text"], "gap", name)
    if text is None:
        store.fail(f"no gap {name} is set", "refused")
    revision = put(store, text, found["revision"], f"gap {name}: lifted")
    store.tell({"revision": revision}, f"gap {name} is lifted from revision {revision} on")


def _news(before: dict[str, GapRow], after: dict[str, GapRow]) -> list[tuple[str, GapRow]]:
    """What became of gaps from one revision to the next, each `set`, `changed` or `lifted`."""
    lifted = [("lifted", row) for name, row in before.items() if name not in after]
    news = [("changed" if n in before else "set", r) for n, r in after.items() if before.get(n) != r]
    return lifted + news


@gap.command(epilog=EXIT_CODES)
@click.option("--count", type=click.IntRange(1), help="End after so many lines.")
@store_options
def watch(count: int | None, store: Store) -> None:
    """Print the gaps that hold, and each that is set, changed or lifted from then on.

    Gaps that the fleet sets by itself are verdicts: 'harepick verdict list' has them."""

    async def follow(client: StoreClient) -> None:
        import orjson

        rows: dict[str, GapRow] = {}
        seen = 0
        start = await client.call("history", {"most": 1}, store.within)
        async for revision in client.watch(start[0]["revision"] - 1 if start else 0):
            latest = {row.id: row for row in read_store_config(revision["text"]).gaps}
            for what, row in _news(rows, latest):
                told = {"revision": revision["revision"], "what": what, **_told(row)}
                line = f"{told['revision']:>6}  {what:<8} {json.dumps(_told(row))}"
                click.echo(orjson.dumps(told).decode() if store.as_json else line)
                seen += 1
                if count and seen >= count:
                    return
            rows = latest

    store.ask(follow)
