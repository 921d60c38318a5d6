"""The verdict of a check."""

from __future__ import annotations


class Finding(Exception):
    """The program did on an input what it must not do."""


def require(holds: bool, what: str) -> None:
    """Raise ``Finding`` unless it holds."""
    if not holds:
        raise Finding(what)
