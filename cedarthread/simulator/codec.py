"""The codec of the bench's wire: frames to events and actions to frames. It decides nothing."""

from __future__ import annotations

import json
import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

from cedarthread.model.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    PreloadFunction,
    RejectRequest,
    SendToPeer,
    SetTimer,
    StartAttempt,
    SubscribeEndpoints,
    UnloadFunction,
)
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
from cedarthread.model.settings import (
    DeduplicationScope,
    DiscoveryMode,
    Idempotency,
    Limits,
    LoadReportSource,
    NotLoadedBehavior,
    Prices,
    RequestClass,
    RouterSettings,
    RuleParameters,
    Tenant,
    WeightMeaning,
)

T = TypeVar("T")


class SimulatorProtocolError(Exception):
    """A frame that is not what the wire page describes."""


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """An instance starts, with nothing but its seed and settings."""

    seed: int
    settings: RouterSettings


@dataclass(frozen=True, slots=True)
class InstanceKilled:
    """An instance was killed."""


HostEvent = Event | InstanceStarted | InstanceKilled

_BATCH_HEADER = struct.Struct("<IdI")
_ENDPOINT_ENTRY = struct.Struct("<IBHHBfd")
_U32 = struct.Struct("<I")
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
_IDEMPOTENCY_BY_EFFECT = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.WITH_KEY,
    "fragile": Idempotency.NOT_IDEMPOTENT,
}


def positive_or_none(value: Any) -> float | None:
    """A positive finite number, or None where there is none."""
    if isinstance(value, (int, float)) and math.isfinite(value) and value > 0:
        return float(value)
    return None


def bounded_number(value: Any, minimum: float = 0.0) -> float:
    """A number from ``least`` to 10^15: a larger one, an infinite one or none is a slip, ValueError."""
    number = float(value)
    if not minimum <= number <= 1e15:
        raise ValueError(f"{number} is not from {minimum:g} to 1e+15")
    return number


def _attempt_limit(value: Any) -> int:
    """A number of attempts: above 0, a part of one counting as one."""
    number = bounded_number(value)
    if not number > 0:
        raise ValueError(f"{number:g} is no number above 0")
    return max(1, int(number))


def _check_time(ms: float) -> float:
    """A time or a span. Past 10^15 ms adding to a clock may leave it as it is: timers never end."""
    if not abs(ms) <= 1e15:
        raise SimulatorProtocolError(f"{ms} ms is no time")
    return ms


def _window_ms(value: Any) -> float:
    """A span of ms that is counted in; 0 for none. Under 1 ms is a slip: nothing would be in it."""
    return bounded_number(value, 1.0) if value else 0.0


def _lookup(table: dict[Any, Any], key: Any, what: str) -> Any:
    if key not in table:
        raise SimulatorProtocolError(f"unknown {what} {key!r}")
    return table[key]


class _FrameReader:
    """Reads packed fields from one frame and names the place where it breaks."""

    def __init__(self, data: bytes) -> None:
        self.data, self.offset = data, 0

    def unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        if self.offset + layout.size > len(self.data):
            raise SimulatorProtocolError(f"record cut short at byte {self.offset} of {len(self.data)}")
        got = layout.unpack_from(self.data, self.offset)
        self.offset += layout.size
        return got

    def bytes(self, count: int) -> bytes:
        if self.offset + count > len(self.data):
            raise SimulatorProtocolError(f"record cut short at byte {self.offset} of {len(self.data)}")
        self.offset += count
        return self.data[self.offset - count : self.offset]

    def read_load_report(self) -> tuple[float | None, ...]:
        (count,) = self.unpack(_U8)
        raw = self.bytes(4 * count)
        return tuple(v if math.isfinite(v) and v >= 0 else None for v in struct.unpack(f"<{count}f", raw))


_U8 = struct.Struct("<B")
_ENDPOINT_UPDATE = struct.Struct("<BQI")
_REQUEST_ARRIVED = struct.Struct("<IfdQHffdHH")
_STREAM_STARTED = struct.Struct("<IHId")
_ATTEMPT_ENDED = struct.Struct("<IIdIHHB")
_HEALTH_CHECK_ENDED = struct.Struct("<dIH")
_PEER_MESSAGE = struct.Struct("<IH")
_PRELOAD_ENDED = struct.Struct("<BIQHd")
_INSTANCE_STARTED = struct.Struct("<QI")


class Decoder:
    """Decodes batches; holds the numbered worker lists, which belong to the whole process."""

    def __init__(self) -> None:
        self.endpoint_tables: dict[int, tuple[Endpoint, ...]] = {}
        self.has_tenants: dict[int, bool] = {}

    def decode_batch(self, frame: bytes) -> tuple[float, Iterator[tuple[int, HostEvent]]]:
        """The clock, and the (instance, event) pairs in order."""
        if len(frame) < _BATCH_HEADER.size:
            raise SimulatorProtocolError(f"batch header cut short: {len(frame)} bytes")
        length, now, count = _BATCH_HEADER.unpack_from(frame)
        if length != len(frame):
            raise SimulatorProtocolError(f"batch says {length} bytes and has {len(frame)}")
        _check_time(now)
        reader = _FrameReader(frame)
        reader.offset = _BATCH_HEADER.size
        return now, self._decode_records(reader, count)

    def _decode_records(self, r: _FrameReader, count: int) -> Iterator[tuple[int, HostEvent]]:
        who: int | None = None
        for number in range(count):
            place = r.offset
            (code,) = r.unpack(_U8)
            if code == 13:
                (who,) = r.unpack(_U32)
            elif code == 12:
                self._decode_endpoint_table(r)
            elif who is None:
                raise SimulatorProtocolError(f"event record {number} at byte {place} names no instance")
            else:
                try:
                    event = self._decode_event(r, code, who)
                except SimulatorProtocolError as error:
                    raise SimulatorProtocolError(
                        f"event record {number} (code {code}) at byte {place}: {error}"
                    ) from None
                yield who, event
        if r.offset != len(r.data):
            raise SimulatorProtocolError(
                f"{len(r.data) - r.offset} bytes after the last record at byte {r.offset}"
            )

    def _decode_endpoint_table(self, r: _FrameReader) -> None:
        (number,) = r.unpack(_U32)
        (count,) = r.unpack(_U32)
        raw = r.bytes(count * _ENDPOINT_ENTRY.size)
        self.endpoint_tables[number] = tuple(
            Endpoint(
                host,
                zone,
                kind,
                cell,
                _lookup(_ENDPOINT_STATES, state, "status"),
                positive_or_none(weight),
                positive_or_none(started),
            )
            for host, zone, kind, cell, state, weight, started in _ENDPOINT_ENTRY.iter_unpack(raw)
        )

    def _decode_event(self, r: _FrameReader, code: int, who: int) -> HostEvent:
        if code == 1:
            seed, count = r.unpack(_INSTANCE_STARTED)
            settings = parse_settings(r.bytes(count))
            self.has_tenants[who] = bool(settings.tenants)
            return InstanceStarted(seed, settings)
        if code == 2:
            kind, version, number = r.unpack(_ENDPOINT_UPDATE)
            scope = _lookup(_UPDATE_KINDS, kind, "list kind")
            workers = (
                () if scope is EndpointUpdateKind.FAILED else _lookup(self.endpoint_tables, number, "table")
            )
            return EndpointUpdate(scope, version, workers)
        if code == 3:
            tid, lanes, give_up, key, klass, memory, load_time, work, tenant, flags = r.unpack(
                _REQUEST_ARRIVED
            )
            return RequestArrived(
                tid,
                key,
                klass,
                _check_time(give_up),
                tenant if self.has_tenants.get(who) else None,
                positive_or_none(lanes),
                positive_or_none(memory),
                positive_or_none(load_time),
                positive_or_none(work) if flags & 1 else None,
                bool(flags & 2),
                bool(flags & 4),
            )
        if code == 4:
            request, attempt, worker, took = r.unpack(_STREAM_STARTED)
            return StreamStarted(request, attempt, worker, _check_time(took))
        if code == 5:
            tid, host, lag, remark, attempt, verdict, settled = r.unpack(_ATTEMPT_ENDED)
            outcome = _lookup(_OUTCOME_BY_VERDICT, verdict, "verdict")
            low = remark & 7
            note = _START_KINDS[low] if low < len(_START_KINDS) else StartKind.UNKNOWN
            return AttemptEnded(
                tid,
                attempt,
                host,
                outcome,
                _check_time(lag),
                bool(settled),
                note,
                (remark >> 3) & 31,
                r.read_load_report(),
            )
        if code == 6:
            return ClientDisconnected(*r.unpack(_U32))
        if code == 7:
            return TimerFired(*r.unpack(_U32))
        if code == 8:
            lag, host, verdict = r.unpack(_HEALTH_CHECK_ENDED)
            return HealthCheckEnded(
                host, _lookup(_OUTCOME_BY_VERDICT, verdict, "verdict"), _check_time(lag), r.read_load_report()
            )
        if code == 9:
            sender, count = r.unpack(_PEER_MESSAGE)
            return PeerMessageReceived(sender, r.bytes(count))
        if code == 10:
            return InstanceKilled()
        if code == 11:
            copies, host, key, verdict, lag = r.unpack(_PRELOAD_ENDED)
            return PreloadEnded(
                host, key, _lookup(_OUTCOME_BY_VERDICT, verdict, "verdict"), copies, _check_time(lag)
            )
        raise SimulatorProtocolError(f"unknown event code {code}")


def parse_settings(raw: bytes) -> RouterSettings:
    """Settings from the JSON text; keys that are not known are skipped."""
    try:
        top = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise SimulatorProtocolError(f"settings: {type(error).__name__}: {error}") from None
    return settings_from_object(top)


def settings_from_object(settings_object: Any) -> RouterSettings:
    """Settings from the parsed object."""
    try:
        return _settings_from_object(settings_object)
    except (ValueError, KeyError, TypeError, AttributeError, ArithmeticError) as error:
        raise SimulatorProtocolError(f"settings: {type(error).__name__}: {error}") from None


def _request_class(c: dict[str, Any]) -> RequestClass:
    return RequestClass(
        name=str(c.get("name", "")),
        latency_objective_ms=bounded_number(c["goal-time"]),
        deadline_ms=bounded_number(c["deadline"], 1.0),
        priority_weight=bounded_number(c.get("value", 1)),
        late_priority_weight=bounded_number(c.get("late-worth", 0)),
        idempotency=_lookup(_IDEMPOTENCY_BY_EFFECT, c["effect"], "effect"),
        deduplication_scope=DeduplicationScope(c.get("group") or "all"),
        deduplication_window_ms=bounded_number(c.get("repeat-window", 0)),
        is_streaming=bool(c.get("stream", False)),
        latency_objective_work_factor=bounded_number(c.get("aim-stretch") or 0),
    )


def _locate_errors(where: str, read: Callable[[Any], T], part: Any) -> T:
    """Read one part; an error says which part it was in."""
    try:
        return read(part)
    except KeyError as error:
        raise ValueError(f"{where}: {error} is missing") from None
    except (ValueError, TypeError, AttributeError, ArithmeticError) as error:
        raise ValueError(f"{where}: {error}") from None


def _settings_from_object(top: dict[str, Any]) -> RouterSettings:
    limits, rules, prices = top["limits"], top["obligations"], top.get("prices", {})
    special, report = top.get("specifics", {}), top.get("report", {})
    classes = tuple(_locate_errors(f"classes[{n}]", _request_class, c) for n, c in enumerate(top["classes"]))
    tenants = tuple(
        Tenant(
            str(t.get("name", "")), bounded_number(t.get("share", 0)), positive_or_none(t.get("quota-per-s"))
        )
        for t in top.get("tenants") or ()
    )
    return RouterSettings(
        classes=classes,
        tenants=tenants,
        limits=Limits(
            max_attempts=_locate_errors("limits.send-cap", _attempt_limit, limits["send-cap"]),
            max_pending_requests=int(bounded_number(limits["most-held"])),
            can_cancel=bool(limits.get("cancel", False)),
            allows_health_checks=bool(limits.get("probing", False)),
            allows_gossip=bool(limits.get("peers", False)),
            allows_hedging=bool(limits.get("second-copies", False)),
            sends_retry_after=bool(limits.get("retry-after", False)),
            max_retry_after_ms=bounded_number(limits.get("max-retry-after", 0)),
            max_attempts_per_connection=int(bounded_number(limits.get("streams-per-conn") or 32)),
            connect_timeout_ms=bounded_number(limits.get("connect-timeout") or 250),
            idle_timeout_ms=bounded_number(limits.get("conn-idle") or 30000),
        ),
        rules=RuleParameters(
            answer_slack_ms=bounded_number(rules.get("answer-slack", 0)),
            drain_grace_ms=bounded_number(rules.get("stop-sending-within", 0)),
            slow_start_min_capacity=bounded_number(rules.get("cold-from", 1)),
            slow_start_ms=bounded_number(rules.get("warm-after", 0)),
            collapse_multiple=bounded_number(rules.get("overload-factor", 1)),
            collapse_window_ms=bounded_number(rules.get("fall", 0)),
            max_poll_delay_ms=bounded_number(rules.get("ask-every", 0)),
            preload_allowance=bounded_number(special.get("loads-anyway", 0)),
            preload_share=bounded_number(special.get("load-share", 0)),
            preload_window_ms=_window_ms(special.get("load-window", 0)),
        ),
        prices=Prices(
            fetch=bounded_number(prices.get("origin", 0)),
            health_check=bounded_number(prices.get("probe", 0)),
            peer_message=bounded_number(prices.get("peer", 0)),
            cross_zone=bounded_number(prices.get("cross-zone", 0)),
            wasted_work=bounded_number(prices.get("waste", 0)),
            late_failure=bounded_number(prices.get("late-fail", 0)),
            idle_memory=bounded_number(special.get("idle-price", 0)),
        ),
        router_count=int(bounded_number(top["balancers"])),
        router_index=int(bounded_number(top.get("ordinal", 0))),
        zone=int(bounded_number(top.get("zone", 0))),
        tick_ms=bounded_number(top.get("quantum", 0)),
        discovery_mode=DiscoveryMode(top.get("membership-mode", "push")),
        when_not_loaded=NotLoadedBehavior(special.get("on-miss", "load")),
        allows_preloading=bool(special.get("may-order", False)),
        keep_alive_ms=bounded_number(special.get("keep-alive", 0)),
        preload_timeout_ms=bounded_number(special.get("order-limit", 0)),
        reports_start_kind=bool(special.get("says-warm", False)),
        reports_concurrency=bool(special.get("notes-peers-in-hand", False)),
        over_quota_weight=bounded_number(top.get("over-share-worth", 1)),
        load_report_source=LoadReportSource(report.get("how", "none")),
        load_report_columns=tuple(str(c) for c in report.get("columns", ())),
        memory_by_kind=tuple(bounded_number(m) for m in special.get("memory-mb-by-kind", ())),
        weight_meaning=WeightMeaning(top.get("weight-source", "none")),
        zones=tuple(str(z) for z in top.get("localities", ())),
        worker_kinds=tuple(str(k) for k in top.get("kinds", ())),
    )


def _encode_text(code: int, data: bytes) -> bytes:
    return struct.pack("<BH", code, min(len(data), 65535)) + data[:65535]


def _encode_peer_message(a: SendToPeer) -> bytes:
    return struct.pack("<BHH", 70, 0xFFFF if a.peer_index is None else a.peer_index, len(a.data)) + a.data


_ENCODERS: dict[type, Callable[[Any], bytes]] = {
    StartAttempt: lambda action: struct.pack(
        "<BIId",
        71,
        action.request_id,
        action.worker_id,
        0.0 if action.timeout_ms is None else action.timeout_ms,
    ),
    RejectRequest: lambda action: struct.pack("<BId", 68, action.request_id, action.retry_after_ms or 0.0),
    FailRequest: lambda action: struct.pack("<BI", 77, action.request_id),
    CancelAttempt: lambda action: struct.pack("<BIH", 79, action.request_id, action.attempt_index),
    PreloadFunction: lambda action: struct.pack(
        "<BIQB", 65, action.worker_id, action.function_id, action.instances
    ),
    UnloadFunction: lambda action: struct.pack("<BQI", 76, action.function_id, action.worker_id),
    CheckHealth: lambda action: struct.pack("<BI", 78, action.worker_id),
    SendToPeer: _encode_peer_message,
    SubscribeEndpoints: lambda action: struct.pack("<BB", 74, action.is_enabled),
    FetchEndpoints: lambda action: struct.pack("<B", 73),
    CloseIdleConnections: lambda action: struct.pack("<BI", 66, action.worker_id),
    SetTimer: lambda action: struct.pack("<BdI", 67, action.at_ms, action.token),
    LogMessage: lambda action: _encode_text(75, action.message.encode()),
}


def encode_action(action: Action) -> bytes:
    """One action as a record."""
    return _ENCODERS[type(action)](action)


def encode_instance(instance_id: int) -> bytes:
    """The record that selects an instance for the actions after it."""
    return struct.pack("<BI", 72, instance_id)


def encode_failure(text: str) -> bytes:
    """The record that reports a failure of the decision code."""
    return _encode_text(69, text.encode())


def encode_reply(records: list[bytes]) -> bytes:
    """A whole reply frame."""
    body = b"".join(records)
    return _U32.pack(4 + len(body)) + body
