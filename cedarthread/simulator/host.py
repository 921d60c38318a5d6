"""Hosts router instances for the operators' simulator.

The program reads request frames from standard input and writes one reply frame for each to standard output.
``SimulatorHost`` holds the only state: the running instances.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from cedarthread.model.endpoints import EndpointUpdate
from cedarthread.model.events import (
    AttemptEnded,
    ClientDisconnected,
    Event,
    HealthCheckEnded,
    PeerMessageReceived,
    PreloadEnded,
    RequestArrived,
    StreamStarted,
    TimerFired,
)
from cedarthread.node.routing_node import RoutingNode
from cedarthread.simulator.decoder import (
    Decoder,
    InstanceKilled,
    InstanceStarted,
    SimulatorProtocolError,
)
from cedarthread.simulator.encoder import encode_action, encode_failure, encode_reply, encode_select_instance

LENGTH_BYTES = 4  # size of the length field of a frame; the length includes the field
MIN_FRAME_BYTES = 16  # size of the header of a batch

# Descriptions of event kinds for failure records, which name no Python types because operators read them.
_EVENT_DESCRIPTIONS: dict[type, str] = {
    EndpointUpdate: "an endpoint update",
    RequestArrived: "a request that arrived",
    StreamStarted: "a stream that started",
    AttemptEnded: "an attempt that ended",
    ClientDisconnected: "a client that disconnected",
    TimerFired: "a timer that fired",
    HealthCheckEnded: "a health check that ended",
    PeerMessageReceived: "a message of a peer",
    PreloadEnded: "a preload that ended",
}


class SimulatorHost:
    """The router instances of one process, which share only the simulator's numbered endpoint lists."""

    def __init__(self) -> None:
        self.decoder = Decoder()
        self.nodes: dict[int, RoutingNode] = {}  # nodes by instance id

    def handle_frame(self, frame: bytes) -> bytes:
        """Pass the events of a frame to their instances, and return the reply frame with the actions.

        An event for an instance that is not running is ignored.

        Raises:
            SimulatorProtocolError: The frame is malformed.
        """
        now_ms, events = self.decoder.decode_batch(frame)
        records: list[bytes] = []
        selected_instance: int | None = None
        for instance_id, event in events:
            if isinstance(event, InstanceStarted):
                incarnation = event.seed ^ int(now_ms)
                self.nodes[instance_id] = RoutingNode(event.settings, event.seed, incarnation)
                continue
            if isinstance(event, InstanceKilled):
                self.nodes.pop(instance_id, None)
                continue
            node = self.nodes.get(instance_id)
            if node is None:
                continue
            event_records = _handle_event(node, now_ms, event)
            if event_records and instance_id != selected_instance:
                records.append(encode_select_instance(instance_id))
                selected_instance = instance_id
            records.extend(event_records)
        return encode_reply(records)


def _handle_event(node: RoutingNode, now_ms: float, event: Event) -> list[bytes]:
    try:
        return [encode_action(action) for action in node.handle(now_ms, event)]
    except Exception as error:  # reported to the simulator, which decides whether to stop
        description = _EVENT_DESCRIPTIONS[type(event)]
        details = str(error) or "no details"
        return [encode_failure(f"internal error while handling {description}: {details}")]


def read_frame(source: BinaryIO) -> bytes | None:
    """Return the next frame, or None at the end of the input.

    Raises:
        SimulatorProtocolError: The input ends inside a frame, or the frame is shorter than a header.
    """
    head = source.read(LENGTH_BYTES)
    if not head:
        return None
    if len(head) < LENGTH_BYTES:
        raise SimulatorProtocolError(f"frame length truncated: got {len(head)} of 4 bytes")
    length = int.from_bytes(head, "little")
    if length < MIN_FRAME_BYTES:
        raise SimulatorProtocolError(f"frame length {length} is less than the 16 bytes of the header")
    body = source.read(length - LENGTH_BYTES)
    if len(body) < length - LENGTH_BYTES:
        raise SimulatorProtocolError(f"frame truncated: got {LENGTH_BYTES + len(body)} of {length} bytes")
    return head + body


def main(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer frames until the input ends, and return the exit code: 0, or 2 after malformed input."""
    host = SimulatorHost()
    try:
        while (frame := read_frame(source)) is not None:
            sink.write(host.handle_frame(frame))
            sink.flush()
    except SimulatorProtocolError as error:
        print(f"cedarthread: bad input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin.buffer, sys.stdout.buffer))
