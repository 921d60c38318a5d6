"""Size limits of the policy files listed in deploy/balancer.toml: worker selection, retries, admission."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
POLICY = [ROOT / name for name in tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]]
MAX_FILE_LINES = 300
MAX_FUNCTION_LINES = 40
MAX_LINE_CHARACTERS = 110
ROUTER = ROOT / "cedarthread/routing/router.py"


@pytest.mark.parametrize("path", POLICY, ids=[path.name for path in POLICY])
def test_policy_files_stay_within_the_size_limits(path: Path) -> None:
    source = path.read_text()
    functions = [node for node in ast.walk(ast.parse(source)) if isinstance(node, ast.FunctionDef)]
    assert 0 < len(source.splitlines()) <= MAX_FILE_LINES
    assert max(len(line) for line in source.splitlines()) <= MAX_LINE_CHARACTERS
    too_long = [node.name for node in functions if _line_count(node) > MAX_FUNCTION_LINES]
    assert not too_long


def _line_count(function: ast.FunctionDef) -> int:
    return (function.end_lineno or function.lineno) - function.lineno + 1


@pytest.mark.parametrize("path", POLICY, ids=[path.name for path in POLICY])
def test_policy_files_exist_and_are_not_empty(path: Path) -> None:
    assert path.is_file()
    assert any(line.strip() for line in path.read_text().splitlines())


def test_each_policy_module_is_listed_once() -> None:
    assert len(set(POLICY)) == len(POLICY)
    assert ROUTER in POLICY
    required = {"admission.py", "preloading.py", "retries.py", "router.py", "selection.py"}
    assert required <= {path.name for path in POLICY if path.parent == ROUTER.parent}


def test_the_docstring_names_the_interface_first() -> None:
    assert "cedarthread/model/" in ROUTER.read_text().split('"""')[1]
