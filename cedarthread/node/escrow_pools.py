"""The escrow as the components use it: opens each pool with what this router knows of its past."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.escrow.escrow import Escrow
    from cedarthread.replication.store import ReplicatedStore

# How long the disks of other routers may take to open: until then an entry that they persisted may still
# come.
DISK_OPEN_GRACE_MS = 2500.0


class EscrowPools:
    """A ``QuotaEscrow`` that tells the escrow whether a consumable pool is new.

    A pool whose declaration was first seen in this incarnation was consumed by no earlier incarnation of this
    router, so nothing is lost of it where the router has no memory of earlier ones.
    """

    def __init__(self, escrow: Escrow, store: ReplicatedStore) -> None:
        self.escrow = escrow  # replaced when persisted state has been recovered
        self.now_ms = 0.0  # of the notification that is being handled
        self._store = store
        self._is_new_pool: dict[str, bool] = {}  # consumable pools: declared in this incarnation?

    def open_pool(self, name: str, total: int, *, is_consumable: bool, ends_at_ms: float | None) -> None:
        """Open or change a pool; see ``QuotaEscrow``."""
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
        """Was a pool that is opened for the first time now declared in this incarnation?

        A router that has been fresh for a while had every entry in force before. Shortly after a start of all
        routers, a slow disk may still bring an older entry.
        """
        since = self._store.fresh_since(self.now_ms)
        if since is None:
            return False
        return self.now_ms - since >= self._store.staleness_bound_ms + DISK_OPEN_GRACE_MS

    def available(self, now_ms: float, name: str) -> int:
        """How much of a pool this router may use now."""
        return self.escrow.available(now_ms, name)

    def consume(self, now_ms: float, name: str, amount: int = 1) -> bool:
        """Use up an amount of a consumable pool; False where not so much is available."""
        return self.escrow.consume(now_ms, name, amount)

    def request(self, now_ms: float, name: str, amount: int) -> None:
        """Tell how much of a pool this router could use in all."""
        self.escrow.request(now_ms, name, amount)
