"""Tests of the simulator's encoder against hand-written byte layouts."""

from __future__ import annotations

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
from cedarthread.simulator.encoder import encode_action, encode_reply


def test_reply_without_records_contains_only_its_length() -> None:
    assert encode_reply([]) == bytes.fromhex("04000000")


@pytest.mark.parametrize(
    ("action", "record"),
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
def test_action_layouts(action: Action, record: bytes) -> None:
    assert encode_action(action) == record
