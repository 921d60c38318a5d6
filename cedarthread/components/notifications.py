"""Notifications that the routing node passes to every component."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.model.endpoints import EndpointUpdate

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cedarthread.components.replicated_state import ReplicatedEntry
    from cedarthread.model.outcomes import Outcome
    from cedarthread.model.settings import RouterSettings


@dataclass(frozen=True, slots=True)
class PeersChanged:
    """Which other routers are alive, of how many, and for how long in their current incarnation."""

    alive_peers: tuple[int, ...]
    router_count: int
    alive_for_ms: Mapping[int, float]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings are in force."""

    settings: RouterSettings


@dataclass(frozen=True, slots=True)
class WallClockRead:
    """The wall clock was read: Unix time in ms."""

    unix_ms: float


@dataclass(frozen=True, slots=True)
class EntriesChanged:
    """Entries were received here, or became known to be replicated to a majority."""

    entries: tuple[ReplicatedEntry, ...]


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """An attempt ended. ``was_warm``: whether an instance was loaded at the worker; None: not reported."""

    worker_id: int
    function_id: int
    tenant_index: int | None
    work_ms: float
    outcome: Outcome
    was_warm: bool | None


Notification = (
    PeersChanged | SettingsChanged | WallClockRead | EntriesChanged | AttemptCompleted | EndpointUpdate
)
