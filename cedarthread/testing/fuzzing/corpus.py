"""The corpus of inputs, and the minimisation of an input.

The corpus stores each input in a file, in one folder for each target. A target's findings are in its
subfolder ``findings``.
"""

from __future__ import annotations

import hashlib
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_FOLDER = Path("corpus")
NAME_DIGITS = 12  # length of a file name: leading hexadecimal digits of the SHA-256 of the input
MAX_TRIALS = 4000  # maximum number of inputs that one minimisation checks


class CorpusInput(NamedTuple):
    """An input of the corpus; the name is the path of its file below the corpus folder."""

    name: str
    data: bytes


def inputs(target: str, folder: Path = DEFAULT_FOLDER) -> list[CorpusInput]:
    """Return all inputs of a target, its findings included, sorted by path."""
    paths = sorted(path for path in (folder / target).rglob("*") if path.is_file())
    return [CorpusInput(str(path.relative_to(folder)), path.read_bytes()) for path in paths]


def findings(target: str, folder: Path = DEFAULT_FOLDER) -> list[CorpusInput]:
    """Return the findings of a target."""
    return [corpus_input for corpus_input in inputs(target, folder) if "/findings/" in corpus_input.name]


def save_input(target: str, data: bytes, folder: Path = DEFAULT_FOLDER) -> Path:
    """Write an input to a file that is named by the digest of the input, and return its path."""
    path = folder / target / hashlib.sha256(data).hexdigest()[:NAME_DIGITS]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(data)
    return path


def minimise(data: bytes, still_fails: Callable[[bytes], bool], max_trials: int = MAX_TRIALS) -> bytes:
    """Return a reduced input for which ``still_fails`` still holds, with other bytes removed or set to zero.

    The function removes smaller and smaller pieces, as delta debugging does (Zeller and Hildebrandt 2002).
    """
    trials = 0
    size = max(1, len(data) // 2)
    while size and trials < max_trials:
        position = 0
        size_before = len(data)
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
