"""The queue of member updates to disseminate, with a byte budget.

Updates are piggybacked on the messages of the failure detector and also sent in separate messages (section
4.1 of the SWIM paper, see ``swim``). Each update is sent a number of times that is logarithmic in the size
of the group, the least sent update first, so that the update reaches all members with high probability. The
byte budget bounds the traffic if updates cause further updates. ``MemberTable`` adds updates;
``SwimMembership`` takes them for its messages.
"""

from __future__ import annotations

import math

from cedarthread.membership import codec

RETRANSMIT_MULTIPLIER = 3.0  # transmissions of an update, divided by the binary logarithm of the group size
BUDGET_BYTES_PER_MS = 0.5  # refill rate of the byte budget for updates
BURST_BYTES = 1000.0  # capacity of the byte budget for updates
MIN_BATCH_UPDATES = 8  # a separate message is sent only if the budget covers this many updates


class DisseminationBuffer:
    """The members with an update to send, and the byte budget for updates.

    ``pending`` maps a member index to the remaining transmissions of the member's update.
    """

    def __init__(self, router_count: int, now_ms: float) -> None:
        self.pending: dict[int, int] = {}
        self._transmissions = math.ceil(RETRANSMIT_MULTIPLIER * math.log2(router_count + 1))
        self._available_bytes = BURST_BYTES
        self._refilled_at_ms = now_ms

    def add(self, member_index: int) -> None:
        """Queue a changed member's update for the full number of transmissions."""
        self.pending[member_index] = self._transmissions

    def refill(self, now_ms: float) -> None:
        """Add the bytes accrued since the last refill."""
        accrued = BUDGET_BYTES_PER_MS * (now_ms - self._refilled_at_ms)
        self._available_bytes = min(self._available_bytes + accrued, BURST_BYTES)
        self._refilled_at_ms = now_ms

    def can_send_batch(self) -> bool:
        """Return whether updates are pending and the budget covers a separate message for them."""
        return bool(self.pending) and self._available_bytes >= codec.UPDATE_BYTES * MIN_BATCH_UPDATES

    def take(self, required: tuple[int, ...] = ()) -> tuple[int, ...]:
        """Return the members to include in the next message, and count one transmission of each.

        The message includes all ``required`` members, then as many pending updates as the size limit and
        the budget allow.
        """
        optional = sorted(
            (member_index for member_index in self.pending if member_index not in required),
            key=lambda member_index: -self.pending[member_index],
        )
        affordable = int(self._available_bytes // codec.UPDATE_BYTES)
        taken = (*required, *optional)[: max(len(required), min(codec.MAX_UPDATES, affordable))]
        for member_index in taken:
            self._available_bytes -= codec.UPDATE_BYTES
            self._count_sent(member_index)
        return taken

    def _count_sent(self, member_index: int) -> None:
        if (remaining := self.pending.get(member_index)) is not None:
            self.pending[member_index] = remaining - 1
            if remaining <= 1:
                del self.pending[member_index]
