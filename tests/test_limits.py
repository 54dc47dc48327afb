"""Size limits of the decision module, and what it must not depend on."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
MODULE = ROOT / "harepick" / "decide.py"


def test_size_and_line_length() -> None:
    lines = MODULE.read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 650
    for path in (ROOT / "harepick").glob("*.py"):
        assert all(len(line) <= 110 for line in path.read_text().splitlines())


def test_module_names_its_interface_first() -> None:
    assert "harepick/interface.py" in MODULE.read_text().splitlines()[0]


def test_module_imports_nothing_that_does_io_or_reads_a_clock() -> None:
    names = set()
    for node in ast.walk(ast.parse(MODULE.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
    allowed = {"random", "collections", "collections.abc", "harepick", "__future__", "dataclasses", "math"}
    assert names <= allowed
    assert not re.search(r"\brandom\.(?!Random\b)\w+", MODULE.read_text())


def test_deploy_file_names_the_module() -> None:
    text = (ROOT / "deploy" / "balancer.toml").read_text()
    assert 'policy = ["harepick/decide.py"]' in text
    assert 'sim = "exec .venv/bin/python -m harepick.simhost"' in text
