"""Settings and a small driver for the tests of the module."""

from __future__ import annotations

import dataclasses
import functools
import io
import pickle
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

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


class Drive:
    """Feeds a router and keeps what it did."""

    def __init__(self, *workers: Endpoint, seed: int = 1, now: float = 1000.0, **changes: Any) -> None:
        self.router = Router(settings(**changes), seed)
        self.now = now
        self.actions: list[Action] = []
        self.ids = 0
        self.feed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(workers)))

    def feed(self, event: Event, after: float = 0.0) -> list[Action]:
        self.now += after
        out = self.router.handle(self.now, event)
        self.actions.extend(out)
        return out

    def ask(
        self,
        function_id: int = 7,
        class_index: int = 0,
        after: float = 0.0,
        left: float | None = None,
        **extra: Any,
    ) -> list[Action]:
        """A request with this much time left, or the deadline of its class."""
        self.ids += 1
        give_up = self.now + after + (CLASSES[class_index].deadline_ms if left is None else left)
        return self.feed(RequestArrived(self.ids, function_id, class_index, give_up, **extra), after)

    def end(
        self,
        request: int,
        at: int,
        outcome: Outcome = Outcome.OK,
        attempt: int = 0,
        after: float = 100.0,
        note: StartKind = StartKind.WARM,
        final: bool | None = None,
    ) -> list[Action]:
        done = outcome is Outcome.OK if final is None else final
        return self.feed(AttemptEnded(request, attempt, at, outcome, after, done, note, 0), after)

    def wait(self, upto: float) -> list[Action]:
        """Fire the timers that are due until then."""
        out: list[Action] = []
        while True:
            timers = [a for a in self.actions if isinstance(a, SetTimer)]
            self.actions = [a for a in self.actions if not isinstance(a, SetTimer)]
            for timer in timers:
                if timer.at_ms > upto:
                    self.actions.append(timer)
                    continue
                self.now = max(self.now, timer.at_ms)
                out.extend(self.feed(TimerFired(timer.token)))
            if all(t.at_ms > upto for t in timers):
                break
        self.now = max(self.now, upto)
        return out


def sends(actions: list[Action]) -> list[int]:
    return [a.worker_id for a in actions if isinstance(a, StartAttempt)]


def finals(actions: list[Action]) -> list[Action]:
    return [a for a in actions if isinstance(a, (RejectRequest, FailRequest))]


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
