"""Scenario sets of ``cedarthread drill``, one module each, with the scenarios and the checks of each run."""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Protocol, cast

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from cedarthread.testing.cluster.result import Result
    from cedarthread.testing.cluster.scenario import Scenario

SCENARIO_MODULES = {  # Keys: names of the scenario sets on the command line.
    "faults": "cedarthread.testing.cluster.scenarios.faults",
    "freeze": "cedarthread.testing.cluster.scenarios.change_freeze",
    "spread": "cedarthread.testing.cluster.scenarios.load_spread",
    "return": "cedarthread.testing.cluster.scenarios.mass_restart",
}


class ScenarioSet(Protocol):
    """The interface of the module of a set."""

    TABLE_HEADER: str  # Header line of the Markdown table of results.
    TABLE_SEPARATOR: str  # Line between the header and the rows.

    def quick(self, seed: int, routers: int) -> Iterable[Scenario]:
        """Return short runs with several faults at once, for CI."""

    def full(self, seed: int, routers: int) -> Iterable[Scenario]:
        """Return runs of whole fleets, with a separate run for each fault."""

    def failed_checks(self, result: Result, earlier: Sequence[Result] = ()) -> list[str]:
        """Return the failed checks of a run, which may be compared with earlier runs of the set."""

    def table_row(self, result: Result) -> str:
        """Return the line of a run in the table."""


def load_scenario_set(name: str) -> ScenarioSet:
    """Return the scenario set of a name.

    Raises:
        ValueError: There is no set of this name.
    """
    if name not in SCENARIO_MODULES:
        raise ValueError(f"{name}: unknown drill; valid names are {', '.join(SCENARIO_MODULES)}")
    return cast("ScenarioSet", import_module(SCENARIO_MODULES[name]))
