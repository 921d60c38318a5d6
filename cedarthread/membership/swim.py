"""The membership component: SWIM with suspicion and incarnations.

Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol", 2002. A member that sends no datagrams is pinged, then pinged through other members, then
suspected, then declared dead. Additions to the paper:

- Any datagram from a member counts as activity of the member, even a datagram of another component.
- If a member that this router lists as suspect or dead sends a datagram, this router sends the member its
  status (a correction), so that the member can refute the status.
- After a pause, a router does not trust its own table: the router restarts all suspicions and raises its
  incarnation.
"""

from __future__ import annotations

import math
import random

from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.components.messages import MessageType, OutboundMessage
from cedarthread.components.notifications import Notification, PeersChanged
from cedarthread.membership import codec
from cedarthread.membership.codec import MemberStatus, MemberUpdate, MessageKind, SwimMessage
from cedarthread.membership.dissemination import DisseminationBuffer
from cedarthread.membership.failure_detector import PROBE_INTERVAL_MS, FailureDetector, OutgoingMessage
from cedarthread.membership.member_table import MemberTable
from cedarthread.model.actions import SendToPeer

# Duration of a suspicion in probe intervals. It is multiplied by log10 of the group size, but at least by 1.
SUSPICION_INTERVALS = 6.0
PAUSE_THRESHOLD_MS = 2000.0  # a longer time between two ticks or messages counts as a pause of this router
DISSEMINATION_FANOUT = 1  # number of separate messages with updates at each tick
CORRECTION_INTERVAL_MS = 1000.0  # shortest interval between two corrections to one member
_RNG_SALT = 0x5357_494D  # makes this component's random sequence differ from others with the same seed


class SwimMembership:
    """The membership component of one router.

    ``status_changes`` holds the changes that are not logged yet; the host logs and clears the list.

    Args:
        router_index: The index of this router.
        router_count: The number of configured routers.
        seed: The seed of all random decisions.
        now_ms: The monotonic time.
    """

    message_types = frozenset({MessageType.MEMBERSHIP})

    def __init__(self, router_index: int, router_count: int, seed: int, now_ms: float = 0.0) -> None:
        self.router_index = router_index
        self.router_count = router_count
        self._rng = random.Random(seed ^ _RNG_SALT)
        self._dissemination = DisseminationBuffer(router_count, now_ms)
        self.table = MemberTable(router_index, router_count, self._dissemination, now_ms)
        self.status_changes = self.table.status_changes
        self._failure_detector = FailureDetector(self.table, self._rng, now_ms)
        self._last_active_at_ms = now_ms
        self._suspicion_ms = SUSPICION_INTERVALS * PROBE_INTERVAL_MS * max(1.0, math.log10(router_count))
        self.malformed_datagrams = 0

    def alive_count(self) -> int:
        """Return the number of routers with status alive or suspect, including this router."""
        return 1 + len(self.table.alive_peers())

    def alive_peers(self) -> list[int]:
        """Return the other routers with status alive or suspect."""
        return self.table.alive_peers()

    def peers_changed(self, now_ms: float) -> PeersChanged:
        """Return the notification of the current alive peers for the other components."""
        alive_peers = self.alive_peers()
        alive_for_ms = {
            index: now_ms - self.table.members[index].incarnation_since_ms for index in alive_peers
        }
        return PeersChanged(tuple(alive_peers), self.router_count, alive_for_ms)

    def member_status(self, member_index: int) -> MemberStatus:
        """Return the status of one router."""
        return self.table.status_of(member_index)

    def on_notification(self, now_ms: float, notification: Notification) -> list[OutboundMessage]:
        """Ignore notifications, because none affects membership."""
        return []

    def status(self, now_ms: float) -> dict[str, str]:
        """Return the metrics for the ``INFO`` command, under the names that operators' tools read."""
        return {"members.present": str(self.alive_count()), "members.configured": str(self.router_count)}

    def record_activity(self, now_ms: float, sender_index: int) -> None:
        """Record that a member sent a datagram of any component."""
        if (member := self.table.members.get(sender_index)) is not None:
            member.received_at_ms = now_ms
            self._failure_detector.on_activity(sender_index)

    def on_message(self, now_ms: float, sender_index: int, data: bytes) -> list[SendToPeer]:
        """Handle a member's datagram; return the replies."""
        message = codec.decode(data)
        if isinstance(message, MalformedDatagram) or sender_index not in self.table.members:
            self.malformed_datagrams += 1
            return []
        self._detect_pause(now_ms)
        self.record_activity(now_ms, sender_index)
        self.table.merge(now_ms, MemberUpdate(sender_index, message.incarnation, MemberStatus.ALIVE))
        for update in message.updates:
            self.table.merge(now_ms, update)
        replies = [self._build_datagram(reply) for reply in self._replies(now_ms, sender_index, message)]
        return replies + self._build_corrections(now_ms, sender_index, message.incarnation)

    def _replies(self, now_ms: float, sender_index: int, message: SwimMessage) -> list[OutgoingMessage]:
        match message.kind:
            case MessageKind.PING:
                return [OutgoingMessage(MessageKind.ACK, sender_index, message.nonce)]
            case MessageKind.ACK:
                return self._failure_detector.on_ack(sender_index, message.nonce)
            case MessageKind.PING_REQUEST if message.target_index in self.table.members:
                return [
                    self._failure_detector.on_ping_request(
                        now_ms, sender_index, message.nonce, message.target_index
                    )
                ]
            case MessageKind.PING_REQUEST:
                self.table.implausible_updates += 1
                return []
            case MessageKind.UPDATE:
                return []

    def _build_corrections(self, now_ms: float, member_index: int, incarnation: int) -> list[SendToPeer]:
        """Return a correction for a member that just sent a datagram, if this router's entry for it is wrong.

        At most one correction is returned in ``CORRECTION_INTERVAL_MS``.

        Args:
            now_ms: The monotonic time.
            member_index: The member.
            incarnation: The incarnation that the member last sent.
        """
        member = self.table.members[member_index]
        is_entry_current = member.status is MemberStatus.ALIVE and incarnation >= member.incarnation
        if is_entry_current or now_ms - member.corrected_at_ms < CORRECTION_INTERVAL_MS:
            return []
        member.corrected_at_ms = now_ms
        return [self._build_datagram(OutgoingMessage(MessageKind.UPDATE, member_index), (member_index,))]

    def on_tick(self, now_ms: float) -> list[SendToPeer]:
        """End suspicions, probe members and disseminate updates; return the datagrams to send.

        The host calls this several times a second.
        """
        if not self.table.members:
            return []
        self._detect_pause(now_ms)
        self._dissemination.refill(now_ms)
        datagrams = self._end_suspicions(now_ms)
        datagrams += [self._build_datagram(message) for message in self._failure_detector.on_tick(now_ms)]
        if self._dissemination.can_send_batch():
            datagrams += self._send_updates()
        return datagrams

    def _end_suspicions(self, now_ms: float) -> list[SendToPeer]:
        """Declare overdue suspects dead; return corrections for members that sent datagrams recently."""
        corrections: list[SendToPeer] = []
        for index, member in self.table.members.items():
            is_overdue = now_ms - member.status_since_ms >= self._suspicion_ms
            if member.status is MemberStatus.SUSPECT and is_overdue:
                self.table.set_status(now_ms, index, MemberStatus.DEAD)
            if member.status is not MemberStatus.ALIVE and now_ms - member.received_at_ms < PROBE_INTERVAL_MS:
                corrections += self._build_corrections(now_ms, index, member.incarnation)
        return corrections

    def _send_updates(self) -> list[SendToPeer]:
        """Return messages that carry only membership updates, to random alive members."""
        peers = self.alive_peers()
        chosen = self._rng.sample(peers, min(DISSEMINATION_FANOUT, len(peers)))
        return [
            self._build_datagram(OutgoingMessage(MessageKind.UPDATE, index))
            for index in chosen
            if self._dissemination.pending
        ]

    def _detect_pause(self, now_ms: float) -> None:
        """Detect a pause of this router; after one, restart all suspicions and raise the incarnation.

        After a pause, the last datagram of every member seems old, and peers may have declared this router
        dead.
        """
        was_paused = now_ms - self._last_active_at_ms > PAUSE_THRESHOLD_MS
        self._last_active_at_ms = now_ms
        if not was_paused:
            return
        self._failure_detector.reset()
        for member in self.table.members.values():
            member.received_at_ms = max(member.received_at_ms, now_ms - PROBE_INTERVAL_MS)
            if member.status is MemberStatus.SUSPECT:
                member.status_since_ms = now_ms
        self.table.raise_incarnation()

    def _build_datagram(self, message: OutgoingMessage, required: tuple[int, ...] = ()) -> SendToPeer:
        """Encode a message with as many pending updates as fit, those of ``required`` members first."""
        updates = tuple(self.table.update_of(index) for index in self._dissemination.take(required))
        incarnation = self.table.incarnation
        encoded = codec.encode(
            SwimMessage(message.kind, incarnation, message.nonce, message.target_index, updates)
        )
        return SendToPeer(encoded, message.peer_index)
