"""Start of the ENUM front while a configuration arrives from the store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest
from anyio.to_thread import run_sync

from harepick import interface
from harepick.counters import Counters
from harepick.directory import ServerRecord
from harepick.enumdns.service import EnumFront, server_name
from harepick.fleet.ports import free_port
from harepick.log import Log
from harepick.settings import EnumSettings, parse_address, read_store_config
from harepick.store.service import PLACEHOLDER_CONFIG
from tests.dnspeers import Client, Upstream


@pytest.mark.parametrize("when", ["create_tcp_listener", "create_udp_socket"])
def test_a_configuration_that_comes_while_the_sockets_are_opened_is_served(
    when: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The front must not keep the placeholder it was started with.

    The restored pool and the configuration arrive while a socket is opened; one server is draining.
    """
    upstream, port = Upstream(), free_port()
    instance_keys = {"listen": f"127.0.0.1:{port}"}
    text = (
        '[[upstream]]\nname = "north"\naddress = "127.0.0.1:9"\ndraining = true\n'
        f'[[upstream]]\nname = "south"\naddress = "127.0.0.1:{upstream.port}"\n'
    )
    latest = read_store_config(text, instance_keys)
    front = EnumFront(read_store_config(PLACEHOLDER_CONFIG, instance_keys), Counters(), Log())
    original: Callable[..., Awaitable[Any]] = getattr(anyio, when)

    async def open_socket(**arguments: Any) -> Any:
        if front.listed_server_count == 0:
            front.remember(server_records(latest))
            front.apply(latest)
        return await original(**arguments)

    monkeypatch.setattr(anyio, when, open_socket)
    rcodes: list[int] = []

    async def run_front() -> None:
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            await tasks.start(front.run, stop)
            client = Client(port)
            for n in range(10):
                answer = await run_sync(client.ask, f"{n}.4.3.2.1.1.1.4.9.e164.arpa.")
                rcodes.append(answer.rcode())
            assert front.listed_server_count == 2
            tasks.cancel_scope.cancel()

    anyio.run(run_front)
    upstream.close()
    assert rcodes == [0] * 10


def server_records(config: EnumSettings) -> list[ServerRecord]:
    """The servers of a configuration, as the stored pool view has them."""
    return [
        ServerRecord(
            interface.ServerEntry(server_name(u.name, u.address), n, "draining" if u.draining else "ready"),
            parse_address(str(u.address), "view.address"),
        )
        for n, u in enumerate(config.upstreams)
    ]
