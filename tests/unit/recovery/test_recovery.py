"""Restart recovery of one router: warm state, datagrams, peer query, state machine, pacing and snapshot."""

from __future__ import annotations

import dataclasses
import itertools
import random

import pytest

from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.components.notifications import (
    AttemptCompleted,
    PeersChanged,
    SettingsChanged,
    WallClockRead,
)
from cedarthread.model.actions import LogMessage
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.outcomes import Outcome
from cedarthread.recovery import codec, pacing, peer_query, segment_progress, state_machine
from cedarthread.recovery.component import (
    SUSPENSION_AFTER_PAUSE_MS,
    RecoveryComponent,
)
from cedarthread.recovery.fleet_view import WorkerReportView
from cedarthread.recovery.pacing import Pacer
from cedarthread.recovery.pacing_limits import PacedAction, PacingLimits
from cedarthread.recovery.peer_query import PeerQueryClient, PeerQueryServer
from cedarthread.recovery.retry_after import MASS_RESTART_RETRY_AFTER_FRACTION, RETRY_AFTER_FRACTIONS
from cedarthread.recovery.state_machine import (
    PhaseTimeouts,
    RecoveryEvidence,
    RecoveryPhase,
    RecoveryStateMachine,
    TransitionCause,
)
from cedarthread.recovery.warm_state import AgedObservation, Source, WarmState, start_tag
from tests.helpers import LIMITS, settings, worker

KEEP_ALIVE_MS = 10_000.0
LONG_UPTIME_MS = 90_000.0
FUNCTION = 7


def endpoint_update(
    *endpoints: Endpoint, kind: EndpointUpdateKind = EndpointUpdateKind.CACHED
) -> EndpointUpdate:
    return EndpointUpdate(kind, 1, endpoints)


def endpoint_delta(*endpoints: Endpoint) -> EndpointUpdate:
    return endpoint_update(*endpoints, kind=EndpointUpdateKind.DELTA)


def empty_warm_state(*endpoints: Endpoint) -> WarmState:
    warm_state = WarmState(KEEP_ALIVE_MS)
    listed = endpoints or (worker(1, started=50.0), worker(2))
    warm_state.on_endpoint_update(0.0, endpoint_update(*listed))
    return warm_state


def completed(worker_id: int, function_id: int, was_warm: bool = True) -> AttemptCompleted:
    return AttemptCompleted(worker_id, function_id, None, 50.0, Outcome.OK, was_warm)


def always() -> bool:
    return True


# The warm state.


def test_observations_of_draining_removed_or_restarted_workers_are_not_used() -> None:
    warm_state = empty_warm_state()
    warm_state.record_local(1000.0, 1, FUNCTION, is_warm=True)
    warm_state.record_local(1000.0, 3, FUNCTION, is_warm=True)  # not listed: its start is not known
    found = warm_state.warm_instances(1500.0, FUNCTION)
    assert {worker_id: instance.warm_age_ms for worker_id, instance in found.items()} == {1: 500.0}
    for changed in (
        worker(1, EndpointState.DRAINING, started=50.0),
        worker(1, EndpointState.REMOVED, started=50.0),
        worker(1, started=1400.0),
    ):
        warm_state.on_endpoint_update(1500.0, endpoint_delta(changed))
        assert warm_state.warm_instances(1500.0, FUNCTION) == {}
        warm_state.on_endpoint_update(1500.0, endpoint_delta(worker(1, started=50.0)))
        assert warm_state.warm_instances(1500.0, FUNCTION)
    snapshot = endpoint_update(worker(2), kind=EndpointUpdateKind.SNAPSHOT)
    warm_state.on_endpoint_update(1600.0, snapshot)
    assert warm_state.warm_instances(1600.0, FUNCTION) == {}


def test_observations_older_than_the_keep_alive_are_not_used_and_dropped() -> None:
    warm_state = empty_warm_state()
    warm_state.record_local(0.0, 1, FUNCTION, is_warm=True)
    assert warm_state.warm_instances(KEEP_ALIVE_MS, FUNCTION)
    assert not warm_state.warm_instances(KEEP_ALIVE_MS + 1.0, FUNCTION)
    warm_state.drop_expired(KEEP_ALIVE_MS + 1.0)
    assert warm_state.observation_count == 0
    assert not warm_state.observations


def test_an_attempt_sent_before_the_workers_new_start_was_listed_is_no_observation_of_it() -> None:
    warm_state = empty_warm_state()
    warm_state.on_endpoint_update(1000.0, endpoint_delta(worker(1, started=900.0)))
    warm_state.record_local(1100.0, 1, FUNCTION, is_warm=True, latency_ms=200.0)
    assert not warm_state.warm_instances(1100.0, FUNCTION)
    warm_state.record_local(1100.0, 1, FUNCTION, is_warm=True, latency_ms=50.0)
    assert warm_state.warm_instances(1100.0, FUNCTION)


def test_observations_merge_to_the_freshest_in_any_order_and_number() -> None:
    rng, start = random.Random(3), start_tag(50.0)
    ages = rng.sample(range(9000), 6)
    observations = [AgedObservation(1, start, FUNCTION, float(age), rng.random() < 0.5) for age in ages]
    contrary = dataclasses.replace(observations[2], is_warm=not observations[2].is_warm)
    observations.append(contrary)  # of two at one time the one that found nothing counts
    expected = None
    for _ in range(30):
        warm_state = empty_warm_state()
        for aged in rng.choices(observations, k=4) + rng.sample(observations, len(observations)):
            warm_state.merge_remote(9000.0, 9000.0, aged, Source.PEER)
        expected = expected if expected is not None else warm_state.observations
        assert warm_state.observations == expected
        assert warm_state.observation_count == 1
    freshest = min(observations, key=lambda aged: (aged.age_ms, aged.is_warm))
    assert expected is not None
    assert expected[FUNCTION][1, start].is_warm is freshest.is_warm


def test_forwarding_never_makes_an_observation_younger() -> None:
    """Five routers pass it on, each of which started a moment ago, over links that delay."""
    rng, observed_at_ms = random.Random(5), 1000.0
    warm_state, now_ms = empty_warm_state(), observed_at_ms
    warm_state.record_local(observed_at_ms, 1, FUNCTION, is_warm=True)
    for _ in range(5):
        requested_at_ms = now_ms = now_ms + rng.uniform(0.0, 300.0)
        (aged,) = warm_state.digest(now_ms)
        received = codec.decode(codec.encode(codec.Response(1, 0, 1, None, 0.0, (aged,))))
        assert isinstance(received, codec.Response)
        warm_state, now_ms = empty_warm_state(), now_ms + rng.uniform(0.0, 300.0)
        warm_state.merge_remote(now_ms, requested_at_ms, received.observations[0], Source.PEER)
        (instance,) = warm_state.warm_instances(now_ms, FUNCTION).values()
        true_age_ms = now_ms - observed_at_ms
        assert instance.warm_age_ms is not None
        assert true_age_ms <= instance.warm_age_ms <= true_age_ms + 5 * 350.0
    assert warm_state.digest(now_ms)[0].hops == 5


def test_the_number_of_observations_is_bounded_and_the_oldest_are_evicted() -> None:
    warm_state = WarmState(KEEP_ALIVE_MS, max_observations=100)
    warm_state.on_endpoint_update(0.0, endpoint_update(worker(1)))
    for function_id in range(1000):
        warm_state.record_local(float(function_id), 1, function_id, is_warm=True)
    assert warm_state.observation_count <= 110
    assert warm_state.warm_instances(1000.0, 999)
    assert not warm_state.warm_instances(1000.0, 100)


# Datagrams.


def random_observation(rng: random.Random) -> AgedObservation:
    worker_id, tag, function_hash = rng.randrange(4), rng.getrandbits(32), rng.getrandbits(32)
    return AgedObservation(worker_id, tag, function_hash, rng.random() * 9e4, True, 3)


@pytest.mark.parametrize("seed", range(3))
def test_responses_decode_as_encoded_with_ages_rounded_up_and_no_bytes_raise(seed: int) -> None:
    rng = random.Random(seed)
    for _ in range(200):
        parts = codec.split_into_datagrams([random_observation(rng) for _ in range(rng.randrange(150))])
        assert len(parts) <= codec.MAX_PARTS
        for number, sent in enumerate(parts):
            response = codec.Response(rng.getrandbits(32), number, len(parts), 0.5, 900.0, tuple(sent))
            data = codec.encode(response)
            decoded = codec.decode(data)
            assert isinstance(decoded, codec.Response)
            assert len(data) <= 256
            assert len(decoded.observations) == len(sent)
            for before, after in zip(sent, decoded.observations, strict=True):
                assert before.age_ms <= after.age_ms < before.age_ms + codec.AGE_UNIT_MS
                assert dataclasses.replace(after, age_ms=before.age_ms) == before
            codec.decode(data[: rng.randrange(len(data))])
        codec.decode(bytes((0xC5, rng.randrange(4))) + rng.randbytes(rng.randrange(300)))
    assert codec.decode(codec.encode(codec.Query(5, 1, 4))) == codec.Query(5, 1, 4)
    assert codec.decode(codec.encode(codec.Busy(5, 700.0, None))) == codec.Busy(5, 700.0, None)
    for bad in (b"", b"\xc5", b"\xc5\x01" + b"\0" * 6, b"\xc5\x02" + b"\0" * 9, b"\xc1\x01" + b"\0" * 6):
        assert isinstance(codec.decode(bad), MalformedDatagram)


# The peer query.


def test_a_survivor_that_190_routers_query_at_once_sends_a_bounded_number_of_datagrams() -> None:
    template = codec.Response(0, 0, 1, 0.9, 9e5, (), codec.BaselineRates(0.5, 2.0))
    survivor = PeerQueryServer(0.0)
    warm_state = WarmState(KEEP_ALIVE_MS)
    warm_state.on_endpoint_update(0.0, endpoint_update(*(worker(number) for number in range(60))))
    for function_id in range(600):
        warm_state.record_local(0.0, function_id % 60, function_id, is_warm=True)
    kinds: list[int] = []
    for step in range(190 * 4):
        now_ms = step * 1000.0 / (190 * 4)
        sent = survivor.on_query(now_ms, step % 190, codec.Query(step, 0, 4), warm_state, template)
        kinds += [message.data[1] for message in sent]
    responses, busy_replies = (
        kinds.count(codec.DatagramKind.RESPONSE),
        kinds.count(codec.DatagramKind.BUSY),
    )
    assert responses <= peer_query.RESPONSES_PER_SECOND + peer_query.RESPONSE_BURST
    assert busy_replies <= peer_query.BUSY_REPLIES_PER_SECOND + peer_query.BUSY_REPLY_BURST
    assert survivor.answered_queries >= 5
    assert survivor.dropped_queries > 0


def test_a_busy_peer_names_another_and_is_not_asked_before_its_retry_after() -> None:
    client, uptimes_ms = PeerQueryClient(1, 0.0), {1: LONG_UPTIME_MS, 2: LONG_UPTIME_MS}
    first = client.on_tick(500.0, uptimes_ms, always)
    assert {message.peer_index for message in first} == {1, 2}  # one pending query a peer
    query, busy_peer = codec.decode(first[0].data), first[0].peer_index
    assert isinstance(query, codec.Query)
    assert busy_peer is not None
    client.on_busy(510.0, 3, codec.Busy(query.nonce, 1000.0))
    assert client.unexpected_count == 1  # peer 3 was not asked
    client.on_busy(510.0, busy_peer, codec.Busy(query.nonce, 1000.0, 5))
    assert 5 in client.suggested_peers
    sent = [message for at in range(600, 1000, 50) for message in client.on_tick(at, uptimes_ms, always)]
    assert busy_peer not in [message.peer_index for message in sent]
    assert any(client.on_tick(at, uptimes_ms, always) for at in range(1000, 3000, 50))


def test_the_query_ends_once_responses_bring_little_new_and_prefers_peers_of_long_uptime() -> None:
    client, warm_state, now_ms = PeerQueryClient(2, 0.0), empty_warm_state(), 500.0
    uptimes_ms = {peer: 60_000.0 if peer % 2 else 10.0 for peer in range(1, 41)}
    asked_peers: list[int] = []
    while not client.is_complete() and now_ms < 60_000.0:
        for message in client.on_tick(now_ms, uptimes_ms, always):
            assert message.peer_index is not None
            asked_peers.append(message.peer_index)
            query = codec.decode(message.data)
            assert isinstance(query, codec.Query)
            aged = AgedObservation(1, start_tag(50.0), query.segment, 100.0, True)
            response = codec.Response(query.nonce, 0, 1, 0.9, 6e4, (aged,))
            client.on_response(now_ms, message.peer_index, response, warm_state, has_older_peers=True)
        now_ms += 50.0
    max_queries = segment_progress.MIN_RESPONSES * peer_query.SEGMENT_COUNT + peer_query.MAX_PENDING_QUERIES
    assert len(asked_peers) <= max_queries
    assert client.reports.median_warm_fraction() == 0.9
    assert sum(peer % 2 for peer in asked_peers) >= 6


# The state machine.

ALL_EVIDENCE = RecoveryEvidence(
    has_endpoint_list=True,
    can_query_peers=True,
    has_majority=True,
    is_peer_query_complete=True,
    recent_calls=50.0,
    warm_fraction=0.9,
    baseline_warm_fraction=0.9,
    has_deferred_loads=False,
)
LACKS = [
    (RecoveryPhase.STARTING, dataclasses.replace(ALL_EVIDENCE, has_endpoint_list=False)),
    (RecoveryPhase.STARTING, dataclasses.replace(ALL_EVIDENCE, has_majority=False)),
    (RecoveryPhase.PEER_QUERY, dataclasses.replace(ALL_EVIDENCE, is_peer_query_complete=False)),
    (RecoveryPhase.WARMING, dataclasses.replace(ALL_EVIDENCE, recent_calls=3.0)),
    (RecoveryPhase.WARMING, dataclasses.replace(ALL_EVIDENCE, warm_fraction=0.8)),
    (RecoveryPhase.WARMING, dataclasses.replace(ALL_EVIDENCE, has_deferred_loads=True)),
]


def test_each_phase_ends_by_its_own_evidence_or_at_its_timeout() -> None:
    timeouts = PhaseTimeouts.from_settings(settings())
    for phase, evidence in LACKS:
        machine = RecoveryStateMachine(timeouts, 0.0)
        while machine.advance(1.0, evidence):
            assert machine.cause is TransitionCause.EVIDENCE
        assert machine.phase is phase
        timeout_at_ms = machine.entered_at_ms + timeouts.for_phase(phase)
        assert not machine.advance(timeout_at_ms - 1.0, evidence)
        assert machine.advance(timeout_at_ms, evidence)
        assert machine.cause is TransitionCause.TIMEOUT
    machine = RecoveryStateMachine(timeouts, 0.0)
    while machine.advance(1.0, ALL_EVIDENCE):
        pass
    assert machine.phase is RecoveryPhase.IN_SERVICE
    assert machine.cause is TransitionCause.EVIDENCE


def in_service(now_ms: float = 1000.0, **changes: object) -> RecoveryComponent:
    """A router in service, some 40 s after its start, that knows the function to be warm on worker 1."""
    recovery = RecoveryComponent(settings(router_count=3, **changes), 4, now_ms)
    recovery.on_notification(now_ms, endpoint_update(worker(1, started=50.0), worker(2)))
    recovery.on_notification(now_ms, PeersChanged((1, 2), 3, {1: LONG_UPTIME_MS, 2: LONG_UPTIME_MS}))
    for step in range(400):
        if not step % 2:
            recovery.on_tick(now_ms + step * 100.0)
        recovery.on_notification(now_ms + step * 100.0, completed(1, FUNCTION))
    assert recovery.is_in_service()
    return recovery


def test_a_paused_process_recovers_as_after_a_restart() -> None:
    recovery = in_service()
    before, after = 40_900.0, 40_900.0 + 3000.0
    assert recovery.warm_instances(before, FUNCTION)
    recovery.on_notification(after, completed(1, 8))  # this answer was in a buffer all the while
    assert not recovery.is_in_service()
    assert not recovery.warm_instances(after, FUNCTION)
    assert recovery.admission.is_paced
    lines = [message.message for message in recovery.on_tick(after) if isinstance(message, LogMessage)]
    assert "process_pause_detected" in lines
    machine = recovery.state_machine
    assert machine.cause is TransitionCause.PAUSE or machine.phase is RecoveryPhase.PEER_QUERY
    later = after + SUSPENSION_AFTER_PAUSE_MS
    assert recovery.warm_instances(later, FUNCTION)  # 3 s are within the keep-alive
    assert not recovery.warm_instances(later, 8)
    recovery = in_service()
    assert not recovery.warm_instances(before + 60_000.0, FUNCTION)
    assert not recovery.warm_instances(before + 60_900.0, FUNCTION)


def test_a_mass_restart_is_seen_by_uptimes_and_ends_as_they_grow() -> None:
    recovery = RecoveryComponent(settings(router_count=5), 1, 0.0)
    for alive_for_ms, alive_peers, is_mass_restart in (
        ({1: 9e4, 2: 9e4, 3: 10.0, 4: 9e4}, (1, 2, 3, 4), False),
        ({1: 9e4, 2: 50.0, 3: 10.0, 4: 9e4}, (1, 2, 3, 4), True),
        ({1: 9e4, 2: 9e4}, (1, 2), True),  # the others are not alive
    ):
        recovery.on_notification(0.0, PeersChanged(alive_peers, 5, alive_for_ms))
        assert recovery.is_mass_restart(0.0) is is_mass_restart
        least, most = RETRY_AFTER_FRACTIONS
        most = MASS_RESTART_RETRY_AFTER_FRACTION if is_mass_restart else most
        assert recovery.retry_after_fractions(0.0) == (least, most)
    peers = PeersChanged((1, 2, 3, 4), 5, {1: 9e4, 2: 50.0, 3: 10.0, 4: 9e4})
    recovery.on_notification(0.0, peers)
    assert not recovery.is_mass_restart(recovery.state_machine.timeouts.total_ms())


def test_a_router_without_gossip_goes_by_load_reports_and_sends_no_queries() -> None:
    without_gossip = settings(router_count=5, limits=dataclasses.replace(LIMITS, allows_gossip=False))
    recovery = RecoveryComponent(without_gossip, 1, 0.0)
    assert recovery.is_mass_restart(0.0)
    assert recovery.on_message(0.0, 1, codec.encode(codec.Query(1, 0, 4))) == []
    recovery.on_notification(0.0, endpoint_update(worker(1)))
    assert all(isinstance(message, LogMessage) for message in recovery.on_tick(1.0))
    assert recovery.state_machine.phase is RecoveryPhase.WARMING
    for reported_calls, is_possible in ((10.0, False), (2.5, True)):
        reports = WorkerReportView(5)
        for _ in range(30):
            reports.on_load_report(reported_calls, 2.0)
        assert reports.is_mass_restart_possible() is is_possible


# Pacing.


def test_tokens_come_evenly_over_the_fleet_and_double_with_successes() -> None:
    limits = PacingLimits(loads=1.0, discovery_queries=1.0)
    pacers = [Pacer(router_index, 0.0, limits, 40) for router_index in range(40)]
    action = PacedAction.DISCOVERY_QUERY
    granted_at_once = sum(pacer.try_acquire(0.0, action) for pacer in pacers)
    granted_by_window = []
    for window in range(8):
        granted_by_window.append(0)
        for at in range(0, 250, 10):
            for pacer in pacers:
                if pacer.try_acquire(window * 250.0 + at, action):
                    granted_by_window[-1] += 1
                    pacer.record_result(action, succeeded=True)
                pacer.on_tick(window * 250.0 + at)
    assert granted_at_once == 0
    assert granted_by_window[0] <= 0.5 * 40
    assert max(granted_by_window) <= 1.25 * 40
    assert granted_by_window[-1] >= 0.9 * 40
    for round_number in range(10):
        pacers[0].record_result(action, succeeded=False)
        pacers[0].on_tick(9000.0 + 250.0 * round_number)
    assert pacers[0].ramp_levels[action] == pacing.MIN_RAMP_LEVEL


def test_a_call_that_may_begin_a_load_takes_its_probability_and_gets_the_rest_back() -> None:
    for was_warm in (True, False):
        pacer, granted_by_step = Pacer(0, 0.0, PacingLimits(loads=1.0), 1), []
        for step in range(200):
            taken = [pacer.try_acquire_load(step * 50.0) for _ in range(40)]
            granted_by_step.append(sum(tokens > 0 for tokens in taken))
            for tokens in taken:
                if tokens:
                    pacer.settle_load(step * 50.0 + 40.0, tokens, was_warm=was_warm)
        assert all(after <= 2 * before + 1 for before, after in itertools.pairwise(granted_by_step))
        if was_warm:
            assert sum(granted_by_step[-20:]) >= 190
        else:
            assert sum(granted_by_step) <= 4 * 10 + 1  # all begin loads: the limit


def test_recovering_routers_share_the_connections_to_one_worker() -> None:
    limits = PacingLimits(loads=1.0, connections_per_worker=5.0, connections=50.0)
    for other_workers, max_peak in ((0, 8), (49, 60)):  # all calls go to it, or one in fifty
        pacers = [Pacer(router_index, 0.0, limits, 50) for router_index in range(50)]
        connected_at: list[int] = []
        for at in range(0, 5000, 50):
            for pacer in pacers:
                pacer.worker_count, pacer.ramp_levels = 50, dict.fromkeys(PacedAction, 1.0)
                pacer.record_call(3)
                for other in range(other_workers):
                    pacer.record_call(100 + other)
                has_connected = pacer.connection_turns.has_connected(3)
                if not has_connected and pacer.try_acquire_connection(float(at), 3):
                    connected_at.append(at)
        peak = max(sum(start <= at < start + 250 for at in connected_at) for start in range(0, 5000, 50))
        assert peak <= max_peak
        assert len(connected_at) == 50
        assert other_workers or connected_at[-1] >= 2000


def test_the_baseline_limits_what_a_recovery_takes() -> None:
    pacer = Pacer(1, 0.0, PacingLimits(loads=100.0), 10)
    pacer.enter_service(0.0)
    for at in range(0, 40_000, 500):
        pacer.record_unpaced(float(at), PacedAction.LOAD)
    pacer.update_baseline(40_000.0)
    pacer.restart(40_000.0)
    pacer.ramp_levels[PacedAction.LOAD] = 1.0
    baseline = pacer.baseline.own_per_second[PacedAction.LOAD]
    assert baseline == pytest.approx(2.0, rel=0.15)
    usual, allowed = baseline * 10 / 4, pacer.rate_per_second(PacedAction.LOAD) * 10 / 4
    assert allowed + allowed**0.5 == pytest.approx(1.5 * (usual + 3 * usual**0.5 + 1.0))


def test_loads_wait_for_the_peer_query_then_take_tokens_one_a_function() -> None:
    recovery = RecoveryComponent(settings(router_count=3), 4, 0.0)
    recovery.on_notification(0.0, endpoint_update(worker(1), worker(2)))
    recovery.on_notification(0.0, PeersChanged((1, 2), 3, {1: 9e4, 2: 9e4}))
    recovery.pacer.buckets[PacedAction.LOAD].tokens = 1.0
    assert not recovery.try_acquire_load(10.0, FUNCTION)  # there is a token, but peers may know sooner
    granted_at = []
    for at in range(0, 9000, 50):
        recovery.on_tick(float(at))
        recovery.on_notification(float(at), AttemptCompleted(2, 8, None, 50.0, Outcome.OK, None))
        if recovery.try_acquire_load(float(at), FUNCTION):
            granted_at.append(at)
    assert len(granted_at) in (2, 3)
    assert granted_at[0] >= 250
    assert granted_at[1] - granted_at[0] >= 4000
    recovery.on_notification(9000.0, completed(1, FUNCTION, was_warm=False))
    assert FUNCTION not in recovery.admission.pending_loads
    assert recovery.warm_instances(9000.0, FUNCTION)


def test_changes_deferred_by_a_freeze_are_released_by_each_router_at_a_time_of_its_own() -> None:
    recoveries = [in_service() for _ in range(3)]
    for number, recovery in enumerate(recoveries):
        recovery.pacer.phase_offset = (number + 0.5) / 3
        recovery.admission.on_freeze_ended(41_000.0)
    assert not any(recovery.admission.try_acquire_release(41_000.0) for recovery in recoveries)
    released_at = [
        next(at for at in range(41_000, 99_000, 10) if recovery.admission.try_acquire_release(float(at)))
        for recovery in recoveries
    ]
    assert len(set(released_at)) == 3


# The snapshot in the store.


def test_a_snapshot_comes_back_with_ages_grown_and_only_what_can_be_dated() -> None:
    before = in_service()
    assert before.snapshot(41_000.0) is None  # without a wall clock there are no ages across a restart
    before.on_notification(41_000.0, WallClockRead(5e12))
    raw = before.snapshot(42_000.0)
    assert raw is not None
    for unix_ms, expected_count in ((5e12 + 3000.0, 1), (5e12 + 60_000.0, 0), (5e12 - 9000.0, 0)):
        after = RecoveryComponent(settings(router_count=3), 5, 7.0)
        after.on_notification(7.0, endpoint_update(worker(1, started=50.0), worker(2)))
        assert after.restore(7.0, raw) == 0  # cannot be dated yet
        after.on_notification(7.0, WallClockRead(unix_ms))
        assert after.restore(7.0, raw) == expected_count
        ages = [instance.warm_age_ms for instance in after.warm_instances(7.0, FUNCTION).values()]
        assert len(ages) == expected_count
        assert all(age is not None and age >= 42_000.0 - 40_900.0 + 2500.0 for age in ages)
        assert after.warm_fraction.remembered_baseline == pytest.approx(1.0)
    rng = random.Random(1)
    for _ in range(200):
        corrupted = bytearray(raw)
        corrupted[rng.randrange(len(corrupted))] = rng.randrange(256)
        after.restore(7.0, bytes(corrupted[: rng.randrange(len(corrupted) + 1)]))


def test_new_settings_apply_to_the_warm_state_and_the_peer_query() -> None:
    recovery = in_service()
    changed = settings(router_count=1, keep_alive_ms=50.0)
    recovery.on_notification(41_000.0, SettingsChanged(changed))
    assert not recovery.warm_instances(41_000.0, FUNCTION)
    assert not recovery.peer_exchange.can_query_peers
    assert set(recovery.status(41_000.0)) >= {"return_phase", "return_mass", "return_places"}
    timeouts = PhaseTimeouts.from_settings(settings(keep_alive_ms=1e6))
    assert timeouts.peer_query_ms <= state_machine.MAX_PEER_QUERY_MS
