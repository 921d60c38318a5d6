"""Whether most of the fleet restarts at once, by the membership or by the load reports of workers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.components.notifications import PeersChanged

MIN_FLEET_ROUTERS = 2  # a router alone has no fleet that could restart
MASS_RESTART_FRACTION = 0.5
"""Part of the peers that started lately, or are gone, from which on a restart counts as a mass restart."""
OLDER_PEER_MARGIN_MS = 5000.0
"""Time by which a peer that did not restart with this router has been alive longer."""
MIN_LOAD_REPORTS = 20.0
"""Decayed number of load reports from which on they tell whether peers are at work."""
REPORT_DECAY = 1.0 - 1.0 / (4 * MIN_LOAD_REPORTS)
"""Factor by which each load report lets the earlier ones count for less."""
ABSENT_PEERS_LOAD_FRACTION = 0.5
"""Part of the load that alike peers would have in flight under which they are taken for absent."""


@dataclass(slots=True)
class FleetView:
    """The peers and their uptimes, by the membership's last notification; uptimes have grown since."""

    router_count: int
    latest_peers: PeersChanged | None = None
    latest_peers_at_ms: float = 0.0
    heard_from: set[int] = field(default_factory=set)
    """Peers whose datagrams came in this incarnation of the process."""

    def on_peers_changed(self, now_ms: float, peers: PeersChanged) -> None:
        """Take the membership's present view."""
        self.latest_peers = peers
        self.latest_peers_at_ms = now_ms
        self.router_count = peers.router_count

    def peer_uptimes_ms(self, now_ms: float) -> dict[int, float]:
        """The peers that are alive, with the time in their present incarnation; 0 where it is not known."""
        if self.latest_peers is None:
            return {}
        elapsed_ms = now_ms - self.latest_peers_at_ms
        alive_for_ms = self.latest_peers.alive_for_ms
        return {
            peer: alive_for_ms.get(peer, -elapsed_ms) + elapsed_ms for peer in self.latest_peers.alive_peers
        }

    def has_older_peers(self, now_ms: float, restarted_at_ms: float) -> bool:
        """Whether a peer was alive before this router restarted."""
        min_uptime_ms = now_ms - restarted_at_ms + OLDER_PEER_MARGIN_MS
        return any(uptime_ms > min_uptime_ms for uptime_ms in self.peer_uptimes_ms(now_ms).values())

    def has_majority(self) -> bool:
        """Whether more than half of the configured routers, this one included, are known to be alive."""
        if self.latest_peers is None:
            alive = self.heard_from
        else:
            known = self.heard_from | set(self.latest_peers.alive_for_ms)
            alive = known & set(self.latest_peers.alive_peers)
        return 2 * (1 + len(alive)) > self.router_count

    def is_mass_restart(self, now_ms: float, max_uptime_ms: float) -> bool:
        """Whether most peers are gone, or have been alive for less than ``max_uptime_ms``."""
        if self.latest_peers is None or self.router_count < MIN_FLEET_ROUTERS:
            return False
        peer_count = self.router_count - 1
        gone_count = peer_count - len(self.latest_peers.alive_peers)
        alive_for_ms = self.latest_peers.alive_for_ms
        restarted_count = sum(
            peer in alive_for_ms and uptime_ms < max_uptime_ms
            for peer, uptime_ms in self.peer_uptimes_ms(now_ms).items()
        )
        return restarted_count + gone_count >= MASS_RESTART_FRACTION * peer_count


@dataclass(slots=True)
class WorkerReportView:
    """What a router without gossip can see of its peers: the load that workers report beside its own.

    Of N alike routers each has about one Nth of the calls in flight. Where the peers are gone, workers
    hold little but this router's calls. Where all routers restarted at the same moment, nothing tells that
    from any other day: so a mass restart is assumed until enough reports show otherwise.
    """

    router_count: int
    reported_calls: float = 0.0  # decayed sum of what workers reported to hold
    own_calls: float = 0.0  # decayed sum of this router's part of that
    report_count: float = 0.0  # decayed

    def on_load_report(self, reported_calls: float, own_calls: float) -> None:
        """A load report: the calls that the worker held, and how many of them were this router's."""
        self.reported_calls = self.reported_calls * REPORT_DECAY + reported_calls
        self.own_calls = self.own_calls * REPORT_DECAY + own_calls
        self.report_count = self.report_count * REPORT_DECAY + 1.0

    def is_mass_restart_possible(self) -> bool:
        """Whether the router had better act as if most routers restarted at once."""
        if self.router_count < MIN_FLEET_ROUTERS:
            return False
        peer_calls = self.reported_calls - self.own_calls
        expected_calls = ABSENT_PEERS_LOAD_FRACTION * self.own_calls * (self.router_count - 1)
        return self.report_count < MIN_LOAD_REPORTS or peer_calls < expected_calls
