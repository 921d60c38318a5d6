"""A store whose disk is waited for by a thread of its own, so that the event loop never is.

The thread opens, commits and closes, and decides nothing: it takes the next job, does it, leaves a
completion and calls ``wake``. All else happens in ``run_callbacks``, on the host's thread. To host it with
asyncio::

    store = open_store(
        folder, "group", wake=lambda: loop.call_soon_threadsafe(lambda: store.run_callbacks()), ...
    )

and ``store.run_callbacks()`` some times a second besides, for what is due by the clock: a disk that does
not answer, a retry. ``on_opened`` is called after each opening: the first time with the content, after a
fault with what had been acknowledged; the host then puts again what it holds beyond that.
"""

from __future__ import annotations

import logging
import threading
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from cedarthread.logs import format_event
from cedarthread.persistence.reopen_policy import ReopenPolicy
from cedarthread.persistence.sqlite_store import SqliteBackend
from cedarthread.persistence.store import LoadResult, StorageBackend, StoreFault, SyncMode, WriteCallback
from cedarthread.persistence.write_queue import WriteBatch, WriteQueue

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

logger = logging.getLogger(__name__)

RESPONSE_TIMEOUT_MS = 2000.0
"""Time within which the disk must answer; then the router goes on without it."""
CLOSE_TIMEOUT_MS = 1000.0
"""Time that closing waits at most."""
GROUP_COMMIT_MS = 5.0
"""Time for which writes are gathered into one transaction."""


@dataclass(frozen=True, slots=True)
class StoreStatistics:
    """Writes since the start, and what is pending now."""

    acknowledged: int
    rejected: int
    pending: int
    pending_bytes: int


class StoreThread:
    """A :class:`~cedarthread.persistence.store.Store` on a thread of its own.

    All methods are for the host's thread; only ``close`` waits, within a bound.

    Args:
        backend: what it writes to.
        sync_mode: with "each" every key has a transaction, otherwise all that wait share one.
        group_commit_ms: time for which writes are gathered into a transaction.
        clock: steady milliseconds.
        wake: called on the store's thread when ``run_callbacks`` has something to do.
        on_opened: called on the host's thread after each opening.
        log: takes a line.
        seed: of the jitter between reopenings.
        response_timeout_ms: time within which the disk must answer.
        close_timeout_ms: time that ``close`` waits at most.
    """

    def __init__(
        self,
        backend: StorageBackend,
        *,
        sync_mode: SyncMode = "group",
        group_commit_ms: float = GROUP_COMMIT_MS,
        clock: Callable[[], float],
        wake: Callable[[], object],
        on_opened: Callable[[LoadResult], object],
        log: Callable[[str], object],
        seed: int = 0,
        response_timeout_ms: float = RESPONSE_TIMEOUT_MS,
        close_timeout_ms: float = CLOSE_TIMEOUT_MS,
    ) -> None:
        self.policy = ReopenPolicy(seed)
        self.generation = 0
        self._backend = backend
        self._commits_each_write = sync_mode == "each"
        self._group_commit_s = group_commit_ms / 1000.0
        self._clock, self._wake, self._on_opened, self._log = clock, wake, on_opened, log
        self._response_timeout_ms = response_timeout_ms
        self._close_timeout_s = close_timeout_ms / 1000.0
        self._load_result: LoadResult | None = None
        self._acknowledged = 0
        self._rejected = 0
        self._completions: deque[Callable[[], None]] = deque()  # left by the thread, run by run_callbacks
        # Shared with the thread, under the condition's lock:
        self._condition = threading.Condition()
        self._queue = WriteQueue()
        self._running_batch: WriteBatch | None = None
        self._busy_since_ms: float | None = clock()  # when the present job began; None: the disk is idle
        self._is_open_requested = True
        self._is_writable = False
        self._is_closing = False
        if sync_mode == "none":
            log(format_event("store_sync_disabled", warning="acknowledged writes MAY BE LOST at a power cut"))
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)  # it may hang for good
        self._thread.start()

    # Called on the host's thread.

    @property
    def fault(self) -> StoreFault | None:
        """The present fault."""
        return self.policy.fault

    @property
    def statistics(self) -> StoreStatistics:
        """What was done, and what is pending."""
        with self._condition:
            return StoreStatistics(
                acknowledged=self._acknowledged,
                rejected=self._rejected,
                pending=len(self._queue),
                pending_bytes=self._queue.pending_bytes,
            )

    def load(self) -> LoadResult:
        """The result of the last opening; empty and UNRESPONSIVE until one has ended."""
        return self._load_result or LoadResult({}, 0, StoreFault.UNRESPONSIVE)

    def put(self, key: str, value: bytes | None, callback: WriteCallback | None = None) -> None:
        """Write a value, or delete the key with None. A pending write of the key is replaced.

        While the disk is UNRESPONSIVE the callback is told so at once, and the write is still pending, so
        that the newest value is written once the disk answers.
        """
        fault = self._blocking_fault()
        if fault in (None, StoreFault.UNRESPONSIVE):
            with self._condition:
                if self._queue.put(key, value, callback if fault is None else None):
                    self._condition.notify_all()
                else:
                    fault = StoreFault.UNRESPONSIVE
        if fault is not None:
            _call_back([] if callback is None else [callback], fault)
            self._rejected += 1

    def reset(self, above_generation: int, callback: WriteCallback | None = None) -> None:
        """Drop all content and what is pending; the generation goes above ``above_generation``."""
        fault = self._blocking_fault()
        if fault in (None, StoreFault.UNRESPONSIVE):
            with self._condition:
                self._queue.reset(above_generation, callback if fault is None else None)
                self._condition.notify_all()
        if fault is not None and callback is not None:
            callback(fault)

    def _blocking_fault(self) -> StoreFault | None:
        """Why a write cannot be acknowledged."""
        if self._is_closing:
            return self.fault or StoreFault.UNRESPONSIVE
        return self.fault

    def run_callbacks(self) -> None:
        """Run the callbacks of what has ended, and do what is due by the clock."""
        while self._completions:
            self._completions.popleft()()
        now_ms, busy_since_ms = self._clock(), self._busy_since_ms
        if busy_since_ms is not None and now_ms - busy_since_ms >= self._response_timeout_ms:
            self._on_response_timeout(now_ms)
        if not self._is_closing and self.policy.take_due_attempt(now_ms):
            with self._condition:
                self._is_open_requested = True
                self._condition.notify_all()

    def close(self) -> None:
        """Write what is pending; what is not written in time ends UNRESPONSIVE, and is left to the disk."""
        with self._condition:
            self._is_closing = True
            self._condition.notify_all()
        self._thread.join(self._close_timeout_s)
        self.run_callbacks()
        self._fail_pending(self.fault or StoreFault.UNRESPONSIVE)

    def _on_response_timeout(self, now_ms: float) -> None:
        self._log_line(self.policy.on_timeout(now_ms))
        if self._load_result is None:
            self._load_result = LoadResult({}, 0, StoreFault.UNRESPONSIVE)
            self._on_opened(self._load_result)
        self._end_callbacks(self.fault or StoreFault.UNRESPONSIVE)

    def _fail_pending(self, fault: StoreFault) -> None:
        """End all writes with a fault, and drop those that are pending."""
        with self._condition:
            callbacks = self._take_callbacks()
            self._queue.clear()
        self._reject(callbacks, fault)

    def _end_callbacks(self, fault: StoreFault) -> None:
        """End all writes with a fault, as far as their callers know; their values stay pending."""
        with self._condition:
            callbacks = self._take_callbacks()
        self._reject(callbacks, fault)

    def _take_callbacks(self) -> list[WriteCallback]:
        """The callbacks of the running batch and of what is pending. The lock is held."""
        callbacks = self._queue.take_callbacks()
        if self._running_batch is not None:
            callbacks = self._running_batch.callbacks + callbacks
            self._running_batch.callbacks = []
        return callbacks

    def _reject(self, callbacks: list[WriteCallback], fault: StoreFault) -> None:
        self._rejected += len(callbacks)
        _call_back(callbacks, fault)

    def _log_line(self, line: str | None) -> None:
        if line is not None:
            self._log(line)

    def _after_open(self, load_result: LoadResult) -> None:
        is_first, now_ms = self._load_result is None, self._clock()
        self._load_result = load_result
        if load_result.is_writable:
            self.generation = load_result.generation
            self._log_line(self.policy.on_opened(now_ms, load_result.fault))
        else:
            fault = load_result.fault or StoreFault.IO_ERROR
            self._log_line(self.policy.on_failure(now_ms, fault))
            self._fail_pending(fault)
        if is_first or load_result.is_writable:
            self._on_opened(load_result)

    def _after_commit(self, batch: WriteBatch, fault: StoreFault | None, generation: int) -> None:
        if fault is None:
            self.generation = generation
            self._acknowledged += len(batch.values)
            self._log_line(self.policy.on_write_succeeded(self._clock()))
            _call_back(batch.callbacks, None)
        else:
            self._log_line(self.policy.on_failure(self._clock(), fault))
            _call_back(batch.callbacks, fault)
            self._fail_pending(fault)

    # Called on the store's thread.

    def _run(self) -> None:
        while (job := self._next_job()) is not None:
            completion = job()
            with self._condition:
                self._busy_since_ms = self._running_batch = None
                self._completions.append(completion)
            with suppress(RuntimeError):  # the host's loop may have been closed meanwhile
                self._wake()
        self._backend.close()

    def _next_job(self) -> Callable[[], Callable[[], None]] | None:
        """Wait for the next job, which returns its completion; None: the thread is to end."""
        with self._condition:
            while True:
                if self._is_open_requested:
                    self._is_open_requested = False
                    self._busy_since_ms = self._clock()
                    return self._open_backend
                if self._is_writable and self._queue.has_work():
                    if not self._commits_each_write:
                        self._condition.wait_for(lambda: self._is_closing, self._group_commit_s)
                    self._running_batch = self._queue.take_batch(1 if self._commits_each_write else None)
                    self._busy_since_ms = self._clock()
                    return partial(self._commit_batch, self._running_batch)
                if self._is_closing:
                    return None
                self._condition.wait()

    def _open_backend(self) -> Callable[[], None]:
        try:
            load_result = self._backend.open()
        except Exception:  # a defect of the backend must not end the thread unseen
            logger.exception(format_event("store_backend_defect", call="open"))
            load_result = LoadResult({}, 0, StoreFault.IO_ERROR)
        self._is_writable = load_result.is_writable
        return partial(self._after_open, load_result)

    def _commit_batch(self, batch: WriteBatch) -> Callable[[], None]:
        try:
            fault = self._backend.commit(list(batch.values.items()), batch.above_generation)
        except Exception:  # as above
            logger.exception(format_event("store_backend_defect", call="commit"))
            fault = StoreFault.IO_ERROR
        self._is_writable = fault is None
        return partial(self._after_commit, batch, fault, self._backend.generation)


def _call_back(callbacks: list[WriteCallback], fault: StoreFault | None) -> None:
    for callback in callbacks:
        callback(fault)


def open_store(
    folder: Path,
    sync_mode: SyncMode = "group",
    group_commit_ms: float = GROUP_COMMIT_MS,
    *,
    clock: Callable[[], float],
    wake: Callable[[], object],
    on_opened: Callable[[LoadResult], object],
    log: Callable[[str], object],
    seed: int = 0,
    vfs: str | None = None,
) -> StoreThread:
    """The SQLite store of a folder, on a thread; returns at once, whatever the disk does.

    ``vfs``: see ``SqliteBackend``; the other arguments: see ``StoreThread``.
    """
    return StoreThread(
        SqliteBackend(folder, sync_mode, vfs),
        sync_mode=sync_mode,
        group_commit_ms=group_commit_ms,
        clock=clock,
        wake=wake,
        on_opened=on_opened,
        log=log,
        seed=seed,
    )
