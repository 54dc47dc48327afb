"""`harepick store`: status and membership of the replicated store, and the folders of its replicas."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import click

from harepick.cli.common import EXIT_CODES, REFUSED, USAGE, StoreAccess, fail, store_options
from harepick.settings import SettingsError

if TYPE_CHECKING:
    from harepick.store.client import StoreClient
    from harepick.store.settings import StoreSettings


@click.group(epilog=EXIT_CODES)
def store() -> None:
    """Set up and maintain the replicated store."""


def _read_settings(operator: str) -> StoreSettings:
    from harepick.settings import read_toml
    from harepick.store.settings import read_store

    try:
        settings = read_store(read_toml(operator))
    except SettingsError as error:
        fail(str(error), USAGE)
    if settings is None:
        fail(f"file {operator} has no [store]", USAGE)
    return settings


_operator_option = click.option(
    "--operator",
    envvar="HAREPICK_OPERATOR",
    required=True,
    metavar="FILE",
    help="Operator's file with [store].",
)
_json_option = click.option("--json", "as_json", is_flag=True, help="Answer as JSON.")


@store.command()
@_operator_option
@click.option("--join", is_flag=True, help="Join a running cluster: this replica waits to be added.")
@_json_option
def init(operator: str, join: bool, as_json: bool) -> None:
    """Create this replica's folder.

    Without --join, for the first start of a new cluster: run it once on each of its members. A lost folder
    must not be created again under the old name: remove that replica, and add a new one created with --join.
    """
    from harepick.store.disk.files import StorageError
    from harepick.store.replica import initialize_replica

    settings = _read_settings(operator)
    try:
        identity = initialize_replica(settings, join=join)
    except StorageError as error:
        fail(str(error), REFUSED)
    summary = {
        "cluster": identity.cluster,
        "replica": identity.replica,
        "folder": settings.folder,
        "join": join,
    }
    next_step = "start it, and add it with 'harepick store add'" if join else "start all members"
    StoreAccess(None, (), None, 1.0, as_json).print_result(
        summary, f"replica {identity.replica} in {settings.folder}; now {next_step}"
    )


@store.command()
@store_options
def status(store: StoreAccess) -> None:
    """Show the state of each member, as it reports it. Exit code 3 if none knows a leader."""

    async def ask_members(client: StoreClient) -> list[dict[str, Any]]:
        from harepick.settings import parse_address
        from harepick.store.client import StoreClient as Client
        from harepick.store.client import StoreError

        first = await client.call("status", {}, store.timeout_s)
        rows = [first]
        for member in first["members"]:
            if member["replica"] == first["replica"]:
                continue
            async with Client(first["cluster"], [parse_address(member["address"], "member")]) as other:
                try:
                    rows.append(await other.call("status", {}, min(1.0, store.timeout_s)))
                except StoreError as error:
                    rows.append({"replica": member["replica"], "role": "unreachable", "error": str(error)})
        return sorted(rows, key=lambda row: str(row["replica"]))

    rows = store.request(ask_members)
    lines = [
        f"{'replica':<12} {'role':<13} {'term':>5} {'commit':>8} {'durable':>8} {'revision':>8}  current"
    ]
    for row in rows:
        if "term" not in row:
            lines.append(f"{row['replica']:<12} {row['role']:<13} {row['error']}")
            continue
        current = f"yes, {row['lease_left_ms']} ms" if row["current"] else "no"
        lines.append(
            f"{row['replica']:<12} {row['role']:<13} {row['term']:>5} {row['commit']:>8} {row['durable']:>8} "
            f"{row['revision']:>8}  {current}" + (f"  ({row['stopped']})" if row["stopped"] else "")
        )
    store.print_result(rows, "\n".join(lines))
    if not any(row.get("leader") for row in rows):
        store.fail("no replica knows a leader", "not_leader")


@store.command()
@store_options
def members(store: StoreAccess) -> None:
    """List the members, with those that are absent."""
    found = store.request(lambda client: client.call("status", {}, store.timeout_s))
    role_names = {True: "voter", False: "learner"}
    rows = found["members"] + [row | {"voter": False} for row in found["absent"]]
    lines = [
        f"{m['replica']:<12} {m['address']:<24} "
        + (f"{m['state']}: {m['why']}" if "state" in m else role_names[m["voter"]])
        for m in rows
    ]
    store.print_result(rows, "\n".join(lines))


@store.command()
@click.argument("replica")
@click.argument("address")
@store_options
def add(store: StoreAccess, replica: str, address: str) -> None:
    """Add REPLICA, which runs at ADDRESS in a folder created with 'store init --join'.

    It joins as a learner, and becomes a voter once it has caught up."""
    arguments = {"replica": replica, "address": address}
    found = store.request(lambda client: client.call("add", arguments, store.timeout_s))
    store.print_result(found, f"{replica} added as a learner; 'harepick store members' shows when it votes")


@store.command()
@click.argument("replica")
@store_options
def remove(store: StoreAccess, replica: str) -> None:
    """Remove REPLICA for good: its name and folder are not accepted again.

    Works also for one that the fleet dropped, so that it is not added again when it returns."""
    found = store.request(lambda client: client.call("remove", {"replica": replica}, store.timeout_s))
    store.print_result(found, f"{replica} removed")


@store.command()
@click.argument("replica")
@store_options
def transfer(store: StoreAccess, replica: str) -> None:
    """Make REPLICA the leader, for example before maintenance of the current one."""
    found = store.request(lambda client: client.call("transfer", {"replica": replica}, store.timeout_s))
    store.print_result(found, f"{replica} leads")


@store.command()
@store_options
def snapshot(store: StoreAccess) -> None:
    """Make the replica that answers write a snapshot now, and drop the log before it."""
    found = store.request(lambda client: client.call("snapshot", {}, store.timeout_s))
    store.print_result(found, f"snapshot of entry {found['index']}")


def _read_folder(operator: str) -> Any:
    """Reads a replica's folder; the replica must not run. Ends the program with an error if that fails."""
    from harepick.store.disk.files import OsFiles, StorageError
    from harepick.store.disk.storage import Storage

    settings = _read_settings(operator)
    storage = Storage(OsFiles(settings.folder))
    try:
        return storage.open(write=False)
    except StorageError as error:
        fail(str(error), REFUSED)
    except OSError as error:
        fail(f"{settings.folder}: {error}", REFUSED)
    finally:
        storage.close()


@store.command()
@_operator_option
@_json_option
def verify(operator: str, as_json: bool) -> None:
    """Read the folder of a replica that does not run, and check every byte; nothing is written.

    Exit code 1, with file and offset, if a start would refuse the folder."""
    found = _read_folder(operator)
    last = found.entries[-1].index if found.entries else found.snapshot.index
    summary = {
        "cluster": found.identity.cluster,
        "replica": found.identity.replica,
        "term": found.hard.term,
        "snapshot": found.snapshot.index,
        "last": last,
        "notes": found.notes,
    }
    lines = [
        f"replica {summary['replica']}: snapshot {summary['snapshot']}, "
        f"entries to {last}, term {summary['term']}"
    ]
    StoreAccess(None, (), None, 1.0, as_json).print_result(summary, "\n".join([*lines, *found.notes]))


@store.command()
@_operator_option
@click.option("--revision", type=int, help="Print only the text of this revision (0: the latest).")
def dump(operator: str, revision: int | None) -> None:
    """Print the contents of a stopped replica's folder, one JSON object a line.

    Recovers the configuration when no majority is left: 'store dump --revision 0'. Entries after the
    snapshot may never have been acknowledged."""
    import orjson

    from harepick.store.raft.messages import EntryKind
    from harepick.store.state_machine import FormatError, StateMachine

    found = _read_folder(operator)
    state_machine = StateMachine()
    try:
        if found.snapshot.data:
            state_machine.restore(found.snapshot.data)
        for entry in found.entries:
            if entry.kind == EntryKind.COMMAND:
                state_machine.apply(entry.index, entry.data)
    except FormatError as error:
        fail(str(error), REFUSED)
    if revision is not None:
        found_revision = state_machine.revision(revision) if revision else state_machine.latest
        if found_revision is None:
            fail(f"revision {revision} is not in this folder", REFUSED)
        sys.stdout.write(found_revision.text)
        return
    for kept in reversed(state_machine.history()):
        row = {"revision": kept.number, "index": kept.index, "author": kept.author, "at": kept.at}
        click.echo(orjson.dumps(row | {"note": kept.note, "text": kept.text}).decode())
    for name, view in state_machine.views.items():
        rows = [{"server": r.server, "state": r.state, "address": r.address} for r in view.rows]
        click.echo(orjson.dumps({"view": name, "at": view.at, "rows": rows}).decode())
