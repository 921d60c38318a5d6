"""The actions that a router returns; its host executes them in order.

Times are milliseconds on the monotonic clock whose time was passed in with the event.
"""

from __future__ import annotations

from dataclasses import dataclass, field


# Not frozen: created for each call, and creating a frozen instance costs three times as much.
@dataclass(slots=True)
class StartAttempt:
    """The start of an attempt at a worker; without ``timeout_ms`` the request's deadline applies."""

    request_id: int
    worker_id: int
    timeout_ms: float | None = None


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """The final answer that a request is rejected: it was not executed or may be repeated safely."""

    request_id: int
    retry_after_ms: float | None = None
    reason: str = ""  # text for the client; "": the default text


@dataclass(frozen=True, slots=True)
class FailRequest:
    """The final answer that a request failed: it may have been executed."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """The cancellation of one attempt."""

    request_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class PreloadFunction:
    """A request to load at least this many instances of a function at a worker.

    With 0 instances it only queries their number.
    """

    worker_id: int
    function_id: int
    instances: int


@dataclass(frozen=True, slots=True)
class UnloadFunction:
    """A request to a worker to unload its idle instances of a function."""

    worker_id: int
    function_id: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """A health check of a worker."""

    worker_id: int


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """A datagram to one other router, or to all other routers if ``peer_index`` is None."""

    data: bytes
    peer_index: int | None = None


@dataclass(frozen=True, slots=True)
class SubscribeEndpoints:
    """The start or, if ``is_enabled`` is false, the end of the subscription to endpoint list updates."""

    is_enabled: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """A single fetch of the complete endpoint list."""


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """The closing of the idle connections to a worker."""

    worker_id: int


# Not frozen: created for each call, and creating a frozen instance costs three times as much.
@dataclass(slots=True)
class SetTimer:
    """A request for one ``TimerFired`` with this token at this time."""

    at_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A log line for the on-call engineers (see ``cedarthread/logs.py`` for its format)."""

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
