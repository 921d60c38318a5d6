"""The script language of the call machine: one byte selects a step, and the step reads further bytes.

The corpus depends on the order and the weights of ``STEPS``: changing one entry changes the meaning of every
corpus file.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

WORKER_COUNT = 4
CLIENT_COUNT = 3


class Step(Enum):
    """A step of a script; ``script_steps.step_actions`` maps it to its action."""

    CALL = "call"
    ANSWER = "answer"
    PAUSE = "pause"
    RUN_READY = "run what is ready"
    WORKER_FAULT = "worker fault"
    LIST_CHANGE = "endpoint list change"
    INVOKE_CALLER = "invoke caller"
    BURST = "burst of calls"
    ANSWER_ALL = "answer all"
    INTERRUPT = "interrupt"
    CLIENT_FAULT = "client fault"
    BAD_ANSWER = "bad answer"
    STALL = "stall of the process"
    SHUTDOWN = "shutdown"


_WEIGHTS = {
    Step.CALL: 6,
    Step.ANSWER: 5,
    Step.PAUSE: 4,
    Step.RUN_READY: 3,
    Step.WORKER_FAULT: 3,
    Step.LIST_CHANGE: 2,
    Step.INVOKE_CALLER: 3,
    Step.BURST: 1,
    Step.ANSWER_ALL: 1,
    Step.INTERRUPT: 1,
    Step.CLIENT_FAULT: 1,
    Step.BAD_ANSWER: 1,
    Step.STALL: 1,
    Step.SHUTDOWN: 1,
}
STEPS: tuple[Step, ...] = tuple(step for step, weight in _WEIGHTS.items() for _ in range(weight))

# Number of random bytes that ``generate_script`` appends after a step and its prefix; 1 for a step that is
# not listed. A step that reads more bytes than that also consumes bytes of the steps after it.
_RANDOM_BYTES = {
    Step.CALL: 6,
    Step.ANSWER: 5,
    Step.INVOKE_CALLER: 4,
    Step.LIST_CHANGE: 3,
    Step.SHUTDOWN: 0,
}
_BYTES_PER_BURST_CALL = 3


class ScenarioStep(NamedTuple):
    """A step of a scenario, and the first bytes that the step reads."""

    step: Step
    prefix: bytes = b""


# Cases of the step WORKER_FAULT, as ``worker_steps.WorkerSteps.fault`` numbers them.
_STOP_READING = 3
_READ_MORE = 4


def _worker_fault(worker: int, case: int) -> ScenarioStep:
    return ScenarioStep(Step.WORKER_FAULT, bytes((worker, case)))


# Sets of steps from which the steps of a generated script are chosen: slow workers under bursts; the invoke
# API during a shutdown; endpoint list changes; slow workers with pauses, so that attempts expire unsent.
SCENARIOS: tuple[tuple[ScenarioStep, ...], ...] = (
    (
        *(
            _worker_fault(worker, case)
            for worker in range(WORKER_COUNT)
            for case in (_STOP_READING, _READ_MORE)
        ),
        *(ScenarioStep(Step.BURST),) * 5,
    ),
    (
        ScenarioStep(Step.INVOKE_CALLER),
        ScenarioStep(Step.INVOKE_CALLER),
        ScenarioStep(Step.PAUSE),
        ScenarioStep(Step.ANSWER),
        ScenarioStep(Step.SHUTDOWN),
        ScenarioStep(Step.CALL),
    ),
    (
        ScenarioStep(Step.LIST_CHANGE),
        ScenarioStep(Step.CALL),
        ScenarioStep(Step.ANSWER),
        ScenarioStep(Step.PAUSE),
        ScenarioStep(Step.WORKER_FAULT),
    ),
    (
        *(_worker_fault(worker, _STOP_READING) for worker in range(WORKER_COUNT)),
        *(ScenarioStep(Step.BURST), ScenarioStep(Step.PAUSE)) * 4,
        ScenarioStep(Step.CALL),
    ),
)


def burst_size(first_byte: int) -> int:
    """Return the number of calls in a burst, given the first byte that the step reads."""
    return 2 + first_byte % 12


def generate_script(rng: random.Random) -> bytes:
    """Return a script of random bytes, or of the steps of one scenario, up to some hundred bytes long."""
    if rng.random() < 0.35:
        return rng.randbytes(rng.choice((20, 60, 120)))
    scenario = rng.choice(SCENARIOS)
    script = rng.randbytes(2)
    for _ in range(rng.choice((4, 10, 20))):
        step, prefix = rng.choice(scenario)
        rest = rng.randbytes(_RANDOM_BYTES.get(step, 1))
        if step is Step.BURST:
            rest = rng.randbytes(1)
            rest += rng.randbytes(_BYTES_PER_BURST_CALL * burst_size(rest[0]))
        script += bytes((STEPS.index(step),)) + prefix + rest
    return script
