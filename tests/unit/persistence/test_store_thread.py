"""The store on a separate thread: batches, bounds, timeouts and defects of the backend."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from cedarthread.persistence import write_queue
from cedarthread.persistence.memory_store import MemoryBackend
from cedarthread.persistence.reopen_policy import MAX_BACKOFF_MS
from cedarthread.persistence.store import KeyValueWrite, LoadResult, StoreFault
from cedarthread.persistence.store_thread import RESPONSE_TIMEOUT_MS
from tests.contracts.store_fixtures import TEST_TIMEOUT_S, HostedStoreThread, open_store_thread, wait_until

if TYPE_CHECKING:
    from collections.abc import Sequence

    import pytest

Results = list[StoreFault | None]


class BlockingBackend(MemoryBackend):
    """A memory backend that blocks in one method until the test releases it.

    Args:
        blocking_method: the name of that method.
    """

    def __init__(self, blocking_method: str = "commit") -> None:
        super().__init__()
        self.blocking_method = blocking_method
        self.entered = threading.Semaphore(0)
        self.released = threading.Semaphore(0)
        self.commits: list[list[KeyValueWrite]] = []
        self.raises = False

    def _wait_if_blocking(self, method: str) -> None:
        if method == self.blocking_method:
            self.entered.release()
            assert self.released.acquire(timeout=TEST_TIMEOUT_S)

    def open(self) -> LoadResult:
        self._wait_if_blocking("open")
        return super().open()

    def commit(
        self, writes: Sequence[KeyValueWrite], above_generation: int | None = None
    ) -> StoreFault | None:
        self.commits.append(list(writes))
        self._wait_if_blocking("commit")
        if self.raises:
            raise RuntimeError("injected backend exception")
        return super().commit(writes, above_generation)


def test_pending_writes_share_a_commit_and_a_newer_one_replaces_an_older() -> None:
    backend = BlockingBackend()
    results: list[tuple[int, StoreFault | None]] = []
    store = open_store_thread(backend)

    def write(number: int, key: str) -> None:
        store.put(key, b"%d" % number, lambda fault: results.append((number, fault)))

    write(0, "a")
    assert backend.entered.acquire(timeout=TEST_TIMEOUT_S)
    for number in range(1, 5):
        write(number, "ab"[number % 2])
    store.run_callbacks()
    assert not results
    backend.released.release(2)
    wait_until(store, lambda: len(results) == 5)
    assert backend.commits == [[("a", b"0")], [("b", b"3"), ("a", b"4")]]
    assert results == [(number, None) for number in range(5)] and store.statistics.acknowledged == 3
    assert store.statistics.pending == store.statistics.pending_bytes == 0
    store.close()


def test_with_sync_each_every_key_has_a_commit() -> None:
    backend = BlockingBackend(blocking_method="open")
    results = Results()
    store = HostedStoreThread(backend, sync_mode="each")
    for number in range(3):
        store.put(f"{number}", b"", results.append)
    backend.released.release()
    wait_until(store, lambda: len(results) == 3)
    assert [len(writes) for writes in backend.commits] == [1, 1, 1]
    store.close()


def test_a_full_queue_rejects_writes_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(write_queue, "MAX_PENDING_WRITES", 3)
    monkeypatch.setattr(write_queue, "MAX_PENDING_BYTES", 100)
    backend = BlockingBackend(blocking_method="open")
    results = Results()
    store = HostedStoreThread(backend)
    store.put("large", bytes(200), results.append)
    assert results == [StoreFault.UNRESPONSIVE]
    for number in range(4):
        store.put(f"{number}", b"", results.append)
    assert results == [StoreFault.UNRESPONSIVE] * 2 and store.statistics.rejected == 2
    backend.released.release()
    wait_until(store, lambda: len(results) == 5)
    assert results[2:] == [None] * 3
    store.close()


def test_the_first_opening_of_an_unresponsive_disk_does_not_block_the_host() -> None:
    backend = BlockingBackend(blocking_method="open")
    results = Results()
    backend.commit([("earlier", b"before")])
    store = HostedStoreThread(backend)
    host = store.fake_host
    store.put("a", b"1", results.append)
    store.run_callbacks()
    assert not host.openings and store.load().fault is StoreFault.UNRESPONSIVE

    host.now_ms += RESPONSE_TIMEOUT_MS
    store.run_callbacks()
    assert host.openings == [LoadResult({}, 0, StoreFault.UNRESPONSIVE)]
    assert results == [StoreFault.UNRESPONSIVE]

    backend.released.release()
    wait_until(store, lambda: len(host.openings) == 2)
    assert host.openings[1].values == {"earlier": b"before"} and store.fault is None
    store.put("b", b"2", results.append)
    wait_until(store, lambda: len(results) == 2)
    assert results[1] is None and backend.open is not None
    store.close()
    expected = {"earlier": b"before", "a": b"1", "b": b"2"}
    assert dict(backend._values) == expected, "the write that failed with UNRESPONSIVE was made later"


def test_an_exception_of_the_backend_is_a_fault_and_does_not_end_the_thread() -> None:
    backend = BlockingBackend(blocking_method="no method")
    results = Results()
    store = open_store_thread(backend)
    backend.raises = True
    store.put("a", b"1", results.append)
    wait_until(store, lambda: bool(results))
    backend.raises = False
    store.fake_host.now_ms += MAX_BACKOFF_MS
    wait_until(store, lambda: store.fault is None)
    store.put("a", b"2", results.append)
    wait_until(store, lambda: len(results) == 2)
    assert results == [StoreFault.IO_ERROR, None]
    store.close()
    store.put("a", b"3", results.append)
    assert results[2] is StoreFault.UNRESPONSIVE, "the store is closed"


def test_writes_queued_behind_a_failed_commit_fail_with_its_fault() -> None:
    backend = BlockingBackend()
    results = Results()
    store = open_store_thread(backend)
    store.put("a", b"1", results.append)
    assert backend.entered.acquire(timeout=TEST_TIMEOUT_S)
    backend.raises = True
    store.put("b", b"2", results.append)
    backend.released.release(2)
    wait_until(store, lambda: bool(results))
    assert results == [StoreFault.IO_ERROR] * 2
    store.close()
    assert len(backend.commits) == 1, "no write is made after the failed commit"


def test_writing_without_sync_is_logged_as_a_risk() -> None:
    store = open_store_thread(MemoryBackend(), sync_mode="none")
    assert any("acknowledged writes may be lost" in line for line in store.fake_host.lines)
    store.close()
