"""Helpers for router tests: filters of actions by kind, and setup of common states."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from cedarthread.model.actions import Action, CancelAttempt, PreloadFunction, SetTimer, StartAttempt
from cedarthread.model.events import AttemptEnded
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.routing.records import FunctionRecord
from cedarthread.routing.rendezvous import hash64
from tests.helpers import RouterDriver, attempted_worker_ids, worker

if TYPE_CHECKING:
    from cedarthread.model.endpoints import Endpoint

FUNCTION_ID = 7  # the function that ``RouterDriver`` calls by default


def workers(count: int) -> list[Endpoint]:
    """Return this many ready workers with ids from 1."""
    return [worker(worker_id) for worker_id in range(1, count + 1)]


def preloads(actions: list[Action]) -> list[PreloadFunction]:
    """Return the preloads among the actions."""
    return [action for action in actions if isinstance(action, PreloadFunction)]


def cancellations(actions: list[Action]) -> list[CancelAttempt]:
    """Return the cancelled attempts among the actions."""
    return [action for action in actions if isinstance(action, CancelAttempt)]


def timers(actions: list[Action]) -> list[SetTimer]:
    """Return the requested timers among the actions."""
    return [action for action in actions if isinstance(action, SetTimer)]


def last_worker_of(driver: RouterDriver, request_id: int) -> int:
    """Return the worker id of the last attempt of a request."""
    starts = [action for action in driver.actions if isinstance(action, StartAttempt)]
    return [action.worker_id for action in starts if action.request_id == request_id][-1]


def call_other_functions(driver: RouterDriver, function_count: int = 40) -> None:
    """Call many other functions, so that the function under test is a small fraction of the calls."""
    for function_id in range(100, 100 + function_count):
        (worker_id,) = attempted_worker_ids(driver.send_request(function_id))
        driver.end_attempt(driver.last_request_id, worker_id, after_ms=1.0)


def make_warm(driver: RouterDriver, affinity: dict[int, float], concurrency: float = 1.0) -> FunctionRecord:
    """Set the default function's affinities by worker id, as if it had just been called there."""
    function = driver.router.functions.setdefault(
        FUNCTION_ID, FunctionRecord(hash64(FUNCTION_ID), concurrency)
    )
    function.affinity.update(affinity)
    function.last_sent_at_ms.update(dict.fromkeys(affinity, driver.now_ms))
    function.instance_seen_at_ms.update(dict.fromkeys(affinity, driver.now_ms))
    return function


def serve_calls(driver: RouterDriver, count: int = 200, class_count: int = 1, **fields: Any) -> None:
    """Send calls sequentially; each is served after 20 ms."""
    for number in range(count):
        driver.send_request(class_index=number % class_count, **fields)
        driver.end_attempt(driver.last_request_id, attempted_worker_ids(driver.actions)[-1], after_ms=20.0)


def fail_connection(
    driver: RouterDriver,
    request_id: int,
    worker_id: int,
    outcome: Outcome,
    *,
    is_unreachable: bool,
    after_ms: float = 10.0,
) -> None:
    """End the first attempt of a request with a reset or a failed connect."""
    event = AttemptEnded(
        request_id,
        0,
        worker_id,
        outcome,
        after_ms,
        False,
        StartKind.UNKNOWN,
        0,
        is_unreachable=is_unreachable,
    )
    driver.feed(event, after_ms)
