"""How an attempt, a health check or a preload ended, and what its answer said of the instance it ran on."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How an attempt, a health check or a preload ended, and whether the request may have been executed."""

    OK = "ok"
    ERROR = "error"  # may have been executed
    OVERLOADED = "full"  # not executed: the worker shed it
    TIMEOUT = "timeout"  # may have been executed
    CONNECT_FAILED = "connect_failed"  # not executed: no byte reached the worker
    RESET = "reset"  # may have been executed
    CANCELLED = "cancelled"  # may have been executed
    NOT_SENT = "moot"  # not executed: the router did not send it
    NOT_LOADED = "miss"  # not executed: no instance there, or the load that it waited for failed


# Outcomes that prove that the request was not executed, so that any class may be sent again.
NOT_EXECUTED = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.NOT_LOADED)


class StartKind(Enum):
    """What a response says of the function instance that it ran on."""

    UNKNOWN = "none"
    WARM = "found"  # the instance was loaded already
    COLD = "began"  # this request started the load
    PENDING = "awaited"  # it waited for a load that was started before
    LOAD_FAILED = "load_failed"
