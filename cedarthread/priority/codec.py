"""The gossip datagram of load pressure, at most 256 bytes.

    message type u8
    then entries: router u16, pressure u8 (in 1/32), calls u8 (logarithmic), age u8 (in 50 ms)

All fields are little-endian. The first entry is the sender's own. The age is rounded up each time a report is
forwarded, so that the age of a forwarded report always grows.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES, MalformedDatagram
from cedarthread.components.messages import MessageType

_ENTRY_FORMAT = struct.Struct("<HBBB")
ENTRY_BYTES = _ENTRY_FORMAT.size
MAX_ENTRIES = (MAX_DATAGRAM_BYTES - 1) // ENTRY_BYTES
PRESSURE_STEPS_PER_UNIT = 32.0  # steps per unit of pressure, so that a byte represents a pressure of up to 8
AGE_STEP_MS = 50.0
MAX_AGE_MS = 254 * AGE_STEP_MS  # greatest age in a report: an age of 255 steps means 255 steps or more
# Base of the logarithmic code, so that a byte represents 1 to 240,000 calls per second.
CALL_RATE_LOG_BASE = 1.05
MAX_BYTE = 255


@dataclass(frozen=True, slots=True)
class RouterPressure:
    """The load pressure at one router: the ratio of offered to served calls."""

    router_index: int
    pressure: float
    calls_per_second: float
    age_ms: float  # time since the measurement


def encode(reports: list[RouterPressure]) -> bytes:
    """Return the bytes of a datagram.

    Raises:
        ValueError: More than ``MAX_ENTRIES`` reports, which do not fit in a datagram.
    """
    if len(reports) > MAX_ENTRIES:
        raise ValueError(f"too many records: {len(reports)}, maximum {MAX_ENTRIES}")
    return bytes((MessageType.LOAD_PRESSURE,)) + b"".join(
        _ENTRY_FORMAT.pack(
            report.router_index,
            min(MAX_BYTE, max(0, round(report.pressure * PRESSURE_STEPS_PER_UNIT))),
            min(MAX_BYTE, round(math.log(max(1.0, report.calls_per_second), CALL_RATE_LOG_BASE))),
            min(MAX_BYTE, math.ceil(max(0.0, report.age_ms) / AGE_STEP_MS)),
        )
        for report in reports
    )


def decode(data: bytes) -> tuple[RouterPressure, ...] | MalformedDatagram:
    """Return the reports in a datagram, or why the bytes are malformed; never raise on hostile bytes."""
    if (
        not 1 + ENTRY_BYTES <= len(data) <= MAX_DATAGRAM_BYTES
        or (len(data) - 1) % ENTRY_BYTES
        or data[0] != MessageType.LOAD_PRESSURE
    ):
        return MalformedDatagram(f"invalid length or message type in a datagram of {len(data)} bytes")
    return tuple(
        RouterPressure(
            router_index,
            pressure_steps / PRESSURE_STEPS_PER_UNIT,
            CALL_RATE_LOG_BASE**calls_log,
            age_steps * AGE_STEP_MS,
        )
        for router_index, pressure_steps, calls_log, age_steps in _ENTRY_FORMAT.iter_unpack(data[1:])
    )
