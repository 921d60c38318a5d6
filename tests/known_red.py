"""Parser of KNOWN-RED.txt at the root, the list of known failures: a ``test | cause | issue`` per line."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_LINES = 3
_ISSUE = re.compile(r"issue \d+\Z")


class KnownRedError(Exception):
    """An invalid KNOWN-RED.txt; the message names the line and the error."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that fails because of a known fault that is not corrected yet."""

    test: str  # the pytest node id, relative to the root
    cause: str
    issue: str

    def __str__(self) -> str:
        return f"known red: {self.test}: {self.cause} ({self.issue})"


def read(text: str) -> list[KnownRed]:
    """Parse the content of KNOWN-RED.txt.

    Raises:
        KnownRedError: A line is malformed, a test is listed twice, or there are too many lines.
    """
    found: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or not _ISSUE.match(parts[2]):
            raise KnownRedError(f"line {number}: expected 'test | cause | issue N', got {line[:80]!r}")
        found.append(KnownRed(*parts))
    if len(found) > MAX_LINES:
        raise KnownRedError(f"line {MAX_LINES + 1}: {len(found)} lines, at most {MAX_LINES} are allowed")
    if len({entry.test for entry in found}) < len(found):
        raise KnownRedError("a test is listed twice")
    return found


def find_unknown_tests(known: list[KnownRed], collected: set[str]) -> list[str]:
    """Return the listed node ids that no collected test has."""
    return [entry.test for entry in known if entry.test not in collected]
