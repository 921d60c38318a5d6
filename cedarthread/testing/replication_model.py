"""Model checking of two or three replicated stores: every order of events, up to given numbers of each.

The events: a freshness window passes; a router restarts without memory; a sync request gets its response at
once or late; the late response arrives. A late response that never arrives is lost. For tests only, never
loaded when serving.
"""

from __future__ import annotations

import functools
import itertools
import math
import pickle
from collections import deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, NamedTuple, cast

from cedarthread.components.replicated_state import Entry, EntryKind
from cedarthread.model.actions import SendToPeer
from cedarthread.replication import codec
from cedarthread.replication.store import ReplicatedStore
from cedarthread.replication.sync_requests import SyncRequests
from cedarthread.replication.sync_server import SyncServer

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from cedarthread.replication.messages import EntryRef

WINDOW_MS = 1000.0
_unique_numbers = itertools.count(1)  # source of unique incarnations and nonces


class ConstantRandom:
    """A deterministic replacement for ``random.Random``."""

    def uniform(self, low: float, high: float) -> float:
        """Return the upper bound."""
        return high

    def randrange(self, end: int) -> int:
        """Return 0."""
        return 0

    def sample(self, population: list[EntryRef], size: int) -> list[EntryRef]:
        """Return the first ``size`` elements in their order."""
        return population[:size]


class SequentialNonceRequests(SyncRequests):
    """Sync requests with sequential nonces instead of random ones."""

    def _new_nonce(self) -> int:
        return next(_unique_numbers)


class RequestOnlyServer(SyncServer):
    """A server that sends no entry without a request."""

    def newest_entry_fragments(self, now_ms: float, sender: int) -> list[SendToPeer]:
        """Return no fragments."""
        return []


class ModelStore(ReplicatedStore):
    """A store that sends no message on its own and makes no random decision.

    Args:
        router_index: Index of the router.
        router_count: Number of routers.
        now_ms: Start of the incarnation.
    """

    requests_type = SequentialNonceRequests
    server_type = RequestOnlyServer

    def __init__(self, router_index: int, router_count: int, now_ms: float) -> None:
        super().__init__(
            router_index,
            router_count,
            next(_unique_numbers),
            0,
            window_ms=WINDOW_MS,
            clock_rate=0.0,
            now_ms=now_ms,
        )
        rng = cast("random.Random", ConstantRandom())
        self.requests.rng = rng
        self.sessions.rng = rng
        self.server.rng = rng
        self.requests.next_reverse_request_at_ms = math.inf


class LateResponse(NamedTuple):
    """A sync response that has been sent and has not arrived."""

    receiver: int
    sender: int
    data: bytes


@dataclass(frozen=True)
class ModelState:
    """The stores of all routers, and at most one late response."""

    now_ms: float
    stores: tuple[ModelStore, ...]
    late: LateResponse | None = None
    acts_from_ms: float = math.inf  # time from which any router acts on the entry as replicated
    window_count: int = 0  # number of freshness windows that have passed
    restart_count: int = 0

    def key(self) -> object:
        """Return the properties that determine the successors, with ages instead of times and no nonces."""
        acts_in_ms = max(self.acts_from_ms - self.now_ms, -1.0)
        properties: list[object] = [self.window_count, self.restart_count, acts_in_ms]
        needs_reads = any(not store.is_voter for store in self.stores) or self.restart_count == 0
        for store in self.stores:
            freshness = store.replica.freshness
            times = [
                *(freshness.read_at_ms if needs_reads else ()),
                *freshness.read_as_voter_at_ms,
                *freshness.majority.latest_confirmation_times(),
                freshness.earlier_incarnation_expires_at_ms,
            ]
            ages = tuple(min(self.now_ms - time_ms, 2 * WINDOW_MS) for time_ms in times)
            properties += [store.replica.state.root_digest, freshness.is_voter, ages]
        if self.late is not None:
            properties += self._late_response_key(self.late)
        return tuple(properties)

    def _late_response_key(self, late: LateResponse) -> list[object]:
        response = codec.decode(late.data)
        assert isinstance(response, codec.SyncResponse)
        request = self.stores[late.receiver].requests.open_requests[response.nonce]
        age_ms = min(self.now_ms - request.sent_at_ms, 2 * WINDOW_MS)
        is_same_incarnation = self.stores[late.sender].incarnation == response.incarnation
        return [
            late.receiver,
            late.sender,
            age_ms,
            response.root_digest,
            response.is_voter,
            response.ages,
            is_same_incarnation,
        ]


class Exploration(NamedTuple):
    """The result of an exploration."""

    state_count: int
    violations: list[ModelState]  # states in which a fresh router lacks an entry on which others act


def successors(state: ModelState, max_windows: int, max_restarts: int) -> Iterator[ModelState]:
    """Yield the state after each possible event."""
    if state.window_count < max_windows:
        yield replace(state, now_ms=state.now_ms + WINDOW_MS, window_count=state.window_count + 1)
    if state.late is not None:
        yield _after_response(replace(state, late=None), state.late)
    for router in range(len(state.stores)):
        late = state.late if state.late is not None and state.late.receiver != router else None
        if state.restart_count < max_restarts:
            restarted = ModelStore(router, len(state.stores), state.now_ms)
            yield replace(
                _with_store(state, router, restarted), restart_count=state.restart_count + 1, late=late
            )
        for peer in range(len(state.stores)):
            if peer != router:
                yield from _after_request(state, router, peer)


def _after_request(state: ModelState, router: int, peer: int) -> Iterator[ModelState]:
    requester = _copy(state.stores[router])
    if state.late is None:
        requester.requests.clear()
    request = requester.exchange.request_sync(state.now_ms, peer)
    (response,) = _copy(state.stores[peer]).on_message(state.now_ms, router, request.data)
    assert isinstance(response, SendToPeer)
    requested = _with_store(state, router, requester)
    sent_response = LateResponse(router, peer, response.data)
    yield _after_response(requested, sent_response)
    if state.late is None:
        yield replace(requested, late=sent_response)


_pickled = functools.lru_cache(pickle.dumps)  # cached, because the stores of one state are copied many times


def _copy(store: ModelStore) -> ModelStore:
    copied: ModelStore = pickle.loads(_pickled(store))
    copied.exchange.last_active_at_ms = math.inf  # the model's large steps of time must not count as pauses
    return copied


def _with_store(state: ModelState, router: int, store: ModelStore) -> ModelState:
    return replace(state, stores=(*state.stores[:router], store, *state.stores[router + 1 :]))


def _after_response(state: ModelState, late: LateResponse) -> ModelState:
    """Return the state after a response arrives and the session that it starts has run.

    The peer's current incarnation serves the session.
    """
    router = late.receiver
    peer = late.sender
    store = _copy(state.stores[router])
    peer_store = _copy(state.stores[peer])
    messages = list(store.on_message(state.now_ms, peer, late.data))
    while messages:
        if isinstance(message := messages.pop(0), SendToPeer):
            for response in peer_store.on_message(state.now_ms, router, message.data):
                if isinstance(response, SendToPeer):
                    messages += store.on_message(state.now_ms, peer, response.data)
    is_replicated = any(change.replicated_at_ms is not None for change in store.take_changes())
    acts_from_ms = state.now_ms + WINDOW_MS if is_replicated else math.inf
    after = _with_store(state, router, store)
    return replace(after, acts_from_ms=min(state.acts_from_ms, acts_from_ms))


def explore_states(router_count: int, max_windows: int, max_restarts: int, max_states: int) -> Exploration:
    """Explore states breadth first, until a violation is found or ``max_states`` is reached.

    Args:
        router_count: Number of routers; the first has proposed an entry.
        max_windows: Number of windows that may pass.
        max_restarts: Number of restarts without memory.
        max_states: Number of states at which the exploration ends.
    """
    start = ModelState(0.0, tuple(ModelStore(router, router_count, 0.0) for router in range(router_count)))
    for store in start.stores:
        store.restore((), is_voter=True)
    assert isinstance(start.stores[0].propose(0.0, EntryKind.FREEZE, "x", b""), Entry)
    seen = {start.key()}
    queue = deque([start])
    violations: list[ModelState] = []
    while queue and len(seen) < max_states and not violations:
        for state in successors(queue.popleft(), max_windows, max_restarts):
            if (key := state.key()) not in seen:
                seen.add(key)
                queue.append(state)
                if state.now_ms > state.acts_from_ms and _has_fresh_store_without_entry(state):
                    violations.append(state)
    return Exploration(len(seen), violations)


def _has_fresh_store_without_entry(state: ModelState) -> bool:
    return any(not store.replica.state.records and store.is_fresh(state.now_ms) for store in state.stores)
