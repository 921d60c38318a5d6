"""Clients on plain blocking sockets, for tests in which a client acts before the router reads.

When a call on such a socket returns, the kernel has delivered the data, FIN or RST to the router's socket.
The router has not read them yet, because its event loop has not run in between or its process is suspended.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING, Any

from cedarthread.protocols import msgpack
from cedarthread.testing.fakes.client import replace_memoryviews
from cedarthread.testing.fakes.scripted import pack_call

if TYPE_CHECKING:
    from collections.abc import Callable

HEALTH_CHECK = b"\x94\x00\x01\xa5check\x91\x80"  # a complete message that leaves no call open
ACCEPT_TIMEOUT_S = 20


def pack_interrupt(number: int) -> bytes:
    """Return the platform protocol's interrupt message for a call."""
    return b"\x93\x02\xa9interrupt\x91" + msgpack.pack_uint(number)


class BlockingClient:
    """A client of the platform protocol on a blocking socket.

    Args:
        port: The router's port on loopback.
    """

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.local_address = self.sock.getsockname()
        self.received = b""

    def call(self, number: int, class_name: str = "check", body: bytes = b"x", **fields: str) -> None:
        """Send a call."""
        self.sock.sendall(pack_call(number, class_name, body, **fields))

    def interrupt(self, *numbers: int) -> None:
        """Send the interrupts of these calls in one write."""
        self.sock.sendall(b"".join(map(pack_interrupt, numbers)))

    def close(self) -> None:
        """Close the connection with FIN."""
        self.sock.close()

    def reset(self) -> None:
        """Close the connection with RST."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def half_close(self) -> None:
        """Send FIN, and keep the read side open."""
        self.sock.shutdown(socket.SHUT_WR)

    async def read(self) -> Any:
        """Return the next response, or None at the end of the connection."""
        loop = asyncio.get_running_loop()
        self.sock.setblocking(False)
        while not isinstance(parsed := msgpack.parse(memoryview(self.received)), msgpack.ParsedValue):
            received = await loop.sock_recv(self.sock, 65536)
            if not received:
                return None
            self.received += received
        self.received = self.received[parsed.end :]
        return replace_memoryviews(parsed.value)


# The ways in which a client may cancel its call number 1 or disconnect.
DISCONNECTS: dict[str, Callable[[BlockingClient], None]] = {
    "cancel": lambda client: client.interrupt(1),
    "close": BlockingClient.close,
    "reset": BlockingClient.reset,
    "half-close": BlockingClient.half_close,
}


async def wait_until_accepted(connections: list[socket.socket]) -> None:
    """Wait until each connection has received a byte, EOF or RST."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(ACCEPT_TIMEOUT_S):
        for connection in connections:
            with contextlib.suppress(ConnectionError):
                await loop.sock_recv(connection, 1)


def close_all(connections: list[socket.socket]) -> None:
    """Close the connections."""
    for connection in connections:
        connection.close()
