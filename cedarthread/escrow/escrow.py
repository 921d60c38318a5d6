"""The escrow component: quota pools that routers share by moving units between them.

``grantor.py`` answers peers' requests, ``requester.py`` sends this router's own, ``image.py`` keeps what must
survive a restart, and the pools keep the accounts. Steps 14 to 17 of docs/design/register.md, and
docs/design/grants.md.
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

COUNTERS = "granted", "taken", "refused", "unreadable", "strangers", "unknown", "late", "drowned", "lies"
_RNG_SALT = 0x4752_414E  # so that components with the same seed draw differently


class Escrow:
    """One router's units of all pools: a ``Component``, and the ``QuotaEscrow`` that other components use.

    Times are in ms on this router's steady clock; ``clock_rate`` is the fraction by which it may run fast or
    slow. ``incarnation``: a random number drawn at each start. ``has_memory``: nothing that an earlier
    incarnation of this router used or gave of a count is forgotten, because there was none or ``restore``
    brings it; without it this router's allotment of a count is lost. Its own rates are 0 for a term after any
    start. ``is_durable``: units of a count may be used or given only once the disk has them as gone
    (``image_to_write``, ``mark_written``).
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
        has_memory: bool = False,
        is_durable: bool = False,
    ) -> None:
        self.router_index, self.router_count = router_index, router_count
        self.incarnation = incarnation % 2**64
        self.rng = random.Random(seed ^ _RNG_SALT ^ router_index << 32)
        self.clock_drift_factor = (1.0 + clock_rate) / (1.0 - clock_rate)
        self.ready_at_ms = now_ms + LEASE_TERM_MS * self.clock_drift_factor
        self.pools: dict[int, QuotaPool] = {}  # by key
        self.keys_by_name: dict[str, int] = {}
        self.counters = dict.fromkeys(COUNTERS, 0)
        self.image = EscrowImage(has_memory=has_memory, is_durable=is_durable)
        self.requester = self.requester_type(
            router_index, router_count, self.incarnation, rng=self.rng, counters=self.counters, now_ms=now_ms
        )
        self.grantor = self.grantor_type(self.incarnation, self.rng, self.counters, now_ms)

    # For other components.

    def open_pool(
        self, name: str, total: int, *, is_consumable: bool, ends_at_ms: float | None, is_new: bool = False
    ) -> None:
        """Open a pool, or change its total or end.

        ``is_new``: the caller knows that no earlier incarnation of this router can have used it, so that the
        allotment of a count stands although nothing is remembered (design page, 9).
        """
        key, total = pool_key(name), max(0, min(total, MAX_AMOUNT))
        pool = self.pools.get(key)
        if pool is None:
            self.pools[key] = self._create_pool(name, key, total, is_consumable, is_new)
            self.keys_by_name[name] = key
        elif pool.name != name or pool.is_consumable is not is_consumable:
            self.counters["lies"] += 1  # another name with the same hash, or another kind
            return
        elif isinstance(pool, CountPool):
            pool.change_total(total)
        else:
            pool.total = total
        self.pools[key].ends_at_ms = ends_at_ms

    def _create_pool(self, name: str, key: int, total: int, is_consumable: bool, is_new: bool) -> QuotaPool:
        if is_consumable:
            count = CountPool(name, key, self.router_index, self.router_count, self.image.is_durable)
            is_lost = not (self.image.has_memory or is_new)
            count.initialize(total, is_lost=is_lost, persisted=self.image.take_restored(key))
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

    def pool_named(self, name: str) -> QuotaPool | None:
        """The pool of this name, if it is open."""
        key = self.keys_by_name.get(name)
        return None if key is None else self.pools.get(key)

    def available(self, now_ms: float, name: str) -> int:
        """Units that this router may use now; 0 for a pool that is not open or has ended."""
        pool = self.pool_named(name)
        return 0 if pool is None else pool.available(now_ms)

    def consume(self, now_ms: float, name: str, amount: int = 1) -> bool:
        """Use up units of a count; false, and nothing used, where this router may not."""
        pool = self.pool_named(name)
        return isinstance(pool, CountPool) and amount > 0 and pool.consume(now_ms, amount)

    def request(self, now_ms: float, name: str, amount: int) -> None:
        """Set what this router could use in all, until the next call; 0 ends it.

        Of a rate its present demand; of a count what it would have ready, which each use lowers.
        """
        if (pool := self.pool_named(name)) is not None:
            set_demand(now_ms, pool, amount)

    # The disk.

    def snapshot(self) -> bytes:
        """The image with all free units written off."""
        return self.image.encode(self.pools, {})

    def restore(self, data: bytes) -> bool:
        """Take the last image of an earlier incarnation, before any pool is opened.

        False, and nothing taken, if it cannot be read: then there is no memory.
        """
        return self.image.restore(data)

    def image_to_write(self, now_ms: float) -> bytes | None:
        """The image that the host is to persist, if any; its end is reported by the two methods below."""
        return self.image.next_write(now_ms, self.pools)

    def mark_written(self, now_ms: float) -> None:
        """The image last given is on the disk."""
        self.image.mark_written(self.pools)

    def mark_write_failed(self) -> None:
        """The image last given may not be on the disk."""
        self.image.mark_write_failed()

    # The component interface.

    def on_message(self, now_ms: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """Take a peer's request or response. Never raises, whatever the bytes are."""
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
        """Request what is lacking; called several times a second."""
        self.requester.expire(now_ms)
        self._remove_ended_pools(now_ms)
        messages = self.requester.retry(now_ms)
        keys = [key for key, pool in self.pools.items() if pool.demand and not pool.has_ended(now_ms)]
        self.rng.shuffle(keys)  # so that no pool takes the whole request budget
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
        """Requests go to peers that are alive."""
        if isinstance(notification, PeersChanged):
            self.requester.set_alive(notification.alive_peers)
        return ()

    def status(self, now_ms: float) -> Mapping[str, str]:
        """Figures for ``INFO``."""
        rates = [pool for pool in self.pools.values() if isinstance(pool, RatePool)]
        figures = {
            "pools": len(self.pools),
            "lent": sum(pool.amount_loaned(now_ms) for pool in rates),
            "borrowed": sum(pool.amount_borrowed(now_ms) for pool in rates),
            "asks-out": len(self.requester.outstanding),
            **self.counters,
        }
        return {f"grants-{name}": str(figure) for name, figure in figures.items()}
