"""Many fronts, each of which sees little: what they do together."""

from __future__ import annotations

import pytest

from harepick import interface as i

from .world import World, entries, settings


@pytest.mark.parametrize("fronts", [6, 300])
@pytest.mark.parametrize("seed", [1, 900])
def test_all_fronts_together_keep_a_restarted_server_standing(fronts: int, seed: int) -> None:
    """Every front opened with one and a half calls of its own at once: the server fell over."""
    config = settings(fronts=fronts)
    servers, capacity = 3, 30.0  # calls a second that one server carries; the fronts bring as much
    gap = fronts / (servers * capacity)
    restart = 100.0 + max(20.0, 12 * gap)
    sends: list[float] = []
    for n in range(fronts):
        world = World(config, seed=seed + n)
        world.servers(*entries(*range(servers)))
        count = 0
        while world.now < restart:
            name = world.call(count % servers)
            world.after(0.03)
            if world.sent_to(name):
                world.stand(name)
            world.after(gap - 0.03)
            count += 1
        begun = len(world.sends)
        world.servers(*entries(0, started=restart), kind=i.ListKind.CHANGES)
        while world.now < restart + 4.0:  # every call asks for it, three times as often as before
            world.call(0)
            world.after(gap / 3)
        sends += [t for t, _, server in world.sends[begun:] if server == "s0"]
    sends.sort()
    worst = 0.0
    for k, start in enumerate(sends):
        count = sum(start <= t < start + config.tip_after for t in sends[k:])
        present = capacity * config.cold_share  # it may still be as weak as at its start
        worst = max(worst, count / (config.tip_multiple * present * config.tip_after))
    assert 0.1 < worst <= 1.0


def thin(servers: int = 4) -> World:
    """A front that sends each server a call every four seconds, after a minute in service."""
    world = World(settings(fronts=240))
    world.servers(*entries(*range(servers)))
    for n in range(60):
        name = world.call(n % servers)
        world.after(0.03)
        world.stand(name)
        world.after(0.97)
    world.sends.clear()
    return world


def test_an_unheard_server_is_not_taken_for_an_idle_one() -> None:
    """Shed and tried calls went as to idle servers wherever nothing had been heard for a second."""
    world = thin()
    for n in range(12):
        world.call(n % 4)
    assert not any(world.c._idle(server) for server in world.c.servers.values())


def test_a_front_s_unused_tokens_go_stale() -> None:
    world = thin()
    world.after(60.0)
    for server in world.c.servers.values():
        kept = server.gate.made - server.gate.used
        assert kept <= 2.0 * server.max_gate_rate / world.c._carried(server) + 1.0


def test_r_loosens_as_slowly_as_news_comes() -> None:
    world = thin()
    world.feed(i.Probed("s0", i.Outcome.OK, 0.0, {"avg_ms": 900.0}))
    world.after(2.0)
    server = world.c.servers["s0"]
    assert server.throttle == 1 and server.eased
    tight = server.gate_rate
    world.after(1.0)
    assert tight < server.gate_rate < tight + (server.max_gate_rate - tight) / 3


def test_redials_raise_neither_the_fair_share_nor_rmax() -> None:
    world = thin()
    share = world.c.rate
    world.servers(*entries(0, 1, 2, 3, state="draining"))
    for n in range(40):
        name = f"again{n}"
        world.deadline[name] = world.now + 3.0
        world.feed(i.CallArrived(name, 0, world.now + 3.0, "low", number=5))
        world.after(0.05)
    assert world.c.rate <= share


def test_lost_answers_at_every_server_shut_none_for_long() -> None:
    """Time-outs at most servers read as load and faults: every front throttled healthy servers."""
    world = thin()
    standing = [i.AttemptEnded(f"c{n + 1}", 0, f"s{n % 4}", i.Outcome.OK, 2.0, True) for n in range(8, 60)]
    for n in range(80):
        name = world.call(n % 4)
        world.after(0.03)
        if n % 3 and (server := world.sent_to(name)):
            world.stand(name)
            standing.append(i.AttemptEnded(name, world.tries[name] - 1, server, i.Outcome.OK, 2.0, True))
        if len(standing) > 8:
            world.feed(standing.pop(0))
        world.after(0.22)
    refused = sum(isinstance(answer, i.Refuse) for answer in world.answers.values())
    assert refused <= 12


def test_lost_answers_at_one_server_shut_it() -> None:
    world = thin()
    for n in range(80):
        name = world.call(n % 4)
        world.after(0.03)
        if world.sent_to(name) not in ("s0", None):
            world.stand(name)
        world.after(0.97)
    assert (
        world.c.servers["s0"].gate_rate < 0.8 * world.c.servers["s0"].max_gate_rate
        or not world.c.servers["s0"].throttle
    )


def test_a_server_out_of_lines_shuts_only_when_it_recurs() -> None:
    """Two servers out of lines, without a wait, drew half of all sends of 235 fronts."""
    world, shut = thin(), []
    for _ in range(6):
        name = world.call(0)
        if world.sent_to(name) == "s0":
            world.end(name, i.Outcome.FULL, cause=1)
        world.feed(i.Probed("s0", i.Outcome.OK, 0.0, {"free": 3}))
        world.after(0.3)
        shut.append(not world.c.servers["s0"].throttle)
    assert not shut[0] and any(shut)


def test_r_loosens_sooner_while_no_wait_is_told() -> None:
    """After a jam every front held r down for fifteen seconds beside idle servers."""
    gains = []
    for wait in (0.0, 200.0):
        world = thin()
        server = world.c.servers["s0"]
        world.feed(i.Probed("s0", i.Outcome.OK, 0.0, {"avg_ms": 900.0}))
        world.after(2.0)
        server.gap = 1.0
        world.feed(i.Probed("s0", i.Outcome.OK, 0.0, {"avg_ms": wait}))
        before = server.gate_rate
        world.after(1.0)
        gains.append(server.gate_rate - before)
    assert gains[0] > 1.5 * gains[1] > 0.0


def test_servers_that_have_gone_are_forgotten() -> None:
    """On a long day servers are replaced by others under new ids: every tick and route walked them all."""
    world = World()
    for n in range(40):
        world.servers(*entries(n), kind=i.ListKind.CHANGES)
        world.stand(world.call(n))
        world.after(5.0)
        world.servers(*entries(n, state="gone"), kind=i.ListKind.CHANGES)
    assert len(world.c.servers) < 20
    world.servers(*entries(39), kind=i.ListKind.CHANGES)  # one that comes back is known or made anew
    assert world.sent_to(world.call(39)) == "s39"
