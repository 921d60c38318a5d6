"""Who is there, in the manner of SWIM (Das, Gupta and Motivala, 2002), with suspicion and incarnations.

A member that is not heard is pinged, then asked for through others, then suspected, then held dead. Only the
member itself raises its incarnation, and by that takes back what is said of it. Any datagram of a member is a
sign of life, so that few routers that hear each other anyway ping nobody. A router that stood still takes its
own view for old: it holds nobody dead by it, and speaks under a new incarnation.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from cedarthread.components.interface import MessageType, Notification, OutboundMessage, PeersChanged
from cedarthread.gossip.codec import MalformedDatagram
from cedarthread.membership import codec
from cedarthread.membership.codec import MemberStatus, MemberUpdate, MessageKind, SwimMessage
from cedarthread.model.actions import SendToPeer

PROBE_INTERVAL_MS = 500.0  # ms between pings
ACK_TIMEOUT_MS = 500.0  # ms in which an answer must come, and again one by way of others
INDIRECT_PROBES = 3  # others that are asked to ping in one's place
SUSPICION_INTERVALS = 6.0  # periods of a suspicion, times the decimal logarithm of the members, at least one
PAUSE_THRESHOLD_MS = 2000.0  # ms without a turn after which a router takes its view for old
RETRANSMIT_MULTIPLIER = 3.0  # times the binary logarithm of the members that each news is told
DISSEMINATION_FANOUT = 1  # members that news goes to at a turn
PROBES_PER_DEAD_PROBE = 8  # pings of which one goes to a member that is held dead: cuts heal
STARTUP_GRACE_MS = (
    10_000.0  # ms after its own start for which a router suspects nobody that it has never heard
)
BUDGET_BYTES_PER_MS, BURST_BYTES = (
    0.5,
    1000.0,
)  # bytes a ms that news may take, and most saved up: it must not feed on itself
CORRECTION_INTERVAL_MS = 1000.0  # ms between two words to a member that it is held suspect or dead
MAX_INCARNATION_STEP = 2**16  # incarnations by which one may have risen since it was last told: more is a lie


@dataclass(slots=True)
class _Member:
    incarnation: int = 0
    status: MemberStatus = MemberStatus.ALIVE
    status_since_ms: float = 0.0
    incarnation_since_ms: float = 0.0  # when it was first known in this incarnation
    received_at_ms: float = -math.inf  # when anything last came from it itself
    corrected_at_ms: float = -math.inf  # when it was last told how it is held


@dataclass(slots=True)
class _Probe:
    member_index: int
    nonce: int
    sent_at_ms: float
    is_indirect: bool = False  # others have been asked


@dataclass(frozen=True, slots=True)
class StatusChange:
    """A member is held otherwise than before."""

    member_index: int
    status: MemberStatus


class SwimMembership:
    """One router's view of the fleet."""

    message_types = frozenset({MessageType.MEMBERSHIP})

    def __init__(self, router_index: int, router_count: int, seed: int, now: float = 0.0) -> None:
        self.router_index, self.router_count = router_index, router_count
        self.rng = random.Random(seed ^ 0x5357_494D)
        self.incarnation = 0
        self.members = {
            n: _Member(status_since_ms=now, incarnation_since_ms=now)
            for n in range(router_count)
            if n != router_index
        }
        self.pending_updates: dict[int, int] = {}  # member: times that it is still to be told
        self.probe_order: list[int] = []
        self.pending_probe: _Probe | None = None
        self.relayed_pings: dict[
            int, tuple[int, int, float]
        ] = {}  # own nonce: who asked, with which nonce, when
        self.last_nonce = self.probes_started = 0
        self.started_at_ms = self.last_active_at_ms = self.refilled_at_ms = now
        self.next_probe_at_ms = now + self.rng.uniform(0.0, PROBE_INTERVAL_MS)
        self.available_bytes = BURST_BYTES  # bytes that news may take now
        self.malformed_datagrams = self.implausible_updates = 0
        self.status_changes: list[StatusChange] = []  # for the log; whoever reads them clears them

    # What is known.

    def alive_count(self) -> int:
        """Routers that are taken to be there, this one too."""
        return 1 + sum(member.status is not MemberStatus.DEAD for member in self.members.values())

    def alive_peers(self) -> list[int]:
        """Those of them that are others."""
        return [number for number, member in self.members.items() if member.status is not MemberStatus.DEAD]

    def peers_changed(self, now: float) -> PeersChanged:
        """Who is there, for the other parts."""
        return PeersChanged(
            tuple(self.alive_peers()),
            self.router_count,
            {n: now - self.members[n].incarnation_since_ms for n in self.alive_peers()},
        )

    def on_notification(self, now: float, notification: Notification) -> list[OutboundMessage]:
        """Nothing that others tell of changes who is there."""
        return []

    def status(self, now: float) -> dict[str, str]:
        """What operators read of it."""
        return {"members.present": str(self.alive_count()), "members.configured": str(self.router_count)}

    def member_status(self, member_index: int) -> MemberStatus:
        """How one is held."""
        return MemberStatus.ALIVE if member_index == self.router_index else self.members[member_index].status

    # Hearing.

    def record_activity(self, now: float, sender_index: int) -> None:
        """Something came from a member itself, whatever it was."""
        if (member := self.members.get(sender_index)) is None:
            return
        member.received_at_ms = now
        if self.pending_probe is not None and self.pending_probe.member_index == sender_index:
            self.pending_probe = None

    def on_message(self, now: float, sender_index: int, data: bytes) -> list[SendToPeer]:
        """Take a member's datagram; what is to be told in return."""
        message = codec.decode(data)
        if isinstance(message, MalformedDatagram) or sender_index not in self.members:
            self.malformed_datagrams += 1
            return []
        self._detect_pause(now)
        self.record_activity(now, sender_index)
        self._merge_update(now, MemberUpdate(sender_index, message.incarnation, MemberStatus.ALIVE))
        for entry in message.updates:
            self._merge_update(now, entry)
        told: list[SendToPeer] = []
        if message.kind is MessageKind.PING:
            told.append(self._build_message(MessageKind.ACK, sender_index, message.nonce))
        elif message.kind is MessageKind.PING_REQUEST and message.target_index in self.members:
            nonce = self._next_nonce()
            self.relayed_pings[nonce] = (sender_index, message.nonce, now)
            told.append(self._build_message(MessageKind.PING, message.target_index, nonce))
        elif message.kind is MessageKind.ACK:
            asked = self.relayed_pings.pop(message.nonce, None)
            if asked is not None:
                told.append(
                    self._build_message(MessageKind.ACK, asked[0], asked[1], target_index=sender_index)
                )
            if self.pending_probe is not None and self.pending_probe.nonce == message.nonce:
                self.pending_probe = None
        elif message.kind is not MessageKind.UPDATE:
            self.implausible_updates += 1
        return told + self._correct_sender(now, sender_index, message.incarnation)

    def _correct_sender(self, now: float, sender: int, incarnation: int) -> list[SendToPeer]:
        """A member that is there but held otherwise, or of an earlier life, is told: it may take it back."""
        member = self.members[sender]
        same = member.status is MemberStatus.ALIVE and incarnation >= member.incarnation
        if same or now - member.corrected_at_ms < CORRECTION_INTERVAL_MS:
            return []
        member.corrected_at_ms = now
        return [self._build_message(MessageKind.UPDATE, sender, required=(sender,))]

    def _merge_update(self, now: float, entry: MemberUpdate) -> None:
        if entry.member_index == self.router_index:
            return self._refute(entry)
        member = self.members.get(entry.member_index)
        if member is None or entry.incarnation > member.incarnation + MAX_INCARNATION_STEP:
            self.implausible_updates += 1
            return
        newer = entry.incarnation > member.incarnation
        worse = entry.incarnation == member.incarnation and entry.status > member.status
        if newer:
            member.incarnation_since_ms = now
        if newer or worse:
            member.incarnation = entry.incarnation
            self._set_status(now, entry.member_index, entry.status)

    def _refute(self, entry: MemberUpdate) -> None:
        """What is said of this router itself: of an earlier life, or by one that did not hear it."""
        old = entry.incarnation > self.incarnation
        if entry.incarnation > self.incarnation + MAX_INCARNATION_STEP:
            self.implausible_updates += 1
        elif old or (entry.status is not MemberStatus.ALIVE and entry.incarnation == self.incarnation):
            self.incarnation = entry.incarnation + 1
            self._disseminate(self.router_index)

    def _set_status(self, now: float, number: int, status: MemberStatus) -> None:
        member = self.members[number]
        if status is not member.status:
            self.status_changes.append(StatusChange(number, status))
            member.status_since_ms = now
        member.status = status
        self._disseminate(number)

    def _next_nonce(self) -> int:
        self.last_nonce = (self.last_nonce + 1) % 2**16
        return self.last_nonce

    def _disseminate(self, number: int) -> None:
        self.pending_updates[number] = math.ceil(RETRANSMIT_MULTIPLIER * math.log2(self.router_count + 1))

    # Turns.

    def on_tick(self, now: float) -> list[SendToPeer]:
        """Some times a second: what is to be told."""
        if not self.members:
            return []
        self._detect_pause(now)
        self.available_bytes = min(
            self.available_bytes + BUDGET_BYTES_PER_MS * (now - self.refilled_at_ms), BURST_BYTES
        )
        self.refilled_at_ms = now
        told: list[SendToPeer] = []
        span = SUSPICION_INTERVALS * PROBE_INTERVAL_MS * max(1.0, math.log10(self.router_count))
        for number, member in self.members.items():
            if member.status is MemberStatus.SUSPECT and now - member.status_since_ms >= span:
                self._set_status(now, number, MemberStatus.DEAD)
            if member.status is not MemberStatus.ALIVE and now - member.received_at_ms < PROBE_INTERVAL_MS:
                told += self._correct_sender(now, number, member.incarnation)
        for nonce in [n for n, (_, _, at) in self.relayed_pings.items() if now - at > 4 * ACK_TIMEOUT_MS]:
            del self.relayed_pings[nonce]
        if self.pending_probe is not None and now - self.pending_probe.sent_at_ms >= ACK_TIMEOUT_MS:
            told += self._on_ack_timeout(now, self.pending_probe)
        if self.pending_probe is None and now >= self.next_probe_at_ms:
            self.next_probe_at_ms = now + PROBE_INTERVAL_MS * self.rng.uniform(
                0.8, 1.2
            )  # so that no two stay in step
            told += self._start_probe(now)
        if self.pending_updates and self.available_bytes >= codec.UPDATE_BYTES * 8:
            others = self.alive_peers()
            some = self.rng.sample(others, min(DISSEMINATION_FANOUT, len(others)))
            told += [
                self._build_message(MessageKind.UPDATE, number) for number in some if self.pending_updates
            ]
        return told

    def _detect_pause(self, now: float) -> None:
        """Guards against a router that stood still: all others look silent to it, and it is old itself."""
        stood, self.last_active_at_ms = now - self.last_active_at_ms > PAUSE_THRESHOLD_MS, now
        if not stood:
            return
        self.pending_probe = None
        self.relayed_pings.clear()
        for member in self.members.values():
            member.received_at_ms = max(member.received_at_ms, now - PROBE_INTERVAL_MS)
            if member.status is MemberStatus.SUSPECT:
                member.status_since_ms = now
        self.incarnation += 1
        self._disseminate(self.router_index)

    def _start_probe(self, now: float) -> list[SendToPeer]:
        """The next member that was not heard lately, in a random order that takes in all."""
        self.probes_started += 1
        dead = [number for number, member in self.members.items() if member.status is MemberStatus.DEAD]
        if dead and self.probes_started % PROBES_PER_DEAD_PROBE == 0:
            return [self._build_message(MessageKind.PING, self.rng.choice(dead), self._next_nonce())]
        for _ in range(len(self.members)):
            if not self.probe_order:
                self.probe_order = self.rng.sample(sorted(self.members), len(self.members))
            number = self.probe_order.pop()
            member = self.members[number]
            if member.status is not MemberStatus.DEAD and now - member.received_at_ms > PROBE_INTERVAL_MS:
                self.pending_probe = _Probe(number, self._next_nonce(), now)
                return [self._build_message(MessageKind.PING, number, self.pending_probe.nonce)]
        return []

    def _on_ack_timeout(self, now: float, ping: _Probe) -> list[SendToPeer]:
        if not ping.is_indirect and (others := [n for n in self.alive_peers() if n != ping.member_index]):
            ping.is_indirect, ping.sent_at_ms = True, now
            some = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
            return [
                self._build_message(
                    MessageKind.PING_REQUEST, number, ping.nonce, target_index=ping.member_index
                )
                for number in some
            ]
        self.pending_probe = None
        member = self.members[ping.member_index]
        unknown = member.received_at_ms == -math.inf and now - self.started_at_ms < STARTUP_GRACE_MS
        if member.status is MemberStatus.ALIVE and not unknown:
            self._set_status(now, ping.member_index, MemberStatus.SUSPECT)
        return []

    def _build_message(
        self,
        kind: MessageKind,
        peer_index: int,
        nonce: int = 0,
        target_index: int = 0,
        required: tuple[int, ...] = (),
    ) -> SendToPeer:
        """A message with as much news as fits, the least told first."""
        rest = sorted(
            (n for n in self.pending_updates if n not in required), key=lambda n: -self.pending_updates[n]
        )
        entries = []
        fits = max(len(required), min(codec.MAX_UPDATES, int(self.available_bytes // codec.UPDATE_BYTES)))
        for number in (*required, *rest)[:fits]:
            self.available_bytes -= codec.UPDATE_BYTES
            if number == self.router_index:
                entries.append(MemberUpdate(number, self.incarnation, MemberStatus.ALIVE))
            else:
                entries.append(
                    MemberUpdate(number, self.members[number].incarnation, self.members[number].status)
                )
            if (left := self.pending_updates.get(number)) is not None:
                self.pending_updates[number] = left - 1
                if left <= 1:
                    del self.pending_updates[number]
        return SendToPeer(
            codec.encode(SwimMessage(kind, self.incarnation, nonce, target_index, tuple(entries))), peer_index
        )
