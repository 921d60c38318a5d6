"""The health of workers: one score each, 0 sound to 1 broken, fed by failures and silence alike.

A circuit breaker (Nygard, Release It!, 2007) opens by the score, and lets one trial pass after a while."""

from __future__ import annotations

import random
from collections.abc import Iterable

from cedarthread.model.events import AttemptEnded
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.routing.state import BASE_EJECTION_MS, Attempt, WorkerRecord

FAILURE_GAIN = 0.3  # two failures in a row eject, one does not, where a worker gets many own calls;
MAX_FAILURE_GAIN = 0.6  # where it gets few, one does: the next is seconds away
EJECTION_THRESHOLD = 0.5  # score that opens the circuit breaker
MAX_EJECTED_FRACTION = 0.4  # share of the workers set aside at most; past it the cause is common to all
MAX_SILENT_EJECTED_FRACTION = (
    0.8  # the same for silence: who answers nobody serves nobody, however many are so
)
MAX_EJECTION_MS = 12000.0  # ms until the half-open trial at most: they double at each relapse
OVERDUE_MULTIPLE = 4.0  # times its expected time after which an attempt is overdue

_FAILURES = (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.TIMEOUT)


def is_available(view: WorkerRecord, now: float, is_idempotent: bool) -> bool:
    """The circuit breaker: closed, or half-open with no trial out and a safe request."""
    return not view.is_ejected or (
        now >= view.ejected_until_ms and not view.has_trial_in_flight and is_idempotent
    )


def reset(view: WorkerRecord) -> None:
    """A worker that starts anew has done no harm yet."""
    view.outlier_score, view.is_ejected, view.ejection_ms = 0.0, False, BASE_EJECTION_MS


def observe(
    view: WorkerRecord,
    workers: Iterable[WorkerRecord],
    failure: float,
    max_ejected_fraction: float,
    gain: float,
) -> bool:
    """Feed one observation, 0 sound to 1 broken, and open or close the breaker by it; true where it opens.

    ``others``: all workers, read only where it may open."""
    view.outlier_score += gain * (failure - view.outlier_score)
    if not view.is_ejected and view.outlier_score > EJECTION_THRESHOLD:
        all_of_them = list(workers)
        if 1 + sum(v.is_ejected for v in all_of_them) <= max(1.0, max_ejected_fraction * len(all_of_them)):
            view.is_ejected = True
            return True
    elif view.is_ejected and view.outlier_score < EJECTION_THRESHOLD / 2:
        view.is_ejected, view.has_trial_in_flight = False, False
        view.ejection_ms = max(BASE_EJECTION_MS, view.ejection_ms / 2)
    return False


def eject(view: WorkerRecord, now: float, call_rarity: float, rng: random.Random) -> None:
    """Until when the worker is left alone; ``scarce``: how rare own calls to one worker are, 1 and up.

    The fleet's trials of one sick worker would grow with its gateways: each tries as it would call."""
    span = min(view.ejection_ms * call_rarity, MAX_EJECTION_MS)
    view.ejected_until_ms = now + span * rng.uniform(0.75, 1.25)
    view.ejection_ms = min(2 * view.ejection_ms, MAX_EJECTION_MS)


def ejection_weight(
    view: WorkerRecord, now: float, event: AttemptEnded, attempt: Attempt, call_rarity: float
) -> tuple[float, float] | None:
    """How much an attempt that ended in a failure speaks against its worker: a cap and a gain, or nothing.

    Marks what else the end shows: a connection that broke, a worker that is down, an error in doubt."""
    outcome = event.outcome
    if outcome not in _FAILURES or event.is_local:
        return None
    short = attempt.is_overdue or event.latency_ms < OVERDUE_MULTIPLE * attempt.expected_ms
    if event.start_kind is StartKind.LOAD_FAILED or (outcome is Outcome.TIMEOUT and short):
        return None  # a load that failed, silence that counts already, or a client with little time
    if outcome is Outcome.ERROR and not (attempt.is_function_known or attempt.is_trial):
        attempt.has_suspect_error = True
        return None  # that may be the client's doing, unless another worker serves it
    if outcome is Outcome.CONNECT_FAILED and event.is_unreachable:
        view.unreachable_at_ms = (
            now  # a connection that broke shows no more than itself: some break on any day
        )
    elif outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
        if view.connection_broken_at_ms == now:
            return None  # all that was open on one connection ends at once
        view.connection_broken_at_ms = now
    gain = FAILURE_GAIN  # time-outs and resets have other causes too
    if outcome is Outcome.ERROR or event.is_unreachable:
        gain = min(gain * call_rarity, MAX_FAILURE_GAIN)
    return (MAX_SILENT_EJECTED_FRACTION if event.is_unreachable else MAX_EJECTED_FRACTION), gain
