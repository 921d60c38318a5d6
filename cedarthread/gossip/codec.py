"""Wire format of load gossip: one router's in-flight calls and warm instances, at most 256 bytes a datagram.

All integers are little-endian and unsigned:

    header     message type u8, incarnation u32, sequence number u32, flags u8
    worker     worker id u32, in-flight calls u8, number of instances u8            repeated to the end
    instance   function hash u32, in-flight calls u8, age of the last warm start u8  follow their worker

An age is in units of 0.1 s. The incarnation is a random number that a router draws at each start; sequence
numbers increase within an incarnation. Flag 1 requests the receiver's full state.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from cedarthread.components.datagram_fields import (
    MAX_DATAGRAM_BYTES,
    MalformedDatagram,
    join_datagram,
    read_record_groups,
)
from cedarthread.components.messages import MessageType

MESSAGE_TYPE = MessageType.GOSSIP
FLAG_REQUEST_FULL_STATE = 1  # set by a router that has just started and has no reports from its peers
AGE_UNIT_MS = 100.0
AGE_UNKNOWN = 255  # age sent if the sender found no warm instance, or found one more than MAX_AGE_MS ago
MAX_AGE_MS = (AGE_UNKNOWN - 1) * AGE_UNIT_MS
MAX_COUNT = 255  # largest encodable number of in-flight calls; larger numbers are clamped

_HEADER = struct.Struct("<BIIB")
_WORKER_RECORD = struct.Struct("<IBB")
_INSTANCE_RECORD = struct.Struct("<IBB")
HEADER_BYTES = _HEADER.size
WORKER_BYTES = _WORKER_RECORD.size
INSTANCE_BYTES = _INSTANCE_RECORD.size


@dataclass(frozen=True, slots=True)
class InstanceUpdate:
    """The sender's view of one function at one worker."""

    function_hash: int  # function id folded by ``fold_function_id``
    in_flight: int  # calls of the function that the sender has in flight at the worker
    # Time since the sender last found a warm instance; None: unknown, or over ``MAX_AGE_MS``.
    warm_age_ms: float | None


@dataclass(frozen=True, slots=True)
class WorkerUpdate:
    """The sender's view of one worker."""

    worker_id: int
    in_flight: int  # all calls that the sender has in flight there, including functions not in ``instances``
    instances: tuple[InstanceUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class LoadUpdate:
    """The content of one datagram."""

    incarnation: int
    sequence_number: int
    requests_full_state: bool
    workers: tuple[WorkerUpdate, ...]


def fold_function_id(function_id: int) -> int:
    """Fold a 64-bit function id into the 32 bits on the wire; a collision causes at most an unneeded load."""
    return (function_id ^ (function_id >> 32)) & 0xFFFFFFFF


def encoded_size(workers: int, instances: int) -> int:
    """Return the size in bytes of a datagram with this many worker records and instance records."""
    return HEADER_BYTES + workers * WORKER_BYTES + instances * INSTANCE_BYTES


def _encode_age(age_ms: float | None) -> int:
    return AGE_UNKNOWN if age_ms is None or age_ms > MAX_AGE_MS else int(max(0.0, age_ms) / AGE_UNIT_MS)


def _decode_age(age: int) -> float | None:
    return None if age == AGE_UNKNOWN else age * AGE_UNIT_MS


def encode(update: LoadUpdate) -> bytes:
    """Encode a datagram.

    Raises:
        ValueError: The datagram would exceed ``MAX_DATAGRAM_BYTES``.
    """
    flags = FLAG_REQUEST_FULL_STATE if update.requests_full_state else 0
    fields = [_HEADER.pack(MESSAGE_TYPE, update.incarnation, update.sequence_number, flags)]
    for worker in update.workers:
        in_flight = min(worker.in_flight, MAX_COUNT)
        fields.append(_WORKER_RECORD.pack(worker.worker_id, in_flight, len(worker.instances)))
        fields += [
            _INSTANCE_RECORD.pack(
                instance.function_hash, min(instance.in_flight, MAX_COUNT), _encode_age(instance.warm_age_ms)
            )
            for instance in worker.instances
        ]
    return join_datagram(fields)


def decode(data: bytes) -> LoadUpdate | MalformedDatagram:
    """Decode a datagram; invalid input returns a ``MalformedDatagram`` and raises no exception."""
    if not HEADER_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
        return MalformedDatagram(f"invalid datagram length: {len(data)} bytes")
    message_type, incarnation, sequence_number, flags = _HEADER.unpack_from(data)
    if message_type != MESSAGE_TYPE:
        return MalformedDatagram(f"unexpected message type {message_type}")
    groups = read_record_groups(data, HEADER_BYTES, _WORKER_RECORD, _INSTANCE_RECORD)
    if isinstance(groups, MalformedDatagram):
        return groups
    workers = tuple(
        WorkerUpdate(
            worker_id,
            in_flight,
            tuple(InstanceUpdate(function, calls, _decode_age(age)) for function, calls, age in records),
        )
        for (worker_id, in_flight, _), records in groups
    )
    return LoadUpdate(incarnation, sequence_number, bool(flags & FLAG_REQUEST_FULL_STATE), workers)
