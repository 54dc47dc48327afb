"""Overload control of one controller instance. Types, settings, events and actions: `harepick/interface.py`.

`Controller` implements a published method ("the paper" in the comments below): each instance estimates the
occupancy p of every setup server from the waits that it observes, stops sending new calls to a server whose
occupancy exceeds Pmax (throttle u = 0) and then admits calls to it at a limited gate rate r, kept between
rmin and rmax.

How a call is handled: `_on_call_arrived` records it; `_route` picks a server (the first choice while it is
open, else the one that last accepted a call) or lets a call that was tried before pass a gate; `_send`
checks what applies to every attempt (`_may_use`). `_run_interval` updates the occupancy, throttle and
gate rate of every server once an interval.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable

from harepick import interface

INTERVALS_PER_AIM = 4  # interval T is the shortest aim divided by this: control must act within that aim
MAX_OCCUPANCY = 0.80  # Pmax in the paper, its design level; the throttle u drops to 0 above it
TARGET_OCCUPANCY = 0.60  # Pterm in the paper: occupancy to which the gate rate steers a closed server
CLOSING_WAIT_SHARE = 0.3  # a wait of this share of the shortest aim is an occupancy of Pmax
# Wm, Wc, Wt and Nwait in the paper: the windows that decide on closing a server, on opening it again and on
# its gate rate, and the delay from the closing until the gate applies.
MONITOR_INTERVALS, CONTROL_INTERVALS, RATE_STEP_INTERVALS, GATE_DELAY_INTERVALS = 2, 3, 4, 2
MIN_GATE_RATE_SHARE = 3 / 20  # rmin as a share of rmax
# The answer rate is averaged over this many intervals or the expected time of this many calls, whichever is
# longer: with fewer calls, chance would look like a peak.
ANSWER_RATE_INTERVALS = 8
ANSWER_RATE_CALLS = 8
# The time step of r, and the lifetime of tokens, is Wt or the expected time of this many sends, whichever is
# longer.
RATE_STEP_SENDS = 1
PEAK_RATE_WINDOW_S = 60.0  # rmax is the highest answer rate within this time, at least the fair rate
# A class worth this multiple of the mean may pass the gate of a closed server on its first try.
HIGH_WORTH_MULTIPLE = 2.0
STARTUP_INTERVALS = 8  # after a start, the arrival rate is averaged over at least this many intervals
# Averaging time of the arrival rate, longer than a surge; also the least time between a server's log lines.
TRAFFIC_AVERAGE_S = 20.0
# Calls that can no longer stand within their aim are only sent to servers below this occupancy.
LATE_MAX_OCCUPANCY = TARGET_OCCUPANCY / 2
# Below this occupancy over Wt a server takes calls without tokens: calls hardly wait there.
IDLE_OCCUPANCY = TARGET_OCCUPANCY / 4
RECOVERED_RATE_SHARE = 0.97  # recovery ends when r has reached this share of rmax
# The real warm-up curve is unknown. The capacity of a cold server is assumed to rise linearly; by the time it
# is warm, it has gained this share of what it lacked at its start.
COLD_RAMP_SHARE = 0.5
# Share of the cold limit that is used: other instances may see more than their share of the traffic.
COLD_LIMIT_SHARE = 0.7
# Longer than callers may use a dropped class, as their calls may wait for this module to take them.
DROPPED_CLASS_KEEP_S = 2 * interface.RELOAD_GRACE_S
FORGET_GONE_AFTER_S = 60.0  # until the state of a removed server is dropped; new servers get new ids
ACTIVITY_GAP_SAMPLES = 16  # samples over which the time between two signs of activity is averaged
SILENCE_GAPS = 5  # silence is this many mean gaps without activity; its probability by chance is e^-5
# Attempts over which fault and error shares are averaged: one fault never closes a server.
FAULT_SHARE_ATTEMPTS = 4
# Share of faulty attempts, above the mean of the others, that is an occupancy of Pmax.
CLOSING_FAULT_SHARE = 0.6
FAULT_DECAY_INTERVALS = 16  # decay of the fault share of a closed server
FAULT_OUTCOMES = (interface.Outcome.RESET, interface.Outcome.UNREACHED)
# Share of set-ups answered with an error from which other servers are preferred.
HIGH_ERROR_SHARE = 0.5
INTERVAL_TOKEN = 0  # timer token of the interval
HOLD_TOKEN = 1  # timer token of calls held until their release guard is over
EPSILON_S = 1e-6  # resolution of the clock


class TokenBucket:
    """A token bucket whose unused tokens expire, so that instances do not spend saved ones at once.

    A token expires once `lifetime_tokens` more have been added; this number may be a fraction below one."""

    def __init__(self, initial_tokens: float) -> None:
        self.added = initial_tokens  # a random fraction, so that instances do not send at the same time
        self.taken = 0

    def add(self, amount: float, lifetime_tokens: float) -> None:
        self.added += amount
        self.taken = max(self.taken, int(self.added - lifetime_tokens))

    def has_token(self) -> bool:
        return self.added - self.taken >= 1.0

    def take(self) -> None:
        self.taken += self.has_token()


class Server:
    """The state of one setup server as this instance observes it."""

    def __init__(self, entry: interface.ServerEntry, now: float, initial_tokens: float) -> None:
        self.id = entry.server
        self.leaving_since: float | None = None  # when it was first listed as draining or gone; None: ready
        self.free_lines = float("inf")  # free lines as last reported, less those used since
        self.open_attempts: dict[tuple[str, int], float] = {}  # (call, attempt) -> time sent, oldest first
        self.warm_at = 0.0
        self.logged_at = now - TRAFFIC_AVERAGE_S
        self.rate_peaks: deque[tuple[float, float]] = deque()  # (time, answer rate) while open, highest first
        self.answer_rate = 0.0  # calls answered here, so that they stand, per second
        self.stands_in_interval = 0
        self.update(entry, now)
        self.reset_estimates(now, initial_tokens)

    def update(self, entry: interface.ServerEntry, now: float) -> None:
        # `number` is the destination number that the server serves; several servers may share one.
        self.number, self.size, self.started = entry.number, max(entry.size, EPSILON_S), entry.started
        # When the first successor (a later server of the same number) is warm; infinity without one. Soon
        # after that time this server will stop and cut its calls.
        self.successor_warm_at = float("inf")
        self.gone = entry.state == "gone"
        if entry.state == "ready":
            self.leaving_since = None
        elif self.leaving_since is None:
            self.leaving_since = now

    def reset_estimates(self, now: float, initial_tokens: float) -> None:
        """Resets every estimate: a restarted server has a new state."""
        self.cold_gate = TokenBucket(initial_tokens)
        self.cold_filled_at = now
        self.throttle = 1  # u in the paper: 1 open, 0 closed
        self.closed_intervals = 0  # intervals since it was closed
        self.interval_waits = [0.0, 0.0]  # waits observed in this interval: sum, count
        # Mean wait of each interval.
        self.wait_history: deque[float] = deque(
            maxlen=max(MONITOR_INTERVALS, CONTROL_INTERVALS, RATE_STEP_INTERVALS)
        )
        self.wait_counts: deque[int] = deque(maxlen=RATE_STEP_INTERVALS)  # waits observed in each interval
        self.max_gate_rate = 0.0  # rmax in the paper, calls a second
        self.gate_rate = 0.0  # r in the paper, calls a second
        self.gate = TokenBucket(initial_tokens + 1.0)  # an instance without history may try each server once
        self.recovering = False  # open again, but new calls still need tokens
        self.state_before_close = (0.0, False)  # gate rate and `recovering` when it was closed
        self.closed_at = self.short_wait_at = self.latest_wait = 0.0
        self.long_wait_at = 0.0  # when a long wait was last observed, not inferred from the age of a set-up
        self.active_at = now
        self.activity_gap = 1.0  # mean seconds between two signs of activity
        self.fault_share = 0.0  # share of recent attempts that ended in a fault
        self.error_share = 0.0  # share of recent attempts answered with an error; does not close the server
        # Send time of the latest answered set-up; the age of older open ones does not measure the load.
        self.answered_sent_at = 0.0

    def record_activity(self, now: float) -> None:
        """Records activity: any message from the server, including the end of a call."""
        self.activity_gap += (now - self.active_at - self.activity_gap) / ACTIVITY_GAP_SAMPLES
        self.active_at = now

    def record_wait(self, now: float, wait: float, long_wait_limit: float) -> None:
        """Adds a wait in seconds; one above `long_wait_limit` seconds sets `long_wait_at`."""
        self.record_activity(now)
        self.latest_wait = wait
        self.interval_waits[0] += wait
        if wait > long_wait_limit:
            self.long_wait_at = now
        else:
            self.short_wait_at = now
        self.interval_waits[1] += 1

    def mean_wait(self, window: int) -> float:
        """Mean wait in seconds over the last `window` intervals."""
        waits = list(self.wait_history)[-window:]
        return sum(waits) / len(waits) if waits else 0.0

    def close_interval(self, interval: float) -> None:
        """Stores the mean wait of the interval.

        Without an observation the last wait drops by the interval: no queue drains faster."""
        total, count = self.interval_waits
        before = self.wait_history[-1] if self.wait_history else 0.0
        self.wait_history.append(total / count if count else max(0.0, before - interval))
        self.wait_counts.append(int(count))
        self.interval_waits = [0.0, 0.0]


class Call:
    """One call and its attempts."""

    __slots__ = (
        *(
            "id",
            "call_class",
            "destination",
            "first_try",
            "in_transit",
            "deadline",
            "tries",
            "attempt_server",
            "last_server",
        ),
        *(
            "not_before",
            "cancelled_attempt",
            "possible_effect_server",
            "stands",
            "last_erred",
            "attempt_limit",
        ),
    )

    def __init__(
        self, event: interface.CallArrived, call_class: interface.CallClass, now: float, limit: int
    ) -> None:
        self.id, self.call_class, self.destination, self.first_try = (
            event.call,
            call_class,
            event.destination,
            now,
        )
        self.attempt_limit = limit  # of the settings when it arrived
        self.in_transit = event.in_transit
        self.deadline = event.deadline
        self.tries = 0
        self.attempt_server: Server | None = None  # server of the open attempt
        self.last_server: Server | None = None  # server of the latest attempt
        self.cancelled_attempt = -1  # number of the attempt that was cancelled
        self.not_before = 0.0  # no attempt before this time (release guard)
        self.possible_effect_server: Server | None = None  # where an earlier attempt may have taken effect
        self.stands = False
        self.last_erred = False  # the latest attempt was answered with an error


class Controller:
    """The decision module of one instance: `step` takes events and returns actions.

    All randomness comes from `seed`; the host supplies the time in seconds."""

    def __init__(self, settings: interface.Settings, seed: int, now: float) -> None:
        self.rng = random.Random(seed)
        self.now = now
        self.started_at = now
        self.settings: interface.Settings = settings
        self.classes: dict[str, interface.CallClass] = {}  # the configured ones, and those dropped lately
        self.dropped_until: dict[str, float] = {}  # dropped class -> when it is forgotten
        self._apply_settings(settings)
        self.first_tries: dict[tuple[int | None, str], float] = {}  # (number, class) -> time, oldest first
        self.mean_worth = 0.0  # of all calls so far
        self.calls_seen = 0
        self.servers: dict[str, Server] = {}
        self.calls: dict[str, Call] = {}
        self.held: dict[str, Call] = {}
        self.sticky_server: str | None = None
        self.min_setup_time = float("inf")  # transport and processing without a wait
        self.fault_share_totals = (0.0, 0)  # sum of the fault shares, and number of servers
        self.arrival_rate = 0.0  # first tries a second that arrive here
        self.interval_arrivals = 0  # first tries in this interval
        self.actions: list[interface.Action] = []

    def start(self) -> list[interface.Action]:
        """Returns the first actions; the random phase of the interval keeps instances out of step."""
        first_actions: list[interface.Action] = [
            interface.WakeAfter(self.interval * (0.1 + 0.9 * self.rng.random()), INTERVAL_TOKEN)
        ]
        if self.settings.must_ask:
            first_actions.append(interface.Subscribe())
        return first_actions

    def step(self, now: float, events: Iterable[interface.Event]) -> list[interface.Action]:
        """Handles the events of one batch in order and returns the actions.

        `now` is the host's clock in seconds and never goes back."""
        self.now = now
        self.actions = []
        for event in events:
            match event:
                case interface.CallArrived():
                    self._on_call_arrived(event)
                case interface.AttemptEnded():
                    self._on_attempt_ended(event)
                case interface.CallStands():
                    self._on_call_stands(event)
                case interface.Woken(token):
                    if token == INTERVAL_TOKEN:
                        self._run_interval()
                    self._release_held()
                case interface.CallerLeft(call):
                    self._on_caller_left(call)
                case interface.ServerList():
                    self._on_server_list(event)
                case interface.SettingsReplaced(settings):
                    self._apply_settings(settings)
                case interface.Probed():
                    self._apply_report(event.server, event.report)
        return self.actions

    def _apply_settings(self, settings: interface.Settings) -> None:
        """Replaces classes and rules for calls that arrive from now on; the state of the servers stays.

        A class that is dropped is kept for `DROPPED_CLASS_KEEP_S`: its callers may still be using it."""
        configured = {item.name: item for item in settings.classes}
        for name in self.classes:
            if name not in configured:
                self.dropped_until.setdefault(name, self.now + DROPPED_CLASS_KEEP_S)
        self.dropped_until = {
            name: until
            for name, until in self.dropped_until.items()
            if name not in configured and self.now < until
        }
        dropped = {name: item for name, item in self.classes.items() if name in self.dropped_until}
        self.settings = settings
        self.classes = dropped | configured
        self.shortest_aim = min(item.aim for item in settings.classes)
        self.closing_wait = CLOSING_WAIT_SHARE * self.shortest_aim
        self.interval = self.shortest_aim / INTERVALS_PER_AIM
        self.longest_give_up = max(item.give_up for item in self.classes.values())

    def may_repeat(self, class_name: str) -> bool:
        """Whether a call of this class may be set up again although it may have taken effect."""
        call_class = self.classes.get(class_name)
        return call_class is None or call_class.effect == "free"

    def avoided(self) -> set[str]:
        """Listed servers, not gone, that get no new calls: draining, or closed by their occupancy."""
        return {
            server.id
            for server in self.servers.values()
            if not server.gone and (server.leaving_since is not None or not server.throttle)
        }

    # Observations

    def _on_server_list(self, event: interface.ServerList) -> None:
        if event.kind is interface.ListKind.REFUSED:
            self.actions.append(interface.Subscribe())
            return
        listed = {}
        for entry in event.entries:
            listed[entry.server] = entry
            server_state = self.servers.get(entry.server)
            if server_state is None:
                server_state = self.servers[entry.server] = Server(entry, self.now, self.rng.random())
            else:
                if entry.started > server_state.started:
                    server_state.reset_estimates(self.now, self.rng.random())
                server_state.update(entry, self.now)
            if entry.started > 0:
                server_state.warm_at = entry.started + self.settings.warm_after
        for server in self.servers.values():
            successors = [
                other
                for other in self.servers.values()
                if other.number == server.number and other.leaving_since is None
            ]
            warm_times = (other.warm_at for other in successors if other.started > server.started)
            server.successor_warm_at = min(warm_times, default=float("inf"))
        if event.kind is not interface.ListKind.CHANGES:
            for name, server in self.servers.items():
                if name not in listed:
                    server.gone = True
                    server.leaving_since = self.now if server.leaving_since is None else server.leaving_since

    def _apply_report(self, name: str, report: object) -> None:
        """Applies a server's report: free lines, and its CPU load or mean wait."""
        server = self.servers.get(name)
        if server is None or not isinstance(report, dict):
            return
        if "free" in report:
            server.free_lines = report["free"]
        if "cpu" in report:
            server.record_wait(self.now, report["cpu"] / MAX_OCCUPANCY * self.closing_wait, self.closing_wait)
        elif "avg_ms" in report:
            server.record_wait(self.now, report["avg_ms"] / 1000.0, self.closing_wait)

    def _on_call_stands(self, event: interface.CallStands) -> None:
        server = self.servers.get(event.server)
        if server:
            server.answered_sent_at = max(
                server.answered_sent_at, server.open_attempts.pop((event.call, event.attempt), 0.0)
            )
            server.fault_share -= server.fault_share / FAULT_SHARE_ATTEMPTS
            server.error_share -= server.error_share / FAULT_SHARE_ATTEMPTS
            server.stands_in_interval += 1
            self.min_setup_time = min(self.min_setup_time, event.elapsed)
            server.record_wait(self.now, event.elapsed - self.min_setup_time, self.closing_wait)
        call = self.calls.get(event.call)
        if call and call.attempt_server is server:
            call.stands = True
            self.sticky_server = event.server

    def _on_attempt_ended(self, event: interface.AttemptEnded) -> None:
        server = self.servers.get(event.server)
        outcome = event.outcome
        lost = False
        if server:
            sent = server.open_attempts.pop((event.call, event.attempt), self.now)
            lost = outcome in (interface.Outcome.TIMEOUT, interface.Outcome.CANCELLED) and self._is_lost(
                server, sent
            )
            if outcome is interface.Outcome.OK:
                server.record_activity(self.now)
            self._apply_report(event.server, event.report)
        call = self.calls.get(event.call)
        server_full = outcome is interface.Outcome.FULL and event.cause == 3
        if server:
            server.free_lines = 0.0 if event.cause == 1 else server.free_lines + 1.0  # until the next report
        lines_busy = outcome is interface.Outcome.ERROR and event.cause == 4
        stood = call is not None and call.stands
        if server and (server_full or (outcome is interface.Outcome.TIMEOUT and call and not lost)):
            waited = max(event.told_wait, event.elapsed, self.closing_wait / CLOSING_WAIT_SHARE)
            server.record_wait(self.now, waited, self.closing_wait)
        # A pool without free lines shows no wait and would attract all diverted calls: it counts as a fault.
        no_free_line = outcome is interface.Outcome.FULL and event.cause == 1
        if server and not stood and not lines_busy and (lost or no_free_line or outcome in FAULT_OUTCOMES):
            server.fault_share += (1.0 - server.fault_share) / FAULT_SHARE_ATTEMPTS
        if server and outcome is interface.Outcome.ERROR and not stood and not lines_busy:
            server.error_share += (1.0 - server.error_share) / FAULT_SHARE_ATTEMPTS
        if server and outcome is interface.Outcome.FULL and self.sticky_server == server.id:
            self.sticky_server = None
        if call is None or call.tries - 1 != event.attempt:
            return
        call.attempt_server = None
        if event.final or call.stands:
            del self.calls[call.id]
            return
        if outcome in (interface.Outcome.TIMEOUT, interface.Outcome.RESET, interface.Outcome.CANCELLED):
            call.not_before = self.now + self.settings.release_guard + EPSILON_S
        if outcome not in (interface.Outcome.FULL, interface.Outcome.UNREACHED, interface.Outcome.MOOT):
            call.possible_effect_server = server
        call.last_erred = outcome is interface.Outcome.ERROR
        if lines_busy:
            self._refuse_or_fail(call)
        else:
            self._route(call)

    def _on_caller_left(self, name: str) -> None:
        call = self.calls.pop(name, None)
        self.held.pop(name, None)
        if call and call.attempt_server and not call.stands and self.settings.may_cancel:
            self.actions.append(interface.Cancel(name, call.tries - 1))

    # Occupancy, throttle and token gate

    def _occupancy(self, server: Server, window: int) -> float:
        """Occupancy, p in the paper: from the waits, the age of the oldest open set-up, and faults."""
        wait = server.mean_wait(window)
        # Ignores set-ups older than the shortest aim if the server was active at least `closing_wait` after
        # they were sent: they are lost, and their age does not measure the queue.
        lost_before = self.now - self.shortest_aim
        active_since = server.active_at - self.closing_wait
        oldest = next(
            (
                sent
                for sent in server.open_attempts.values()
                if sent > server.answered_sent_at and (sent > lost_before or sent > active_since)
            ),
            None,
        )
        if oldest is not None:
            wait = max(
                wait, self.now - oldest - (self.min_setup_time if self.min_setup_time < float("inf") else 0.0)
            )
        # Only the excess over the mean of the other servers counts: faults common to all servers have another
        # cause.
        fault_total, servers = self.fault_share_totals
        excess_faults = server.fault_share - max(0.0, fault_total - server.fault_share) / max(1, servers - 1)
        return MAX_OCCUPANCY * max(wait / self.closing_wait, excess_faults / CLOSING_FAULT_SHARE)

    def _run_interval(self) -> None:
        """Runs once an interval: updates the arrival rate, drops removed servers, adjusts throttles."""
        self.actions.append(interface.WakeAfter(self.interval, INTERVAL_TOKEN))
        weight = self.interval / min(
            max(self.now - self.started_at, STARTUP_INTERVALS * self.interval), TRAFFIC_AVERAGE_S
        )
        self.arrival_rate += weight * (self.interval_arrivals / self.interval - self.arrival_rate)
        self.interval_arrivals = 0
        for name in [other.id for other in self.servers.values() if other.gone and not other.open_attempts]:
            if self.now - (self.servers[name].leaving_since or self.now) > FORGET_GONE_AFTER_S:
                del self.servers[name]
        fault_shares = [other.fault_share for other in self.servers.values() if other.leaving_since is None]
        self.fault_share_totals = sum(fault_shares), len(fault_shares)
        for server in self.servers.values():
            self._adjust_throttle(server)
        if self.settings.may_cancel:
            for server in self.servers.values():
                self._cancel_unanswered(server)

    def _cancel_unanswered(self, server: Server) -> None:
        """Cancels set-ups that will not be answered while another server can still take the call in time:

        - silent ones: the server is closed and has shown no activity since they were sent, because it hangs
          or its connection is dead (a slow server still answers others);
        - lost ones, by `_is_lost`."""
        if not any(
            other.throttle and other is not server and other.leaving_since is None
            for other in self.servers.values()
        ):
            return
        silence = max(self.closing_wait, SILENCE_GAPS * server.activity_gap)
        for (name, attempt), sent in list(server.open_attempts.items()):
            call = self.calls.get(name)
            if call is None or call.cancelled_attempt == attempt:
                continue
            silent = not server.throttle and server.active_at <= sent and self.now - sent >= silence
            lost = self._is_lost(server, sent)
            answer_by = call.deadline if lost else call.first_try + call.call_class.aim
            if (
                silent or lost
            ) and self.now + self.settings.release_guard + 2 * self.min_setup_time < answer_by:
                call.cancelled_attempt = attempt
                self.actions.append(interface.Cancel(name, attempt))

    def _is_lost(self, server: Server, sent: float) -> bool:
        """Whether an open set-up is lost.

        Servers answer in order. A set-up is lost if it was sent over an interval before the latest answered
        one, or if the server has shown a short wait more than the shortest aim after it was sent."""
        return (
            sent + self.interval < server.answered_sent_at or sent + self.shortest_aim < server.short_wait_at
        )

    def _adjust_throttle(self, server: Server) -> None:
        """Closes or opens the server by its occupancy, and moves its gate rate between rmin and rmax."""
        server.close_interval(self.interval)
        if not server.throttle:
            # Without decay no attempt would ever be sent there again.
            server.fault_share *= 1.0 - 1.0 / FAULT_DECAY_INTERVALS
        fair_rate = self._fair_rate(server)
        if server.throttle:
            window = max(ANSWER_RATE_INTERVALS * self.interval, ANSWER_RATE_CALLS / max(fair_rate, EPSILON_S))
            server.answer_rate += (server.stands_in_interval - server.answer_rate * self.interval) / window
            while server.rate_peaks and server.rate_peaks[-1][1] <= server.answer_rate:
                server.rate_peaks.pop()
            server.rate_peaks.append((self.now, server.answer_rate))
        server.stands_in_interval = 0
        while server.rate_peaks and server.rate_peaks[0][0] < self.now - PEAK_RATE_WINDOW_S:
            server.rate_peaks.popleft()
        server.max_gate_rate = max(server.rate_peaks[0][1] if server.rate_peaks else 0.0, fair_rate)
        min_gate_rate = server.max_gate_rate * MIN_GATE_RATE_SHARE
        if not server.recovering:
            server.gate_rate = server.max_gate_rate
        step_time = max(RATE_STEP_INTERVALS * self.interval, RATE_STEP_SENDS / max(fair_rate, EPSILON_S))
        if server.throttle and (occupancy := self._occupancy(server, MONITOR_INTERVALS)) > MAX_OCCUPANCY:
            server.state_before_close, server.closed_at = (server.gate_rate, server.recovering), self.now
            server.throttle, server.closed_intervals, server.recovering = 0, 0, True
            server.gate_rate = max(min_gate_rate, server.gate_rate * TARGET_OCCUPANCY / occupancy)
            if self.now - server.logged_at >= TRAFFIC_AVERAGE_S:
                server.logged_at = self.now
                self.actions.append(interface.Log(f"{server.id} closed, occupancy {occupancy:.1f}"))
        elif not server.throttle:
            server.closed_intervals += 1
            if self._occupancy(server, CONTROL_INTERVALS) < MAX_OCCUPANCY:
                server.throttle = 1
                if (
                    server.long_wait_at < server.closed_at - MONITOR_INTERVALS * self.interval
                    and server.fault_share < CLOSING_FAULT_SHARE
                ):
                    # It was closed for a lost answer, not for load: no recovery phase.
                    server.gate_rate, server.recovering = server.state_before_close
                    server.gate_rate = server.gate_rate if server.recovering else server.max_gate_rate
        if server.throttle:
            idle = (
                MAX_OCCUPANCY * server.latest_wait / self.closing_wait < IDLE_OCCUPANCY
                and server.active_at > server.closed_at
            )
            # Seconds in which r moves half way to rmax.
            half_time = max(RATE_STEP_INTERVALS * self.interval, server.activity_gap) if idle else step_time
            server.gate_rate += (server.max_gate_rate - server.gate_rate) * (
                1.0 - 0.5 ** (self.interval / half_time)
            )
            server.recovering = server.gate_rate < RECOVERED_RATE_SHARE * server.max_gate_rate
        elif self._is_gated(server) and server.closed_intervals % RATE_STEP_INTERVALS == 0:
            occupancy = self._occupancy(server, RATE_STEP_INTERVALS)
            server.gate_rate = (
                min(max(min_gate_rate, server.gate_rate * TARGET_OCCUPANCY / occupancy), server.max_gate_rate)
                if occupancy > 0
                else server.max_gate_rate
            )
        server.gate.add(server.gate_rate * self.interval, server.gate_rate * step_time)

    def _is_gated(self, server: Server) -> bool:
        """Whether the server is closed and its gate applies."""
        return not server.throttle and server.closed_intervals > GATE_DELAY_INTERVALS - MONITOR_INTERVALS

    # Arrival, routing, answers

    def _on_call_arrived(self, event: interface.CallArrived) -> None:
        call_class = self.classes.get(event.class_name) or self.settings.classes[0]
        self.calls_seen += 1
        self.mean_worth += (call_class.worth - self.mean_worth) / self.calls_seen
        call = self.calls[event.call] = Call(event, call_class, self.now, self.settings.try_limit)
        call.first_try = self._first_try_time(event, call_class)
        self.interval_arrivals += call.first_try == self.now  # redials do not measure what servers carry
        self._route(call)

    def _first_try_time(self, event: interface.CallArrived, call_class: interface.CallClass) -> float:
        """When the caller first tried: a redial is recognised by the same number and class."""
        key = (event.number, event.class_name)
        if event.number is None:
            return self.now
        while self.first_tries and self.now - next(iter(self.first_tries.values())) > self.longest_give_up:
            del self.first_tries[next(iter(self.first_tries))]
        if self.now - self.first_tries.get(key, -self.longest_give_up) > call_class.give_up:
            self.first_tries.pop(key, None)
            self.first_tries[key] = self.now
        return self.first_tries[key]

    def _usable_servers(self, call: Call) -> list[Server]:
        """Servers to which the call may be sent now."""
        return [server for server in self.servers.values() if self._may_use(call, server)]

    def _route(self, call: Call) -> None:
        """Sends the call to a server, holds it, or gives its final answer."""
        if self.now >= call.deadline - EPSILON_S or call.tries >= call.attempt_limit:
            return self._refuse_or_fail(call)
        usable = self._usable_servers(call)
        if self.now < call.not_before:
            open_servers = [
                other for other in self.servers.values() if other.leaving_since is None and other.throttle
            ]
            if open_servers and call.not_before < call.deadline:
                return self._hold(call, call.not_before - self.now)
            return self._refuse_or_fail(call)
        past_aim = self.now + self.closing_wait > call.first_try + call.call_class.aim
        if past_aim:  # an answer would come after the aim: only servers with a low occupancy are used
            usable = [
                other
                for other in usable
                if not other.recovering and self._occupancy(other, MONITOR_INTERVALS) < LATE_MAX_OCCUPANCY
            ]
        including_last_server = usable
        usable = [
            other for other in usable if other is not call.last_server
        ] or usable  # after a failed attempt, another server if there is one
        healthy = [other for other in usable if other.error_share < HIGH_ERROR_SHARE]
        # The last list allows a repeat at the server that answered with an error: an error does not predict
        # the next answer, and costs the server little.
        for servers in (healthy, usable, including_last_server if call.last_erred else []):
            if server := self._choose_open_server(call, servers):
                return self._send(call, server)
        first = next((other for other in usable if other.number == call.destination), None)
        if (
            usable
            and not past_aim
            and (call.tries or call.call_class.worth >= HIGH_WORTH_MULTIPLE * self.mean_worth)
        ):
            admitted = [
                other
                for other in usable
                if not ((other.recovering and other.throttle) or self._is_gated(other))
                or other.gate.has_token()
            ]
            if admitted:
                least_occupied = min(admitted, key=lambda other: self._occupancy(other, MONITOR_INTERVALS))
                return self._send(call, first if first in admitted else least_occupied)
        self._refuse_or_fail(call)

    def _choose_open_server(self, call: Call, servers: list[Server]) -> Server | None:
        """The first choice while it is open, else one with a token: the sticky server or a random one."""
        for first in sorted(
            (other for other in servers if other.number == call.destination),
            key=lambda other: self.now >= other.successor_warm_at,
        ):
            if first.throttle and (not first.recovering or first.gate.has_token() or self._is_idle(first)):
                return first
        # Diverted calls need tokens, so that they do not overload the next server.
        others = [other for other in servers if other.throttle and other.gate.has_token()]
        others = others or [other for other in servers if self._is_idle(other)]
        others = [other for other in others if self.now < other.successor_warm_at] or others
        if others:
            server = next(
                (other for other in others if other.id == self.sticky_server), None
            ) or self.rng.choice(others)
            self.sticky_server = server.id
            return server
        return None

    def _is_idle(self, server: Server) -> bool:
        """Whether it can take calls without tokens: almost no wait in enough samples, few open set-ups."""
        max_open_set_ups = max(1.0, self._fair_rate(server) * self.closing_wait)
        has_samples = sum(server.wait_counts) >= RATE_STEP_INTERVALS
        return (
            has_samples
            and bool(server.throttle)
            and self._occupancy(server, RATE_STEP_INTERVALS) < IDLE_OCCUPANCY
            and len(server.open_attempts) <= max_open_set_ups
        )

    def _hold(self, call: Call, delay: float) -> None:
        self.held[call.id] = call
        self.actions.append(interface.WakeAfter(delay, HOLD_TOKEN))

    def _release_held(self) -> None:
        for call in list(self.held.values()):
            if self.now >= min(call.not_before, call.deadline):
                del self.held[call.id]
                self._route(call)

    def _refuse_or_fail(self, call: Call) -> None:
        """Gives the one final answer: a failure if an attempt may have taken effect, else a refusal."""
        if self.calls.pop(call.id, None) is None:
            return
        self.held.pop(call.id, None)
        if call.possible_effect_server:
            self.actions.append(interface.Fail(call.id))
        else:
            advice = min(self.settings.max_advice, self.interval) if self.settings.may_advise else 0.0
            self.actions.append(interface.Refuse(call.id, advice))

    # Checks that apply to every attempt

    def _may_use(self, call: Call, server: Server) -> bool:
        """Whether an attempt of the call at the server is allowed now."""
        if (
            server.leaving_since is not None
            or server.free_lines <= 0
            or server.number == self.settings.own_number
        ):
            return False
        if call.call_class.pools is not None and server.number not in call.call_class.pools:
            return False
        if call.in_transit and server.number != call.destination:
            return False
        if call.possible_effect_server and call.call_class.effect != "free" and (
            call.call_class.effect == "single_shot" or server is not call.possible_effect_server
            or self.now > call.first_try + call.call_class.dedup_window
        ):  # fmt: skip
            return False
        return self.now >= server.warm_at or self._has_cold_token(server)

    def _has_cold_token(self, server: Server) -> bool:
        """Whether a cold server has a token; tokens are this instance's share of its present capacity.

        Within `tip_after` seconds the fleet sends at most the tokens added in that time and those left
        unexpired from before. COLD_LIMIT_SHARE keeps the sum within the limit for any number of instances."""
        progress = min(1.0, max(0.0, self.now - server.started) / self.settings.warm_after)
        capacity = self.settings.cold_share + (1.0 - self.settings.cold_share) * COLD_RAMP_SHARE * progress
        rate = self._fair_rate(server) * capacity * self.settings.tip_multiple * COLD_LIMIT_SHARE
        unexpired_time = (1.0 - COLD_LIMIT_SHARE) * self.settings.tip_after
        server.cold_gate.add(rate * (self.now - server.cold_filled_at), rate * unexpired_time)
        server.cold_filled_at = self.now
        return server.cold_gate.has_token()

    def _fair_rate(self, server: Server) -> float:
        """Calls a second that the server would carry of this instance's traffic, by its size."""
        size = sum(other.size for other in self.servers.values() if other.leaving_since is None)
        return self.arrival_rate * server.size / max(size, server.size)

    def _send(self, call: Call, server: Server) -> None:
        """Starts an attempt. One that is not allowed is logged and ends the call without an exception."""
        if call.attempt_server or self.now < call.not_before or not self._may_use(call, server):
            self.actions.append(interface.Log(f"attempt of {call.id} at {server.id} not allowed"))
            return None if call.attempt_server else self._refuse_or_fail(call)
        if self.now < server.warm_at:
            server.cold_gate.take()
        server.gate.take()
        call.attempt_server = call.last_server = server
        server.open_attempts[(call.id, call.tries)] = self.now
        server.free_lines -= 1.0
        call.tries += 1
        return self.actions.append(interface.Send(call.id, server.id))
