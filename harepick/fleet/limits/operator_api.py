"""What operators ask of limits and verdicts, as methods of the tools' port (`docs/protocol/operators.md`)."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from harepick.fleet.limits.manager import LimitManager
from harepick.fleet.limits.settings import network
from harepick.fleet.limits.verdicts import BLOCKED, FAILED, MAX_TTL, OVERLOADED, IssueVerdict, LiftVerdict
from harepick.settings import SettingsError
from harepick.store.operator_api import BadRequestError, OutcomeError, argument_number, argument_text
from harepick.store.replica import Replica
from harepick.store.state_machine import Done, Envelope, Refused, StepApplied

ASKED = (FAILED, OVERLOADED, BLOCKED)
Answer = Callable[[dict[str, Any], float], Awaitable[Any]]


class LimitApi:
    """`methods` go beside those of the store."""

    def __init__(
        self, replica: Replica, steward: LimitManager, servers: Callable[[], frozenset[str]]
    ) -> None:
        self._replica, self._steward, self._servers = replica, steward, servers
        self.methods: dict[str, Answer] = {
            "limit_list": self.list,
            "verdict_judge": self.judge,
            "verdict_lift": self.lift,
        }

    async def list(self, arguments: dict[str, Any], wait: float) -> dict[str, Any]:
        """From the leader, which knows the demand; with `stale`, from whoever is asked."""
        if not arguments.get("stale"):
            await self._replica.read(wait)
        return self._steward.status()

    async def judge(self, arguments: dict[str, Any], wait: float) -> dict[str, Any]:
        """Answered once all that may act honour the verdict."""
        kind, subject = argument_text(arguments, "kind"), argument_text(arguments, "subject")
        if kind not in ASKED:  # a number is gapped by `gap set`
            raise BadRequestError(f"argument kind is none of {', '.join(ASKED)}: {kind!r}")
        await self._replica.read(wait)
        if kind == BLOCKED:
            try:
                subject = network(subject, "subject")
            except SettingsError as error:
                raise BadRequestError(str(error).replace("setting", "argument", 1)) from None
        elif subject not in self._servers():
            raise OutcomeError("no_machine", f"no server {subject!r}")
        ttl = arguments.get("ttl", 60.0)
        if isinstance(ttl, bool) or not isinstance(ttl, int | float) or not 0 < ttl <= MAX_TTL:
            raise BadRequestError(f"argument ttl is not up to {MAX_TTL:g} s: {ttl!r}")
        judge = IssueVerdict(
            kind,
            subject,
            argument_text(arguments, "by", ""),
            0.0,
            float(ttl),
            argument_text(arguments, "why", ""),
        )
        return await self._change(arguments, judge, wait)

    async def lift(self, arguments: dict[str, Any], wait: float) -> dict[str, Any]:
        body = LiftVerdict(argument_number(arguments, "verdict"), argument_text(arguments, "by", ""))
        return await self._change(arguments, body, wait)

    async def _change(
        self, arguments: dict[str, Any], body: IssueVerdict | LiftVerdict, wait: float
    ) -> dict[str, Any]:
        session, number = argument_text(arguments, "session", ""), argument_number(arguments, "number", 0)
        match await self._replica.change(Envelope(session, number, body), wait):
            case Done(verdict, _):
                return {"verdict": verdict}
            case StepApplied(_):
                return {"verdict": body.verdict if isinstance(body, LiftVerdict) else 0}
            case Refused(text):
                raise OutcomeError("refused", text)
        raise OutcomeError("lost", "the leader has gone; whether it took effect is not known: ask again")
