"""A process of hostile clients, which floods one router for some seconds.

    python -m cedarthread.testing.hostile.flood PORT SPEC

SPEC is a ``FloodSpec`` as JSON. Standard output gets one JSON object at the end: the messages sent and the
bytes received.
"""

from __future__ import annotations

import contextlib
import json
import os
import selectors
import socket
import struct
import sys
import time
from dataclasses import asdict, dataclass
from enum import StrEnum

from cedarthread.protocols import msgpack
from cedarthread.testing.hostile.messages import (
    MESSAGES,
    MessageKind,
    pack_long_text_call,
    pack_many_fields_head,
    pack_unsafe_call,
)

MESSAGES_PER_WRITE = 64
RECEIVE_BYTES = 65536
RETURN_CALLS = 16  # calls of a returning client on each connection
ID_PREFIX_BYTES = 4
RETURN_AFTER_S = 0.05  # time after which it closes the connection
CHURN_MESSAGES = 300  # messages after which a churning client closes its connection and comes again
SLOW_WRITE_PERIOD_S = 0.05
SLOW_WRITE_BYTES = 700
SELECT_TIMEOUT_S = 0.02
PACED_WRITE_PERIOD_S = 0.005
MANY_FIELDS = 12_000
RECONNECT_PAUSE_S = 0.02


class Style(StrEnum):
    """How hostile clients write."""

    STREAM = "stream"  # as fast as the router reads
    CHURN = "churn"  # some hundred messages as fast as possible, then a close and a new connection
    RESET = "reset"  # as ``CHURN``, with RST in place of FIN
    RETURN = "return"  # calls, a close while they run, and the same ids again on a new connection
    HALF = "half"  # a part of a long message, and then nothing more
    SLOW = "slow"  # a long message, a few bytes at a time
    MANY_FIELDS = "many-fields"  # the head of a message with very many short fields


@dataclass(frozen=True, slots=True)
class FloodSpec:
    """One flood: what its clients send, how, and for how long."""

    kind: MessageKind = MessageKind.CALLS
    style: Style = Style.STREAM
    connections: int = 1
    reads: bool = True  # False: the clients never read a response
    seconds: float = 5.0
    window: int = 0  # maximum of unanswered messages of each connection; 0: any number
    # Messages that each connection sends per second at most; 0: as many as the router reads.
    rate: float = 0.0

    def to_json(self) -> str:
        """Return the specification as JSON."""
        return json.dumps(asdict(self))

    @staticmethod
    def from_json(text: str) -> FloodSpec:
        """Return the specification that ``to_json`` has encoded."""
        values = json.loads(text)
        return FloodSpec(**values | {"kind": MessageKind(values["kind"]), "style": Style(values["style"])})


class HostileClient:
    """One hostile client, and its current connection."""

    def __init__(self, port: int, spec: FloodSpec, selector: selectors.BaseSelector) -> None:
        self.port = port
        self._id_prefix = os.urandom(ID_PREFIX_BYTES).hex()  # of the ids of a returning client
        self._connections = 0
        self.spec = spec
        self.selector = selector
        self.sent_messages = 0
        self.received_bytes = 0
        self.connect_not_before_s = 0.0
        self._started_at_s = time.monotonic()
        self._sock: socket.socket | None = None
        self._connected_at_s = 0.0
        self._unsent = b""
        self._sent_on_connection = 0
        self._write_not_before_s = 0.0
        self._answered_on_connection = 0
        self._unparsed = b""

    def connect_if_due(self, now_s: float) -> None:
        """Open a connection if there is none and the pause is over; a returning client leaves before."""
        is_returning = self.spec.style is Style.RETURN and self._sock is not None
        if is_returning and now_s - self._connected_at_s > RETURN_AFTER_S:
            self.close()
        if self._sock is not None or now_s < self.connect_not_before_s:
            return
        sock = socket.socket()
        try:
            sock.connect(("127.0.0.1", self.port))
        except OSError:
            sock.close()
            self.connect_not_before_s = now_s + RECONNECT_PAUSE_S
            return
        sock.settimeout(0.0)
        self._sock = sock
        self._connected_at_s = now_s
        self._connections += 1
        self._sent_on_connection = 0
        self._answered_on_connection = 0
        self._unparsed = b""
        self._unsent = self._first_bytes()
        events = selectors.EVENT_WRITE | (selectors.EVENT_READ if self.spec.reads else 0)
        self.selector.register(sock, events, self)

    def _first_bytes(self) -> bytes:
        if self.spec.style is Style.HALF:
            return pack_long_text_call(1, "check", "props")[:20_000]
        if self.spec.style is Style.SLOW:
            return pack_long_text_call(1, "check", "props")
        if self.spec.style is Style.RETURN:
            visit = (self._connections - 1) // 2  # two connections in turn send the same ids
            ids = [f"{self._id_prefix}{visit:04x}{index:04x}" for index in range(RETURN_CALLS)]
            return b"".join(pack_unsafe_call(1 + index, call_id) for index, call_id in enumerate(ids))
        if self.spec.style is Style.MANY_FIELDS:
            return pack_many_fields_head(1, MANY_FIELDS)
        return b""

    def close(self, *, with_reset: bool = False) -> None:
        """Close the connection."""
        if self._sock is None:
            return
        self.selector.unregister(self._sock)
        if with_reset:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._sock.close()
        self._sock = None

    def on_readable(self, now_s: float) -> None:
        """Read and discard; come again after the router has closed."""
        assert self._sock is not None
        try:
            received = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            received = b""
        self.received_bytes += len(received)
        if self.spec.window:
            self._count_answers(received)
        if not received:
            self.close()
            self.connect_not_before_s = now_s + RECONNECT_PAUSE_S

    def _count_answers(self, received: bytes) -> None:
        data = memoryview(self._unparsed + received)
        offset = 0
        while isinstance(parsed := msgpack.parse(data, offset), msgpack.ParsedValue):
            offset = parsed.end
            self._answered_on_connection += 1
        self._unparsed = bytes(data[offset:])

    def on_writable(self, now_s: float) -> None:
        """Write as the style says."""
        if self._sock is None:
            return
        if not self._unsent and self.spec.style in (Style.STREAM, Style.CHURN, Style.RESET):
            self._unsent = self._next_messages(now_s)
        if not self._unsent or now_s < self._write_not_before_s:
            return
        chunk = self._unsent
        if self.spec.style is Style.SLOW:
            chunk = self._unsent[:SLOW_WRITE_BYTES]
            self._write_not_before_s = now_s + SLOW_WRITE_PERIOD_S
        try:
            sent = self._sock.send(chunk)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            self.connect_not_before_s = now_s + RECONNECT_PAUSE_S
            return
        self._unsent = self._unsent[sent:]
        is_churning = self.spec.style in (Style.CHURN, Style.RESET)
        if is_churning and not self._unsent and self._sent_on_connection >= CHURN_MESSAGES:
            self.close(with_reset=self.spec.style is Style.RESET)

    def _next_messages(self, now_s: float) -> bytes:
        count = MESSAGES_PER_WRITE
        if self.spec.rate:
            allowed = int((now_s - self._started_at_s) * self.spec.rate)
            count = min(count, allowed - self.sent_messages)
        if self.spec.window:
            unanswered = self._sent_on_connection - self._answered_on_connection
            count = min(count, self.spec.window - unanswered)
        make = MESSAGES[self.spec.kind]
        first = self._sent_on_connection + 1
        self._sent_on_connection += max(0, count)
        self.sent_messages += max(0, count)
        return b"".join(make(first + index) for index in range(count))


def flood(port: int, spec: FloodSpec) -> dict[str, int]:
    """Flood the router at a port of loopback; return the counts of messages sent and bytes received."""
    selector = selectors.DefaultSelector()
    clients = [HostileClient(port, spec, selector) for _ in range(spec.connections)]
    end_s = time.monotonic() + spec.seconds
    is_paced = bool(spec.rate or spec.window) or spec.style in (
        Style.HALF,
        Style.SLOW,
        Style.MANY_FIELDS,
        Style.RETURN,
    )
    while (now_s := time.monotonic()) < end_s:
        for client in clients:
            client.connect_if_due(now_s)
        for key, events in selector.select(SELECT_TIMEOUT_S):
            if events & selectors.EVENT_READ:
                key.data.on_readable(now_s)
            if events & selectors.EVENT_WRITE:
                key.data.on_writable(now_s)
        if is_paced:
            time.sleep(PACED_WRITE_PERIOD_S)
    for client in clients:
        client.close()
    return {
        "sent_messages": sum(client.sent_messages for client in clients),
        "received_bytes": sum(client.received_bytes for client in clients),
    }


def main() -> None:
    """Flood as the arguments say, and print the counts."""
    port = int(sys.argv[1])
    spec = FloodSpec.from_json(sys.argv[2])
    with contextlib.suppress(KeyboardInterrupt):
        print(json.dumps(flood(port, spec)), flush=True)


if __name__ == "__main__":
    main()
