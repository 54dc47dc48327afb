"""Types, events and actions of the decision module `harepick.decide`.

Times are seconds on the host's clock; durations are seconds. A host builds `Settings`, creates one
`Controller` per instance and passes it batches of events; the controller returns actions.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

# How long after a reload callers may still use what the settings before it allowed. Those of the platform use
# the new settings from 1.2 s after it.
RELOAD_GRACE_S = 2.0


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"  # the call stood and has ended normally
    ERROR = "error"  # all lines of the number are busy, or a signalling fault
    FULL = "full"  # rejected by a full processor or pool: the attempt took no effect
    TIMEOUT = "timeout"  # no answer in time; it may have taken effect
    UNREACHED = "unreached"  # no connection: the attempt took no effect
    RESET = "reset"  # the connection broke; it may have taken effect
    CANCELLED = "cancelled"  # cancelled by us; it may have taken effect
    MOOT = "moot"  # never sent, or declined with SIP status 480: the attempt took no effect


class ListKind(Enum):
    """What the entries of a `ServerList` event are."""

    CHANGES = "changes"  # only the servers that changed
    ALL = "all"  # the whole list
    REMEMBERED = "remembered"  # the whole list as last known, at the start
    REFUSED = "refused"  # the subscription was refused; no entries


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of calls, its time limits and its worth relative to other classes."""

    name: str
    aim: float  # seconds within which a call should stand
    give_up: float  # seconds for which a caller keeps trying
    worth: float
    late_share: float = 0.0  # share of the worth that a call earns past the aim
    effect: str = "free"  # free: may be repeated anywhere; guarded: at the same server; single_shot: never
    pools: tuple[int, ...] | None = None  # numbers of the servers that it may use; None: any
    dedup_window: float = 0.0  # seconds in which a server recognises a repeated guarded call


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and the calls a second, over all instances, that its share allows."""

    name: str
    allowance: float
    share: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one instance.

    The `may_*` flags tell which actions the host supports.
    """

    me: int  # number of this instance
    fronts: int  # instances in the fleet
    classes: tuple[CallClass, ...]
    cold_share: float  # a server that has just started carries at least this share of its capacity
    warm_after: float  # and all of it after this many seconds
    tip_multiple: float  # a cold server collapses at this multiple of its present capacity
    tip_after: float  # offered for this many seconds
    drain_grace: float
    answer_grace: float  # seconds past its deadline within which a final answer still counts
    release_guard: float  # seconds without an attempt after a time-out, reset or cancel
    try_limit: int  # attempts per call
    connect_timeout: float = 0.5
    resend_after: float = 0.0
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    may_cancel: bool = False
    may_probe: bool = False
    may_tell: bool = False  # the host supports `Tell`
    may_advise: bool = False  # callers can be told when to try again
    max_advice: float = 0.0  # longest such advice, in seconds
    marks_redials: bool = False  # `CallArrived.redial` is filled in
    own_number: int = -1  # server number of the instance's own exchange, to which no call is sent; -1: none
    must_ask: bool = False  # the server list is sent to subscribers only
    ask_within: float = 10.0
    report_fields: tuple[str, ...] = ()  # names of the values in a server's report
    zone: str = ""  # where the instance is


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One row of the server list."""

    server: str
    number: int
    state: str  # ready, draining or gone
    size: float = 1.0
    started: float = 0.0  # time of the last start; 0: long ago
    zone: str = ""


# Events


@dataclass(frozen=True, slots=True)
class ServerList:
    """The server list, or changes to it."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A new call from a caller."""

    call: str  # id
    destination: int  # number of the server of first choice; -1: none
    deadline: float  # when its caller gives up
    class_name: str
    tenant: str = ""
    redial: bool = False
    in_transit: bool = False  # may only go to its destination
    number: int | None = None  # the number dialled, if known: it recognises a redial


@dataclass(frozen=True, slots=True)
class CallStands:
    """An attempt was answered: the call stands. `elapsed`: seconds since the send."""

    call: str
    attempt: int
    server: str
    elapsed: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt, or the call that stands through it, has ended. `elapsed`: seconds since it began."""

    call: str
    attempt: int
    server: str
    outcome: Outcome
    elapsed: float
    final: bool  # the call is over: no further attempt and no answer
    # FULL: 1 no free line, 3 full processor; ERROR: 4 all lines of the number busy; others are not used
    cause: int = 0
    told_wait: float = 0.0  # seconds of wait that a full processor reported
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller has given the call up."""

    call: str


@dataclass(frozen=True, slots=True)
class Woken:
    """The timer of a `WakeAfter` with this token is due."""

    token: int


@dataclass(frozen=True, slots=True)
class SettingsReplaced:
    """New settings after a reload, for calls that arrive from now on; open calls keep theirs."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class Probed:
    """The result of a probe, or a report that a server sent on its own."""

    server: str
    outcome: Outcome
    elapsed: float
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PeerNote:
    """A message from another instance."""

    sender: int
    data: bytes


Event = (
    ServerList
    | CallArrived
    | CallStands
    | AttemptEnded
    | CallerLeft
    | Woken
    | Probed
    | PeerNote
    | SettingsReplaced
)


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Starts the next attempt of a call."""

    call: str
    server: str
    timeout: float = 0.0  # seconds; 0: until the caller gives up


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels an open attempt."""

    call: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: no attempt took effect, the caller may try again."""

    call: str
    come_back: float = 0.0  # seconds; 0: no advice


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: an attempt may have taken effect."""

    call: str


@dataclass(frozen=True, slots=True)
class WakeAfter:
    """Asks for a `Woken` event with this token after `delay` seconds."""

    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class Log:
    """Writes a line to the host's log."""

    text: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Asks a server for a report."""

    server: str


@dataclass(frozen=True, slots=True)
class Tell:
    """Sends a message to another instance."""

    data: bytes
    peer: int = -1  # -1: all


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Asks for the server list, or ends the subscription."""

    active: bool = True


Action = Send | Cancel | Refuse | Fail | WakeAfter | Log | Probe | Tell | Subscribe
