"""The form of pressure's datagrams, 256 bytes at most.

    form u8; then entries: router u16, pressure u8 (in 1/32), calls u8 (logarithmic), age u8 (in 50 ms)

All little-endian. The first entry is the sender's own. Ages are rounded up at each telling, so that a rumour
that goes round grows old, whatever way it takes.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass

from cedarthread.components.interface import MessageType
from cedarthread.gossip.codec import MAX_DATAGRAM_BYTES, MalformedDatagram

_ENTRY_FORMAT = struct.Struct("<HBBB")
ENTRY_BYTES = _ENTRY_FORMAT.size
MAX_ENTRIES = (MAX_DATAGRAM_BYTES - 1) // ENTRY_BYTES
PRESSURE_STEPS_PER_UNIT, AGE_STEP_MS = (
    32.0,
    50.0,
)  # units of pressure to one; ms that a unit of age stands for
MAX_AGE_MS = 254 * AGE_STEP_MS
CALL_RATE_LOG_BASE = 1.05  # of the logarithm of calls: a byte reaches from 1 to 240,000 calls a second


@dataclass(frozen=True, slots=True)
class RouterPressure:
    """How hard pressed one router was: offered over served, by its calls a second, and how long ago (ms)."""

    router_index: int
    pressure: float
    calls_per_second: float
    age_ms: float


def encode(reports: list[RouterPressure]) -> bytes:
    """The bytes of a datagram; ValueError for one that would be longer than may be sent."""
    if len(reports) > MAX_ENTRIES:
        raise ValueError(f"{len(reports)} entries, {MAX_ENTRIES} at most")
    return bytes((MessageType.LOAD_PRESSURE,)) + b"".join(
        _ENTRY_FORMAT.pack(
            one.router_index,
            min(255, max(0, round(one.pressure * PRESSURE_STEPS_PER_UNIT))),
            min(255, round(math.log(max(1.0, one.calls_per_second), CALL_RATE_LOG_BASE))),
            min(255, math.ceil(max(0.0, one.age_ms) / AGE_STEP_MS)),
        )
        for one in reports
    )


def decode(data: bytes) -> tuple[RouterPressure, ...] | MalformedDatagram:
    """What a datagram says. Whatever it holds, no error is raised."""
    if (
        not 1 + ENTRY_BYTES <= len(data) <= MAX_DATAGRAM_BYTES
        or (len(data) - 1) % ENTRY_BYTES
        or data[0] != MessageType.LOAD_PRESSURE
    ):
        return MalformedDatagram(f"{len(data)} bytes")
    return tuple(
        RouterPressure(
            router, pressure / PRESSURE_STEPS_PER_UNIT, CALL_RATE_LOG_BASE**calls, age * AGE_STEP_MS
        )
        for router, pressure, calls, age in _ENTRY_FORMAT.iter_unpack(data[1:])
    )
