"""The verdict of a check."""

from __future__ import annotations


class Finding(Exception):  # noqa: N818 -- what a target found, by the name that its reports use
    """The program did on an input what it must not do."""


def require(holds: bool, what: str) -> None:
    """Raise ``Finding`` unless it holds."""
    if not holds:
        raise Finding(what)
