"""The phases of the recovery and the conditions that end them."""

from __future__ import annotations

import dataclasses

from cedarthread.recovery.state_machine import (
    PhaseTimeouts,
    RecoveryEvidence,
    RecoveryPhase,
    RecoveryStateMachine,
    TransitionCause,
)
from tests.helpers import settings

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
# Pairs of a phase and evidence that ends all earlier phases, but not this phase.
INCOMPLETE_EVIDENCE = [
    (RecoveryPhase.STARTING, dataclasses.replace(ALL_EVIDENCE, has_endpoint_list=False)),
    (RecoveryPhase.STARTING, dataclasses.replace(ALL_EVIDENCE, has_majority=False)),
    (RecoveryPhase.PEER_QUERY, dataclasses.replace(ALL_EVIDENCE, is_peer_query_complete=False)),
    (RecoveryPhase.WARMING, dataclasses.replace(ALL_EVIDENCE, recent_calls=3.0)),
    (RecoveryPhase.WARMING, dataclasses.replace(ALL_EVIDENCE, warm_fraction=0.8)),
    (RecoveryPhase.WARMING, dataclasses.replace(ALL_EVIDENCE, has_deferred_loads=True)),
]


def test_each_phase_ends_by_its_own_evidence_or_at_its_timeout() -> None:
    timeouts = PhaseTimeouts.from_settings(settings())
    for phase, evidence in INCOMPLETE_EVIDENCE:
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
