"""The log: structlog with orjson, one JSON line per event, on standard error.

A thread of its own writes the lines. Logging never blocks (a full queue drops the line and counts it) and is
limited to a rate per event name; the next line of that name tells how many were dropped (`left_out`).
"""

from __future__ import annotations

import os
import queue
import threading
import time
from collections.abc import MutableMapping
from math import inf
from typing import Any

import orjson
import structlog

MAX_QUEUED_LINES = 2_000
MAX_LINES_PER_SECOND = 20.0  # of one event name

Line = MutableMapping[str, Any]


class Log:
    """Writes events to a file descriptor, `lines_a_second` of each event name at most.

    `name` is added to every line; `queue_size` lines may wait to be written.
    """

    def __init__(
        self,
        name: str = "",
        fd: int = 2,
        *,
        lines_a_second: float = MAX_LINES_PER_SECOND,
        queue_size: int = MAX_QUEUED_LINES,
    ) -> None:
        self._name = name
        self._fd = fd
        self._rate = lines_a_second
        self._queue: queue.Queue[bytes | None] = queue.Queue(queue_size)
        self._buckets: dict[str, tuple[float, float, int]] = {}  # event -> (tokens, updated at, dropped)
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()
        render = structlog.processors.JSONRenderer(orjson.dumps, default=str)
        self._log = structlog.wrap_logger(
            _Queued(self._put), processors=[self._order_keys, render], wrapper_class=structlog.BoundLogger
        ).bind()

    def event(self, event: str, **fields: object) -> None:
        """Logs one event, unless its name has exceeded its rate.

        The rate is checked first, so that a flood of events costs little.
        """
        now = time.time()
        rate = self._rate
        tokens, updated_at, dropped = self._buckets.get(event, (rate, now, 0))
        tokens = min(rate, tokens + (now - updated_at) * rate) if rate < inf else inf
        if tokens < 1.0:
            self._buckets[event] = (tokens, now, dropped + 1)
            return
        self._buckets[event] = (tokens - 1.0, now, 0)
        self._log.info(event, _now=now, _left_out=dropped, **fields)

    def close(self, wait: float = 1.0) -> None:
        """Writes the queued lines; gives up after `wait` seconds if nobody reads them."""
        try:
            self._queue.put(None, timeout=wait)
        except queue.Full:
            return
        self._thread.join(wait)

    def _order_keys(self, _logger: object, _method: str, line: Line) -> Line:
        """Orders the keys of a line: time, event and name, then the fields as they were given."""
        ordered: Line = {"at": round(line.pop("_now"), 3), "event": line.pop("event")}
        if self._name:
            ordered["name"] = self._name
        if dropped := line.pop("_left_out"):
            ordered["left_out"] = dropped
        ordered.update(line)
        return ordered

    # Writing

    def _put(self, line: bytes) -> None:
        try:
            self._queue.put_nowait(line + b"\n")
        except queue.Full:
            event = str(orjson.loads(line)["event"])
            tokens, updated_at, dropped = self._buckets[event]
            self._buckets[event] = (tokens, updated_at, dropped + 1)

    def _write(self) -> None:
        while (line := self._queue.get()) is not None:
            while line:
                try:
                    line = line[os.write(self._fd, line) :]
                except OSError:
                    break  # the reader is gone: the program goes on without a log


class _Queued:
    """The logger that structlog wraps: passes each rendered line to `put`."""

    def __init__(self, put: Any) -> None:
        self.info = put
