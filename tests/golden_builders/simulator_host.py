"""Frames that the simulator sends to one process with two routers, and the process's replies."""

from __future__ import annotations

from cedarthread.simulator.host import SimulatorHost
from tests.golden_builders.platform_settings import FULL_SETTINGS
from tests.golden_builders.sample import Sample
from tests.golden_builders.simulator_records import (
    attempt_ended,
    endpoint_table,
    endpoint_update,
    frame,
    request_arrived,
    select_instance,
    start_instance,
    timer_fired,
)

COMPONENT_TIMER_TOKEN = 2**32 - 1  # Token of the timer of the routing node's components.


def build_simulator_host() -> list[Sample]:
    """Return each frame and its reply, in order."""
    host = SimulatorHost()
    samples: list[Sample] = []
    for number, data in enumerate(_frames()):
        reply = host.handle_frame(data)
        samples += [Sample(f"{number} in", data), Sample(f"{number} out", reply)]
    return samples


def _frames() -> list[bytes]:
    """Return frames that start two routers, then for each in turn a request and the end of its attempt."""
    frames: list[bytes] = []
    for router_index in (0, 1):
        settings = FULL_SETTINGS | {"ordinal": router_index, "balancers": 2, "membership-mode": "push"}
        frames.append(
            frame(
                select_instance(router_index),
                start_instance(settings),
                endpoint_table(router_index, 4, 5, 6),
                endpoint_update(router_index),
                now_ms=0.0,
            )
        )
    for step in range(30):
        select = select_instance(step % 2)
        now_ms = 10.0 + 100.0 * step
        request = request_arrived(step + 1, now_ms + 2000.0, step % 4, function_id=77 + step % 3)
        frames.append(frame(select, request, now_ms=now_ms))
        ended = attempt_ended(step + 1, 4 + step % 3, 200, 8 * (step % 5) + step % 4)
        timers = [timer_fired(COMPONENT_TIMER_TOKEN), timer_fired(step)]
        frames.append(frame(select, ended, *timers, now_ms=now_ms + 50.0))
    return frames
