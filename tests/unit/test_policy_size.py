"""The size of the policy files that deploy/balancer.toml names: they choose a worker, retry or refuse."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
POLICY = [ROOT / name for name in tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]]
ROUTER = ROOT / "cedarthread/routing/router.py"


def test_the_policy_files_keep_their_size() -> None:
    lines = [line for path in POLICY for line in path.read_text().splitlines()]
    assert 0 < sum(1 for line in lines if line.strip()) <= 740
    assert max(len(line) for line in lines) <= 110


@pytest.mark.parametrize("path", POLICY, ids=[path.name for path in POLICY])
def test_a_policy_file_exists_and_is_no_stub(path: Path) -> None:
    assert path.is_file()
    assert any(line.strip() for line in path.read_text().splitlines())


def test_each_policy_module_is_named_once() -> None:
    assert len(set(POLICY)) == len(POLICY)
    assert ROUTER in POLICY
    chosen = {"admission.py", "preloading.py", "retries.py", "router.py", "selection.py"}
    assert chosen <= {path.name for path in POLICY if path.parent == ROUTER.parent}


def test_the_docstring_names_the_interface_first() -> None:
    assert "cedarthread/model/" in ROUTER.read_text().split('"""')[1]
