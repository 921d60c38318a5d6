"""Takes connections from a listening socket: so many a turn, each counted before it is brought up.

asyncio's own server takes as many as its backlog in one turn and asks nobody; where no descriptor is left it
hears nobody for a whole second."""

from __future__ import annotations

import asyncio
import logging
import socket
import ssl
from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import Generic, TypeVar

from cedarthread.transport.descriptor_budget import EXHAUSTION_ERRNOS

log = logging.getLogger("cedarthread.acceptor")

ACCEPT_PAUSE_S = 0.05  # s without accepting where no descriptor is left
MAX_DRAIN_PASSES = 256  # turns at the end in which what still waits is taken
TLS_HANDSHAKE_TIMEOUT_S = 5.0  # s that TLS has to come up
TLS_SHUTDOWN_TIMEOUT_S = 1.0  # s that TLS has to end
_TLS_TIMEOUTS = {
    "ssl_handshake_timeout": TLS_HANDSHAKE_TIMEOUT_S,
    "ssl_shutdown_timeout": TLS_SHUTDOWN_TIMEOUT_S,
}
_NO_TIMEOUTS: dict[str, float] = {}  # asyncio wants none without TLS

ProtocolT = TypeVar("ProtocolT", bound=asyncio.BaseProtocol)


class BacklogState(Enum):
    """What a turn of accepting left behind."""

    EMPTY = "empty"
    MAY_HAVE_MORE = "more"  # more may wait
    OUT_OF_DESCRIPTORS = "short"  # no descriptor was left


def create_listener(host: str, port: int, backlog: int, *, reuse_port: bool = False) -> socket.socket:
    """A listening socket; OSError where there can be none. ``shared``: a successor may listen there too."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    made = socket.create_server((host, port), family=family, backlog=backlog, reuse_port=reuse_port)
    made.setblocking(False)
    return made


class Acceptor(Generic[ProtocolT]):
    """One listening socket.

    ``welcome`` counts one more connection in and gives its protocol, or None where there is no room: that
    one is closed at once. ``failed`` is told of one that never came up; ``scarce`` that no descriptor is
    left, and says whether one is given back."""

    def __init__(
        self,
        name: str,
        listening_socket: socket.socket,
        max_accepts_per_pass: int,
        create_protocol: Callable[[], ProtocolT | None],
        on_setup_failed: Callable[[ProtocolT], None],
        release_descriptor: Callable[[], bool] = lambda: False,
        tls_context: ssl.SSLContext | None = None,
    ) -> None:
        self.name, self.listening_socket, self.max_accepts_per_pass, self.tls_context = (
            name,
            listening_socket,
            max_accepts_per_pass,
            tls_context,
        )
        self.create_protocol, self.on_setup_failed, self.release_descriptor = (
            create_protocol,
            on_setup_failed,
            release_descriptor,
        )
        self._setup_tasks: dict[ProtocolT, asyncio.Task[None]] = {}
        self._resume_timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(listening_socket.fileno(), self._on_readable)

    @property
    def port(self) -> int:
        """Where it listens."""
        return int(self.listening_socket.getsockname()[1])

    def _on_readable(self) -> None:
        if self._accept_batch() is BacklogState.OUT_OF_DESCRIPTORS:
            self._loop.remove_reader(self.listening_socket.fileno())
            self._resume_timer = self._loop.call_later(
                ACCEPT_PAUSE_S, self._loop.add_reader, self.listening_socket.fileno(), self._on_readable
            )

    def _accept_batch(self) -> BacklogState:
        """Accept what a turn allows. What was taken is up before more is: only what is up can make room."""
        turned, left = 0, BacklogState.MAY_HAVE_MORE
        if self._setup_tasks and self.tls_context is None:  # it takes two turns; a handshake may take seconds
            return left
        for _ in range(self.max_accepts_per_pass):
            try:
                connection, _ = self.listening_socket.accept()
            except (ConnectionAbortedError, InterruptedError):  # one that waited has gone
                continue
            except OSError as error:
                left = (
                    BacklogState.OUT_OF_DESCRIPTORS
                    if error.errno in EXHAUSTION_ERRNOS
                    else BacklogState.EMPTY
                )
                break
            protocol = self.create_protocol()
            if protocol is None:
                connection.close()
                turned += 1
            else:
                self._start_setup(connection, protocol)
        if turned:
            log.warning("%s: connection limit reached: %d turned away", self.name, turned)
        if left is BacklogState.OUT_OF_DESCRIPTORS:
            log.warning(
                "%s: no descriptor left, %s",
                self.name,
                "room made" if self.release_descriptor() else "none to be had",
            )
        return left

    def _start_setup(self, connection: socket.socket, protocol: ProtocolT) -> None:
        connection.setblocking(False)
        task = self._loop.create_task(self._set_up(connection, protocol))
        self._setup_tasks[protocol] = task
        if self.tls_context is not None:
            task.add_done_callback(partial(self._on_setup_cancelled, protocol, connection))

    def _on_setup_cancelled(
        self, protocol: ProtocolT, connection: socket.socket, task: asyncio.Task[None]
    ) -> None:
        if task.cancelled():  # perhaps before its first step: nobody else closes it then
            self._setup_tasks.pop(protocol, None)
            connection.close()

    async def _set_up(self, connection: socket.socket, protocol: ProtocolT) -> None:
        limits = _NO_TIMEOUTS if self.tls_context is None else _TLS_TIMEOUTS
        try:
            await self._loop.connect_accepted_socket(
                lambda: protocol, connection, ssl=self.tls_context, **limits
            )
        except Exception as error:  # whatever a stranger does in the handshake ends that connection alone
            log.debug("%s: a connection did not come up: %s", self.name, error)
            self.on_setup_failed(protocol)
        finally:
            self._setup_tasks.pop(protocol, None)

    def is_finished(self) -> bool:
        """It has ended, and all that it took is up or closed."""
        return self.listening_socket.fileno() < 0 and not self._setup_tasks

    def cancel_setup(self, protocol: ProtocolT) -> None:
        """Close one that is in its handshake, and has been counted out."""
        if (task := self._setup_tasks.get(protocol)) is not None:
            task.cancel()

    def drain_and_close(self) -> None:
        """Accept no more. Guards against connections reset unheard: those that wait to be taken are taken."""
        self._stop_accepting()
        self._accept_remaining(MAX_DRAIN_PASSES)

    def _accept_remaining(self, remaining_passes: int) -> None:
        if remaining_passes and self._accept_batch() is not BacklogState.EMPTY:
            self._loop.call_soon(self._accept_remaining, remaining_passes - 1)
        else:
            self.listening_socket.close()

    def close(self) -> None:
        """Accept no more, at once."""
        self._stop_accepting()
        self.listening_socket.close()

    def _stop_accepting(self) -> None:
        self._loop.remove_reader(self.listening_socket.fileno())
        if self._resume_timer is not None:
            self._resume_timer.cancel()
