"""How an attempt, a health check or a preload ended, and what its answer said of the instance it ran on."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How an attempt, a probe or an order ended."""

    OK = "ok"
    ERROR = "error"  # may have run
    OVERLOADED = "full"  # never ran
    TIMEOUT = "timeout"  # may have run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # may have run
    CANCELLED = "cancelled"  # may have run
    NOT_SENT = "moot"  # never sent
    NOT_LOADED = "miss"  # never ran: no copy there, or the awaited load failed


NOT_EXECUTED = (
    Outcome.OVERLOADED,
    Outcome.CONNECT_FAILED,
    Outcome.NOT_SENT,
    Outcome.NOT_LOADED,
)  # ends that prove it


class StartKind(Enum):
    """What an answer tells of the copy it ran on."""

    UNKNOWN = "none"
    WARM = "found"  # a copy stood loaded
    COLD = "began"  # this request began the load
    PENDING = "awaited"  # it waited for a load begun before
    LOAD_FAILED = "load_failed"
