"""The event bus: follows the list of setup servers, and connects again from the last event heard."""

from __future__ import annotations

import anyio
import orjson
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from harepick.core.inbox import Inbox
from harepick.core.words import Told
from harepick.counters import Counters
from harepick.directory import Directory, DirectoryError
from harepick.log import Log
from harepick.net.servers import Servers
from harepick.settings import Address

SILENCE = 3.5  # the bus says something every second
LINE = 1 << 20
CONNECT_TIMEOUT = 1.0
FIRST_PAUSE, LONGEST_PAUSE = 0.05, 1.0


class Bus:
    def __init__(
        self,
        where: Address,
        directory: Directory,
        inbox: Inbox,
        servers: Servers,
        counters: Counters,
        log: Log,
    ) -> None:
        self._address = where
        self._directory = directory
        self._inbox = inbox
        self._servers = servers
        self._counters = counters
        self._log = log

    async def run(self) -> None:
        pause = FIRST_PAUSE
        while True:
            heard = False
            try:
                with anyio.fail_after(CONNECT_TIMEOUT):
                    stream = await anyio.connect_tcp(self._address.host, self._address.port)
                async with stream:
                    heard = await self._follow(stream)
            except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
                self._log.event("bus_lost", error=type(error).__name__)
            self._counters.add("bus.lost")
            pause = FIRST_PAUSE if heard else min(2 * pause, LONGEST_PAUSE)
            await anyio.sleep(pause)

    async def _follow(self, stream: SocketStream) -> bool:
        """Until the connection ends or falls silent; True if anything came."""
        await stream.send(b"from %d\n" % self._directory.offset)
        self._counters.add("bus.connections")
        lines = BufferedByteReceiveStream(stream)
        heard = False
        while True:
            try:
                with anyio.fail_after(SILENCE):
                    line = await lines.receive_until(b"\n", LINE)
                event = orjson.loads(line)
                heard = True
                if isinstance(event, int) or (isinstance(event, dict) and event.keys() == {"offset"}):
                    continue  # the line of every second: the last number alone
                change = self._directory.apply(event)
            except (anyio.IncompleteRead, anyio.EndOfStream, anyio.BrokenResourceError, TimeoutError):
                return heard
            except (orjson.JSONDecodeError, DirectoryError, anyio.DelimiterNotFound) as error:
                self._counters.add("bus.malformed")
                self._log.event("bus_malformed", error=str(error), line=line[:400].decode("latin-1"))
                return False
            if change is None:
                self._counters.add("bus.repeated")
                continue
            self._counters.add("bus.events")
            rows = [f"{e.server} {e.state} {e.started:.3f}" for e in change.entries]
            self._log.event("list", offset=self._directory.offset, rows=rows)
            self._servers.listed(change)
            await self._inbox.put(Told(change))
