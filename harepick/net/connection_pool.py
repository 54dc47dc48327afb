"""The connections to one setup server, and the calls that stand there.

Chooses the connection of every order, and decides whether the server has died. A set-up goes out
on a connection with nothing else open if there is one: a connection with a malformed or missing answer
is closed, and every set-up open on it is lost.

A standing call belongs to no connection: the server sends its release on the connection of its set-up, or
else on any open one, and also on the next one opened. One is therefore opened whenever a release may have
been lost: as soon as a connection with standing calls has failed, and each time such a connection has been
silent for a while, however much comes on others. A server counts as dead only if it accepts no new
connection: a connection may also be reset while the server process goes on running."""

from __future__ import annotations

import time
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from harepick import interface
from harepick.core.inbox import Inbox
from harepick.core.messages import Attempt, AttemptOver, ServerDied
from harepick.counters import Counters
from harepick.directory import Directory
from harepick.log import Log
from harepick.net.server_connection import (
    RELEASE_REPEAT_S,
    ByeOrder,
    CancelOrder,
    Order,
    ServerConnection,
)
from harepick.net.standing_calls import StandingCalls
from harepick.settings import Address

MAX_UNSENT_RELEASES = 1_024  # releases kept for the next connection
MAX_RESPONSIVE_CONNECTIONS = 8  # at this number, set-ups share a connection
MAX_CONNECTIONS = 16  # quiet ones included
SPARE_CONNECTION_KEEP_S = 3.0  # how long an unused connection beside others is kept
# After this silence of a connection with standing calls, another one is opened to receive their releases.
# The platform allows 8 s from the end of a call: the rest is for a connection that fails or opens late.
RELEASE_CHECK_S = 5.0
RELEASE_CHECK_RETRY_S = 1.0  # between connections opened to receive releases
SERVER_SILENCE_S = 2.0  # with anything open, a server silent for this long may have failed with its machine
# Two failures to connect at least this far apart, with no activity between, mean that the server has died.
FAILURE_CONFIRM_S = 0.2
# Connections in a row that ended before they received anything, after which the queued orders are given up.
MAX_CONNECTIONS_WITHOUT_DATA = 5
CHECK_INTERVAL_S = 0.1  # between checks of the connections


class PoolOwner(Protocol):
    """What a pool needs of its owner; times in seconds."""

    inbox: Inbox
    counters: Counters
    log: Log
    connect_timeout: float
    idle_close: float

    @property
    def may_connect(self) -> bool:
        """Whether a server that has a connection may have another."""


class ConnectionPool:
    """All connections to one setup server."""

    def __init__(self, owner: PoolOwner, tasks: TaskGroup, server: str, address: Address) -> None:
        self.owner = owner
        self.server = server
        self.address = address
        self.standing = StandingCalls()
        self.last_heard = time.time()  # when anything but a refusal last came from the server
        self.latest_answered_sent_at = 0.0  # when the latest of the set-ups answered so far was sent
        self.server_gone = False  # the server list has marked the server as gone
        self._tasks = tasks
        self._connections: list[ServerConnection] = []  # oldest first
        self._unsent_releases: list[ByeOrder] = []
        # When the latest connection that came up began to be opened: earlier releases were repeated there.
        self._releases_repeated_at = 0.0
        self._release_lost_at = 0.0  # when a connection with standing calls failed, perhaps with a release
        self._first_failure_at = 0.0  # of a connection, since the server was last heard
        self._next_connect_at = 0.0  # earliest time of the next connection for standing calls or for a check
        self._connections_without_data = 0
        self._scope = anyio.CancelScope()

    @property
    def connection_count(self) -> int:
        """Connections, those being opened included."""
        return len(self._connections)

    @property
    def backlog(self) -> int:
        """Orders not known to be written."""
        return sum(
            len(connection.outbox) + connection.outbox.in_flight
            for connection in self._connections
            if connection.connected
        )

    # Orders

    def place(self, attempt: Attempt) -> bool:
        """Queues a set-up; returns False if too much is queued for this server already."""
        return self._enqueue(attempt)

    def cancel(self, attempt: Attempt) -> bool:
        """Cancels an attempt; returns False if it is open on no connection."""
        for connection in self._connections:
            if connection.open_attempts.get(attempt.call) is attempt:
                if not connection.outbox.put(CancelOrder(attempt)):
                    # The attempt is given up with its connection, and is open until then.
                    connection.close("too_slow")
                return True
        return False

    def release(self, call: str) -> bool:
        """Queues the release of a call; returns False if too much is queued."""
        return self._enqueue(ByeOrder(call))

    def _enqueue(self, order: Order) -> bool:
        now = time.time()
        responsive = [connection for connection in self._connections if not connection.is_quiet(now)]
        free = [connection for connection in responsive if not connection.load]
        if free:
            return max(free, key=lambda connection: connection.last_heard).outbox.put(order)
        if isinstance(order, ByeOrder) and responsive:
            return min(responsive, key=lambda connection: connection.load).outbox.put(order)
        if not self._connections or (len(responsive) < MAX_RESPONSIVE_CONNECTIONS and self._may_open):
            self._open_connection(order)
            return True
        return min(responsive or self._connections, key=lambda connection: connection.load).outbox.put(order)

    def _open_connection(self, *orders: Order) -> None:
        connection = ServerConnection(self, orders)
        self._connections.append(connection)
        self._tasks.start_soon(connection.run)

    # Events of connections

    def connection_opened(self, connection: ServerConnection) -> None:
        """A connection is open: the releases kept for it are queued there.

        The server repeats there its own releases that were not confirmed."""
        self._releases_repeated_at = max(self._releases_repeated_at, connection.created_at)
        for bye in self._unsent_releases:
            connection.outbox.put(bye)
        self._unsent_releases.clear()

    def connection_ended(self, connection: ServerConnection) -> None:
        """A connection has ended: the set-ups open on it are given up, and those not yet sent go to
        another one if there is any."""
        self._connections.remove(connection)
        report = self.owner.inbox.put_nowait
        if connection.connected:
            counts = {
                "open": len(connection.open_attempts),
                "standing": len(self.standing),
                "lines": len(self._connections),
            }
            self.owner.log.event("closed", server=self.server, **counts)
        if connection.connected and not connection.closed_by_server and self.standing.count_on(connection):
            self._release_lost_at = time.time()
            self._next_connect_at = min(self._next_connect_at, self._release_lost_at + FAILURE_CONFIRM_S)
        for attempt in connection.open_attempts.values():
            report(AttemptOver(attempt, interface.Outcome.RESET))
        self._connections_without_data = 0 if connection.received_data else self._connections_without_data + 1
        for order in connection.outbox.clear():
            if isinstance(order, CancelOrder):
                report(AttemptOver(order.attempt, interface.Outcome.CANCELLED))
            elif isinstance(order, ByeOrder):
                self._pass_on_release(order)
            elif isinstance(order, Attempt) and order.sent is None and not order.ended:
                others = [other for other in self._connections if other.connected]
                if others and not self.server_gone:
                    min(others, key=lambda other: other.load).outbox.put(order)
                elif (
                    connection.connected
                    and not self.server_gone
                    and self._connections_without_data < MAX_CONNECTIONS_WITHOUT_DATA
                ):
                    self._open_connection(order)
                else:
                    report(AttemptOver(order, interface.Outcome.UNREACHED))
        if not self.server_gone:
            for release in connection.take_unconfirmed_releases(time.time()):
                self._repeat_release(release)
        if not connection.connected and not self.server_gone and not connection.failed_locally:
            self._connection_failed()

    def _repeat_release(self, release: ByeOrder) -> None:
        """Sends again a release that the server may not have received."""
        release.repeated = True
        self.owner.counters.add("servers.releases_repeated")
        self._pass_on_release(release)

    def _pass_on_release(self, bye: ByeOrder) -> None:
        """Queues a release on the connection heard last, or keeps it for the next one."""
        connected = [connection for connection in self._connections if connection.connected]
        if connected and max(connected, key=lambda each: each.last_heard).outbox.put(bye):
            return
        if len(self._unsent_releases) < MAX_UNSENT_RELEASES:
            self._unsent_releases.append(bye)
        else:
            self.owner.counters.add("servers.releases_lost")

    # Liveness of the server

    def _connection_failed(self) -> None:
        """Handles a connection that could not be opened.

        None of the orders queued for it was sent. Two such failures with no activity of the server between
        them mean that the server has died and that its calls are cut."""
        now = time.time()
        if (
            any(connection.connected for connection in self._connections)
            and now - self.last_heard < SERVER_SILENCE_S
        ):
            return  # the server accepts no more connections, but is alive
        # A failure is the first one if the server has been heard since the one before. An opened connection
        # does not count as heard: the kernel of a machine may accept a few after its processes have ended.
        is_first_failure = self._first_failure_at <= self.last_heard
        if is_first_failure or now - self._first_failure_at < FAILURE_CONFIRM_S:
            self._first_failure_at = now if is_first_failure else self._first_failure_at
            self._next_connect_at = now + FAILURE_CONFIRM_S
            return
        if self.standing:
            self.owner.counters.add("servers.died")
            self.owner.log.event("died", server=self.server, standing=len(self.standing))
        self.standing.clear()
        self._unsent_releases.clear()
        self._first_failure_at = 0.0
        for connection in self._connections:
            connection.take_unconfirmed_releases(now)  # its calls have ended
            connection.scope.cancel()
        self.owner.inbox.put_nowait(ServerDied(self.server, now))

    def update_from_list(self, entry: interface.ServerEntry, directory: Directory) -> None:
        """Applies the server list's entry of this server; the engine ends its calls by the same list."""
        record = directory.get(entry.server)
        if entry.state == "gone":
            self.standing.clear()
            self.server_gone = True
            self._scope.cancel()
            for connection in self._connections:
                connection.scope.cancel()
        elif record and record.address != self.address:
            self.address = record.address
            for connection in self._connections:
                connection.close("moved")
        elif entry.started > 0:  # a restart: older connections belong to the previous process
            self.standing.end_answered_before(entry.started)
            for connection in self._connections:
                if 0 < connection.last_heard < entry.started:
                    connection.close("half_open")

    async def watch(self) -> None:
        """Checks the connections until the server is gone."""
        with self._scope:
            while True:
                await anyio.sleep(CHECK_INTERVAL_S)
                self._check(time.time())

    def _check(self, now: float) -> None:
        for connection in list(self._connections):
            if connection.is_dead(now, self.latest_answered_sent_at):
                connection.close("dead_lines")
            elif (
                connection.unused
                and now - connection.last_heard > SPARE_CONNECTION_KEEP_S
                and len(self._connections) > 1
            ):
                connection.close("spare_lines")
                return  # one at a time, so that the last one is kept
        self._repeat_unconfirmed_releases(now)
        if now < self._next_connect_at:
            return
        if not self._connections:
            if self.standing or self._unsent_releases:
                self._next_connect_at = now + FAILURE_CONFIRM_S
                self._open_connection()
        elif self._has_work and now - self.last_heard >= SERVER_SILENCE_S:
            self._check_server(now)
        elif self._may_miss_releases(now):
            self._open_for_releases(now)

    def _repeat_unconfirmed_releases(self, now: float) -> None:
        """Sends again the releases that went out on a connection that has been silent since, if another one
        was heard or opened later: the server may be slow, but that connection may also be dead."""
        for connection in self._connections:
            others_heard_at = max(
                (other.last_heard for other in self._connections if other is not connection), default=0.0
            )
            sent_before = min(now - RELEASE_REPEAT_S, others_heard_at)
            for release in connection.take_unconfirmed_releases(sent_before):
                self._repeat_release(release)

    def _check_server(self, now: float) -> None:
        """Opens a connection to see whether the server, which is silent, is alive.

        A machine that has failed sends no data and no resets, and accepts no connection: only an attempt to
        connect shows that its calls are over. The platform requires their callers to be told within 8 s."""
        self._next_connect_at = now + (
            SERVER_SILENCE_S if self._first_failure_at <= self.last_heard else FAILURE_CONFIRM_S
        )
        if not self._may_open:
            self._connections[0].close("spare_lines")  # all of them are silent
        self.owner.counters.add("servers.checks")
        self._open_connection()

    def _may_miss_releases(self, now: float) -> bool:
        """Whether the release of a call may have been sent on a connection that did not deliver it."""
        oldest_heard = self.standing.oldest_heard()
        if oldest_heard is None:
            return False
        return (
            self._release_lost_at > self._releases_repeated_at
            or now - max(oldest_heard, self._releases_repeated_at) >= RELEASE_CHECK_S
        )

    def _open_for_releases(self, now: float) -> None:
        """Opens a connection, on which the server repeats the releases that were not confirmed.

        At the limit of connections, an idle one is closed first; the next check opens the new one."""
        if not self._may_open:
            self._close_idle_connection()
            return
        self._next_connect_at = now + RELEASE_CHECK_RETRY_S
        self.owner.counters.add("servers.release_checks")
        self._open_connection()

    def _close_idle_connection(self) -> None:
        """Closes the idle connection that has been silent longest; not the only connection."""
        idle = [connection for connection in self._connections if connection.idle]
        if idle and len(self._connections) > 1:
            min(idle, key=lambda connection: connection.last_heard).close("spare_lines")

    @property
    def _may_open(self) -> bool:
        """Whether the limits of this pool and of its owner allow another connection."""
        return len(self._connections) < MAX_CONNECTIONS and self.owner.may_connect

    @property
    def _has_work(self) -> bool:
        return bool(self.standing) or any(connection.load for connection in self._connections)
