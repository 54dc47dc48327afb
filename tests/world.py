"""A hand-driven world for one controller: timers, attempts out, and the rules a single front must keep."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from harepick import interface as i
from harepick.decide import Controller

LOW = i.CallClass("low", aim=1.5, give_up=9.0, worth=1.0, late_share=0.25)
HIGH = i.CallClass("high", aim=1.0, give_up=6.0, worth=8.0, late_share=0.1)


def settings(**changes: object) -> i.Settings:
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
    return i.Settings(**base)  # type: ignore[arg-type]


def entries(*numbers: int, state: str = "ready", started: float = 0.0) -> tuple[i.ServerEntry, ...]:
    return tuple(i.ServerEntry(f"s{n}", n, state, 1.0, started) for n in numbers)


@dataclass
class Attempt:
    server: str
    sent: float
    deadline: float


@dataclass
class World:
    """Feeds events, keeps the books and asserts the rules at every send and answer."""

    config: i.Settings = field(default_factory=settings)
    seed: int = 7
    now: float = 100.0

    def __post_init__(self) -> None:
        self.c = Controller(self.config, self.seed, self.now)
        self.timers: list[tuple[float, int]] = []
        self.out: dict[str, tuple[int, Attempt]] = {}
        self.tries: dict[str, int] = {}
        self.deadline: dict[str, float] = {}
        self.answers: dict[str, i.Refuse | i.Fail | str] = {}
        self.not_before: dict[str, float] = {}
        self.told_off: dict[str, float] = {}
        self.listed: set[str] = set()
        self.sends: list[tuple[float, str, str]] = []
        self.count = 0
        self.cancelled = ""
        self._apply(self.c.start())

    # Feeding

    def feed(self, *events: i.Event) -> list[i.Action]:
        for event in events:
            if isinstance(event, i.ServerList):
                self._book_list(event)
        actions = self.c.step(self.now, events)
        self._apply(actions)
        return actions

    def servers(self, *rows: i.ServerEntry, kind: i.ListKind = i.ListKind.ALL) -> list[i.Action]:
        return self.feed(i.ServerList(kind, rows))

    def call(self, dest: int = 0, cls: str = "low", give: float = 3.0, tenant: str = "") -> str:
        self.count += 1
        name = f"c{self.count}"
        self.deadline[name] = self.now + give
        self.feed(i.CallArrived(name, dest, self.now + give, cls, tenant))
        return name

    def history(self, calls: int = 40) -> None:
        """Ten calls a second over all servers, each standing at once: what a front in service knows."""
        for n in range(calls):
            name = self.call(n % len(self.listed))
            self.after(0.02)
            self.stand(name)
            self.after(0.08)
        self.sends.clear()

    def stand(self, name: str) -> None:
        n, attempt = self.out.pop(name)
        self.answers[name] = "stands"
        self.feed(i.CallStands(name, n, attempt.server, self.now - attempt.sent))

    def end(
        self, name: str, outcome: i.Outcome, cause: int = 0, told_wait: float = 0.0, **report: float
    ) -> list[i.Action]:
        n, attempt = self.out.pop(name)
        if outcome in (i.Outcome.TIMEOUT, i.Outcome.RESET, i.Outcome.CANCELLED):
            self.not_before[name] = self.now + self.config.release_guard
        final = outcome is i.Outcome.OK
        if final:
            self.answers[name] = "stands"
        elapsed = self.now - attempt.sent
        event = i.AttemptEnded(
            name, n, attempt.server, outcome, elapsed, final, cause, told_wait, report=report
        )
        return self.feed(event)

    def at(self, when: float) -> None:
        """Lets time pass: timers fall due, attempts run into their callers' deadlines."""
        while True:
            due = [t for t, _ in self.timers] + [a.deadline for _, a in self.out.values()]
            moment = min((t for t in due if t <= when), default=None)
            if moment is None:
                break
            self.now = max(self.now, moment)
            tokens = [k for t, k in self.timers if t <= self.now]
            self.timers = [(t, k) for t, k in self.timers if t > self.now]
            for name in [n for n, (_, a) in self.out.items() if a.deadline <= self.now]:
                self.end(name, i.Outcome.TIMEOUT)
            self.feed(*(i.Woken(k) for k in tokens))
        self.now = max(self.now, when)

    def after(self, span: float) -> None:
        self.at(self.now + span)

    def sent_to(self, name: str) -> str | None:
        return self.out[name][1].server if name in self.out else None

    # Books and rules

    def _book_list(self, event: i.ServerList) -> None:
        if event.kind is i.ListKind.REFUSED:
            return
        for row in event.entries:
            self.listed.add(row.server)
            if row.state == "ready":
                self.told_off.pop(row.server, None)
            else:
                self.told_off.setdefault(row.server, self.now)
        if event.kind is not i.ListKind.CHANGES:
            for name in sorted(self.listed - {row.server for row in event.entries}):
                self.told_off.setdefault(name, self.now)

    def _apply(self, actions: Iterable[i.Action]) -> None:
        for action in actions:
            match action:
                case i.WakeAfter(delay, token):
                    assert delay > 0
                    self.timers.append((self.now + delay, token))
                case i.Send(name, server, _):
                    self._check_send(name, server)
                case i.Refuse(name, _) | i.Fail(name):
                    assert name in self.deadline and name not in self.answers, f"second answer for {name}"
                    assert name not in self.out, f"{name} answered with an attempt out"
                    assert self.now <= self.deadline[name] + self.config.answer_grace
                    self.answers[name] = action
                case i.Cancel(name, attempt):
                    assert self.config.may_cancel
                    if name in self.out and self.out[name][0] == attempt:
                        self.cancelled = name

    def _check_send(self, name: str, server: str) -> None:
        assert name in self.deadline and name not in self.answers, f"{name} sent after its answer"
        assert name not in self.out, f"{name} has two attempts out"
        assert server in self.listed, f"{server} was never listed"
        assert server not in self.told_off, f"{server} is drained or gone"
        assert self.now >= self.not_before.get(name, 0.0) - 1e-9, f"{name} sent before its release"
        n = self.tries.get(name, 0)
        assert n < self.config.try_limit, f"{name} has too many attempts"
        self.tries[name] = n + 1
        self.out[name] = (n, Attempt(server, self.now, self.deadline[name]))
        self.sends.append((self.now, name, server))
