"""The phases of a return, what ends each, and whether most of the fleet returns at once.

    starting -> asking -> warming -> in service; a pause leads back to asking

Each phase ends by evidence, or, said so, by its longest time: a router that hears nobody must serve too.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

from cedarthread.components.interface import PeersChanged
from cedarthread.model.settings import RouterSettings

MEMBERSHIP_PERIOD_MS = 500.0  # ms of a period of the membership
STARTING_PERIODS = 4.0  # of them in which a majority is heard, or is not there
MIN_PHASE_TIMEOUT_MS, MAX_PEER_QUERY_MS, MAX_WARMING_MS = (
    500.0,
    4000.0,
    30_000.0,
)  # bounds of the longest times, ms
WARMING_KEEP_ALIVES = 2.0  # keep-alives after which all that was once used has been seen, or is gone
PAUSE_THRESHOLD_MS = (
    2000.0  # ms without a turn after which a router takes itself for restarted, as the membership does
)
TARGET_WARM_RATIO = 0.95  # of the usual share of calls that find a copy: full service
DEFAULT_WARM_FRACTION = 0.9  # that share where nobody can tell
MIN_RECENT_CALLS = 20.0  # calls of late, fading, that a share is read from
MASS_RESTART_FRACTION = (
    0.5  # part of the others that started of late, or are gone, from which a return is one of most
)
MIN_LOAD_REPORTS = 20.0  # reports that say whether others are at work
ABSENT_PEERS_LOAD_FRACTION = 0.5  # part of what others should have out under which they are taken for gone


class RecoveryPhase(IntEnum):
    """How far a return has come."""

    STARTING = 0
    ASKING = 1
    WARMING = 2
    IN_SERVICE = 3


class TransitionCause(IntEnum):
    """What ended the phase before."""

    START = 0
    EVIDENCE = 1
    TIME = 2
    PAUSE = 3


@dataclass(frozen=True, slots=True)
class PhaseTimeouts:
    """How long each phase lasts at most, ms."""

    starting_ms: float
    peer_query_ms: float
    warming_ms: float

    @staticmethod
    def from_settings(settings: RouterSettings) -> PhaseTimeouts:
        """What asking may take is bounded by what answers are worth then, and by the time that calls have."""
        deadline = min((klass.deadline_ms for klass in settings.classes), default=MAX_PEER_QUERY_MS)
        asking = max(MIN_PHASE_TIMEOUT_MS, min(settings.keep_alive_ms / 2, deadline / 2, MAX_PEER_QUERY_MS))
        warming = max(
            2 * MIN_PHASE_TIMEOUT_MS, min(WARMING_KEEP_ALIVES * settings.keep_alive_ms, MAX_WARMING_MS)
        )
        return PhaseTimeouts(STARTING_PERIODS * MEMBERSHIP_PERIOD_MS, asking, warming)

    def for_phase(self, phase: RecoveryPhase) -> float:
        """That of one phase."""
        return (self.starting_ms, self.peer_query_ms, self.warming_ms, math.inf)[phase]

    def total_ms(self) -> float:
        """That of a whole return."""
        return self.starting_ms + self.peer_query_ms + self.warming_ms


@dataclass(frozen=True, slots=True)
class RecoveryEvidence:
    """What a router has seen of its return so far."""

    has_endpoint_list: bool  # the list of runners has come
    can_query_peers: bool  # it may ask others
    has_majority: bool  # of the configured routers is there, as far as heard
    is_peer_query_complete: bool  # asking on would bring little
    recent_calls: float  # ends of calls of late that told whether a copy stood there
    warm_fraction: float  # share of them that found one
    baseline_warm_fraction: float | None  # that share before, or as others tell
    has_deferred_loads: bool  # loads that are wanted still wait


class RecoveryStateMachine:
    """The machine."""

    def __init__(self, longest: PhaseTimeouts, now: float) -> None:
        self.timeouts = longest
        self.phase, self.cause, self.entered_at_ms = RecoveryPhase.STARTING, TransitionCause.START, now
        self.last_tick_ms = now

    def detect_pause(self, now: float) -> bool:
        """Once a turn: whether the process stood still; then it returns like one that has restarted."""
        stood, self.last_tick_ms = now - self.last_tick_ms > PAUSE_THRESHOLD_MS, now
        if stood and self.phase is not RecoveryPhase.STARTING:
            self._enter(now, RecoveryPhase.ASKING, TransitionCause.PAUSE)
        return stood

    def advance(self, now: float, evidence: RecoveryEvidence) -> bool:
        """Go on where the evidence or the longest time says so; True where the phase is another."""
        if self.phase is RecoveryPhase.IN_SERVICE:
            return False
        over = now - self.entered_at_ms >= self.timeouts.for_phase(self.phase)
        if not over and not self._is_goal_reached(evidence):
            return False
        after = RecoveryPhase(self.phase + 1)
        if after is RecoveryPhase.ASKING and not evidence.can_query_peers:
            after = RecoveryPhase.WARMING
        self._enter(
            now,
            after,
            TransitionCause.TIME if not self._is_goal_reached(evidence) else TransitionCause.EVIDENCE,
        )
        return True

    def _is_goal_reached(self, evidence: RecoveryEvidence) -> bool:
        """Whether what the phase is for has been reached."""
        if self.phase is RecoveryPhase.STARTING:
            return evidence.has_endpoint_list and (evidence.has_majority or not evidence.can_query_peers)
        if self.phase is RecoveryPhase.ASKING:
            return evidence.is_peer_query_complete or not evidence.can_query_peers
        usual = (
            DEFAULT_WARM_FRACTION
            if evidence.baseline_warm_fraction is None
            else evidence.baseline_warm_fraction
        )
        return (
            evidence.recent_calls >= MIN_RECENT_CALLS
            and evidence.warm_fraction >= TARGET_WARM_RATIO * usual
            and not evidence.has_deferred_loads
        )

    def _enter(self, now: float, phase: RecoveryPhase, cause: TransitionCause) -> None:
        self.phase, self.cause, self.entered_at_ms = phase, cause, now


@dataclass(slots=True)
class FleetView:
    """Who is there, and since when, as the membership tells; all ages grow by themselves."""

    router_count: int
    latest_peers: PeersChanged | None = None
    latest_peers_at_ms: float = 0.0
    heard_from: set[int] = field(default_factory=set)  # whose datagrams came here themselves, in this life

    def peer_uptimes_ms(self, now: float) -> dict[int, float]:
        """The others that are there, with ms in this life; 0 where that is not known."""
        if self.latest_peers is None:
            return {}
        passed = now - self.latest_peers_at_ms
        return {
            n: self.latest_peers.alive_for_ms.get(n, -passed) + passed for n in self.latest_peers.alive_peers
        }

    def has_majority(self) -> bool:
        """Whether more than half of the configured routers, this one too, are known to be there."""
        known = self.heard_from | (
            set(self.latest_peers.alive_for_ms) if self.latest_peers is not None else set()
        )
        there = known & set(self.latest_peers.alive_peers) if self.latest_peers is not None else known
        return 2 * (1 + len(there)) > self.router_count

    def is_mass_restart(self, now: float, max_uptime_ms: float) -> bool:
        """Whether most others are gone, or have been there for less than ``late`` ms."""
        if self.latest_peers is None or self.router_count < 2:
            return False
        young = (
            sum(1 for _ in self._recently_started(now, max_uptime_ms))
            + self.router_count
            - 1
            - len(self.latest_peers.alive_peers)
        )
        return young >= MASS_RESTART_FRACTION * (self.router_count - 1)

    def _recently_started(self, now: float, max_uptime_ms: float) -> Iterator[int]:
        known = self.latest_peers.alive_for_ms if self.latest_peers is not None else {}
        for number, life in self.peer_uptimes_ms(now).items():
            if number in known and life < max_uptime_ms:
                yield number


@dataclass(slots=True)
class WorkerReportView:
    """What a router that may not talk can see of the others: what runners report to hold beside its own.

    Of N alike routers each has about one Nth of what is out. Where others are gone, runners hold little but
    its own. Where all came back at the same moment, nothing tells that from any other day: so nothing seen
    counts as a return of most, and only reports show that it is not."""

    router_count: int
    held: float = 0.0
    own: float = 0.0
    reports: float = 0.0

    def on_load_report(self, held: float, own: float) -> None:
        """One answer's report: calls that the runner held, this router's among them, and those alone."""
        for name, amount in (("held", held), ("own", own), ("reports", 1.0)):
            setattr(self, name, getattr(self, name) * (1.0 - 1.0 / (4 * MIN_LOAD_REPORTS)) + amount)

    def is_mass_restart_possible(self) -> bool:
        """Whether it had better act as if most returned at once."""
        if self.router_count < 2:
            return False
        others = self.held - self.own
        return self.reports < MIN_LOAD_REPORTS or others < ABSENT_PEERS_LOAD_FRACTION * self.own * (
            self.router_count - 1
        )
