"""What a router keeps of workers, functions and requests: plain records, with no decision in them.

All times are ms of the clock that is handed in."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cedarthread import interface as i
from cedarthread.measures import Ewma, Fading, Mean
from cedarthread.spread.popularity import LEAST as POPULAR
from cedarthread.spread.queue import Queue
from cedarthread.spread.talk import Copy

if TYPE_CHECKING:
    from cedarthread.tiers.rank import Rank

SEEN_TIME = 4000.0  # ms in which what answers show of a worker fades, at least
SEEN_PRIOR = 0.5  # answers' worth of doubt: one answer alone counts for two thirds
OPEN_TIME = 1500.0  # ms until the half-open trial


@dataclass(slots=True)
class Attempt:
    """One send of a request, and what was expected of it."""

    worker: i.Worker
    at: float
    expected: float
    key: tuple[int, int | None]
    cold: bool
    trial: bool
    known: bool  # its function has been answered before
    pending: bool = True
    may_have_run: bool = True
    overdue: bool = False
    doubted: bool = False  # it ended in an error that may be the client's doing
    cost: float = 0.0  # retry budget that it has spent


@dataclass(slots=True)
class WorkerView:
    """What own calls and the list show of a worker."""

    entry: i.Worker
    salt: int
    ration: float  # this gateway's place among those that may use a small part of a cold worker's budget
    pending: int = 0
    elsewhere: float = 0.0  # calls of other routers that are out there, as they tell
    sent: deque[tuple[float, float]] = field(default_factory=deque)
    trouble: float = 0.0
    broken: bool = False
    open_until: float = 0.0
    open_time: float = OPEN_TIME
    trial_out: bool = False
    last_answer: float = -math.inf
    down_at: float = -math.inf  # when it was last found down: it may start anew untold
    broke_at: float = -math.inf  # the last broken connection: what broke with it is one symptom
    seen: Mean = field(default_factory=lambda: Mean.over(SEEN_TIME))
    holds: Mean = field(default_factory=lambda: Mean.over(SEEN_TIME))  # requests of others, by its reports
    turned: dict[tuple[int, int | None], Fading] = field(default_factory=dict)

    def load(self, now: float) -> float:
        """Requests out there beyond what its answers should have taken: a mean that fades by time."""
        return self.seen.read(now, SEEN_PRIOR)


@dataclass(slots=True)
class Function:
    """What own calls and other routers show of a function."""

    mix: int
    lanes: float = 1.0
    used: float = 0.0
    calls: Fading = field(default_factory=lambda: Fading(POPULAR))
    warmth: dict[int, float] = field(default_factory=dict)
    sent_at: dict[int, float] = field(default_factory=dict)
    proven: dict[int, float] = field(default_factory=dict)
    service: Ewma = field(default_factory=Ewma)
    order: list[WorkerView] = field(default_factory=list)  # all workers, homes first
    epoch: int = -1
    told: dict[int, Copy] = field(default_factory=dict)  # what stands where, as other routers told
    queue: Queue = field(default_factory=Queue)
    loading: set[int] = field(default_factory=set)
    order_after: float = 0.0
    order_wait: float = 0.0

    def forget(self, worker: int) -> None:
        """No copy stands there any more, as far as is known."""
        for kept in (self.warmth, self.sent_at, self.proven):
            kept.pop(worker, None)
        self.queue.copies.pop(worker, None)


@dataclass(slots=True)
class Open:
    """A request that has no final answer yet."""

    request: i.Request
    klass: i.RequestClass
    function: Function
    key: tuple[int, int | None]  # class and tenant
    at: float
    attempts: list[Attempt] = field(default_factory=list)
    streaming: bool = False
    called_back: int = -1
    cost: float = 0.0  # retry budget spent on the next attempt
    rank: Rank | None = None  # by its tenant's contract
    reason: str = ""  # why it gave way to another, for its client

    def may_have_run(self) -> list[Attempt]:
        """The attempts that may have taken effect."""
        return [a for a in self.attempts if a.pending or a.may_have_run]
