"""Discovery is slow for new watches while a setup server drains and stops."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from standins_2 import TROUBLE, Bus, Caller, Case, SetupServer, main, platform, row

from harepick.net import binary

FIRST_LINE_AFTER_S = 2.0  # of a new watch while discovery is slow
TOLD_AFTER_S = 7.0  # an event counts as told then at the latest, whether it arrived or not
LIMIT_S = 0.25 + 0.05  # Rules.DrainGrace, and 50 ms on sockets
STOPS_AFTER_S = 12.0  # from the event to the end of the process
HOLD_S = 9.0


async def test(case: Case) -> None:
    servers = [SetupServer(case, f"s{n}", n) for n in range(3)]
    for server in servers:
        server.hold = HOLD_S
        await server.open()
    bus = Bus(case)
    await bus.open([row(server) for server in servers])
    if TROUBLE:
        bus.answer_after = FIRST_LINE_AFTER_S
    config = platform(bus, servers)
    path = case.folder / "config.json"
    path.write_text(json.dumps(config))
    case.start(GW_CONFIG=str(path))
    await case.serving()
    caller = Caller(case)
    await caller.open(config["listen"])
    calls = []

    async def calls_for(seconds: float) -> None:
        end = case.now + seconds
        while case.now < end:
            calls.append(caller.set_up("item-search", len(calls) % 3))
            await asyncio.sleep(0.2)

    await calls_for(3.0)
    bus.publish([row(servers[0], "DRAINING")])
    published_at = case.now
    await calls_for(STOPS_AFTER_S)
    await servers[0].stop()
    await calls_for(2.0)
    await asyncio.sleep(HOLD_S + 1.0)

    told_at = published_at + TOLD_AFTER_S
    late = [(at, call) for at, call in servers[0].set_ups if at > told_at + LIMIT_S]
    case.note(f"{len(late)} set-ups to s0 later than {LIMIT_S} s after it counts as told")
    if late:
        case.rule_broken(
            f"{len(late)} set-ups were sent to s0 from {late[0][0] - published_at:.1f} to "
            f"{late[-1][0] - published_at:.1f} s after the event bus had its drain (allowed: "
            f"{TOLD_AFTER_S + LIMIT_S} s)"
        )
    cut = [call for _, call in late if servers[0].calls[call].cut]
    if cut:
        causes = {cause for call in cut for _, kind, cause in caller.answers[call] if kind == binary.RELEASE}
        case.rule_broken(f"{len(cut)} of these calls stood, and were cut when s0 stopped (causes {causes})")
    case.note(f"watches: {bus.watches}")


main(Path(__file__).parent, test)
