"""Configured gaps: the reader that names the invalid key, reloads of the screen, and start times."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from harepick.gapping.config import GapRow, read_rows
from harepick.gapping.gaps import GapError
from harepick.gapping.screen import GapScreen
from harepick.gapping.start_times import with_start_times

NUMBER = "+94112345678"


def in_retry_window(retry_after: float | None, slot_rest: float, interval: float) -> bool:
    """Whether Retry-After is the rest of the slot plus less than one interval (seconds)."""
    return retry_after is not None and slot_rest - 1e-9 <= retry_after < slot_rest + interval


def rows(*tables: dict[str, object]) -> tuple[GapRow, ...]:
    """Reads rows of an ENUM configuration."""
    return read_rows(list(tables), "gaps", "e164")


@pytest.mark.parametrize(
    ("row", "message"),
    [
        ({"id": "g", "number": NUMBER}, "gaps[0].interval_s"),
        ({"id": "g", "number": NUMBER, "interval_s": -1}, "gaps[0].interval_s"),
        ({"id": "g", "number": NUMBER, "interval_s": 1, "count": 0}, "gaps[0].count"),
        ({"id": "g", "number": NUMBER, "interval_s": 1, "for_s": 5, "until": 9}, "gaps[0].for_s and until"),
        ({"id": "g", "number": NUMBER, "interval_s": 1, "colour": "red"}, "gaps[0].colour"),
        ({"id": "g", "number": NUMBER, "interval_s": 1, "plan": "x"}, "gaps[0].plan"),
        ({"id": "g", "number": NUMBER, "interval_s": 1, "inherit": "yes"}, "gaps[0].inherit"),
    ],
)
def test_an_invalid_row_is_refused_by_its_key(row: dict[str, object], message: str) -> None:
    with pytest.raises(GapError, match=message.replace("[", r"\[").replace("]", r"\]")):
        rows(row)


def test_a_duplicate_id_is_refused() -> None:
    with pytest.raises(GapError, match=r"gaps\[1\]\.id is given twice"):
        rows({"id": "g", "number": NUMBER, "interval_s": 1}, {"id": "g", "prefix": "+94", "interval_s": 1})


def test_letters_are_valid_in_platform_numbers_and_not_in_e164_numbers() -> None:
    screen = GapScreen()
    with pytest.raises(GapError, match="number is no"):
        screen.apply(rows({"id": "g", "number": "7f3a9c21e0b4d655", "interval_s": 1}), 0.0)
    platform = read_rows([{"id": "g", "number": "7f3a9c21e0b4d655", "interval_s": 1}], "gaps", "platform")
    screen.apply(platform, 0.0)
    assert screen.retry_after("7f3a9c21e0b4d655", "a", 0.1) is None
    assert in_retry_window(screen.retry_after("7f3a9c21e0b4d655", "a", 0.2), 0.8, 1.0)


def test_a_reload_changes_only_what_changed() -> None:
    screen = GapScreen()
    first = rows(
        {"id": "radio", "number": NUMBER, "interval_s": 1, "for_s": 10},
        {"id": "d", "prefix": "+9411", "interval_s": 0},
    )
    assert screen.apply(first, 100.0) == {"set": ["radio", "d"], "changed": [], "lifted": []}
    assert screen.retry_after(NUMBER, "", 100.5) is None
    # The same rows again: the slot stays used, and the end stays 10 s after the first apply.
    assert screen.apply(first, 100.6) == {"set": [], "changed": [], "lifted": []}
    assert in_retry_window(screen.retry_after(NUMBER, "", 100.7), 0.3, 1.0)
    assert screen.retry_after(NUMBER, "", 109.95) is None and screen.retry_after(NUMBER, "", 110.0) is None
    changed = rows({"id": "radio", "number": NUMBER, "interval_s": 2, "for_s": 60})
    assert screen.apply(changed, 111.0) == {"set": [], "changed": ["radio"], "lifted": ["d"]}
    assert screen.retry_after(NUMBER, "", 111.5) is None, "slots of 2 s from the first start: 110 to 112"
    assert in_retry_window(screen.retry_after(NUMBER, "", 111.6), 0.4, 2.0)


def test_a_changed_row_keeps_its_start_and_an_invalid_one_changes_nothing() -> None:
    screen = GapScreen()
    screen.apply(rows({"id": "radio", "number": NUMBER, "interval_s": 1}), 100.0)
    changes = screen.apply(rows({"id": "radio", "number": NUMBER, "interval_s": 2}), 100.5)
    assert changes == {"set": [], "changed": ["radio"], "lifted": []}
    assert screen.retry_after(NUMBER, "", 101.0) is None  # slots of 2 s from 100.0: 100 to 102
    assert in_retry_window(screen.retry_after(NUMBER, "", 101.5), 0.5, 2.0)
    invalid = rows(
        {"id": "radio", "number": NUMBER, "interval_s": 1},
        {"id": "old", "prefix": "+9", "interval_s": 1, "until": 50},
    )
    with pytest.raises(GapError, match="gap 'old': end is past"):
        screen.apply(invalid, 101.6)
    assert in_retry_window(screen.retry_after(NUMBER, "", 101.7), 0.3, 2.0), "nothing changed"
    assert len(screen) == 1


def test_an_unknown_class_is_refused() -> None:
    with pytest.raises(GapError, match="class is not known"):
        GapScreen().apply(rows({"id": "g", "class": "x", "interval_s": 1}), 0.0, ["a", "b"])


def test_a_gap_is_lifted_at_its_end_and_counts_until_then() -> None:
    screen = GapScreen()
    screen.apply(rows({"id": "g", "number": NUMBER, "interval_s": "none", "for_s": 2}), 0.0)
    assert screen.retry_after(NUMBER, "", 1.0) == pytest.approx(1.0), (
        "the time until its end, without a random part"
    )
    assert screen.counts() == {"g": (1, 0, 1)}
    assert screen.retry_after(NUMBER, "", 2.5) is None and len(screen) == 0


def test_retry_after_is_spread_over_one_interval_and_repeatable_by_seed() -> None:
    screen = GapScreen(seed=7)
    screen.apply(rows({"id": "g", "number": NUMBER, "interval_s": 1.0}), 0.0)
    assert screen.retry_after(NUMBER, "", 0.0) is None
    times = [screen.retry_after(NUMBER, "", 0.5) for _ in range(200)]
    assert all(in_retry_window(time, 0.5, 1.0) for time in times)
    spread = sorted(time for time in times if time is not None)
    assert spread[-1] - spread[0] > 0.8 and len(set(spread)) == 200  # not all at the start of the next slot
    again = GapScreen(seed=7)
    again.apply(rows({"id": "g", "number": NUMBER, "interval_s": 1.0}), 0.0)
    again.retry_after(NUMBER, "", 0.0)
    assert [again.retry_after(NUMBER, "", 0.5) for _ in range(200)] == times, (
        "the same seed gives the same times"
    )


def test_the_command_lists_the_gaps_of_a_file_and_explains_which_apply_to_a_call(tmp_path: Path) -> None:
    from click.testing import CliRunner

    from harepick.cli.main import harepick

    path = tmp_path / "enum.toml"
    path.write_text(
        '[[gap]]\nid = "district"\nprefix = "+9411"\ninterval_s = 1\n'
        '[[gap]]\nid = "radio"\nnumber = "+94112345678"\ninterval_s = 0.5\n'
        '[[gap]]\nid = "desk"\nnumber = "+94112345678"\nclass = "desk"\ninterval_s = 0\ninherit = false\n'
    )
    run = CliRunner().invoke
    listed = run(harepick, ["gap", "list", str(path), "--json"])
    assert listed.exit_code == 0 and [g["id"] for g in json.loads(listed.output)["gaps"]] == [
        "district",
        "radio",
        "desk",
    ]
    explained = run(harepick, ["gap", "explain", NUMBER, str(path), "--json"])
    assert json.loads(explained.output)["gaps"] == ["radio", "district"]
    desk_call = run(harepick, ["gap", "explain", NUMBER, str(path), "--class", "desk", "--json"])
    assert json.loads(desk_call.output)["gaps"] == ["desk"], "it does not inherit, so no broader gap applies"
    path.write_text('[[gap]]\nid = "x"\nnumber = "+94abc"\ninterval_s = 1\n')
    invalid = run(harepick, ["gap", "list", str(path)])
    assert invalid.exit_code == 1 and "number is no" in invalid.output


def gap(name: str, **more: float) -> str:
    """A gap as TOML text."""
    rest = "".join(f"{key} = {value}\n" for key, value in more.items())
    return f'[[gap]]\nid = "{name}"\nprefix = "+9411"\ninterval_s = 1\n{rest}'


def test_a_gap_with_for_s_gets_its_start_once_and_keeps_it_over_other_changes() -> None:
    plain = "# as written\n" + gap("a") + gap("b", until=900)
    assert with_start_times(plain, "", 100.0) == plain, "no start time is missing: the text stays unchanged"
    first = with_start_times("# as written\n" + gap("a", for_s=60), "", 100.0)
    assert first.startswith("# as written\n") and "since = 100.0" in first
    again = with_start_times(gap("b", for_s=5) + gap("a", for_s=60), first, 130.0)
    assert "since = 100.0" in again and "since = 130.0" in again
    assert "since = 100.0" in with_start_times(gap("a", for_s=90), first, 130.0), (
        "changed while it is active: it keeps its start"
    )
    assert "since = 100.0" in with_start_times(gap("a", for_s=60), first, 170.0), (
        "unchanged after its end: it stays ended"
    )
    assert "since = 170.0" in with_start_times(gap("a", for_s=90), first, 170.0), (
        "changed after its end: it starts again"
    )
    explicit = gap("a", for_s=60, since=7.0)
    assert with_start_times(explicit, first, 170.0) == explicit, "a start time that is given stays"


def test_for_s_counts_from_since() -> None:
    (row,) = rows({"id": "g", "number": NUMBER, "interval_s": "none", "for_s": 10, "since": 95.0})
    assert not row.has_ended(104.9) and row.has_ended(105.0)
    screen = GapScreen()
    screen.apply([row], 100.0)
    assert screen.retry_after(NUMBER, "", 104.0) is not None and screen.retry_after(NUMBER, "", 106.0) is None
    with pytest.raises(GapError, match=r"gaps\[0\]\.since has no effect without for_s"):
        rows({"id": "g", "number": NUMBER, "interval_s": 1, "since": 95.0})
