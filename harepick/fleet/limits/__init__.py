"""Rate limits and verdicts of the whole fleet: commands and replicated state. `docs/design/limits.md`."""

from harepick.fleet.limits.shares import (
    LimitCommand,
    RefusedSplitError,
    ReleaseOwed,
    Shares,
    SharesState,
    Split,
)
from harepick.fleet.limits.verdicts import (
    IssueVerdict,
    LiftVerdict,
    Verdict,
    VerdictCommand,
    Verdicts,
    VerdictsState,
)

__all__ = [
    "IssueVerdict",
    "LiftVerdict",
    "LimitCommand",
    "RefusedSplitError",
    "ReleaseOwed",
    "Shares",
    "SharesState",
    "Split",
    "Verdict",
    "VerdictCommand",
    "Verdicts",
    "VerdictsState",
]
