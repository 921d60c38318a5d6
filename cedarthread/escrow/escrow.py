"""Parts of totals that the fleet shares: asking for them, granting them (docs/design/register.md, 14 to 17).

``grants_book.py`` keeps the accounts; here is who is asked when, and what is answered. An answer counts
only for an ask that this life has out, and once: a doubled, late or made-up one adds nothing. What is lost on
the way is missing until it comes back (a rate) or for good (a count).
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from cedarthread.components.interface import MessageType, Notification, OutboundMessage, PeersChanged
from cedarthread.escrow import codec as form
from cedarthread.escrow.accounts import LEASE_TERM_MS, CountBalance, CountPool, QuotaPool, RatePool
from cedarthread.escrow.codec import NO_HINT, EscrowRequest, EscrowResponse
from cedarthread.gossip.codec import MalformedDatagram
from cedarthread.model.actions import SendToPeer
from cedarthread.statistics import TokenBucket

REQUESTS_PER_SECOND, REQUEST_BURST = (
    40.0,
    20.0,
)  # asks a second that a router sends at most, and most saved up
RESPONSES_PER_SECOND, RESPONSE_BURST = 100.0, 50.0  # answers likewise: survivors must not drown
MAX_PARALLEL_REQUESTS = 8  # others that are asked at once for one pool
RESPONSE_TIMEOUT_MS = 500.0  # ms after which an ask counts as unanswered
MAX_ATTEMPTS = (
    4  # times that an ask for a count is sent: its answer carries something that would be lost for good
)
LATE_RESPONSE_LIMIT_MS = 30_000.0  # ms for which a late answer to an ask for a count is still taken
BACKOFF_BASE_MS = (
    250.0  # ms that a router waits after a round that brought nothing; twice as long after each more
)
BACKOFF_MAX_MS = {True: 4000.0, False: 2000.0}  # ms, of counts and of rates
WAKE_INTERVAL_MS = 5000.0  # ms between two wakings from that wait by more demand
MAX_HINTS_FOLLOWED = 2  # hints that are followed at once, one after the other
RENEW_AFTER_FRACTION = 0.6  # part of a term after which it is asked for anew
MAX_REMEMBERED_GRANTS = 1024  # grants of counts that are kept to be said again
MAX_RESTORED_COUNTS = 1024  # counts of the disk that are kept though nobody has opened them here


@dataclass(slots=True)
class OutstandingRequest:
    """An ask that is out. Its answer's term counts from ``at``, when it was first sent."""

    pool: QuotaPool
    peer_index: int
    requested: int
    sent_at_ms: float
    timeout_at_ms: float  # until then an answer is waited for
    attempts: int = 1
    was_denied: bool = False  # none was to be had; for a count this does not end it, an earlier try may grant


class Escrow:
    """One router's parts of all pools. ``clock_rate``: part by which a clock may run fast or slow.

    ``life``: a random number drawn at each start. ``remembered``: nothing that an earlier life of this
    router used or gave of a count is forgotten, for there was none or ``restore`` tells it; without it its
    own part of a count is zero. Its own rates are zero for a term after any start. ``stored``: amounts of a
    count may be used or given only once the disk has them as gone (``to_write``, ``written``)."""

    message_types = frozenset((int(MessageType.ESCROW),))

    def __init__(
        self,
        router_index: int,
        router_count: int,
        incarnation: int,
        seed: int,
        *,
        clock_rate: float,
        now: float = 0.0,
        has_memory: bool = False,
        is_durable: bool = False,
    ) -> None:
        self.router_index, self.router_count, self.incarnation = (
            router_index,
            router_count,
            incarnation % 2**64,
        )
        self.rng = random.Random(seed ^ 0x4752_414E ^ router_index << 32)
        self.has_memory, self.is_durable = has_memory, is_durable
        self.clock_drift_factor = (1.0 + clock_rate) / (1.0 - clock_rate)
        self.ready_at_ms = now + LEASE_TERM_MS * self.clock_drift_factor
        self.pools: dict[int, QuotaPool] = {}
        self.keys_by_name: dict[str, int] = {}
        self.alive_peers: Sequence[int] = tuple(n for n in range(router_count) if n != router_index)
        self.outstanding: dict[int, OutstandingRequest] = {}  # by nonce
        self.last_nonce = self.rng.randrange(2**32)
        self.last_serial = 0
        self.sent_grants: OrderedDict[tuple[int, int, int], bytes] = (
            OrderedDict()
        )  # by sender, life and nonce
        self.request_budget, self.response_budget = (
            TokenBucket(REQUESTS_PER_SECOND, REQUEST_BURST, REQUEST_BURST, now),
            TokenBucket(RESPONSES_PER_SECOND, RESPONSE_BURST, RESPONSE_BURST, now),
        )
        self.restored_balances: dict[int, CountBalance] = {}
        self.pending_write_offs: dict[int, int] | None = (
            None  # what the disk is asked to have as gone, by pool
        )
        self.counters = dict.fromkeys(
            ("granted", "taken", "refused", "unreadable", "strangers", "unknown", "late", "drowned", "lies"),
            0,
        )

    # What users call.

    def open_pool(
        self, name: str, total: int, *, is_consumable: bool, ends_at_ms: float | None, is_new: bool = False
    ) -> None:
        """Open a pool, or change its total or end. ``new``: the caller knows that no earlier life of this
        router can have used it (design page, 9): a count's own part stands though nothing is remembered."""
        key, total = form.pool_key(name), max(0, min(total, form.MAX_AMOUNT))
        pool = self.pools.get(key)
        if pool is None:
            self.pools[key] = self._create_pool(name, key, total, is_consumable, is_new)
            self.keys_by_name[name] = key
        elif pool.name != name or pool.is_consumable is not is_consumable:
            self.counters["lies"] += 1  # another name of the same hash, or another kind: no part of it
            return
        elif isinstance(pool, CountPool):
            pool.change_total(total)
        else:
            pool.total = total
        self.pools[key].ends_at_ms = ends_at_ms

    def _create_pool(self, name: str, key: int, total: int, spent: bool, new: bool) -> QuotaPool:
        if spent:
            count = CountPool(name, key, self.router_index, self.router_count, self.is_durable)
            count.initialize(
                total, is_lost=not (self.has_memory or new), persisted=self.restored_balances.pop(key, None)
            )
            return count
        rate = RatePool(
            name, key, self.router_index, self.router_count, self.clock_drift_factor, self.ready_at_ms
        )
        rate.total = total
        return rate

    def _pool_named(self, name: str) -> QuotaPool | None:
        key = self.keys_by_name.get(name)
        return None if key is None else self.pools.get(key)

    def available(self, now: float, name: str) -> int:
        """How much of it this router may use now; 0 for a pool that is unknown or over."""
        pool = self._pool_named(name)
        return 0 if pool is None else pool.available(now)

    def consume(self, now: float, name: str, amount: int = 1) -> bool:
        """Use so much of a count; False, and nothing used, where this router may not."""
        pool = self._pool_named(name)
        return isinstance(pool, CountPool) and amount > 0 and pool.consume(now, amount)

    def request(self, now: float, name: str, amount: int) -> None:
        """What this router could use in all: of a rate its present demand, of a count what it would have
        ready (less with each use). It holds until the next word; 0 ends it."""
        if (pool := self._pool_named(name)) is not None:
            if (
                amount > pool.demand and now - pool.woken_at_ms >= WAKE_INTERVAL_MS
            ):  # demand that trembles must not wake it always
                pool.woken_at_ms = now
                pool.next_round_at_ms, pool.failed_rounds = (
                    min(pool.next_round_at_ms, now + BACKOFF_BASE_MS),
                    min(pool.failed_rounds, 3),
                )
            pool.demand = max(0, amount)

    # The disk.

    def snapshot(self) -> bytes:
        """What is left of the counts once all that is free is taken for gone."""
        return self._encode_image({})

    def _encode_image(self, write_offs: Mapping[int, int]) -> bytes:
        balances = [
            p.balance_to_persist(write_offs.get(k, 0))
            for k, p in self.pools.items()
            if isinstance(p, CountPool)
        ]
        return msgspec.msgpack.encode(balances + list(self.restored_balances.values())[-MAX_RESTORED_COUNTS:])

    def restore(self, data: bytes) -> bool:
        """Take an earlier life's last image, before any pool is opened; False, and nothing taken, if it can't
        be read: then there is no memory."""
        try:
            balances = msgspec.msgpack.decode(data, type=list[CountBalance])
        except msgspec.MsgspecError:
            balances = [(0, -1, 0, 0, True)]
        if any(min(rest[:4]) < 0 or rest[1] > rest[3] for rest in balances):
            self.has_memory = False
            return False
        self.restored_balances = {rest[0]: rest for rest in balances}
        return True

    def image_to_write(self, now: float) -> bytes | None:
        """The image that the disk must have before more is used or given; None: nothing more is wanted, or
        one is on its way. The host puts it durably, then calls ``written``, or ``unwritten`` at trouble."""
        if not self.is_durable or self.pending_write_offs is not None:
            return None
        count_pools = {key: pool for key, pool in self.pools.items() if isinstance(pool, CountPool)}
        write_offs = {
            key: pool.amount_to_write_off() for key, pool in count_pools.items() if not pool.has_ended(now)
        }
        if not any(write_offs.values()):
            return None
        self.pending_write_offs = {key: amount for key, amount in write_offs.items() if amount}
        return self._encode_image(self.pending_write_offs)

    def mark_written(self, now: float) -> None:
        """The image last given is durable: what it has as gone is free."""
        for key, amount in (self.pending_write_offs or {}).items():
            if isinstance(pool := self.pools.get(key), CountPool):
                pool.free = min(pool.balance, pool.free + amount)
                pool.awaiting_write_off = 0
        self.pending_write_offs = None

    def mark_write_failed(self) -> None:
        """The image last given may not be durable: nothing is free by it."""
        self.pending_write_offs = None

    # Hearing.

    def on_message(self, now: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """Take a datagram of an ask or an answer; whatever it holds, no error is raised."""
        message = form.decode(data)
        if isinstance(message, MalformedDatagram):
            self.counters["unreadable"] += 1
        elif sender == self.router_index or not 0 <= sender < self.router_count:
            self.counters["strangers"] += 1
        elif (pool := self.pools.get(message.pool_key)) is None or pool.has_ended(now):
            self.counters["unknown"] += 1
        elif isinstance(message, EscrowResponse):
            self._on_response(now, sender, pool, message)
        elif not self.response_budget.take(now):
            self.counters["drowned"] += 1
        else:
            return self._on_request(now, sender, pool, message)
        return ()

    def _on_request(
        self, now: float, sender: int, pool: QuotaPool, request: EscrowRequest
    ) -> Sequence[OutboundMessage]:
        """Lower this router's own, and only then say so."""
        request_id = (sender, request.incarnation, request.nonce)
        if isinstance(pool, CountPool):
            if (sent_before := self.sent_grants.get(request_id)) is not None:
                return (SendToPeer(sent_before, sender),)
            amount = pool.give(now, sender, request.requested)
            if not amount and pool.is_waiting_for_disk():
                return ()  # it asks again, and by then the disk has it as gone
            lendable, term_ms = max(0, pool.available(now) - pool.demand), 0
        elif isinstance(pool, RatePool):
            granted = pool.lend(now, (sender, request.incarnation), request.nonce, request.requested)
            if granted is None:
                self.counters["late"] += 1
                return ()
            amount, lendable, term_ms = (
                granted,
                max(0, pool.lendable(now) - pool.amount_lent(now)),
                int(LEASE_TERM_MS),
            )
        self.last_serial = (self.last_serial + 1) % 2**32
        hint = NO_HINT if amount else self._choose_hint(now, sender, pool)
        ids = (pool.key, self.incarnation, self.last_serial, request.incarnation, request.nonce)
        data = form.encode(EscrowResponse(*ids, amount, term_ms, pool.total, lendable, hint))
        self.counters["granted" if amount else "refused"] += 1
        if amount and pool.is_consumable:
            self.sent_grants[request_id] = data
            if len(self.sent_grants) > MAX_REMEMBERED_GRANTS:
                self.sent_grants.popitem(last=False)
        return (SendToPeer(data, sender),)

    def _choose_hint(self, now: float, sender: int, pool: QuotaPool) -> int:
        """Who may have what this router has none of."""
        if isinstance(pool, CountPool) and pool.last_taker is not None:
            return NO_HINT if pool.last_taker == sender else pool.last_taker
        candidates = [
            n
            for n, (room, at) in pool.peer_available.items()
            if room and now - at < LEASE_TERM_MS / 2 and n != sender
        ]
        return self.rng.choice(candidates) if candidates else NO_HINT

    def _on_response(self, now: float, sender: int, pool: QuotaPool, response: EscrowResponse) -> None:
        request = self.outstanding.get(response.nonce)
        if (
            request is None
            or response.requester_incarnation != self.incarnation
            or request.peer_index != sender
            or request.pool is not pool
        ):
            self.counters["late"] += 1
            return
        if (
            response.amount > request.requested
            or response.term_ms > LEASE_TERM_MS
            or bool(response.term_ms) is pool.is_consumable
        ):
            self.counters["lies"] += 1
            return
        pool.peer_available[sender] = (response.available, now)
        if 0 <= response.hinted_peer < self.router_count and response.hinted_peer != self.router_index:
            available, seen_at_ms = pool.peer_available.get(response.hinted_peer, (0, -math.inf))
            if available or now - seen_at_ms > 2 * RESPONSE_TIMEOUT_MS:
                pool.peer_available[response.hinted_peer] = (max(1, available), now)
        if isinstance(pool, CountPool) and not response.amount:
            request.was_denied, request.timeout_at_ms = True, now
            return  # a grant that an earlier try was answered with may still be on its way
        del self.outstanding[response.nonce]
        gained = False
        if isinstance(pool, RatePool):
            gained = pool.borrow(now, sender, response.amount, request.sent_at_ms, response.term_ms)
        elif (
            isinstance(pool, CountPool) and response.total <= pool.total
        ):  # not from before this one was lowered
            pool.receive(response.amount)
            gained = True
        pool.has_gained |= gained
        self.counters["taken"] += gained

    # Turns.

    def on_tick(self, now: float) -> Sequence[OutboundMessage]:
        """Some times a second: asks for what is lacking, as few as do."""
        messages: list[OutboundMessage] = []
        self._expire(now)
        messages += self._retry_requests(now)
        keys = [key for key, pool in self.pools.items() if pool.demand and not pool.has_ended(now)]
        self.rng.shuffle(keys)  # so that no pool has all the asks
        for key in keys:
            pool = self.pools[key]
            if isinstance(pool, RatePool):
                messages += self._renew_leases(now, pool)
            messages += self._start_round(now, pool)
        return messages

    def _expire(self, now: float) -> None:
        for nonce, request in list(self.outstanding.items()):
            if now - request.sent_at_ms >= (
                LATE_RESPONSE_LIMIT_MS if request.pool.is_consumable else LEASE_TERM_MS
            ):
                del self.outstanding[nonce]
        for key, pool in list(self.pools.items()):
            if isinstance(pool, RatePool):
                pool.drop_expired(now)
            if pool.can_be_removed(now):
                del self.pools[key], self.keys_by_name[pool.name]

    def _retry_requests(self, now: float) -> list[OutboundMessage]:
        """Ask again, of the same router, what may have been granted and lost: a count under the same nonce,
        so that it is granted once; a rate, once more, under a new one, for the new loan covers the old."""
        messages: list[OutboundMessage] = []
        for nonce, request in list(self.outstanding.items()):
            pool = request.pool
            if request.was_denied or now < request.timeout_at_ms or request.attempts >= MAX_ATTEMPTS:
                continue
            if isinstance(pool, RatePool):
                if request.peer_index not in pool.leases_taken and pool.shortfall(now):
                    messages += self._send_request(
                        now, pool, request.peer_index, request.requested, MAX_ATTEMPTS
                    )
                request.attempts = MAX_ATTEMPTS
            elif self.request_budget.take(now):
                request.attempts += 1
                request.timeout_at_ms = now + RESPONSE_TIMEOUT_MS * 2.0**request.attempts * self.rng.uniform(
                    0.5, 1.0
                )
                messages.append(
                    SendToPeer(
                        form.encode(EscrowRequest(pool.key, self.incarnation, nonce, request.requested)),
                        request.peer_index,
                    )
                )
        return messages

    def _send_request(
        self, now: float, pool: QuotaPool, peer_index: int, requested: int, attempts: int = 1
    ) -> list[OutboundMessage]:
        if not self.request_budget.take(now):
            return []
        self.last_nonce = (self.last_nonce + 1) % 2**32
        requested = min(requested, form.MAX_AMOUNT)
        self.outstanding[self.last_nonce] = OutstandingRequest(
            pool, peer_index, requested, now, now + RESPONSE_TIMEOUT_MS, attempts
        )
        return [
            SendToPeer(
                form.encode(EscrowRequest(pool.key, self.incarnation, self.last_nonce, requested)), peer_index
            )
        ]

    def _awaited_peers(self, now: float, pool: QuotaPool) -> dict[int, int]:
        """Who is asked and has still time to answer, and for how much."""
        asked = (a for a in self.outstanding.values() if a.pool is pool and a.timeout_at_ms > now)
        return {a.peer_index: a.requested for a in asked if a.attempts == 1 or not pool.is_consumable}

    def _renew_leases(self, now: float, pool: RatePool) -> list[OutboundMessage]:
        """Ask those that lend to go on with it, so far as it is still wanted, the greatest first."""
        messages: list[OutboundMessage] = []
        needed = pool.demand - max(0, pool.own_rate(now) - pool.amount_lent(now))
        awaited = self._awaited_peers(now, pool)
        leases = sorted(
            ((loan.amount_at(now), giver) for giver, loan in pool.leases_taken.items()), reverse=True
        )
        for amount, giver in leases:
            if needed <= 0:
                break
            is_due = now - pool.leases_taken[giver].requested_at_ms >= RENEW_AFTER_FRACTION * LEASE_TERM_MS
            if amount and is_due and giver not in awaited:
                messages += self._send_request(now, pool, giver, min(needed, amount))
            needed -= amount
        return messages

    def _start_round(self, now: float, pool: QuotaPool) -> list[OutboundMessage]:
        """Ask some others for what lacks. A round that brought nothing makes the next one later and smaller,
        with jitter: where all want what is not there, the asks fade out."""
        shortfall = pool.shortfall(now)
        awaited = self._awaited_peers(now, pool)
        if (
            shortfall <= 0
            or now < pool.next_round_at_ms
            or (awaited and not pool.has_gained and pool.is_round_open)
        ):
            return []
        if pool.is_round_open and not self._finish_round(now, pool):
            return []
        reference_amount = max(1, pool.own_allotment() // 2)
        max_peers = (
            1
            if pool.is_consumable
            else min(
                MAX_PARALLEL_REQUESTS >> min(pool.failed_rounds, 3), math.ceil(shortfall / reference_amount)
            )
        )
        targets = self._choose_peers(now, pool, max_peers, awaited)
        messages: list[OutboundMessage] = []
        for peer in targets:
            borrowed = (
                pool.leases_taken[peer].amount_at(now)
                if isinstance(pool, RatePool) and peer in pool.leases_taken
                else 0
            )
            messages += self._send_request(now, pool, peer, math.ceil(shortfall / len(targets)) + borrowed)
        pool.is_round_open = bool(messages)
        return messages

    def _finish_round(self, now: float, pool: QuotaPool) -> bool:
        """The last round is over: may the next begin at once?"""
        pool.is_round_open = False
        if pool.has_gained:
            pool.has_gained, pool.failed_rounds = False, 0
            return True
        if pool.hints_followed < MAX_HINTS_FOLLOWED and any(
            room and now - at < RESPONSE_TIMEOUT_MS for room, at in pool.peer_available.values()
        ):
            pool.hints_followed += 1
            return True  # a hint just came
        pool.hints_followed, pool.failed_rounds = 0, min(pool.failed_rounds + 1, 16)
        pool.next_round_at_ms = now + min(
            BACKOFF_BASE_MS * 2.0**pool.failed_rounds, BACKOFF_MAX_MS[pool.is_consumable]
        ) * self.rng.uniform(0.5, 1.0)
        return False

    def _choose_peers(
        self, now: float, pool: QuotaPool, max_peers: int, awaited: Mapping[int, int]
    ) -> list[int]:
        """Whom to ask: who was last known to have room; who had units at the start; who is not known to have
        none; and where there is no such one, anybody."""
        groups: tuple[list[int], ...] = ([], [], [], [])
        for peer in self.alive_peers:
            available, seen_at_ms = pool.peer_available.get(peer, (0, -math.inf))
            if peer in awaited:
                continue
            if now - seen_at_ms < LEASE_TERM_MS:
                groups[0 if available else 3].append(peer)
            else:
                groups[1 if pool.is_consumable and pool.place_by_router[peer] < pool.total else 2].append(
                    peer
                )
        chosen: list[int] = []
        for group in groups:
            if group is not groups[3] or not chosen:
                chosen += self.rng.sample(group, min(max_peers - len(chosen), len(group)))
        return chosen

    # Facts and figures.

    def on_notification(self, now: float, fact: Notification) -> Sequence[OutboundMessage]:
        """Who is there: only they are asked."""
        if isinstance(fact, PeersChanged):
            self.alive_peers = tuple(
                n for n in fact.alive_peers if n != self.router_index and 0 <= n < self.router_count
            )
        return ()

    def status(self, now: float) -> Mapping[str, str]:
        """What operators read at ``INFO``."""
        rates = [pool for pool in self.pools.values() if isinstance(pool, RatePool)]
        figures = {"pools": len(self.pools), "lent": sum(pool.amount_lent(now) for pool in rates)}
        figures |= {"borrowed": sum(pool.amount_borrowed(now) for pool in rates)}
        figures |= {"asks-out": len(self.outstanding), **self.counters}
        return {f"grants-{name}": str(figure) for name, figure in figures.items()}
