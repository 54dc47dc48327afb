"""Methods of the operators' port for maintenance orders (`docs/protocol/operators.md`)."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import Any

from harepick.fleet.maintenance.manager import MaintenanceManager
from harepick.fleet.maintenance.orders import (
    CONTROLLER,
    SERVER,
    CancelOrder,
    FinishOrder,
    OrderCommand,
    RequestMaintenance,
)
from harepick.store.operator_api import BadRequestError, OutcomeError, argument_number, argument_text
from harepick.store.raft.core import NotLeaderError
from harepick.store.replica import Replica
from harepick.store.state_machine import Envelope, OrderChanged, Refused

MAX_PRIORITY = 100

Answer = Callable[[dict[str, Any], float], Awaitable[Any]]


def parse_machine(text: str) -> tuple[str, str]:
    """Kind and name from `server:NAME`, `controller:NAME` or a server's `NAME`. Raises `BadRequestError`."""
    kind, colon, name = text.partition(":")
    if not colon:
        kind, name = SERVER, text
    if kind not in (SERVER, CONTROLLER) or not name:
        raise BadRequestError(f"argument machine is no server:NAME or controller:NAME: {text!r}")
    return kind, name


class MaintenanceApi:
    """Requests, cancels, ends and lists orders; `methods` are added to those of the store."""

    def __init__(
        self, replica: Replica, manager: MaintenanceManager, servers: Callable[[], frozenset[str]]
    ) -> None:
        """`servers` returns the names of all configured servers, including draining ones."""
        self._replica, self._manager, self._servers = replica, manager, servers
        self.methods: dict[str, Answer] = {
            "maint_request": self.request,
            "maint_cancel": self.cancel,
            "maint_done": self.done,
            "maint_list": self.list,
        }

    async def request(self, arguments: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Requests maintenance of a server or controller.

        Raises `BadRequestError`, and `OutcomeError` if the machine is unknown or the command is refused.
        """
        kind, name = parse_machine(argument_text(arguments, "machine"))
        await self._replica.read(timeout)
        known = self._servers() if kind == SERVER else frozenset(self._replica.node.raft.membership.voters)
        if name not in known:
            raise OutcomeError("no_machine", f"no {kind} {name!r}; there are {', '.join(sorted(known))}")
        priority = arguments.get("priority", 0)
        if isinstance(priority, bool) or not isinstance(priority, int) or abs(priority) > MAX_PRIORITY:
            raise BadRequestError(f"argument priority is not from -100 to 100: {priority!r}")
        opens, closes = (
            self._time_argument(arguments, "opens", 0.0),
            self._time_argument(arguments, "closes", float("inf")),
        )
        if not opens < closes:
            raise BadRequestError("argument closes is not after opens")
        command = RequestMaintenance(
            kind,
            name,
            argument_text(arguments, "reason", ""),
            argument_text(arguments, "by", ""),
            priority,
            opens,
            closes,
            time.time(),
        )
        return await self._change(arguments, command, timeout)

    async def cancel(self, arguments: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Withdraws an order. Raises `OutcomeError` if it is refused."""
        command = CancelOrder(
            argument_number(arguments, "order"), argument_text(arguments, "by", ""), time.time()
        )
        return await self._change(arguments, command, timeout)

    async def done(self, arguments: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Ends an order whose machine is out. Raises `OutcomeError` if it is refused."""
        command = FinishOrder(
            argument_number(arguments, "order"), argument_text(arguments, "by", ""), time.time()
        )
        return await self._change(arguments, command, timeout)

    async def list(self, arguments: dict[str, Any], timeout: float) -> dict[str, Any]:
        """The orders from the leader, which knows why each waits; with `stale`, as known here."""
        if not arguments.get("stale"):
            await self._replica.read(timeout)
            if self._replica.leases() is None and self._replica.node.raft.leader != self._name:
                raise NotLeaderError(self._replica.node.raft.leader)
        return self._manager.status()

    @property
    def _name(self) -> str:
        return self._replica.settings.replica

    @staticmethod
    def _time_argument(arguments: dict[str, Any], name: str, default: float) -> float:
        value = arguments.get(name)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise BadRequestError(f"argument {name} is no Unix time: {value!r}")
        return float(value)

    async def _change(
        self, arguments: dict[str, Any], command: OrderCommand, timeout: float
    ) -> dict[str, Any]:
        session, number = argument_text(arguments, "session", ""), argument_number(arguments, "number", 0)
        answer = await self._replica.change(Envelope(session, number, command), timeout)
        match answer:
            case OrderChanged(order, state, version, _):
                return {"order": order, "state": state, "version": version}
            case Refused(text):
                raise OutcomeError("refused", text)
        raise OutcomeError("lost", "leadership was lost; whether it took effect is not known: try again")
