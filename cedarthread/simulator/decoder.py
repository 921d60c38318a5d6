"""Decodes the simulator's request frames into the clock and the events of each router instance.

A frame contains one batch. All numbers are little-endian. A batch starts with its length in bytes, the clock
in ms and the number of records; each record starts with its code. ``Decoder`` writes the only state: the
endpoint tables, and whether an instance has tenants.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING, Any

from cedarthread.errors import CedarthreadError
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import (
    AttemptEnded,
    ClientDisconnected,
    Event,
    HealthCheckEnded,
    PeerMessageReceived,
    PreloadEnded,
    RequestArrived,
    StreamStarted,
    TimerFired,
)
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.number_checks import MAX_NUMBER, positive_or_none
from cedarthread.settings_parser import SettingsError, parse_settings

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from cedarthread.model.settings import RouterSettings


class SimulatorProtocolError(CedarthreadError):
    """A malformed frame; the message contains the record and the byte of the fault."""


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """The start of a router instance without any state from before."""

    seed: int
    settings: RouterSettings


@dataclass(frozen=True, slots=True)
class InstanceKilled:
    """The end of a router instance, which loses its state."""


HostEvent = Event | InstanceStarted | InstanceKilled


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


_U8 = struct.Struct("<B")
_U32 = struct.Struct("<I")
_BATCH_HEADER = struct.Struct("<IdI")
_ENDPOINT_ENTRY = struct.Struct("<IBHHBfd")
_INSTANCE_STARTED = struct.Struct("<QI")
_ENDPOINT_UPDATE = struct.Struct("<BQI")
_REQUEST_ARRIVED = struct.Struct("<IfdQHffdHH")
_STREAM_STARTED = struct.Struct("<IHId")
_ATTEMPT_ENDED = struct.Struct("<IIdIHHB")
_HEALTH_CHECK_ENDED = struct.Struct("<dIH")
_PEER_MESSAGE = struct.Struct("<IH")
_PRELOAD_ENDED = struct.Struct("<BIQHd")

# Flags of an arrived request.
_HAS_WORK = 1
_IS_CLIENT_RETRY = 2
_IS_WRITE = 4
# The remark of an ended attempt: the low three bits are the start kind of the instance, and the next five bits
# are the concurrency that the worker reports.
_START_KIND_MASK = 7
_CONCURRENCY_SHIFT = 3
_CONCURRENCY_MASK = 31

_OUTCOME_BY_VERDICT = {
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
_START_KINDS = (StartKind.UNKNOWN, StartKind.WARM, StartKind.COLD, StartKind.PENDING, StartKind.LOAD_FAILED)
_UPDATE_KINDS = {
    4: EndpointUpdateKind.DELTA,
    3: EndpointUpdateKind.SNAPSHOT,
    1: EndpointUpdateKind.CACHED,
    2: EndpointUpdateKind.FAILED,
}
_ENDPOINT_STATES = {0: EndpointState.REMOVED, 1: EndpointState.DRAINING, 2: EndpointState.READY}


def _check_time(time_ms: float) -> float:
    """Return a time or a duration in ms, unless it is NaN or its absolute value exceeds ``MAX_NUMBER``."""
    if not abs(time_ms) <= MAX_NUMBER:
        raise SimulatorProtocolError(f"{time_ms} ms is no time")
    return time_ms


def _lookup(table: dict[Any, Any], key: Any, kind: str) -> Any:
    if key not in table:
        raise SimulatorProtocolError(f"unknown {kind} {key!r}")
    return table[key]


def _decode_endpoint(fields: tuple[Any, ...]) -> Endpoint:
    worker_id, zone, kind, cell, state, weight, started_at_ms = fields
    return Endpoint(
        worker_id,
        zone,
        kind,
        cell,
        _lookup(_ENDPOINT_STATES, state, "status"),
        positive_or_none(weight),
        positive_or_none(started_at_ms),
    )


class _FrameReader:
    """The read position in one frame; a read beyond the end of the frame raises SimulatorProtocolError."""

    def __init__(self, data: bytes, offset: int) -> None:
        self.data = data
        self.offset = offset

    def unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        if self.offset + layout.size > len(self.data):
            raise SimulatorProtocolError(f"record cut short at byte {self.offset} of {len(self.data)}")
        fields = layout.unpack_from(self.data, self.offset)
        self.offset += layout.size
        return fields

    def take(self, count: int) -> bytes:
        if self.offset + count > len(self.data):
            raise SimulatorProtocolError(f"record cut short at byte {self.offset} of {len(self.data)}")
        self.offset += count
        return self.data[self.offset - count : self.offset]

    def read_load_report(self) -> tuple[float | None, ...]:
        (count,) = self.unpack(_U8)
        values = struct.unpack(f"<{count}f", self.take(4 * count))
        return tuple(value if math.isfinite(value) and value >= 0 else None for value in values)


class Decoder:
    """The decoder of one process; owns the numbered endpoint lists, which all its instances share."""

    def __init__(self) -> None:
        self.endpoint_tables: dict[int, tuple[Endpoint, ...]] = {}
        self.has_tenants: dict[int, bool] = {}  # by instance id
        self._decoders: dict[int, Callable[[_FrameReader, int], HostEvent]] = {
            RecordCode.INSTANCE_STARTED: self._instance_started,
            RecordCode.ENDPOINT_UPDATE: self._endpoint_update,
            RecordCode.REQUEST_ARRIVED: self._request_arrived,
            RecordCode.STREAM_STARTED: self._stream_started,
            RecordCode.ATTEMPT_ENDED: self._attempt_ended,
            RecordCode.CLIENT_DISCONNECTED: self._client_disconnected,
            RecordCode.TIMER_FIRED: self._timer_fired,
            RecordCode.HEALTH_CHECK_ENDED: self._health_check_ended,
            RecordCode.PEER_MESSAGE: self._peer_message,
            RecordCode.INSTANCE_KILLED: self._instance_killed,
            RecordCode.PRELOAD_ENDED: self._preload_ended,
        }

    def decode_batch(self, frame: bytes) -> tuple[float, Iterator[tuple[int, HostEvent]]]:
        """Return the clock of a batch in ms, and an iterator over its (instance id, event) pairs in order.

        Raises:
            SimulatorProtocolError: The frame is malformed. The iterator raises it too, at a malformed record.
        """
        if len(frame) < _BATCH_HEADER.size:
            raise SimulatorProtocolError(f"batch header cut short: {len(frame)} bytes")
        length, now_ms, count = _BATCH_HEADER.unpack_from(frame)
        if length != len(frame):
            raise SimulatorProtocolError(f"batch says {length} bytes and has {len(frame)}")
        _check_time(now_ms)
        return now_ms, self._decode_records(_FrameReader(frame, _BATCH_HEADER.size), count)

    def _decode_records(self, reader: _FrameReader, count: int) -> Iterator[tuple[int, HostEvent]]:
        instance_id: int | None = None
        for index in range(count):
            start = reader.offset
            (code,) = reader.unpack(_U8)
            if code == RecordCode.SELECT_INSTANCE:
                (instance_id,) = reader.unpack(_U32)
            elif code == RecordCode.ENDPOINT_TABLE:
                self._decode_endpoint_table(reader)
            elif instance_id is None:
                raise SimulatorProtocolError(f"event record {index} at byte {start} names no instance")
            else:
                try:
                    event = self._decode_event(reader, code, instance_id)
                except (SimulatorProtocolError, SettingsError) as error:
                    text = f"event record {index} (code {code}) at byte {start}: {error}"
                    raise SimulatorProtocolError(text) from None
                yield instance_id, event
        if reader.offset != len(reader.data):
            surplus = len(reader.data) - reader.offset
            raise SimulatorProtocolError(f"{surplus} bytes after the last record at byte {reader.offset}")

    def _decode_endpoint_table(self, reader: _FrameReader) -> None:
        (table_number,) = reader.unpack(_U32)
        (count,) = reader.unpack(_U32)
        entries = reader.take(count * _ENDPOINT_ENTRY.size)
        self.endpoint_tables[table_number] = tuple(
            map(_decode_endpoint, _ENDPOINT_ENTRY.iter_unpack(entries))
        )

    def _decode_event(self, reader: _FrameReader, code: int, instance_id: int) -> HostEvent:
        decode = self._decoders.get(code)
        if decode is None:
            raise SimulatorProtocolError(f"unknown event code {code}")
        return decode(reader, instance_id)

    def _instance_started(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        seed, count = reader.unpack(_INSTANCE_STARTED)
        settings = parse_settings(reader.take(count))
        self.has_tenants[instance_id] = bool(settings.tenants)
        return InstanceStarted(seed, settings)

    def _endpoint_update(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        kind_code, version, table_number = reader.unpack(_ENDPOINT_UPDATE)
        kind = _lookup(_UPDATE_KINDS, kind_code, "list kind")
        if kind is EndpointUpdateKind.FAILED:
            return EndpointUpdate(kind, version, ())
        return EndpointUpdate(kind, version, _lookup(self.endpoint_tables, table_number, "table"))

    def _request_arrived(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        (
            request_id,
            concurrency,
            deadline_ms,
            function_id,
            class_index,
            memory_mb,
            load_time_ms,
            work_ms,
            tenant_index,
            flags,
        ) = reader.unpack(_REQUEST_ARRIVED)
        return RequestArrived(
            request_id,
            function_id,
            class_index,
            _check_time(deadline_ms),
            tenant_index if self.has_tenants.get(instance_id) else None,
            positive_or_none(concurrency),
            positive_or_none(memory_mb),
            positive_or_none(load_time_ms),
            positive_or_none(work_ms) if flags & _HAS_WORK else None,
            bool(flags & _IS_CLIENT_RETRY),
            bool(flags & _IS_WRITE),
        )

    def _stream_started(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        request_id, attempt_index, worker_id, latency_ms = reader.unpack(_STREAM_STARTED)
        return StreamStarted(request_id, attempt_index, worker_id, _check_time(latency_ms))

    def _attempt_ended(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        fields = reader.unpack(_ATTEMPT_ENDED)
        request_id, worker_id, latency_ms, remark, attempt_index, verdict, is_final = fields
        outcome = _lookup(_OUTCOME_BY_VERDICT, verdict, "verdict")
        start_code = remark & _START_KIND_MASK
        start_kind = _START_KINDS[start_code] if start_code < len(_START_KINDS) else StartKind.UNKNOWN
        return AttemptEnded(
            request_id,
            attempt_index,
            worker_id,
            outcome,
            _check_time(latency_ms),
            bool(is_final),
            start_kind,
            (remark >> _CONCURRENCY_SHIFT) & _CONCURRENCY_MASK,
            reader.read_load_report(),
        )

    def _client_disconnected(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        return ClientDisconnected(*reader.unpack(_U32))

    def _timer_fired(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        return TimerFired(*reader.unpack(_U32))

    def _health_check_ended(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        latency_ms, worker_id, verdict = reader.unpack(_HEALTH_CHECK_ENDED)
        outcome = _lookup(_OUTCOME_BY_VERDICT, verdict, "verdict")
        return HealthCheckEnded(worker_id, outcome, _check_time(latency_ms), reader.read_load_report())

    def _peer_message(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        sender_index, count = reader.unpack(_PEER_MESSAGE)
        return PeerMessageReceived(sender_index, reader.take(count))

    def _instance_killed(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        return InstanceKilled()

    def _preload_ended(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        instances, worker_id, function_id, verdict, latency_ms = reader.unpack(_PRELOAD_ENDED)
        outcome = _lookup(_OUTCOME_BY_VERDICT, verdict, "verdict")
        return PreloadEnded(worker_id, function_id, outcome, instances, _check_time(latency_ms))
