"""Parsing of KNOWN-RED.txt, and its effect on a test run: only the tests that it lists may fail."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import KnownRed, KnownRedError, read

ROOT = Path(__file__).parents[2]
LINE = "tests/test_it.py::test_red | the list is late | issue 33\n"


def test_a_line_names_test_cause_and_issue() -> None:
    assert read(LINE) == [KnownRed("tests/test_it.py::test_red", "the list is late", "issue 33")]
    assert read("") == []


@pytest.mark.parametrize(
    "text",
    [
        "tests/test_it.py::test_red\n",
        "tests/test_it.py::test_red | cause\n",
        "tests/test_it.py::test_red | cause | 33\n",
        " | cause | issue 33\n",
        LINE + "\n",
        LINE + LINE,
        "".join(LINE.replace("red", f"red{n}") for n in range(4)),
    ],
)
def test_a_malformed_duplicate_or_fourth_line_is_an_error(text: str) -> None:
    with pytest.raises(KnownRedError):
        read(text)


def play(folder: Path, known: str, red: str) -> subprocess.CompletedProcess[str]:
    """Run pytest in a project with two tests: ``test_red`` with the body ``red``, and one that passes."""
    tests = folder / "tests"
    tests.mkdir()
    for name in ("conftest.py", "known_red.py", "__init__.py"):
        shutil.copy(ROOT / "tests" / name, tests / name)
    (tests / "test_it.py").write_text(f"def test_red():\n    {red}\n\n\ndef test_green():\n    pass\n")
    (folder / "KNOWN-RED.txt").write_text(known)
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)


@pytest.mark.parametrize(
    ("known", "red", "code", "said"),
    [
        (LINE, "assert False", 0, "known red: tests/test_it.py::test_red: the list is late (issue 33)"),
        (LINE, "pass", 1, "XPASS"),  # the fault is corrected, so the line must be removed
        ("", "assert False", 1, "1 failed"),
        (LINE.replace("red", "gone"), "pass", 4, "no test is named"),
        ("".join(LINE.replace("red", f"red{n}") for n in range(4)), "pass", 4, "at most 3 are allowed"),
    ],
)
def test_only_listed_tests_may_fail_and_they_must_fail(
    tmp_path: Path, known: str, red: str, code: int, said: str
) -> None:
    done = play(tmp_path, known, red)
    assert done.returncode == code and said in done.stdout + done.stderr, done.stdout + done.stderr
