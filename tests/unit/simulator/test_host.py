"""Tests of the simulator's host of router instances: request frames, reply frames and settings."""

from __future__ import annotations

import io
import json
import struct
import typing

import pytest

from cedarthread.model.events import Event
from cedarthread.model.settings import DeduplicationScope, Idempotency
from cedarthread.settings_parser import parse_settings
from cedarthread.simulator import host as simulator_host
from cedarthread.simulator.host import SimulatorHost, main
from tests.unit.simulator.frames import (
    SIMULATOR_SETTINGS,
    endpoint_entry,
    endpoint_table,
    endpoint_update,
    frame,
    instance_started,
    request_arrived,
    select_instance,
)

KILL_INSTANCE = struct.pack("<B", 10)
INSTANCE_ID = 3
START_WITH_ONE_WORKER = (
    select_instance(INSTANCE_ID),
    instance_started(),
    endpoint_table(0, endpoint_entry(4)),
    endpoint_update(0),
)


def test_settings_are_parsed_and_unknown_keys_ignored() -> None:
    settings = parse_settings(json.dumps(SIMULATOR_SETTINGS).encode())
    assert [request_class.idempotency for request_class in settings.classes] == [
        Idempotency.IDEMPOTENT,
        Idempotency.WITH_KEY,
    ]
    assert settings.classes[1].deduplication_scope is DeduplicationScope.ZONE
    assert settings.rules.collapse_window_ms == 1000.0
    assert settings.limits.max_attempts == 3


def test_an_instance_serves_a_request_and_restarts_without_state() -> None:
    host = SimulatorHost()
    reply = host.handle_frame(frame(*START_WITH_ONE_WORKER, request_arrived(9)))
    assert struct.pack("<BI", 72, INSTANCE_ID) in reply
    assert struct.pack("<BII", 71, 9, 4) in reply
    restart = (KILL_INSTANCE, instance_started(), endpoint_table(0), endpoint_update(0))
    host.handle_frame(frame(select_instance(INSTANCE_ID), *restart))
    assert host.nodes[INSTANCE_ID].router.pending_requests == {}
    assert host.nodes[INSTANCE_ID].router.workers == {}


@pytest.mark.parametrize(
    "malformed_input",
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
def test_malformed_input_prints_one_line_and_exits_with_an_error(
    malformed_input: bytes, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(io.BytesIO(malformed_input), io.BytesIO()) != 0
    error_output = capsys.readouterr().err
    assert error_output.startswith("cedarthread: bad input: ")
    assert error_output.count("\n") == 1


def test_an_exception_of_the_router_is_reported_without_a_python_type() -> None:
    host = SimulatorHost()
    unknown_class_index = 12
    request = struct.pack("<BIfdQHffdHH", 3, 9, 2.0, 2250.0, 77, unknown_class_index, 1.0, 1.0, 1.0, 0, 0)
    reply = host.handle_frame(frame(*START_WITH_ONE_WORKER, request))
    text = b"internal error while handling a request that arrived: tuple index out of range"
    assert reply[9] == 69
    assert reply[10:] == struct.pack("<H", len(text)) + text


def test_each_kind_of_event_has_a_description_for_failure_records() -> None:
    assert simulator_host._EVENT_DESCRIPTIONS.keys() == set(typing.get_args(Event))
