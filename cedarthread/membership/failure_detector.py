"""SWIM's failure detector: which member is probed when, directly and through others.

Sections 3.1 and 4.3 of the paper (see `swim`): members are probed round-robin, in a random order that is
drawn anew for each round. Any datagram of a member is a sign of life, so that few routers which hear each
other anyway probe nobody. Now and then a member that is held dead is probed, so that the two sides of a
healed partition find each other.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.membership.codec import MemberStatus, MessageKind

if TYPE_CHECKING:
    import random

    from cedarthread.membership.member_table import MemberTable

PROBE_INTERVAL_MS = 500.0  # between probes, by SWIM's protocol period
PROBE_JITTER = (0.8, 1.2)  # of the interval, so that no two routers stay in step
ACK_TIMEOUT_MS = 500.0  # for an acknowledgement of the direct ping, and again for one through others
INDIRECT_PROBES = 3  # members that are requested to ping in this one's place
PROBES_PER_DEAD_PROBE = 8  # one probe of so many goes to a member that is held dead
STARTUP_GRACE_MS = 10_000.0  # after its own start, for which it suspects nobody that it has never heard
RELAY_EXPIRY_MS = 4 * ACK_TIMEOUT_MS  # after which a relayed ping needs no acknowledgement any more


class OutgoingMessage(NamedTuple):
    """A message that is to be sent to a member."""

    kind: MessageKind
    peer_index: int
    nonce: int = 0
    target_index: int = 0


class RelayedPing(NamedTuple):
    """A ping that this router sent on another's request."""

    requester_index: int
    requester_nonce: int
    sent_at_ms: float


@dataclass(slots=True)
class Probe:
    """The probe that waits for an acknowledgement."""

    member_index: int
    nonce: int
    sent_at_ms: float
    is_indirect: bool = False  # others were requested to ping the member


class FailureDetector:
    """Probes members one after the other, and suspects one that does not answer in time."""

    def __init__(self, table: MemberTable, rng: random.Random, now_ms: float) -> None:
        self._table, self._rng = table, rng
        self._started_at_ms = now_ms
        self._next_probe_at_ms = now_ms + rng.uniform(0.0, PROBE_INTERVAL_MS)
        self._pending: Probe | None = None
        self._probe_order: list[int] = []
        self._probes_started = self._last_nonce = 0
        self._relayed: dict[int, RelayedPing] = {}  # by the nonce of the ping sent here

    def on_activity(self, member_index: int) -> None:
        """Something came from the member itself: its probe, if there is one, has succeeded."""
        if self._pending is not None and self._pending.member_index == member_index:
            self._pending = None

    def on_ping_request(
        self, now_ms: float, requester_index: int, nonce: int, target_index: int
    ) -> OutgoingMessage:
        """Ping a member in another's place."""
        own_nonce = self._next_nonce()
        self._relayed[own_nonce] = RelayedPing(requester_index, nonce, now_ms)
        return OutgoingMessage(MessageKind.PING, target_index, own_nonce)

    def on_ack(self, sender_index: int, nonce: int) -> list[OutgoingMessage]:
        """A ping was acknowledged: end the probe that it belongs to, and pass it on if it was relayed."""
        if self._pending is not None and self._pending.nonce == nonce:
            self._pending = None
        relayed = self._relayed.pop(nonce, None)
        if relayed is None:
            return []
        return [
            OutgoingMessage(MessageKind.ACK, relayed.requester_index, relayed.requester_nonce, sender_index)
        ]

    def on_tick(self, now_ms: float) -> list[OutgoingMessage]:
        """The messages of the pending probe if it timed out, or of the next one if that is due."""
        for nonce in [n for n, ping in self._relayed.items() if now_ms - ping.sent_at_ms > RELAY_EXPIRY_MS]:
            del self._relayed[nonce]
        messages: list[OutgoingMessage] = []
        if self._pending is not None and now_ms - self._pending.sent_at_ms >= ACK_TIMEOUT_MS:
            messages += self._on_ack_timeout(now_ms, self._pending)
        if self._pending is None and now_ms >= self._next_probe_at_ms:
            self._next_probe_at_ms = now_ms + PROBE_INTERVAL_MS * self._rng.uniform(*PROBE_JITTER)
            messages += self._start_probe(now_ms)
        return messages

    def reset(self) -> None:
        """Drop all probes: this router itself was paused, and acknowledgements may be long overdue."""
        self._pending = None
        self._relayed.clear()

    def _next_nonce(self) -> int:
        self._last_nonce = (self._last_nonce + 1) % 2**16  # 16 bits on the wire
        return self._last_nonce

    def _start_probe(self, now_ms: float) -> list[OutgoingMessage]:
        """Ping the next member in the order that was not heard lately, or a dead one if it is its turn."""
        self._probes_started += 1
        dead = self._table.dead_peers()
        if dead and self._probes_started % PROBES_PER_DEAD_PROBE == 0:
            return [OutgoingMessage(MessageKind.PING, self._rng.choice(dead), self._next_nonce())]
        members = self._table.members
        for _ in range(len(members)):
            if not self._probe_order:
                self._probe_order = self._rng.sample(sorted(members), len(members))
            index = self._probe_order.pop()
            member = members[index]
            if member.status is not MemberStatus.DEAD and now_ms - member.received_at_ms > PROBE_INTERVAL_MS:
                self._pending = Probe(index, self._next_nonce(), now_ms)
                return [OutgoingMessage(MessageKind.PING, index, self._pending.nonce)]
        return []

    def _on_ack_timeout(self, now_ms: float, probe: Probe) -> list[OutgoingMessage]:
        """Probe through others after the direct ping; suspect the member after those have failed as well."""
        helpers = [index for index in self._table.alive_peers() if index != probe.member_index]
        if not probe.is_indirect and helpers:
            probe.is_indirect, probe.sent_at_ms = True, now_ms
            chosen = self._rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
            return [
                OutgoingMessage(MessageKind.PING_REQUEST, index, probe.nonce, probe.member_index)
                for index in chosen
            ]
        self._pending = None
        member = self._table.members[probe.member_index]
        is_never_received = member.received_at_ms == -math.inf
        is_excused = is_never_received and now_ms - self._started_at_ms < STARTUP_GRACE_MS
        if member.status is MemberStatus.ALIVE and not is_excused:
            self._table.set_status(now_ms, probe.member_index, MemberStatus.SUSPECT)
        return []
