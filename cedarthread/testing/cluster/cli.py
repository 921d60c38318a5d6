"""Many router processes of cedarthread with faults between them.

Usage:
  cedarthread (cluster | rig) run FILE [--out DIR]
  cedarthread (cluster | rig) report DIR
  cedarthread drill NAME [--full] [--routers N] [--seed S] [--seconds S] [--defect D] [--no-talk] [--out DIR]

Commands:
  cluster run     Run the scenario of FILE and print its table.
  cluster report  Chart the results in DIR as SVG: load by worker over time, with the faults marked.
  rig             The earlier name of `cluster`; it still works.
  drill           Run a set of scenarios and check each. The exit code is 1 where a check fails and 2 where
                  the harness was late. NAME: faults, spread, freeze, return.

Options:
  --full       Run a whole fleet, with each fault alone, instead of a short run with several at once.
  --routers N  The number of router processes; 24 by default, or 200 with --full.
  --seed S     The seed of arrivals and faults [default: 1].
  --seconds S  How long faults last after the warm-up; for NAME ``faults`` only.
  --defect D   Run the routers with this injected defect, to check that the drill finds the defect.
  --no-talk    Use settings that forbid gossip between routers.
  --out DIR    Write the results to this folder as JSON; the table is printed in any case.
"""

from __future__ import annotations

import asyncio
import functools
import inspect
import json
import signal
import sys
import tempfile
from collections.abc import Callable, Iterable
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any, cast

from docopt import docopt

from cedarthread.testing.cluster.injected_defects import DEFECTS
from cedarthread.testing.cluster.run import ClusterRun
from cedarthread.testing.cluster.scenario import Scenario
from cedarthread.testing.cluster.scenario_file import ScenarioError, load_scenario
from cedarthread.testing.cluster.scenarios import ScenarioSet, load_scenario_set

if TYPE_CHECKING:
    from cedarthread.testing.cluster.result import Result

MakeScenarios = Callable[[int, int], Iterable[Scenario]]

QUICK_ROUTERS = 24
FULL_ROUTERS = 200
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130


def main(argv: list[str]) -> int:
    """Run one command and return the exit code."""
    options = docopt(__doc__, argv)
    try:
        if options["report"]:
            from cedarthread.testing.cluster.report import write_charts

            return write_charts(Path(options["DIR"]))
        if options["run"]:
            scenario = load_scenario(Path(options["FILE"]))
            run_scenarios(load_scenario_set("spread"), [scenario], options["--out"])
            return 0
        return _drill(options)
    except (ScenarioError, ValueError) as error:
        print(f"cedarthread: {error}", file=sys.stderr)
        return EXIT_USAGE
    except asyncio.CancelledError:
        print("cedarthread: interrupted; all processes have been stopped", file=sys.stderr)
        return EXIT_INTERRUPTED


def _drill(options: dict[str, Any]) -> int:
    """Run a set of scenarios and return the exit code: 0 if every check passed."""
    scenario_set = load_scenario_set(options["NAME"])
    is_full = options["--full"]
    routers = int(options["--routers"] or (FULL_ROUTERS if is_full else QUICK_ROUTERS))
    make: MakeScenarios = scenario_set.full if is_full else scenario_set.quick
    if options["--seconds"] is not None:
        make = _with_seconds(make, float(options["--seconds"]))
    scenarios: Iterable[Scenario] = make(int(options["--seed"]), routers)
    if options["--no-talk"]:
        scenarios = (replace(scenario, is_gossip_enabled=False) for scenario in scenarios)
    if options["--defect"] is not None:
        if options["--defect"] not in DEFECTS:
            raise ValueError(f"--defect: must be one of {', '.join(DEFECTS)}")
        scenarios = (replace(scenario, injected_defect=options["--defect"]) for scenario in scenarios)
    results = run_scenarios(scenario_set, scenarios, options["--out"])
    has_failed = False
    for index, result in enumerate(results):
        for failed_check in scenario_set.failed_checks(result, results[:index]):
            has_failed = True
            print(f"{result.scenario_name}: {failed_check}")
    if any(result.is_void for result in results):
        print("the harness was late: the results of runs in which it was late are void")
        return EXIT_FAILED if has_failed else EXIT_USAGE
    print("FAILED" if has_failed else "held")
    return EXIT_FAILED if has_failed else 0


def _with_seconds(make: MakeScenarios, seconds: float) -> MakeScenarios:
    """Return the same set with runs of another duration.

    Raises:
        ValueError: The runs of the set have a fixed duration.
    """
    if "seconds" not in inspect.signature(make).parameters:
        raise ValueError("--seconds: the runs of this drill have a fixed duration")
    return cast("MakeScenarios", functools.partial(cast("Any", make), seconds=seconds))


def run_scenarios(scenario_set: ScenarioSet, scenarios: Iterable[Scenario], out: str | None) -> list[Result]:
    """Run scenarios one after another, and print a line of the table after each."""
    print(scenario_set.TABLE_HEADER, scenario_set.TABLE_SEPARATOR, sep="\n", flush=True)
    results = []
    for scenario in scenarios:
        result = asyncio.run(_run_until_interrupted(scenario))
        print(scenario_set.table_row(result), flush=True)
        results.append(result)
        if out is not None:
            _write_result(result, Path(out))
    return results


def _write_result(result: Result, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    name = "".join(letter if letter.isalnum() else "-" for letter in result.scenario_name)
    (folder / f"{name}.json").write_text(json.dumps(result.to_json(), indent=1) + "\n")


async def _run_until_interrupted(scenario: Scenario) -> Result:
    """Run one scenario; an interrupt at any moment ends every process that the run has started."""
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(run_scenario(scenario))
    # The event loop handles signals between callbacks, so that a signal never interrupts the start of a
    # process.
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, task.cancel)
    return await task


async def run_scenario(scenario: Scenario) -> Result:
    """Run one scenario with its files in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="cedarthread-") as folder:
        return await ClusterRun(scenario, Path(folder)).run()
