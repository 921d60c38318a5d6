"""MessagePack, what the platform's protocol needs of it. A parse ends in a value, never an exception."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import Any

DEPTH = 4  # message, parameters, fields, a field
ITEMS = 32
LONGEST = 64 * 1024  # bytes of one string or binary value: more is refused unread


@dataclass(frozen=True, slots=True)
class Short:
    """The bytes end before the value does: it needs as many as this, or more."""

    need: int = 0


@dataclass(frozen=True, slots=True)
class Bad:
    """The bytes are no value that is used here."""

    why: str


@dataclass(frozen=True, slots=True)
class Value:
    """A whole value, and where it ends. Binary values are slices of the input."""

    value: Any
    end: int


class _ShortError(Exception):
    pass


class _BadError(Exception):
    pass


def parse(data: memoryview, at: int = 0) -> Value | Short | Bad:
    """The value that begins there."""
    try:
        return Value(*_value(data, at, DEPTH))
    except _ShortError as error:
        return Short(error.args[0] - at)
    except (_BadError, UnicodeDecodeError) as error:
        return Bad(str(error))


# For the codes from 0xc4 on: the width of the length, and the bytes that stand between it and the content.
_SIZED = {0xC4: "bin1", 0xC5: "bin2", 0xC6: "bin4", 0xD9: "str1", 0xDA: "str2", 0xDB: "str4"}
_SIZED |= {0xDC: "arr2", 0xDD: "arr4", 0xDE: "map2", 0xDF: "map4"}
_NUMBERS = {0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q", 0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q"}
_FLOATS = {0xCA: ">f", 0xCB: ">d"}
_LAYOUTS = {code: struct.Struct(form) for code, form in (_NUMBERS | _FLOATS).items()}
_CONSTANTS: dict[int, Any] = {0xC0: None, 0xC2: False, 0xC3: True}


def _slice(data: memoryview, at: int, count: int) -> memoryview:
    if count > LONGEST:
        raise _BadError("too long")
    if at + count > len(data):
        raise _ShortError(at + count)
    return data[at : at + count]


def _value(data: memoryview, at: int, depth: int) -> tuple[Any, int]:
    if at >= len(data):
        raise _ShortError(at + 1)
    code = data[at]
    at += 1
    if code < 0x80:
        return code, at
    if code >= 0xE0:
        return code - 256, at
    if code < 0x90:
        return _map(data, at, code & 15, depth)
    if code < 0xA0:
        return _array(data, at, code & 15, depth)
    if code < 0xC0:
        return _content("str", data, at, code & 31, depth)
    if code in _CONSTANTS:
        return _CONSTANTS[code], at
    if (layout := _LAYOUTS.get(code)) is not None:
        return layout.unpack(_slice(data, at, layout.size))[0], at + layout.size
    if (sized := _SIZED.get(code)) is not None:
        width = int(sized[3])
        count = int.from_bytes(_slice(data, at, width), "big")
        return _content(sized[:3], data, at + width, count, depth)
    raise _BadError(f"code {code:#x} is not used here")


def _content(kind: str, data: memoryview, at: int, count: int, depth: int) -> tuple[Any, int]:
    if kind == "arr":
        return _array(data, at, count, depth)
    if kind == "map":
        return _map(data, at, count, depth)
    content = _slice(data, at, count)
    return (str(content, "utf-8") if kind == "str" else content), at + count


def _room(count: int, depth: int) -> None:
    if depth == 0:
        raise _BadError("too deep")
    if count > ITEMS:
        raise _BadError("too many items")


def _array(data: memoryview, at: int, count: int, depth: int) -> tuple[list[Any], int]:
    _room(count, depth)
    items: list[Any] = []
    for _ in range(count):
        item, at = _short_text(data, at) or _value(data, at, depth - 1)
        items.append(item)
    return items, at


def _map(data: memoryview, at: int, count: int, depth: int) -> tuple[dict[str, Any], int]:
    _room(count, depth)
    pairs: dict[str, Any] = {}
    for _ in range(count):
        key, at = _short_text(data, at) or _value(data, at, depth - 1)
        if not isinstance(key, str):
            raise _BadError("a map's key is not a string")
        if key in pairs:
            raise _BadError("a map has a key twice")
        pairs[key], at = _short_text(data, at) or _value(data, at, depth - 1)
    return pairs, at


def _short_text(data: memoryview, at: int) -> tuple[str, int] | None:
    """A whole string of under 32 bytes, as nearly all are, without the way through ``_value``."""
    if at < len(data) and 0xA0 <= (code := data[at]) < 0xC0:
        end = at + 1 + (code & 31)
        if end <= len(data):
            return str(data[at + 1 : end], "utf-8"), end
    return None


def pack_uint(number: int) -> bytes:
    """A number from 0 to 2^64 - 1."""
    if number < 0x80:
        return bytes((number,))
    for code, form in ((0xCC, ">B"), (0xCD, ">H"), (0xCE, ">I")):
        if number < 1 << 8 * struct.calcsize(form):
            return bytes((code,)) + struct.pack(form, number)
    return b"\xcf" + struct.pack(">Q", number)


def pack_str(text: str) -> bytes:
    """A string of at most 255 bytes."""
    raw = text.encode()
    return (bytes((0xA0 | len(raw),)) if len(raw) < 32 else bytes((0xD9, len(raw)))) + raw


def pack_bin(raw: bytes) -> bytes:
    """Bytes."""
    if len(raw) < 1 << 8:
        return bytes((0xC4, len(raw))) + raw
    if len(raw) < 1 << 16:
        return struct.pack(">BH", 0xC5, len(raw)) + raw
    return struct.pack(">BI", 0xC6, len(raw)) + raw


def pack_fields(fields: dict[str, str]) -> bytes:
    """A map of at most 15 short strings to strings."""
    return bytes((0x80 | len(fields),)) + b"".join(pack_str(k) + pack_str(v) for k, v in fields.items())
