"""MessagePack, what the platform's protocol needs of it. A parse ends in a value, never an exception."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import Any

MAX_DEPTH = 4  # message, parameters, fields, a field
MAX_ITEMS = 32
MAX_CONTENT_BYTES = 64 * 1024  # bytes of one string or binary value: more is refused unread


@dataclass(frozen=True, slots=True)
class Incomplete:
    """The bytes end before the value does: it needs as many as this, or more."""

    needed_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Malformed:
    """The bytes are no value that is used here."""

    reason: str


@dataclass(frozen=True, slots=True)
class ParsedValue:
    """A whole value, and where it ends. Binary values are slices of the input."""

    value: Any
    end: int


class _IncompleteError(Exception):
    pass


class _MalformedError(Exception):
    pass


def parse(data: memoryview, offset: int = 0) -> ParsedValue | Incomplete | Malformed:
    """The value that begins there."""
    try:
        return ParsedValue(*_parse_value(data, offset, MAX_DEPTH))
    except _IncompleteError as error:
        return Incomplete(error.args[0] - offset)
    except (_MalformedError, UnicodeDecodeError) as error:
        return Malformed(str(error))


# For the codes from 0xc4 on: the width of the length, and the bytes that stand between it and the content.
_LENGTH_PREFIXED = {0xC4: "bin1", 0xC5: "bin2", 0xC6: "bin4", 0xD9: "str1", 0xDA: "str2", 0xDB: "str4"}
_LENGTH_PREFIXED |= {0xDC: "arr2", 0xDD: "arr4", 0xDE: "map2", 0xDF: "map4"}
_INTEGER_FORMATS = {
    0xCC: ">B",
    0xCD: ">H",
    0xCE: ">I",
    0xCF: ">Q",
    0xD0: ">b",
    0xD1: ">h",
    0xD2: ">i",
    0xD3: ">q",
}
_FLOAT_FORMATS = {0xCA: ">f", 0xCB: ">d"}
_NUMBER_LAYOUTS = {code: struct.Struct(form) for code, form in (_INTEGER_FORMATS | _FLOAT_FORMATS).items()}
_CONSTANTS: dict[int, Any] = {0xC0: None, 0xC2: False, 0xC3: True}


def _take_slice(data: memoryview, offset: int, count: int) -> memoryview:
    if count > MAX_CONTENT_BYTES:
        raise _MalformedError("too long")
    if offset + count > len(data):
        raise _IncompleteError(offset + count)
    return data[offset : offset + count]


def _parse_value(data: memoryview, offset: int, depth: int) -> tuple[Any, int]:
    if offset >= len(data):
        raise _IncompleteError(offset + 1)
    code = data[offset]
    offset += 1
    if code < 0x80:
        return code, offset
    if code >= 0xE0:
        return code - 256, offset
    if code < 0x90:
        return _parse_map(data, offset, code & 15, depth)
    if code < 0xA0:
        return _parse_array(data, offset, code & 15, depth)
    if code < 0xC0:
        return _parse_content("str", data, offset, code & 31, depth)
    if code in _CONSTANTS:
        return _CONSTANTS[code], offset
    if (layout := _NUMBER_LAYOUTS.get(code)) is not None:
        return layout.unpack(_take_slice(data, offset, layout.size))[0], offset + layout.size
    if (sized := _LENGTH_PREFIXED.get(code)) is not None:
        width = int(sized[3])
        count = int.from_bytes(_take_slice(data, offset, width), "big")
        return _parse_content(sized[:3], data, offset + width, count, depth)
    raise _MalformedError(f"code {code:#x} is not used here")


def _parse_content(kind: str, data: memoryview, offset: int, count: int, depth: int) -> tuple[Any, int]:
    if kind == "arr":
        return _parse_array(data, offset, count, depth)
    if kind == "map":
        return _parse_map(data, offset, count, depth)
    content = _take_slice(data, offset, count)
    return (str(content, "utf-8") if kind == "str" else content), offset + count


def _check_limits(count: int, depth: int) -> None:
    if depth == 0:
        raise _MalformedError("too deep")
    if count > MAX_ITEMS:
        raise _MalformedError("too many items")


def _parse_array(data: memoryview, offset: int, count: int, depth: int) -> tuple[list[Any], int]:
    _check_limits(count, depth)
    items: list[Any] = []
    for _ in range(count):
        item, offset = _parse_short_string(data, offset) or _parse_value(data, offset, depth - 1)
        items.append(item)
    return items, offset


def _parse_map(data: memoryview, offset: int, count: int, depth: int) -> tuple[dict[str, Any], int]:
    _check_limits(count, depth)
    pairs: dict[str, Any] = {}
    for _ in range(count):
        key, offset = _parse_short_string(data, offset) or _parse_value(data, offset, depth - 1)
        if not isinstance(key, str):
            raise _MalformedError("a map's key is not a string")
        if key in pairs:
            raise _MalformedError("a map has a key twice")
        pairs[key], offset = _parse_short_string(data, offset) or _parse_value(data, offset, depth - 1)
    return pairs, offset


def _parse_short_string(data: memoryview, offset: int) -> tuple[str, int] | None:
    """A whole string of under 32 bytes, as nearly all are, without the way through ``_value``."""
    if offset < len(data) and 0xA0 <= (code := data[offset]) < 0xC0:
        end = offset + 1 + (code & 31)
        if end <= len(data):
            return str(data[offset + 1 : end], "utf-8"), end
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
