"""What both fronts share of start and stop."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import TaskStatus


class Front(Protocol):
    async def run(self, stop: anyio.Event, *, task_status: TaskStatus[None]) -> None:
        """Serves until `stop`, then answers all that is owed."""

    def reload(self) -> None:
        """Reads again what may change while the program runs."""


async def wait_until(done: Callable[[], bool], most: float, least: float = 0.0) -> None:
    """Waits until `done`, for `least` at least and `most` at most."""
    start = time.monotonic()  # the Unix clock may be set meanwhile
    while time.monotonic() - start < most:
        if time.monotonic() - start >= least and done():
            return
        await anyio.sleep(0.02)
