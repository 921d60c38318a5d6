"""Datagrams and actions of a small fleet of complete routers that runs in one process."""

from __future__ import annotations

import dataclasses
import hashlib
import json
import struct
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from cedarthread import fleet_config
from cedarthread.components.messages import MessageType
from cedarthread.model.actions import Action, LogMessage, SendToPeer, SetTimer
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded, Event, PeerMessageReceived, RequestArrived, TimerFired
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.model.settings import Tenant
from cedarthread.node.routing_node import RoutingNode
from cedarthread.simulator.encoder import encode_action, encode_select_instance
from tests.golden_builders.escrow import ESCROW_CODEC
from tests.golden_builders.gossip import GOSSIP_CODEC
from tests.golden_builders.membership import MEMBERSHIP_CODEC
from tests.golden_builders.priority import PRIORITY_CODEC
from tests.golden_builders.recovery import RECOVERY_CODEC
from tests.golden_builders.replicated_entries import FLEET_FILE
from tests.golden_builders.replication import REPLICATION_CODEC
from tests.golden_builders.sample import FUNCTION_ID, WALL_CLOCK_MS, Sample, text_sample
from tests.golden_log_lines import legacy_message
from tests.helpers import settings, worker

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.golden_builders.sample import Rewriter

STEP_MS = 50.0
SAMPLES_PER_KIND = 4
# Datagrams of the other types contain the message kind in their second byte.
TYPES_WITHOUT_KINDS = (MessageType.GOSSIP, MessageType.LOAD_PRESSURE)

# A record is in the simulator's form: the router's index (``encode_select_instance``), then the action.
ACTION_OFFSET = 5
START_ATTEMPT_CODE = 71

REWRITERS: dict[int, Rewriter] = {
    MessageType.GOSSIP: GOSSIP_CODEC.rewrite,
    MessageType.MEMBERSHIP: MEMBERSHIP_CODEC.rewrite,
    MessageType.REPLICATION: REPLICATION_CODEC.rewrite,
    MessageType.ESCROW: ESCROW_CODEC.rewrite,
    MessageType.RECOVERY: RECOVERY_CODEC.rewrite,
    MessageType.LOAD_PRESSURE: PRIORITY_CODEC.rewrite,
}


class QueuedDatagram(NamedTuple):
    """A datagram that arrives at the next step."""

    sender: int
    receiver: int
    data: bytes


class QueuedTimer(NamedTuple):
    """A timer of a router that has not fired yet; timers fire in the order of these fields."""

    at_ms: float
    router_index: int
    token: int


class Fleet:
    """Routers with one shared clock; a datagram arrives one step after it is sent.

    Each router has six ready workers and the same fleet file, but no store.

    Args:
        count: The number of routers.
    """

    def __init__(self, count: int) -> None:
        self.now_ms = 1000.0
        self.datagrams: list[bytes] = []  # Every datagram of any router, in order.
        self.records: list[bytes] = []  # Every action of any router, in order.
        self._queued_datagrams: list[QueuedDatagram] = []
        self._timers: list[QueuedTimer] = []
        limits = dataclasses.replace(settings().limits, allows_gossip=True)
        tenants = (Tenant("shop", 0.5, None), Tenant("m\u00fcller", 0.5, None))
        self.routers: list[RoutingNode] = [
            RoutingNode(
                settings(router_count=count, router_index=index, limits=limits, tenants=tenants),
                70 + index,
                500 + index,
            )
            for index in range(count)
        ]
        config = fleet_config.parse_fleet_config(
            FLEET_FILE.replace(b'[disk]\nfolder = "kept"\nsync = "each"\n', b"")
        )
        ready = tuple(worker(number, started_at_ms=100.0 * number) for number in range(1, 7))
        for index, router in enumerate(self.routers):
            self._handle(index, EndpointUpdate(EndpointUpdateKind.CACHED, 1, ready))
            actions = router.apply_fleet_config(self.now_ms, config, lambda: WALL_CLOCK_MS + self.now_ms)
            self._execute(index, actions)

    def run(self, steps: int) -> None:
        """Advance the clock by ``steps`` steps; a call arrives at every second step."""
        for step in range(steps):
            self.now_ms += STEP_MS
            arriving = self._queued_datagrams
            self._queued_datagrams = []
            for datagram in arriving:
                self._handle(datagram.receiver, PeerMessageReceived(datagram.sender, datagram.data))
            due = sorted(timer for timer in self._timers if timer.at_ms <= self.now_ms)
            self._timers = [timer for timer in self._timers if timer.at_ms > self.now_ms]
            for timer in due:
                self._handle(timer.router_index, TimerFired(timer.token))
            if step % 2 == 0:
                self._call(step)

    def _handle(self, router_index: int, event: Event) -> None:
        self._execute(router_index, self.routers[router_index].handle(self.now_ms, event))

    def _execute(self, router_index: int, actions: Sequence[Action]) -> None:
        for action in actions:
            recorded = (
                LogMessage(legacy_message(action.message)) if isinstance(action, LogMessage) else action
            )
            self.records.append(encode_select_instance(router_index) + encode_action(recorded))
            if isinstance(action, SendToPeer):
                self.datagrams.append(action.data)
                self._queued_datagrams += [
                    QueuedDatagram(router_index, receiver, action.data)
                    for receiver in range(len(self.routers))
                    if receiver != router_index and action.peer_index in (None, receiver)
                ]
            elif isinstance(action, SetTimer):
                self._timers.append(QueuedTimer(action.at_ms, router_index, action.token))

    def _call(self, step: int) -> None:
        """Send a call to one of the routers; each attempt for the call succeeds at once."""
        router_index = step // 2 % len(self.routers)
        function_id = FUNCTION_ID + step % 10
        request = RequestArrived(
            request_id=step + 1,
            function_id=function_id,
            class_index=0,
            deadline_ms=self.now_ms + 1000.0,
            tenant_index=step // 2 % 2,
            concurrency=1.0,
            memory_mb=128.0,
            load_time_ms=300.0,
            work=20.0,
        )
        record_count = len(self.records)
        self._handle(router_index, request)
        for record in self.records[record_count:]:
            if record[ACTION_OFFSET] == START_ATTEMPT_CODE:
                request_id, worker_id = struct.unpack_from("<II", record, ACTION_OFFSET + 1)
                start_kind = StartKind.COLD if step < 20 else StartKind.WARM
                ended = AttemptEnded(
                    request_id=request_id,
                    attempt_index=0,
                    worker_id=worker_id,
                    outcome=Outcome.OK,
                    latency_ms=20.0,
                    is_final=True,
                    start_kind=start_kind,
                    reported_concurrency=0,
                )
                self._handle(router_index, ended)


def build_fleet() -> list[Sample]:
    """Return the first datagrams of each kind, counts, digests of all traffic, and each router's status."""
    fleet = Fleet(3)
    fleet.run(160)
    counts: Counter[bytes] = Counter()
    samples: list[Sample] = []
    for data in fleet.datagrams:
        kind = data[:1] if data[0] in TYPES_WITHOUT_KINDS else data[:2]
        counts[kind] += 1
        if counts[kind] <= SAMPLES_PER_KIND:
            samples.append(Sample(f"{kind.hex()} {counts[kind]}", data, None, REWRITERS[data[0]]))
    samples += [Sample(f"{kind.hex()} count", b"%d" % count) for kind, count in sorted(counts.items())]
    samples.append(Sample("all datagrams sha256", _digest(fleet.datagrams)))
    samples.append(Sample("all actions sha256", _digest(fleet.records)))
    for index, router in enumerate(fleet.routers):
        status = json.dumps(router.status(fleet.now_ms), indent=0, sort_keys=True)
        samples.append(text_sample(f"state {index}", status))
    return samples


def _digest(parts: Sequence[bytes]) -> bytes:
    return hashlib.sha256(b"".join(parts)).digest()
