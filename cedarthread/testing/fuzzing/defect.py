"""An injected defect: patches of the program, and the target that must find them."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple
from unittest import mock

if TYPE_CHECKING:
    from collections.abc import Iterator


class Patch(NamedTuple):
    """A replacement of an attribute of a class or module."""

    owner: object
    attribute: str
    replacement: object


@dataclass(frozen=True, slots=True)
class Defect:
    """A defect: its patches, the target that must find it, and the maximum number of runs to find it."""

    name: str
    target: str
    runs: int
    patches: tuple[Patch, ...]

    @contextmanager
    def injected(self) -> Iterator[None]:
        """Patch the defect into the program for the duration of the context."""
        patches = [
            mock.patch.object(patch.owner, patch.attribute, patch.replacement) for patch in self.patches
        ]
        for patch in patches:
            patch.start()
        try:
            yield
        finally:
            for patch in reversed(patches):
                patch.stop()


# Replacements for functions with any parameters.


def do_nothing(*arguments: object) -> None:
    """Do nothing and return None, which means "not refused" where a guard is replaced."""


def return_false(*arguments: object) -> bool:
    """Return False."""
    return False


def return_true(*arguments: object) -> bool:
    """Return True."""
    return True
