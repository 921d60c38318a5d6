"""Layouts of the simulator's request frames: record codes, packed fields, and the meaning of coded values.

All numbers are little-endian. ``decoder`` is the only user; this module has no state.
"""

from __future__ import annotations

import struct
from enum import IntEnum

from cedarthread.model.endpoints import EndpointState, EndpointUpdateKind
from cedarthread.model.outcomes import Outcome, StartKind


class RecordCode(IntEnum):
    """Codes of the records of a request frame: the first byte of each record."""

    INSTANCE_STARTED = 1
    ENDPOINT_UPDATE = 2
    REQUEST_ARRIVED = 3
    STREAM_STARTED = 4
    ATTEMPT_ENDED = 5
    CLIENT_DISCONNECTED = 6
    TIMER_FIRED = 7
    HEALTH_CHECK_ENDED = 8
    PEER_MESSAGE = 9
    INSTANCE_KILLED = 10
    PRELOAD_ENDED = 11
    ENDPOINT_TABLE = 12  # defines a numbered endpoint list, which later endpoint updates refer to
    SELECT_INSTANCE = 13  # selects the instance to which the events of the next records belong


# Fields of a record after its code; BATCH_HEADER: length in bytes, clock in ms, number of records.
U8 = struct.Struct("<B")
U32 = struct.Struct("<I")
BATCH_HEADER = struct.Struct("<IdI")
ENDPOINT_ENTRY = struct.Struct("<IBHHBfd")
INSTANCE_STARTED = struct.Struct("<QI")
ENDPOINT_UPDATE = struct.Struct("<BQI")
REQUEST_ARRIVED = struct.Struct("<IfdQHffdHH")
STREAM_STARTED = struct.Struct("<IHId")
ATTEMPT_ENDED = struct.Struct("<IIdIHHB")
HEALTH_CHECK_ENDED = struct.Struct("<dIH")
PEER_MESSAGE = struct.Struct("<IH")
PRELOAD_ENDED = struct.Struct("<BIQHd")

# Flags of an arrived request.
HAS_WORK = 1
IS_CLIENT_RETRY = 2
IS_WRITE = 4
# The packed instance information of an ended attempt: the low three bits are the start kind of the instance,
# the next five bits are the concurrency that the worker reports.
START_KIND_MASK = 7
CONCURRENCY_SHIFT = 3
CONCURRENCY_MASK = 31

OUTCOME_BY_STATUS_CODE = {
    200: Outcome.OK,
    502: Outcome.ERROR,
    429: Outcome.OVERLOADED,
    408: Outcome.TIMEOUT,
    521: Outcome.CONNECT_FAILED,
    520: Outcome.RESET,
    444: Outcome.CANCELLED,
    409: Outcome.NOT_SENT,
    204: Outcome.NOT_LOADED,
}
START_KINDS = (StartKind.UNKNOWN, StartKind.WARM, StartKind.COLD, StartKind.PENDING, StartKind.LOAD_FAILED)
UPDATE_KINDS = {
    4: EndpointUpdateKind.DELTA,
    3: EndpointUpdateKind.SNAPSHOT,
    1: EndpointUpdateKind.CACHED,
    2: EndpointUpdateKind.FAILED,
}
ENDPOINT_STATES = {0: EndpointState.REMOVED, 1: EndpointState.DRAINING, 2: EndpointState.READY}
