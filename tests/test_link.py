"""The evidence of a server's death, without sockets."""

from __future__ import annotations

import time
from typing import cast

import pytest
from anyio.abc import TaskGroup

from harepick.core.inbox import Inbox
from harepick.core.messages import Attempt
from harepick.counters import Counters
from harepick.log import Log
from harepick.net import sip
from harepick.net.connection_pool import FAILURE_CONFIRM_S, SERVER_SILENCE_S, ConnectionPool
from harepick.net.server_connection import ServerConnection
from harepick.settings import Address

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Owner:
    """What a link needs of its owner."""

    def __init__(self) -> None:
        self.inbox = Inbox()
        self.counters = Counters()
        self.log = Log(fd=1)
        self.connect_timeout = 0.5
        self.idle_close = 600.0
        self.room = True


def link() -> tuple[ConnectionPool, Owner, ServerConnection]:
    """A link on which one call stands, at a server that has been silent for too long."""
    owner = Owner()
    made = ConnectionPool(owner, cast(TaskGroup, None), "s0", Address("127.0.0.1", 5))
    line = ServerConnection(made)
    line.up = True
    made._lines.append(line)
    made.stands("c1", b"77", line)
    made.heard = time.time() - SERVER_SILENCE_S - 1.0
    return made, owner, line


async def test_a_connection_that_comes_up_and_stays_silent_proves_no_life() -> None:
    """The kernel of a vanished machine may still take some: that put the end of its calls off until the list
    told it, seconds later."""
    made, owner, _ = link()
    made._failure()
    made.came_up(ServerConnection(made))
    assert owner.counters["servers.died"] == 0
    time.sleep(FAILURE_CONFIRM_S + 0.01)
    made._failure()
    assert owner.counters["servers.died"] == 1 and not made.standing


async def test_a_word_between_two_failed_connections_proves_life() -> None:
    made, owner, _ = link()
    made._failure()
    made.heard = time.time()
    time.sleep(FAILURE_CONFIRM_S + 0.01)
    made._failure()
    assert owner.counters["servers.died"] == 0 and made.standing


async def test_a_refusal_is_no_sign_of_life() -> None:
    """Errors went on to come from a server whose machine had vanished with all its calls."""
    made, owner, line = link()
    made._failure()
    error = b"SIP/2.0 500 No\r\nCall-ID: c2\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"
    line.heard = time.time()
    for message in sip.Decoder().feed(error):
        await line._take(message)
    time.sleep(FAILURE_CONFIRM_S + 0.01)
    made._failure()
    assert owner.counters["servers.died"] == 1


async def test_without_room_for_another_line_set_ups_share_one() -> None:
    made, owner, line = link()
    owner.room = False
    for call in ("c2", "c3", "c4"):
        assert made.place(Attempt(call, 0, "s0", 0.0, 1.0, None, lambda attempt, now: True))
    assert made.lines == 1 and line.load == 3
