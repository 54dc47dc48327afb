"""`harepick config`: reads and changes the store's configuration, which is kept as numbered revisions."""

from __future__ import annotations

import difflib
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from harepick.cli.common import EXIT_CODES, StoreAccess, author, fail, store_options
from harepick.settings import SettingsError, read_store_config

if TYPE_CHECKING:
    from harepick.store.client import StoreClient


@click.group(epilog=EXIT_CODES)
def config() -> None:
    """Read and change the store's configuration."""


def _read_text(file: str) -> str:
    try:
        return sys.stdin.read() if file == "-" else Path(file).read_text()
    except (OSError, ValueError) as error:
        fail(f"{file}: {error}", 2)


@config.command()
@click.argument("file")
@click.option("--json", "as_json", is_flag=True, help="Answer as JSON.")
def check(file: str, as_json: bool) -> None:
    """Check FILE (or - for standard input) as the store would; nothing is sent."""
    store = StoreAccess(None, (), None, 1.0, as_json)
    try:
        settings = read_store_config(_read_text(file))
    except SettingsError as error:
        store.fail(str(error), "invalid")
    names = [u.name for u in settings.upstreams]
    store.print_result({"ok": True, "upstreams": names, "routes": len(settings.routes)}, f"{file}: ok")


@config.command()
@click.argument("revision", type=int, required=False)
@click.option("--stale", is_flag=True, help="Read what the replica has, without asking the leader.")
@store_options
def get(store: StoreAccess, revision: int | None, stale: bool) -> None:
    """Print the latest configuration, or REVISION."""
    result = store.request(
        lambda client: client.call("get", {"revision": revision, "stale": stale}, store.timeout_s)
    )
    store.print_result(result, result["text"].rstrip("\n"))


@config.command("set")
@click.argument("file")
@click.option("--expect", type=int, help="Change it only if this is the latest revision (0: none yet).")
@click.option("--note", default="", help="A note kept with the revision.")
@store_options
def set_(store: StoreAccess, file: str, expect: int | None, note: str) -> None:
    """Make FILE (or - for standard input) the configuration.

    Returns once no instance uses an older one."""
    text = _read_text(file)
    try:
        read_store_config(text)
    except SettingsError as error:
        store.fail(str(error), "invalid")
    arguments = {"text": text, "expect": expect, "note": note, "author": author()}
    result = store.request(lambda client: client.call("set", arguments, store.timeout_s))
    store.print_result(result, f"revision {result['revision']}")


@config.command()
@click.option("--most", default=20, show_default=True, help="Number of revisions to list.")
@store_options
def history(store: StoreAccess, most: int) -> None:
    """List the revisions that are kept, latest first."""
    rows = store.request(lambda client: client.call("history", {"most": most}, store.timeout_s))
    store.print_result(rows, "\n".join(_format_revision(row) for row in rows))


def _format_revision(row: dict[str, Any]) -> str:
    at = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(row["at"]))
    return f"{row['revision']:>6}  {at}  {row['author']:<24} {row['note']}".rstrip()


@config.command()
@click.argument("first", type=int, required=False)
@click.argument("second", type=int, required=False)
@store_options
def diff(store: StoreAccess, first: int | None, second: int | None) -> None:
    """Show the changes from revision FIRST to SECOND; by default those of the latest revision."""

    async def read_both(client: StoreClient) -> tuple[Any, Any]:
        new = await client.call("get", {"revision": second}, store.timeout_s)
        old = first if first is not None else new["revision"] - 1
        if old == 0:
            return {"revision": 0, "text": ""}, new
        return await client.call("get", {"revision": old}, store.timeout_s), new

    old, new = store.request(read_both)
    lines = difflib.unified_diff(
        old["text"].splitlines(),
        new["text"].splitlines(),
        str(old["revision"]),
        str(new["revision"]),
        lineterm="",
    )
    text = "\n".join(lines)
    store.print_result({"from": old["revision"], "to": new["revision"], "diff": text}, text)


@config.command()
@click.argument("revision", type=int)
@click.option("--expect", type=int, help="Change it only if this is the latest revision.")
@click.option("--note", default="", help="A note kept with the revision.")
@store_options
def rollback(store: StoreAccess, revision: int, expect: int | None, note: str) -> None:
    """Make the text of REVISION the configuration again, as a new revision."""
    arguments = {"to": revision, "expect": expect, "note": note, "author": author()}
    result = store.request(lambda client: client.call("rollback", arguments, store.timeout_s))
    store.print_result(result, f"revision {result['revision']}")


@config.command()
@click.option("--after", type=int, help="Print revisions after this one; by default after the latest.")
@click.option("--count", type=int, help="End after this many revisions.")
@store_options
def watch(store: StoreAccess, after: int | None, count: int | None) -> None:
    """Print each new revision as it is made, one a line (with --json, one object a line)."""

    async def follow(client: StoreClient) -> None:
        import orjson

        start = after
        if start is None:
            rows = await client.call("history", {"most": 1}, store.timeout_s)
            start = rows[0]["revision"] if rows else 0
        printed = 0
        async for row in client.watch(start):
            click.echo(orjson.dumps(row).decode() if store.as_json else _format_revision(row))
            printed += 1
            if count and printed >= count:
                return

    store.request(follow)
