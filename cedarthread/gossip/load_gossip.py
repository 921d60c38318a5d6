"""What this router tells the others of its calls, and what it makes of what they tell.

It tells how things stand, not what happened: a datagram that is lost, late, doubled or out of order harms
nothing.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from cedarthread.components.interface import (
    MessageType,
    Notification,
    OutboundMessage,
    PeersChanged,
    SettingsChanged,
)
from cedarthread.gossip import codec as form
from cedarthread.model.actions import SendToPeer
from cedarthread.model.settings import RouterSettings

GOSSIP_COST_PER_CALL = 0.003  # points that telling may cost for each own call
FREE_BYTES_PER_MS = 20.0  # bytes a ms where telling costs nothing
BURST_DATAGRAMS = 8.0  # datagrams to all whose cost may be saved up
MIN_SEND_INTERVAL_MS = 25.0  # ms between two tellings at least
REFRESH_INTERVAL_MS = 1000.0  # ms after which what stands is told again
IN_FLIGHT_EXPIRY_MS = (
    2.5 * REFRESH_INTERVAL_MS
)  # ms after which calls of others that were not told again count no more
MAX_FANOUT = 4  # peers that one telling goes to at most
MAX_IN_FLIGHT_PER_PEER = 64  # calls out at one worker that one peer is believed at most
MAX_FULL_STATE_DATAGRAMS = 6  # datagrams in answer to a router that asks
FULL_STATE_INTERVAL_MS = 1000.0  # ms between two answers to one peer
COVERAGE_CACHE_MS = 50.0  # ms for which the number of peers that are heard is not counted anew
MAX_PAST_INCARNATIONS = 4  # past lives of a peer that are known as past


@dataclass(slots=True)
class _LocalInstance:
    """Own calls of one function at one worker."""

    in_flight: int = 0
    warm_at_ms: float | None = None  # when a copy last stood there


@dataclass(slots=True)
class _PeerInstance:
    """What a peer said of one function at one worker."""

    in_flight: int
    warm_at_ms: float | None
    sequence_number: int
    received_at_ms: float


@dataclass(slots=True)
class _PeerView:
    incarnation: int
    received_at_ms: float  # when it was last heard
    in_flight_by_worker: dict[int, tuple[int, int, float]] = field(
        default_factory=dict
    )  # worker: calls, number, when
    instances_by_function: dict[int, dict[int, _PeerInstance]] = field(
        default_factory=dict
    )  # function: worker: what was told
    full_state_sent_at_ms: float = float("-inf")
    past_incarnations: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_PAST_INCARNATIONS))


@dataclass(frozen=True, slots=True)
class InstanceLoad:
    """What stands of a function at one worker."""

    in_flight: int  # calls of it that are out there, own ones too
    warm_age_ms: float | None  # ms since another router found a copy there


class LoadGossip:
    """Both sides of the talk of one router. ``moved``: workers where others' calls have changed, with their
    number; whoever reads it clears it."""

    message_types = frozenset({MessageType.GOSSIP})

    def __init__(self, settings: RouterSettings, seed: int, incarnation: int | None = None) -> None:
        self.rng = random.Random(seed ^ 0x7461_6C6B)
        self.peers: list[int] = []
        self.fanout, self.burst_bytes = 1, 0.0
        self.apply_settings(settings)
        self.refilled_at_ms = 0.0  # when what is free was last added
        # Guards against a router whose seed stays over a restart: of the same life, all that it says would be
        # older than what it said before.
        drawn = self.rng.getrandbits(32)
        self.incarnation, self.sequence_number = drawn if incarnation is None else incarnation & 0xFFFFFFFF, 0
        self.available_bytes = self.burst_bytes / 2
        self.next_send_at_ms, self.next_refresh_at_ms = 0.0, 0.0
        self.in_flight_by_worker: dict[int, int] = {}
        self.local_instances: dict[tuple[int, int], _LocalInstance] = {}  # worker and function
        self.workers_by_function: dict[
            int, set[int]
        ] = {}  # function: the workers where own calls of it are out
        self.dirty: dict[int, dict[int, None]] = {}  # worker: functions that changed since they were told
        self.full_state_requests: list[int] = []  # peers that are to be answered
        self.peer_views: dict[int, _PeerView] = {}
        self.malformed_datagrams = self.unknown_senders = 0
        self.has_started = False
        self.changed_workers: dict[int, float] = {}
        self.coverage_cache = (-math.inf, 0.0)  # until when the part that is heard from holds, and what it is

    def on_notification(self, now: float, notification: Notification) -> list[OutboundMessage]:
        """Only the other routers that are there are told, and counted; new settings count at once."""
        if isinstance(notification, PeersChanged):
            self.peers = list(notification.alive_peers) or self.peers
            self.fanout = min(MAX_FANOUT, len(self.peers))
            self.coverage_cache = -math.inf, 0.0
        elif isinstance(notification, SettingsChanged):
            self.apply_settings(notification.settings)
        return []

    def status(self, now: float) -> dict[str, str]:
        """What operators read of it."""
        return {
            "talk.heard": f"{self.peer_coverage(now):.2f}",
            "talk.unreadable": str(self.malformed_datagrams),
        }

    def apply_settings(self, settings: RouterSettings) -> None:
        """What hangs on the settings alone; what was heard stays."""
        self.router_count = settings.router_count
        self.router_index, self.peers = (
            settings.router_index,
            [n for n in range(settings.router_count) if n != settings.router_index],
        )
        self.keep_alive_ms = min(settings.keep_alive_ms, form.MAX_AGE_MS)
        price = settings.prices.peer_message
        self.bytes_per_call = (
            GOSSIP_COST_PER_CALL / price * form.MAX_DATAGRAM_BYTES if price > 0 else 0.0
        )  # bytes for each own call
        self.free_bytes_per_ms = 0.0 if price > 0 else FREE_BYTES_PER_MS
        self.fanout = min(MAX_FANOUT, len(self.peers))
        self.burst_bytes = BURST_DATAGRAMS * form.MAX_DATAGRAM_BYTES * self.fanout

    # Own calls.

    def on_first_attempt(self) -> None:
        """A first try came: telling may cost a little more."""
        self.available_bytes = min(self.available_bytes + self.bytes_per_call, self.burst_bytes)

    def on_attempt_sent(self, worker_id: int, function_id: int) -> None:
        """An attempt was sent."""
        short = form.fold_function_id(function_id)
        self.in_flight_by_worker[worker_id] = self.in_flight_by_worker.get(worker_id, 0) + 1
        self.local_instances.setdefault((worker_id, short), _LocalInstance()).in_flight += 1
        self.workers_by_function.setdefault(short, set()).add(worker_id)
        self.dirty.setdefault(worker_id, {})[short] = None

    def on_attempt_ended(self, now: float, worker_id: int, function_id: int, was_warm: bool | None) -> None:
        """An attempt ended; ``stands``: whether a copy was there then, None where that is not known."""
        short = form.fold_function_id(function_id)
        if (place := self.local_instances.get((worker_id, short))) is None:
            return
        self.in_flight_by_worker[worker_id] = max(0, self.in_flight_by_worker.get(worker_id, 0) - 1)
        place.in_flight = max(0, place.in_flight - 1)
        if not place.in_flight and (out := self.workers_by_function.get(short)) is not None:
            out.discard(worker_id)
            if not out:
                del self.workers_by_function[short]
        if was_warm is not None:
            place.warm_at_ms = now if was_warm else None
        if was_warm is False:
            for peer in self.peer_views.values():
                peer.instances_by_function.get(short, {}).pop(worker_id, None)
        self.dirty.setdefault(worker_id, {})[short] = None

    def forget_worker(self, worker_id: int) -> None:
        """The worker has gone or started anew: nothing stands there."""
        for key, place in list(self.local_instances.items()):
            if key[0] == worker_id:
                place.warm_at_ms = None
                if not place.in_flight:
                    del self.local_instances[key]
        for peer in self.peer_views.values():
            for told in peer.instances_by_function.values():
                told.pop(worker_id, None)

    # Telling.

    def collect_due_datagrams(self, now: float) -> list[SendToPeer]:
        """What is to be told now, if anything."""
        if now < self.next_send_at_ms or not self.peers:
            return []
        if not self.has_started:
            self.has_started = True
            return [self._build_datagram(now, [], requests_full_state=True)]
        if now >= self.next_refresh_at_ms:
            self._refresh_dirty_set(now)
        if self.free_bytes_per_ms:
            self.available_bytes = min(
                self.available_bytes + self.free_bytes_per_ms * (now - self.refilled_at_ms), self.burst_bytes
            )
            self.refilled_at_ms = now
        told: list[SendToPeer] = []
        while self.dirty and self.available_bytes >= form.encoded_size(len(self.dirty), 0) * self.fanout:
            told.append(self._build_datagram(now, self._take_dirty()))
        if told:
            self.next_send_at_ms = now + MIN_SEND_INTERVAL_MS
        for peer in self.full_state_requests:
            told += self._build_full_state(now, peer)
        self.full_state_requests.clear()
        return told

    def _refresh_dirty_set(self, now: float) -> None:
        """What stands is told again, before the others forget it; what is long past is dropped here."""
        self.next_refresh_at_ms = now + REFRESH_INTERVAL_MS
        for (worker, short), place in list(self.local_instances.items()):
            if place.warm_at_ms is not None and now - place.warm_at_ms > self.keep_alive_ms:
                place.warm_at_ms = None
            if place.in_flight:
                self.dirty.setdefault(worker, {})[short] = None
            elif place.warm_at_ms is None:
                del self.local_instances[(worker, short)]

    def _take_dirty(self) -> list[tuple[int, list[int]]]:
        """News that one datagram holds, taken off the list: what has waited longest first."""
        room, some = form.MAX_DATAGRAM_BYTES - form.HEADER_BYTES, []
        for worker, shorts in list(self.dirty.items()):
            if room < form.WORKER_BYTES + form.INSTANCE_BYTES:
                break
            fits = list(shorts)[: (room - form.WORKER_BYTES) // form.INSTANCE_BYTES]
            some.append((worker, fits))
            room -= form.WORKER_BYTES + len(fits) * form.INSTANCE_BYTES
            for short in fits:
                del shorts[short]
            if not shorts:
                del self.dirty[worker]
        return some

    def _build_datagram(
        self,
        now: float,
        some: list[tuple[int, list[int]]],
        requests_full_state: bool = False,
        peer_index: int | None = None,
    ) -> SendToPeer:
        self.sequence_number += 1
        workers = tuple(
            form.WorkerUpdate(
                worker,
                self.in_flight_by_worker.get(worker, 0),
                tuple(self._instance_update(now, worker, s) for s in shorts),
            )
            for worker, shorts in some
        )
        data = form.encode(
            form.LoadUpdate(self.incarnation, self.sequence_number, requests_full_state, workers)
        )
        if peer_index is None and len(self.peers) > self.fanout:
            peer_index = self.rng.choice(self.peers)
        self.available_bytes -= len(data) * (self.fanout if peer_index is None else 1)
        return SendToPeer(data, peer_index)

    def _instance_update(self, now: float, worker: int, short: int) -> form.InstanceUpdate:
        place = self.local_instances.get((worker, short)) or _LocalInstance()
        return form.InstanceUpdate(
            short, place.in_flight, None if place.warm_at_ms is None else now - place.warm_at_ms
        )

    def _build_full_state(self, now: float, peer: int) -> Iterator[SendToPeer]:
        """All that stands, for one that has just started: what was found last first."""
        stand = [
            (place.warm_at_ms, key)
            for key, place in self.local_instances.items()
            if place.warm_at_ms is not None
        ]
        most = MAX_FULL_STATE_DATAGRAMS * (
            (form.MAX_DATAGRAM_BYTES - form.HEADER_BYTES) // (form.WORKER_BYTES + form.INSTANCE_BYTES)
        )
        for _, (worker, short) in sorted(stand, reverse=True)[:most]:
            self.dirty.setdefault(worker, {})[short] = None
        for _ in range(MAX_FULL_STATE_DATAGRAMS):
            if self.dirty:
                yield self._build_datagram(now, self._take_dirty(), peer_index=peer)

    # Hearing.

    def on_message(self, now: float, sender_index: int, data: bytes) -> list[OutboundMessage]:
        """Take a peer's datagram."""
        self.changed_workers |= self._merge_datagram(now, sender_index, data)
        return []

    def _merge_datagram(self, now: float, sender: int, data: bytes) -> dict[int, float]:
        if sender == self.router_index or not 0 <= sender < self.router_count:
            self.unknown_senders += 1
            return {}
        news = form.decode(data)
        if isinstance(news, form.MalformedDatagram):
            self.malformed_datagrams += 1
            return {}
        peer = self._view_of(now, sender, news)
        if peer is None:
            return {}
        if news.requests_full_state and now - peer.full_state_sent_at_ms >= FULL_STATE_INTERVAL_MS:
            peer.full_state_sent_at_ms = now
            self.full_state_requests.append(sender)
        for told in news.workers:
            if news.sequence_number > peer.in_flight_by_worker.get(told.worker_id, (0, 0, 0.0))[1]:
                peer.in_flight_by_worker[told.worker_id] = (
                    min(told.in_flight, MAX_IN_FLIGHT_PER_PEER),
                    news.sequence_number,
                    now,
                )
            for copy in told.instances:
                at = peer.instances_by_function.setdefault(copy.function_hash, {})
                if told.worker_id not in at or news.sequence_number > at[told.worker_id].sequence_number:
                    found = None if copy.warm_age_ms is None else now - copy.warm_age_ms
                    at[told.worker_id] = _PeerInstance(
                        min(copy.in_flight, MAX_IN_FLIGHT_PER_PEER), found, news.sequence_number, now
                    )
        return {told.worker_id: self.in_flight_of_peers(now, told.worker_id) for told in news.workers}

    def _view_of(self, now: float, sender: int, news: form.LoadUpdate) -> _PeerView | None:
        """The peer's state in this life of its; None for news of a past life."""
        peer = self.peer_views.get(sender)
        if peer is None or peer.incarnation != news.incarnation:
            past = (
                deque(peer.past_incarnations, MAX_PAST_INCARNATIONS)
                if peer is not None
                else deque[int](maxlen=MAX_PAST_INCARNATIONS)
            )
            if news.incarnation in past:
                return None
            if peer is not None:
                past.append(peer.incarnation)
            peer = self.peer_views[sender] = _PeerView(news.incarnation, now, past_incarnations=past)
            self.coverage_cache = -math.inf, 0.0
        peer.received_at_ms = now
        return peer

    def in_flight_of_peers(self, now: float, worker_id: int) -> float:
        """Calls of others that are out at a worker, as far as they told lately."""
        told = (peer.in_flight_by_worker.get(worker_id) for peer in self.peer_views.values())
        return float(sum(one[0] for one in told if one is not None and now - one[2] <= IN_FLIGHT_EXPIRY_MS))

    def peer_coverage(self, now: float) -> float:
        """The part of the other routers that told something lately, 0 to 1."""
        if now >= self.coverage_cache[0]:  # a call asks for it several times
            there = sum(now - peer.received_at_ms <= IN_FLIGHT_EXPIRY_MS for peer in self.peer_views.values())
            self.coverage_cache = now + COVERAGE_CACHE_MS, there / max(1, len(self.peers))
        return self.coverage_cache[1]

    def instances(self, now: float, function_id: int) -> dict[int, InstanceLoad]:
        """What stands of a function, by worker: calls out there, own ones too, and what others found."""
        short, found = form.fold_function_id(function_id), dict[int, InstanceLoad]()
        for worker in self.workers_by_function.get(short, ()):
            found[worker] = InstanceLoad(self.local_instances[worker, short].in_flight, None)
        for peer in self.peer_views.values():
            for worker, told in peer.instances_by_function.get(short, {}).items():
                out = told.in_flight if now - told.received_at_ms <= IN_FLIGHT_EXPIRY_MS else 0
                age = (
                    None
                    if told.warm_at_ms is None or now - told.warm_at_ms > self.keep_alive_ms
                    else now - told.warm_at_ms
                )
                if out or age is not None:
                    old = found.get(worker, InstanceLoad(0, None))
                    ages = [one for one in (old.warm_age_ms, age) if one is not None]
                    found[worker] = InstanceLoad(old.in_flight + out, min(ages) if ages else None)
        return found

    def on_tick(self, now: float) -> list[OutboundMessage]:
        """Once in a while: what was told and has become too old counts no more."""
        self.changed_workers |= self._expire_views(now)
        return []

    def _expire_views(self, now: float) -> dict[int, float]:
        changed: dict[int, float] = {}
        for peer in self.peer_views.values():
            for worker in [
                w for w, told in peer.in_flight_by_worker.items() if now - told[2] > IN_FLIGHT_EXPIRY_MS
            ]:
                del peer.in_flight_by_worker[worker]
                changed[worker] = 0.0
            for short, at in list(peer.instances_by_function.items()):
                for worker in [w for w, told in at.items() if self._is_expired(now, told)]:
                    del at[worker]
                if not at:
                    del peer.instances_by_function[short]
        return {worker: self.in_flight_of_peers(now, worker) for worker in changed}

    def _is_expired(self, now: float, told: _PeerInstance) -> bool:
        found = told.warm_at_ms is not None and now - told.warm_at_ms <= self.keep_alive_ms
        return now - told.received_at_ms > IN_FLIGHT_EXPIRY_MS and not found
