"""The core's port to the setup servers: passes every order to the connection pool of its server.

Owns the set of pools and makes no decisions: whether a set-up may still be sent is asked of the core right
before its bytes go out, in `server_connection.py`."""

from __future__ import annotations

import anyio
from anyio.abc import TaskGroup, TaskStatus

from harepick import interface
from harepick.core.inbox import Inbox
from harepick.core.messages import Attempt
from harepick.counters import Counters
from harepick.directory import Directory
from harepick.log import Log
from harepick.net.connection_pool import ConnectionPool


class Servers:
    """The connection pools of all setup servers. Implements the core's `ServersPort` protocol; times in
    seconds."""

    def __init__(
        self,
        directory: Directory,
        inbox: Inbox,
        counters: Counters,
        log: Log,
        connect_timeout: float,
        idle_close: float,
        max_connections: int,
    ) -> None:
        self.directory = directory
        self.inbox = inbox
        self.counters = counters
        self.log = log
        self.connect_timeout = connect_timeout
        self.idle_close = idle_close
        self._max_connections = max_connections
        self._pools: dict[str, ConnectionPool] = {}
        self._tasks: TaskGroup | None = None

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Runs the tasks of the pools and their connections, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            task_status.started()
            await anyio.sleep_forever()

    @property
    def may_connect(self) -> bool:
        """Whether another connection fits the limit over all servers."""
        return sum(pool.connection_count for pool in self._pools.values()) < self._max_connections

    @property
    def pending_writes(self) -> int:
        """Orders not known to be written."""
        return sum(pool.backlog for pool in self._pools.values())

    def place(self, attempt: Attempt) -> interface.Outcome | None:
        """Starts an attempt; returns an outcome if it is over at once."""
        pool = self._pool(attempt.server)
        if pool is None:
            return interface.Outcome.UNREACHED
        return None if pool.place(attempt) else interface.Outcome.MOOT

    def cancel(self, attempt: Attempt) -> bool:
        """Cancels an attempt; returns True if it is over already, else an `AttemptOver` follows."""
        pool = self._pools.get(attempt.server)
        # If it is open on no connection, it was never sent, or was given up with its connection.
        return pool is None or attempt.sent is None or not pool.cancel(attempt)

    def release(self, server: str, call: str) -> None:
        """Releases a standing call; counted as lost if that cannot be queued."""
        pool = self._pools.get(server)
        if pool is None or not pool.release(call):
            self.counters.add("servers.releases_lost")

    def apply_list(self, event: interface.ServerList) -> None:
        """Applies the server list: closes connections to a server that was restarted, moved or removed."""
        for entry in event.entries:
            if pool := self._pools.get(entry.server):
                pool.update_from_list(entry, self.directory)
                if pool.server_gone:
                    del self._pools[entry.server]

    def _pool(self, server: str) -> ConnectionPool | None:
        if pool := self._pools.get(server):
            return pool
        record = self.directory.get(server)
        if record is None or record.entry.state == "gone" or self._tasks is None:
            return None
        pool = self._pools[server] = ConnectionPool(self, self._tasks, server, record.address)
        self._tasks.start_soon(pool.watch)
        return pool
