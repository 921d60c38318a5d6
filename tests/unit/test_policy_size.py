"""The shape of the policy file."""

from __future__ import annotations

from pathlib import Path

POLICY = Path(__file__).parents[2] / "cedarthread" / "routing" / "router.py"


def test_the_policy_file_keeps_its_size() -> None:
    lines = POLICY.read_text().splitlines()
    assert 0 < sum(1 for line in lines if line.strip()) <= 740
    assert max(len(line) for line in lines) <= 110


def test_the_docstring_names_the_interface_first() -> None:
    assert "cedarthread/model.py" in POLICY.read_text().split('"""')[1]
