"""The form of a datagram between routers: how things stand at its sender, in 256 bytes at most.

    form u8, life u32, number u32, flags u8; then, for each worker: worker u32, calls out u8, copies u8;
    then, for each of these copies: function u32 (folded), calls out u8, age of the last find u8 (in 0.1 s)

All little-endian. A life is a random number drawn when a router starts; numbers rise within it.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from cedarthread.components.interface import MessageType

MAX_DATAGRAM_BYTES = 256  # bytes, by the platform's protocol: a longer one voids a run
MESSAGE_TYPE = MessageType.GOSSIP
FLAG_REQUEST_FULL_STATE = 1  # flag: the sender knows nothing yet and asks to be told
AGE_UNIT_MS = 100.0  # ms that a unit of an age stands for
AGE_UNKNOWN = 255  # the age of a copy that the sender has not found

_HEADER = struct.Struct("<BIIB")
_WORKER_RECORD = struct.Struct("<IBB")
_INSTANCE_RECORD = struct.Struct("<IBB")
HEADER_BYTES, WORKER_BYTES, INSTANCE_BYTES = _HEADER.size, _WORKER_RECORD.size, _INSTANCE_RECORD.size
MAX_AGE_MS = (AGE_UNKNOWN - 1) * AGE_UNIT_MS


@dataclass(frozen=True, slots=True)
class InstanceUpdate:
    """What stands at a worker of one function."""

    function_hash: int  # folded to 32 bits
    in_flight: int  # the sender's calls of it that are out there
    warm_age_ms: float | None  # ms since the sender found a copy there; None: not lately


@dataclass(frozen=True, slots=True)
class WorkerUpdate:
    """What the sender has at one worker."""

    worker_id: int
    in_flight: int  # all of the sender's calls that are out there
    instances: tuple[InstanceUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class LoadUpdate:
    """One datagram."""

    incarnation: int
    sequence_number: int
    requests_full_state: bool
    workers: tuple[WorkerUpdate, ...]


@dataclass(frozen=True, slots=True)
class MalformedDatagram:
    """A datagram that is not of this form, and why."""

    reason: str


def fold_function_id(function_id: int) -> int:
    """A function's number in 32 bits: two that fold alike cost a needless load, no more."""
    return (function_id ^ (function_id >> 32)) & 0xFFFFFFFF


def encoded_size(workers: int, instances: int) -> int:
    """The bytes of a datagram with so many workers and copies in all."""
    return HEADER_BYTES + workers * WORKER_BYTES + instances * INSTANCE_BYTES


def _encode_age(age_ms: float | None) -> int:
    return AGE_UNKNOWN if age_ms is None or age_ms > MAX_AGE_MS else int(max(0.0, age_ms) / AGE_UNIT_MS)


def encode(update: LoadUpdate) -> bytes:
    """The bytes of a datagram; ValueError for one that would be longer than may be sent."""
    parts = [
        _HEADER.pack(
            MESSAGE_TYPE,
            update.incarnation,
            update.sequence_number,
            FLAG_REQUEST_FULL_STATE if update.requests_full_state else 0,
        )
    ]
    for told in update.workers:
        parts.append(_WORKER_RECORD.pack(told.worker_id, min(told.in_flight, 255), len(told.instances)))
        parts += [
            _INSTANCE_RECORD.pack(copy.function_hash, min(copy.in_flight, 255), _encode_age(copy.warm_age_ms))
            for copy in told.instances
        ]
    data = b"".join(parts)
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"a datagram of {len(data)} bytes may not be sent")
    return data


def decode(data: bytes) -> LoadUpdate | MalformedDatagram:
    """What a datagram says. Whatever it holds, no error is raised."""
    if not HEADER_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
        return MalformedDatagram(f"{len(data)} bytes")
    form, life, number, flags = _HEADER.unpack_from(data)
    if form != MESSAGE_TYPE:
        return MalformedDatagram(f"form {form}")
    at, workers = HEADER_BYTES, []
    while at < len(data):
        if at + WORKER_BYTES > len(data):
            return MalformedDatagram(f"cut short at byte {at} of {len(data)}")
        worker, out, count = _WORKER_RECORD.unpack_from(data, at)
        at += WORKER_BYTES
        end = at + count * INSTANCE_BYTES
        if end > len(data):
            return MalformedDatagram(f"cut short at byte {at} of {len(data)}")
        copies = tuple(
            InstanceUpdate(function, held, None if age == AGE_UNKNOWN else age * AGE_UNIT_MS)
            for function, held, age in _INSTANCE_RECORD.iter_unpack(data[at:end])
        )
        workers.append(WorkerUpdate(worker, out, copies))
        at = end
    return LoadUpdate(life, number, bool(flags & FLAG_REQUEST_FULL_STATE), tuple(workers))
