"""A model of the file contents on a disk after a power cut, at each operation of a recorded run."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

SECTOR_BYTES = 512
"""Size in bytes of the unit that a disk writes atomically."""
SECTOR_WRITTEN_PROBABILITY = 0.5
"""Probability that a sector of a torn write is on the disk."""


@dataclass(frozen=True, slots=True)
class DiskOperation:
    """An operation on one file: a write of ``data`` at ``offset``, a truncation to ``offset``, or a sync."""

    path: str
    offset: int = 0
    data: bytes | None = None
    sync: bool = False
    failed: bool = False  # a failed sync: its writes may be on the disk or not, and are never retried
    mark: object = None  # if set, this is no operation but a test's record of its progress


def apply_operation(content: bytearray, operation: DiskOperation) -> None:
    """Apply a write or a truncation to a file's content."""
    if operation.data is None:
        del content[operation.offset :]
        return
    if len(content) < operation.offset:
        content.extend(bytes(operation.offset - len(content)))
    content[operation.offset : operation.offset + len(operation.data)] = operation.data


class PowerCutImage(NamedTuple):
    """The marks recorded before a power cut, and the content of each file after it, by path."""

    marks: list[object]
    contents: dict[str, bytes]


PowerCutModel = Callable[[DiskOperation], Iterator[DiskOperation]]
"""Yields the parts of an unsynced operation that are on the disk after a power cut."""


def lose_unsynced(_: DiskOperation) -> Iterator[DiskOperation]:
    """Return no part: all unsynced operations are lost."""
    return iter(())


def keep_unsynced(operation: DiskOperation) -> Iterator[DiskOperation]:
    """Return the whole operation: all unsynced operations are on the disk."""
    return iter((operation,))


def tear_unsynced(rng: random.Random) -> PowerCutModel:
    """Return a model in which each operation is complete, lost, or torn at random sectors."""

    def tear(operation: DiskOperation) -> Iterator[DiskOperation]:
        choice = rng.randrange(4)
        if choice == 0 and operation.data:
            for start in range(0, len(operation.data), SECTOR_BYTES):
                if rng.random() < SECTOR_WRITTEN_PROBABILITY:
                    sector = operation.data[start : start + SECTOR_BYTES]
                    yield DiskOperation(operation.path, operation.offset + start, sector)
        elif choice != 1:
            yield operation

    return tear


def power_cut_images(operations: Sequence[DiskOperation], model: PowerCutModel) -> Iterator[PowerCutImage]:
    """Simulate a power cut after each operation.

    Args:
        operations: all recorded operations and marks, in order.
        model: the parts of an unsynced operation that are on the disk.

    Yields:
        The image of each power cut, in the order of the operations.
    """
    synced: dict[str, bytearray] = {}
    unsynced: dict[str, list[DiskOperation]] = {}
    marks: list[object] = []
    for operation in operations:
        if operation.mark is not None:
            marks.append(operation.mark)
        elif operation.sync:
            for written in unsynced.pop(operation.path, []):
                parts = model(written) if operation.failed else (written,)
                for part in parts:
                    apply_operation(synced.setdefault(operation.path, bytearray()), part)
        else:
            unsynced.setdefault(operation.path, []).append(operation)
        yield PowerCutImage(list(marks), _content_after_cut(synced, unsynced, model))


def _content_after_cut(
    synced: dict[str, bytearray], unsynced: dict[str, list[DiskOperation]], model: PowerCutModel
) -> dict[str, bytes]:
    contents = {path: bytearray(content) for path, content in synced.items()}
    for path, operations in unsynced.items():
        for operation in operations:
            for part in model(operation):
                apply_operation(contents.setdefault(path, bytearray()), part)
    return {path: bytes(content) for path, content in contents.items()}
