"""The engine: the one task that owns the `Controller`.

It takes batches of messages from the inbox, updates the call table, steps the controller and passes its
actions to the ports. It decides nothing itself. Attempt numbers and outcomes are those that the simulator
would give, so that the controller behaves the same on sockets and in the simulator.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable, Sequence

import anyio

from harepick import interface
from harepick.core.call_table import DEFAULT_MAX_REQUEST_BYTES, CallRecord, CallTable
from harepick.core.effects import EffectJournal, PossibleEffects
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
    Message,
    Offer,
    ReplaceSettings,
    Screen,
    SendPermission,
    ServerDied,
    ServersPort,
)
from harepick.core.timers import Timers
from harepick.counters import Counters
from harepick.decide import Controller
from harepick.log import Log

# Pause after a batch in which messages collect, so that they share the cost of a turn of the event loop, of
# its timer and of the writes. A message that finds the core idle is handled at once; the simulator batches
# by 5 ms.
BATCH_DELAY_S = 0.003
# Ends of attempts that took no effect; a cancel does not change them.
NO_EFFECT_OUTCOMES = (interface.Outcome.FULL, interface.Outcome.UNREACHED, interface.Outcome.MOOT)


class Engine:
    """Runs the controller on messages from the inbox and keeps the table of open calls.

    `capacity` is the number of calls that may be open at once, and their requests may take
    `max_request_bytes`; `clock` returns Unix time in seconds. Without
    a `send_permission` calls may always start; without a `screen` no call is refused by a gap or limit.
    """

    def __init__(
        self,
        settings: interface.Settings,
        seed: int,
        servers: ServersPort,
        inbox: Inbox,
        counters: Counters,
        log: Log,
        capacity: int = 20_000,
        clock: Callable[[], float] = time.time,
        send_permission: SendPermission | None = None,
        screen: Screen | None = None,
        max_request_bytes: int = DEFAULT_MAX_REQUEST_BYTES,
        effect_journal: EffectJournal | None = None,
    ) -> None:
        self._inbox = inbox
        self._settings = settings
        self._servers = servers
        self._counters = counters
        self._log = log
        self._clock = clock
        self._send_permission = send_permission
        self.screen = screen  # set by the service when gaps are configured, also at a reload
        self._calls = CallTable(capacity, max_request_bytes)
        self._timers: Timers[int | Attempt | CallRecord] = Timers()
        self._ready_servers: set[str] = set()  # servers to which set-ups may be sent
        self._start_times: dict[str, float] = {}  # listed servers that are not gone -> last start
        self._effects = PossibleEffects(effect_journal)
        self._follow_up_events: deque[interface.Event] = deque()  # caused by the actions of this batch
        # Calls given up in this batch, removed at its end: the controller may send an attempt for such a call
        # before it handles `CallerLeft`. Without the record the end of that attempt would not be reported,
        # and it would stay open in the controller's state of the server.
        self._given_up: list[CallRecord] = []
        self._controller = Controller(settings, seed, clock())
        # Listed servers that get no new calls, as of the last batch.
        self.avoided: frozenset[str] = frozenset()
        self._closing = False

    @property
    def idle(self) -> bool:
        """Whether no call is open, and no message waits that could open one."""
        return len(self._calls) == 0 and len(self._inbox) == 0

    def __len__(self) -> int:
        """Open calls: unanswered, with an open attempt, or standing."""
        return len(self._calls)

    @property
    def pending(self) -> int:
        """Accepted calls that have not ended: unanswered, or standing until their release."""
        return self._calls.pending()

    @property
    def listed_server_count(self) -> int:
        """Servers in the list that are not gone."""
        return len(self._start_times)

    @property
    def unavailable(self) -> int:
        """Listed servers that get no new calls."""
        return len(self.avoided)

    def under_way(self, server: str) -> int:
        """Calls with an open attempt at the server, or standing there."""
        return self._calls.count_at(server)

    @property
    def unanswered(self) -> int:
        """Calls that wait for their final answer."""
        return len(self._calls.unanswered())

    async def run(self, server_list: interface.ServerList) -> None:
        """Serves until cancelled."""
        self.start(server_list)
        while True:
            messages = await self._inbox.drain(self._timers.next_due() - self._clock())
            self.process(messages)
            # With more messages waiting, other tasks get one turn of the loop and the core goes on at once.
            await anyio.sleep(0 if len(self._inbox) else BATCH_DELAY_S)

    def start(self, server_list: interface.ServerList) -> None:
        """Starts the controller with the server list known so far."""
        self._perform(self._controller.start())
        self.process([ControllerEvent(server_list)])

    def process(self, messages: Sequence[Message]) -> None:
        """Handles one batch: messages, due timers, and the controller's actions."""
        now = self._clock()
        events: list[interface.Event] = []
        # Concurrency limits first: a limit becomes a number of free lines, counted from the call table, which
        # has no attempts yet for the new calls of this batch. After such a call, the number would include the
        # line that the controller has just used for it.
        for message in messages:
            if isinstance(message, ConcurrencyLimit):
                events += self._translate(message, now)
        for message in messages:
            if not isinstance(message, ConcurrencyLimit):
                events += self._translate(message, now)
        if self._send_permission and (wait := self._send_permission.closed_for()) is not None:
            events += self._refuse_waiting(wait)
        for timer in self._timers.due(now):
            if isinstance(timer, Attempt):
                events += self._on_time_out(timer, now)
            elif isinstance(timer, CallRecord):
                events += self._fail_overdue(timer)
            else:
                events.append(interface.Woken(timer))
        while events:
            self._counters.add("core.events", len(events))
            self._perform(self._controller.step(now, events))
            events = list(self._follow_up_events)
            self._follow_up_events.clear()
        for record in self._given_up:
            self._calls.remove_if_ended(record)
        self._given_up.clear()
        # Published for the `ops` listener, which must not access the controller that this task owns.
        self.avoided = frozenset(self._controller.avoided() & self._start_times.keys())

    def fail_unanswered(self) -> None:
        """Ends a drain: fails unanswered calls, and from now on refuses new ones at once.

        Standing calls go on: they end by themselves or are released by `release_all`.
        """
        self._closing = True
        for record in self._calls.unanswered():
            self._counters.add("answers.failed")
            self._close_answer(record)
            record.offer.caller.failed()
            if record.open_attempt:
                self._servers.cancel(record.open_attempt)

    def release_all(self) -> None:
        """Releases all standing calls, at the end of the program."""
        for record in self._calls.standing():
            self._servers.release(str(record.standing_server), record.offer.call)
            record.offer.caller.ended(cut=True)
            self._counters.add("calls.cut_at_exit")

    # Messages into events

    def _translate(self, message: Message, now: float) -> list[interface.Event]:
        """Applies one message to the call table; returns the events for the controller."""
        match message:
            case Offer():
                return self._on_offer(message, now)
            case Answered():
                return self._on_answer(message, now)
            case AttemptOver(attempt, outcome, cause):
                return self._on_attempt_ended(attempt, outcome, now, cause)
            case CallOver(call, server, cut):
                record = self._calls.get(call)
                if record is None or record.standing_server != server:
                    self._counters.add("core.late_words")
                    return []
                return [
                    self._end_standing_call(
                        record, now, interface.Outcome.RESET if cut else interface.Outcome.OK
                    )
                ]
            case CallerGone(call, caller):
                return self._on_caller_gone(call, caller, now)
            case ServerDied(server, died_at):
                standing = [known for known in self._calls.standing(server) if known.stood_at <= died_at]
                return [self._end_standing_call(record, now, interface.Outcome.RESET) for record in standing]
            case ConcurrencyLimit(server, capacity):
                # Passed on like a server's report of free lines: the controller counts down from it.
                free = capacity - self._calls.count_at(server)
                return [interface.Probed(server, interface.Outcome.OK, 0.0, {"free": free})]
            case ReplaceSettings(settings, capacity):
                self._settings = settings
                self._calls.capacity = capacity
                self._counters.add("core.retuned")
                return [interface.SettingsReplaced(settings)]
            case ControllerEvent(event):
                if isinstance(event, interface.ServerList):
                    return [event, *self._apply_list(event, now)]
                return [event]

    def _on_offer(self, offer: Offer, now: float) -> list[interface.Event]:
        if offer.caller.gone:  # the caller left before its call was handled
            self._counters.add("calls.given_up")
            return []
        existing = self._calls.get(offer.call)
        if existing is not None and existing.answered and existing.standing_server is None:
            # Answered or given up, and its attempt has not ended: the id can be used again once it has.
            self._counters.add("answers.ending")
            offer.caller.refused(self._retry_advice(self._settings.release_guard))
            return []
        if existing is not None:  # the id belongs to the open call
            self._counters.add("calls.clashes")
            offer.caller.duplicate_id()
            return []
        if not self._controller.may_repeat(offer.class_name) and self._effects.includes(offer.call, now):
            # The id of a call that may have taken effect and must not be repeated. A refusal would tell its
            # caller that another try is harmless.
            self._counters.add("answers.repeated")
            offer.caller.failed()
            return []
        if self._closing:  # drained: a successor or the restarted program takes new calls
            self._counters.add("answers.closing")
            offer.caller.refused(0.0)
            return []
        if self._calls.full:  # bounds the memory; the caller is told to wait as long as the settings allow
            self._counters.add("answers.no_room")
            offer.caller.refused(self._retry_advice(self._settings.max_advice))
            return []
        if self._send_permission and (wait := self._send_permission.closed_for()) is not None:
            self._counters.add("answers.not_current")
            offer.caller.refused(self._retry_advice(wait))
            return []
        if self.screen:
            wait = self.screen.retry_after(offer.called_number, offer.class_name, now, offer.source)
            if wait is not None:
                self._counters.add("answers.gapped")  # neither the controller nor a server sees the call
                advice = self._settings.max_advice
                offer.caller.refused(min(wait, advice) if advice > 0 else wait)
                return []
        self._counters.add("calls.taken")
        record = self._calls.add(offer, self._settings.try_limit)
        record.deadline_timer = self._timers.set(offer.deadline + self._settings.answer_grace, record)
        return [
            interface.CallArrived(
                call=offer.call,
                destination=offer.destination,
                deadline=offer.deadline,
                class_name=offer.class_name,
                redial=offer.redial,
                number=offer.number,
            )
        ]

    def _retry_advice(self, wait: float) -> float:
        """Seconds after which a caller is told to try again; 0 (no advice) where the settings allow none."""
        return min(wait, self._settings.max_advice) if self._settings.may_advise else 0.0

    def _on_answer(self, message: Answered, now: float) -> list[interface.Event]:
        record = self._calls.get(message.call)
        attempt = record.open_attempt if record else None
        if record and record.standing_server == message.server:
            self._counters.add("core.late_words")  # a repeated answer
            return []
        if (
            record is None
            or attempt is None
            or record.answered
            or attempt.cancel_requested  # answered before the cancel arrived: the call is released there
            or (attempt.number, attempt.server) != (message.attempt, message.server)
            or now > attempt.deadline + self._settings.answer_grace
        ):
            self._counters.add("answers.too_late")
            if message.lasting:
                self._servers.release(message.server, message.call)
            return []
        self._close_attempt(record, attempt)
        self._close_answer(record)
        record.offer.caller.established(message.description)
        if self.screen is not None:
            self.screen.record_outcome(record.offer.called_number, True)
        self._counters.add("answers.stands")
        elapsed = now - (attempt.sent or attempt.placed_at)
        events: list[interface.Event] = [
            interface.CallStands(message.call, message.attempt, message.server, elapsed)
        ]
        record.standing_server, record.stood_at, record.standing_attempt = (
            message.server,
            now,
            message.attempt,
        )
        if not message.lasting:
            events.append(self._end_standing_call(record, now, interface.Outcome.OK, notify_caller=False))
        return events

    def _on_attempt_ended(
        self, attempt: Attempt, outcome: interface.Outcome, now: float, cause: int = 0
    ) -> list[interface.Event]:
        record = self._calls.get(attempt.call)
        if attempt.ended or record is None or record.open_attempt is not attempt:
            self._counters.add("core.late_words")
            return []
        self._close_attempt(record, attempt)
        self._counters.add(f"attempts.{outcome.value}")
        if outcome not in NO_EFFECT_OUTCOMES:
            record.may_have_run = True
            if attempt.cancel_requested:
                outcome = interface.Outcome.CANCELLED
        elif attempt.sent is not None and not record.may_have_run:
            self._record_no_effect(record, now)
        elapsed = now - (attempt.sent or attempt.placed_at)
        self._calls.remove_if_ended(record)
        return [
            interface.AttemptEnded(
                attempt.call, attempt.number, attempt.server, outcome, elapsed, record.answered, cause
            )
        ]

    def _on_time_out(self, attempt: Attempt, now: float) -> list[interface.Event]:
        """Ends an attempt at its deadline and cancels it at the server."""
        if attempt.ended:
            return []
        self._servers.cancel(attempt)
        return self._on_attempt_ended(attempt, interface.Outcome.TIMEOUT, now)

    def _fail_overdue(self, record: CallRecord) -> list[interface.Event]:
        """Fails a call that the controller did not answer by its deadline."""
        if record.answered:
            return []
        self._counters.add("answers.overdue")
        self._close_answer(record)
        record.offer.caller.failed()
        self._given_up.append(record)
        return [interface.CallerLeft(record.offer.call)]

    def _refuse_waiting(self, wait: float) -> list[interface.Event]:
        """Refuses calls that wait for a server while the send permission is closed; open attempts go on."""
        waiting = [record for record in self._calls.unanswered() if record.open_attempt is None]
        for record in waiting:
            self._counters.add("answers.not_current")
            self._close_answer(record)
            record.offer.caller.refused(self._retry_advice(wait))
            self._given_up.append(record)
        return [interface.CallerLeft(record.offer.call) for record in waiting]

    def _on_caller_gone(self, call: str, caller: Caller | None, now: float) -> list[interface.Event]:
        record = self._calls.get(call)
        if record is None:
            self._counters.add("core.late_words")
            return []
        if record.standing_server is not None:
            self._servers.release(record.standing_server, call)
            return [self._end_standing_call(record, now, interface.Outcome.CANCELLED, notify_caller=False)]
        if record.answered or record.offer.caller is not caller:
            self._counters.add("core.late_words")
            return []
        self._close_answer(record)
        self._counters.add("calls.given_up")
        self._given_up.append(record)
        return [interface.CallerLeft(call)]

    def _end_standing_call(
        self, record: CallRecord, now: float, outcome: interface.Outcome, *, notify_caller: bool = True
    ) -> interface.Event:
        """Ends a standing call; `notify_caller` is False if its caller knows already."""
        server = str(record.standing_server)
        record.standing_server = None
        if notify_caller:
            record.offer.caller.ended(cut=outcome is not interface.Outcome.OK)
        self._counters.add(f"calls.{outcome.value}")
        self._calls.remove_if_ended(record)
        return interface.AttemptEnded(
            record.offer.call, record.standing_attempt, server, outcome, now - record.stood_at, True
        )

    def _apply_list(self, event: interface.ServerList, now: float) -> list[interface.Event]:
        """Records a server list; a server that is gone or has restarted has cut its standing calls."""
        events: list[interface.Event] = []
        for row in event.entries:
            restarted = row.started > self._start_times.get(row.server, row.started)
            self._start_times[row.server] = row.started
            if row.state == "ready":
                self._ready_servers.add(row.server)
            else:
                self._ready_servers.discard(row.server)
            if row.state == "gone":  # servers are replaced all the time: their start times are not kept
                del self._start_times[row.server]
            if row.state == "gone" or restarted:
                died_at = row.started if restarted and row.state != "gone" else now
                events += self._translate(ServerDied(row.server, died_at), now)
        return events

    def _close_answer(self, record: CallRecord) -> None:
        """Marks a call as needing no answer any more: it has one, or its caller has left."""
        record.answered = True
        self._timers.cancel(record.deadline_timer)
        self._calls.drop_request(record)

    def _record_effect(self, record: CallRecord, now: float) -> None:
        """Remembers a call that may take effect from now on, unless calls of its class may be repeated."""
        if not self._controller.may_repeat(record.offer.class_name):
            self._effects.add(record.offer.call, now)

    def _record_no_effect(self, record: CallRecord, now: float) -> None:
        """Forgets a call that has been sent, but has not taken effect."""
        if not self._controller.may_repeat(record.offer.class_name):
            self._effects.remove(record.offer.call, now)

    def _close_attempt(self, record: CallRecord, attempt: Attempt) -> None:
        """Ends the open attempt of a call."""
        attempt.ended = True
        record.open_attempt = None
        self._timers.cancel(record.attempt_timer)
        self._calls.drop_request(record)

    # Actions

    def _perform(self, actions: Iterable[interface.Action]) -> None:
        now = self._clock()
        for action in actions:
            match action:
                case interface.Send(call, server, timeout):
                    self._send(call, server, timeout, now)
                case interface.Cancel(call, number):
                    self._cancel(call, number, now)
                case interface.Refuse(call, come_back):
                    if record := self._mark_answered(call):
                        self._counters.add("answers.refused")
                        record.offer.caller.refused(come_back)
                case interface.Fail(call):
                    if record := self._mark_answered(call):
                        self._counters.add("answers.failed")
                        record.offer.caller.failed()
                case interface.WakeAfter(delay, token):
                    self._timers.set(now + delay, token)
                case interface.Log(text):
                    self._log.event("module", text=text)
                case _:
                    self._counters.add("core.actions_without_port")

    def _mark_answered(self, call: str) -> CallRecord | None:
        """Marks a call as answered and returns it; None if it is unknown or already answered."""
        record = self._calls.get_unanswered(call)
        if record is None:
            self._counters.add("core.late_words")
            return None
        self._close_answer(record)
        if self.screen is not None:
            self.screen.record_outcome(record.offer.called_number, False)
        self._calls.remove_if_ended(record)
        return record

    def _send(self, call: str, server: str, timeout: float, now: float) -> None:
        record = self._calls.get(call)
        if record is None or record.open_attempt is not None or record.standing_server is not None:
            self._counters.add("core.bad_actions")
            self._log.event("bad_action", action="send", call=call)
            return
        offer = record.offer
        deadline = min(offer.deadline, now + timeout) if timeout > 0 else offer.deadline
        attempt = Attempt(call, record.tries, server, now, deadline, offer.request, self._may_send)
        record.tries += 1
        if record.answered or now >= deadline or record.tries > record.attempt_limit:
            outcome: interface.Outcome | None = interface.Outcome.MOOT
        else:
            record.open_attempt = attempt
            self._counters.add("attempts.placed")
            outcome = self._servers.place(attempt)
        if outcome is None:
            record.attempt_timer = self._timers.set(deadline, attempt)
            if self._send_permission:
                self._send_permission.record_sent(attempt)
            return
        record.open_attempt = attempt
        self._follow_up_events.extend(self._on_attempt_ended(attempt, outcome, now))

    def _cancel(self, call: str, number: int, now: float) -> None:
        record = self._calls.get(call)
        attempt = record.open_attempt if record else None
        if attempt is None or attempt.number != number or attempt.cancel_requested:
            return  # the attempt has ended meanwhile
        attempt.cancel_requested = True
        self._counters.add("attempts.revoked")
        # Otherwise the end is reported once the cancel is sent: the release guard begins then.
        if self._servers.cancel(attempt):
            self._follow_up_events.extend(self._on_attempt_ended(attempt, interface.Outcome.CANCELLED, now))

    def _may_send(self, attempt: Attempt, now: float) -> bool:
        """The last check before a set-up is written: what allowed the decision may have changed since."""
        if (
            attempt.ended
            or attempt.cancel_requested
            or now >= attempt.deadline
            or attempt.server not in self._ready_servers
        ):
            return False
        record = self._calls.get(attempt.call)
        # The message that its caller has left may still be in the inbox.
        if record is None or record.answered or record.offer.caller.gone:
            return False
        if self._send_permission is not None:
            if attempt.sent is None:
                attempt.checked_at = now
            if not self._send_permission.may_send(attempt.server):
                return False
        self._record_effect(record, now)
        return True
