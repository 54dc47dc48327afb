"""Races between two events on sockets; each one is forced rather than left to chance
(docs/design/crossings.md).

Some tests start the real program. Where the race lies within one turn of the event loop, the part that
owns the sockets runs in the test's own loop, on real sockets, and the test triggers both events in the
same turn."""

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
from pathlib import Path
from typing import Any
from unittest.mock import MagicMock

import anyio
import anyio.abc
import anyio.lowlevel
import pytest

from harepick import interface
from harepick.core.engine import Engine
from harepick.core.inbox import DEFAULT_CAPACITY, MAX_BATCH_MESSAGES, Inbox
from harepick.core.messages import Attempt, AttemptOver, CallerGone, Message, Offer
from harepick.counters import Counters
from harepick.log import Log
from harepick.net import binary, sip
from harepick.net.bus import LAG_JITTER_S, LAG_TOLERANCE_S, MAX_LAG_TOLERANCE_S, LagMonitor
from harepick.net.callers import Callers
from harepick.net.connection_limits import CallerConnection, CallerMessage
from harepick.net.connection_pool import ConnectionPool
from harepick.net.service import ACCEPT_AFTER_SIGTERM_S, PlatformFront
from harepick.net.setups import Request
from harepick.settings import Address, read_platform
from tests import peers
from tests.test_platform import establish_call

Disconnect = Callable[[peers.Caller, bytes], None]
DISCONNECTS: dict[str, Disconnect] = {
    "close": lambda caller, call: caller.close(),
    "reset": lambda caller, call: caller.close(reset=True),
    "cancel": lambda caller, call: caller.send_request(binary.RELEASE, call, 16),
    "half-close": lambda caller, call: caller.sock.shutdown(socket.SHUT_WR),
}


# Clients that have left


@contextmanager
def unreachable(server: peers.SetupServer) -> Iterator[Callable[[], None]]:
    """Fills the server's accept queue, so that no connection to it is opened until the returned function
    is called."""
    server.listener.listen(0)
    where = server.listener.getsockname()
    fillers = []
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(where)
        fillers.append(filler)

    def make_reachable() -> None:
        server.listener.listen(128)
        for filler in fillers:
            filler.close()

    try:
        yield make_reachable
    finally:
        for filler in fillers:
            filler.close()


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("how", DISCONNECTS)
def test_no_attempt_for_a_client_that_left_while_its_call_waited_for_a_connection(
    how: str, cancelling: bool
) -> None:
    """If the settings allow no cancel, the controller cancels nothing: the check before sending must
    notice that the client has left."""
    platform = peers.Platform()
    platform.config["settings"]["Bounds"] |= {"Cancelling": cancelling, "DialTimeout": 6.0}
    with platform.run() as running, unreachable(platform.servers[0]) as make_reachable:
        other = peers.Caller(platform.port)
        leaving_caller = peers.Caller(platform.port)
        abandoned_call = leaving_caller.call(time_limit_ms=4000)
        running.wait_for_counter("attempts.placed")
        DISCONNECTS[how](leaving_caller, abandoned_call)
        running.wait_for_counter("calls.given_up")
        make_reachable()
        other_call = other.call(time_limit_ms=4000)
        found = peers.until(lambda: first_invite(platform.servers[0]), why="the other call")
        assert found[1].call == other_call.hex()
        peers.reply(found[0], found[1], 200, b"answer")
        assert other.final_answer(other_call).type == binary.ANSWER
        # The connection that the call had waited for is open as well.
        running.wait_for_counter("servers.connections", 2)
        assert platform.servers[0].invited(within=0.3) is None
        assert running.counters()["servers.sent_invite"] == 1


def first_invite(server: peers.SetupServer) -> tuple[peers.Peer, sip.Message] | None:
    """Returns the first set-up read within 0.05 s; connections that only filled the accept queue are
    skipped."""
    return server.invited(within=0.05)


@pytest.mark.parametrize("how", DISCONNECTS)
def test_no_attempt_for_a_client_that_left_during_the_wait_after_a_reset(how: str) -> None:
    platform = peers.Platform()
    with platform.run() as running:
        leaving_caller = peers.Caller(platform.port)
        abandoned_call = leaving_caller.call()
        connection = platform.servers[0].accept()
        assert peers.invite(connection).call == abandoned_call.hex()
        connection.close(reset=True)
        running.wait_for_counter("attempts.reset")
        DISCONNECTS[how](leaving_caller, abandoned_call)
        assert platform.servers[0].invited(within=0.8) is None
        counters = running.counters()
        assert counters["servers.sent_invite"] == 1 and counters["calls.given_up"] == 1


def test_set_ups_whose_clients_disconnect_at_once_leave_nothing_behind() -> None:
    """A thousand clients send a set-up and disconnect. Whichever event is processed first, attempts that
    have begun are given up, and none begins later."""
    platform = peers.Platform()
    with platform.run() as running:
        for n in range(1000):
            leaving_caller = peers.Caller(platform.port)
            leaving_caller.call(call_id=n.to_bytes(7, "big") + b"\1", number=b"%d" % n)
            leaving_caller.close(reset=n % 2 == 1)
        other = peers.Caller(platform.port)
        other_call = other.call(call_id=b"\7" * 8)
        while True:
            found = peers.until(lambda: first_invite(platform.servers[0]), why="the other call")
            if found[1].call == other_call.hex():
                break
        peers.reply(found[0], found[1], 200, b"answer")
        assert other.final_answer(other_call).type == binary.ANSWER
        peers.until(lambda: peers.metrics(platform.ops)["edge_gw_pending"] == 1, why="all others given up")
        sent = running.counters()["servers.sent_invite"]
        peers.until(lambda: platform.servers[0].invited(within=0.5) is None, why="the rest to be read")
        assert running.counters()["servers.sent_invite"] == sent  # no attempt began later


def test_call_id_reused_while_its_first_attempt_is_open_is_refused() -> None:
    """Regression: the second caller's connection was closed without an answer, as for an open call's id."""
    platform = peers.Platform()
    platform.config["settings"]["Bounds"]["Cancelling"] = False
    with platform.run() as running:
        first, second = peers.Caller(platform.port), peers.Caller(platform.port)
        call = first.call()
        connection = platform.servers[0].accept()
        invite = peers.invite(connection)
        first.close()
        running.wait_for_counter("calls.given_up")
        second.call(call_id=call)
        refused = second.final_answer(call)
        assert refused.parameters[binary.CAUSE] == bytes([42])
        guard = platform.config["settings"]["Extra"]["Guard"]
        assert int(refused.parameters[binary.RETRY_AFTER]) == round(guard * 1000)
        peers.reply(connection, invite, 503, note=b"processor_full")
        running.wait_for_counter("attempts.full")
        second.call(call_id=call)
        found = peers.until(lambda: platform.servers[0].invited(within=0.1), why="the call, once more")
        assert found[1].call == call.hex()


# A server list that stops updating


def bus_sends(bus: socket.socket, *lines: object) -> None:
    """Sends lines on the bus: events, and the offset of the last event as the bus reports it every second."""
    bus.sendall(b"".join(json.dumps(line).encode() + b"\n" for line in lines))


def test_watch_that_withholds_events_is_replaced() -> None:
    """Regression: the line sent every second kept the silence check from noticing. The platform requires an
    instance to act on an event within 4 s after a watch stops sending events."""
    platform = peers.Platform()
    with platform.run() as running:
        lagging_bus = platform.accept_bus_connection()
        assert lagging_bus.recv(100) == b"from 1\n"
        bus_sends(
            lagging_bus, {"offset": 1}, peers.event(2, peers.row("s9", "127.0.0.1:9", 1)), {"offset": 2}
        )
        peers.until(lambda: running.events("list"), why="the event")
        began = time.monotonic()
        stop = threading.Event()

        def report_offset() -> None:
            while not stop.wait(0.2):
                with suppress(OSError):
                    bus_sends(lagging_bus, {"offset": 3})

        sender = threading.Thread(target=report_offset)
        sender.start()
        try:
            again = platform.accept_bus_connection()
        finally:
            stop.set()
            sender.join()
        assert again.recv(100) == b"from 2\n"
        assert time.monotonic() - began < 3.0
        bus_sends(
            again, peers.event(3, peers.row("s0", platform.servers[0].address, 0, "DRAINING")), {"offset": 3}
        )
        peers.until(lambda: len(running.events("list")) == 2, why="the withheld event")
        assert running.counters()["bus.behind"] == 1


def test_missing_events_are_requested_again_once() -> None:
    platform = peers.Platform(servers=2)
    with platform.run() as running:
        bus = platform.accept_bus_connection()
        assert bus.recv(100) == b"from 1\n"
        other_row = peers.row("s9", "127.0.0.1:9", 1)
        bus_sends(bus, peers.event(2, other_row), peers.event(4, other_row))
        bus = platform.accept_bus_connection()
        assert bus.recv(100) == b"from 2\n"
        drain = peers.row("s0", platform.servers[0].address, 0, "DRAINING")
        bus_sends(bus, peers.event(3, drain), peers.event(4, other_row), peers.event(6, other_row))
        bus = platform.accept_bus_connection()
        assert bus.recv(100) == b"from 4\n"
        # There is no fifth event: what is missing at the start of a watch does not exist.
        bus_sends(bus, peers.event(6, other_row))
        bus_sends(bus, peers.event(9, peers.row("s1", platform.servers[1].address, 1), other_row, reset=True))
        peers.until(
            lambda: len(running.events("list")) == 5, why="the whole list, after which no event is missing"
        )
        assert [e["offset"] for e in running.events("list")] == [2, 3, 4, 6, 9]
        assert "s0 gone" in " ".join(running.events("list")[-1]["rows"])
        assert running.counters()["bus.gaps"] == 2


def test_lower_event_numbers_undo_nothing() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        bus = platform.accept_bus_connection()
        bus_sends(bus, peers.event(2, peers.row("s9", "127.0.0.1:9", 1)), {"offset": 1}, 0)
        bus_sends(bus, peers.event(1, peers.row("s0", platform.servers[0].address, 0, "DELETED"), reset=True))
        running.wait_for_counter("bus.lower_numbers", 2)
        running.wait_for_counter("bus.repeated")
        assert peers.metrics(platform.ops)["edge_gw_members"] == 2
        establish_call(platform, peers.Caller(platform.port))


def test_lag_tolerance_is_bounded_and_doubles_while_new_watches_bring_nothing() -> None:
    """Delays are also spread: a fleet that notices the lag in the same second does not reconnect at once."""
    monitors = [LagMonitor(random.Random(n)) for n in range(200)]
    for monitor in monitors:
        monitor.bus_reported(5, 4, now=100.0)
    delays = sorted(monitor.reconnect_at - 100.0 for monitor in monitors if monitor.reconnect_at is not None)
    assert (
        len(delays) == 200 and delays[0] >= LAG_TOLERANCE_S and delays[-1] <= LAG_TOLERANCE_S + LAG_JITTER_S
    )
    per_tenth = [sum(n / 10 <= d - LAG_TOLERANCE_S < (n + 1) / 10 for d in delays) for n in range(10)]
    assert max(per_tenth) < 45  # of 200; without jitter all would be in one tenth
    monitor = monitors[0]
    for tries in range(1, 8):
        monitor.watch_started()
        monitor.bus_reported(5, 4, now=200.0)
        assert monitor.reconnect_at is not None
        bound = min(LAG_TOLERANCE_S * 2**tries, MAX_LAG_TOLERANCE_S)
        assert bound <= monitor.reconnect_at - 200.0 <= bound + LAG_JITTER_S
    monitor.event_applied(5)
    assert monitor.reconnect_at is None
    monitor.bus_reported(6, 5, now=300.0)
    assert monitor.reconnect_at is not None and monitor.reconnect_at - 300.0 <= LAG_TOLERANCE_S + LAG_JITTER_S


# Reload, drain, and both


@pytest.mark.parametrize("first", [0, 9])
def test_set_up_received_in_pieces_across_sigterm_is_answered(first: int) -> None:
    """Regression: with no call open, the process ended after 0.8 s, before or within the set-up."""
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        whole = set_up(b"\5" * 8)
        caller.send(whole[:first])
        running.wait_for_counter("callers.connections")
        running.process.send_signal(signal.SIGTERM)
        peers.until(lambda: running.events("not_listening"), why="the close of the listener")
        time.sleep(0.5)  # well past the time at which a process with no open call would end
        assert not running.events("drained")
        caller.send(whole[first:])
        server = platform.servers[0].accept()
        peers.reply(server, peers.invite(server), 200, b"answer")
        assert caller.final_answer(b"\5" * 8).type == binary.ANSWER
        assert running.process.wait(8) == 0


async def test_drain_waits_for_a_set_up_in_the_inbox(tmp_path: Path) -> None:
    """Regression: a set-up that was read, and not yet processed by the core, was refused as too late."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(peers.Platform().config))
    front = PlatformFront(read_platform({"GW_CONFIG": str(path)}), {}, Counters(), Log(fd=1))
    inbox, counters, servers = Inbox(), Counters(), MagicMock(pending_writes=0)
    engine = Engine(front._config.settings, 1, servers, inbox, counters, Log(fd=1))
    callers = MagicMock(receiving=False, pending_writes=0)
    inbox.put_nowait(Offer("0" * 16, "a", 0, None, time.time() + 9.0, MagicMock(gone=False), None))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(front._drain, engine, callers, servers, anyio.Event())
        await anyio.sleep(ACCEPT_AFTER_SIGTERM_S + 0.5)
        engine.process(await inbox.drain(0))
        assert (counters["calls.taken"], counters["answers.closing"]) == (1, 0)
        tasks.cancel_scope.cancel()


def set_up(call: bytes) -> bytes:
    fields = {binary.CLASS: b"a", binary.NUMBER: b"77", binary.DESCRIPTION: b"offer"}
    fields[binary.ATTRIBUTES] = b"dest:0"
    return binary.Message(binary.SET_UP, call, fields).encode()


@pytest.mark.parametrize("when", ["before", "during"])
def test_drain_after_a_reload_answers_by_the_shorter_deadline(when: str) -> None:
    """SIGKILL comes 0.7 s after the longest deadline, of the old or the new settings: the shorter one
    applies."""
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
        running.process.send_signal(signal.SIGHUP)  # twice, directly followed by SIGTERM
        running.process.send_signal(signal.SIGTERM)
        began = time.monotonic()
        assert caller.final_answer(open_call).type == binary.RELEASE
        drained = peers.until(lambda: running.events("drained"), why="the end of the drain")
        assert drained[0]["after"] <= 1.0 + 0.7 - 0.2
        assert running.process.wait(4) == 0
        assert time.monotonic() - began < 1.0 + 0.7 + 0.5
        assert len(running.events("reloaded")) >= 1 and "reload_failed" not in running.text()


def test_reload_updates_the_limits_given_to_parts_at_the_start() -> None:
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
        invite = peers.invite(server)
        # The new limit is one open call.
        assert caller.final_answer(caller.call()).parameters[binary.CAUSE] == b"\x2a"
        peers.reply(server, invite, 200, b"answer")
        assert caller.final_answer(first).type == binary.ANSWER
        caller.send_request(binary.RELEASE, first, 16)
        assert server.next(lambda m: m.method == "BYE").call == first.hex()
        server.send(sip.response(server_bye(first), 200, b"OK"))
        with pytest.raises(EOFError):  # closed as idle after the new time limit
            server.next(lambda _: False, within=3.0)
        assert running.counters()["answers.no_room"] == 1


def server_bye(call: bytes) -> sip.Message:
    (message,) = sip.Decoder().feed(sip.bye(b"77", call.hex(), 2, 16))
    return message


def test_sighup_during_a_drain_ends_nothing() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        open_call = caller.call(time_limit_ms=2000)
        server = platform.servers[0].accept()
        invite = peers.invite(server)
        running.process.send_signal(signal.SIGTERM)
        peers.until(lambda: running.events("stopping"), why="the stop")
        running.process.send_signal(signal.SIGHUP)
        peers.reply(server, invite, 200, b"answer")
        assert caller.final_answer(open_call).type == binary.ANSWER
        assert running.process.wait(8) == 0


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_server_removed_while_its_connection_opens_gets_no_set_up(state: str) -> None:
    platform = peers.Platform(servers=2)
    platform.config["settings"]["Bounds"]["DialTimeout"] = 6.0
    with platform.run() as running, unreachable(platform.servers[0]) as make_reachable:
        bus = platform.accept_bus_connection()
        caller = peers.Caller(platform.port)
        call = caller.call(time_limit_ms=4000, destination=0)
        running.wait_for_counter("attempts.placed")
        bus_sends(bus, peers.event(2, peers.row("s0", platform.servers[0].address, 0, state)))
        peers.until(lambda: running.events("list"), why="the new server list")
        make_reachable()
        found = peers.until(lambda: platform.servers[1].invited(within=0.1), why="the call at the other")
        assert found[1].call == call.hex()
        peers.reply(found[0], found[1], 200, b"answer")
        assert caller.final_answer(call).type == binary.ANSWER
        assert platform.servers[0].invited(within=0.5) is None
        assert running.counters()["servers.sent_invite"] == 1


def test_release_after_all_calls_are_answered_in_a_drain_reaches_the_server() -> None:
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
def test_idle_clients_do_not_exhaust_the_descriptors(sockets: int) -> None:
    """Callers, `ops` clients and connections to servers each have a share of the descriptors.

    Regression: their limits added up to more than the process may open."""
    platform = peers.Platform()
    platform.config["limits"]["sockets"] = sockets
    where = platform.bus.getsockname()
    platform.bus.close()  # the event bus is down from the start
    with platform.run() as running:
        resource.prlimit(running.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        idle = [peers.Caller(platform.port) for _ in range(2 * sockets)]
        slow = [socket.create_connection(("127.0.0.1", platform.ops)) for _ in range(2 * sockets)]
        running.wait_for_counter("callers.made_room")
        late = peers.Caller(platform.port)
        calls = [late.call() for _ in range(4)]
        connections = [platform.servers[0].accept() for _ in calls]
        for connection in connections:  # at once, as a late answer would count as a sign of overload
            peers.reply(connection, peers.invite(connection), 200, b"answer")
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
        connection, invite = peers.until(
            lambda: platform.servers[0].invited(within=0.1), why="the call after them"
        )
        peers.reply(connection, invite, 200, b"answer")
        assert after.final_answer(again).type == binary.ANSWER
        counters = running.counters()
        assert "callers.not_accepted" not in counters and "ops.not_accepted" not in counters
        assert "servers.unreached" not in counters


def test_connection_failed_for_lack_of_descriptors_is_no_evidence_of_death() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        call, server = establish_call(platform, caller)
        pid = running.process.pid
        _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (3, hard))  # no further descriptor
        server.close(reset=True)  # the pool tries to reconnect for the standing call, and fails
        running.wait_for_counter("servers.unreached", 5)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (hard, hard))
        again = platform.servers[0].accept()
        again.send(sip.bye(b"1", call.hex(), 7, 16))
        assert caller.final_answer(call).parameters[binary.CAUSE] == bytes([16])
        assert "servers.died" not in running.counters()


def test_set_up_written_over_more_than_2_s_is_answered() -> None:
    platform = peers.Platform()
    with platform.run():
        caller = peers.Caller(platform.port)
        whole = set_up(b"\6" * 8)
        for piece in range(12):  # 0.21 s apart
            caller.send(whole[piece * 3 : (piece + 1) * 3 if piece < 11 else None])
            time.sleep(0.21 if piece < 11 else 0)
        server = platform.servers[0].accept()
        peers.reply(server, peers.invite(server), 200, b"answer")
        assert caller.final_answer(b"\6" * 8).type == binary.ANSWER


# Within one turn of the event loop

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class CallersHarness:
    """The server side of caller connections on a real listener, in this event loop, with an inbox that
    nobody drains."""

    def __init__(self) -> None:
        self.inbox, self.counters = Inbox(), Counters()
        classes = (interface.CallClass("a", 1.0, 4.0, 1.0),)
        self.callers = Callers(classes, self.inbox, self.counters, Log(fd=1), max_connections=64)
        self.closing = anyio.Event()

    async def run(self, *, task_status: anyio.abc.TaskStatus[int]) -> None:
        async with await anyio.create_tcp_listener(local_host="127.0.0.1") as multi:
            (listener,) = multi.listeners
            assert isinstance(listener, anyio.abc.SocketListener)
            task_status.started(listener.extra(anyio.abc.SocketAttribute.local_port))
            await self.callers.listen(listener, self.closing)

    async def messages(self, kind: type[Message]) -> list[Any]:
        return [message for message in await self.inbox.drain(0) if isinstance(message, kind)]

    def connections(self) -> set[CallerConnection]:
        return self.callers._limits.connections


async def loop_turns(count: int) -> None:
    for _ in range(count):
        await anyio.lowlevel.checkpoint()


async def wait_for(condition: Callable[[], object]) -> None:
    with anyio.fail_after(5):
        while not condition():
            await anyio.sleep(0.001)


async def read(sock: socket.socket, decoder: binary.Decoder, within: float = 2.0) -> list[binary.Message]:
    """Returns the next messages; none if the connection ends or stays silent."""
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
async def test_connection_accepted_as_the_listener_closes_is_served(count: int) -> None:
    """Regression: a wait cancelled between the kernel's accept and the start of the connection's task dropped
    the connection."""
    harness = CallersHarness()
    test = binary.Message(binary.TEST, b"\1" * 8, {binary.CAUSE: b"\0"}).encode()
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(harness.run)
        await loop_turns(5)  # until the listener waits
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(test)
            await loop_turns(count)
            harness.closing.set()
            assert [m.type for m in await read(client, binary.Decoder())] == [binary.TEST_RESULT]
        tasks.cancel_scope.cancel()


async def test_connection_reset_in_the_accept_queue_at_the_close_affects_no_other() -> None:
    harness = CallersHarness()
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(harness.run)
        await loop_turns(5)
        other = socket.create_connection(("127.0.0.1", port))
        resetting = socket.create_connection(("127.0.0.1", port))
        resetting.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        harness.closing.set()  # before anything has been accepted
        resetting.close()
        other.sendall(binary.Message(binary.TEST, b"\1" * 8, {binary.CAUSE: b"\0"}).encode())
        assert [m.type for m in await read(other, binary.Decoder())] == [binary.TEST_RESULT]
        other.close()
        tasks.cancel_scope.cancel()


async def open_with_set_up(harness: CallersHarness, port: int) -> tuple[socket.socket, CallerConnection]:
    """Opens a caller's connection and sends a set-up on it; returns the client's socket and the server's
    connection."""
    before = set(harness.connections())
    sock = socket.create_connection(("127.0.0.1", port))
    fields = {binary.CLASS: b"a", binary.NUMBER: b"77", binary.DESCRIPTION: b"offer"}
    sock.sendall(binary.Message(binary.SET_UP, bytes(7) + bytes([len(before) + 1]), fields).encode())
    await wait_for(lambda: any(c.open_set_ups for c in harness.connections() - before))
    (connection,) = harness.connections() - before
    return sock, connection


async def test_release_in_flight_when_its_connection_ends_goes_out_on_another() -> None:
    """Regression: the writer took the release in the turn in which the connection ended, and it was lost:
    the call was left standing."""
    harness = CallersHarness()
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(harness.run)
        first, ending = await open_with_set_up(harness, port)
        second, _ = await open_with_set_up(harness, port)
        (offer,) = [
            message for message in await harness.messages(Offer) if message.caller.connection is ending
        ]
        offer.caller.established(b"answer")
        assert [m.type for m in await read(first, binary.Decoder())] == [binary.ANSWER]
        offer.caller.ended(cut=False)
        ending.scope.cancel()  # as when the connection ends
        received = await read(second, binary.Decoder())
        assert [(m.type, m.call) for m in received] == [(binary.RELEASE, bytes.fromhex(offer.call))]
        tasks.cancel_scope.cancel()


async def test_call_is_given_up_when_its_connection_ends_with_the_answer_in_flight() -> None:
    harness = CallersHarness()
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(harness.run)
        _sock, ending = await open_with_set_up(harness, port)
        (offer,) = await harness.messages(Offer)
        offer.caller.established(b"answer")
        ending.scope.cancel()
        await wait_for(lambda: ending not in harness.connections())
        (gone,) = await harness.messages(CallerGone)
        assert (gone.call, gone.caller) == (offer.call, offer.caller) and offer.caller.gone
        tasks.cancel_scope.cancel()


async def test_connection_with_an_answer_in_flight_is_not_evicted() -> None:
    harness = CallersHarness()
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(harness.run)
        sock, busy = await open_with_set_up(harness, port)
        (offer,) = await harness.messages(Offer)
        offer.caller.refused(0.1)
        busy.outbox.take()  # as the writer does, before it sends the bytes
        assert not busy.nothing_pending and not harness.callers._limits.evict_one()
        assert harness.callers.pending_writes == 1  # a drain waits for it
        busy.outbox.put(CallerMessage(b"\1" * 8, b"", "free"))
        sock.close()
        tasks.cancel_scope.cancel()


async def test_caller_is_marked_as_gone_before_the_core_processes_it() -> None:
    """The inbox is full, so its messages wait; the check before sending must not."""
    harness = CallersHarness()
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(harness.run)
        sock, _ = await open_with_set_up(harness, port)
        (offer,) = await harness.messages(Offer)
        while len(harness.inbox) < DEFAULT_CAPACITY:
            harness.inbox.put_nowait(CallerGone("another"))
        sock.close()
        await wait_for(lambda: offer.caller.gone)
        tasks.cancel_scope.cancel()


async def test_unread_disconnect_is_processed_before_a_delayed_set_up_is_sent() -> None:
    """The turn of the loop that decided on the set-up took long, and its client disconnected meanwhile."""
    harness, owner = CallersHarness(), Owner()
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(harness.run)
        sock, _ = await open_with_set_up(harness, port)
        (offer,) = await harness.messages(Offer)
        pool, first = await pool_with_open_set_up(owner, tasks)
        pool._connections[0].open_attempts.clear()  # answered: the connection is free
        delayed = attempt("0" * 15 + "2")
        delayed.send_check = lambda attempt, now: not offer.caller.gone
        delayed.placed_at = time.time() - 0.1
        sock.close()
        pool.place(delayed)  # in the same turn
        await wait_for(lambda: offer.caller.gone)
        await loop_turns(10)
        assert first.sent is not None and delayed.sent is None
        tasks.cancel_scope.cancel()


async def test_full_inbox_is_drained_in_batches_and_in_order() -> None:
    """Regression: processing all of it at once blocked the loop for most of a second, and nothing that
    callers sent meanwhile was read."""
    inbox = Inbox()
    for n in range(2 * MAX_BATCH_MESSAGES + 3):
        inbox.put_nowait(CallerGone(str(n)))
    batches = [await inbox.drain(0) for _ in range(4)]
    assert [len(batch) for batch in batches] == [MAX_BATCH_MESSAGES, MAX_BATCH_MESSAGES, 3, 0]
    assert [message.call for batch in batches for message in batch if isinstance(message, CallerGone)] == [
        str(n) for n in range(2 * MAX_BATCH_MESSAGES + 3)
    ]


async def test_writers_get_a_place_in_a_full_inbox_in_turn() -> None:
    """Regression: a writer that ran between the drain and the waiting ones always took the place first."""
    inbox = Inbox(capacity=4)
    written: list[str] = []

    async def write(name: str, count: int) -> None:
        for _ in range(count):
            await inbox.put(CallerGone(name))
            written.append(name)
            await anyio.lowlevel.checkpoint()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(write, "flood", 100)
        await loop_turns(5)
        tasks.start_soon(write, "other", 1)
        await loop_turns(5)
        assert "other" not in written
        await inbox.drain(0)
        tasks.start_soon(write, "late", 1)  # it runs before those that were given a place
        await loop_turns(3)
        assert written.index("other") <= 5
        while len(written) < 102:
            await inbox.drain(0)
            await loop_turns(3)
    assert inbox._granted == 0 and not inbox._waiting


async def test_cancelled_writer_passes_its_place_in_a_full_inbox_on() -> None:
    inbox = Inbox(capacity=1)
    await inbox.put(CallerGone("first"))
    scopes = [anyio.CancelScope(), anyio.CancelScope()]

    async def write(scope: anyio.CancelScope) -> None:
        with scope:
            await inbox.put(CallerGone("cancelled"))

    async with anyio.create_task_group() as tasks:
        for scope in scopes:
            tasks.start_soon(write, scope)
        await loop_turns(3)
        tasks.start_soon(inbox.put, CallerGone("last"))
        await loop_turns(3)
        scopes[1].cancel()  # while it waits
        await loop_turns(3)
        scopes[0].cancel()
        await inbox.drain(0)  # gives the place to the first one before that has run
        await loop_turns(5)
        found = await inbox.drain(0)
        await loop_turns(3)
        found += await inbox.drain(0)
        assert CallerGone("last") in found
    assert inbox._granted == 0 and not inbox._waiting


class Owner:
    """What a connection pool needs of its owner, with a real listening socket as the server."""

    def __init__(self) -> None:
        self.inbox, self.counters, self.log = Inbox(), Counters(), Log(fd=1)
        self.connect_timeout, self.idle_close, self.may_connect = 0.5, 600.0, True
        self.listener = peers.listen()

    def address(self) -> Address:
        return Address("127.0.0.1", self.listener.getsockname()[1])


async def pool_with_open_set_up(owner: Owner, tasks: anyio.abc.TaskGroup) -> tuple[ConnectionPool, Attempt]:
    """A pool with one connection and a set-up open on it."""
    pool = ConnectionPool(owner, tasks, "s0", owner.address())
    placed = attempt()
    pool.place(placed)
    await wait_for(lambda: owner.counters["servers.invites_written"])
    return pool, placed


def attempt(call: str = "0" * 15 + "1") -> Attempt:
    request = Request(b"a", b"77", b"offer")
    return Attempt(call, 0, "s0", 0.0, 2e9, request, lambda attempt, now: not attempt.cancel_requested)


async def test_release_in_flight_when_its_server_connection_ends_goes_out_on_the_next() -> None:
    owner = Owner()
    async with anyio.create_task_group() as tasks:
        pool = ConnectionPool(owner, tasks, "s0", owner.address())
        pool.place(attempt())
        await wait_for(lambda: owner.counters["servers.invites_written"])
        peer = peers.Peer(owner.listener.accept()[0], sip.Decoder())
        invite = await anyio.to_thread.run_sync(peers.invite, peer)
        peers.reply(peer, invite, 200, b"answer")
        await wait_for(lambda: pool.standing)
        await loop_turns(5)
        assert pool.release(invite.call)
        # The connection ends in the turn in which the writer takes the release.
        pool._connections[0].scope.cancel()
        await wait_for(lambda: not pool._connections)
        assert [bye.call for bye in pool._unsent_releases] == [invite.call]
        pool._open_connection()  # as `ConnectionPool.watch` does
        fresh = peers.Peer((await anyio.to_thread.run_sync(owner.listener.accept))[0], sip.Decoder())
        bye = await anyio.to_thread.run_sync(lambda: fresh.next(lambda m: m.method == "BYE"))
        assert bye.call == invite.call
        tasks.cancel_scope.cancel()


async def test_set_up_queued_as_its_connection_ends_goes_out_on_the_next() -> None:
    """As when an idle connection closes: the set-up has not been sent, and the server has not failed."""
    owner = Owner()
    async with anyio.create_task_group() as tasks:
        pool = ConnectionPool(owner, tasks, "s0", owner.address())
        first, second = attempt(), attempt("0" * 15 + "2")
        pool.place(first)
        await wait_for(lambda: owner.counters["servers.invites_written"])
        peer = peers.Peer(owner.listener.accept()[0], sip.Decoder())
        invite = await anyio.to_thread.run_sync(peers.invite, peer)
        peers.reply(peer, invite, 503)
        await wait_for(lambda: not pool._connections[0].load)
        (connection,) = pool._connections
        connection.close("idle")
        pool.place(second)
        await wait_for(lambda: owner.counters["servers.invites_written"] == 2)
        fresh = peers.Peer((await anyio.to_thread.run_sync(owner.listener.accept))[0], sip.Decoder())
        assert (await anyio.to_thread.run_sync(peers.invite, fresh)).call == second.call
        over = [message for message in await owner.inbox.drain(0) if isinstance(message, AttemptOver)]
        assert [message.attempt for message in over] == [first]
        tasks.cancel_scope.cancel()


async def test_cancel_in_flight_when_its_connection_ends_is_reported_as_cancelled() -> None:
    """Regression: without the report, the attempt counted as open until its deadline, and the call made no
    progress."""
    owner = Owner()
    async with anyio.create_task_group() as tasks:
        pool, placed = await pool_with_open_set_up(owner, tasks)
        await loop_turns(5)
        placed.cancel_requested = True
        assert pool.cancel(placed)
        pool._connections[0].scope.cancel()
        await wait_for(lambda: not pool._connections)
        over = [message for message in await owner.inbox.drain(0) if isinstance(message, AttemptOver)]
        assert [(message.attempt, message.outcome) for message in over] == [
            (placed, interface.Outcome.CANCELLED)
        ]
        tasks.cancel_scope.cancel()


async def test_cancel_that_finds_a_full_queue_closes_the_connection() -> None:
    """Regression: the attempt counted as cancelled while its server still had it, and the next attempt was a
    second one of the same call."""
    owner = Owner()
    async with anyio.create_task_group() as tasks:
        pool, placed = await pool_with_open_set_up(owner, tasks)
        (connection,) = pool._connections
        while connection.outbox.put(b""):
            pass
        placed.cancel_requested = True
        assert pool.cancel(placed)
        await wait_for(lambda: not pool._connections)
        over = [message for message in await owner.inbox.drain(0) if isinstance(message, AttemptOver)]
        assert [(message.attempt, message.outcome) for message in over] == [(placed, interface.Outcome.RESET)]
        tasks.cancel_scope.cancel()
