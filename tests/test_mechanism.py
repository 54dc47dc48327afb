"""The parts of the mechanism, by their figures."""

from __future__ import annotations

import pytest

from harepick import decide
from harepick import interface as i

from .world import World, entries, settings


def jam(world: World, server: str, wait: float, span: float = 1.0) -> None:
    """Reports of this wait for so long."""
    for _ in range(int(span / 0.05)):
        world.feed(i.Probed(server, i.Outcome.OK, 0.0, {"avg_ms": wait * 1000.0}))
        world.after(0.05)


def two() -> World:
    world = World()
    world.servers(*entries(0, 1))
    return world


def test_first_choice_while_open() -> None:
    world = two()
    for dest in (0, 1, 1, 0):
        name = world.call(dest)
        assert world.sent_to(name) == f"s{dest}"
        world.after(0.03)
        world.stand(name)


def test_occupancy_is_pmax_at_the_set_share_of_the_tightest_aim() -> None:
    world = two()
    jam(world, "s0", decide.SHUT_SHARE * 1.0)
    assert world.c._occupancy(world.c.servers["s0"], decide.WM) == pytest.approx(decide.PMAX)
    assert world.c._occupancy(world.c.servers["s1"], decide.WM) == 0.0


def test_reported_utilisation_is_occupancy() -> None:
    world = two()
    for _ in range(20):
        world.feed(i.Probed("s0", i.Outcome.OK, 0.0, {"cpu": 0.7}))
        world.after(0.05)
    assert world.c._occupancy(world.c.servers["s0"], decide.WM) == pytest.approx(0.7)


def test_shut_server_sheds_fresh_calls_to_the_other() -> None:
    world = two()
    world.history()
    jam(world, "s0", 1.0)
    assert world.c.servers["s0"].throttle == 0
    assert world.sent_to(world.call(0)) == "s1"


def test_refused_only_when_every_server_is_shut() -> None:
    world = two()
    for _ in range(20):
        world.feed(*(i.Probed(s, i.Outcome.OK, 0.0, {"avg_ms": 900.0}) for s in ("s0", "s1")))
        world.after(0.05)
    answer = world.answers[world.call(0)]
    assert isinstance(answer, i.Refuse) and answer.come_back > 0


def test_reopens_as_old_news_decays() -> None:
    world = two()
    jam(world, "s0", 1.0)
    assert world.c.servers["s0"].throttle == 0
    world.after(2.0)
    assert world.c.servers["s0"].throttle == 1


def test_sticky_until_full_then_redrawn() -> None:
    world = World()
    world.servers(*entries(0, 1, 2))
    world.history()
    jam(world, "s0", 1.0)
    for known in world.c.servers.values():
        known.gate.made += 9.0
    used = world.sent_to(name := world.call(0))
    assert used in ("s1", "s2")
    world.stand(name)
    for _ in range(4):
        name = world.call(0)
        assert world.sent_to(name) == used
        world.after(0.02)
        world.stand(name)
    name = world.call(0)
    world.end(name, i.Outcome.FULL, cause=1)
    assert world.sent_to(name) not in (None, used)


def test_age_of_unanswered_set_ups_shuts_a_silent_server() -> None:
    world = two()
    world.call(0)
    world.after(0.9)
    assert world.c.servers["s0"].throttle == 0
    assert world.sent_to(world.call(0)) == "s1"


def test_one_lost_set_up_among_answered_ones_shuts_nothing() -> None:
    world = two()
    world.call(0)
    for _ in range(8):
        name = world.call(0)
        world.after(0.1)
        world.stand(name)
    assert world.c.servers["s0"].throttle == 1


def test_rate_tightens_while_shut_and_loosens_when_calm() -> None:
    world = two()
    for _ in range(20):
        name = world.call(0)
        world.after(0.05)
        world.stand(name)
    server = world.c.servers["s0"]
    jam(world, "s0", 1.0, 2.0)
    tight = server.gate_rate
    assert server.max_gate_rate * decide.RMIN_SHARE <= tight < server.max_gate_rate / 2
    world.after(4.0)
    assert tight < server.gate_rate <= server.max_gate_rate


def test_a_reopened_server_takes_fresh_calls_through_the_gate() -> None:
    world = two()
    for _ in range(20):
        name = world.call(0)
        world.after(0.05)
        world.stand(name)
    jam(world, "s0", 1.0, 2.0)
    server = world.c.servers["s0"]
    while server.throttle == 0:
        world.after(0.05)
        world.feed(i.Probed("s1", i.Outcome.OK, 0.0, {"avg_ms": 0.0}))
    assert server.eased
    sent = [world.sent_to(world.call(0)) for _ in range(10)]
    assert sent.count("s0") <= max(1.0, server.max_gate_rate) / 2
    assert sent.count("s1") >= 1


def test_dear_class_passes_the_gate_of_a_shut_server() -> None:
    world = two()
    for _ in range(30):
        name = world.call(0)
        world.after(0.05)
        world.stand(name)
    for _ in range(10):
        world.feed(*(i.Probed(s, i.Outcome.OK, 0.0, {"avg_ms": 900.0}) for s in ("s0", "s1")))
        world.after(0.05)
    assert world.c.servers["s0"].throttle == 0 == world.c.servers["s1"].throttle
    assert isinstance(world.answers.get(world.call(0, "low")), i.Refuse)
    assert world.sent_to(world.call(0, "high")) is not None


def test_faults_shut_a_server_only_when_they_recur() -> None:
    world = two()
    server = world.c.servers["s0"]
    name = world.call(0)
    world.end(name, i.Outcome.ERROR)
    assert world.sent_to(name) == "s1"
    world.after(0.5)
    assert server.throttle == 1
    for _ in range(5):
        world.end(world.call(0), i.Outcome.UNREACHED)
    world.after(0.3)
    assert server.throttle == 0


def test_busy_lines_of_the_number_end_the_call() -> None:
    world = two()
    name = world.call(0)
    world.end(name, i.Outcome.ERROR, cause=4)
    assert isinstance(world.answers[name], i.Fail)
    assert world.c.servers["s0"].faults == 0.0


def test_a_pool_without_lines_is_passed_over() -> None:
    world = two()
    world.history()
    world.end(world.call(0), i.Outcome.FULL, cause=1)
    assert world.sent_to(world.call(0)) == "s1"
    world.feed(i.Probed("s0", i.Outcome.OK, 0.0, {"free": 3}))
    assert world.sent_to(world.call(0)) == "s0"


def test_restart_voids_estimates() -> None:
    world = two()
    jam(world, "s0", 1.0)
    world.servers(*entries(0, started=world.now), kind=i.ListKind.CHANGES)
    assert world.c.servers["s0"].throttle == 1


def test_phases_differ_between_seeds_and_repeat_for_one() -> None:
    first = [World(seed=n).timers[0][0] for n in range(8)]
    assert len(set(first)) == 8
    assert first == [World(seed=n).timers[0][0] for n in range(8)]


def test_settings_scale_the_interval() -> None:
    config = settings(classes=(i.CallClass("x", 4.0, 20.0, 1.0),))
    assert World(config).c.interval == pytest.approx(4.0 / decide.INTERVALS_PER_AIM)


def test_shed_traffic_does_not_topple_a_small_neighbour() -> None:
    """A hung server shut at once sent all its traffic to one a sixth of its size."""
    world = World()
    world.servers(i.ServerEntry("s0", 0, "ready", 6.0), i.ServerEntry("s1", 1, "ready", 1.0))
    for n in range(70):
        name = world.call(0 if n % 7 else 1)
        world.after(0.1)
        world.stand(name)
    jam(world, "s0", 5.0, 0.5)
    before = len(world.sends)
    for _ in range(30):
        world.call(0)
    spilled = sum(server == "s1" for _, _, server in world.sends[before:])
    assert 1 <= spilled <= world.c.servers["s1"].max_gate_rate + 2


def test_a_lost_set_up_does_not_keep_a_speaking_server_shut() -> None:
    """One set-up without any answer held the largest server of a fleet shut for six seconds."""
    world = two()
    world.call(0, give=9.0)
    for _ in range(30):
        world.after(0.1)
        world.feed(i.Probed("s0", i.Outcome.OK, 0.0, {"avg_ms": 0.0}))
    assert world.c.servers["s0"].throttle == 1


def test_a_wholly_silent_server_stays_shut() -> None:
    world = two()
    world.call(0, give=9.0)
    world.after(3.0)
    assert world.c.servers["s0"].throttle == 0


def test_a_set_up_overtaken_by_a_later_answer_is_cancelled_and_tried_elsewhere() -> None:
    """Most set-ups to one server went unanswered while it served the rest: each waited for its deadline."""
    world = two()
    lost = world.call(0)
    world.after(0.28)
    later = world.call(0)
    world.after(0.05)
    world.stand(later)
    world.cancelled = ""
    world.after(0.3)
    assert world.cancelled == lost
    world.end(lost, i.Outcome.CANCELLED)
    world.after(0.6)
    assert world.sent_to(lost) == "s1"
    assert world.c.servers["s0"].faults > 0


def test_a_wholly_silent_server_loses_its_calls_to_an_open_one() -> None:
    world = two()
    for _ in range(40):
        name = world.call(0)
        world.after(0.05)
        world.stand(name)
    world.cancelled = ""
    name = world.call(0)
    world.after(0.95)
    assert world.cancelled == name


def test_a_send_takes_one_of_the_told_free_lines() -> None:
    """Several calls at once used the one free line told of; the losers pressed other servers."""
    world = two()
    world.feed(i.Probed("s0", i.Outcome.OK, 0.0, {"free": 1}))
    first, second = world.call(0), world.call(0)
    assert [world.sent_to(first), world.sent_to(second)] == ["s0", "s1"]
    world.end(first, i.Outcome.OK)
    assert world.sent_to(world.call(0)) == "s0"


def test_a_redial_past_its_aim_yields_where_there_is_pressure() -> None:
    """Callers dialling again too late to earn in full took the room of calls that still could."""
    world = two()
    world.c.servers["s0"].eased = True
    for known in world.c.servers.values():
        known.gate.made += 5.0
    late = world.now + 3.0
    for name, number in (("first", 55), ("other", 66)):
        world.deadline[name] = late
        world.feed(i.CallArrived(name, 0, late, "low", number=number))
        assert world.sent_to(name) == "s0"
        world.end(name, i.Outcome.ERROR, cause=4)
    world.after(1.3)
    server = world.c.servers["s0"]
    server.eased = True
    server.gate.made += 5.0
    for name, number, wanted in (("again", 55, "s1"), ("fresh", 77, "s0")):
        world.deadline[name] = world.now + 3.0
        world.feed(i.CallArrived(name, 0, world.now + 3.0, "low", number=number))
        assert world.sent_to(name) == wanted


def test_the_end_of_a_call_is_a_word_from_a_server_that_reports_nothing() -> None:
    """Where nothing is reported, one lost set-up kept servers shut while calls ended there."""
    world = two()
    old = [world.call(0) for _ in range(12)]
    for name in old:
        n, attempt = world.out.pop(name)
        world.answers[name] = "stands"
        world.feed(i.CallStands(name, n, attempt.server, 0.03))
    lost = world.call(0, give=9.0)
    assert world.sent_to(lost) == "s0"
    for name in old:
        world.after(0.2)
        world.feed(i.AttemptEnded(name, 0, "s0", i.Outcome.OK, 1.0, True))
    assert world.c.servers["s0"].throttle == 1


def test_a_server_that_answers_errors_is_neither_shut_nor_first() -> None:
    """One answered eight of ten with an error at once: shut for it, it left the calls to a server too small
    for them, and six of ten were refused. Tried again, most of them stand."""
    world = World()
    world.servers(*entries(0, 1))
    world.history()
    for _ in range(8):  # s0 errs: each call goes on to the other one
        name = world.call(0)
        world.after(0.03)
        if world.sent_to(name) == "s0":
            world.end(name, i.Outcome.ERROR)
        assert world.sent_to(name) == "s1"
        world.after(0.02)
        world.stand(name)
        world.after(0.3)
    name = world.call(0)
    assert world.sent_to(name) == "s1"  # by now before it was tried there
    world.stand(name)
    world.servers(*entries(1, state="draining"), kind=i.ListKind.CHANGES)
    name = world.call(0)
    for _ in range(3):  # alone, it is tried again and again, and not shut
        assert world.sent_to(name) == "s0"
        world.after(0.03)
        world.end(name, i.Outcome.ERROR)
    assert world.sent_to(name) == "s0"
    world.after(0.03)
    world.stand(name)
    world.after(1.0)
    assert world.sent_to(world.call(0)) == "s0"


def test_calls_go_to_the_successor_of_a_server_before_the_drain_is_told() -> None:
    """In a release the new one is announced a second or more ahead of the drain: what was still set up at
    the old one in between was cut when it stopped, a tenth of a day's calls."""
    world = World()
    world.servers(*entries(0, 1))
    world.history()
    new = i.ServerEntry("n0", 0, "ready", 1.0, world.now - 30.0)  # up, and warm
    world.servers(new, kind=i.ListKind.CHANGES)
    for _ in range(5):
        name = world.call(0)
        assert world.sent_to(name) == "n0"
        world.after(0.02)
        world.stand(name)
        world.after(0.2)
    world.servers(i.ServerEntry("n0", 0, "draining", 1.0, new.started), kind=i.ListKind.CHANGES)
    assert world.sent_to(world.call(0)) == "s0"  # the other way round: nobody is left without a server


def test_a_front_is_young_for_some_intervals_whatever_its_aims() -> None:
    """Three seconds were eight intervals where calls have 1.5 s; where they have 0.4 s, a front held its
    own traffic for thin until long after its start, and a server that it had shut once stayed eased in."""
    brisk = i.CallClass("low", aim=0.4, give_up=3.0, worth=1.0)
    world = World(settings(classes=(brisk,)))
    world.servers(*entries(0))
    for _ in range(40):
        name = world.call(0)
        world.after(0.01)
        if world.sent_to(name):
            world.stand(name)
        world.after(0.015)
    assert 25.0 < world.c.rate < 45.0  # of the 40 a second that came
