"""The granting side: answers peers' requests out of this router's units."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.escrow.codec import NO_HINT, EscrowRequest, EscrowResponse, encode
from cedarthread.escrow.count_pool import CountPool
from cedarthread.escrow.rate_pool import LEASE_TERM_MS, Borrower, RatePool
from cedarthread.model.actions import SendToPeer
from cedarthread.statistics import TokenBucket

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from cedarthread.escrow.quota_pool import QuotaPool

RESPONSES_PER_SECOND = 100.0  # so that the routers that are left after a failure are not flooded
RESPONSE_BURST = 50.0
MAX_REMEMBERED_GRANTS = 1024  # of counts, to be repeated if a response was lost; the oldest are dropped first
SERIAL_MODULUS = 2**32


class RequestId(NamedTuple):
    """Identifies a request for a count and its retries."""

    sender: int
    incarnation: int
    nonce: int


class Grant(NamedTuple):
    """What a request gets: units, what is left to give, and the term (0: for good)."""

    amount: int
    available: int
    term_ms: int


class EscrowGrantor:
    """Answers requests. ``counters`` are shared with the escrow, for ``INFO``."""

    def __init__(self, incarnation: int, rng: random.Random, counters: dict[str, int], now_ms: float) -> None:
        self.incarnation, self.rng, self.counters = incarnation, rng, counters
        self.last_serial = 0
        self.sent_grants: OrderedDict[RequestId, bytes] = OrderedDict()
        self.response_budget = TokenBucket(RESPONSES_PER_SECOND, RESPONSE_BURST, RESPONSE_BURST, now_ms)

    def on_request(
        self, now_ms: float, sender: int, pool: QuotaPool, request: EscrowRequest
    ) -> Sequence[SendToPeer]:
        """Lower this router's own units, and only then say so. The caller checks the response budget."""
        request_id = RequestId(sender, request.incarnation, request.nonce)
        if (sent_before := self.sent_grants.get(request_id)) is not None and pool.is_consumable:
            return (SendToPeer(sent_before, sender),)
        grant = self._grant(now_ms, sender, pool, request)
        if grant is None:
            return ()
        self.last_serial = (self.last_serial + 1) % SERIAL_MODULUS
        response = EscrowResponse(
            pool_key=pool.key,
            incarnation=self.incarnation,
            serial=self.last_serial,
            requester_incarnation=request.incarnation,
            nonce=request.nonce,
            amount=grant.amount,
            term_ms=grant.term_ms,
            total=pool.total,
            available=grant.available,
            hinted_peer=NO_HINT if grant.amount else self._choose_hint(now_ms, sender, pool),
        )
        data = encode(response)
        self.counters["granted" if grant.amount else "refused"] += 1
        if grant.amount and pool.is_consumable:
            self._remember(request_id, data)
        return (SendToPeer(data, sender),)

    def _grant(self, now_ms: float, sender: int, pool: QuotaPool, request: EscrowRequest) -> Grant | None:
        """What the request gets; None: it is not answered."""
        if isinstance(pool, CountPool):
            amount = pool.give(now_ms, sender, request.requested)
            if not amount and pool.is_waiting_for_disk():
                return None  # the peer retries, and by then the units are written off
            return Grant(amount, max(0, pool.available(now_ms) - pool.demand), 0)
        assert isinstance(pool, RatePool)
        lent = pool.lend(now_ms, Borrower(sender, request.incarnation), request.nonce, request.requested)
        if lent is None:
            self.counters["late"] += 1
            return None
        return Grant(lent, max(0, pool.lendable(now_ms) - pool.amount_loaned(now_ms)), int(LEASE_TERM_MS))

    def _remember(self, request_id: RequestId, data: bytes) -> None:
        self.sent_grants[request_id] = data
        if len(self.sent_grants) > MAX_REMEMBERED_GRANTS:
            self.sent_grants.popitem(last=False)

    def _choose_hint(self, now_ms: float, sender: int, pool: QuotaPool) -> int:
        """A peer that may have units of which this router has none."""
        if isinstance(pool, CountPool) and pool.last_taker is not None:
            return NO_HINT if pool.last_taker == sender else pool.last_taker
        candidates = [
            peer
            for peer, (units, seen_at_ms) in pool.peer_available.items()
            if units and now_ms - seen_at_ms < LEASE_TERM_MS / 2 and peer != sender
        ]
        return self.rng.choice(candidates) if candidates else NO_HINT
