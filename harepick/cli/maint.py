"""`harepick maint`: requests, shows and ends maintenance orders; the controllers schedule them."""

from __future__ import annotations

import time
from collections.abc import Mapping
from datetime import datetime
from typing import Any

import click

from harepick.cli.common import EXIT_CODES, USAGE, StoreAccess, author, fail, store_options


@click.group(epilog=EXIT_CODES)
def maint() -> None:
    """Take machines out for maintenance, and bring them back.

    MACHINE is a server's name, server:NAME or controller:NAME. The controllers agree on which goes out
    next, within the budget of [maintenance] in the configuration."""


def _parse_window(text: str | None) -> tuple[float | None, float | None]:
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


def _format_order(row: Mapping[str, Any]) -> str:
    reason = f"  ({row['reason']})" if row["reason"] else ""
    delay = f"  - {row['why']}" if row["why"] else ""
    return f"{row['order']:>5}  {row['machine']:<24} {row['state']:<9} {row['by']}{reason}{delay}"


def _format_time(at: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at))


@maint.command(epilog=EXIT_CODES)
@click.argument("machine")
@click.option("--reason", default="", help="Shown with the order.")
@click.option("--window", metavar="FROM/TO", help="ISO 8601 times between which it may go out.")
@click.option("--priority", default=0, help="Orders with a higher priority go first.")
@store_options
def request(machine: str, reason: str, window: str | None, priority: int, store: StoreAccess) -> None:
    """Request maintenance of MACHINE; it goes out when the controllers allow it."""
    opens, closes = _parse_window(window)
    arguments = {"machine": machine, "reason": reason, "by": author(), "priority": priority}
    arguments |= {"opens": opens, "closes": closes}
    result = store.request(lambda client: client.call("maint_request", arguments, store.timeout_s))
    store.print_result(result, f"order {result['order']}: {machine} is {result['state']}")


@maint.command("list", epilog=EXIT_CODES)
@click.option("--stale", is_flag=True, help="As the answering instance knows it, also without a leader.")
@store_options
def list_(stale: bool, store: StoreAccess) -> None:
    """List the open orders, and the state of each controller."""
    result = store.request(lambda client: client.call("maint_list", {"stale": stale}, store.timeout_s))
    lines = [_format_order(row) for row in result["orders"]] or ["no order is open"]
    lines += [f"       controller {name}: {state}" for name, state in sorted(result["controllers"].items())]
    if not result["current"]:
        lines.append(f"{result['instance']} is not current: this may be out of date")
    store.print_result(result, "\n".join(lines))


def _find_order(store: StoreAccess, number: int) -> dict[str, Any]:
    result = store.request(lambda client: client.call("maint_list", {}, store.timeout_s))
    for row in (*result["orders"], *result["ended"]):
        if row["order"] == number:
            return dict(row)
    store.fail(f"no order {number} is kept", "refused")


@maint.command(epilog=EXIT_CODES)
@click.argument("order", type=int)
@store_options
def show(order: int, store: StoreAccess) -> None:
    """Show one order, with the time of each of its states."""
    row = _find_order(store, order)
    lines = [_format_order(row), *(f"       {_format_time(s['at'])}  {s['state']}" for s in row["steps"])]
    if row["gone"]:
        lines.append(f"       controllers that were gone when it went out: {', '.join(row['gone'])}")
    store.print_result(row, "\n".join(lines))


@maint.command(epilog=EXIT_CODES)
@click.argument("order", type=int)
@store_options
def explain(order: int, store: StoreAccess) -> None:
    """Show why an order does not go on."""
    row = _find_order(store, order)
    text = row["why"] or {"out": "it is out: 'harepick maint done' brings it back"}.get(
        row["state"], "nothing delays it" if row["state"] in ("waiting", "leaving") else "it has ended"
    )
    store.print_result(row, f"order {order} ({row['machine']}) is {row['state']}: {text}")


def _end_order(method: str, order: int, store: StoreAccess) -> None:
    arguments = {"order": order, "by": author()}
    result = store.request(lambda client: client.call(method, arguments, store.timeout_s))
    store.print_result(result, f"order {order} is {result['state']}")


@maint.command(epilog=EXIT_CODES)
@click.argument("order", type=int)
@store_options
def done(order: int, store: StoreAccess) -> None:
    """Report that the work is done: the machine comes back."""
    _end_order("maint_done", order, store)


@maint.command(epilog=EXIT_CODES)
@click.argument("order", type=int)
@store_options
def cancel(order: int, store: StoreAccess) -> None:
    """Cancel an order, whatever its state."""
    _end_order("maint_cancel", order, store)
