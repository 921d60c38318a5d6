"""The escrow component, which owns one router's accounts of all quota pools.

``grantor.py`` responds to peers' requests, ``requester.py`` sends this router's own requests, ``image.py``
encodes the state that must survive a restart, and the pools are the accounts. Design:
docs/design/escrow.md, and steps 14 to 17 of docs/design/replication.md.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.components.messages import MessageType, OutboundMessage
from cedarthread.components.notifications import Notification, PeersChanged
from cedarthread.escrow.codec import MAX_AMOUNT, EscrowResponse, decode, pool_key
from cedarthread.escrow.count_pool import CountPool
from cedarthread.escrow.grantor import EscrowGrantor
from cedarthread.escrow.image import EscrowImage
from cedarthread.escrow.rate_pool import LEASE_TERM_MS, RatePool
from cedarthread.escrow.request_rounds import set_demand
from cedarthread.escrow.requester import EscrowRequester

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from cedarthread.escrow.quota_pool import QuotaPool

COUNTERS = (  # counters of ``INFO`` since the start, under the names that operators' tools read
    "granted",  # grants sent
    "taken",  # responses that added units
    "refused",  # denials sent
    "unreadable",  # malformed datagrams
    "strangers",  # datagrams from this router's own index or from no configured router
    "unknown",  # datagrams for a pool that is not open or has ended
    "late",  # responses without an outstanding request, and requests older than one already answered
    "drowned",  # requests dropped because the response budget was exhausted
    "lies",  # responses that exceed their request, and any declaration that conflicts with an open pool
)
_RNG_SALT = 0x4752_414E  # mixed into the seed, so that components with the same seed draw different numbers


class Escrow:
    """The ``Component`` that owns one router's accounts of all pools.

    Other components use these accounts through the ``QuotaEscrow`` protocol. Times are in ms on this
    router's monotonic clock. For one lease term after each start, this router's own units of all rate pools
    are 0, because leases granted by an earlier incarnation may still be in use.

    Args:
        router_index: Index of this router.
        router_count: Number of configured routers.
        incarnation: Random number drawn by the caller at each start of the router.
        seed: Seed of all random decisions.
        clock_rate: Fraction by which a router's monotonic clock may run fast or slow.
        now_ms: Start of this incarnation.
        has_complete_history: Whether this router knows all units that its earlier incarnations used or
            granted of counts, because there was no earlier incarnation or because ``restore`` supplies their
            image. If False, this router's allotment of each count is lost.
        is_durable: Whether units of a count may be used or granted only after they are recorded as
            written off on disk (``take_due_image``, ``mark_written``).
    """

    message_types = frozenset((int(MessageType.ESCROW),))
    grantor_type: type[EscrowGrantor] = EscrowGrantor
    requester_type: type[EscrowRequester] = EscrowRequester

    def __init__(
        self,
        router_index: int,
        router_count: int,
        incarnation: int,
        seed: int,
        *,
        clock_rate: float,
        now_ms: float = 0.0,
        has_complete_history: bool = False,
        is_durable: bool = False,
    ) -> None:
        self.router_index = router_index
        self.router_count = router_count
        self.incarnation = incarnation % 2**64
        self.rng = random.Random(seed ^ _RNG_SALT ^ router_index << 32)
        self.clock_drift_factor = (1.0 + clock_rate) / (1.0 - clock_rate)
        self.ready_at_ms = now_ms + LEASE_TERM_MS * self.clock_drift_factor
        self.pools: dict[int, QuotaPool] = {}  # by key
        self.keys_by_name: dict[str, int] = {}
        self.counters = dict.fromkeys(COUNTERS, 0)
        self.image = EscrowImage(has_complete_history=has_complete_history, is_durable=is_durable)
        self.requester = self.requester_type(
            router_index, router_count, self.incarnation, rng=self.rng, counters=self.counters, now_ms=now_ms
        )
        self.grantor = self.grantor_type(self.incarnation, self.rng, self.counters, now_ms)

    # Methods for other components.

    def open_pool(
        self, name: str, total: int, *, is_consumable: bool, ends_at_ms: float | None, is_new: bool = False
    ) -> None:
        """Open a pool, or change the total or the end of an open pool.

        Args:
            name: The pool's name, the same at all routers.
            total: The fleet-wide total.
            is_consumable: Whether the pool is a count; otherwise the pool is a rate.
            ends_at_ms: When the pool ends, or None if it never ends.
            is_new: Whether the pool is new, so that no earlier incarnation used it. Then this router's
                allotment of a count is usable even without a complete history (docs/design/escrow.md, 12).
        """
        key = pool_key(name)
        total = max(0, min(total, MAX_AMOUNT))
        pool = self.pools.get(key)
        if pool is None:
            self.pools[key] = self._create_pool(name, key, total, is_consumable=is_consumable, is_new=is_new)
            self.keys_by_name[name] = key
        elif pool.name != name or pool.is_consumable is not is_consumable:
            self.counters["lies"] += 1  # another pool's name has the same hash, or the kind differs
            return
        elif isinstance(pool, CountPool):
            pool.change_total(total)
        else:
            pool.total = total
        self.pools[key].ends_at_ms = ends_at_ms

    def _create_pool(
        self, name: str, key: int, total: int, *, is_consumable: bool, is_new: bool
    ) -> QuotaPool:
        if is_consumable:
            count = CountPool(
                name, key, self.router_index, self.router_count, is_durable=self.image.is_durable
            )
            is_allotment_lost = not (self.image.has_complete_history or is_new)
            count.initialize(
                total, is_allotment_lost=is_allotment_lost, persisted=self.image.take_restored(key)
            )
            return count
        rate = RatePool(
            name,
            key,
            self.router_index,
            self.router_count,
            clock_drift_factor=self.clock_drift_factor,
            ready_at_ms=self.ready_at_ms,
        )
        rate.total = total
        return rate

    def find_pool(self, name: str) -> QuotaPool | None:
        """Return the open pool of this name, if any."""
        key = self.keys_by_name.get(name)
        return None if key is None else self.pools.get(key)

    def available(self, now_ms: float, name: str) -> int:
        """Return the units that this router may use now; 0 for a pool that is not open or has ended."""
        pool = self.find_pool(name)
        return 0 if pool is None else pool.available(now_ms)

    def consume(self, now_ms: float, name: str, amount: int = 1) -> bool:
        """Consume units of a count and return True; return False and consume none if too few are free."""
        pool = self.find_pool(name)
        return isinstance(pool, CountPool) and amount > 0 and pool.consume(now_ms, amount)

    def request(self, now_ms: float, name: str, amount: int) -> None:
        """Set this router's demand for a pool; the next call of this method replaces the demand.

        For a rate, ``amount`` is the number of units that this router could use now. For a count,
        ``amount`` is the number of units to have available for consumption, and each consumption reduces
        the demand.
        """
        if (pool := self.find_pool(name)) is not None:
            set_demand(now_ms, pool, amount)

    # Persistence.

    def snapshot(self) -> bytes:
        """Return the image that records all unused units of counts as used (written off)."""
        return self.image.encode(self.pools, {})

    def restore(self, data: bytes) -> bool:
        """Load the last image of an earlier incarnation. Must be called before any pool is opened.

        Return False if the image is invalid. Then no balance is restored, and the router has no
        complete history.
        """
        return self.image.restore(data)

    def take_due_image(self, now_ms: float) -> bytes | None:
        """Return the image that the host must persist next, or None.

        The host reports the end of the write by ``mark_written`` or ``mark_write_failed``.
        """
        return self.image.next_write(now_ms, self.pools)

    def mark_written(self, now_ms: float) -> None:
        """Free the units that the last returned image writes off, because the image is on disk."""
        self.image.mark_written(self.pools)

    def mark_write_failed(self) -> None:
        """End the write of the last returned image without freeing units."""
        self.image.mark_write_failed()

    # Methods of the component interface.

    def on_message(self, now_ms: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """Handle a peer's request or response. Malformed datagrams are counted; the method never raises."""
        message = decode(data)
        if isinstance(message, MalformedDatagram):
            self.counters["unreadable"] += 1
        elif sender == self.router_index or not 0 <= sender < self.router_count:
            self.counters["strangers"] += 1
        elif (pool := self.pools.get(message.pool_key)) is None or pool.has_ended(now_ms):
            self.counters["unknown"] += 1
        elif isinstance(message, EscrowResponse):
            self.requester.on_response(now_ms, sender, pool, message)
        elif not self.grantor.response_budget.take(now_ms):
            self.counters["drowned"] += 1
        else:
            return self.grantor.on_request(now_ms, sender, pool, message)
        return ()

    def on_tick(self, now_ms: float) -> Sequence[OutboundMessage]:
        """Return requests for units that this router lacks; the host calls this several times a second."""
        self.requester.expire(now_ms)
        self._remove_ended_pools(now_ms)
        messages = self.requester.retry(now_ms)
        keys = [key for key, pool in self.pools.items() if pool.demand and not pool.has_ended(now_ms)]
        self.rng.shuffle(keys)  # a fixed order would let the first pools use up the request budget
        for key in keys:
            messages += self.requester.request_units(now_ms, self.pools[key])
        return messages

    def _remove_ended_pools(self, now_ms: float) -> None:
        for key, pool in list(self.pools.items()):
            if isinstance(pool, RatePool):
                pool.drop_expired(now_ms)
            if pool.can_be_removed(now_ms):
                del self.pools[key], self.keys_by_name[pool.name]

    def on_notification(self, now_ms: float, notification: Notification) -> Sequence[OutboundMessage]:
        """Restrict requests to the peers that are alive when the set of alive peers changes."""
        if isinstance(notification, PeersChanged):
            self.requester.set_alive(notification.alive_peers)
        return ()

    def status(self, now_ms: float) -> Mapping[str, str]:
        """Return the counters and gauges for ``INFO``."""
        rates = [pool for pool in self.pools.values() if isinstance(pool, RatePool)]
        metrics = {
            "pools": len(self.pools),
            "lent": sum(pool.amount_leased_to_peers(now_ms) for pool in rates),
            "borrowed": sum(pool.amount_borrowed(now_ms) for pool in rates),
            "asks-out": len(self.requester.outstanding),
            **self.counters,
        }
        return {f"grants-{name}": str(metric) for name, metric in metrics.items()}
