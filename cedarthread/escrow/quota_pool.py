"""What rate pools and count pools have in common.

Escrow (O'Neil: "The Escrow Transactional Method", 1986) and bounded counters (Balegas and others: "Extending
eventually consistent cloud databases for enforcing numeric invariants", 2015): a total is divided into
allotments, and a router moves units by lowering its own before it says so. Whole units; times in ms on this
router's steady clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from cedarthread.escrow.allotment import allotment, allotment_order


class PeerAvailability(NamedTuple):
    """Units that a peer was last known to have to give, and when that was known."""

    units: int
    seen_at_ms: float


NEVER_SEEN = PeerAvailability(0, -math.inf)


@dataclass(slots=True)
class RequestRounds:
    """How a router's rounds of requests for one pool have gone, which decides when the next one starts."""

    is_open: bool = False  # requests are out whose outcome decides whether to back off
    has_gained: bool = False  # a response of this round brought units
    failed: int = 0  # rounds in a row that brought nothing
    hints_followed: int = 0  # in a row
    next_at_ms: float = -math.inf
    woken_at_ms: float = -math.inf  # when growing demand last cut a backoff short


class QuotaPool:
    """One pool at one router. ``ends_at_ms``: the pool has ended from then on; None: it does not end."""

    is_consumable = False

    def __init__(self, name: str, key: int, router_index: int, router_count: int) -> None:
        self.name, self.key, self.router_count = name, key, router_count
        order = allotment_order(key, router_count)
        self.place_by_router = {router: place for place, router in enumerate(order)}
        self.place = self.place_by_router[router_index]
        self.total = 0
        self.ends_at_ms: float | None = None
        self.demand = 0
        self.rounds = RequestRounds()
        self.peer_available: dict[int, PeerAvailability] = {}

    def own_allotment(self) -> int:
        """This router's allotment of the total."""
        return allotment(self.total, self.router_count, self.place)

    def has_ended(self, now_ms: float) -> bool:
        """Whether the pool has ended."""
        return self.ends_at_ms is not None and now_ms >= self.ends_at_ms

    def available(self, now_ms: float) -> int:
        """What this router may use now."""
        raise NotImplementedError

    def can_be_removed(self, now_ms: float) -> bool:
        """Whether nothing depends on the pool any more."""
        raise NotImplementedError

    def shortfall(self, now_ms: float) -> int:
        """What this router would need from others."""
        return max(0, self.demand - self.available(now_ms))
