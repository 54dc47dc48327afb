"""The platform's front: the real program between callers and setup servers on sockets."""

from __future__ import annotations

from harepick.net import binary, sip
from tests import peers


def test_a_call_stands_and_ends() -> None:
    place = peers.Platform()
    with place.run() as running:
        caller = peers.Caller(place.port)
        caller.ask(binary.TEST, b"\0" * 8, 0)
        assert caller.next(lambda m: m.type == binary.TESTED).parameters[binary.CAUSE] == b"\x01"
        call = caller.call(patience_ms=4000)
        server = place.setups[0].accept()
        asked = peers.invite(server)
        assert asked.call == call.hex() and asked.body == b"offer\r\n"
        assert asked.target == b"sip:7f3a9c21e0b4d655@net" and asked.text(b"priority-class") == "a"
        assert 3000 < int(asked.text(b"expires-ms")) <= 4000
        peers.reply(server, asked, 200, b"answer \xff")
        assert server.next(lambda m: m.method == "ACK").call == call.hex()
        told = caller.told(call)
        assert told.type == binary.ANSWER and told.parameters[binary.DESCRIPTION] == b"answer \xff"
        server.send(sip.bye(b"7f3a9c21e0b4d655", call.hex(), 7, 16))
        assert caller.told(call).parameters[binary.CAUSE] == b"\x10"
        assert running.counters()["calls.ok"] == 1
        assert running.stop() == 0


def stand(
    place: peers.Platform, caller: peers.Caller, server: peers.Peer | None = None
) -> tuple[bytes, peers.Peer]:
    """A call that stands, and the server's end of its connection."""
    call = caller.call()
    server = server or place.setups[0].accept()
    peers.reply(server, peers.invite(server), 200, b"answer")
    assert caller.told(call).type == binary.ANSWER
    return call, server


def test_a_vanished_server_has_its_calls_released_though_nothing_says_so() -> None:
    """No reset comes and no news of the list; the connection stays open, and no new one comes up."""
    place = peers.Platform()
    with place.run() as running:
        caller = peers.Caller(place.port)
        call, _server = stand(place, caller)
        place.setups[0].listener.close()
        assert caller.told(call, within=8.0).parameters[binary.CAUSE] == bytes([41])
        assert running.counters()["servers.vanished"] == 1


def test_a_silent_server_that_takes_connections_keeps_its_calls() -> None:
    place = peers.Platform()
    with place.run() as running:
        caller = peers.Caller(place.port)
        call, _server = stand(place, caller)
        second = place.setups[0].accept()
        assert caller.silent(1.0)
        second.send(sip.bye(b"1", call.hex(), 7, 16))  # what it has to say may come on the new one
        assert caller.told(call).parameters[binary.CAUSE] == bytes([16])
        assert "servers.vanished" not in running.counters()


def test_the_second_attempt_of_a_call_is_answered_too() -> None:
    """Servers answer every attempt with CSeq 1: read as the number of the attempt, it lost each second one."""
    place = peers.Platform(servers=2)
    with place.run() as running:
        caller = peers.Caller(place.port)
        call = caller.call(dest=0)
        first = place.setups[0].accept()
        peers.reply(first, peers.invite(first), 503, note=b"processor_full")
        second = place.setups[1].accept()
        again = peers.invite(second)
        assert again.call == call.hex() and again.body == b"offer\r\n"
        peers.reply(second, again, 200, b"answer")
        assert caller.told(call).type == binary.ANSWER
        assert running.counters()["attempts.full"] == 1
        assert "answers.too_late" not in running.counters()
