"""Deferred calls: results are kept until their owners have collected them, within firm limits."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cedarthread.dispatch.calls import Call, CallResult, CallSucceeded

if TYPE_CHECKING:
    from collections.abc import Callable

# What a client asked for: class, function and digest of the body. A retry under the same idempotency key must
# ask for the same.
RequestFingerprint = tuple[str, str, bytes]


@dataclass(frozen=True, slots=True)
class DeferredLimits:
    """How many calls and bytes are kept, and for how long."""

    max_calls: int = 2000
    max_bytes: int = 16 * 2**20
    retention_s: float = 120.0  # of a deferred call's result, from when it came
    retry_retention_s: float = 10.0  # of a synchronous call's result, for retries under its idempotency key
    reserve_bytes: int = 16 * 1024  # set aside for a result that has not come yet


@dataclass(eq=False, slots=True)
class DeferredCall:
    """One deferred call and, once it is complete, its result."""

    call_id: str  # random, under which the owner collects the result
    owner: str  # identity of the client
    idempotency_key: str | None  # chosen by the client
    fingerprint: RequestFingerprint
    call: Call | None = None  # None before it is submitted and once it is complete
    result: CallResult | None = None
    completed_at_s: float = 0.0
    size_bytes: int = 0  # reserved for the result, then its size
    is_collected: bool = False
    retention_s: float = 0.0  # how long the result is kept
    waiters: list[Callable[[], None]] = field(default_factory=list)  # called once, on completion


class DeferredCalls:
    """All deferred calls of the process. Results are evicted after their retention, pending calls never."""

    def __init__(self, limits: DeferredLimits, clock_s: Callable[[], float]) -> None:
        self.limits = limits
        self.clock_s = clock_s  # monotonic
        self.reserved_bytes = 0  # by results and by calls that wait for one
        self._calls_by_id: dict[str, DeferredCall] = {}
        self._id_by_key: dict[tuple[str, str], str] = {}

    def __len__(self) -> int:
        return len(self._calls_by_id)

    def add(
        self,
        owner: str,
        idempotency_key: str | None,
        fingerprint: RequestFingerprint,
        retention_s: float,
    ) -> DeferredCall | None:
        """Add a call; None where that would exceed a limit."""
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
        """The call of that id; None where there is none, or it has another owner."""
        self.evict_expired()
        entry = self._calls_by_id.get(call_id)
        return entry if entry is not None and entry.owner == owner else None

    def find_by_key(self, owner: str, idempotency_key: str) -> DeferredCall | None:
        """The call of that owner under that idempotency key; None where there is none."""
        self.evict_expired()
        return self._calls_by_id.get(self._id_by_key.get((owner, idempotency_key), ""))

    def complete(self, entry: DeferredCall, result: CallResult) -> None:
        """Keep the result of a call and notify its waiters."""
        entry.result, entry.completed_at_s, entry.call = result, self.clock_s(), None
        size_bytes = len(result.body) if isinstance(result, CallSucceeded) else 0
        if entry.call_id in self._calls_by_id:
            self.reserved_bytes += size_bytes - entry.size_bytes
            entry.size_bytes = size_bytes
        waiters, entry.waiters = entry.waiters, []
        for notify in waiters:
            notify()

    def remove(self, entry: DeferredCall) -> None:
        """Forget a call, if it is still known."""
        if self._calls_by_id.pop(entry.call_id, None) is not None:
            self.reserved_bytes -= entry.size_bytes
            if entry.idempotency_key is None:
                return
            owner_and_key = (entry.owner, entry.idempotency_key)
            if self._id_by_key.get(owner_and_key) == entry.call_id:
                del self._id_by_key[owner_and_key]

    def evict_expired(self) -> None:
        """Forget the calls whose result was kept long enough."""
        now_s = self.clock_s()
        for entry in [entry for entry in self._calls_by_id.values() if entry.result is not None]:
            if now_s - entry.completed_at_s > entry.retention_s:
                self.remove(entry)

    def has_uncollected(self) -> bool:
        """Is there a call whose owner has not collected its result?"""
        return any(not entry.is_collected for entry in self._calls_by_id.values())
