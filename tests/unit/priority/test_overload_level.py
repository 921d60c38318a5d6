"""Exhaustive test of the level of cluster overload over all sequences of load pressures."""

from __future__ import annotations

from typing import NamedTuple

from cedarthread.priority.contracts import OverloadParameters
from cedarthread.priority.overload_level import LEVEL_MULTIPLES, OverloadStateMachine

PARAMETERS = OverloadParameters(1.0, 0.8, 2.0, 0)
PRESSURES = (None, 0.7, 0.9, 1.1, 1.3, 1.5)
NOW_MS = 11.0
PREVIOUS_MS = 10.0
MAX_AGE_MS = 3.0  # longer than the dwell time, after which the age of a request has no effect


class MachineState(NamedTuple):
    """A state of the state machine, and the last three load pressures that led to the state."""

    level: int
    requested_step: int
    age_ms: float | None
    last_pressures: tuple[float | None, ...]


def _machine_in(state: MachineState) -> OverloadStateMachine:
    machine = OverloadStateMachine()
    machine.level = state.level
    machine.requested_step = state.requested_step
    machine.requested_since_ms = None if state.age_ms is None else PREVIOUS_MS - state.age_ms
    return machine


def _assert_level_may_change(level: int, next_level: int, last_pressures: tuple[float | None, ...]) -> None:
    """Check that a level moves by one, and only if each of the last three pressures requested the move."""
    known_pressures = [-1.0 if pressure is None else pressure for pressure in last_pressures]
    if last_pressures[-1] is None:
        assert next_level == 0
    elif next_level > level:
        assert next_level == level + 1
        assert min(known_pressures) >= LEVEL_MULTIPLES[level]
    elif next_level < level:
        assert next_level == level - 1
        assert max(known_pressures) < LEVEL_MULTIPLES[level - 1] * 0.8


def test_overload_level_moves_one_step_after_a_dwell_and_resets_at_once() -> None:
    seen: set[MachineState] = set()
    pending = [MachineState(0, 0, None, (None,) * 3)]
    while pending:
        state = pending.pop()
        for pressure in PRESSURES:
            machine = _machine_in(state)
            next_level = machine.update(NOW_MS, pressure, PARAMETERS)
            last_pressures = (*state.last_pressures[1:], pressure)
            _assert_level_may_change(state.level, next_level, last_pressures)
            since_ms = machine.requested_since_ms
            next_age_ms = None if since_ms is None else min(MAX_AGE_MS, NOW_MS - since_ms)
            successor = MachineState(next_level, machine.requested_step, next_age_ms, last_pressures)
            if successor not in seen:
                seen.add(successor)
                pending.append(successor)
    assert len(seen) > 300
    assert {state.level for state in seen} == {0, 1, 2, 3}
