"""A test harness for one controller: its timers, open attempts and the rules that one instance must keep."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from harepick import interface
from harepick.decide import Controller

LOW = interface.CallClass("low", aim=1.5, give_up=9.0, worth=1.0, late_share=0.25)
HIGH = interface.CallClass("high", aim=1.0, give_up=6.0, worth=8.0, late_share=0.1)


def settings(**changes: object) -> interface.Settings:
    """Settings of an instance among four, with the given fields replaced."""
    base: dict[str, object] = {
        "me": 0,
        "fronts": 4,
        "classes": (LOW, HIGH),
        "cold_share": 0.3,
        "warm_after": 10.0,
        "tip_multiple": 2.0,
        "tip_after": 2.0,
        "drain_grace": 0.5,
        "answer_grace": 0.02,
        "release_guard": 0.5,
        "try_limit": 5,
        "may_cancel": True,
        "may_advise": True,
        "max_advice": 2.0,
    }
    base.update(changes)
    return interface.Settings(**base)  # type: ignore[arg-type]


def entries(*numbers: int, state: str = "ready", started: float = 0.0) -> tuple[interface.ServerEntry, ...]:
    """Server list rows s0, s1, ... for the given numbers."""
    return tuple(interface.ServerEntry(f"s{number}", number, state, 1.0, started) for number in numbers)


@dataclass
class Attempt:
    """An open attempt; times are clock seconds."""

    server: str
    sent: float
    deadline: float


@dataclass
class World:
    """Feeds events to a controller, records its actions and asserts the rules at every send and answer."""

    config: interface.Settings = field(default_factory=settings)
    seed: int = 7
    now: float = 100.0

    def __post_init__(self) -> None:
        self.controller = Controller(self.config, self.seed, self.now)
        self.timers: list[tuple[float, int]] = []
        self.open_attempts: dict[str, tuple[int, Attempt]] = {}
        self.attempts_sent: dict[str, int] = {}
        self.deadline: dict[str, float] = {}
        self.answers: dict[str, interface.Refuse | interface.Fail | str] = {}
        self.not_before: dict[str, float] = {}
        self.leaving_since: dict[str, float] = {}
        self.listed: set[str] = set()
        self.sends: list[tuple[float, str, str]] = []
        self.count = 0
        self.cancelled = ""
        self._apply(self.controller.start())

    # Events

    def feed(self, *events: interface.Event) -> list[interface.Action]:
        """Steps the controller with one batch and checks its actions."""
        for event in events:
            if isinstance(event, interface.ServerList):
                self._record_list(event)
        actions = self.controller.step(self.now, events)
        self._apply(actions)
        return actions

    def servers(
        self, *rows: interface.ServerEntry, kind: interface.ListKind = interface.ListKind.ALL
    ) -> list[interface.Action]:
        """Feeds a server list; by default a whole one."""
        return self.feed(interface.ServerList(kind, rows))

    def call(
        self, destination: int = 0, class_name: str = "low", patience: float = 3.0, tenant: str = ""
    ) -> str:
        """A new call, whose caller gives up after `patience` seconds; returns its id."""
        self.count += 1
        name = f"c{self.count}"
        self.deadline[name] = self.now + patience
        self.feed(interface.CallArrived(name, destination, self.now + patience, class_name, tenant))
        return name

    def history(self, calls: int = 40) -> None:
        """Ten calls a second over all servers, each answered at once: the state of an instance in service."""
        for number in range(calls):
            name = self.call(number % len(self.listed))
            self.after(0.02)
            self.stand(name)
            self.after(0.08)
        self.sends.clear()

    def stand(self, name: str) -> None:
        """The open attempt is answered: the call stands."""
        number, attempt = self.open_attempts.pop(name)
        self.answers[name] = "stands"
        self.feed(interface.CallStands(name, number, attempt.server, self.now - attempt.sent))

    def end(
        self, name: str, outcome: interface.Outcome, cause: int = 0, told_wait: float = 0.0, **report: float
    ) -> list[interface.Action]:
        """The open attempt ends with `outcome`."""
        number, attempt = self.open_attempts.pop(name)
        if outcome in (interface.Outcome.TIMEOUT, interface.Outcome.RESET, interface.Outcome.CANCELLED):
            self.not_before[name] = self.now + self.config.release_guard
        final = outcome is interface.Outcome.OK
        if final:
            self.answers[name] = "stands"
        elapsed = self.now - attempt.sent
        event = interface.AttemptEnded(
            name, number, attempt.server, outcome, elapsed, final, cause, told_wait, report=report
        )
        return self.feed(event)

    def at(self, when: float) -> None:
        """Advances the clock to `when`: timers fall due, attempts time out at their callers' deadlines."""
        while True:
            due = [due_at for due_at, _ in self.timers] + [
                attempt.deadline for _, attempt in self.open_attempts.values()
            ]
            moment = min((due_at for due_at in due if due_at <= when), default=None)
            if moment is None:
                break
            self.now = max(self.now, moment)
            tokens = [token for due_at, token in self.timers if due_at <= self.now]
            self.timers = [(due_at, token) for due_at, token in self.timers if due_at > self.now]
            for name in [
                call_id
                for call_id, (_, attempt) in self.open_attempts.items()
                if attempt.deadline <= self.now
            ]:
                self.end(name, interface.Outcome.TIMEOUT)
            self.feed(*(interface.Woken(token) for token in tokens))
        self.now = max(self.now, when)

    def after(self, span: float) -> None:
        self.at(self.now + span)

    def sent_to(self, name: str) -> str | None:
        """The server of the open attempt, if there is one."""
        return self.open_attempts[name][1].server if name in self.open_attempts else None

    # Records and rules

    def _record_list(self, event: interface.ServerList) -> None:
        if event.kind is interface.ListKind.REFUSED:
            return
        for row in event.entries:
            self.listed.add(row.server)
            if row.state == "ready":
                self.leaving_since.pop(row.server, None)
            else:
                self.leaving_since.setdefault(row.server, self.now)
        if event.kind is not interface.ListKind.CHANGES:
            for name in sorted(self.listed - {row.server for row in event.entries}):
                self.leaving_since.setdefault(name, self.now)

    def _apply(self, actions: Iterable[interface.Action]) -> None:
        for action in actions:
            match action:
                case interface.WakeAfter(delay, token):
                    assert delay > 0
                    self.timers.append((self.now + delay, token))
                case interface.Send(name, server, _):
                    self._check_send(name, server)
                case interface.Refuse(name, _) | interface.Fail(name):
                    assert name in self.deadline and name not in self.answers, f"second answer for {name}"
                    assert name not in self.open_attempts, f"{name} answered with an open attempt"
                    assert self.now <= self.deadline[name] + self.config.answer_grace
                    self.answers[name] = action
                case interface.Cancel(name, attempt):
                    assert self.config.may_cancel
                    if name in self.open_attempts and self.open_attempts[name][0] == attempt:
                        self.cancelled = name

    def _check_send(self, name: str, server: str) -> None:
        assert name in self.deadline and name not in self.answers, f"{name} sent after its answer"
        assert name not in self.open_attempts, f"{name} has two open attempts"
        assert server in self.listed, f"{server} was never listed"
        assert server not in self.leaving_since, f"{server} is draining or gone"
        assert self.now >= self.not_before.get(name, 0.0) - 1e-9, f"{name} sent before its release"
        number = self.attempts_sent.get(name, 0)
        assert number < self.config.try_limit, f"{name} has too many attempts"
        self.attempts_sent[name] = number + 1
        self.open_attempts[name] = (number, Attempt(server, self.now, self.deadline[name]))
        self.sends.append((self.now, name, server))
