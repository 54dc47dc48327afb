"""The engine: the one task that owns the `Controller`.

It drains the inbox into a batch, has the ledger book each word, steps the module, and hands the module's
actions to the ports. It decides nothing itself: attempt numbers and outcomes are those that the simulator
would give, so that the module sees the same world on sockets as on the bench.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable, Sequence

import anyio

from harepick import interface as i
from harepick.core.call_table import CallRecord, CallTable
from harepick.core.inbox import Inbox
from harepick.core.messages import (
    Answered,
    Attempt,
    AttemptOver,
    Caller,
    CallerGone,
    CallOver,
    ConcurrencyLimit,
    ControllerEvent,
    Gate,
    Message,
    Offer,
    ReplaceSettings,
    Screen,
    ServerDied,
    Servers,
)
from harepick.core.timers import Timers
from harepick.counters import Counters
from harepick.decide import Controller
from harepick.log import Log

# After a batch, words gather for so long: the price of a turn of the loop, of its timer and of each write is
# shared by all of them. A word that finds the core idle is heard at once. The bench's own batch is 5 ms.
GATHER = 0.003
SETTLED = (i.Outcome.FULL, i.Outcome.UNREACHED, i.Outcome.MOOT)


class Engine:
    def __init__(
        self,
        settings: i.Settings,
        seed: int,
        servers: Servers,
        inbox: Inbox,
        counters: Counters,
        log: Log,
        room: int = 20_000,
        clock: Callable[[], float] = time.time,
        gate: Gate | None = None,
        screen: Screen | None = None,
    ) -> None:
        self._inbox = inbox
        self._settings = settings
        self._servers = servers
        self._counters = counters
        self._log = log
        self._clock = clock
        self._gate = gate
        self.screen = screen  # a front sets it when gaps are configured, also at a reload
        self._ledger = CallTable(room)
        self._timers: Timers[int | Attempt | CallRecord] = Timers()
        self._ready: set[str] = set()  # servers that set-ups may leave for
        self._listed: dict[str, float] = {}  # servers in the list that are not gone -> their last start
        self._late: deque[i.Event] = deque()  # ends of attempts that were over as soon as placed
        # Calls given up in this batch: booked until the module has heard of it, or a set-up that it decided
        # on before that would never end, and would stay open in its view of that server.
        self._leaving: list[CallRecord] = []
        self._controller = Controller(settings, seed, clock())
        self.avoided: frozenset[str] = (
            frozenset()
        )  # listed servers that the module avoids, as of the last batch
        self._closing = False

    @property
    def idle(self) -> bool:
        return len(self._ledger) == 0

    def __len__(self) -> int:
        """Calls in the ledger: owed an answer, with an attempt out, or standing."""
        return len(self._ledger)

    @property
    def pending(self) -> int:
        """Requests taken and not ended: owed their final answer, or standing until their release."""
        return self._ledger.pending()

    @property
    def members(self) -> int:
        """Servers in the list that are not gone."""
        return len(self._listed)

    @property
    def unavailable(self) -> int:
        return len(self.avoided)

    def under_way(self, server: str) -> int:
        """Calls that are out at that server, or stand there."""
        return self._ledger.under_way(server)

    @property
    def unanswered(self) -> int:
        """Calls that still wait for their final answer."""
        return len(self._ledger.unanswered())

    async def run(self, known: i.ServerList) -> None:
        """Serves until cancelled."""
        self.start(known)
        while True:
            words = await self._inbox.drain(self._timers.next_due() - self._clock())
            self.process(words)
            # With more there, the others have their turn of the loop, and the core goes on at once.
            await anyio.sleep(0 if len(self._inbox) else GATHER)

    def start(self, known: i.ServerList) -> None:
        self._perform(self._controller.start())
        self.process([ControllerEvent(known)])

    def process(self, words: Sequence[Message]) -> None:
        """One batch."""
        now = self._clock()
        events: list[i.Event] = []
        # Room first: it is counted from the ledger as the module knows it. Behind a call of the same batch
        # it would give back the place that the module has taken for that call meanwhile.
        for word in words:
            if isinstance(word, ConcurrencyLimit):
                events += self._hear(word, now)
        for word in words:
            if not isinstance(word, ConcurrencyLimit):
                events += self._hear(word, now)
        if self._gate and (wait := self._gate.closed_for()) is not None:
            events += self._turn_away(wait)
        for item in self._timers.due(now):
            if isinstance(item, Attempt):
                events += self._timed_out(item, now)
            elif isinstance(item, CallRecord):
                events += self._overdue(item)
            else:
                events.append(i.Woken(item))
        while events:
            self._counters.add("core.events", len(events))
            self._perform(self._controller.step(now, events))
            events = list(self._late)
            self._late.clear()
        for entry in self._leaving:
            self._ledger.close(entry)
        self._leaving.clear()
        # Published for the `ops` listener, which must not reach into the module that this task owns.
        self.avoided = frozenset(self._controller.avoided() & self._listed.keys())

    def fail_unanswered(self) -> None:
        """The end of a drain: fails what is unanswered, and from now on refuses what comes at once.

        What stands goes on: it ends by itself, or is released by `release_all`."""
        self._closing = True
        for entry in self._ledger.unanswered():
            self._counters.add("answers.failed")
            entry.answered = True
            entry.offer.caller.failed()
            if entry.out:
                self._servers.cancel(entry.out)

    def release_all(self) -> None:
        """The end of the program: releases what still stands."""
        for entry in self._ledger.standing():
            self._servers.release(str(entry.standing_at), entry.offer.call)
            entry.offer.caller.over(cut=True)
            self._counters.add("calls.cut_at_exit")

    # Words into events

    def _hear(self, word: Message, now: float) -> list[i.Event]:
        match word:
            case Offer():
                return self._offered(word, now)
            case Answered():
                return self._answered(word, now)
            case AttemptOver(attempt, outcome, cause):
                return self._ended(attempt, outcome, now, cause)
            case CallOver(call, server, cut):
                entry = self._ledger.get(call)
                if entry is None or entry.standing_at != server:
                    self._counters.add("core.late_words")
                    return []
                return [self._fall(entry, now, i.Outcome.RESET if cut else i.Outcome.OK)]
            case CallerGone(call, caller):
                return self._gone(call, caller, now)
            case ServerDied(server, at):
                stood = [e for e in self._ledger.standing(server) if e.stood <= at]
                return [self._fall(entry, now, i.Outcome.RESET) for entry in stood]
            case ConcurrencyLimit(server, room):
                # Told as a server tells its free agents: the module counts on from there.
                free = room - self._ledger.under_way(server)
                return [i.Probed(server, i.Outcome.OK, 0.0, {"free": free})]
            case ReplaceSettings(settings, room):
                self._settings = settings
                self._ledger.capacity = room
                self._counters.add("core.retuned")
                return [i.SettingsReplaced(settings)]
            case ControllerEvent(event):
                if isinstance(event, i.ServerList):
                    return [event, *self._listing(event, now)]
                return [event]

    def _offered(self, offer: Offer, now: float) -> list[i.Event]:
        if offer.caller.gone:  # it left before it was heard: nothing begins for it
            self._counters.add("calls.given_up")
            return []
        known = self._ledger.get(offer.call)
        if known is not None and known.answered and known.standing_at is None:
            # Given up or answered, with an attempt still out: it may be sent again once that has ended.
            self._counters.add("answers.ending")
            offer.caller.refused(self._advice(self._settings.release_guard))
            return []
        if known is not None:  # whoever sent it, the call that is open keeps its id
            self._counters.add("calls.clashes")
            offer.caller.duplicate_id()
            return []
        if self._closing:  # drained: a successor, or this program after its restart, takes it now
            self._counters.add("answers.closing")
            offer.caller.refused(0.0)
            return []
        if self._ledger.full:  # memory is bounded; the caller is told to stay away as long as it can be
            self._counters.add("answers.no_room")
            offer.caller.refused(self._advice(self._settings.max_advice))
            return []
        if self._gate and (wait := self._gate.closed_for()) is not None:
            self._counters.add("answers.not_current")
            offer.caller.refused(self._advice(wait))
            return []
        if self.screen:
            wait = self.screen.retry_after(offer.called, offer.class_name, now, offer.source)
            if wait is not None:
                self._counters.add("answers.gapped")  # never booked: no server hears of it, nor the module
                advice = self._settings.max_advice
                offer.caller.refused(min(wait, advice) if advice > 0 else wait)
                return []
        self._counters.add("calls.taken")
        entry = self._ledger.book(offer, self._settings.try_limit)
        self._timers.set(offer.deadline + self._settings.answer_grace, entry)
        return [
            i.CallArrived(
                call=offer.call,
                destination=offer.destination,
                deadline=offer.deadline,
                class_name=offer.class_name,
                redial=offer.redial,
                number=offer.number,
            )
        ]

    def _advice(self, wait: float) -> float:
        """How long a caller is told to stay away; 0, which tells nothing, where settings allow no advice."""
        return min(wait, self._settings.max_advice) if self._settings.may_advise else 0.0

    def _answered(self, word: Answered, now: float) -> list[i.Event]:
        entry = self._ledger.get(word.call)
        attempt = entry.out if entry else None
        if entry and entry.standing_at == word.server:
            self._counters.add("core.late_words")  # the same answer again
            return []
        if (
            entry is None
            or attempt is None
            or entry.answered
            or attempt.revoked  # the cancel crossed this answer: what stands there is released
            or (attempt.number, attempt.server) != (word.attempt, word.server)
            or now > attempt.deadline + self._settings.answer_grace
        ):
            self._counters.add("answers.too_late")
            if word.lasting:
                self._servers.release(word.server, word.call)
            return []
        attempt.ended = True
        entry.out = None
        entry.answered = True
        entry.offer.caller.stands(word.description)
        if self.screen is not None:
            self.screen.ended(entry.offer.called, True)
        self._counters.add("answers.stands")
        since = now - (attempt.sent or attempt.placed)
        events: list[i.Event] = [i.CallStands(word.call, word.attempt, word.server, since)]
        entry.standing_at, entry.stood, entry.standing_attempt = word.server, now, word.attempt
        if not word.lasting:
            events.append(self._fall(entry, now, i.Outcome.OK, told=False))
        return events

    def _ended(self, attempt: Attempt, outcome: i.Outcome, now: float, cause: int = 0) -> list[i.Event]:
        entry = self._ledger.get(attempt.call)
        if attempt.ended or entry is None or entry.out is not attempt:
            self._counters.add("core.late_words")
            return []
        attempt.ended = True
        entry.out = None
        self._counters.add(f"attempts.{outcome.value}")
        if attempt.revoked and outcome not in SETTLED:
            outcome = i.Outcome.CANCELLED
        since = now - (attempt.sent or attempt.placed)
        self._ledger.close(entry)
        return [
            i.AttemptEnded(
                attempt.call, attempt.number, attempt.server, outcome, since, entry.answered, cause
            )
        ]

    def _timed_out(self, attempt: Attempt, now: float) -> list[i.Event]:
        """The caller's time is over; the attempt is given up towards the server as well."""
        if attempt.ended:
            return []
        self._servers.cancel(attempt)
        return self._ended(attempt, i.Outcome.TIMEOUT, now)

    def _overdue(self, entry: CallRecord) -> list[i.Event]:
        """Guards the deadline itself: a call that the module let slip still gets its answer."""
        if entry.answered:
            return []
        self._counters.add("answers.overdue")
        entry.answered = True
        entry.offer.caller.failed()
        self._leaving.append(entry)
        return [i.CallerLeft(entry.offer.call)]

    def _turn_away(self, wait: float) -> list[i.Event]:
        """Nothing may leave any more: calls that wait for a server are answered now, those out go on."""
        waiting = [entry for entry in self._ledger.unanswered() if entry.out is None]
        for entry in waiting:
            self._counters.add("answers.not_current")
            entry.answered = True
            entry.offer.caller.refused(self._advice(wait))
            self._leaving.append(entry)
        return [i.CallerLeft(entry.offer.call) for entry in waiting]

    def _gone(self, call: str, caller: Caller | None, now: float) -> list[i.Event]:
        entry = self._ledger.get(call)
        if entry is None:
            self._counters.add("core.late_words")
            return []
        if entry.standing_at is not None:
            self._servers.release(entry.standing_at, call)
            return [self._fall(entry, now, i.Outcome.CANCELLED, told=False)]
        if entry.answered or entry.offer.caller is not caller:
            self._counters.add("core.late_words")
            return []
        entry.answered = True
        self._counters.add("calls.given_up")
        self._leaving.append(entry)
        return [i.CallerLeft(call)]

    def _fall(self, entry: CallRecord, now: float, outcome: i.Outcome, *, told: bool = True) -> i.Event:
        """A standing call ends; its caller is told unless the end came from there."""
        server = str(entry.standing_at)
        entry.standing_at = None
        if told:
            entry.offer.caller.over(cut=outcome is not i.Outcome.OK)
        self._counters.add(f"calls.{outcome.value}")
        self._ledger.close(entry)
        return i.AttemptEnded(
            entry.offer.call, entry.standing_attempt, server, outcome, now - entry.stood, True
        )

    def _listing(self, event: i.ServerList, now: float) -> list[i.Event]:
        """What a list says of standing calls: a server that is gone or has started anew has cut them."""
        events: list[i.Event] = []
        for row in event.entries:
            anew = row.started > self._listed.get(row.server, row.started)
            self._listed[row.server] = row.started
            if row.state == "ready":
                self._ready.add(row.server)
            else:
                self._ready.discard(row.server)
            if row.state == "gone":  # servers come and go for as long as we run: none is kept
                del self._listed[row.server]
            if row.state == "gone" or anew:
                at = row.started if anew and row.state != "gone" else now
                events += self._hear(ServerDied(row.server, at), now)
        return events

    # Actions

    def _perform(self, actions: Iterable[i.Action]) -> None:
        now = self._clock()
        for action in actions:
            match action:
                case i.Send(call, server, timeout):
                    self._send(call, server, timeout, now)
                case i.Cancel(call, number):
                    self._cancel(call, number, now)
                case i.Refuse(call, come_back):
                    if entry := self._final(call):
                        self._counters.add("answers.refused")
                        entry.offer.caller.refused(come_back)
                case i.Fail(call):
                    if entry := self._final(call):
                        self._counters.add("answers.failed")
                        entry.offer.caller.failed()
                case i.WakeAfter(delay, token):
                    self._timers.set(now + delay, token)
                case i.Log(text):
                    self._log.event("module", text=text)
                case _:
                    self._counters.add("core.actions_without_port")

    def _final(self, call: str) -> CallRecord | None:
        entry = self._ledger.owed(call)
        if entry is None:
            self._counters.add("core.late_words")
            return None
        entry.answered = True
        if self.screen is not None:
            self.screen.ended(entry.offer.called, False)
        self._ledger.close(entry)
        return entry

    def _send(self, call: str, server: str, timeout: float, now: float) -> None:
        entry = self._ledger.get(call)
        if entry is None or entry.out is not None or entry.standing_at is not None:
            self._counters.add("core.bad_actions")
            self._log.event("bad_action", action="send", call=call)
            return
        offer = entry.offer
        deadline = min(offer.deadline, now + timeout) if timeout > 0 else offer.deadline
        attempt = Attempt(call, entry.tries, server, now, deadline, offer.request, self._may_send)
        entry.tries += 1
        if entry.answered or now >= deadline or entry.tries > entry.limit:
            outcome: i.Outcome | None = i.Outcome.MOOT
        else:
            entry.out = attempt
            self._counters.add("attempts.placed")
            outcome = self._servers.place(attempt)
        if outcome is None:
            self._timers.set(deadline, attempt)
            if self._gate:
                self._gate.record_sent(attempt)
            return
        entry.out = attempt
        self._late.extend(self._ended(attempt, outcome, now))

    def _cancel(self, call: str, number: int, now: float) -> None:
        entry = self._ledger.get(call)
        attempt = entry.out if entry else None
        if attempt is None or attempt.number != number or attempt.revoked:
            return  # it has ended meanwhile, as a cancel may find
        attempt.revoked = True
        self._counters.add("attempts.revoked")
        # If its word has not left yet, the end is told once it has: the wait after a cancel counts from then.
        if self._servers.cancel(attempt):
            self._late.extend(self._ended(attempt, i.Outcome.CANCELLED, now))

    def _may_send(self, attempt: Attempt, now: float) -> bool:
        """The last look before a set-up's bytes leave: the rules hold at that moment, not at the decision."""
        if attempt.ended or attempt.revoked or now >= attempt.deadline or attempt.server not in self._ready:
            return False
        entry = self._ledger.get(attempt.call)
        if entry is None or entry.answered or entry.offer.caller.gone:  # its word may still be in the inbox
            return False
        if self._gate is None:
            return True
        if attempt.sent is None:
            attempt.checked_at = now
        return self._gate.may_send(attempt.server)
