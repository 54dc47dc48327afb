"""The rules that a single instance keeps: final answers, release guard, drains, limits, cold servers."""

from __future__ import annotations

import pytest

from harepick import interface
from harepick.decide import Call

from .world import LOW, World, entries, settings


def two_server_world() -> World:
    """An instance with two servers, s0 and s1."""
    world = World()
    world.servers(*entries(0, 1))
    return world


def test_time_out_at_the_deadline_is_answered() -> None:
    world = two_server_world()
    name = world.call(0, patience=3.0)
    world.after(3.0)
    assert isinstance(world.answers[name], interface.Fail)


def test_answered_once_when_caller_leaves_in_the_same_batch() -> None:
    world = two_server_world()
    name = world.call(0)
    world.after(0.1)
    number, attempt = world.open_attempts.pop(name)
    world.feed(
        interface.AttemptEnded(name, number, attempt.server, interface.Outcome.OK, 0.1, True),
        interface.CallerLeft(name),
        interface.Woken(1),
    )
    assert name not in world.answers
    assert not world.controller.calls


def test_the_release_guard_is_kept() -> None:
    world = two_server_world()
    name = world.call(0)
    world.after(0.2)
    start = world.now
    world.end(name, interface.Outcome.RESET)
    assert world.sent_to(name) is None
    world.after(0.49)
    assert world.sent_to(name) is None
    world.after(0.05)
    assert world.sent_to(name) == "s1"
    assert world.open_attempts[name][1].sent >= start + 0.5


def test_no_release_guard_past_the_deadline() -> None:
    world = two_server_world()
    name = world.call(0, patience=0.3)
    world.after(0.1)
    world.end(name, interface.Outcome.RESET)
    assert isinstance(world.answers[name], interface.Fail)


def test_nothing_to_a_drained_or_missing_server() -> None:
    world = two_server_world()
    world.servers(*entries(0, state="draining"), kind=interface.ListKind.CHANGES)
    assert world.sent_to(world.call(0)) == "s1"
    world.servers(*entries(0))
    assert world.sent_to(world.call(1)) == "s0"


def test_every_server_drained_is_refused_at_once() -> None:
    world = two_server_world()
    world.servers(*entries(0, 1, state="gone"), kind=interface.ListKind.CHANGES)
    assert isinstance(world.answers[world.call(0)], interface.Refuse)


def test_no_list_unknown_class_unknown_choice_and_past_deadline() -> None:
    world = World()
    assert isinstance(world.answers[world.call(0)], interface.Refuse)
    world.servers(*entries(0))
    assert world.sent_to(world.call(77, "unheard-of", tenant="nobody")) == "s0"
    assert isinstance(world.answers[world.call(0, patience=-1.0 + 0.99)], interface.Refuse)


def test_attempt_limit() -> None:
    world = World(settings(try_limit=3))
    world.servers(*entries(0, 1, 2, 3))
    name = world.call(0, patience=30.0)
    for _ in range(3):
        world.end(name, interface.Outcome.UNREACHED)
        if name in world.answers:
            break
    assert name in world.answers
    assert world.attempts_sent[name] <= 3


def test_cold_server_gets_its_share_evenly() -> None:
    world = two_server_world()
    for _ in range(100):
        name = world.call(0)
        world.after(0.1)
        world.stand(name)
    world.servers(*entries(2, started=world.now), kind=interface.ListKind.CHANGES)
    restarted_at = world.now
    for _ in range(60):
        world.call(2)
        world.after(0.02)
    cold = [sent for sent, _, server in world.sends if server == "s2"]
    fair_rate = 10.0 / 3 * 2  # 50 calls a second come, but the share follows the 10 a second of the history
    limit = fair_rate * 0.3 * 2.0 * (world.now - restarted_at) + 2
    assert 0 < len(cold) <= limit


def test_an_instance_without_history_sends_a_cold_server_at_most_one_call() -> None:
    world = World()
    world.servers(*entries(0, started=99.5), *entries(1))
    for _ in range(30):
        world.call(0)
    assert sum(server == "s0" for _, _, server in world.sends) <= 1


def test_events_for_unknown_calls_and_servers_are_ignored() -> None:
    world = two_server_world()
    world.feed(
        interface.AttemptEnded("ghost", 0, "s0", interface.Outcome.FULL, 0.1, False, 3),
        interface.AttemptEnded("ghost", 0, "nowhere", interface.Outcome.TIMEOUT, 0.1, False),
        interface.CallStands("ghost", 0, "nowhere", 0.1),
        interface.CallerLeft("ghost"),
        interface.Woken(12345),
        interface.Probed("nowhere", interface.Outcome.OK, 0.0, {"free": 1}),
        interface.PeerNote(3, b"x"),
    )
    assert not world.answers


@pytest.mark.parametrize("effect", ["single_shot", "guarded"])
def test_calls_with_effects_are_not_repeated_elsewhere(effect: str) -> None:
    call_class = interface.CallClass("low", 1.5, 9.0, 1.0, effect=effect, dedup_window=5.0)
    world = World(settings(classes=(call_class,)))
    world.servers(*entries(0, 1))
    name = world.call(0, patience=6.0)
    world.end(name, interface.Outcome.RESET)
    world.after(1.0)
    assert world.sent_to(name) != "s1"
    world.after(6.0)
    assert isinstance(world.answers[name], interface.Fail)


def send_forbidden(world: World, call: Call) -> list[interface.Action]:
    """Tries a send that breaks a rule, checks that it is only logged, and returns the other actions."""
    world.controller.actions = []
    world.controller._send(call, world.controller.servers["s1"])
    assert (
        isinstance(world.controller.actions[0], interface.Log)
        and "at s1 not allowed" in world.controller.actions[0].text
    )
    assert not any(isinstance(action, interface.Send) for action in world.controller.actions)
    return world.controller.actions[1:]


def test_a_second_open_attempt_is_not_sent() -> None:
    world = two_server_world()
    name = world.call(0)
    assert send_forbidden(world, world.controller.calls[name]) == []  # the open attempt brings the answer


def test_a_failed_guard_ends_that_call_and_not_the_instance() -> None:
    """Regression: a failed check raised an exception, which ended the whole instance with all its calls."""
    world = two_server_world()
    for index, change in enumerate(("release", "drained")):
        call = Call(interface.CallArrived(f"x{index}", 0, world.now + 3, "low"), LOW, world.now, 4)
        world.controller.calls[call.id] = call
        if change == "release":
            call.not_before = world.now + 0.1
        else:
            world.servers(*entries(1, state="gone"), kind=interface.ListKind.CHANGES)
        (answer,) = send_forbidden(world, call)
        assert isinstance(answer, interface.Refuse) and call.id not in world.controller.calls
    assert world.sent_to(world.call(0)) == "s0"
