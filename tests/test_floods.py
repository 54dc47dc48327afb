"""One client, or many, send at full speed; the others still get their answers in time."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from harepick.net import binary
from tests import peers
from tests.flooder import CALL_ID

AIM_S = 1.0  # the shortest time within which the settings want a call to stand
FLOOD_S = 3.0


@contextmanager
def flooding(kind: str, port: int, connections: int, seconds: float = 60.0) -> Iterator[None]:
    """Sends at full speed in a process of its own for the time of the block."""
    process = subprocess.Popen(
        [sys.executable, "-m", "tests.flooder", kind, str(port), str(connections), str(seconds)],
        cwd=peers.ROOT,
    )
    try:
        yield
        assert process.poll() is None, "the flood has ended"
    finally:
        process.kill()
        process.wait()


def longest_wait(caller: peers.Caller) -> float:
    """The longest time that one client waits for an answer, over `FLOOD_S`."""
    waits = []
    end = time.monotonic() + FLOOD_S
    while time.monotonic() < end:
        sent_at = time.monotonic()
        caller.final_answer(caller.call(class_name=b"b", time_limit_ms=6000), within=9.0)
        waits.append(time.monotonic() - sent_at)
        time.sleep(0.02)
    return max(waits)


@pytest.mark.alone
@pytest.mark.parametrize(
    ("kind", "connections"),
    [
        ("tests", 1),
        ("unknown types", 1),
        ("states", 1),
        ("releases of new ids", 1),
        ("new calls", 1),
        ("new calls", 20),
        ("new calls", 200),
        ("calls given up", 1),
        ("many fields", 1),
        ("many fields", 200),
    ],
)
def test_other_clients_are_answered_within_the_aim_during_a_flood(kind: str, connections: int) -> None:
    """Regression: 200 clients with messages of 5,400 fields delayed other answers by up to 3 s; those with
    new calls always overtook the others at a full inbox, which were never answered."""
    platform = peers.Platform()
    platform.config["settings"]["Bounds"]["OpenCap"] = 20_000
    platform.config["known"]["batch"][0]["topology"]["instances"][0]["hostPort"] = "127.0.0.1:1"  # refuses
    with platform.run() as running:
        caller = peers.Caller(platform.port)
        with flooding(kind, platform.port, connections):
            running.wait_for_counter("callers.connections", connections)
            waited = longest_wait(caller)
        assert running.process.poll() is None
        assert waited < AIM_S, f"an answer took {waited:.2f} s"


@pytest.mark.parametrize("count", [64, 65])
def test_message_of_too_many_fields_is_malformed(count: int) -> None:
    data = binary.Message(binary.STATE, CALL_ID, {code: b"" for code in range(1, count + 1)}).encode()
    if count > binary.MAX_PARAMETERS:
        with pytest.raises(binary.BinaryError):
            list(binary.Decoder().feed(data))
    else:
        assert len(next(binary.Decoder().feed(data)).parameters) == count
