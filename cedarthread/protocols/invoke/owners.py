"""Interfaces of the invoke server for its connections and their handlers, which keep imports acyclic."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.protocols.invoke import spiffe
    from cedarthread.protocols.invoke.calls import InvokeCalls
    from cedarthread.transport.flusher import Flusher

ConnectionT = TypeVar("ConnectionT")


class CallServer(Protocol):
    """The server (``InvokeServer``), as the handler of one connection uses it."""

    dispatcher: Dispatcher
    calls: InvokeCalls
    is_ready: bool


class ConnectionServer(CallServer, Protocol[ConnectionT]):
    """The server (``InvokeServer``), as one connection uses it."""

    flusher: Flusher
    max_connections: int
    connections: dict[ConnectionT, None]

    def register(self, connection: ConnectionT) -> bool:
        """Register a connection; return False if the limit is reached and no connection is idle."""

    def mark_used(self, connection: ConnectionT) -> None:
        """Make a connection the most recently used one."""

    def is_authorized(self, peer: spiffe.Identity) -> bool:
        """Return whether this peer is currently authorized."""
