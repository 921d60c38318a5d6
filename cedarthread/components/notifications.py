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
    """The set of live peers has changed.

    Args:
        alive_peers: Indexes of the other routers that are alive.
        router_count: Number of routers in the settings, including this one.
        alive_for_ms: By peer, how long the peer has been alive in its current incarnation.
    """

    alive_peers: tuple[int, ...]
    router_count: int
    alive_for_ms: Mapping[int, float]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings have taken effect."""

    settings: RouterSettings


@dataclass(frozen=True, slots=True)
class WallClockRead:
    """The wall clock was read."""

    unix_ms: float  # wall clock in ms since the Unix epoch


@dataclass(frozen=True, slots=True)
class EntriesChanged:
    """Entries were received by this router, or became known to be replicated to a majority."""

    entries: tuple[ReplicatedEntry, ...]


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """An attempt ended."""

    worker_id: int
    function_id: int
    tenant_index: int | None  # index of the call's tenant; None: the call has no tenant
    work_ms: float  # time from the start to the end of the attempt
    outcome: Outcome
    was_warm: bool | None  # whether an instance was loaded before the attempt; None: not reported


Notification = (
    PeersChanged | SettingsChanged | WallClockRead | EntriesChanged | AttemptCompleted | EndpointUpdate
)
