"""Pacing of gossip: a token bucket in bytes, filled by own calls so that gossip costs a fixed part of each.

Where a datagram has a price, each first attempt earns the bytes whose price is `GOSSIP_COST_PER_CALL`: the
cost does not grow with the fleet. Where datagrams are free, the bucket fills at a constant rate.
"""

from __future__ import annotations

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES

GOSSIP_COST_PER_CALL = 0.003  # points of the operators' scoring that gossip may cost for each own call
FREE_BYTES_PER_MS = 20.0  # fill rate where datagrams cost nothing
BURST_DATAGRAMS = 8.0  # datagrams of full size, to the whole fanout, that may be saved up


class SendBudget:
    """Bytes that may be sent now. It may go below zero: full states are sent whatever is left."""

    def __init__(self, price: float, fanout: int) -> None:
        """`price`: points that one datagram to one peer costs; `fanout`: peers that a datagram goes to."""
        self.configure(price, fanout)
        self.available_bytes = self.burst_bytes / 2
        self._refilled_at_ms = 0.0

    def configure(self, price: float, fanout: int) -> None:
        """Take new settings; what was saved up stays."""
        self.bytes_per_call = GOSSIP_COST_PER_CALL / price * MAX_DATAGRAM_BYTES if price > 0 else 0.0
        self.bytes_per_ms = 0.0 if price > 0 else FREE_BYTES_PER_MS
        self.burst_bytes = BURST_DATAGRAMS * MAX_DATAGRAM_BYTES * fanout

    def earn_call(self) -> None:
        """A first attempt of an own call came."""
        self.available_bytes = min(self.available_bytes + self.bytes_per_call, self.burst_bytes)

    def refill(self, now_ms: float) -> None:
        """Add what came by time alone; no effect where datagrams have a price."""
        if self.bytes_per_ms:
            earned = self.bytes_per_ms * (now_ms - self._refilled_at_ms)
            self.available_bytes = min(self.available_bytes + earned, self.burst_bytes)
            self._refilled_at_ms = now_ms

    def spend(self, sent_bytes: int) -> None:
        """Bytes were sent."""
        self.available_bytes -= sent_bytes
