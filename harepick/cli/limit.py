"""`harepick limit` and `harepick verdict`: what holds for the whole fleet."""

from __future__ import annotations

from typing import Any

import click

from harepick.cli.common import EXIT_CODES, USAGE, Store, author, fail, store_options
from harepick.cli.toml_rows import changed, put, without


@click.group(epilog=EXIT_CODES)
def limit() -> None:
    """Limits that hold over all instances together."""


@limit.command("set", epilog=EXIT_CODES)
@click.argument("name")
@click.option("--per-s", type=float, required=True, help="Calls a second, over the fleet.")
@click.option("--burst-s", type=float, help="Seconds of an unused share that may be saved up. [1]")
@click.option("--prefix", "prefixes", multiple=True, help="Of called numbers; may be given again.")
@click.option("--callers", multiple=True, help="A network of caller addresses; may be given again.")
@click.option("--class", "call_class", help="A class of call.")
@click.option("--each", type=click.Choice(["caller"]), help="Each caller address has the limit for itself.")
@click.option("--reason", help="Told to whoever asks.")
@click.option("--dry-run", is_flag=True, help="Print the configuration it would become, and change nothing.")
@store_options
def set_(
    name: str,
    per_s: float,
    burst_s: float | None,
    prefixes: tuple[str, ...],
    callers: tuple[str, ...],
    call_class: str | None,
    each: str | None,
    reason: str | None,
    dry_run: bool,
    store: Store,
) -> None:
    """Set limit NAME in the store's configuration, or change it; what is not given stays as it was."""
    from harepick.settings import SettingsError, read_store_config

    found = store.ask(lambda client: client.call("get", {}, store.within))
    wanted: dict[str, Any] = {"id": name, "per_s": per_s, "burst_s": burst_s, "class": call_class}
    wanted |= {"prefixes": list(prefixes) or None, "callers": list(callers) or None, "each": each}
    wanted["reason"] = reason
    text = changed(found["text"], "limit", {key: value for key, value in wanted.items() if value is not None})
    try:
        read_store_config(text)
    except SettingsError as error:
        fail(f"{error}; nothing was changed", USAGE)
    if dry_run:
        click.echo(text, nl=False)
        return
    revision = put(store, text, found["revision"], f"limit {name}: {per_s:g} a second")
    store.tell({"revision": revision}, f"limit {name} is {per_s:g} a second from revision {revision} on")


@limit.command(epilog=EXIT_CODES)
@click.argument("name")
@store_options
def lift(name: str, store: Store) -> None:
    """Take limit NAME out of the configuration."""
    found = store.ask(lambda client: client.call("get", {}, store.within))
    text = without(found["text"], "limit", name)
    if text is None:
        store.fail(f"no limit {name} is set", "refused")
    revision = put(store, text, found["revision"], f"limit {name}: lifted")
    store.tell({"revision": revision}, f"limit {name} is lifted from revision {revision} on")


def _rows(store: Store, stale: bool = False) -> dict[str, Any]:
    return dict(store.ask(lambda client: client.call("limit_list", {"stale": stale}, store.within)))


def _line(row: dict[str, Any]) -> str:
    shares = ", ".join(f"{name} {share:.2f}" for name, share in sorted(row["shares"].items()))
    reason = f"  ({row['reason']})" if row["reason"] else ""
    rate = f"{row['per_s']:g}/s" + (" for each caller" if row["each"] else "")
    return f"{row['id']:<20} {rate}  {shares or 'not shared out yet'}{reason}"


@limit.command("list", epilog=EXIT_CODES)
@click.option("--stale", is_flag=True, help="From whichever instance answers, also without a leader.")
@store_options
def list_(stale: bool, store: Store) -> None:
    """All limits, and who holds what of them."""
    found = _rows(store, stale)
    store.tell(found, "\n".join(_line(row) for row in found["limits"]) or "no limit is set")


@limit.command(epilog=EXIT_CODES)
@click.argument("name")
@store_options
def show(name: str, store: Store) -> None:
    """One limit: shares, demand, what is on its way, and what the answering instance spent."""
    row = next((row for row in _rows(store)["limits"] if row["id"] == name), None)
    if row is None:
        store.fail(f"no limit {name} is set", "refused")
    lines = [_line(row)]
    for instance in sorted(row["shares"] | row["demand"] | row["owed"]):
        share, owed = row["shares"].get(instance, 0.0), row["owed"].get(instance, 0.0)
        lines.append(
            f"    {instance}: share {share:.2f}, offered {row['demand'].get(instance, 0.0):.2f}/s"
            + (f", {owed:.2f} on its way back" if owed else "")
        )
    for caller, held in sorted(row["callers"].items()):
        told = ", ".join(f"{name} {share:.2f}" for name, share in sorted(held.items()))
        lines.append(f"    {caller} by name: {told or 'nothing yet'}")
    lines.append(f"    free: {row['free']:.2f}/s")
    store.tell(row, "\n".join(lines))


@limit.command(epilog=EXIT_CODES)
@click.argument("number")
@click.option("--class", "call_class", default="look-up", show_default=True, help="The call's class.")
@click.option("--source", default="", help="The caller's address.")
@store_options
def explain(number: str, call_class: str, source: str, store: Store) -> None:
    """Which limits and verdicts a call to NUMBER would meet."""
    from harepick.fleet.limits.limit_buckets import in_networks
    from harepick.settings import read_store_config

    text = store.ask(lambda client: client.call("get", {}, store.within))["text"]
    met = [row.id for row in read_store_config(text).limits if row.applies_to(number, call_class, source)]
    found = _rows(store)
    blocked = [
        v["subject"]
        for v in found["verdicts"]
        if v["kind"] == "blocked" and in_networks(source, (v["subject"],))
    ]
    lines = [_line(row) for row in found["limits"] if row["id"] in met]
    lines += [f"a verdict blocks callers of {subject}" for subject in blocked]
    answer = {"number": number, "limits": met, "blocked": blocked}
    store.tell(answer, "\n".join(lines) or f"{number} meets no limit")


@click.group(epilog=EXIT_CODES)
def verdict() -> None:
    """What one controller, or an operator, found out, and all honour."""


@verdict.command("list", epilog=EXIT_CODES)
@click.option("--stale", is_flag=True, help="From whichever instance answers, also without a leader.")
@store_options
def list_verdicts(stale: bool, store: Store) -> None:
    """The verdicts that hold."""
    rows = _rows(store, stale)["verdicts"]
    lines = [
        f"{r['verdict']:>5}  {r['kind']:<10} {r['subject']:<18} {r['ttl_s']:g} s, {r['origin']}  {r['why']}"
        for r in rows
    ]
    store.tell(rows, "\n".join(lines) or "no verdict holds")


@verdict.command(epilog=EXIT_CODES)
@click.argument("kind", type=click.Choice(["failed", "overloaded", "blocked"]))
@click.argument("subject")
@click.option("--for", "ttl", default=60.0, show_default=True, help="Seconds.")
@click.option("--why", default="", help="Told to whoever asks.")
@store_options
def judge(kind: str, subject: str, ttl: float, why: str, store: Store) -> None:
    """Judge a server (failed, overloaded) or block a caller's address or network.

    Returns once every instance that may act honours it."""
    arguments = {"kind": kind, "subject": subject, "ttl": ttl, "why": why, "by": author()}
    found = store.ask(lambda client: client.call("verdict_judge", arguments, store.within))
    store.tell(found, f"verdict {found['verdict']}: {subject} is {kind} for {ttl:g} s")


@verdict.command("lift", epilog=EXIT_CODES)
@click.argument("number", type=int)
@store_options
def lift_verdict(number: int, store: Store) -> None:
    """End a verdict now."""
    arguments = {"verdict": number, "by": author()}
    store.ask(lambda client: client.call("verdict_lift", arguments, store.within))
    store.tell({"verdict": number}, f"verdict {number} is lifted")
