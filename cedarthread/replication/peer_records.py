"""Data that peers report about themselves and remember about this router.

``SyncExchange`` writes the records. The host reads them, and clears the clock samples after use.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cedarthread.replication.messages import SyncRequest, SyncResponse


class PeerClockSample(NamedTuple):
    """A peer's wall clock, read from a sync response."""

    unix_ms: float  # the peer's wall clock; NaN if the peer does not know the time
    sent_at_ms: float  # when the request was sent, on this router's monotonic clock
    received_at_ms: float  # when the response arrived, on this router's monotonic clock


class PeerRecords:
    """Incarnations, store generations and wall clocks of one router's peers, by router index."""

    def __init__(self) -> None:
        self.incarnations: dict[int, int] = {}
        self.restart_count = 0  # number of changes of a peer's incarnation
        # Greatest generation of its disk that each peer has reported.
        self.generations: dict[int, int] = {}
        # Greatest generation of this router's disk that each peer remembers.
        self.generation_known_to_peer: dict[int, int] = {}
        # Clock samples by peer since the host last cleared them.
        self.clock_samples: dict[int, PeerClockSample] = {}

    def record_incarnation(self, peer: int, incarnation: int) -> None:
        """Record a peer's incarnation, and count a restart if the incarnation has changed."""
        self.restart_count += self.incarnations.setdefault(peer, incarnation) != incarnation
        self.incarnations[peer] = incarnation

    def record_generation(self, peer: int, request: SyncRequest) -> int:
        """Record the store generation in a peer's request.

        Returns:
            The greatest generation that the peer had reported before; 0 if none.
        """
        remembered = self.generations.get(peer, 0)
        self.generations[peer] = max(request.store_generation, remembered)
        return remembered

    def record_response(self, now_ms: float, peer: int, sent_at_ms: float, response: SyncResponse) -> None:
        """Record the generation and the wall clock in a response to the request of ``sent_at_ms``."""
        self.generation_known_to_peer[peer] = response.remembered_generation
        self.clock_samples[peer] = PeerClockSample(response.unix_ms, sent_at_ms, now_ms)
