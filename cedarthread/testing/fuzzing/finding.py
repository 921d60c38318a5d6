"""The exception that reports a fault of the program, and the assertion that raises it."""

from __future__ import annotations


class Finding(Exception):  # noqa: N818 -- reports and the corpus call it a finding
    """A fault that the program showed on one input; the message names the broken rule."""


def require(condition: object, message: str) -> None:
    """Raise ``Finding`` with the message unless the condition is truthy."""
    if not condition:
        raise Finding(message)
