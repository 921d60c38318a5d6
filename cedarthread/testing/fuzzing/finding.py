"""The exception for a fault that an input reveals, and the assertion that raises it."""

from __future__ import annotations


class Finding(Exception):  # noqa: N818 -- reports and the corpus folders use this term
    """A fault of the program on one input; the message says which rule is violated."""


def require(condition: object, message: str) -> None:
    """Raise ``Finding`` with the message unless the condition is truthy."""
    if not condition:
        raise Finding(message)
