"""The event loop timers for the router and the components of the routing node."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from cedarthread.model.events import Event, TimerFired
from cedarthread.node.routing_node import COMPONENT_TIMER_TOKEN

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from cedarthread.dispatch.context import DispatchContext
    from cedarthread.model.actions import SetTimer


class TimerOwner(Enum):
    """The part of the routing node that set a timer."""

    ROUTER = 0
    COMPONENTS = 1


def _owner(token: int) -> TimerOwner:
    return TimerOwner.COMPONENTS if token == COMPONENT_TIMER_TOKEN else TimerOwner.ROUTER


class NodeTimers:
    """Timers that queue ``TimerFired``, at most one for each part of the node.

    Args:
        context: Clock and event loop of the dispatcher.
        enqueue_event: Queues an event for the routing node.
    """

    def __init__(self, context: DispatchContext, enqueue_event: Callable[[Event], None]) -> None:
        self._context = context
        self._enqueue_event = enqueue_event
        self._timers: dict[TimerOwner, asyncio.TimerHandle] = {}

    def set(self, action: SetTimer) -> None:
        """Set the timer of the part of the node that owns the token.

        The previous timer of that part is cancelled. Its token is out of date, so that its event would have
        no effect.
        """
        owner = _owner(action.token)
        if (previous := self._timers.get(owner)) is not None:
            previous.cancel()
        self._timers[owner] = self._context.call_at(action.at_ms, self._on_timer, TimerFired(action.token))

    def fire_component_timer_within(self, within_ms: float) -> None:
        """Fire the timer of the components now if it is due within ``within_ms``."""
        timer = self._timers.get(TimerOwner.COMPONENTS)
        if timer is not None and timer.when() <= self._context.loop.time() + within_ms / 1000.0:
            timer.cancel()
            self._on_timer(TimerFired(COMPONENT_TIMER_TOKEN))

    def _on_timer(self, event: TimerFired) -> None:
        del self._timers[_owner(event.token)]
        self._enqueue_event(event)
