"""One replica on a real folder, with a disk that the test blocks or fails."""

from __future__ import annotations

import threading
from pathlib import Path
from typing import Any

import anyio
import pytest

from harepick.counters import Counters
from harepick.fleet.membership.absences import DROPPED, LEAVING, SetMemberState
from harepick.fleet.ports import free_port
from harepick.log import Log
from harepick.store.operator_api import OperatorApi
from harepick.store.raft.core import BadChangeError
from harepick.store.replica import Replica, StoreUnavailableError
from harepick.store.settings import read_store
from harepick.store.state_machine import Envelope, Put
from harepick.store.wire import Hello


def open_replica(folder: Path) -> Replica:
    listen = f"127.0.0.1:{free_port()}"
    settings = read_store({"store": {"folder": str(folder), "listen": listen}})
    assert settings is not None
    replica = Replica(settings, Counters(), Log())
    replica.open()
    return replica


async def put_revision(replica: Replica, number: int) -> None:
    await replica.change(Envelope("s", number, Put(f"text {number}")), 10.0)


async def wait_until(condition: Any) -> None:
    with anyio.fail_after(10):
        while not condition():
            await anyio.sleep(0.005)


def test_a_snapshot_requested_during_a_write_holds_everything_applied_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request during a write must not be answered with the index of an older snapshot."""

    async def scenario() -> None:
        replica = open_replica(tmp_path)
        write_started, write_released = threading.Event(), threading.Event()
        write = replica._storage.write

        def blocked_write(*arguments: Any) -> None:
            write_started.set()
            assert write_released.wait(10)
            write(*arguments)

        async with anyio.create_task_group() as tasks:
            await tasks.start(replica.run)
            await wait_until(replica.may_act)
            await put_revision(replica, 1)
            applied = replica.node.state_machine.applied
            monkeypatch.setattr(replica._storage, "write", blocked_write)
            tasks.start_soon(put_revision, replica, 2)
            await wait_until(write_started.is_set)
            snapshots: list[int] = []

            async def request_snapshot() -> None:
                snapshots.append(await replica.snapshot(10.0))

            tasks.start_soon(request_snapshot)
            await wait_until(lambda: replica._snapshot_waiters)
            assert not snapshots
            write_released.set()
            await wait_until(lambda: snapshots)
            assert snapshots[0] >= applied
            assert (tmp_path / f"snap-{snapshots[0]}").exists()
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


def test_a_snapshot_request_fails_when_the_disk_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Waiting requests must get an error when the replica stops, rather than run into their timeout."""

    async def scenario() -> None:
        replica = open_replica(tmp_path)

        def fail_with_full_disk(*arguments: Any) -> None:
            raise OSError("no space left")

        async with anyio.create_task_group() as tasks:
            await tasks.start(replica.run)
            await wait_until(replica.may_act)
            await put_revision(replica, 1)
            monkeypatch.setattr(replica._storage, "save", fail_with_full_disk)
            with pytest.raises(StoreUnavailableError, match="this replica has stopped"):
                await replica.snapshot(10.0)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


def test_a_rejoin_attempt_counts_only_with_the_pinned_folder(tmp_path: Path) -> None:
    """A wiped replica has lost its votes, so one with another folder must not be taken back by its name."""

    async def scenario() -> None:
        replica = open_replica(tmp_path)
        transport, identity = replica.transport, replica.identity
        transport._pins["c"] = "its folder"
        transport._is_member = lambda name: False  # "c" has been dropped
        for name, folder in (("c", "another folder"), ("d", "its folder")):
            reason = await transport._rejection_reason(Hello("peer", identity.cluster, name, folder))
            assert "no member" in reason and not replica.rejoin_attempts
        assert "no member" in await transport._rejection_reason(
            Hello("peer", identity.cluster, "c", "its folder")
        )
        assert replica.rejoin_attempts.keys() == {"c"}

    anyio.run(scenario)


def test_remove_takes_a_dropped_member_off_the_absence_list(tmp_path: Path) -> None:
    """A member on the absence list is added again when it returns, unless an operator has removed it."""

    async def scenario() -> None:
        replica = open_replica(tmp_path)
        api = OperatorApi(replica, Counters())
        async with anyio.create_task_group() as tasks:
            await tasks.start(replica.run)
            await wait_until(replica.may_act)
            for state, version in ((LEAVING, 0), (DROPPED, 1)):
                await replica.change(
                    Envelope("", 0, SetMemberState("c", state, version, address="127.0.0.1:1")), 5.0
                )
            assert replica.status()["absent"][0]["replica"] == "c"
            assert (await api.remove({"replica": "c"}, 5.0))["index"] > 0
            assert not replica.status()["absent"]
            with pytest.raises(BadChangeError, match="is no member"):
                await api.remove({"replica": "c"}, 5.0)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
