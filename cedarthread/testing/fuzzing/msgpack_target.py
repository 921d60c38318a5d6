"""The MessagePack parser against the reference library."""

from __future__ import annotations

import random
from typing import Any

import msgpack as reference

from cedarthread.protocols import msgpack
from cedarthread.testing.fuzzing.cuts import sample_cuts
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


class _MapItems(list[Any]):
    """A map as the reference reads it, keys that come twice and all."""


def _tree(value: Any) -> Any:
    """A value as this program's parser would give it, or what it would not take: a string that says why."""
    if isinstance(value, _MapItems):
        keys = [key for key, _ in value]
        if not all(isinstance(key, str) for key in keys) or len(set(keys)) < len(keys):
            raise ValueError("keys")
        return {key: _tree(item) for key, item in value}
    if isinstance(value, list):
        return [_tree(item) for item in value]
    if isinstance(value, (reference.ExtType, reference.Timestamp)):
        raise ValueError("extension")
    return value


def _depth(value: Any) -> int:
    items = value.values() if isinstance(value, dict) else value if isinstance(value, list) else None
    return 0 if items is None else 1 + max(map(_depth, items), default=0)


def _widest(value: Any) -> int:
    if isinstance(value, (str, bytes)):
        return 0
    items = list(value.values()) if isinstance(value, dict) else value if isinstance(value, list) else []
    return max([len(items), *map(_widest, items)])


def _longest(value: Any) -> int:
    if isinstance(value, (str, bytes)):
        return len(value.encode() if isinstance(value, str) else value)
    items = list(value.values()) if isinstance(value, dict) else value if isinstance(value, list) else []
    return max(map(_longest, items), default=0)


def _plain(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _plain(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_plain(item) for item in value]
    return bytes(value) if isinstance(value, memoryview) else value


def generate_value(rng: random.Random, depth: int) -> Any:
    """A value of a few levels."""
    kind = rng.randrange(10 if depth else 7)
    if kind == 9:
        return {
            rng.choice(("a", "limit", "txn", "x" * 31, "y" * 32)): generate_value(rng, depth - 1)
            for _ in range(3)
        }
    if kind >= 7:
        return [generate_value(rng, depth - 1) for _ in range(rng.choice((0, 1, 2, 15, 16, 33)))]
    plain = (
        None,
        rng.random() < 0.5,
        rng.choice(EDGE_NUMBERS[:-2]),
        rng.choice(EDGE_FLOATS),
        rng.choice(EDGE_STRINGS),
    )
    return (*plain, rng.randbytes(rng.choice((0, 1, 255, 256, 70_000))), "t" * rng.choice((31, 32, 300)))[
        kind
    ]


class MessagePackTarget(Target):
    """MessagePack values, against the reference library."""

    name = "msgpack"
    modules = ("cedarthread.protocols.msgpack",)
    byte_budget = Budget(2**20, 400)

    def generate(self, rng: random.Random) -> bytes:
        """A value, whole or with a code that is not used."""
        if rng.random() < 0.1:
            return bytes((rng.choice((0x81, 0x91, 0xDC, 0xDE, 0xC7, 0xC1)),)) * rng.choice((5, 300, 3000))
        value = generate_value(rng, rng.randint(0, 5))
        try:
            return bytes(reference.packb(value, use_single_float=rng.random() < 0.3))
        except (OverflowError, UnicodeEncodeError):
            return bytes(reference.packb([value is None]))

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """Mostly the tree, so that the lengths hold."""
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
        """Same value as the reference; any cut of it is short, and says how much is needed."""
        parsed = msgpack.parse(memoryview(data))
        room = max(1024, len(data))
        unpacker = reference.Unpacker(
            raw=False, strict_map_key=False, object_pairs_hook=_MapItems, read_size=1024, max_buffer_size=room
        )
        unpacker.feed(data)
        try:
            truth, end = _tree(unpacker.unpack()), unpacker.tell()
        except (ValueError, TypeError, RecursionError, reference.OutOfData, reference.StackError):
            return require(not isinstance(parsed, msgpack.ParsedValue), "took what is no value")
        if isinstance(parsed, msgpack.ParsedValue):
            require(_longest(truth) <= msgpack.MAX_CONTENT_BYTES, "a string past the limit is taken")
            require(
                repr(_plain(parsed.value)) == repr(truth) and parsed.end == end, "another value than it is"
            )
            return self._cuts(data[:end])
        require(not isinstance(parsed, msgpack.Incomplete), "a whole value is said to be short")
        long = end > msgpack.MAX_CONTENT_BYTES
        small = _depth(truth) <= msgpack.MAX_DEPTH and _widest(truth) <= msgpack.MAX_ITEMS
        require(not small or long, f"a value within the limits is refused: {parsed}")

    def _cuts(self, data: bytes) -> None:
        for at in sample_cuts(random.Random(len(data)), data):
            short = msgpack.parse(memoryview(data)[:at])
            require(isinstance(short, msgpack.Incomplete), f"cut at {at} it is not short: {short}")
            if isinstance(short, msgpack.Incomplete):
                require(
                    at < short.needed_bytes <= len(data),
                    f"cut at {at} it says it needs {short.needed_bytes} of {len(data)}",
                )
