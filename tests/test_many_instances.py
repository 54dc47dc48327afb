"""Many instances, each of which observes little: their combined load on the servers."""

from __future__ import annotations

import pytest

from harepick import interface

from .world import World, entries, settings


@pytest.mark.parametrize("instances", [6, 300])
@pytest.mark.parametrize("seed", [1, 900])
def test_all_instances_together_do_not_overload_a_restarted_server(instances: int, seed: int) -> None:
    """Regression: each instance sent one and a half calls at once to a restarted server, which collapsed."""
    config = settings(fronts=instances)
    servers, capacity = 3, 30.0  # calls a second of one server; the instances offer as much
    call_interval = instances / (servers * capacity)  # seconds between two calls of one instance
    restart = 100.0 + max(20.0, 12 * call_interval)
    sends: list[float] = []
    for number in range(instances):
        world = World(config, seed=seed + number)
        world.servers(*entries(*range(servers)))
        count = 0
        while world.now < restart:
            name = world.call(count % servers)
            world.after(0.03)
            if world.sent_to(name):
                world.stand(name)
            world.after(call_interval - 0.03)
            count += 1
        first_send = len(world.sends)
        world.servers(*entries(0, started=restart), kind=interface.ListKind.CHANGES)
        while world.now < restart + 4.0:  # every call asks for s0, three times as often as before
            world.call(0)
            world.after(call_interval / 3)
        sends += [sent for sent, _, server in world.sends[first_send:] if server == "s0"]
    sends.sort()
    worst = 0.0
    for index, start in enumerate(sends):
        count = sum(start <= sent < start + config.tip_after for sent in sends[index:])
        cold_capacity = capacity * config.cold_share  # right after its start, when it can carry the least
        worst = max(worst, count / (config.tip_multiple * cold_capacity * config.tip_after))
    assert 0.1 < worst <= 1.0


def low_rate_world(servers: int = 4) -> World:
    """An instance that sends each server a call every four seconds, after a minute in service."""
    world = World(settings(fronts=240))
    world.servers(*entries(*range(servers)))
    for number in range(60):
        name = world.call(number % servers)
        world.after(0.03)
        world.stand(name)
        world.after(0.97)
    world.sends.clear()
    return world


def test_a_server_without_samples_is_not_taken_for_idle() -> None:
    """Regression: diverted and repeated calls went to servers that counted as idle for lack of samples."""
    world = low_rate_world()
    for number in range(12):
        world.call(number % 4)
    assert not any(world.controller._is_idle(server) for server in world.controller.servers.values())


def test_unused_tokens_expire() -> None:
    world = low_rate_world()
    world.after(60.0)
    for server in world.controller.servers.values():
        kept = server.gate.added - server.gate.taken
        assert kept <= 2.0 * server.max_gate_rate / world.controller._fair_rate(server) + 1.0


def test_gate_rate_recovers_as_slowly_as_samples_arrive() -> None:
    world = low_rate_world()
    world.feed(interface.Probed("s0", interface.Outcome.OK, 0.0, {"avg_ms": 900.0}))
    world.after(2.0)
    server = world.controller.servers["s0"]
    assert server.throttle == 1 and server.recovering
    closed_rate = server.gate_rate
    world.after(1.0)
    assert closed_rate < server.gate_rate < closed_rate + (server.max_gate_rate - closed_rate) / 3


def test_redials_do_not_raise_the_arrival_rate() -> None:
    world = low_rate_world()
    rate_before = world.controller.arrival_rate
    world.servers(*entries(0, 1, 2, 3, state="draining"))
    for number in range(40):
        name = f"again{number}"
        world.deadline[name] = world.now + 3.0
        world.feed(interface.CallArrived(name, 0, world.now + 3.0, "low", number=5))
        world.after(0.05)
    assert world.controller.arrival_rate <= rate_before


def test_lost_answers_at_every_server_close_none_for_long() -> None:
    """Regression: time-outs at most servers were taken for load and faults, and every instance throttled
    healthy servers."""
    world = low_rate_world()
    call_ends = [
        interface.AttemptEnded(f"c{number + 1}", 0, f"s{number % 4}", interface.Outcome.OK, 2.0, True)
        for number in range(8, 60)
    ]
    for number in range(80):
        name = world.call(number % 4)
        world.after(0.03)
        if number % 3 and (server := world.sent_to(name)):
            world.stand(name)
            call_ends.append(
                interface.AttemptEnded(
                    name, world.attempts_sent[name] - 1, server, interface.Outcome.OK, 2.0, True
                )
            )
        if len(call_ends) > 8:
            world.feed(call_ends.pop(0))
        world.after(0.22)
    refused = sum(isinstance(answer, interface.Refuse) for answer in world.answers.values())
    assert refused <= 12


def test_lost_answers_at_one_server_throttle_it() -> None:
    world = low_rate_world()
    for number in range(80):
        name = world.call(number % 4)
        world.after(0.03)
        if world.sent_to(name) not in ("s0", None):
            world.stand(name)
        world.after(0.97)
    assert (
        world.controller.servers["s0"].gate_rate < 0.8 * world.controller.servers["s0"].max_gate_rate
        or not world.controller.servers["s0"].throttle
    )


def test_a_server_without_free_lines_is_closed_only_when_it_recurs() -> None:
    """Regression: two servers without free lines showed no wait and attracted half of all sends of 235
    instances."""
    world, closed = low_rate_world(), []
    for _ in range(6):
        name = world.call(0)
        if world.sent_to(name) == "s0":
            world.end(name, interface.Outcome.FULL, cause=1)
        world.feed(interface.Probed("s0", interface.Outcome.OK, 0.0, {"free": 3}))
        world.after(0.3)
        closed.append(not world.controller.servers["s0"].throttle)
    assert not closed[0] and any(closed)


def test_gate_rate_recovers_sooner_while_no_wait_is_reported() -> None:
    """Regression: after a congestion every instance kept its gate rate low for fifteen seconds although the
    servers were idle."""
    gains = []
    for wait in (0.0, 200.0):
        world = low_rate_world()
        server = world.controller.servers["s0"]
        world.feed(interface.Probed("s0", interface.Outcome.OK, 0.0, {"avg_ms": 900.0}))
        world.after(2.0)
        server.activity_gap = 1.0
        world.feed(interface.Probed("s0", interface.Outcome.OK, 0.0, {"avg_ms": wait}))
        before = server.gate_rate
        world.after(1.0)
        gains.append(server.gate_rate - before)
    assert gains[0] > 1.5 * gains[1] > 0.0


def test_servers_that_have_gone_are_forgotten() -> None:
    """Regression: servers are replaced under new ids all day, and every interval and every routing decision
    went through all of them."""
    world = World()
    for number in range(40):
        world.servers(*entries(number), kind=interface.ListKind.CHANGES)
        world.stand(world.call(number))
        world.after(5.0)
        world.servers(*entries(number, state="gone"), kind=interface.ListKind.CHANGES)
    assert len(world.controller.servers) < 20
    world.servers(*entries(39), kind=interface.ListKind.CHANGES)  # a server that comes back is usable again
    assert world.sent_to(world.call(39)) == "s39"
