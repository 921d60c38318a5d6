"""The warm state: usability, merge, aging, expiry and eviction of observations."""

from __future__ import annotations

import dataclasses
import random

from cedarthread.model.endpoints import EndpointState, EndpointUpdateKind
from cedarthread.recovery import codec
from cedarthread.recovery.warm_state import (
    AgedObservation,
    Observation,
    ObservationSource,
    WarmState,
    start_tag,
)
from tests.helpers import worker
from tests.unit.recovery.builders import (
    FUNCTION,
    KEEP_ALIVE_MS,
    empty_warm_state,
    endpoint_delta,
    endpoint_update,
)


def test_observations_of_draining_removed_or_restarted_workers_are_not_used() -> None:
    warm_state = empty_warm_state()
    warm_state.record_local(1000.0, 1, FUNCTION, is_warm=True)
    warm_state.record_local(1000.0, 3, FUNCTION, is_warm=True)  # ignored, because worker 3 is not listed
    found = warm_state.warm_instances(1500.0, FUNCTION)
    assert {worker_id: instance.warm_age_ms for worker_id, instance in found.items()} == {1: 500.0}
    for changed in (
        worker(1, EndpointState.DRAINING, started_at_ms=50.0),
        worker(1, EndpointState.REMOVED, started_at_ms=50.0),
        worker(1, started_at_ms=1400.0),
    ):
        warm_state.on_endpoint_update(1500.0, endpoint_delta(changed))
        assert warm_state.warm_instances(1500.0, FUNCTION) == {}
        warm_state.on_endpoint_update(1500.0, endpoint_delta(worker(1, started_at_ms=50.0)))
        assert warm_state.warm_instances(1500.0, FUNCTION)
    snapshot_without_worker = endpoint_update(worker(2), kind=EndpointUpdateKind.SNAPSHOT)
    warm_state.on_endpoint_update(1600.0, snapshot_without_worker)
    assert warm_state.warm_instances(1600.0, FUNCTION) == {}


def test_observations_older_than_the_keep_alive_are_not_used_and_are_dropped() -> None:
    warm_state = empty_warm_state()
    warm_state.record_local(0.0, 1, FUNCTION, is_warm=True)
    assert warm_state.warm_instances(KEEP_ALIVE_MS, FUNCTION)
    assert not warm_state.warm_instances(KEEP_ALIVE_MS + 1.0, FUNCTION)
    warm_state.drop_expired(KEEP_ALIVE_MS + 1.0)
    assert warm_state.observation_count == 0
    assert not warm_state.observations


def test_an_attempt_sent_before_the_workers_restart_was_listed_is_ignored() -> None:
    warm_state = empty_warm_state()
    warm_state.on_endpoint_update(1000.0, endpoint_delta(worker(1, started_at_ms=900.0)))
    warm_state.record_local(1100.0, 1, FUNCTION, is_warm=True, latency_ms=200.0)
    assert not warm_state.warm_instances(1100.0, FUNCTION)
    warm_state.record_local(1100.0, 1, FUNCTION, is_warm=True, latency_ms=50.0)
    assert warm_state.warm_instances(1100.0, FUNCTION)


def test_observations_merge_to_the_latest_in_any_order_and_number() -> None:
    rng = random.Random(3)
    tag = start_tag(50.0)
    ages = rng.sample(range(9000), 6)
    observations = [AgedObservation(1, tag, FUNCTION, float(age), rng.random() < 0.5) for age in ages]
    # Of two observations at the same time, the cold one wins.
    contrary = dataclasses.replace(observations[2], is_warm=not observations[2].is_warm)
    observations.append(contrary)
    expected: dict[int, dict[tuple[int, int], Observation]] | None = None
    for _ in range(30):
        warm_state = empty_warm_state()
        for aged in rng.choices(observations, k=4) + rng.sample(observations, len(observations)):
            warm_state.merge_remote(9000.0, 9000.0, aged, ObservationSource.PEER)
        expected = expected if expected is not None else warm_state.observations
        assert warm_state.observations == expected
        assert warm_state.observation_count == 1
    latest = min(observations, key=lambda aged: (aged.age_ms, aged.is_warm))
    assert expected is not None
    assert expected[FUNCTION][1, tag].is_warm is latest.is_warm


def test_forwarding_never_makes_an_observation_younger() -> None:
    """Five routers, each just started, forward the observation over links with delays.

    An age that does not include the delays would be too low.
    """
    rng = random.Random(5)
    observed_at_ms = 1000.0
    now_ms = observed_at_ms
    warm_state = empty_warm_state()
    warm_state.record_local(observed_at_ms, 1, FUNCTION, is_warm=True)
    for _ in range(5):
        now_ms += rng.uniform(0.0, 300.0)
        requested_at_ms = now_ms
        (aged,) = warm_state.latest_observations(now_ms)
        received = codec.decode(codec.encode(codec.Response(1, 0, 1, None, 0.0, (aged,))))
        assert isinstance(received, codec.Response)
        warm_state = empty_warm_state()
        now_ms += rng.uniform(0.0, 300.0)
        warm_state.merge_remote(now_ms, requested_at_ms, received.observations[0], ObservationSource.PEER)
        (instance,) = warm_state.warm_instances(now_ms, FUNCTION).values()
        true_age_ms = now_ms - observed_at_ms
        assert instance.warm_age_ms is not None
        assert true_age_ms <= instance.warm_age_ms <= true_age_ms + 5 * 350.0
    assert warm_state.latest_observations(now_ms)[0].hops == 5


def test_the_number_of_observations_is_bounded_and_the_oldest_are_evicted() -> None:
    warm_state = WarmState(KEEP_ALIVE_MS, max_observations=100)
    warm_state.on_endpoint_update(0.0, endpoint_update(worker(1)))
    for function_id in range(1000):
        warm_state.record_local(float(function_id), 1, function_id, is_warm=True)
    assert warm_state.observation_count <= 110
    assert warm_state.warm_instances(1000.0, 999)
    assert not warm_state.warm_instances(1000.0, 100)
