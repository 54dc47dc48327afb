"""Upkeep beside a play: asks for machines to be taken out, works on each while it is out, and says when done.

What an operator does with `harepick maint`, over the same port, for benchmarks and tests.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import anyio

from harepick.fleet.runner import ScenarioRunner
from harepick.store.client import StoreClient, StoreError

FINAL = ("refused", "no_machine", "bad_request", "invalid")
TRY = 10.0  # seconds for one answer; then the same is asked again
LOOK = 0.1  # seconds between two looks at the list


@dataclass
class MaintenanceRounds:
    """`asked` and `done` count orders; `run` is a play's `beside`."""

    machines: Sequence[str]  # `server:s0`, `controller:a`
    work: float = 1.0  # seconds that each is out
    begin: float = 1.0  # seconds after the play's
    rounds: int = 1
    asked: int = 0
    done: int = 0
    why: dict[str, str] = field(default_factory=dict)  # machine -> why its order waited, as last told

    async def run(self, play: ScenarioRunner) -> None:
        await anyio.sleep(self.begin)
        async with play.client() as client:
            for _ in range(self.rounds):
                await self._round(play, client)

    async def _round(self, play: ScenarioRunner, client: StoreClient) -> None:
        orders: dict[int, str] = {}
        for machine in self.machines:
            found = await call_until_answered(
                client, "maint_request", {"machine": machine, "reason": "upkeep"}
            )
            orders[found["order"]] = machine
            self.asked += 1
        async with anyio.create_task_group() as tasks:
            begun: set[int] = set()
            while len(begun) < len(orders):
                found = await call_until_answered(client, "maint_list", {})
                for row in found["orders"]:
                    number = row["order"]
                    self.why[row["machine"]] = row["why"] or ""
                    if number in orders and row["state"] == "out" and number not in begun:
                        begun.add(number)
                        tasks.start_soon(self._work, play, number, orders[number])
                await anyio.sleep(LOOK)

    async def _work(self, play: ScenarioRunner, number: int, machine: str) -> None:
        """A server is left alone for a while; a controller is restarted."""
        kind, _, name = machine.partition(":")
        if kind == "controller":
            await play.apply_fault("stop", play.instances[name])
            await anyio.sleep(self.work)
            await play.apply_fault("start", play.instances[name])
        else:
            await anyio.sleep(self.work)
        async with play.client() as client:
            await call_until_answered(client, "maint_done", {"order": number})
        self.done += 1


async def call_until_answered(client: StoreClient, method: str, arguments: dict[str, Any]) -> Any:
    """The answer, however often it has to be asked; changes take effect once."""
    while True:
        try:
            return await client.call(method, arguments, TRY)
        except StoreError as error:
            if error.code in FINAL:
                raise
            if method != "maint_list":
                client.repeat_last()
            await anyio.sleep(LOOK)
