"""Model checking: every order of a small model's events is played, with the invariant checker on every path.

A state is reached by a path of events, and is built anew by playing that path. Two paths to one state count
once: the search goes on from the first one alone.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.testing.fuzzing.small_models import MODELS, EventChoice, ModelRun, SmallModel
from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop, run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MAX_STATES = 100_000
STATES_PER_REPORT = 500
DRAIN_EVERY = 3  # paths of a multiple of this length are played to the end, and those that end anyway

Path = tuple[EventChoice, ...]


class Counterexample(NamedTuple):
    """A path that broke a rule."""

    violation: str
    path: Path


@dataclass(slots=True)
class Exploration:
    """What exploring one model came to."""

    model: SmallModel
    state_count: int = 0
    path_count: int = 0  # paths that were played to the end
    counterexample: Counterexample | None = None

    def verdict(self) -> str | None:
        """What is wrong; None where nothing is."""
        if self.counterexample is not None:
            violation, path = self.counterexample
            return f"{violation} after {tuple((event.value, subject) for event, subject in path)}"
        if self.model.expected_states and self.state_count != self.model.expected_states:
            return f"{self.state_count} states, where {self.model.expected_states} stood before"
        return None


class PathEnd(NamedTuple):
    """The state at the end of a path."""

    digest: bytes
    choices: list[EventChoice]  # what may happen there
    violation: str | None  # the first on the path


def run_path(model: SmallModel, path: Path, *, runs_to_end: bool = False) -> PathEnd:
    """Play a path; ``runs_to_end``: then let all time pass, and check that nothing remains."""
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
    """Every state that the events of a model can bring about, breadth first, up to a counterexample."""
    exploration, seen, queue = Exploration(model), set[bytes](), deque[Path]([()])
    while queue and exploration.state_count < max_states and exploration.counterexample is None:
        path = queue.popleft()
        digest, choices, violation = run_path(model, path)
        if digest in seen and violation is None:
            continue
        seen.add(digest)
        exploration.state_count += 1
        if violation is None and (not choices or len(path) % DRAIN_EVERY == 0):
            exploration.path_count += 1
            violation = run_path(model, path, runs_to_end=True).violation
        if violation is not None:
            exploration.counterexample = Counterexample(violation, path)
        queue.extend((*path, choice) for choice in choices)
        if exploration.state_count % STATES_PER_REPORT == 0:
            on_progress(exploration.state_count)
    return exploration


def models_named(name: str | None) -> Iterator[SmallModel]:
    """The models of that name, or all."""
    return (model for model in MODELS if name in (None, model.name))
