"""The wire: a dialogue through the deployed command, and every kind of bad input."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from harepick.settings import SettingsError, read_settings
from harepick.simhost import Host, WireError, parse

ROOT = Path(__file__).parent.parent
OPTIONS: dict[str, Any] = {
    "Balancers": 4,
    "Me": 0,
    "Classes": [
        {"Name": "a", "Promise": 1.5, "GiveUp": 9.0, "Importance": 1.0, "Effect": "free"},
        {"Name": "b", "Promise": 1.0, "GiveUp": 6.0, "Importance": 8.0, "Effect": "free"},
    ],
    "Rules": {
        "ColdFrom": 0.3,
        "WarmAfter": 10,
        "TipMultiple": 2,
        "TipAfter": 2,
        "DrainGrace": 0.5,
        "GraceToAnswer": 0.02,
    },
    "Extra": {"Guard": 0.2, "AllowedPools": [[0, 1], [0, 1]], "New": 1},
    "Bounds": {"TryLimit": 5, "Cancelling": True},
    "Report": {"Fields": ["free", "size", "avg_ms"]},
    "Unheard": {"of": None},
}
CENSUS = [
    "Census",
    0,
    [["s0", "z", "k", 0, "ready", 1, None], ["s1", "z", "k", 1, "ready", 1, 0]],
]


def run(lines: list[Any]) -> subprocess.CompletedProcess[str]:
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    text = "\n".join(line if isinstance(line, str) else json.dumps(line) for line in lines) + "\n"
    command = command.replace(".venv/bin/python", sys.executable)
    return subprocess.run(["/bin/sh", "-c", command], input=text, capture_output=True, text=True, cwd=ROOT)


def ingress(call: str, now: float, dest: int = 0, cls: str = "a") -> list[Any]:
    return ["Ingress", 3, call, dest, -1, 1, now + 3.0, 1, None, None, cls, None]


def test_dialogue() -> None:
    done = run(
        [
            ["Frame", 8.0, 1],
            ["OpenInstance", 3, 42, OPTIONS],
            CENSUS,
            ["Targets", 3, 0, "remembered", 41],
            ingress("c1", 8.0),
            ingress("c2", 8.0, 1),
            ["Go"],
            ["Frame", 8.1, 2],
            ["Flowing", 3, "c1", 0, 0.1, "s0"],
            ["Settled", 3, "c2", 0, "s1", 8, 0.1, False, 3 + 16 * 700, {"free": 4, "zzz": None}],
            ["Go"],
            ["Frame", 9.0, 3],
            ["Settled", 3, "c1", 0, "s0", 0, 0.9, True, None, None],
            ["Halt", 3],
            ["OpenInstance", 3, 43, OPTIONS],
            ["Census", 0, [["s9", "z", "k", 0, "ready", 1, None]]],
            ["Targets", 3, 0, "remembered", 41],
            ingress("c3", 9.0),
            ["Go"],
        ]
    )
    assert done.returncode == 0, done.stderr
    replies = [json.loads(line) for line in done.stdout.splitlines()]
    places = [tuple(r[1:4]) for r in replies if r[0] == "Place"]
    assert places == [(3, "c1", "s0"), (3, "c2", "s1"), (3, "c2", "s0"), (3, "c3", "s9")]
    assert [r[1] for r in replies if r[0] == "Ok"] == [1, 2, 3]


@pytest.mark.parametrize(
    ("line", "said"),
    [
        ("nonsense", "not JSON"),
        ('{"a": 1}', "not a message"),
        ('["Surprise", 1]', "unknown message Surprise"),
        ('["Frame", 1]', "Frame: 1 values, 2 wanted"),
        ('["Alarm", 1, 2]', "Alarm: outside of a batch"),
    ],
)
def test_bad_lines_end_the_run_with_one_plain_line(line: str, said: str) -> None:
    done = run([line])
    assert done.returncode != 0
    assert said in done.stderr
    assert len(done.stderr.splitlines()) == 1


def test_input_that_ends_within_a_batch() -> None:
    done = run([["Frame", 1.0, 1]])
    assert done.returncode != 0 and "within a batch" in done.stderr


def test_extra_values_are_ignored() -> None:
    assert parse('["Alarm", 1, 2, "more"]')[0] == "Alarm"


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("Rules.ColdFrom", None),
        ("Rules.TipAfter", -1),
        ("Extra.Guard", "soon"),
        ("Bounds.TryLimit", 0),
        ("Balancers", True),
        ("Classes", []),
    ],
)
def test_settings_that_are_missing_or_senseless_are_named(path: str, value: object) -> None:
    options = json.loads(json.dumps(OPTIONS))
    place, _, key = path.rpartition(".")
    (options[place] if place else options)[key] = value
    with pytest.raises(SettingsError, match=path.replace(".", r"\.")):
        read_settings(options)


def test_a_class_without_aim_is_named() -> None:
    options = json.loads(json.dumps(OPTIONS))
    del options["Classes"][1]["Promise"]
    with pytest.raises(SettingsError, match=r"Classes\[1\]\.Promise"):
        read_settings(options)


def test_bad_settings_become_an_exception_of_that_instance_alone() -> None:
    host = Host()
    replies = host.batch(
        1.0,
        [["OpenInstance", 1, 1, {}], ["OpenInstance", 2, 1, OPTIONS], CENSUS, ["Targets", 1, 0, "all", 1]],
    )
    assert [r[:2] for r in replies if r[0] == "Exception"] == [["Exception", 1]]
    assert any(r[0] == "WakeMe" and r[1] == 2 for r in replies)


def test_an_error_in_the_decisions_is_told_with_its_cause(monkeypatch: pytest.MonkeyPatch) -> None:
    host = Host()
    host.batch(1.0, [["OpenInstance", 1, 1, OPTIONS]])

    def broken(*_: object) -> None:
        raise RuntimeError("out of olives")

    monkeypatch.setattr(host._controllers[1], "step", broken)
    replies = host.batch(1.1, [["Alarm", 1, 0]])
    assert replies == [["Exception", 1, "RuntimeError: out of olives"]]


def test_unknown_outcome_is_no_guess() -> None:
    host = Host()
    host.batch(1.0, [["OpenInstance", 3, 1, OPTIONS]])
    with pytest.raises(WireError, match="outcome 99"):
        host.batch(1.1, [["Settled", 3, "c", 0, "s0", 99, 0.1, False, None, None]])


def test_split_over_processes_changes_nothing() -> None:
    def open_and_call(fronts: list[int]) -> dict[int, list[Any]]:
        host = Host()
        seen: dict[int, list[Any]] = {}
        for now, make in ((1.0, True), (1.1, False)):
            messages: list[list[Any]] = [CENSUS] if make else []
            for n in fronts:
                if make:
                    messages += [["OpenInstance", n, n, OPTIONS], ["Targets", n, 0, "all", 1]]
                else:
                    messages += [["Ingress", n, f"c{n}", 5, -1, 1, 4.0, 1, None, None, "a", None]]
            for reply in host.batch(now, messages):
                seen.setdefault(reply[1], []).append(reply)
        return seen

    together = open_and_call([1, 2, 3])
    apart = {n: open_and_call([n])[n] for n in (1, 2, 3)}
    assert together == apart
