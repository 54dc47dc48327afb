"""Where two events cross on sockets: each crossing is forced, never hoped for (docs/design/crossings.md).

Some start the real program; where the moment is one turn of the event loop, the part that owns the sockets
runs in the test's own loop, on real sockets, and the test does both events in the same turn.
"""

from __future__ import annotations

import json
import random
import resource
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Any

import anyio
import anyio.abc
import anyio.lowlevel
import pytest

from harepick import interface as i
from harepick.core.inbox import BATCH, ROOM, Inbox
from harepick.core.messages import Attempt, AttemptOver, CallerGone, Message, Offer
from harepick.counters import Counters
from harepick.log import Log
from harepick.net import binary, sip
from harepick.net.bus import LAG_JITTER_S, LAG_TOLERANCE_S, MAX_LAG_TOLERANCE_S, LagMonitor
from harepick.net.callers import Callers
from harepick.net.connection_limits import CallerConnection, CallerMessage
from harepick.net.connection_pool import ConnectionPool
from harepick.net.setups import Request
from harepick.settings import Address
from tests import peers
from tests.test_platform import establish_call

Leave = Callable[[peers.Caller, bytes], None]
LEAVES: dict[str, Leave] = {
    "close": lambda caller, call: caller.close(),
    "reset": lambda caller, call: caller.close(reset=True),
    "cancel": lambda caller, call: caller.send_request(binary.RELEASE, call, 16),
    "half-close": lambda caller, call: caller.sock.shutdown(socket.SHUT_WR),
}


# A client that has left


@contextmanager
def unreachable(server: peers.SetupServer) -> Iterator[Callable[[], None]]:
    """No connection to it comes up until the returned call: its queue is full, and drops what comes."""
    server.listener.listen(0)
    where = server.listener.getsockname()
    fillers = []
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(where)
        fillers.append(filler)

    def reach() -> None:
        server.listener.listen(128)
        for filler in fillers:
            filler.close()

    try:
        yield reach
    finally:
        for filler in fillers:
            filler.close()


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("how", LEAVES)
def test_nothing_is_sent_for_a_client_that_left_while_its_call_waited_for_a_connection(
    how: str, cancelling: bool
) -> None:
    """Where settings allow no cancel, the module revokes nothing: the last look has to know the client."""
    platform = peers.Platform()
    platform.config["settings"]["Bounds"] |= {"Cancelling": cancelling, "DialTimeout": 6.0}
    with platform.run() as running, unreachable(platform.servers[0]) as reach:
        other = peers.Caller(platform.port)
        leaving = peers.Caller(platform.port)
        left = leaving.call(time_limit_ms=4000)
        running.wait_for_counter("attempts.placed")
        LEAVES[how](leaving, left)
        running.wait_for_counter("calls.given_up")
        reach()
        stays = other.call(time_limit_ms=4000)
        found = peers.until(lambda: first_invite(platform.servers[0]), why="the other call")
        assert found[1].call == stays.hex()
        peers.reply(found[0], found[1], 200, b"answer")
        assert other.final_answer(stays).type == binary.ANSWER
        running.wait_for_counter(
            "servers.connections", 2
        )  # the one that the call had waited for has come up too
        assert platform.servers[0].invited(within=0.3) is None
        assert running.counters()["servers.sent_invite"] == 1


def first_invite(server: peers.SetupServer) -> tuple[peers.Peer, sip.Message] | None:
    """The first set-up on any line; the fillers of its queue are lines that end at once."""
    return server.invited(within=0.05)


@pytest.mark.parametrize("how", LEAVES)
def test_no_further_attempt_for_a_client_that_left_in_the_wait_after_a_reset(how: str) -> None:
    platform = peers.Platform()
    with platform.run() as running:
        leaving = peers.Caller(platform.port)
        left = leaving.call()
        line = platform.servers[0].accept()
        assert peers.invite(line).call == left.hex()
        line.close(reset=True)
        running.wait_for_counter("attempts.reset")
        LEAVES[how](leaving, left)
        assert platform.servers[0].invited(within=0.8) is None
        counters = running.counters()
        assert counters["servers.sent_invite"] == 1 and counters["calls.given_up"] == 1


def test_a_set_up_and_its_clients_end_in_one_go_leave_nothing_behind() -> None:
    """A thousand of them: whichever is heard first, what was begun is given up, and nothing begins later."""
    platform = peers.Platform()
    with platform.run() as running:
        for n in range(1000):
            leaving = peers.Caller(platform.port)
            leaving.call(call_id=n.to_bytes(7, "big") + b"\1", number=b"%d" % n)
            leaving.close(reset=n % 2 == 1)
        other = peers.Caller(platform.port)
        stays = other.call(call_id=b"\7" * 8)
        while True:
            found = peers.until(lambda: first_invite(platform.servers[0]), why="a call that stays")
            if found[1].call == stays.hex():
                break
        peers.reply(found[0], found[1], 200, b"answer")
        assert other.final_answer(stays).type == binary.ANSWER
        peers.until(lambda: peers.metrics(platform.ops)["edge_gw_pending"] == 1, why="all others given up")
        sent = running.counters()["servers.sent_invite"]
        peers.until(lambda: platform.servers[0].invited(within=0.5) is None, why="the rest to be read")
        assert running.counters()["servers.sent_invite"] == sent


def test_an_id_that_comes_again_while_its_first_attempt_is_still_out_is_refused_at_once() -> None:
    """Its connection was closed without a word, as for an id that is open."""
    platform = peers.Platform()
    platform.config["settings"]["Bounds"]["Cancelling"] = False
    with platform.run() as running:
        first, second = peers.Caller(platform.port), peers.Caller(platform.port)
        call = first.call()
        line = platform.servers[0].accept()
        asked = peers.invite(line)
        first.close()
        running.wait_for_counter("calls.given_up")
        second.call(call_id=call)
        refused = second.final_answer(call)
        assert refused.parameters[binary.CAUSE] == bytes([42])
        guard = platform.config["settings"]["Extra"]["Guard"]
        assert int(refused.parameters[binary.RETRY_AFTER]) == round(guard * 1000)
        peers.reply(line, asked, 503, note=b"processor_full")
        running.wait_for_counter("attempts.full")
        second.call(call_id=call)
        found = peers.until(lambda: platform.servers[0].invited(within=0.1), why="the call, once more")
        assert found[1].call == call.hex()


# A list that falls silent


def told(bus: socket.socket, *lines: object) -> None:
    """The bus says these: numbers for its line of each second, events as they are."""
    bus.sendall(b"".join(json.dumps(line).encode() + b"\n" for line in lines))


def test_a_watch_that_speaks_and_brings_no_events_is_asked_again_from_the_last_one() -> None:
    """It counts as told 4 s after it fell silent; each second's line kept the old silence check quiet."""
    platform = peers.Platform()
    with platform.run() as running:
        withheld = platform.accept_bus_connection()
        assert withheld.recv(100) == b"from 1\n"
        told(withheld, {"offset": 1}, peers.event(2, peers.row("s9", "127.0.0.1:9", 1)), {"offset": 2})
        peers.until(lambda: running.events("list"), why="the event")
        began = time.monotonic()
        stop = threading.Event()

        def speak() -> None:
            while not stop.wait(0.2):
                with suppress(OSError):
                    told(withheld, {"offset": 3})

        speaker = threading.Thread(target=speak)
        speaker.start()
        try:
            again = platform.accept_bus_connection()
        finally:
            stop.set()
            speaker.join()
        assert again.recv(100) == b"from 2\n"
        assert time.monotonic() - began < 3.0
        told(
            again, peers.event(3, peers.row("s0", platform.servers[0].address, 0, "DRAINING")), {"offset": 3}
        )
        peers.until(lambda: len(running.events("list")) == 2, why="what was kept back")
        assert running.counters()["bus.behind"] == 1


def test_events_that_are_missing_in_the_middle_are_asked_for_and_a_bus_without_them_is_believed() -> None:
    platform = peers.Platform(servers=2)
    with platform.run() as running:
        bus = platform.accept_bus_connection()
        assert bus.recv(100) == b"from 1\n"
        late = peers.row("s9", "127.0.0.1:9", 1)
        told(bus, peers.event(2, late), peers.event(4, late))
        bus = platform.accept_bus_connection()
        assert bus.recv(100) == b"from 2\n"
        drain = peers.row("s0", platform.servers[0].address, 0, "DRAINING")
        told(bus, peers.event(3, drain), peers.event(4, late), peers.event(6, late))
        bus = platform.accept_bus_connection()
        assert bus.recv(100) == b"from 4\n"
        told(bus, peers.event(6, late))  # there is no fifth: what a watch begins with is all there is
        told(bus, peers.event(9, peers.row("s1", platform.servers[1].address, 1), late, reset=True))
        peers.until(lambda: len(running.events("list")) == 5, why="the whole list, which skips nothing")
        assert [e["offset"] for e in running.events("list")] == [2, 3, 4, 6, 9]
        assert "s0 gone" in " ".join(running.events("list")[-1]["rows"])
        assert running.counters()["bus.gaps"] == 2


def test_lower_numbers_of_a_bus_take_nothing_back() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        bus = platform.accept_bus_connection()
        told(bus, peers.event(2, peers.row("s9", "127.0.0.1:9", 1)), {"offset": 1}, 0)
        told(bus, peers.event(1, peers.row("s0", platform.servers[0].address, 0, "DELETED"), reset=True))
        running.wait_for_counter("bus.lower_numbers", 2)
        running.wait_for_counter("bus.repeated")
        assert peers.metrics(platform.ops)["edge_gw_members"] == 2
        establish_call(platform, peers.Caller(platform.port))


def test_a_lag_is_borne_for_its_bound_and_longer_each_time_that_asking_brings_nothing() -> None:
    """Also spread: a fleet that notices in the same second does not ask in the same moment."""
    lags = [LagMonitor(random.Random(n)) for n in range(200)]
    for lag in lags:
        lag.bus_reported(5, 4, now=100.0)
    due = sorted(lag.reconnect_at - 100.0 for lag in lags if lag.reconnect_at is not None)
    assert len(due) == 200 and due[0] >= LAG_TOLERANCE_S and due[-1] <= LAG_TOLERANCE_S + LAG_JITTER_S
    per_tenth = [sum(n / 10 <= d - LAG_TOLERANCE_S < (n + 1) / 10 for d in due) for n in range(10)]
    assert max(per_tenth) < 45  # of 200; in step they would be all
    lag = lags[0]
    for tries in range(1, 8):
        lag.watch_started()
        lag.bus_reported(5, 4, now=200.0)
        assert lag.reconnect_at is not None
        bound = min(LAG_TOLERANCE_S * 2**tries, MAX_LAG_TOLERANCE_S)
        assert bound <= lag.reconnect_at - 200.0 <= bound + LAG_JITTER_S
    lag.event_applied(5)
    assert lag.reconnect_at is None
    lag.bus_reported(6, 5, now=300.0)
    assert lag.reconnect_at is not None and lag.reconnect_at - 300.0 <= LAG_TOLERANCE_S + LAG_JITTER_S


# A reload, a drain, and both


@pytest.mark.parametrize("first", [0, 9])
def test_a_set_up_that_comes_in_pieces_across_sigterm_is_answered(first: int) -> None:
    """With nothing else under way the process left after 0.8 s, in the middle of it or before it."""
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        whole = set_up(b"\5" * 8)
        caller.send(whole[:first])
        running.wait_for_counter("callers.connections")
        running.process.send_signal(signal.SIGTERM)
        peers.until(lambda: running.events("not_listening"), why="the close of the listener")
        time.sleep(0.5)  # well past the moment in which a process with nothing under way would leave
        assert not running.events("drained")
        caller.send(whole[first:])
        server = platform.servers[0].accept()
        peers.reply(server, peers.invite(server), 200, b"answer")
        assert caller.final_answer(b"\5" * 8).type == binary.ANSWER
        assert running.process.wait(8) == 0


def set_up(call: bytes) -> bytes:
    fields = {binary.CLASS: b"a", binary.NUMBER: b"77", binary.DESCRIPTION: b"offer"}
    fields[binary.ATTRIBUTES] = b"dest:0"
    return binary.Message(binary.SET_UP, call, fields).encode()


@pytest.mark.parametrize("when", ["before", "during"])
def test_a_drain_after_a_reload_answers_by_the_shorter_of_the_deadlines(when: str) -> None:
    """SIGKILL comes 0.7 s after the longest deadline, old or new: the tighter holds."""
    platform = peers.Platform()
    for row in platform.config["settings"]["Classes"]:
        row["GiveUp"], row["Promise"] = (1.0, 0.8) if when == "before" else (9.0, 0.8)
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        open_call = caller.call(time_limit_ms=1000)
        peers.invite(platform.servers[0].accept())
        for row in platform.config["settings"]["Classes"]:
            row["GiveUp"] = 9.0 if when == "before" else 1.0
        platform.path.write_text(json.dumps(platform.config))
        running.process.send_signal(signal.SIGHUP)
        running.process.send_signal(signal.SIGHUP)  # twice, and the end at once after them
        running.process.send_signal(signal.SIGTERM)
        began = time.monotonic()
        assert caller.final_answer(open_call).type == binary.RELEASE
        drained = peers.until(lambda: running.events("drained"), why="the end of the drain")
        assert drained[0]["after"] <= 1.0 + 0.7 - 0.2
        assert running.process.wait(4) == 0
        assert time.monotonic() - began < 1.0 + 0.7 + 0.5
        assert len(running.events("reloaded")) >= 1 and "reload_failed" not in running.text()


def test_a_reload_reaches_the_limits_that_parts_were_given_at_the_start() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        platform.config["settings"]["Bounds"] |= {"OpenCap": 1, "IdleClose": 0.4}
        platform.path.write_text(json.dumps(platform.config))
        running.process.send_signal(signal.SIGHUP)
        done = peers.until(lambda: running.events("reloaded"), why="the reload")[0]
        assert done["waiting_for_restart"] == []
        caller = peers.Caller(platform.port)
        first = caller.call()
        server = platform.servers[0].accept()
        asked = peers.invite(server)
        assert caller.final_answer(caller.call()).parameters[binary.CAUSE] == b"\x2a"  # one may be open now
        peers.reply(server, asked, 200, b"answer")
        assert caller.final_answer(first).type == binary.ANSWER
        caller.send_request(binary.RELEASE, first, 16)
        assert server.next(lambda m: m.method == "BYE").call == first.hex()
        server.send(sip.response(server_bye(first), 200, b"OK"))
        with pytest.raises(EOFError):  # closed as idle, after the new time
            server.next(lambda _: False, within=3.0)
        assert running.counters()["answers.no_room"] == 1


def server_bye(call: bytes) -> sip.Message:
    (message,) = sip.Decoder().feed(sip.bye(b"77", call.hex(), 2, 16))
    return message


def test_sighup_in_a_drain_and_before_the_start_is_over_ends_nothing() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        open_call = caller.call(time_limit_ms=2000)
        server = platform.servers[0].accept()
        asked = peers.invite(server)
        running.process.send_signal(signal.SIGTERM)
        peers.until(lambda: running.events("stopping"), why="the stop")
        running.process.send_signal(signal.SIGHUP)
        peers.reply(server, asked, 200, b"answer")
        assert caller.final_answer(open_call).type == binary.ANSWER
        assert running.process.wait(8) == 0


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_a_server_told_off_while_its_connection_opens_gets_nothing(state: str) -> None:
    platform = peers.Platform(servers=2)
    platform.config["settings"]["Bounds"]["DialTimeout"] = 6.0
    with platform.run() as running, unreachable(platform.servers[0]) as reach:
        bus = platform.accept_bus_connection()
        caller = peers.Caller(platform.port)
        call = caller.call(time_limit_ms=4000, destination=0)
        running.wait_for_counter("attempts.placed")
        told(bus, peers.event(2, peers.row("s0", platform.servers[0].address, 0, state)))
        peers.until(lambda: running.events("list"), why="the news")
        reach()
        found = peers.until(lambda: platform.servers[1].invited(within=0.1), why="the call at the other")
        assert found[1].call == call.hex()
        peers.reply(found[0], found[1], 200, b"answer")
        assert caller.final_answer(call).type == binary.ANSWER
        assert platform.servers[0].invited(within=0.5) is None
        assert running.counters()["servers.sent_invite"] == 1


def test_a_release_that_comes_after_the_drain_has_answered_all_reaches_the_server() -> None:
    platform = peers.Platform()
    for row in platform.config["settings"]["Classes"]:
        row["GiveUp"], row["Promise"] = 1.5, 0.8
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        call = caller.call(time_limit_ms=1400)
        server = platform.servers[0].accept()
        peers.reply(server, peers.invite(server), 200, b"answer")
        assert caller.final_answer(call).type == binary.ANSWER
        running.process.send_signal(signal.SIGTERM)
        peers.until(lambda: running.events("drained"), why="the end of the drain")
        caller.send_request(binary.RELEASE, call, 16)
        assert server.next(lambda m: m.method == "BYE").call == call.hex()
        assert running.process.wait(4) == 0
        assert "calls.cut_at_exit" not in running.events("counters")[-1]


# Descriptors


@pytest.mark.parametrize("sockets", [64, 256])
def test_idle_clients_that_fill_all_they_may_while_discovery_is_down_starve_nobody(sockets: int) -> None:
    """Callers, callers of `ops` and lines each have their share: together they were over the limit."""
    platform = peers.Platform()
    platform.config["limits"]["sockets"] = sockets
    where = platform.bus.getsockname()
    platform.bus.close()  # discovery is down from the start
    with platform.run() as running:
        resource.prlimit(running.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        idle = [peers.Caller(platform.port) for _ in range(2 * sockets)]
        slow = [socket.create_connection(("127.0.0.1", platform.ops)) for _ in range(2 * sockets)]
        running.wait_for_counter("callers.made_room")
        late = peers.Caller(platform.port)
        calls = [late.call() for _ in range(4)]
        lines = [platform.servers[0].accept() for _ in calls]
        for line in lines:  # at once: a server that answers late is taken for one under load
            peers.reply(line, peers.invite(line), 200, b"answer")
        assert {late.final_answer(call).type for call in calls} == {binary.ANSWER}
        assert peers.ops_call(platform.ops, "/api/ready")[0] == 200
        with socket.create_server(where) as platform.bus:
            assert platform.accept_bus_connection().recv(100) == b"from 1\n"
        for client in idle:
            client.close()
        for sock in slow:
            sock.close()
        after = peers.Caller(platform.port)
        again = after.call()
        line, what = peers.until(lambda: platform.servers[0].invited(within=0.1), why="the call after them")
        peers.reply(line, what, 200, b"answer")
        assert after.final_answer(again).type == binary.ANSWER
        counters = running.counters()
        assert "callers.not_accepted" not in counters and "ops.not_accepted" not in counters
        assert "servers.unreached" not in counters


def test_a_connection_that_failed_for_lack_of_our_own_descriptors_proves_no_death() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        call, server = establish_call(platform, caller)
        pid = running.process.pid
        _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (3, hard))  # not one more
        server.close(reset=True)  # the pool wants a new line for the call that stands, and gets none
        running.wait_for_counter("servers.unreached", 5)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (hard, hard))
        again = platform.servers[0].accept()
        again.send(sip.bye(b"1", call.hex(), 7, 16))
        assert caller.final_answer(call).parameters[binary.CAUSE] == bytes([16])
        assert "servers.died" not in running.counters()


def test_a_set_up_that_takes_over_2_s_to_write_is_answered() -> None:
    platform = peers.Platform()
    with platform.run():
        caller = peers.Caller(platform.port)
        whole = set_up(b"\6" * 8)
        for at in range(12):  # in twelve pieces, 0.21 s apart
            caller.send(whole[at * 3 : (at + 1) * 3 if at < 11 else None])
            time.sleep(0.21 if at < 11 else 0)
        server = platform.servers[0].accept()
        peers.reply(server, peers.invite(server), 200, b"answer")
        assert caller.final_answer(b"\6" * 8).type == binary.ANSWER


# In the same turn of the loop

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class CallerServer:
    """The callers' front on a real listener, in this loop, with an inbox that nobody drains."""

    def __init__(self) -> None:
        self.inbox, self.counters = Inbox(), Counters()
        classes = (i.CallClass("a", 1.0, 4.0, 1.0),)
        self.callers = Callers(classes, self.inbox, self.counters, Log(fd=1), max_connections=64)
        self.closing = anyio.Event()

    async def run(self, *, task_status: anyio.abc.TaskStatus[int]) -> None:
        async with await anyio.create_tcp_listener(local_host="127.0.0.1") as multi:
            (listener,) = multi.listeners
            assert isinstance(listener, anyio.abc.SocketListener)
            task_status.started(listener.extra(anyio.abc.SocketAttribute.local_port))
            await self.callers.listen(listener, self.closing)

    async def messages(self, kind: type[Message]) -> list[Any]:
        return [word for word in await self.inbox.drain(0) if isinstance(word, kind)]

    def connections(self) -> set[CallerConnection]:
        return self.callers._limits.connections


async def loop_turns(count: int) -> None:
    for _ in range(count):
        await anyio.lowlevel.checkpoint()


async def wait_for(what: Callable[[], object]) -> None:
    with anyio.fail_after(5):
        while not what():
            await anyio.sleep(0.001)


async def read(sock: socket.socket, decoder: binary.Decoder, within: float = 2.0) -> list[binary.Message]:
    """The next messages; none if the connection ends or stays silent."""
    sock.setblocking(False)
    with anyio.move_on_after(within):
        while True:
            await anyio.wait_readable(sock)
            try:
                data = sock.recv(4096)
            except OSError:
                return []
            if not data:
                return []
            if messages := list(decoder.feed(data)):
                return messages
    return []


@pytest.mark.parametrize("count", range(8))
async def test_a_connection_taken_in_the_turn_of_the_close_is_served(count: int) -> None:
    """A wait that was cancelled between the kernel's accept and its owner dropped the connection."""
    server_side = CallerServer()
    test = binary.Message(binary.TEST, b"\1" * 8, {binary.CAUSE: b"\0"}).encode()
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(server_side.run)
        await loop_turns(5)  # the listener waits
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(test)
            await loop_turns(count)
            server_side.closing.set()
            assert [m.type for m in await read(client, binary.Decoder())] == [binary.TEST_RESULT]
        tasks.cancel_scope.cancel()


async def test_a_connection_reset_in_the_queue_at_the_close_harms_nobody() -> None:
    server_side = CallerServer()
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(server_side.run)
        await loop_turns(5)
        stays = socket.create_connection(("127.0.0.1", port))
        resets = socket.create_connection(("127.0.0.1", port))
        resets.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        server_side.closing.set()  # nothing has been accepted yet
        resets.close()
        stays.sendall(binary.Message(binary.TEST, b"\1" * 8, {binary.CAUSE: b"\0"}).encode())
        assert [m.type for m in await read(stays, binary.Decoder())] == [binary.TEST_RESULT]
        stays.close()
        tasks.cancel_scope.cancel()


async def opened(server_side: CallerServer, port: int) -> tuple[socket.socket, CallerConnection]:
    """A connection of a caller that has sent a set-up, and the server_side's side of it."""
    before = set(server_side.connections())
    sock = socket.create_connection(("127.0.0.1", port))
    fields = {binary.CLASS: b"a", binary.NUMBER: b"77", binary.DESCRIPTION: b"offer"}
    sock.sendall(binary.Message(binary.SET_UP, bytes(7) + bytes([len(before) + 1]), fields).encode())
    await wait_for(lambda: any(c.open_set_ups for c in server_side.connections() - before))
    (connection,) = server_side.connections() - before
    return sock, connection


async def test_a_release_in_hand_when_its_connection_ends_goes_out_on_another() -> None:
    """In the turn of the end the writer had taken it, and it went with the connection: left standing."""
    server_side = CallerServer()
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(server_side.run)
        first, ending = await opened(server_side, port)
        second, _ = await opened(server_side, port)
        (offer,) = [w for w in await server_side.messages(Offer) if w.caller.connection is ending]
        offer.caller.stands(b"answer")
        assert [m.type for m in await read(first, binary.Decoder())] == [binary.ANSWER]
        offer.caller.over(cut=False)
        ending.scope.cancel()  # as the end of the connection does
        told = await read(second, binary.Decoder())
        assert [(m.type, m.call) for m in told] == [(binary.RELEASE, bytes.fromhex(offer.call))]
        tasks.cancel_scope.cancel()


async def test_an_answer_in_hand_when_its_connection_ends_has_the_call_given_up() -> None:
    server_side = CallerServer()
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(server_side.run)
        _sock, ending = await opened(server_side, port)
        (offer,) = await server_side.messages(Offer)
        offer.caller.stands(b"answer")
        ending.scope.cancel()
        await wait_for(lambda: ending not in server_side.connections())
        (gone,) = await server_side.messages(CallerGone)
        assert (gone.call, gone.caller) == (offer.call, offer.caller) and offer.caller.gone
        tasks.cancel_scope.cancel()


async def test_room_is_not_made_by_closing_a_connection_whose_answer_is_on_its_way_out() -> None:
    server_side = CallerServer()
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(server_side.run)
        sock, busy = await opened(server_side, port)
        (offer,) = await server_side.messages(Offer)
        offer.caller.refused(0.1)
        busy.outbox.take()  # as the writer does; the kernel has nothing of it yet
        assert not busy.nothing_pending and not server_side.callers._limits.evict_one()
        assert server_side.callers.pending_writes == 1  # a drain waits for it
        busy.outbox.put(CallerMessage(b"\1" * 8, b"", "free"))
        sock.close()
        tasks.cancel_scope.cancel()


async def test_the_end_of_a_caller_is_marked_before_the_core_hears_of_it() -> None:
    """The inbox is full: its words wait, the last look must not."""
    server_side = CallerServer()
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(server_side.run)
        sock, _ = await opened(server_side, port)
        (offer,) = await server_side.messages(Offer)
        while len(server_side.inbox) < ROOM:
            server_side.inbox.put_nowait(CallerGone("another"))
        sock.close()
        await wait_for(lambda: offer.caller.gone)
        tasks.cancel_scope.cancel()


async def test_an_end_that_lies_unread_in_a_socket_is_heard_before_a_late_set_up_leaves() -> None:
    """The turn in which the set-up was decided on took long, and its client closed in it."""
    server_side, owner = CallerServer(), Owner()
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(server_side.run)
        sock, _ = await opened(server_side, port)
        (offer,) = await server_side.messages(Offer)
        pool, first = await written(owner, tasks)
        pool._connections[0].open_attempts.clear()  # answered: the line is free
        late = attempt("0" * 15 + "2")
        late.guard = lambda attempt, now: not offer.caller.gone
        late.placed = time.time() - 0.1
        sock.close()
        pool.place(late)  # in the same turn
        await wait_for(lambda: offer.caller.gone)
        await loop_turns(10)
        assert first.sent is not None and late.sent is None
        tasks.cancel_scope.cancel()


async def test_a_full_inbox_is_heard_in_batches_and_in_order() -> None:
    """In one go it held the loop for most of a second, and nothing that callers said meanwhile was read."""
    inbox = Inbox()
    for n in range(2 * BATCH + 3):
        inbox.put_nowait(CallerGone(str(n)))
    heard = [await inbox.drain(0) for _ in range(4)]
    assert [len(batch) for batch in heard] == [BATCH, BATCH, 3, 0]
    assert [w.call for batch in heard for w in batch if isinstance(w, CallerGone)] == [
        str(n) for n in range(2 * BATCH + 3)
    ]


class Owner:
    """What a pool needs of its owner, with a real server's socket to connect to."""

    def __init__(self) -> None:
        self.inbox, self.counters, self.log = Inbox(), Counters(), Log(fd=1)
        self.connect_timeout, self.idle_close, self.may_connect = 0.5, 600.0, True
        self.listener = peers.listen()

    def address(self) -> Address:
        return Address("127.0.0.1", self.listener.getsockname()[1])


async def written(owner: Owner, tasks: anyio.abc.TaskGroup) -> tuple[ConnectionPool, Attempt]:
    """A pool with one line, and a set-up that is out on it."""
    pool = ConnectionPool(owner, tasks, "s0", owner.address())
    placed = attempt()
    pool.place(placed)
    await wait_for(lambda: owner.counters["servers.invites_written"])
    return pool, placed


def attempt(call: str = "0" * 15 + "1") -> Attempt:
    request = Request(b"a", b"77", b"offer")
    return Attempt(call, 0, "s0", 0.0, 2e9, request, lambda attempt, now: not attempt.revoked)


async def test_a_release_in_hand_when_its_line_ends_goes_to_the_server_on_the_next() -> None:
    owner = Owner()
    async with anyio.create_task_group() as tasks:
        pool = ConnectionPool(owner, tasks, "s0", owner.address())
        pool.place(attempt())
        await wait_for(lambda: owner.counters["servers.invites_written"])
        peer = peers.Peer(owner.listener.accept()[0], sip.Decoder())
        asked = await anyio.to_thread.run_sync(peers.invite, peer)
        peers.reply(peer, asked, 200, b"answer")
        await wait_for(lambda: pool.standing)
        await loop_turns(5)
        assert pool.release(asked.call)
        pool._connections[0].scope.cancel()  # the line ends in the turn in which the release is taken in hand
        await wait_for(lambda: not pool._connections)
        assert [bye.call for bye in pool._unsent_releases] == [asked.call]
        pool._open_connection()  # as its watch does
        fresh = peers.Peer((await anyio.to_thread.run_sync(owner.listener.accept))[0], sip.Decoder())
        bye = await anyio.to_thread.run_sync(lambda: fresh.next(lambda m: m.method == "BYE"))
        assert bye.call == asked.call
        tasks.cancel_scope.cancel()


async def test_a_set_up_given_to_a_line_in_the_turn_of_its_end_goes_out_on_the_next() -> None:
    """As when an idle line closes: it has not left, and nothing is known against the server."""
    owner = Owner()
    async with anyio.create_task_group() as tasks:
        pool = ConnectionPool(owner, tasks, "s0", owner.address())
        first, second = attempt(), attempt("0" * 15 + "2")
        pool.place(first)
        await wait_for(lambda: owner.counters["servers.invites_written"])
        peer = peers.Peer(owner.listener.accept()[0], sip.Decoder())
        asked = await anyio.to_thread.run_sync(peers.invite, peer)
        peers.reply(peer, asked, 503)
        await wait_for(lambda: not pool._connections[0].load)
        (connection,) = pool._connections
        connection.close("idle")
        pool.place(second)
        await wait_for(lambda: owner.counters["servers.invites_written"] == 2)
        fresh = peers.Peer((await anyio.to_thread.run_sync(owner.listener.accept))[0], sip.Decoder())
        assert (await anyio.to_thread.run_sync(peers.invite, fresh)).call == second.call
        over = [w for w in await owner.inbox.drain(0) if isinstance(w, AttemptOver)]
        assert [w.attempt for w in over] == [first]
        tasks.cancel_scope.cancel()


async def test_a_cancel_in_hand_when_its_line_ends_is_told_as_cancelled() -> None:
    """Unheard, the attempt was taken for out until its deadline, and the call stood still."""
    owner = Owner()
    async with anyio.create_task_group() as tasks:
        pool, placed = await written(owner, tasks)
        await loop_turns(5)
        placed.revoked = True
        assert pool.cancel(placed)
        pool._connections[0].scope.cancel()
        await wait_for(lambda: not pool._connections)
        over = [w for w in await owner.inbox.drain(0) if isinstance(w, AttemptOver)]
        assert [(w.attempt, w.outcome) for w in over] == [(placed, i.Outcome.CANCELLED)]
        tasks.cancel_scope.cancel()


async def test_a_cancel_that_finds_its_line_full_gives_the_set_up_up_with_the_line() -> None:
    """It counted as cancelled while its server still had it: the next attempt would have been a second."""
    owner = Owner()
    async with anyio.create_task_group() as tasks:
        pool, placed = await written(owner, tasks)
        (connection,) = pool._connections
        while connection.outbox.put(b""):
            pass
        placed.revoked = True
        assert pool.cancel(placed)
        await wait_for(lambda: not pool._connections)
        over = [w for w in await owner.inbox.drain(0) if isinstance(w, AttemptOver)]
        assert [(w.attempt, w.outcome) for w in over] == [(placed, i.Outcome.RESET)]
        tasks.cancel_scope.cancel()
