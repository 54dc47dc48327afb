"""The load of a whole fleet on cold servers in seeded worlds, and proof that the check can fail."""

from __future__ import annotations

import pytest

from benchmarks.cold_model import World
from harepick import decide


@pytest.mark.parametrize(("seed", "instances"), [(1, 30), (2, 20), (7, 30), (52, 60)])
def test_what_all_instances_send_to_a_cold_server_stays_within_its_budget(seed: int, instances: int) -> None:
    found = World(seed, instances).run()
    assert found["cold"] and found["sends"] > 500
    assert found["worst"] <= 1.0


def test_instances_that_ignore_the_ramp_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(decide.Controller, "_has_cold_token", lambda self, server: True)
    assert World(1, 30).run()["worst"] > 1.0
