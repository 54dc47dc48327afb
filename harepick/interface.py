"""Types, events and actions of the decision module `harepick.decide`.

Times are seconds on the host's clock; durations are seconds. A host builds `Settings`, creates one
`Controller` per front and feeds it batches of events; the controller answers with actions.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"  # the call stood and has ended
    ERROR = "error"  # all lines of the number busy, or a fault in signalling
    FULL = "full"  # turned away by a full processor or pool; proves that nothing ran
    TIMEOUT = "timeout"
    UNREACHED = "unreached"  # no connection; proves that nothing ran
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # not sent at all


class ListKind(Enum):
    """What a server list event carries."""

    CHANGES = "changes"
    ALL = "all"
    REMEMBERED = "remembered"
    REFUSED = "refused"  # asking for the list failed; no entries


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of calls."""

    name: str
    aim: float  # wanted to stand within
    give_up: float  # how long a caller goes on trying
    worth: float
    late_share: float = 0.0  # share of the worth earned past the aim
    effect: str = "free"  # free, guarded or single_shot
    pools: tuple[int, ...] | None = None  # server numbers it may use; None: any
    dedup_window: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and the calls a second, over all fronts, that lie within its share."""

    name: str
    allowance: float
    share: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a front is told at its start."""

    me: int
    fronts: int
    classes: tuple[CallClass, ...]
    cold_share: float  # a server that comes up can do at least this share of its work
    warm_after: float  # and all of it after this time
    tip_multiple: float  # a cold server falls over at this multiple of what it can do
    tip_after: float  # sent for this long
    drain_grace: float
    answer_grace: float
    release_guard: float  # wait after a time-out, reset or cancel
    try_limit: int
    connect_timeout: float = 0.5
    resend_after: float = 0.0
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    may_cancel: bool = False
    may_probe: bool = False
    may_tell: bool = False
    may_advise: bool = False  # callers can be told when to come back
    max_advice: float = 0.0
    marks_redials: bool = False
    own_number: int = -1  # own exchange, where there is one
    must_ask: bool = False  # the list is sent only to those who ask
    ask_within: float = 10.0
    report_fields: tuple[str, ...] = ()
    zone: str = ""


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of the server list."""

    server: str
    number: int
    state: str  # ready, draining or gone
    size: float = 1.0
    started: float = 0.0  # clock time of the last start; 0: long ago
    zone: str = ""


# Events


@dataclass(frozen=True, slots=True)
class ServerList:
    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class CallArrived:
    call: str
    destination: int
    deadline: float
    class_name: str
    tenant: str = ""
    redial: bool = False
    in_transit: bool = False
    number: int | None = None  # the number dialled, where told: a caller that dials again dials it again


@dataclass(frozen=True, slots=True)
class CallStands:
    call: str
    attempt: int
    server: str
    elapsed: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    call: str
    attempt: int
    server: str
    outcome: Outcome
    elapsed: float
    final: bool
    cause: int = 0
    told_wait: float = 0.0  # a full processor's own word on its wait
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CallerLeft:
    call: str


@dataclass(frozen=True, slots=True)
class Woken:
    token: int


@dataclass(frozen=True, slots=True)
class SettingsReplaced:
    """New settings, from a reload: for what arrives from now on. Open calls keep their class and attempts."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class Probed:
    server: str
    outcome: Outcome
    elapsed: float
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PeerNote:
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
    call: str
    server: str
    timeout: float = 0.0  # 0: until the caller gives up


@dataclass(frozen=True, slots=True)
class Cancel:
    call: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    call: str
    come_back: float = 0.0  # 0: no advice


@dataclass(frozen=True, slots=True)
class Fail:
    call: str


@dataclass(frozen=True, slots=True)
class WakeAfter:
    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class Log:
    text: str


@dataclass(frozen=True, slots=True)
class Probe:
    server: str


@dataclass(frozen=True, slots=True)
class Tell:
    data: bytes
    peer: int = -1  # -1: all


@dataclass(frozen=True, slots=True)
class Subscribe:
    active: bool = True


Action = Send | Cancel | Refuse | Fail | WakeAfter | Log | Probe | Tell | Subscribe
