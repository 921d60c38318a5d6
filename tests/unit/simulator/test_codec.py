"""The codec against byte layouts put together by hand, and round trips through the adapter."""

from __future__ import annotations

import io
import json
import struct

import pytest

from cedarthread.model.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    PreloadFunction,
    RejectRequest,
    SendToPeer,
    SetTimer,
    StartAttempt,
    SubscribeEndpoints,
    UnloadFunction,
)
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
from cedarthread.model.settings import DeduplicationScope, Idempotency
from cedarthread.settings_parser import parse_settings
from cedarthread.simulator.decoder import Decoder, HostEvent, InstanceKilled
from cedarthread.simulator.encoder import encode_action, encode_reply
from cedarthread.simulator.host import SimulatorHost, main
from tests.unit.simulator.frames import (
    SIMULATOR_INFO,
    endpoint_entry,
    endpoint_table,
    endpoint_update,
    frame,
    instance_started,
    request_arrived,
    select_instance,
)


def decode_event(record: bytes) -> HostEvent:
    """Decode a frame with this record alone, and return its event."""
    _, events = Decoder().decode_batch(frame(select_instance(5), record))
    ((instance_id, event),) = list(events)
    assert instance_id == 5
    return event


def test_header_and_empty_batch() -> None:
    raw = bytes.fromhex("10000000" + "00000000206ec040" + "00000000")
    now_ms, events = Decoder().decode_batch(raw)
    assert now_ms == 8412.25
    assert list(events) == []
    assert encode_reply([]) == bytes.fromhex("04000000")


def test_request_arrived_layout() -> None:
    event = decode_event(request_arrived(9))
    assert event == RequestArrived(9, 77, 0, 2250.0, None, 2.0, 384.0, 900.0, 12.0, False, False)
    assert len(request_arrived(9)) == 47


def test_absent_and_odd_numbers_count_as_absent() -> None:
    raw = struct.pack("<BIfdQHffdHH", 3, 9, float("nan"), 1.0, 77, 0, -1.0, float("inf"), 12.0, 3, 0xFFF2)
    event = decode_event(raw)
    assert isinstance(event, RequestArrived)
    assert (event.concurrency, event.memory, event.load_time_ms, event.work) == (None, None, None, None)
    assert event.is_client_retry
    assert not event.is_write
    assert event.tenant_index is None


def test_attempt_ended_layout_with_start_kind_concurrency_and_load_report() -> None:
    raw = struct.pack("<BIIdIHHBB", 5, 9, 4, 26.0, 8 * 6 + 3, 1, 200, 1, 2) + struct.pack("<2f", 0.5, -1.0)
    event = decode_event(raw)
    assert event == AttemptEnded(9, 1, 4, Outcome.OK, 26.0, True, StartKind.PENDING, 6, (0.5, None))


@pytest.mark.parametrize(
    ("raw", "event"),
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
def test_event_layouts(raw: bytes, event: HostEvent) -> None:
    assert decode_event(raw) == event


@pytest.mark.parametrize(
    ("action", "raw"),
    [
        (StartAttempt(9, 4, 80.0), struct.pack("<BIId", 71, 9, 4, 80.0)),
        (StartAttempt(9, 4), struct.pack("<BIId", 71, 9, 4, 0.0)),
        (FetchEndpoints(), b"\x49"),
        (RejectRequest(9, 50.0), struct.pack("<BId", 68, 9, 50.0)),
        (FailRequest(9), struct.pack("<BI", 77, 9)),
        (PreloadFunction(4, 77, 3), struct.pack("<BIQB", 65, 4, 77, 3)),
        (UnloadFunction(4, 77), struct.pack("<BQI", 76, 77, 4)),
        (SendToPeer(b"hi"), bytes.fromhex("46ffff02006869")),
        (SendToPeer(b"hi", 2), bytes.fromhex("46020002006869")),
        (CloseIdleConnections(4), struct.pack("<BI", 66, 4)),
        (SetTimer(8400.25, 77), struct.pack("<BdI", 67, 8400.25, 77)),
        (CheckHealth(4), struct.pack("<BI", 78, 4)),
        (SubscribeEndpoints(True), b"\x4a\x01"),
        (CancelAttempt(9, 1), struct.pack("<BIH", 79, 9, 1)),
        (LogMessage("ok"), b"\x4b\x02\x00ok"),
    ],
)
def test_action_layouts(action: Action, raw: bytes) -> None:
    assert encode_action(action) == raw


def test_table_numbers_resolve_in_event_order() -> None:
    decoder = Decoder()
    _, events = decoder.decode_batch(
        frame(
            select_instance(1),
            endpoint_table(0, endpoint_entry(4)),
            endpoint_update(0),
            endpoint_table(0, endpoint_entry(5), endpoint_entry(6)),
            endpoint_update(0, 3),
        )
    )
    updates = [event for _, event in events if isinstance(event, EndpointUpdate)]
    listed_ids = [[endpoint.worker_id for endpoint in update.endpoints] for update in updates]
    assert listed_ids == [[4], [5, 6]]


def test_settings_and_unknown_keys() -> None:
    settings = parse_settings(json.dumps(SIMULATOR_INFO).encode())
    assert [request_class.idempotency for request_class in settings.classes] == [
        Idempotency.IDEMPOTENT,
        Idempotency.WITH_KEY,
    ]
    assert settings.classes[1].deduplication_scope is DeduplicationScope.ZONE
    assert settings.rules.collapse_window_ms == 1000.0
    assert settings.limits.max_attempts == 3


def test_host_serves_a_request_and_restarts_without_state() -> None:
    host = SimulatorHost()
    reply = host.handle_frame(
        frame(
            select_instance(3),
            instance_started(),
            endpoint_table(0, endpoint_entry(4)),
            endpoint_update(0),
            request_arrived(9),
        )
    )
    assert struct.pack("<BI", 72, 3) in reply
    assert struct.pack("<BII", 71, 9, 4) in reply
    host.handle_frame(
        frame(
            select_instance(3),
            struct.pack("<B", 10),
            instance_started(),
            endpoint_table(0),
            endpoint_update(0),
        )
    )
    assert host.nodes[3].router.pending_requests == {}
    assert host.nodes[3].router.workers == {}


@pytest.mark.parametrize(
    "raw",
    [
        b"\x05\x00",
        frame(select_instance(3), b"\xee"),
        frame(select_instance(3), request_arrived(9)[:-3]),
        frame(request_arrived(9)),
        frame(select_instance(3), instance_started({"classes": 3})),
        frame(select_instance(3), endpoint_update(7)),
        struct.pack("<IdI", 15, 0.0, 0),
        frame() + b"\x40",
    ],
)
def test_malformed_input_is_one_log_line_and_a_failing_exit(
    raw: bytes, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(io.BytesIO(raw), io.BytesIO()) != 0
    stderr = capsys.readouterr().err
    assert stderr.startswith("cedarthread: bad input: ")
    assert stderr.count("\n") == 1


def test_an_exception_of_the_decision_code_is_reported() -> None:
    host = SimulatorHost()
    unknown_class = struct.pack("<BIfdQHffdHH", 3, 9, 2.0, 2250.0, 77, 12, 1.0, 1.0, 1.0, 0, 0)
    reply = host.handle_frame(
        frame(
            select_instance(3),
            instance_started(),
            endpoint_table(0, endpoint_entry(4)),
            endpoint_update(0),
            unknown_class,
        )
    )
    assert reply[9] == 69
    assert b"IndexError" in reply
