"""The adapter between components and the escrow, which determines whether a pool is new."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.escrow.escrow import Escrow
    from cedarthread.replication.store import ReplicatedStore

# Time that other routers may need to open their disks. Until then a persisted entry may still arrive from
# another router.
DISK_OPEN_GRACE_MS = 2500.0


class EscrowPools:
    """A ``QuotaEscrow`` that determines for the escrow whether a consumable pool is new.

    A pool is new if its declaration was first received in the current incarnation of this router. No earlier
    incarnation can have consumed from a new pool. Therefore this router may use its share of a new pool even
    if the state of earlier incarnations is lost.

    Args:
        escrow: The escrow of this router.
        store: The replicated store; its freshness proves that a pool is new.
    """

    def __init__(self, escrow: Escrow, store: ReplicatedStore) -> None:
        self.escrow = escrow  # ``FleetComponents`` replaces it after recovery of persisted state
        self.now_ms = 0.0  # time of the current notification; ``FleetComponents`` sets it
        self._store = store
        self._is_new_pool: dict[str, bool] = {}  # whether each pool is new, by name; consumable pools only

    def open_pool(self, name: str, total: int, *, is_consumable: bool, ends_at_ms: float | None) -> None:
        """Open or change a pool, as ``QuotaEscrow.open_pool`` describes."""
        if is_consumable and name not in self._is_new_pool:
            self._is_new_pool[name] = self._is_declared_in_this_incarnation()
        self.escrow.open_pool(
            name,
            total,
            is_consumable=is_consumable,
            ends_at_ms=ends_at_ms,
            is_new=is_consumable and self._is_new_pool[name],
        )

    def _is_declared_in_this_incarnation(self) -> bool:
        """Return whether a pool that is opened now for the first time was declared in this incarnation.

        A router that has been fresh for the staleness bound has received every earlier entry. The grace
        period is added because an older entry may still arrive from a slow disk shortly after a start of all
        routers.
        """
        since_ms = self._store.fresh_since(self.now_ms)
        if since_ms is None:
            return False
        return self.now_ms - since_ms >= self._store.staleness_bound_ms + DISK_OPEN_GRACE_MS

    def available(self, now_ms: float, name: str) -> int:
        """Return the amount of a pool that this router may use now."""
        return self.escrow.available(now_ms, name)

    def consume(self, now_ms: float, name: str, amount: int = 1) -> bool:
        """Consume an amount of a consumable pool; return False, and consume nothing, if less is available."""
        return self.escrow.consume(now_ms, name, amount)

    def request(self, now_ms: float, name: str, amount: int) -> None:
        """Set the total amount of a pool that this router could use."""
        self.escrow.request(now_ms, name, amount)
