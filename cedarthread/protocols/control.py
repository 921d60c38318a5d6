"""The control interface for operators: one command line per connection, one reply that begins with YES or NO.

Commands are read-only. The service supplies the commands and their handlers.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from cedarthread.transport.acceptor import Acceptor, create_listener
from cedarthread.transport.connection import BufferedConnection
from cedarthread.transport.descriptor_budget import MAX_OPERATOR_CONNECTIONS, SECONDARY_ACCEPTS_PER_ITERATION

if TYPE_CHECKING:
    import asyncio

    from cedarthread.transport.flusher import Flusher

MAX_LINE_BYTES = 256  # longest line, including the newline
LINE_TIMEOUT_S = 1.0  # time limit from the start of the connection to its complete line
MAX_CONNECTIONS = MAX_OPERATOR_CONNECTIONS  # a further connection closes the oldest one
LISTEN_BACKLOG = 64
MAX_ECHOED_CHARACTERS = 32  # maximum number of characters of an unknown command that a reply repeats


class ControlReply(NamedTuple):
    """The reply to one command."""

    is_success: bool  # whether the first line is YES; otherwise it is NO
    lines: list[str]  # the lines after the first


CommandHandler: TypeAlias = Callable[[], ControlReply]


class ControlConnection(BufferedConnection):
    """One connection of an operator, which carries one command."""

    def __init__(self, server: ControlServer) -> None:
        super().__init__(MAX_LINE_BYTES, server.flusher)
        self.server = server
        self.has_replied = False
        self._line_timer: asyncio.TimerHandle | None = None

    def on_connected(self) -> None:
        """Register with the server and start the timeout for the line."""
        if not self.server.register(self):
            self.abort()
            return
        self._line_timer = self._loop.call_later(LINE_TIMEOUT_S, self.reply_no, "no whole line in time")

    def on_disconnected(self) -> None:
        """Unregister from the server."""
        self.server.connections.pop(self, None)
        if self._line_timer is not None:
            self._line_timer.cancel()

    def on_data(self, data: memoryview) -> int | None:
        """Handle the first complete line and discard all other input; return the count of processed bytes."""
        if self.has_replied:
            return len(data)
        end = self.buffer.find(b"\n", 0)
        if end < 0:
            return 0
        self.handle_line(bytes(data[:end]).rstrip(b"\r"))
        return len(data)

    def on_buffer_full(self) -> None:
        """Reply NO to a line that is too long."""
        self.reply_no(f"line over {MAX_LINE_BYTES - 1} bytes")

    def eof_received(self) -> bool:
        """Reply NO to a truncated line (called by asyncio)."""
        self.reply_no("line cut short")
        return True

    def handle_line(self, line: bytes) -> None:
        """Reply to a complete line."""
        command = line.decode("ascii", "replace").strip()
        handler = self.server.commands.get(command.upper())
        if handler is None:
            self.reply_no(f"unknown command {command[:MAX_ECHOED_CHARACTERS]!r}")
            return
        command_reply = handler()
        first_line = "YES" if command_reply.is_success else "NO"
        self.reply("".join(f"{line}\n" for line in (first_line, *command_reply.lines)))

    def reply_no(self, reason: str) -> None:
        """Reply NO with a reason."""
        self.reply(f"NO {reason}\n")

    def reply(self, text: str) -> None:
        """Send the reply, then close; ignore any further reply."""
        if self.has_replied:
            return
        self.has_replied = True
        if self._line_timer is not None:
            self._line_timer.cancel()
        self.write(text.encode())
        self.lingering_close()


class ControlServer:
    """The listening socket at the control address and its connections.

    Args:
        commands: The handler of each command, by name in upper case.
        flusher: Flushes the output once per iteration of the event loop.
        max_connections: The maximum number of connections.
        release_descriptor: Closes a connection elsewhere to free a descriptor; returns False if it cannot.
    """

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
        self.release_descriptor = release_descriptor
        self.connections: dict[ControlConnection, None] = {}  # oldest first
        self._acceptor: Acceptor[ControlConnection] | None = None

    def register(self, connection: ControlConnection) -> bool:
        """Register a connection; has no effect if it is registered already.

        At the limit, close the oldest connection to make room, so that a flood of idle connections cannot
        block an operator. Returns False if no connection can be closed.
        """
        if connection in self.connections:
            return True
        if len(self.connections) >= self.max_connections:
            oldest = next(
                (connection for connection in self.connections if connection.transport is not None), None
            )
            if oldest is None:  # no connection is established
                return False
            del self.connections[oldest]
            oldest.abort()
        self.connections[connection] = None
        return True

    def listen(self, host: str, port: int) -> int:
        """Accept connections of operators and return the port.

        Raises:
            OSError: The address cannot be used.
        """
        self._acceptor = Acceptor(
            "operators",
            create_listener(host, port, LISTEN_BACKLOG),
            max_accepts_per_iteration=SECONDARY_ACCEPTS_PER_ITERATION,
            create_protocol=self._create_connection,
            on_setup_failed=self._on_setup_failed,
            release_descriptor=self.release_descriptor,
        )
        return self._acceptor.port

    def _create_connection(self) -> ControlConnection | None:
        connection = ControlConnection(self)
        return connection if self.register(connection) else None

    def _on_setup_failed(self, connection: ControlConnection) -> None:
        self.connections.pop(connection, None)

    def stop_listening(self) -> None:
        """Close the listening socket."""
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None
