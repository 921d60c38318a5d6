"""The granting side of escrow: responds to peers' requests with units of this router's own account."""

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

RESPONSES_PER_SECOND = 100.0  # limits the load on the remaining routers after others have failed
RESPONSE_BURST = 50.0
# Grants of counts that are repeated after a lost response; the oldest are dropped first.
MAX_REMEMBERED_GRANTS = 1024
SERIAL_MODULUS = 2**32


class RequestId(NamedTuple):
    """The identity that a request for a count shares with its retries."""

    sender: int
    incarnation: int
    nonce: int


class Grant(NamedTuple):
    """The terms of a response."""

    amount: int  # units granted
    available: int  # units that this router could still grant
    term_ms: int  # term of the lease; 0 if the units are transferred permanently


class EscrowGrantor:
    """The responder of one router, with the grants that it may have to repeat.

    Args:
        incarnation: Random number drawn at this start of the router.
        rng: Random source for the choice among hints.
        counters: Counters for ``INFO``, owned by ``Escrow`` and shared with this object.
        now_ms: Current time, in ms on this router's monotonic clock.
    """

    def __init__(self, incarnation: int, rng: random.Random, counters: dict[str, int], now_ms: float) -> None:
        self.incarnation = incarnation
        self.rng = rng
        self.counters = counters
        self.last_serial = 0
        self.sent_grants: OrderedDict[RequestId, bytes] = OrderedDict()
        self.response_budget = TokenBucket(RESPONSES_PER_SECOND, RESPONSE_BURST, RESPONSE_BURST, now_ms)

    def on_request(
        self, now_ms: float, sender: int, pool: QuotaPool, request: EscrowRequest
    ) -> Sequence[SendToPeer]:
        """Deduct the granted units from the pool, then return the response.

        A repeated request for a count receives the earlier response again. The caller checks
        ``response_budget``.
        """
        request_id = RequestId(sender, request.incarnation, request.nonce)
        if (earlier_response := self.sent_grants.get(request_id)) is not None and pool.is_consumable:
            return (SendToPeer(earlier_response, sender),)
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
            self._store_grant(request_id, data)
        return (SendToPeer(data, sender),)

    def _grant(self, now_ms: float, sender: int, pool: QuotaPool, request: EscrowRequest) -> Grant | None:
        """Deduct the units for a request from the pool; return None if the request gets no response."""
        if isinstance(pool, CountPool):
            amount = pool.grant(now_ms, sender, request.requested)
            if not amount and pool.is_waiting_for_disk():
                return None  # the units will be written off by the time the peer retries
            return Grant(amount, max(0, pool.available(now_ms) - pool.demand), 0)
        assert isinstance(pool, RatePool)
        leased_amount = pool.lend(
            now_ms, Borrower(sender, request.incarnation), request.nonce, request.requested
        )
        if leased_amount is None:
            self.counters["late"] += 1
            return None
        return Grant(
            leased_amount,
            max(0, pool.lendable(now_ms) - pool.amount_leased_to_peers(now_ms)),
            int(LEASE_TERM_MS),
        )

    def _store_grant(self, request_id: RequestId, data: bytes) -> None:
        self.sent_grants[request_id] = data
        if len(self.sent_grants) > MAX_REMEMBERED_GRANTS:
            self.sent_grants.popitem(last=False)

    def _choose_hint(self, now_ms: float, sender: int, pool: QuotaPool) -> int:
        """Return a peer that may have units, or ``NO_HINT``.

        For a count, this is the peer that received units most recently; otherwise a random peer that recently
        reported available units.
        """
        if isinstance(pool, CountPool) and pool.last_recipient is not None:
            return NO_HINT if pool.last_recipient == sender else pool.last_recipient
        candidates = [
            peer
            for peer, (units, seen_at_ms) in pool.peer_available.items()
            if units and now_ms - seen_at_ms < LEASE_TERM_MS / 2 and peer != sender
        ]
        return self.rng.choice(candidates) if candidates else NO_HINT
