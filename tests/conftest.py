"""Markers by folder, and the known failures that KNOWN-RED.txt lists.

A listed test may fail, and its line is printed after the run; a listed test that passes is an error.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.known_red import KnownRed, KnownRedError, read, unknown

# Each test is marked with the name of its folder; ``-m unit`` runs the unit tests, in about half a minute.
MARKED_FOLDERS = ("unit", "contracts", "simulation", "integration")
FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


def _known() -> list[KnownRed]:
    try:
        return read(FILE.read_text()) if FILE.exists() else []
    except KnownRedError as error:
        raise pytest.UsageError(f"{FILE.name}: {error}") from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = _known()
    whole = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    if whole and (missing := unknown(known, {item.nodeid for item in items})):
        raise pytest.UsageError(f"{FILE.name}: no test is named {', '.join(missing)}")
    by_name = {one.test: one for one in known}
    for item in items:
        folder = item.path.relative_to(FILE.parent / "tests").parts[0]
        if folder in MARKED_FOLDERS:
            item.add_marker(folder)
        if (one := by_name.get(item.nodeid)) is not None:
            item.add_marker(pytest.mark.xfail(reason=str(one), strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for one in _known():
        terminalreporter.write_line(str(one))
