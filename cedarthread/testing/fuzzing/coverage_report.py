"""A report of the coverage that the corpus and generated inputs of one target reach.

The report runs in a separate process because the measurement must start before the program is imported.

    python -m cedarthread.testing.fuzzing.coverage_report TARGET CORPUS
"""

from __future__ import annotations

import random
import sys
from pathlib import Path
from typing import Any

import coverage

RUNS_FACTOR = 4  # the report generates this many times as many inputs as the tests


def main(name: str, folder: str) -> None:
    """Print one line of coverage for each module of the target."""
    measured = coverage.Coverage(branch=True, data_file=None, include=["*/cedarthread/*"], messages=False)
    measured.start()
    from cedarthread.testing.fuzzing import corpus, targets
    from cedarthread.testing.fuzzing.target import verdict

    target = targets.targets_by_name()[name]
    corpus_inputs = [data for _, data in corpus.inputs(name, Path(folder))]
    rng = random.Random(1)
    for data in corpus_inputs:
        verdict(target, data)
    for _ in range(RUNS_FACTOR * target.test_runs):
        verdict(target, target.next_input(rng, corpus_inputs))
    measured.stop()
    for module in target.modules:
        analysis: Any = measured._analyze(sys.modules[module].__file__ or "")
        lines = analysis.numbers.pc_statements
        branches = _percentage(analysis.numbers.n_executed_branches, analysis.numbers.n_branches)
        missing = analysis.missing_formatted() or "none"
        print(
            f"{name:14} {lines:6.1f}% {branches:8.1f}%  {module.removeprefix('cedarthread.')}: {missing}",
            flush=True,
        )


def _percentage(executed: int, total: int) -> float:
    return 100.0 * executed / total if total else 100.0


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2])
