"""The fuzz target of the MessagePack parser, compared with the reference library."""

from __future__ import annotations

import random
from typing import Any

import msgpack as reference

from cedarthread.protocols import msgpack
from cedarthread.testing.fuzzing.cuts import sample_truncation_points
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.mutation import (
    DEEP_LIST,
    EDGE_FLOATS,
    EDGE_NUMBERS,
    EDGE_STRINGS,
    mutate_bytes,
    mutate_tree,
)
from cedarthread.testing.fuzzing.resource_meter import Budget
from cedarthread.testing.fuzzing.target import Target

MAX_GENERATED_DEPTH = 5


class _MapItems(list[Any]):
    """The items of a map that the reference library parsed, including items with a repeated key."""


def _expected(value: object) -> object:
    """Return the value that the program's parser must return for a value of the reference library.

    Raises:
        ValueError: The program's parser must reject the value.
    """
    if isinstance(value, _MapItems):
        keys = [key for key, _ in value]
        if not all(isinstance(key, str) for key in keys) or len(set(keys)) < len(keys):
            raise ValueError("map with a repeated key or a key that is not a string")
        return {key: _expected(item) for key, item in value}
    if isinstance(value, list):
        return [_expected(item) for item in value]
    if isinstance(value, (reference.ExtType, reference.Timestamp)):
        raise ValueError("value of an extension type")
    return value


def _items(value: object) -> list[object]:
    if isinstance(value, dict):
        return list(value.values())
    return value if isinstance(value, list) else []


def _depth(value: object) -> int:
    if not isinstance(value, (dict, list)):
        return 0
    return 1 + max(map(_depth, _items(value)), default=0)


def _max_items(value: object) -> int:
    """Return the largest number of items of a list or map in a value."""
    return max([len(_items(value)), *map(_max_items, _items(value))])


def _max_content_bytes(value: object) -> int:
    """Return the length in bytes of the longest string in a value, encoded in UTF-8."""
    if isinstance(value, (str, bytes)):
        return len(value.encode() if isinstance(value, str) else value)
    return max(map(_max_content_bytes, _items(value)), default=0)


def _replace_memoryviews(value: object) -> object:
    if isinstance(value, dict):
        return {key: _replace_memoryviews(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_replace_memoryviews(item) for item in value]
    return bytes(value) if isinstance(value, memoryview) else value


def generate_value(rng: random.Random, depth: int) -> object:
    """Return a random value of at most this nesting depth."""
    kind = rng.randrange(10 if depth else 7)
    if kind == 9:
        return {
            rng.choice(("a", "limit", "txn", "x" * 31, "y" * 32)): generate_value(rng, depth - 1)
            for _ in range(3)
        }
    if kind >= 7:
        return [generate_value(rng, depth - 1) for _ in range(rng.choice((0, 1, 2, 15, 16, 33)))]
    scalars = (
        None,
        rng.random() < 0.5,
        rng.choice(EDGE_NUMBERS[:-2]),
        rng.choice(EDGE_FLOATS),
        rng.choice(EDGE_STRINGS),
        rng.randbytes(rng.choice((0, 1, 255, 256, 70_000))),
        "t" * rng.choice((31, 32, 300)),
    )
    return scalars[kind]


class MessagePackTarget(Target):
    """MessagePack values, compared with the reference library."""

    name = "msgpack"
    modules = ("cedarthread.protocols.msgpack",)
    byte_budget = Budget(2**20, 400)

    def generate(self, rng: random.Random) -> bytes:
        """Return an encoded value, or a type code that is repeated many times."""
        if rng.random() < 0.1:
            return bytes((rng.choice((0x81, 0x91, 0xDC, 0xDE, 0xC7, 0xC1)),)) * rng.choice((5, 300, 3000))
        value = generate_value(rng, rng.randint(0, MAX_GENERATED_DEPTH))
        try:
            return bytes(reference.packb(value, use_single_float=rng.random() < 0.3))
        except (OverflowError, UnicodeEncodeError):
            return bytes(reference.packb([value is None]))

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """Return the input with its parsed value changed, which preserves lengths, or its bytes."""
        if rng.random() < 0.6:
            try:
                tree = reference.unpackb(data, raw=False, strict_map_key=False)
                return bytes(
                    reference.packb(
                        mutate_tree(tree, rng, [*EDGE_NUMBERS[:-2], *EDGE_STRINGS, b"", DEEP_LIST, {}])
                    )
                )
            except (ValueError, TypeError, OverflowError, RecursionError):
                pass
        return mutate_bytes(data, rng)

    def check(self, data: bytes) -> None:
        """Check that the parser returns the reference's value, and that truncated inputs are incomplete."""
        parsed = msgpack.parse(memoryview(data))
        unpacker = reference.Unpacker(
            raw=False,
            strict_map_key=False,
            object_pairs_hook=_MapItems,
            read_size=1024,
            max_buffer_size=max(1024, len(data)),
        )
        unpacker.feed(data)
        try:
            expected = _expected(unpacker.unpack())
            end = unpacker.tell()
        except (ValueError, TypeError, RecursionError, reference.OutOfData, reference.StackError):
            require(
                not isinstance(parsed, msgpack.ParsedValue), "an invalid or incomplete value was accepted"
            )
            return
        if isinstance(parsed, msgpack.ParsedValue):
            require(
                _max_content_bytes(expected) <= msgpack.MAX_CONTENT_BYTES,
                "a string beyond the size limit was accepted",
            )
            require(
                repr(_replace_memoryviews(parsed.value)) == repr(expected) and parsed.end == end,
                "parsed value or its end differs from the reference",
            )
            self._check_prefixes(data[:end])
            return
        require(not isinstance(parsed, msgpack.Incomplete), "a complete value was reported as incomplete")
        is_too_long = end > msgpack.MAX_CONTENT_BYTES
        is_within_limits = _depth(expected) <= msgpack.MAX_DEPTH and _max_items(expected) <= msgpack.MAX_ITEMS
        require(not is_within_limits or is_too_long, f"a value within the limits was rejected: {parsed}")

    def _check_prefixes(self, data: bytes) -> None:
        for position in sample_truncation_points(random.Random(len(data)), data):
            prefix = msgpack.parse(memoryview(data)[:position])
            require(
                isinstance(prefix, msgpack.Incomplete),
                f"value truncated at {position} was not reported as incomplete: {prefix}",
            )
            if isinstance(prefix, msgpack.Incomplete):
                require(
                    position < prefix.needed_bytes <= len(data),
                    f"value truncated at {position} needs {prefix.needed_bytes} bytes of {len(data)}",
                )
