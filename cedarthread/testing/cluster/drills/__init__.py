"""The drills, one a module: which runs, and what must hold in each."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from importlib import import_module
from typing import Protocol, cast

from cedarthread.testing.cluster.evaluation import Result
from cedarthread.testing.cluster.scenario import Scenario

SCENARIO_MODULES = {
    "freeze": "cedarthread.testing.cluster.drills.change_freeze",
    "spread": "cedarthread.testing.cluster.drills.load_spread",
    "return": "cedarthread.testing.cluster.drills.mass_restart",
}


class ScenarioSet(Protocol):
    """What the module of a drill has."""

    HEAD: str  # of its table, and the rule below it
    RULE: str

    def quick(self, seed: int, routers: int) -> Iterable[Scenario]:
        """Short runs with several faults at once, for CI."""

    def full(self, seed: int, routers: int) -> Iterable[Scenario]:
        """Whole fleets, each hard case by itself."""

    def failings(self, result: Result, earlier: Sequence[Result] = ()) -> list[str]:
        """What a run shows that must not be, also beside those that the drill played before it."""

    def row(self, result: Result) -> str:
        """A run as a line of the table."""


def load_scenario_set(name: str) -> ScenarioSet:
    """A drill by its name; ValueError where there is none."""
    if name not in SCENARIO_MODULES:
        raise ValueError(f"{name}: no such drill; there are {', '.join(SCENARIO_MODULES)}")
    return cast(ScenarioSet, import_module(SCENARIO_MODULES[name]))
