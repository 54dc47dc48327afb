"""Maintenance during a run: requests it for machines, works on each while it is out, and reports it done.

Does for benchmarks and tests what an operator does with `harepick maint`, over the same port.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import anyio

from harepick.fleet.runner import ScenarioRunner
from harepick.store.client import StoreClient, StoreError

# Error codes of a request that is not repeated.
FINAL_ERRORS = ("refused", "no_machine", "bad_request", "invalid")
ATTEMPT_TIMEOUT_S = 10.0  # for one answer; then the request is repeated
POLL_INTERVAL_S = 0.1  # between two requests for the list of orders


@dataclass
class MaintenanceRounds:
    """Rounds of maintenance; counts orders `asked` and `done`.

    `run` is a `concurrent_task` of `ScenarioRunner`.
    """

    machines: Sequence[str]  # `server:s0`, `controller:a`
    work: float = 1.0  # seconds of work on each machine
    begin: float = 1.0  # seconds after the start of the run
    rounds: int = 1
    asked: int = 0
    done: int = 0
    why: dict[str, str] = field(default_factory=dict)  # machine -> reason for which its order waited last

    async def run(self, runner: ScenarioRunner) -> None:
        """Runs all rounds, one after another."""
        await anyio.sleep(self.begin)
        async with runner.client() as client:
            for _ in range(self.rounds):
                await self._run_round(runner, client)

    async def _run_round(self, runner: ScenarioRunner, client: StoreClient) -> None:
        orders: dict[int, str] = {}
        for machine in self.machines:
            reply = await call_until_answered(
                client, "maint_request", {"machine": machine, "reason": "upkeep"}
            )
            orders[reply["order"]] = machine
            self.asked += 1
        async with anyio.create_task_group() as tasks:
            started: set[int] = set()
            while len(started) < len(orders):
                reply = await call_until_answered(client, "maint_list", {})
                for row in reply["orders"]:
                    order = row["order"]
                    self.why[row["machine"]] = row["why"] or ""
                    if order in orders and row["state"] == "out" and order not in started:
                        started.add(order)
                        tasks.start_soon(self._work, runner, order, orders[order])
                await anyio.sleep(POLL_INTERVAL_S)

    async def _work(self, runner: ScenarioRunner, order: int, machine: str) -> None:
        """Waits while a server is out, or restarts a controller; then reports the order done."""
        kind, _, name = machine.partition(":")
        if kind == "controller":
            await runner.apply_fault("stop", runner.instances[name])
            await anyio.sleep(self.work)
            await runner.apply_fault("start", runner.instances[name])
        else:
            await anyio.sleep(self.work)
        async with runner.client() as client:
            await call_until_answered(client, "maint_done", {"order": order})
        self.done += 1


async def call_until_answered(client: StoreClient, method: str, arguments: dict[str, Any]) -> Any:
    """Calls a method until it is answered. A change is repeated as the same request, so that it takes effect
    at most once. Raises `StoreError` if the request is refused."""
    while True:
        try:
            return await client.call(method, arguments, ATTEMPT_TIMEOUT_S)
        except StoreError as error:
            if error.code in FINAL_ERRORS:
                raise
            if method != "maint_list":
                client.repeat_last()
            await anyio.sleep(POLL_INTERVAL_S)
