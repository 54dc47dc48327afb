"""Start and stop of the program: reads the configuration, runs the fronts, follows the signals.

SIGTERM and SIGINT stop it, SIGUSR1 prints the counters, SIGHUP has the configuration and the operator's
file read again.
"""

from __future__ import annotations

import signal

EARLY: list[int] = []  # SIGHUPs that came before anybody could follow them: the default would end the program
if __name__ == "__main__":
    signal.signal(signal.SIGHUP, lambda number, _: EARLY.append(number))

# ruff: noqa: E402
import argparse
import os
import sys
from collections.abc import AsyncIterator, Iterator

import anyio

from harepick.counters import Counters
from harepick.lifecycle import Front
from harepick.log import Log
from harepick.net.service import PlatformFront
from harepick.settings import SettingsError, read_operator_file, read_platform, read_toml

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


async def serve(fronts: list[Front], counters: Counters, log: Log) -> None:
    """Runs the fronts until SIGTERM or SIGINT has been seen through."""
    stop = anyio.Event()
    # Opened before anyone is told that the program serves: a signal must not find the default handler.
    with anyio.open_signal_receiver(*SIGNALS) as heard:
        async with anyio.create_task_group() as signals:
            async with anyio.create_task_group() as tasks:
                for front in fronts:
                    await tasks.start(front.run, stop)
                log.event("serving")
                if EARLY:  # the file may have been replaced after it was read
                    for front in fronts:
                        front.reload()
                signals.start_soon(follow, heard, fronts, stop, counters, log)
            signals.cancel_scope.cancel()


async def follow(
    heard: AsyncIterator[signal.Signals],
    fronts: list[Front],
    stop: anyio.Event,
    counters: Counters,
    log: Log,
) -> None:
    """Until the fronts have ended. Of a SIGHUP and a SIGTERM that are both pending, the kernel runs the
    handler of the second first: the file is read in a drain as well."""
    async for number in heard:
        if number == signal.SIGUSR1:
            log.event("counters", **counters.snapshot())
        elif number == signal.SIGHUP:
            for front in fronts:
                front.reload()
        else:
            log.event("stopping", signal=number)
            stop.set()


def read(words: list[str], counters: Counters) -> tuple[list[Front], Log]:
    """The fronts that the command line and the variables ask for."""
    parser = argparse.ArgumentParser(prog="harepick", description="A border controller.")
    parser.add_argument("--operator", metavar="FILE", help="set up the ENUM front as this file says")
    wanted = parser.parse_args(words)
    fronts: list[Front] = []
    platform = None
    if os.environ.get("GW_CONFIG") or not wanted.operator:
        platform = read_platform(os.environ)
    log = Log(platform.name if platform else "")
    if platform:
        fronts.append(PlatformFront(platform, os.environ, counters, log))
    if wanted.operator:
        fronts.append(_operators_front(wanted.operator, counters, log))
    return fronts, log


def _operators_front(path: str, counters: Counters, log: Log) -> Front:
    """What an operator's file sets up. Off on the platform: not even loaded there."""
    if "store" in read_toml(path):
        from harepick.store.service import StoreFront

        return StoreFront(path, counters, log)
    from harepick.enumdns.service import EnumFront

    return EnumFront(read_operator_file(path), counters, log, path=path)


def _leaves(group: BaseExceptionGroup[SettingsError]) -> Iterator[SettingsError]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _leaves(error)
        else:
            yield error


def main() -> int:
    """Entry point of the command `run` in deploy/balancer.toml."""
    counters = Counters()
    try:
        fronts, log = read(sys.argv[1:], counters)
    except SettingsError as error:
        print(f"harepick: {error}", file=sys.stderr)
        return 2
    try:
        anyio.run(serve, fronts, counters, log)
    except BaseExceptionGroup as group:
        faulty, rest = group.split(SettingsError)
        if faulty is None or rest is not None:
            log.event("crashed", error=repr(group))
            raise
        for each in _leaves(faulty):  # found only as it started: an address in use, say
            print(f"harepick: {each}", file=sys.stderr)
        return 2
    except BaseException as error:
        log.event("crashed", error=repr(error))
        raise
    finally:
        log.event("counters", **counters.snapshot())
        log.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
