"""Hosts many instances of the decision module on the bench's wire, on standard input and output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from cedarthread.components.node import RoutingNode
from cedarthread.simulator import codec


class SimulatorHost:
    """The instances of one process; they share nothing but the numbered worker lists of the wire."""

    def __init__(self) -> None:
        self.decoder = codec.Decoder()
        self.nodes: dict[int, RoutingNode] = {}

    def handle_frame(self, frame: bytes) -> bytes:
        """The reply frame to one batch frame."""
        now, events = self.decoder.decode_batch(frame)
        records: list[bytes] = []
        last: int | None = None
        for who, event in events:
            if isinstance(event, codec.InstanceStarted):
                self.nodes[who] = RoutingNode(event.settings, event.seed, event.seed ^ int(now))
                continue
            if isinstance(event, codec.InstanceKilled):
                self.nodes.pop(who, None)
                continue
            router = self.nodes.get(who)
            if router is None:
                continue
            try:
                out = [codec.encode_action(action) for action in router.handle(now, event)]
            except Exception as error:  # whatever the module raised is reported, never swallowed
                out = [codec.encode_failure(f"{type(error).__name__}: {error} on {type(event).__name__}")]
            if out and who != last:
                records.append(codec.encode_instance(who))
                last = who
            records.extend(out)
        return codec.encode_reply(records)


def read_frame(source: BinaryIO) -> bytes | None:
    """The next frame, or None at the end of input."""
    head = source.read(4)
    if not head:
        return None
    if len(head) < 4:
        raise codec.SimulatorProtocolError(f"frame length cut short: {len(head)} of 4 bytes")
    length = int.from_bytes(head, "little")
    if length < 16:
        raise codec.SimulatorProtocolError(f"frame length {length} is under the header's 16 bytes")
    body = source.read(length - 4)
    if len(body) < length - 4:
        raise codec.SimulatorProtocolError(f"frame cut short: {4 + len(body)} of {length} bytes")
    return head + body


def main(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer frames until the input ends."""
    host = SimulatorHost()
    try:
        while (frame := read_frame(source)) is not None:
            sink.write(host.handle_frame(frame))
            sink.flush()
    except codec.SimulatorProtocolError as error:
        print(f"cedarthread: bad input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin.buffer, sys.stdout.buffer))
