"""What a power cut leaves on a disk, after each single operation of a recorded run."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

SECTOR_BYTES = 512
SECTOR_SURVIVAL = 0.5  # probability that a sector of a torn write is on the disk
"""Bytes that a disk writes as a whole."""


@dataclass(frozen=True, slots=True)
class DiskOperation:
    """One operation on one file: a write of ``data`` at ``offset``, a truncation to it, or a sync."""

    path: str
    offset: int = 0
    data: bytes | None = None
    sync: bool = False
    failed: bool = False  # the sync: what it was to write may be on the disk or not, and is never retried
    mark: object = None  # a test's note between operations: what had been acknowledged by then


def apply_operation(content: bytearray, operation: DiskOperation) -> None:
    """Apply a write or a truncation to a file's content."""
    if operation.data is None:
        del content[operation.offset :]
        return
    if len(content) < operation.offset:
        content.extend(bytes(operation.offset - len(content)))
    content[operation.offset : operation.offset + len(operation.data)] = operation.data


PowerCutModel = Callable[[DiskOperation], Iterator[DiskOperation]]
"""Which part of an operation that was not synced is on the disk after a power cut."""


def lose_unsynced(_: DiskOperation) -> Iterator[DiskOperation]:
    """All that was not synced is lost."""
    return iter(())


def keep_unsynced(operation: DiskOperation) -> Iterator[DiskOperation]:
    """All that was not synced is written all the same."""
    return iter((operation,))


def tear_unsynced(rng: random.Random) -> PowerCutModel:
    """Some operations are written, some are lost, and of some each sector may be either."""

    def tear(operation: DiskOperation) -> Iterator[DiskOperation]:
        choice = rng.randrange(4)
        if choice == 0 and operation.data:
            for start in range(0, len(operation.data), SECTOR_BYTES):
                if rng.random() < SECTOR_SURVIVAL:
                    sector = operation.data[start : start + SECTOR_BYTES]
                    yield DiskOperation(operation.path, operation.offset + start, sector)
        elif choice != 1:
            yield operation

    return tear


def power_cut_images(
    operations: Sequence[DiskOperation], model: PowerCutModel
) -> Iterator[tuple[list[object], dict[str, bytes]]]:
    """For a power cut after each operation: the marks until then, and the content of each file."""
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
        yield list(marks), _content_after_cut(synced, unsynced, model)


def _content_after_cut(
    synced: dict[str, bytearray], unsynced: dict[str, list[DiskOperation]], model: PowerCutModel
) -> dict[str, bytes]:
    contents = {path: bytearray(content) for path, content in synced.items()}
    for path, operations in unsynced.items():
        for operation in operations:
            for part in model(operation):
                apply_operation(contents.setdefault(path, bytearray()), part)
    return {path: bytes(content) for path, content in contents.items()}
