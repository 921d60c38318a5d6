"""The persisted image of the count pools, which limits the units that a later incarnation may use.

Units may be used or granted only after they are recorded as written off on disk. The image is therefore
written ahead of use: it already excludes the units to write off, and these units become free when the write
succeeds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cedarthread.escrow.count_pool import CountBalance, CountPool

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cedarthread.escrow.quota_pool import QuotaPool

MAX_RESTORED_COUNTS = 1024  # restored balances without an open pool that a new image still includes


class EscrowImage:
    """The restored balances of an earlier incarnation, and the image write in progress.

    Args:
        has_complete_history: Whether this router knows all units that its earlier incarnations used or
            granted of counts, because there was no earlier incarnation or because ``restore`` supplies their
            image.
        is_durable: Whether units must be written off on disk before use.
    """

    def __init__(self, *, has_complete_history: bool, is_durable: bool) -> None:
        self.has_complete_history = has_complete_history
        self.is_durable = is_durable
        self.restored_balances: dict[int, CountBalance] = {}  # balances by pool key
        # Units to be written off by pool key; None if no write is in progress.
        self.pending_write_offs: dict[int, int] | None = None

    def encode(self, pools: Mapping[int, QuotaPool], write_offs: Mapping[int, int]) -> bytes:
        """Return the image of the pools with the units of ``write_offs`` (by pool key) written off."""
        balances = [
            pool.balance_to_persist(write_offs.get(key, 0))
            for key, pool in pools.items()
            if isinstance(pool, CountPool)
        ]
        return msgspec.msgpack.encode(balances + list(self.restored_balances.values())[-MAX_RESTORED_COUNTS:])

    def restore(self, data: bytes) -> bool:
        """Load the last image of an earlier incarnation. Must be called before any pool is opened.

        Return False if the image cannot be decoded or contradicts itself. Then no balance is restored and
        ``has_complete_history`` becomes False.
        """
        try:
            balances = msgspec.msgpack.decode(data, type=list[CountBalance])
        except msgspec.MsgspecError:
            balances = None
        if balances is None or not all(map(_is_valid, balances)):
            self.has_complete_history = False
            return False
        self.restored_balances = {balance.key: balance for balance in balances}
        return True

    def take_restored(self, key: int) -> CountBalance | None:
        """Remove and return the restored balance of a pool that is being opened; None if there is none."""
        return self.restored_balances.pop(key, None)

    def next_write(self, now_ms: float, pools: Mapping[int, QuotaPool]) -> bytes | None:
        """Start a write: return the image that must be on disk before more units become free.

        Return None if no units are to be written off or a write is already in progress. The host reports
        the end of the write by ``mark_written`` or ``mark_write_failed``.
        """
        if not self.is_durable or self.pending_write_offs is not None:
            return None
        write_offs = {
            key: pool.amount_to_write_off()
            for key, pool in pools.items()
            if isinstance(pool, CountPool) and not pool.has_ended(now_ms)
        }
        if not any(write_offs.values()):
            return None
        self.pending_write_offs = {key: amount for key, amount in write_offs.items() if amount}
        return self.encode(pools, self.pending_write_offs)

    def mark_written(self, pools: Mapping[int, QuotaPool]) -> None:
        """Mark the pending units as free, because the image is on disk."""
        for key, amount in (self.pending_write_offs or {}).items():
            if isinstance(pool := pools.get(key), CountPool):
                pool.mark_written_off(amount)
        self.pending_write_offs = None

    def mark_write_failed(self) -> None:
        """End the write without freeing units, because the image may not be on disk."""
        self.pending_write_offs = None


def _is_valid(balance: CountBalance) -> bool:
    figures = balance.key, balance.balance, balance.total, balance.highest_total
    return min(figures) >= 0 and balance.balance <= balance.highest_total
