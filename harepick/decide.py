"""The decisions of one front. Types, settings, events and actions: `harepick/interface.py`.

A call's way: `_arrive` books it, `_route` picks a server (first choice while open, else the one that last
worked) or lets a tried call through the token gate, `_send` - the one chokepoint - applies the guards of the
five rules. `_tick` judges every server's occupancy each interval and moves its throttle u and gate rate r.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable

from harepick import interface as i

INTERVALS_PER_AIM = 4  # T is the tightest aim over this: control must act within the aim it protects
PMAX = 0.80  # the paper's design level; u drops to 0 above it
PTERM_MAX = 0.60  # the paper's level to which gated calls are steered
SHUT_SHARE = 0.3  # a wait of this share of the tightest aim reads as occupancy Pmax
WM, WC, WT, NWAIT = 2, 3, 4, 2  # windows in intervals: monitor, control, rate step, wait before the gate
RMIN_SHARE = 3 / 20  # rmin as a share of rmax (design page)
PEAK_INTERVALS = 8  # a send rate is averaged over this many intervals and
PEAK_SENDS = 8  # over the time of this many sends, if longer: fewer would read chance as a peak
STEP_SENDS = 1  # time of so many fair sends, if over Wt: r loosens and tokens last by it
PEAK_SPAN = 60.0  # rmax is the top send rate within this span (design page)
DEAR = 2.0  # a class worth this many times the mean passes shut servers as a tried call does
YOUNG = 8  # a front of fewer intervals knows too little to think its rate high
HISTORY = 20.0  # seconds over which a front's own share of the traffic is averaged: longer than a surge
LOW = PTERM_MAX / 2  # under this there is room for calls that can no longer earn in full
IDLE = PTERM_MAX / 4  # a server under this over Wt takes calls that no token is left for: none waits there
EASED_SHARE = 0.97  # r this close to rmax ends the easing in
COLD_RAMP = 0.5  # of an even rise to full capacity: how a server warms is not told
COLD_MARGIN = 0.7  # of what the cold rule allows this front: others may see more traffic than their share
FORGET = 60.0  # a server gone for so long is forgotten: others keep coming under new ids
GAP_MEMORY = 16  # hearings over which the time between them is averaged
SILENT_GAPS = 5  # this many mean gaps without a word are silence: chance alone gives it once in e^5
FAULT_MEMORY = 4  # attempts that the share of faults remembers: one fault alone never shuts a server
FAULT_SHARE = 0.6  # share of recent attempts ended in a fault, above the others' mean, that reads as Pmax
NWAIT_FAULTS = 16  # intervals in which the share of faults fades while the server is shut
FAULTS = (i.Outcome.RESET, i.Outcome.UNREACHED)
ERRING = 0.5  # share of recent set-ups answered with an error: others with room go before such a server
TICK = 0  # token of the interval's wake-up; holds use HOLD
HOLD = 1
EPS = 1e-6  # the clock counts microseconds


class Bucket:
    """Tokens that go stale: what many fronts hold unused must not come down on one server at once.

    A token is there for as long as it takes to make `keep` more, be that over one or far under."""

    def __init__(self, level: float) -> None:
        self.made = level  # under one, drawn from the seed: fronts' tokens do not fall due in step
        self.used = 0

    def fill(self, amount: float, keep: float) -> None:
        self.made += amount
        self.used = max(self.used, int(self.made - keep))

    def ready(self) -> bool:
        return self.made - self.used >= 1.0

    def take(self) -> None:
        self.used += self.ready()


class Server:
    """What this front knows of one server."""

    def __init__(self, entry: i.ServerEntry, now: float, level: float) -> None:
        self.id = entry.server
        self.told_off: float | None = None  # when we were told that it drains or is gone
        self.free = float("inf")  # free agents, as last told, less those taken since
        self.open_attempts: dict[tuple[str, int], float] = {}  # attempts out -> time sent, oldest first
        self.cold_until = 0.0
        self.logged = now - HISTORY
        self.peaks: deque[tuple[float, float]] = deque()  # (time, sends a second) at u=1, highest first
        self.rate = 0.0  # sends a second
        self.stood_now = 0
        self.update(entry, now)
        self.void(now, level)

    def update(self, entry: i.ServerEntry, now: float) -> None:
        self.number, self.size, self.started = entry.number, max(entry.size, EPS), entry.started
        self.left_at = float("inf")  # another in its place is warm: this one will be told off, and cut calls
        self.gone = entry.state == "gone"
        if entry.state == "ready":
            self.told_off = None
        elif self.told_off is None:
            self.told_off = now

    def void(self, now: float, level: float) -> None:
        """Forget every estimate: a restarted server is another one."""
        self.cold = Bucket(level)
        self.cold_at = now
        self.throttle = 1
        self.zero = 0  # intervals that u has sat at 0
        self.sums = [0.0, 0.0]  # this interval's waits heard: sum, count
        self.history: deque[float] = deque(maxlen=max(WM, WC, WT))  # wait judged, an interval each
        self.words: deque[int] = deque(maxlen=WT)  # waits heard in each interval
        self.max_gate_rate = 0.0
        self.gate_rate = 0.0
        self.gate = Bucket(level + 1.0)  # a front that knows nothing yet may try each once
        self.eased = False  # reopened, but fresh calls still take tokens
        self.before = (0.0, False)  # r and eased when it shut
        self.shut_at = self.well = self.latest = 0.0
        self.proven = 0.0  # when a long wait was last heard, not only feared from a set-up's age
        self.heard = now
        self.gap = 1.0  # mean time between two hearings
        self.faults = 0.0  # share of recent attempts that met a fault
        self.errors = 0.0  # share answered at once with an error: no load, so that it shuts nothing
        self.answered = 0.0  # when the latest set-up answered so far was sent: older silent ones tell nothing

    def record_activity(self, now: float) -> None:
        """Any word from the server, also the end of a call, shows that it lives."""
        self.gap += (now - self.heard - self.gap) / GAP_MEMORY
        self.heard = now

    def record_wait(self, now: float, wait: float, pressed: float) -> None:
        self.record_activity(now)
        self.latest = wait
        self.sums[0] += wait
        if wait > pressed:
            self.proven = now
        else:
            self.well = now
        self.sums[1] += 1

    def mean_wait(self, window: int) -> float:
        """Mean wait over the window's intervals."""
        waits = list(self.history)[-window:]
        return sum(waits) / len(waits) if waits else 0.0

    def close_interval(self, interval: float) -> None:
        """An unheard server's queue drains, a second a second at most: old news decays to 0 at that pace."""
        total, count = self.sums
        before = self.history[-1] if self.history else 0.0
        self.history.append(total / count if count else max(0.0, before - interval))
        self.words.append(int(count))
        self.sums = [0.0, 0.0]


class Call:
    """One record of the call book."""

    __slots__ = (
        *("id", "call_class", "destination", "arrived", "transit", "until", "tries", "attempt_at", "last"),
        *("not_before", "revoked", "may_run", "stands", "erred", "limit"),
    )

    def __init__(self, event: i.CallArrived, cls: i.CallClass, now: float, limit: int) -> None:
        self.id, self.call_class, self.destination, self.arrived = event.call, cls, event.destination, now
        self.limit = limit  # attempts, as the settings said when it arrived
        self.transit = event.in_transit
        self.until = event.deadline
        self.tries = 0
        self.attempt_at: Server | None = None
        self.last: Server | None = None  # where the attempt before this one went
        self.revoked = -1  # the attempt that we have cancelled
        self.not_before = 0.0  # release guard
        self.may_run: Server | None = None  # an attempt there may have run
        self.stands = False
        self.erred = False  # the attempt before this one was answered with an error


class Controller:
    """The decision module of one front: `step(now, events)` returns the actions."""

    def __init__(self, settings: i.Settings, seed: int, now: float) -> None:
        self.rng = random.Random(seed)
        self.now = now
        self.began = now
        self.settings: i.Settings = settings
        self.classes: dict[str, i.CallClass] = {}
        self._retune(settings)
        self.tried: dict[tuple[int | None, str], float] = {}  # number and class -> first try, oldest first
        self.mean_worth = 0.0  # of the calls that have arrived
        self.seen = 0
        self.servers: dict[str, Server] = {}
        self.calls: dict[str, Call] = {}
        self.held: dict[str, Call] = {}
        self.sticky: str | None = None
        self.floor = float("inf")  # least set-up time seen: way and work without a wait
        self.all_faults = (0.0, 0)
        self.rate = 0.0  # calls a second that arrive here, averaged over HISTORY
        self.arrivals = 0
        self.actions: list[i.Action] = []

    def start(self) -> list[i.Action]:
        """First actions: the interval's phase comes from the seed, so that fronts do not step together."""
        first: list[i.Action] = [i.WakeAfter(self.interval * (0.1 + 0.9 * self.rng.random()), TICK)]
        if self.settings.must_ask:
            first.append(i.Subscribe())
        return first

    def step(self, now: float, events: Iterable[i.Event]) -> list[i.Action]:
        """All events of one batch, in order."""
        self.now = now
        self.actions = []
        for event in events:
            match event:
                case i.CallArrived():
                    self._arrive(event)
                case i.AttemptEnded():
                    self._ended(event)
                case i.CallStands():
                    self._stands(event)
                case i.Woken(token):
                    if token == TICK:
                        self._tick()
                    self._release_held()
                case i.CallerLeft(call):
                    self._left(call)
                case i.ServerList():
                    self._listed(event)
                case i.SettingsReplaced(settings):
                    self._retune(settings)
                case i.Probed():
                    self._report(event.server, event.report)
        return self.actions

    def _retune(self, settings: i.Settings) -> None:
        """Classes and rules for what arrives from now on; what is known of the servers stays. A class that
        was dropped is kept for one reload more: its callers may not have moved yet."""
        before = {c.name: c for c in self.settings.classes} if self.classes else {}
        self.settings = settings
        self.classes = {**before, **{c.name: c for c in settings.classes}}
        self.tightest = min(c.aim for c in settings.classes)
        self.wait_at_pmax = SHUT_SHARE * self.tightest
        self.interval = self.tightest / INTERVALS_PER_AIM
        self.longest = max(c.give_up for c in self.classes.values())

    def avoided(self) -> set[str]:
        """Listed servers that fresh calls go to no more: told off, or shut by their occupancy."""
        return {
            s.id for s in self.servers.values() if not s.gone and (s.told_off is not None or not s.throttle)
        }

    # What is heard

    def _listed(self, event: i.ServerList) -> None:
        if event.kind is i.ListKind.REFUSED:
            self.actions.append(i.Subscribe())
            return
        named = {}
        for entry in event.entries:
            named[entry.server] = entry
            known = self.servers.get(entry.server)
            if known is None:
                known = self.servers[entry.server] = Server(entry, self.now, self.rng.random())
            else:
                if entry.started > known.started:
                    known.void(self.now, self.rng.random())
                known.update(entry, self.now)
            if entry.started > 0:
                known.cold_until = entry.started + self.settings.warm_after
        for server in self.servers.values():
            later = [s for s in self.servers.values() if s.number == server.number and s.told_off is None]
            warm = (s.cold_until for s in later if s.started > server.started)
            server.left_at = min(warm, default=float("inf"))
        if event.kind is not i.ListKind.CHANGES:
            for name, server in self.servers.items():
                if name not in named:
                    server.gone = True
                    server.told_off = self.now if server.told_off is None else server.told_off

    def _report(self, name: str, report: object) -> None:
        server = self.servers.get(name)
        if server is None or not isinstance(report, dict):
            return
        if "free" in report:
            server.free = report["free"]
        if "cpu" in report:
            server.record_wait(self.now, report["cpu"] / PMAX * self.wait_at_pmax, self.wait_at_pmax)
        elif "avg_ms" in report:
            server.record_wait(self.now, report["avg_ms"] / 1000.0, self.wait_at_pmax)

    def _stands(self, event: i.CallStands) -> None:
        server = self.servers.get(event.server)
        if server:
            server.answered = max(server.answered, server.open_attempts.pop((event.call, event.attempt), 0.0))
            server.faults -= server.faults / FAULT_MEMORY
            server.errors -= server.errors / FAULT_MEMORY
            server.stood_now += 1
            self.floor = min(self.floor, event.elapsed)
            server.record_wait(self.now, event.elapsed - self.floor, self.wait_at_pmax)
        call = self.calls.get(event.call)
        if call and call.attempt_at is server:
            call.stands = True
            self.sticky = event.server

    def _ended(self, event: i.AttemptEnded) -> None:
        server = self.servers.get(event.server)
        out = event.outcome
        lost = False
        if server:
            sent = server.open_attempts.pop((event.call, event.attempt), self.now)
            lost = out in (i.Outcome.TIMEOUT, i.Outcome.CANCELLED) and self._lost(server, sent)
            if out is i.Outcome.OK:
                server.record_activity(self.now)
            self._report(event.server, event.report)
        call = self.calls.get(event.call)
        full = out is i.Outcome.FULL and event.cause == 3
        if server:
            server.free = 0.0 if event.cause == 1 else server.free + 1.0  # until we are told otherwise
        busy_line = out is i.Outcome.ERROR and event.cause == 4
        stood = call is not None and call.stands
        if server and (full or (out is i.Outcome.TIMEOUT and call and not lost)):
            waited = max(event.told_wait, event.elapsed, self.wait_at_pmax / SHUT_SHARE)
            server.record_wait(self.now, waited, self.wait_at_pmax)
        # Recurring, it shuts a pool out of lines, which has no wait and would draw every shed call.
        no_line = out is i.Outcome.FULL and event.cause == 1
        if server and not stood and not busy_line and (lost or no_line or out in FAULTS):
            server.faults += (1.0 - server.faults) / FAULT_MEMORY
        if server and out is i.Outcome.ERROR and not stood and not busy_line:
            server.errors += (1.0 - server.errors) / FAULT_MEMORY
        if server and out is i.Outcome.FULL and self.sticky == server.id:
            self.sticky = None
        if call is None or call.tries - 1 != event.attempt:
            return
        call.attempt_at = None
        if event.final or call.stands:
            del self.calls[call.id]
            return
        if out in (i.Outcome.TIMEOUT, i.Outcome.RESET, i.Outcome.CANCELLED):
            call.not_before = self.now + self.settings.release_guard + EPS
        if out not in (i.Outcome.FULL, i.Outcome.UNREACHED, i.Outcome.MOOT):
            call.may_run = server
        call.erred = out is i.Outcome.ERROR
        if busy_line:
            self._finish(call)
        else:
            self._route(call)

    def _left(self, name: str) -> None:
        call = self.calls.pop(name, None)
        self.held.pop(name, None)
        if call and call.attempt_at and not call.stands and self.settings.may_cancel:
            self.actions.append(i.Cancel(name, call.tries - 1))

    # Occupancy, throttle and token gate

    def _occupancy(self, server: Server, window: int) -> float:
        """p, from the waits heard and the age of the oldest set-up still unanswered."""
        wait = server.mean_wait(window)
        # Past every aim, at a server that has spoken since: a lost set-up, which tells nothing of the queue.
        lost = self.now - self.tightest
        said = server.heard - self.wait_at_pmax
        oldest = next(
            (t for t in server.open_attempts.values() if t > server.answered and (t > lost or t > said)), None
        )
        if oldest is not None:
            wait = max(wait, self.now - oldest - (self.floor if self.floor < float("inf") else 0.0))
        faults, servers = self.all_faults  # what most servers show is no trouble of this one
        own = server.faults - max(0.0, faults - server.faults) / max(1, servers - 1)
        return PMAX * max(wait / self.wait_at_pmax, own / FAULT_SHARE)

    def _tick(self) -> None:
        self.actions.append(i.WakeAfter(self.interval, TICK))
        weight = self.interval / min(max(self.now - self.began, YOUNG * self.interval), HISTORY)
        self.rate += weight * (self.arrivals / self.interval - self.rate)
        self.arrivals = 0
        for name in [s.id for s in self.servers.values() if s.gone and not s.open_attempts]:
            if self.now - (self.servers[name].told_off or self.now) > FORGET:
                del self.servers[name]
        alive = [s.faults for s in self.servers.values() if s.told_off is None]
        self.all_faults = sum(alive), len(alive)
        for server in self.servers.values():
            self._adjust(server)
        if self.settings.may_cancel:
            for server in self.servers.values():
                self._rescue(server)

    def _rescue(self, server: Server) -> None:
        """Cancels set-ups that will not be answered while there is time for another elsewhere.

        All at a server silent since they went out (a hang, a dead line, a freeze; a slow server still
        answers others), and a lost one, overtaken by an answer to a later set-up."""
        if not any(s.throttle and s is not server and s.told_off is None for s in self.servers.values()):
            return
        silence = max(self.wait_at_pmax, SILENT_GAPS * server.gap)
        for (name, attempt), sent in list(server.open_attempts.items()):
            call = self.calls.get(name)
            if call is None or call.revoked == attempt:
                continue
            silent = not server.throttle and server.heard <= sent and self.now - sent >= silence
            lost = self._lost(server, sent)
            limit = call.until if lost else call.arrived + call.call_class.aim
            if (silent or lost) and self.now + self.settings.release_guard + 2 * self.floor < limit:
                call.revoked = attempt
                self.actions.append(i.Cancel(name, attempt))

    def _lost(self, server: Server, sent: float) -> bool:
        """A server takes set-ups in turn: one sent well before the latest answered, or out past every
        aim while no wait was heard there, is lost."""
        return sent + self.interval < server.answered or sent + self.tightest < server.well

    def _adjust(self, server: Server) -> None:
        server.close_interval(self.interval)
        if not server.throttle:
            server.faults *= 1.0 - 1.0 / NWAIT_FAULTS  # or no attempt would ever try it again
        carried = self._carried(server)
        if server.throttle:
            span = max(PEAK_INTERVALS * self.interval, PEAK_SENDS / max(carried, EPS))
            server.rate += (server.stood_now - server.rate * self.interval) / span
            while server.peaks and server.peaks[-1][1] <= server.rate:
                server.peaks.pop()
            server.peaks.append((self.now, server.rate))
        server.stood_now = 0
        while server.peaks and server.peaks[0][0] < self.now - PEAK_SPAN:
            server.peaks.popleft()
        server.max_gate_rate = max(server.peaks[0][1] if server.peaks else 0.0, carried)
        rmin = server.max_gate_rate * RMIN_SHARE
        if not server.eased:
            server.gate_rate = server.max_gate_rate
        step = max(WT * self.interval, STEP_SENDS / max(carried, EPS))
        if server.throttle and (p := self._occupancy(server, WM)) > PMAX:
            server.before, server.shut_at = (server.gate_rate, server.eased), self.now
            server.throttle, server.zero, server.eased = 0, 0, True
            server.gate_rate = max(rmin, server.gate_rate * PTERM_MAX / p)
            if self.now - server.logged >= HISTORY:
                server.logged = self.now
                self.actions.append(i.Log(f"{server.id} shut, occupancy {p:.1f}"))
        elif not server.throttle:
            server.zero += 1
            if self._occupancy(server, WC) < PMAX:
                server.throttle = 1
                if server.proven < server.shut_at - WM * self.interval and server.faults < FAULT_SHARE:
                    # a lost answer, no load: nothing to ease in
                    server.gate_rate, server.eased = server.before
                    server.gate_rate = server.gate_rate if server.eased else server.max_gate_rate
        if server.throttle:
            calm = PMAX * server.latest / self.wait_at_pmax < IDLE and server.heard > server.shut_at
            pace = max(WT * self.interval, server.gap) if calm else step  # of loosening halfway
            server.gate_rate += (server.max_gate_rate - server.gate_rate) * (
                1.0 - 0.5 ** (self.interval / pace)
            )
            server.eased = server.gate_rate < EASED_SHARE * server.max_gate_rate
        elif self._gated(server) and server.zero % WT == 0:
            p = self._occupancy(server, WT)
            server.gate_rate = (
                min(max(rmin, server.gate_rate * PTERM_MAX / p), server.max_gate_rate)
                if p > 0
                else server.max_gate_rate
            )
        server.gate.fill(server.gate_rate * self.interval, server.gate_rate * step)

    def _gated(self, server: Server) -> bool:
        return not server.throttle and server.zero > NWAIT - WM

    # Arrival, routing, answers

    def _arrive(self, event: i.CallArrived) -> None:
        cls = self.classes.get(event.class_name) or self.settings.classes[0]
        self.seen += 1
        self.mean_worth += (cls.worth - self.mean_worth) / self.seen
        call = self.calls[event.call] = Call(event, cls, self.now, self.settings.try_limit)
        call.arrived = self._first_try(event, cls)
        self.arrivals += call.arrived == self.now  # redials are no measure of what servers carry
        self._route(call)

    def _first_try(self, event: i.CallArrived, cls: i.CallClass) -> float:
        """When this caller first tried: a caller that dials the same number again is known by it."""
        key = (event.number, event.class_name)
        if event.number is None:
            return self.now
        while self.tried and self.now - next(iter(self.tried.values())) > self.longest:
            del self.tried[next(iter(self.tried))]
        if self.now - self.tried.get(key, -self.longest) > cls.give_up:
            self.tried.pop(key, None)
            self.tried[key] = self.now
        return self.tried[key]

    def _usable(self, call: Call) -> list[Server]:
        """Servers that the rules and the call's class let it go to now."""
        return [s for s in self.servers.values() if self._allowed(call, s)]

    def _route(self, call: Call) -> None:
        if self.now >= call.until - EPS or call.tries >= call.limit:
            return self._finish(call)
        usable = self._usable(call)
        if self.now < call.not_before:
            alive = [s for s in self.servers.values() if s.told_off is None and s.throttle]
            if alive and call.not_before < call.until:
                return self._hold(call, call.not_before - self.now)
            return self._finish(call)
        doomed = self.now + self.wait_at_pmax > call.arrived + call.call_class.aim
        if doomed:  # too late to earn in full: it yields to calls that are not, wherever there is pressure
            usable = [s for s in usable if not s.eased and self._occupancy(s, WM) < LOW]
        again = usable
        usable = [s for s in usable if s is not call.last] or usable  # redrawn after a failed attempt
        sound = [s for s in usable if s.errors < ERRING]
        # An error costs next to nothing and says nothing of the next: better there again than not at all.
        for servers in (sound, usable, again if call.erred else []):
            if server := self._open(call, servers):
                return self._send(call, server)
        first = next((s for s in usable if s.number == call.destination), None)
        if usable and not doomed and (call.tries or call.call_class.worth >= DEAR * self.mean_worth):
            passing = [
                s for s in usable if not ((s.eased and s.throttle) or self._gated(s)) or s.gate.ready()
            ]
            if passing:
                calmest = min(passing, key=lambda s: self._occupancy(s, WM))
                return self._send(call, first if first in passing else calmest)
        self._finish(call)

    def _open(self, call: Call, servers: list[Server]) -> Server | None:
        """The first choice while it is open, else one with a token: the one that last worked, or any."""
        for first in sorted(
            (s for s in servers if s.number == call.destination), key=lambda s: self.now >= s.left_at
        ):
            if first.throttle and (not first.eased or first.gate.ready() or self._idle(first)):
                return first
        others = [
            s for s in servers if s.throttle and s.gate.ready()
        ]  # shed traffic must not topple the next
        others = others or [s for s in servers if self._idle(s)]
        others = [s for s in others if self.now < s.left_at] or others
        if others:
            server = next((s for s in others if s.id == self.sticky), None) or self.rng.choice(others)
            self.sticky = server.id
            return server
        return None

    def _idle(self, server: Server) -> bool:
        """Room beyond the tokens: next to no wait by enough words, and hardly a set-up out to tell of one."""
        few = max(1.0, self._carried(server) * self.wait_at_pmax)
        told = sum(server.words) >= WT
        return (
            told
            and bool(server.throttle)
            and self._occupancy(server, WT) < IDLE
            and len(server.open_attempts) <= few
        )

    def _hold(self, call: Call, delay: float) -> None:
        self.held[call.id] = call
        self.actions.append(i.WakeAfter(delay, HOLD))

    def _release_held(self) -> None:
        for call in list(self.held.values()):
            if self.now >= min(call.not_before, call.until):
                del self.held[call.id]
                self._route(call)

    def _finish(self, call: Call) -> None:
        """The one final answer, at once."""
        if self.calls.pop(call.id, None) is None:
            return
        self.held.pop(call.id, None)
        if call.may_run:
            self.actions.append(i.Fail(call.id))
        else:
            advice = min(self.settings.max_advice, self.interval) if self.settings.may_advise else 0.0
            self.actions.append(i.Refuse(call.id, advice))

    # Guards: every send passes here

    def _allowed(self, call: Call, server: Server) -> bool:
        if server.told_off is not None or server.free <= 0 or server.number == self.settings.own_number:
            return False
        if call.call_class.pools is not None and server.number not in call.call_class.pools:
            return False
        if call.transit and server.number != call.destination:
            return False
        if call.may_run and call.call_class.effect != "free" and (
            call.call_class.effect == "single_shot" or server is not call.may_run
            or self.now > call.arrived + call.call_class.dedup_window
        ):  # fmt: skip
            return False
        return self.now >= server.cold_until or self._cold_room(server)

    def _cold_room(self, server: Server) -> bool:
        """A token for a cold server: this front's share of what a like server carries, evenly in time.

        Over any stretch of tip_after all fronts together send what they make in it and what was not
        yet stale before it; the margin covers both, whatever their number."""
        age = min(1.0, max(0.0, self.now - server.started) / self.settings.warm_after)
        share = self.settings.cold_share + (1.0 - self.settings.cold_share) * COLD_RAMP * age
        allowed = self._carried(server) * share * self.settings.tip_multiple * COLD_MARGIN
        stale = (1.0 - COLD_MARGIN) * self.settings.tip_after
        server.cold.fill(allowed * (self.now - server.cold_at), allowed * stale)
        server.cold_at = self.now
        return server.cold.ready()

    def _carried(self, server: Server) -> float:
        """Calls a second that a server of this size would take of this front's, by its own history."""
        size = sum(s.size for s in self.servers.values() if s.told_off is None)
        return self.rate * server.size / max(size, server.size)

    def _send(self, call: Call, server: Server) -> None:
        if call.attempt_at or self.now < call.not_before or not self._allowed(call, server):
            self.actions.append(i.Log(f"guard: {call.id} to {server.id}"))  # costs this call, not the front
            return None if call.attempt_at else self._finish(call)
        if self.now < server.cold_until:
            server.cold.take()
        server.gate.take()
        call.attempt_at = call.last = server
        server.open_attempts[(call.id, call.tries)] = self.now
        server.free -= 1.0
        call.tries += 1
        return self.actions.append(i.Send(call.id, server.id))
