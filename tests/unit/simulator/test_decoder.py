"""Tests of the simulator's decoder against hand-written byte layouts."""

from __future__ import annotations

import struct

import pytest

from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
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
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.simulator.decoder import Decoder, HostEvent, InstanceKilled
from tests.unit.simulator.frames import (
    endpoint_entry,
    endpoint_table,
    endpoint_update,
    frame,
    request_arrived,
    select_instance,
)

INSTANCE_ID = 5


def decode_event(record: bytes) -> HostEvent:
    """Decode a frame that contains only this event record, and return the event."""
    _, events = Decoder().decode_batch(frame(select_instance(INSTANCE_ID), record))
    ((instance_id, event),) = list(events)
    assert instance_id == INSTANCE_ID
    return event


def test_header_of_an_empty_batch() -> None:
    batch = bytes.fromhex("10000000" + "00000000206ec040" + "00000000")
    now_ms, events = Decoder().decode_batch(batch)
    assert now_ms == 8412.25
    assert list(events) == []


def test_request_arrived_layout() -> None:
    event = decode_event(request_arrived(9))
    assert event == RequestArrived(9, 77, 0, 2250.0, None, 2.0, 384.0, 900.0, 12.0, False, False)
    assert len(request_arrived(9)) == 47


def test_invalid_numbers_are_decoded_as_absent() -> None:
    record = struct.pack("<BIfdQHffdHH", 3, 9, float("nan"), 1.0, 77, 0, -1.0, float("inf"), 12.0, 3, 0xFFF2)
    event = decode_event(record)
    assert isinstance(event, RequestArrived)
    assert (event.concurrency, event.memory_mb, event.load_time_ms, event.work) == (None, None, None, None)
    assert event.is_client_retry
    assert not event.is_write
    assert event.tenant_index is None


def test_attempt_ended_layout_with_start_kind_concurrency_and_load_report() -> None:
    record = struct.pack("<BIIdIHHBB", 5, 9, 4, 26.0, 8 * 6 + 3, 1, 200, 1, 2) + struct.pack("<2f", 0.5, -1.0)
    event = decode_event(record)
    assert event == AttemptEnded(9, 1, 4, Outcome.OK, 26.0, True, StartKind.PENDING, 6, (0.5, None))


@pytest.mark.parametrize(
    ("record", "event"),
    [
        (struct.pack("<BIHId", 4, 9, 1, 4, 2.5), StreamStarted(9, 1, 4, 2.5)),
        (struct.pack("<BI", 6, 9), ClientDisconnected(9)),
        (struct.pack("<BI", 7, 77), TimerFired(77)),
        (struct.pack("<BdIHB", 8, 2.5, 4, 408, 0), HealthCheckEnded(4, Outcome.TIMEOUT, 2.5, ())),
        (struct.pack("<BIH", 9, 2, 2) + b"hi", PeerMessageReceived(2, b"hi")),
        (struct.pack("<B", 10), InstanceKilled()),
        (struct.pack("<BBIQHd", 11, 2, 4, 77, 429, 5.0), PreloadEnded(4, 77, Outcome.OVERLOADED, 2, 5.0)),
        (struct.pack("<BBQI", 2, 2, 7, 0), EndpointUpdate(EndpointUpdateKind.FAILED, 7, ())),
    ],
)
def test_event_layouts(record: bytes, event: HostEvent) -> None:
    assert decode_event(record) == event


def test_a_table_number_refers_to_its_latest_definition() -> None:
    records = (
        select_instance(1),
        endpoint_table(0, endpoint_entry(4)),
        endpoint_update(0),
        endpoint_table(0, endpoint_entry(5), endpoint_entry(6)),
        endpoint_update(0, 3),
    )
    _, events = Decoder().decode_batch(frame(*records))
    updates = [event for _, event in events if isinstance(event, EndpointUpdate)]
    assert [[endpoint.worker_id for endpoint in update.endpoints] for update in updates] == [[4], [5, 6]]
