"""The form of the datagrams of a return, 256 bytes at most. All little-endian.

    ask:  form u8, kind u8, nonce u32, segment u8, of u8
    tell: form u8, kind u8, nonce u32, part u8, parts u8, warm u8, life u16 (in 0.1 s), loads u16,
          connections u16 (in 0.01 a second); then, for each start of a runner: worker u32, start u32,
          copies u8; then, for each of these: function u32 (folded), age u16 (in 50 ms, rounded up),
          flags u8 (1: it stood; from 2 on: hops)
    busy: form u8, kind u8, nonce u32, later u16 (ms), other u16

A segment of function space holds the functions whose folded number modulo ``of`` is the segment's.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from cedarthread.components.interface import MessageType
from cedarthread.gossip.codec import MAX_DATAGRAM_BYTES, MalformedDatagram
from cedarthread.recovery.warm_state import MAX_HOPS, AgedObservation

AGE_UNIT_MS = (
    50.0  # ms that a unit of an age stands for: rounded up, that covers clocks of different rate too
)
MAX_AGE_UNITS = 65535
UPTIME_UNIT_MS = 100.0
MAX_PARTS = 6  # datagrams that one answer takes at most
NO_PEER = 0xFFFF
UNKNOWN_FRACTION, UNKNOWN_RATE = 255, 65535
RATE_UNIT_PER_SECOND = 0.01

_QUERY = struct.Struct("<BBIBB")
_RESPONSE = struct.Struct("<BBIBBBHHH")
_WORKER = struct.Struct("<IIB")
_INSTANCE = struct.Struct("<IHB")
_BUSY = struct.Struct("<BBIHH")


class DatagramKind(IntEnum):
    """What a datagram is."""

    QUERY = 1
    RESPONSE = 2
    BUSY = 3


@dataclass(frozen=True, slots=True)
class Query:
    """What stands warm in one segment?"""

    nonce: int
    segment: int
    segment_count: int


@dataclass(frozen=True, slots=True)
class Response:
    """One part of an answer."""

    nonce: int
    part: int
    part_count: int
    warm_fraction: float | None  # share of the sender's calls that find a copy, once it is in service
    uptime_ms: float  # ms that the sender has been there
    observations: tuple[AgedObservation, ...] = ()
    baseline_rates: tuple[float, float] | None = (
        None  # loads and connections a second that are usual for one router
    )


@dataclass(frozen=True, slots=True)
class Busy:
    """No answer now: come back later, or ask another that may know."""

    nonce: int
    retry_after_ms: float  # ms
    suggested_peer: int | None = None


Message = Query | Response | Busy


def split_into_datagrams(places: Sequence[AgedObservation]) -> list[list[AgedObservation]]:
    """Places in as many lists as datagrams are needed, runner by runner; ``PARTS`` at most."""
    lists: list[list[AgedObservation]] = [[]]
    room, last = MAX_DATAGRAM_BYTES - _RESPONSE.size, None
    for told in sorted(places, key=lambda one: (one.worker_id, one.start_tag)):
        runner = (told.worker_id, told.start_tag)
        need = _INSTANCE.size + (_WORKER.size if runner != last else 0)
        if need > room:
            if len(lists) == MAX_PARTS:
                break
            lists.append([])
            room, need = MAX_DATAGRAM_BYTES - _RESPONSE.size, _INSTANCE.size + _WORKER.size
        lists[-1].append(told)
        room, last = room - need, runner
    return lists


def encode(message: Message) -> bytes:
    """The bytes of a datagram; ValueError for one that would be longer than may be sent."""
    if isinstance(message, Query):
        return _QUERY.pack(
            MessageType.RECOVERY, DatagramKind.QUERY, message.nonce, message.segment, message.segment_count
        )
    if isinstance(message, Busy):
        other = NO_PEER if message.suggested_peer is None else message.suggested_peer
        return _BUSY.pack(
            MessageType.RECOVERY,
            DatagramKind.BUSY,
            message.nonce,
            int(min(message.retry_after_ms, 65535)),
            other,
        )
    warm = (
        UNKNOWN_FRACTION
        if message.warm_fraction is None
        else int(254 * min(max(message.warm_fraction, 0.0), 1.0))
    )
    life = int(min(message.uptime_ms / UPTIME_UNIT_MS, 65535))
    rates = [UNKNOWN_RATE, UNKNOWN_RATE]
    if message.baseline_rates is not None:
        rates = [
            int(min(max(rate, 0.0) / RATE_UNIT_PER_SECOND, UNKNOWN_RATE - 1))
            for rate in message.baseline_rates
        ]
    nonce, part, parts = message.nonce, message.part, message.part_count
    head = _RESPONSE.pack(MessageType.RECOVERY, DatagramKind.RESPONSE, nonce, part, parts, warm, life, *rates)
    data = head + b"".join(_encode_workers(message.observations))
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"a datagram of {len(data)} bytes may not be sent")
    return data


def _encode_workers(places: tuple[AgedObservation, ...]) -> list[bytes]:
    by: dict[tuple[int, int], list[AgedObservation]] = {}
    for told in places:
        by.setdefault((told.worker_id, told.start_tag), []).append(told)
    parts = []
    for (worker, start), copies in by.items():
        parts.append(_WORKER.pack(worker, start, len(copies)))
        for copy in copies:
            age = min(math.ceil(copy.age_ms / AGE_UNIT_MS), MAX_AGE_UNITS)
            flags = min(copy.hops, MAX_HOPS) << 1 | copy.is_warm
            parts.append(_INSTANCE.pack(copy.function_hash, age, flags))
    return parts


def decode(data: bytes) -> Message | MalformedDatagram:
    """What a datagram says. Whatever it holds, no error is raised."""
    if not 2 <= len(data) <= MAX_DATAGRAM_BYTES or data[0] != MessageType.RECOVERY:
        return MalformedDatagram(f"{len(data)} bytes")
    if data[1] == DatagramKind.QUERY and len(data) == _QUERY.size:
        _, _, nonce, segment, of = _QUERY.unpack(data)
        return Query(nonce, segment, of) if segment < of else MalformedDatagram(f"segment {segment} of {of}")
    if data[1] == DatagramKind.BUSY and len(data) == _BUSY.size:
        _, _, nonce, later, other = _BUSY.unpack(data)
        return Busy(nonce, float(later), None if other == NO_PEER else other)
    if data[1] == DatagramKind.RESPONSE and len(data) >= _RESPONSE.size:
        return _decode_response(data)
    return MalformedDatagram(f"kind {data[1]}, {len(data)} bytes")


def _decode_response(data: bytes) -> Response | MalformedDatagram:
    _, _, nonce, part, parts, warm, life, loads, connects = _RESPONSE.unpack_from(data)
    if not part < parts <= MAX_PARTS:
        return MalformedDatagram(f"part {part} of {parts}")
    at, places = _RESPONSE.size, list[AgedObservation]()
    while at < len(data):
        if at + _WORKER.size > len(data):
            return MalformedDatagram(f"cut short at byte {at} of {len(data)}")
        worker, start, count = _WORKER.unpack_from(data, at)
        at += _WORKER.size
        end = at + count * _INSTANCE.size
        if end > len(data):
            return MalformedDatagram(f"cut short at byte {at} of {len(data)}")
        for function, age, flags in _INSTANCE.iter_unpack(data[at:end]):
            if age < MAX_AGE_UNITS:  # the greatest stands for anything older
                hops = min(flags >> 1, MAX_HOPS)
                places.append(
                    AgedObservation(worker, start, function, age * AGE_UNIT_MS, bool(flags & 1), hops)
                )
        at = end
    share = None if warm == UNKNOWN_FRACTION else warm / 254
    rates = (
        None
        if UNKNOWN_RATE in (loads, connects)
        else (loads * RATE_UNIT_PER_SECOND, connects * RATE_UNIT_PER_SECOND)
    )
    return Response(nonce, part, parts, share, life * UPTIME_UNIT_MS, tuple(places), rates)
