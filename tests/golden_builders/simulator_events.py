"""Frames from the simulator, and the events that the router decodes from them."""

from __future__ import annotations

import math
import struct
from typing import TYPE_CHECKING

from cedarthread.model.endpoints import EndpointUpdate
from cedarthread.model.events import (
    AttemptEnded,
    ClientDisconnected,
    HealthCheckEnded,
    PeerMessageReceived,
    PreloadEnded,
    RequestArrived,
    StreamStarted,
    TimerFired,
)
from cedarthread.simulator.decoder import Decoder, InstanceKilled, InstanceStarted
from tests.golden_builders.platform_settings import (
    FULL_SETTINGS,
    MINIMAL_SETTINGS,
    SETTING_TEXTS,
    minimal_settings_with,
)
from tests.golden_builders.sample import Sample, to_plain
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

if TYPE_CHECKING:
    from tests.golden_builders.sample import Json

# The names of the event kinds in the golden file.
EVENT_NAMES: tuple[tuple[type[object], str], ...] = (
    (EndpointUpdate, "list"),
    (RequestArrived, "request"),
    (StreamStarted, "stream began"),
    (AttemptEnded, "attempt ended"),
    (ClientDisconnected, "client gone"),
    (TimerFired, "timer"),
    (HealthCheckEnded, "probe ended"),
    (PeerMessageReceived, "peer message"),
    (PreloadEnded, "order ended"),
    (InstanceStarted, "start"),
    (InstanceKilled, "kill"),
)
STATUS_CODES = (200, 502, 429, 408, 521, 520, 444, 409, 204)


def build_simulator_events() -> list[Sample]:
    """Return a frame for each kind of record, and one for each text that a setting accepts."""
    select = select_instance(5)
    batches: dict[str, tuple[bytes, ...]] = {
        "nothing": (),
        "start": (select, start_instance(FULL_SETTINGS)),
        "start with least settings": (select, start_instance(MINIMAL_SETTINGS)),
        "lists": (select, *_endpoint_lists()),
        "requests": (
            select,
            request_arrived(9, 2250.0),
            request_arrived(10, 99.5, 1, 7),
            _request_with_invalid_numbers(),
        ),
        "requests with tenants": (select, start_instance(FULL_SETTINGS), request_arrived(9, 2250.0, 1, 2)),
        "attempts end": (
            select,
            *(
                attempt_ended(number, 4, status_code, 8 * number + number % 6, number % 2)
                for number, status_code in enumerate(STATUS_CODES)
            ),
        ),
        "probes end": (
            select,
            *(struct.pack("<BdIHB", 8, 2.5, 4, status_code, 0) for status_code in STATUS_CODES),
        ),
        "others": (
            select,
            struct.pack("<BIHId", 4, 9, 1, 4, 2.5),
            struct.pack("<BI", 6, 9),
            timer_fired(77),
            struct.pack("<BIH", 9, 2, 2) + b"hi",
            struct.pack("<BBIQHd", 11, 2, 4, 77, 429, 5.0),
            select_instance(6),
            struct.pack("<B", 10),
        ),
    }
    for name, texts in SETTING_TEXTS.items():
        for text in texts:
            batches[f"{name} {text}"] = (select, start_instance(minimal_settings_with(name, text)))
    return [Sample(name, frame(*records), _read_frame) for name, records in batches.items()]


def _endpoint_lists() -> list[bytes]:
    """Return two tables, one of them with each state and with invalid numbers, and updates of each kind."""
    states = struct.pack("<BII", 12, 1, 3) + b"".join(
        struct.pack("<IBHHBfd", state, 0, 1, 2, state, -1.0, math.nan) for state in range(3)
    )
    return [
        endpoint_table(0, 4, 5),
        *(endpoint_update(0, kind, 7) for kind in (1, 3, 4)),
        endpoint_update(0, 2, 8),
        states,
        endpoint_update(1, 3, 9),
    ]


def _request_with_invalid_numbers() -> bytes:
    return struct.pack("<BIfdQHffdHH", 3, 9, math.nan, 1.0, 77, 0, -1.0, math.inf, 12.0, 3, 0xFFF2)


def _read_frame(data: bytes) -> Json:
    now_ms, events = Decoder().decode_batch(data)
    content: list[Json] = [to_plain(now_ms)]
    for router_index, event in events:
        names: list[Json] = [name for kind, name in EVENT_NAMES if isinstance(event, kind)]
        content.append([router_index, *names, to_plain(event)])
    return content
