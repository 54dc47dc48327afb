"""The host of one replica on a real folder, with a disk that the test holds up."""

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


def replica(folder: Path) -> Replica:
    listen = f"127.0.0.1:{free_port()}"
    settings = read_store({"store": {"folder": str(folder), "listen": listen}})
    assert settings is not None
    made = Replica(settings, Counters(), Log())
    made.open()
    return made


async def change(made: Replica, number: int) -> None:
    await made.change(Envelope("s", number, Put(f"text {number}")), 10.0)


async def until(what: Any) -> None:
    with anyio.fail_after(10):
        while not what():
            await anyio.sleep(0.005)


def test_a_snapshot_that_is_asked_for_during_a_write_holds_what_was_applied_then(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Asked for at such a moment, an older snapshot's index was told as if this one had been made."""

    async def work() -> None:
        made = replica(tmp_path)
        held, go_on = threading.Event(), threading.Event()
        write = made._storage.write

        def slow(*what: Any) -> None:
            held.set()
            assert go_on.wait(10)
            write(*what)

        async with anyio.create_task_group() as tasks:
            await tasks.start(made.run)
            await until(made.may_act)
            await change(made, 1)
            applied = made.node.state_machine.applied
            monkeypatch.setattr(made._storage, "write", slow)
            tasks.start_soon(change, made, 2)
            await until(held.is_set)
            told: list[int] = []

            async def ask() -> None:
                told.append(await made.snapshot(10.0))

            tasks.start_soon(ask)
            await until(lambda: made._wanted)
            assert not told
            go_on.set()
            await until(lambda: told)
            assert told[0] >= applied
            assert (tmp_path / f"snap-{told[0]}").exists()
            tasks.cancel_scope.cancel()

    anyio.run(work)


def test_who_waits_for_a_snapshot_hears_when_the_disk_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        made = replica(tmp_path)

        def full(*what: Any) -> None:
            raise OSError("no space left")

        async with anyio.create_task_group() as tasks:
            await tasks.start(made.run)
            await until(made.may_act)
            await change(made, 1)
            monkeypatch.setattr(made._storage, "save", full)
            with pytest.raises(StoreUnavailableError, match="stepped aside"):
                await made.snapshot(10.0)
            tasks.cancel_scope.cancel()

    anyio.run(work)


def test_only_who_comes_back_with_the_folder_that_was_pinned_is_heard_to_knock(tmp_path: Path) -> None:
    """A wiped folder under an old name has forgotten its votes: it is not taken back."""

    async def work() -> None:
        made = replica(tmp_path)
        line, me = made.transport, made.identity
        line._pins["c"] = "its folder"
        line._may_speak = lambda name: False  # as after it was dropped
        for name, folder in (("c", "another folder"), ("d", "its folder")):
            told = await line._unwelcome(Hello("peer", me.cluster, name, folder))
            assert "no member" in told and not made.rejoin_attempts
        assert "no member" in await line._unwelcome(Hello("peer", me.cluster, "c", "its folder"))
        assert made.rejoin_attempts.keys() == {"c"}

    anyio.run(work)


def test_one_that_the_fleet_dropped_is_taken_off_for_good_by_remove(tmp_path: Path) -> None:
    async def work() -> None:
        made = replica(tmp_path)
        desk = OperatorApi(made, Counters())
        async with anyio.create_task_group() as tasks:
            await tasks.start(made.run)
            await until(made.may_act)
            for state, version in ((LEAVING, 0), (DROPPED, 1)):
                await made.change(
                    Envelope("", 0, SetMemberState("c", state, version, address="127.0.0.1:1")), 5.0
                )
            assert made.status()["absent"][0]["replica"] == "c"
            assert (await desk.remove({"replica": "c"}, 5.0))["index"] > 0
            assert not made.status()["absent"]
            with pytest.raises(BadChangeError, match="is no member"):
                await desk.remove({"replica": "c"}, 5.0)
            tasks.cancel_scope.cancel()

    anyio.run(work)
