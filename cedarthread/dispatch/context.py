"""What the parts of the dispatcher share: settings, clock, event loop and the ways out."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.dispatch.calls import WorkerTransport
    from cedarthread.model.settings import RouterSettings


class DispatchContext:
    """Settings, clock, event loop and the connections to workers and peers of one dispatcher.

    The parts read these attributes at each use, since settings are replaced at a reload, and the transports
    are connected only after the dispatcher exists.
    """

    def __init__(self, settings: RouterSettings, clock: Callable[[], float]) -> None:
        self.settings = settings
        self.clock = clock  # Unix time in ms
        self.loop = asyncio.get_running_loop()
        self.worker_transport: WorkerTransport | None = None
        self.send_to_peer: Callable[[bytes, int | None], None] = _discard_peer_message

    def workers(self) -> WorkerTransport:
        """The worker transport, which must be connected by now."""
        assert self.worker_transport is not None
        return self.worker_transport

    def call_at(self, at_ms: float, callback: Callable[..., None], *args: Any) -> asyncio.TimerHandle:
        """Call back at that time of ``clock``, or at once where it is past."""
        delay_s = max(0.0, at_ms - self.clock()) / 1000.0
        return self.loop.call_later(delay_s, callback, *args)


def _discard_peer_message(data: bytes, peer_index: int | None) -> None:
    """For a dispatcher without a peer transport."""
