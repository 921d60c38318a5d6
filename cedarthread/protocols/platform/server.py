"""The platform's server: accepts clients on its address, bounds their number and closes them in time."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from cedarthread.logs import format_event
from cedarthread.protocols.platform.connection import PlatformConnection
from cedarthread.transport.acceptor import Acceptor, create_listener_with_retries
from cedarthread.transport.descriptor_budget import CLIENT_ACCEPTS_PER_PASS

if TYPE_CHECKING:
    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.transport.flusher import Flusher

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 512
# For the first complete message of a connection, and for each message from its first byte to its last.
MESSAGE_TIMEOUT_S = 2.0
# Without a byte or an open call, after which a client counts as gone without a trace.
SILENT_CLIENT_TIMEOUT_S = 120.0
DEFAULT_MAX_QUEUED_BYTES = 32 * 2**20  # the service sets it by the memory limit


class PlatformServer:
    """The listening socket and its connections.

    ``queued_bytes`` counts the responses that slow clients have not read; above ``max_queued_bytes`` calls
    are rejected.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        max_connections: int,
        flusher: Flusher,
        max_queued_bytes: int = DEFAULT_MAX_QUEUED_BYTES,
        accepts_per_pass: int = CLIENT_ACCEPTS_PER_PASS,
    ) -> None:
        self.dispatcher = dispatcher
        self.accepts_per_pass = accepts_per_pass
        self.max_queued_bytes = max_queued_bytes
        self.flusher = flusher
        self.max_connections = max_connections
        self.is_ready = True  # as health checks report it
        self.is_draining = False  # connections close once they are idle
        self.queued_bytes = 0
        # The least recently used first: those that have sent a valid message, and those that have not.
        self.connections: dict[PlatformConnection, None] = {}
        self.unproven_connections: dict[PlatformConnection, None] = {}
        self._acceptor: Acceptor[PlatformConnection] | None = None
        self._draining_acceptor: Acceptor[PlatformConnection] | None = None  # accepts what still waits

    def register(self, connection: PlatformConnection) -> bool:
        """Count a connection in, once. At the bound an idle one is evicted for it; False if none is idle."""
        if connection in self.unproven_connections or connection in self.connections:
            return True
        count = len(self.connections) + len(self.unproven_connections)
        if count >= self.max_connections and not self.evict_idle():
            return False
        self.unproven_connections[connection] = None
        return True

    def evict_idle(self) -> bool:
        """Close an idle connection, unproven ones first: its descriptor is free in the next loop pass.

        False if there is none.
        """
        for connection in (*self.unproven_connections, *self.connections):
            if connection.can_evict():
                self.unregister(connection)
                connection.abort() if connection.discard_budget is not None else connection.close()
                return True
        return False

    def mark_proven(self, connection: PlatformConnection) -> None:
        """It has sent a valid message: it is now the most recently used, and evicted after unproven ones."""
        self.unregister(connection)
        self.connections[connection] = None

    def unregister(self, connection: PlatformConnection) -> None:
        """Count a connection out."""
        self.connections.pop(connection, None)
        self.unproven_connections.pop(connection, None)

    async def listen(self, host: str, port: int) -> int:
        """Accept clients; returns the port. Another process may listen on the same address (SO_REUSEPORT)."""
        listening_socket = await create_listener_with_retries(host, port, LISTEN_BACKLOG, reuse_port=True)
        self._acceptor = Acceptor(
            "clients",
            listening_socket,
            max_accepts_per_pass=self.accepts_per_pass,
            create_protocol=self._create_connection,
            on_setup_failed=self.unregister,
            release_descriptor=self.evict_idle,
        )
        return self._acceptor.port

    def _create_connection(self) -> PlatformConnection | None:
        """One more client, counted in before its connection is up: a flood cannot outrun the count."""
        connection = PlatformConnection(self)
        return connection if self.register(connection) else None

    def stop_listening(self) -> None:
        """Accept no more, after what already waits to be accepted."""
        if self._acceptor is not None:
            self._acceptor.drain_and_close()
            self._draining_acceptor, self._acceptor = self._acceptor, None

    def drain(self) -> None:
        """Accept no more connections, and close each as soon as it is idle.

        Calls that come to a process about to end have less time than their client would get elsewhere.
        """
        self.stop_listening()
        self.is_draining = True
        for connection in [*self.unproven_connections, *self.connections]:
            if connection.is_idle():
                connection.lingering_close()

    def sweep(self, now_s: float) -> None:
        """Close what has sent no complete message in time, or has been silent for too long.

        ``now_s`` is loop time in seconds.
        """
        for connection in [*self.unproven_connections, *self.connections]:
            started_at = connection.message_started_at
            is_late = started_at is not None and now_s - started_at > MESSAGE_TIMEOUT_S
            is_gone = not connection.calls.open and now_s - connection.last_read_at > SILENT_CLIENT_TIMEOUT_S
            is_up = connection.transport is not None and connection.discard_budget is None
            if is_up and not connection.has_unprocessed_messages and (is_late or is_gone):
                log.info(format_event("client_timed_out"))
                connection.fail_calls_and_close()

    def is_drained(self) -> bool:
        """All that waited to be accepted has been, and all responses have left this process."""
        if self._draining_acceptor is not None and not self._draining_acceptor.is_finished():
            return False
        connections = (*self.unproven_connections, *self.connections)
        transports = [one.transport for one in connections if not one.is_closed and one.transport is not None]
        has_queued = any(one.write_queue for one in connections)
        return not has_queued and not any(transport.get_write_buffer_size() for transport in transports)
