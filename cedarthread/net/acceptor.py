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

from cedarthread.net.descriptors import SCARCE

log = logging.getLogger("cedarthread.acceptor")

PAUSE = 0.05  # s without accepting where no descriptor is left
LAST_TURNS = 256  # turns at the end in which what still waits is taken
HANDSHAKE = 5.0  # s that TLS has to come up
SHUTDOWN = 1.0  # s that TLS has to end
_LIMITS = {"ssl_handshake_timeout": HANDSHAKE, "ssl_shutdown_timeout": SHUTDOWN}
_NO_LIMITS: dict[str, float] = {}  # asyncio wants none without TLS

Protocol = TypeVar("Protocol", bound=asyncio.BaseProtocol)


class Queue(Enum):
    """What a turn of accepting left behind."""

    EMPTY = "empty"
    MORE = "more"  # more may wait
    SHORT = "short"  # no descriptor was left


def listener(host: str, port: int, backlog: int, *, shared: bool = False) -> socket.socket:
    """A listening socket; OSError where there can be none. ``shared``: a successor may listen there too."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    made = socket.create_server((host, port), family=family, backlog=backlog, reuse_port=shared)
    made.setblocking(False)
    return made


class Acceptor(Generic[Protocol]):
    """One listening socket.

    ``welcome`` counts one more connection in and gives its protocol, or None where there is no room: that
    one is closed at once. ``failed`` is told of one that never came up; ``scarce`` that no descriptor is
    left, and says whether one is given back."""

    def __init__(
        self,
        name: str,
        sock: socket.socket,
        turn: int,
        welcome: Callable[[], Protocol | None],
        failed: Callable[[Protocol], None],
        scarce: Callable[[], bool] = lambda: False,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.name, self.sock, self.turn, self.tls = name, sock, turn, tls
        self.welcome, self.failed, self.scarce = welcome, failed, scarce
        self._rising: dict[Protocol, asyncio.Task[None]] = {}
        self._resume: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(sock.fileno(), self._ready)

    @property
    def port(self) -> int:
        """Where it listens."""
        return int(self.sock.getsockname()[1])

    def _ready(self) -> None:
        if self._take() is Queue.SHORT:
            self._loop.remove_reader(self.sock.fileno())
            self._resume = self._loop.call_later(
                PAUSE, self._loop.add_reader, self.sock.fileno(), self._ready
            )

    def _take(self) -> Queue:
        """Accept what a turn allows. What was taken is up before more is: only what is up can make room."""
        turned, left = 0, Queue.MORE
        if self._rising and self.tls is None:  # it takes two turns; a handshake may take seconds
            return left
        for _ in range(self.turn):
            try:
                connection, _ = self.sock.accept()
            except (ConnectionAbortedError, InterruptedError):  # one that waited has gone
                continue
            except OSError as error:
                left = Queue.SHORT if error.errno in SCARCE else Queue.EMPTY
                break
            protocol = self.welcome()
            if protocol is None:
                connection.close()
                turned += 1
            else:
                self._bring_up(connection, protocol)
        if turned:
            log.warning("%s: connection limit reached: %d turned away", self.name, turned)
        if left is Queue.SHORT:
            log.warning(
                "%s: no descriptor left, %s", self.name, "room made" if self.scarce() else "none to be had"
            )
        return left

    def _bring_up(self, connection: socket.socket, protocol: Protocol) -> None:
        connection.setblocking(False)
        task = self._loop.create_task(self._rise(connection, protocol))
        self._rising[protocol] = task
        if self.tls is not None:
            task.add_done_callback(partial(self._given_up, protocol, connection))

    def _given_up(self, protocol: Protocol, connection: socket.socket, task: asyncio.Task[None]) -> None:
        if task.cancelled():  # perhaps before its first step: nobody else closes it then
            self._rising.pop(protocol, None)
            connection.close()

    async def _rise(self, connection: socket.socket, protocol: Protocol) -> None:
        limits = _NO_LIMITS if self.tls is None else _LIMITS
        try:
            await self._loop.connect_accepted_socket(lambda: protocol, connection, ssl=self.tls, **limits)
        except Exception as error:  # whatever a stranger does in the handshake ends that connection alone
            log.debug("%s: a connection did not come up: %s", self.name, error)
            self.failed(protocol)
        finally:
            self._rising.pop(protocol, None)

    def done(self) -> bool:
        """It has ended, and all that it took is up or closed."""
        return self.sock.fileno() < 0 and not self._rising

    def give_up(self, protocol: Protocol) -> None:
        """Close one that is in its handshake, and has been counted out."""
        if (task := self._rising.get(protocol)) is not None:
            task.cancel()

    def end(self) -> None:
        """Accept no more. Guards against connections reset unheard: those that wait to be taken are taken."""
        self._quiet()
        self._last(LAST_TURNS)

    def _last(self, turns: int) -> None:
        if turns and self._take() is not Queue.EMPTY:
            self._loop.call_soon(self._last, turns - 1)
        else:
            self.sock.close()

    def close(self) -> None:
        """Accept no more, at once."""
        self._quiet()
        self.sock.close()

    def _quiet(self) -> None:
        self._loop.remove_reader(self.sock.fileno())
        if self._resume is not None:
            self._resume.cancel()
