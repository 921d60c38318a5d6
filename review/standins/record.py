"""The record of a run: what was sent, answered and run, with times since the start of the script."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """Writer of ``record.txt``.

    Args:
        path: The file to write; an earlier one is replaced.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at_s = time.monotonic()

    def seconds(self) -> float:
        """Return the time since the start of the script."""
        return time.monotonic() - self._started_at_s

    def write(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{self.seconds():8.3f}  {text}\n")
        self._file.flush()
