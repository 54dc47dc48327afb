"""The simulator's protocol: a dialogue through the deployed command, and malformed input of each kind."""

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


def run_simhost(lines: list[Any]) -> subprocess.CompletedProcess[str]:
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    text = "\n".join(line if isinstance(line, str) else json.dumps(line) for line in lines) + "\n"
    command = command.replace(".venv/bin/python", sys.executable)
    return subprocess.run(["/bin/sh", "-c", command], input=text, capture_output=True, text=True, cwd=ROOT)


def call_arrived(call: str, now: float, destination: int = 0, class_name: str = "a") -> list[Any]:
    return ["Ingress", 3, call, destination, -1, 1, now + 3.0, 1, None, None, class_name, None]


def test_dialogue() -> None:
    process = run_simhost(
        [
            ["Frame", 8.0, 1],
            ["OpenInstance", 3, 42, OPTIONS],
            CENSUS,
            ["Targets", 3, 0, "remembered", 41],
            call_arrived("c1", 8.0),
            call_arrived("c2", 8.0, 1),
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
            call_arrived("c3", 9.0),
            ["Go"],
        ]
    )
    assert process.returncode == 0, process.stderr
    replies = [json.loads(line) for line in process.stdout.splitlines()]
    places = [tuple(reply[1:4]) for reply in replies if reply[0] == "Place"]
    assert places == [(3, "c1", "s0"), (3, "c2", "s1"), (3, "c2", "s0"), (3, "c3", "s9")]
    assert [reply[1] for reply in replies if reply[0] == "Ok"] == [1, 2, 3]


@pytest.mark.parametrize(
    ("line", "error"),
    [
        ("nonsense", "not JSON"),
        ('{"a": 1}', "not a message"),
        ('["Surprise", 1]', "unknown message Surprise"),
        ('["Frame", 1]', "Frame: 1 values, 2 wanted"),
        ('["Alarm", 1, 2]', "Alarm: outside of a batch"),
    ],
)
def test_bad_lines_end_the_run_with_one_line_of_error(line: str, error: str) -> None:
    process = run_simhost([line])
    assert process.returncode != 0
    assert error in process.stderr
    assert len(process.stderr.splitlines()) == 1


def test_input_that_ends_within_a_batch() -> None:
    process = run_simhost([["Frame", 1.0, 1]])
    assert process.returncode != 0 and "within a batch" in process.stderr


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
def test_missing_or_invalid_settings_are_named(path: str, value: object) -> None:
    options = json.loads(json.dumps(OPTIONS))
    section, _, key = path.rpartition(".")
    (options[section] if section else options)[key] = value
    with pytest.raises(SettingsError, match=path.replace(".", r"\.")):
        read_settings(options)


def test_a_class_without_aim_is_named() -> None:
    options = json.loads(json.dumps(OPTIONS))
    del options["Classes"][1]["Promise"]
    with pytest.raises(SettingsError, match=r"Classes\[1\]\.Promise"):
        read_settings(options)


def test_bad_settings_fail_that_instance_alone() -> None:
    host = Host()
    replies = host.batch(
        1.0,
        [["OpenInstance", 1, 1, {}], ["OpenInstance", 2, 1, OPTIONS], CENSUS, ["Targets", 1, 0, "all", 1]],
    )
    assert [reply[:2] for reply in replies if reply[0] == "Exception"] == [["Exception", 1]]
    assert any(reply[0] == "WakeMe" and reply[1] == 2 for reply in replies)


def test_an_error_in_the_decisions_is_reported_with_its_cause(monkeypatch: pytest.MonkeyPatch) -> None:
    host = Host()
    host.batch(1.0, [["OpenInstance", 1, 1, OPTIONS]])

    def broken(*_: object) -> None:
        raise RuntimeError("no servers")

    monkeypatch.setattr(host._controllers[1], "step", broken)
    replies = host.batch(1.1, [["Alarm", 1, 0]])
    assert replies == [["Exception", 1, "RuntimeError: no servers"]]


def test_an_unknown_outcome_is_an_error() -> None:
    host = Host()
    host.batch(1.0, [["OpenInstance", 3, 1, OPTIONS]])
    with pytest.raises(WireError, match="outcome 99"):
        host.batch(1.1, [["Settled", 3, "c", 0, "s0", 99, 0.1, False, None, None]])


def test_split_over_processes_changes_nothing() -> None:
    def open_and_call(instances: list[int]) -> dict[int, list[Any]]:
        host = Host()
        replies_by_instance: dict[int, list[Any]] = {}
        for now, first in ((1.0, True), (1.1, False)):
            messages: list[list[Any]] = [CENSUS] if first else []
            for number in instances:
                if first:
                    messages += [["OpenInstance", number, number, OPTIONS], ["Targets", number, 0, "all", 1]]
                else:
                    messages += [["Ingress", number, f"c{number}", 5, -1, 1, 4.0, 1, None, None, "a", None]]
            for reply in host.batch(now, messages):
                replies_by_instance.setdefault(reply[1], []).append(reply)
        return replies_by_instance

    together = open_and_call([1, 2, 3])
    separate = {number: open_and_call([number])[number] for number in (1, 2, 3)}
    assert together == separate
