"""One book of a run: facts in, breaches of the operators' rules out.

Times are milliseconds on any one clock that never goes back. The facts are those that peers can see: a
client what it asked and was answered, a worker what reached it whole and what it said, the news what it told.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Terms:
    """What one class of calls promises. ``window`` in ms, from the first attempt that may have run."""

    effect: str  # retryable, dedup or fragile
    group: str = "all"  # of a dedup class: all, zone or cell
    window: float = 0.0


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of the rules. Times in ms."""

    attempts: int = 4
    second_copies: bool = False
    slack: float = 58.0  # after the deadline: the settings' figure and 50 ms for the sockets
    drain: float = 550.0  # after the news, likewise
    gone: float = 100.0  # after a client closed its connection or took its request back
    order_window: float = 0.0  # 0: orders are not rationed
    order_free: float = 0.0
    order_share: float = 0.0
    order_slack: float = 1.0  # orders more
    order_wider: float = 1.15  # times the ration


@dataclass(frozen=True, slots=True)
class Breach:
    """One broken rule: which, when (ms), and what was seen."""

    rule: str
    at: float
    what: str

    def __str__(self) -> str:
        """The breach as a line."""
        return f"{self.rule} at {self.at:.1f} ms: {self.what}"


@dataclass(slots=True)
class Tried:
    """One attempt, as its worker saw it."""

    worker: int
    at: float
    zone: int
    cell: int
    out: bool = True
    may_have_run: bool = True


@dataclass(slots=True)
class _Entry:
    terms: Terms
    deadline: float
    tries: list[Tried] = field(default_factory=list)
    answers: int = 0
    answered_at: float = math.inf
    left: bool = False
    gone_at: float = math.inf
    made: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class _Listed:
    state: str  # ready, draining or gone
    since: float
    zone: int
    cell: int


class Ledger:
    """All facts of a run, and the breaches among them."""

    def __init__(self, figures: Figures) -> None:
        self.figures = figures
        self.breaches: list[Breach] = []
        self._calls: dict[str, _Entry] = {}
        self._listed: dict[int, _Listed] = {}
        self._taken: deque[float] = deque()
        self._ordered: deque[float] = deque()

    def _breach(self, rule: str, at: float, what: str) -> None:
        self.breaches.append(Breach(rule, at, what))

    # What the news told.

    def told(self, at: float, worker: int, state: str, zone: int = 0, cell: int = 0) -> None:
        """The process was told of a worker: ready, draining or gone."""
        old = self._listed.get(worker)
        since = old.since if old is not None and old.state == state else at
        self._listed[worker] = _Listed(state, since, zone, cell)

    # What clients saw.

    def taken(self, at: float, call: str, terms: Terms, deadline: float) -> None:
        """A client's whole request went in; its name is its own, its deadline a time."""
        if call in self._calls:
            return self._breach("harness", at, f"call {call} was recorded twice")
        self._calls[call] = _Entry(terms, deadline)
        self._taken.append(at)

    def left(self, at: float, call: str) -> None:
        """Its client does not wait any more: no answer is owed, one may still cross."""
        if (entry := self._calls.get(call)) is not None:
            entry.left = True

    def gone(self, at: float, call: str) -> None:
        """Its client has closed the connection, or its own end of it, or has taken the request back."""
        if (entry := self._calls.get(call)) is not None:
            entry.gone_at = min(entry.gone_at, at)

    def answered(self, at: float, call: str, kind: str, body: bytes = b"") -> None:
        """A final answer came out: served, refused or failed."""
        entry = self._calls.get(call)
        if entry is None:
            return self._breach("answers", at, f"an answer to {call}, which nobody asked")
        entry.answers += 1
        entry.answered_at = min(entry.answered_at, at)
        if entry.answers > 1:
            self._breach("answers", at, f"call {call} has {entry.answers} final answers")
        if at > entry.deadline + self.figures.slack and not entry.left:
            self._breach("deadline", at, f"call {call} answered {at - entry.deadline:.0f} ms late")
        if kind == "served" and body not in entry.made:
            self._breach("served", at, f"call {call} served with what no worker made for it")
        if kind == "refused":
            self._refused(at, call, entry)

    def _refused(self, at: float, call: str, entry: _Entry) -> None:
        ran = any(t.out or t.may_have_run for t in entry.tries)
        terms = entry.terms
        harmless = terms.effect == "retryable" or (terms.effect == "dedup" and terms.group == "all")
        if ran and not harmless:
            self._breach("effects", at, f"call {call} ({terms.effect}) refused though it may have run")

    # What workers saw.

    def out(
        self, at: float, call: str, worker: int, began: float | None = None, handed: float | None = None
    ) -> Tried:
        """An attempt came whole to a worker; ``began``: when its first byte left, if that was earlier;
        ``handed``: when it was handed to a socket that took nothing more, from where none comes back."""
        listed = self._listed.get(worker)
        tried = Tried(worker, at, listed.zone if listed else -1, listed.cell if listed else -1)
        began = at if began is None else began
        self._drain(began, worker, f"attempt of {call}", listed)
        entry = self._calls.get(call)
        if entry is None:
            self._breach("attempts", at, f"an attempt of {call}, which nobody asked")
            return tried
        handed = began if handed is None else handed
        if handed > entry.answered_at or (handed == at and entry.answers):
            self._breach("attempts", at, f"call {call} sent after its final answer")
        if began > entry.gone_at + self.figures.gone:
            late = began - entry.gone_at
            self._breach("gone", at, f"an attempt of {call} began {late:.0f} ms after its client had gone")
        if not self.figures.second_copies and any(t.out for t in entry.tries):
            self._breach("attempts", at, f"call {call} has two attempts out")
        if len(entry.tries) >= self.figures.attempts:
            self._breach("attempts", at, f"call {call} sent {len(entry.tries) + 1} times")
        self._effects(began, call, entry, tried)
        entry.tries.append(tried)
        return tried

    def _drain(self, at: float, worker: int, what: str, listed: _Listed | None) -> None:
        if listed is None:
            self._breach("drain", at, f"{what} to worker {worker}, which was never listed")
        elif listed.state != "ready" and at > listed.since + self.figures.drain:
            late = at - listed.since
            self._breach("drain", at, f"{what} to worker {worker}, {late:.0f} ms after it was {listed.state}")

    def _effects(self, at: float, call: str, entry: _Entry, tried: Tried) -> None:
        ran = [t for t in entry.tries if t.out or t.may_have_run]
        terms = entry.terms
        if not ran or terms.effect == "retryable":
            return
        if terms.effect == "fragile":
            return self._breach("effects", at, f"fragile call {call} sent again though it may have run")
        if at > ran[0].at + terms.window:
            self._breach("effects", at, f"dedup call {call} sent again {at - ran[0].at:.0f} ms on")
        for one in ran:
            apart = one.zone != tried.zone if terms.group == "zone" else one.cell != tried.cell
            if terms.group != "all" and apart:
                self._breach("effects", at, f"dedup call {call} left its {terms.group}")
                return

    def made(self, call: str, body: bytes) -> None:
        """A worker made this body for the call; it is said before the answer goes out."""
        if (entry := self._calls.get(call)) is not None:
            entry.made.append(body)

    def ended(self, tried: Tried, may_have_run: bool) -> None:
        """An attempt's end went out to the router, or the attempt was given up."""
        if tried.out:
            tried.out, tried.may_have_run = False, may_have_run

    def ordered(self, at: float, worker: int, copies: int, began: float | None = None) -> None:
        """An order to load came whole to a worker; one for no copies only asks. ``began`` as for ``out``."""
        self._drain(at if began is None else began, worker, "an order", self._listed.get(worker))
        figures = self.figures
        if copies <= 0 or figures.order_window <= 0:
            return
        self._ordered.append(at)
        for times in (self._ordered, self._taken):
            while times and times[0] <= at - figures.order_window:
                times.popleft()
        ration = figures.order_free + figures.order_share * len(self._taken)
        if len(self._ordered) > math.floor(ration * figures.order_wider + 1e-9) + figures.order_slack:
            self._breach("orders", at, f"{len(self._ordered)} orders to load where {ration:.1f} are allowed")

    # The end.

    def rest(self, at: float, what: str, figure: float, most: float = 0.0) -> None:
        """What is left of something that should be back to at most so much."""
        if figure > most:
            self._breach("rest", at, f"{what}: {figure:g} left, at most {most:g} expected")

    def close(self, at: float) -> None:
        """The run is over and every deadline past: each call must have its answer."""
        for name, entry in self._calls.items():
            if not entry.answers and not entry.left:
                self._breach("answers", at, f"call {name} got no final answer")
