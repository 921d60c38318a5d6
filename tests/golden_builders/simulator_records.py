"""Frames and records that the simulator sends to the router's process."""

from __future__ import annotations

import json
import struct


def frame(*records: bytes, now_ms: float = 250.0) -> bytes:
    """Return a frame of these records, with the simulator's clock."""
    body = b"".join(records)
    return struct.pack("<IdI", 16 + len(body), now_ms, len(records)) + body


def select_instance(router_index: int) -> bytes:
    """Return the record that selects the router of the next records."""
    return struct.pack("<BI", 13, router_index)


def start_instance(settings: dict[str, object]) -> bytes:
    """Return the record that starts a router with these settings."""
    body = json.dumps(settings).encode()
    return struct.pack("<BQI", 1, 99, len(body)) + body


def endpoint_table(table_number: int, *worker_ids: int) -> bytes:
    """Return the record with a table of these workers; a worker's properties are computed from its id."""
    rows = b"".join(
        struct.pack(
            "<IBHHBfd", worker_id, worker_id % 2, worker_id % 2, worker_id % 3, 2, 1.0, 10.0 * worker_id
        )
        for worker_id in worker_ids
    )
    return struct.pack("<BII", 12, table_number, len(worker_ids)) + rows


def endpoint_update(table_number: int, kind: int = 1, version: int = 1) -> bytes:
    """Return the record that updates the endpoint list from a table."""
    return struct.pack("<BBQI", 2, kind, version, table_number)


def request_arrived(
    request_id: int, deadline_ms: float, class_index: int = 0, flags: int = 1, function_id: int = 77
) -> bytes:
    """Return the record of a request that arrives from a client."""
    return struct.pack(
        "<BIfdQHffdHH",
        3,
        request_id,
        2.0,
        deadline_ms,
        function_id,
        class_index,
        384.0,
        900.0,
        12.0,
        1,
        flags,
    )


def attempt_ended(
    request_id: int, worker_id: int, status_code: int = 200, instance_info: int = 8 * 6 + 1, is_final: int = 1
) -> bytes:
    """Return the record of an attempt that ends.

    Args:
        request_id: The request of the attempt.
        worker_id: The worker of the attempt.
        status_code: The status code of the outcome.
        instance_info: The concurrency that the worker reports, times 8, plus the code of the start kind.
        is_final: 1 if the client has received its response, else 0.
    """
    head = struct.pack(
        "<BIIdIHHBB", 5, request_id, worker_id, 26.0, instance_info, 0, status_code, is_final, 2
    )
    return head + struct.pack("<2f", 0.5, -1.0)


def timer_fired(token: int) -> bytes:
    """Return the record of a timer that fires."""
    return struct.pack("<BI", 7, token)
