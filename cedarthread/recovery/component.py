"""Coming back: what a router that has just started, or stood still, asks, believes and holds back.

The host passes datagrams and facts in, and asks before it begins a load or a connection. Without talk between
routers the part asks nobody and answers nobody; all else stays.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import msgspec

from cedarthread.components.interface import (
    AttemptCompleted,
    MessageType,
    Notification,
    OutboundMessage,
    PeersChanged,
    SettingsChanged,
    WallClockRead,
)
from cedarthread.gossip.codec import MalformedDatagram
from cedarthread.gossip.load_gossip import InstanceLoad
from cedarthread.model.actions import LogMessage, SendToPeer
from cedarthread.model.endpoints import EndpointUpdate
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import RouterSettings
from cedarthread.recovery import codec
from cedarthread.recovery.pacing import PacedAction, Pacer, PacingLimits
from cedarthread.recovery.peer_query import PeerQueryClient, PeerQueryServer
from cedarthread.recovery.state_machine import (
    MIN_RECENT_CALLS,
    FleetView,
    PhaseTimeouts,
    RecoveryEvidence,
    RecoveryPhase,
    RecoveryStateMachine,
    WorkerReportView,
)
from cedarthread.recovery.warm_state import AgedObservation, Source, WarmState
from cedarthread.statistics import DecayingCounter

SUSPENSION_AFTER_PAUSE_MS = (
    500.0  # ms after a pause in which nothing decides: answers and lists may be from before it
)
WARM_FRACTION_WINDOW_MS = 2500.0  # ms over which the share of calls that find a copy is read
BASELINE_FRACTION_WINDOW_MS = 20_000.0  # the same for what is usual
DEFAULT_LOAD_TIME_MS = 1000.0  # ms that a load is taken to last, where nothing tells
PENDING_LOAD_TIMEOUT_LOADS = (
    4.0  # of these after which a load that did not end holds back no other one of its function
)
LOAD_HOLD_FRACTION = 0.25  # part of the longest asking for which a load waits to be told where a copy stands
LONG_DEFERRAL_MS = 500.0  # ms that nothing has been put off for when the bounds bind no more
RETRY_AFTER_FRACTIONS = 0.05, 0.15  # parts of the longest wait that refused clients keep away, as on any day
MASS_RESTART_RETRY_AFTER_FRACTION = 0.6  # the greater of them while most routers return at once
MAX_STORED_OBSERVATIONS = 2048  # places in the store
OLDER_PEER_MARGIN_MS = 5000.0  # ms by which one that did not restart with this router has been there longer
MAX_CLOCK_ERROR_MS = 500.0  # ms by which wall clocks may differ between two lives


class _StoredWarmState(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """What the store keeps of a return."""

    unix_ms: float  # Unix ms
    warm_fraction: float | None
    baseline_per_second: dict[str, float]
    observations: list[tuple[int, int, int, float, bool, int]]


class RecoveryComponent:
    """The part beside the router."""

    message_types: frozenset[int] = frozenset({MessageType.RECOVERY})

    def __init__(self, settings: RouterSettings, seed: int, now: float = 0.0) -> None:
        self.restarted_at_ms = now  # when it last started, or went on after a pause
        self.settings = settings
        self.can_query_peers = settings.limits.allows_gossip and settings.router_count > 1
        self.warm_state = WarmState(settings.keep_alive_ms)
        self.query_client, self.query_server = PeerQueryClient(seed, now), PeerQueryServer(now)
        self.state_machine = RecoveryStateMachine(PhaseTimeouts.from_settings(settings), now)
        self.fleet_view, self.worker_reports = (
            FleetView(settings.router_count),
            WorkerReportView(settings.router_count),
        )
        self.pacer = Pacer(
            settings.router_index, now, PacingLimits.for_fleet(1, DEFAULT_LOAD_TIME_MS), settings.router_count
        )
        self.recent_warm_calls, self.recent_calls = (
            DecayingCounter(WARM_FRACTION_WINDOW_MS),
            DecayingCounter(WARM_FRACTION_WINDOW_MS),
        )
        self.baseline_warm_calls, self.baseline_calls = (
            DecayingCounter(BASELINE_FRACTION_WINDOW_MS),
            DecayingCounter(BASELINE_FRACTION_WINDOW_MS),
        )
        self.remembered_warm_fraction: float | None = None  # the usual share of calls that find a copy
        self.pending_loads: dict[
            int, tuple[float, float]
        ] = {}  # function: when it was sent unknowing, its tokens
        self.deferrals: dict[
            int, tuple[float, float]
        ] = {}  # function, or -1 - worker: put off first, and last
        self.is_paced = True
        self.wall_clock: tuple[float, float] | None = None  # Unix ms, and when that was
        self.has_unreported_pause = False  # a pause came since the last turn
        self.malformed_count = self.unknown_sender_count = 0

    # The part.

    def on_message(self, now: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """Take a datagram of a return."""
        self._check_pause(now)
        if (
            not self.can_query_peers
            or sender == self.settings.router_index
            or not 0 <= sender < self.settings.router_count
        ):
            self.unknown_sender_count += 1
            return []
        message = codec.decode(data)
        if isinstance(message, MalformedDatagram):
            self.malformed_count += 1
            return []
        self.fleet_view.heard_from.add(sender)
        if isinstance(message, codec.Query):
            warm = self._measured_baseline_fraction(now) if self.in_service(now) else None
            usual = self.pacer.baseline_per_second
            rates = (
                (usual[PacedAction.LOAD], usual[PacedAction.CONNECT])
                if len(usual) == len(PacedAction)
                else None
            )
            about = codec.Response(0, 0, 1, warm, now - self.restarted_at_ms, (), rates)
            return self.query_server.on_query(now, sender, message, self.warm_state, about)
        if isinstance(message, codec.Busy):
            self.query_client.on_busy(now, sender, message)
        else:
            self.query_client.on_response(now, sender, message, self.warm_state, self._has_older_peers(now))
            self.pacer.record_result(PacedAction.ASK, True)
            if self.query_client.reported_baselines and not self.pacer.baseline_per_second:
                middle = sorted(self.query_client.reported_baselines)[
                    len(self.query_client.reported_baselines) // 2
                ]
                self.pacer.peer_baseline_per_second = dict(
                    zip((PacedAction.LOAD, PacedAction.CONNECT), middle, strict=True)
                )
        return self._query_peers(now)

    def on_tick(self, now: float) -> Sequence[OutboundMessage]:
        """Some times a second: the phases, the ramp, and questions; answers lead to more of these at once."""
        self._check_pause(now)
        words: list[OutboundMessage] = []
        if self.has_unreported_pause:
            self.has_unreported_pause = False
            words.append(LogMessage("return: this process stood still: it comes back as if restarted"))
        self.pacer.on_tick(now)
        self.pacer.is_mass_restart = self.is_mass_restart(now)
        self.warm_state.drop_expired(now)
        if self.in_service(now):
            self.pacer.update_baseline(now)
            if self.baseline_calls.read(now) >= MIN_RECENT_CALLS:
                self.remembered_warm_fraction = self._measured_baseline_fraction(now)
        words += self._query_peers(now)
        while self.state_machine.advance(now, self._evidence(now)):
            if self.state_machine.phase is RecoveryPhase.IN_SERVICE:
                self.pacer.enter_service(now)
            words.append(LogMessage(self._phase_log_line(now)))
        if self.is_paced and self._has_long_deferral(now):
            self.pacer.grow_load_rate(now)
        elif self.in_service(now):
            self.is_paced = False
        return words

    def on_notification(self, now: float, fact: Notification) -> Sequence[OutboundMessage]:
        """What the return rests on: who is there, the list of runners, how calls end, the wall clock."""
        self._check_pause(now)
        if isinstance(fact, AttemptCompleted):
            self._on_attempt_completed(now, fact)
        elif isinstance(fact, EndpointUpdate):
            self.warm_state.on_endpoint_update(now, fact)
            self._update_limits()
        elif isinstance(fact, PeersChanged):
            self.fleet_view.latest_peers, self.fleet_view.latest_peers_at_ms, self.fleet_view.router_count = (
                fact,
                now,
                fact.router_count,
            )
            self.pacer.router_count = 1 + len(fact.alive_peers)
        elif isinstance(fact, WallClockRead):
            self.wall_clock = (fact.unix_ms, now)
        elif isinstance(fact, SettingsChanged):
            self._on_settings_changed(fact.settings)
        return []

    def status(self, now: float) -> Mapping[str, str]:
        """What operators read."""
        usual = self._baseline_warm_fraction()
        return {
            "return_phase": self.state_machine.phase.name.lower(),
            "return_phase_by": self.state_machine.cause.name.lower(),
            "return_phase_ms": f"{now - self.state_machine.entered_at_ms:.0f}",
            "return_bounded": str(int(self.is_paced)),
            "return_mass": str(int(self.is_mass_restart(now))),
            "return_places": str(self.warm_state.observation_count),
            "return_warm": f"{self._recent_warm_fraction(now):.2f}",
            "return_warm_usual": "unknown" if usual is None else f"{usual:.2f}",
            "return_asked": str(self.query_client.sent_count),
            "return_answered": str(self.query_server.answered),
            "return_put_off_peers": str(self.query_server.deferred + self.query_server.dropped),
            "return_put_off_loads": str(self.pacer.deferred[PacedAction.LOAD]),
            "return_put_off_connections": str(self.pacer.deferred[PacedAction.CONNECT]),
            "return_unreadable": str(
                self.malformed_count + self.unknown_sender_count + self.query_client.unexpected_count
            ),
        }

    # What the decisions and the ways ask.

    def in_service(self, now: float) -> bool:
        """Whether the return is over."""
        return self.state_machine.phase is RecoveryPhase.IN_SERVICE

    def is_mass_restart(self, now: float) -> bool:
        """Whether most routers return at once, or may, where that can't be told."""
        if self.can_query_peers and self.fleet_view.latest_peers is not None:
            return self.fleet_view.is_mass_restart(now, self.state_machine.timeouts.total_ms())
        return self.worker_reports.is_mass_restart_possible()

    def warm_instances(self, now: float, function: int) -> dict[int, InstanceLoad]:
        """What stood of a function lately, by worker, in the form of ``Talk.copies``."""
        self._check_pause(now)
        return self.warm_state.warm_instances(now, function)

    def try_acquire_load(self, now: float, function: int, worker: int) -> bool:
        """Whether this router may begin one more load now: a yes takes its token."""
        self._check_pause(now)
        if not self.is_paced:
            return True
        trial = self.pending_loads.get(function)
        if trial is not None and now - trial[0] < PENDING_LOAD_TIMEOUT_LOADS * DEFAULT_LOAD_TIME_MS:
            return False  # its copy will serve all that wait here
        asks = self.can_query_peers and self.state_machine.phase in (
            RecoveryPhase.STARTING,
            RecoveryPhase.ASKING,
        )
        told_soon = (
            asks
            and now - self.state_machine.entered_at_ms
            < LOAD_HOLD_FRACTION * self.state_machine.timeouts.peer_query_ms
        )
        cost = (
            0.0 if told_soon else self.pacer.try_acquire_load(now)
        )  # being told takes less time than a load
        if not self._track_deferral(now, function, cost > 0):
            return False
        self.pending_loads[function] = (now, cost)
        return True

    def try_acquire_connection(self, now: float, worker: int) -> bool:
        """Whether one more connection to this runner may be opened now: a yes takes its token."""
        self._check_pause(now)
        if not self.is_paced:
            self.pacer.record_unpaced(now, PacedAction.CONNECT)
            return True
        if -1 - worker not in self.deferrals:
            self.pacer.record_call(worker)
        return self._track_deferral(now, -1 - worker, self.pacer.try_acquire_connection(now, worker))

    def on_connection_result(self, now: float, succeeded: bool) -> None:
        """How a connection that was begun ended: what goes well lets more begin."""
        self.pacer.record_result(PacedAction.CONNECT, succeeded)

    def try_acquire_discovery_query(self, now: float) -> bool:
        """Whether the resolver may be asked now."""
        if not self.is_paced:
            self.pacer.record_unpaced(now, PacedAction.RESOLVE)
            return True
        return self.pacer.try_acquire(now, PacedAction.RESOLVE)

    def on_discovery_result(self, now: float, succeeded: bool) -> None:
        """How a question to the resolver ended."""
        self.pacer.record_result(PacedAction.RESOLVE, succeeded)

    def on_freeze_ended(self, now: float) -> None:
        """A freeze is over: what it held back is released from the floor on, by all at their own moments."""
        self.pacer.on_freeze_ended(now)

    def try_acquire_release(self, now: float) -> bool:
        """Whether one wish that a freeze held back may be carried out now."""
        yes = self.pacer.try_acquire(now, PacedAction.RELEASE)
        if yes:
            self.pacer.record_result(PacedAction.RELEASE, True)
        return yes

    def retry_after_fractions(self, now: float) -> tuple[float, float]:
        """The parts of the longest wait between which a refused client is told to keep away."""
        returning = not self.in_service(now) and self.is_mass_restart(now)
        return (
            RETRY_AFTER_FRACTIONS[0],
            MASS_RESTART_RETRY_AFTER_FRACTION if returning else RETRY_AFTER_FRACTIONS[1],
        )

    def on_load_report(self, held: float, own: float) -> None:
        """A runner's report: calls that it held, and how many of them were this router's."""
        self.worker_reports.on_load_report(held, own)

    # The store.

    def snapshot(self, now: float) -> bytes | None:
        """What the store is to keep, with ages as of now; None while the wall clock is not known."""
        if self.wall_clock is None:
            return None
        rows = [
            (t.worker_id, t.start_tag, t.function_hash, t.age_ms, t.is_warm, t.hops)
            for t in self.warm_state.digest(now, limit=MAX_STORED_OBSERVATIONS)
        ]
        usual = {kind.name: rate for kind, rate in self.pacer.update_baseline(now).items()}
        return msgspec.msgpack.encode(
            _StoredWarmState(self._unix_ms(now), self._baseline_warm_fraction(), usual, rows)
        )

    def restore(self, now: float, raw: bytes, clock_error_ms: float = MAX_CLOCK_ERROR_MS) -> int:
        """Take what the store kept; the number of places that still count. What can't be dated counts not.

        ``error``: ms by which the wall clocks of the two lives may differ; all ages grow by it."""
        try:
            stored = msgspec.msgpack.decode(raw, type=_StoredWarmState)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            self.malformed_count += 1
            return 0
        rates = {
            PacedAction[k]: r
            for k, r in stored.baseline_per_second.items()
            if k in PacedAction.__members__ and 0 <= r < 1e6
        }
        self.pacer.baseline_per_second = rates | dict(self.pacer.baseline_per_second)
        if stored.warm_fraction is not None and 0.0 <= stored.warm_fraction <= 1.0:
            self.remembered_warm_fraction = stored.warm_fraction
        downtime_ms = self._unix_ms(now) - stored.unix_ms if self.wall_clock is not None else math.nan
        if (
            not -clock_error_ms <= downtime_ms <= self.settings.keep_alive_ms
        ):  # NaN too: no wall clock, no ages
            return 0
        return sum(
            self._restore_observation(now, max(0.0, downtime_ms) + clock_error_ms, row)
            for row in stored.observations[:MAX_STORED_OBSERVATIONS]
        )

    def _restore_observation(
        self, now: float, downtime_ms: float, row: tuple[int, int, int, float, bool, int]
    ) -> bool:
        worker, start, function, age, stands, hops = row
        if not (min(age, hops) >= 0):
            return False
        return self.warm_state.merge_remote(
            now, now, AgedObservation(worker, start, function, age + downtime_ms, stands, hops), Source.STORE
        )

    # What it comes to.

    def _check_pause(self, now: float) -> None:
        """Guards against a process that stood still: all that comes first may be from before."""
        if self.state_machine.detect_pause(now):
            self.has_unreported_pause, self.restarted_at_ms = True, now
            self.warm_state.suspended_until_ms = now + SUSPENSION_AFTER_PAUSE_MS
            self.query_client.restart(now)
            self.pacer.restart(now)
            self.pending_loads.clear()
            self.deferrals.clear()
            self.is_paced = True
            self.recent_warm_calls, self.recent_calls = (
                DecayingCounter(WARM_FRACTION_WINDOW_MS),
                DecayingCounter(WARM_FRACTION_WINDOW_MS),
            )

    def _query_peers(self, now: float) -> list[SendToPeer]:
        """What to ask of peers now."""
        if not self.can_query_peers or self.state_machine.phase is not RecoveryPhase.ASKING:
            return []
        return self.query_client.on_tick(
            now, self.fleet_view.peer_uptimes_ms(now), lambda: self.pacer.try_acquire(now, PacedAction.ASK)
        )

    def _has_older_peers(self, now: float) -> bool:
        """Whether a router is there that was there before this one came back."""
        return any(
            life > now - self.restarted_at_ms + OLDER_PEER_MARGIN_MS
            for life in self.fleet_view.peer_uptimes_ms(now).values()
        )

    def _on_attempt_completed(self, now: float, fact: AttemptCompleted) -> None:
        if now < self.warm_state.suspended_until_ms:
            return  # it may have lain in a buffer for as long as the pause was
        stands = fact.outcome is Outcome.OK
        failed = fact.outcome is Outcome.NOT_LOADED or (
            fact.was_warm is False and fact.outcome is Outcome.ERROR
        )
        if stands or failed:
            self.warm_state.record_local(now, fact.worker_id, fact.function_id, stands, fact.work_ms)
        if (trial := self.pending_loads.pop(fact.function_id, None)) is not None:
            self.pacer.settle_load(now, trial[1], fact.was_warm is True)
            self.pacer.record_result(PacedAction.LOAD, stands)
        self.pacer.record_call(fact.worker_id)
        if fact.was_warm is False and self.in_service(now):
            self.pacer.record_unpaced(now, PacedAction.LOAD)
        if fact.was_warm is not None:
            for total, count in (
                (self.recent_warm_calls, self.recent_calls),
                (self.baseline_warm_calls, self.baseline_calls),
            ):
                total.add(now, float(fact.was_warm))
                count.add(now, 1.0)

    def _track_deferral(self, now: float, what: int, yes: bool) -> bool:
        """Keeps how long a load or a connection has waited for the bounds."""
        if yes:
            self.deferrals.pop(what, None)
        else:
            self.deferrals[what] = (self.deferrals.get(what, (now, now))[0], now)
        return yes

    def _has_long_deferral(self, now: float) -> bool:
        """Whether anything that is still wanted has waited for long; what is wanted no more is dropped."""
        for what in [what for what, (_, last) in self.deferrals.items() if now - last > LONG_DEFERRAL_MS]:
            del self.deferrals[what]
        return any(now - first > LONG_DEFERRAL_MS for first, _ in self.deferrals.values())

    def _evidence(self, now: float) -> RecoveryEvidence:
        return RecoveryEvidence(
            bool(self.warm_state.workers),
            self.can_query_peers,
            self.fleet_view.has_majority(),
            self.query_client.is_complete(),
            self.recent_calls.read(now),
            self._recent_warm_fraction(now),
            self._baseline_warm_fraction(),
            self._has_long_deferral(now),
        )

    def _recent_warm_fraction(self, now: float) -> float:
        return self.recent_warm_calls.read(now) / max(self.recent_calls.read(now), 1e-9)

    def _measured_baseline_fraction(self, now: float) -> float:
        return self.baseline_warm_calls.read(now) / max(self.baseline_calls.read(now), 1e-9)

    def _baseline_warm_fraction(self) -> float | None:
        """The share of calls that find a copy on any day: by peers in service, else from before."""
        told = self.query_client.median_warm_fraction()
        return self.remembered_warm_fraction if told is None else told

    def _unix_ms(self, now: float) -> float:
        at, when = self.wall_clock if self.wall_clock is not None else (math.nan, now)
        return at + now - when

    def _update_limits(self) -> None:
        self.pacer.worker_count = max(1, len(self.warm_state.workers))
        self.pacer.limits = PacingLimits.for_fleet(self.pacer.worker_count, DEFAULT_LOAD_TIME_MS)

    def _on_settings_changed(self, settings: RouterSettings) -> None:
        self.settings, self.warm_state.keep_alive_ms = settings, settings.keep_alive_ms
        self.can_query_peers = settings.limits.allows_gossip and settings.router_count > 1
        self.state_machine.timeouts = PhaseTimeouts.from_settings(settings)
        self.fleet_view.router_count = self.worker_reports.router_count = settings.router_count

    def _phase_log_line(self, now: float) -> str:
        name, by = (
            self.state_machine.phase.name.lower().replace("_", " "),
            self.state_machine.cause.name.lower(),
        )
        return (
            f"return: {name}, by {by}, {now - self.restarted_at_ms:.0f} ms after it came back; "
            f"{self.warm_state.observation_count} places"
            f" known, {self._recent_warm_fraction(now):.2f} of calls found a copy"
        )
