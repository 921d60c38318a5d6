"""The schedule of a router's sync requests, and the requests that are open.

Each router sends a sync request to one random peer per period (anti-entropy, Demers and others: "Epidemic
algorithms for replicated database maintenance", 1987). A response counts only once, and only if its request
is open and was sent to the responder. ``SyncExchange`` drives the schedule; ``ReplicatedStore`` sets the
alive peers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarthread.replication.messages import (
    AGES_PER_RESPONSE,
    SyncRequest,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

MAX_OPEN_REQUESTS = 16  # maximum number of open requests; the oldest are dropped first
# Every 8th request may go to a peer that is not alive, so that partitions heal.
REQUESTS_PER_UNRESTRICTED_REQUEST = 8
BOOTSTRAP_REQUESTS_PER_TICK = 4  # extra requests until enough peers are read after a start
PERIOD_JITTER = 0.8, 1.2  # factors on the period, so that routers do not synchronize


class OpenRequest(NamedTuple):
    """A sync request to which the response has not arrived."""

    peer: int
    sent_at_ms: float


class SyncRequests:
    """The schedule and the open sync requests of one router.

    Times are in ms on this router's monotonic clock.

    Args:
        router_index: Index of this router.
        router_count: Number of configured routers.
        incarnation: Incarnation of this router, sent in each request.
        period_ms: Mean time between two periodic requests.
        rng: Draws peers, nonces and the jitter of the period.
        now_ms: Start of this incarnation.
    """

    def __init__(
        self,
        router_index: int,
        router_count: int,
        incarnation: int,
        *,
        period_ms: float,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self.router_index = router_index
        self.router_count = router_count
        self.incarnation = incarnation
        self.period_ms = period_ms
        self.rng = rng
        self.all_peers = [router for router in range(router_count) if router != router_index]
        self.alive_peers = list(self.all_peers)
        self.open_requests: dict[int, OpenRequest] = {}  # open requests by nonce
        self.next_request_at_ms = now_ms + rng.uniform(0.0, period_ms)
        self.next_reverse_request_at_ms = now_ms
        self.request_count = 0
        self.next_age_segment = 0  # index of the segment of AGES_PER_RESPONSE routers for the next request

    def set_alive(self, peers: Collection[int]) -> None:
        """Restrict requests to alive peers, except one in ``REQUESTS_PER_UNRESTRICTED_REQUEST`` requests."""
        self.alive_peers = [
            peer for peer in peers if 0 <= peer < self.router_count and peer != self.router_index
        ]

    def next_due_peer(self, now_ms: float) -> int | None:
        """Return the peer of the periodic request and schedule the next one; None if no request is due."""
        if not self.all_peers or now_ms < self.next_request_at_ms:
            return None
        # After a pause of this router, at most one missed request is sent late.
        earliest_ms = max(self.next_request_at_ms, now_ms - self.period_ms)
        self.next_request_at_ms = earliest_ms + self.period_ms * self.rng.uniform(*PERIOD_JITTER)
        self.request_count += 1
        includes_dead_peers = (
            not self.alive_peers or self.request_count % REQUESTS_PER_UNRESTRICTED_REQUEST == 0
        )
        return self.rng.choice(self.all_peers if includes_dead_peers else self.alive_peers)

    def allow_reverse_request(self, now_ms: float) -> bool:
        """Return whether a reverse request may be sent now, and schedule the next one.

        A reverse request is sent to a peer that has just sent a sync request itself.
        """
        if now_ms < self.next_reverse_request_at_ms:
            return False
        self.next_reverse_request_at_ms = now_ms + self.period_ms
        return True

    def bootstrap_peers(self, fully_read_peers: Collection[int]) -> list[int]:
        """Return some alive peers that have not been read completely."""
        unread = [peer for peer in self.alive_peers if peer not in fully_read_peers]
        return self.rng.sample(unread, min(BOOTSTRAP_REQUESTS_PER_TICK, len(unread)))

    def open(self, now_ms: float, peer: int, root_digest: int, store_generation: int) -> SyncRequest:
        """Open a request to a peer and return its message."""
        nonce = self._new_nonce()
        self.open_requests[nonce] = OpenRequest(peer, now_ms)
        if len(self.open_requests) > MAX_OPEN_REQUESTS:
            del self.open_requests[next(iter(self.open_requests))]
        first_router = self.next_age_segment * AGES_PER_RESPONSE
        self.next_age_segment = (self.next_age_segment + 1) % -(-self.router_count // AGES_PER_RESPONSE)
        return SyncRequest(nonce, root_digest, self.incarnation, first_router, store_generation)

    def _new_nonce(self) -> int:
        return self.rng.getrandbits(64)

    def close(self, nonce: int, sender: int) -> OpenRequest | None:
        """Remove and return the open request with this nonce; None unless it was sent to ``sender``."""
        request = self.open_requests.pop(nonce, None)
        return request if request is not None and request.peer == sender else None

    def clear(self) -> None:
        """Drop all open requests, so that their responses do not count."""
        self.open_requests.clear()
