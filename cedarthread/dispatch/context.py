"""The context that the parts of a dispatcher share; only ``Dispatcher`` modifies it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVarTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.dispatch.calls import WorkerTransport
    from cedarthread.model.settings import RouterSettings

Arguments = TypeVarTuple("Arguments")  # the arguments of a callback


class DispatchContext:
    """Settings, clock, event loop, and worker and peer transports of one dispatcher.

    Do not cache these attributes, because a reload replaces the settings, and the transports are connected
    after the dispatcher is constructed.

    Args:
        settings: The settings in force.
        clock: Returns Unix time in ms and never steps back.
    """

    def __init__(self, settings: RouterSettings, clock: Callable[[], float]) -> None:
        self.settings = settings
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.worker_transport: WorkerTransport | None = None
        self.send_to_peer: Callable[[bytes, int | None], None] = _discard_peer_message

    def workers(self) -> WorkerTransport:
        """Return the worker transport, which must be connected."""
        assert self.worker_transport is not None
        return self.worker_transport

    def call_at(
        self, at_ms: float, callback: Callable[[*Arguments], None], *args: *Arguments
    ) -> asyncio.TimerHandle:
        """Schedule a callback for a time on ``clock``; a time in the past means the next loop iteration."""
        delay_s = max(0.0, at_ms - self.clock()) / 1000.0
        return self.loop.call_later(delay_s, callback, *args)


def _discard_peer_message(data: bytes, peer_index: int | None) -> None:
    """Discard a message; the default while no peer transport is connected."""
