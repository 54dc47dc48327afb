"""`harepick config`: the store's configuration, as numbered revisions."""

from __future__ import annotations

import difflib
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from harepick.cli.common import EXIT_CODES, Store, author, fail, store_options
from harepick.settings import SettingsError, read_store_config

if TYPE_CHECKING:
    from harepick.store.client import StoreClient


@click.group(epilog=EXIT_CODES)
def config() -> None:
    """Read and change the store's configuration."""


def _text(file: str) -> str:
    try:
        return sys.stdin.read() if file == "-" else Path(file).read_text()
    except (OSError, ValueError) as error:
        fail(f"{file}: {error}", 2)


@config.command()
@click.argument("file")
@click.option("--json", "as_json", is_flag=True, help="Answer as JSON.")
def check(file: str, as_json: bool) -> None:
    """Check FILE (or - for standard input) with the reader that the store uses; nothing is sent."""
    store = Store(None, (), None, 1.0, as_json)
    try:
        found = read_store_config(_text(file))
    except SettingsError as error:
        store.fail(str(error), "invalid")
    names = [u.name for u in found.upstreams]
    store.tell({"ok": True, "upstreams": names, "routes": len(found.routes)}, f"{file}: ok")


@config.command()
@click.argument("revision", type=int, required=False)
@click.option("--stale", is_flag=True, help="Take what that replica has, without asking the leader.")
@store_options
def get(store: Store, revision: int | None, stale: bool) -> None:
    """Print the latest configuration, or REVISION."""
    found = store.ask(lambda c: c.call("get", {"revision": revision, "stale": stale}, store.within))
    store.tell(found, found["text"].rstrip("\n"))


@config.command("set")
@click.argument("file")
@click.option("--expect", type=int, help="Only if this is the latest revision (0: none yet).")
@click.option("--note", default="", help="Kept with the revision.")
@store_options
def set_(store: Store, file: str, expect: int | None, note: str) -> None:
    """Make FILE (or - for standard input) the configuration.

    Returns once no instance acts on an older one."""
    text = _text(file)
    try:
        read_store_config(text)
    except SettingsError as error:
        store.fail(str(error), "invalid")
    arguments = {"text": text, "expect": expect, "note": note, "author": author()}
    found = store.ask(lambda c: c.call("set", arguments, store.within))
    store.tell(found, f"revision {found['revision']}")


@config.command()
@click.option("--most", default=20, show_default=True, help="Revisions to list.")
@store_options
def history(store: Store, most: int) -> None:
    """List the revisions that are kept, the latest first."""
    rows = store.ask(lambda c: c.call("history", {"most": most}, store.within))
    store.tell(rows, "\n".join(_line(row) for row in rows))


def _line(row: dict[str, Any]) -> str:
    at = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(row["at"]))
    return f"{row['revision']:>6}  {at}  {row['author']:<24} {row['note']}".rstrip()


@config.command()
@click.argument("first", type=int, required=False)
@click.argument("second", type=int, required=False)
@store_options
def diff(store: Store, first: int | None, second: int | None) -> None:
    """Show what changed from revision FIRST to SECOND; by default in the latest."""

    async def both(client: StoreClient) -> tuple[Any, Any]:
        new = await client.call("get", {"revision": second}, store.within)
        old = first if first is not None else new["revision"] - 1
        if old == 0:
            return {"revision": 0, "text": ""}, new
        return await client.call("get", {"revision": old}, store.within), new

    old, new = store.ask(both)
    lines = difflib.unified_diff(
        old["text"].splitlines(),
        new["text"].splitlines(),
        str(old["revision"]),
        str(new["revision"]),
        lineterm="",
    )
    text = "\n".join(lines)
    store.tell({"from": old["revision"], "to": new["revision"], "diff": text}, text)


@config.command()
@click.argument("revision", type=int)
@click.option("--expect", type=int, help="Only if this is the latest revision.")
@click.option("--note", default="", help="Kept with the revision.")
@store_options
def rollback(store: Store, revision: int, expect: int | None, note: str) -> None:
    """Make the text of REVISION the configuration again, as a new revision."""
    arguments = {"to": revision, "expect": expect, "note": note, "author": author()}
    found = store.ask(lambda c: c.call("rollback", arguments, store.within))
    store.tell(found, f"revision {found['revision']}")


@config.command()
@click.option("--after", type=int, help="Revisions after this one; by default after the latest.")
@click.option("--count", type=int, help="End after so many.")
@store_options
def watch(store: Store, after: int | None, count: int | None) -> None:
    """Print each new revision as it comes, one line each (with --json, one object a line)."""

    async def follow(client: StoreClient) -> None:
        import orjson

        start = after
        if start is None:
            rows = await client.call("history", {"most": 1}, store.within)
            start = rows[0]["revision"] if rows else 0
        seen = 0
        async for row in client.watch(start):
            click.echo(orjson.dumps(row).decode() if store.as_json else _line(row))
            seen += 1
            if count and seen >= count:
                return

    store.ask(follow)
