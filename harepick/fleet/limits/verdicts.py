"""Verdicts: what one controller found out and all honour until it ends. Replicated, pure.

Nothing here depends on a clock: a verdict has a time to live, and whoever leads lifts it when that is over by
its own monotonic clock.
"""

from __future__ import annotations

from msgspec import Struct, field

FAILED, OVERLOADED, BLOCKED, GAPPED = "failed", "overloaded", "blocked", "gapped"
KINDS = (FAILED, OVERLOADED, BLOCKED, GAPPED)  # of a server, a server, a caller's network, a number called
MOST = 1_024  # verdicts that hold at once
MAX_TTL = 86_400.0
MAX_TEXT = 500


class IssueVerdict(Struct, frozen=True, tag="judge"):
    """A verdict by `origin`, from what it saw in the last `evidence` seconds; holds for `ttl` seconds."""

    kind: str
    subject: str  # a server's name, or a network of caller addresses
    origin: str
    evidence: float
    ttl: float
    why: str = ""
    value: float = 0.0  # of `gapped`: the interval, in seconds


class LiftVerdict(Struct, frozen=True, tag="lift"):
    """A verdict's end: its time is over, or an operator says so."""

    verdict: int
    by: str = ""


VerdictCommand = IssueVerdict | LiftVerdict


class Verdict(Struct, frozen=True):
    id: int
    kind: str
    subject: str
    origin: str
    evidence: float
    ttl: float
    why: str
    version: int  # of the list, when it came in or was renewed last
    index: int
    value: float = 0.0


class VerdictsState(Struct):
    version: int = 0
    last: int = 0
    verdicts: list[Verdict] = field(default_factory=list)


class Verdicts:
    """Owns the list; `apply` is the one way to change it."""

    def __init__(self, state: VerdictsState | None = None) -> None:
        state = state or VerdictsState()
        self.version, self._last = state.version, state.last
        self._verdicts = {verdict.id: verdict for verdict in state.verdicts}

    def dump(self) -> VerdictsState:
        return VerdictsState(self.version, self._last, list(self._verdicts.values()))

    @property
    def all(self) -> list[Verdict]:
        """In the order in which they came."""
        return list(self._verdicts.values())

    def get(self, number: int) -> Verdict | None:
        return self._verdicts.get(number)

    def subjects(self, *kinds: str) -> frozenset[str]:
        return frozenset(v.subject for v in self._verdicts.values() if v.kind in kinds)

    def gapped(self) -> dict[str, float]:
        """Numbers that a verdict gaps, with the interval."""
        return {v.subject: v.value for v in self._verdicts.values() if v.kind == GAPPED}

    def apply(self, index: int, command: VerdictCommand) -> tuple[int, str]:
        """The verdict's number, or 0 and why nothing was changed."""
        if isinstance(command, LiftVerdict):
            if self._verdicts.pop(command.verdict, None) is None:
                return 0, f"no verdict {command.verdict} holds"
            self.version += 1
            return command.verdict, ""
        if command.kind not in KINDS or not command.subject:
            return 0, f"no kind of verdict: {command.kind!r}"
        if not 0 < command.ttl <= MAX_TTL:
            return 0, f"a verdict holds for up to {MAX_TTL:g} s: {command.ttl!r}"
        same = (command.kind, command.subject)
        known = next((v for v in self._verdicts.values() if (v.kind, v.subject) == same), None)
        if known is None and len(self._verdicts) >= MOST:
            return 0, f"{MOST} verdicts hold: lift some first"
        if known is None:
            self._last += 1
        self.version += 1
        number = known.id if known else self._last
        self._verdicts[number] = Verdict(
            id=number,
            kind=command.kind,
            subject=command.subject,
            origin=command.origin,
            evidence=command.evidence,
            ttl=command.ttl,
            why=command.why[:MAX_TEXT],
            version=self.version,
            index=index,
            value=command.value,
        )
        return number, ""
