"""What every target is: bytes in, a finding out, and ways to draw and to change an input.

An input is always bytes, so that a corpus file is an input and any change of one is an input too.
"""

from __future__ import annotations

import logging
import random
import sys
import tracemalloc
from collections.abc import Callable, Sequence
from types import FrameType
from typing import Any, TypeVar

T = TypeVar("T")

# Figures at the edges of every width that is read anywhere, and some that float() takes and nobody means.
EDGE_NUMBERS = [
    0,
    1,
    -1,
    31,
    32,
    127,
    128,
    255,
    256,
    2**15,
    2**16 - 1,
    2**16,
    2**31 - 1,
    2**31,
    2**32 - 1,
    2**32,
]
EDGE_NUMBERS += [2**53, 2**63 - 1, 2**63, 2**64 - 1, 2**64, -(2**63)]
EDGE_STRINGS = [
    "",
    "0",
    "-0",
    "-1",
    "1e308",
    "1e309",
    "-1e309",
    "nan",
    "inf",
    "0x10",
    "1_0",
    "9" * 20,
    "9" * 5000,
]
EDGE_STRINGS += ["٣", " 7", "+7", "1.5", "5e-324", "\x00", "é", "%2e", ".."]
PACKAGE = "cedarthread"


class Finding(Exception):
    """The program did on an input what it must not do."""


class FuzzedDataProvider:
    """Choices read from an input's bytes; past the end every choice is the first."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def has_more(self) -> bool:
        """Is a byte left?"""
        return self.position < len(self.data)

    def consume_byte(self) -> int:
        """The next byte, 0 past the end."""
        self.position += 1
        return self.data[self.position - 1] if self.position <= len(self.data) else 0

    def pick(self, among: Sequence[T]) -> T:
        """One of them."""
        return among[self.consume_byte() % len(among)]

    def consume_uint16(self) -> int:
        """Two bytes' worth."""
        return self.consume_byte() << 8 | self.consume_byte()


class Target:
    """One parser or machine under test. ``check`` raises ``Finding``, or lets an exception pass."""

    name = ""
    modules: tuple[str, ...] = ()  # whose coverage counts
    line_budget = (20_000, 400)  # lines of the program that one input may take: so many, and so many a byte
    byte_budget = (2**20, 200)  # bytes that one input may take at its peak: likewise
    test_runs = 400  # drawn runs in the tests

    def generate(self, rng: random.Random) -> bytes:
        """An input that the grammar allows, or nearly."""
        raise NotImplementedError

    def check(self, data: bytes) -> None:
        """Feed one input; whatever it raises is a finding."""
        raise NotImplementedError

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """The input, changed."""
        return mutate_bytes(data, rng)

    def next_input(self, rng: random.Random, corpus: Sequence[bytes]) -> bytes:
        """The next input of a drawn run: a new one, or a changed one."""
        if not corpus or rng.random() < 0.5:
            data = self.generate(rng)
            return data if rng.random() < 0.6 else self.mutate(data, rng)
        data = rng.choice(corpus)
        for _ in range(rng.randint(1, 3)):
            data = self.mutate(data, rng)
        return data


def mutate_bytes(data: bytes, rng: random.Random) -> bytes:
    """One change that knows no grammar."""
    raw = bytearray(data)
    at = rng.randrange(len(raw) + 1)
    end = min(len(raw), at + 1 + int(rng.expovariate(0.2)))
    match rng.randrange(7):
        case 0:
            del raw[at:end]
        case 1:
            raw[at:at] = raw[at:end] * rng.choice((1, 1, 2, 40))
        case 2:
            raw[at:at] = rng.randbytes(rng.randint(1, 4))
        case 3 if at < len(raw):
            raw[at] = rng.choice((0, 0xFF, 0x7F, 0x80, raw[at] ^ 1 << rng.randrange(8)))
        case 4:
            number = rng.choice(EDGE_NUMBERS) % 2**64
            width = rng.choice((1, 2, 4, 8))
            raw[at : at + width] = (number % 256**width).to_bytes(width, rng.choice(("big", "little")))
        case 5:
            raw[at:end] = rng.choice(EDGE_STRINGS).encode()[:300]
        case _:
            other = rng.randrange(len(raw) + 1)
            raw[at:at] = raw[other : other + rng.randint(1, 30)]
    return bytes(raw)


def mutate_tree(value: Any, rng: random.Random, edges: Sequence[Any]) -> Any:
    """A parsed value with one place in it changed; lengths and forms are made anew when it is written."""
    if isinstance(value, dict) and value and rng.random() < 0.85:
        key = rng.choice(list(value))
        changed = dict(value)
        match rng.randrange(6):
            case 0:
                del changed[key]
            case 1:
                changed[str(rng.choice(EDGE_STRINGS))[:40]] = value[key]
            case _:
                changed[key] = mutate_tree(value[key], rng, edges)
        return changed
    if isinstance(value, list) and value and rng.random() < 0.85:
        at = rng.randrange(len(value))
        match rng.randrange(6):
            case 0:
                return value[:at] + value[at + 1 :]
            case 1:
                return value[:at] + [value[at]] * rng.choice((2, 2, 40)) + value[at:]
            case _:
                return [*value[:at], mutate_tree(value[at], rng, edges), *value[at + 1 :]]
    return rng.choice(edges)


class ResourceMeter:
    """Counts the lines of this program that run, and what memory they took at the peak.

    Lines are the same on every run and machine, so that a bound on them can stand in a test."""

    def __init__(self, target: Target, size: int) -> None:
        self.max_lines = target.line_budget[0] + target.line_budget[1] * size
        self.max_bytes = target.byte_budget[0] + target.byte_budget[1] * size
        self.line_count = 0
        self.peak_bytes = 0

    def _trace(self, frame: FrameType, event: str, arg: Any) -> Callable[..., Any] | None:
        module = str(frame.f_globals.get("__name__", ""))
        return self._line if module.startswith(PACKAGE) and ".fuzz" not in module else None

    def _line(self, frame: FrameType, event: str, arg: Any) -> Callable[..., Any]:
        self.line_count += event == "line"
        if self.line_count > self.max_lines:
            raise Finding(f"more than {self.max_lines} lines of work for one input")
        return self._line

    def measure(self, check: Callable[[bytes], None], data: bytes) -> None:
        """Run a check under the meter."""
        old = sys.gettrace()
        tracemalloc.start()
        sys.settrace(self._trace)
        try:
            check(data)
        finally:
            sys.settrace(old)
            self.peak_bytes = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
        if self.peak_bytes > self.max_bytes:
            raise Finding(f"{self.peak_bytes} bytes held for one input, at most {self.max_bytes} allowed")


class _LoggedFailures(logging.Handler):
    """Keeps what the program logged as a failure of its own."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.seen: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        if record.exc_info is not None:
            self.seen.append(f"{record.getMessage()} {record.exc_info[1]!r}")


def verdict(target: Target, data: bytes, *, metered: bool = False) -> str | None:
    """What is wrong with the program on this input; None where it did as it must."""
    failures, logger = _LoggedFailures(), logging.getLogger(PACKAGE)
    level, passes = logger.level, logger.propagate
    logger.addHandler(failures)
    logger.setLevel(logging.ERROR)
    logger.propagate = False
    try:
        if metered:
            ResourceMeter(target, len(data)).measure(target.check, data)
        else:
            target.check(data)
    except Finding as finding:
        return str(finding)
    except Exception as error:
        return f"{type(error).__name__}: {error}"
    finally:
        logger.removeHandler(failures)
        logger.setLevel(level)
        logger.propagate = passes
    return failures.seen[0] if failures.seen else None
