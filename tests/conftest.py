"""KNOWN-RED.txt at the root: tests that may fail for a real fault that is not mended yet.

One line each, `test | cause | issue N`, three at most. Each is a strict expected failure: a listed test that
passes fails the run, so that a mended one leaves the list. A file of any other form fails the run, and what
is listed is printed.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
FILE = "KNOWN-RED.txt"
MOST = 3
LINE = re.compile(r"(tests/\w+\.py)::(\w+)(\[[^|]+\])? \| ([^|]+) \| issue (\d+)")


@dataclass(frozen=True)
class KnownRed:
    node: str  # the test's id
    cause: str
    issue: int


def read_known_red(root: Path) -> list[KnownRed]:
    """Raises `pytest.UsageError` of anything that is not of the form, and of tests that are not there."""
    file = root / FILE
    if not file.exists():
        return []
    known = []
    for number, line in enumerate(file.read_text().splitlines(), 1):
        found = LINE.fullmatch(line)
        if found is None:
            raise pytest.UsageError(f"{FILE}:{number}: not of the form 'test | cause | issue N': {line!r}")
        path, name, case, cause, issue = found.groups()
        source = root / path
        if not source.exists() or not re.search(rf"def {name}\(", source.read_text()):
            raise pytest.UsageError(f"{FILE}:{number}: no such test: {path}::{name}")
        known.append(KnownRed(f"{path}::{name}{case or ''}", cause, int(issue)))
    if len(known) > MOST:
        raise pytest.UsageError(f"{FILE}: {len(known)} tests, {MOST} at most")
    return known


def pytest_configure(config: pytest.Config) -> None:
    config.stash[KNOWN] = read_known_red(ROOT)


KNOWN = pytest.StashKey[list[KnownRed]]()


def pytest_report_header(config: pytest.Config) -> list[str]:
    known = config.stash[KNOWN]
    return [f"known red: {k.node}: {k.cause} (issue {k.issue})" for k in known] or ["known red: none"]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    for known in config.stash[KNOWN]:
        for item in items:
            if item.nodeid == known.node or item.nodeid.startswith(known.node + "["):
                item.add_marker(pytest.mark.xfail(strict=True, reason=f"{known.cause} (issue {known.issue})"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for known in config.stash[KNOWN]:
        terminalreporter.write_line(f"KNOWN RED {known.node}: {known.cause} (issue {known.issue})")
