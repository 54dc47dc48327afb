"""Flow control of accepted connections: a client is not read faster than its messages are handled."""

from __future__ import annotations

from typing import Any, cast

from anyio.abc import ByteStream


def pause_reading(stream: ByteStream) -> None:
    """Reads nothing from a connection that was just accepted until `receive` waits for data.

    A stream of anyio (4.16) reads only while a `receive` waits, but that begins with the end of the first one
    that had to wait. If data is there before each `receive`, as from a client that sends at full speed from
    the beginning, asyncio goes on reading into a queue without a bound. anyio has no public way to pause."""
    cast(Any, stream)._transport.pause_reading()
