"""What a connection to a worker carries: attempts and preloads, and the lines that start them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from cedarthread.dispatch.calls import Attempt

if TYPE_CHECKING:
    import asyncio


@dataclass(eq=False, slots=True)
class PendingPreload:
    """A preload request that waits for its response."""

    message_id: str
    worker_id: int
    function_id: int
    sent_at_ms: float
    is_finished: bool = False
    timers: list[asyncio.TimerHandle] = field(default_factory=list)  # cancelled once it is finished


WorkerRequest: TypeAlias = Attempt | PendingPreload


def message_id_of(request: WorkerRequest) -> str:
    """The id under which the worker will respond."""
    return request.call.call_id if isinstance(request, Attempt) else request.message_id


@dataclass(eq=False, slots=True)
class OutboundLine:
    """A line to send, and the request it carries, if it carries one."""

    data: bytes
    request: WorkerRequest | None = None
