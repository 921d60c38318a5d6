"""The table of the stored calls of all processes that serve one address of the invoke API.

During an upgrade two processes listen on the same address, and a caller may return to either of them, also
after the one that took its call has ended. Therefore each process records its stored calls and their results
in one SQLite file in the temporary folder, which the processes share. An idempotency key belongs to the call
that was recorded first.

All times are seconds on the monotonic clock of the machine, which is the same for all processes until the
next boot; the name of the file contains the boot. Nothing is synced to the disk, because the file only has to
outlive a process. Methods raise ``SharedCallsUnavailableError`` if the file cannot be used.
"""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import apsw

from cedarthread.dispatch.calls import CallFailed, CallRejected, CallResult, CallSucceeded
from cedarthread.errors import CedarthreadError
from cedarthread.protocols.private_folder import address_name, private_temporary_folder

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from apsw import SQLiteValue

    from cedarthread.dispatch.deferred import RequestFingerprint

SCHEMA_VERSION = 1
# Longest wait for another process that is writing. A write takes well under a millisecond, and the event loop
# stands still meanwhile.
BUSY_TIMEOUT_MS = 50
OPEN_BUSY_TIMEOUT_MS = 1000  # the same while the file is opened, before this process accepts callers
# Time after the end of a call's deadline after which the process that took the call must have died.
OWNER_GRACE_S = 1.0
_BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")

_SCHEMA = """
CREATE TABLE IF NOT EXISTS calls(
    call_id TEXT PRIMARY KEY, owner TEXT NOT NULL, idempotency_key TEXT,
    class_name TEXT NOT NULL, function TEXT NOT NULL, body_digest BLOB NOT NULL,
    process TEXT NOT NULL, retention_s REAL NOT NULL, deadline_s REAL NOT NULL,
    is_cancelled INTEGER NOT NULL DEFAULT 0,
    completed_at_s REAL, result_kind TEXT, body BLOB, retry_after_ms REAL, timed_out INTEGER, reason TEXT,
    UNIQUE(owner, idempotency_key))
"""
_COLUMNS = (
    "call_id, owner, idempotency_key, class_name, function, body_digest, retention_s, deadline_s, "
    "completed_at_s, result_kind, body, retry_after_ms, timed_out, reason"
)
_EXPIRY = "coalesce(completed_at_s, deadline_s) + retention_s"
_SUCCEEDED = "succeeded"
_REJECTED = "rejected"
_FAILED = "failed"


class SharedCallsUnavailableError(CedarthreadError):
    """The file of the shared calls cannot be opened, read or written."""


@dataclass(frozen=True, slots=True)
class SharedCall:
    """One stored call of any process, with its result after completion."""

    call_id: str
    owner: str  # identity of the client
    idempotency_key: str | None
    fingerprint: RequestFingerprint
    retention_s: float  # time from completion until the result is evicted
    deadline_s: float  # time by which the process that took the call completes it
    result: CallResult | None = None


def default_path(host: str, port: int) -> Path:
    """Return the file of the calls of one listen address, in a folder that only this user can access.

    Raises:
        SharedCallsUnavailableError: The folder cannot be created, or others can access it.
    """
    try:
        folder = private_temporary_folder()
        boot_id = _BOOT_ID_PATH.read_text().strip()
    except OSError as error:
        raise SharedCallsUnavailableError(str(error)) from None
    return folder / f"calls-v{SCHEMA_VERSION}-{address_name(host, port)}-{boot_id}.db"


@contextmanager
def _translated_errors() -> Iterator[None]:
    try:
        yield
    except (apsw.Error, OSError) as error:
        raise SharedCallsUnavailableError(f"{type(error).__name__}: {error}") from None


class SharedCalls:
    """This process's connection to the table.

    Args:
        path: The file, which is created if it is missing.
        process: The name of this process in the table, unique among all processes.
        clock_s: The monotonic clock of the machine.
    """

    def __init__(self, path: Path, process: str, clock_s: Callable[[], float]) -> None:
        self.path = path
        self._process = process
        self._clock_s = clock_s
        with _translated_errors():
            self._connection = apsw.Connection(str(path))
            self._execute(f"PRAGMA busy_timeout={OPEN_BUSY_TIMEOUT_MS}")
            self._execute("PRAGMA journal_mode=WAL")
            self._execute("PRAGMA synchronous=OFF")
            self._execute(_SCHEMA)
            self._execute(f"PRAGMA busy_timeout={BUSY_TIMEOUT_MS}")

    def close(self) -> None:
        """Close the file, which stays for the other processes."""
        with _translated_errors():
            self._connection.close(force=True)

    def add(self, call: SharedCall, replaced_call_id: str | None = None) -> SharedCall:
        """Record a call of this process, unless its key belongs to another call.

        Args:
            call: The call.
            replaced_call_id: A rejected call, whose key is free for this one.

        Returns:
            The call to which the key belongs now.
        """
        with _translated_errors(), self._connection:
            self._execute(
                "DELETE FROM calls WHERE owner = ? AND idempotency_key = ?"
                f" AND (call_id = ? OR is_cancelled OR {_EXPIRY} < ?)",
                (call.owner, call.idempotency_key, replaced_call_id, self._clock_s()),
            )
            self._execute(
                "INSERT INTO calls(call_id, owner, idempotency_key, class_name, function, body_digest,"
                " process, retention_s, deadline_s) VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?)"
                " ON CONFLICT(owner, idempotency_key) DO NOTHING",
                (
                    call.call_id,
                    call.owner,
                    call.idempotency_key,
                    *call.fingerprint,
                    self._process,
                    call.retention_s,
                    call.deadline_s,
                ),
            )
            in_force = call
            if call.idempotency_key is not None:
                in_force = self._find_by_key(call.owner, call.idempotency_key) or call
        return in_force

    def find(self, owner: str, call_id: str) -> SharedCall | None:
        """Return the call with this id, or None if it is unknown or belongs to another owner."""
        with _translated_errors():
            return self._select("owner = ? AND call_id = ?", (owner, call_id))

    def find_by_key(self, owner: str, idempotency_key: str) -> SharedCall | None:
        """Return the call of an owner with an idempotency key, or None if there is none."""
        with _translated_errors():
            return self._find_by_key(owner, idempotency_key)

    def _find_by_key(self, owner: str, idempotency_key: str) -> SharedCall | None:
        return self._select("owner = ? AND idempotency_key = ?", (owner, idempotency_key))

    def complete(self, call_id: str, result: CallResult) -> None:
        """Record the result of a call."""
        body = result.body if isinstance(result, CallSucceeded) else None
        retry_after_ms = result.retry_after_ms if isinstance(result, CallRejected) else None
        reason = result.reason if isinstance(result, CallRejected) else None
        timed_out = None if isinstance(result, CallSucceeded) else result.timed_out
        kind = {CallSucceeded: _SUCCEEDED, CallRejected: _REJECTED, CallFailed: _FAILED}[type(result)]
        with _translated_errors():
            self._execute(
                "UPDATE calls SET completed_at_s = ?, result_kind = ?, body = ?, retry_after_ms = ?,"
                " timed_out = ?, reason = ? WHERE call_id = ?",
                (self._clock_s(), kind, body, retry_after_ms, timed_out, reason, call_id),
            )

    def extend_retention(self, call_id: str, retention_s: float) -> None:
        """Keep the result of a call for at least a time after its completion."""
        with _translated_errors():
            self._execute(
                "UPDATE calls SET retention_s = ? WHERE call_id = ? AND retention_s < ?",
                (retention_s, call_id, retention_s),
            )

    def remove(self, call_id: str) -> None:
        """Remove a call of this process."""
        with _translated_errors():
            self._execute("DELETE FROM calls WHERE call_id = ?", (call_id,))

    def request_cancel(self, call_id: str) -> None:
        """Ask the process that took a call to cancel it; from now on, no process finds the call."""
        with _translated_errors():
            self._execute("UPDATE calls SET is_cancelled = 1 WHERE call_id = ?", (call_id,))

    def take_cancelled(self) -> list[str]:
        """Remove the calls of this process that another one asked to cancel, and return their ids."""
        cancelled: list[str] = []
        with _translated_errors():
            rows = self._execute(
                "SELECT call_id FROM calls WHERE is_cancelled AND process = ?", (self._process,)
            )
            cancelled = [str(row[0]) for row in rows]
            for call_id in cancelled:
                self._execute("DELETE FROM calls WHERE call_id = ?", (call_id,))
        return cancelled

    def evict_expired(self) -> None:
        """Remove the calls of all processes whose retention time has passed."""
        with _translated_errors():
            self._execute(f"DELETE FROM calls WHERE {_EXPIRY} < ?", (self._clock_s(),))

    def _select(self, condition: str, bindings: tuple[SQLiteValue, ...]) -> SharedCall | None:
        now_s = self._clock_s()
        rows = self._execute(
            f"SELECT {_COLUMNS} FROM calls WHERE {condition} AND NOT is_cancelled AND {_EXPIRY} >= ?",
            (*bindings, now_s),
        )
        return _parse_row(rows[0], now_s) if rows else None

    def _execute(self, statement: str, bindings: tuple[SQLiteValue, ...] = ()) -> list[tuple[Any, ...]]:
        return list(self._connection.execute(statement, bindings))


def _parse_row(row: tuple[Any, ...], now_s: float) -> SharedCall:
    """Return the call in a row; one that its process should have completed long ago has failed."""
    call_id, owner, key, class_name, function, body_digest, retention_s, deadline_s = row[:8]
    completed_at_s, kind, body, retry_after_ms, timed_out, reason = row[8:]
    result: CallResult | None = None
    if kind == _SUCCEEDED:
        result = CallSucceeded(bytes(body))
    elif kind == _REJECTED:
        result = CallRejected(retry_after_ms, bool(timed_out), reason)
    elif kind == _FAILED:
        result = CallFailed(bool(timed_out))
    elif completed_at_s is None and now_s > deadline_s + OWNER_GRACE_S:
        result = CallFailed(timed_out=True)  # its process died; the call may have been executed
    fingerprint = (class_name, function, bytes(body_digest))
    return SharedCall(call_id, owner, key, fingerprint, retention_s, deadline_s, result)
