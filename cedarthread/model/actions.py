"""The actions that a router returns. Its host carries them out in order.

Times are milliseconds on the steady clock that was passed in with the event.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)  # not frozen: made once or more per call, and frozen ones take three times as long
class StartAttempt:
    """Start an attempt at a worker. ``timeout_ms`` None: until the request's deadline."""

    request_id: int
    worker_id: int
    timeout_ms: float | None = None


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: rejected; the request was not executed or may be repeated safely."""

    request_id: int
    retry_after_ms: float | None = None
    reason: str = ""  # for the client, as text; "" for the default text


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed; the request may have been executed."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel one attempt."""

    request_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class PreloadFunction:
    """Have a worker load at least so many instances of a function; 0 only asks how many it has."""

    worker_id: int
    function_id: int
    instances: int


@dataclass(frozen=True, slots=True)
class UnloadFunction:
    """Have a worker unload its idle instances of a function."""

    worker_id: int
    function_id: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check the health of a worker."""

    worker_id: int


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a datagram to one other router, or to all of them (``peer_index`` None)."""

    data: bytes
    peer_index: int | None = None


@dataclass(frozen=True, slots=True)
class SubscribeEndpoints:
    """Subscribe to updates of the endpoint list, or unsubscribe."""

    is_enabled: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to a worker."""

    worker_id: int


@dataclass(slots=True)  # not frozen: made once or more per call, and frozen ones take three times as long
class SetTimer:
    """Request a ``TimerFired`` with this token at this time."""

    at_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a log line for the on-call engineers (see ``cedarthread/logs.py`` for its form)."""

    message: str = field(default="")


Action = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | PreloadFunction
    | UnloadFunction
    | CheckHealth
    | SendToPeer
    | SubscribeEndpoints
    | FetchEndpoints
    | CloseIdleConnections
    | SetTimer
    | LogMessage
)
