"""Settings, endpoints and a driver for tests of the router, and fast deep copies for model checking."""

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

Copied = TypeVar("Copied")
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
    """Return router settings with these changes."""
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
        instance_keep_alive_ms=10000.0,
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
    started_at_ms: float | None = None,
) -> Endpoint:
    """Return the endpoint of a worker; ``started_at_ms`` is None if its start is long ago."""
    return Endpoint(number, zone, 0, cell, state, 1.0, started_at_ms)


class RouterDriver:
    """A router with a simulated clock, and the actions that the router returned.

    Args:
        *workers: Endpoints that the router knows from the start.
        seed: The router's random seed.
        now_ms: Time of the start.
        **changes: Changes to the settings.
    """

    def __init__(self, *workers: Endpoint, seed: int = 1, now_ms: float = 1000.0, **changes: Any) -> None:
        self.router = Router(settings(**changes), seed)
        self.now_ms = now_ms
        self.actions: list[Action] = []
        self.last_request_id = 0
        self.feed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(workers)))

    def feed(self, event: Event, after_ms: float = 0.0) -> list[Action]:
        """Let the router handle an event ``after_ms`` after the last one; return its actions."""
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
        """Send a request with this time to its deadline, by default the time that its class allows."""
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
        """End an attempt ``after_ms`` after the last event, which is also its latency; return the actions.

        ``is_final`` says whether the client has received its response; by default, if the outcome is OK.
        """
        is_last = outcome is Outcome.OK if is_final is None else is_final
        return self.feed(
            AttemptEnded(request_id, attempt_index, worker_id, outcome, after_ms, is_last, start_kind, 0),
            after_ms,
        )

    def advance_to(self, until_ms: float) -> list[Action]:
        """Fire all timers that are due by ``until_ms``, even those set meanwhile; return the actions."""
        returned: list[Action] = []
        while True:
            timers = [action for action in self.actions if isinstance(action, SetTimer)]
            self.actions = [action for action in self.actions if not isinstance(action, SetTimer)]
            for timer in timers:
                if timer.at_ms > until_ms:
                    self.actions.append(timer)
                    continue
                self.now_ms = max(self.now_ms, timer.at_ms)
                returned.extend(self.feed(TimerFired(timer.token)))
            if all(timer.at_ms > until_ms for timer in timers):
                break
        self.now_ms = max(self.now_ms, until_ms)
        return returned


def attempted_worker_ids(actions: list[Action]) -> list[int]:
    """Return the ids of the workers to which the actions send attempts."""
    return [action.worker_id for action in actions if isinstance(action, StartAttempt)]


def final_failures(actions: list[Action]) -> list[Action]:
    """Return the actions that end a request without success."""
    return [action for action in actions if isinstance(action, (RejectRequest, FailRequest))]


_SHARED_BY_ID: dict[int, object] = {}  # keeps the objects alive, so that each id in a pickle remains valid


class _SharingPickler(pickle.Pickler):
    """A pickler that writes a reference in place of each shared object."""

    def __init__(self, buffer: io.BytesIO, shared_by_id: dict[int, object]) -> None:
        super().__init__(buffer, pickle.HIGHEST_PROTOCOL)
        self.shared_by_id = shared_by_id

    def reducer_override(self, item: Any) -> Any:
        return (_shared_object, (id(item),)) if id(item) in self.shared_by_id else NotImplemented


def _shared_object(object_id: int) -> object:
    return _SHARED_BY_ID[object_id]


def make_copier(original: Copied, shared: Iterable[object] = ()) -> Callable[[], Copied]:
    """Return a function that returns deep copies of the original as it is now.

    All copies are read from one pickle, which is faster than ``copy.deepcopy`` for many copies. The copies
    refer to the same ``shared`` objects.
    """
    shared_by_id = {id(item): item for item in shared}
    buffer = io.BytesIO()
    _SHARED_BY_ID.update(shared_by_id)
    _SharingPickler(buffer, shared_by_id).dump(original)
    return functools.partial(pickle.loads, buffer.getvalue())
