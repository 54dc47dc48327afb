"""Verdicts: findings of one instance that all instances apply until they end. Replicated, pure.

Nothing here depends on a clock: a verdict has a time to live, and the leader lifts it when that has elapsed
by the leader's monotonic clock.
"""

from __future__ import annotations

from msgspec import Struct, field

FAILED, OVERLOADED, BLOCKED, GAPPED = "failed", "overloaded", "blocked", "gapped"
# Their subjects: a server, a server, a network of callers, a called number.
KINDS = (FAILED, OVERLOADED, BLOCKED, GAPPED)
MAX_VERDICTS = 1_024  # in effect at once
MAX_TTL_S = 86_400.0
MAX_REASON_LENGTH = 500  # characters of a verdict's reason


class IssueVerdict(Struct, frozen=True, tag="judge"):
    """Issues or renews a verdict of `origin` for `ttl` seconds, based on the last `evidence` seconds."""

    kind: str
    subject: str  # a server's name, a network of caller addresses, or a called number
    origin: str
    evidence: float
    ttl: float
    why: str = ""
    value: float = 0.0  # interval of a `gapped` verdict, in seconds


class LiftVerdict(Struct, frozen=True, tag="lift"):
    """Ends a verdict: it has expired, or an operator lifts it."""

    verdict: int
    by: str = ""


VerdictCommand = IssueVerdict | LiftVerdict


class Verdict(Struct, frozen=True):
    """A verdict in effect; `evidence` and `ttl` in seconds."""

    id: int
    kind: str
    subject: str
    origin: str
    evidence: float
    ttl: float
    why: str
    version: int  # of the list, when it was issued or last renewed
    index: int  # of that log entry
    value: float = 0.0


class VerdictsState(Struct):
    """The verdicts as written to a snapshot."""

    version: int = 0
    last: int = 0  # id given out last
    verdicts: list[Verdict] = field(default_factory=list)


class Verdicts:
    """The list of verdicts in effect; only `apply` changes it."""

    def __init__(self, state: VerdictsState | None = None) -> None:
        state = state or VerdictsState()
        self.version, self._last_id = state.version, state.last
        self._verdicts = {verdict.id: verdict for verdict in state.verdicts}

    def dump(self) -> VerdictsState:
        """The state for a snapshot."""
        return VerdictsState(self.version, self._last_id, list(self._verdicts.values()))

    @property
    def all(self) -> list[Verdict]:
        """In the order in which they were issued."""
        return list(self._verdicts.values())

    def get(self, verdict_id: int) -> Verdict | None:
        """The verdict with that id, or None if it is not in effect."""
        return self._verdicts.get(verdict_id)

    def subjects(self, *kinds: str) -> frozenset[str]:
        """Subjects of the verdicts of these kinds."""
        return frozenset(verdict.subject for verdict in self._verdicts.values() if verdict.kind in kinds)

    def gapped(self) -> dict[str, float]:
        """Called numbers that a verdict gaps, with the interval in seconds."""
        return {
            verdict.subject: verdict.value for verdict in self._verdicts.values() if verdict.kind == GAPPED
        }

    def apply(self, index: int, command: VerdictCommand) -> tuple[int, str]:
        """Applies the command of log entry `index`.

        Returns the verdict's id and an empty text, or 0 and the reason why nothing was changed.
        """
        if isinstance(command, LiftVerdict):
            if self._verdicts.pop(command.verdict, None) is None:
                return 0, f"no verdict {command.verdict} holds"
            self.version += 1
            return command.verdict, ""
        if command.kind not in KINDS or not command.subject:
            return 0, f"no kind of verdict: {command.kind!r}"
        if not 0 < command.ttl <= MAX_TTL_S:
            return 0, f"a verdict holds for up to {MAX_TTL_S:g} s: {command.ttl!r}"
        identity = (command.kind, command.subject)
        existing = next(
            (verdict for verdict in self._verdicts.values() if (verdict.kind, verdict.subject) == identity),
            None,
        )
        if existing is None and len(self._verdicts) >= MAX_VERDICTS:
            return 0, f"{MAX_VERDICTS} verdicts hold: lift some first"
        if existing is None:
            self._last_id += 1
        self.version += 1
        verdict_id = existing.id if existing else self._last_id
        self._verdicts[verdict_id] = Verdict(
            id=verdict_id,
            kind=command.kind,
            subject=command.subject,
            origin=command.origin,
            evidence=command.evidence,
            ttl=command.ttl,
            why=command.why[:MAX_REASON_LENGTH],
            version=self.version,
            index=index,
            value=command.value,
        )
        return verdict_id, ""
