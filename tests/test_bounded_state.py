"""What the core and the directory keep of ended calls and removed servers does not grow."""

from __future__ import annotations

from harepick import interface
from harepick.core.engine import Engine
from harepick.core.inbox import Inbox
from harepick.core.messages import Attempt, AttemptOver, CallerGone, ConcurrencyLimit, ControllerEvent, Offer
from harepick.counters import Counters
from harepick.directory import MAX_GONE, Directory
from harepick.log import Log
from tests import peers
from tests.world import settings


class SilentServers:
    """Setup servers that accept every attempt and never answer."""

    def __init__(self) -> None:
        self.placed: list[Attempt] = []

    def place(self, attempt: Attempt) -> interface.Outcome | None:
        self.placed.append(attempt)
        return None

    def cancel(self, attempt: Attempt) -> bool:
        return True

    def release(self, server: str, call: str) -> None:
        pass


class IgnoringCaller:
    """A caller that ignores its answers."""

    gone = False

    def established(self, description: bytes) -> None: ...

    def refused(self, retry_after: float) -> None: ...

    def failed(self) -> None: ...

    def ended(self, *, cut: bool) -> None: ...

    def duplicate_id(self) -> None: ...


def listed(name: str, state: str = "ready") -> ControllerEvent:
    return ControllerEvent(
        interface.ServerList(interface.ListKind.CHANGES, (interface.ServerEntry(name, 0, state),))
    )


def engine() -> tuple[Engine, SilentServers]:
    servers = SilentServers()
    return Engine(settings(), 7, servers, Inbox(), Counters(), Log(fd=1), clock=lambda: 100.0), servers


def test_the_core_keeps_nothing_of_servers_that_are_gone() -> None:
    core, servers = engine()
    for number in range(50):
        core.process([listed(f"s{number}")])
        core.process([listed(f"s{number}", "gone")])
    assert not core._start_times and not core._ready_servers
    core.process([listed("s50"), Offer("c1", "low", 0, None, 103.0, IgnoringCaller(), b"")])
    attempt = servers.placed[0]
    assert attempt.may_send(100.0)
    core.process([listed("s50", "gone")])
    assert not attempt.may_send(100.0)  # the check before a send also covers servers that are no longer kept


def test_a_call_given_up_in_the_batch_of_its_next_attempt_leaves_nothing_open() -> None:
    """Regression: the controller sent an attempt of a call that was no longer in the table. Its end was not
    reported, and it stayed open in the controller's state of the server."""
    core, servers = engine()
    caller = IgnoringCaller()
    core.process([listed("s0"), listed("s1"), Offer("c1", "low", 0, None, 103.0, caller, b"")])
    first = servers.placed[0]
    core.process([AttemptOver(first, interface.Outcome.FULL, 3), CallerGone("c1", caller)])
    assert core.idle
    assert not any(server.open_attempts for server in core._controller.servers.values())


def test_a_concurrency_limit_in_the_batch_of_a_call_does_not_free_its_place() -> None:
    """Regression: a limit applied after a call of the same batch freed the place that the call had just
    taken, and one call too many was sent."""
    core, servers = engine()
    calls = iter([Offer(f"c{number}", "low", 0, None, 103.0, IgnoringCaller(), b"") for number in range(4)])
    core.process([listed("s0"), ConcurrencyLimit("s0", 1.0)])
    core.process([next(calls), ConcurrencyLimit("s0", 1.0)])
    assert core.under_way("s0") == 1
    core.process([next(calls)])
    assert core.under_way("s0") == 1 and len(servers.placed) == 1
    # A place freed by the end of a call in that batch is freed once.
    core.process([AttemptOver(servers.placed[0], interface.Outcome.FULL, 3), ConcurrencyLimit("s0", 1.0)])
    core.process([next(calls), next(calls)])
    assert core.under_way("s0") <= 1


def test_the_directory_keeps_few_of_the_servers_that_are_gone() -> None:
    directory = Directory()
    for number in range(1, 400, 2):
        directory.apply(peers.event(number, peers.row(f"s{number}", "127.0.0.1:5", 0)))
        directory.apply(peers.event(number + 1, peers.row(f"s{number}", "127.0.0.1:5", 0, "DELETED")))
    assert len(directory.entries()) <= MAX_GONE
