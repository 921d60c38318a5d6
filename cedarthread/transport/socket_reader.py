"""Direct access to the socket of an asyncio transport."""

from __future__ import annotations

import contextlib
import select
import socket
from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import asyncio
    from asyncio.trsock import TransportSocket
    from collections.abc import Callable


class ReadStop(Enum):
    """The reason why a direct read ended."""

    NO_MORE_INPUT = auto()  # the socket has no more input
    END_OF_INPUT = auto()  # the peer has closed its sending side
    BROKEN = auto()  # the connection failed


def disable_nagle(transport: asyncio.BaseTransport) -> None:
    """Send small segments at once (TCP_NODELAY).

    Nagle's algorithm would delay responses until a delayed ACK, up to 40 ms. asyncio sets the option only on
    sockets that were created with an explicit protocol number, unlike accepted ones.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
        with contextlib.suppress(OSError):  # closed already
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class SocketState(NamedTuple):
    """What can be known of a connection without reading from it."""

    has_input: bool  # data, the end of input or an error can be read
    is_closed_by_peer: bool  # the peer has closed its sending side, also if unread data precede that
    is_broken: bool  # the connection failed


QUIET_SOCKET = SocketState(has_input=False, is_closed_by_peer=False, is_broken=False)


class SocketReader:
    """Non-blocking reads from the socket of one connection, also while asyncio does not read it."""

    def __init__(self, transport_socket: TransportSocket) -> None:
        self._transport_socket = transport_socket
        self._poller = select.poll()
        self._poller.register(transport_socket.fileno(), select.POLLIN | select.POLLRDHUP)

    def state(self) -> SocketState:
        """Return the state of the connection.

        This is one system call, which costs much less than a read.
        """
        polled = self._poller.poll(0)
        if not polled:
            return QUIET_SOCKET
        events = polled[0][1]
        is_broken = bool(events & (select.POLLERR | select.POLLHUP | select.POLLNVAL))
        is_closed_by_peer = bool(events & select.POLLRDHUP)
        return SocketState(has_input=True, is_closed_by_peer=is_closed_by_peer, is_broken=is_broken)

    def read(self, target: memoryview, on_bytes: Callable[[int], None]) -> ReadStop | None:
        """Read once; return None if there may be more input.

        Args:
            target: The buffer, which has space.
            on_bytes: Called with the number of bytes that were read, if there were any.
        """
        # asyncio's TransportSocket cannot read. A second socket object on the same descriptor can, and is
        # detached afterwards.
        original = self._transport_socket
        sock = socket.socket(original.family, original.type, fileno=original.fileno())
        try:
            with target:
                count = sock.recv_into(target)
        except (BlockingIOError, InterruptedError):
            return ReadStop.NO_MORE_INPUT
        except OSError:
            return ReadStop.BROKEN
        finally:
            sock.detach()
        if not count:
            return ReadStop.END_OF_INPUT
        on_bytes(count)
        return None
