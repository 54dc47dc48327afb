"""The messages into the core, and the protocols of its ports.

Listeners and connections put messages into the inbox; the engine turns them into events of the controller.
A message may come late or twice: the call table tolerates both.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from harepick import interface


class Caller(Protocol):
    """The origin of a call, which takes its answers. No method may block."""

    gone: bool  # the caller has left or given up its set-up; set as soon as that is read

    def established(self, description: bytes) -> None:
        """The call stands; `description` is the server's answer, unchanged."""

    def refused(self, retry_after: float) -> None:
        """The call is refused; the caller may try again after `retry_after` seconds (0: no advice)."""

    def failed(self) -> None:
        """The call has failed."""

    def ended(self, *, cut: bool) -> None:
        """The standing call has ended; `cut`: not by a normal release."""

    def duplicate_id(self) -> None:
        """Another call is open under this id: this one is dropped, and no answer follows."""


@dataclass(slots=True)
class Offer:
    """A new call. `request` is passed to the servers' port unchanged."""

    call: str
    class_name: str
    destination: int
    number: int | None
    deadline: float  # when the caller gives up
    caller: Caller
    request: object  # dropped once the call is not sent again
    request_bytes: int = 0  # memory that the request takes
    redial: bool = False  # passed to the controller
    again: bool = False  # the caller marked the set-up as a redial; not passed to the controller
    called_number: str = ""  # the number called, in the form of the numbering plan
    source: str = ""  # the caller's address, if known


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a call at a server, from the decision to its end. Times are clock seconds."""

    call: str
    number: int
    server: str
    placed_at: float  # when the controller decided on it
    deadline: float
    request: object
    send_check: Callable[[Attempt, float], bool] = field(repr=False)  # takes the attempt and the time
    sent: float | None = None  # when it was written to the connection
    checked_at: float = 0.0  # when `SendPermission` last allowed it, right before it was written
    ended: bool = False
    cancel_requested: bool = False  # a cancel was ordered; the server may still answer

    def may_send(self, now: float) -> bool:
        """Whether it may still be sent; asked right before it is written, as connecting may take time."""
        return self.send_check(self, now)


class ServersPort(Protocol):
    """The port to the setup servers. No method may block."""

    def place(self, attempt: Attempt) -> interface.Outcome | None:
        """Starts an attempt; returns its outcome if it ends at once, else None."""

    def cancel(self, attempt: Attempt) -> bool:
        """Cancels an attempt; True if that is done, else an `AttemptOver` follows."""

    def release(self, server: str, call: str) -> None:
        """Releases a call that stands, or was answered too late."""


class SendPermission(Protocol):
    """Tells whether this instance may accept calls and send set-ups, for example by a lease of the store.

    Checked right before a call is accepted and right before a set-up is written."""

    def closed_for(self) -> float | None:
        """None if calls may start; else the seconds after which callers are told to try again."""

    def may_send(self, server: str) -> bool:
        """Whether a set-up may be sent to this server now."""

    def record_sent(self, attempt: Attempt) -> None:
        """The attempt was sent; `attempt.checked_at` is the time of the last check."""


class Screen(Protocol):
    """Number gapping and limits, checked before a call is accepted."""

    def retry_after(self, called_number: str, class_name: str, now: float, source: str = "") -> float | None:
        """None if the call passes; else it is refused, and its caller may try again after these seconds.

        `source` is the caller's address, if known.
        """

    def record_outcome(self, called_number: str, succeeded: bool) -> None:
        """Reports the final answer of a call that passed; `succeeded` is True if the call stands."""


# Messages from the listeners


@dataclass(slots=True)
class CallerGone:
    """A caller gives up its set-up, or releases a standing call.

    A set-up can be given up only by the `caller` that sent it. A standing call belongs to no
    connection: any caller may release it by its id.
    """

    call: str
    caller: Caller | None = None


# Messages from the servers' port


@dataclass(slots=True)
class Answered:
    """A server has answered a set-up: the call stands there."""

    call: str
    attempt: int  # number of the attempt; -1: none is open on the connection
    server: str
    description: bytes
    lasting: bool = True  # the call stands until its release; False: a look-up, which ends with its answer


@dataclass(slots=True)
class AttemptOver:
    """An attempt has ended without an answer."""

    attempt: Attempt
    outcome: interface.Outcome
    cause: int = 0


@dataclass(slots=True)
class CallOver:
    """A standing call was ended by its server."""

    call: str
    server: str
    cut: bool  # not by a normal release


@dataclass(slots=True)
class ServerDied:
    """A server has died: its calls that stood at `died_at` (seconds, Unix time) or before are cut."""

    server: str
    died_at: float


@dataclass(slots=True)
class ControllerEvent:
    """An event passed to the controller as it is: a server list or a report of free lines."""

    event: interface.ServerList | interface.Probed


@dataclass(slots=True)
class ConcurrencyLimit:
    """The number of calls that this instance may have open at a server; infinity: no limit."""

    server: str
    limit: float


@dataclass(slots=True)
class ReplaceSettings:
    """New settings after SIGHUP, for calls that arrive from now on."""

    settings: interface.Settings
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
