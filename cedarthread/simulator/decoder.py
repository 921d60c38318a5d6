"""Decodes the simulator's request frames into the clock and the events of each router instance.

A frame contains one batch. All numbers are little-endian. A batch starts with its length in bytes, the clock
in ms and the number of records; each record starts with its code. ``Decoder`` holds the only state: the
endpoint tables, and whether an instance has tenants.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

from cedarthread.errors import CedarthreadError
from cedarthread.model.endpoints import Endpoint, EndpointUpdate, EndpointUpdateKind
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
from cedarthread.model.outcomes import StartKind
from cedarthread.number_checks import MAX_NUMBER, positive_or_none
from cedarthread.settings_parser import SettingsError, parse_settings
from cedarthread.simulator.event_layouts import (
    ATTEMPT_ENDED,
    BATCH_HEADER,
    CONCURRENCY_MASK,
    CONCURRENCY_SHIFT,
    ENDPOINT_ENTRY,
    ENDPOINT_STATES,
    ENDPOINT_UPDATE,
    HAS_WORK,
    HEALTH_CHECK_ENDED,
    INSTANCE_STARTED,
    IS_CLIENT_RETRY,
    IS_WRITE,
    OUTCOME_BY_STATUS_CODE,
    PEER_MESSAGE,
    PRELOAD_ENDED,
    REQUEST_ARRIVED,
    START_KIND_MASK,
    START_KINDS,
    STREAM_STARTED,
    U8,
    U32,
    UPDATE_KINDS,
    RecordCode,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from cedarthread.model.settings import RouterSettings


class SimulatorProtocolError(CedarthreadError):
    """A malformed frame; the message contains the record and the byte offset of the fault."""


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """The start of a router instance, which has no earlier state."""

    seed: int
    settings: RouterSettings


@dataclass(frozen=True, slots=True)
class InstanceKilled:
    """The end of a router instance, which loses its state."""


HostEvent = Event | InstanceStarted | InstanceKilled
# Instance id and event; a plain tuple, because one is created per event.
InstanceEvent = tuple[int, HostEvent]


class Batch(NamedTuple):
    """The content of one request frame."""

    now_ms: float
    events: Iterator[InstanceEvent]  # decodes the next record at each step


_Key = TypeVar("_Key")
_Value = TypeVar("_Value")


def _check_time(time_ms: float) -> float:
    """Return a time or a duration in ms; reject NaN and absolute values over ``MAX_NUMBER``."""
    if not abs(time_ms) <= MAX_NUMBER:
        raise SimulatorProtocolError(f"{time_ms} ms is not a valid time")
    return time_ms


def _lookup(table: dict[_Key, _Value], key: _Key, kind: str) -> _Value:
    """Return the value of a key; ``kind`` names the key in the error message, in the operators' terms."""
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
        _lookup(ENDPOINT_STATES, state, "status"),
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
            raise SimulatorProtocolError(f"record truncated at byte {self.offset} of {len(self.data)}")
        fields = layout.unpack_from(self.data, self.offset)
        self.offset += layout.size
        return fields

    def take(self, count: int) -> bytes:
        if self.offset + count > len(self.data):
            raise SimulatorProtocolError(f"record truncated at byte {self.offset} of {len(self.data)}")
        self.offset += count
        return self.data[self.offset - count : self.offset]

    def read_load_report(self) -> tuple[float | None, ...]:
        (count,) = self.unpack(U8)
        values = struct.unpack(f"<{count}f", self.take(4 * count))
        return tuple(value if math.isfinite(value) and value >= 0 else None for value in values)


class Decoder:
    """The decoder of one process; owns the numbered endpoint lists, which all its instances share."""

    def __init__(self) -> None:
        self.endpoint_tables: dict[int, tuple[Endpoint, ...]] = {}
        self.has_tenants: dict[int, bool] = {}  # whether each instance has tenants, by instance id
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

    def decode_batch(self, frame: bytes) -> Batch:
        """Return the batch that a frame contains, with its events in order.

        Raises:
            SimulatorProtocolError: The header is malformed. ``events`` raises it for a malformed record.
        """
        if len(frame) < BATCH_HEADER.size:
            raise SimulatorProtocolError(f"batch header truncated: {len(frame)} bytes")
        length, now_ms, count = BATCH_HEADER.unpack_from(frame)
        if length != len(frame):
            raise SimulatorProtocolError(f"batch declares a length of {length} bytes but has {len(frame)}")
        _check_time(now_ms)
        return Batch(now_ms, self._decode_records(_FrameReader(frame, BATCH_HEADER.size), count))

    def _decode_records(self, reader: _FrameReader, count: int) -> Iterator[InstanceEvent]:
        instance_id: int | None = None
        for index in range(count):
            start = reader.offset
            (code,) = reader.unpack(U8)
            if code == RecordCode.SELECT_INSTANCE:
                (instance_id,) = reader.unpack(U32)
            elif code == RecordCode.ENDPOINT_TABLE:
                self._decode_endpoint_table(reader)
            elif instance_id is None:
                raise SimulatorProtocolError(f"event record {index} at byte {start} has no selected instance")
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
        (table_number,) = reader.unpack(U32)
        (count,) = reader.unpack(U32)
        entries = reader.take(count * ENDPOINT_ENTRY.size)
        self.endpoint_tables[table_number] = tuple(map(_decode_endpoint, ENDPOINT_ENTRY.iter_unpack(entries)))

    def _decode_event(self, reader: _FrameReader, code: int, instance_id: int) -> HostEvent:
        decode = self._decoders.get(code)
        if decode is None:
            raise SimulatorProtocolError(f"unknown event code {code}")
        return decode(reader, instance_id)

    def _instance_started(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        seed, count = reader.unpack(INSTANCE_STARTED)
        settings = parse_settings(reader.take(count))
        self.has_tenants[instance_id] = bool(settings.tenants)
        return InstanceStarted(seed, settings)

    def _endpoint_update(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        kind_code, version, table_number = reader.unpack(ENDPOINT_UPDATE)
        kind = _lookup(UPDATE_KINDS, kind_code, "list kind")
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
        ) = reader.unpack(REQUEST_ARRIVED)
        return RequestArrived(
            request_id,
            function_id,
            class_index,
            _check_time(deadline_ms),
            tenant_index if self.has_tenants.get(instance_id) else None,
            positive_or_none(concurrency),
            positive_or_none(memory_mb),
            positive_or_none(load_time_ms),
            positive_or_none(work_ms) if flags & HAS_WORK else None,
            bool(flags & IS_CLIENT_RETRY),
            bool(flags & IS_WRITE),
        )

    def _stream_started(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        request_id, attempt_index, worker_id, latency_ms = reader.unpack(STREAM_STARTED)
        return StreamStarted(request_id, attempt_index, worker_id, _check_time(latency_ms))

    def _attempt_ended(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        fields = reader.unpack(ATTEMPT_ENDED)
        request_id, worker_id, latency_ms, instance_info, attempt_index, status_code, is_final = fields
        outcome = _lookup(OUTCOME_BY_STATUS_CODE, status_code, "verdict")
        start_code = instance_info & START_KIND_MASK
        start_kind = START_KINDS[start_code] if start_code < len(START_KINDS) else StartKind.UNKNOWN
        return AttemptEnded(
            request_id,
            attempt_index,
            worker_id,
            outcome,
            _check_time(latency_ms),
            bool(is_final),
            start_kind,
            (instance_info >> CONCURRENCY_SHIFT) & CONCURRENCY_MASK,
            reader.read_load_report(),
        )

    def _client_disconnected(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        return ClientDisconnected(*reader.unpack(U32))

    def _timer_fired(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        return TimerFired(*reader.unpack(U32))

    def _health_check_ended(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        latency_ms, worker_id, status_code = reader.unpack(HEALTH_CHECK_ENDED)
        outcome = _lookup(OUTCOME_BY_STATUS_CODE, status_code, "verdict")
        return HealthCheckEnded(worker_id, outcome, _check_time(latency_ms), reader.read_load_report())

    def _peer_message(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        sender_index, count = reader.unpack(PEER_MESSAGE)
        return PeerMessageReceived(sender_index, reader.take(count))

    def _instance_killed(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        return InstanceKilled()

    def _preload_ended(self, reader: _FrameReader, instance_id: int) -> HostEvent:
        instances, worker_id, function_id, status_code, latency_ms = reader.unpack(PRELOAD_ENDED)
        outcome = _lookup(OUTCOME_BY_STATUS_CODE, status_code, "verdict")
        return PreloadEnded(worker_id, function_id, outcome, instances, _check_time(latency_ms))
