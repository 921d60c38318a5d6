"""Golden samples, the plain form of decoded values, and the samples of a datagram codec."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime
from enum import Enum, StrEnum
from typing import TYPE_CHECKING, Generic, TypeVar

import msgspec

from cedarthread.components.datagram_fields import MalformedDatagram

if TYPE_CHECKING:
    from collections.abc import Mapping

FUNCTION_ID = 0x7F3A9C21E0B4D655
WALL_CLOCK_MS = 1_772_352_000_000.0  # 2026-03-01T08:00:00Z

Json = None | bool | int | float | str | list["Json"] | dict[str, "Json"]
Reader = Callable[[bytes], Json]
Rewriter = Callable[[bytes], bytes]
Message = TypeVar("Message")


@dataclass(frozen=True)
class Sample:
    """Bytes of a wire format or of a store, under their name in a golden file.

    Args:
        name: Key of the sample in its golden file.
        data: The bytes.
        read: Decodes the bytes to plain values; None if the router never reads such bytes.
        rewrite: Decodes the bytes and encodes the result; None if the decoded value cannot be encoded again.
    """

    name: str
    data: bytes
    read: Reader | None = None
    rewrite: Rewriter | None = None


def text_sample(name: str, content: str) -> Sample:
    """Return a sample of this text in UTF-8."""
    return Sample(name, content.encode())


def to_plain(value: object) -> Json:
    """Return a decoded value without the names of classes, fields and members, which may be renamed."""
    if isinstance(value, datetime):
        return value.isoformat()
    if isinstance(value, StrEnum):  # The text of these members is part of the stored data.
        return str(value.value)
    if isinstance(value, Enum) and not isinstance(value, int):
        return [member is value for member in type(value)].index(True)
    if isinstance(value, float):
        return value if math.isfinite(value) else str(value)
    if isinstance(value, (bytes, bytearray, memoryview)):
        return bytes(value).hex()
    if isinstance(value, bool) or value is None or isinstance(value, str):
        return value
    if isinstance(value, int):
        return int(value)
    if isinstance(value, msgspec.Struct):
        return to_plain(msgspec.structs.astuple(value))
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return to_plain(dataclasses.astuple(value))
    if isinstance(value, dict):
        return {str(to_plain(key)): to_plain(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [to_plain(item) for item in value]
    raise TypeError(f"cannot convert to a plain value: {type(value)}")


def require_well_formed(message: Message | MalformedDatagram) -> Message:
    """Return the decoded message.

    Raises:
        ValueError: The decoder rejected the bytes.
    """
    if isinstance(message, MalformedDatagram):
        raise ValueError(message.reason)
    return message


@dataclass(frozen=True)
class DatagramCodec(Generic[Message]):
    """The encoder and the decoder of datagrams between routers."""

    encode: Callable[[Message], bytes]
    decode: Callable[[bytes], Message | MalformedDatagram]

    def read(self, data: bytes) -> Json:
        """Return the decoded message as plain values."""
        return to_plain(require_well_formed(self.decode(data)))

    def rewrite(self, data: bytes) -> bytes:
        """Return the encoding of the decoded message."""
        return self.encode(require_well_formed(self.decode(data)))

    def sample(self, name: str, data: bytes) -> Sample:
        """Return a sample of a datagram that is already encoded."""
        return Sample(name, data, self.read, self.rewrite)

    def samples(self, messages: Mapping[str, Message]) -> list[Sample]:
        """Return a sample of each of these messages, by name."""
        return [self.sample(name, self.encode(message)) for name, message in messages.items()]
