"""The event loop timers of a routing node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.model.actions import SetTimer
from cedarthread.model.events import Event, TimerFired
from cedarthread.node.routing_node import COMPONENT_TIMER_TOKEN
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fakes.settings import SETTINGS
from cedarthread.testing.fuzzing.virtual_loop import run_virtual

if TYPE_CHECKING:
    from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop


def test_a_new_timer_cancels_the_previous_timer_of_its_owner() -> None:
    """Guard against a replaced timer that still wakes the process, for a token that is out of date."""
    events: list[Event] = []

    async def set_three_timers(loop: VirtualLoop) -> None:
        dispatcher = Dispatcher(settings_from_object(SETTINGS), 3, loop.unix_ms)
        dispatcher.node.handle = lambda now_ms, event: events.append(event) or []  # type: ignore[func-returns-value, method-assign]
        for token, delay_ms in ((1, 50.0), (2, 20.0), (COMPONENT_TIMER_TOKEN, 30.0)):
            dispatcher.node_timers.set(SetTimer(loop.unix_ms() + delay_ms, token))
        assert loop.timer_count() == 2
        await asyncio.sleep(1.0)

    run_virtual(set_three_timers)
    assert events == [TimerFired(2), TimerFired(COMPONENT_TIMER_TOKEN)]
