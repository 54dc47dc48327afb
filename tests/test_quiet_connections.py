"""Connections to a setup server that fall quiet or end while calls stand on them.

The server sends the release of a call on the connection of its set-up, or else on any open one, and also on
the next one opened. Other connections stay in use here, so that the server as a whole is never silent."""

from __future__ import annotations

import time
from contextlib import suppress

from harepick.net import binary, sip
from tests import peers

NUMBER = b"7f3a9c21e0b4d655"
# From the end of a call to the release of its caller, if the server could send none, and if it could.
LIMIT_WITHOUT_RELEASE_S = 8.0
LIMIT_AFTER_RELEASE_S = 1.0


def set_up_two_calls(platform: peers.Platform, caller: peers.Caller) -> list[tuple[bytes, peers.Peer]]:
    """Sets up two calls at once, so that each stands on a connection of its own; returns both with the
    server's end of their connection."""
    calls = {call.hex(): call for call in (caller.call(), caller.call())}
    connections = [platform.servers[0].accept() for _ in calls]
    standing = []
    for connection in connections:
        invite = peers.invite(connection)
        peers.reply(connection, invite, 200, b"answer")
        standing.append((calls[invite.call], connection))
    assert {caller.final_answer(call).type for call in calls.values()} == {binary.ANSWER}
    return standing


def next_connection(server: peers.SetupServer, lively: peers.Peer, within: float) -> peers.Peer:
    """Returns the next connection of the program; until it comes, the server goes on sending on `lively`."""
    end = time.monotonic() + within
    while time.monotonic() < end:
        lively.send(sip.request("OPTIONS", b"ping", "0" * 16, 1))
        with suppress(TimeoutError):
            return server.accept(within=0.2)
    raise AssertionError(f"no connection within {within} s")


def expect_release(caller: peers.Caller, call: bytes) -> None:
    """Takes the next release, which has to be the normal end of this call."""
    release = caller.next(lambda m: m.type == binary.RELEASE, within=LIMIT_AFTER_RELEASE_S)
    assert (release.call, release.parameters[binary.CAUSE]) == (call, bytes([16]))


# Guards against: a call ended by its server on a connection that fell quiet, never told to its caller.
def test_calls_on_a_quiet_connection_are_released_while_another_is_in_use() -> None:
    platform = peers.Platform()
    server = platform.servers[0]
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        (call, _quiet), (_, lively) = set_up_two_calls(platform, caller)
        next_connection(server, lively, LIMIT_WITHOUT_RELEASE_S)  # the call has not ended yet
        ended_at = time.monotonic()
        connection = next_connection(server, lively, LIMIT_WITHOUT_RELEASE_S)
        connection.send(sip.bye(NUMBER, call.hex(), 7, 16))
        expect_release(caller, call)
        assert time.monotonic() - ended_at < LIMIT_WITHOUT_RELEASE_S
        counters = running.counters()
        assert counters["servers.release_checks"] == 2 and "servers.checks" not in counters


# Guards against: a release that was lost with a reset connection, never told to the caller.
def test_release_lost_with_a_reset_connection_is_received_while_another_is_in_use() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        (call, lost), (_, lively) = set_up_two_calls(platform, caller)
        ended_at = time.monotonic()
        lost.close(reset=True)
        connection = next_connection(platform.servers[0], lively, LIMIT_AFTER_RELEASE_S)
        connection.send(sip.bye(NUMBER, call.hex(), 7, 16))
        expect_release(caller, call)
        assert time.monotonic() - ended_at < LIMIT_AFTER_RELEASE_S
        assert running.counters()["servers.release_checks"] == 1


# Guards against: a release in transit on a connection that was closed, as the server refused another one.
def test_quiet_connection_is_kept_at_a_server_that_refuses_another() -> None:
    platform = peers.Platform()
    server = platform.servers[0]
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        (call, quiet), (_, lively) = set_up_two_calls(platform, caller)
        server.listener.close()
        started_at = time.monotonic()
        while running.counters().get("servers.release_checks", 0) < 2:  # both refused
            assert time.monotonic() - started_at < LIMIT_WITHOUT_RELEASE_S
            lively.send(sip.request("OPTIONS", b"ping", "0" * 16, 1))
            assert not is_closed(quiet)
        assert running.counters()["servers.unreached"] >= 1
        quiet.send(sip.bye(NUMBER, call.hex(), 7, 16))
        expect_release(caller, call)


def is_closed(peer: peers.Peer) -> bool:
    """Reads for 0.2 s; returns whether the program has closed the connection."""
    with suppress(AssertionError):
        try:
            peer.next(lambda _: False, within=0.2)
        except EOFError:
            return True
    return False


# Guards against: the release of a caller, sent on a quiet connection, never reaching the server.
def test_release_of_a_caller_on_a_quiet_connection_is_sent_again_on_another() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        (call, quiet), (_, lively) = set_up_two_calls(platform, caller)
        # The release goes out on the connection heard last.
        quiet.send(sip.request("OPTIONS", b"ping", "0" * 16, 1))
        quiet.next(lambda m: m.method == "OPTIONS" and m.status == 200)
        caller.send_request(binary.RELEASE, call, 16)
        assert quiet.next(lambda m: m.method == "BYE").call == call.hex()
        released_at = time.monotonic()
        while not (byes := releases_on(lively)):
            assert time.monotonic() - released_at < LIMIT_WITHOUT_RELEASE_S
            lively.send(sip.request("OPTIONS", b"ping", "0" * 16, 1))
        assert byes == [call.hex()]
        counters = running.counters()
        assert (counters["servers.sent_bye"], counters["servers.releases_repeated"]) == (2, 1)


def releases_on(peer: peers.Peer) -> list[str]:
    """Reads for 0.2 s; returns the call of the first BYE, if one came."""
    with suppress(AssertionError):
        return [peer.next(lambda m: m.method == "BYE" and not m.status, within=0.2).call]
    return []
