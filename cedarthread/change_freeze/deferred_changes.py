"""Placement changes that were denied in a window and are released after it, at a limited rate."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.change_freeze.placement_changes import PlacementChange

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.fleet_config import FrozenAction

MAX_DEFERRED_CHANGES = 512  # past which all changes count as deferred until the last is released
RELEASES_PER_MS = 0.004  # 4 per second: the default where the host gives no rate of its own
RELEASE_BURST = 4.0  # releases that are saved up at most


@dataclass(slots=True)
class ReleaseRateLimiter:
    """A token bucket for releases; calling it takes one token."""

    rate_per_ms: float = RELEASES_PER_MS
    burst: float = RELEASE_BURST
    tokens: float = RELEASE_BURST
    refilled_at_ms: float = 0.0

    def __call__(self, now_ms: float) -> int:
        """1 where one change may be released now, else 0."""
        self.tokens = min(self.burst, self.tokens + self.rate_per_ms * max(0.0, now_ms - self.refilled_at_ms))
        self.refilled_at_ms = now_ms
        if self.tokens < 1.0:
            return 0
        self.tokens -= 1.0
        return 1


@dataclass(slots=True)
class DeferredChange:
    """The denied changes of one kind and function: where the first was requested, and how often."""

    kind: FrozenAction
    function_id: int | None
    worker_id: int | None
    request_count: int = 1
    is_emergency: bool = False
    zone_index: int | None = None
    tenant_index: int | None = None

    def as_change(self) -> PlacementChange:
        """The change, to ask whether it is still frozen."""
        return PlacementChange(
            self.kind, self.worker_id, self.function_id, self.zone_index, self.tenant_index, self.is_emergency
        )


class DeferredChanges:
    """All deferred changes of one router, by kind and function."""

    def __init__(self) -> None:
        self.changes: dict[tuple[FrozenAction, int | None], DeferredChange] = {}
        self.has_overflowed = False  # some were not kept, so it is not known which

    def __len__(self) -> int:
        return len(self.changes)

    def add(self, change: PlacementChange) -> None:
        """Keep a denied change, or count it where one of its kind and function is kept."""
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

    def includes(self, kind: FrozenAction, function_id: int | None) -> bool:
        """Whether a change of this kind was deferred and has not been released since."""
        return (kind, function_id) in self.changes or (self.has_overflowed and bool(self.changes))

    def discard(self, kind: FrozenAction, function_id: int | None) -> None:
        """The change was made after all."""
        self.changes.pop((kind, function_id), None)

    def release(
        self,
        now_ms: float,
        is_frozen: Callable[[PlacementChange], bool],
        take_release: Callable[[float], int],
    ) -> list[DeferredChange]:
        """Take out what is not frozen now, as much as the rate permits.

        Emergencies first, then what was requested most often.
        """
        due = [deferred for deferred in self.changes.values() if not is_frozen(deferred.as_change())]
        due.sort(key=lambda deferred: (not deferred.is_emergency, -deferred.request_count))
        released: list[DeferredChange] = []
        while due and take_release(now_ms) > 0:
            deferred = due.pop(0)
            del self.changes[deferred.kind, deferred.function_id]
            released.append(deferred)
        self.has_overflowed = self.has_overflowed and bool(self.changes)
        return released
