"""KNOWN-RED.txt: its form is enforced, and only the listed tests may fail."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.conftest import ROOT, read_known_red

TEST_SOURCE = """
def test_red():
    assert False

def test_green():
    assert True
"""
COMMAND = "python -m pytest tests/test_some.py"
VALID_LINE = f"tests/test_some.py::test_red | {COMMAND}, seed 7 | a reply is lost | issue 24"


def write_project(folder: Path, known_red: str) -> Path:
    """Writes a project with a failing and a passing test, this conftest.py and that list."""
    (folder / "tests").mkdir()
    (folder / "tests" / "__init__.py").touch()
    (folder / "tests" / "test_some.py").write_text(TEST_SOURCE)
    (folder / "tests" / "conftest.py").write_text((ROOT / "tests" / "conftest.py").read_text())
    (folder / "KNOWN-RED.txt").write_text(known_red)
    return folder


def run_pytest(folder: Path) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, timeout=60)


@pytest.mark.parametrize(
    ("known_red", "exit_code", "message"),
    [
        (
            VALID_LINE + "\n",
            0,
            f"KNOWN RED tests/test_some.py::test_red: a reply is lost ({COMMAND}, seed 7; issue 24)",
        ),
        (
            VALID_LINE.replace("seed 7", "no seed") + "\n",
            0,
            f"a reply is lost ({COMMAND}, no seed; issue 24)",
        ),
        ("", 1, "FAILED tests/test_some.py::test_red"),
        (VALID_LINE.replace("red", "green") + "\n", 1, "XPASS(strict)"),
        (VALID_LINE.replace("issue 24", "24") + "\n", 4, "not of the form"),
        ("tests/test_some.py::test_red | a reply is lost | issue 24\n", 4, "not of the form"),
        (VALID_LINE.replace(", seed 7", "") + "\n", 4, "not of the form"),
        (VALID_LINE.replace(COMMAND, "") + "\n", 4, "not of the form"),
        (VALID_LINE.replace("a reply is lost", "") + "\n", 4, "not of the form"),
        (VALID_LINE + " | more\n", 4, "not of the form"),
        (VALID_LINE.replace("test_red", "test_gone") + "\n", 4, "no such test"),
        ("\n".join([VALID_LINE] * 4), 4, "3 at most"),
        (VALID_LINE + "\n\n", 4, "not of the form"),
    ],
)
def test_only_listed_tests_may_fail_and_the_form_is_enforced(
    known_red: str, exit_code: int, message: str, tmp_path: Path
) -> None:
    result = run_pytest(write_project(tmp_path, known_red))
    assert result.returncode == exit_code, result.stdout + result.stderr
    assert message in result.stdout + result.stderr


def test_the_list_of_this_checkout_is_valid() -> None:
    assert len(read_known_red(ROOT)) <= 3
