"""Start and stop of the program: reads the configuration, runs the fronts and handles signals.

SIGTERM and SIGINT stop the program, SIGUSR1 logs the counters, and SIGHUP reloads the configuration and
the operator's file."""

from __future__ import annotations

import signal

# SIGHUPs received before `serve` handles them: the default action would end the program.
EARLY_SIGHUPS: list[int] = []
if __name__ == "__main__":
    signal.signal(signal.SIGHUP, lambda number, _: EARLY_SIGHUPS.append(number))

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
    """Runs the fronts until they have stopped after SIGTERM or SIGINT."""
    stop = anyio.Event()
    # Opened before readiness is reported: a signal must not find the default handler.
    with anyio.open_signal_receiver(*SIGNALS) as received:
        async with anyio.create_task_group() as signals:
            async with anyio.create_task_group() as tasks:
                for front in fronts:
                    await tasks.start(front.run, stop)
                log.event("serving")
                if EARLY_SIGHUPS:  # the file may have been replaced after it was read
                    for front in fronts:
                        front.reload()
                signals.start_soon(handle_signals, received, fronts, stop, counters, log)
            signals.cancel_scope.cancel()


async def handle_signals(
    received: AsyncIterator[signal.Signals],
    fronts: list[Front],
    stop: anyio.Event,
    counters: Counters,
    log: Log,
) -> None:
    """Handles signals until the fronts have ended.

    If SIGHUP and SIGTERM are both pending, the kernel runs the handler of SIGTERM first, so the
    configuration is reloaded during a drain as well."""
    async for number in received:
        if number == signal.SIGUSR1:
            log.event("counters", **counters.snapshot())
        elif number == signal.SIGHUP:
            for front in fronts:
                front.reload()
        else:
            log.event("stopping", signal=number)
            stop.set()


def create_fronts(arguments: list[str], counters: Counters) -> tuple[list[Front], Log]:
    """Creates the fronts that the command line and the environment ask for; raises `SettingsError`."""
    parser = argparse.ArgumentParser(prog="harepick", description="A border controller.")
    parser.add_argument("--operator", metavar="FILE", help="set up the ENUM front as this file says")
    options = parser.parse_args(arguments)
    fronts: list[Front] = []
    platform = None
    if os.environ.get("GW_CONFIG") or not options.operator:
        platform = read_platform(os.environ)
    log = Log(platform.name if platform else "")
    if platform:
        fronts.append(PlatformFront(platform, os.environ, counters, log))
    if options.operator:
        fronts.append(_enum_front(options.operator, counters, log))
    return fronts, log


def _enum_front(path: str, counters: Counters, log: Log) -> Front:
    """Creates the front that an operator's file configures; its packages are imported only then."""
    if "store" in read_toml(path):
        from harepick.store.service import StoreFront

        return StoreFront(path, counters, log)
    from harepick.enumdns.service import EnumFront

    return EnumFront(read_operator_file(path), counters, log, path=path)


def _leaf_errors(group: BaseExceptionGroup[SettingsError]) -> Iterator[SettingsError]:
    """Yields the errors of a group and of the groups in it."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _leaf_errors(error)
        else:
            yield error


def main() -> int:
    """Runs the program and returns its exit code; the command `run` in deploy/balancer.toml starts it."""
    counters = Counters()
    try:
        fronts, log = create_fronts(sys.argv[1:], counters)
    except SettingsError as error:
        print(f"harepick: {error}", file=sys.stderr)
        return 2
    try:
        anyio.run(serve, fronts, counters, log)
    except BaseExceptionGroup as group:
        settings_errors, rest = group.split(SettingsError)
        if settings_errors is None or rest is not None:
            log.event("crashed", error=repr(group))
            raise
        # Found only when the fronts start: for example, an address that is in use.
        for settings_error in _leaf_errors(settings_errors):
            print(f"harepick: {settings_error}", file=sys.stderr)
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
