"""The README's example of a program that uses the decision module as a library."""

from __future__ import annotations

import re
from pathlib import Path


def test_the_readme_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    blocks = re.findall(r"```python\n(.*?)```", text, re.S)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})
