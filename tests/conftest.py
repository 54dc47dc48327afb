"""Reads KNOWN-RED.txt at the root: tests that fail because of a known fault that is not fixed yet.

One line per test, `test | cause | issue N`, three at most. Each listed test is a strict expected failure: if
it passes, the run fails, so that a fixed test is taken off the list. The listed tests are printed; a file of
any other form is a usage error.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
KNOWN_RED_FILE = "KNOWN-RED.txt"
MAX_KNOWN_RED = 3
LINE_PATTERN = re.compile(r"(tests/\w+\.py)::(\w+)(\[[^|]+\])? \| ([^|]+) \| issue (\d+)")


@dataclass(frozen=True)
class KnownRed:
    """A listed test: its pytest node id, the cause of its failure and the open issue."""

    node: str
    cause: str
    issue: int


def read_known_red(root: Path) -> list[KnownRed]:
    """Reads the list; empty if there is no file.

    Raises `pytest.UsageError` for a line of another form, a test that does not exist, or too many lines.
    """
    path = root / KNOWN_RED_FILE
    if not path.exists():
        return []
    known = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        match = LINE_PATTERN.fullmatch(line)
        if match is None:
            raise pytest.UsageError(
                f"{KNOWN_RED_FILE}:{number}: not of the form 'test | cause | issue N': {line!r}"
            )
        test_file, name, case, cause, issue = match.groups()
        source = root / test_file
        if not source.exists() or not re.search(rf"def {name}\(", source.read_text()):
            raise pytest.UsageError(f"{KNOWN_RED_FILE}:{number}: no such test: {test_file}::{name}")
        known.append(KnownRed(f"{test_file}::{name}{case or ''}", cause, int(issue)))
    if len(known) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"{KNOWN_RED_FILE}: {len(known)} tests, {MAX_KNOWN_RED} at most")
    return known


def pytest_configure(config: pytest.Config) -> None:
    """Reads the list before tests are collected."""
    config.stash[KNOWN_RED] = read_known_red(ROOT)


KNOWN_RED = pytest.StashKey[list[KnownRed]]()


def pytest_report_header(config: pytest.Config) -> list[str]:
    """Prints the listed tests at the start of the run."""
    known = config.stash[KNOWN_RED]
    return [f"known red: {test.node}: {test.cause} (issue {test.issue})" for test in known] or [
        "known red: none"
    ]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks the listed tests, with all their parameters if none are named, as strict expected failures."""
    for known in config.stash[KNOWN_RED]:
        for item in items:
            if item.nodeid == known.node or item.nodeid.startswith(known.node + "["):
                item.add_marker(pytest.mark.xfail(strict=True, reason=f"{known.cause} (issue {known.issue})"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Prints the listed tests at the end of the run."""
    for known in config.stash[KNOWN_RED]:
        terminalreporter.write_line(f"KNOWN RED {known.node}: {known.cause} (issue {known.issue})")
