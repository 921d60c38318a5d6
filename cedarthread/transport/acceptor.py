"""An acceptor of connections from a listening socket: a bounded number per iteration of the event loop.

Each connection is counted before it is set up. asyncio's own server accepts up to its complete backlog in one
iteration without a connection limit, and pauses for a second when no descriptor is free.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING, Generic, TypeVar

from cedarthread.limits.log_budget import LogBudget
from cedarthread.logs import format_event
from cedarthread.transport.descriptor_budget import EXHAUSTION_ERRNOS
from cedarthread.transport.tls_buffers import use_small_read_buffers

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

log = logging.getLogger(__name__)

ACCEPT_PAUSE_S = 0.05  # pause in accepting when no descriptor is free
LISTEN_RETRY_S = 0.05  # time between attempts to listen while the host is short of descriptors
LISTEN_RETRY_LIMIT_S = 5.0  # time after which listening fails; a router must be ready within 30 s
MAX_DRAIN_PASSES = 256  # most iterations in which the backlog is accepted before the socket is closed
TLS_HANDSHAKE_TIMEOUT_S = 5.0
TLS_SHUTDOWN_TIMEOUT_S = 1.0
_TLS_TIMEOUTS = {
    "ssl_handshake_timeout": TLS_HANDSHAKE_TIMEOUT_S,
    "ssl_shutdown_timeout": TLS_SHUTDOWN_TIMEOUT_S,
}
_NO_TIMEOUTS: dict[str, float] = {}  # no timeouts, because asyncio rejects TLS timeouts without TLS

ProtocolT = TypeVar("ProtocolT", bound=asyncio.BaseProtocol)


class BacklogState(Enum):
    """The state of the socket's backlog after accepting a batch."""

    EMPTY = "empty"
    MAY_HAVE_MORE = "more"
    DESCRIPTORS_EXHAUSTED = "short"


def create_listener(host: str, port: int, backlog: int, *, reuse_port: bool = False) -> socket.socket:
    """Create a non-blocking listening socket.

    Args:
        host: The address.
        port: The port; 0: any free port.
        backlog: The length of the listen queue.
        reuse_port: Allow other processes to listen on the same address, for example at an upgrade.

    Raises:
        OSError: The address cannot be used.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening_socket = socket.create_server(
        (host, port), family=family, backlog=backlog, reuse_port=reuse_port
    )
    listening_socket.settimeout(0.0)  # non-blocking
    return listening_socket


async def create_listener_with_retries(
    host: str, port: int, backlog: int, *, reuse_port: bool = False
) -> socket.socket:
    """Create a listening socket; retry while the host is short of descriptors or memory.

    Without retries, a brief shortage would abort the start of the process.

    Raises:
        OSError: The address cannot be used, or the shortage lasts over ``LISTEN_RETRY_LIMIT_S``.
    """
    loop = asyncio.get_running_loop()
    give_up_at_s = loop.time() + LISTEN_RETRY_LIMIT_S
    is_logged = False
    while True:
        try:
            return create_listener(host, port, backlog, reuse_port=reuse_port)
        except OSError as error:
            if error.errno not in EXHAUSTION_ERRNOS or loop.time() >= give_up_at_s:
                raise
            if not is_logged:
                log.warning(format_event("listen_delayed", address=f"{host}:{port}", error=error))
            is_logged = True
        await asyncio.sleep(LISTEN_RETRY_S)


class Acceptor(Generic[ProtocolT]):
    """The acceptor of the connections of one listening socket, which it owns.

    Args:
        name: The name of the listener in log lines.
        listening_socket: The socket, which must be non-blocking.
        max_accepts_per_iteration: Connections accepted per iteration of the event loop.
        create_protocol: Counts a connection and returns its protocol; None at the connection limit, and then
            the connection is closed.
        on_setup_failed: Called with the protocol of a connection that was not established.
        release_descriptor: Called when no descriptor is free; returns whether one was freed.
        tls_context: The TLS settings; None: no TLS.
    """

    def __init__(
        self,
        name: str,
        listening_socket: socket.socket,
        *,
        max_accepts_per_iteration: int,
        create_protocol: Callable[[], ProtocolT | None],
        on_setup_failed: Callable[[ProtocolT], None],
        release_descriptor: Callable[[], bool] = lambda: False,
        tls_context: ssl.SSLContext | None = None,
    ) -> None:
        self.name = name
        self.listening_socket = listening_socket
        self.max_accepts_per_iteration = max_accepts_per_iteration
        self.tls_context = tls_context
        self.create_protocol = create_protocol
        self.on_setup_failed = on_setup_failed
        self.release_descriptor = release_descriptor
        if tls_context is not None:
            use_small_read_buffers()
        self._setup_tasks: dict[ProtocolT, asyncio.Task[None]] = {}
        self._resume_timer: asyncio.TimerHandle | None = None
        self._log_budget = LogBudget()
        self._unlogged_rejections = 0
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(listening_socket.fileno(), self._on_readable)

    @property
    def port(self) -> int:
        """The port of the listening socket."""
        return int(self.listening_socket.getsockname()[1])

    def _on_readable(self) -> None:
        if self._accept_batch() is BacklogState.DESCRIPTORS_EXHAUSTED:
            descriptor = self.listening_socket.fileno()
            self._loop.remove_reader(descriptor)
            self._resume_timer = self._loop.call_later(
                ACCEPT_PAUSE_S, self._loop.add_reader, descriptor, self._on_readable
            )

    def _accept_batch(self) -> BacklogState:
        """Accept up to ``max_accepts_per_iteration`` connections."""
        # At the connection limit, ``create_protocol`` may evict an idle connection. Only established
        # connections can be evicted, so earlier ones must be established first, which takes two iterations.
        # With TLS this is skipped, because a handshake may take seconds.
        if self._setup_tasks and self.tls_context is None:
            return BacklogState.MAY_HAVE_MORE
        rejected_count = 0
        backlog = BacklogState.MAY_HAVE_MORE
        for _ in range(self.max_accepts_per_iteration):
            try:
                connection, _ = self.listening_socket.accept()
            except (ConnectionAbortedError, InterruptedError):  # the peer closed a queued connection
                continue
            except OSError as error:
                is_exhausted = error.errno in EXHAUSTION_ERRNOS
                backlog = BacklogState.DESCRIPTORS_EXHAUSTED if is_exhausted else BacklogState.EMPTY
                break
            protocol = self.create_protocol()
            if protocol is None:
                connection.close()
                rejected_count += 1
            else:
                self._start_setup(connection, protocol)
        if rejected_count:
            self._log_rejected(rejected_count)
        if backlog is BacklogState.DESCRIPTORS_EXHAUSTED:
            has_released = self.release_descriptor()
            log.warning(format_event("descriptors_exhausted", listener=self.name, released=has_released))
        return backlog

    def _log_rejected(self, rejected_count: int) -> None:
        """Log the connections rejected since the last line, unless such lines were too many recently."""
        self._unlogged_rejections += rejected_count
        if self._log_budget.allows("connection_limit_reached", 1000.0 * self._loop.time()):
            rejected = self._unlogged_rejections
            log.warning(format_event("connection_limit_reached", listener=self.name, rejected=rejected))
            self._unlogged_rejections = 0

    def _start_setup(self, connection: socket.socket, protocol: ProtocolT) -> None:
        connection.settimeout(0.0)  # non-blocking
        task = self._loop.create_task(self._set_up(connection, protocol))
        self._setup_tasks[protocol] = task
        if self.tls_context is not None:
            task.add_done_callback(partial(self._on_setup_done, protocol, connection))

    def _on_setup_done(
        self, protocol: ProtocolT, connection: socket.socket, task: asyncio.Task[None]
    ) -> None:
        if task.cancelled():  # possibly before its first step, so the socket must be closed here
            self._setup_tasks.pop(protocol, None)
            connection.close()

    async def _set_up(self, connection: socket.socket, protocol: ProtocolT) -> None:
        timeouts = _NO_TIMEOUTS if self.tls_context is None else _TLS_TIMEOUTS
        try:
            await self._loop.connect_accepted_socket(
                lambda: protocol, connection, ssl=self.tls_context, **timeouts
            )
        except Exception as error:  # a fault in the handshake ends only this connection
            if log.isEnabledFor(logging.DEBUG):
                log.debug(format_event("connection_setup_failed", listener=self.name, error=error))
            self.on_setup_failed(protocol)
        finally:
            self._setup_tasks.pop(protocol, None)

    def cancel_setup(self, protocol: ProtocolT) -> None:
        """Cancel the setup of a connection that is no longer counted, and close the connection."""
        if (task := self._setup_tasks.get(protocol)) is not None:
            task.cancel()

    def drain_and_close(self) -> None:
        """Stop listening once the backlog is empty, because a close would reset the connections in it."""
        self._stop_accepting()
        self._accept_remaining(MAX_DRAIN_PASSES)

    def _accept_remaining(self, remaining_passes: int) -> None:
        if remaining_passes and self._accept_batch() is not BacklogState.EMPTY:
            self._loop.call_soon(self._accept_remaining, remaining_passes - 1)
        else:
            self.listening_socket.close()

    def is_finished(self) -> bool:
        """Return whether the socket is closed and all accepted connections are established or closed."""
        return self.listening_socket.fileno() < 0 and not self._setup_tasks

    def close(self) -> None:
        """Stop listening at once."""
        self._stop_accepting()
        self.listening_socket.close()

    def _stop_accepting(self) -> None:
        self._loop.remove_reader(self.listening_socket.fileno())
        if self._resume_timer is not None:
            self._resume_timer.cancel()
