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

# The bus says something every second, and what it would have told counts as told 4 s after it fell silent
# and 2 s after a break: a line may be late, but two pauses and a connection must fit into those 2 s.
SILENCE = 1.75
LINE = 1 << 20
CONNECT_TIMEOUT = 0.5
FIRST_PAUSE, LONGEST_PAUSE = 0.02, 0.2


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
        self._turn = anyio.CancelScope()  # of the connection, or of the wait for one

    @property
    def address(self) -> Address:
        return self._address

    def move(self, where: Address) -> None:
        """The bus is elsewhere now: followed there at once, from the last event heard here."""
        self._address = where
        self._turn.cancel()

    async def run(self) -> None:
        pause = FIRST_PAUSE
        while True:
            with anyio.CancelScope() as self._turn:
                heard = await self._connection()
                self._counters.add("bus.lost")
                pause = FIRST_PAUSE if heard else min(2 * pause, LONGEST_PAUSE)
                await anyio.sleep(pause)
            if self._turn.cancel_called:
                pause = FIRST_PAUSE

    async def _connection(self) -> bool:
        """One connection to its end; True if anything came."""
        try:
            with anyio.fail_after(CONNECT_TIMEOUT):
                stream = await anyio.connect_tcp(self._address.host, self._address.port)
            async with stream:
                return await self._follow(stream)
        except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            self._log.event("bus_lost", bus=str(self._address), error=type(error).__name__)
            return False

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
            except (
                anyio.IncompleteRead,
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                TimeoutError,
            ) as error:
                self._log.event("bus_broken", bus=str(self._address), error=type(error).__name__)
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
            self._inbox.tell(Told(change))  # it may not be lost if the bus moves just now
