"""Reads KNOWN-RED.txt at the root: tests that fail because of a known fault that is not fixed yet.

One line per test, three at most: `test | command, seed N | what was seen | issue N`, with `no seed` in place
of the seed where the command takes none. Each listed test is a strict expected failure: if it passes, the run
fails, so that a fixed test is taken off the list. The listed tests are printed; a file of any other form is a
usage error.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
KNOWN_RED_FILE = "KNOWN-RED.txt"
MAX_KNOWN_RED = 3
FORM = "test | command, seed N | what was seen | issue N"
LINE_PATTERN = re.compile(
    r"(?P<file>tests/\w+\.py)::(?P<name>\w+)(?P<case>\[[^|]+\])?"
    r" \| (?P<command>[^|\s][^|]*), (?P<seed>seed \w+|no seed)"
    r" \| (?P<seen>[^|\s][^|]*)"
    r" \| issue (?P<issue>\d+)"
)


@dataclass(frozen=True)
class KnownRed:
    """A listed test: its pytest node id, how to see it fail, what was seen and the open issue."""

    node: str
    command: str
    seed: str
    seen: str
    issue: int

    @property
    def reason(self) -> str:
        """The entry without its test, on one line."""
        return f"{self.seen} ({self.command}, {self.seed}; issue {self.issue})"


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
            raise pytest.UsageError(f"{KNOWN_RED_FILE}:{number}: not of the form '{FORM}': {line!r}")
        test_file, name = match["file"], match["name"]
        source = root / test_file
        if not source.exists() or not re.search(rf"def {name}\(", source.read_text()):
            raise pytest.UsageError(f"{KNOWN_RED_FILE}:{number}: no such test: {test_file}::{name}")
        node = f"{test_file}::{name}{match['case'] or ''}"
        known.append(KnownRed(node, match["command"], match["seed"], match["seen"], int(match["issue"])))
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
    return [f"known red: {test.node}: {test.reason}" for test in known] or ["known red: none"]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks the listed tests, with all their parameters if none are named, as strict expected failures."""
    for known in config.stash[KNOWN_RED]:
        for item in items:
            if item.nodeid == known.node or item.nodeid.startswith(known.node + "["):
                item.add_marker(pytest.mark.xfail(strict=True, reason=known.reason))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Prints the listed tests at the end of the run."""
    for known in config.stash[KNOWN_RED]:
        terminalreporter.write_line(f"KNOWN RED {known.node}: {known.reason}")
