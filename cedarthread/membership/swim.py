"""Which routers are alive, by SWIM with suspicion and incarnations.

Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
2002. A member that is not heard is pinged, then pinged through others, then suspected, then held dead. Added
to the paper:

- Any datagram of a member counts as a sign of life, whatever component it belongs to.
- A member that is alive but seen otherwise is sent that view (a correction), so that it can refute it.
- A router that was paused does not trust its own view: it restarts all suspicions and raises its incarnation.
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

SUSPICION_INTERVALS = 6.0  # probe intervals, times the decimal logarithm of the group, that a suspicion lasts
PAUSE_THRESHOLD_MS = 2000.0  # without a tick or message, after which a router considers itself paused
DISSEMINATION_FANOUT = 1  # members that are sent updates alone at each tick
CORRECTION_INTERVAL_MS = 1000.0  # between two corrections sent to one member
_RNG_SALT = 0x5357_494D  # keeps this component's random draws apart from others of the same seed


class SwimMembership:
    """The membership component of one router.

    `status_changes` is for the log; its reader clears it.
    """

    message_types = frozenset({MessageType.MEMBERSHIP})

    def __init__(self, router_index: int, router_count: int, seed: int, now_ms: float = 0.0) -> None:
        self.router_index, self.router_count = router_index, router_count
        self._rng = random.Random(seed ^ _RNG_SALT)
        self._dissemination = DisseminationBuffer(router_count, now_ms)
        self.table = MemberTable(router_index, router_count, self._dissemination, now_ms)
        self.status_changes = self.table.status_changes
        self._failure_detector = FailureDetector(self.table, self._rng, now_ms)
        self._last_active_at_ms = now_ms
        self._suspicion_ms = SUSPICION_INTERVALS * PROBE_INTERVAL_MS * max(1.0, math.log10(router_count))
        self.malformed_datagrams = 0

    def alive_count(self) -> int:
        """The routers that are not held dead, this one included."""
        return 1 + len(self.table.alive_peers())

    def alive_peers(self) -> list[int]:
        """The other routers that are not held dead."""
        return self.table.alive_peers()

    def peers_changed(self, now_ms: float) -> PeersChanged:
        """Who is alive, as a notification for the other components."""
        alive_peers = self.alive_peers()
        alive_for_ms = {
            index: now_ms - self.table.members[index].incarnation_since_ms for index in alive_peers
        }
        return PeersChanged(tuple(alive_peers), self.router_count, alive_for_ms)

    def member_status(self, member_index: int) -> MemberStatus:
        """The status of one router."""
        return self.table.status_of(member_index)

    def on_notification(self, now_ms: float, notification: Notification) -> list[OutboundMessage]:
        """Nothing that other components notify of changes who is alive."""
        return []

    def status(self, now_ms: float) -> dict[str, str]:
        """Figures for the `INFO` command, under the names that operators' tools read."""
        return {"members.present": str(self.alive_count()), "members.configured": str(self.router_count)}

    def record_activity(self, now_ms: float, sender_index: int) -> None:
        """A datagram of any component came from the member itself."""
        if (member := self.table.members.get(sender_index)) is not None:
            member.received_at_ms = now_ms
            self._failure_detector.on_activity(sender_index)

    def on_message(self, now_ms: float, sender_index: int, data: bytes) -> list[SendToPeer]:
        """Take a member's datagram; returns what is to be sent in return."""
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
        return replies + self._correct(now_ms, sender_index, message.incarnation)

    def _replies(self, now_ms: float, sender_index: int, message: SwimMessage) -> list[OutgoingMessage]:
        match message.kind:
            case MessageKind.PING:
                return [OutgoingMessage(MessageKind.ACK, sender_index, message.nonce)]
            case MessageKind.ACK:
                return self._failure_detector.on_ack(sender_index, message.nonce)
            case MessageKind.PING_REQUEST if message.target_index in self.table.members:
                detector, target_index = self._failure_detector, message.target_index
                return [detector.on_ping_request(now_ms, sender_index, message.nonce, target_index)]
            case MessageKind.PING_REQUEST:
                self.table.implausible_updates += 1
                return []
            case MessageKind.UPDATE:
                return []

    def _correct(self, now_ms: float, member_index: int, incarnation: int) -> list[SendToPeer]:
        """Send a member that is alive how it is seen here, if that is wrong: it may refute it."""
        member = self.table.members[member_index]
        is_seen_right = member.status is MemberStatus.ALIVE and incarnation >= member.incarnation
        if is_seen_right or now_ms - member.corrected_at_ms < CORRECTION_INTERVAL_MS:
            return []
        member.corrected_at_ms = now_ms
        return [self._build_datagram(OutgoingMessage(MessageKind.UPDATE, member_index), (member_index,))]

    def on_tick(self, now_ms: float) -> list[SendToPeer]:
        """Several times a second: end suspicions, probe, and disseminate; returns what is to be sent."""
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
        """Hold members dead whose suspicion was not refuted in time; correct those that were just heard."""
        corrections: list[SendToPeer] = []
        for index, member in self.table.members.items():
            is_overdue = now_ms - member.status_since_ms >= self._suspicion_ms
            if member.status is MemberStatus.SUSPECT and is_overdue:
                self.table.set_status(now_ms, index, MemberStatus.DEAD)
            if member.status is not MemberStatus.ALIVE and now_ms - member.received_at_ms < PROBE_INTERVAL_MS:
                corrections += self._correct(now_ms, index, member.incarnation)
        return corrections

    def _send_updates(self) -> list[SendToPeer]:
        """Messages for updates alone, to random members that are alive."""
        peers = self.alive_peers()
        chosen = self._rng.sample(peers, min(DISSEMINATION_FANOUT, len(peers)))
        return [
            self._build_datagram(OutgoingMessage(MessageKind.UPDATE, index))
            for index in chosen
            if self._dissemination.pending
        ]

    def _detect_pause(self, now_ms: float) -> None:
        """After a pause all others look silent, and may hold this router dead: trust nothing from before."""
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
        """Encode a message with as many pending updates as fit, `required` members' first."""
        updates = tuple(self.table.update_of(index) for index in self._dissemination.take(required))
        incarnation = self.table.incarnation
        encoded = codec.encode(
            SwimMessage(message.kind, incarnation, message.nonce, message.target_index, updates)
        )
        return SendToPeer(encoded, message.peer_index)
