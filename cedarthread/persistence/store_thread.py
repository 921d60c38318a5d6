"""A store whose disk is waited for by a thread of its own, so that the event loop never is.

The thread opens, commits and closes, and decides nothing: it takes what waits, does it, lays down the end and
calls ``wake``. All else happens in ``pump``, on the host's thread. To host it with asyncio::

    store = open_store(folder, "group", wake=lambda: loop.call_soon_threadsafe(lambda: store.pump()), ...)

and ``store.pump()`` some times a second besides, for what is due by the clock: a disk without an answer, a
retry. ``opened`` is told at each opening that ended: the first time with what stood there, after trouble with
what had been acknowledged; the host then puts again what it holds beyond that.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from cedarthread.persistence.reopen_policy import ReopenPolicy
from cedarthread.persistence.sqlite_store import SqliteBackend
from cedarthread.persistence.store import LoadResult, StorageBackend, StoreFault, SyncMode, WriteCallback

RESPONSE_TIMEOUT_MS = 2000.0  # ms within which the disk must answer; then the router goes on without
CLOSE_TIMEOUT_MS = 1000.0  # ms that closing waits at most
MAX_PENDING_WRITES, MAX_PENDING_BYTES = (
    10_000,
    8 * 2**20,
)  # ends that wait at once, and bytes of keys and values


@dataclass(slots=True)
class _Batch:
    """Puts of one transaction: one value a key, and the ends of all of its puts."""

    values: dict[str, bytes | None]
    callbacks: list[WriteCallback]
    above_generation: int | None = None


@dataclass(frozen=True, slots=True)
class StoreStatistics:
    """For operators: puts since the start, and what waits now."""

    acknowledged: int
    rejected: int
    pending: int
    pending_bytes: int


class StoreThread:
    """A store on its own thread. All methods are for the host's thread; only ``close`` waits, within a bound.

    Args: what it stands on; ``sync``: "each" has a transaction a key, otherwise all that wait ``group`` ms
    share one; ``clock``: steady ms; ``wake``: called on the store's thread when ``pump`` has something to
    tell; ``log``: takes a line; ``slow`` and ``closing``: bounds in ms.
    """

    def __init__(
        self,
        backend: StorageBackend,
        *,
        sync_mode: SyncMode = "group",
        group_commit_ms: float = 5.0,
        clock: Callable[[], float],
        wake: Callable[[], object],
        on_opened: Callable[[LoadResult], object],
        log: Callable[[str], object],
        seed: int = 0,
        response_timeout_ms: float = RESPONSE_TIMEOUT_MS,
        close_timeout_ms: float = CLOSE_TIMEOUT_MS,
    ) -> None:
        self._backend, self._commits_each_write, self._group_commit_s = (
            backend,
            sync_mode == "each",
            group_commit_ms / 1000.0,
        )
        self._clock, self._wake, self._on_opened, self._log = clock, wake, on_opened, log
        self._response_timeout_ms, self._close_timeout_s = response_timeout_ms, close_timeout_ms / 1000.0
        self.policy = ReopenPolicy(seed)
        self.generation = 0
        self._load_result: LoadResult | None = None
        self._acknowledged = self._rejected = 0
        self._completions: deque[Callable[[], None]] = deque()  # laid down by the thread, carried out by pump
        # Shared with the thread under the lock:
        self._condition = threading.Condition()
        self._pending: dict[str, bytes | None] = {}
        self._pending_callbacks: list[
            tuple[str | None, WriteCallback]
        ] = []  # of what waits; None: of a reset
        self._pending_reset_above: int | None = None  # a reset waits
        self._pending_bytes = 0
        self._running_batch: _Batch | None = None
        self._busy_since_ms: float | None = (
            clock()
        )  # when the disk was asked for what it has not answered yet
        self._is_open_requested, self._is_writable, self._is_closing = True, False, False
        if sync_mode == "none":
            log("store: sync is none: what it acknowledges MAY BE LOST at a power cut")
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)  # it may hang for good
        self._thread.start()

    # The host's side.

    @property
    def fault(self) -> StoreFault | None:
        """What is wrong now."""
        return self.policy.fault

    @property
    def statistics(self) -> StoreStatistics:
        """What was done and what waits."""
        with self._condition:
            return StoreStatistics(
                self._acknowledged, self._rejected, len(self._pending), self._pending_bytes
            )

    def load(self) -> LoadResult:
        """What the last opening found; empty and SLOW until one has ended."""
        return self._load_result or LoadResult({}, 0, StoreFault.UNRESPONSIVE)

    def put(self, key: str, value: bytes | None, callback: WriteCallback | None = None) -> None:
        """Write a value. A newer one of its key takes the place of one that has not begun.

        While the disk is SLOW it is told so at once, and the value still waits, so that the newest is
        written once the disk comes back."""
        trouble = self._blocking_fault()
        if trouble in (None, StoreFault.UNRESPONSIVE) and not self._enqueue(
            key, value, callback if trouble is None else None
        ):
            trouble = StoreFault.UNRESPONSIVE
        self._call_back([callback] if trouble is not None and callback is not None else [], trouble)
        self._rejected += trouble is not None

    def reset(self, above_generation: int, callback: WriteCallback | None = None) -> None:
        """Drop all content and what waits; the generation goes above ``above``."""
        trouble = self._blocking_fault()
        if trouble in (None, StoreFault.UNRESPONSIVE):
            with self._condition:
                self._pending.clear()
                self._pending_bytes, self._pending_reset_above = (
                    0,
                    max(above_generation, self._pending_reset_above or 0),
                )
                if trouble is None and callback is not None:
                    self._pending_callbacks.append((None, callback))
                self._condition.notify_all()
        if trouble is not None and callback is not None:
            callback(trouble)

    def _blocking_fault(self) -> StoreFault | None:
        return self.fault or StoreFault.UNRESPONSIVE if self._is_closing else self.fault

    def _enqueue(self, key: str, value: bytes | None, callback: WriteCallback | None) -> bool:
        """Have it wait, if there is room."""
        with self._condition:
            size = _payload_bytes(key, value) - (
                _payload_bytes(key, self._pending[key]) if key in self._pending else 0
            )
            count = max(len(self._pending), len(self._pending_callbacks))
            if count >= MAX_PENDING_WRITES or self._pending_bytes + size > MAX_PENDING_BYTES:
                return False
            self._pending[key] = value
            self._pending_bytes += size
            if callback is not None:
                self._pending_callbacks.append((key, callback))
            self._condition.notify_all()
            return True

    def run_callbacks(self) -> None:
        """Tell the ends that have come, and do what is due by the clock."""
        while self._completions:
            self._completions.popleft()()
        now, asked = self._clock(), self._busy_since_ms
        if asked is not None and now - asked >= self._response_timeout_ms:
            self._on_response_timeout(now)
        if not self._is_closing and self.policy.take_due_attempt(now):
            with self._condition:
                self._is_open_requested = True
                self._condition.notify_all()

    def close(self) -> None:
        """Write what waits; what is not written within the bound ends SLOW, and the disk is left alone."""
        with self._condition:
            self._is_closing = True
            self._condition.notify_all()
        self._thread.join(self._close_timeout_s)
        self.run_callbacks()
        self._fail_pending(self.fault or StoreFault.UNRESPONSIVE)

    def _on_response_timeout(self, now: float) -> None:
        self._log_line(self.policy.on_timeout(now))
        if self._load_result is None:
            self._load_result = LoadResult({}, 0, StoreFault.UNRESPONSIVE)
            self._on_opened(self._load_result)
        self._fail_pending(self.fault or StoreFault.UNRESPONSIVE, keep=True)

    def _fail_pending(self, trouble: StoreFault, *, keep: bool = False) -> None:
        """End all puts that are open; with ``keep`` their values still wait for the disk."""
        with self._condition:
            dones = [done for _, done in self._pending_callbacks]
            self._pending_callbacks.clear()
            if self._running_batch is not None:
                dones, self._running_batch.callbacks = self._running_batch.callbacks + dones, []
            if not keep:
                self._pending.clear()
                self._pending_reset_above, self._pending_bytes = None, 0
        self._rejected += len(dones)
        self._call_back(dones, trouble)

    def _call_back(self, dones: list[WriteCallback], trouble: StoreFault | None) -> None:
        for done in dones:
            done(trouble)

    def _log_line(self, line: str | None) -> None:
        if line is not None:
            self._log(line)

    def _after_open(self, loaded: LoadResult) -> None:
        first, now = self._load_result is None, self._clock()
        self._load_result = loaded
        if loaded.is_writable:
            self.generation = loaded.generation
            self._log_line(self.policy.on_opened(now, loaded.fault))
        else:
            self._log_line(self.policy.on_failure(now, loaded.fault or StoreFault.IO_ERROR))
            self._fail_pending(loaded.fault or StoreFault.IO_ERROR)
        if first or loaded.is_writable:
            self._on_opened(loaded)

    def _after_commit(self, batch: _Batch, trouble: StoreFault | None, generation: int) -> None:
        if trouble is None:
            self.generation = generation
            self._acknowledged += len(batch.values)
            self._log_line(self.policy.on_write_succeeded(self._clock()))
            self._call_back(batch.callbacks, None)
        else:
            self._log_line(self.policy.on_failure(self._clock(), trouble))
            self._call_back(batch.callbacks, trouble)
            self._fail_pending(trouble)

    # The thread's side.

    def _run(self) -> None:
        while (job := self._next_job()) is not None:
            end = job()
            with self._condition:
                self._busy_since_ms = self._running_batch = None
                self._completions.append(end)
            with suppress(RuntimeError):  # the host's loop may have been closed meanwhile
                self._wake()
        self._backend.close()

    def _next_job(self) -> Callable[[], Callable[[], None]] | None:
        """What is to be done next; None: nothing ever."""
        with self._condition:
            while True:
                if self._is_open_requested:
                    self._is_open_requested, self._busy_since_ms = False, self._clock()
                    return self._open_backend
                if self._is_writable and (self._pending or self._pending_reset_above is not None):
                    if not self._commits_each_write:
                        self._condition.wait_for(lambda: self._is_closing, self._group_commit_s)
                    self._running_batch, self._busy_since_ms = self._next_batch(), self._clock()
                    return partial(self._commit_batch, self._running_batch)
                if self._is_closing:
                    return None
                self._condition.wait()

    def _next_batch(self) -> _Batch:
        """What goes into the next transaction."""
        keys = list(self._pending)[: 1 if self._commits_each_write else None]
        batch = _Batch({key: self._pending.pop(key) for key in keys}, [], self._pending_reset_above)
        self._pending_bytes -= sum(_payload_bytes(key, value) for key, value in batch.values.items())
        batch.callbacks = [done for key, done in self._pending_callbacks if key not in self._pending]
        self._pending_callbacks = [
            (key, done) for key, done in self._pending_callbacks if key in self._pending
        ]
        self._pending_reset_above = None
        return batch

    def _open_backend(self) -> Callable[[], None]:
        try:
            loaded = self._backend.open()
        except Exception:  # a defect beneath must not end the thread unseen
            loaded = LoadResult({}, 0, StoreFault.IO_ERROR)
        self._is_writable = loaded.is_writable
        return partial(self._after_open, loaded)

    def _commit_batch(self, batch: _Batch) -> Callable[[], None]:
        try:
            trouble = self._backend.commit(list(batch.values.items()), batch.above_generation)
        except Exception:  # as above
            trouble = StoreFault.IO_ERROR
        self._is_writable = trouble is None
        return partial(self._after_commit, batch, trouble, self._backend.generation)


def _payload_bytes(key: str, value: bytes | None) -> int:
    return len(key) + len(value or b"")


def open_store(
    folder: Path,
    sync_mode: SyncMode = "group",
    group_commit_ms: float = 5.0,
    *,
    clock: Callable[[], float],
    wake: Callable[[], object],
    on_opened: Callable[[LoadResult], object],
    log: Callable[[str], object],
    seed: int = 0,
    vfs: str | None = None,
) -> StoreThread:
    """The file store of a folder, on a thread; returns at once, whatever the disk does. See ``Worker``."""
    backend = SqliteBackend(folder, sync_mode, vfs)
    return StoreThread(
        backend,
        sync_mode=sync_mode,
        group_commit_ms=group_commit_ms,
        clock=clock,
        wake=wake,
        on_opened=on_opened,
        log=log,
        seed=seed,
    )
