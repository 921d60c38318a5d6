"""Mutations of inputs, as bytes or as parsed values, and the edge cases that mutations insert."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

# The limits of every integer width that a parser of the program reads.
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
    2**53,
    2**63 - 1,
    2**63,
    2**64 - 1,
    2**64,
    -(2**63),
]
# Numbers and path segments as text; float() accepts some that a correct sender never writes.
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
    "٣",
    " 7",
    "+7",
    "1.5",
    "5e-324",
    "\x00",
    "é",
    "%2e",
    "..",
]

NOT_A_NUMBER = float("nan")
INFINITY = float("inf")
EDGE_FLOATS = [NOT_A_NUMBER, INFINITY, -INFINITY, 1e308, -0.0, 5e-324, 0.5]
DEEP_LIST: Any = []
for _ in range(40):
    DEEP_LIST = [DEEP_LIST]


DESCEND_SHARE = 0.85  # share of the mutations that change an item of a list or map instead of replacing it


def mutate_bytes(data: bytes, rng: random.Random) -> bytes:
    """Return the bytes with one change that ignores the input's syntax."""
    raw = bytearray(data)
    start = rng.randrange(len(raw) + 1)
    end = min(len(raw), start + 1 + int(rng.expovariate(0.2)))
    match rng.randrange(7):
        case 0:
            del raw[start:end]
        case 1:
            raw[start:start] = raw[start:end] * rng.choice((1, 1, 2, 40))
        case 2:
            raw[start:start] = rng.randbytes(rng.randint(1, 4))
        case 3 if start < len(raw):
            raw[start] = rng.choice((0, 0xFF, 0x7F, 0x80, raw[start] ^ 1 << rng.randrange(8)))
        case 4:
            number = rng.choice(EDGE_NUMBERS) % 2**64
            width = rng.choice((1, 2, 4, 8))
            raw[start : start + width] = (number % 256**width).to_bytes(width, rng.choice(("big", "little")))
        case 5:
            raw[start:end] = rng.choice(EDGE_STRINGS).encode()[:300]
        case _:
            other = rng.randrange(len(raw) + 1)
            raw[start:start] = raw[other : other + rng.randint(1, 30)]
    return bytes(raw)


def mutate_tree(value: object, rng: random.Random, edges: Sequence[object]) -> object:
    """Return a parsed value with one place changed.

    An input that is encoded from the result has correct lengths and types; changing bytes rarely gives these.

    Args:
        value: The parsed value, which is not modified.
        rng: The source of random choices.
        edges: The values that may replace a part of the parsed value.
    """
    if isinstance(value, dict) and value and rng.random() < DESCEND_SHARE:
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
    if isinstance(value, list) and value and rng.random() < DESCEND_SHARE:
        index = rng.randrange(len(value))
        match rng.randrange(6):
            case 0:
                return value[:index] + value[index + 1 :]
            case 1:
                return value[:index] + [value[index]] * rng.choice((2, 2, 40)) + value[index:]
            case _:
                return [*value[:index], mutate_tree(value[index], rng, edges), *value[index + 1 :]]
    return rng.choice(edges)
