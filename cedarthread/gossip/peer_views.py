"""What the other routers reported of their load, by sender, and how long each entry counts.

A report is accepted only if it is newer, by sequence number within the sender's incarnation, than what is
known. In-flight calls expire when they were not reported again for `IN_FLIGHT_EXPIRY_MS`; warm instances
expire with the workers' keep-alive time. Times are ms on this router's steady clock.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cedarthread.gossip import codec

REFRESH_INTERVAL_MS = 1000.0  # after which a router sends an unchanged entry with calls in flight again
IN_FLIGHT_EXPIRY_MS = 2.5 * REFRESH_INTERVAL_MS  # so that one lost refresh does not expire an entry
MAX_IN_FLIGHT_PER_PEER = 64  # calls at one worker that one peer is believed at most: bounds what a lie can do
FULL_STATE_INTERVAL_MS = 1000.0  # between two full states sent to one peer
COVERAGE_CACHE_MS = 50.0  # for which a computed peer coverage is used again: each call reads it several times
MAX_PAST_INCARNATIONS = 4  # of a peer that are remembered, so that late datagrams of theirs are dropped


class WorkerReport(NamedTuple):
    """In-flight calls at one worker as one peer reported them."""

    in_flight: int
    sequence_number: int
    received_at_ms: float


@dataclass(slots=True)
class InstanceReport:
    """One function at one worker as one peer reported it."""

    in_flight: int
    warm_at_ms: float | None
    sequence_number: int
    received_at_ms: float

    def is_expired(self, now_ms: float, keep_alive_ms: float) -> bool:
        """Neither its in-flight calls nor its warm instance count any more."""
        is_warm = self.warm_at_ms is not None and now_ms - self.warm_at_ms <= keep_alive_ms
        return now_ms - self.received_at_ms > IN_FLIGHT_EXPIRY_MS and not is_warm


@dataclass(slots=True)
class PeerView:
    """All that one peer reported in its current incarnation."""

    incarnation: int
    received_at_ms: float  # of its last datagram
    workers: dict[int, WorkerReport] = field(default_factory=dict)
    # By function hash, then by worker id.
    instances_by_function: dict[int, dict[int, InstanceReport]] = field(default_factory=dict)
    full_state_sent_at_ms: float = -math.inf
    past_incarnations: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_PAST_INCARNATIONS))


class PeerViews:
    """The views of all peers that were ever heard, by router index."""

    def __init__(self) -> None:
        self.views: dict[int, PeerView] = {}
        self.full_state_requests: list[int] = []  # peers that wait for a full state, in order of arrival
        self._coverage, self._coverage_valid_until_ms = 0.0, -math.inf

    def merge(self, now_ms: float, sender_index: int, update: codec.LoadUpdate) -> dict[int, float]:
        """Take a peer's datagram; returns the peers' in-flight calls at each worker that it mentions."""
        view = self._current_view(now_ms, sender_index, update.incarnation)
        if view is None:
            return {}
        if update.requests_full_state and now_ms - view.full_state_sent_at_ms >= FULL_STATE_INTERVAL_MS:
            view.full_state_sent_at_ms = now_ms
            self.full_state_requests.append(sender_index)
        for worker in update.workers:
            _merge_worker(now_ms, view, worker, update.sequence_number)
        return {worker.worker_id: self.in_flight(now_ms, worker.worker_id) for worker in update.workers}

    def _current_view(self, now_ms: float, sender_index: int, incarnation: int) -> PeerView | None:
        """The sender's view in this incarnation, empty if it is a new one; None for a past incarnation."""
        view = self.views.get(sender_index)
        if view is None or view.incarnation != incarnation:
            known = view.past_incarnations if view is not None else ()
            past_incarnations = deque(known, MAX_PAST_INCARNATIONS)
            if incarnation in past_incarnations:
                return None
            if view is not None:
                past_incarnations.append(view.incarnation)
            view = PeerView(incarnation, now_ms, past_incarnations=past_incarnations)
            self.views[sender_index] = view
            self.reset_coverage()
        view.received_at_ms = now_ms
        return view

    def in_flight(self, now_ms: float, worker_id: int) -> float:
        """The peers' calls in flight at a worker, as far as they were reported lately."""
        reports = (view.workers.get(worker_id) for view in self.views.values())
        return float(
            sum(
                report.in_flight
                for report in reports
                if report is not None and now_ms - report.received_at_ms <= IN_FLIGHT_EXPIRY_MS
            )
        )

    def coverage(self, now_ms: float, peer_count: int) -> float:
        """The fraction of the other routers that were heard lately, 0 to 1."""
        if now_ms >= self._coverage_valid_until_ms:
            heard = sum(now_ms - view.received_at_ms <= IN_FLIGHT_EXPIRY_MS for view in self.views.values())
            self._coverage_valid_until_ms = now_ms + COVERAGE_CACHE_MS
            self._coverage = heard / max(1, peer_count)
        return self._coverage

    def reset_coverage(self) -> None:
        """The set of peers has changed: compute the coverage anew."""
        self._coverage, self._coverage_valid_until_ms = 0.0, -math.inf

    def instance_reports(self, function_hash: int) -> list[tuple[int, InstanceReport]]:
        """What each peer reported of a function, expired reports included, with the worker's id."""
        return [
            worker_and_report
            for view in self.views.values()
            for worker_and_report in view.instances_by_function.get(function_hash, {}).items()
        ]

    def discard_instance(self, worker_id: int, function_hash: int) -> None:
        """This router found no instance there, whatever the peers reported."""
        for view in self.views.values():
            view.instances_by_function.get(function_hash, {}).pop(worker_id, None)

    def forget_warm_instances(self, worker_id: int) -> None:
        """The worker was removed or restarted: drop what was reported of its instances."""
        for view in self.views.values():
            for reports in view.instances_by_function.values():
                reports.pop(worker_id, None)

    def expire(self, now_ms: float, keep_alive_ms: float) -> dict[int, float]:
        """Drop expired reports; returns the peers' in-flight calls at each worker where that changed them."""
        changed_workers: dict[int, None] = {}
        for view in self.views.values():
            for worker_id in [
                worker_id
                for worker_id, report in view.workers.items()
                if now_ms - report.received_at_ms > IN_FLIGHT_EXPIRY_MS
            ]:
                del view.workers[worker_id]
                changed_workers[worker_id] = None
            _expire_instances(now_ms, view, keep_alive_ms)
        return {worker_id: self.in_flight(now_ms, worker_id) for worker_id in changed_workers}


def _merge_worker(now_ms: float, view: PeerView, update: codec.WorkerUpdate, sequence_number: int) -> None:
    known = view.workers.get(update.worker_id)
    if sequence_number > (0 if known is None else known.sequence_number):
        in_flight = min(update.in_flight, MAX_IN_FLIGHT_PER_PEER)
        view.workers[update.worker_id] = WorkerReport(in_flight, sequence_number, now_ms)
    for instance in update.instances:
        reports = view.instances_by_function.setdefault(instance.function_hash, {})
        if update.worker_id not in reports or sequence_number > reports[update.worker_id].sequence_number:
            reports[update.worker_id] = InstanceReport(
                min(instance.in_flight, MAX_IN_FLIGHT_PER_PEER),
                None if instance.warm_age_ms is None else now_ms - instance.warm_age_ms,
                sequence_number,
                now_ms,
            )


def _expire_instances(now_ms: float, view: PeerView, keep_alive_ms: float) -> None:
    for function_hash, reports in list(view.instances_by_function.items()):
        for worker_id in [
            worker_id for worker_id, report in reports.items() if report.is_expired(now_ms, keep_alive_ms)
        ]:
            del reports[worker_id]
        if not reports:
            del view.instances_by_function[function_hash]
