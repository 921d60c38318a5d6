"""The return of one router: what it believes, its datagrams, phases and bounds."""

from __future__ import annotations

import dataclasses
import itertools
import random

import pytest

from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.components.interface import AttemptCompleted, PeersChanged, SettingsChanged, WallClockRead
from cedarthread.model.actions import LogMessage
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.outcomes import Outcome
from cedarthread.recovery import codec, pacing, peer_query, state_machine
from cedarthread.recovery.component import (
    MASS_RESTART_RETRY_AFTER_FRACTION,
    RETRY_AFTER_FRACTIONS,
    SUSPENSION_AFTER_PAUSE_MS,
    RecoveryComponent,
)
from cedarthread.recovery.fleet_view import WorkerReportView
from cedarthread.recovery.pacing import Pacer
from cedarthread.recovery.pacing_limits import PacedAction, PacingLimits
from cedarthread.recovery.peer_query import PeerQueryClient, PeerQueryServer
from cedarthread.recovery.state_machine import (
    PhaseTimeouts,
    RecoveryEvidence,
    RecoveryPhase,
    RecoveryStateMachine,
    TransitionCause,
)
from cedarthread.recovery.warm_state import AgedObservation, Source, WarmState, start_tag
from tests.helpers import LIMITS, settings, worker

KEEP = 10_000.0


def listing(*workers: Endpoint, kind: EndpointUpdateKind = EndpointUpdateKind.CACHED) -> EndpointUpdate:
    return EndpointUpdate(kind, 1, workers)


def knowledge(*workers: Endpoint) -> WarmState:
    knows = WarmState(KEEP)
    knows.on_endpoint_update(0.0, listing(*(workers or (worker(1, started=50.0), worker(2)))))
    return knows


def served(at: int, function: int, warm: bool = True, outcome: Outcome = Outcome.OK) -> AttemptCompleted:
    return AttemptCompleted(at, function, None, 50.0, outcome, warm)


# Knowledge.


def test_what_the_present_list_drains_lacks_or_started_anew_decides_nothing() -> None:
    knows = knowledge()
    knows.record_local(1000.0, 1, 7, True)
    knows.record_local(1000.0, 3, 7, True)  # not listed: of no known start
    assert {w: c.warm_age_ms for w, c in knows.warm_instances(1500.0, 7).items()} == {1: 500.0}
    for entry in (
        worker(1, EndpointState.DRAINING, started=50.0),
        worker(1, EndpointState.REMOVED, started=50.0),
        worker(1, started=1400.0),
    ):
        knows.on_endpoint_update(1500.0, listing(entry, kind=EndpointUpdateKind.DELTA))
        assert knows.warm_instances(1500.0, 7) == {}
        knows.on_endpoint_update(1500.0, listing(worker(1, started=50.0), kind=EndpointUpdateKind.DELTA))
        assert knows.warm_instances(1500.0, 7)
    knows.on_endpoint_update(1600.0, listing(worker(2), kind=EndpointUpdateKind.SNAPSHOT))
    assert knows.warm_instances(1600.0, 7) == {}


def test_what_is_older_than_the_keep_alive_decides_nothing_and_goes() -> None:
    knows = knowledge()
    knows.record_local(0.0, 1, 7, True)
    assert knows.warm_instances(KEEP, 7) and not knows.warm_instances(KEEP + 1.0, 7)
    knows.drop_expired(KEEP + 1.0)
    assert knows.observation_count == 0 and not knows.observations


def test_an_answer_to_a_call_sent_before_the_new_start_was_listed_tells_of_no_start() -> None:
    knows = knowledge()
    knows.on_endpoint_update(1000.0, listing(worker(1, started=900.0), kind=EndpointUpdateKind.DELTA))
    knows.record_local(1100.0, 1, 7, True, latency_ms=200.0)
    assert not knows.warm_instances(1100.0, 7)
    knows.record_local(1100.0, 1, 7, True, latency_ms=50.0)
    assert knows.warm_instances(1100.0, 7)


def test_observations_join_by_the_freshest_in_any_order_and_number() -> None:
    rng, start = random.Random(3), start_tag(50.0)
    told = [
        AgedObservation(1, start, 7, float(age), rng.random() < 0.5) for age in rng.sample(range(9000), 6)
    ]
    told.append(dataclasses.replace(told[2], is_warm=not told[2].is_warm))  # a tie: nothing there holds
    want = None
    for _ in range(30):
        knows = knowledge()
        for one in rng.choices(told, k=4) + rng.sample(told, len(told)):
            knows.merge_remote(9000.0, 9000.0, one, Source.PEER)
        want = want if want is not None else knows.observations
        assert knows.observations == want and knows.observation_count == 1
    freshest = min(told, key=lambda one: (one.age_ms, one.is_warm))
    assert want is not None and want[7][1, start].is_warm is freshest.is_warm


def test_a_told_age_never_becomes_younger_by_whom_it_comes() -> None:
    """Five routers pass it on, each of which started a moment ago, over ways that delay."""
    rng, seen = random.Random(5), 1000.0
    knows, now = knowledge(), seen
    knows.record_local(seen, 1, 7, True)
    for _ in range(5):
        asked = now = now + rng.uniform(0.0, 300.0)
        (told,) = knows.digest(now)
        sent = codec.decode(codec.encode(codec.Response(1, 0, 1, None, 0.0, (told,))))
        assert isinstance(sent, codec.Response)
        knows, now = knowledge(), now + rng.uniform(0.0, 300.0)
        knows.merge_remote(now, asked, sent.observations[0], Source.PEER)
        (copy,) = knows.warm_instances(now, 7).values()
        assert copy.warm_age_ms is not None and now - seen <= copy.warm_age_ms <= now - seen + 5 * 350.0
    assert knows.digest(now)[0].hops == 5


def test_what_is_kept_is_bounded_and_the_least_recently_observed_goes() -> None:
    knows = WarmState(KEEP, max_observations=100)
    knows.on_endpoint_update(0.0, listing(worker(1)))
    for n in range(1000):
        knows.record_local(float(n), 1, n, True)
    assert (
        knows.observation_count <= 110
        and knows.warm_instances(1000.0, 999)
        and not knows.warm_instances(1000.0, 100)
    )


# Datagrams.


@pytest.mark.parametrize("seed", range(3))
def test_datagrams_read_as_written_ages_rounded_up_and_garbage_is_a_value(seed: int) -> None:
    rng = random.Random(seed)
    for _ in range(200):
        every = [
            AgedObservation(
                rng.randrange(4), rng.getrandbits(32), rng.getrandbits(32), rng.random() * 9e4, True, 3
            )
            for _ in range(rng.randrange(150))
        ]
        lists = codec.split_into_datagrams(every)
        assert len(lists) <= codec.MAX_PARTS
        for part, some in enumerate(lists):
            data = codec.encode(
                codec.Response(rng.getrandbits(32), part, len(lists), 0.5, 900.0, tuple(some))
            )
            read = codec.decode(data)
            assert (
                isinstance(read, codec.Response) and len(data) <= 256 and len(read.observations) == len(some)
            )
            for one, other in zip(some, read.observations, strict=True):
                assert one.age_ms <= other.age_ms < one.age_ms + codec.AGE_UNIT_MS
                assert dataclasses.replace(other, age_ms=one.age_ms) == one
            codec.decode(data[: rng.randrange(len(data))])
        codec.decode(bytes((0xC5, rng.randrange(4))) + rng.randbytes(rng.randrange(300)))
    assert codec.decode(codec.encode(codec.Query(5, 1, 4))) == codec.Query(5, 1, 4)
    assert codec.decode(codec.encode(codec.Busy(5, 700.0, None))) == codec.Busy(5, 700.0, None)
    for bad in (b"", b"\xc5", b"\xc5\x01" + b"\0" * 6, b"\xc5\x02" + b"\0" * 9, b"\xc1\x01" + b"\0" * 6):
        assert isinstance(codec.decode(bad), MalformedDatagram)


# Asking.

ME = codec.Response(0, 0, 1, 0.9, 9e5, (), (0.5, 2.0))


def test_of_190_that_ask_at_once_a_survivor_answers_a_bounded_number() -> None:
    survivor, answers, now = PeerQueryServer(0.0), 0, 0.0
    knows = WarmState(KEEP)
    knows.on_endpoint_update(0.0, listing(*(worker(n) for n in range(60))))
    for n in range(600):
        knows.record_local(0.0, n % 60, n, True)
    kinds: list[int] = []
    for step in range(190 * 4):
        now = step * 1000.0 / (190 * 4)
        kinds += [
            tell.data[1] for tell in survivor.on_query(now, step % 190, codec.Query(step, 0, 4), knows, ME)
        ]
    answers = kinds.count(codec.DatagramKind.RESPONSE)
    assert answers <= peer_query.RESPONSES_PER_SECOND + peer_query.RESPONSE_BURST and survivor.answered >= 5
    assert (
        kinds.count(codec.DatagramKind.BUSY)
        <= peer_query.BUSY_REPLIES_PER_SECOND + peer_query.BUSY_REPLY_BURST
        and survivor.dropped > 0
    )


def test_one_that_is_busy_names_another_and_is_left_alone_for_its_time() -> None:
    asker, lives = PeerQueryClient(1, 0.0), {1: 90_000.0, 2: 90_000.0}
    first = asker.on_tick(500.0, lives, lambda: True)
    assert {tell.peer_index for tell in first} == {1, 2}  # few at once: one question a peer
    message = codec.decode(first[0].data)
    assert isinstance(message, codec.Query) and first[0].peer_index is not None
    asker.on_busy(510.0, 3, codec.Busy(message.nonce, 1000.0))
    assert asker.unexpected_count == 1  # it was not asked
    asker.on_busy(510.0, first[0].peer_index, codec.Busy(message.nonce, 1000.0, 5))
    assert 5 in asker.suggested_peers
    asked = [
        tell.peer_index
        for at in range(600, 1000, 50)
        for tell in asker.on_tick(float(at), lives, lambda: True)
    ]
    assert first[0].peer_index not in asked
    assert any(asker.on_tick(float(at), lives, lambda: True) for at in range(1000, 3000, 50))


def test_the_asker_stops_once_answers_bring_little_and_prefers_those_of_long_life() -> None:
    asker, knows, now = PeerQueryClient(2, 0.0), knowledge(), 500.0
    lives = {n: 60_000.0 if n % 2 else 10.0 for n in range(1, 41)}
    asked: list[int] = []
    while not asker.is_complete() and now < 60_000.0:
        for tell in asker.on_tick(now, lives, lambda: True):
            assert tell.peer_index is not None
            asked.append(tell.peer_index)
            ask = codec.decode(tell.data)
            assert isinstance(ask, codec.Query)
            place = AgedObservation(1, start_tag(50.0), ask.segment, 100.0, True)
            asker.on_response(
                now, tell.peer_index, codec.Response(ask.nonce, 0, 1, 0.9, 6e4, (place,)), knows, True
            )
        now += 50.0
    assert (
        len(asked) <= peer_query.MIN_RESPONSES * peer_query.SEGMENT_COUNT + peer_query.MAX_PENDING_QUERIES
        and asker.median_warm_fraction() == 0.9
    )
    assert sum(n % 2 for n in asked) >= 6


# Phases.

ALL = RecoveryEvidence(True, True, True, True, 50.0, 0.9, 0.9, False)
SERVICE = RecoveryPhase.IN_SERVICE


def test_each_phase_ends_by_its_own_evidence_else_at_its_longest_time() -> None:
    longest = PhaseTimeouts.from_settings(settings())
    lacks: list[tuple[RecoveryPhase, dict[str, object]]] = [
        (RecoveryPhase.STARTING, {"has_endpoint_list": False}),
        (RecoveryPhase.STARTING, {"has_majority": False}),
        (RecoveryPhase.PEER_QUERY, {"is_peer_query_complete": False}),
        (RecoveryPhase.WARMING, {"recent_calls": 3.0}),
        (RecoveryPhase.WARMING, {"warm_fraction": 0.8}),
        (RecoveryPhase.WARMING, {"has_deferred_loads": True}),
    ]
    for phase, lack in lacks:
        machine = RecoveryStateMachine(longest, 0.0)
        while machine.advance(1.0, dataclasses.replace(ALL, **lack)):  # type: ignore[arg-type]
            assert machine.cause is TransitionCause.EVIDENCE
        assert machine.phase is phase
        over = machine.entered_at_ms + longest.for_phase(phase)
        assert not machine.advance(over - 1.0, dataclasses.replace(ALL, **lack))  # type: ignore[arg-type]
        assert machine.advance(over, dataclasses.replace(ALL, **lack))  # type: ignore[arg-type]
        assert machine.cause is TransitionCause.TIMEOUT
    machine = RecoveryStateMachine(longest, 0.0)
    while machine.advance(1.0, ALL):
        pass
    assert machine.phase is SERVICE and machine.cause is TransitionCause.EVIDENCE


def returned(now: float = 1000.0, **changes: object) -> RecoveryComponent:
    """A router in service that knows function 7 at worker 1."""
    one = RecoveryComponent(settings(router_count=3, **changes), 4, now)
    one.on_notification(now, listing(worker(1, started=50.0), worker(2)))
    one.on_notification(now, PeersChanged((1, 2), 3, {1: 90_000.0, 2: 90_000.0}))
    for step in range(400):
        if not step % 2:
            one.on_tick(now + step * 100.0)
        one.on_notification(now + step * 100.0, served(1, 7))
    assert one.in_service(now + 40_000.0)
    return one


def test_a_router_that_stood_still_comes_back_as_if_restarted() -> None:
    one = returned()
    before, after = 40_900.0, 40_900.0 + 3000.0
    assert one.warm_instances(before, 7)
    one.on_notification(after, served(1, 8))  # its answer lay in a buffer all that while
    assert not one.in_service(after) and not one.warm_instances(after, 7) and one.admission.is_paced
    assert any("stood still" in word.message for word in one.on_tick(after) if isinstance(word, LogMessage))
    machine = one.state_machine
    assert machine.cause is TransitionCause.PAUSE or machine.phase is RecoveryPhase.PEER_QUERY
    later = after + SUSPENSION_AFTER_PAUSE_MS
    assert one.warm_instances(later, 7) and not one.warm_instances(later, 8)  # 3 s are within the keep-alive
    one = returned()
    assert not one.warm_instances(before + 60_000.0, 7) and not one.warm_instances(before + 60_900.0, 7)


def test_a_return_of_most_is_told_by_ages_and_ends_as_they_grow() -> None:
    one = RecoveryComponent(settings(router_count=5), 1, 0.0)
    for since, others, want in (
        ({1: 9e4, 2: 9e4, 3: 10.0, 4: 9e4}, (1, 2, 3, 4), False),
        ({1: 9e4, 2: 50.0, 3: 10.0, 4: 9e4}, (1, 2, 3, 4), True),
        ({1: 9e4, 2: 9e4}, (1, 2), True),  # the others are not there
    ):
        one.on_notification(0.0, PeersChanged(others, 5, since))
        assert one.is_mass_restart(0.0) is want
        assert one.retry_after_fractions(0.0) == (
            RETRY_AFTER_FRACTIONS[0],
            MASS_RESTART_RETRY_AFTER_FRACTION if want else RETRY_AFTER_FRACTIONS[1],
        )
    one.on_notification(0.0, PeersChanged((1, 2, 3, 4), 5, {1: 9e4, 2: 50.0, 3: 10.0, 4: 9e4}))
    assert not one.is_mass_restart(one.state_machine.timeouts.total_ms())


def test_a_router_that_may_not_talk_tells_by_reports_and_never_asks() -> None:
    quiet = settings(router_count=5, limits=dataclasses.replace(LIMITS, allows_gossip=False))
    one = RecoveryComponent(quiet, 1, 0.0)
    assert one.is_mass_restart(0.0) and one.on_message(0.0, 1, codec.encode(codec.Query(1, 0, 4))) == []
    one.on_notification(0.0, listing(worker(1)))
    assert (
        all(isinstance(word, LogMessage) for word in one.on_tick(1.0))
        and one.state_machine.phase is RecoveryPhase.WARMING
    )
    for held, want in ((10.0, False), (2.5, True)):
        alone = WorkerReportView(5)
        for _ in range(30):
            alone.on_load_report(held, 2.0)
        assert alone.is_mass_restart_possible() is want


# Bounds.


def test_tokens_come_evenly_from_a_random_place_and_double_by_what_went_well() -> None:
    many = [Pacer(n, 0.0, PacingLimits(loads=1.0, discovery_queries=1.0), 40) for n in range(40)]
    first = sum(one.try_acquire(0.0, PacedAction.DISCOVERY_QUERY) for one in many)
    counts = []
    for window in range(8):
        counts.append(0)
        for at in range(0, 250, 10):
            for one in many:
                if one.try_acquire(window * 250.0 + at, PacedAction.DISCOVERY_QUERY):
                    counts[-1] += 1
                    one.record_result(PacedAction.DISCOVERY_QUERY, True)
                one.on_tick(window * 250.0 + at)
    assert first == 0 and counts[0] <= 0.5 * 40 and max(counts) <= 1.25 * 40 and counts[-1] >= 0.9 * 40
    for n in range(10):
        many[0].record_result(PacedAction.DISCOVERY_QUERY, False)
        many[0].on_tick(9000.0 + 250.0 * n)
    assert many[0].ramp_levels[PacedAction.DISCOVERY_QUERY] == pacing.MIN_RAMP_LEVEL


def test_a_call_to_an_unknown_place_takes_the_chance_of_a_load_and_gets_the_rest_back() -> None:
    for found in (True, False):
        one, out = Pacer(0, 0.0, PacingLimits(loads=1.0), 1), []
        for step in range(200):
            costs = [one.try_acquire_load(step * 50.0) for _ in range(40)]
            out.append(sum(cost > 0 for cost in costs))
            for cost in costs:
                if cost:
                    one.settle_load(step * 50.0 + 40.0, cost, found)
        assert all(b <= 2 * a + 1 for a, b in itertools.pairwise(out))
        assert sum(out[-20:]) >= 190 if found else sum(out) <= 4 * 10 + 1  # where all load: the bound


def test_connections_at_one_runner_are_shared_by_all_that_return() -> None:
    for others, most in ((0, 8), (49, 60)):  # all calls are for it, or one in fifty
        many = [
            Pacer(n, 0.0, PacingLimits(loads=1.0, connections_per_worker=5.0, connections=50.0), 50)
            for n in range(50)
        ]
        times: list[int] = []
        for at in range(0, 5000, 50):
            for one in many:
                one.worker_count, one.ramp_levels = 50, dict.fromkeys(PacedAction, 1.0)
                one.record_call(3)
                for other in range(others):
                    one.record_call(100 + other)
                if not one.connection_turns.has_connected(3) and one.try_acquire_connection(float(at), 3):
                    times.append(at)
        peak = max(sum(start <= at < start + 250 for at in times) for start in range(0, 5000, 50))
        assert peak <= most and len(times) == 50 and (others or times[-1] >= 2000)


def test_the_usual_rate_bounds_what_a_return_takes() -> None:
    one = Pacer(1, 0.0, PacingLimits(loads=100.0), 10)
    one.enter_service(0.0)
    for at in range(0, 40_000, 500):
        one.record_unpaced(float(at), PacedAction.LOAD)
    one.update_baseline(40_000.0)
    one.restart(40_000.0)
    one.ramp_levels[PacedAction.LOAD] = 1.0
    assert one.baseline.own_per_second[PacedAction.LOAD] == pytest.approx(2.0, rel=0.15)
    mean, most = (
        one.baseline.own_per_second[PacedAction.LOAD] * 10 / 4,
        one.rate_per_second(PacedAction.LOAD) * 10 / 4,
    )
    assert most + most**0.5 == pytest.approx(1.5 * (mean + 3 * mean**0.5 + 1.0))


def test_loads_wait_to_be_told_then_take_tokens_one_a_function() -> None:
    one = RecoveryComponent(settings(router_count=3), 4, 0.0)
    one.on_notification(0.0, listing(worker(1), worker(2)))
    one.on_notification(0.0, PeersChanged((1, 2), 3, {1: 9e4, 2: 9e4}))
    one.pacer.buckets[PacedAction.LOAD].tokens = 1.0
    assert not one.try_acquire_load(10.0, 7, 1)  # a token is there, but peers may tell sooner
    times = []
    for at in range(0, 9000, 50):
        one.on_tick(float(at))
        one.on_notification(float(at), AttemptCompleted(2, 8, None, 50.0, Outcome.OK, None))
        if one.try_acquire_load(float(at), 7, 1):
            times.append(at)
    assert len(times) in (2, 3) and times[0] >= 250 and times[1] - times[0] >= 4000
    one.on_notification(9000.0, served(1, 7, warm=False))
    assert 7 not in one.admission.pending_loads and one.warm_instances(9000.0, 7)


def test_what_a_freeze_held_back_is_released_at_each_routers_own_moments() -> None:
    many = [returned() for _ in range(3)]
    for n, one in enumerate(many):
        one.pacer.phase_offset = (n + 0.5) / 3
        one.admission.on_freeze_ended(41_000.0)
    assert not any(one.admission.try_acquire_release(41_000.0) for one in many)
    ends = [
        next(at for at in range(41_000, 99_000, 10) if one.admission.try_acquire_release(float(at)))
        for one in many
    ]
    assert len(set(ends)) == 3


# The store.


def test_what_was_stored_comes_back_with_its_age_grown_and_nothing_that_cannot_be_dated() -> None:
    one = returned()
    assert one.snapshot(41_000.0) is None  # no wall clock: no ages across lives
    one.on_notification(41_000.0, WallClockRead(5e12))
    raw = one.snapshot(42_000.0)
    assert raw is not None
    for wall, want in ((5e12 + 3000.0, 1), (5e12 + 60_000.0, 0), (5e12 - 9000.0, 0)):
        two = RecoveryComponent(settings(router_count=3), 5, 7.0)
        two.on_notification(7.0, listing(worker(1, started=50.0), worker(2)))
        assert two.restore(7.0, raw) == 0  # not dated
        two.on_notification(7.0, WallClockRead(wall))
        assert two.restore(7.0, raw) == want
        ages = [copy.warm_age_ms for copy in two.warm_instances(7.0, 7).values()]
        assert len(ages) == want and all(
            age is not None and age >= 42_000.0 - 40_900.0 + 2500.0 for age in ages
        )
        assert two.warm_fraction.remembered_baseline == pytest.approx(1.0)
    rng = random.Random(1)
    for _ in range(200):
        bad = bytearray(raw)
        bad[rng.randrange(len(bad))] = rng.randrange(256)
        two.restore(7.0, bytes(bad[: rng.randrange(len(bad) + 1)]))


def test_new_settings_bound_what_is_believed_and_who_is_asked() -> None:
    one = returned()
    one.on_notification(41_000.0, SettingsChanged(settings(router_count=1, keep_alive_ms=50.0)))
    assert not one.warm_instances(41_000.0, 7) and not one.can_query_peers
    assert set(one.status(41_000.0)) >= {"return_phase", "return_mass", "return_places"}
    assert (
        state_machine.PhaseTimeouts.from_settings(settings(keep_alive_ms=1e6)).peer_query_ms
        <= state_machine.MAX_PEER_QUERY_MS
    )
