"""Maintenance: orders, handover, policy and settings, without I/O."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from harepick.fleet.maintenance.handover import CLOSED, HANDING_OVER, OUT, SERVING, Handover
from harepick.fleet.maintenance.orders import (
    CONTROLLER,
    SERVER,
    AdvanceOrder,
    CancelOrder,
    FinishOrder,
    Order,
    Orders,
    RefusedOrderError,
    ReportIdle,
    RequestMaintenance,
    SetControllerState,
)
from harepick.fleet.maintenance.policy import (
    Group,
    MaintenanceFleetState,
    MaintenanceSettings,
    controller_state_changes,
    decide,
    hold_reason,
    waiting_reason,
)
from harepick.settings import SettingsError, read_store_config
from harepick.store.state_machine import Envelope, OrderChanged, Put, Refused, StateMachine, encode

SERVERS = frozenset(f"s{n}" for n in range(4))
NAMES = ("a", "b", "c")


def fleet_state(**changes: Any) -> MaintenanceFleetState:
    base = MaintenanceFleetState(
        "a", 100.0, 1, SERVERS, frozenset(), NAMES, frozenset(NAMES), lambda index: []
    )
    return replace(base, **changes)


class OrderLog:
    """Applies commands in sequence, as a replica does."""

    def __init__(self) -> None:
        self.orders, self.index = Orders(), 0

    def apply(self, command: Any) -> Order | None:
        self.index += 1
        return self.orders.apply(self.index, command)

    def request(self, machine: str, kind: str = SERVER, **options: Any) -> int:
        order = self.apply(RequestMaintenance(kind, machine, **options))
        assert order
        return order.id

    def settle(
        self, policy_settings: MaintenanceSettings, observed: MaintenanceFleetState, max_steps: int = 20
    ) -> None:
        """Applies the commands of the policy until none is due."""
        for _ in range(max_steps):
            step = decide(self.orders, policy_settings, observed)
            if step is None:
                return
            self.apply(step)
        raise AssertionError("the policy never stops proposing commands")

    def state(self, number: int) -> str:
        order = self.orders.get(number)
        assert order
        return order.state


def test_orders_start_in_sequence_within_max_out() -> None:
    log, observed = OrderLog(), fleet_state()
    one, two, three = (log.request(name) for name in ("s2", "s0", "s1"))
    log.settle(MaintenanceSettings(max_out=2), observed)
    assert [log.state(n) for n in (one, two, three)] == ["out", "out", "waiting"]
    order = log.orders.get(three)
    assert order and "max_out is 2" in waiting_reason(
        order, log.orders, MaintenanceSettings(max_out=2), observed
    )
    log.apply(FinishOrder(one))
    assert log.orders.excluded(SERVER) == {"s0"}
    log.settle(MaintenanceSettings(max_out=2), observed)
    assert [log.state(n) for n in (one, two, three)] == ["back", "out", "out"]


def test_a_higher_priority_overtakes_waiting_orders_but_not_started_ones() -> None:
    log, observed, policy_settings = OrderLog(), fleet_state(), MaintenanceSettings()
    first = log.request("s0")
    log.settle(policy_settings, observed)
    low, high = log.request("s1"), log.request("s2", priority=5)
    log.settle(policy_settings, observed)
    assert log.state(first) == "out"
    order = log.orders.get(low)
    assert order and "max_out" in waiting_reason(order, log.orders, policy_settings, observed)
    log.apply(FinishOrder(first))
    log.settle(policy_settings, observed)
    assert (log.state(low), log.state(high)) == ("waiting", "out")


def test_of_two_requests_only_one_fits_above_the_floor() -> None:
    log, observed = OrderLog(), fleet_state()
    policy_settings = MaintenanceSettings(max_out=4, floor=3.0)
    one, two = log.request("s0"), log.request("s1")
    log.settle(policy_settings, observed)
    assert (log.state(one), log.state(two)) == ("out", "waiting")
    order = log.orders.get(two)
    assert (
        order
        and waiting_reason(order, log.orders, policy_settings, observed)
        == "it would leave a capacity of 2, and the floor is 3"
    )


def test_smaller_servers_do_not_overtake_a_large_one_that_waits_at_the_floor() -> None:
    log, observed = OrderLog(), fleet_state()
    policy_settings = MaintenanceSettings(max_out=4, floor=3.0, capacity={"s0": 3.0})
    log.request("s3")  # leaves a capacity of 5 of 6
    log.settle(policy_settings, observed)
    large, small = log.request("s0"), log.request("s1")
    log.settle(policy_settings, observed)
    assert (log.state(large), log.state(small)) == ("waiting", "waiting")
    order = log.orders.get(small)
    assert (
        order
        and waiting_reason(order, log.orders, policy_settings, observed) == f"order {large} (s0) goes first"
    )


def test_the_last_server_of_a_group_waits_and_others_overtake_it() -> None:
    policy_settings = MaintenanceSettings(max_out=4, groups=(Group("Kandy", frozenset({"s0", "s1"})),))
    log, observed = OrderLog(), fleet_state()
    one, two, three = log.request("s0"), log.request("s1"), log.request("s2")
    log.settle(policy_settings, observed)
    assert [log.state(n) for n in (one, two, three)] == ["out", "waiting", "out"]
    order = log.orders.get(two)
    assert order and "last server in service of Kandy" in waiting_reason(
        order, log.orders, policy_settings, observed
    )
    four = log.request("s3")
    log.settle(MaintenanceSettings(max_out=4), observed)  # without the group, the last server of all stays
    assert [log.state(n) for n in (two, four)] == ["out", "waiting"]


def test_a_failed_server_may_go_out_and_is_not_counted_as_in_service() -> None:
    policy_settings = MaintenanceSettings(max_out=2, floor=3.0)
    log, observed = OrderLog(), fleet_state(failed=frozenset({"s1"}))
    healthy, failed = log.request("s0"), log.request("s1", priority=1)
    log.settle(policy_settings, observed)
    assert (log.state(healthy), log.state(failed)) == ("waiting", "out")
    log, observed = OrderLog(), fleet_state(failed=frozenset({"s1", "s2", "s3"}))
    last = log.request("s0")
    log.settle(MaintenanceSettings(), observed)
    assert log.state(last) == "waiting", "the only server in service was taken out"


def test_an_avoided_server_has_not_failed_and_is_not_counted_as_in_service() -> None:
    """A healthy server that the leader avoids because it is full must not be treated as failed.

    As a failed server it would be allowed to go out even as the last one of its group.
    """
    policy_settings = MaintenanceSettings(
        max_out=4, floor=1.0, groups=(Group("Kandy", frozenset({"s0", "s1"})),)
    )
    log, observed = OrderLog(), fleet_state(avoided=frozenset({"s0"}))
    one, two, three = log.request("s0"), log.request("s1"), log.request("s2")
    log.settle(policy_settings, observed)
    assert [log.state(n) for n in (one, two, three)] == ["out", "waiting", "out"]
    log = OrderLog()
    last = log.request("s1")
    log.settle(policy_settings, observed)
    assert log.state(last) == "waiting", "the other server of Kandy is avoided"
    order = log.orders.get(last)
    assert order and "last server in service of Kandy (s0 is failed or avoided)" in waiting_reason(
        order, log.orders, policy_settings, observed
    )
    log.settle(policy_settings, fleet_state())
    assert log.state(last) == "out"


def test_an_order_starts_within_its_window_and_does_not_delay_others() -> None:
    log, policy_settings = OrderLog(), MaintenanceSettings()
    later, now = log.request("s0", opens=200.0, closes=300.0), log.request("s1")
    log.settle(policy_settings, fleet_state(now=100.0))
    assert (log.state(later), log.state(now)) == ("waiting", "out")
    log.apply(FinishOrder(now))
    log.settle(policy_settings, fleet_state(now=300.0))
    assert log.state(later) == "waiting"
    order = log.orders.get(later)
    assert order and "window is over" in waiting_reason(
        order, log.orders, policy_settings, fleet_state(now=300.0)
    )
    log.settle(policy_settings, fleet_state(now=299.0))
    assert log.state(later) == "out"


def test_a_server_is_out_only_when_no_instance_may_act_on_older_orders() -> None:
    log, policy_settings = OrderLog(), MaintenanceSettings()
    number = log.request("s0")
    unconfirmed = fleet_state(unconfirmed_by=lambda index: ["c"])
    log.settle(policy_settings, unconfirmed)
    assert log.state(number) == "leaving" and log.orders.excluded(SERVER) == {"s0"}
    order = log.orders.get(number)
    assert order
    assert waiting_reason(order, log.orders, policy_settings, unconfirmed) == "not confirmed by c"
    queried_entries: list[int] = []

    def unconfirmed_by(index: int) -> list[str]:
        queried_entries.append(index)
        return []

    log.settle(policy_settings, fleet_state(unconfirmed_by=unconfirmed_by, live=frozenset({"a", "b"})))
    left, order = order, log.orders.get(number)
    assert order and order.state == "out" and order.gone == ("c",)
    assert set(queried_entries) == {left.index}, (
        "the confirmation must be of the entry that set it to leaving"
    )
    assert [state for state, _ in order.steps] == ["waiting", "leaving", "out"]


def test_a_controller_goes_out_idle_not_leading_and_with_a_majority_left() -> None:
    log, policy_settings = OrderLog(), MaintenanceSettings(max_out_controllers=3)
    b, c = log.request("b", CONTROLLER), log.request("c", CONTROLLER)
    log.settle(policy_settings, fleet_state())
    assert (log.state(b), log.state(c)) == ("leaving", "waiting")
    order = log.orders.get(c)
    assert order and "a majority is 2" in waiting_reason(order, log.orders, policy_settings, fleet_state())
    order = log.orders.get(b)
    assert (
        order and waiting_reason(order, log.orders, policy_settings, fleet_state()) == "b has calls under way"
    )
    log.apply(ReportIdle(b, "b"))
    assert "leads" in waiting_reason(
        log.orders.get(b) or order, log.orders, policy_settings, fleet_state(name="b")
    )
    log.settle(policy_settings, fleet_state(name="b"))
    assert log.state(b) == "leaving", "it still leads"
    log.settle(policy_settings, fleet_state())
    assert log.state(b) == "out"
    # A controller that fails while leaving is out once its lease has expired.
    log = OrderLog()
    b = log.request("b", CONTROLLER)
    log.settle(policy_settings, fleet_state())
    log.settle(policy_settings, fleet_state(live=frozenset({"a", "c"})))
    assert log.state(b) == "out"


def test_the_stages_of_a_handover_and_no_return_within_one_order() -> None:
    log, policy_settings, handover = OrderLog(), MaintenanceSettings(), Handover()

    def stage(now: float, served: bool = True) -> str:
        handover.follow(log.orders.open_order(CONTROLLER, "b"), now, 1.0, served)
        return handover.stage(now)

    b = log.request("b", CONTROLLER)
    assert stage(0.0) == SERVING, "a waiting order must not start the hand-over"
    log.settle(policy_settings, fleet_state())
    assert stage(1.0) == HANDING_OVER and handover.stage(1.99) == HANDING_OVER
    log.request("s0")  # an unrelated entry must not restart the handover time
    assert stage(1.9) == HANDING_OVER and handover.stage(2.0) == CLOSED
    assert log.orders.inactive_controllers() == frozenset()
    log.apply(ReportIdle(b, "b"))
    assert stage(2.1) == CLOSED and log.orders.inactive_controllers() == {"b"}
    log.settle(policy_settings, fleet_state())
    assert stage(2.2) == OUT
    log.apply(FinishOrder(b))
    assert stage(2.3) == SERVING and log.orders.inactive_controllers() == frozenset()
    # A process that starts under an order has no callers and accepts none.
    log.request("b", CONTROLLER)
    log.settle(policy_settings, fleet_state())
    handover = Handover()
    assert stage(3.0, served=False) == CLOSED
    log.apply(CancelOrder(log.orders.open[-1].id))
    assert stage(3.1) == SERVING


def test_an_idle_controller_is_closed_even_during_its_handover_time() -> None:
    log, handover = OrderLog(), Handover()
    b = log.request("b", CONTROLLER)
    log.settle(MaintenanceSettings(), fleet_state())
    log.apply(ReportIdle(b, "b"))  # reported by the previous process
    handover.follow(log.orders.open_order(CONTROLLER, "b"), 0.0, 60.0, True)
    assert handover.stage(0.1) == CLOSED


def test_an_advance_for_another_version_or_revision_is_refused() -> None:
    state_machine, index = StateMachine(), 0

    def apply(body: Any) -> Any:
        nonlocal index
        index += 1
        return state_machine.apply(index, encode(Envelope("", 0, body)))

    apply(Put("x"))
    first, second = apply(RequestMaintenance(SERVER, "s0")), apply(RequestMaintenance(SERVER, "s1"))
    assert isinstance(first, OrderChanged) and isinstance(second, OrderChanged)
    step = decide(
        state_machine.orders, MaintenanceSettings(), replace(fleet_state(), live=frozenset(), controllers=())
    )
    assert isinstance(step, AdvanceOrder) and step.order == first.order
    competing = replace_advance(step, order=second.order)
    assert isinstance(apply(step), OrderChanged)
    assert isinstance(apply(competing), Refused), "two leaders would exceed max_out together"
    apply(Put("y"))
    stale = replace_advance(step, order=second.order, expect=state_machine.orders.version)
    refused = apply(stale)
    assert isinstance(refused, Refused) and "revision 1" in refused.why
    copy = StateMachine()
    copy.restore(state_machine.snapshot())
    assert copy.orders.dump() == state_machine.orders.dump()
    assert copy.orders.excluded(SERVER) == {"s0"}


def replace_advance(step: AdvanceOrder, **changes: Any) -> AdvanceOrder:
    fields = {name: getattr(step, name) for name in AdvanceOrder.__struct_fields__}
    return AdvanceOrder(**(fields | changes))


@pytest.mark.parametrize(
    ("commands", "refusal"),
    [
        ([RequestMaintenance(SERVER, "s0"), RequestMaintenance(SERVER, "s0")], "has s0 already"),
        ([RequestMaintenance("desk", "s0")], "no kind"),
        ([RequestMaintenance(SERVER, "s0", opens=2.0, closes=2.0)], "closes before it opens"),
        ([FinishOrder(1)], "no open order"),
        ([RequestMaintenance(SERVER, "s0"), FinishOrder(1)], "only what is out"),
        ([RequestMaintenance(SERVER, "s0"), AdvanceOrder(1, "out", 1, 0, "a")], "does not become out"),
        ([RequestMaintenance(SERVER, "s0"), AdvanceOrder(1, "leaving", 0, 0, "a")], "version 0"),
        ([RequestMaintenance(SERVER, "s0"), ReportIdle(1, "s0")], "idle"),
        ([RequestMaintenance(SERVER, "s0"), CancelOrder(1), CancelOrder(1)], "no open order"),
        ([SetControllerState("a", "asleep", 0)], "never"),
    ],
)
def test_an_invalid_command_is_refused_and_changes_nothing(commands: list[Any], refusal: str) -> None:
    log = OrderLog()
    for command in commands[:-1]:
        log.apply(command)
    before = log.orders.dump()
    with pytest.raises(RefusedOrderError, match=refusal):
        log.apply(commands[-1])
    assert log.orders.dump() == before


def test_controller_states_follow_the_leases() -> None:
    log = OrderLog()
    log.settle(MaintenanceSettings(), fleet_state(live=frozenset({"a", "b"})))
    assert log.orders.controller_states == {"a": "serving", "b": "serving", "c": "joining"}
    log.settle(MaintenanceSettings(), fleet_state(live=frozenset({"a", "c"})))
    assert log.orders.controller_states == {"a": "serving", "b": "gone", "c": "serving"}
    log.settle(MaintenanceSettings(), fleet_state(controllers=("a", "c"), live=frozenset({"a", "c"})))
    assert log.orders.controller_states == {"a": "serving", "c": "serving"}
    assert not list(
        controller_state_changes(log.orders, fleet_state(controllers=("a", "c"), live=frozenset({"a", "c"})))
    )


class Fleet(RuleBasedStateMachine):
    """Invariants under requests, ends, failures, lost leases and steps of the policy, in any sequence."""

    policy_settings = MaintenanceSettings(
        max_out=2,
        max_out_controllers=1,
        floor=2.0,
        capacity={"s3": 2.0},
        groups=(Group("north", frozenset({"s0", "s1"})),),
    )

    def __init__(self) -> None:
        super().__init__()
        self.log = OrderLog()
        self.failed: frozenset[str] = frozenset()
        self.avoided: frozenset[str] = frozenset()
        self.live = frozenset(NAMES)

    def observed(self) -> MaintenanceFleetState:
        return fleet_state(failed=self.failed, avoided=self.avoided - self.failed, live=self.live)

    @rule(name=st.sampled_from(sorted(SERVERS)), priority=st.integers(-1, 1))
    def request_server(self, name: str, priority: int) -> None:
        if self.log.orders.open_order(SERVER, name) is None:
            self.log.request(name, priority=priority)

    @rule(name=st.sampled_from(NAMES[1:]))
    def request_controller(self, name: str) -> None:
        if self.log.orders.open_order(CONTROLLER, name) is None:
            self.log.request(name, CONTROLLER)

    @rule(choice=st.integers(0, 20))
    def end(self, choice: int) -> None:
        if orders := self.log.orders.open:
            order = orders[choice % len(orders)]
            self.log.apply(FinishOrder(order.id) if order.state == "out" else CancelOrder(order.id))

    @rule(name=st.sampled_from(sorted(SERVERS)))
    def toggle_failed(self, name: str) -> None:
        self.failed = self.failed ^ {name}

    @rule(name=st.sampled_from(sorted(SERVERS)))
    def toggle_avoided(self, name: str) -> None:
        self.avoided = self.avoided ^ {name}

    @rule(name=st.sampled_from(NAMES[1:]))
    def toggle_live(self, name: str) -> None:
        self.live = self.live ^ {name}

    @rule()
    def step(self) -> None:
        command = decide(self.log.orders, self.policy_settings, self.observed())
        if command is None:
            return
        if isinstance(command, AdvanceOrder) and command.to == "leaving":
            order = self.log.orders.get(command.order)
            assert (
                order and hold_reason(order, self.log.orders, self.policy_settings, self.observed()) is None
            )
            if order.kind == SERVER and order.machine not in self.failed:
                serving = SERVERS - self.log.orders.excluded(SERVER) - self.failed - self.avoided
                serving -= {order.machine}
                assert (
                    sum(self.policy_settings.capacity.get(s, 1.0) for s in serving)
                    >= self.policy_settings.floor
                )
                assert serving & {"s0", "s1"} or order.machine not in {"s0", "s1"}
        self.log.apply(command)

    @invariant()
    def at_most_max_out_are_excluded(self) -> None:
        assert len(self.log.orders.excluded(SERVER)) <= self.policy_settings.max_out
        assert len(self.log.orders.excluded(CONTROLLER)) <= self.policy_settings.max_out_controllers

    @invariant()
    def a_snapshot_restores_the_same_orders(self) -> None:
        assert Orders(self.log.orders.dump()).dump() == self.log.orders.dump()


TestFleet = Fleet.TestCase
TestFleet.settings = settings(max_examples=80, stateful_step_count=40, derandomize=True, deadline=None)

UPSTREAM = '[[upstream]]\nname = "s0"\naddress = "127.0.0.1:1"\n'


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("max_outs = 1", "maintenance.max_outs"),
        ("max_out = -1", "maintenance.max_out"),
        ("max_out = true", "maintenance.max_out"),
        ("floor = -0.5", "maintenance.floor"),
        ("handover_s = 61", "maintenance.handover_s"),
        ("failed_after_s = -1", "maintenance.failed_after_s"),
        ("capacity = { s9 = 1 }", "maintenance.capacity.s9"),
        ("capacity = { s0 = 'x' }", "maintenance.capacity.s0"),
        ('group = [{ name = "x", servers = ["s9"] }]', "maintenance.group[0].servers"),
        ('group = [{ name = "", servers = ["s0"] }]', "maintenance.group[0].name"),
        ('group = [{ name = "x", server = ["s0"] }]', "maintenance.group[0].server"),
    ],
)
def test_a_faulty_maintenance_setting_is_named_in_the_error(text: str, key: str) -> None:
    with pytest.raises(SettingsError) as caught:
        read_store_config(UPSTREAM + "[maintenance]\n" + text)
    assert f"setting {key} " in str(caught.value), caught.value


def test_maintenance_settings_are_read() -> None:
    text = (
        'max_out = 2\nfloor = 1.5\ncapacity = { s0 = 2 }\n[[maintenance.group]]\nname = "x"\nservers = ["s0"]'
    )
    config = read_store_config(UPSTREAM + "[maintenance]\n" + text)
    groups = (Group("x", frozenset({"s0"})),)
    assert config.maintenance == MaintenanceSettings(2, 1, 1.5, 1.0, 2.0, {"s0": 2.0}, groups)
    assert read_store_config(UPSTREAM).maintenance is None
