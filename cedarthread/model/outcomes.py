"""The outcomes of attempts, health checks and preloads, and the kinds of instance starts in responses."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """The outcome of an attempt, a health check or a preload, and whether the request was executed."""

    OK = "ok"
    ERROR = "error"  # may have been executed
    OVERLOADED = "full"  # not executed: the worker shed it
    TIMEOUT = "timeout"  # may have been executed
    CONNECT_FAILED = "connect_failed"  # not executed: no byte reached the worker
    RESET = "reset"  # may have been executed
    CANCELLED = "cancelled"  # may have been executed
    NOT_SENT = "moot"  # not executed: the router did not send it
    NOT_LOADED = "miss"  # not executed: no instance at the worker, or its load failed


# Outcomes that prove that the request was not executed, so a request of any class may be retried.
NOT_EXECUTED = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.NOT_LOADED)


class StartKind(Enum):
    """The start of the function instance that served a request, as the response reports it."""

    UNKNOWN = "none"
    WARM = "found"  # the instance was already loaded
    COLD = "began"  # this request started the load
    PENDING = "awaited"  # this request waited for a load that an earlier one started
    LOAD_FAILED = "load_failed"
