"""The load that the peers reported by gossip, with expiry.

A report replaces an earlier one only if its sequence number is higher within the same incarnation of the
sender. In-flight calls expire ``IN_FLIGHT_EXPIRY_MS`` after their last report; warm instances expire after
the workers' keep-alive time. ``LoadGossip`` updates the views. Times are ms on this router's monotonic
clock.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cedarthread.gossip import codec

REFRESH_INTERVAL_MS = 1000.0  # interval at which a router resends unchanged entries with in-flight calls
# Age at which an in-flight entry expires, so that one lost refresh does not expire it.
IN_FLIGHT_EXPIRY_MS = 2.5 * REFRESH_INTERVAL_MS
MAX_IN_FLIGHT_PER_PEER = 64  # cap on one peer's reported calls at one worker, against false reports
FULL_STATE_INTERVAL_MS = 1000.0  # shortest interval between two full states sent to one peer
COVERAGE_CACHE_MS = 50.0  # lifetime of a computed peer coverage, because each call reads it several times
MAX_PAST_INCARNATIONS = 4  # past incarnations of a peer to remember, in order to drop their late datagrams


class WorkerReport(NamedTuple):
    """A peer's report of its in-flight calls at one worker."""

    in_flight: int
    sequence_number: int
    received_at_ms: float


@dataclass(slots=True)
class InstanceReport:
    """A peer's report of one function at one worker."""

    in_flight: int
    warm_at_ms: float | None
    sequence_number: int
    received_at_ms: float

    def is_expired(self, now_ms: float, keep_alive_ms: float) -> bool:
        """Return whether both the in-flight calls and the warm instance of the report have expired."""
        is_warm = self.warm_at_ms is not None and now_ms - self.warm_at_ms <= keep_alive_ms
        return now_ms - self.received_at_ms > IN_FLIGHT_EXPIRY_MS and not is_warm


@dataclass(slots=True)
class PeerView:
    """The reports of one peer in its current incarnation."""

    incarnation: int
    received_at_ms: float  # time at which its last datagram arrived
    workers: dict[int, WorkerReport] = field(default_factory=dict)
    # Reports by function hash and then by worker id.
    instances_by_function: dict[int, dict[int, InstanceReport]] = field(default_factory=dict)
    full_state_sent_at_ms: float = -math.inf
    past_incarnations: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_PAST_INCARNATIONS))


# A worker id and the report on that worker; a plain tuple, because each call builds several.
WorkerAndReport = tuple[int, InstanceReport]


class PeerViews:
    """The views of all peers that have ever sent gossip, by router index."""

    def __init__(self) -> None:
        self.views: dict[int, PeerView] = {}
        self.full_state_requests: list[int] = []  # peers to send a full state to, in order of arrival
        self._coverage = 0.0
        self._coverage_valid_until_ms = -math.inf

    def merge(self, now_ms: float, sender_index: int, update: codec.LoadUpdate) -> dict[int, float]:
        """Merge a peer's update; return all peers' in-flight calls at each worker in the update."""
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
        """Return the sender's view, new if its incarnation is new; None if the incarnation is a past one."""
        view = self.views.get(sender_index)
        if view is None or view.incarnation != incarnation:
            earlier = view.past_incarnations if view is not None else ()
            past_incarnations = deque(earlier, MAX_PAST_INCARNATIONS)
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
        """Return all peers' in-flight calls at a worker, without expired reports."""
        reports = (view.workers.get(worker_id) for view in self.views.values())
        return float(
            sum(
                report.in_flight
                for report in reports
                if report is not None and now_ms - report.received_at_ms <= IN_FLIGHT_EXPIRY_MS
            )
        )

    def coverage(self, now_ms: float, peer_count: int) -> float:
        """Return the fraction of the other routers that sent gossip recently, 0 to 1."""
        if now_ms >= self._coverage_valid_until_ms:
            reporting_peers = sum(
                now_ms - view.received_at_ms <= IN_FLIGHT_EXPIRY_MS for view in self.views.values()
            )
            self._coverage_valid_until_ms = now_ms + COVERAGE_CACHE_MS
            self._coverage = reporting_peers / max(1, peer_count)
        return self._coverage

    def reset_coverage(self) -> None:
        """Discard the cached coverage, because the set of peers has changed."""
        self._coverage = 0.0
        self._coverage_valid_until_ms = -math.inf

    def instance_reports(self, function_hash: int) -> list[WorkerAndReport]:
        """Return all peers' reports of a function with their worker ids, including expired reports."""
        return [
            worker_and_report
            for view in self.views.values()
            for worker_and_report in view.instances_by_function.get(function_hash, {}).items()
        ]

    def discard_instance(self, worker_id: int, function_hash: int) -> None:
        """Drop the peers' reports of a function at a worker, because this router found no instance there."""
        for view in self.views.values():
            view.instances_by_function.get(function_hash, {}).pop(worker_id, None)

    def forget_warm_instances(self, worker_id: int) -> None:
        """Drop the peers' reports of the instances at a worker that was removed or restarted."""
        for view in self.views.values():
            for reports in view.instances_by_function.values():
                reports.pop(worker_id, None)

    def expire(self, now_ms: float, keep_alive_ms: float) -> dict[int, float]:
        """Drop expired reports; return the remaining in-flight calls at each worker that lost one."""
        changed_workers: dict[int, None] = {}  # a dictionary, because it preserves the order
        for view in self.views.values():
            expired = [
                worker_id
                for worker_id, report in view.workers.items()
                if now_ms - report.received_at_ms > IN_FLIGHT_EXPIRY_MS
            ]
            for worker_id in expired:
                del view.workers[worker_id]
                changed_workers[worker_id] = None
            _expire_instances(now_ms, view, keep_alive_ms)
        return {worker_id: self.in_flight(now_ms, worker_id) for worker_id in changed_workers}


def _merge_worker(now_ms: float, view: PeerView, update: codec.WorkerUpdate, sequence_number: int) -> None:
    previous = view.workers.get(update.worker_id)
    if sequence_number > (0 if previous is None else previous.sequence_number):
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
        expired = [
            worker_id for worker_id, report in reports.items() if report.is_expired(now_ms, keep_alive_ms)
        ]
        for worker_id in expired:
            del reports[worker_id]
        if not reports:
            del view.instances_by_function[function_hash]
