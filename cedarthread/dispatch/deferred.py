"""The store of calls whose results are retained for a limited time, so that clients can fetch them later.

The client fetches the result of a deferred call by the id of the call. A synchronous call with an idempotency
key is stored too, for retries with the same key. The number and total size of the stored calls are limited.
Only ``DeferredCalls`` adds and removes calls.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cedarthread.dispatch.calls import Call, CallResult, CallSucceeded

if TYPE_CHECKING:
    from collections.abc import Callable

# Name of the class, function and body digest of a request. A retry with the same idempotency key must have
# the same fingerprint.
RequestFingerprint = tuple[str, str, bytes]


@dataclass(frozen=True, slots=True)
class DeferredLimits:
    """Limits on the number, size and retention of stored calls."""

    max_calls: int = 2000
    max_bytes: int = 16 * 2**20
    retention_s: float = 120.0  # how long the result of a deferred call is kept after its completion
    # How long the result of a synchronous call is kept for retries with its key.
    retry_retention_s: float = 10.0
    reserve_bytes: int = 16 * 1024  # bytes reserved for the result of a pending call


@dataclass(eq=False, slots=True)
class DeferredCall:
    """Stored call, deferred or synchronous, with its result after completion."""

    call_id: str  # random; the owner fetches the result by this id
    owner: str  # identity of the client
    idempotency_key: str | None  # chosen by the client
    fingerprint: RequestFingerprint
    call: Call | None = None  # None before submission and after completion
    result: CallResult | None = None
    completed_at_s: float = 0.0
    size_bytes: int = 0  # bytes reserved for the result; after completion, the size of the result body
    is_collected: bool = False  # the result has been passed to the owner's connection
    retention_s: float = 0.0  # time from completion until the result is evicted
    is_remote: bool = False  # taken by another process; not in this process's store
    # Callbacks; each is called once, on completion or cancellation.
    waiters: list[Callable[[], None]] = field(default_factory=list)

    def notify_waiters(self) -> None:
        """Call each waiter once."""
        waiters = self.waiters
        self.waiters = []
        for notify in waiters:
            notify()


class DeferredCalls:
    """Store of all calls of the process whose results are retained.

    Results are evicted when their retention time has passed. Pending calls are never evicted.

    Args:
        limits: Limits on the number, size and retention of the calls.
        clock_s: A monotonic clock in seconds.
    """

    def __init__(self, limits: DeferredLimits, clock_s: Callable[[], float]) -> None:
        self.limits = limits
        self.clock_s = clock_s
        self.reserved_bytes = 0  # bytes reserved for stored and pending results
        self._calls_by_id: dict[str, DeferredCall] = {}
        self._id_by_key: dict[tuple[str, str], str] = {}  # call ids by owner and idempotency key

    def __len__(self) -> int:
        return len(self._calls_by_id)

    def add(
        self,
        owner: str,
        idempotency_key: str | None,
        fingerprint: RequestFingerprint,
        retention_s: float,
    ) -> DeferredCall | None:
        """Add and return a call, or return None if it would exceed a limit."""
        self.evict_expired()
        exceeds_bytes = self.reserved_bytes + self.limits.reserve_bytes > self.limits.max_bytes
        if len(self._calls_by_id) >= self.limits.max_calls or exceeds_bytes:
            return None
        entry = DeferredCall(
            secrets.token_urlsafe(18),
            owner,
            idempotency_key,
            fingerprint,
            size_bytes=self.limits.reserve_bytes,
            retention_s=retention_s,
        )
        self.reserved_bytes += entry.size_bytes
        self._calls_by_id[entry.call_id] = entry
        if idempotency_key is not None:
            self._id_by_key[(owner, idempotency_key)] = entry.call_id
        return entry

    def find(self, owner: str, call_id: str) -> DeferredCall | None:
        """Return the call with this id, or None if the id is unknown or belongs to another owner."""
        self.evict_expired()
        entry = self._calls_by_id.get(call_id)
        return entry if entry is not None and entry.owner == owner else None

    def find_by_id(self, call_id: str) -> DeferredCall | None:
        """Return the call with this id of any owner, or None if it is unknown."""
        return self._calls_by_id.get(call_id)

    def find_by_key(self, owner: str, idempotency_key: str) -> DeferredCall | None:
        """Return the call of an owner with an idempotency key, or None if there is none."""
        self.evict_expired()
        return self._calls_by_id.get(self._id_by_key.get((owner, idempotency_key), ""))

    def complete(self, entry: DeferredCall, result: CallResult) -> None:
        """Store the result of a call and notify its waiters."""
        entry.result = result
        entry.completed_at_s = self.clock_s()
        entry.call = None
        size_bytes = len(result.body) if isinstance(result, CallSucceeded) else 0
        if entry.call_id in self._calls_by_id:
            self.reserved_bytes += size_bytes - entry.size_bytes
            entry.size_bytes = size_bytes
        entry.notify_waiters()

    def remove(self, entry: DeferredCall) -> None:
        """Remove a call if it is still stored."""
        if self._calls_by_id.pop(entry.call_id, None) is not None:
            self.reserved_bytes -= entry.size_bytes
            if entry.idempotency_key is None:
                return
            owner_and_key = (entry.owner, entry.idempotency_key)
            if self._id_by_key.get(owner_and_key) == entry.call_id:
                del self._id_by_key[owner_and_key]

    def evict_expired(self) -> None:
        """Remove the completed calls whose retention time has passed."""
        now_s = self.clock_s()
        for entry in [entry for entry in self._calls_by_id.values() if entry.result is not None]:
            if now_s - entry.completed_at_s > entry.retention_s:
                self.remove(entry)

    def has_uncollected(self) -> bool:
        """Return whether the owner of any stored call has not fetched the result yet."""
        return any(not entry.is_collected for entry in self._calls_by_id.values())
