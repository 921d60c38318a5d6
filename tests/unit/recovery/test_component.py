"""The recovery component: pauses, mass restarts, operation without gossip, paced actions, settings."""

from __future__ import annotations

import dataclasses

from cedarthread.components.notifications import AttemptCompleted, PeersChanged, SettingsChanged
from cedarthread.model.actions import LogMessage
from cedarthread.model.outcomes import Outcome
from cedarthread.recovery import codec, state_machine
from cedarthread.recovery.component import SUSPENSION_AFTER_PAUSE_MS, RecoveryComponent
from cedarthread.recovery.fleet_view import WorkerReportView
from cedarthread.recovery.pacing_limits import PacedAction
from cedarthread.recovery.retry_after import MASS_RESTART_RETRY_AFTER_FRACTION, RETRY_AFTER_FRACTIONS
from cedarthread.recovery.state_machine import PhaseTimeouts, RecoveryPhase, TransitionCause
from tests.helpers import LIMITS, settings, worker
from tests.unit.recovery.builders import FUNCTION, completed, component_in_service, endpoint_update


def test_a_paused_process_recovers_as_after_a_restart() -> None:
    recovery = component_in_service()
    paused_at_ms = 40_900.0
    resumed_at_ms = paused_at_ms + 3000.0
    assert recovery.warm_instances(paused_at_ms, FUNCTION)
    recovery.on_notification(resumed_at_ms, completed(1, 8))  # was buffered during the pause
    assert not recovery.is_in_service()
    assert not recovery.warm_instances(resumed_at_ms, FUNCTION)
    assert recovery.admission.is_paced
    lines = [
        message.message for message in recovery.on_tick(resumed_at_ms) if isinstance(message, LogMessage)
    ]
    assert "process_pause_detected" in lines
    machine = recovery.state_machine
    assert machine.cause is TransitionCause.PAUSE or machine.phase is RecoveryPhase.PEER_QUERY
    usable_at_ms = resumed_at_ms + SUSPENSION_AFTER_PAUSE_MS
    assert recovery.warm_instances(usable_at_ms, FUNCTION)  # because 3 s are within the keep-alive
    assert not recovery.warm_instances(usable_at_ms, 8)
    recovery = component_in_service()
    assert not recovery.warm_instances(paused_at_ms + 60_000.0, FUNCTION)
    assert not recovery.warm_instances(paused_at_ms + 60_900.0, FUNCTION)


def test_a_mass_restart_is_detected_by_uptimes_and_ends_as_they_grow() -> None:
    recovery = RecoveryComponent(settings(router_count=5), 1, 0.0)
    for alive_for_ms, alive_peers, is_mass_restart in (
        ({1: 9e4, 2: 9e4, 3: 10.0, 4: 9e4}, (1, 2, 3, 4), False),
        ({1: 9e4, 2: 50.0, 3: 10.0, 4: 9e4}, (1, 2, 3, 4), True),
        ({1: 9e4, 2: 9e4}, (1, 2), True),  # two of the four peers are not alive
    ):
        recovery.on_notification(0.0, PeersChanged(alive_peers, 5, alive_for_ms))
        assert recovery.is_mass_restart(0.0) is is_mass_restart
        lower, upper = RETRY_AFTER_FRACTIONS
        upper = MASS_RESTART_RETRY_AFTER_FRACTION if is_mass_restart else upper
        assert recovery.retry_after_fractions(0.0) == (lower, upper)
    peers = PeersChanged((1, 2, 3, 4), 5, {1: 9e4, 2: 50.0, 3: 10.0, 4: 9e4})
    recovery.on_notification(0.0, peers)
    assert not recovery.is_mass_restart(recovery.state_machine.timeouts.total_ms())


def test_a_router_without_gossip_uses_load_reports_and_sends_no_queries() -> None:
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


def test_loads_wait_for_the_peer_query_then_consume_tokens_one_per_function() -> None:
    recovery = RecoveryComponent(settings(router_count=3), 4, 0.0)
    recovery.on_notification(0.0, endpoint_update(worker(1), worker(2)))
    recovery.on_notification(0.0, PeersChanged((1, 2), 3, {1: 9e4, 2: 9e4}))
    recovery.pacer.buckets[PacedAction.LOAD].tokens = 1.0
    assert not recovery.try_acquire_load(10.0, FUNCTION)  # because peers may report an instance sooner
    granted_at_ms = []
    for now_ms in range(0, 9000, 50):
        recovery.on_tick(float(now_ms))
        recovery.on_notification(float(now_ms), AttemptCompleted(2, 8, None, 50.0, Outcome.OK, None))
        if recovery.try_acquire_load(float(now_ms), FUNCTION):
            granted_at_ms.append(now_ms)
    assert len(granted_at_ms) in (2, 3)
    assert granted_at_ms[0] >= 250
    assert granted_at_ms[1] - granted_at_ms[0] >= 4000
    recovery.on_notification(9000.0, completed(1, FUNCTION, was_warm=False))
    assert FUNCTION not in recovery.admission.pending_loads
    assert recovery.warm_instances(9000.0, FUNCTION)


def test_each_router_has_its_own_time_to_release_changes_that_a_change_freeze_deferred() -> None:
    recoveries = [component_in_service() for _ in range(3)]
    for number, recovery in enumerate(recoveries):
        recovery.pacer.phase_offset = (number + 0.5) / 3
        recovery.admission.on_freeze_ended(41_000.0)
    assert not any(recovery.admission.try_acquire_release(41_000.0) for recovery in recoveries)
    released_at_ms = [
        next(
            now_ms
            for now_ms in range(41_000, 99_000, 10)
            if recovery.admission.try_acquire_release(float(now_ms))
        )
        for recovery in recoveries
    ]
    assert len(set(released_at_ms)) == 3


def test_new_settings_apply_to_the_warm_state_and_the_peer_query() -> None:
    recovery = component_in_service()
    changed = settings(router_count=1, instance_keep_alive_ms=50.0)
    recovery.on_notification(41_000.0, SettingsChanged(changed))
    assert not recovery.warm_instances(41_000.0, FUNCTION)
    assert not recovery.peer_exchange.can_query_peers
    assert set(recovery.status(41_000.0)) >= {"return_phase", "return_mass", "return_places"}
    timeouts = PhaseTimeouts.from_settings(settings(instance_keep_alive_ms=1e6))
    assert timeouts.peer_query_ms <= state_machine.MAX_PEER_QUERY_MS
