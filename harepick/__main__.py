"""Start and stop of the program: reads the configuration, wires the parts up, follows the signals."""

from __future__ import annotations

import os
import signal
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractContextManager

import anyio

from harepick import settings
from harepick.core.engine import Engine
from harepick.core.inbox import Inbox
from harepick.counters import Counters
from harepick.directory import Directory
from harepick.log import Log
from harepick.net.bus import Bus
from harepick.net.callers import Callers
from harepick.net.servers import Servers

STILL_COMING = 0.8  # after SIGTERM, connections and set-ups still come for so long
LONGEST_GRACE = 3.0  # SIGKILL comes this, or the longest deadline if shorter, and 0.7 s after SIGTERM
FLUSH = 0.2


async def serve_platform(platform: settings.Platform, counters: Counters, log: Log) -> None:
    """The platform's front, until SIGTERM or SIGINT has been seen through."""
    inbox = Inbox()
    directory = Directory()
    known = directory.load(platform.known)
    module = platform.settings
    servers = Servers(directory, inbox, counters, log, module.connect_timeout, platform.idle_close)
    engine = Engine(module, platform.seed, servers, inbox, counters, log, platform.open_cap)
    callers = Callers(module.classes, inbox, counters, log, most=platform.sockets // 2)
    bus = Bus(platform.bus, directory, inbox, servers, counters, log)
    listen = platform.listen
    listener = await anyio.create_tcp_listener(local_host=listen.host, local_port=listen.port)
    with signals() as heard:
        async with listener, anyio.create_task_group() as tasks:
            await tasks.start(servers.run)
            tasks.start_soon(engine.run, known)
            tasks.start_soon(bus.run)
            tasks.start_soon(listener.serve, callers.serve)
            log.event(
                "serving", listen=str(listen), servers=len(directory.entries()), offset=directory.offset
            )
            await until_stopped(heard, counters, log)
            grace = min(LONGEST_GRACE, max(c.give_up for c in module.classes)) + 0.7 - 2 * FLUSH
            await finish(lambda: engine.idle, grace)
            engine.give_up()
            await finish(lambda: not callers.unwritten and not servers.unwritten, FLUSH, least=0.02)
            tasks.cancel_scope.cancel()


def signals() -> AbstractContextManager[AsyncIterator[signal.Signals]]:
    """Opened before anyone is told that the program serves: a signal must not find the default handler."""
    return anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)


async def until_stopped(heard: AsyncIterator[signal.Signals], counters: Counters, log: Log) -> None:
    """Prints the counters at every SIGUSR1; returns at SIGTERM or SIGINT."""
    async for number in heard:
        if number != signal.SIGUSR1:
            log.event("stopping", signal=number)
            return
        log.event("counters", **counters.snapshot())


async def finish(done: Callable[[], bool], most: float, least: float = STILL_COMING) -> None:
    """Waits until `done`, for `least` at least and `most` at most."""
    start = time.time()
    while time.time() - start < most:
        if time.time() - start >= least and done():
            return
        await anyio.sleep(0.02)


def main() -> int:
    """Entry point of the command `run` in deploy/balancer.toml."""
    try:
        platform = settings.read_platform(os.environ)
    except settings.SettingsError as error:
        print(f"harepick: {error}", file=sys.stderr)
        return 2
    counters, log = Counters(), Log(platform.name)
    try:
        anyio.run(serve_platform, platform, counters, log)
    except BaseException as error:
        log.event("crashed", error=repr(error))
        raise
    finally:
        log.event("counters", **counters.snapshot())
        log.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
