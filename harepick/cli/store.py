"""`harepick store`: replicas, members, and the folder of one."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import click

from harepick.cli.common import EXIT_CODES, REFUSED, USAGE, Store, fail, store_options
from harepick.settings import SettingsError

if TYPE_CHECKING:
    from harepick.store.client import StoreClient
    from harepick.store.settings import StoreSettings


@click.group(epilog=EXIT_CODES)
def store() -> None:
    """Set up and look after the replicated store."""


def _settings(operator: str) -> StoreSettings:
    from harepick.settings import read_toml
    from harepick.store.settings import read_store

    try:
        settings = read_store(read_toml(operator))
    except SettingsError as error:
        fail(str(error), USAGE)
    if settings is None:
        fail(f"file {operator} has no [store]", USAGE)
    return settings


_operator = click.option(
    "--operator",
    envvar="HAREPICK_OPERATOR",
    required=True,
    metavar="FILE",
    help="Operator's file with [store].",
)
_json = click.option("--json", "as_json", is_flag=True, help="Answer as JSON.")


@store.command()
@_operator
@click.option("--join", is_flag=True, help="For a cluster that runs: this replica waits to be added.")
@_json
def init(operator: str, join: bool, as_json: bool) -> None:
    """Make this replica's folder.

    Without --join, for the first start of a new cluster: run it once on each of its members. A folder that
    was lost is not made again under the old name: remove that replica, and add a new one that was made with
    --join.
    """
    from harepick.store.disk.files import StorageError
    from harepick.store.replica import initialize_replica

    settings = _settings(operator)
    try:
        identity = initialize_replica(settings, join=join)
    except StorageError as error:
        fail(str(error), REFUSED)
    told = {"cluster": identity.cluster, "replica": identity.replica, "folder": settings.folder, "join": join}
    after = "start it, and add it with 'harepick store add'" if join else "start all members"
    Store(None, (), None, 1.0, as_json).tell(
        told, f"replica {identity.replica} in {settings.folder}; now {after}"
    )


@store.command()
@store_options
def status(store: Store) -> None:
    """Tell how each member is, as it sees itself. Exit code 3 if no leader is heard of."""

    async def all_of_them(client: StoreClient) -> list[dict[str, Any]]:
        from harepick.settings import parse_address
        from harepick.store.client import StoreClient as Client
        from harepick.store.client import StoreError

        first = await client.call("status", {}, store.within)
        rows = [first]
        for member in first["members"]:
            if member["replica"] == first["replica"]:
                continue
            async with Client(first["cluster"], [parse_address(member["address"], "member")]) as other:
                try:
                    rows.append(await other.call("status", {}, min(1.0, store.within)))
                except StoreError as error:
                    rows.append({"replica": member["replica"], "role": "unreachable", "error": str(error)})
        return sorted(rows, key=lambda row: str(row["replica"]))

    rows = store.ask(all_of_them)
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
    store.tell(rows, "\n".join(lines))
    if not any(row.get("leader") for row in rows):
        store.fail("no replica hears a leader", "not_leader")


@store.command()
@store_options
def members(store: Store) -> None:
    """List the members as the store knows them."""
    found = store.ask(lambda c: c.call("status", {}, store.within))
    kinds = {True: "voter", False: "learner"}
    rows = found["members"] + [row | {"voter": False} for row in found["absent"]]
    lines = [
        f"{m['replica']:<12} {m['address']:<24} "
        + (f"{m['state']}: {m['why']}" if "state" in m else kinds[m["voter"]])
        for m in rows
    ]
    store.tell(rows, "\n".join(lines))


@store.command()
@click.argument("replica")
@click.argument("address")
@store_options
def add(store: Store, replica: str, address: str) -> None:
    """Add REPLICA, which runs at ADDRESS in a folder made with 'store init --join'.

    It learns first, and votes once it has caught up."""
    arguments = {"replica": replica, "address": address}
    found = store.ask(lambda c: c.call("add", arguments, store.within))
    store.tell(found, f"{replica} added as a learner; 'harepick store members' tells when it votes")


@store.command()
@click.argument("replica")
@store_options
def remove(store: Store, replica: str) -> None:
    """Remove REPLICA for good: its name and folder are not let in again.

    Also one that the fleet dropped by itself, so that it is not taken back when it returns."""
    found = store.ask(lambda c: c.call("remove", {"replica": replica}, store.within))
    store.tell(found, f"{replica} removed")


@store.command()
@click.argument("replica")
@store_options
def transfer(store: Store, replica: str) -> None:
    """Have REPLICA lead, before work on the one that leads now."""
    found = store.ask(lambda c: c.call("transfer", {"replica": replica}, store.within))
    store.tell(found, f"{replica} leads")


@store.command()
@store_options
def snapshot(store: Store) -> None:
    """Have the replica that is asked write a snapshot now, and drop the log before it."""
    found = store.ask(lambda c: c.call("snapshot", {}, store.within))
    store.tell(found, f"snapshot of entry {found['index']}")


def _read(operator: str) -> Any:
    """What a folder holds; the replica must not run."""
    from harepick.store.disk.files import OsFiles, StorageError
    from harepick.store.disk.storage import Storage

    settings = _settings(operator)
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
@_operator
@_json
def verify(operator: str, as_json: bool) -> None:
    """Read the folder of a replica that does not run, and check every byte; nothing is written.

    Exit code 1, with file and offset, for what a start would refuse."""
    found = _read(operator)
    last = found.entries[-1].index if found.entries else found.snapshot.index
    told = {
        "cluster": found.identity.cluster,
        "replica": found.identity.replica,
        "term": found.hard.term,
        "snapshot": found.snapshot.index,
        "last": last,
        "notes": found.notes,
    }
    lines = [
        f"replica {told['replica']}: snapshot {told['snapshot']}, entries to {last}, term {told['term']}"
    ]
    Store(None, (), None, 1.0, as_json).tell(told, "\n".join([*lines, *found.notes]))


@store.command()
@_operator
@click.option("--revision", type=int, help="Print this revision's text alone (0: the latest).")
def dump(operator: str, revision: int | None) -> None:
    """Print what the folder of a stopped replica holds, one JSON object a line.

    The way to a configuration when no majority is left: 'store dump --revision 0'. Entries behind the
    snapshot may never have been acknowledged."""
    import orjson

    from harepick.store.raft.messages import Kind
    from harepick.store.state_machine import FormatError, StateMachine

    found = _read(operator)
    machine = StateMachine()
    try:
        if found.snapshot.data:
            machine.restore(found.snapshot.data)
        for entry in found.entries:
            if entry.kind == Kind.COMMAND:
                machine.apply(entry.index, entry.data)
    except FormatError as error:
        fail(str(error), REFUSED)
    if revision is not None:
        kept = machine.revision(revision) if revision else machine.latest
        if kept is None:
            fail(f"revision {revision} is not in this folder", REFUSED)
        sys.stdout.write(kept.text)
        return
    for each in reversed(machine.history()):
        row = {"revision": each.number, "index": each.index, "author": each.author, "at": each.at}
        click.echo(orjson.dumps(row | {"note": each.note, "text": each.text}).decode())
    for name, view in machine.views.items():
        rows = [{"server": r.server, "state": r.state, "address": r.address} for r in view.rows]
        click.echo(orjson.dumps({"view": name, "at": view.at, "rows": rows}).decode())
