"""What reaches the core, and what the core asks of its ports.

Fronts and connections put words into the inbox; the engine turns them into the module's events. A word may
come late or twice: the ledger takes that without harm.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from harepick import interface as i


class Caller(Protocol):
    """Where a call came from; takes its answers. None of these may block."""

    gone: bool  # set by the front in the moment it reads that the caller has left or given the set-up up

    def stands(self, description: bytes) -> None: ...

    def refused(self, stay_away: float) -> None: ...

    def failed(self) -> None: ...

    def over(self, *, cut: bool) -> None:
        """A standing call has ended."""

    def duplicate_id(self) -> None:
        """Another call is open under this one's id: it goes no further, and no answer will come."""


@dataclass(slots=True)
class Offer:
    """A call as it came in. `request` is the front's own and goes to the servers' port as it is."""

    call: str
    class_name: str
    destination: int
    number: int | None
    deadline: float
    caller: Caller
    request: object
    redial: bool = False
    again: bool = False
    called: str = ""  # the number called, as the front's numbering plan writes it
    source: str = ""  # the caller's address, where the front tells it


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a call to a server, from the decision until its end."""

    call: str
    number: int
    server: str
    placed: float
    deadline: float
    request: object
    guard: Callable[[Attempt, float], bool] = field(repr=False)
    sent: float | None = None  # when its bytes left
    checked_at: float = 0.0  # when a gate let it leave, right before the bytes did
    ended: bool = False
    revoked: bool = False

    def may_send(self, now: float) -> bool:
        """Asked right before the bytes leave: the time to connect or a full buffer may have come between."""
        return self.guard(self, now)


class Servers(Protocol):
    """The port towards the setup servers. None of these may block."""

    def place(self, attempt: Attempt) -> i.Outcome | None:
        """Starts an attempt; an outcome if it is over at once."""

    def cancel(self, attempt: Attempt) -> bool:
        """Gives an attempt up; True if that is done, else an `AttemptOver` comes once it is."""

    def release(self, server: str, call: str) -> None:
        """Ends a call that stands, or stood up too late."""


class Gate(Protocol):
    """Whether this instance may act on what it knows; asked in the moment before it does."""

    def closed_for(self) -> float | None:
        """None: open. Else nothing new may start, and callers are told to come back after so many seconds."""

    def may_send(self, server: str) -> bool:
        """Whether a set-up to this server may leave now."""

    def record_sent(self, attempt: Attempt) -> None:
        """It left; `attempt.checked_at` tells when the last look was."""


class Screen(Protocol):
    """What an operator said of numbers, asked before a call is booked (number gapping)."""

    def retry_after(self, called: str, class_name: str, now: float, source: str = "") -> float | None:
        """None: the call goes on. Else it is refused; its caller is to come back after so many seconds.
        `source`: the caller's address, where the front tells it."""

    def ended(self, called: str, good: bool) -> None:
        """The final answer of a call that went on: it stands, or was refused or failed."""


# Words from the fronts


@dataclass(slots=True)
class CallerGone:
    """A caller gives its set-up up, or releases a standing call.

    A set-up is given up by the `caller` that sent it alone; a call that stands belongs to no connection, so
    that anyone who names it may release it."""

    call: str
    caller: Caller | None = None


# Words from the servers' port


@dataclass(slots=True)
class Answered:
    call: str
    attempt: int  # -1: of none that is open
    server: str
    description: bytes
    lasting: bool = True  # False: an answer that is over as soon as it is given


@dataclass(slots=True)
class AttemptOver:
    attempt: Attempt
    outcome: i.Outcome
    cause: int = 0


@dataclass(slots=True)
class CallOver:
    """A standing call was released by its server."""

    call: str
    server: str
    cut: bool


@dataclass(slots=True)
class ServerDied:
    """Every call that stood at this server before `at` is cut."""

    server: str
    at: float


@dataclass(slots=True)
class ControllerEvent:
    """News that go to the module as they are: server lists, free lines."""

    event: i.ServerList | i.Probed


@dataclass(slots=True)
class ConcurrencyLimit:
    """So many calls may be under way at a server from here; infinitely many: no bound."""

    server: str
    limit: float


@dataclass(slots=True)
class ReplaceSettings:
    """Settings read again at SIGHUP: for what arrives from now on."""

    settings: i.Settings
    capacity: int  # calls that may be open at once


Message = (
    Offer
    | CallerGone
    | Answered
    | AttemptOver
    | CallOver
    | ServerDied
    | ControllerEvent
    | ConcurrencyLimit
    | ReplaceSettings
)
