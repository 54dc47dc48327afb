"""Limits and verdicts that hold for the whole fleet. `docs/design/limits.md`."""

from harepick.fleet.limits.shares import LimitCommand, RefusedSplitError, Settle, Shares, SharesState, Split
from harepick.fleet.limits.verdicts import Judge, Lift, Verdict, VerdictCommand, Verdicts, VerdictsState

__all__ = [
    "Judge",
    "Lift",
    "LimitCommand",
    "RefusedSplitError",
    "Settle",
    "Shares",
    "SharesState",
    "Split",
    "Verdict",
    "VerdictCommand",
    "Verdicts",
    "VerdictsState",
]
