"""Methods of the operators' port for limits and verdicts (`docs/protocol/operators.md`)."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from harepick.fleet.limits.manager import LimitManager
from harepick.fleet.limits.settings import network
from harepick.fleet.limits.verdicts import BLOCKED, FAILED, MAX_TTL_S, OVERLOADED, IssueVerdict, LiftVerdict
from harepick.settings import SettingsError
from harepick.store.operator_api import BadRequestError, OutcomeError, argument_number, argument_text
from harepick.store.replica import Replica
from harepick.store.state_machine import Done, Envelope, Refused, StepApplied

OPERATOR_KINDS = (FAILED, OVERLOADED, BLOCKED)  # kinds of verdicts that operators issue
Answer = Callable[[dict[str, Any], float], Awaitable[Any]]


class LimitApi:
    """Lists limits and verdicts, and issues and lifts verdicts; `methods` are added to those of the store."""

    def __init__(
        self, replica: Replica, manager: LimitManager, servers: Callable[[], frozenset[str]]
    ) -> None:
        """`servers` returns the names of all configured servers."""
        self._replica, self._manager, self._servers = replica, manager, servers
        self.methods: dict[str, Answer] = {
            "limit_list": self.list,
            "verdict_judge": self.judge,
            "verdict_lift": self.lift,
        }

    async def list(self, arguments: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Limits and verdicts, read from the leader, which knows the demand; with `stale`, as known here."""
        if not arguments.get("stale"):
            await self._replica.read(timeout)
        return self._manager.status()

    async def judge(self, arguments: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Issues a verdict; answers once every instance that may act applies it.

        Raises `BadRequestError`, and `OutcomeError` if the server is unknown or the command is refused.
        """
        kind, subject = argument_text(arguments, "kind"), argument_text(arguments, "subject")
        if kind not in OPERATOR_KINDS:  # `gapped` is left out: operators gap a number by `gap set`
            raise BadRequestError(f"argument kind is none of {', '.join(OPERATOR_KINDS)}: {kind!r}")
        await self._replica.read(timeout)
        if kind == BLOCKED:
            try:
                subject = network(subject, "subject")
            except SettingsError as error:
                raise BadRequestError(str(error).replace("setting", "argument", 1)) from None
        elif subject not in self._servers():
            raise OutcomeError("no_machine", f"no server {subject!r}")
        ttl = arguments.get("ttl", 60.0)
        if isinstance(ttl, bool) or not isinstance(ttl, int | float) or not 0 < ttl <= MAX_TTL_S:
            raise BadRequestError(f"argument ttl is not up to {MAX_TTL_S:g} s: {ttl!r}")
        command = IssueVerdict(
            kind,
            subject,
            argument_text(arguments, "by", ""),
            0.0,
            float(ttl),
            argument_text(arguments, "why", ""),
        )
        return await self._change(arguments, command, timeout)

    async def lift(self, arguments: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Ends a verdict. Raises `OutcomeError` if it does not exist."""
        command = LiftVerdict(argument_number(arguments, "verdict"), argument_text(arguments, "by", ""))
        return await self._change(arguments, command, timeout)

    async def _change(
        self, arguments: dict[str, Any], command: IssueVerdict | LiftVerdict, timeout: float
    ) -> dict[str, Any]:
        session, number = argument_text(arguments, "session", ""), argument_number(arguments, "number", 0)
        match await self._replica.change(Envelope(session, number, command), timeout):
            case Done(verdict, _):
                return {"verdict": verdict}
            case StepApplied(_):
                return {"verdict": command.verdict if isinstance(command, LiftVerdict) else 0}
            case Refused(text):
                raise OutcomeError("refused", text)
        raise OutcomeError("lost", "leadership was lost; whether it took effect is not known: try again")
