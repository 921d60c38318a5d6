"""The events that a router takes.

Times are milliseconds on the steady clock that is passed in with each event.
"""

from __future__ import annotations

from dataclasses import dataclass

from cedarthread.model.endpoints import EndpointUpdate
from cedarthread.model.outcomes import Outcome, StartKind


@dataclass(slots=True)  # not frozen: made once or more per call, and frozen ones take three times as long
class RequestArrived:
    """A client sent a request. From here on exactly one final answer is owed.

    ``concurrency``, ``memory``, ``load_time_ms`` and ``work`` are hints of the platform about the function.
    """

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
    caller: str | None = None  # the authenticated identity, where the front end knows it


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The response to an attempt has begun to stream; the request has no deadline any more."""

    request_id: int
    attempt_index: int
    worker_id: int
    latency_ms: float


@dataclass(slots=True)  # not frozen: made once or more per call, and frozen ones take three times as long
class AttemptEnded:
    """How one attempt ended."""

    request_id: int
    attempt_index: int
    worker_id: int
    outcome: Outcome
    latency_ms: float
    is_final: bool  # the client has its response
    start_kind: StartKind = StartKind.UNKNOWN
    reported_concurrency: int | None = None  # requests of the function in flight at the worker then
    load_report: tuple[float | None, ...] = ()
    is_unreachable: bool = (
        True  # if it failed to connect: no connection was established, the worker may be down
    )
    is_local: bool = False  # not sent for a cause in this process: it says nothing about the worker


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client gave up; no answer is owed any more."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was requested by ``SetTimer`` fired."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The result of a health check."""

    worker_id: int
    outcome: Outcome
    latency_ms: float
    load_report: tuple[float | None, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A datagram from another router."""

    sender_index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class PreloadEnded:
    """How a ``PreloadFunction`` ended; ``instances`` are loaded at the worker now."""

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
