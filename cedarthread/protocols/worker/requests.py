"""Requests on a connection to a worker (attempts and preloads) and the lines that carry them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from cedarthread.dispatch.calls import Attempt

if TYPE_CHECKING:
    import asyncio


@dataclass(eq=False, slots=True)
class PendingPreload:
    """A preload request that is waiting for its response."""

    message_id: str
    worker_id: int
    function_id: int
    sent_at_ms: float
    is_finished: bool = False  # its outcome has been reported to the dispatcher
    timers: list[asyncio.TimerHandle] = field(default_factory=list)  # cancelled once it is finished


WorkerRequest: TypeAlias = Attempt | PendingPreload


def message_id_of(request: WorkerRequest) -> str:
    """Return the id that the worker's response will carry."""
    return request.call.call_id if isinstance(request, Attempt) else request.message_id


@dataclass(eq=False, slots=True)
class OutboundLine:
    """A line to send; `request` is None for a line that has no response, such as a cancel."""

    data: bytes
    request: WorkerRequest | None = None
