"""`harepick limit` and `harepick verdict`: limits and verdicts that apply to the whole fleet."""

from __future__ import annotations

from typing import Any

import click

from harepick.cli.common import EXIT_CODES, USAGE, StoreAccess, author, fail, store_options
from harepick.cli.toml_rows import commit_config, with_row, without_row


@click.group(epilog=EXIT_CODES)
def limit() -> None:
    """Set, lift and show limits that apply to all instances together."""


@limit.command("set", epilog=EXIT_CODES)
@click.argument("name")
@click.option("--per-s", type=float, required=True, help="Calls a second, over the whole fleet.")
@click.option("--burst-s", type=float, help="Seconds of unused share that a token bucket holds. [1]")
@click.option("--prefix", "prefixes", multiple=True, help="A prefix of the numbers called; may be repeated.")
@click.option("--callers", multiple=True, help="A network of caller addresses; may be repeated.")
@click.option("--class", "call_class", help="A class of call.")
@click.option(
    "--each", type=click.Choice(["caller"]), help="Apply the limit to each caller address separately."
)
@click.option("--reason", help="Shown with the limit.")
@click.option("--dry-run", is_flag=True, help="Print the new configuration, and change nothing.")
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
    store: StoreAccess,
) -> None:
    """Set or change limit NAME in the store's configuration; options not given stay as they were."""
    from harepick.settings import SettingsError, read_store_config

    found = store.request(lambda client: client.call("get", {}, store.timeout_s))
    keys: dict[str, Any] = {"id": name, "per_s": per_s, "burst_s": burst_s, "class": call_class}
    keys |= {"prefixes": list(prefixes) or None, "callers": list(callers) or None, "each": each}
    keys["reason"] = reason
    text = with_row(found["text"], "limit", {key: value for key, value in keys.items() if value is not None})
    try:
        read_store_config(text)
    except SettingsError as error:
        fail(f"{error}; nothing was changed", USAGE)
    if dry_run:
        click.echo(text, nl=False)
        return
    revision = commit_config(store, text, found["revision"], f"limit {name}: {per_s:g} a second")
    store.print_result(
        {"revision": revision}, f"limit {name} is {per_s:g} a second from revision {revision} on"
    )


@limit.command(epilog=EXIT_CODES)
@click.argument("name")
@store_options
def lift(name: str, store: StoreAccess) -> None:
    """Remove limit NAME from the store's configuration."""
    found = store.request(lambda client: client.call("get", {}, store.timeout_s))
    text = without_row(found["text"], "limit", name)
    if text is None:
        store.fail(f"no limit {name} is set", "refused")
    revision = commit_config(store, text, found["revision"], f"limit {name}: lifted")
    store.print_result({"revision": revision}, f"limit {name} is lifted from revision {revision} on")


def _read_limits(store: StoreAccess, stale: bool = False) -> dict[str, Any]:
    """The limits and verdicts in effect; with `stale`, as the answering instance knows them."""
    return dict(store.request(lambda client: client.call("limit_list", {"stale": stale}, store.timeout_s)))


def _format_limit(row: dict[str, Any]) -> str:
    shares = ", ".join(f"{name} {share:.2f}" for name, share in sorted(row["shares"].items()))
    reason = f"  ({row['reason']})" if row["reason"] else ""
    rate = f"{row['per_s']:g}/s" + (" for each caller" if row["each"] else "")
    return f"{row['id']:<20} {rate}  {shares or 'no shares yet'}{reason}"


@limit.command("list", epilog=EXIT_CODES)
@click.option("--stale", is_flag=True, help="As the answering instance knows it, also without a leader.")
@store_options
def list_(stale: bool, store: StoreAccess) -> None:
    """List all limits with the shares of the instances."""
    found = _read_limits(store, stale)
    store.print_result(found, "\n".join(_format_limit(row) for row in found["limits"]) or "no limit is set")


@limit.command(epilog=EXIT_CODES)
@click.argument("name")
@store_options
def show(name: str, store: StoreAccess) -> None:
    """Show one limit: shares, demand, shares still to be returned, and use at the answering instance."""
    row = next((row for row in _read_limits(store)["limits"] if row["id"] == name), None)
    if row is None:
        store.fail(f"no limit {name} is set", "refused")
    lines = [_format_limit(row)]
    for instance in sorted(row["shares"] | row["demand"] | row["owed"]):
        share, owed = row["shares"].get(instance, 0.0), row["owed"].get(instance, 0.0)
        lines.append(
            f"    {instance}: share {share:.2f}, offered {row['demand'].get(instance, 0.0):.2f}/s"
            + (f", {owed:.2f} still to be returned" if owed else "")
        )
    for caller, caller_shares in sorted(row["callers"].items()):
        shares = ", ".join(f"{name} {share:.2f}" for name, share in sorted(caller_shares.items()))
        lines.append(f"    caller {caller}: {shares or 'no shares yet'}")
    lines.append(f"    free: {row['free']:.2f}/s")
    store.print_result(row, "\n".join(lines))


@limit.command(epilog=EXIT_CODES)
@click.argument("number")
@click.option("--class", "call_class", default="look-up", show_default=True, help="The call's class.")
@click.option("--source", default="", help="The caller's address.")
@store_options
def explain(number: str, call_class: str, source: str, store: StoreAccess) -> None:
    """Show which limits and verdicts apply to a call to NUMBER."""
    from harepick.fleet.limits.limit_buckets import in_networks
    from harepick.settings import read_store_config

    text = store.request(lambda client: client.call("get", {}, store.timeout_s))["text"]
    matching = [
        row.id for row in read_store_config(text).limits if row.applies_to(number, call_class, source)
    ]
    found = _read_limits(store)
    blocked = [
        v["subject"]
        for v in found["verdicts"]
        if v["kind"] == "blocked" and in_networks(source, (v["subject"],))
    ]
    lines = [_format_limit(row) for row in found["limits"] if row["id"] in matching]
    lines += [f"a verdict blocks callers of {subject}" for subject in blocked]
    answer = {"number": number, "limits": matching, "blocked": blocked}
    store.print_result(answer, "\n".join(lines) or f"no limit applies to {number}")


@click.group(epilog=EXIT_CODES)
def verdict() -> None:
    """Judgements of servers and callers, by an instance or an operator, that all instances follow."""


@verdict.command("list", epilog=EXIT_CODES)
@click.option("--stale", is_flag=True, help="As the answering instance knows it, also without a leader.")
@store_options
def list_verdicts(stale: bool, store: StoreAccess) -> None:
    """List the verdicts in effect."""
    rows = _read_limits(store, stale)["verdicts"]
    lines = [
        f"{r['verdict']:>5}  {r['kind']:<10} {r['subject']:<18} {r['ttl_s']:g} s, {r['origin']}  {r['why']}"
        for r in rows
    ]
    store.print_result(rows, "\n".join(lines) or "no verdict is in effect")


@verdict.command(epilog=EXIT_CODES)
@click.argument("kind", type=click.Choice(["failed", "overloaded", "blocked"]))
@click.argument("subject")
@click.option("--for", "ttl", default=60.0, show_default=True, help="Seconds until it expires.")
@click.option("--why", default="", help="Shown with the verdict.")
@store_options
def judge(kind: str, subject: str, ttl: float, why: str, store: StoreAccess) -> None:
    """Judge a server (failed, overloaded) or block a caller's address or network.

    Returns once every instance that may act follows it."""
    arguments = {"kind": kind, "subject": subject, "ttl": ttl, "why": why, "by": author()}
    found = store.request(lambda client: client.call("verdict_judge", arguments, store.timeout_s))
    store.print_result(found, f"verdict {found['verdict']}: {subject} is {kind} for {ttl:g} s")


@verdict.command("lift", epilog=EXIT_CODES)
@click.argument("number", type=int)
@store_options
def lift_verdict(number: int, store: StoreAccess) -> None:
    """End a verdict now."""
    arguments = {"verdict": number, "by": author()}
    store.request(lambda client: client.call("verdict_lift", arguments, store.timeout_s))
    store.print_result({"verdict": number}, f"verdict {number} is lifted")
