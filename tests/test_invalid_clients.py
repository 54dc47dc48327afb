"""Clients that send invalid data, or nothing: the real program goes on serving the others."""

from __future__ import annotations

import time

import pytest

from harepick.net import binary, sip
from tests import peers

DISCONNECTED = (EOFError, ConnectionResetError, BrokenPipeError)


def test_out_of_bounds_set_up_is_refused_alone() -> None:
    """Regression: a time limit of 400 digits ended the program, and a zero call id made the server close its
    connection with every call open there."""
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        for bad in (caller.call(time_limit="9" * 400), caller.call(call_id=b"\0" * 8)):
            assert caller.final_answer(bad).type == binary.RELEASE
        call = caller.call()
        server = platform.servers[0].accept()
        assert peers.invite(server).call == call.hex()  # the first set-up that reaches the server
        assert running.counters()["callers.bad_set_ups"] == 2


def test_open_call_id_stays_with_its_call() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        caller, other = peers.Caller(platform.port), peers.Caller(platform.port)
        call = caller.call()
        server = platform.servers[0].accept()
        invite = peers.invite(server)
        other.send_request(binary.RELEASE, call, 16)  # only the connection of the set-up may give it up
        other.call(call_id=call)
        with pytest.raises(DISCONNECTED):
            other.final_answer(call)
        peers.reply(server, invite, 200, b"answer")
        assert caller.final_answer(call).type == binary.ANSWER
        client = peers.Caller(platform.port)
        client.call(call_id=call)  # a standing call keeps its id as well
        with pytest.raises(DISCONNECTED):
            client.final_answer(call)
        assert caller.silent(0.3)
        counters = running.counters()
        assert counters["calls.clashes"] == 2 and counters["servers.sent_invite"] == 1
        assert "servers.sent_bye" not in counters and "servers.sent_cancel" not in counters


def test_silent_and_stalled_connections_are_closed_within_3_s() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        started_at = time.time()
        silent, half = peers.Caller(platform.port), peers.Caller(platform.port)
        half.send(b"\0\x40\1\1\2")
        for client in (silent, half):
            with pytest.raises(DISCONNECTED):
                client.next()
        assert time.time() - started_at < 3.0
        counters = running.counters()
        assert counters["callers.silent"] + counters["callers.half_said"] == 2


def test_full_connection_table_evicts_idle_connections_only() -> None:
    platform = peers.Platform()
    platform.config["limits"]["sockets"] = 64  # of which 32 are for callers
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        call = caller.call()
        server = platform.servers[0].accept()
        invite = peers.invite(server)
        idle_clients = [peers.Caller(platform.port) for _ in range(40)]
        newest = peers.Caller(platform.port)
        newest.send_request(binary.TEST, b"\0" * 8, 0)
        assert newest.next().type == binary.TEST_RESULT
        with pytest.raises(DISCONNECTED):
            idle_clients[0].next(within=1.0)  # the longest idle one, long before its time limit
        peers.reply(server, invite, 200, b"answer")
        assert caller.final_answer(call).type == binary.ANSWER
        counters = running.counters()
        assert counters["callers.made_room"] >= 10 and "callers.turned_away" not in counters


def test_message_ahead_of_a_malformed_one_is_decoded() -> None:
    decoder = binary.Decoder()
    valid_message = binary.Message(binary.TEST, b"12345678", {binary.CAUSE: b"\0"})
    found = []
    with pytest.raises(binary.BinaryError):
        for message in decoder.feed(valid_message.encode() + b"\0\0"):
            found.append(message)
    assert found == [valid_message]


def test_client_that_repeats_invalid_set_ups_is_disconnected() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        with pytest.raises(DISCONNECTED):
            for _ in range(1000):
                caller.final_answer(caller.call(class_name=b"unheard"))
        assert running.counters()["callers.too_bad"] == 1


def test_release_goes_only_to_connections_of_callers() -> None:
    platform = peers.Platform()
    with platform.run():
        caller = peers.Caller(platform.port)
        call = caller.call()
        server = platform.servers[0].accept()
        peers.reply(server, peers.invite(server), 200, b"answer")
        assert caller.final_answer(call).type == binary.ANSWER
        caller.close()
        client = peers.Caller(platform.port)
        server.send(sip.bye(b"1", call.hex(), 7, 16))
        assert client.silent(0.3)
        other = peers.Caller(platform.port)
        other.call()  # the next connection that proves to be a caller's
        assert other.final_answer(call).parameters[binary.CAUSE] == bytes([16])


def test_every_set_up_read_before_the_limit_of_invalid_ones_is_answered() -> None:
    """Regression: the connection was closed before the last refusal was written, and further set-ups that
    came in the same read were dropped."""
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        messages = [
            binary.Message(
                binary.SET_UP,
                bytes([number]) * 8,
                {binary.CLASS: b"unheard", binary.NUMBER: b"77", binary.DESCRIPTION: b"offer"},
            )
            for number in range(1, 31)
        ]
        caller.send(b"".join(message.encode() for message in messages))
        for message in messages:
            assert caller.final_answer(message.call).type == binary.RELEASE
        with pytest.raises(DISCONNECTED):
            caller.next()
        assert running.counters()["callers.too_bad"] == 1


@pytest.mark.parametrize("ending", ["malformed", "open id on this connection", "open id on another"])
def test_open_set_ups_are_answered_before_their_connection_is_closed(ending: str) -> None:
    """Regression: a connection that had to be closed gave up the set-ups that were open on it."""
    platform = peers.Platform()
    with platform.run() as running:
        caller, other = peers.Caller(platform.port), peers.Caller(platform.port)
        calls = [caller.call()]
        held = [platform.servers[0].invited(within=2.0)]
        match ending:
            case "malformed":
                caller.send(b"\0\0")
                running.wait_for_counter("callers.malformed")
            case "open id on this connection":
                caller.call(call_id=calls[0])
                running.wait_for_counter("calls.clashes")
            case _:
                reused = other.call()
                held.append(platform.servers[0].invited(within=2.0))
                caller.call(call_id=reused)
                running.wait_for_counter("calls.clashes")
        caller.send(binary.Message(binary.TEST, b"\0" * 8).encode() * 3)  # discarded
        for found in held:
            assert found is not None
            peers.reply(*found, 200, b"answer")
        assert caller.final_answer(calls[0]).type == binary.ANSWER
        with pytest.raises(DISCONNECTED):
            caller.next()
        if ending == "open id on another":
            assert other.final_answer(reused).type == binary.ANSWER
