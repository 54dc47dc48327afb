"""Gaps as configured: the reader that names the faulty key, and the screen that reloads change."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from harepick.gapping.config import GapRow, read_rows
from harepick.gapping.gaps import GapError
from harepick.gapping.screen import GapScreen
from harepick.gapping.start_times import with_start_times

CLAIM = "+94112345678"


def back(told: float | None, rest: float, interval: float) -> bool:
    """Told to come back after the rest of the slot and less than one interval more."""
    return told is not None and rest - 1e-9 <= told < rest + interval


def rows(*written: dict[str, object]) -> tuple[GapRow, ...]:
    return read_rows(list(written), "gaps", "e164")


@pytest.mark.parametrize(
    ("row", "said"),
    [
        ({"id": "g", "number": CLAIM}, "gaps[0].interval_s"),
        ({"id": "g", "number": CLAIM, "interval_s": -1}, "gaps[0].interval_s"),
        ({"id": "g", "number": CLAIM, "interval_s": 1, "count": 0}, "gaps[0].count"),
        ({"id": "g", "number": CLAIM, "interval_s": 1, "for_s": 5, "until": 9}, "gaps[0].for_s and until"),
        ({"id": "g", "number": CLAIM, "interval_s": 1, "colour": "red"}, "gaps[0].colour"),
        ({"id": "g", "number": CLAIM, "interval_s": 1, "plan": "x"}, "gaps[0].plan"),
        ({"id": "g", "number": CLAIM, "interval_s": 1, "inherit": "yes"}, "gaps[0].inherit"),
    ],
)
def test_a_faulty_row_is_named_by_its_key(row: dict[str, object], said: str) -> None:
    with pytest.raises(GapError, match=said.replace("[", r"\[").replace("]", r"\]")):
        rows(row)


def test_an_id_twice_is_refused() -> None:
    with pytest.raises(GapError, match=r"gaps\[1\]\.id is there twice"):
        rows({"id": "g", "number": CLAIM, "interval_s": 1}, {"id": "g", "prefix": "+94", "interval_s": 1})


def test_letters_are_no_e164_number_but_are_the_platform_s() -> None:
    screen = GapScreen()
    with pytest.raises(GapError, match="number is no"):
        screen.apply(rows({"id": "g", "number": "7f3a9c21e0b4d655", "interval_s": 1}), 0.0)
    platform = read_rows([{"id": "g", "number": "7f3a9c21e0b4d655", "interval_s": 1}], "gaps", "platform")
    screen.apply(platform, 0.0)
    assert screen.retry_after("7f3a9c21e0b4d655", "a", 0.1) is None
    assert back(screen.retry_after("7f3a9c21e0b4d655", "a", 0.2), 0.8, 1.0)


def test_a_reload_changes_only_what_changed() -> None:
    screen = GapScreen()
    first = rows(
        {"id": "radio", "number": CLAIM, "interval_s": 1, "for_s": 10},
        {"id": "d", "prefix": "+9411", "interval_s": 0},
    )
    assert screen.apply(first, 100.0) == {"set": ["radio", "d"], "changed": [], "lifted": []}
    assert screen.retry_after(CLAIM, "", 100.5) is None
    # The same rows again, later: the turn of this slot stays used, the end stays 10 s after the first set.
    assert screen.apply(first, 100.6) == {"set": [], "changed": [], "lifted": []}
    assert back(screen.retry_after(CLAIM, "", 100.7), 0.3, 1.0)
    assert screen.retry_after(CLAIM, "", 109.95) is None and screen.retry_after(CLAIM, "", 110.0) is None
    changed = rows({"id": "radio", "number": CLAIM, "interval_s": 2, "for_s": 60})
    assert screen.apply(changed, 111.0) == {"set": [], "changed": ["radio"], "lifted": ["d"]}
    assert screen.retry_after(CLAIM, "", 111.5) is None, "slots of 2 s from the first set: 110 to 112"
    assert back(screen.retry_after(CLAIM, "", 111.6), 0.4, 2.0)


def test_a_changed_row_keeps_its_start_and_a_bad_one_changes_nothing() -> None:
    screen = GapScreen()
    screen.apply(rows({"id": "radio", "number": CLAIM, "interval_s": 1}), 100.0)
    told = screen.apply(rows({"id": "radio", "number": CLAIM, "interval_s": 2}), 100.5)
    assert told == {"set": [], "changed": ["radio"], "lifted": []}
    assert screen.retry_after(CLAIM, "", 101.0) is None  # slots of 2 s from 100.0: 100 to 102
    assert back(screen.retry_after(CLAIM, "", 101.5), 0.5, 2.0)
    bad = rows(
        {"id": "radio", "number": CLAIM, "interval_s": 1},
        {"id": "old", "prefix": "+9", "interval_s": 1, "until": 50},
    )
    with pytest.raises(GapError, match="gap 'old': end is past"):
        screen.apply(bad, 101.6)
    assert back(screen.retry_after(CLAIM, "", 101.7), 0.3, 2.0), "nothing changed"
    assert len(screen) == 1


def test_a_class_that_is_not_known_is_refused() -> None:
    with pytest.raises(GapError, match="class is not known"):
        GapScreen().apply(rows({"id": "g", "class": "x", "interval_s": 1}), 0.0, ["a", "b"])


def test_a_gap_that_is_over_is_lifted_and_counted_till_then() -> None:
    screen = GapScreen()
    screen.apply(rows({"id": "g", "number": CLAIM, "interval_s": "none", "for_s": 2}), 0.0)
    assert screen.retry_after(CLAIM, "", 1.0) == pytest.approx(1.0), "until its end, not spread"
    assert screen.counts() == {"g": (1, 0, 1)}
    assert screen.retry_after(CLAIM, "", 2.5) is None and len(screen) == 0


def test_refused_callers_are_told_times_spread_over_the_next_interval() -> None:
    screen = GapScreen(seed=7)
    screen.apply(rows({"id": "g", "number": CLAIM, "interval_s": 1.0}), 0.0)
    assert screen.retry_after(CLAIM, "", 0.0) is None
    told = [screen.retry_after(CLAIM, "", 0.5) for _ in range(200)]
    assert all(back(t, 0.5, 1.0) for t in told)
    spread = sorted(t for t in told if t is not None)
    assert spread[-1] - spread[0] > 0.8 and len(set(spread)) == 200  # not all at the slot's start
    again = GapScreen(seed=7)
    again.apply(rows({"id": "g", "number": CLAIM, "interval_s": 1.0}), 0.0)
    again.retry_after(CLAIM, "", 0.0)
    assert [again.retry_after(CLAIM, "", 0.5) for _ in range(200)] == told, "the seed decides"


def test_the_command_lists_a_file_s_gaps_and_explains_which_a_call_meets(tmp_path: Path) -> None:
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
    explained = run(harepick, ["gap", "explain", CLAIM, str(path), "--json"])
    assert json.loads(explained.output)["gaps"] == ["radio", "district"]
    own = run(harepick, ["gap", "explain", CLAIM, str(path), "--class", "desk", "--json"])
    assert json.loads(own.output)["gaps"] == ["desk"], "it does not inherit: the list ends with it"
    path.write_text('[[gap]]\nid = "x"\nnumber = "+94abc"\ninterval_s = 1\n')
    faulty = run(harepick, ["gap", "list", str(path)])
    assert faulty.exit_code == 1 and "number is no" in faulty.output


def gap(name: str, **more: float) -> str:
    rest = "".join(f"{key} = {value}\n" for key, value in more.items())
    return f'[[gap]]\nid = "{name}"\nprefix = "+9411"\ninterval_s = 1\n{rest}'


def test_for_s_is_dated_once_and_goes_on_whatever_else_changes() -> None:
    plain = "# as written\n" + gap("a") + gap("b", until=900)
    assert with_start_times(plain, "", 100.0) == plain, "nothing to date: not a letter changes"
    first = with_start_times("# as written\n" + gap("a", for_s=60), "", 100.0)
    assert first.startswith("# as written\n") and "since = 100.0" in first
    again = with_start_times(gap("b", for_s=5) + gap("a", for_s=60), first, 130.0)
    assert "since = 100.0" in again and "since = 130.0" in again
    assert "since = 100.0" in with_start_times(gap("a", for_s=90), first, 130.0), (
        "changed while it runs: it goes on"
    )
    assert "since = 100.0" in with_start_times(gap("a", for_s=60), first, 170.0), (
        "the same again: it stays over"
    )
    assert "since = 170.0" in with_start_times(gap("a", for_s=90), first, 170.0), (
        "changed after its end: anew"
    )
    told = gap("a", for_s=60, since=7.0)
    assert with_start_times(told, first, 170.0) == told, "what is told is not told otherwise"


def test_since_says_when_a_gap_began_and_ends_it_in_time() -> None:
    (row,) = rows({"id": "g", "number": CLAIM, "interval_s": "none", "for_s": 10, "since": 95.0})
    assert not row.over(104.9) and row.over(105.0)
    screen = GapScreen()
    screen.apply([row], 100.0)
    assert screen.retry_after(CLAIM, "", 104.0) is not None and screen.retry_after(CLAIM, "", 106.0) is None
    with pytest.raises(GapError, match=r"gaps\[0\]\.since says nothing without for_s"):
        rows({"id": "g", "number": CLAIM, "interval_s": 1, "since": 95.0})
