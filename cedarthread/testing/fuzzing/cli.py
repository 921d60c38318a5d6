"""``cedarthread fuzz``: run, replay, minimise, explore and plant. Exit code 0 only if all held.

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
  list      Name the targets, the small worlds and the planted defects.
  run       Search with coverage as the guide; new inputs join the corpus. --plain draws without a guide.
  replay    Play the corpus again, metered; with --draw the drawn runs of the tests too.
  minimise  Make a finding's input smaller, and write it beside the file.
  explore   Go through every state of the small worlds.
  planted   Put defects into the program, one after another: each must be found.
  coverage  Lines and branches that the corpus and the drawn runs reach.

Options:
  --runs=N      Runs at most [default: 100000].
  --seconds=S   Seconds at most [default: 60].
  --seed=K      The seed of all that is drawn [default: 1].
  --corpus=DIR  Where the corpus is [default: corpus].
"""

from __future__ import annotations

import os
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from docopt import docopt

from cedarthread.testing.fuzzing import corpus, injected_defects, model_checking, targets
from cedarthread.testing.fuzzing.target import Target, verdict

FINDING_EXIT_CODE = 77  # the guided run's exit code for a finding


def main(argv: list[str]) -> int:
    """Run one command; the exit code: 0 all held, 1 a finding, 2 bad usage."""
    options = docopt(__doc__, ["fuzz", *argv])
    try:
        for name, act in _COMMANDS.items():
            if options[name]:
                return act(options)
    except (KeyError, OSError, ValueError) as error:
        print(f"cedarthread fuzz: {error}", file=sys.stderr)
        return 2
    return 2


def _chosen(options: dict[str, Any]) -> dict[str, Target]:
    known = targets.targets_by_name()
    name = options["TARGET"]
    if name is None:
        return known
    if name not in known:
        raise KeyError(f"no target {name!r}; there are {', '.join(known)}")
    return {name: known[name]}


def _list(options: dict[str, Any]) -> int:
    folder = Path(options["--corpus"])
    for name, target in targets.targets_by_name().items():
        kept, found = len(corpus.inputs(name, folder)), len(corpus.findings(name, folder))
        about = (type(target).__doc__ or "").splitlines()[0]
        print(f"target  {name:14} {kept:4} inputs, {found:2} of them findings  {about}")
    for scene in model_checking.MODELS:
        print(f"world   {scene.name:14} {scene.expected_states} states")
    for defect in injected_defects.DEFECTS:
        print(f"defect  {defect.name:24} to be found by {defect.target} in {defect.runs} runs")
    return 0


def _run(options: dict[str, Any]) -> int:
    ((name, target),) = _chosen(options).items()
    runs, seconds, seed = int(options["--runs"]), float(options["--seconds"]), int(options["--seed"])
    folder = Path(options["--corpus"])
    if options["--plain"]:
        return _plain(name, target, runs, seconds, seed, folder)
    (folder / name).mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as scratch:
        kept = Path(scratch) / "finding"
        command = [
            sys.executable,
            "-m",
            "cedarthread.testing.fuzzing.guided",
            name,
            str(folder / name),
            f"-runs={runs}",
        ]
        command += [f"-max_total_time={int(seconds)}", f"-seed={seed}", "-max_len=100000", "-timeout=60"]
        command += ["-reduce_inputs=1", f"-artifact_prefix={scratch}/"]
        ended = subprocess.run(command, env=os.environ | {"CEDARTHREAD_FINDING": str(kept)})
        if ended.returncode == 0:
            print(f"fuzz run {name}: ok")
            return 0
        left = sorted(path for path in Path(scratch).iterdir() if path.is_file())
        if not left:
            print(f"fuzz run {name}: FAILED, the run itself ended with {ended.returncode}")
            return 1
        return _found(name, target, left[0].read_bytes(), folder)


def _found(name: str, target: Target, data: bytes, folder: Path) -> int:
    wrong = verdict(target, data, metered=True)
    path = corpus.save_input(f"{name}/findings", data, folder)
    print(f"fuzz run {name}: FAILED, {path}: {wrong or 'not seen again'}")
    return 1


def _plain(name: str, target: Target, runs: int, seconds: float, seed: int, folder: Path) -> int:
    rng, kept = random.Random(seed), [data for _, data in corpus.inputs(name, folder)]
    began, done = time.monotonic(), 0
    while done < runs and time.monotonic() - began < seconds:
        data = target.next_input(rng, kept)
        done += 1
        if verdict(target, data) is not None:
            return _found(name, target, data, folder)
        if done % 5000 == 0:
            print(f"{done} runs", file=sys.stderr)
    print(f"fuzz run {name}: ok, {done} runs, {done / (time.monotonic() - began):.0f} a second")
    return 0


def replay(
    chosen: dict[str, Target], folder: Path, tell: Callable[[str], None], *, draw: bool
) -> tuple[int, int, int]:
    """Play kept inputs, metered, and drawn runs of seed 1: how many inputs, drawn runs and findings."""
    played = drawn = wrongs = 0
    for name, target in chosen.items():
        kept = corpus.inputs(name, folder)
        for path, data in kept:
            played += 1
            if (wrong := verdict(target, data, metered=True)) is not None:
                wrongs += 1
                tell(f"{path}: {wrong}")
        rng = random.Random(1)
        for number in range(target.test_runs if draw else 0):
            drawn += 1
            if (wrong := verdict(target, target.next_input(rng, [data for _, data in kept]))) is not None:
                wrongs += 1
                tell(f"{name}, drawn run {number}: {wrong}")
        tell(f"{name}: {len(kept)} inputs" + (f", {target.test_runs} drawn runs" if draw else ""))
    return played, drawn, wrongs


def _replay(options: dict[str, Any]) -> int:
    played, drawn, wrongs = replay(_chosen(options), Path(options["--corpus"]), print, draw=options["--draw"])
    print(
        f"fuzz replay: {'FAILED' if wrongs else 'ok'}, {played} inputs, {drawn} drawn runs, {wrongs} findings"
    )
    return 1 if wrongs else 0


def _minimise(options: dict[str, Any]) -> int:
    ((_, target),) = _chosen(options).items()
    path = Path(options["FILE"])
    data = path.read_bytes()
    wrong = verdict(target, data)
    if wrong is None:
        print(f"fuzz minimise: FAILED, {path} shows nothing")
        return 1
    kind = wrong.split(" ")[0]
    smaller = corpus.minimise(data, lambda d: (verdict(target, d) or "").startswith(kind))
    path.with_suffix(".min").write_bytes(smaller)
    print(f"fuzz minimise: ok, {len(data)} bytes to {len(smaller)}: {verdict(target, smaller)}")
    return 0


def _explore(options: dict[str, Any]) -> int:
    scenes = list(model_checking.models_named(options["WORLD"]))
    if not scenes:
        raise KeyError(
            f"no world {options['WORLD']!r}; there are {', '.join(s.name for s in model_checking.MODELS)}"
        )
    failed = 0
    for scene in scenes:
        found = model_checking.explore(
            scene, on_progress=lambda states: print(f"{states} states", file=sys.stderr)
        )
        wrong = found.verdict()
        failed += wrong is not None
        print(
            f"{scene.name:12} {found.state_count:6} states, {found.path_count:6} let run out: {wrong or 'ok'}"
        )
    print(f"fuzz explore: {'FAILED' if failed else 'ok'}, {len(scenes)} worlds")
    return 1 if failed else 0


def _planted(options: dict[str, Any]) -> int:
    chosen = {options["DEFECT"]} if options["DEFECT"] else None
    seed = injected_defects.SEED if options["--seed"] == "1" else int(options["--seed"])
    missed = injected_defects.prove(print, chosen, seed)
    count = len([d for d in injected_defects.DEFECTS if chosen is None or d.name in chosen])
    if not count:
        raise KeyError(f"no defect {options['DEFECT']!r}")
    print(
        f"fuzz planted: {'FAILED' if missed else 'ok'}, {count - len(missed)} of {count} found, seed {seed}"
    )
    return 1 if missed else 0


def _coverage(options: dict[str, Any]) -> int:
    print(f"{'target':14} {'lines':>7} {'branches':>9}  module: lines not reached", flush=True)
    for name in _chosen(options):
        command = [
            sys.executable,
            "-W",
            "ignore",
            "-m",
            "cedarthread.testing.fuzzing.coverage_report",
            name,
            options["--corpus"],
        ]
        if (ended := subprocess.run(command).returncode) != 0:
            print(f"fuzz coverage: FAILED, {name} ended with {ended}")
            return 1
    return 0


_COMMANDS: dict[str, Callable[[dict[str, Any]], int]] = {
    "list": _list,
    "run": _run,
    "replay": _replay,
    "minimise": _minimise,
    "explore": _explore,
    "planted": _planted,
    "coverage": _coverage,
}
