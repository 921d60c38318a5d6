"""Many processes of cedarthread with faults between them.

Usage:
  cedarthread rig run FILE [--out DIR]
  cedarthread rig report DIR
  cedarthread drill NAME [--full] [--routers N] [--seed S] [--no-talk] [--out DIR]

Commands:
  rig run       Play the scenario of FILE and print its table.
  rig report    Draw what DIR holds: load by runner over time, the faults marked, as SVG.
  drill         Faults in turn, and what must hold in each; else 1 at the end. NAME: spread, freeze, return.

Options:
  --full       The whole fleet, each fault by itself, instead of a short run with several at once.
  --routers N  Router processes; 24, or 200 with --full, where nothing is said.
  --seed S     The seed of arrivals and faults [default: 1].
  --no-talk    The settings forbid that routers talk.
  --out DIR    Where results go, as JSON; the table is printed.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

from docopt import docopt

from cedarthread.testing.cluster.drills import ScenarioSet, load_scenario_set
from cedarthread.testing.cluster.evaluation import Result
from cedarthread.testing.cluster.run import ClusterRun
from cedarthread.testing.cluster.scenario import Scenario, ScenarioError, load_scenario


def main(argv: list[str]) -> int:
    """Run one command; the exit code."""
    told = docopt(__doc__, argv)
    try:
        if told["report"]:
            from cedarthread.testing.cluster.report import write_charts

            return write_charts(Path(told["DIR"]))
        if told["run"]:
            run_scenarios(load_scenario_set("spread"), [load_scenario(Path(told["FILE"]))], told["--out"])
            return 0
        one, full, talk = load_scenario_set(told["NAME"]), told["--full"], not told["--no-talk"]
        routers = int(told["--routers"] or (200 if full else 24))
        scenarios = (one.full if full else one.quick)(int(told["--seed"]), routers)
        results = run_scenarios(
            one, (replace(scenario, talk=scenario.talk and talk) for scenario in scenarios), told["--out"]
        )
    except (ScenarioError, ValueError) as error:
        print(f"cedarthread: {error}", file=sys.stderr)
        return 2
    except asyncio.CancelledError:
        print("cedarthread: told to stop; all processes have been ended", file=sys.stderr)
        return 130
    bad = False
    for place, result in enumerate(results):
        for failing in one.failings(result, results[:place]):
            bad = True
            print(f"{result.scenario_name}: {failing}")
    print("FAILED" if bad else "held")
    return int(bad)


def run_scenarios(drill: ScenarioSet, scenarios: Iterable[Scenario], out: str | None) -> list[Result]:
    """Play them in turn, with a line of the table for each as it ends."""
    print(drill.HEAD, drill.RULE, sep="\n", flush=True)
    results = []
    for scenario in scenarios:
        result = asyncio.run(_interruptible(scenario))
        print(drill.row(result), flush=True)
        results.append(result)
        if out is not None:
            folder = Path(out)
            folder.mkdir(parents=True, exist_ok=True)
            name = "".join(c if c.isalnum() else "-" for c in scenario.name)
            (folder / f"{name}.json").write_text(json.dumps(result.to_json(), indent=1) + "\n")
    return results


async def _interruptible(scenario: Scenario) -> Result:
    """One run that ends all it started when it is told to stop, wherever it is then."""
    loop, task = asyncio.get_running_loop(), asyncio.ensure_future(run_scenario(scenario))
    for name in (signal.SIGINT, signal.SIGTERM):  # taken by the loop: a start is never cut in two
        loop.add_signal_handler(name, task.cancel)
    return await task


async def run_scenario(scenario: Scenario) -> Result:
    """One run, its files in a folder of its own."""
    with tempfile.TemporaryDirectory(prefix="cedarthread-") as folder:
        return await ClusterRun(scenario, Path(folder)).run()
