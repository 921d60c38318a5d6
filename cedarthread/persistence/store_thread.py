"""A store that accesses its disk on a separate thread, so that the event loop never waits for the disk.

``disk_worker.py`` implements the thread. All code here but ``_GuardedBackend`` runs on the host's thread. To
open a store on an event loop::

    host = StoreHost(wake=lambda: loop.call_soon_threadsafe(lambda: store.run_callbacks()), ...)
    store = open_store(folder, "group", host=host)

The host also calls ``store.run_callbacks()`` several times a second, because response timeouts and reopening
attempts become due by the clock.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.logs import format_event
from cedarthread.persistence.disk_worker import CommitCompletion, Completion, DiskWorker, OpenCompletion
from cedarthread.persistence.reopen_policy import ReopenPolicy
from cedarthread.persistence.sqlite_store import SqliteBackend
from cedarthread.persistence.store import (
    KeyValueWrite,
    LoadResult,
    StorageBackend,
    StoreFault,
    SyncMode,
    WriteCallback,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from pathlib import Path

logger = logging.getLogger(__name__)

RESPONSE_TIMEOUT_MS = 2000.0
"""Time within which the disk must respond; after that, the router continues without the disk."""
CLOSE_TIMEOUT_MS = 1000.0
"""Maximum time for which ``close`` waits."""
GROUP_COMMIT_MS = 5.0
"""Time for which writes are gathered into one transaction."""


@dataclass(frozen=True, slots=True)
class StoreHost:
    """The functions through which a ``StoreThread`` calls its host."""

    clock: Callable[[], float]
    """Returns the time of a monotonic clock in ms; called on both threads."""
    wake: Callable[[], object]
    """Called on the store's thread when ``run_callbacks`` has work to do."""
    on_opened: Callable[[LoadResult], object]
    """Receives the result of an opening, on the host's thread.

    Always called after the first opening, and also when the first opening exceeds the response timeout.
    Called after a later opening only if the store is writable; the host then puts the values that the result
    lacks.
    """
    log: Callable[[str], object]
    """Logs a line; called on the host's thread."""


@dataclass(frozen=True, slots=True)
class StoreStatistics:
    """Numbers of writes since the start, and the writes that are pending now."""

    acknowledged: int
    rejected: int
    pending: int
    pending_bytes: int


class _GuardedBackend:
    """A storage backend that logs the exceptions of another one and returns IO_ERROR in their place.

    Without it, a defect of the other backend would end the store's thread.
    """

    def __init__(self, backend: StorageBackend) -> None:
        self._backend = backend

    @property
    def generation(self) -> int:
        return self._backend.generation

    def open(self) -> LoadResult:
        try:
            return self._backend.open()
        except Exception:
            logger.exception(format_event("store_backend_defect", call="open"))
            return LoadResult({}, 0, StoreFault.IO_ERROR)

    def commit(
        self, writes: Sequence[KeyValueWrite], above_generation: int | None = None
    ) -> StoreFault | None:
        try:
            return self._backend.commit(writes, above_generation)
        except Exception:
            logger.exception(format_event("store_backend_defect", call="commit"))
            return StoreFault.IO_ERROR

    def close(self) -> None:
        self._backend.close()


class StoreThread:
    """A :class:`~cedarthread.persistence.store.Store` that owns a ``DiskWorker`` and a ``ReopenPolicy``.

    All methods are for the host's thread; only ``close`` waits, within a bound.

    Args:
        backend: the storage, which only the worker's thread uses.
        host: the functions of the host.
        sync_mode: with "each", each key has its own transaction; otherwise pending writes share transactions.
        group_commit_ms: time for which writes are gathered into one transaction.
        seed: seed of the jitter between reopening attempts.
        response_timeout_ms: time within which the disk must respond.
        close_timeout_ms: maximum time for which ``close`` waits.
    """

    def __init__(
        self,
        backend: StorageBackend,
        host: StoreHost,
        *,
        sync_mode: SyncMode = "group",
        group_commit_ms: float = GROUP_COMMIT_MS,
        seed: int = 0,
        response_timeout_ms: float = RESPONSE_TIMEOUT_MS,
        close_timeout_ms: float = CLOSE_TIMEOUT_MS,
    ) -> None:
        self.policy = ReopenPolicy(seed)
        self.generation = 0
        self._host = host
        self._response_timeout_ms = response_timeout_ms
        self._close_timeout_s = close_timeout_ms / 1000.0
        self._load_result: LoadResult | None = None
        self._acknowledged = 0
        self._rejected = 0
        self._worker = DiskWorker(
            _GuardedBackend(backend),
            sync_mode=sync_mode,
            group_commit_ms=group_commit_ms,
            clock=host.clock,
            wake=host.wake,
        )
        if sync_mode == "none":
            host.log(
                format_event(
                    "store_sync_disabled", warning="acknowledged writes may be lost on power failure"
                )
            )
        self._worker.start()

    @property
    def fault(self) -> StoreFault | None:
        """Return the present fault, or None."""
        return self.policy.fault

    @property
    def statistics(self) -> StoreStatistics:
        """Return the numbers of completed and pending writes."""
        pending = self._worker.pending_writes()
        return StoreStatistics(
            acknowledged=self._acknowledged,
            rejected=self._rejected,
            pending=pending.key_count,
            pending_bytes=pending.size_bytes,
        )

    def load(self) -> LoadResult:
        """Return the result of the last opening; empty and UNRESPONSIVE until the first opening has ended."""
        return self._load_result or LoadResult({}, 0, StoreFault.UNRESPONSIVE)

    def put(self, key: str, value: bytes | None, callback: WriteCallback | None = None) -> None:
        """Write a value, or delete the key with None. A pending write of the key is replaced.

        While the disk is UNRESPONSIVE the callback receives that fault at once, but the write stays pending,
        so that the newest value is written once the disk responds.
        """
        fault = self._blocking_fault()
        if fault in (None, StoreFault.UNRESPONSIVE):
            is_queued = self._worker.put(key, value, callback if fault is None else None)
            if not is_queued:
                fault = StoreFault.UNRESPONSIVE
        if fault is not None:
            _invoke_callbacks([] if callback is None else [callback], fault)
            self._rejected += 1

    def reset(self, above_generation: int, callback: WriteCallback | None = None) -> None:
        """Delete all content and pending writes; continue above the generation ``above_generation``."""
        fault = self._blocking_fault()
        if fault in (None, StoreFault.UNRESPONSIVE):
            self._worker.reset(above_generation, callback if fault is None else None)
        if fault is not None and callback is not None:
            callback(fault)

    def _blocking_fault(self) -> StoreFault | None:
        """Return the fault because of which no write can be acknowledged now, or None."""
        if self._worker.is_closing:
            return self.fault or StoreFault.UNRESPONSIVE
        return self.fault

    def run_callbacks(self) -> None:
        """Handle all completions, then a due response timeout, then a due reopening attempt."""
        while (completion := self._worker.next_completion()) is not None:
            self._on_completion(completion)
        now_ms = self._host.clock()
        busy_since_ms = self._worker.busy_since_ms
        if busy_since_ms is not None and now_ms - busy_since_ms >= self._response_timeout_ms:
            self._on_response_timeout(now_ms)
        if not self._worker.is_closing and self.policy.take_due_attempt(now_ms):
            self._worker.request_open()

    def close(self) -> None:
        """Write the pending values and end the thread, within ``close_timeout_ms``.

        The callbacks of writes that are incomplete by then receive a fault, although a blocked disk may still
        complete the running write.
        """
        self._worker.close(self._close_timeout_s)
        self.run_callbacks()
        self._fail_pending(self.fault or StoreFault.UNRESPONSIVE)

    def _on_completion(self, completion: Completion) -> None:
        match completion:
            case OpenCompletion():
                self._after_open(completion.load_result)
            case CommitCompletion():
                self._after_commit(completion)

    def _after_open(self, load_result: LoadResult) -> None:
        is_first = self._load_result is None
        now_ms = self._host.clock()
        self._load_result = load_result
        if load_result.is_writable:
            self.generation = load_result.generation
            self._log_line(self.policy.on_opened(now_ms, load_result.fault))
        else:
            fault = load_result.fault or StoreFault.IO_ERROR
            self._log_line(self.policy.on_failure(now_ms, fault))
            self._fail_pending(fault)
        if is_first or load_result.is_writable:
            self._host.on_opened(load_result)

    def _after_commit(self, completion: CommitCompletion) -> None:
        batch = completion.batch
        fault = completion.fault
        if fault is None:
            self.generation = completion.generation
            self._acknowledged += len(batch.values)
            self._log_line(self.policy.on_write_succeeded(self._host.clock()))
            _invoke_callbacks(batch.callbacks, None)
        else:
            self._log_line(self.policy.on_failure(self._host.clock(), fault))
            _invoke_callbacks(batch.callbacks, fault)
            self._fail_pending(fault)

    def _on_response_timeout(self, now_ms: float) -> None:
        """Notify the callers of all running and pending writes, which stay pending."""
        self._log_line(self.policy.on_timeout(now_ms))
        if self._load_result is None:
            self._load_result = LoadResult({}, 0, StoreFault.UNRESPONSIVE)
            self._host.on_opened(self._load_result)
        self._reject(self._worker.take_callbacks(), self.fault or StoreFault.UNRESPONSIVE)

    def _fail_pending(self, fault: StoreFault) -> None:
        """Drop all pending writes, and notify the callers of these and of the running ones."""
        self._reject(self._worker.drop_pending(), fault)

    def _reject(self, callbacks: list[WriteCallback], fault: StoreFault) -> None:
        self._rejected += len(callbacks)
        _invoke_callbacks(callbacks, fault)

    def _log_line(self, line: str | None) -> None:
        if line is not None:
            self._host.log(line)


def _invoke_callbacks(callbacks: list[WriteCallback], fault: StoreFault | None) -> None:
    for callback in callbacks:
        callback(fault)


def open_store(
    folder: Path,
    sync_mode: SyncMode = "group",
    group_commit_ms: float = GROUP_COMMIT_MS,
    *,
    host: StoreHost,
    seed: int = 0,
    vfs: str | None = None,
) -> StoreThread:
    """Return a store on the SQLite database of a folder, without waiting for the disk.

    ``SqliteBackend`` describes ``folder`` and ``vfs``, ``StoreThread`` the other arguments.
    """
    backend = SqliteBackend(folder, sync_mode, vfs)
    return StoreThread(backend, host, sync_mode=sync_mode, group_commit_ms=group_commit_ms, seed=seed)
