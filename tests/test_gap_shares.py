"""The allotment of a gap's turns over the fleet: one owner a slot, shares by demand, a bounded loss."""

from __future__ import annotations

import random
from math import inf

from hypothesis import given, settings
from hypothesis import strategies as st

from harepick.gapping.gaps import SlotOwnership
from harepick.gapping.slot_allocation import MAX_BLOCK, SlotAllocator, SlotBlock, SlotRequest
from harepick.gapping.slot_requests import SlotRequester

ASKS = st.lists(
    st.tuples(st.sampled_from("abcde"), st.sampled_from(["g", "h"]), st.integers(0, 200), st.floats(0, 500)),
    max_size=200,
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(ASKS)
def test_no_slot_has_two_owners_and_no_block_begins_before_its_ask(
    asks: list[tuple[str, str, int, float]],
) -> None:
    allotment = SlotAllocator()
    given_out: dict[str, list[SlotBlock]] = {"g": [], "h": []}
    for instance, gap, first, demand in asks:
        block = allotment.apply(SlotRequest(instance, gap, first, demand))
        assert block.first >= first and 1 <= block.length <= MAX_BLOCK
        assert all(block.first >= other.end or block.end <= other.first for other in given_out[gap])
        given_out[gap].append(block)


def test_every_replica_that_applies_the_same_asks_comes_to_the_same_owners() -> None:
    rng = random.Random(3)
    asks = [SlotRequest(rng.choice("abc"), "g", rng.randint(0, 50), rng.random() * 10) for _ in range(500)]
    one, two = SlotAllocator(), SlotAllocator()
    assert [one.apply(a) for a in asks] == [two.apply(a) for a in asks]


def test_slots_go_in_proportion_to_demand() -> None:
    allotment, owned = SlotAllocator(), {"busy": 0, "quiet": 0}
    for n in range(400):
        name, demand = ("busy", 30.0) if n % 2 else ("quiet", 10.0)
        owned[name] += allotment.apply(SlotRequest(name, "g", 0, demand)).length
    assert 2.5 < owned["busy"] / owned["quiet"] < 3.5


def test_an_instance_that_dies_takes_at_most_its_blocks_ahead_and_no_slot_passes_twice() -> None:
    """Three instances ask again each time they hold less than two slots ahead; one dies at slot 100. From
    then on the slots it owns go unused, no more than it held then; no slot passes twice."""
    rng = random.Random(1)
    allotment = SlotAllocator()
    alive = set("abc")
    passes: dict[int, list[str]] = {}
    lost_after = 0

    def owns(name: str, slot: int) -> bool:
        return any(slot in block for block in allotment.blocks("g", name))

    for slot in range(300):
        if slot == 100:
            alive.discard("c")
            held_then = sum(1 for s in range(100, 300) if owns("c", s))
        for name in sorted(alive):
            if max((block.end for block in allotment.blocks("g", name)), default=slot) - slot < 2:
                allotment.apply(SlotRequest(name, "g", slot + 1, rng.uniform(5, 15)))
        for name in sorted(alive):
            if owns(name, slot):
                passes.setdefault(slot, []).append(name)
        if slot >= 100 and owns("c", slot):
            lost_after += 1
    assert all(len(names) == 1 for names in passes.values())
    assert lost_after == held_then <= 2 * MAX_BLOCK
    used = sum(1 for s in range(100, 300) if s in passes)
    assert used >= 200 - lost_after - 1


def test_the_store_s_machine_grants_turns_and_a_snapshot_keeps_the_allotment() -> None:
    from harepick.store.state_machine import Envelope, RequestSlots, SlotsGranted, StateMachine, encode

    one = StateMachine()
    first = one.apply(1, encode(Envelope("", 0, RequestSlots("a", "radio", 10, 5.0))))
    assert first == SlotsGranted("radio", 10, MAX_BLOCK, 1)
    copy = StateMachine()
    copy.restore(one.snapshot())
    after = [m.apply(2, encode(Envelope("", 0, RequestSlots("b", "radio", 0, 5.0)))) for m in (one, copy)]
    assert after[0] == after[1] == SlotsGranted("radio", 10 + MAX_BLOCK, MAX_BLOCK // 2, 2)
    assert copy.slots.blocks("radio", "a") == [SlotBlock("radio", "a", 10, MAX_BLOCK)]


def test_two_screens_on_one_allotment_pass_one_call_a_slot_between_them() -> None:
    """Two instances that set the same gap 0.3 s apart, each flooded, each asking as it runs low: over both,
    one call passes in each slot, and the slots are all used once both hold blocks."""
    from harepick.gapping.config import read_rows
    from harepick.gapping.screen import GapScreen

    allotment = SlotAllocator()
    rows = read_rows([{"id": "radio", "number": "+94112345678", "interval_s": 0.5}], "gaps", "e164")

    def owner(name: str) -> SlotOwnership:
        def owns(gap: str, slot: int) -> bool:
            return any(slot in block for block in allotment.blocks(gap, name))

        return owns

    screens = {name: GapScreen(owns=owner(name)) for name in "ab"}
    screens["a"].apply(rows, 1000.1)
    screens["b"].apply(rows, 1000.4)
    passes: dict[int, int] = {}
    now = 1000.5
    while now < 1030.0:
        slot = int(now // 0.5)
        for name in "ab":
            held = allotment.blocks("radio", name)
            if max((b.end for b in held), default=slot) - slot < 2:
                allotment.apply(SlotRequest(name, "radio", slot + 1, 100.0))
            if screens[name].retry_after("+94112345678", "", now) is None:
                passes[slot] = passes.get(slot, 0) + 1
        now += 0.01
    assert max(passes.values()) == 1
    assert len(passes) >= 0.9 * (30.0 / 0.5)


def test_turns_are_asked_for_where_calls_come_and_not_on_a_restart_s_slot() -> None:
    """Two instances on one allotment, demand at the first, then at the second, asked 20 times a second."""
    allotment, now = SlotAllocator(), 1000.0
    turns = {name: SlotRequester(name, allotment.blocks, now) for name in "ab"}
    offered = dict.fromkeys("ab", 0)
    used: dict[int, str] = {}
    asks = 0
    while now < 1040.0:
        busy = "a" if now < 1020.0 else "b"
        offered[busy] += 2
        for name in "ab":
            for ask in turns[name].due_requests(now, [("radio", 0.5, offered[name]), ("never", inf, 9)]):
                assert ask.gap == "radio@0.5" and ask.most == 4
                allotment.apply(ask)
                asks += 1
        slot = int(now // 0.5)
        if turns[busy].owns("radio", slot):
            assert used.setdefault(slot, busy) == busy
        now += 0.05
    assert 2000 not in used, "the slot in which the process started"
    assert set(used.values()) == {"a", "b"} and len(used) > 0.85 * 80
    assert asks < 80, "more than one message a slot"
    after = SlotRequester("a", allotment.blocks, 1010.0)
    list(after.due_requests(1010.0, [("radio", 0.5, 1)]))
    assert not after.owns("radio", 2020)


def test_another_interval_has_other_turns() -> None:
    allotment = SlotAllocator()
    turns = SlotRequester("a", allotment.blocks, 900.0)
    for now in (1000.0, 1000.1):
        for ask in turns.due_requests(now, [("radio", 0.5, 5)]):
            allotment.apply(ask)
    assert turns.owns("radio", 2001)
    for now in (1000.2, 1000.3):
        for ask in turns.due_requests(now, [("radio", 1.0, 9)]):
            allotment.apply(ask)
    assert turns.owns("radio", 1001) and not turns.owns("radio", 2001)
