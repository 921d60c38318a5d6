"""The invoke API: function calls over HTTP/1.1 with mutual TLS, synchronous or deferred.

    POST   /v1/functions/FUNCTION/CLASS   a call; with ``Prefer: respond-async`` 202 and a Location
    GET    /v1/calls/NAME                 a deferred call's result; 202 while there is none
    DELETE /v1/calls/NAME                 cancel a deferred call, or delete its result
    GET    /v1/ready                      200, or 503 once the process is shutting down

All calls go through the dispatcher and are subject to the same decisions and rules as platform calls.
"""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from cedarthread.logs import format_event
from cedarthread.protocols.invoke import shared_calls, spiffe
from cedarthread.protocols.invoke.calls import InvokeCalls
from cedarthread.protocols.invoke.connection import InvokeConnection
from cedarthread.protocols.invoke.shared_calls import SharedCallsUnavailableError
from cedarthread.transport.acceptor import Acceptor, create_listener_with_retries
from cedarthread.transport.descriptor_budget import SECONDARY_ACCEPTS_PER_ITERATION

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.protocols.invoke.config import InvokeConfig
    from cedarthread.transport.flusher import Flusher

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 128


class InvokeServer:
    """The listening socket of the invoke API, its connections and its calls."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        config: InvokeConfig,
        flusher: Flusher,
        clock_s: Callable[[], float] = time.monotonic,
        *,
        max_connections: int | None = None,
        release_descriptor: Callable[[], bool] = lambda: False,
    ) -> None:
        self.dispatcher = dispatcher
        self.flusher = flusher
        self.config = config
        self.calls = InvokeCalls(dispatcher, clock_s)
        self.is_ready = True
        # The descriptor budget may allow fewer connections than the configuration.
        self.max_connections = max_connections if max_connections is not None else config.max_connections
        # Callback that frees a descriptor if none is left; returns False if it cannot.
        self._release_descriptor = release_descriptor
        # Open connections in order of use, least recent first.
        self.connections: dict[InvokeConnection, None] = {}
        self._acceptor: Acceptor[InvokeConnection] | None = None
        self._file_times = config.file_times()

    def register(self, connection: InvokeConnection) -> bool:
        """Register a connection, once.

        At the limit, evict the oldest connection that is still in its handshake, or else the least recently
        used idle one; return False if there is neither.
        """
        if connection in self.connections:
            return True
        if len(self.connections) >= self.max_connections and not self._evict_idle():
            return False
        self.connections[connection] = None
        return True

    def _evict_idle(self) -> bool:
        idle = [connection for connection in self.connections if connection.is_idle()]
        oldest = min(idle, key=lambda connection: connection.transport is not None, default=None)
        if oldest is None:
            return False
        del self.connections[oldest]
        if oldest.transport is None and self._acceptor is not None:
            self._acceptor.cancel_setup(oldest)
        # A graceful close would wait up to a second for the caller, and hold its descriptor uncounted.
        oldest.abort()
        return True

    def mark_used(self, connection: InvokeConnection) -> None:
        """Make a connection the most recently used one, because it has sent a request."""
        self.connections[connection] = self.connections.pop(connection, None)

    def is_authorized(self, peer: spiffe.Identity) -> bool:
        """Return whether this peer is currently authorized.

        The certificate may expire, or its identity be removed from the allow-list, while the connection is
        open.
        """
        if time.time() >= peer.expires_at_unix:
            return False
        return spiffe.is_allowed(peer, self.config.trust_domain, self.config.allowed_patterns)

    async def listen(self) -> int:
        """Accept connections of callers and return the port."""
        listening_socket = await create_listener_with_retries(
            self.config.host, self.config.port, LISTEN_BACKLOG, reuse_port=True
        )
        self._acceptor = Acceptor(
            "callers",
            listening_socket,
            max_accepts_per_iteration=SECONDARY_ACCEPTS_PER_ITERATION,
            create_protocol=self._create_connection,
            on_setup_failed=self._on_setup_failed,
            release_descriptor=self._release_descriptor,
            tls_context=self.config.create_tls_context(),
        )
        self._share_calls()
        return self._acceptor.port

    def _share_calls(self) -> None:
        """Share the stored calls with the other processes at this address, for example during an upgrade.

        Without the shared file the calls of this process are served all the same.
        """
        if not self.config.port:  # any free port: no other process listens on it
            return
        try:
            self.calls.share(shared_calls.default_path(self.config.host, self.config.port))
        except SharedCallsUnavailableError as error:
            log.error(format_event("shared_calls_unavailable", error=error))

    def _create_connection(self) -> InvokeConnection | None:
        """Create a connection, counted before its handshake, which already uses a descriptor."""
        connection = InvokeConnection(self)
        return connection if self.register(connection) else None

    def _on_setup_failed(self, connection: InvokeConnection) -> None:
        self.connections.pop(connection, None)

    async def reload(self) -> bool:
        """Load a renewed certificate, trust bundle and allow-list.

        Returns False if they are unusable; the previous ones then stay in use.
        """
        try:
            config = self.config.reread()
            tls_context = config.create_tls_context()
        except (OSError, ValueError, KeyError, TypeError) as error:
            log.error(format_event("identities_rejected", error=error))
            return False
        self.config = config
        self._file_times = config.file_times()
        if self._acceptor is not None:
            self._acceptor.tls_context = tls_context  # open connections stay open
        log.info(format_event("identities_reloaded"))
        return True

    async def reload_if_changed(self) -> None:
        """Reload if one of the files has changed."""
        file_times = self.config.file_times()
        if file_times != self._file_times:
            self._file_times = file_times
            await self.reload()

    def stop_listening(self) -> None:
        """Close the listening socket."""
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None
        self.calls.stop_sharing()

    def sweep(self, now_s: float) -> None:
        """Close idle and slow connections and evict expired results; ``now_s`` is the event loop's time."""
        self.calls.sweep()
        for connection in list(self.connections):
            connection.sweep(now_s)

    def is_drained(self) -> bool:
        """Return whether all responses are sent and every deferred result has been collected."""
        has_open_request = any(
            connection.is_busy and connection.keep_alive for connection in self.connections
        )
        return (
            not has_open_request
            and not self.unsent_bytes()
            and not self.calls.deferred_calls.has_uncollected()
        )

    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the sockets have not accepted yet."""
        return sum(connection.unsent_bytes() for connection in self.connections)
