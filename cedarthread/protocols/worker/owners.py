"""Interfaces of the objects that own a connection to a worker: its pool and the transport to all workers.

``pool.py`` and ``connections.py`` implement them, so that no two modules import each other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol, TypeVar

if TYPE_CHECKING:
    from cedarthread.dispatch.calls import Attempt, AttemptResult
    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.model.settings import RouterSettings
    from cedarthread.protocols.discovery.endpoint_list import EndpointRecord
    from cedarthread.protocols.worker.requests import PendingPreload, WorkerRequest
    from cedarthread.transport.connection import BufferedConnection
    from cedarthread.transport.flusher import Flusher

ConnectionT_contra = TypeVar("ConnectionT_contra", contravariant=True)


class ConnectionOwner(Protocol):
    """The transport to all workers, as one connection uses it (``WorkerConnections``)."""

    dispatcher: Dispatcher
    flusher: Flusher
    settings: RouterSettings

    def may_send(self) -> bool:
        """Return whether requests may be sent; False after a stall, until the endpoint list is fresh."""

    def hold(self, connection: BufferedConnection) -> None:
        """Register a connection to be flushed once requests may be sent again."""

    def idle_limit_s(self) -> float:
        """Return the idle time after which a connection is closed."""

    def encode_attempt(self, attempt: Attempt) -> bytes:
        """Encode the line of an attempt with the time remaining until its deadline."""

    def on_first_byte(self, request: WorkerRequest) -> None:
        """Record that a request was passed to the transport."""

    def on_unsent(self, request: WorkerRequest) -> None:
        """End a request of which no byte has been written."""

    def on_connection_broken(self, request: WorkerRequest, *, is_unreachable: bool) -> None:
        """End a request after its connection broke or could not be established."""

    def on_call_response(self, attempt: Attempt, result: AttemptResult) -> None:
        """End an attempt with the worker's response."""

    def on_preload_response(self, preload: PendingPreload, message: dict[str, Any]) -> None:
        """End a preload with the worker's response."""


class ConnectionPool(Protocol[ConnectionT_contra]):
    """The pool of a connection (``WorkerConnectionPool``)."""

    endpoint: EndpointRecord

    @property
    def worker_connections(self) -> ConnectionOwner:
        """Return the transport to all workers."""

    def remove(self, connection: ConnectionT_contra) -> None:
        """Remove a closed connection."""


class PoolOwner(ConnectionOwner, Protocol):
    """The transport to all workers, as a pool uses it (``WorkerConnections``)."""

    def can_connect(self) -> bool:
        """Return whether one more connection may be opened."""

    def release_descriptor(self) -> bool:
        """Close an idle connection to free its descriptor; return False if there is none."""
