"""The core's port towards the setup servers: hands every order to the link of its server.

Owns which links there are. It decides nothing: whether a set-up may still leave is asked of the core right
before its bytes go, in `server_connection.py`.
"""

from __future__ import annotations

import anyio
from anyio.abc import TaskGroup, TaskStatus

from harepick import interface as i
from harepick.core.inbox import Inbox
from harepick.core.messages import Attempt
from harepick.counters import Counters
from harepick.directory import Directory
from harepick.log import Log
from harepick.net.connection_pool import ConnectionPool


class Servers:
    def __init__(
        self,
        directory: Directory,
        inbox: Inbox,
        counters: Counters,
        log: Log,
        connect_timeout: float,
        idle_close: float,
        most_lines: int,
    ) -> None:
        self.directory = directory
        self.inbox = inbox
        self.counters = counters
        self.log = log
        self.connect_timeout = connect_timeout
        self.idle_close = idle_close
        self._most_lines = most_lines
        self._links: dict[str, ConnectionPool] = {}
        self._tasks: TaskGroup | None = None

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Holds the tasks of the links and their lines."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            task_status.started()
            await anyio.sleep_forever()

    @property
    def room(self) -> bool:
        return sum(link.lines for link in self._links.values()) < self._most_lines

    @property
    def unwritten(self) -> int:
        return sum(link.backlog for link in self._links.values())

    def place(self, attempt: Attempt) -> i.Outcome | None:
        link = self._link(attempt.server)
        if link is None:
            return i.Outcome.UNREACHED
        return None if link.place(attempt) else i.Outcome.MOOT

    def cancel(self, attempt: Attempt) -> bool:
        link = self._links.get(attempt.server)
        # If it is open nowhere, it never left, or its connection took it along.
        return link is None or attempt.sent is None or not link.cancel(attempt)

    def release(self, server: str, call: str) -> None:
        link = self._links.get(server)
        if link is None or not link.release(call):
            self.counters.add("servers.releases_lost")

    def listed(self, event: i.ServerList) -> None:
        """Follows the list: a server that has started anew, or gone, no longer holds its old connection."""
        for row in event.entries:
            if link := self._links.get(row.server):
                link.listed(row, self.directory)
                if link.retired:
                    del self._links[row.server]

    def _link(self, server: str) -> ConnectionPool | None:
        if link := self._links.get(server):
            return link
        row = self.directory.get(server)
        if row is None or row.entry.state == "gone" or self._tasks is None:
            return None
        link = self._links[server] = ConnectionPool(self, self._tasks, server, row.address)
        self._tasks.start_soon(link.watch)
        return link
