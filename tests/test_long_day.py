"""What the core and the list keep of servers and calls that are over: nothing that grows."""

from __future__ import annotations

from harepick import interface as i
from harepick.core.engine import Engine
from harepick.core.inbox import Inbox
from harepick.core.messages import Attempt, AttemptOver, CallerGone, ConcurrencyLimit, ControllerEvent, Offer
from harepick.counters import Counters
from harepick.directory import MAX_GONE, Directory
from harepick.log import Log
from tests import peers
from tests.world import settings


class Port:
    """Setup servers that take everything and say nothing."""

    def __init__(self) -> None:
        self.placed: list[Attempt] = []

    def place(self, attempt: Attempt) -> i.Outcome | None:
        self.placed.append(attempt)
        return None

    def cancel(self, attempt: Attempt) -> bool:
        return True

    def release(self, server: str, call: str) -> None:
        pass


class Silent:
    """A caller that takes its answers."""

    gone = False

    def stands(self, description: bytes) -> None: ...

    def refused(self, stay_away: float) -> None: ...

    def failed(self) -> None: ...

    def over(self, *, cut: bool) -> None: ...

    def duplicate_id(self) -> None: ...


def ready(name: str, state: str = "ready") -> ControllerEvent:
    return ControllerEvent(i.ServerList(i.ListKind.CHANGES, (i.ServerEntry(name, 0, state),)))


def engine() -> tuple[Engine, Port]:
    port = Port()
    return Engine(settings(), 7, port, Inbox(), Counters(), Log(fd=1), clock=lambda: 100.0), port


def test_the_core_keeps_nothing_of_servers_that_are_gone() -> None:
    core, port = engine()
    for n in range(50):
        core.process([ready(f"s{n}")])
        core.process([ready(f"s{n}", "gone")])
    assert not core._listed and not core._ready
    core.process([ready("s50"), Offer("c1", "low", 0, None, 103.0, Silent(), b"")])
    attempt = port.placed[0]
    assert attempt.may_send(100.0)
    core.process([ready("s50", "gone")])
    assert not attempt.may_send(100.0)  # the last look holds for one that is forgotten, too


def test_a_call_given_up_in_the_batch_of_its_next_attempt_leaves_nothing_open() -> None:
    """The module had decided on a send that the ledger no longer knew: it stayed open in its books."""
    core, port = engine()
    caller = Silent()
    core.process([ready("s0"), ready("s1"), Offer("c1", "low", 0, None, 103.0, caller, b"")])
    first = port.placed[0]
    core.process([AttemptOver(first, i.Outcome.FULL, 3), CallerGone("c1", caller)])
    assert core.idle
    assert not any(server.open_attempts for server in core._controller.servers.values())


def test_room_told_in_the_batch_of_a_call_gives_that_call_s_place_to_no_other() -> None:
    """Told after the call it named a place as free that the module had just taken: one too many was out."""
    core, port = engine()
    calls = iter([Offer(f"c{n}", "low", 0, None, 103.0, Silent(), b"") for n in range(4)])
    core.process([ready("s0"), ConcurrencyLimit("s0", 1.0)])
    core.process([next(calls), ConcurrencyLimit("s0", 1.0)])
    assert core.under_way("s0") == 1
    core.process([next(calls)])
    assert core.under_way("s0") == 1 and len(port.placed) == 1
    # The place that an end gives back in that batch is given back once.
    core.process([AttemptOver(port.placed[0], i.Outcome.FULL, 3), ConcurrencyLimit("s0", 1.0)])
    core.process([next(calls), next(calls)])
    assert core.under_way("s0") <= 1


def test_the_list_keeps_few_of_the_servers_that_are_gone() -> None:
    directory = Directory()
    for n in range(1, 400, 2):
        directory.apply(peers.event(n, peers.row(f"s{n}", "127.0.0.1:5", 0)))
        directory.apply(peers.event(n + 1, peers.row(f"s{n}", "127.0.0.1:5", 0, "DELETED")))
    assert len(directory.entries()) <= MAX_GONE
