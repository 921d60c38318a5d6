"""Outlier detection: a score for each worker, 0 healthy to 1 failed, raised by failures and lost responses.

A worker with a high score is ejected (Envoy's term), like an open circuit breaker (Nygard, Release It!,
2007). After the ejection time one half-open trial may be sent. The functions here write the outlier fields of
``WorkerRecord``. All times are ms on the monotonic clock, passed in by the caller.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.routing.records import BASE_EJECTION_MS, Attempt, WorkerRecord

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from cedarthread.model.events import AttemptEnded

# Score gain of a failure if own calls to the worker are frequent: two in a row eject it, one does not.
FAILURE_GAIN = 0.3
# Score gain of a failure if own calls to the worker are rare: one failure ejects it, because the next call is
# seconds away.
MAX_FAILURE_GAIN = 0.6
EJECTION_THRESHOLD = 0.5  # a worker with a higher score is ejected
RECOVERY_THRESHOLD = EJECTION_THRESHOLD / 2  # the ejection ends below this score
MAX_EJECTED_FRACTION = 0.4  # maximum fraction of ejected workers: if more workers fail, they share the cause
# Maximum fraction of ejected workers if they are unresponsive, where no call succeeds.
MAX_UNRESPONSIVE_EJECTED_FRACTION = 0.8
MAX_EJECTION_MS = 12000.0  # maximum time until the half-open trial; it doubles with each ejection
EJECTION_JITTER = 0.75, 1.25  # range of the random factor of the ejection time
OVERDUE_MULTIPLE = 4.0  # an attempt is overdue after this multiple of its expected time

_FAILURES = (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.TIMEOUT)


class FailureWeight(NamedTuple):
    """The effect of one failure on the outlier score of its worker."""

    max_ejected_fraction: float  # the failure may eject the worker only up to this ejected fraction
    gain: float  # fraction of the distance to 1 by which the score rises


def is_available(worker: WorkerRecord, now_ms: float, *, is_idempotent: bool) -> bool:
    """Return whether the worker is not ejected, or is half-open and may receive this request as a trial.

    Only an idempotent request may be a trial, and only one trial is in flight at a time.
    """
    return not worker.is_ejected or (
        now_ms >= worker.ejected_until_ms and not worker.has_trial_in_flight and is_idempotent
    )


def reset(worker: WorkerRecord) -> None:
    """Reset the score and the ejection of a worker that restarted."""
    worker.outlier_score = 0.0
    worker.is_ejected = False
    worker.ejection_ms = BASE_EJECTION_MS


def observe(
    worker: WorkerRecord,
    workers: Iterable[WorkerRecord],
    failure: float,
    max_ejected_fraction: float,
    gain: float,
) -> bool:
    """Add one observation to the worker's score and return whether it ejects the worker.

    Args:
        worker: The observed worker.
        workers: All workers; read only if the worker may be ejected.
        failure: 0 healthy to 1 failed.
        max_ejected_fraction: Fraction of all workers that may be ejected.
        gain: Weight of the observation, 0 to 1.
    """
    worker.outlier_score += gain * (failure - worker.outlier_score)
    if not worker.is_ejected and worker.outlier_score > EJECTION_THRESHOLD:
        all_workers = list(workers)
        ejected_count = 1 + sum(other.is_ejected for other in all_workers)
        if ejected_count <= max(1.0, max_ejected_fraction * len(all_workers)):
            worker.is_ejected = True
            return True
    elif worker.is_ejected and worker.outlier_score < RECOVERY_THRESHOLD:
        worker.is_ejected = False
        worker.has_trial_in_flight = False
        worker.ejection_ms = max(BASE_EJECTION_MS, worker.ejection_ms / 2)
    return False


def eject(worker: WorkerRecord, now_ms: float, sparse_traffic_factor: float, rng: random.Random) -> None:
    """Set the time of the next half-open trial of an ejected worker.

    The ejection time grows with ``sparse_traffic_factor`` (1 and up, higher if own calls to one worker are
    rare), so that the number of trials at a failed worker does not grow with the number of routers in the
    fleet.
    """
    ejection_ms = min(worker.ejection_ms * sparse_traffic_factor, MAX_EJECTION_MS)
    worker.ejected_until_ms = now_ms + ejection_ms * rng.uniform(*EJECTION_JITTER)
    worker.ejection_ms = min(2 * worker.ejection_ms, MAX_EJECTION_MS)


def failure_weight(
    worker: WorkerRecord, now_ms: float, event: AttemptEnded, attempt: Attempt, sparse_traffic_factor: float
) -> FailureWeight | None:
    """Return the effect of a failed attempt on its worker's outlier score; None: no effect.

    Also records a broken connection, an unreachable worker or a suspect error.
    """
    outcome = event.outcome
    if outcome not in _FAILURES or event.is_local or _is_excused(event, attempt):
        return None
    if outcome is Outcome.ERROR and not (attempt.is_function_known or attempt.is_trial):
        attempt.has_suspect_error = True
        return None  # the client may have caused the error, unless another worker serves the request
    if outcome is Outcome.CONNECT_FAILED and event.is_unreachable:
        # Set only here, because a broken connection does not indicate a restart: some break every day.
        worker.unreachable_at_ms = now_ms
    elif outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
        if worker.connection_broken_at_ms == now_ms:
            return None  # all attempts on one connection fail at once and count as one failure
        worker.connection_broken_at_ms = now_ms
    gain = FAILURE_GAIN  # timeouts and resets may have other causes, so sparse traffic does not raise it
    if outcome is Outcome.ERROR or event.is_unreachable:
        gain = min(gain * sparse_traffic_factor, MAX_FAILURE_GAIN)
    return FailureWeight(
        MAX_UNRESPONSIVE_EJECTED_FRACTION if event.is_unreachable else MAX_EJECTED_FRACTION, gain
    )


def _is_excused(event: AttemptEnded, attempt: Attempt) -> bool:
    """Return whether the failure does not count against the worker.

    These are a failed load of the instance, a timeout that ``observe_unresponsiveness`` has already
    counted, and a timeout due to a short deadline of the client.
    """
    if event.start_kind is StartKind.LOAD_FAILED:
        return True
    is_short = attempt.is_overdue or event.latency_ms < OVERDUE_MULTIPLE * attempt.expected_ms
    return event.outcome is Outcome.TIMEOUT and is_short
