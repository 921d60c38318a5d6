"""Sets of scenarios, one a module: which runs, and what must hold in each. ``cedarthread drill`` runs one."""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Protocol, cast

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from cedarthread.testing.cluster.result import Result
    from cedarthread.testing.cluster.scenario import Scenario

SCENARIO_MODULES = {  # by the name on the command line
    "faults": "cedarthread.testing.cluster.scenarios.faults",
    "freeze": "cedarthread.testing.cluster.scenarios.change_freeze",
    "spread": "cedarthread.testing.cluster.scenarios.load_spread",
    "return": "cedarthread.testing.cluster.scenarios.mass_restart",
}


class ScenarioSet(Protocol):
    """What the module of a set has."""

    HEAD: str  # of its Markdown table
    RULE: str  # below the head

    def quick(self, seed: int, routers: int) -> Iterable[Scenario]:
        """Short runs with several faults at once, for CI."""

    def full(self, seed: int, routers: int) -> Iterable[Scenario]:
        """Whole fleets, each hard case by itself."""

    def failings(self, result: Result, earlier: Sequence[Result] = ()) -> list[str]:
        """What a run shows that must not be, also beside the runs of the set before it."""

    def row(self, result: Result) -> str:
        """A run as a line of the table."""


def load_scenario_set(name: str) -> ScenarioSet:
    """A set by its name; ``ValueError`` where there is none."""
    if name not in SCENARIO_MODULES:
        raise ValueError(f"{name}: no such drill; there are {', '.join(SCENARIO_MODULES)}")
    return cast("ScenarioSet", import_module(SCENARIO_MODULES[name]))
