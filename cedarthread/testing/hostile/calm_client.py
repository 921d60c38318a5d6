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
LAST_ANSWERS_S = 1.0


@dataclass(slots=True)
class CalmFigures:
    """What a calm client has seen; latencies are in ms, infinite for a request without an answer."""

    call_latencies_ms: list[float] = field(default_factory=list)
    health_latencies_ms: list[float] = field(default_factory=list)
    served: int = 0

    def served_within(self, limit_ms: float) -> float:
        """Return the fraction of the calls that were served within a time."""
        in_time = sum(latency_ms <= limit_ms for latency_ms in self.call_latencies_ms)
        return in_time / max(1, len(self.call_latencies_ms))

    def health_percentile_ms(self, fraction: float) -> float:
        """Return a percentile of the latencies of the health checks."""
        ordered = sorted(self.health_latencies_ms)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else float("inf")


@dataclass(slots=True)
class _Request:
    sent_at_s: float
    is_call: bool


class CalmClient:
    """A client on one connection, which a thread drives until ``stop``.

    Args:
        port: The router's port on loopback.
        number: Distinguishes the ids of several calm clients.
    """

    def __init__(self, port: int, number: int = 0) -> None:
        self.figures = CalmFigures()
        self._number = number
        self._sock = socket.create_connection(("127.0.0.1", port))
        self._sock.settimeout(0.005)
        self._open: dict[int, _Request] = {}
        self._buffer = b""
        self._should_stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start to send."""
        self._thread.start()

    def stop(self) -> CalmFigures:
        """Stop, wait for the last answers, and return the figures."""
        self._should_stop.set()
        self._thread.join()
        for request in self._open.values():
            self._record(request, float("inf"))
        self._sock.close()
        return self.figures

    def _run(self) -> None:
        number = 0
        next_at_s = time.monotonic()
        try:
            while not self._should_stop.is_set():
                now_s = time.monotonic()
                if now_s >= next_at_s:
                    next_at_s += PERIOD_S
                    number += 2
                    self._send(number)
                self._receive()
            end_s = time.monotonic() + LAST_ANSWERS_S
            while self._open and time.monotonic() < end_s:
                self._receive()
        except OSError:  # the router has gone; what is open counts as unanswered
            return

    def _send(self, number: int) -> None:
        fields = {"txn": f"{self._number:04x}{number:012x}", "limit": str(CALL_LIMIT_MS), "item": FUNCTION}
        now_s = time.monotonic()
        self._open[number] = _Request(now_s, is_call=True)
        self._open[number + 1] = _Request(now_s, is_call=False)
        health_check = b"\x94\x00" + msgpack.pack_uint(number + 1) + msgpack.pack_str("check") + b"\x91\x80"
        self._sock.sendall(pack_call(number, "check", b"x", fields) + health_check)

    def _receive(self) -> None:
        try:
            received = self._sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            return
        if not received:
            raise OSError("the router closed the connection")
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
