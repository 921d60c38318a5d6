"""Model checking: runs every order of the events of a small model under the invariant checker.

A path is a sequence of events. The search reconstructs a state by running its path from the start. If two
paths lead to the same state, the search continues from the first one only.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.testing.fuzzing.model_run import ModelRun
from cedarthread.testing.fuzzing.small_models import MODELS, EventChoice, SmallModel
from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop, run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MAX_STATES = 100_000
STATES_PER_REPORT = 500
# Paths whose length is a multiple of this run to the end, as do paths after which no event is possible.
RUN_TO_END_INTERVAL = 3

Path = tuple[EventChoice, ...]


class Counterexample(NamedTuple):
    """A path on which an invariant was violated."""

    violation: str
    path: Path


@dataclass(slots=True)
class Exploration:
    """The result of exploring one model."""

    model: SmallModel
    state_count: int = 0
    path_count: int = 0  # number of paths that were run to the end
    counterexample: Counterexample | None = None

    def verdict(self) -> str | None:
        """Return the violation or the unexpected number of states, or None if the model is correct."""
        if self.counterexample is not None:
            violation, path = self.counterexample
            return f"{violation} after {tuple((event.value, subject) for event, subject in path)}"
        if self.model.expected_states and self.state_count != self.model.expected_states:
            return f"{self.state_count} states, expected {self.model.expected_states}"
        return None


class PathEnd(NamedTuple):
    """The state at the end of a path."""

    digest: bytes
    choices: list[EventChoice]  # events that are possible in the state at the end
    violation: str | None  # first violation on the path; None if there is none


def run_path(model: SmallModel, path: Path, *, runs_to_end: bool = False) -> PathEnd:
    """Run a path of events from the start of a model.

    Args:
        model: The model.
        path: The events in their order.
        runs_to_end: Whether to let all deadlines pass after the path, and to check that no resource leaks.
    """
    runs: list[ModelRun] = []

    async def work(loop: VirtualLoop) -> None:
        runs.append(ModelRun(model, loop))
        for choice in path:
            await runs[0].apply(choice)
        if runs_to_end:
            await runs[0].run_to_end()

    loop = run_virtual(work)
    run = runs[0]
    violations = [*map(str, run.checker.violations), *loop.failures]
    return PathEnd(run.digest(), run.enabled_choices(), violations[0] if violations else None)


def explore(
    model: SmallModel,
    max_states: int = MAX_STATES,
    on_progress: Callable[[int], None] = lambda state_count: None,
) -> Exploration:
    """Visit every reachable state of a model, breadth first, until the first counterexample.

    Args:
        model: The model.
        max_states: The number of states after which the search ends.
        on_progress: Receives the number of visited states after every ``STATES_PER_REPORT`` states.
    """
    exploration = Exploration(model)
    seen = set[bytes]()
    queue = deque[Path]([()])
    while queue and exploration.state_count < max_states and exploration.counterexample is None:
        path = queue.popleft()
        digest, choices, violation = run_path(model, path)
        if digest in seen and violation is None:
            continue
        seen.add(digest)
        exploration.state_count += 1
        if violation is None and (not choices or len(path) % RUN_TO_END_INTERVAL == 0):
            exploration.path_count += 1
            violation = run_path(model, path, runs_to_end=True).violation
        if violation is not None:
            exploration.counterexample = Counterexample(violation, path)
        queue.extend((*path, choice) for choice in choices)
        if exploration.state_count % STATES_PER_REPORT == 0:
            on_progress(exploration.state_count)
    return exploration


def models_named(name: str | None) -> Iterator[SmallModel]:
    """Return the model with this name, or all models if the name is None."""
    return (model for model in MODELS if name in (None, model.name))
