"""The exchange of peer query datagrams: answers the queries of peers and sends those of this router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.recovery import codec
from cedarthread.recovery.pacing_limits import PacedAction
from cedarthread.recovery.peer_query import PeerQueryClient, PeerQueryServer
from cedarthread.recovery.state_machine import RecoveryPhase

if TYPE_CHECKING:
    from cedarthread.model.actions import SendToPeer
    from cedarthread.model.settings import RouterSettings
    from cedarthread.recovery.fleet_view import FleetView
    from cedarthread.recovery.pacing import Pacer
    from cedarthread.recovery.state_machine import RecoveryStateMachine
    from cedarthread.recovery.warm_fraction import WarmFractionTracker
    from cedarthread.recovery.warm_state import WarmState


class PeerExchange:
    """Client and server of one router's peer query, and the counts of rejected datagrams.

    Args:
        settings: Settings of the router.
        seed: Seed of the client's random number generator.
        now_ms: Start of the process.
        warm_state: Supplies the observations to send; receives those of peers.
        fleet_view: Supplies the uptimes of peers; records which peers sent a datagram.
        state_machine: Supplies the phase of the recovery; queries are sent only in PEER_QUERY.
        pacer: Supplies the tokens for queries and the baseline rates to send; receives those of peers.
        warm_fraction: Supplies the baseline warm fraction to send.
    """

    def __init__(
        self,
        settings: RouterSettings,
        seed: int,
        now_ms: float,
        *,
        warm_state: WarmState,
        fleet_view: FleetView,
        state_machine: RecoveryStateMachine,
        pacer: Pacer,
        warm_fraction: WarmFractionTracker,
    ) -> None:
        self.on_settings_changed(settings)
        self._warm_state = warm_state
        self._fleet_view = fleet_view
        self._state_machine = state_machine
        self._pacer = pacer
        self._warm_fraction = warm_fraction
        self.client = PeerQueryClient(seed, now_ms)
        self.server = PeerQueryServer(now_ms)
        self._malformed_count = 0
        self._unknown_sender_count = 0

    def on_settings_changed(self, settings: RouterSettings) -> None:
        """Apply new settings."""
        self._router_index = settings.router_index
        self._router_count = settings.router_count
        self.can_query_peers = settings.limits.allows_gossip and settings.router_count > 1

    def restart(self, now_ms: float) -> None:
        """Start the peer query from the beginning, after a pause of the process."""
        self.client.restart(now_ms)

    def rejected_count(self) -> int:
        """Return how many datagrams were malformed, from an unknown sender, or matched no pending query."""
        return self._malformed_count + self._unknown_sender_count + self.client.unexpected_count

    def on_message(self, now_ms: float, sender: int, data: bytes) -> list[SendToPeer]:
        """Handle a datagram; return the datagrams to send."""
        if not self.can_query_peers or not self._is_peer(sender):
            self._unknown_sender_count += 1
            return []
        message = codec.decode(data)
        if isinstance(message, MalformedDatagram):
            self._malformed_count += 1
            return []
        self._fleet_view.seen_peers.add(sender)
        if isinstance(message, codec.Query):
            template = self._response_template(now_ms)
            return self.server.on_query(now_ms, sender, message, self._warm_state, template)
        if isinstance(message, codec.Busy):
            self.client.on_busy(now_ms, sender, message)
        else:
            self._on_response(now_ms, sender, message)
        return self.send_queries(now_ms)

    def _is_peer(self, sender: int) -> bool:
        return sender != self._router_index and 0 <= sender < self._router_count

    def _response_template(self, now_ms: float) -> codec.Response:
        """Return a response with only the fields that describe this router."""
        is_in_service = self._state_machine.phase is RecoveryPhase.IN_SERVICE
        own_rates = self._pacer.baseline.own_per_second
        return codec.Response(
            nonce=0,
            part=0,
            part_count=1,
            warm_fraction=self._warm_fraction.baseline(now_ms) if is_in_service else None,
            uptime_ms=now_ms - self._state_machine.restarted_at_ms,
            baseline_rates=(
                codec.BaselineRates(own_rates[PacedAction.LOAD], own_rates[PacedAction.CONNECT])
                if len(own_rates) == len(PacedAction)
                else None
            ),
        )

    def _on_response(self, now_ms: float, sender: int, response: codec.Response) -> None:
        has_older_peers = self._fleet_view.has_older_peers(now_ms, self._state_machine.restarted_at_ms)
        self.client.on_response(now_ms, sender, response, self._warm_state, has_older_peers=has_older_peers)
        self._pacer.record_result(PacedAction.PEER_QUERY, succeeded=True)
        peer_baseline = self.client.reports.median_baseline_rates()
        if peer_baseline is not None and not self._pacer.baseline.own_per_second:
            self._pacer.baseline.peer_per_second = {
                PacedAction.LOAD: peer_baseline.loads_per_second,
                PacedAction.CONNECT: peer_baseline.connections_per_second,
            }

    def send_queries(self, now_ms: float) -> list[SendToPeer]:
        """Return the queries to send now; none except in the phase PEER_QUERY."""
        if not self.can_query_peers or self._state_machine.phase is not RecoveryPhase.PEER_QUERY:
            return []
        peer_uptimes_ms = self._fleet_view.peer_uptimes_ms(now_ms)
        return self.client.on_tick(
            now_ms, peer_uptimes_ms, lambda: self._pacer.try_acquire(now_ms, PacedAction.PEER_QUERY)
        )
