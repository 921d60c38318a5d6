"""The persisted image of the counts: what a later incarnation may still use.

Units may be used or given only once the disk has them as gone. So the image runs ahead of use: it is written
with units written off, and those are free when the write has succeeded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cedarthread.escrow.count_pool import CountBalance, CountPool

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cedarthread.escrow.quota_pool import QuotaPool

MAX_RESTORED_COUNTS = 1024  # balances of the disk that are kept although no pool was opened for them


class EscrowImage:
    """Restored balances and the write that is under way.

    ``has_memory``: nothing that an earlier incarnation used or gave of a count is forgotten, because there
    was none or because ``restore`` brings it.
    """

    def __init__(self, *, has_memory: bool, is_durable: bool) -> None:
        self.has_memory, self.is_durable = has_memory, is_durable
        self.restored_balances: dict[int, CountBalance] = {}  # by pool key
        self.pending_write_offs: dict[int, int] | None = None  # by pool key; None: no write is under way

    def encode(self, pools: Mapping[int, QuotaPool], write_offs: Mapping[int, int]) -> bytes:
        """The image of these pools once so many more units are written off."""
        balances = [
            pool.balance_to_persist(write_offs.get(key, 0))
            for key, pool in pools.items()
            if isinstance(pool, CountPool)
        ]
        return msgspec.msgpack.encode(balances + list(self.restored_balances.values())[-MAX_RESTORED_COUNTS:])

    def restore(self, data: bytes) -> bool:
        """Take the last image of an earlier incarnation, before any pool is opened.

        False if it cannot be read or contradicts itself: then nothing is taken and there is no memory.
        """
        try:
            balances = msgspec.msgpack.decode(data, type=list[CountBalance])
        except msgspec.MsgspecError:
            self.has_memory = False
            return False
        if not all(map(_is_valid, balances)):
            self.has_memory = False
            return False
        self.restored_balances = {balance.key: balance for balance in balances}
        return True

    def take_restored(self, key: int) -> CountBalance | None:
        """The restored balance of a pool that is being opened."""
        return self.restored_balances.pop(key, None)

    def next_write(self, now_ms: float, pools: Mapping[int, QuotaPool]) -> bytes | None:
        """The image that the disk must have before more units are used or given.

        None: no more are wanted, or a write is under way. The host reports its end by ``mark_written`` or
        ``mark_write_failed``.
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
        """The image is on the disk: what it has as gone is free."""
        for key, amount in (self.pending_write_offs or {}).items():
            if isinstance(pool := pools.get(key), CountPool):
                pool.mark_written_off(amount)
        self.pending_write_offs = None

    def mark_write_failed(self) -> None:
        """The image may not be on the disk: nothing is free by it."""
        self.pending_write_offs = None


def _is_valid(balance: CountBalance) -> bool:
    figures = balance.key, balance.balance, balance.total, balance.highest_total
    return min(figures) >= 0 and balance.balance <= balance.highest_total
