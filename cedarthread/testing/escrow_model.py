"""Model checking of quota escrow: every order of events of two or three routers with one pool.

The events are requests, deliveries, duplicates, consumption, the passage of time, restarts and lowered
totals, up to given numbers of each kind. Time advances in steps, of which some end between the borrower's end
of a lease and the lender's. A datagram that is never delivered is lost; a datagram that is delivered after a
step of time is late. The clock rates are at their limits: one clock is fast, the others are slow.
``SmallEscrowModel`` has all state.
"""

from __future__ import annotations

import copy
from collections import deque
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

from cedarthread.components.notifications import PeersChanged
from cedarthread.escrow.count_pool import CountPool
from cedarthread.escrow.rate_pool import Lease, RatePool
from cedarthread.model.actions import SendToPeer

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from cedarthread.components.messages import OutboundMessage
    from cedarthread.escrow.escrow import Escrow

CLOCK_RATE_ERROR = 0.25
STEP_MS = 1300.0  # no multiple of this is the end of a lease at the borrower or at the lender
LOWERED_BY = 2  # units by which a count's total is lowered


class EventKind(StrEnum):
    """Kinds of events of the model."""

    REQUEST = "request"  # one router requests units from one peer
    DELIVER = "deliver"
    DUPLICATE = "duplicate"  # a datagram is delivered and remains in flight
    PASS_TIME = "pass time"
    RESTART = "restart"  # a router restarts without memory
    LEARN_TOTAL = "learn total"  # a router receives the lowered total
    CONSUME = "consume"


Event = tuple[Any, ...]  # (kind, then the routers or the datagram of the event)


class SmallEscrowModel:
    """One state of two or three routers with one pool.

    Args:
        escrow_type: Type of the routers' escrows, which a test may replace by one with a defect.
        pool_name: "count" for a count; any other name for a rate.
        router_count: Number of routers.
        total: Total of the pool.
        limits: How often each kind of event may happen; kinds that are absent have no limit.
    """

    def __init__(
        self,
        escrow_type: type[Escrow],
        pool_name: str,
        router_count: int,
        total: int,
        limits: Mapping[EventKind, int],
    ) -> None:
        self.escrow_type = escrow_type
        self.pool_name = pool_name
        self.router_count = router_count
        self.total = total
        self.remaining_events = dict(limits)
        self.now_ms = 0.0
        self.last_incarnation = 0
        self.consumed = 0
        self.consumed_when_all_knew = -1  # units consumed when the last router received the lowered total
        self.in_flight: frozenset[tuple[int, int, bytes]] = frozenset()  # (sender, receiver, data)
        self.totals = [total] * router_count  # pool total that each router received last
        self.routers = [self.start_router(index, is_first=True) for index in range(router_count)]
        self.now_ms = 6 * STEP_MS  # after the time in which a router may not use its own allotment of a rate

    @property
    def is_count(self) -> bool:
        """Whether the pool is a count; otherwise it is a rate."""
        return self.pool_name == "count"

    def clock_ms(self, router_index: int) -> float:
        """Return the time on a router's monotonic clock."""
        return self.now_ms * (1 + CLOCK_RATE_ERROR if router_index == 0 else 1 - CLOCK_RATE_ERROR)

    def start_router(self, router_index: int, *, is_first: bool) -> Escrow:
        """Return the escrow of a new incarnation, which has a complete history only if it is the first."""
        self.last_incarnation += 1
        escrow = self.escrow_type(
            router_index,
            self.router_count,
            self.last_incarnation,
            1,
            clock_rate=CLOCK_RATE_ERROR,
            now_ms=self.clock_ms(router_index),
            has_complete_history=is_first,
        )
        self._open_pool(escrow, self.totals[router_index])
        return escrow

    def _open_pool(self, escrow: Escrow, total: int) -> None:
        escrow.open_pool(self.pool_name, total, is_consumable=self.is_count, ends_at_ms=None)

    def state_key(self) -> str:
        """Return a key that is equal for states from which the same events can follow."""
        fleet_state = (
            self.now_ms,
            self.consumed,
            self.consumed_when_all_knew,
            sorted(self.in_flight),
            sorted(self.remaining_events.items()),
        )
        return repr(([_router_key(escrow) for escrow in self.routers], fleet_state))

    def possible_events(self) -> list[Event]:
        """Return the events that may happen next."""
        remaining = self.remaining_events
        indices = range(self.router_count)
        events: list[Event] = []
        if remaining[EventKind.REQUEST]:
            events += [
                (EventKind.REQUEST, sender, peer) for sender in indices for peer in indices if sender != peer
            ]
        for datagram in sorted(self.in_flight):
            events.append((EventKind.DELIVER, datagram))
            if remaining[EventKind.DUPLICATE] > 0:
                events.append((EventKind.DUPLICATE, datagram))
        if remaining[EventKind.PASS_TIME] > 0:
            events.append((EventKind.PASS_TIME,))
        if remaining[EventKind.RESTART]:
            events += [(EventKind.RESTART, index) for index in indices]
        if remaining[EventKind.LEARN_TOTAL]:
            events += [
                (EventKind.LEARN_TOTAL, index) for index in indices if self.totals[index] == self.total
            ]
        if self.is_count:
            events += [(EventKind.CONSUME, index) for index in indices if self._available(index)]
        return events

    def _available(self, router_index: int) -> int:
        return self.routers[router_index].available(self.clock_ms(router_index), self.pool_name)

    def apply(self, event: Event) -> None:
        """Apply one event."""
        kind, *arguments = event
        if kind in self.remaining_events:
            self.remaining_events[kind] -= 1
        if kind is EventKind.PASS_TIME:
            self.now_ms += STEP_MS
        elif kind is EventKind.RESTART:
            (index,) = arguments
            self.routers[index] = self.start_router(index, is_first=False)
        elif kind is EventKind.LEARN_TOTAL:
            self._learn_lowered_total(*arguments)
        elif kind is EventKind.CONSUME:
            (index,) = arguments
            self.consumed += self.routers[index].consume(self.clock_ms(index), self.pool_name, 1)
        elif kind is EventKind.REQUEST:
            self._request(*arguments)
        else:
            self._deliver(arguments[0], is_duplicate=kind is EventKind.DUPLICATE)

    def _learn_lowered_total(self, router_index: int) -> None:
        self.totals[router_index] = self.total - LOWERED_BY
        self._open_pool(self.routers[router_index], self.total - LOWERED_BY)
        if self.total not in self.totals:
            self.consumed_when_all_knew = self.consumed

    def _request(self, sender: int, peer: int) -> None:
        """Send a request for units from one router to one peer, regardless of backoff and request budget."""
        escrow = self.routers[sender]
        now_ms = self.clock_ms(sender)
        escrow.on_notification(now_ms, PeersChanged((peer,), 2, {}))
        for pool in escrow.pools.values():
            pool.rounds.next_at_ms = now_ms
            pool.rounds.is_open = False
            pool.peer_available = {}
        escrow.requester.request_budget.tokens = 1.0
        escrow.request(now_ms, self.pool_name, self.total)
        self._add_in_flight(sender, escrow.on_tick(now_ms))
        escrow.request(now_ms, self.pool_name, 0)

    def _deliver(self, datagram: tuple[int, int, bytes], *, is_duplicate: bool) -> None:
        sender, receiver, data = datagram
        if not is_duplicate:
            self.in_flight -= {datagram}
        responses = self.routers[receiver].on_message(self.clock_ms(receiver), sender, data)
        self._add_in_flight(receiver, responses)

    def _add_in_flight(self, sender: int, messages: Iterable[OutboundMessage]) -> None:
        for message in messages:
            assert isinstance(message, SendToPeer)
            assert message.peer_index is not None
            self.in_flight |= {(sender, message.peer_index, message.data)}

    def is_total_exceeded(self) -> bool:
        """Return whether the routers use more than the total.

        Once all routers know the lowered total, no further unit of a count may be consumed beyond it.
        """
        if self.is_count:
            lowered = max(self.consumed_when_all_knew, self.total - LOWERED_BY)
            is_total_lowered = self.consumed_when_all_knew >= 0 and self.consumed > lowered
            return self.consumed > self.total or is_total_lowered
        return sum(map(self._available, range(self.router_count))) > self.total


def _router_key(escrow: Escrow) -> tuple[object, ...]:
    pool = next(iter(escrow.pools.values()))
    outstanding = sorted(
        (nonce, request.peer, request.requested, request.sent_at_ms, request.was_denied)
        for nonce, request in escrow.requester.outstanding.items()
    )
    accounts: tuple[object, ...] | None = None
    if isinstance(pool, RatePool):
        accounts = _lease_keys(pool.leases_given), _lease_keys(pool.leases_taken)
    elif isinstance(pool, CountPool):
        accounts = (
            pool.balance,
            pool.highest_total,
            pool.is_allotment_lost,
            sorted(escrow.grantor.sent_grants),
        )
    return escrow.incarnation, escrow.requester.last_nonce, pool.total, outstanding, accounts


def _lease_keys(leases: Mapping[Any, Lease]) -> list[tuple[object, ...]]:
    return sorted((str(key), lease.nonce, sorted(lease.grants)) for key, lease in leases.items())


class Exploration(NamedTuple):
    """The result of an exploration."""

    state_count: int
    violating_events: list[Event] | None  # a shortest sequence that exceeds the total; None if none was found


def explore_states(start: SmallEscrowModel, max_states: int = 10**6) -> Exploration:
    """Explore the states that can follow ``start``, breadth first.

    The exploration ends when the total is exceeded, no state is left, or ``max_states`` is reached.
    """
    seen = {start.state_key()}
    queue: deque[tuple[SmallEscrowModel, tuple[Event, ...]]] = deque([(start, ())])
    while queue and len(seen) < max_states:
        model, events = queue.popleft()
        for event in model.possible_events():
            successor = copy.deepcopy(model, {id(shared): shared for shared in _shared_objects(model)})
            successor.apply(event)
            if successor.is_total_exceeded():
                return Exploration(len(seen), [*events, event])
            if (key := successor.state_key()) not in seen:
                seen.add(key)
                queue.append((successor, (*events, event)))
    return Exploration(len(seen), None)


def _shared_objects(model: SmallEscrowModel) -> list[object]:
    """Return the objects that copies of a model may share because no later event depends on their state."""
    shared: list[object] = []
    for escrow in model.routers:
        ranks = (pool.rank_by_router for pool in escrow.pools.values())
        shared += [escrow.rng, *ranks, escrow.counters]
    return shared
