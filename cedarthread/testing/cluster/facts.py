"""What happened to calls, as the fakes around the routers saw it. Times are ms from the start of traffic."""

from __future__ import annotations

from typing import NamedTuple


class CallSubmitted(NamedTuple):
    """A client sent a call; its deadline is a time."""

    at_ms: float
    call_id: str
    request_class: str
    deadline_ms: float
    tenant: str


class NoRouterAvailable(NamedTuple):
    """A client had no router to send a call to."""

    at_ms: float
    call_id: str


class CallAbandoned(NamedTuple):
    """A client waits for a call no more."""

    at_ms: float
    call_id: str


class CallAnswered(NamedTuple):
    """A client got an answer: served, refused or failed."""

    at_ms: float
    call_id: str
    result: str
    body: bytes


class AttemptSent(NamedTuple):
    """A router handed an attempt to the network; ``at_ms``: when it can be at the worker."""

    at_ms: float
    call_id: str
    worker: int
    sent_at_ms: float
    time_limit_ms: float = 0.0  # that the router passed on; 0: not recorded


class AttemptEnded(NamedTuple):
    """An attempt left its worker, or was lost there."""

    at_ms: float
    call_id: str
    worker: int
    remark: str


class AttemptCancelled(NamedTuple):
    """A router said that it waits for an attempt no more."""

    at_ms: float
    call_id: str
    worker: int


class ClientLeft(NamedTuple):
    """A client closed the connection on which it had sent a call."""

    at_ms: float
    call_id: str


class ListSent(NamedTuple):
    """A discovery server sent a reply with the list of that time to a router: it counts as told."""

    at_ms: float
    router: int


class RouterStarted(NamedTuple):
    """A process of a router was started: it knows the list of its configuration alone."""

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
    """The router that a call was sent to: its id begins with the number, as four hexadecimal digits."""
    return int(call_id[:4], 16)
