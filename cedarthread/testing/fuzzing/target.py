"""The base class of every fuzz target, and the function that runs one input through a target.

A target accepts every sequence of bytes as its input, so that it can check each corpus file and each mutation
of an input.
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

OptionT = TypeVar("OptionT")


class FuzzedDataProvider:
    """A reader that converts the bytes of an input into choices, like libFuzzer's class of the same name.

    Every byte past the end of the input reads as zero.
    """

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def has_more(self) -> bool:
        """Return whether the input has an unread byte."""
        return self.position < len(self.data)

    def consume_byte(self) -> int:
        """Return the next byte, or 0 past the end of the input."""
        self.position += 1
        return self.data[self.position - 1] if self.position <= len(self.data) else 0

    def pick(self, options: Sequence[OptionT]) -> OptionT:
        """Return the option that the next byte selects."""
        return options[self.consume_byte() % len(options)]

    def consume_uint16(self) -> int:
        """Return the next two bytes as a number, in big-endian order."""
        return self.consume_byte() << 8 | self.consume_byte()


class Target:
    """A parser or state machine under test.

    ``check`` reports a fault by raising ``Finding``, or by not catching an exception of the program.
    """

    name = ""
    modules: tuple[str, ...] = ()  # names of the modules in the coverage report
    line_budget = Budget(20_000, 400)  # maximum lines of the program that one input may execute
    byte_budget = Budget(2**20, 200)  # maximum peak memory in bytes for one input
    test_runs = 400  # number of generated inputs that the tests check

    def generate(self, rng: random.Random) -> bytes:
        """Return a generated input that is valid or nearly valid."""
        raise NotImplementedError

    def check(self, data: bytes) -> None:
        """Check one input; every exception that this method raises is a finding."""
        raise NotImplementedError

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """Return a mutation of the input."""
        return mutate_bytes(data, rng)

    def next_input(self, rng: random.Random, corpus: Sequence[bytes]) -> bytes:
        """Return the next input of an unguided run.

        The input is a generated one, a mutation of a generated one, or a mutation of a corpus input.
        """
        if not corpus or rng.random() < 0.5:
            data = self.generate(rng)
            return data if rng.random() < 0.6 else self.mutate(data, rng)
        data = rng.choice(corpus)
        for _ in range(rng.randint(1, 3)):
            data = self.mutate(data, rng)
        return data


class _LoggedFailures(logging.Handler):
    """A log handler that records the messages that the program logged with an exception."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        if record.exc_info is not None:
            self.messages.append(f"{record.getMessage()} {record.exc_info[1]!r}")


def verdict(target: Target, data: bytes, *, metered: bool = False) -> str | None:
    """Run one input through a target and return the fault that it shows, or None if it shows none.

    An error that the program logs with an exception is a fault too.

    Args:
        target: The target that checks the input.
        data: The input.
        metered: Whether to enforce the target's budgets of executed lines and of memory.
    """
    failures = _LoggedFailures()
    logger = logging.getLogger(PACKAGE)
    level = logger.level
    propagates = logger.propagate
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
