"""A coverage-guided run of one target, by atheris. It is a process of its own: the library ends it.

    python -m cedarthread.testing.fuzzing.guided TARGET FOLDER [libFuzzer options]

Inputs that reach new code are written into the folder; one that shows a finding ends the run with exit
code 77.
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


def main(name: str, options: list[str]) -> None:
    """Fuzz until the options say that it is enough."""
    target = targets.targets_by_name()[name]

    def one(data: bytes) -> None:
        if (wrong := verdict(target, data)) is not None:
            print(f"finding: {wrong}", file=sys.stderr, flush=True)
            kept = os.environ.get("CEDARTHREAD_FINDING")
            if kept:
                with Path(kept).open("wb") as file:
                    file.write(data)
            os._exit(77)

    def mutator(data: bytes, most: int, seed: int) -> bytes:
        rng = random.Random(seed)
        if rng.random() < 0.4:
            return bytes(atheris.Mutate(data, most))[:most]
        return (target.generate(rng) if rng.random() < 0.1 else target.mutate(data, rng))[:most]

    atheris.Setup([sys.argv[0], *options], one, custom_mutator=mutator)
    atheris.Fuzz()


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2:])
