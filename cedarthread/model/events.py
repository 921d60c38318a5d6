"""The events that a router takes. Times are milliseconds on the clock that is passed in with each event."""

from __future__ import annotations

from dataclasses import dataclass

from cedarthread.model.endpoints import EndpointUpdate
from cedarthread.model.outcomes import Outcome, StartKind


@dataclass(slots=True)  # one or more a call: frozen ones take three times as long to make
class RequestArrived:
    """A client's request; one final answer is owed from here on."""

    request_id: int
    function_id: int
    class_index: int
    deadline_ms: float
    tenant_index: int | None = None
    concurrency: float | None = None
    memory: float | None = None
    load_time_ms: float | None = None
    work: float | None = None
    is_client_retry: bool = False
    is_write: bool = False
    caller: str | None = None  # whose it is by its identity, where the front knows that


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The answer to an attempt has begun to stream; the request has no deadline any more."""

    request_id: int
    attempt_index: int
    worker_id: int
    latency_ms: float


@dataclass(slots=True)  # one or more a call: frozen ones take three times as long to make
class AttemptEnded:
    """How one attempt ended."""

    request_id: int
    attempt_index: int
    worker_id: int
    outcome: Outcome
    latency_ms: float
    is_final: bool  # the client has its answer
    start_kind: StartKind = StartKind.UNKNOWN
    reported_concurrency: int | None = None  # requests of the function that the worker held then
    load_report: tuple[float | None, ...] = ()
    is_unreachable: bool = True  # where it failed to connect: none came up, so the worker may be down
    is_local: bool = False  # nothing left, for a cause in this gateway: it says nothing of the worker


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has given up; nothing is owed any more."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set before."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The result of a probe."""

    worker_id: int
    outcome: Outcome
    latency_ms: float
    load_report: tuple[float | None, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Bytes that another gateway sent."""

    sender_index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class PreloadEnded:
    """The answer to one order to load (or to count)."""

    worker_id: int
    function_id: int
    outcome: Outcome
    instances: int
    latency_ms: float


Event = (
    EndpointUpdate
    | RequestArrived
    | StreamStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | PeerMessageReceived
    | PreloadEnded
)
