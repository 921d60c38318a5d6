"""The corpus: inputs in files, one folder for each target, findings apart; and how an input is minimised."""

from __future__ import annotations

import hashlib
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_FOLDER = Path("corpus")
NAME_DIGITS = 12  # hexadecimal, of the SHA-256 of the bytes
MAX_TRIALS = 4000  # of minimising


class CorpusInput(NamedTuple):
    """An input, by its path below the corpus."""

    name: str
    data: bytes


def inputs(target: str, folder: Path = DEFAULT_FOLDER) -> list[CorpusInput]:
    """All inputs of a target, findings too, in the order of their names."""
    paths = sorted(path for path in (folder / target).rglob("*") if path.is_file())
    return [CorpusInput(str(path.relative_to(folder)), path.read_bytes()) for path in paths]


def findings(target: str, folder: Path = DEFAULT_FOLDER) -> list[CorpusInput]:
    """The findings of a target alone."""
    return [found for found in inputs(target, folder) if "/findings/" in found.name]


def save_input(target: str, data: bytes, folder: Path = DEFAULT_FOLDER) -> Path:
    """Write an input under a name that follows from its bytes; the path."""
    path = folder / target / hashlib.sha256(data).hexdigest()[:NAME_DIGITS]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(data)
    return path


def minimise(data: bytes, still_fails: Callable[[bytes], bool], max_trials: int = MAX_TRIALS) -> bytes:
    """The input without bytes that are not needed for ``still_fails``, and others zeroed.

    It drops ever smaller pieces, as delta debugging does (Zeller and Hildebrandt 2002).
    """
    trials = 0
    size = max(1, len(data) // 2)
    while size and trials < max_trials:
        position, size_before = 0, len(data)
        while position < len(data) and trials < max_trials:
            trials += 1
            shorter = data[:position] + data[position + size :]
            if still_fails(shorter):
                data = shorter
            else:
                position += size
        size = size // 2 if size > 1 or len(data) == size_before else 1
    for position in range(len(data)):
        simpler = data[:position] + b"\0" + data[position + 1 :]
        if data[position] and trials < max_trials and still_fails(simpler):
            data = simpler
        trials += 1
    return data
