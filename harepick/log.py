"""The log: structlog with orjson, one JSON line an event, on standard error.

Owns the writing thread. Logging never blocks (a full queue drops the line and counts it) and never floods
(each event name has so many lines a second; what is left out is told with the next line that gets through).
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

QUEUE = 2_000
LINES_A_SECOND = 20.0  # of one event name

Line = MutableMapping[str, Any]


class Log:
    def __init__(
        self,
        name: str = "",
        fd: int = 2,
        *,
        lines_a_second: float = LINES_A_SECOND,
        queue_size: int = QUEUE,
    ) -> None:
        self._name = name
        self._fd = fd
        self._rate = lines_a_second  # of one event name
        self._queue: queue.Queue[bytes | None] = queue.Queue(queue_size)
        self._allowance: dict[str, tuple[float, float, int]] = {}  # event -> (tokens, when, left out)
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()
        render = structlog.processors.JSONRenderer(orjson.dumps, default=str)
        self._log = structlog.wrap_logger(
            _Queued(self._put), processors=[self._shape, render], wrapper_class=structlog.BoundLogger
        ).bind()

    def event(self, event: str, **fields: object) -> None:
        """One event, unless its name has had its share of this second: that is looked at first, as it has to
        cost next to nothing in a flood."""
        now = time.time()
        rate = self._rate
        tokens, when, left_out = self._allowance.get(event, (rate, now, 0))
        tokens = min(rate, tokens + (now - when) * rate) if rate < inf else inf
        if tokens < 1.0:
            self._allowance[event] = (tokens, now, left_out + 1)
            return
        self._allowance[event] = (tokens - 1.0, now, 0)
        self._log.info(event, _now=now, _left_out=left_out, **fields)

    def close(self, wait: float = 1.0) -> None:
        """Writes what is queued; gives up after `wait` if nobody reads."""
        try:
            self._queue.put(None, timeout=wait)
        except queue.Full:
            return
        self._thread.join(wait)

    def _shape(self, _: object, __: str, line: Line) -> Line:
        """The line's form: when, what and who first, then the fields as they were given."""
        shaped: Line = {"at": round(line.pop("_now"), 3), "event": line.pop("event")}
        if self._name:
            shaped["name"] = self._name
        if left_out := line.pop("_left_out"):
            shaped["left_out"] = left_out
        shaped.update(line)
        return shaped

    # Writing

    def _put(self, line: bytes) -> None:
        try:
            self._queue.put_nowait(line + b"\n")
        except queue.Full:
            event = str(orjson.loads(line)["event"])
            tokens, when, left_out = self._allowance[event]
            self._allowance[event] = (tokens, when, left_out + 1)

    def _write(self) -> None:
        while (line := self._queue.get()) is not None:
            while line:
                try:
                    line = line[os.write(self._fd, line) :]
                except OSError:
                    break  # nobody reads any more: the program goes on without a log


class _Queued:
    """What structlog takes for a logger: hands each rendered line on."""

    def __init__(self, put: Any) -> None:
        self.info = put
