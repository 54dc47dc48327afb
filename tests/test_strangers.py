"""Clients that send what they should not, or nothing: the real program goes on serving the others."""

from __future__ import annotations

import time

import pytest

from harepick.net import binary, sip
from tests import peers

GONE = (EOFError, ConnectionResetError, BrokenPipeError)


def test_figures_beyond_all_bounds_cost_their_set_up_alone() -> None:
    """A patience of 400 digits ended the program; an id of zeros had the server close on everybody."""
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        for bad in (caller.call(time_limit="9" * 400), caller.call(call_id=b"\0" * 8)):
            assert caller.final_answer(bad).type == binary.RELEASE
        call = caller.call()
        server = platform.servers[0].accept()
        assert peers.invite(server).call == call.hex()  # the first that the server hears of
        assert running.counters()["callers.bad_set_ups"] == 2


def test_an_id_that_is_open_stays_with_the_call_that_has_it() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        caller, other = peers.Caller(platform.port), peers.Caller(platform.port)
        call = caller.call()
        server = platform.servers[0].accept()
        asked = peers.invite(server)
        other.send_request(binary.RELEASE, call, 16)  # not theirs to give up
        other.call(call_id=call)
        with pytest.raises(GONE):
            other.final_answer(call)
        peers.reply(server, asked, 200, b"answer")
        assert caller.final_answer(call).type == binary.ANSWER
        stranger = peers.Caller(platform.port)
        stranger.call(call_id=call)  # nor when it stands
        with pytest.raises(GONE):
            stranger.final_answer(call)
        assert caller.silent(0.3)
        counters = running.counters()
        assert counters["calls.clashes"] == 2 and counters["servers.sent_invite"] == 1
        assert "servers.sent_bye" not in counters and "servers.sent_cancel" not in counters


def test_silent_and_half_said_connections_are_closed_within_3_s() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        begun = time.time()
        silent, half = peers.Caller(platform.port), peers.Caller(platform.port)
        half.send(b"\0\x40\1\1\2")
        for stranger in (silent, half):
            with pytest.raises(GONE):
                stranger.next()
        assert time.time() - begun < 3.0
        counters = running.counters()
        assert counters["callers.silent"] + counters["callers.half_said"] == 2


def test_a_full_house_makes_room_for_the_newest_and_keeps_what_is_open() -> None:
    platform = peers.Platform()
    platform.config["limits"]["sockets"] = 64  # 32 for callers
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        call = caller.call()
        server = platform.servers[0].accept()
        asked = peers.invite(server)
        strangers = [peers.Caller(platform.port) for _ in range(40)]
        newest = peers.Caller(platform.port)
        newest.send_request(binary.TEST, b"\0" * 8, 0)
        assert newest.next().type == binary.TEST_RESULT
        with pytest.raises(GONE):
            strangers[0].next(within=1.0)  # the longest idle, long before its time
        peers.reply(server, asked, 200, b"answer")
        assert caller.final_answer(call).type == binary.ANSWER
        counters = running.counters()
        assert counters["callers.made_room"] >= 10 and "callers.turned_away" not in counters


def test_a_good_set_up_ahead_of_a_malformed_one_counts() -> None:
    decoder = binary.Decoder()
    good = binary.Message(binary.TEST, b"12345678", {binary.CAUSE: b"\0"})
    found = []
    with pytest.raises(binary.BinaryError):
        for message in decoder.feed(good.encode() + b"\0\0"):
            found.append(message)
    assert found == [good]


def test_a_client_that_sends_the_same_again_and_again_is_closed() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        with pytest.raises(GONE):
            for _ in range(1000):
                caller.final_answer(caller.call(class_name=b"unheard"))
        assert running.counters()["callers.too_bad"] == 1


def test_the_release_of_a_call_goes_to_no_stranger() -> None:
    platform = peers.Platform()
    with platform.run():
        caller = peers.Caller(platform.port)
        call = caller.call()
        server = platform.servers[0].accept()
        peers.reply(server, peers.invite(server), 200, b"answer")
        assert caller.final_answer(call).type == binary.ANSWER
        caller.close()
        stranger = peers.Caller(platform.port)
        server.send(sip.bye(b"1", call.hex(), 7, 16))
        assert stranger.silent(0.3)
        other = peers.Caller(platform.port)
        other.call()  # the next one that is a caller
        assert other.final_answer(call).parameters[binary.CAUSE] == bytes([16])
