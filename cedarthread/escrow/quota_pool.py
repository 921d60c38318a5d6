"""The state that rate pools and count pools have in common.

Sources: escrow (O'Neil: "The Escrow Transactional Method", 1986) and bounded counters (Balegas and others:
"Extending eventually consistent cloud databases for enforcing numeric invariants", 2015). A total is
divided into allotments. A router that transfers units first deducts them from its own account and then
sends the grant. Units are whole numbers; times are in ms on this router's monotonic clock.

``Escrow`` creates the pools; ``EscrowGrantor``, ``EscrowRequester`` and ``EscrowImage`` change them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from cedarthread.escrow.allotment import allotment, allotment_order


class PeerAvailability(NamedTuple):
    """The units that a peer was last known to be able to grant, and when this router learnt that."""

    units: int
    seen_at_ms: float


NEVER_SEEN = PeerAvailability(0, -math.inf)


@dataclass(slots=True)
class RequestRounds:
    """The outcome of recent request rounds for one pool, which determines when the next round starts."""

    is_open: bool = False  # requests of the round were sent; their outcome decides whether to back off
    has_gained: bool = False  # a response in this round added units
    consecutive_failures: int = 0  # consecutive rounds that added no units
    hints_followed: int = 0  # consecutive rounds that started without backoff because of a hint
    next_at_ms: float = -math.inf  # earliest time at which the next round may start
    backoff_shortened_at_ms: float = -math.inf  # time at which growing demand last shortened a backoff


class QuotaPool:
    """The account that one router has of one pool; the base of ``RatePool`` and ``CountPool``.

    ``ends_at_ms`` is the time at which the pool ends, or None if it never ends.
    """

    is_consumable = False

    def __init__(self, name: str, key: int, router_index: int, router_count: int) -> None:
        self.name = name
        self.key = key
        self.router_count = router_count
        order = allotment_order(key, router_count)
        self.rank_by_router = {router: rank for rank, router in enumerate(order)}
        self.rank = self.rank_by_router[router_index]
        self.total = 0
        self.ends_at_ms: float | None = None
        self.demand = 0  # total units that this router's users want
        self.rounds = RequestRounds()
        self.peer_available: dict[int, PeerAvailability] = {}  # availability at each peer by router index

    def own_allotment(self) -> int:
        """Return this router's allotment of the total."""
        return allotment(self.total, self.router_count, self.rank)

    def has_ended(self, now_ms: float) -> bool:
        """Return whether the pool has ended."""
        return self.ends_at_ms is not None and now_ms >= self.ends_at_ms

    def available(self, now_ms: float) -> int:
        """Return the units that this router may use now."""
        raise NotImplementedError

    def can_be_removed(self, now_ms: float) -> bool:
        """Return whether the pool has ended and its account is no longer needed."""
        raise NotImplementedError

    def shortfall(self, now_ms: float) -> int:
        """Return the units of the demand that must be requested from peers."""
        return max(0, self.demand - self.available(now_ms))
