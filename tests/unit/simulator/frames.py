"""Builders of the simulator's request frames and their records, byte by byte."""

from __future__ import annotations

import json
import struct

SIMULATOR_SETTINGS = {
    "balancers": 3,
    "classes": [
        {"name": "x", "goal-time": 500.0, "deadline": 2000.0, "effect": "retryable", "value": 2.0},
        {"name": "y", "goal-time": 500.0, "deadline": 2000.0, "effect": "dedup"}
        | {"group": "zone", "repeat-window": 0},
    ],
    "limits": {"send-cap": 3, "most-held": 100, "cancel": True},
    "obligations": {"cold-from": 0.2, "warm-after": 9000.0, "fall": 1000.0, "overload-factor": 2.0}
    | {"answer-slack": 0, "stop-sending-within": 0},
    "a-key-of-tomorrow": 1,
}


def frame(*records: bytes, now_ms: float = 250.0) -> bytes:
    body = b"".join(records)
    return struct.pack("<IdI", 16 + len(body), now_ms, len(records)) + body


def select_instance(instance_id: int) -> bytes:
    """Return the record that selects the router instance of the next records."""
    return struct.pack("<BI", 13, instance_id)


def instance_started(settings: object = SIMULATOR_SETTINGS) -> bytes:
    text = json.dumps(settings).encode()
    return struct.pack("<BQI", 1, 99, len(text)) + text


def endpoint_entry(worker_id: int, state: int = 2) -> bytes:
    """Return one entry of an endpoint table."""
    return struct.pack("<IBHHBfd", worker_id, 0, 0, 0, state, 1.0, 0.0)


def endpoint_table(number: int, *entries: bytes) -> bytes:
    """Return the record that defines a numbered endpoint list, which later updates refer to."""
    return struct.pack("<BII", 12, number, len(entries)) + b"".join(entries)


def endpoint_update(table_number: int, update_kind: int = 1, version: int = 1) -> bytes:
    return struct.pack("<BBQI", 2, update_kind, version, table_number)


def request_arrived(request_id: int, deadline_ms: float = 2250.0) -> bytes:
    return struct.pack("<BIfdQHffdHH", 3, request_id, 2.0, deadline_ms, 77, 0, 384.0, 900.0, 12.0, 0, 1)
