"""The platform's front: the real program between callers and setup servers on sockets."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest

from harepick.net import binary, sip
from tests import peers


def test_call_stands_and_ends() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        caller.send_request(binary.TEST, b"\0" * 8, 0)
        assert caller.next(lambda m: m.type == binary.TEST_RESULT).parameters[binary.CAUSE] == b"\x01"
        call = caller.call(time_limit_ms=4000)
        server = platform.servers[0].accept()
        invite = peers.invite(server)
        assert invite.call == call.hex() and invite.body == b"offer\r\n"
        assert invite.target == b"sip:7f3a9c21e0b4d655@net" and invite.text(b"priority-class") == "a"
        assert 3000 < int(invite.text(b"expires-ms")) <= 4000
        peers.reply(server, invite, 200, b"answer \xff")
        assert server.next(lambda m: m.method == "ACK").call == call.hex()
        answer = caller.final_answer(call)
        assert answer.type == binary.ANSWER and answer.parameters[binary.DESCRIPTION] == b"answer \xff"
        server.send(sip.bye(b"7f3a9c21e0b4d655", call.hex(), 7, 16))
        assert caller.final_answer(call).parameters[binary.CAUSE] == b"\x10"
        assert running.counters()["calls.ok"] == 1
        assert running.stop() == 0


def establish_call(
    platform: peers.Platform, caller: peers.Caller, server: peers.Peer | None = None
) -> tuple[bytes, peers.Peer]:
    """Sets up a call that stands; returns its id and the server's end of its connection."""
    call = caller.call()
    server = server or platform.servers[0].accept()
    peers.reply(server, peers.invite(server), 200, b"answer")
    assert caller.final_answer(call).type == binary.ANSWER
    return call, server


def test_calls_of_a_vanished_server_are_released() -> None:
    """There is no reset and no list event: the connection stays open, and no new one can be opened."""
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        call, _server = establish_call(platform, caller)
        platform.servers[0].listener.close()
        assert caller.final_answer(call, within=8.0).parameters[binary.CAUSE] == bytes([41])
        assert running.counters()["servers.died"] == 1


def test_silent_server_that_accepts_connections_keeps_its_calls() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        call, _server = establish_call(platform, caller)
        second = platform.servers[0].accept()
        assert caller.silent(1.0)
        # The end of a call may be reported on the new connection.
        second.send(sip.bye(b"1", call.hex(), 7, 16))
        assert caller.final_answer(call).parameters[binary.CAUSE] == bytes([16])
        assert "servers.died" not in running.counters()


def test_answer_to_the_second_attempt_is_delivered() -> None:
    """Regression: servers answer every INVITE with CSeq 1; this was taken for the number of the attempt, so
    every second attempt failed."""
    platform = peers.Platform(servers=2)
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        call = caller.call(destination=0)
        first = platform.servers[0].accept()
        peers.reply(first, peers.invite(first), 503, note=b"processor_full")
        second = platform.servers[1].accept()
        again = peers.invite(second)
        assert again.call == call.hex() and again.body == b"offer\r\n"
        peers.reply(second, again, 200, b"answer")
        assert caller.final_answer(call).type == binary.ANSWER
        assert running.counters()["attempts.full"] == 1
        assert "answers.too_late" not in running.counters()


def test_answer_that_crosses_a_cancel_is_released() -> None:
    platform = peers.Platform()
    with platform.run():
        caller = peers.Caller(platform.port)
        call = caller.call()
        server = platform.servers[0].accept()
        invite = peers.invite(server)
        caller.send_request(binary.RELEASE, call, 16)
        assert server.next(lambda m: m.method == "CANCEL").call == call.hex()
        peers.reply(server, invite, 200, b"answer")
        assert server.next(lambda m: m.method == "ACK").call == call.hex()
        assert server.next(lambda m: m.method == "BYE").call == call.hex()
        with pytest.raises(AssertionError):
            caller.final_answer(call, within=0.3)  # the call was given up, so no answer may follow


def test_standing_call_outlives_its_connections() -> None:
    platform = peers.Platform()
    with platform.run():
        caller = peers.Caller(platform.port)
        ended, server = establish_call(platform, caller)
        released, _ = establish_call(platform, caller, server)
        caller.close()
        other = peers.Caller(platform.port)
        other.send_request(binary.RELEASE, released, 16)
        assert server.next(lambda m: m.method == "BYE").call == released.hex()
        server.send(sip.bye(b"1", ended.hex(), 7, 16))
        assert other.final_answer(ended, within=1.0).parameters[binary.CAUSE] == bytes([16])


def test_reset_ends_open_set_ups_and_keeps_standing_calls() -> None:
    """Regression: a reset was taken for the death of the server, and every call that stood there was cut. The
    process behind the connection may still run."""
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        call, server = establish_call(platform, caller)
        other, _ = establish_call(platform, caller, server)
        waiting = caller.call(time_limit_ms=3500)
        peers.invite(server)
        server.close(reset=True)
        started_at = time.time()
        # Opened at once, as the ends of calls are reported on the next connection.
        new_connection = platform.servers[0].accept()
        new_connection.send(sip.bye(b"1", call.hex(), 7, 16))
        assert caller.final_answer(call, within=1.0).parameters[binary.CAUSE] == bytes([16])
        again = peers.invite(new_connection)  # after the guard time the call may be sent again
        assert again.call == waiting.hex() and time.time() - started_at > 0.15
        peers.reply(new_connection, again, 200, b"answer")
        assert caller.final_answer(waiting).type == binary.ANSWER
        caller.send_request(binary.RELEASE, other, 16)
        assert new_connection.next(lambda m: m.method == "BYE" and not m.status).call == other.hex()
        counters = running.counters()
        assert counters["attempts.reset"] == 1 and "servers.died" not in counters


def test_server_that_resets_and_refuses_new_connections_has_died() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        call, server = establish_call(platform, caller)
        platform.servers[0].listener.close()
        server.close(reset=True)
        assert caller.final_answer(call, within=2.0).parameters[binary.CAUSE] == bytes([41])
        assert running.counters()["servers.died"] == 1


@pytest.mark.parametrize(
    "malformed",
    [
        b"SIP/2.0 200 OK\r\nCall-ID: %b\r\nCSeq: 1 INVITE\r\nContent-Length: 900\r\n\r\nv=0\r\n",
        b"SIP/2.0 200 OK\r\nCall-ID: %b\r\nCSe",
        b"SIP/2.0 200 OK\r\nCall-ID: %b\r\nCSeq: 1 INVITE\r\nContent-Length: 2\r\n\r\nv=0\r\n",
        b"SIP/2.0 200 OK\r\nCall-ID: %b\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n",
        b"SIP/2.0 200 OK\r\nCall-ID: %b\r\nCSeq: 1 INVITE\r\nContent-Length: 3000000000\r\n\r\nv=0\r\n",
    ],
)
def test_malformed_answer_closes_its_connection_and_the_set_up_is_retried(malformed: bytes) -> None:
    """An incomplete answer on a connection that stays open counts as well: nothing more can be read there."""
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        call = caller.call(time_limit_ms=3500)
        server = platform.servers[0].accept()
        peers.invite(server)
        server.send(malformed % call.hex().encode())
        new_connection = platform.servers[0].accept()
        again = peers.invite(new_connection)
        assert again.call == call.hex()
        peers.reply(new_connection, again, 200, b"answer")
        assert caller.final_answer(call).parameters[binary.DESCRIPTION] == b"answer"
        assert running.counters()["servers.malformed"] == 1


def test_dead_connection_is_closed_and_its_set_up_retried() -> None:
    """Such a connection stays open and delivers nothing; without a check, every set-up sent on it was
    lost."""
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        _, dead = establish_call(platform, caller)
        lost = caller.call(time_limit_ms=3500)
        peers.invite(dead)
        time.sleep(0.2)  # servers handle set-ups in order: the next one is sent well after this one
        establish_call(platform, caller)  # on a connection of its own
        assert caller.silent(0.1)
        with pytest.raises(EOFError):
            dead.next(lambda _: False)
        found = platform.servers[0].invited(within=5.0)
        assert found is not None and found[0] is not dead
        connection, again = found
        assert again.call == lost.hex()
        peers.reply(connection, again, 200, b"answer")
        assert caller.final_answer(lost).type == binary.ANSWER
        assert running.counters()["servers.dead_lines"] == 1


def test_connection_is_kept_while_a_call_set_up_on_it_stands() -> None:
    """Regression: such a connection was closed as spare, and the ends of seven calls, in transit on it, were
    lost."""
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        first, second = caller.call(), caller.call()
        connections = [platform.servers[0].accept() for _ in range(2)]
        invites = [peers.invite(connection) for connection in connections]
        for connection, invite in zip(connections, invites, strict=True):
            peers.reply(connection, invite, 200, b"answer")
        assert {caller.final_answer(call).type for call in (first, second)} == {binary.ANSWER}
        connections[1].send(sip.bye(b"1", invites[1].call, 7, 16))
        with pytest.raises(EOFError):  # no call stands there any more: it is closed after a while
            connections[1].next(lambda _: False)
        connections[0].send(sip.bye(b"1", invites[0].call, 7, 16))
        assert {caller.next(lambda m: m.type == binary.RELEASE).call for _ in range(2)} == {first, second}
        assert running.counters()["calls.ok"] == 2


def test_malformed_answer_does_not_affect_other_set_ups() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        caller.call()
        faulty_connection = platform.servers[0].accept()
        peers.invite(faulty_connection)
        other = caller.call()
        other_connection = platform.servers[0].accept()
        invite = peers.invite(other_connection)
        faulty_connection.send(b"\xffnoise\r\n\r\n")
        peers.until(lambda: running.events("closed"), why="the end of the malformed connection")
        peers.reply(other_connection, invite, 200, b"answer")
        assert caller.final_answer(other).type == binary.ANSWER


def test_duplicate_and_unknown_answers_are_ignored() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        call = caller.call()
        server = platform.servers[0].accept()
        invite = peers.invite(server)
        head = (
            sip.response(invite, 200, b"OK").replace(b"Content-Length: 0", b"Content-Length: 6") + b"answer"
        )
        server.send(head.replace(call.hex().encode(), b"00000000deadbeef") + head + head)
        assert caller.final_answer(call).parameters[binary.DESCRIPTION] == b"answer"
        assert caller.silent(0.3)
        counters = running.counters()
        assert (counters["servers.unknown_answers"], counters["servers.copies"]) == (1, 1)
        assert "servers.sent_bye" not in counters
        server.send(sip.bye(b"1", call.hex(), 7, 16))
        assert caller.final_answer(call).parameters[binary.CAUSE] == bytes([16])


def test_bus_events_are_followed_and_a_reused_address_is_another_server() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        bus = platform.accept_bus_connection()
        assert bus.recv(100) == b"from 1\n"
        caller = peers.Caller(platform.port)
        call, old = establish_call(platform, caller)
        address = platform.servers[0].address
        gone = peers.row("s0", address, 0, "DELETED")
        new = peers.row("s9", address, 0)
        lines = [b'{"offset":1}', b"1", json.dumps(peers.event(2, gone, new)).encode()]
        bus.sendall(b"\n".join(lines) + b"\n")
        assert caller.final_answer(call, within=1.0).parameters[binary.CAUSE] == bytes([41])
        with pytest.raises(EOFError):  # the connection to the removed server is closed
            old.next(lambda _: False)
        second, _ = establish_call(platform, caller)  # on a connection of its own
        assert second != call
        bus.close()
        bus = platform.accept_bus_connection()
        assert bus.recv(100) == b"from 2\n"
        bus.sendall(json.dumps(peers.event(3, peers.row("s9", address, 0, "DRAINING"))).encode() + b"\n")
        peers.until(lambda: len(running.events("list")) == 2, why="the drain")
        time.sleep(0.25)
        refused = caller.final_answer(caller.call())
        assert refused.parameters[binary.CAUSE] == bytes([42])
        assert 0 < int(refused.parameters[binary.RETRY_AFTER]) <= 2000


def test_malformed_input_affects_its_connection_or_message_only() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        for bad in (caller.call(class_name=b"unheard"), caller.call(number=b"a b\r\nX: y")):
            assert caller.final_answer(bad).type == binary.RELEASE
        caller.send_request(99, b"\0" * 8, 0)
        assert caller.final_answer(b"\0" * 8).parameters[binary.CAUSE] == bytes([97])
        for noise in (b"\0\0", b"\xff\xff\1", b"\0\x0c\1" + b"\0" * 8 + b"\3\0\xff"):
            broken = peers.Caller(platform.port)
            broken.send(noise)
            with pytest.raises((EOFError, ConnectionResetError)):
                broken.next()
        call, server = establish_call(platform, caller)
        server.send(b"SIP/2.0 nonsense\r\nContent-Length: 0\r\n\r\n")
        with pytest.raises(EOFError):
            server.next(lambda m: m.method == "NONE")
        counters = running.counters()
        assert (counters["callers.malformed"], counters["servers.malformed"]) == (3, 1)
        assert (counters["callers.bad_set_ups"], counters["callers.unknown"]) == (2, 1)
        assert establish_call(platform, caller)[0] != call


def test_sigterm_answers_every_set_up_and_exits_with_0() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        call, server = establish_call(platform, caller)
        running.process.terminate()
        peers.until(lambda: running.events("stopping"), why="the stop")
        late_caller = peers.Caller(platform.port)
        answered_call = late_caller.call(time_limit_ms=2000)
        peers.reply(server, peers.invite(server), 200, b"answer")
        assert late_caller.final_answer(answered_call).type == binary.ANSWER
        unanswered_call = late_caller.call(time_limit_ms=9000)
        assert late_caller.final_answer(unanswered_call).type == binary.RELEASE
        # Standing calls are released at the end.
        assert late_caller.final_answer(answered_call).type == binary.RELEASE
        assert caller.final_answer(call).type == binary.RELEASE
        assert running.process.wait(3) == 0
        assert running.events("counters")[-1]["answers.stands"] == 2


@pytest.mark.parametrize(
    ("key", "value", "expected"),
    [
        ("listen", "nowhere", "listen"),
        ("seed", "xyz", "seed"),
        ("known", {}, "known.batch"),
        ("settings", {"Balancers": 1, "Classes": []}, "Classes"),
        ("limits", {"sockets": -1}, "limits.sockets"),
        ("bus", None, "bus"),
    ],
)
def test_invalid_configuration_is_reported_in_one_line_that_names_the_key(
    key: str, value: object, expected: str
) -> None:
    platform = peers.Platform()
    platform.config[key] = value
    with platform.run() as running:
        assert running.process.wait(5) == 2
        assert expected in running.text() and running.text().count("\n") == 1


def test_address_in_use_is_reported_in_one_line() -> None:
    platform = peers.Platform()
    with socket.create_server(("127.0.0.1", platform.port)), platform.run() as running:
        assert running.process.wait(5) == 1
        assert len(running.events("crashed")) == 1


def test_missing_configuration_is_reported() -> None:
    environ = {k: v for k, v in os.environ.items() if k != "GW_CONFIG"}
    command = [sys.executable, "-m", "harepick"]
    result = subprocess.run(command, env=environ, cwd=peers.ROOT, capture_output=True, text=True)
    assert result.returncode == 2 and "GW_CONFIG" in result.stderr


def test_sighup_switches_the_bus_and_ignores_a_faulty_file() -> None:
    """The old bus stays open and sends nothing more: events of the new one must be received at once."""
    platform = peers.Platform()
    with platform.run() as running:
        old = platform.accept_bus_connection()
        assert old.recv(100) == b"from 1\n"
        platform.path.write_text(json.dumps(platform.config)[:-40])  # truncated
        running.process.send_signal(signal.SIGHUP)
        peers.until(lambda: running.events("reload_failed"), why="the faulty file")
        with peers.listen() as bus:
            bus.settimeout(5.0)
            platform.config["bus"] = f"127.0.0.1:{bus.getsockname()[1]}"
            platform.config["limits"] = {"sockets": 512}
            platform.path.write_text(json.dumps(platform.config))
            running.process.send_signal(signal.SIGHUP)
            follower = bus.accept()[0]
            assert follower.recv(100) == b"from 1\n"
            reloaded = peers.until(lambda: running.events("reloaded"), why="the new file")[0]
            assert reloaded["waiting_for_restart"] == ["sockets"]
            drain = peers.event(2, peers.row("s0", platform.servers[0].address, 0, "DRAINING"))
            follower.sendall(json.dumps(drain).encode() + b"\n")
            peers.until(lambda: running.events("list"), why="the drain")
            assert old.recv(100) == b""  # the connection to the old bus is closed
        assert running.stop() == 0


def test_silent_or_broken_bus_connection_is_replaced_in_time() -> None:
    """The platform holds an instance to events 4 s after a connection falls silent and 2 s after it
    breaks, also if the first attempt to reconnect fails."""
    platform = peers.Platform()
    with platform.run():
        silent = platform.accept_bus_connection()
        started_at = time.time()
        broken = platform.accept_bus_connection()  # opened as the first one is silent
        assert time.time() - started_at < 3.0
        assert broken.recv(100) == b"from 1\n"
        address = platform.bus.getsockname()
        platform.bus.close()
        broken.sendall(b'{"offset":2,"topo')  # the connection breaks in the middle of an event
        broken.close()
        time.sleep(1.6)  # long enough for unbounded backoff to become too long
        with socket.create_server(address) as platform.bus:
            started_at = time.time()
            assert platform.accept_bus_connection().recv(100) == b"from 1\n"
            assert time.time() - started_at < 0.7
        silent.close()
