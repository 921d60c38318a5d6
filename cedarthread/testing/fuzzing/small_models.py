"""Small models of a router's environment: a few calls and workers, and events that occur in any order.

A worker acts only when an event occurs. ``ModelRun`` applies the events; ``explore`` visits all orders.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Event(Enum):
    """An event of a model; counterexamples print the value."""

    CALL = "call"  # a client submits the next call of the model
    SERVED = "hit"  # an attempt ends with this outcome; the next four are other outcomes
    OVERLOADED = "full"
    FAILED = "fault"
    RESET = "reset"
    NOT_LOADED = "miss"
    LATE_ANSWER = "late"  # a worker answers a cancelled attempt, which the router must ignore
    PRELOADED = "loaded"
    PRELOAD_REJECTED = "unloaded"
    CRASH = "death"  # a worker crashes and is unreachable from then on
    DRAIN = "drain"
    READY = "ready"
    ABANDON = "leave"  # a client disconnects
    SHUTDOWN = "end"
    WAIT = "wait"


class EventChoice(NamedTuple):
    """An event and its subject: the index of a call, attempt or worker among the candidates for the event."""

    event: Event
    subject: int

    def __str__(self) -> str:
        """Return the choice in the form that counterexamples print."""
        return str((self.event.value, self.subject))


@dataclass(frozen=True, slots=True)
class SmallModel:
    """A model: its calls, workers and events, and the expected number of its states."""

    name: str
    calls: tuple[int, ...]  # index of the request class of each call
    workers: int
    events: tuple[Event, ...]  # each entry occurs at most once; an event may be listed several times
    expected_states: int  # number of states that explore() must reach; any other number is a fault
    preloads_on_miss: bool = False
    call_timeout_ms: float = 2000.0


MODELS = (
    SmallModel(
        "two-calls",
        calls=(0, 2),
        workers=2,
        events=(
            Event.SERVED,
            Event.SERVED,
            Event.CRASH,
            Event.FAILED,
            Event.LATE_ANSWER,
            Event.WAIT,
            Event.WAIT,
        ),
        expected_states=4299,
    ),
    SmallModel(
        "confirm",
        calls=(2, 2),
        workers=2,
        events=(
            Event.OVERLOADED,
            Event.FAILED,
            Event.SERVED,
            Event.RESET,
            Event.LATE_ANSWER,
            Event.WAIT,
        ),
        expected_states=547,
    ),
    SmallModel(
        "keyed",
        calls=(1,),
        workers=3,
        events=(Event.FAILED, Event.CRASH, Event.SERVED, Event.WAIT, Event.DRAIN),
        expected_states=769,
    ),
    SmallModel(
        "drain",
        calls=(0, 2),
        workers=2,
        events=(Event.DRAIN, Event.OVERLOADED, Event.SERVED, Event.READY, Event.WAIT),
        expected_states=2457,
    ),
    SmallModel(
        "end",
        calls=(0, 1),
        workers=2,
        events=(Event.SHUTDOWN, Event.SERVED, Event.FAILED, Event.ABANDON, Event.WAIT),
        expected_states=904,
    ),
    SmallModel(
        "orders",
        calls=(0, 0, 0),
        workers=2,
        events=(Event.PRELOADED, Event.PRELOAD_REJECTED, Event.NOT_LOADED, Event.WAIT, Event.CRASH),
        expected_states=954,
        preloads_on_miss=True,
    ),
)
