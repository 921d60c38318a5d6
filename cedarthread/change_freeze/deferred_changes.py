"""Placement changes that are denied during a window and released after it at a limited rate.

The admission gate adds, releases and discards the changes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.change_freeze.placement_changes import PlacementChange

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.change_freeze.placement_changes import PlacementChangeKind

MAX_DEFERRED_CHANGES = 512  # after an overflow, every change counts as deferred until all are released
RELEASES_PER_MS = 0.004  # 4 per second: the default if the host passes no limiter of its own
RELEASE_BURST = 4.0  # releases that may be made at once


@dataclass(slots=True)
class ReleaseRateLimiter:
    """Token bucket for releases of deferred changes; calling the limiter consumes one token."""

    rate_per_ms: float = RELEASES_PER_MS
    burst: float = RELEASE_BURST
    tokens: float = RELEASE_BURST
    refilled_at_ms: float = 0.0

    def __call__(self, now_ms: float) -> bool:
        """Return whether one change may be released now; consume a token if so."""
        self.tokens = min(self.burst, self.tokens + self.rate_per_ms * max(0.0, now_ms - self.refilled_at_ms))
        self.refilled_at_ms = now_ms
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True)
class DeferredChange:
    """The denied changes of one kind and function.

    The worker, zone and tenant are those of the first request.
    """

    kind: PlacementChangeKind
    function_id: int | None
    worker_id: int | None
    request_count: int = 1
    is_emergency: bool = False  # whether any of the requests was an emergency
    zone_index: int | None = None
    tenant_index: int | None = None

    def as_change(self) -> PlacementChange:
        """Return the placement change, so that the gate can check whether a rule still freezes it."""
        return PlacementChange(
            self.kind, self.worker_id, self.function_id, self.zone_index, self.tenant_index, self.is_emergency
        )


class DeferredChanges:
    """All deferred changes of one router, by kind and function."""

    def __init__(self) -> None:
        self.changes: dict[tuple[PlacementChangeKind, int | None], DeferredChange] = {}
        self.has_overflowed = False  # denied changes were dropped, and it is unknown which

    def __len__(self) -> int:
        return len(self.changes)

    def add(self, change: PlacementChange) -> None:
        """Store a denied change, or count the request if one of its kind and function is stored already."""
        key = (change.kind, change.function_id)
        if (deferred := self.changes.get(key)) is not None:
            deferred.request_count += 1
            deferred.is_emergency = deferred.is_emergency or change.is_emergency
        elif len(self.changes) < MAX_DEFERRED_CHANGES:
            self.changes[key] = DeferredChange(
                change.kind,
                change.function_id,
                change.worker_id,
                1,
                change.is_emergency,
                change.zone_index,
                change.tenant_index,
            )
        else:
            self.has_overflowed = True

    def includes(self, kind: PlacementChangeKind, function_id: int | None) -> bool:
        """Return whether a change of this kind and function may be deferred and not yet released."""
        return (kind, function_id) in self.changes or (self.has_overflowed and bool(self.changes))

    def discard(self, kind: PlacementChangeKind, function_id: int | None) -> None:
        """Remove a change that has been applied."""
        self.changes.pop((kind, function_id), None)

    def release(
        self,
        now_ms: float,
        is_frozen: Callable[[PlacementChange], bool],
        try_acquire_release: Callable[[float], bool],
    ) -> list[DeferredChange]:
        """Remove and return the changes that are no longer frozen, as many as the rate permits.

        Emergencies are released first, then the changes that were requested most often.

        Args:
            now_ms: The time on the monotonic clock.
            is_frozen: Returns whether a rule in force freezes a change.
            try_acquire_release: Returns whether one change may be released now; consumes a release token
                if so.
        """
        due = [deferred for deferred in self.changes.values() if not is_frozen(deferred.as_change())]
        due.sort(key=lambda deferred: (not deferred.is_emergency, -deferred.request_count))
        released: list[DeferredChange] = []
        while due and try_acquire_release(now_ms):
            deferred = due.pop(0)
            del self.changes[deferred.kind, deferred.function_id]
            released.append(deferred)
        self.has_overflowed = self.has_overflowed and bool(self.changes)
        return released
