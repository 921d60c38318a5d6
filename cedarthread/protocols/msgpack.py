"""Codec of MessagePack, limited to what the platform protocol uses. A parse error is returned as a value.

Source: the MessagePack specification, https://github.com/msgpack/msgpack/blob/master/spec.md.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import Any

MAX_DEPTH = 4  # nesting levels: message, parameters, fields, a field
MAX_ITEMS = 32  # maximum number of items of one array or map
# Maximum number of bytes of one string or binary value; a longer one is rejected without reading it.
MAX_CONTENT_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class Incomplete:
    """A value whose end has not been received; its length is at least ``needed_bytes``."""

    needed_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Malformed:
    """Bytes that are not a valid value of the protocol."""

    reason: str


@dataclass(frozen=True, slots=True)
class ParsedValue:
    """A complete value and the offset of its end. Binary values are slices of the input."""

    value: Any  # value of any type that MessagePack has
    end: int


class _IncompleteError(Exception):
    """Input that ends within a value; raised with the offset up to which the value needs bytes."""


class _MalformedError(Exception):
    pass


def parse(data: memoryview, offset: int = 0) -> ParsedValue | Incomplete | Malformed:
    """Parse the value at an offset."""
    try:
        return ParsedValue(*_parse_value(data, offset, MAX_DEPTH))
    except _IncompleteError as error:
        return Incomplete(error.args[0] - offset)
    except (_MalformedError, UnicodeDecodeError) as error:
        return Malformed(str(error))


# The first byte of a value encodes its type; for a small value, its low bits encode the number or length.
_FIXMAP = 0x80
_FIXARRAY = 0x90
_FIXSTR = 0xA0
_SMALL_VALUES_END = 0xC0
# Longest string whose length is in the first byte; a longer string has a separate length byte.
MAX_FIXSTR_BYTES = 31
_NEGATIVE_FIXINT = 0xE0
_BIN8 = 0xC4
_BIN16 = 0xC5
_BIN32 = 0xC6
_UINT8 = 0xCC
_UINT16 = 0xCD
_UINT32 = 0xCE
_UINT64 = 0xCF
_STR8 = 0xD9
# Types with a length after the first byte: the kind of value, and the size of the length field in bytes.
_LENGTH_PREFIXED = {
    _BIN8: ("bin", 1),
    _BIN16: ("bin", 2),
    _BIN32: ("bin", 4),
    _STR8: ("str", 1),
    0xDA: ("str", 2),
    0xDB: ("str", 4),
    0xDC: ("arr", 2),
    0xDD: ("arr", 4),
    0xDE: ("map", 2),
    0xDF: ("map", 4),
}
_INTEGER_FORMATS = {
    _UINT8: ">B",
    _UINT16: ">H",
    _UINT32: ">I",
    _UINT64: ">Q",
    0xD0: ">b",
    0xD1: ">h",
    0xD2: ">i",
    0xD3: ">q",
}
_FLOAT_FORMATS = {0xCA: ">f", 0xCB: ">d"}
_NUMBER_LAYOUTS = {code: struct.Struct(form) for code, form in (_INTEGER_FORMATS | _FLOAT_FORMATS).items()}
_CONSTANTS: dict[int, bool | None] = {0xC0: None, 0xC2: False, 0xC3: True}


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
    if code < _FIXMAP:
        return code, offset
    if code >= _NEGATIVE_FIXINT:
        return code - 256, offset
    if code < _FIXARRAY:
        return _parse_map(data, offset, code & 15, depth)
    if code < _FIXSTR:
        return _parse_array(data, offset, code & 15, depth)
    if code < _SMALL_VALUES_END:
        return _parse_content("str", data, offset, code & 31, depth)
    if code in _CONSTANTS:
        return _CONSTANTS[code], offset
    if (layout := _NUMBER_LAYOUTS.get(code)) is not None:
        return layout.unpack(_take_slice(data, offset, layout.size))[0], offset + layout.size
    if (length_prefixed := _LENGTH_PREFIXED.get(code)) is not None:
        kind, length_bytes = length_prefixed
        count = int.from_bytes(_take_slice(data, offset, length_bytes), "big")
        return _parse_content(kind, data, offset + length_bytes, count, depth)
    raise _MalformedError(f"unsupported type code {code:#x}")


def _parse_content(kind: str, data: memoryview, offset: int, count: int, depth: int) -> tuple[Any, int]:
    if kind == "arr":
        return _parse_array(data, offset, count, depth)
    if kind == "map":
        return _parse_map(data, offset, count, depth)
    content = _take_slice(data, offset, count)
    return (str(content, "utf-8") if kind == "str" else content), offset + count


def _check_limits(count: int, depth: int) -> None:
    if depth == 0:
        raise _MalformedError("nested too deeply")
    if count > MAX_ITEMS:
        raise _MalformedError("too many items in an array or map")


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
            raise _MalformedError("a map key is not a string")
        if key in pairs:
            raise _MalformedError("a map has a duplicate key")
        pairs[key], offset = _parse_short_string(data, offset) or _parse_value(data, offset, depth - 1)
    return pairs, offset


def _parse_short_string(data: memoryview, offset: int) -> tuple[str, int] | None:
    """Parse a complete string of under 32 bytes; a fast path, because this is the most frequent case."""
    if offset < len(data) and _FIXSTR <= (code := data[offset]) < _SMALL_VALUES_END:
        end = offset + 1 + (code & 31)
        if end <= len(data):
            return str(data[offset + 1 : end], "utf-8"), end
    return None


def pack_uint(number: int) -> bytes:
    """Encode a number from 0 to 2^64 - 1."""
    if number < _FIXMAP:
        return bytes((number,))
    for code in (_UINT8, _UINT16, _UINT32):
        layout = _NUMBER_LAYOUTS[code]
        if number < 1 << 8 * layout.size:
            return bytes((code,)) + layout.pack(number)
    return bytes((_UINT64,)) + _NUMBER_LAYOUTS[_UINT64].pack(number)


def pack_str(text: str) -> bytes:
    """Encode a string of at most 255 bytes."""
    raw = text.encode()
    return (bytes((_FIXSTR | len(raw),)) if len(raw) <= MAX_FIXSTR_BYTES else bytes((_STR8, len(raw)))) + raw


def pack_bin(raw: bytes) -> bytes:
    """Encode a binary value."""
    if len(raw) < 1 << 8:
        return bytes((_BIN8, len(raw))) + raw
    if len(raw) < 1 << 16:
        return struct.pack(">BH", _BIN16, len(raw)) + raw
    return struct.pack(">BI", _BIN32, len(raw)) + raw


def pack_fields(fields: dict[str, str]) -> bytes:
    """Encode a map of at most 15 strings to strings."""
    pairs = b"".join(pack_str(key) + pack_str(value) for key, value in fields.items())
    return bytes((_FIXMAP | len(fields),)) + pairs
