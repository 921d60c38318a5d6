"""Replay of the corpus and of generated inputs: what CI runs."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.testing.fuzzing import corpus
from cedarthread.testing.fuzzing.target import Target, verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from pathlib import Path

SEED = 1  # of generated inputs


@dataclass(slots=True)
class ReplayCounts:
    """How much a replay ran, and what it found."""

    corpus_inputs: int = 0
    generated_inputs: int = 0
    findings: int = 0


def replay(
    targets: Mapping[str, Target], folder: Path, report: Callable[[str], None], *, generates: bool
) -> ReplayCounts:
    """Check each target's corpus, metered, and with ``generates`` its number of generated inputs.

    ``report`` gets a line for each finding and each target.
    """
    counts = ReplayCounts()
    for name, target in targets.items():
        inputs = corpus.inputs(name, folder)
        for path, data in inputs:
            counts.corpus_inputs += 1
            if (fault := verdict(target, data, metered=True)) is not None:
                counts.findings += 1
                report(f"{path}: {fault}")
        rng, known = random.Random(SEED), [data for _, data in inputs]
        for number in range(target.test_runs if generates else 0):
            counts.generated_inputs += 1
            if (fault := verdict(target, target.next_input(rng, known))) is not None:
                counts.findings += 1
                report(f"{name}, drawn run {number}: {fault}")
        report(f"{name}: {len(inputs)} inputs" + (f", {target.test_runs} drawn runs" if generates else ""))
    return counts
