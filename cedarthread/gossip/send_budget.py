"""Pacing of gossip: a token bucket in bytes.

If the settings set a price for datagrams, each call's first attempt adds the bytes that cost
``GOSSIP_COST_PER_CALL``, so that the cost of gossip for each call is bounded and independent of the fleet's
size. If datagrams are free, the bucket refills at a constant rate.
"""

from __future__ import annotations

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES

GOSSIP_COST_PER_CALL = 0.003  # points of the operators' scoring, the unit of ``prices`` in the settings
UNPRICED_BYTES_PER_MS = 20.0  # refill rate if datagrams are free
BURST_DATAGRAMS = 8.0  # capacity of the bucket, in datagrams of full size to the whole fanout


class SendBudget:
    """The bytes that gossip may send now.

    The balance may become negative, because full states are sent even if the budget is exhausted.

    Args:
        price: The points that one datagram to one peer costs.
        fanout: The number of peers that receive a datagram.
    """

    def __init__(self, price: float, fanout: int) -> None:
        self.configure(price, fanout)
        self.available_bytes = self.burst_bytes / 2
        self._refilled_at_ms = 0.0

    def configure(self, price: float, fanout: int) -> None:
        """Apply new settings and keep the current balance."""
        self.bytes_per_call = GOSSIP_COST_PER_CALL / price * MAX_DATAGRAM_BYTES if price > 0 else 0.0
        self.bytes_per_ms = 0.0 if price > 0 else UNPRICED_BYTES_PER_MS
        self.burst_bytes = BURST_DATAGRAMS * MAX_DATAGRAM_BYTES * fanout

    def credit_call(self) -> None:
        """Credit the bytes for a call's first attempt."""
        self.available_bytes = min(self.available_bytes + self.bytes_per_call, self.burst_bytes)

    def refill(self, now_ms: float) -> None:
        """Add the bytes accrued since the last refill; no effect if datagrams have a price."""
        if self.bytes_per_ms:
            accrued = self.bytes_per_ms * (now_ms - self._refilled_at_ms)
            self.available_bytes = min(self.available_bytes + accrued, self.burst_bytes)
            self._refilled_at_ms = now_ms

    def spend(self, sent_bytes: int) -> None:
        """Deduct bytes that were sent."""
        self.available_bytes -= sent_bytes
