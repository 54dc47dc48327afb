"""Arbitrary legal event sequences; `World` asserts the rules of a single instance at every action."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from harepick import interface

from .world import World, entries, settings

OUTCOMES = [outcome for outcome in interface.Outcome if outcome is not interface.Outcome.OK]
STEP = st.one_of(
    st.tuples(
        st.just("call"), st.integers(0, 4), st.sampled_from(["low", "high", "x"]), st.floats(-0.01, 4.0)
    ),
    st.tuples(st.just("stand"), st.integers(0, 9)),
    st.tuples(st.just("end"), st.integers(0, 9), st.sampled_from(OUTCOMES), st.sampled_from([0, 1, 3, 4])),
    st.tuples(st.just("left"), st.integers(0, 9)),
    st.tuples(st.just("time"), st.floats(0.001, 1.5)),
    st.tuples(
        st.just("list"), st.lists(st.integers(0, 4), unique=True), st.sampled_from(list(interface.ListKind))
    ),
    st.tuples(st.just("off"), st.integers(0, 4), st.sampled_from(["draining", "gone", "ready"])),
    st.tuples(st.just("start"), st.integers(0, 4)),
    st.tuples(st.just("report"), st.integers(0, 4), st.floats(0.0, 5000.0)),
)


@hypothesis_settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(STEP, max_size=60), st.booleans(), st.integers(1, 5))
def test_rules_hold(steps: list[tuple[object, ...]], cancel: bool, limit: int) -> None:
    world = World(settings(may_cancel=cancel, try_limit=limit))
    world.servers(*entries(0, 1, 2), kind=interface.ListKind.REMEMBERED)
    left: set[str] = set()
    for step in steps:
        match step:
            case ("call", int(destination), str(class_name), float(patience)):
                world.call(destination, class_name, patience)
            case ("stand", int(index)) if world.open_attempts:
                world.stand(list(world.open_attempts)[index % len(world.open_attempts)])
            case ("end", int(index), interface.Outcome() as outcome, int(cause)) if world.open_attempts:
                world.end(list(world.open_attempts)[index % len(world.open_attempts)], outcome, cause)
            case ("left", int(index)) if world.controller.calls:
                name = list(world.controller.calls)[index % len(world.controller.calls)]
                left.add(name)
                world.open_attempts.pop(name, None)
                world.answers[name] = "left"
                world.feed(interface.CallerLeft(name))
            case ("time", float(span)):
                world.after(span)
            case ("list", list(numbers), interface.ListKind() as kind):
                world.servers(*entries(*numbers), kind=kind)
            case ("off", int(number), str(state)):
                world.servers(*entries(number, state=state), kind=interface.ListKind.CHANGES)
            case ("start", int(number)):
                world.servers(*entries(number, started=world.now - 0.5), kind=interface.ListKind.CHANGES)
            case ("report", int(number), float(wait)):
                world.feed(
                    interface.Probed(f"s{number}", interface.Outcome.OK, 0.0, {"avg_ms": wait, "free": 3})
                )
    world.after(10.0)
    unanswered = [name for name in world.deadline if name not in world.answers]
    assert not unanswered
    assert not world.controller.held


@hypothesis_settings(derandomize=True, max_examples=30, deadline=None)
@given(st.integers(0, 2**32))
def test_same_events_same_actions(seed: int) -> None:
    def run() -> list[object]:
        world = World(seed=seed)
        world.servers(*entries(0, 1, 2))
        log: list[object] = []
        for number in range(30):
            name = world.call(number % 3)
            if number % 4 and name in world.open_attempts:
                world.end(name, interface.Outcome.FULL, 3, told_wait=1.0)
            world.after(0.05)
        log += world.sends
        return log

    assert run() == run()
