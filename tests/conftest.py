"""Markers by folder, and the known failures that KNOWN-RED.txt lists.

A listed test may fail, and its line is printed after the run; a listed test that passes is an error.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.known_red import KnownRed, KnownRedError, find_unknown_tests, read

# Each test is marked with the name of its folder; ``-m unit`` runs the unit tests, in about half a minute.
MARKED_FOLDERS = ("unit", "contracts", "simulation", "integration")
KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"


def _read_known_failures() -> list[KnownRed]:
    try:
        return read(KNOWN_RED_PATH.read_text()) if KNOWN_RED_PATH.exists() else []
    except KnownRedError as error:
        raise pytest.UsageError(f"{KNOWN_RED_PATH.name}: {error}") from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known_failures = _read_known_failures()
    is_full_run = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    if is_full_run and (unknown_tests := find_unknown_tests(known_failures, {item.nodeid for item in items})):
        raise pytest.UsageError(f"{KNOWN_RED_PATH.name}: no test is named {', '.join(unknown_tests)}")
    known_failure_by_test = {known_failure.test: known_failure for known_failure in known_failures}
    for item in items:
        folder = item.path.relative_to(KNOWN_RED_PATH.parent / "tests").parts[0]
        if folder in MARKED_FOLDERS:
            item.add_marker(folder)
        if (known_failure := known_failure_by_test.get(item.nodeid)) is not None:
            item.add_marker(pytest.mark.xfail(reason=str(known_failure), strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for known_failure in _read_known_failures():
        terminalreporter.write_line(str(known_failure))
