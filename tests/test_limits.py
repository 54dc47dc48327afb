"""Size limits of the decision module, and what it must not depend on."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
MODULE = ROOT / "harepick" / "decide.py"

MAX_DECISION_STATEMENTS = 571


def _is_docstring(owner: ast.AST, statement: ast.stmt) -> bool:
    if not isinstance(owner, ast.Module | ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
        return False
    return ast.get_docstring(owner, clean=False) is not None and statement is owner.body[0]


def _count_statements(source: str) -> int:
    """Number of statements at every depth of nesting, docstrings left out."""
    return sum(
        isinstance(child, ast.stmt) and not _is_docstring(owner, child)
        for owner in ast.walk(ast.parse(source))
        for child in ast.iter_child_nodes(owner)
    )


def test_decision_module_has_a_limited_number_of_statements() -> None:
    assert _count_statements(MODULE.read_text()) <= MAX_DECISION_STATEMENTS


def test_lines_have_a_limited_length() -> None:
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
