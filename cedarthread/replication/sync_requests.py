"""Which peers this router sends sync requests to and when, and which requests are open.

Each router asks one random peer per period (anti-entropy, Demers and others: "Epidemic algorithms for
replicated database maintenance", 1987). A response counts only if its request is open, once, and from the
peer that was asked.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarthread.replication.codec import AGES_PER_RESPONSE, SyncRequest

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

MAX_OPEN_REQUESTS = 16  # the oldest are dropped first
REQUESTS_PER_RANDOM_PEER = 8  # one request in so many goes to any peer, alive or not, so that partitions heal
BOOTSTRAP_REQUESTS_PER_TICK = 4  # extra requests after a start, until enough peers are read
PERIOD_JITTER = 0.8, 1.2  # factors on the period, so that routers do not synchronise


class OpenRequest(NamedTuple):
    """A sync request that may still be answered."""

    peer: int
    sent_at_ms: float


class SyncRequests:
    """Schedules sync requests and remembers the open ones. Times in ms on this router's steady clock."""

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
        self.router_index, self.router_count, self.incarnation = router_index, router_count, incarnation
        self.period_ms, self.rng = period_ms, rng
        self.all_peers = [router for router in range(router_count) if router != router_index]
        self.alive_peers = list(self.all_peers)
        self.open_requests: dict[int, OpenRequest] = {}  # by nonce
        self.next_request_at_ms = now_ms + rng.uniform(0.0, period_ms)
        self.next_reverse_request_at_ms = now_ms
        self.request_count = 0
        self.next_age_segment = 0  # of AGES_PER_RESPONSE routers each

    def set_alive(self, peers: Collection[int]) -> None:
        """Requests go to these peers from now on."""
        self.alive_peers = [
            peer for peer in peers if 0 <= peer < self.router_count and peer != self.router_index
        ]

    def allow_request(self, now_ms: float) -> int | None:
        """The peer to ask if the periodic request is due, else None; the next one is then scheduled."""
        if not self.all_peers or now_ms < self.next_request_at_ms:
            return None
        earliest_ms = max(self.next_request_at_ms, now_ms - self.period_ms)
        self.next_request_at_ms = earliest_ms + self.period_ms * self.rng.uniform(*PERIOD_JITTER)
        self.request_count += 1
        is_any_peer = not self.alive_peers or self.request_count % REQUESTS_PER_RANDOM_PEER == 0
        return self.rng.choice(self.all_peers if is_any_peer else self.alive_peers)

    def allow_reverse_request(self, now_ms: float) -> bool:
        """Whether a peer that asked may be asked in return, which happens once a period."""
        if now_ms < self.next_reverse_request_at_ms:
            return False
        self.next_reverse_request_at_ms = now_ms + self.period_ms
        return True

    def bootstrap_peers(self, fully_read_peers: Collection[int]) -> list[int]:
        """Some alive peers that have not been read completely yet."""
        unread = [peer for peer in self.alive_peers if peer not in fully_read_peers]
        return self.rng.sample(unread, min(BOOTSTRAP_REQUESTS_PER_TICK, len(unread)))

    def open(self, now_ms: float, peer: int, root_digest: int, store_generation: int) -> SyncRequest:
        """A request to a peer, which is open from now on."""
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
        """Take out the open request that a response names; None unless it was sent to this sender."""
        request = self.open_requests.pop(nonce, None)
        return request if request is not None and request.peer == sender else None

    def clear(self) -> None:
        """Forget all open requests."""
        self.open_requests.clear()
