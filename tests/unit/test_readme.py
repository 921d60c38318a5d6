"""The code example in README.md."""

from __future__ import annotations

from pathlib import Path
from typing import Any

README = Path(__file__).parents[2] / "README.md"


def test_the_example_runs_and_leaves_no_pending_request() -> None:
    code = README.read_text().split("```python\n")[1].split("```")[0]
    names: dict[str, Any] = {}
    exec(compile(code, str(README), "exec"), names)
    assert names["attempt"].worker_id in (10, 11)
    assert names["router"].pending_requests == {}
