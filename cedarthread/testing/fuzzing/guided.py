"""A coverage-guided run of one target, by atheris. It has a process of its own, which the library ends.

    python -m cedarthread.testing.fuzzing.guided TARGET FOLDER [libFuzzer options]

Inputs that reach new code are written into the folder; one that shows a finding ends the run with exit
code 77, as libFuzzer's own findings do.
"""

from __future__ import annotations

import os
import random
import sys
from pathlib import Path

import atheris

with atheris.instrument_imports(include=["cedarthread"], enable_loader_override=False):
    from cedarthread.testing.fuzzing import targets
    from cedarthread.testing.fuzzing.target import verdict

FINDING_EXIT_CODE = 77
LIBRARY_SHARE = 0.4  # of mutations by libFuzzer itself
GENERATED_SHARE = 0.1  # of the others: a new input in place of a mutation


def main(name: str, options: list[str]) -> None:
    """Fuzz a target until the options end it."""
    target = targets.targets_by_name()[name]

    def check(data: bytes) -> None:
        if (fault := verdict(target, data)) is not None:
            print(f"finding: {fault}", file=sys.stderr, flush=True)
            path = os.environ.get("CEDARTHREAD_FINDING")
            if path:
                with Path(path).open("wb") as file:
                    file.write(data)
            os._exit(FINDING_EXIT_CODE)

    def mutate(data: bytes, max_size: int, seed: int) -> bytes:
        rng = random.Random(seed)
        if rng.random() < LIBRARY_SHARE:
            return bytes(atheris.Mutate(data, max_size))[:max_size]
        changed = target.generate(rng) if rng.random() < GENERATED_SHARE else target.mutate(data, rng)
        return changed[:max_size]

    atheris.Setup([sys.argv[0], *options], check, custom_mutator=mutate)
    atheris.Fuzz()


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2:])
