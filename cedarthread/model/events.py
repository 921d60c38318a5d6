"""The events that a router handles.

Times are milliseconds on the monotonic clock whose time is passed in with each event.
"""

from __future__ import annotations

from dataclasses import dataclass

from cedarthread.model.endpoints import EndpointUpdate
from cedarthread.model.outcomes import Outcome, StartKind


# Not frozen: created for each call, and creating a frozen instance costs three times as much.
@dataclass(slots=True)
class RequestArrived:
    """The arrival of a client's request, to which the router must give exactly one final answer.

    The platform's hints are ``concurrency`` (requests that one instance serves at a time), ``memory_mb``
    and ``load_time_ms`` of the function, and ``work``, to which the service time of the request is expected
    to be proportional.
    """

    request_id: int
    function_id: int
    class_index: int
    deadline_ms: float
    tenant_index: int | None = None
    concurrency: float | None = None
    memory_mb: float | None = None
    load_time_ms: float | None = None
    work: float | None = None
    is_client_retry: bool = False
    is_write: bool = False
    caller: str | None = None  # authenticated identity of the caller, if the front end knows one


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The start of a streamed response to an attempt; after it the request has no deadline."""

    request_id: int
    attempt_index: int
    worker_id: int
    latency_ms: float


# Not frozen: created for each call, and creating a frozen instance costs three times as much.
@dataclass(slots=True)
class AttemptEnded:
    """The end of one attempt."""

    request_id: int
    attempt_index: int
    worker_id: int
    outcome: Outcome
    latency_ms: float
    is_final: bool  # the client has received its response
    start_kind: StartKind = StartKind.UNKNOWN
    reported_concurrency: int | None = None  # requests of the function in flight at the worker, as reported
    load_report: tuple[float | None, ...] = ()
    is_unreachable: bool = True  # for CONNECT_FAILED: no connection was established; the worker may be down
    is_local: bool = False  # not sent, for a reason in this process, so not a failure of the worker


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The disconnection of a client; its request no longer needs a final answer."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The firing of a timer that ``SetTimer`` requested."""

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
    """The end of a ``PreloadFunction``; the worker now has ``instances`` instances loaded."""

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
