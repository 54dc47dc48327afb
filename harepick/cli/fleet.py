"""`harepick fleet`: plays scenarios of faults on a fleet of instances of this machine, and checks them."""

from __future__ import annotations

import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import click
import orjson

from harepick.cli.common import REFUSED, USAGE, fail
from harepick.settings import SettingsError

if TYPE_CHECKING:
    from harepick.fleet.checks import Violation
    from harepick.fleet.scenario import Scenario

CODES = """
\b
Exit codes: 0 every check held; 1 a check found a violation, or the rig failed;
2 a faulty scenario or argument.
"""
MAX_STRETCH = 40  # events of one violation's stretch that are printed


@click.group(epilog=CODES)
def fleet() -> None:
    """Play scenarios of faults on a fleet of instances."""


def _read(path: str) -> Scenario:
    from harepick.fleet.scenario import read_scenario

    try:
        return read_scenario(path)
    except SettingsError as error:
        fail(f"{path}: {error}", USAGE)


def _print(violations: Sequence[Violation], start: float) -> None:
    for violation in violations:
        click.echo(f"{violation.check}: {violation.why}", err=True)
        for event in violation.stretch[:MAX_STRETCH]:
            click.echo(f"    {orjson.dumps(event.told(start)).decode()}", err=True)
        if len(violation.stretch) > MAX_STRETCH:
            click.echo(f"    ... and {len(violation.stretch) - MAX_STRETCH} more", err=True)


@fleet.command(epilog=CODES)
@click.argument("scenario")
@click.option("--seed", default=1, show_default=True, help="Of the timeline, the load and the faults.")
@click.option("--seconds", type=click.FloatRange(1.0, 3600.0), help="Instead of the scenario's own.")
@click.option("--keep", metavar="FOLDER", help="Keep files, logs and histories there; must be empty.")
@click.option("--plot", metavar="FILE.png", help="Draw what happened.")
@click.option("--quiet", is_flag=True, help="Print the last line alone.")
def play(
    scenario: str, seed: int, seconds: float | None, keep: str | None, plot: str | None, quiet: bool
) -> None:
    """Start the instances of SCENARIO, play its faults, and check what everybody wrote down.

    The last line is one JSON object; `ok` tells whether every check held."""
    from harepick.fleet.runner import ScenarioRunner

    made = _read(scenario)
    if plot:
        try:
            from harepick.fleet import plot as drawing
        except ImportError:
            fail("--plot needs matplotlib: pip install -r requirements-fleet.txt", USAGE)
    with tempfile.TemporaryDirectory(prefix="harepick-fleet-") as aside:
        folder = Path(keep or aside).resolve()
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.iterdir()):
            fail(f"--keep {keep} is not empty", USAGE)
        say = (lambda text: None) if quiet else (lambda text: click.echo(text, err=True))
        report = anyio.run(ScenarioRunner(made, seed, folder, seconds, say).run)
        if plot:
            drawing.draw(report, Path(plot))
    _print(report.told, report.start)
    click.echo(orjson.dumps(report.line()).decode())
    sys.exit(0 if report.ok else REFUSED)


@fleet.command(epilog=CODES)
@click.argument("scenario")
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", type=click.FloatRange(1.0, 3600.0), help="Instead of the scenario's own.")
def timeline(scenario: str, seed: int, seconds: float | None) -> None:
    """Print what SCENARIO would do, and when; nothing is started."""
    for step in _read(scenario).timeline(seed, seconds):
        click.echo(orjson.dumps(step.told()).decode())


@fleet.command(epilog=CODES)
@click.argument("scenario")
@click.argument("folder")
def check(scenario: str, folder: str) -> None:
    """Check the histories of an earlier play, kept in FOLDER, against SCENARIO's checks."""
    from harepick.fleet.checks import run_checks
    from harepick.fleet.history import merge

    made = _read(scenario)
    paths = sorted(Path(folder).glob("*.jsonl"))
    if not paths:
        fail(f"no histories (*.jsonl) in {folder}", USAGE)
    events = merge(paths)
    figures, counts, told = run_checks(events, made.checks)
    start = next((event.mono for event in events if event.event == "began_play"), events[0].mono)
    _print(told, start)
    ok = not any(counts.values())
    line = {"scenario": made.name, "ok": ok, **figures, "violations": counts}
    click.echo(orjson.dumps(line).decode())
    sys.exit(0 if ok else REFUSED)
