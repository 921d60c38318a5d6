"""Replay of the corpus and of generated inputs, which runs in CI."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.testing.fuzzing import corpus
from cedarthread.testing.fuzzing.target import Target, verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from pathlib import Path

SEED = 1  # seed of the generated inputs


@dataclass(slots=True)
class ReplayCounts:
    """The number of inputs that a replay checked, by kind, and the number of findings."""

    corpus_inputs: int = 0
    generated_inputs: int = 0
    findings: int = 0


def replay(
    targets: Mapping[str, Target], folder: Path, report: Callable[[str], None], *, generates: bool
) -> ReplayCounts:
    """Check the corpus of each target under its resource budgets, and generated inputs without them.

    Args:
        targets: The targets by name.
        folder: The corpus folder.
        report: Receives one line for each finding and one for each target.
        generates: Whether to also check each target's ``test_runs`` generated inputs.
    """
    counts = ReplayCounts()
    for name, target in targets.items():
        inputs = corpus.inputs(name, folder)
        for path, data in inputs:
            counts.corpus_inputs += 1
            if (fault := verdict(target, data, metered=True)) is not None:
                counts.findings += 1
                report(f"{path}: {fault}")
        rng = random.Random(SEED)
        corpus_inputs = [data for _, data in inputs]
        for number in range(target.test_runs if generates else 0):
            counts.generated_inputs += 1
            if (fault := verdict(target, target.next_input(rng, corpus_inputs))) is not None:
                counts.findings += 1
                report(f"{name}, drawn run {number}: {fault}")
        report(f"{name}: {len(inputs)} inputs" + (f", {target.test_runs} drawn runs" if generates else ""))
    return counts
