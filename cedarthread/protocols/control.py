"""The operators' address: one line a connection, one reply line that begins with YES or NO.

It reports; what the figures are and whether the process can serve is told to it by the service."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from cedarthread.transport.acceptor import Acceptor, create_listener
from cedarthread.transport.connection import BufferedConnection
from cedarthread.transport.descriptor_budget import MAX_OPERATOR_CONNECTIONS, SMALL_ACCEPTS_PER_PASS
from cedarthread.transport.flusher import Flusher

log = logging.getLogger("cedarthread.control")

MAX_LINE_BYTES = 256  # bytes of the longest line, its end included
LINE_TIMEOUT_S = 1.0  # s that a connection has to bring its whole line
MAX_CONNECTIONS = MAX_OPERATOR_CONNECTIONS  # connections at once; beyond, the oldest gives way
LISTEN_BACKLOG = 64

CommandHandler = Callable[[], tuple[bool, list[str]]]  # yes or no, and the lines after the first


class ControlConnection(BufferedConnection):
    """One operator's question."""

    def __init__(self, server: ControlServer) -> None:
        super().__init__(MAX_LINE_BYTES, server.flusher)
        self.server = server
        self.has_replied = False
        self._line_timer: asyncio.TimerHandle | None = None

    def on_connected(self) -> None:
        """Count it in, and give it its time."""
        if not self.server.register(self):
            return self.abort()
        self._line_timer = self._loop.call_later(LINE_TIMEOUT_S, self.reply_no, "no whole line in time")

    def on_disconnected(self) -> None:
        """Count it out."""
        self.server.connections.pop(self, None)
        if self._line_timer is not None:
            self._line_timer.cancel()

    def on_data(self, data: memoryview) -> int | None:
        """Answer the first whole line; all else is read and dropped."""
        if self.has_replied:
            return len(data)
        end = self.buffer.find(b"\n", 0)
        if end < 0:
            return 0
        self.handle_line(bytes(data[:end]).rstrip(b"\r"))
        return len(data)

    def on_buffer_full(self) -> None:
        """A line longer than any question."""
        self.reply_no(f"line over {MAX_LINE_BYTES - 1} bytes")

    def eof_received(self) -> bool:
        """The line was cut short: no end came."""
        self.reply_no("line cut short")
        return True

    def handle_line(self, line: bytes) -> None:
        """The reply to a whole line."""
        word = line.decode("ascii", "replace").strip()
        reply = self.server.commands.get(word.upper())
        if reply is None:
            return self.reply_no(f"unknown command {word[:32]!r}")
        yes, lines = reply()
        self.reply(("YES" if yes else "NO") + "\n" + "".join(f"{each}\n" for each in lines))

    def reply_no(self, reason: str) -> None:
        """Say no and why."""
        self.reply(f"NO {reason}\n")

    def reply(self, text: str) -> None:
        """The one reply, then the end of the connection."""
        if self.has_replied:
            return
        self.has_replied = True
        if self._line_timer is not None:
            self._line_timer.cancel()
        self.write(text.encode())
        self.lingering_close()


class ControlServer:
    """The listener at the control address and its few connections."""

    def __init__(
        self,
        commands: Mapping[str, CommandHandler],
        flusher: Flusher,
        max_connections: int = MAX_CONNECTIONS,
        release_descriptor: Callable[[], bool] = lambda: False,
    ) -> None:
        self.commands = commands
        self.flusher = flusher
        self.max_connections = max_connections
        self.release_descriptor = release_descriptor  # has a descriptor given back, where none is left
        self.connections: dict[ControlConnection, None] = {}  # the oldest first
        self._acceptor: Acceptor[ControlConnection] | None = None

    def register(self, connection: ControlConnection) -> bool:
        """Guards the descriptors: a flood of idle connections costs only its own oldest."""
        if connection in self.connections:
            return True
        if len(self.connections) >= self.max_connections:
            oldest = next((c for c in self.connections if c.transport is not None), None)
            if oldest is None:  # none can be closed yet
                return False
            del self.connections[oldest]
            oldest.abort()
        self.connections[connection] = None
        return True

    def listen(self, host: str, port: int) -> int:
        """Accept operators; the port that it is. OSError where that can't be."""
        sock = create_listener(host, port, LISTEN_BACKLOG)
        self._acceptor = Acceptor(
            "operators",
            sock,
            SMALL_ACCEPTS_PER_PASS,
            self._create_connection,
            self._on_setup_failed,
            self.release_descriptor,
        )
        return self._acceptor.port

    def _create_connection(self) -> ControlConnection | None:
        connection = ControlConnection(self)
        return connection if self.register(connection) else None

    def _on_setup_failed(self, connection: ControlConnection) -> None:
        self.connections.pop(connection, None)

    def stop_listening(self) -> None:
        """Accept no more."""
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None
