"""Accepts connections from a listening socket: a few in each loop pass, each counted before it is set up.

asyncio's own server accepts up to its whole backlog in one pass, without asking whether there is room, and
stops accepting for a whole second once no descriptor is left.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING, Generic, TypeVar

from cedarthread.logs import format_event
from cedarthread.transport.descriptor_budget import EXHAUSTION_ERRNOS

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

log = logging.getLogger(__name__)

ACCEPT_PAUSE_S = 0.05  # without accepting, once no descriptor is left
LISTEN_RETRY_S = 0.05  # between attempts to listen, while this machine is short of descriptors
LISTEN_RETRY_LIMIT_S = 5.0  # after which listening fails: well within the 30 s in which it has to be ready
MAX_DRAIN_PASSES = 256  # loop passes at the end in which connections that still wait are accepted
TLS_HANDSHAKE_TIMEOUT_S = 5.0
TLS_SHUTDOWN_TIMEOUT_S = 1.0
_TLS_TIMEOUTS = {
    "ssl_handshake_timeout": TLS_HANDSHAKE_TIMEOUT_S,
    "ssl_shutdown_timeout": TLS_SHUTDOWN_TIMEOUT_S,
}
_NO_TIMEOUTS: dict[str, float] = {}  # asyncio refuses TLS timeouts without TLS

ProtocolT = TypeVar("ProtocolT", bound=asyncio.BaseProtocol)


class BacklogState(Enum):
    """What a pass of accepting left in the socket's backlog."""

    EMPTY = "empty"
    MAY_HAVE_MORE = "more"
    DESCRIPTORS_EXHAUSTED = "short"


def create_listener(host: str, port: int, backlog: int, *, reuse_port: bool = False) -> socket.socket:
    """A non-blocking listening socket; OSError if there can be none.

    With ``reuse_port`` another process may listen on the same address, as a successor does.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening_socket = socket.create_server(
        (host, port), family=family, backlog=backlog, reuse_port=reuse_port
    )
    listening_socket.setblocking(False)
    return listening_socket


async def create_listener_with_retries(
    host: str, port: int, backlog: int, *, reuse_port: bool = False
) -> socket.socket:
    """Likewise, but where this machine is short of descriptors or memory for a moment, it is tried again.

    A start that failed by this would be a crash; OSError once the shortage has lasted for
    ``LISTEN_RETRY_LIMIT_S``.
    """
    loop = asyncio.get_running_loop()
    give_up_at_s, is_logged = loop.time() + LISTEN_RETRY_LIMIT_S, False
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
    """Accepts the connections of one listening socket.

    ``create_protocol`` counts one more connection in and returns its protocol, or None where there is no
    room: that connection is closed at once. ``on_setup_failed`` is called with one that never came up.
    ``release_descriptor`` is called when no descriptor is left, and says whether it has freed one.
    """

    def __init__(
        self,
        name: str,
        listening_socket: socket.socket,
        *,
        max_accepts_per_pass: int,
        create_protocol: Callable[[], ProtocolT | None],
        on_setup_failed: Callable[[ProtocolT], None],
        release_descriptor: Callable[[], bool] = lambda: False,
        tls_context: ssl.SSLContext | None = None,
    ) -> None:
        self.name = name  # of the peers, for the log
        self.listening_socket = listening_socket
        self.max_accepts_per_pass = max_accepts_per_pass
        self.tls_context = tls_context
        self.create_protocol = create_protocol
        self.on_setup_failed = on_setup_failed
        self.release_descriptor = release_descriptor
        self._setup_tasks: dict[ProtocolT, asyncio.Task[None]] = {}
        self._resume_timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(listening_socket.fileno(), self._on_readable)

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return int(self.listening_socket.getsockname()[1])

    def _on_readable(self) -> None:
        if self._accept_batch() is BacklogState.DESCRIPTORS_EXHAUSTED:
            descriptor = self.listening_socket.fileno()
            self._loop.remove_reader(descriptor)
            self._resume_timer = self._loop.call_later(
                ACCEPT_PAUSE_S, self._loop.add_reader, descriptor, self._on_readable
            )

    def _accept_batch(self) -> BacklogState:
        """Accept what one pass allows."""
        # Only connections that are up can be evicted, so those accepted before must be up first. That takes
        # two passes; a TLS handshake may take seconds, and is not waited for.
        if self._setup_tasks and self.tls_context is None:
            return BacklogState.MAY_HAVE_MORE
        rejected_count, backlog = 0, BacklogState.MAY_HAVE_MORE
        for _ in range(self.max_accepts_per_pass):
            try:
                connection, _ = self.listening_socket.accept()
            except (ConnectionAbortedError, InterruptedError):  # one that waited has gone
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
            log.warning(format_event("connection_limit_reached", listener=self.name, rejected=rejected_count))
        if backlog is BacklogState.DESCRIPTORS_EXHAUSTED:
            has_released = self.release_descriptor()
            log.warning(format_event("descriptors_exhausted", listener=self.name, released=has_released))
        return backlog

    def _start_setup(self, connection: socket.socket, protocol: ProtocolT) -> None:
        connection.setblocking(False)
        task = self._loop.create_task(self._set_up(connection, protocol))
        self._setup_tasks[protocol] = task
        if self.tls_context is not None:
            task.add_done_callback(partial(self._on_setup_done, protocol, connection))

    def _on_setup_done(
        self, protocol: ProtocolT, connection: socket.socket, task: asyncio.Task[None]
    ) -> None:
        if task.cancelled():  # perhaps before its first step: nobody else closes the socket then
            self._setup_tasks.pop(protocol, None)
            connection.close()

    async def _set_up(self, connection: socket.socket, protocol: ProtocolT) -> None:
        timeouts = _NO_TIMEOUTS if self.tls_context is None else _TLS_TIMEOUTS
        try:
            await self._loop.connect_accepted_socket(
                lambda: protocol, connection, ssl=self.tls_context, **timeouts
            )
        except Exception as error:  # whatever a peer does in the handshake ends its connection alone
            if log.isEnabledFor(logging.DEBUG):
                log.debug(format_event("connection_setup_failed", listener=self.name, error=error))
            self.on_setup_failed(protocol)
        finally:
            self._setup_tasks.pop(protocol, None)

    def cancel_setup(self, protocol: ProtocolT) -> None:
        """Close a connection that is in its handshake, and has been counted out."""
        if (task := self._setup_tasks.get(protocol)) is not None:
            task.cancel()

    def drain_and_close(self) -> None:
        """Stop listening once the backlog is empty: closing at once would reset the connections in it."""
        self._stop_accepting()
        self._accept_remaining(MAX_DRAIN_PASSES)

    def _accept_remaining(self, remaining_passes: int) -> None:
        if remaining_passes and self._accept_batch() is not BacklogState.EMPTY:
            self._loop.call_soon(self._accept_remaining, remaining_passes - 1)
        else:
            self.listening_socket.close()

    def is_finished(self) -> bool:
        """It has stopped listening, and all that it accepted is up or closed."""
        return self.listening_socket.fileno() < 0 and not self._setup_tasks

    def close(self) -> None:
        """Stop listening at once."""
        self._stop_accepting()
        self.listening_socket.close()

    def _stop_accepting(self) -> None:
        self._loop.remove_reader(self.listening_socket.fileno())
        if self._resume_timer is not None:
            self._resume_timer.cancel()
