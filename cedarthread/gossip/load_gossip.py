"""The load gossip component: sends this router's load to its peers and merges their load.

Routers share workers, and each router sees only its own calls. Through gossip a router learns the in-flight
calls and the warm instances of the others. An entry is the load of one function at one worker; a byte budget
paces the datagrams with changed entries. With up to ``MAX_FANOUT`` peers each datagram is sent to all of
them, otherwise to one peer at random. A router that starts requests the full state of its peers: the entries
with warm instances.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES, MalformedDatagram
from cedarthread.components.messages import MessageType, OutboundMessage
from cedarthread.components.notifications import Notification, PeersChanged, SettingsChanged
from cedarthread.gossip import codec
from cedarthread.gossip.local_load import LocalLoadTable
from cedarthread.gossip.peer_views import IN_FLIGHT_EXPIRY_MS, REFRESH_INTERVAL_MS, PeerViews
from cedarthread.gossip.send_budget import SendBudget
from cedarthread.model.actions import SendToPeer
from cedarthread.model.instance_load import InstanceLoad

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cedarthread.model.settings import RouterSettings

MIN_SEND_INTERVAL_MS = 25.0  # minimum time between two batches, so that several changes share one datagram
MAX_FANOUT = 4  # most peers to which each datagram is sent; with more peers, one at random receives it
MAX_FULL_STATE_DATAGRAMS = 6  # maximum number of datagrams in response to one request for the full state
_RNG_SALT = 0x7461_6C6B  # makes this component's random sequence differ from others with the same seed
_NO_LOAD = InstanceLoad(0, None)


class LoadGossip:
    """The sender and receiver of load gossip in one router.

    ``changed_workers`` maps a worker id to the peers' in-flight calls there, for each worker where they have
    changed; the host reads and clears the dictionary.

    Args:
        settings: The settings of this router.
        seed: The seed of all random decisions.
        incarnation: A random number that the caller draws at each start of the process; None: the number is
            drawn from the seed. With an unchanged seed, peers would drop this router's datagrams after a
            restart as older than those they have already merged.
    """

    message_types = frozenset({MessageType.GOSSIP})

    def __init__(self, settings: RouterSettings, seed: int, incarnation: int | None = None) -> None:
        self.rng = random.Random(seed ^ _RNG_SALT)
        drawn = self.rng.getrandbits(32)  # drawn even if unused, so that the later sequence is the same
        self.incarnation = drawn if incarnation is None else incarnation & 0xFFFFFFFF  # 32 bits on the wire
        self.sequence_number = 0
        self._apply_settings(settings)
        self.budget = SendBudget(settings.prices.peer_message, self.fanout)
        self.local = LocalLoadTable()
        self.peer_views = PeerViews()
        self.changed_workers: dict[int, float] = {}
        self.malformed_datagrams = 0
        self.unknown_senders = 0
        self.has_started = False
        self._next_send_at_ms = 0.0
        self._next_refresh_at_ms = 0.0

    def _apply_settings(self, settings: RouterSettings) -> None:
        self.router_count = settings.router_count
        self.router_index = settings.router_index
        self.peers = [index for index in range(settings.router_count) if index != settings.router_index]
        self.fanout = min(MAX_FANOUT, len(self.peers))
        self.keep_alive_ms = min(settings.instance_keep_alive_ms, codec.MAX_AGE_MS)

    def on_notification(self, now_ms: float, notification: Notification) -> list[OutboundMessage]:
        """Apply a new set of alive peers, unless the set is empty, or new settings."""
        if isinstance(notification, PeersChanged):
            self.peers = list(notification.alive_peers) or self.peers
            self.fanout = min(MAX_FANOUT, len(self.peers))
            self.peer_views.reset_coverage()
        elif isinstance(notification, SettingsChanged):
            self._apply_settings(notification.settings)
            self.budget.configure(notification.settings.prices.peer_message, self.fanout)
        return []

    def on_message(self, now_ms: float, sender_index: int, data: bytes) -> list[OutboundMessage]:
        """Merge a peer's datagram; invalid datagrams and unknown senders are counted."""
        if sender_index == self.router_index or not 0 <= sender_index < self.router_count:
            self.unknown_senders += 1
            return []
        update = codec.decode(data)
        if isinstance(update, MalformedDatagram):
            self.malformed_datagrams += 1
            return []
        self.changed_workers |= self.peer_views.merge(now_ms, sender_index, update)
        return []

    def on_tick(self, now_ms: float) -> list[OutboundMessage]:
        """Expire reports that peers have not refreshed."""
        self.changed_workers |= self.peer_views.expire(now_ms, self.keep_alive_ms)
        return []

    def status(self, now_ms: float) -> dict[str, str]:
        """Return the metrics for the ``INFO`` command, under the names that operators' tools read."""
        coverage = self.peer_coverage(now_ms)
        return {"talk.heard": f"{coverage:.2f}", "talk.unreadable": str(self.malformed_datagrams)}

    def on_first_attempt(self) -> None:
        """Credit the send budget for a call's first attempt."""
        self.budget.credit_call()

    def on_attempt_sent(self, worker_id: int, function_id: int) -> None:
        """Count an attempt that was sent to a worker."""
        self.local.record_start(worker_id, codec.fold_function_id(function_id))

    def on_attempt_ended(
        self, now_ms: float, worker_id: int, function_id: int, *, is_loaded: bool | None
    ) -> None:
        """Remove an attempt that ended from the in-flight calls, and record whether an instance is warm.

        Args:
            now_ms: The monotonic time.
            worker_id: The worker that received the attempt.
            function_id: The function of the attempt.
            is_loaded: Whether the worker has a warm instance after the attempt; None: unknown. If False, the
                peers' reports of the instance are dropped too.
        """
        function_hash = codec.fold_function_id(function_id)
        is_known = self.local.record_end(now_ms, worker_id, function_hash, is_loaded=is_loaded)
        if is_known and is_loaded is False:
            self.peer_views.discard_instance(worker_id, function_hash)

    def remove_worker(self, worker_id: int) -> None:
        """Drop all warm instances of a worker that was removed or restarted."""
        self.local.forget_warm_instances(worker_id)
        self.peer_views.forget_warm_instances(worker_id)

    def in_flight_of_peers(self, now_ms: float, worker_id: int) -> float:
        """Return the other routers' in-flight calls at a worker, without expired reports."""
        return self.peer_views.in_flight(now_ms, worker_id)

    def peer_coverage(self, now_ms: float) -> float:
        """Return the fraction of the other routers that sent gossip recently, 0 to 1."""
        return self.peer_views.coverage(now_ms, len(self.peers))

    def instances(self, now_ms: float, function_id: int) -> dict[int, InstanceLoad]:
        """Return the in-flight calls and the warm age of a function's instances, by worker id.

        In-flight calls are the sum of this router's calls and the peers' reports. Warm ages come from the
        peers' reports only; the lowest age is returned.
        """
        function_hash = codec.fold_function_id(function_id)
        loads = dict[int, InstanceLoad]()
        for worker_id in self.local.workers_by_function.get(function_hash, ()):
            loads[worker_id] = InstanceLoad(self.local.instances[worker_id, function_hash].in_flight, None)
        for worker_id, report in self.peer_views.instance_reports(function_hash):
            in_flight = report.in_flight if now_ms - report.received_at_ms <= IN_FLIGHT_EXPIRY_MS else 0
            warm_age_ms = None if report.warm_at_ms is None else now_ms - report.warm_at_ms
            if warm_age_ms is not None and warm_age_ms > self.keep_alive_ms:
                warm_age_ms = None
            if in_flight or warm_age_ms is not None:
                previous = loads.get(worker_id, _NO_LOAD)
                ages_ms = [age_ms for age_ms in (previous.warm_age_ms, warm_age_ms) if age_ms is not None]
                lowest_age_ms = min(ages_ms) if ages_ms else None
                loads[worker_id] = InstanceLoad(previous.in_flight + in_flight, lowest_age_ms)
        return loads

    def collect_due_datagrams(self, now_ms: float) -> list[SendToPeer]:
        """Return the datagrams that are due now; the first one after a start requests the full state."""
        if now_ms < self._next_send_at_ms or not self.peers:
            return []
        if not self.has_started:
            self.has_started = True
            return [self._build_datagram((), requests_full_state=True)]
        if now_ms >= self._next_refresh_at_ms:
            self._next_refresh_at_ms = now_ms + REFRESH_INTERVAL_MS
            self.local.refresh(now_ms, self.keep_alive_ms)
        self.budget.refill(now_ms)
        datagrams: list[SendToPeer] = []
        while self.local.dirty and self._can_send_dirty():
            datagrams.append(self._build_datagram(self.local.take_dirty(now_ms)))
        if datagrams:
            self._next_send_at_ms = now_ms + MIN_SEND_INTERVAL_MS
        for peer_index in self.peer_views.full_state_requests:
            datagrams += self._build_full_state(now_ms, peer_index)
        self.peer_views.full_state_requests.clear()
        return datagrams

    def _can_send_dirty(self) -> bool:
        """Return whether the budget covers the records of all dirty workers, without their instances."""
        needed_bytes = codec.encoded_size(len(self.local.dirty), 0) * self.fanout
        return self.budget.available_bytes >= needed_bytes

    def _build_full_state(self, now_ms: float, peer_index: int) -> Iterator[SendToPeer]:
        """Build the datagrams with this router's warm instances for a peer that has just started."""
        min_update_bytes = codec.WORKER_BYTES + codec.INSTANCE_BYTES
        records_per_datagram = (MAX_DATAGRAM_BYTES - codec.HEADER_BYTES) // min_update_bytes
        self.local.mark_warm_dirty(MAX_FULL_STATE_DATAGRAMS * records_per_datagram)
        for _ in range(MAX_FULL_STATE_DATAGRAMS):
            if self.local.dirty:
                yield self._build_datagram(self.local.take_dirty(now_ms), peer_index=peer_index)

    def _build_datagram(
        self,
        workers: tuple[codec.WorkerUpdate, ...],
        *,
        requests_full_state: bool = False,
        peer_index: int | None = None,
    ) -> SendToPeer:
        """Encode one datagram and deduct its bytes from the budget.

        Without ``peer_index`` the datagram is addressed to all peers, or to one at random if there are more
        than ``MAX_FANOUT``.
        """
        self.sequence_number += 1
        update = codec.LoadUpdate(self.incarnation, self.sequence_number, requests_full_state, workers)
        data = codec.encode(update)
        if peer_index is None and len(self.peers) > self.fanout:
            peer_index = self.rng.choice(self.peers)
        self.budget.spend(len(data) * (self.fanout if peer_index is None else 1))
        return SendToPeer(data, peer_index)
