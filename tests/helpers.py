"""Settings and a small driver for the tests of the module."""

from __future__ import annotations

import dataclasses
import functools
import io
import pickle
from typing import TYPE_CHECKING, Any, TypeVar

from cedarthread.model.actions import Action, FailRequest, RejectRequest, SetTimer, StartAttempt
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded, Event, RequestArrived, TimerFired
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.model.settings import (
    DeduplicationScope,
    DiscoveryMode,
    Idempotency,
    Limits,
    NotLoadedBehavior,
    Prices,
    RequestClass,
    RouterSettings,
    RuleParameters,
)
from cedarthread.routing.router import Router

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

Thing = TypeVar("Thing")
SAFE = RequestClass(
    "a", 1000.0, 3000.0, 1.0, 0.2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0.0, False, 0.0
)
UNSAFE = dataclasses.replace(SAFE, name="b", idempotency=Idempotency.NOT_IDEMPOTENT)
KEYED = dataclasses.replace(SAFE, name="c", idempotency=Idempotency.WITH_KEY, deduplication_window_ms=2000.0)
KEYED_ZONE = dataclasses.replace(KEYED, name="d", deduplication_scope=DeduplicationScope.ZONE)
KEYED_CELL = dataclasses.replace(KEYED, name="e", deduplication_scope=DeduplicationScope.CELL)
STREAM = dataclasses.replace(SAFE, name="f", is_streaming=True)
CLASSES = (SAFE, UNSAFE, KEYED, KEYED_ZONE, KEYED_CELL, STREAM)

LIMITS = Limits(4, 1000, True, True, True, False, True, 2000.0)
RULES = RuleParameters(8.0, 500.0, 0.2, 10000.0, 2.5, 2000.0, 10000.0, 0.0, 0.0, 0.0)
PRICES = Prices(0.1, 0.01, 0.01, 0.02, 0.03, 0.03, 0.05)


def settings(**changes: Any) -> RouterSettings:
    base = RouterSettings(
        classes=CLASSES,
        tenants=(),
        limits=LIMITS,
        rules=RULES,
        prices=PRICES,
        router_count=2,
        router_index=0,
        zone=0,
        tick_ms=1.0,
        discovery_mode=DiscoveryMode.PUSH,
        when_not_loaded=NotLoadedBehavior.LOAD,
        allows_preloading=True,
        keep_alive_ms=10000.0,
        preload_timeout_ms=5000.0,
        reports_start_kind=True,
        reports_concurrency=True,
        over_quota_weight=0.1,
    )
    return dataclasses.replace(base, **changes)


def worker(
    number: int,
    state: EndpointState = EndpointState.READY,
    zone: int = 0,
    cell: int = 0,
    started: float | None = None,
) -> Endpoint:
    return Endpoint(number, zone, 0, cell, state, 1.0, started)


class RouterDriver:
    """Feeds a router and keeps the actions that it returned."""

    def __init__(self, *workers: Endpoint, seed: int = 1, now_ms: float = 1000.0, **changes: Any) -> None:
        self.router = Router(settings(**changes), seed)
        self.now_ms = now_ms
        self.actions: list[Action] = []
        self.last_request_id = 0
        self.feed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(workers)))

    def feed(self, event: Event, after_ms: float = 0.0) -> list[Action]:
        """Hand in an event so many ms after the last one; returns what the router wants done."""
        self.now_ms += after_ms
        actions = self.router.handle(self.now_ms, event)
        self.actions.extend(actions)
        return actions

    def send_request(
        self,
        function_id: int = 7,
        class_index: int = 0,
        after_ms: float = 0.0,
        remaining_ms: float | None = None,
        **fields: Any,
    ) -> list[Action]:
        """A request with this much time left, or the deadline of its class."""
        self.last_request_id += 1
        if remaining_ms is None:
            remaining_ms = CLASSES[class_index].deadline_ms
        deadline_ms = self.now_ms + after_ms + remaining_ms
        request = RequestArrived(self.last_request_id, function_id, class_index, deadline_ms, **fields)
        return self.feed(request, after_ms)

    def end_attempt(
        self,
        request_id: int,
        worker_id: int,
        outcome: Outcome = Outcome.OK,
        attempt_index: int = 0,
        after_ms: float = 100.0,
        start_kind: StartKind = StartKind.WARM,
        is_final: bool | None = None,
    ) -> list[Action]:
        """An attempt ends so many ms after the last event; that is its latency too."""
        is_done = outcome is Outcome.OK if is_final is None else is_final
        return self.feed(
            AttemptEnded(request_id, attempt_index, worker_id, outcome, after_ms, is_done, start_kind, 0),
            after_ms,
        )

    def advance_to(self, until_ms: float) -> list[Action]:
        """Fire the timers that are due until then."""
        fired: list[Action] = []
        while True:
            timers = [action for action in self.actions if isinstance(action, SetTimer)]
            self.actions = [action for action in self.actions if not isinstance(action, SetTimer)]
            for timer in timers:
                if timer.at_ms > until_ms:
                    self.actions.append(timer)
                    continue
                self.now_ms = max(self.now_ms, timer.at_ms)
                fired.extend(self.feed(TimerFired(timer.token)))
            if all(timer.at_ms > until_ms for timer in timers):
                break
        self.now_ms = max(self.now_ms, until_ms)
        return fired


def sends(actions: list[Action]) -> list[int]:
    """The workers that attempts are started at."""
    return [action.worker_id for action in actions if isinstance(action, StartAttempt)]


def finals(actions: list[Action]) -> list[Action]:
    """The final answers."""
    return [action for action in actions if isinstance(action, (RejectRequest, FailRequest))]


class _Writes(pickle.Pickler):
    def __init__(self, raw: io.BytesIO, same: dict[int, object]) -> None:
        super().__init__(raw, pickle.HIGHEST_PROTOCOL)
        self.same = same

    def reducer_override(self, one: Any) -> Any:
        return (_shared, (id(one),)) if id(one) in self.same else NotImplemented


_SHARED: dict[int, object] = {}


def _shared(number: int) -> object:
    return _SHARED[number]


def copier(thing: Thing, shared: Iterable[object] = ()) -> Callable[[], Thing]:
    """Makes deep copies of a thing as it is now, many of one pickle; ``shared`` is not copied."""
    same, raw = {id(one): one for one in shared}, io.BytesIO()
    _SHARED.update(same)
    _Writes(raw, same).dump(thing)
    return functools.partial(pickle.loads, raw.getvalue())
