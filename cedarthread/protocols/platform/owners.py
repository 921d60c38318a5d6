"""Interfaces between a platform connection, its calls and the server, which keep their imports acyclic."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.limits.buffer_memory import BufferMemory
    from cedarthread.limits.log_budget import LogBudget
    from cedarthread.protocols.platform.turns import InputTurns
    from cedarthread.transport.flusher import Flusher


class QueueOwner(Protocol):
    """A connection with responses that its client has not read."""

    queued_bytes: int


ConnectionT_contra = TypeVar("ConnectionT_contra", contravariant=True)


class CallServer(Protocol):
    """The server (``PlatformServer``), as the calls of a connection use it."""

    dispatcher: Dispatcher
    is_ready: bool
    queued_bytes: int

    def must_read_responses(self, connection: QueueOwner) -> bool:
        """Return whether a client must read responses before it gets further ones."""


class ConnectionServer(CallServer, Protocol[ConnectionT_contra]):
    """The server (``PlatformServer``), as one connection uses it."""

    flusher: Flusher
    turns: InputTurns
    buffer_memory: BufferMemory
    log_budget: LogBudget
    max_connections: int
    is_draining: bool

    def register(self, connection: ConnectionT_contra) -> bool:
        """Register a connection; return False if the limit is reached and no connection is idle."""

    def unregister(self, connection: ConnectionT_contra) -> None:
        """Remove a connection from the registered ones."""

    def make_room_for_input(self, added_bytes: int) -> None:
        """Close connections with long incomplete messages until a buffer may grow by ``added_bytes``."""

    def mark_validated(self, connection: ConnectionT_contra) -> None:
        """Record that a connection has sent a valid message."""


class CallConnection(QueueOwner, Protocol):
    """The connection (``PlatformConnection``), as its calls use it."""

    is_closed: bool
    is_half_closed: bool
    is_backlogged: bool

    @property
    def server(self) -> CallServer:
        """Return the server of the connection."""

    def write(self, data: bytes) -> None:
        """Queue a response."""

    def refresh_client_state(self) -> bool:
        """Process the input that has arrived, and detect a disconnect; return whether nothing is unread."""
