"""Injected defects of the replicated store: each breaks one rule of docs/design/replication.md.

The observer of simulations must find each of them, and the model checker some. For tests only, never loaded
when serving.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.replication.freshness import FreshnessTracker
from cedarthread.replication.majority import ChangeCohort, MajorityTracker
from cedarthread.replication.messages import AGE_UNKNOWN, SyncResponse
from cedarthread.replication.state import ReplicaState
from cedarthread.replication.sync_requests import SyncRequests
from cedarthread.replication.sync_session import SyncSession, SyncSessions

if TYPE_CHECKING:
    from collections.abc import Callable

_record_response = FreshnessTracker.record_response
_record_read = FreshnessTracker._record_read
_count_holders = MajorityTracker._count_holders


class Defect(NamedTuple):
    """A method, and the defective function that replaces it."""

    owner: type
    method: str
    replacement: Callable[..., object]


def _count_from_reception(
    self: FreshnessTracker, now_ms: float, peer: int, sent_at_ms: float, response: SyncResponse
) -> None:
    _record_response(self, now_ms, peer, now_ms, response)


def _need_one_read(self: FreshnessTracker) -> float:
    return sorted(self.read_as_voter_at_ms)[-1] + self.window_ms


def _record_as_voter(
    self: FreshnessTracker,
    router: int,
    read_at_ms: float,
    confirmation_times: list[list[float]],
    *,
    is_voter: bool,
) -> None:
    _record_read(self, router, read_at_ms, confirmation_times, is_voter=True)


def _count_one_more(self: MajorityTracker, now_ms: float, cohort: ChangeCohort) -> int:
    return _count_holders(self, now_ms, cohort) + 1


def _count_without_expiry(self: MajorityTracker, now_ms: float, cohort: ChangeCohort) -> int:
    return _count_holders(self, -math.inf, cohort)


def _round_down(self: FreshnessTracker, age_ms: float, steps_per_ms: float) -> int:
    return min(AGE_UNKNOWN, int(age_ms * steps_per_ms / 1.2))


def _vote_by_early_reads(self: FreshnessTracker, now_ms: float) -> bool:
    voters = sum(read_at_ms >= self.started_at_ms for read_at_ms in self.read_as_voter_at_ms)
    return voters > self.router_count - self.quorum


def _confirm_at_once(self: SyncSessions, now_ms: float, session: SyncSession) -> bool:
    self.replica.freshness.record_response(now_ms, session.peer, session.sent_at_ms, session.response)
    self.replica.update_freshness(now_ms)
    return session.root_digest in self.replica.state.covered_roots


def _draw_short_nonce(self: SyncRequests) -> int:
    return self.rng.getrandbits(2)


def _always(*_: object) -> bool:
    return True


DEFECTS = {
    "ages count from the reception": Defect(FreshnessTracker, "record_response", _count_from_reception),
    "a minority of reads makes fresh": Defect(FreshnessTracker, "_compute_fresh_until", _need_one_read),
    "non-voters count": Defect(FreshnessTracker, "_record_read", _record_as_voter),
    "a minority of holders makes replicated": Defect(MajorityTracker, "_count_holders", _count_one_more),
    "the last merged version wins": Defect(ReplicaState, "supersedes", _always),
    "nonces repeat": Defect(SyncRequests, "_new_nonce", _draw_short_nonce),
    "ages are rounded down": Defect(FreshnessTracker, "_age_in_steps", _round_down),
    "a response counts before its entries are stored": Defect(
        SyncSessions, "_confirm_if_covered", _confirm_at_once
    ),
    "a restarted router votes at once": Defect(FreshnessTracker, "can_become_voter", _always),
    "reads within V after the start count for the vote": Defect(
        FreshnessTracker, "can_become_voter", _vote_by_early_reads
    ),
    "confirmations never expire": Defect(MajorityTracker, "_count_holders", _count_without_expiry),
    "a summary of a later incarnation counts": Defect(SyncSessions, "_is_same_incarnation", _always),
}
