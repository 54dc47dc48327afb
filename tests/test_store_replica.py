"""The host of one replica on a real folder, with a disk that the test holds up."""

from __future__ import annotations

import threading
from pathlib import Path
from typing import Any

import anyio
import pytest

from harepick.counters import Counters
from harepick.fleet.ports import free_port
from harepick.log import Log
from harepick.store.machine import Envelope, Put
from harepick.store.replica import Replica, StoreUnavailableError
from harepick.store.settings import read_store


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
            applied = made.node.machine.applied
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
