"""The log: orjson, one JSON line an event, on standard error.

Owns the writing thread. Logging never blocks (a full queue drops the line and counts it) and never floods
(each event name has so many lines a second; what is left out is told with the next line that gets through).
"""

from __future__ import annotations

import os
import queue
import threading
import time

import orjson

QUEUE = 2_000
LINES_A_SECOND = 20.0  # of one event name


class Log:
    def __init__(self, name: str = "", fd: int = 2) -> None:
        self._name = name
        self._fd = fd
        self._queue: queue.Queue[bytes | None] = queue.Queue(QUEUE)
        self._allowance: dict[str, tuple[float, float, int]] = {}  # event -> (tokens, when, left out)
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    def event(self, event: str, **fields: object) -> None:
        """One event, unless its name has had its share of this second."""
        now = time.time()
        tokens, when, left_out = self._allowance.get(event, (LINES_A_SECOND, now, 0))
        tokens = min(LINES_A_SECOND, tokens + (now - when) * LINES_A_SECOND)
        if tokens < 1.0:
            self._allowance[event] = (tokens, now, left_out + 1)
            return
        self._allowance[event] = (tokens - 1.0, now, 0)
        line: dict[str, object] = {"at": round(now, 3), "event": event}
        if self._name:
            line["name"] = self._name
        if left_out:
            line["left_out"] = left_out
        try:
            self._queue.put_nowait(orjson.dumps(line | fields, default=str) + b"\n")
        except queue.Full:
            self._allowance[event] = (tokens - 1.0, now, left_out + 1)

    def close(self, wait: float = 1.0) -> None:
        """Writes what is queued; gives up after `wait` if nobody reads."""
        try:
            self._queue.put(None, timeout=wait)
        except queue.Full:
            return
        self._thread.join(wait)

    def _write(self) -> None:
        while (line := self._queue.get()) is not None:
            while line:
                try:
                    line = line[os.write(self._fd, line) :]
                except OSError:
                    break  # nobody reads any more: the program goes on without a log
