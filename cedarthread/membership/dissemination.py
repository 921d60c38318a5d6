"""Which member updates are still to be sent, how often, and how many bytes they may take.

Updates travel on the messages of the failure detector and on messages of their own (section 4.1 of the SWIM
paper). Each is sent a number of times logarithmic in the size of the group, the least sent first, so that it
reaches all with high probability. The byte budget keeps updates from causing further updates without end.
"""

from __future__ import annotations

import math

from cedarthread.membership import codec

RETRANSMIT_MULTIPLIER = 3.0  # times the binary logarithm of the group: how often an update is sent
BUDGET_BYTES_PER_MS = 0.5  # that updates may take over time
BURST_BYTES = 1000.0  # of the budget that may be saved up
MIN_BATCH_UPDATES = 8  # for which the budget must suffice before a message is sent for updates alone


class DisseminationBuffer:
    """Members whose update is pending, by the number of times that it is still to be sent."""

    def __init__(self, router_count: int, now_ms: float) -> None:
        self.pending: dict[int, int] = {}
        self._transmissions = math.ceil(RETRANSMIT_MULTIPLIER * math.log2(router_count + 1))
        self._available_bytes, self._refilled_at_ms = BURST_BYTES, now_ms

    def add(self, member_index: int) -> None:
        """The member's state has changed: send it, from the full number of times on."""
        self.pending[member_index] = self._transmissions

    def refill(self, now_ms: float) -> None:
        """Add what the budget earned since the last time."""
        earned = BUDGET_BYTES_PER_MS * (now_ms - self._refilled_at_ms)
        self._available_bytes = min(self._available_bytes + earned, BURST_BYTES)
        self._refilled_at_ms = now_ms

    def can_send_batch(self) -> bool:
        """There are pending updates, and the budget suffices for a message that carries them alone."""
        return bool(self.pending) and self._available_bytes >= codec.UPDATE_BYTES * MIN_BATCH_UPDATES

    def take(self, required: tuple[int, ...] = ()) -> tuple[int, ...]:
        """The members whose update goes with the next message: `required` ones, then as many as fit.

        The budget limits all but the required ones; each counts as sent once.
        """
        rest = sorted(
            (member_index for member_index in self.pending if member_index not in required),
            key=lambda member_index: -self.pending[member_index],
        )
        affordable = int(self._available_bytes // codec.UPDATE_BYTES)
        taken = (*required, *rest)[: max(len(required), min(codec.MAX_UPDATES, affordable))]
        for member_index in taken:
            self._available_bytes -= codec.UPDATE_BYTES
            self._count_sent(member_index)
        return taken

    def _count_sent(self, member_index: int) -> None:
        if (remaining := self.pending.get(member_index)) is not None:
            self.pending[member_index] = remaining - 1
            if remaining <= 1:
                del self.pending[member_index]
