"""The list of known failures holds to its form, and lets nothing else pass."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.conftest import ROOT, read_known_red

TESTS = """
def test_red():
    assert False

def test_green():
    assert True
"""
GOOD = "tests/test_some.py::test_red | the wall is wet | issue 24"


def tree(folder: Path, known: str) -> Path:
    (folder / "tests").mkdir()
    (folder / "tests" / "__init__.py").touch()
    (folder / "tests" / "test_some.py").write_text(TESTS)
    (folder / "tests" / "conftest.py").write_text((ROOT / "tests" / "conftest.py").read_text())
    (folder / "KNOWN-RED.txt").write_text(known)
    return folder


def run(folder: Path) -> subprocess.CompletedProcess[str]:
    words = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"]
    return subprocess.run(words, cwd=folder, capture_output=True, text=True, timeout=60)


@pytest.mark.parametrize(
    ("known", "code", "said"),
    [
        (GOOD + "\n", 0, "KNOWN RED tests/test_some.py::test_red: the wall is wet (issue 24)"),
        ("", 1, "FAILED tests/test_some.py::test_red"),
        (GOOD.replace("red", "green") + "\n", 1, "XPASS(strict)"),
        (GOOD.replace("issue 24", "24") + "\n", 4, "not of the form"),
        (GOOD.replace("test_red", "test_gone") + "\n", 4, "no such test"),
        ("\n".join([GOOD] * 4), 4, "3 at most"),
        (GOOD + "\n\n", 4, "not of the form"),
    ],
)
def test_only_what_is_listed_in_its_form_may_fail(known: str, code: int, said: str, tmp_path: Path) -> None:
    done = run(tree(tmp_path, known))
    assert done.returncode == code, done.stdout + done.stderr
    assert said in done.stdout + done.stderr


def test_the_list_of_this_checkout_is_of_the_form() -> None:
    assert len(read_known_red(ROOT)) <= 3
