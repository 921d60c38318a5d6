"""The corpus: inputs kept in files, one folder a target, findings apart; and how an input is made smaller."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from pathlib import Path

DEFAULT_FOLDER = Path("corpus")


def inputs(target: str, folder: Path = DEFAULT_FOLDER) -> list[tuple[str, bytes]]:
    """All kept inputs of a target, findings too: name and bytes, in the order of their names."""
    found = sorted(path for path in (folder / target).rglob("*") if path.is_file())
    return [(str(path.relative_to(folder)), path.read_bytes()) for path in found]


def findings(target: str, folder: Path = DEFAULT_FOLDER) -> list[tuple[str, bytes]]:
    """The findings alone."""
    return [(name, data) for name, data in inputs(target, folder) if "/findings/" in name]


def save_input(target: str, data: bytes, folder: Path = DEFAULT_FOLDER) -> Path:
    """Write an input under a name made of its bytes."""
    path = folder / target / hashlib.sha256(data).hexdigest()[:12]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(data)
    return path


def minimise(data: bytes, still_fails: Callable[[bytes], bool], max_trials: int = 4000) -> bytes:
    """The input with all taken out that is not needed for ``same`` to hold; at most so many trials."""
    tried = 0
    size = max(1, len(data) // 2)
    while size and tried < max_trials:
        at, before = 0, len(data)
        while at < len(data) and tried < max_trials:
            tried += 1
            shorter = data[:at] + data[at + size :]
            if still_fails(shorter):
                data = shorter
            else:
                at += size
        size = size // 2 if size > 1 or len(data) == before else 1
    for at in range(len(data)):
        simpler = data[:at] + b"\0" + data[at + 1 :]
        if data[at] and tried < max_trials and still_fails(simpler):
            data = simpler
        tried += 1
    return data
