"""New configurations in quick succession (SIGHUP), while callers still use the ones before."""

from __future__ import annotations

import json
import signal
import time
from typing import Any

import pytest

from harepick.net import binary
from tests import peers

CAUSE_INVALID = 100  # Q.850, of a set-up that the settings do not allow
CALLERS_MOVE_AFTER_S = 1.2  # callers use new settings this long after a SIGHUP


def reload(platform: peers.Platform, running: peers.Program, **changes: Any) -> None:
    """Changes the platform's settings and waits until the program has read them."""
    platform.config["settings"] |= changes
    platform.path.write_text(json.dumps(platform.config))
    before = len(running.events("reloaded"))
    running.process.send_signal(signal.SIGHUP)
    peers.until(lambda: len(running.events("reloaded")) > before, why="the reload")


def answered(platform: peers.Platform, caller: peers.Caller, **call: Any) -> bool:
    """Whether a set-up reaches a server and its answer reaches the caller."""
    call_id = caller.call(**call)
    found = platform.servers[0].invited(within=0.5)
    if found is None:
        return False
    peers.reply(*found, 200, b"answer")
    return caller.final_answer(call_id).type == binary.ANSWER


@pytest.mark.parametrize("reloads", [1, 2, 3, 4])
def test_dropped_class_is_accepted_however_many_reloads_follow(reloads: int) -> None:
    """Regression: the second reload forgot the classes that the first had dropped."""
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        classes = platform.config["settings"]["Classes"]
        started_at = time.time()
        reload(platform, running, Classes=classes[1:])
        for number in range(1, reloads):
            reload(platform, running, Bounds={**platform.config["settings"]["Bounds"], "TryLimit": number})
        assert answered(platform, caller, class_name=b"a")
        assert time.time() - started_at < CALLERS_MOVE_AFTER_S, "the machine was too slow for this test"
        time.sleep(2.1 - (time.time() - started_at))
        late = caller.call(class_name=b"a")
        assert caller.final_answer(late).parameters[binary.CAUSE] == bytes([CAUSE_INVALID])


def test_class_that_is_dropped_added_and_dropped_again_is_accepted() -> None:
    """Regression: see above; the time for callers to move counts from the last drop."""
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        classes = platform.config["settings"]["Classes"]
        for kept in (classes[1:], classes, classes[1:], [{**classes[1], "GiveUp": 5.0}]):
            reload(platform, running, Classes=kept)
        assert answered(platform, caller, class_name=b"a")


def test_lowered_time_limit_is_accepted_until_callers_have_moved() -> None:
    """Regression: a set-up with the time limit of the settings before the reload was refused as invalid."""
    platform = peers.Platform()
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        first, second = platform.config["settings"]["Classes"]
        reload(platform, running, Classes=[{**first, "GiveUp": 6.0}, second])
        reload(platform, running, Classes=[{**first, "GiveUp": 4.0}, second])
        assert answered(platform, caller, time_limit_ms=9000)
        time.sleep(2.1)
        late = caller.call(time_limit_ms=9000)
        assert caller.final_answer(late).parameters[binary.CAUSE] == bytes([CAUSE_INVALID])


def test_dropped_class_keeps_its_effect_however_many_reloads_follow() -> None:
    """Regression: after the second reload, the decision module took a call of a dropped class for one of the
    first class; one that must not be repeated was sent again after a reset."""
    platform = peers.Platform()
    first, second = platform.config["settings"]["Classes"]
    platform.config["settings"]["Classes"] = [first, {**second, "Effect": "single_shot"}]
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        reload(platform, running, Classes=[first])
        for limit in (4, 3):
            reload(platform, running, Bounds={**platform.config["settings"]["Bounds"], "TryLimit": limit})
        call = caller.call(class_name=b"b")
        found = platform.servers[0].invited(within=2.0)
        assert found is not None and found[1].call == call.hex()
        found[0].close(reset=True)  # it may have taken effect there
        assert platform.servers[0].invited(within=1.0) is None, "a single_shot call was sent again"
        assert caller.final_answer(call).type == binary.RELEASE
