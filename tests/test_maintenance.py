"""Machines out for work: the orders, the rule, and its plan, each without I/O."""

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
from harepick.fleet.maintenance.policy import FleetState, Group, MaintenanceSettings, decide, hold, seats, why
from harepick.settings import SettingsError, read_store_config
from harepick.store.state_machine import Envelope, OrderChanged, Put, Refused, StateMachine, encode

SERVERS = frozenset(f"s{n}" for n in range(4))
NAMES = ("a", "b", "c")


def sight(**changes: Any) -> FleetState:
    base = FleetState("a", 100.0, 1, SERVERS, frozenset(), NAMES, frozenset(NAMES), lambda index: [])
    return replace(base, **changes)


class Log:
    """Applies commands one after another, as a replica does."""

    def __init__(self) -> None:
        self.orders, self.index = Orders(), 0

    def apply(self, command: Any) -> Order | None:
        self.index += 1
        return self.orders.apply(self.index, command)

    def ask(self, machine: str, kind: str = SERVER, **more: Any) -> int:
        order = self.apply(RequestMaintenance(kind, machine, **more))
        assert order
        return order.id

    def settle(self, plan: MaintenanceSettings, seen: FleetState, most: int = 20) -> None:
        """All that the rule says, until it has nothing more to say."""
        for _ in range(most):
            step = decide(self.orders, plan, seen)
            if step is None:
                return
            self.apply(step)
        raise AssertionError("the rule never settles")

    def state(self, number: int) -> str:
        order = self.orders.get(number)
        assert order
        return order.state


def test_first_come_first_out_within_the_budget_and_back_in_the_log_s_order() -> None:
    log, seen = Log(), sight()
    one, two, three = (log.ask(name) for name in ("s2", "s0", "s1"))
    log.settle(MaintenanceSettings(max_out=2), seen)
    assert [log.state(n) for n in (one, two, three)] == ["out", "out", "waiting"]
    order = log.orders.get(three)
    assert order and "max_out is 2" in why(order, log.orders, MaintenanceSettings(max_out=2), seen)
    log.apply(FinishOrder(one))
    assert log.orders.excluded(SERVER) == {"s0"}
    log.settle(MaintenanceSettings(max_out=2), seen)
    assert [log.state(n) for n in (one, two, three)] == ["back", "out", "out"]


def test_a_higher_priority_goes_before_what_waits_and_calls_nothing_back() -> None:
    log, seen, plan = Log(), sight(), MaintenanceSettings()
    first = log.ask("s0")
    log.settle(plan, seen)
    low, high = log.ask("s1"), log.ask("s2", priority=5)
    log.settle(plan, seen)
    assert log.state(first) == "out"
    order = log.orders.get(low)
    assert order and "max_out" in why(order, log.orders, plan, seen)
    log.apply(FinishOrder(first))
    log.settle(plan, seen)
    assert (log.state(low), log.state(high)) == ("waiting", "out")


def test_two_requests_for_the_last_spare_one_goes_and_the_other_says_why() -> None:
    log, seen = Log(), sight()
    plan = MaintenanceSettings(max_out=4, floor=3.0)
    one, two = log.ask("s0"), log.ask("s1")
    log.settle(plan, seen)
    assert (log.state(one), log.state(two)) == ("out", "waiting")
    order = log.orders.get(two)
    assert (
        order and why(order, log.orders, plan, seen) == "it would leave a capacity of 2, and the floor is 3"
    )


def test_a_large_server_at_the_floor_is_not_passed_over_for_ever() -> None:
    log, seen = Log(), sight()
    plan = MaintenanceSettings(max_out=4, floor=3.0, capacity={"s0": 3.0})
    log.ask("s3")  # leaves 5 of 6
    log.settle(plan, seen)
    large, small = log.ask("s0"), log.ask("s1")
    log.settle(plan, seen)
    assert (log.state(large), log.state(small)) == ("waiting", "waiting")
    order = log.orders.get(small)
    assert order and why(order, log.orders, plan, seen) == f"order {large} (s0) goes first"


def test_never_the_last_of_a_group_nor_of_all_and_others_pass_it() -> None:
    plan = MaintenanceSettings(max_out=4, groups=(Group("Kandy", frozenset({"s0", "s1"})),))
    log, seen = Log(), sight()
    one, two, three = log.ask("s0"), log.ask("s1"), log.ask("s2")
    log.settle(plan, seen)
    assert [log.state(n) for n in (one, two, three)] == ["out", "waiting", "out"]
    order = log.orders.get(two)
    assert order and "last server in service of Kandy" in why(order, log.orders, plan, seen)
    four = log.ask("s3")
    log.settle(MaintenanceSettings(max_out=4), seen)  # without the group: the last of all stays
    assert [log.state(n) for n in (two, four)] == ["out", "waiting"]


def test_a_failed_server_takes_no_capacity_away_and_does_not_count_as_in_service() -> None:
    plan = MaintenanceSettings(max_out=2, floor=3.0)
    log, seen = Log(), sight(failed=frozenset({"s1"}))
    healthy, failed = log.ask("s0"), log.ask("s1", priority=1)
    log.settle(plan, seen)
    assert (log.state(healthy), log.state(failed)) == ("waiting", "out")
    log, seen = Log(), sight(failed=frozenset({"s1", "s2", "s3"}))
    last = log.ask("s0")
    log.settle(MaintenanceSettings(), seen)
    assert log.state(last) == "waiting", "the only one that still serves was taken out"


def test_one_that_is_full_for_a_moment_has_not_failed_and_does_not_count_as_in_service() -> None:
    """Shut by its occupancy at the leader, a sound server went as if it had failed, the last of its group."""
    plan = MaintenanceSettings(max_out=4, floor=1.0, groups=(Group("Kandy", frozenset({"s0", "s1"})),))
    log, seen = Log(), sight(pressed=frozenset({"s0"}))
    one, two, three = log.ask("s0"), log.ask("s1"), log.ask("s2")
    log.settle(plan, seen)
    assert [log.state(n) for n in (one, two, three)] == ["out", "waiting", "out"]
    log = Log()
    last = log.ask("s1")
    log.settle(plan, seen)
    assert log.state(last) == "waiting", "the other one of Kandy is full just now"
    order = log.orders.get(last)
    assert order and "last server in service of Kandy (s0 is failed or avoided)" in why(
        order, log.orders, plan, seen
    )
    log.settle(plan, sight())
    assert log.state(last) == "out"


def test_a_window_opens_and_closes_and_holds_nobody_else_back() -> None:
    log, plan = Log(), MaintenanceSettings()
    later, now = log.ask("s0", opens=200.0, closes=300.0), log.ask("s1")
    log.settle(plan, sight(now=100.0))
    assert (log.state(later), log.state(now)) == ("waiting", "out")
    log.apply(FinishOrder(now))
    log.settle(plan, sight(now=300.0))
    assert log.state(later) == "waiting"
    order = log.orders.get(later)
    assert order and "window is over" in why(order, log.orders, plan, sight(now=300.0))
    log.settle(plan, sight(now=299.0))
    assert log.state(later) == "out"


def test_a_server_is_out_only_when_nobody_may_act_on_an_older_order() -> None:
    log, plan = Log(), MaintenanceSettings()
    number = log.ask("s0")
    behind = sight(waits=lambda index: ["c"])
    log.settle(plan, behind)
    assert log.state(number) == "leaving" and log.orders.excluded(SERVER) == {"s0"}
    order = log.orders.get(number)
    assert order
    assert why(order, log.orders, plan, behind) == "not confirmed by c"
    asked: list[int] = []

    def waits(index: int) -> list[str]:
        asked.append(index)
        return []

    log.settle(plan, sight(waits=waits, live=frozenset({"a", "b"})))
    left, order = order, log.orders.get(number)
    assert order and order.state == "out" and order.gone == ("c",)
    assert set(asked) == {left.index}, "confirmed is the entry of its leaving, and no other"
    assert [state for state, _ in order.steps] == ["waiting", "leaving", "out"]


def test_a_controller_goes_out_idle_not_leading_and_never_costs_the_majority() -> None:
    log, plan = Log(), MaintenanceSettings(max_out_controllers=3)
    b, c = log.ask("b", CONTROLLER), log.ask("c", CONTROLLER)
    log.settle(plan, sight())
    assert (log.state(b), log.state(c)) == ("leaving", "waiting")
    order = log.orders.get(c)
    assert order and "a majority is 2" in why(order, log.orders, plan, sight())
    order = log.orders.get(b)
    assert order and why(order, log.orders, plan, sight()) == "b has calls under way"
    log.apply(ReportIdle(b, "b"))
    assert "leads" in why(log.orders.get(b) or order, log.orders, plan, sight(name="b"))
    log.settle(plan, sight(name="b"))
    assert log.state(b) == "leaving", "it leads, and has not handed over"
    log.settle(plan, sight())
    assert log.state(b) == "out"
    # One that died while it left is out once its lease is over.
    log = Log()
    b = log.ask("b", CONTROLLER)
    log.settle(plan, sight())
    log.settle(plan, sight(live=frozenset({"a", "c"})))
    assert log.state(b) == "out"


def test_a_controller_hands_over_then_closes_then_is_out_and_never_reopens_for_the_same_order() -> None:
    log, plan, handover = Log(), MaintenanceSettings(), Handover()

    def stage(now: float, served: bool = True) -> str:
        handover.follow(log.orders.of(CONTROLLER, "b"), now, 1.0, served)
        return handover.stage(now)

    b = log.ask("b", CONTROLLER)
    assert stage(0.0) == SERVING, "a request that waits changes nothing"
    log.settle(plan, sight())
    assert stage(1.0) == HANDING_OVER and handover.stage(1.99) == HANDING_OVER
    log.ask("s0")  # another entry: its time does not begin anew
    assert stage(1.9) == HANDING_OVER and handover.stage(2.0) == CLOSED
    assert log.orders.given_up() == frozenset()
    log.apply(ReportIdle(b, "b"))
    assert stage(2.1) == CLOSED and log.orders.given_up() == {"b"}
    log.settle(plan, sight())
    assert stage(2.2) == OUT
    log.apply(FinishOrder(b))
    assert stage(2.3) == SERVING and log.orders.given_up() == frozenset()
    # A process that starts under an order has no callers, and takes none.
    log.ask("b", CONTROLLER)
    log.settle(plan, sight())
    handover = Handover()
    assert stage(3.0, served=False) == CLOSED
    log.apply(CancelOrder(log.orders.open[-1].id))
    assert stage(3.1) == SERVING


def test_what_was_idle_once_takes_nothing_though_its_time_to_hand_over_is_not_over() -> None:
    log, handover = Log(), Handover()
    b = log.ask("b", CONTROLLER)
    log.settle(MaintenanceSettings(), sight())
    log.apply(ReportIdle(b, "b"))  # told by the process before
    handover.follow(log.orders.of(CONTROLLER, "b"), 0.0, 60.0, True)
    assert handover.stage(0.1) == CLOSED


def test_a_move_decided_on_other_orders_or_another_revision_changes_nothing() -> None:
    machine, index = StateMachine(), 0

    def apply(body: Any) -> Any:
        nonlocal index
        index += 1
        return machine.apply(index, encode(Envelope("", 0, body)))

    apply(Put("x"))
    first, second = apply(RequestMaintenance(SERVER, "s0")), apply(RequestMaintenance(SERVER, "s1"))
    assert isinstance(first, OrderChanged) and isinstance(second, OrderChanged)
    step = decide(machine.orders, MaintenanceSettings(), replace(sight(), live=frozenset(), controllers=()))
    assert isinstance(step, AdvanceOrder) and step.order == first.order
    rival = replace_move(step, order=second.order)
    assert isinstance(apply(step), OrderChanged)
    assert isinstance(apply(rival), Refused), "two leaders spent one budget"
    apply(Put("y"))
    stale = replace_move(step, order=second.order, expect=machine.orders.version)
    refused = apply(stale)
    assert isinstance(refused, Refused) and "revision 1" in refused.why
    copy = StateMachine()
    copy.restore(machine.snapshot())
    assert copy.orders.dump() == machine.orders.dump()
    assert copy.orders.excluded(SERVER) == {"s0"}


def replace_move(step: AdvanceOrder, **changes: Any) -> AdvanceOrder:
    fields = {name: getattr(step, name) for name in AdvanceOrder.__struct_fields__}
    return AdvanceOrder(**(fields | changes))


@pytest.mark.parametrize(
    ("commands", "why_not"),
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
def test_what_makes_no_sense_is_refused_and_changes_nothing(commands: list[Any], why_not: str) -> None:
    log = Log()
    for command in commands[:-1]:
        log.apply(command)
    before = log.orders.dump()
    with pytest.raises(RefusedOrderError, match=why_not):
        log.apply(commands[-1])
    assert log.orders.dump() == before


def test_membership_follows_the_leases() -> None:
    log = Log()
    log.settle(MaintenanceSettings(), sight(live=frozenset({"a", "b"})))
    assert log.orders.controller_states == {"a": "serving", "b": "serving", "c": "joining"}
    log.settle(MaintenanceSettings(), sight(live=frozenset({"a", "c"})))
    assert log.orders.controller_states == {"a": "serving", "b": "gone", "c": "serving"}
    log.settle(MaintenanceSettings(), sight(controllers=("a", "c"), live=frozenset({"a", "c"})))
    assert log.orders.controller_states == {"a": "serving", "c": "serving"}
    assert not list(seats(log.orders, sight(controllers=("a", "c"), live=frozenset({"a", "c"}))))


class Fleet(RuleBasedStateMachine):
    """Requests, ends, failures and lost leases in any order, the rule in between: what always holds."""

    plan = MaintenanceSettings(
        max_out=2,
        max_out_controllers=1,
        floor=2.0,
        capacity={"s3": 2.0},
        groups=(Group("north", frozenset({"s0", "s1"})),),
    )

    def __init__(self) -> None:
        super().__init__()
        self.log = Log()
        self.failed: frozenset[str] = frozenset()
        self.pressed: frozenset[str] = frozenset()
        self.live = frozenset(NAMES)

    def seen(self) -> FleetState:
        return sight(failed=self.failed, pressed=self.pressed - self.failed, live=self.live)

    @rule(name=st.sampled_from(sorted(SERVERS)), priority=st.integers(-1, 1))
    def ask(self, name: str, priority: int) -> None:
        if self.log.orders.of(SERVER, name) is None:
            self.log.ask(name, priority=priority)

    @rule(name=st.sampled_from(NAMES[1:]))
    def ask_controller(self, name: str) -> None:
        if self.log.orders.of(CONTROLLER, name) is None:
            self.log.ask(name, CONTROLLER)

    @rule(pick=st.integers(0, 20))
    def end(self, pick: int) -> None:
        if orders := self.log.orders.open:
            order = orders[pick % len(orders)]
            self.log.apply(FinishOrder(order.id) if order.state == "out" else CancelOrder(order.id))

    @rule(name=st.sampled_from(sorted(SERVERS)))
    def fail_or_mend(self, name: str) -> None:
        self.failed = self.failed ^ {name}

    @rule(name=st.sampled_from(sorted(SERVERS)))
    def press_or_ease(self, name: str) -> None:
        self.pressed = self.pressed ^ {name}

    @rule(name=st.sampled_from(NAMES[1:]))
    def lose_or_find(self, name: str) -> None:
        self.live = self.live ^ {name}

    @rule()
    def step(self) -> None:
        found = decide(self.log.orders, self.plan, self.seen())
        if found is None:
            return
        if isinstance(found, AdvanceOrder) and found.to == "leaving":
            order = self.log.orders.get(found.order)
            assert order and hold(order, self.log.orders, self.plan, self.seen()) is None
            if order.kind == SERVER and order.machine not in self.failed:
                serving = SERVERS - self.log.orders.excluded(SERVER) - self.failed - self.pressed
                serving -= {order.machine}
                assert sum(self.plan.capacity.get(s, 1.0) for s in serving) >= self.plan.floor
                assert serving & {"s0", "s1"} or order.machine not in {"s0", "s1"}
        self.log.apply(found)

    @invariant()
    def budget(self) -> None:
        assert len(self.log.orders.excluded(SERVER)) <= self.plan.max_out
        assert len(self.log.orders.excluded(CONTROLLER)) <= self.plan.max_out_controllers

    @invariant()
    def a_copy_is_the_same(self) -> None:
        assert Orders(self.log.orders.dump()).dump() == self.log.orders.dump()


TestFleet = Fleet.TestCase
TestFleet.settings = settings(max_examples=80, stateful_step_count=40, derandomize=True, deadline=None)

SHARED = '[[upstream]]\nname = "s0"\naddress = "127.0.0.1:1"\n'


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
def test_a_faulty_plan_names_its_key(text: str, key: str) -> None:
    with pytest.raises(SettingsError) as caught:
        read_store_config(SHARED + "[maintenance]\n" + text)
    assert f"setting {key} " in str(caught.value), caught.value


def test_a_plan_is_read() -> None:
    text = (
        'max_out = 2\nfloor = 1.5\ncapacity = { s0 = 2 }\n[[maintenance.group]]\nname = "x"\nservers = ["s0"]'
    )
    config = read_store_config(SHARED + "[maintenance]\n" + text)
    groups = (Group("x", frozenset({"s0"})),)
    assert config.maintenance == MaintenanceSettings(2, 1, 1.5, 1.0, 2.0, {"s0": 2.0}, groups)
    assert read_store_config(SHARED).maintenance is None
