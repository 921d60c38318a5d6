"""Factories for calls, attempts and dispatchers in the tests of the dispatch package."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.dispatch.calls import Attempt, AttemptResult, Call, Progress
from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.outcomes import Outcome
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fakes.settings import SETTINGS
from tests.helpers import CLASSES, UNSAFE, settings

if TYPE_CHECKING:
    from cedarthread.dispatch.calls import CallResult

ROUTER_SETTINGS = settings_from_object(SETTINGS)

# The values below are for the tests of the sending rules.
NOW_MS = 10_000.0
WORKER = 5
RULE_SETTINGS = settings()
NOT_IDEMPOTENT_INDEX = CLASSES.index(UNSAFE)


def make_call(request_id: int, body: bytes = b"xyz") -> Call:
    """Return a call of the first request class in the state in which the dispatcher accepts it."""
    call = Call(f"{request_id:016x}", 0, 7, 1000.0, body, lambda result: None)
    call.request_id = request_id
    call.class_name = ROUTER_SETTINGS.classes[0].name
    return call


def attempts_of_one_call(count: int = 1, class_index: int = 0) -> list[Attempt]:
    """Return the attempts of a new call, of which all but the last have ended and may have executed."""
    call = Call("a" * 16, class_index, 7, NOW_MS + 1000.0, b"", lambda result: None)
    for index in range(count):
        call.attempts.append(Attempt(call, index, WORKER, NOW_MS))
    for earlier in call.attempts[:-1]:
        earlier.is_ended = True
        earlier.progress = Progress.WRITTEN
    return call.attempts


def mark_first_in_flight(attempts: list[Attempt]) -> None:
    """Mark the first attempt as in flight again."""
    attempts[0].is_ended = False


class FakeTransport:
    """A worker transport that records sent and cancelled attempts."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.sent: list[Attempt] = []
        self.cancelled: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        attempt.progress = Progress.WRITTEN
        self.sent.append(attempt)

    def refresh_progress(self, attempt: Attempt) -> None: ...

    def withdraw_unsent(self, attempt: Attempt) -> None: ...

    def abort_incomplete(self, attempt: Attempt, *, settle_s: float = 0.0) -> None: ...

    def cancel(self, attempt: Attempt) -> None:
        self.cancelled.append(attempt)
        self.dispatcher.attempt_ended(attempt, AttemptResult(Outcome.CANCELLED))

    def preload(self, worker_id: int, function_id: int, instances: int) -> None: ...

    def unload(self, worker_id: int, function_id: int) -> None: ...

    def close_idle_connections(self, worker_id: int) -> None: ...


class ConnectedDispatcher(NamedTuple):
    """A dispatcher and its worker transport."""

    dispatcher: Dispatcher
    transport: FakeTransport


def make_dispatcher(worker_count: int = 2) -> ConnectedDispatcher:
    """Return a dispatcher with ready workers; requires a running event loop."""
    dispatcher = Dispatcher(settings_from_object(SETTINGS), 3)
    transport = FakeTransport(dispatcher)
    dispatcher.connect_workers(transport)
    endpoints = tuple(
        Endpoint(worker_id, 0, 0, 0, EndpointState.READY, None, None)
        for worker_id in range(1, worker_count + 1)
    )
    dispatcher.endpoints_changed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, endpoints))
    return ConnectedDispatcher(dispatcher, transport)


def submit_call(
    dispatcher: Dispatcher, results: list[CallResult], class_index: int = 0, limit_ms: float = 2000.0
) -> Call:
    """Submit a call with a time limit; its result is appended to ``results``."""
    call = Call("a" * 16, class_index, 7, dispatcher.clock() + limit_ms, b"x", results.append)
    dispatcher.submit(call)
    return call


async def run_iterations(count: int = 5) -> None:
    """Run iterations of the event loop."""
    for _ in range(count):
        await asyncio.sleep(0)
