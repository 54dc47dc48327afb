"""One call and two servers: the core under every order of a few events, and under long random orders.

Checked in each: one final answer in time, never two open attempts, no attempt after the caller left or to a
server that is draining or gone, the release guard kept, and every standing call released.
"""

from __future__ import annotations

import itertools
import random

import pytest

from harepick import interface
from harepick.core import engine as core
from harepick.core.engine import Engine
from harepick.core.inbox import Inbox
from harepick.core.messages import (
    Answered,
    Attempt,
    AttemptOver,
    CallerGone,
    CallOver,
    ControllerEvent,
    Message,
    Offer,
    ServerDied,
)
from harepick.core.timers import Timers
from harepick.counters import Counters
from harepick.log import Log
from tests.world import settings

EVENTS = (
    *("send", "answer", "repeated_answer", "full", "reset", "cancelled", "bye", "gone", "marked"),
    *("drain s0", "drain s1", "delete s0", "died s0", "wait", "deadline", "closing"),
)
CALL_ID, PATIENCE_S = "c1", 4.0
LOG = Log(fd=1)


class RuleError(AssertionError):
    """An order of events broke a rule of the platform."""


class CallWorld:
    """The core's ports, and the state outside of it: open attempts and standing calls at the servers."""

    def __init__(self, cancelling: bool, seed: int = 7) -> None:
        self.now = 100.0
        self.gone = False  # the caller has left
        self.left_at = float("inf")
        self.finals: list[str] = []
        self.releases = 0
        self.waiting: list[Attempt] = []  # placed, not written yet
        self.open_attempts: dict[str, Attempt] = {}  # server -> its open attempt
        self.cancels: list[Attempt] = []  # sent, not yet received by the server
        self.stood: set[str] = set()  # servers at which the call stands
        self.unavailable_states: dict[str, str] = {}
        self.not_before = 0.0
        self.messages: list[Message] = []  # for the next batch
        self.settings = settings(may_cancel=cancelling)
        self.engine = Engine(self.settings, seed, self, Inbox(), Counters(), LOG, clock=lambda: self.now)
        rows = tuple(interface.ServerEntry(f"s{n}", n, "ready") for n in range(2))
        self.engine.start(interface.ServerList(interface.ListKind.REMEMBERED, rows))
        self.engine.process([Offer(CALL_ID, "a", 0, 77, self.now + PATIENCE_S, self, None)])
        self.deadline = self.now + PATIENCE_S

    # The caller

    def established(self, description: bytes) -> None:
        self.record_answer("stands")

    def refused(self, retry_after: float) -> None:
        self.record_answer("refused")

    def failed(self) -> None:
        self.record_answer("failed")

    def record_answer(self, kind: str) -> None:
        self.finals.append(kind)
        if len(self.finals) > 1:
            raise RuleError(f"two final answers: {self.finals}")
        if self.now > self.deadline + self.settings.answer_grace + 0.05:
            raise RuleError("a late final answer")

    def ended(self, *, cut: bool) -> None:
        self.releases += 1
        if self.finals != ["stands"] or self.releases > 1:
            raise RuleError("a release of a call that does not stand")

    def duplicate_id(self) -> None:
        raise RuleError("a duplicate id")

    # The servers' port

    def place(self, attempt: Attempt) -> interface.Outcome | None:
        self.waiting.append(attempt)
        return None

    def cancel(self, attempt: Attempt) -> bool:
        if attempt.sent is None or self.open_attempts.get(attempt.server) is not attempt:
            return True
        self.cancels.append(attempt)
        return False

    def release(self, server: str, call: str) -> None:
        self.stood.discard(server)

    # Events

    def run_event(self, event: str) -> None:
        name, _, server = event.partition(" ")
        getattr(self, f"on_{name}")(*([server] if server else []))
        self.process_batch()

    def process_batch(self) -> None:
        messages, self.messages = self.messages, []
        self.engine.process(messages)
        self.now += 0.005

    def on_send(self) -> None:
        """The placed attempts are written to their servers, if they still may be sent."""
        for attempt in self.waiting:
            if not attempt.may_send(self.now):
                if not attempt.ended:
                    self.messages.append(AttemptOver(attempt, interface.Outcome.MOOT))
                continue
            if self.gone:
                raise RuleError("an attempt sent after its caller left")
            if attempt.server in self.unavailable_states:
                raise RuleError(f"an attempt at a server that is {self.unavailable_states[attempt.server]}")
            if self.open_attempts:
                raise RuleError("two open attempts at once")
            if self.now < self.not_before:
                raise RuleError("an attempt before the release guard was over")
            attempt.sent = self.now
            self.open_attempts[attempt.server] = attempt
        self.waiting.clear()

    def end_attempts(self, outcome: interface.Outcome, cause: int = 0) -> None:
        for attempt in self.open_attempts.values():
            self.messages.append(AttemptOver(attempt, outcome, cause))
            if outcome is interface.Outcome.RESET:
                self.not_before = self.now + self.settings.release_guard
            if attempt in self.cancels:
                self.cancels.remove(attempt)
        self.open_attempts.clear()

    def on_answer(self) -> None:
        for server, attempt in self.open_attempts.items():
            self.stood.add(server)
            self.messages.append(Answered(CALL_ID, attempt.number, server, b"answer"))
        self.open_attempts.clear()

    def on_repeated_answer(self) -> None:
        for server in self.stood:
            self.messages.append(Answered(CALL_ID, -1, server, b"answer"))

    def on_full(self) -> None:
        self.end_attempts(interface.Outcome.FULL, 3)

    def on_reset(self) -> None:
        self.end_attempts(interface.Outcome.RESET)

    def on_cancelled(self) -> None:
        """The server has received the cancel; it may have answered before."""
        for attempt in self.cancels:
            self.messages.append(AttemptOver(attempt, interface.Outcome.CANCELLED))
            if self.open_attempts.get(attempt.server) is attempt:
                del self.open_attempts[attempt.server]
                self.not_before = self.now + self.settings.release_guard
        self.cancels.clear()

    def on_bye(self) -> None:
        for server in self.stood:
            self.messages.append(CallOver(CALL_ID, server, False))
        self.stood.clear()

    def on_gone(self) -> None:
        if not self.gone:
            self.messages.append(CallerGone(CALL_ID, self))
        self.gone = True

    def on_marked(self) -> None:
        """The caller is marked as gone; the message that tells the core is not delivered before the end."""
        if not self.gone:
            self.gone = True
            self.undelivered = CallerGone(CALL_ID, self)
            self.has_undelivered = True

    def list_as(self, server: str, state: str) -> None:
        self.unavailable_states[server] = state
        entry = interface.ServerEntry(server, int(server[1]), state)
        self.messages.append(ControllerEvent(interface.ServerList(interface.ListKind.CHANGES, (entry,))))

    def on_drain(self, server: str) -> None:
        if server not in self.unavailable_states:
            self.list_as(server, "draining")

    def on_delete(self, server: str) -> None:
        self.list_as(server, "gone")
        self.stop_server(server)

    def on_died(self, server: str) -> None:
        self.stop_server(server)
        self.messages.append(ServerDied(server, self.now))

    def stop_server(self, server: str) -> None:
        self.stood.discard(server)
        if attempt := self.open_attempts.pop(server, None):
            self.messages.append(AttemptOver(attempt, interface.Outcome.RESET))
            self.not_before = self.now + self.settings.release_guard
            if attempt in self.cancels:
                self.cancels.remove(attempt)

    def on_wait(self) -> None:
        self.now += self.settings.release_guard

    def on_deadline(self) -> None:
        self.now = max(self.now, self.deadline + 0.001)

    def on_closing(self) -> None:
        """The end of a drain: unanswered calls fail."""
        self.engine.fail_unanswered()

    # The end

    has_undelivered = False
    undelivered: CallerGone

    def finish(self) -> None:
        """All pending messages arrive, the deadline passes, and the program ends."""
        if self.has_undelivered:
            self.messages.append(self.undelivered)
        self.process_batch()
        self.on_deadline()
        for event in ("send", "cancelled", "send", "cancelled"):
            self.run_event(event)
        if not self.finals and not self.gone:
            raise RuleError("no final answer")
        self.engine.release_all()
        if self.stood:
            raise RuleError(f"call left standing at {self.stood}")
        if self.finals == ["stands"] and not self.gone and self.releases != 1:
            raise RuleError("a standing call was never released to its caller")
        if self.open_attempts:
            raise RuleError(f"attempts still open at {list(self.open_attempts)}")


def run_order(order: tuple[str, ...], cancelling: bool = True, seed: int = 7) -> None:
    world = CallWorld(cancelling, seed)
    try:
        for event in order:
            world.run_event(event)
        world.finish()
    except RuleError as error:
        raise RuleError(f"{error}, after {order}") from None


@pytest.mark.parametrize("cancelling", [True, False])
def test_every_order_of_four_events_after_the_first_set_up_was_sent(cancelling: bool) -> None:
    for order in itertools.product(EVENTS, repeat=3):
        run_order(("send", *order), cancelling)


@pytest.mark.parametrize("first", ["gone", "marked", "drain s0", "delete s0", "died s0", "deadline"])
def test_every_order_that_begins_before_the_first_set_up_was_sent(first: str) -> None:
    for order in itertools.product(EVENTS, repeat=2):
        run_order((first, *order))
        run_order((first, *order), cancelling=False)


def test_long_random_orders() -> None:
    for seed in range(3000):
        rng = random.Random(seed)
        order = tuple(rng.choices((*EVENTS, *(["send"] * 6)), k=14))
        run_order(order, cancelling=rng.random() < 0.7, seed=seed)


@pytest.mark.parametrize("rule", ["gone", "unavailable server", "one final answer", "late answer"])
def test_a_core_that_breaks_a_rule_is_found(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def may_send(self: Engine, attempt: Attempt, now: float) -> bool:
        if attempt.ended or attempt.cancel_requested or now >= attempt.deadline:
            return False
        return rule == "unavailable server" or attempt.server in self._ready_servers

    if rule in ("gone", "unavailable server"):
        monkeypatch.setattr(core.Engine, "_may_send", may_send)
    elif rule == "late answer":
        monkeypatch.setattr(CallWorld, "release", lambda self, server, call: None)
    else:  # both safeguards: the timer of an answered call is cancelled, and its expiry does nothing
        monkeypatch.setattr(Timers, "cancel", lambda self, timer: None)
        monkeypatch.setattr(
            core.Engine, "_fail_overdue", lambda self, record: record.offer.caller.failed() or []
        )
    with pytest.raises(RuleError):
        for order in itertools.product(EVENTS, repeat=2):
            run_order(order)
            run_order(("send", *order))
