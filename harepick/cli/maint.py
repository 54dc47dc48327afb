"""`harepick maint`: machines out for work. The controllers settle the order; this asks and tells."""

from __future__ import annotations

import time
from collections.abc import Mapping
from datetime import datetime
from typing import Any

import click

from harepick.cli.common import EXIT_CODES, USAGE, Store, author, fail, store_options


@click.group(epilog=EXIT_CODES)
def maint() -> None:
    """Take machines out for work, and bring them back.

    MACHINE is a server's name, server:NAME or controller:NAME. The controllers settle among themselves
    which goes out next, within the budget of [maintenance] in the configuration."""


def _window(text: str | None) -> tuple[float | None, float | None]:
    """Unix times of `FROM/TO`, each ISO 8601 (in local time if it names no zone) or empty."""
    if not text:
        return None, None
    opens, slash, closes = text.partition("/")
    if not slash:
        fail(f"--window is no FROM/TO: {text!r}", USAGE)
    try:
        first, last = (datetime.fromisoformat(part).timestamp() if part else None for part in (opens, closes))
    except ValueError as error:
        fail(f"--window: {error}", USAGE)
    if first is not None and last is not None and first >= last:
        fail("--window closes before it opens", USAGE)
    return first, last


def _line(row: Mapping[str, Any]) -> str:
    reason = f"  ({row['reason']})" if row["reason"] else ""
    held = f"  - {row['why']}" if row["why"] else ""
    return f"{row['order']:>5}  {row['machine']:<24} {row['state']:<9} {row['by']}{reason}{held}"


def _when(at: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at))


@maint.command(epilog=EXIT_CODES)
@click.argument("machine")
@click.option("--reason", default="", help="Told to whoever asks why it is out.")
@click.option("--window", metavar="FROM/TO", help="ISO 8601 times between which it may go out.")
@click.option("--priority", default=0, help="Goes before lower ones that still wait.")
@store_options
def request(machine: str, reason: str, window: str | None, priority: int, store: Store) -> None:
    """Ask for MACHINE to be taken out; it goes when its turn comes."""
    opens, closes = _window(window)
    arguments = {"machine": machine, "reason": reason, "by": author(), "priority": priority}
    arguments |= {"opens": opens, "closes": closes}
    found = store.ask(lambda client: client.call("maint_request", arguments, store.within))
    store.tell(found, f"order {found['order']}: {machine} is {found['state']}")


@maint.command("list", epilog=EXIT_CODES)
@click.option("--stale", is_flag=True, help="From whichever instance answers, also without a leader.")
@store_options
def list_(stale: bool, store: Store) -> None:
    """The queue, who is out, and the controllers."""
    found = store.ask(lambda client: client.call("maint_list", {"stale": stale}, store.within))
    lines = [_line(row) for row in found["orders"]] or ["no order is open"]
    lines += [f"       controller {name}: {state}" for name, state in sorted(found["controllers"].items())]
    if not found["current"]:
        lines.append(f"{found['instance']} is not current: this may be old")
    store.tell(found, "\n".join(lines))


def _find(store: Store, number: int) -> dict[str, Any]:
    found = store.ask(lambda client: client.call("maint_list", {}, store.within))
    for row in (*found["orders"], *found["ended"]):
        if row["order"] == number:
            return dict(row)
    store.fail(f"no order {number} is kept", "refused")


@maint.command(epilog=EXIT_CODES)
@click.argument("order", type=int)
@store_options
def show(order: int, store: Store) -> None:
    """One order, with when it came to each state."""
    row = _find(store, order)
    lines = [_line(row), *(f"       {_when(s['at'])}  {s['state']}" for s in row["steps"])]
    if row["gone"]:
        lines.append(f"       gone when it went out: {', '.join(row['gone'])}")
    store.tell(row, "\n".join(lines))


@maint.command(epilog=EXIT_CODES)
@click.argument("order", type=int)
@store_options
def explain(order: int, store: Store) -> None:
    """Why an order is not further than it is."""
    row = _find(store, order)
    text = row["why"] or {"out": "it is out: 'harepick maint done' brings it back"}.get(
        row["state"], "nothing holds it" if row["state"] in ("waiting", "leaving") else "it has ended"
    )
    store.tell(row, f"order {order} ({row['machine']}) is {row['state']}: {text}")


def _end(method: str, order: int, store: Store) -> None:
    arguments = {"order": order, "by": author()}
    found = store.ask(lambda client: client.call(method, arguments, store.within))
    store.tell(found, f"order {order} is {found['state']}")


@maint.command(epilog=EXIT_CODES)
@click.argument("order", type=int)
@store_options
def done(order: int, store: Store) -> None:
    """The work is done: the machine comes back."""
    _end("maint_done", order, store)


@maint.command(epilog=EXIT_CODES)
@click.argument("order", type=int)
@store_options
def cancel(order: int, store: Store) -> None:
    """Take an order back, whatever it has come to."""
    _end("maint_cancel", order, store)
