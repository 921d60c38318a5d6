"""Many processes of cedarthread with faults between them.

Usage:
  cedarthread rig run FILE [--out DIR]
  cedarthread rig report DIR
  cedarthread drill NAME [--full] [--routers N] [--seed S] [--seconds S] [--defect D] [--no-talk] [--out DIR]

Commands:
  rig run       Run the scenario of FILE and print its table.
  rig report    Chart the results in DIR: load by worker over time, the faults marked, as SVG.
  drill         Run a set of scenarios and check each; 1 where one fails, 2 where the harness was late.
                NAME: faults, spread, freeze, return.

Options:
  --full       A whole fleet, each fault by itself, instead of a short run with several at once.
  --routers N  Router processes; without it 24, or 200 with --full.
  --seed S     The seed of arrivals and faults [default: 1].
  --seconds S  How long faults last, after the warm-up; of ``faults`` alone.
  --defect D   The routers run with this injected defect, to see that it is found.
  --no-talk    Settings that forbid gossip between routers.
  --out DIR    Where results are written, as JSON; the table is printed in any case.
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

QUICK_ROUTERS, FULL_ROUTERS = 24, 200
EXIT_FAILED, EXIT_USAGE, EXIT_INTERRUPTED = 1, 2, 130


def main(argv: list[str]) -> int:
    """Run one command; the exit code."""
    options = docopt(__doc__, argv)
    try:
        if options["report"]:
            from cedarthread.testing.cluster.report import write_charts  # it needs a library for tools only

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
        print("cedarthread: told to stop; all processes have been ended", file=sys.stderr)
        return EXIT_INTERRUPTED


def _drill(options: dict[str, Any]) -> int:
    """Run a set of scenarios; the exit code says whether all held."""
    scenario_set, is_full = load_scenario_set(options["NAME"]), options["--full"]
    routers = int(options["--routers"] or (FULL_ROUTERS if is_full else QUICK_ROUTERS))
    make: MakeScenarios = scenario_set.full if is_full else scenario_set.quick
    if options["--seconds"] is not None:
        make = _with_seconds(make, float(options["--seconds"]))
    scenarios: Iterable[Scenario] = make(int(options["--seed"]), routers)
    if options["--no-talk"]:
        scenarios = (replace(scenario, is_gossip_enabled=False) for scenario in scenarios)
    if options["--defect"] is not None:
        if options["--defect"] not in DEFECTS:
            raise ValueError(f"--defect: none of {', '.join(DEFECTS)}")
        scenarios = (replace(scenario, injected_defect=options["--defect"]) for scenario in scenarios)
    results = run_scenarios(scenario_set, scenarios, options["--out"])
    has_failed = False
    for index, result in enumerate(results):
        for failing in scenario_set.failings(result, results[:index]):
            has_failed = True
            print(f"{result.scenario_name}: {failing}")
    if any(result.is_void for result in results):
        print("the harness was late: no run counts in which it was")
        return EXIT_FAILED if has_failed else EXIT_USAGE
    print("FAILED" if has_failed else "held")
    return EXIT_FAILED if has_failed else 0


def _with_seconds(make: MakeScenarios, seconds: float) -> MakeScenarios:
    """The same set with runs of another length; ``ValueError`` where it has one length alone."""
    if "seconds" not in inspect.signature(make).parameters:
        raise ValueError("--seconds: the runs of this drill have one length")
    return cast("MakeScenarios", functools.partial(cast("Any", make), seconds=seconds))


def run_scenarios(scenario_set: ScenarioSet, scenarios: Iterable[Scenario], out: str | None) -> list[Result]:
    """Run scenarios one after another, with a line of the table for each as it ends."""
    print(scenario_set.HEAD, scenario_set.RULE, sep="\n", flush=True)
    results = []
    for scenario in scenarios:
        result = asyncio.run(_run_until_interrupted(scenario))
        print(scenario_set.row(result), flush=True)
        results.append(result)
        if out is not None:
            _write_result(result, Path(out))
    return results


def _write_result(result: Result, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    name = "".join(letter if letter.isalnum() else "-" for letter in result.scenario_name)
    (folder / f"{name}.json").write_text(json.dumps(result.to_json(), indent=1) + "\n")


async def _run_until_interrupted(scenario: Scenario) -> Result:
    """One run that ends all processes it started when it is interrupted, wherever it is then."""
    loop, task = asyncio.get_running_loop(), asyncio.ensure_future(run_scenario(scenario))
    for which in (signal.SIGINT, signal.SIGTERM):  # handled by the loop: no start of a process is cut in two
        loop.add_signal_handler(which, task.cancel)
    return await task


async def run_scenario(scenario: Scenario) -> Result:
    """One run, its files in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="cedarthread-") as folder:
        return await ClusterRun(scenario, Path(folder)).run()
