"""The five rules, each kept by one front alone."""

from __future__ import annotations

import pytest

from harepick import interface as i
from harepick.decide import Call

from .world import LOW, World, entries, settings


def two() -> World:
    world = World()
    world.servers(*entries(0, 1))
    return world


def test_time_out_at_the_deadline_is_answered() -> None:
    world = two()
    name = world.call(0, give=3.0)
    world.after(3.0)
    assert isinstance(world.answers[name], i.Fail)


def test_answered_once_when_caller_leaves_in_the_same_batch() -> None:
    world = two()
    name = world.call(0)
    world.after(0.1)
    n, attempt = world.out.pop(name)
    world.feed(
        i.AttemptEnded(name, n, attempt.server, i.Outcome.OK, 0.1, True),
        i.CallerLeft(name),
        i.Woken(1),
    )
    assert name not in world.answers
    assert not world.c.calls


def test_release_is_awaited() -> None:
    world = two()
    name = world.call(0)
    world.after(0.2)
    start = world.now
    world.end(name, i.Outcome.RESET)
    assert world.sent_to(name) is None
    world.after(0.49)
    assert world.sent_to(name) is None
    world.after(0.05)
    assert world.sent_to(name) == "s1"
    assert world.out[name][1].sent >= start + 0.5


def test_no_release_wait_past_the_deadline() -> None:
    world = two()
    name = world.call(0, give=0.3)
    world.after(0.1)
    world.end(name, i.Outcome.RESET)
    assert isinstance(world.answers[name], i.Fail)


def test_nothing_to_a_drained_or_missing_server() -> None:
    world = two()
    world.servers(*entries(0, state="draining"), kind=i.ListKind.CHANGES)
    assert world.sent_to(world.call(0)) == "s1"
    world.servers(*entries(0))
    assert world.sent_to(world.call(1)) == "s0"


def test_every_server_drained_is_refused_at_once() -> None:
    world = two()
    world.servers(*entries(0, 1, state="gone"), kind=i.ListKind.CHANGES)
    assert isinstance(world.answers[world.call(0)], i.Refuse)


def test_no_list_unknown_class_unknown_choice_and_past_deadline() -> None:
    world = World()
    assert isinstance(world.answers[world.call(0)], i.Refuse)
    world.servers(*entries(0))
    assert world.sent_to(world.call(77, "unheard-of", tenant="nobody")) == "s0"
    assert isinstance(world.answers[world.call(0, give=-1.0 + 0.99)], i.Refuse)


def test_attempt_limit() -> None:
    world = World(settings(try_limit=3))
    world.servers(*entries(0, 1, 2, 3))
    name = world.call(0, give=30.0)
    for _ in range(3):
        world.end(name, i.Outcome.UNREACHED)
        if name in world.answers:
            break
    assert name in world.answers
    assert world.tries[name] <= 3


def test_cold_server_gets_its_share_evenly() -> None:
    world = two()
    for _ in range(100):
        name = world.call(0)
        world.after(0.1)
        world.stand(name)
    world.servers(*entries(2, started=world.now), kind=i.ListKind.CHANGES)
    begun = world.now
    for _ in range(60):
        world.call(2)
        world.after(0.02)
    cold = [t for t, _, server in world.sends if server == "s2"]
    carried = 10.0 / 3 * 2  # fifty calls a second came, yet the share rests on the ten of the history
    limit = carried * 0.3 * 2.0 * (world.now - begun) + 2
    assert 0 < len(cold) <= limit


def test_cold_server_is_safe_from_a_front_without_history() -> None:
    world = World()
    world.servers(*entries(0, started=99.5), *entries(1))
    for _ in range(30):
        world.call(0)
    assert sum(server == "s0" for _, _, server in world.sends) <= 1


def test_events_for_what_is_no_longer_held_are_passed_over() -> None:
    world = two()
    world.feed(
        i.AttemptEnded("ghost", 0, "s0", i.Outcome.FULL, 0.1, False, 3),
        i.AttemptEnded("ghost", 0, "nowhere", i.Outcome.TIMEOUT, 0.1, False),
        i.CallStands("ghost", 0, "nowhere", 0.1),
        i.CallerLeft("ghost"),
        i.Woken(12345),
        i.Probed("nowhere", i.Outcome.OK, 0.0, {"free": 1}),
        i.PeerNote(3, b"x"),
    )
    assert not world.answers


@pytest.mark.parametrize("effect", ["single_shot", "guarded"])
def test_calls_with_effects_are_not_repeated_elsewhere(effect: str) -> None:
    cls = i.CallClass("low", 1.5, 9.0, 1.0, effect=effect, dedup_window=5.0)
    world = World(settings(classes=(cls,)))
    world.servers(*entries(0, 1))
    name = world.call(0, give=6.0)
    world.end(name, i.Outcome.RESET)
    world.after(1.0)
    assert world.sent_to(name) != "s1"
    world.after(6.0)
    assert isinstance(world.answers[name], i.Fail)


def guarded(world: World, call: Call) -> list[i.Action]:
    """What the chokepoint does with a send that breaks a rule: logged, never sent."""
    world.c.actions = []
    world.c._send(call, world.c.servers["s1"])
    assert isinstance(world.c.actions[0], i.Log) and "guard" in world.c.actions[0].text
    assert not any(isinstance(action, i.Send) for action in world.c.actions)
    return world.c.actions[1:]


def test_the_chokepoint_refuses_a_second_attempt() -> None:
    world = two()
    name = world.call(0)
    assert guarded(world, world.c.calls[name]) == []  # the attempt that is out brings the answer


def test_a_failed_guard_costs_that_call_and_not_the_front() -> None:
    """An assertion there once ended the whole front with all its calls."""
    world = two()
    for k, change in enumerate(("release", "drained")):
        call = Call(i.CallArrived(f"x{k}", 0, world.now + 3, "low"), LOW, world.now, 4)
        world.c.calls[call.id] = call
        if change == "release":
            call.not_before = world.now + 0.1
        else:
            world.servers(*entries(1, state="gone"), kind=i.ListKind.CHANGES)
        (answer,) = guarded(world, call)
        assert isinstance(answer, i.Refuse) and call.id not in world.c.calls
    assert world.sent_to(world.call(0)) == "s0"
