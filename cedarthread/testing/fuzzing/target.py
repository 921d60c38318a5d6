"""What every target is: bytes in, a finding out, and ways to generate and to change an input.

An input is always bytes, so that a corpus file is an input and any change of one is an input too.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, TypeVar

from cedarthread.testing.fuzzing.finding import Finding
from cedarthread.testing.fuzzing.mutation import mutate_bytes
from cedarthread.testing.fuzzing.resource_meter import PACKAGE, Budget, ResourceMeter

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

T = TypeVar("T")


class FuzzedDataProvider:
    """Choices read from an input's bytes, like libFuzzer's class of this name; past the end, all zero."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def has_more(self) -> bool:
        """Whether a byte is left."""
        return self.position < len(self.data)

    def consume_byte(self) -> int:
        """The next byte, 0 past the end."""
        self.position += 1
        return self.data[self.position - 1] if self.position <= len(self.data) else 0

    def pick(self, options: Sequence[T]) -> T:
        """One of the options."""
        return options[self.consume_byte() % len(options)]

    def consume_uint16(self) -> int:
        """The next two bytes, the high one first."""
        return self.consume_byte() << 8 | self.consume_byte()


class Target:
    """One parser or machine under test. ``check`` raises ``Finding``, or lets an exception pass."""

    name = ""
    modules: tuple[str, ...] = ()  # whose coverage counts
    line_budget = Budget(20_000, 400)  # lines of the program that one input may run
    byte_budget = Budget(2**20, 200)  # bytes of memory that one input may take at its peak
    test_runs = 400  # generated inputs in the tests

    def generate(self, rng: random.Random) -> bytes:
        """An input that the grammar allows, or nearly."""
        raise NotImplementedError

    def check(self, data: bytes) -> None:
        """Check one input; whatever this raises is a finding."""
        raise NotImplementedError

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """The input, changed."""
        return mutate_bytes(data, rng)

    def next_input(self, rng: random.Random, corpus: Sequence[bytes]) -> bytes:
        """The next input of a plain run: a generated one, or a mutation of one or of a corpus input."""
        if not corpus or rng.random() < 0.5:
            data = self.generate(rng)
            return data if rng.random() < 0.6 else self.mutate(data, rng)
        data = rng.choice(corpus)
        for _ in range(rng.randint(1, 3)):
            data = self.mutate(data, rng)
        return data


class _LoggedFailures(logging.Handler):
    """Records what the program logged with an exception."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        if record.exc_info is not None:
            self.messages.append(f"{record.getMessage()} {record.exc_info[1]!r}")


def verdict(target: Target, data: bytes, *, metered: bool = False) -> str | None:
    """What is wrong with the program on this input; None where it did as it must."""
    failures, logger = _LoggedFailures(), logging.getLogger(PACKAGE)
    level, propagates = logger.level, logger.propagate
    logger.addHandler(failures)
    logger.setLevel(logging.ERROR)
    logger.propagate = False
    try:
        if metered:
            size = len(data)
            meter = ResourceMeter(target.line_budget.limit(size), target.byte_budget.limit(size))
            meter.measure(target.check, data)
        else:
            target.check(data)
    except Finding as finding:
        return str(finding)
    except Exception as error:
        return f"{type(error).__name__}: {error}"
    finally:
        logger.removeHandler(failures)
        logger.setLevel(level)
        logger.propagate = propagates
    return failures.messages[0] if failures.messages else None
