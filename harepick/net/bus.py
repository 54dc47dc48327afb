"""The event bus: follows the list of setup servers, and connects again from the last event heard.

A watch may be open, speak every second and still bring no events. Its line of each second holds the bus's
last number: one ahead of the last event applied is a watch that keeps something back (`Lag`).
"""

from __future__ import annotations

import random
import time

import anyio
import orjson
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from harepick.core.inbox import Inbox
from harepick.core.messages import ControllerEvent
from harepick.counters import Counters
from harepick.directory import Directory, DirectoryError
from harepick.log import Log
from harepick.net.servers import Servers
from harepick.settings import Address

# The bus says something every second, and what it would have told counts as told 4 s after it fell silent
# and 2 s after a break: a line may be late, but two pauses and a connection must fit into those 2 s.
SILENCE = 1.75
IN_STEP = 0.25  # drawn off it: a fleet whose watches fall silent at once does not ask again at once
LINE = 1 << 20
CONNECT_TIMEOUT = 0.5
FIRST_PAUSE, LONGEST_PAUSE = 0.02, 0.2
# What a watch keeps back counts as told 4 s after it fell silent. Its line comes within a second of that, and
# the next watch needs a connection: 0.5 to 1.5 s of patience fit between, spread so that a fleet that notices
# at once does not ask at once.
PATIENCE = 0.5
SPREAD = 1.0
LONGEST_PATIENCE = 8.0  # doubled up to here while asking again brings nothing: the bus itself is behind then


class Lag:
    """Whether the bus's last number is ahead of what was applied, and until when that is borne. Pure."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._tries = 0
        self._number = 0  # that the bus has told and we lack
        self.due: float | None = None  # when a new watch is to begin

    def told(self, number: int, applied: int, now: float) -> None:
        """The bus's last number, and the number of the last event applied."""
        if number <= applied:
            self._tries, self.due = 0, None
        elif self.due is None:
            self._number = number
            patience = min(PATIENCE * 2.0**self._tries, LONGEST_PATIENCE)
            self.due = now + patience + SPREAD * self._rng.random()

    def applied(self, number: int) -> None:
        """An event has come: the watch does not keep back what led to the wait."""
        if self.due is not None and number >= self._number:
            self._tries, self.due = 0, None

    def asked(self) -> None:
        """A new watch has begun."""
        self._tries = min(self._tries + 1, 8) if self.due is not None else self._tries
        self.due = None


class Bus:
    def __init__(
        self,
        where: Address,
        directory: Directory,
        inbox: Inbox,
        servers: Servers,
        counters: Counters,
        log: Log,
        seed: int = 0,
    ) -> None:
        rng = random.Random(seed)
        self._lag = Lag(rng)
        self._silence = SILENCE - IN_STEP * rng.random()
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
        """Until the connection ends, falls silent or keeps something back; True if anything came."""
        self._lag.asked()
        asked_from = self._directory.offset
        await stream.send(b"from %d\n" % asked_from)
        self._counters.add("bus.connections")
        lines = BufferedByteReceiveStream(stream)
        heard = False
        while True:
            try:
                now = time.monotonic()
                due = self._lag.due
                with anyio.fail_after(
                    self._silence if due is None else min(self._silence, max(0.0, due - now))
                ):
                    line = await lines.receive_until(b"\n", LINE)
                event = orjson.loads(line)
                heard = True
                if (number := last_number(event)) is not None:
                    self._lag.told(number, self._directory.offset, time.monotonic())
                    if (
                        number < self._directory.offset
                    ):  # the pages know no such bus: told, nothing taken back
                        self._counters.add("bus.lower_numbers")
                    continue
                if self._directory.skips(event) and self._directory.offset > asked_from:
                    # Asked again from the last one before: what a new watch begins with is all there is.
                    self._counters.add("bus.gaps")
                    self._log.event("bus_gap", bus=str(self._address), applied=self._directory.offset)
                    return heard
                change = self._directory.apply(event)
            except (
                anyio.IncompleteRead,
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                TimeoutError,
            ) as error:
                if self._lag.due is not None and isinstance(error, TimeoutError):
                    self._counters.add("bus.behind")
                    self._log.event("bus_behind", bus=str(self._address), applied=self._directory.offset)
                    return heard
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
            self._lag.applied(self._directory.offset)
            rows = [f"{e.server} {e.state} {e.started:.3f}" for e in change.entries]
            self._log.event("list", offset=self._directory.offset, rows=rows)
            self._servers.listed(change)
            self._inbox.put_nowait(ControllerEvent(change))  # it may not be lost if the bus moves just now


def last_number(event: object) -> int | None:
    """What the line of every second says, or None if this is no such line."""
    if isinstance(event, dict) and event.keys() == {"offset"}:
        event = event["offset"]
    return event if isinstance(event, int) and not isinstance(event, bool) else None
