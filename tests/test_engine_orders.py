"""One call and two servers: the core under every order of a few events, and under long seeded ones.

Checked in each: one final answer and in time, never two attempts out, no attempt after its caller left or for
a server told off, the release wait kept, and every call that stood released.
"""

from __future__ import annotations

import itertools
import random

import pytest

from harepick import interface as i
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
from harepick.counters import Counters
from harepick.log import Log
from tests.world import settings

EVENTS = (
    *("leaves", "answer", "copy", "full", "reset", "cancelled", "bye", "gone", "marked"),
    *("drain s0", "drain s1", "delete s0", "died s0", "wait", "deadline", "closing"),
)
CALL, PATIENCE = "c1", 4.0
LOG = Log(fd=1)


class BrokenError(AssertionError):
    """A rule of the platform that an order of events broke."""


class Play:
    """The core's ports, and what is true outside of it: who is out where, and what stands."""

    def __init__(self, cancelling: bool, seed: int = 7) -> None:
        self.now = 100.0
        self.gone = False  # as a caller: it has left
        self.left_at = float("inf")
        self.finals: list[str] = []
        self.releases = 0
        self.waiting: list[Attempt] = []  # placed, bytes not gone
        self.out: dict[str, Attempt] = {}  # server -> what it has
        self.cancels: list[Attempt] = []  # on their way to the server
        self.stood: set[str] = set()  # servers at which the call stands
        self.told_off: dict[str, str] = {}
        self.not_before = 0.0
        self.words: list[Message] = []  # told with the next turn
        self.settings = settings(may_cancel=cancelling)
        self.engine = Engine(self.settings, seed, self, Inbox(), Counters(), LOG, clock=lambda: self.now)
        rows = tuple(i.ServerEntry(f"s{n}", n, "ready") for n in range(2))
        self.engine.start(i.ServerList(i.ListKind.REMEMBERED, rows))
        self.engine.process([Offer(CALL, "a", 0, 77, self.now + PATIENCE, self, None)])
        self.deadline = self.now + PATIENCE

    # The caller

    def stands(self, description: bytes) -> None:
        self.final("stands")

    def refused(self, stay_away: float) -> None:
        self.final("refused")

    def failed(self) -> None:
        self.final("failed")

    def final(self, kind: str) -> None:
        self.finals.append(kind)
        if len(self.finals) > 1:
            raise BrokenError(f"two final answers: {self.finals}")
        if self.now > self.deadline + self.settings.answer_grace + 0.05:
            raise BrokenError("a final answer that comes late")

    def over(self, *, cut: bool) -> None:
        self.releases += 1
        if self.finals != ["stands"] or self.releases > 1:
            raise BrokenError("a release of what does not stand")

    def duplicate_id(self) -> None:
        raise BrokenError("a clash")

    # The servers' port

    def place(self, attempt: Attempt) -> i.Outcome | None:
        self.waiting.append(attempt)
        return None

    def cancel(self, attempt: Attempt) -> bool:
        if attempt.sent is None or self.out.get(attempt.server) is not attempt:
            return True
        self.cancels.append(attempt)
        return False

    def release(self, server: str, call: str) -> None:
        self.stood.discard(server)

    # Events

    def happen(self, event: str) -> None:
        what, _, server = event.partition(" ")
        getattr(self, f"on_{what}")(*([server] if server else []))
        self.turn()

    def turn(self) -> None:
        words, self.words = self.words, []
        self.engine.process(words)
        self.now += 0.005

    def on_leaves(self) -> None:
        for attempt in self.waiting:
            if not attempt.may_send(self.now):
                if not attempt.ended:
                    self.words.append(AttemptOver(attempt, i.Outcome.MOOT))
                continue
            if self.gone:
                raise BrokenError("an attempt begun after its caller left")
            if attempt.server in self.told_off:
                raise BrokenError(f"an attempt at a server that is {self.told_off[attempt.server]}")
            if self.out:
                raise BrokenError("two attempts out at once")
            if self.now < self.not_before:
                raise BrokenError("an attempt before the release wait was over")
            attempt.sent = self.now
            self.out[attempt.server] = attempt
        self.waiting.clear()

    def ends(self, outcome: i.Outcome, cause: int = 0) -> None:
        for attempt in self.out.values():
            self.words.append(AttemptOver(attempt, outcome, cause))
            if outcome is i.Outcome.RESET:
                self.not_before = self.now + self.settings.release_guard
            if attempt in self.cancels:
                self.cancels.remove(attempt)
        self.out.clear()

    def on_answer(self) -> None:
        for server, attempt in self.out.items():
            self.stood.add(server)
            self.words.append(Answered(CALL, attempt.number, server, b"answer"))
        self.out.clear()

    def on_copy(self) -> None:
        for server in self.stood:
            self.words.append(Answered(CALL, -1, server, b"answer"))

    def on_full(self) -> None:
        self.ends(i.Outcome.FULL, 3)

    def on_reset(self) -> None:
        self.ends(i.Outcome.RESET)

    def on_cancelled(self) -> None:
        """The server has heard the cancel; it may have answered before that."""
        for attempt in self.cancels:
            self.words.append(AttemptOver(attempt, i.Outcome.CANCELLED))
            if self.out.get(attempt.server) is attempt:
                del self.out[attempt.server]
                self.not_before = self.now + self.settings.release_guard
        self.cancels.clear()

    def on_bye(self) -> None:
        for server in self.stood:
            self.words.append(CallOver(CALL, server, False))
        self.stood.clear()

    def on_gone(self) -> None:
        if not self.gone:
            self.words.append(CallerGone(CALL, self))
        self.gone = True

    def on_marked(self) -> None:
        """The front has read the end; its word still waits in the inbox."""
        if not self.gone:
            self.gone = True
            self.unheard = CallerGone(CALL, self)
            self.later = True

    def list_as(self, server: str, state: str) -> None:
        self.told_off[server] = state
        entry = i.ServerEntry(server, int(server[1]), state)
        self.words.append(ControllerEvent(i.ServerList(i.ListKind.CHANGES, (entry,))))

    def on_drain(self, server: str) -> None:
        if server not in self.told_off:
            self.list_as(server, "draining")

    def on_delete(self, server: str) -> None:
        self.list_as(server, "gone")
        self.dies(server)

    def on_died(self, server: str) -> None:
        self.dies(server)
        self.words.append(ServerDied(server, self.now))

    def dies(self, server: str) -> None:
        self.stood.discard(server)
        if attempt := self.out.pop(server, None):
            self.words.append(AttemptOver(attempt, i.Outcome.RESET))
            self.not_before = self.now + self.settings.release_guard
            if attempt in self.cancels:
                self.cancels.remove(attempt)

    def on_wait(self) -> None:
        self.now += self.settings.release_guard

    def on_deadline(self) -> None:
        self.now = max(self.now, self.deadline + 0.001)

    def on_closing(self) -> None:
        """The end of a drain: what is unanswered fails."""
        self.engine.fail_unanswered()

    # The end

    later = False
    unheard: CallerGone

    def finish(self) -> None:
        """What is on its way arrives, the deadline passes, and the program ends."""
        if self.later:
            self.words.append(self.unheard)
        self.turn()
        self.on_deadline()
        for event in ("leaves", "cancelled", "leaves", "cancelled"):
            self.happen(event)
        if not self.finals and not self.gone:
            raise BrokenError("no final answer")
        self.engine.release_all()
        if self.stood:
            raise BrokenError(f"left standing at {self.stood}")
        if self.finals == ["stands"] and not self.gone and self.releases != 1:
            raise BrokenError("what stood was never released towards its caller")
        if self.out:
            raise BrokenError(f"still out at {list(self.out)}")


def play(order: tuple[str, ...], cancelling: bool = True, seed: int = 7) -> None:
    world = Play(cancelling, seed)
    try:
        for event in order:
            world.happen(event)
        world.finish()
    except BrokenError as error:
        raise BrokenError(f"{error}, after {order}") from None


@pytest.mark.parametrize("cancelling", [True, False])
def test_every_order_of_four_events_after_the_first_set_up_has_left(cancelling: bool) -> None:
    for order in itertools.product(EVENTS, repeat=3):
        play(("leaves", *order), cancelling)


@pytest.mark.parametrize("first", ["gone", "marked", "drain s0", "delete s0", "died s0", "deadline"])
def test_every_order_that_begins_before_the_first_set_up_has_left(first: str) -> None:
    for order in itertools.product(EVENTS, repeat=2):
        play((first, *order))
        play((first, *order), cancelling=False)


def test_long_orders_from_seeds() -> None:
    for seed in range(3000):
        rng = random.Random(seed)
        order = tuple(rng.choices((*EVENTS, *(["leaves"] * 6)), k=14))
        play(order, cancelling=rng.random() < 0.7, seed=seed)


@pytest.mark.parametrize("rule", ["gone", "told off", "one final answer", "late answer"])
def test_a_core_that_breaks_a_rule_is_found(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def may_leave(self: Engine, attempt: Attempt, now: float) -> bool:
        if attempt.ended or attempt.revoked or now >= attempt.deadline:
            return False
        return rule == "told off" or attempt.server in self._ready

    if rule in ("gone", "told off"):
        monkeypatch.setattr(core.Engine, "_may_send", may_leave)
    elif rule == "late answer":
        monkeypatch.setattr(Play, "release", lambda self, server, call: None)
    else:
        monkeypatch.setattr(core.Engine, "_overdue", lambda self, entry: entry.offer.caller.failed() or [])
    with pytest.raises(BrokenError):
        for order in itertools.product(EVENTS, repeat=2):
            play(order)
            play(("leaves", *order))
