"""What passes between the forwarders and the planner: calls, attempts, their ends and their answers."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Protocol

from cedarthread import interface as i

# Part of a client's limit, and least ms of it, kept for the way here and back and for late turns. Guards
# against answers that miss the limit while the CPU is short: of 121,000 calls 30 ms lost 285, and of 90,000
# a part of 0.06 lost one.
MARGIN, LEAST_MARGIN = 0.1, 40.0


def answer_by(now: float, limit: float) -> float:
    """When a call that came just now, with so many ms to go, is given up."""
    return now + limit - max(MARGIN * limit, min(LEAST_MARGIN, limit / 2))


def _known() -> None:
    """For a front that has nothing to bring up to date."""


class Progress(IntEnum):
    """How far an attempt had come."""

    UNCONNECTED = 0
    UNWRITTEN = 1
    PARTLY_WRITTEN = 2
    WRITTEN = 3
    ANSWERED = 4


@dataclass(frozen=True, slots=True)
class Served:
    """Final answer: the body that a worker gave."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """Final answer: not done, and trying again is harmless."""

    later: float | None  # ms to keep away
    timed_out: bool = False
    reason: str = ""  # in words, where it is not the usual one


@dataclass(frozen=True, slots=True)
class Failed:
    """Final answer: failed, nothing promised about the effect."""

    timed_out: bool = False


Answer = Served | Refused | Failed


@dataclass(eq=False, slots=True)
class Call:
    """One request of a client, as a front hands it in."""

    name: str  # the client's id of it, the same at the worker
    klass: int
    function: int
    give_up: float  # Unix ms by which the client must have its answer
    body: bytes
    reply: Callable[[Answer], None]
    key: str | None = None  # the idempotency key
    lanes: float | None = None
    memory: float | None = None
    repeat: bool = False
    caller: str | None = None  # its identity, where the front knows it
    look: Callable[[], None] = _known  # the front takes in what the client has said or done by now
    number: int = 0  # set by the planner, as is all that follows
    label: str = ""  # the name of its class when it was taken: what its figures count under
    taken: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)
    settled: bool = False
    closing: bool = False  # its client writes no more and may have gone: no attempt begins any more
    lapsed: bool = False  # its time is up, and the router has been told


@dataclass(eq=False, slots=True)
class Attempt:
    """One try of a call at one worker."""

    call: Call
    number: int
    worker: int
    at: float
    progress: Progress = Progress.UNCONNECTED
    leave_by: float = math.inf  # when its first byte must have left, else it may not run any more
    ended: bool = False
    never_ran: bool = False  # its worker has said so, or it never left

    def may_have_run(self) -> bool:
        """What was not wholly written cannot have run, nor what its worker turned away."""
        return self.progress >= Progress.WRITTEN and not self.never_ran


@dataclass(frozen=True, slots=True)
class Ending:
    """How an attempt ended, as its forwarder saw it."""

    outcome: i.Outcome
    body: bytes = b""
    note: i.CopyNote = i.CopyNote.NONE
    crowd: int | None = None
    report: tuple[float | None, ...] = ()
    unreached: bool = False  # no connection to the worker came up
    local: bool = False  # nothing left, for a cause in this process: it says nothing of the worker


def broken(attempt: Attempt, *, unreached: bool = False) -> Ending:
    """The end of an attempt whose connection failed: only what came whole to the worker may have run."""
    outcome = i.Outcome.RESET if attempt.may_have_run() else i.Outcome.CONNECT_FAILED
    return Ending(outcome, unreached=unreached)


def unsent() -> Ending:
    """The end of an attempt that was taken back before any of it left, or for which this process had no
    descriptor or port: it says nothing of the worker."""
    return Ending(i.Outcome.CONNECT_FAILED, local=True)


class Workers(Protocol):
    """The way to the workers, as the planner sees it."""

    def send(self, attempt: Attempt) -> None:
        """Start an attempt; its end comes later by ``Planner.ended``."""

    def look(self, attempt: Attempt) -> None:
        """Bring the attempt's progress up to date."""

    def withdraw(self, attempt: Attempt) -> None:
        """End an attempt of which nothing has left; any other goes on."""

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up; its end still comes by ``Planner.ended``."""

    def order(self, worker: int, function: int, copies: int) -> None:
        """Order a load; its end comes by ``Planner.order_ended``."""

    def unload(self, worker: int, function: int) -> None:
        """Have idle copies unloaded."""

    def close_idle(self, worker: int) -> None:
        """Close the connections there that carry nothing."""
