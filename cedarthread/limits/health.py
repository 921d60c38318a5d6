"""The health of workers: one score each, 0 sound to 1 broken, fed by failures and silence alike.

A circuit breaker (Nygard, Release It!, 2007) opens by the score, and lets one trial pass after a while."""

from __future__ import annotations

import random
from collections.abc import Iterable

from cedarthread import interface as i
from cedarthread.limits.state import OPEN_TIME, Attempt, WorkerView

TROUBLE_GAIN = 0.3  # two failures in a row eject, one does not, where a worker gets many own calls;
TROUBLE_MOST = 0.6  # where it gets few, one does: the next is seconds away
EJECT = 0.5  # score that opens the circuit breaker
EJECT_CAP = 0.4  # share of the workers set aside at most; past it the cause is common to all
SILENT_CAP = 0.8  # the same for silence: who answers nobody serves nobody, however many are so
OPEN_MOST = 12000.0  # ms until the half-open trial at most: they double at each relapse
LATE = 4.0  # times its expected time after which an attempt is overdue

_FAILED = (i.Outcome.ERROR, i.Outcome.RESET, i.Outcome.CONNECT_FAILED, i.Outcome.TIMEOUT)


def sound(view: WorkerView, now: float, safe: bool) -> bool:
    """The circuit breaker: closed, or half-open with no trial out and a safe request."""
    return not view.broken or (now >= view.open_until and not view.trial_out and safe)


def renew(view: WorkerView) -> None:
    """A worker that starts anew has done no harm yet."""
    view.trouble, view.broken, view.open_time = 0.0, False, OPEN_TIME


def symptom(view: WorkerView, others: Iterable[WorkerView], bad: float, cap: float, gain: float) -> bool:
    """Feed one observation, 0 sound to 1 broken, and open or close the breaker by it; true where it opens.

    ``others``: all workers, read only where it may open."""
    view.trouble += gain * (bad - view.trouble)
    if not view.broken and view.trouble > EJECT:
        all_of_them = list(others)
        if 1 + sum(v.broken for v in all_of_them) <= max(1.0, cap * len(all_of_them)):
            view.broken = True
            return True
    elif view.broken and view.trouble < EJECT / 2:
        view.broken, view.trial_out = False, False
        view.open_time = max(OPEN_TIME, view.open_time / 2)
    return False


def set_aside(view: WorkerView, now: float, scarce: float, rng: random.Random) -> None:
    """Until when the worker is left alone; ``scarce``: how rare own calls to one worker are, 1 and up.

    The fleet's trials of one sick worker would grow with its gateways: each tries as it would call."""
    span = min(view.open_time * scarce, OPEN_MOST)
    view.open_until = now + span * rng.uniform(0.75, 1.25)
    view.open_time = min(2 * view.open_time, OPEN_MOST)


def blame(
    view: WorkerView, now: float, event: i.AttemptEnded, attempt: Attempt, scarce: float
) -> tuple[float, float] | None:
    """How much an attempt that ended in a failure speaks against its worker: a cap and a gain, or nothing.

    Marks what else the end shows: a connection that broke, a worker that is down, an error in doubt."""
    outcome = event.outcome
    if outcome not in _FAILED or event.local:
        return None
    short = attempt.overdue or event.took < LATE * attempt.expected
    if event.note is i.CopyNote.LOAD_FAILED or (outcome is i.Outcome.TIMEOUT and short):
        return None  # a load that failed, silence that counts already, or a client with little time
    if outcome is i.Outcome.ERROR and not (attempt.known or attempt.trial):
        attempt.doubted = True
        return None  # that may be the client's doing, unless another worker serves it
    if outcome is i.Outcome.CONNECT_FAILED and event.unreached:
        view.down_at = now  # a connection that broke shows no more than itself: some break on any day
    elif outcome in (i.Outcome.CONNECT_FAILED, i.Outcome.RESET):
        if view.broke_at == now:
            return None  # all that was open on one connection ends at once
        view.broke_at = now
    gain = TROUBLE_GAIN  # time-outs and resets have other causes too
    if outcome is i.Outcome.ERROR or event.unreached:
        gain = min(gain * scarce, TROUBLE_MOST)
    return (SILENT_CAP if event.unreached else EJECT_CAP), gain
