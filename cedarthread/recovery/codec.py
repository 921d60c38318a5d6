"""The wire format of the datagrams of the peer query: at most 256 bytes, all fields little-endian.

    query:    message type u8, kind u8, nonce u32, segment u8, segment count u8
    response: message type u8, kind u8, nonce u32, part u8, part count u8,
              warm fraction u8 (in 1/254; 255: unknown), uptime u16 (in 0.1 s),
              baseline loads u16, baseline connections u16 (in 0.01 per second; 65535: unknown);
              then, for each incarnation of a worker: worker u32, start tag u32 (low bits of its start time),
              observation count u8;
              then, for each of its observations: function hash u32, age u16 (in 50 ms, rounded up),
              flags u8 (bit 0: was warm; from bit 1 on: hops)
    busy:     message type u8, kind u8, nonce u32, retry after u16 (ms), suggested peer u16 (65535: none)

The segment of a function is its hash modulo the segment count.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.components.datagram_fields import (
    MAX_DATAGRAM_BYTES,
    MalformedDatagram,
    join_datagram,
    read_record_groups,
)
from cedarthread.components.messages import MessageType
from cedarthread.recovery.warm_state import MAX_HOPS, AgedObservation

if TYPE_CHECKING:
    from collections.abc import Sequence

HEADER_BYTES = 2  # size of the message type and the kind
AGE_UNIT_MS = 50.0
"""Ages are rounded up to multiples of this unit, which also covers clocks of slightly different rates."""
MAX_AGE_UNITS = 65535
"""Encodes this age and all greater ones; the decoder drops such observations."""
UPTIME_UNIT_MS = 100.0
MAX_UPTIME_UNITS = 65535
RATE_UNIT_PER_SECOND = 0.01
UNKNOWN_RATE = 65535
FRACTION_UNITS = 254
UNKNOWN_FRACTION = 255
MAX_ENCODED_RETRY_AFTER_MS = 65535
NO_PEER = 0xFFFF
MAX_PARTS = 6
"""Maximum number of datagrams of one response."""

_QUERY = struct.Struct("<BBIBB")
_RESPONSE = struct.Struct("<BBIBBBHHH")
_WORKER = struct.Struct("<IIB")
_OBSERVATION = struct.Struct("<IHB")
_BUSY = struct.Struct("<BBIHH")


class DatagramKind(IntEnum):
    """The kind of a datagram: its second byte."""

    QUERY = 1
    RESPONSE = 2
    BUSY = 3


class BaselineRates(NamedTuple):
    """The baseline rates of one router that are sent to peers."""

    loads_per_second: float
    connections_per_second: float


@dataclass(frozen=True, slots=True)
class Query:
    """A query for the warm instances of one segment."""

    nonce: int
    segment: int
    segment_count: int


@dataclass(frozen=True, slots=True)
class Response:
    """A part of a response; each part is one datagram."""

    nonce: int  # nonce of the query
    part: int
    part_count: int
    # Warm fraction of the sender's calls; None while the sender is not in service.
    warm_fraction: float | None
    uptime_ms: float  # uptime of the sender
    observations: tuple[AgedObservation, ...] = ()
    baseline_rates: BaselineRates | None = None  # baseline rates of the sender


@dataclass(frozen=True, slots=True)
class Busy:
    """A rejection for lack of capacity, with a Retry-After and optionally another peer to query instead."""

    nonce: int
    retry_after_ms: float
    suggested_peer: int | None = None


Message = Query | Response | Busy


def split_into_datagrams(observations: Sequence[AgedObservation]) -> list[list[AgedObservation]]:
    """Return the observations sorted by worker and divided into one list per datagram.

    Observations that do not fit into ``MAX_PARTS`` datagrams are left out.
    """
    parts: list[list[AgedObservation]] = [[]]
    free_bytes = MAX_DATAGRAM_BYTES - _RESPONSE.size
    last_worker: tuple[int, int] | None = None
    for aged in sorted(observations, key=lambda aged: (aged.worker_id, aged.start_tag)):
        worker = (aged.worker_id, aged.start_tag)
        size = _OBSERVATION.size + (_WORKER.size if worker != last_worker else 0)
        if size > free_bytes:
            if len(parts) == MAX_PARTS:
                break
            parts.append([])
            free_bytes = MAX_DATAGRAM_BYTES - _RESPONSE.size
            size = _OBSERVATION.size + _WORKER.size
        parts[-1].append(aged)
        free_bytes -= size
        last_worker = worker
    return parts


def encode(message: Message) -> bytes:
    """Return the bytes of a datagram.

    Raises:
        ValueError: The datagram would be longer than `MAX_DATAGRAM_BYTES`.
    """
    if isinstance(message, Query):
        return _QUERY.pack(
            MessageType.RECOVERY, DatagramKind.QUERY, message.nonce, message.segment, message.segment_count
        )
    if isinstance(message, Busy):
        return _BUSY.pack(
            MessageType.RECOVERY,
            DatagramKind.BUSY,
            message.nonce,
            int(min(message.retry_after_ms, MAX_ENCODED_RETRY_AFTER_MS)),
            NO_PEER if message.suggested_peer is None else message.suggested_peer,
        )
    return _encode_response(message)


def _encode_response(response: Response) -> bytes:
    warm_fraction = UNKNOWN_FRACTION
    if response.warm_fraction is not None:
        warm_fraction = int(FRACTION_UNITS * min(max(response.warm_fraction, 0.0), 1.0))
    rates = [UNKNOWN_RATE, UNKNOWN_RATE]
    if response.baseline_rates is not None:
        rates = [
            int(min(max(rate, 0.0) / RATE_UNIT_PER_SECOND, UNKNOWN_RATE - 1))
            for rate in response.baseline_rates
        ]
    header = _RESPONSE.pack(
        MessageType.RECOVERY,
        DatagramKind.RESPONSE,
        response.nonce,
        response.part,
        response.part_count,
        warm_fraction,
        int(min(response.uptime_ms / UPTIME_UNIT_MS, MAX_UPTIME_UNITS)),
        *rates,
    )
    return join_datagram([header, *_encode_observations(response.observations)])


def _encode_observations(observations: Sequence[AgedObservation]) -> list[bytes]:
    by_worker: dict[tuple[int, int], list[AgedObservation]] = {}
    for aged in observations:
        by_worker.setdefault((aged.worker_id, aged.start_tag), []).append(aged)
    encoded = []
    for (worker_id, start_tag), worker_observations in by_worker.items():
        encoded.append(_WORKER.pack(worker_id, start_tag, len(worker_observations)))
        for aged in worker_observations:
            age_units = min(math.ceil(aged.age_ms / AGE_UNIT_MS), MAX_AGE_UNITS)
            flags = min(aged.hops, MAX_HOPS) << 1 | aged.is_warm
            encoded.append(_OBSERVATION.pack(aged.function_hash, age_units, flags))
    return encoded


def decode(data: bytes) -> Message | MalformedDatagram:
    """Return the decoded message of a datagram; malformed input is returned as such and never raises."""
    if not HEADER_BYTES <= len(data) <= MAX_DATAGRAM_BYTES or data[0] != MessageType.RECOVERY:
        return MalformedDatagram(f"not a recovery datagram of valid length: {len(data)} bytes")
    kind = data[1]
    if kind == DatagramKind.QUERY and len(data) == _QUERY.size:
        _, _, nonce, segment, segment_count = _QUERY.unpack(data)
        if segment >= segment_count:
            return MalformedDatagram(f"invalid segment number: {segment} of {segment_count}")
        return Query(nonce, segment, segment_count)
    if kind == DatagramKind.BUSY and len(data) == _BUSY.size:
        _, _, nonce, retry_after_ms, suggested_peer = _BUSY.unpack(data)
        return Busy(nonce, float(retry_after_ms), None if suggested_peer == NO_PEER else suggested_peer)
    if kind == DatagramKind.RESPONSE and len(data) >= _RESPONSE.size:
        return _decode_response(data)
    return MalformedDatagram(f"unknown kind or invalid length: kind {kind}, {len(data)} bytes")


def _decode_response(data: bytes) -> Response | MalformedDatagram:
    _, _, nonce, part, part_count, fraction, uptime, loads, connections = _RESPONSE.unpack_from(data)
    if not part < part_count <= MAX_PARTS:
        return MalformedDatagram(f"invalid part number: {part} of {part_count}")
    observations = _decode_observations(data)
    if isinstance(observations, MalformedDatagram):
        return observations
    baseline_rates = None
    if UNKNOWN_RATE not in (loads, connections):
        baseline_rates = BaselineRates(loads * RATE_UNIT_PER_SECOND, connections * RATE_UNIT_PER_SECOND)
    return Response(
        nonce,
        part,
        part_count,
        warm_fraction=None if fraction == UNKNOWN_FRACTION else fraction / FRACTION_UNITS,
        uptime_ms=uptime * UPTIME_UNIT_MS,
        observations=observations,
        baseline_rates=baseline_rates,
    )


def _decode_observations(data: bytes) -> tuple[AgedObservation, ...] | MalformedDatagram:
    """Decode the groups of observations that follow the header of a response."""
    groups = read_record_groups(data, _RESPONSE.size, _WORKER, _OBSERVATION)
    if isinstance(groups, MalformedDatagram):
        return groups
    observations: list[AgedObservation] = []
    for (worker_id, start_tag, _), records in groups:
        for function_hash, age_units, flags in records:
            if age_units < MAX_AGE_UNITS:
                hops = min(flags >> 1, MAX_HOPS)
                age_ms = age_units * AGE_UNIT_MS
                observations.append(
                    AgedObservation(worker_id, start_tag, function_hash, age_ms, bool(flags & 1), hops)
                )
    return tuple(observations)
