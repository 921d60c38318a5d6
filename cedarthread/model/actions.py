"""The actions that a router returns, to be carried out in order by its host."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)  # one or more a call: frozen ones take three times as long to make
class StartAttempt:
    """Start an attempt; ``patience`` None: till the client gives up."""

    request_id: int
    worker_id: int
    timeout_ms: float | None = None


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: not done, and trying again is harmless."""

    request_id: int
    retry_after_ms: float | None = None
    reason: str = ""  # in words, for the client; "" for the usual one


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed, nothing promised."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    request_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class PreloadFunction:
    """Have a worker hold at least so many copies; 0 only asks."""

    worker_id: int
    function_id: int
    instances: int


@dataclass(frozen=True, slots=True)
class UnloadFunction:
    """Have a worker unload its idle copies of a function."""

    worker_id: int
    function_id: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Probe a worker."""

    worker_id: int


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send bytes to another gateway, or to all of them."""

    data: bytes
    peer_index: int | None = None


@dataclass(frozen=True, slots=True)
class SubscribeEndpoints:
    """Ask for changes of the list from now on, or no more."""

    is_enabled: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Ask for the whole list once."""


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close idle connections to a worker."""

    worker_id: int


@dataclass(slots=True)  # one or more a call: frozen ones take three times as long to make
class SetTimer:
    """Ask for a ``TimerDue``."""

    at_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the people on call."""

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
