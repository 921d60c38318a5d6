"""``cedarthread fuzz``: fuzz, replay, minimise, explore, inject defects. Exit code 0 only without a finding.

Usage:
  cedarthread fuzz list
  cedarthread fuzz run TARGET [--runs=N] [--seconds=S] [--seed=K] [--plain] [--corpus=DIR]
  cedarthread fuzz replay [TARGET] [--draw] [--corpus=DIR]
  cedarthread fuzz minimise TARGET FILE [--corpus=DIR]
  cedarthread fuzz explore [WORLD]
  cedarthread fuzz planted [DEFECT] [--seed=K]
  cedarthread fuzz coverage [TARGET] [--corpus=DIR]
  cedarthread fuzz --help

Commands:
  list      List the targets, the small models and the injected defects.
  run       Fuzz guided by coverage and add new inputs to the corpus; --plain fuzzes without guidance.
  replay    Check the corpus under resource budgets; with --draw also the generated inputs of the tests.
  minimise  Reduce the input of a finding, and write the result next to the file.
  explore   Check the small models with every order of their events.
  planted   Inject defects into the program one at a time; the targets must find each.
  coverage  Report the lines and branches that the corpus and generated inputs reach.

Options:
  --runs=N      Maximum number of runs [default: 100000].
  --seconds=S   Maximum duration in seconds [default: 60].
  --seed=K      Seed of the random number generator [default: 1].
  --corpus=DIR  Folder of the corpus [default: corpus].
"""

from __future__ import annotations

import os
import random
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from docopt import docopt

from cedarthread.testing.fuzzing import corpus, injected_defects, targets
from cedarthread.testing.fuzzing.model_checking import explore, models_named
from cedarthread.testing.fuzzing.replay import replay
from cedarthread.testing.fuzzing.small_models import MODELS
from cedarthread.testing.fuzzing.target import Target, verdict

if TYPE_CHECKING:
    from collections.abc import Callable

EXIT_OK = 0
EXIT_FINDING = 1
EXIT_USAGE = 2
RUNS_PER_REPORT = 5000
MAX_INPUT_BYTES = 100_000  # maximum size of an input in a guided run
INPUT_TIMEOUT_S = 60  # maximum time for one input in a guided run
PACKAGE = "cedarthread.testing.fuzzing"

Options = dict[str, Any]


def main(argv: list[str]) -> int:
    """Run one command and return the exit code: 0 for success, 1 for a finding, 2 for bad usage."""
    options = docopt(__doc__, ["fuzz", *argv])
    try:
        for name, command in _COMMANDS.items():
            if options[name]:
                return command(options)
    except (KeyError, OSError, ValueError) as error:
        print(f"cedarthread fuzz: {error}", file=sys.stderr)
        return EXIT_USAGE
    return EXIT_USAGE


def _selected_targets(options: Options) -> dict[str, Target]:
    targets_by_name = targets.targets_by_name()
    name = options["TARGET"]
    if name is None:
        return targets_by_name
    if name not in targets_by_name:
        raise KeyError(f"no target {name!r}; available targets: {', '.join(targets_by_name)}")
    return {name: targets_by_name[name]}


def _list(options: Options) -> int:
    folder = Path(options["--corpus"])
    for name, target in targets.targets_by_name().items():
        inputs = len(corpus.inputs(name, folder))
        findings = len(corpus.findings(name, folder))
        description = (type(target).__doc__ or "").splitlines()[0]
        print(f"target  {name:14} {inputs:4} inputs, {findings:2} of them findings  {description}")
    for model in MODELS:
        print(f"world   {model.name:14} {model.expected_states} states")
    for defect in injected_defects.DEFECTS:
        print(f"defect  {defect.name:24} to be found by {defect.target} in {defect.runs} runs")
    return EXIT_OK


@dataclass(frozen=True, slots=True)
class _Run:
    """The target, limits, seed and corpus folder of a search for findings."""

    name: str
    target: Target
    max_runs: int
    max_seconds: float
    seed: int
    folder: Path


def _run(options: Options) -> int:
    ((name, target),) = _selected_targets(options).items()
    run = _Run(
        name,
        target,
        max_runs=int(options["--runs"]),
        max_seconds=float(options["--seconds"]),
        seed=int(options["--seed"]),
        folder=Path(options["--corpus"]),
    )
    return _run_plain(run) if options["--plain"] else _run_guided(run)


def _run_guided(run: _Run) -> int:
    corpus_folder = run.folder / run.name
    corpus_folder.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as scratch:
        finding = Path(scratch) / "finding"
        command = [sys.executable, "-m", f"{PACKAGE}.guided", run.name, str(corpus_folder)]
        command += [f"-runs={run.max_runs}", f"-max_total_time={int(run.max_seconds)}", f"-seed={run.seed}"]
        command += [f"-max_len={MAX_INPUT_BYTES}", f"-timeout={INPUT_TIMEOUT_S}"]
        command += ["-reduce_inputs=1", f"-artifact_prefix={scratch}/"]
        environment = os.environ | {"CEDARTHREAD_FINDING": str(finding)}
        process = subprocess.run(command, env=environment, check=False)
        if process.returncode == 0:
            print(f"fuzz run {run.name}: ok")
            return EXIT_OK
        artifacts = sorted(path for path in Path(scratch).iterdir() if path.is_file())
        if not artifacts:
            print(f"fuzz run {run.name}: FAILED, the fuzzer process exited with status {process.returncode}")
            return EXIT_FINDING
        return _save_finding(run, artifacts[0].read_bytes())


def _save_finding(run: _Run, data: bytes) -> int:
    fault = verdict(run.target, data, metered=True)
    path = corpus.save_input(f"{run.name}/findings", data, run.folder)
    print(f"fuzz run {run.name}: FAILED, {path}: {fault or 'not reproduced'}")
    return EXIT_FINDING


def _run_plain(run: _Run) -> int:
    rng = random.Random(run.seed)
    corpus_inputs = [data for _, data in corpus.inputs(run.name, run.folder)]
    started_at_s = time.monotonic()
    run_count = 0
    while run_count < run.max_runs and time.monotonic() - started_at_s < run.max_seconds:
        data = run.target.next_input(rng, corpus_inputs)
        run_count += 1
        if verdict(run.target, data) is not None:
            return _save_finding(run, data)
        if run_count % RUNS_PER_REPORT == 0:
            print(f"{run_count} runs", file=sys.stderr)
    rate = run_count / (time.monotonic() - started_at_s)
    print(f"fuzz run {run.name}: ok, {run_count} runs, {rate:.0f} a second")
    return EXIT_OK


def _replay(options: Options) -> int:
    folder = Path(options["--corpus"])
    counts = replay(_selected_targets(options), folder, print, generates=options["--draw"])
    print(
        f"fuzz replay: {'FAILED' if counts.findings else 'ok'}, {counts.corpus_inputs} inputs, "
        f"{counts.generated_inputs} drawn runs, {counts.findings} findings"
    )
    return EXIT_FINDING if counts.findings else EXIT_OK


def _minimise(options: Options) -> int:
    ((_, target),) = _selected_targets(options).items()
    path = Path(options["FILE"])
    data = path.read_bytes()
    fault = verdict(target, data)
    if fault is None:
        print(f"fuzz minimise: FAILED, {path} shows no finding")
        return EXIT_FINDING
    # A smaller input shows the same fault if its verdict begins with the same word.
    kind = fault.split(" ")[0]
    smaller = corpus.minimise(data, lambda shorter: (verdict(target, shorter) or "").startswith(kind))
    path.with_suffix(".min").write_bytes(smaller)
    print(f"fuzz minimise: ok, {len(data)} bytes to {len(smaller)}: {verdict(target, smaller)}")
    return EXIT_OK


def _explore(options: Options) -> int:
    models = list(models_named(options["WORLD"]))
    if not models:
        raise KeyError(
            f"no world {options['WORLD']!r}; available worlds: {', '.join(model.name for model in MODELS)}"
        )
    failures = 0
    for model in models:
        exploration = explore(model, on_progress=lambda states: print(f"{states} states", file=sys.stderr))
        fault = exploration.verdict()
        failures += fault is not None
        counts = f"{exploration.state_count:6} states, {exploration.path_count:6} let run out"
        print(f"{model.name:12} {counts}: {fault or 'ok'}")
    print(f"fuzz explore: {'FAILED' if failures else 'ok'}, {len(models)} worlds")
    return EXIT_FINDING if failures else EXIT_OK


def _inject_defects(options: Options) -> int:
    names = {options["DEFECT"]} if options["DEFECT"] else None
    # 1 is the default of --seed; the command then uses its own default.
    seed = injected_defects.SEED if options["--seed"] == "1" else int(options["--seed"])
    missed = injected_defects.undetected_defects(print, names, seed)
    count = sum(names is None or defect.name in names for defect in injected_defects.DEFECTS)
    if not count:
        raise KeyError(f"no defect {options['DEFECT']!r}")
    result = "FAILED" if missed else "ok"
    print(f"fuzz planted: {result}, {count - len(missed)} of {count} found, seed {seed}")
    return EXIT_FINDING if missed else EXIT_OK


def _coverage(options: Options) -> int:
    print(f"{'target':14} {'lines':>7} {'branches':>9}  module: lines not reached", flush=True)
    for name in _selected_targets(options):
        command = [sys.executable, "-W", "ignore", "-m", f"{PACKAGE}.coverage_report", name]
        exit_code = subprocess.run([*command, options["--corpus"]], check=False).returncode
        if exit_code != 0:
            print(f"fuzz coverage: FAILED, the report of {name} exited with status {exit_code}")
            return EXIT_FINDING
    return EXIT_OK


_COMMANDS: dict[str, Callable[[Options], int]] = {
    "list": _list,
    "run": _run,
    "replay": _replay,
    "minimise": _minimise,
    "explore": _explore,
    "planted": _inject_defects,
    "coverage": _coverage,
}
