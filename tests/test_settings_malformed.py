"""Malformed settings, one key at a time: only `SettingsError` may be raised, and it names the key."""

from __future__ import annotations

import copy
import json
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from harepick.settings import SettingsError, read_platform
from tests import peers

MALFORMED_VALUES: tuple[Any, ...] = (
    None,
    "",
    "x",
    -1,
    0,
    1e308,
    True,
    [],
    {},
    [None],
    [[]],
    ["x"],
    {"x": 1},
    float("nan"),
)


def paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yields the path of every key and every list item, at every depth."""
    if path:
        yield path
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from paths(inner, (*path, key))
    elif isinstance(value, list):
        for n, inner in enumerate(value):
            yield from paths(inner, (*path, n))


def with_value(config: dict[str, Any], path: tuple[Any, ...], value: Any, missing: bool = False) -> Any:
    """Returns a copy of the configuration with the value at a path replaced, or removed if `missing`."""
    changed = copy.deepcopy(config)
    at: Any = changed
    for key in path[:-1]:
        at = at[key]
    if missing:
        del at[path[-1]]
    else:
        at[path[-1]] = value
    return changed


def test_every_malformed_value_is_reported_in_one_line_that_names_a_key(tmp_path: Path) -> None:
    config = peers.Platform(servers=2).config
    config["settings"]["Projects"] = [{"Name": "p", "AllowancePerS": 1.0, "Share": 0.5}]
    file = tmp_path / "config.json"
    refused = 0
    for path in paths(config):
        for value in MALFORMED_VALUES:
            for missing in (False, True):
                file.write_text(json.dumps(with_value(config, path, value, missing)))
                try:
                    read_platform({"GW_CONFIG": str(file)})
                except SettingsError as error:
                    refused += 1
                    assert "\n" not in str(error) and str(error).startswith(("setting ", "variable "))
                    assert str(error).count(" ") > 1, f"{path} = {value!r}: {error}"
                except Exception as error:
                    raise AssertionError(f"{path} = {value!r}: {error!r}") from error
    assert refused > 500


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        (("settings", "Classes", 0, "Name"), 7, "Classes[0].Name"),
        (("settings", "Classes", 0, "GiveUp"), 0, "Classes[0].GiveUp"),
        (("settings", "Classes", 1, "Name"), "a", "Classes[1].Name"),
        (("settings", "Rules", "DrainGrace"), "x", "Rules.DrainGrace"),
        (("settings", "Bounds", "TryLimit"), 0, "Bounds.TryLimit"),
        (("settings", "Extra", "AllowedPools"), [["x"], [0]], "Extra.AllowedPools"),
        (("settings", "Extra", "SelfNo"), "x", "Extra.SelfNo"),
        (("settings", "Projects"), [7], "Projects"),
        (("settings", "Report"), 7, "Report"),
        (("settings", "Bounds"), [], "Bounds"),
    ],
)
def test_error_names_the_faulty_key(path: tuple[Any, ...], value: Any, expected: str, tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(with_value(peers.Platform().config, path, value)))
    with pytest.raises(SettingsError, match=expected.replace("[", r"\[").replace(".", r"\.")):
        read_platform({"GW_CONFIG": str(file)})


def test_malformed_reload_changes_nothing_and_is_counted() -> None:
    platform = peers.Platform()
    with platform.run() as running:
        for n, (path, value) in enumerate(
            [(("settings", "Classes"), []), (("bus",), 7), (("settings", "Rules", "WarmAfter"), -1)], 1
        ):
            platform.path.write_text(json.dumps(with_value(platform.config, path, value)))
            running.process.send_signal(signal.SIGHUP)
            peers.until(lambda n=n: len(running.events("reload_failed")) == n, why="the faulty file")  # type: ignore[misc]
        assert peers.metrics(platform.ops)["edge_gw_config_reload_errors_total"] == 3
        caller = peers.Caller(platform.port)
        call = caller.call()
        assert peers.invite(platform.servers[0].accept()).call == call.hex()
