"""Stores on fake hosts and recording disks, for the tests of the store's contract and of its parts.

To run the contract's tests on a new backend, add it to ``BACKENDS``; on a new kind of store, to ``HOSTS``.
"""

from __future__ import annotations

import itertools
import queue
import shutil
import threading
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.persistence.fault_switch import ManualSwitch
from cedarthread.persistence.faulty_disk import FaultyDisk
from cedarthread.persistence.memory_store import MemoryBackend
from cedarthread.persistence.sqlite_store import SqliteBackend
from cedarthread.persistence.store_thread import CLOSE_TIMEOUT_MS, StoreHost, StoreThread
from cedarthread.persistence.synchronous_store import SynchronousStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.persistence.store import (
        KeyValueWrite,
        LoadResult,
        StorageBackend,
        Store,
        StoreFault,
        SyncMode,
    )

TEST_TIMEOUT_S = 30.0
"""Time after which a test that waits for a thread fails."""
_serial = itertools.count()


@dataclass
class FakeHost:
    """The clock of a host, set by the test, and a record of the calls that a store made to the host."""

    now_ms: float = 0.0
    lines: list[str] = field(default_factory=list)
    openings: list[LoadResult] = field(default_factory=list)
    wakes: queue.Queue[None] = field(default_factory=queue.Queue)


class HostedStoreThread(StoreThread):
    """A store thread with its own fake host and without a group commit delay."""

    def __init__(
        self,
        backend: StorageBackend,
        *,
        sync_mode: SyncMode = "group",
        close_timeout_ms: float = CLOSE_TIMEOUT_MS,
    ) -> None:
        self.fake_host = FakeHost()
        host = StoreHost(
            clock=lambda: self.fake_host.now_ms,
            wake=lambda: self.fake_host.wakes.put(None),
            on_opened=self.fake_host.openings.append,
            log=self.fake_host.lines.append,
        )
        super().__init__(
            backend, host, sync_mode=sync_mode, group_commit_ms=0.0, close_timeout_ms=close_timeout_ms
        )


def wait_until(store: Store, is_reached: Callable[[], bool]) -> None:
    """Run the store's callbacks until a condition is true."""
    store.run_callbacks()
    while not is_reached():
        if not isinstance(store, HostedStoreThread):
            raise TypeError(
                "a synchronous store completes writes immediately, so that the condition cannot become true"
            )
        store.fake_host.wakes.get(timeout=TEST_TIMEOUT_S)
        store.run_callbacks()


def open_store_thread(
    backend: StorageBackend, *, sync_mode: SyncMode = "group", close_timeout_ms: float = CLOSE_TIMEOUT_MS
) -> HostedStoreThread:
    """Return a store thread after its first opening."""
    store = HostedStoreThread(backend, sync_mode=sync_mode, close_timeout_ms=close_timeout_ms)
    wait_until(store, lambda: bool(store.fake_host.openings))
    return store


class Mark(NamedTuple):
    """A mark among the disk's operations: the write with this number was started or acknowledged."""

    event: str
    number: int


STARTED = "started"
ACKNOWLEDGED = "acknowledged"


class StoreUnderTest:
    """A disk, a folder on the disk, a store in the folder, and the record of all writes.

    Args:
        tmp_path: parent of all folders.
        backend: a key of ``BACKENDS``.
        host: a key of ``HOSTS``, which is the kind of store.
    """

    def __init__(self, tmp_path: Path, backend: str, host: str) -> None:
        self.tmp_path = tmp_path
        self.folder = tmp_path / f"disk{next(_serial)}"
        self.folder.mkdir()
        self.switch = ManualSwitch()
        self.vfs = f"faulty{next(_serial)}"
        self.has_sync_started = threading.Event()  # of a sync under SLOW_SYNC
        self.may_sync_end = threading.Event()
        self.disk = FaultyDisk(self.vfs, self.switch, 7, self._wait_in_sync, record=True)
        self.make_backend = BACKENDS[backend]
        self.make_store = HOSTS[host]
        self.memory_backend = MemoryBackend()
        self.writes: list[KeyValueWrite] = []  # all that were started, in order
        self.results: dict[int, StoreFault | None] = {}  # of completed writes, by the number of the write
        self._recovered: dict[tuple[tuple[str, bytes], ...], LoadResult] = {}
        self.store = self.open()

    def _wait_in_sync(self, ms: float) -> None:
        self.has_sync_started.set()
        self.may_sync_end.wait(TEST_TIMEOUT_S)

    def open(self) -> Store:
        self.store = self.make_store(self)
        return self.store

    def restart(self) -> LoadResult:
        """Close the store and return what the router's next incarnation reads."""
        self.store.close()
        return self.open().load()

    def start_write(self, key: str, value: bytes | None) -> int:
        """Start a write and return its number."""
        number = len(self.writes)
        self.writes.append((key, value))
        self.disk.add_mark(Mark(STARTED, number))

        def on_completed(fault: StoreFault | None) -> None:
            assert number not in self.results, "the callback of a write ran twice"
            self.results[number] = fault
            if fault is None:
                self.disk.add_mark(Mark(ACKNOWLEDGED, number))

        self.store.put(key, value, on_completed)
        return number

    def write(self, key: str, value: bytes | None) -> StoreFault | None:
        """Make a write and wait for its result."""
        number = self.start_write(key, value)
        wait_until(self.store, lambda: number in self.results)
        return self.results[number]

    def marks(self) -> list[object]:
        return [operation.mark for operation in self.disk.operations if operation.mark is not None]

    def recover(self, image: dict[str, bytes]) -> LoadResult:
        """Return what a restart reads from the files that a power cut left.

        The files are read by a SQLite backend without faults, in another folder. The result is cached,
        because many power cuts leave the same files.
        """
        key = tuple(sorted(image.items()))
        if key in self._recovered:
            return self._recovered[key]
        folder = self.tmp_path / f"cut{next(_serial)}"
        folder.mkdir()
        for path, content in image.items():
            (folder / Path(path).name).write_bytes(content)
        backend = SqliteBackend(folder)
        load_result = backend.open()
        self._recovered[key] = load_result
        backend.close()
        shutil.rmtree(folder)
        return load_result


FAULTY_DISK = "sqlite on a faulty disk"
BACKENDS: dict[str, Callable[[StoreUnderTest], StorageBackend]] = {
    "memory": lambda test: test.memory_backend,
    "sqlite": lambda test: SqliteBackend(test.folder),
    FAULTY_DISK: lambda test: SqliteBackend(test.folder, vfs=test.vfs),
}
# The kinds of store: one commits in the calling thread, two in a thread of their own. In sync mode "each",
# each key has its own transaction; otherwise pending writes share transactions.
HOSTS: dict[str, Callable[[StoreUnderTest], Store]] = {
    "synchronous": lambda test: SynchronousStore(test.make_backend(test)),
    "thread": lambda test: open_store_thread(test.make_backend(test)),
    "thread, each": lambda test: open_store_thread(test.make_backend(test), sync_mode="each"),
}
