"""The size of the buffers that asyncio gives each TLS connection.

By default, these are 256 KiB for reads and as much unread, with which hundreds of callers would use the
memory of the whole process.
"""

from __future__ import annotations

from asyncio import sslproto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

READ_BYTES = 32 * 1024  # of one read from the socket; over the maximum length of a TLS record
MAX_UNREAD_BYTES = 32 * 1024  # received bytes that the program has not read, at which reading pauses


def use_small_read_buffers() -> None:
    """Let each later TLS connection of the process allocate ``READ_BYTES`` for reads."""
    sslproto.SSLProtocol.max_size = READ_BYTES


def limit_tls_buffers(transport: asyncio.Transport) -> None:
    """Limit the received bytes that a TLS transport holds unread; do nothing without TLS."""
    set_limits = getattr(transport, "set_read_buffer_limits", None)
    if set_limits is not None:
        set_limits(high=MAX_UNREAD_BYTES)
