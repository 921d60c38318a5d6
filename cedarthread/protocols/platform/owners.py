"""Interfaces between a platform connection, its calls and the server, which keep their imports acyclic."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.protocols.platform.turns import InputTurns
    from cedarthread.transport.flusher import Flusher

ConnectionT_contra = TypeVar("ConnectionT_contra", contravariant=True)


class CallServer(Protocol):
    """The server (``PlatformServer``), as the calls of a connection use it."""

    dispatcher: Dispatcher
    is_ready: bool
    queued_bytes: int
    max_queued_bytes: int


class ConnectionServer(CallServer, Protocol[ConnectionT_contra]):
    """The server (``PlatformServer``), as one connection uses it."""

    flusher: Flusher
    turns: InputTurns
    max_connections: int
    is_draining: bool

    def register(self, connection: ConnectionT_contra) -> bool:
        """Register a connection; return False if the limit is reached and no connection is idle."""

    def unregister(self, connection: ConnectionT_contra) -> None:
        """Remove a connection from the registered ones."""

    def mark_validated(self, connection: ConnectionT_contra) -> None:
        """Record that a connection has sent a valid message."""


class CallConnection(Protocol):
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
