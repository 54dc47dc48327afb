"""`harepick fleet`: runs fault scenarios on a fleet of local instances, and checks their histories."""

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

FLEET_EXIT_CODES = """
\b
Exit codes: 0 every check passed; 1 a check found a violation, or the rig failed;
2 an invalid scenario or argument.
"""
MAX_PRINTED_EVENTS = 40  # of the events around one violation


@click.group(epilog=FLEET_EXIT_CODES)
def fleet() -> None:
    """Run fault scenarios on a fleet of instances."""


def _read_scenario(path: str) -> Scenario:
    from harepick.fleet.scenario import read_scenario

    try:
        return read_scenario(path)
    except SettingsError as error:
        fail(f"{path}: {error}", USAGE)


def _print_violations(violations: Sequence[Violation], start: float) -> None:
    for violation in violations:
        click.echo(f"{violation.check}: {violation.why}", err=True)
        for event in violation.events[:MAX_PRINTED_EVENTS]:
            click.echo(f"    {orjson.dumps(event.as_row(start)).decode()}", err=True)
        if len(violation.events) > MAX_PRINTED_EVENTS:
            click.echo(f"    ... and {len(violation.events) - MAX_PRINTED_EVENTS} more", err=True)


@fleet.command(epilog=FLEET_EXIT_CODES)
@click.argument("scenario")
@click.option("--seed", default=1, show_default=True, help="Seed of the timeline, the load and the faults.")
@click.option(
    "--seconds", type=click.FloatRange(1.0, 3600.0), help="In place of the scenario's own duration."
)
@click.option("--keep", metavar="FOLDER", help="Empty folder in which to keep files, logs and histories.")
@click.option("--plot", metavar="FILE.png", help="Plot the run to this file.")
@click.option("--quiet", is_flag=True, help="Print only the last line.")
def play(
    scenario: str, seed: int, seconds: float | None, keep: str | None, plot: str | None, quiet: bool
) -> None:
    """Start the instances of SCENARIO, apply its faults, and check the histories of all processes.

    The last line is one JSON object; `ok` tells whether every check passed."""
    from harepick.fleet.runner import ScenarioRunner

    parsed = _read_scenario(scenario)
    if plot:
        try:
            from harepick.fleet import plot as plot_module
        except ImportError:
            fail("--plot needs matplotlib: pip install -r requirements-fleet.txt", USAGE)
    with tempfile.TemporaryDirectory(prefix="harepick-fleet-") as temporary:
        folder = Path(keep or temporary).resolve()
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.iterdir()):
            fail(f"--keep {keep} is not empty", USAGE)
        print_progress = (lambda text: None) if quiet else (lambda text: click.echo(text, err=True))
        report = anyio.run(ScenarioRunner(parsed, seed, folder, seconds, print_progress).run)
        if plot:
            plot_module.draw(report, Path(plot))
    _print_violations(report.kept_violations, report.start)
    click.echo(orjson.dumps(report.line()).decode())
    sys.exit(0 if report.ok else REFUSED)


@fleet.command(epilog=FLEET_EXIT_CODES)
@click.argument("scenario")
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--seconds", type=click.FloatRange(1.0, 3600.0), help="In place of the scenario's own duration."
)
def timeline(scenario: str, seed: int, seconds: float | None) -> None:
    """Print the steps of SCENARIO with their times; nothing is started."""
    for step in _read_scenario(scenario).timeline(seed, seconds):
        click.echo(orjson.dumps(step.as_row()).decode())


@fleet.command(epilog=FLEET_EXIT_CODES)
@click.argument("scenario")
@click.argument("folder")
def check(scenario: str, folder: str) -> None:
    """Check the histories of an earlier run, kept in FOLDER, with the checks of SCENARIO."""
    from harepick.fleet.checks import run_checks
    from harepick.fleet.history import merge

    parsed = _read_scenario(scenario)
    paths = sorted(Path(folder).glob("*.jsonl"))
    if not paths:
        fail(f"no histories (*.jsonl) in {folder}", USAGE)
    events = merge(paths)
    figures, counts, violations = run_checks(events, parsed.checks)
    start = next((event.mono for event in events if event.event == "began_play"), events[0].mono)
    _print_violations(violations, start)
    ok = not any(counts.values())
    line = {"scenario": parsed.name, "ok": ok, **figures, "violations": counts}
    click.echo(orjson.dumps(line).decode())
    sys.exit(0 if ok else REFUSED)
