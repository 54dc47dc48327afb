"""Two new configurations in quick succession: callers of a class that the first one dropped."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

from standins_2 import (
    CLASSES,
    TROUBLE,
    Bus,
    Caller,
    Case,
    SetupServer,
    call_class,
    main,
    platform,
    row,
    settings,
)

MOVE_AFTER_S = 1.2  # from SIGHUP until callers use the new class
SECOND_AFTER_S = 0.4  # from the first SIGHUP to the second
RATE = 40.0  # set-ups a second; the busiest border controller gets 50


async def test(case: Case) -> None:
    servers = [SetupServer(case, f"s{n}", n) for n in range(2)]
    for server in servers:
        await server.open()
    bus = Bus(case)
    await bus.open([row(server) for server in servers])
    config = platform(bus, servers)
    path = case.folder / "config.json"
    path.write_text(json.dumps(config))
    process = case.start(GW_CONFIG=str(path))
    await case.serving()

    def reload(text: str, **changes: object) -> None:
        config["settings"] = settings([call_class("item-lookup", 2.0, 1.0), CLASSES[1]], 2)
        config["settings"]["Bounds"] |= changes
        path.write_text(json.dumps(config))
        process.send_signal(signal.SIGHUP)
        case.note(f"SIGHUP: {text}")

    callers: list[Caller] = []
    caller: Caller | None = None
    end = case.now + 2.0  # "never in its first second"
    first_at = second_at = 0.0
    lost: list[str] = []
    sent = 0
    while not first_at or case.now < first_at + MOVE_AFTER_S - 0.02:
        if case.now >= end and not first_at:
            reload("item-search is dropped, item-lookup is new")
            first_at = case.now
        if TROUBLE and first_at and not second_at and case.now >= first_at + SECOND_AFTER_S:
            reload("MaxRetryAfter changes", MaxRetryAfter=1.0)
            second_at = case.now
        if caller is None or caller.ended_at is not None:
            caller = Caller(case, f"caller {len(callers)}")
            await caller.open(config["listen"])
            callers.append(caller)
        caller.set_up("item-search", sent % 2)
        sent += 1
        await asyncio.sleep(1.0 / RATE)
    case.note("callers use the new class from now on")
    await asyncio.sleep(4.0)

    answered = sum(1 for each in callers for call in each.sent if call in each.answers)
    for each in callers:
        for call, at in each.sent.items():
            if call in each.answers:
                continue
            close = "never closed"
            if each.ended_at is not None:
                how = "reset: perhaps not read" if each.reset else "in order: all of it had been read"
                close = f"closed {1000 * (each.ended_at - at):.0f} ms after it, {how}"
            case.note(f"{each.name}: set-up {call} has no answer; its connection was {close}")
            if not each.reset:
                lost.append(call)
    case.note(f"{sent} set-ups, {answered} answered, {len(callers)} connections, lost {lost}")
    if lost:
        case.rule_broken(f"{len(lost)} set-ups were read and their connections closed with no answer")


main(Path(__file__).parent, test)
