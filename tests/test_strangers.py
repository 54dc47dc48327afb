"""Clients that send what they should not, or nothing: the real program goes on serving the others."""

from __future__ import annotations

import time

import pytest

from harepick.net import binary, sip
from tests import peers

GONE = (EOFError, ConnectionResetError, BrokenPipeError)


def test_figures_beyond_all_bounds_cost_their_set_up_alone() -> None:
    """A patience of 400 digits ended the program; an id of zeros had the server close on everybody."""
    place = peers.Platform()
    with place.run() as running:
        caller = peers.Caller(place.port)
        for bad in (caller.call(patience="9" * 400), caller.call(ident=b"\0" * 8)):
            assert caller.told(bad).type == binary.RELEASE
        call = caller.call()
        server = place.setups[0].accept()
        assert peers.invite(server).call == call.hex()  # the first that the server hears of
        assert running.counters()["callers.bad_set_ups"] == 2


def test_an_id_that_is_open_stays_with_the_call_that_has_it() -> None:
    place = peers.Platform()
    with place.run() as running:
        caller, other = peers.Caller(place.port), peers.Caller(place.port)
        call = caller.call()
        server = place.setups[0].accept()
        asked = peers.invite(server)
        other.ask(binary.RELEASE, call, 16)  # not theirs to give up
        other.call(ident=call)
        with pytest.raises(GONE):
            other.told(call)
        peers.reply(server, asked, 200, b"answer")
        assert caller.told(call).type == binary.ANSWER
        stranger = peers.Caller(place.port)
        stranger.call(ident=call)  # nor when it stands
        with pytest.raises(GONE):
            stranger.told(call)
        assert caller.silent(0.3)
        counters = running.counters()
        assert counters["calls.clashes"] == 2 and counters["servers.sent_invite"] == 1
        assert "servers.sent_bye" not in counters and "servers.sent_cancel" not in counters


def test_silent_and_half_said_connections_are_closed_within_3_s() -> None:
    place = peers.Platform()
    with place.run() as running:
        begun = time.time()
        silent, half = peers.Caller(place.port), peers.Caller(place.port)
        half.send(b"\0\x40\1\1\2")
        for stranger in (silent, half):
            with pytest.raises(GONE):
                stranger.next()
        assert time.time() - begun < 3.0
        counters = running.counters()
        assert counters["callers.silent"] + counters["callers.half_said"] == 2


def test_a_full_house_makes_room_for_the_newest_and_keeps_what_is_open() -> None:
    place = peers.Platform()
    place.config["limits"]["sockets"] = 64  # 32 for callers
    with place.run() as running:
        caller = peers.Caller(place.port)
        call = caller.call()
        server = place.setups[0].accept()
        asked = peers.invite(server)
        strangers = [peers.Caller(place.port) for _ in range(40)]
        newest = peers.Caller(place.port)
        newest.ask(binary.TEST, b"\0" * 8, 0)
        assert newest.next().type == binary.TESTED
        with pytest.raises(GONE):
            strangers[0].next(within=1.0)  # the longest idle, long before its time
        peers.reply(server, asked, 200, b"answer")
        assert caller.told(call).type == binary.ANSWER
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
    place = peers.Platform()
    with place.run() as running:
        caller = peers.Caller(place.port)
        with pytest.raises(GONE):
            for _ in range(1000):
                caller.told(caller.call(cls=b"unheard"))
        assert running.counters()["callers.too_bad"] == 1


def test_the_release_of_a_call_goes_to_no_stranger() -> None:
    place = peers.Platform()
    with place.run():
        caller = peers.Caller(place.port)
        call = caller.call()
        server = place.setups[0].accept()
        peers.reply(server, peers.invite(server), 200, b"answer")
        assert caller.told(call).type == binary.ANSWER
        caller.close()
        stranger = peers.Caller(place.port)
        server.send(sip.bye(b"1", call.hex(), 7, 16))
        assert stranger.silent(0.3)
        other = peers.Caller(place.port)
        other.call()  # the next one that is a caller
        assert other.told(call).parameters[binary.CAUSE] == bytes([16])
