"""The thread that makes all calls to one storage backend, because each of them may block on the disk.

The thread opens, commits and closes, and makes no decisions: it runs the next job, stores the job's
completion, and calls ``wake``. The host is the code that uses the store; on its thread, ``store_thread.py``
queues the jobs and handles the completions. The lock of one condition variable protects the state that both
threads write.
"""

from __future__ import annotations

import threading
from collections import deque
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.persistence.write_queue import WriteBatch, WriteQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.persistence.store import LoadResult, StorageBackend, StoreFault, SyncMode, WriteCallback


class OpenCompletion(NamedTuple):
    """The result of opening the backend."""

    load_result: LoadResult


class CommitCompletion(NamedTuple):
    """The result of the commit of one batch, and the backend's generation after the commit."""

    batch: WriteBatch
    fault: StoreFault | None
    generation: int


Completion = OpenCompletion | CommitCompletion


class PendingWrites(NamedTuple):
    """The number of keys that wait for a commit, and the total size of these keys and their values."""

    key_count: int
    size_bytes: int


class DiskWorker:
    """A thread with its queue of writes and its completions. It opens the backend as its first job.

    All public methods are for the host's thread; only ``close`` waits, within a bound.

    Args:
        backend: the storage, which only the thread uses. Its methods must raise nothing.
        sync_mode: with "each", a commit writes one key; otherwise a commit writes all pending keys.
        group_commit_ms: time for which writes are gathered before a commit; not used with "each".
        clock: returns the time of a monotonic clock in ms.
        wake: called on the thread after each completion.
    """

    def __init__(
        self,
        backend: StorageBackend,
        *,
        sync_mode: SyncMode,
        group_commit_ms: float,
        clock: Callable[[], float],
        wake: Callable[[], object],
    ) -> None:
        self._backend = backend
        self._commits_each_write = sync_mode == "each"
        self._group_commit_s = group_commit_ms / 1000.0
        self._clock = clock
        self._wake = wake
        self._is_writable = False  # whether the disk is writable; used by the thread only
        # Completions, added by the thread and removed by the host's thread.
        self._completions: deque[Completion] = deque()
        # Written only while the condition's lock is held:
        self._condition = threading.Condition()
        self._queue = WriteQueue()
        self._running_batch: WriteBatch | None = None
        self._is_open_requested = True
        self.is_closing = False
        self.busy_since_ms: float | None = clock()  # start of the running job; None while no job runs
        # A daemon thread, because a call that never returns must not prevent the process from ending.
        self.thread = threading.Thread(target=self._run, name="store", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def put(self, key: str, value: bytes | None, callback: WriteCallback | None) -> bool:
        """Queue a write, or replace the pending write of its key; return False if the queue is full."""
        with self._condition:
            is_queued = self._queue.put(key, value, callback)
            if is_queued:
                self._condition.notify_all()
        return is_queued

    def reset(self, above_generation: int, callback: WriteCallback | None) -> None:
        """Drop all pending writes, and let the next commit delete all content first."""
        with self._condition:
            self._queue.reset(above_generation, callback)
            self._condition.notify_all()

    def request_open(self) -> None:
        """Let the thread open the backend as its next job."""
        with self._condition:
            self._is_open_requested = True
            self._condition.notify_all()

    def pending_writes(self) -> PendingWrites:
        """Return the number and the total size of the pending writes."""
        with self._condition:
            return PendingWrites(len(self._queue), self._queue.pending_bytes)

    def next_completion(self) -> Completion | None:
        """Remove and return the oldest completion, or None if there is none."""
        return self._completions.popleft() if self._completions else None

    def take_callbacks(self) -> list[WriteCallback]:
        """Remove and return the callbacks of the running batch and of all pending writes.

        The pending writes stay in the queue.
        """
        with self._condition:
            return self._take_callbacks()

    def drop_pending(self) -> list[WriteCallback]:
        """Drop all pending writes; remove and return their callbacks and those of the running batch."""
        with self._condition:
            callbacks = self._take_callbacks()
            self._queue.clear()
        return callbacks

    def _take_callbacks(self) -> list[WriteCallback]:
        """Remove and return all callbacks; the caller must hold the condition's lock."""
        callbacks = self._queue.take_callbacks()
        if self._running_batch is not None:
            callbacks = self._running_batch.callbacks + callbacks
            self._running_batch.callbacks = []
        return callbacks

    def close(self, timeout_s: float) -> None:
        """Let the thread write the pending values and end; wait for it until the timeout."""
        with self._condition:
            self.is_closing = True
            self._condition.notify_all()
        self.thread.join(timeout_s)

    # The methods below run on the worker's thread.

    def _run(self) -> None:
        while (job := self._next_job()) is not None:
            completion = job()
            with self._condition:
                self.busy_since_ms = None
                self._running_batch = None
                self._completions.append(completion)
            with suppress(RuntimeError):  # the host's event loop may be closed already
                self._wake()
        self._backend.close()

    def _next_job(self) -> Callable[[], Completion] | None:
        """Wait for the next job and return it, or None if the thread must end."""
        with self._condition:
            while True:
                if self._is_open_requested:
                    self._is_open_requested = False
                    self.busy_since_ms = self._clock()
                    return self._open_backend
                if self._is_writable and self._queue.has_work():
                    if not self._commits_each_write:
                        self._condition.wait_for(lambda: self.is_closing, self._group_commit_s)
                    self._running_batch = self._queue.take_batch(1 if self._commits_each_write else None)
                    self.busy_since_ms = self._clock()
                    return partial(self._commit_batch, self._running_batch)
                if self.is_closing:
                    return None
                self._condition.wait()

    def _open_backend(self) -> OpenCompletion:
        load_result = self._backend.open()
        self._is_writable = load_result.is_writable
        return OpenCompletion(load_result)

    def _commit_batch(self, batch: WriteBatch) -> CommitCompletion:
        fault = self._backend.commit(list(batch.values.items()), batch.above_generation)
        self._is_writable = fault is None
        return CommitCompletion(batch, fault, self._backend.generation)
