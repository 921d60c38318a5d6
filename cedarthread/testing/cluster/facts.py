"""Facts about calls and endpoint lists, as the fake clients, workers and discovery servers record them.

Times are ms from the start of traffic.
"""

from __future__ import annotations

from typing import NamedTuple


class CallSubmitted(NamedTuple):
    """The submission of a call by a client; ``deadline_ms`` is a point in time, not a duration."""

    at_ms: float
    call_id: str
    request_class: str
    deadline_ms: float
    tenant: str


class NoRouterAvailable(NamedTuple):
    """The failure of a client to submit a call, because no router was connected."""

    at_ms: float
    call_id: str


class CallAbandoned(NamedTuple):
    """The end of a client's wait for a call that has no answer."""

    at_ms: float
    call_id: str


class CallAnswered(NamedTuple):
    """The arrival of an answer at a client; ``result`` is served, refused or failed."""

    at_ms: float
    call_id: str
    result: str
    body: bytes


class AttemptSent(NamedTuple):
    """The sending of an attempt by a router; ``at_ms`` is the earliest time of its arrival at the worker."""

    at_ms: float
    call_id: str
    worker: int
    sent_at_ms: float
    time_limit_ms: float = 0.0  # Time limit that the router sent to the worker; 0 if not recorded.


class AttemptEnded(NamedTuple):
    """The end of an attempt at its worker, which answered or lost it; ``remark`` tells which."""

    at_ms: float
    call_id: str
    worker: int
    remark: str


class AttemptCancelled(NamedTuple):
    """The cancellation of an attempt by a router."""

    at_ms: float
    call_id: str
    worker: int


class ClientLeft(NamedTuple):
    """The close of the connection on which a client had sent a pending call."""

    at_ms: float
    call_id: str


class ListSent(NamedTuple):
    """The sending of a reply by a discovery server; the router then counts as knowing the current list."""

    at_ms: float
    router: int


class RouterStarted(NamedTuple):
    """The start of a router's process, which knows only the endpoint list of its configuration."""

    at_ms: float
    router: int


Fact = (
    ClientLeft
    | ListSent
    | RouterStarted
    | CallSubmitted
    | NoRouterAvailable
    | CallAbandoned
    | CallAnswered
    | AttemptSent
    | AttemptEnded
    | AttemptCancelled
)


def router_of(call_id: str) -> int:
    """Return the router that a call was sent to: the first four hexadecimal digits of the call id."""
    return int(call_id[:4], 16)
