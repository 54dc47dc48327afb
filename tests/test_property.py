"""Arbitrary legal event sequences: the rules that hold for a single front. `World` asserts them."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from harepick import interface as i

from .world import World, entries, settings

OUTCOMES = [o for o in i.Outcome if o is not i.Outcome.OK]
STEP = st.one_of(
    st.tuples(
        st.just("call"), st.integers(0, 4), st.sampled_from(["low", "high", "x"]), st.floats(-0.01, 4.0)
    ),
    st.tuples(st.just("stand"), st.integers(0, 9)),
    st.tuples(st.just("end"), st.integers(0, 9), st.sampled_from(OUTCOMES), st.sampled_from([0, 1, 3, 4])),
    st.tuples(st.just("left"), st.integers(0, 9)),
    st.tuples(st.just("time"), st.floats(0.001, 1.5)),
    st.tuples(st.just("list"), st.lists(st.integers(0, 4), unique=True), st.sampled_from(list(i.ListKind))),
    st.tuples(st.just("off"), st.integers(0, 4), st.sampled_from(["draining", "gone", "ready"])),
    st.tuples(st.just("start"), st.integers(0, 4)),
    st.tuples(st.just("report"), st.integers(0, 4), st.floats(0.0, 5000.0)),
)


@hypothesis_settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(STEP, max_size=60), st.booleans(), st.integers(1, 5))
def test_rules_hold(steps: list[tuple[object, ...]], cancel: bool, limit: int) -> None:
    world = World(settings(may_cancel=cancel, try_limit=limit))
    world.servers(*entries(0, 1, 2), kind=i.ListKind.REMEMBERED)
    left: set[str] = set()
    for step in steps:
        match step:
            case ("call", int(dest), str(cls), float(give)):
                world.call(dest, cls, give)
            case ("stand", int(k)) if world.out:
                world.stand(list(world.out)[k % len(world.out)])
            case ("end", int(k), i.Outcome() as outcome, int(cause)) if world.out:
                world.end(list(world.out)[k % len(world.out)], outcome, cause)
            case ("left", int(k)) if world.c.calls:
                name = list(world.c.calls)[k % len(world.c.calls)]
                left.add(name)
                world.out.pop(name, None)
                world.answers[name] = "left"
                world.feed(i.CallerLeft(name))
            case ("time", float(span)):
                world.after(span)
            case ("list", list(numbers), i.ListKind() as kind):
                world.servers(*entries(*numbers), kind=kind)
            case ("off", int(n), str(state)):
                world.servers(*entries(n, state=state), kind=i.ListKind.CHANGES)
            case ("start", int(n)):
                world.servers(*entries(n, started=world.now - 0.5), kind=i.ListKind.CHANGES)
            case ("report", int(n), float(wait)):
                world.feed(i.Probed(f"s{n}", i.Outcome.OK, 0.0, {"avg_ms": wait, "free": 3}))
    world.after(10.0)
    unanswered = [name for name in world.deadline if name not in world.answers]
    assert not unanswered
    assert not world.c.held


@hypothesis_settings(derandomize=True, max_examples=30, deadline=None)
@given(st.integers(0, 2**32))
def test_same_events_same_actions(seed: int) -> None:
    def run() -> list[object]:
        world = World(seed=seed)
        world.servers(*entries(0, 1, 2))
        log: list[object] = []
        for n in range(30):
            name = world.call(n % 3)
            if n % 4 and name in world.out:
                world.end(name, i.Outcome.FULL, 3, told_wait=1.0)
            world.after(0.05)
        log += world.sends
        return log

    assert run() == run()
