"""Coverage of one target by its corpus and drawn runs. A process of its own: measuring begins before imports.

python -m cedarthread.testing.fuzzing.coverage_report TARGET CORPUS
"""

from __future__ import annotations

import random
import sys
from pathlib import Path
from typing import Any

import coverage


def main(name: str, folder: str) -> None:
    """Print a line for each module of the target."""
    measured = coverage.Coverage(branch=True, data_file=None, include=["*/cedarthread/*"], messages=False)
    measured.start()
    from cedarthread.testing.fuzzing import corpus, targets
    from cedarthread.testing.fuzzing.target import verdict

    target = targets.targets_by_name()[name]
    kept, rng = [data for _, data in corpus.inputs(name, Path(folder))], random.Random(1)
    for data in kept:
        verdict(target, data)
    for _ in range(4 * target.test_runs):
        verdict(target, target.next_input(rng, kept))
    measured.stop()
    for module in target.modules:
        figures: Any = measured._analyze(sys.modules[module].__file__ or "")
        lines, branches = figures.numbers.pc_statements, _part(figures.numbers)
        missing = figures.missing_formatted() or "none"
        print(
            f"{name:14} {lines:6.1f}% {branches:8.1f}%  {module.removeprefix('cedarthread.')}: {missing}",
            flush=True,
        )


def _part(numbers: Any) -> float:
    return 100.0 * numbers.n_executed_branches / numbers.n_branches if numbers.n_branches else 100.0


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2])
