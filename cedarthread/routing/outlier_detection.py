"""Outlier detection: a score for each worker, 0 healthy to 1 failed, fed by failures and silence alike.

A circuit breaker (Nygard, Release It!, 2007) opens by the score: the worker is ejected, in Envoy's term.
After a while it lets one half-open trial pass. All times are ms of the clock that is handed in.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.routing.records import BASE_EJECTION_MS, Attempt, WorkerRecord

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from cedarthread.model.events import AttemptEnded

FAILURE_GAIN = 0.3  # two failures in a row eject, one does not, where a worker gets many own calls;
MAX_FAILURE_GAIN = 0.6  # where it gets few, one does: the next is seconds away
EJECTION_THRESHOLD = 0.5  # score that ejects a worker
RECOVERY_THRESHOLD = EJECTION_THRESHOLD / 2  # score that ends its ejection
MAX_EJECTED_FRACTION = 0.4  # of the workers; past it the cause is common to all
MAX_SILENT_EJECTED_FRACTION = 0.8  # the same for silence: who answers nobody serves nobody
MAX_EJECTION_MS = 12000.0  # ms until the half-open trial at most: they double at each relapse
EJECTION_JITTER = 0.75, 1.25  # parts of an ejection's time between which it is drawn
OVERDUE_MULTIPLE = 4.0  # times its expected time after which an attempt is overdue

_FAILURES = (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.TIMEOUT)


class FailureWeight(NamedTuple):
    """How much one failure speaks against its worker."""

    max_ejected_fraction: float  # it ejects no more workers than this part of them
    gain: float  # part of the way that it moves the score towards 1


def is_available(worker: WorkerRecord, now_ms: float, is_idempotent: bool) -> bool:
    """Not ejected, or half-open with no trial in flight and an idempotent request."""
    return not worker.is_ejected or (
        now_ms >= worker.ejected_until_ms and not worker.has_trial_in_flight and is_idempotent
    )


def reset(worker: WorkerRecord) -> None:
    """A worker that starts anew has done no harm yet."""
    worker.outlier_score, worker.is_ejected, worker.ejection_ms = 0.0, False, BASE_EJECTION_MS


def observe(
    worker: WorkerRecord,
    workers: Iterable[WorkerRecord],
    failure: float,
    max_ejected_fraction: float,
    gain: float,
) -> bool:
    """Take in one observation, 0 healthy to 1 failed; true where it ejects the worker.

    ``workers``: all of them, read only where the worker may be ejected.
    """
    worker.outlier_score += gain * (failure - worker.outlier_score)
    if not worker.is_ejected and worker.outlier_score > EJECTION_THRESHOLD:
        all_workers = list(workers)
        ejected_then = 1 + sum(other.is_ejected for other in all_workers)
        if ejected_then <= max(1.0, max_ejected_fraction * len(all_workers)):
            worker.is_ejected = True
            return True
    elif worker.is_ejected and worker.outlier_score < RECOVERY_THRESHOLD:
        worker.is_ejected, worker.has_trial_in_flight = False, False
        worker.ejection_ms = max(BASE_EJECTION_MS, worker.ejection_ms / 2)
    return False


def eject(worker: WorkerRecord, now_ms: float, call_rarity: float, rng: random.Random) -> None:
    """Set until when the worker is left alone. ``call_rarity``: how rare own calls to one worker are, 1 up.

    The fleet's trials of one failed worker would grow with its routers: each tries as it would call.
    """
    ejection_ms = min(worker.ejection_ms * call_rarity, MAX_EJECTION_MS)
    worker.ejected_until_ms = now_ms + ejection_ms * rng.uniform(*EJECTION_JITTER)
    worker.ejection_ms = min(2 * worker.ejection_ms, MAX_EJECTION_MS)


def failure_weight(
    worker: WorkerRecord, now_ms: float, event: AttemptEnded, attempt: Attempt, call_rarity: float
) -> FailureWeight | None:
    """How much an attempt that ended in a failure speaks against its worker; None: not at all.

    Marks what else the end shows: a broken connection, a worker that is down, a suspect error.
    """
    outcome = event.outcome
    if outcome not in _FAILURES or event.is_local or _is_excused(event, attempt):
        return None
    if outcome is Outcome.ERROR and not (attempt.is_function_known or attempt.is_trial):
        attempt.has_suspect_error = True
        return None  # that may be the client's doing, unless another worker serves it
    if outcome is Outcome.CONNECT_FAILED and event.is_unreachable:
        # A broken connection shows no more than itself: some break on any day.
        worker.unreachable_at_ms = now_ms
    elif outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
        if worker.connection_broken_at_ms == now_ms:
            return None  # all that was in flight on one connection ends at once
        worker.connection_broken_at_ms = now_ms
    gain = FAILURE_GAIN  # time-outs and resets have other causes too
    if outcome is Outcome.ERROR or event.is_unreachable:
        gain = min(gain * call_rarity, MAX_FAILURE_GAIN)
    return FailureWeight(MAX_SILENT_EJECTED_FRACTION if event.is_unreachable else MAX_EJECTED_FRACTION, gain)


def _is_excused(event: AttemptEnded, attempt: Attempt) -> bool:
    """A load that failed, silence that counts already, or a client with little time."""
    if event.start_kind is StartKind.LOAD_FAILED:
        return True
    is_short = attempt.is_overdue or event.latency_ms < OVERDUE_MULTIPLE * attempt.expected_ms
    return event.outcome is Outcome.TIMEOUT and is_short
