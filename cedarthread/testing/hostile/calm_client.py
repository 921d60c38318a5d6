"""A calm client of one router: a steady call rate and health checks, with the latency of each answer."""

from __future__ import annotations

import socket
import threading
import time
from dataclasses import dataclass, field

from cedarthread.protocols import msgpack
from cedarthread.testing.fakes.client import pack_call
from cedarthread.testing.hostile.messages import FUNCTION

PERIOD_S = 0.05  # time between two requests
CALL_LIMIT_MS = 3000
RECEIVE_BYTES = 65536
RECEIVE_TIMEOUT_S = 0.005
LAST_ANSWERS_S = 1.0
CROSSING_S = 0.05  # a request sent within this time before the router's close may be sent once more
MIN_SENT_FRACTION = 0.7  # of the calls that fit into the time; a client with fewer was kept away


@dataclass(slots=True)
class CalmFigures:
    """What a calm client has seen; latencies are in ms, infinite for a request without an answer."""

    call_latencies_ms: list[float] = field(default_factory=list)
    expected_calls: int = 0  # calls that a client which is never kept away has sent
    health_latencies_ms: list[float] = field(default_factory=list)
    served: int = 0

    def served_within(self, limit_ms: float) -> float:
        """Return the fraction of the calls that were served within a time."""
        in_time = sum(latency_ms <= limit_ms for latency_ms in self.call_latencies_ms)
        return in_time / max(1, len(self.call_latencies_ms), self.expected_calls)

    def health_percentile_ms(self, fraction: float) -> float:
        """Return a percentile of the latencies of the health checks."""
        ordered = sorted(self.health_latencies_ms)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else float("inf")


@dataclass(slots=True)
class _Request:
    sent_at_s: float
    is_call: bool


class CalmClient:
    """A client that a thread drives until ``stop``.

    It comes again when the router closes its connection, as the router may while no request is open. A
    request that crosses such a close is sent once more, and not counted the first time.

    Args:
        port: The router's port on loopback.
        number: Distinguishes the ids of several calm clients.
    """

    def __init__(self, port: int, number: int = 0) -> None:
        self.figures = CalmFigures()
        self._port = port
        self._number = number
        self._started_at_s = 0.0
        self._sock: socket.socket | None = None
        self._open: dict[int, _Request] = {}
        self._buffer = b""
        self._should_stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start to send."""
        self._started_at_s = time.monotonic()
        self._thread.start()

    def stop(self) -> CalmFigures:
        """Stop, wait for the last answers, and return the figures."""
        self._should_stop.set()
        self._thread.join()
        self._disconnect()
        self.figures.expected_calls = int(
            MIN_SENT_FRACTION * (time.monotonic() - self._started_at_s) / PERIOD_S
        )
        return self.figures

    def _run(self) -> None:
        number = 0
        next_at_s = time.monotonic()
        while not self._should_stop.is_set():
            if time.monotonic() >= next_at_s:
                next_at_s += PERIOD_S
                number += 2
                self._send(number)
            self._receive()
        end_s = time.monotonic() + LAST_ANSWERS_S
        while self._open and time.monotonic() < end_s:
            self._receive()

    def _send(self, number: int) -> None:
        fields = {"txn": f"{self._number:04x}{number:012x}", "limit": str(CALL_LIMIT_MS), "item": FUNCTION}
        health_check = b"\x94\x00" + msgpack.pack_uint(number + 1) + msgpack.pack_str("check") + b"\x91\x80"
        now_s = time.monotonic()
        self._open[number] = _Request(now_s, is_call=True)
        self._open[number + 1] = _Request(now_s, is_call=False)
        try:
            if self._sock is None:
                self._sock = socket.create_connection(("127.0.0.1", self._port), timeout=RECEIVE_TIMEOUT_S)
                self._buffer = b""
            self._sock.sendall(pack_call(number, "check", b"x", fields) + health_check)
        except OSError:
            self._disconnect()

    def _disconnect(self) -> None:
        """Close, and count the open requests as unanswered unless they crossed the router's close."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None
        crossing_since_s = time.monotonic() - CROSSING_S
        for request in self._open.values():
            if self._should_stop.is_set() or request.sent_at_s < crossing_since_s:
                self._record(request, float("inf"))
        self._open.clear()

    def _receive(self) -> None:
        if self._sock is None:
            time.sleep(RECEIVE_TIMEOUT_S)
            return
        try:
            received = self._sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            return
        except OSError:
            received = b""
        if not received:
            self._disconnect()
            return
        self._buffer += received
        while isinstance(parsed := msgpack.parse(memoryview(self._buffer)), msgpack.ParsedValue):
            _, number, error, _ = parsed.value
            self._buffer = self._buffer[parsed.end :]
            if (request := self._open.pop(number, None)) is not None:
                latency_ms = 1000.0 * (time.monotonic() - request.sent_at_s)
                self._record(request, latency_ms if error is None else float("inf"))

    def _record(self, request: _Request, latency_ms: float) -> None:
        if request.is_call:
            self.figures.call_latencies_ms.append(latency_ms)
            self.figures.served += latency_ms < float("inf")
        else:
            self.figures.health_latencies_ms.append(latency_ms)
