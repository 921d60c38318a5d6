"""A coverage-guided run of one target with atheris, in a separate process because atheris ends its process.

    python -m cedarthread.testing.fuzzing.guided TARGET FOLDER [libFuzzer options]

An input that reaches new code is written to the folder. An input that shows a finding ends the run with exit
code 77, which libFuzzer also uses for its own findings.
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
LIBFUZZER_MUTATION_SHARE = 0.4  # share of the mutations that libFuzzer performs
GENERATED_SHARE = 0.1  # share of the other mutations that are replaced by a newly generated input


def main(name: str, options: list[str]) -> None:
    """Fuzz a target until a limit in the libFuzzer options ends the run."""
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
        if rng.random() < LIBFUZZER_MUTATION_SHARE:
            return bytes(atheris.Mutate(data, max_size))[:max_size]
        changed = target.generate(rng) if rng.random() < GENERATED_SHARE else target.mutate(data, rng)
        return changed[:max_size]

    atheris.Setup([sys.argv[0], *options], check, custom_mutator=mutate)
    atheris.Fuzz()


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2:])
