"""Evidence that a setup server has died, without sockets."""

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
from harepick.net.connection_pool import (
    CHECK_INTERVAL_S,
    FAILURE_CONFIRM_S,
    RELEASE_CHECK_S,
    SERVER_SILENCE_S,
    ConnectionPool,
)
from harepick.net.server_connection import RELEASE_REPEAT_S, ByeOrder, ServerConnection
from harepick.net.standing_calls import Dialog
from harepick.settings import Address

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Owner:
    """What a connection pool needs of its owner."""

    def __init__(self) -> None:
        self.inbox = Inbox()
        self.counters = Counters()
        self.log = Log(fd=1)
        self.connect_timeout = 0.5
        self.idle_close = 600.0
        self.may_connect = True


def pool_with_standing_call() -> tuple[ConnectionPool, Owner, ServerConnection]:
    """A pool with one standing call, at a server that has been silent for too long."""
    owner = Owner()
    pool = ConnectionPool(owner, cast(TaskGroup, None), "s0", Address("127.0.0.1", 5))
    connection = ServerConnection(pool)
    connection.connected = True
    pool._connections.append(connection)
    pool.standing.add("c1", Dialog(b"77", time.time(), connection))
    pool.last_heard = time.time() - SERVER_SILENCE_S - 1.0
    return pool, owner, connection


async def test_silent_new_connection_does_not_count_as_activity() -> None:
    """Regression: the kernel of a machine may accept connections after its processes have ended. Counted as
    activity of the server, they delayed the end of its calls by seconds, until the list reported it."""
    pool, owner, _ = pool_with_standing_call()
    pool._connection_failed()
    pool.connection_opened(ServerConnection(pool))
    assert owner.counters["servers.died"] == 0
    time.sleep(FAILURE_CONFIRM_S + 0.01)
    pool._connection_failed()
    assert owner.counters["servers.died"] == 1 and not pool.standing


async def test_message_between_two_failed_connections_counts_as_activity() -> None:
    pool, owner, _ = pool_with_standing_call()
    pool._connection_failed()
    pool.last_heard = time.time()
    time.sleep(FAILURE_CONFIRM_S + 0.01)
    pool._connection_failed()
    assert owner.counters["servers.died"] == 0 and pool.standing


async def test_refusal_does_not_count_as_activity() -> None:
    """An intermediary may go on sending errors for a server whose machine has failed with all its calls."""
    pool, owner, connection = pool_with_standing_call()
    pool._connection_failed()
    error = b"SIP/2.0 500 No\r\nCall-ID: c2\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"
    connection.last_heard = time.time()
    for message in sip.Decoder().feed(error):
        await connection._handle_message(message)
    time.sleep(FAILURE_CONFIRM_S + 0.01)
    pool._connection_failed()
    assert owner.counters["servers.died"] == 1


async def test_set_ups_share_a_connection_at_the_connection_limit() -> None:
    pool, owner, connection = pool_with_standing_call()
    owner.may_connect = False
    for call in ("c2", "c3", "c4"):
        assert pool.place(Attempt(call, 0, "s0", 0.0, 1.0, None, lambda attempt, now: True))
    assert pool.connection_count == 1 and connection.load == 3


class RecordingTasks:
    """Stands in for a task group; counts the connections that a pool begins to open."""

    def __init__(self) -> None:
        self.opened = 0

    def start_soon(self, *_: object) -> None:
        self.opened += 1


async def test_at_the_limit_a_quiet_connection_with_calls_is_replaced() -> None:
    """The server repeats on the next connection what it could not deliver; there has to be room for it."""
    pool, owner, quiet = pool_with_standing_call()
    tasks = RecordingTasks()
    pool._tasks = cast(TaskGroup, tasks)
    lively = ServerConnection(pool)
    lively.connected, owner.may_connect = True, False
    pool._connections.append(lively)
    now = pool.last_heard = lively.last_heard = time.time()
    quiet.last_heard = now - RELEASE_CHECK_S + 0.1
    pool._check(now)
    assert not quiet.scope.cancel_called and tasks.opened == 0
    pool._check(now + 0.1)
    assert quiet.scope.cancel_called and not lively.scope.cancel_called and tasks.opened == 0
    pool.connection_ended(quiet)
    owner.may_connect = True
    pool._check(now + 0.2)
    assert tasks.opened == 1 and owner.counters["servers.release_checks"] == 1


async def test_releases_are_expected_again_after_each_silence() -> None:
    """A call that goes on after one check may end unheard before the next."""
    pool, _owner, connection = pool_with_standing_call()
    tasks = RecordingTasks()
    pool._tasks = cast(TaskGroup, tasks)
    now = pool.last_heard = time.time()
    connection.last_heard = now - RELEASE_CHECK_S
    pool._check(now)
    assert tasks.opened == 1
    latest = pool._connections[-1]
    latest.connected, latest.created_at, latest.last_heard = True, now, now
    pool.connection_opened(latest)
    pool.connection_ended(latest)  # closed as spare
    for after, opened in ((1.5, 1), (RELEASE_CHECK_S - 0.1, 1), (RELEASE_CHECK_S + 0.1, 2)):
        pool.last_heard = now + after
        pool._check(now + after)
        assert tasks.opened == opened, after


@pytest.mark.parametrize(("closed_by_server", "opened"), [(False, 1), (True, 0)])
async def test_a_failed_connection_with_calls_is_replaced_at_once(
    closed_by_server: bool, opened: int
) -> None:
    """After a close by the server, everything that it had sent has been received."""
    pool, _owner, failed = pool_with_standing_call()
    tasks = RecordingTasks()
    pool._tasks = cast(TaskGroup, tasks)
    lively = ServerConnection(pool)
    lively.connected = True
    pool._connections.append(lively)
    now = pool.last_heard = lively.last_heard = failed.last_heard = time.time()
    failed.closed_by_server = closed_by_server
    pool.connection_ended(failed)
    pool._check(now + CHECK_INTERVAL_S)
    assert tasks.opened == opened


@pytest.mark.parametrize(
    ("confirmed_by", "repeated"), [("nothing", 1), ("response", 0), ("a later message", 0)]
)
async def test_only_a_release_that_may_be_lost_is_repeated_and_only_once(
    confirmed_by: str, repeated: int
) -> None:
    pool, owner, quiet = pool_with_standing_call()
    lively = ServerConnection(pool)
    lively.connected = True
    pool._connections.append(lively)
    now = time.time()
    quiet.last_heard = lively.last_heard = pool.last_heard = now
    release = ByeOrder("c1")
    assert quiet._encode(release) is not None
    quiet._remember_release(release)
    if confirmed_by == "response":
        confirmation = b"SIP/2.0 200 OK\r\nCall-ID: c1\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n"
        for message in sip.Decoder().feed(confirmation):
            await quiet._handle_message(message)
    elif confirmed_by == "a later message":
        quiet.last_heard = now + 1.0
    pool._check(now + RELEASE_REPEAT_S - 0.1)
    assert len(lively.outbox) == 0
    lively.last_heard = pool.last_heard = now + RELEASE_REPEAT_S
    pool._check(now + RELEASE_REPEAT_S + 0.1)
    assert [len(lively.outbox), owner.counters["servers.releases_repeated"]] == [repeated, repeated]
    for order in lively.outbox.take():
        assert lively._encode(order) is not None
        assert order is release
        lively._remember_release(release)
    assert lively.take_unconfirmed_releases(now + 2 * RELEASE_REPEAT_S) == []


async def test_release_queued_on_a_failed_connection_goes_out_on_another_open_one() -> None:
    """It was kept for the next connection, though another one was open."""
    pool, _owner, failed = pool_with_standing_call()
    lively = ServerConnection(pool)
    lively.connected = True
    pool._connections.append(lively)
    release = ByeOrder("c1")
    assert failed.outbox.put(release)
    pool.connection_ended(failed)
    assert lively.outbox.take() == [release]
