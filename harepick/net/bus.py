"""Client of the event bus: follows the list of setup servers, and reconnects from the last event received.

Events are numbered; a number is an offset. Each connection is a watch: the bus sends the events after a given
offset, and every second a line with the offset of its last event. If that stays above the offset of the last
event applied, the watch withholds events and is replaced (`LagMonitor`)."""

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

# The bus sends a line every second. The platform requires an instance to act on an event within 4 s after
# its watch fell silent, and within 2 s after the connection broke: a line may be late, but two reconnect
# delays and a connection attempt must fit into those 2 s.
SILENCE_TIMEOUT_S = 1.75
# Up to this is subtracted at random, so that the instances of a fleet do not all reconnect at once.
SILENCE_JITTER_S = 0.25
MAX_LINE_BYTES = 1 << 20
CONNECT_TIMEOUT_S = 0.5
MIN_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S = 0.02, 0.2
# The platform requires an instance to act on a withheld event within 4 s after the watch stopped sending
# events. The line with the offset arrives within a second, and a new watch needs a connection: this leaves a
# tolerance of 0.5 to 1.5 s, which is random so that the instances of a fleet do not all reconnect at once.
LAG_TOLERANCE_S = 0.5
LAG_JITTER_S = 1.0
MAX_LAG_TOLERANCE_S = 8.0  # doubled up to this while new watches send no events: the bus itself is behind


class LagMonitor:
    """Tells when a watch that withholds events is to be replaced by a new one.

    Compares the offset of the bus's last event with that of the last one applied. Does no I/O."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failed_watches = 0
        self._awaited_offset = 0  # reported by the bus, above that of the last event applied
        self.reconnect_at: float | None = None  # monotonic time at which a new watch is to begin

    def bus_reported(self, offset: int, applied: int, now: float) -> None:
        """Handles the offset of the bus's last event; `applied` is that of the last event applied."""
        if offset <= applied:
            self._failed_watches, self.reconnect_at = 0, None
        elif self.reconnect_at is None:
            self._awaited_offset = offset
            tolerance = min(LAG_TOLERANCE_S * 2.0**self._failed_watches, MAX_LAG_TOLERANCE_S)
            self.reconnect_at = now + tolerance + LAG_JITTER_S * self._rng.random()

    def event_applied(self, offset: int) -> None:
        """Ends the wait if the awaited event or a later one was applied."""
        if self.reconnect_at is not None and offset >= self._awaited_offset:
            self._failed_watches, self.reconnect_at = 0, None

    def watch_started(self) -> None:
        """Notes a new watch; if the one before withheld events, the tolerance is doubled."""
        self._failed_watches = (
            min(self._failed_watches + 1, 8) if self.reconnect_at is not None else self._failed_watches
        )
        self.reconnect_at = None


class BusClient:
    """Follows the event bus: applies its events to the directory and passes them to the servers' port and
    the core."""

    def __init__(
        self,
        address: Address,
        directory: Directory,
        inbox: Inbox,
        servers: Servers,
        counters: Counters,
        log: Log,
        seed: int = 0,
    ) -> None:
        rng = random.Random(seed)
        self._lag = LagMonitor(rng)
        self._silence_timeout = SILENCE_TIMEOUT_S - SILENCE_JITTER_S * rng.random()
        self._address = address
        self._directory = directory
        self._inbox = inbox
        self._servers = servers
        self._counters = counters
        self._log = log
        self._connection_scope = anyio.CancelScope()  # of the connection, or of the wait for one

    @property
    def address(self) -> Address:
        """Where the bus is now."""
        return self._address

    def change_address(self, address: Address) -> None:
        """Switches to another address at once, continuing from the last event received here."""
        self._address = address
        self._connection_scope.cancel()

    async def run(self) -> None:
        """Follows the bus until cancelled, reconnecting whenever a connection ends."""
        delay = MIN_RECONNECT_DELAY_S
        while True:
            with anyio.CancelScope() as self._connection_scope:
                received = await self._connect_and_follow()
                self._counters.add("bus.lost")
                delay = MIN_RECONNECT_DELAY_S if received else min(2 * delay, MAX_RECONNECT_DELAY_S)
                await anyio.sleep(delay)
            if self._connection_scope.cancel_called:
                delay = MIN_RECONNECT_DELAY_S

    async def _connect_and_follow(self) -> bool:
        """Runs one connection to its end; returns whether anything was received."""
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(self._address.host, self._address.port)
            async with stream:
                return await self._follow(stream)
        except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            self._log.event("bus_lost", bus=str(self._address), error=type(error).__name__)
            return False

    async def _follow(self, stream: SocketStream) -> bool:
        """Reads until the connection ends, falls silent or withholds events; returns whether anything was
        received."""
        self._lag.watch_started()
        start_offset = self._directory.offset
        await stream.send(b"from %d\n" % start_offset)
        self._counters.add("bus.connections")
        lines = BufferedByteReceiveStream(stream)
        received = False
        while True:
            try:
                now = time.monotonic()
                reconnect_at = self._lag.reconnect_at
                with anyio.fail_after(
                    self._silence_timeout
                    if reconnect_at is None
                    else min(self._silence_timeout, max(0.0, reconnect_at - now))
                ):
                    line = await lines.receive_until(b"\n", MAX_LINE_BYTES)
                event = orjson.loads(line)
                received = True
                if (offset := reported_offset(event)) is not None:
                    self._lag.bus_reported(offset, self._directory.offset, time.monotonic())
                    if offset < self._directory.offset:
                        # The protocol does not define this: it is counted, and no event is undone.
                        self._counters.add("bus.lower_numbers")
                    continue
                if self._directory.skips(event) and self._directory.offset > start_offset:
                    # The events between are missing: watch again from the last one applied. What is missing
                    # at the start of a watch does not exist, so this is done only after an event of this
                    # watch.
                    self._counters.add("bus.gaps")
                    self._log.event("bus_gap", bus=str(self._address), applied=self._directory.offset)
                    return received
                change = self._directory.apply(event)
            except (
                anyio.IncompleteRead,
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                TimeoutError,
            ) as error:
                if self._lag.reconnect_at is not None and isinstance(error, TimeoutError):
                    self._counters.add("bus.behind")
                    self._log.event("bus_behind", bus=str(self._address), applied=self._directory.offset)
                    return received
                self._log.event("bus_broken", bus=str(self._address), error=type(error).__name__)
                return received
            except (orjson.JSONDecodeError, DirectoryError, anyio.DelimiterNotFound) as error:
                self._counters.add("bus.malformed")
                self._log.event("bus_malformed", error=str(error), line=line[:400].decode("latin-1"))
                return False
            if change is None:
                self._counters.add("bus.repeated")
                continue
            self._counters.add("bus.events")
            self._lag.event_applied(self._directory.offset)
            rows = [f"{e.server} {e.state} {e.started:.3f}" for e in change.entries]
            self._log.event("list", offset=self._directory.offset, rows=rows)
            self._servers.apply_list(change)
            # Not awaited: a change of the bus's address must not lose it.
            self._inbox.put_nowait(ControllerEvent(change))


def reported_offset(event: object) -> int | None:
    """Returns the offset in the line sent every second, or None for any other line."""
    if isinstance(event, dict) and event.keys() == {"offset"}:
        event = event["offset"]
    return event if isinstance(event, int) and not isinstance(event, bool) else None
