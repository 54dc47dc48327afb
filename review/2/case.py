"""A connection to a setup server falls quiet and stays open; the call that stands on it comes to its end."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as use

RELEASE_LIMIT_S = 8.0 + 0.05  # the longer of the page's two limits, and 50 ms
OBSERVE_S = 30.0


async def case(record: use.Record) -> int:
    server, other = use.SetupServer("s0", record, 0.1), use.SetupServer("s1", record, 0.1)
    proxy = use.Proxy(server.port, record)
    bus = use.Bus(record, use.row("s0", proxy.port, 0), use.row("s1", other.port, 1))
    for part in (server, other, proxy, bus):
        await part.start()
    controller = use.Controller(record, bus, use.settings())
    try:
        await controller.start()
        caller = use.Caller(controller.port, record)
        await caller.connect()
        caller.set_up_many(["item-search", "item-search"])  # at once, so that each has its own connection
        await asyncio.sleep(1.0)
        if len(proxy.lines) != 2 or len(server.calls) != 2:
            record.add(f"{len(proxy.lines)} connections and {len(server.calls)} calls: not as planned")
            return use.NOT_RUN
        if use.TROUBLE:
            proxy.lines[0].quiet = True
            record.add("TROUBLE: connection 1 to s0 falls quiet and stays open")
        end = time.time() + OBSERVE_S
        while time.time() < end:  # light traffic, one call after the other
            caller.set_up("item-search")
            await asyncio.sleep(0.5)
        observed_until = time.time()
    finally:
        await controller.stop()
    result = use.HELD
    for each in (*server.calls.values(), *other.calls.values()):
        call = caller.calls[bytes.fromhex(each.call)]
        ended = each.released_at
        if ended is None or call.stands_at is None or ended + RELEASE_LIMIT_S > observed_until:
            continue  # has not ended, did not stand for the caller, or may still be released in time
        if call.released_at is None or call.released_at > ended + RELEASE_LIMIT_S:
            late = (call.released_at or observed_until) - ended
            told = "never told" if call.released_at is None else "told too late"
            record.add(f"BROKEN: {each.call}: its server released it, its caller was {told} ({late:.1f} s)")
            result = use.BROKEN
    return result


use.run_case(case)
