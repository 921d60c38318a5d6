"""The server for platform clients: accepts connections, limits their number and closes idle ones."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from cedarthread.limits.buffer_memory import BufferMemory
from cedarthread.limits.log_budget import LogBudget
from cedarthread.logs import format_event
from cedarthread.protocols.platform.connection import PlatformConnection
from cedarthread.protocols.platform.shared_ids import MappedIds, default_path
from cedarthread.protocols.platform.turns import InputTurns
from cedarthread.transport.acceptor import Acceptor, create_listener_with_retries
from cedarthread.transport.descriptor_budget import CLIENT_ACCEPTS_PER_ITERATION

if TYPE_CHECKING:
    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.protocols.platform.owners import QueueOwner
    from cedarthread.transport.flusher import Flusher

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 512
# Time limit for a connection's first complete message, and for each message from first to last byte.
MESSAGE_TIMEOUT_S = 2.0
# Time without input and without an open call after which the client counts as disconnected.
IDLE_CLIENT_TIMEOUT_S = 120.0
# The service passes values derived from the memory limit.
DEFAULT_MAX_QUEUED_BYTES = 32 * 2**20
DEFAULT_MAX_BUFFER_BYTES = 16 * 2**20


class PlatformServer:
    """The listening socket for clients and the connections accepted on it.

    ``queued_bytes`` counts the bytes of responses that clients have not read.

    Args:
        dispatcher: Receives the calls.
        max_connections: The maximum number of client connections.
        flusher: Flushes the output once per iteration of the event loop.
        max_queued_bytes: While more bytes than this are queued, the calls of those connections are rejected
            that have more than an equal share of it.
        accepts_per_iteration: Maximum number of connections accepted per iteration of the event loop.
        max_buffer_bytes: The limit on the receive buffers of all connections beyond their initial size.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        max_connections: int,
        flusher: Flusher,
        max_queued_bytes: int = DEFAULT_MAX_QUEUED_BYTES,
        accepts_per_iteration: int = CLIENT_ACCEPTS_PER_ITERATION,
        *,
        max_buffer_bytes: int = DEFAULT_MAX_BUFFER_BYTES,
    ) -> None:
        self.dispatcher = dispatcher
        self.accepts_per_iteration = accepts_per_iteration
        self.max_queued_bytes = max_queued_bytes
        self.flusher = flusher
        self.max_connections = max_connections
        self.is_ready = True  # readiness that health checks report
        self.is_draining = False  # connections close once they are idle
        self.queued_bytes = 0
        self.turns = InputTurns()
        self.buffer_memory = BufferMemory(max_buffer_bytes)
        self.log_budget = LogBudget()
        # Both in order of use, least recent first. A connection is unvalidated until its first valid message.
        self.connections: dict[PlatformConnection, None] = {}
        self.unvalidated_connections: dict[PlatformConnection, None] = {}
        self._acceptor: Acceptor[PlatformConnection] | None = None
        self._draining_acceptor: Acceptor[PlatformConnection] | None = (
            None  # accepts the connections in the listen queue
        )

    def register(self, connection: PlatformConnection) -> bool:
        """Register a connection, once.

        At the limit, evict an idle one, or else one whose client has left; return False if there is neither.
        """
        if connection in self.unvalidated_connections or connection in self.connections:
            return True
        count = len(self.connections) + len(self.unvalidated_connections)
        if count >= self.max_connections and not (self.evict_idle() or self._evict_left()):
            return False
        self.unvalidated_connections[connection] = None
        return True

    def must_read_responses(self, connection: QueueOwner) -> bool:
        """Return whether a client must read responses before it gets further ones."""
        if self.queued_bytes <= self.max_queued_bytes:
            return False
        return connection.queued_bytes * len(self.connections) >= self.max_queued_bytes

    def make_room_for_input(self, added_bytes: int) -> None:
        """Close connections with long incomplete messages until a buffer may grow by ``added_bytes``.

        The message that began first goes first, because one that is written at once is complete soon.
        """
        memory = self.buffer_memory
        if memory.can_grow(added_bytes):
            return
        connections = (*self.unvalidated_connections, *self.connections)
        incomplete = [
            (connection.message_started_at, number)
            for number, connection in enumerate(connections)
            if connection.message_started_at is not None and connection.buffer.is_grown()
        ]
        for _, number in sorted(incomplete):
            connections[number].close_incomplete_message()
            memory.evicted_count += 1
            if memory.can_grow(added_bytes):
                return

    def evict_idle(self) -> bool:
        """Close an idle connection, unvalidated ones first; return False if there is none.

        Its descriptor becomes free in the next iteration of the event loop.
        """
        for connection in (*self.unvalidated_connections, *self.connections):
            # A connection with unsent output would keep its descriptor, uncounted, until that is sent.
            if connection.is_idle():
                self.unregister(connection)
                connection.abort() if connection.is_closing() else connection.close()
                return True
        return False

    def _evict_left(self) -> bool:
        """Abort a connection whose client has left, and whose input waits for its turn.

        Clients that come and go faster than their input is read would use all connections.
        """
        for connection in (*self.unvalidated_connections, *self.connections):
            if connection.has_client_left():
                self.unregister(connection)
                connection.abort()
                return True
        return False

    def mark_validated(self, connection: PlatformConnection) -> None:
        """Make a connection the most recently used one, because it has sent a valid message."""
        self.unregister(connection)
        self.connections[connection] = None

    def unregister(self, connection: PlatformConnection) -> None:
        """Remove a connection from the registered ones."""
        self.connections.pop(connection, None)
        self.unvalidated_connections.pop(connection, None)

    async def listen(self, host: str, port: int) -> int:
        """Accept connections of clients and return the port.

        Another process may listen on the same address (SO_REUSEPORT).
        """
        listening_socket = await create_listener_with_retries(host, port, LISTEN_BACKLOG, reuse_port=True)
        if port:  # with any free port, no other process listens on it
            self._share_call_ids(host, port)
        self._acceptor = Acceptor(
            "clients",
            listening_socket,
            max_accepts_per_iteration=self.accepts_per_iteration,
            create_protocol=self._create_connection,
            on_setup_failed=self.unregister,
            release_descriptor=self.evict_idle,
        )
        return self._acceptor.port

    def _share_call_ids(self, host: str, port: int) -> None:
        """Share the ids of abandoned calls with the other processes of the address; do without on failure."""
        try:
            self.dispatcher.executed_ids.shared = MappedIds(default_path(host, port))
        except OSError as error:
            log.error(format_event("shared_call_ids_unavailable", error=error))

    def _create_connection(self) -> PlatformConnection | None:
        """Create a connection, counted before it is established so that a flood cannot exceed the limit."""
        connection = PlatformConnection(self)
        return connection if self.register(connection) else None

    def stop_listening(self) -> None:
        """Accept the connections in the listen queue, then stop listening."""
        if self._acceptor is not None:
            self._acceptor.drain_and_close()
            self._draining_acceptor = self._acceptor
            self._acceptor = None

    def drain(self) -> None:
        """Accept no more connections, and close each connection as soon as it is idle.

        A call sent to a process that is shutting down would have less time than at another process.
        """
        self.stop_listening()
        self.is_draining = True
        self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Close the connections without open calls, unread input or unsent output.

        A connection whose client reads slowly goes on until all its responses are sent.
        """
        for connection in [*self.unvalidated_connections, *self.connections]:
            if not connection.is_closing() and connection.is_idle():
                connection.lingering_close()

    def sweep(self, now_s: float) -> None:
        """Close connections with an overdue message, and silent connections without open calls.

        The time for which this server has paused reading does not count.

        Args:
            now_s: The event loop's time.
        """
        for connection in [*self.unvalidated_connections, *self.connections]:
            if connection.transport is None or connection.is_closing() or connection.has_unprocessed_messages:
                continue
            if connection.reading_paused_at_s is not None:
                if connection.is_output_stalled(now_s, IDLE_CLIENT_TIMEOUT_S):
                    connection.abort_with_unsent_output()
                continue
            started_at = connection.message_started_at
            is_late = started_at is not None and now_s - started_at > MESSAGE_TIMEOUT_S
            is_silent = now_s - connection.last_read_at_s > IDLE_CLIENT_TIMEOUT_S
            if is_late or (is_silent and not connection.calls.open):
                if self.log_budget.allows("client_timed_out", 1000.0 * now_s):
                    log.info(format_event("client_timed_out"))
                connection.fail_calls_and_close()

    def is_drained(self) -> bool:
        """Return whether all queued connections were accepted, and no connection owes or may owe a response.

        One that is open may have unread requests, because reading pauses while responses are queued.
        """
        if self._draining_acceptor is not None and not self._draining_acceptor.is_finished():
            return False
        connections = (*self.unvalidated_connections, *self.connections)
        return all(
            connection.is_idle() or (connection.is_closing() and not connection.has_unsent_output())
            for connection in connections
        )

    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the sockets have not accepted yet."""
        connections = (*self.unvalidated_connections, *self.connections)
        return sum(connection.unsent_bytes() for connection in connections)
