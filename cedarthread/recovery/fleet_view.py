"""Detection of a mass restart: most routers of the fleet restart at once.

``FleetView`` uses the membership. ``WorkerReportView`` uses the load reports of workers, for routers that
may not gossip.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.components.notifications import PeersChanged

MIN_FLEET_ROUTERS = 2  # a single router has no peers that could restart
MASS_RESTART_FRACTION = 0.5
"""Minimum fraction of the peers that are absent or started recently in a mass restart."""
OLDER_PEER_MARGIN_MS = 5000.0
"""A peer whose uptime is greater than this router's by more than this margin did not restart with it."""
MIN_LOAD_REPORTS = 20.0
"""Minimum decayed number of load reports from which the activity of peers is inferred."""
REPORT_DECAY = 1.0 - 1.0 / (4 * MIN_LOAD_REPORTS)
"""Factor by which each load report reduces the weight of the earlier ones."""
ABSENT_PEERS_LOAD_FRACTION = 0.5
"""Peers count as absent if their load is below this fraction of the load that is expected of them."""


@dataclass(slots=True)
class FleetView:
    """The peers that are alive and their uptimes, from the last notification of the membership.

    ``RecoveryComponent`` passes the notifications in; ``PeerExchange`` adds to ``seen_peers``.
    """

    router_count: int
    latest_peers: PeersChanged | None = None
    latest_peers_at_ms: float = 0.0
    seen_peers: set[int] = field(default_factory=set)
    """Peers that sent a datagram of the peer query to this incarnation."""

    def on_peers_changed(self, now_ms: float, peers: PeersChanged) -> None:
        """Replace the view with the current one of the membership."""
        self.latest_peers = peers
        self.latest_peers_at_ms = now_ms
        self.router_count = peers.router_count

    def peer_uptimes_ms(self, now_ms: float) -> dict[int, float]:
        """Return the live peers, each with its uptime; 0 if the uptime is not known."""
        if self.latest_peers is None:
            return {}
        elapsed_ms = now_ms - self.latest_peers_at_ms
        alive_for_ms = self.latest_peers.alive_for_ms
        return {
            peer: alive_for_ms.get(peer, -elapsed_ms) + elapsed_ms for peer in self.latest_peers.alive_peers
        }

    def has_older_peers(self, now_ms: float, restarted_at_ms: float) -> bool:
        """Return whether any live peer was already alive when this router restarted."""
        min_uptime_ms = now_ms - restarted_at_ms + OLDER_PEER_MARGIN_MS
        return any(uptime_ms > min_uptime_ms for uptime_ms in self.peer_uptimes_ms(now_ms).values())

    def has_majority(self) -> bool:
        """Return whether this router and the peers known to be alive form a majority of all routers."""
        if self.latest_peers is None:
            alive = self.seen_peers
        else:
            known = self.seen_peers | set(self.latest_peers.alive_for_ms)
            alive = known & set(self.latest_peers.alive_peers)
        return 2 * (1 + len(alive)) > self.router_count

    def is_mass_restart(self, now_ms: float, max_uptime_ms: float) -> bool:
        """Return whether at least half of the peers are absent or have less than the given uptime."""
        if self.latest_peers is None or self.router_count < MIN_FLEET_ROUTERS:
            return False
        peer_count = self.router_count - 1
        absent_count = peer_count - len(self.latest_peers.alive_peers)
        alive_for_ms = self.latest_peers.alive_for_ms
        restarted_count = sum(
            peer in alive_for_ms and uptime_ms < max_uptime_ms
            for peer, uptime_ms in self.peer_uptimes_ms(now_ms).items()
        )
        return restarted_count + absent_count >= MASS_RESTART_FRACTION * peer_count


@dataclass(slots=True)
class WorkerReportView:
    """The load that the peers send to the workers, inferred by a router without gossip from load reports.

    If N routers receive similar calls, each has about one Nth of the calls in flight. If the peers are
    absent, workers report few calls in flight besides this router's own. If all routers restarted at the same
    moment, the reports do not show it. Therefore a mass restart is assumed until enough reports show the
    contrary.
    """

    router_count: int
    reported_calls: float = 0.0  # decayed sum of the calls in flight that workers reported
    own_calls: float = 0.0  # decayed sum of the reported calls that this router had sent
    report_count: float = 0.0  # decayed number of load reports

    def on_load_report(self, reported_calls: float, own_calls: float) -> None:
        """Record a load report of a worker.

        Args:
            reported_calls: Calls in flight at the worker.
            own_calls: Those of them that this router had sent.
        """
        self.reported_calls = self.reported_calls * REPORT_DECAY + reported_calls
        self.own_calls = self.own_calls * REPORT_DECAY + own_calls
        self.report_count = self.report_count * REPORT_DECAY + 1.0

    def is_mass_restart_possible(self) -> bool:
        """Return whether a mass restart cannot be ruled out, so that the router must assume one."""
        if self.router_count < MIN_FLEET_ROUTERS:
            return False
        peer_calls = self.reported_calls - self.own_calls
        expected_calls = ABSENT_PEERS_LOAD_FRACTION * self.own_calls * (self.router_count - 1)
        return self.report_count < MIN_LOAD_REPORTS or peer_calls < expected_calls
