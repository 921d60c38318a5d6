"""Parser of KNOWN-RED.txt at the root, the list of known failures: a ``test | cause | issue`` per line."""

from __future__ import annotations

import re
from dataclasses import dataclass

MOST = 3  # lines
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
        KnownRedError: A line is malformed, or there are too many.
    """
    found: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or not _ISSUE.match(parts[2]):
            raise KnownRedError(f"line {number}: expected 'test | cause | issue N', got {line[:80]!r}")
        found.append(KnownRed(*parts))
    if len(found) > MOST:
        raise KnownRedError(f"line {MOST + 1}: {len(found)} lines, at most {MOST} may stand")
    if len({one.test for one in found}) < len(found):
        raise KnownRedError("a test is listed twice")
    return found


def unknown(known: list[KnownRed], collected: set[str]) -> list[str]:
    """Return the listed node ids that no collected test has."""
    return [one.test for one in known if one.test not in collected]
