"""SWIM's failure detector: probes the members, directly and through other members.

Source: sections 3.1 and 4.3 of the SWIM paper (see ``swim``). Members are probed round-robin, in an
order that is shuffled for each round. Any datagram from a member shows that the member is alive, so
members that send other datagrams often enough are not probed. Occasionally a member with status dead is
pinged, so that the two sides of a partition discover each other after the partition heals.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.membership.codec import MemberStatus, MessageKind

if TYPE_CHECKING:
    import random

    from cedarthread.membership.member_table import MemberTable

PROBE_INTERVAL_MS = 500.0  # SWIM's protocol period; a member that sent a datagram within it is not probed
PROBE_JITTER = (0.8, 1.2)  # range of the random factor on the interval, so that routers do not synchronize
ACK_TIMEOUT_MS = 500.0  # time limit for the acknowledgement of a direct ping, and again for a relayed one
INDIRECT_PROBES = 3  # number of members that are requested to ping the unresponsive member
PROBES_PER_DEAD_PROBE = 8  # one in eight probes is sent to a member with status dead
# Time from its start for which a router does not suspect members that never sent a datagram.
STARTUP_GRACE_MS = 10_000.0
RELAY_EXPIRY_MS = 4 * ACK_TIMEOUT_MS  # an acknowledgement of a relayed ping is dropped after this time


class OutgoingMessage(NamedTuple):
    """A message to send to a member, without its updates."""

    kind: MessageKind
    peer_index: int
    nonce: int = 0
    target_index: int = 0


class RelayedPing(NamedTuple):
    """A ping that this router sent on a ping request of another member."""

    requester_index: int
    requester_nonce: int
    sent_at_ms: float


@dataclass(slots=True)
class Probe:
    """A probe without an acknowledgement so far."""

    member_index: int
    nonce: int
    sent_at_ms: float
    is_indirect: bool = False  # the direct ping timed out, and other members were requested to ping


class FailureDetector:
    """The failure detector of one router; suspects a member that does not acknowledge a probe in time.

    Args:
        table: The members; the detector sets a member's status to suspect.
        rng: The random source for the probe order, the jitter and the choice of relays.
        now_ms: The monotonic time.
    """

    def __init__(self, table: MemberTable, rng: random.Random, now_ms: float) -> None:
        self._table = table
        self._rng = rng
        self._started_at_ms = now_ms
        self._next_probe_at_ms = now_ms + rng.uniform(0.0, PROBE_INTERVAL_MS)
        self._pending: Probe | None = None
        self._probe_order: list[int] = []
        self._probes_started = 0
        self._last_nonce = 0
        self._relayed: dict[int, RelayedPing] = {}  # relayed pings by the nonce of this router's ping

    def on_activity(self, member_index: int) -> None:
        """End the probe of a member that sent a datagram."""
        if self._pending is not None and self._pending.member_index == member_index:
            self._pending = None

    def on_ping_request(
        self, now_ms: float, requester_index: int, nonce: int, target_index: int
    ) -> OutgoingMessage:
        """Return the ping that another member requested."""
        own_nonce = self._next_nonce()
        self._relayed[own_nonce] = RelayedPing(requester_index, nonce, now_ms)
        return OutgoingMessage(MessageKind.PING, target_index, own_nonce)

    def on_ack(self, sender_index: int, nonce: int) -> list[OutgoingMessage]:
        """End the probe that an acknowledgement belongs to; relay the acknowledgement of a requested ping."""
        if self._pending is not None and self._pending.nonce == nonce:
            self._pending = None
        relayed = self._relayed.pop(nonce, None)
        if relayed is None:
            return []
        return [
            OutgoingMessage(MessageKind.ACK, relayed.requester_index, relayed.requester_nonce, sender_index)
        ]

    def on_tick(self, now_ms: float) -> list[OutgoingMessage]:
        """Return the ping requests of a timed-out probe, and the ping of the next probe if one is due."""
        expired = [
            nonce for nonce, ping in self._relayed.items() if now_ms - ping.sent_at_ms > RELAY_EXPIRY_MS
        ]
        for nonce in expired:
            del self._relayed[nonce]
        messages: list[OutgoingMessage] = []
        if self._pending is not None and now_ms - self._pending.sent_at_ms >= ACK_TIMEOUT_MS:
            messages += self._on_ack_timeout(now_ms, self._pending)
        if self._pending is None and now_ms >= self._next_probe_at_ms:
            self._next_probe_at_ms = now_ms + PROBE_INTERVAL_MS * self._rng.uniform(*PROBE_JITTER)
            messages += self._start_probe(now_ms)
        return messages

    def reset(self) -> None:
        """Drop all probes after a pause of this router, because acknowledgements may be long overdue."""
        self._pending = None
        self._relayed.clear()

    def _next_nonce(self) -> int:
        self._last_nonce = (self._last_nonce + 1) % 2**16  # 16 bits on the wire
        return self._last_nonce

    def _start_probe(self, now_ms: float) -> list[OutgoingMessage]:
        """Return a ping to the next member without recent datagrams, or periodically to a dead member."""
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
        """Return ping requests after a direct ping timed out; suspect the member if these time out too."""
        relays = [index for index in self._table.alive_peers() if index != probe.member_index]
        if not probe.is_indirect and relays:
            probe.is_indirect = True
            probe.sent_at_ms = now_ms
            chosen = self._rng.sample(relays, min(INDIRECT_PROBES, len(relays)))
            return [
                OutgoingMessage(MessageKind.PING_REQUEST, index, probe.nonce, probe.member_index)
                for index in chosen
            ]
        self._pending = None
        member = self._table.members[probe.member_index]
        has_never_sent = member.received_at_ms == -math.inf
        is_in_startup_grace = has_never_sent and now_ms - self._started_at_ms < STARTUP_GRACE_MS
        if member.status is MemberStatus.ALIVE and not is_in_startup_grace:
            self._table.set_status(now_ms, probe.member_index, MemberStatus.SUSPECT)
        return []
