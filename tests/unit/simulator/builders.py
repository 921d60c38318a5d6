"""Request frames of the simulator, packed by hand so that tests do not rely on the decoder's layouts."""

from __future__ import annotations

import json
import struct

from cedarthread.simulator.decoder import Decoder, HostEvent

SETTINGS = {
    "balancers": 3,
    "classes": [
        {"name": "x", "goal-time": 500.0, "deadline": 2000.0, "effect": "retryable", "value": 2.0},
        {"name": "y", "goal-time": 500.0, "deadline": 2000.0, "effect": "dedup", "group": "zone"},
    ],
    "limits": {"send-cap": 3, "most-held": 100, "cancel": True},
    "obligations": {"cold-from": 0.2, "warm-after": 9000.0, "fall": 1000.0, "overload-factor": 2.0},
    "a-key-of-tomorrow": 1,
}
SELECTED_INSTANCE = 5  # instance id in the frames of ``decode_event``


def frame(*records: bytes, now_ms: float = 250.0) -> bytes:
    """Return a frame with these records."""
    body = b"".join(records)
    return struct.pack("<IdI", 16 + len(body), now_ms, len(records)) + body


def select_instance(instance_id: int) -> bytes:
    """Return the record that selects an instance."""
    return struct.pack("<BI", 13, instance_id)


def start_instance(settings: object = SETTINGS) -> bytes:
    """Return the record that starts the selected instance."""
    text = json.dumps(settings).encode()
    return struct.pack("<BQI", 1, 99, len(text)) + text


def kill_instance() -> bytes:
    """Return the record that kills the selected instance."""
    return struct.pack("<B", 10)


def endpoint_table(table_number: int, *worker_ids: int, state: int = 2) -> bytes:
    """Return the record that defines a numbered endpoint list; state 2 is ready."""
    entries = b"".join(
        struct.pack("<IBHHBfd", worker_id, 0, 0, 0, state, 1.0, 0.0) for worker_id in worker_ids
    )
    return struct.pack("<BII", 12, table_number, len(worker_ids)) + entries


def endpoint_update(table_number: int, kind: int = 1) -> bytes:
    """Return the record of an endpoint update that refers to a numbered list; kind 1 is a cached list."""
    return struct.pack("<BBQI", 2, kind, 1, table_number)


def request_arrived(request_id: int, deadline_ms: float = 2250.0) -> bytes:
    """Return the record of a request for function 77 of class 0."""
    return struct.pack("<BIfdQHffdHH", 3, request_id, 2.0, deadline_ms, 77, 0, 384.0, 900.0, 12.0, 0, 1)


def decode_event(record: bytes) -> HostEvent:
    """Decode a frame with this event record alone, and return the event."""
    _, events = Decoder().decode_batch(frame(select_instance(SELECTED_INSTANCE), record))
    ((instance_id, event),) = list(events)
    assert instance_id == SELECTED_INSTANCE
    return event
