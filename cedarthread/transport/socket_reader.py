"""Direct access to the socket under an asyncio transport."""

from __future__ import annotations

import contextlib
import select
import socket
from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from asyncio.trsock import TransportSocket
    from collections.abc import Callable


class ReadStop(Enum):
    """Why a direct read ended."""

    NO_MORE_INPUT = auto()  # nothing is left to read now, or the caller wants no more
    END_OF_INPUT = auto()  # the peer has closed its sending side
    BROKEN = auto()  # the connection failed


def disable_nagle(transport: asyncio.BaseTransport) -> None:
    """Send small segments at once (TCP_NODELAY).

    Nagle's algorithm would hold responses back until a delayed ACK, up to 40 ms. asyncio sets the option only
    on sockets that were made with an explicit protocol number, which accepted ones are not.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
        with contextlib.suppress(OSError):  # closed already
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class SocketReader:
    """Non-blocking reads from the socket of one connection, also while asyncio has its reading paused."""

    def __init__(self, transport_socket: TransportSocket) -> None:
        self._transport_socket = transport_socket
        self._poller = select.poll()
        self._poller.register(transport_socket.fileno(), select.POLLIN | select.POLLRDHUP)

    def has_input(self) -> bool:
        """Is there data, an end of input or an error to read? One system call, a tenth of a read's cost."""
        return bool(self._poller.poll(0))

    def read(self, space: Callable[[], memoryview | None], on_bytes: Callable[[int], None]) -> ReadStop:
        """Read into ``space()`` and report each count to ``on_bytes`` until nothing is left to read, or
        ``space`` gives no room or None.
        """
        # asyncio's TransportSocket cannot read: a second socket object on the same descriptor can, and
        # detaches from it afterwards.
        original = self._transport_socket
        sock = socket.socket(original.family, original.type, fileno=original.fileno())
        try:
            while (target := space()) is not None and len(target):
                try:
                    with target:
                        count = sock.recv_into(target)
                except (BlockingIOError, InterruptedError):
                    return ReadStop.NO_MORE_INPUT
                except OSError:
                    return ReadStop.BROKEN
                if not count:
                    return ReadStop.END_OF_INPUT
                on_bytes(count)
            return ReadStop.NO_MORE_INPUT
        finally:
            sock.detach()
