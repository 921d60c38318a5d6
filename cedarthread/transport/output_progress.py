"""The output of a connection that the socket has not accepted yet, and whether the peer goes on reading."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that a transport has buffered because the socket did not accept them yet.

    A TLS transport counts only what it has not encrypted yet. The encrypted bytes are in the buffer of the
    transport under it, which asyncio does not offer otherwise.
    """
    tls_protocol = getattr(transport, "_ssl_protocol", None)
    inner_transport = getattr(tls_protocol, "_transport", None)
    inner_bytes = inner_transport.get_write_buffer_size() if inner_transport is not None else 0
    return transport.get_write_buffer_size() + inner_bytes


class OutputProgress:
    """The time since the unsent output of one connection last became less, or was empty."""

    def __init__(self) -> None:
        self._last_unsent_bytes = 0
        self._progress_at_s = 0.0

    def reset(self) -> None:
        """Record that the peer has read nearly all output."""
        self._last_unsent_bytes = 0

    def stalled_s(self, now_s: float, unsent: int) -> float:
        """Record the unsent bytes at a time, and return for how many s there has been no progress.

        Args:
            now_s: The event loop's time.
            unsent: The bytes that the socket has not accepted yet.
        """
        has_progress = unsent < self._last_unsent_bytes
        if has_progress or self._last_unsent_bytes == 0:
            self._progress_at_s = now_s
        self._last_unsent_bytes = unsent
        return now_s - self._progress_at_s if unsent else 0.0
