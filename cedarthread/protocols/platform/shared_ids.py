"""The ids of abandoned calls that the processes of one address share during an upgrade, in a mapped file.

The file has a fixed number of slots of 16 bytes: the id as a number, and the time of its expiry in Unix ms.
An id may be in any of the few slots of its set. Writers and readers need no lock: an id is written with an
expiry of 0 first, so that a torn slot is at worst not found.
"""

from __future__ import annotations

import logging
import mmap
import os
import struct
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.logs import format_event
from cedarthread.protocols.private_folder import address_name, private_temporary_folder

if TYPE_CHECKING:
    from pathlib import Path

log = logging.getLogger(__name__)

SETS = 1024
SLOTS_PER_SET = 4
_SLOT = struct.Struct("<Qd")
_EXPIRY = struct.Struct("<d")
_ID_BYTES = 8
FILE_BYTES = SETS * SLOTS_PER_SET * _SLOT.size
_HEXADECIMAL = 16


def default_path(host: str, port: int) -> Path:
    """Return the path of the file for a listen address.

    Raises:
        OSError: The folder of the file cannot be used.
    """
    return private_temporary_folder() / f"call-ids-{address_name(host, port)}"


class Slot(NamedTuple):
    """The content of one slot."""

    offset: int  # of the slot in the file
    number: int  # the id as a number
    expires_at_ms: float


class MappedIds:
    """The mapped file of one process; implements ``SharedIds``.

    Args:
        path: The file, which is created if there is none.

    Raises:
        OSError: The file cannot be used.
    """

    def __init__(self, path: Path) -> None:
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            if os.fstat(descriptor).st_size < FILE_BYTES:
                os.ftruncate(descriptor, FILE_BYTES)
            self._map = mmap.mmap(descriptor, FILE_BYTES)
        finally:
            os.close(descriptor)

    def add(self, call_id: str, now_ms: float, expires_at_ms: float) -> None:
        """Write an id into a free slot of its set, or else into the one that expires first."""
        number = int(call_id, _HEXADECIMAL)
        slot = min(self._slots(number), key=lambda slot: slot.expires_at_ms)
        if slot.expires_at_ms > now_ms:
            log.warning(format_event("shared_call_id_displaced", early_ms=round(slot.expires_at_ms - now_ms)))
        _SLOT.pack_into(self._map, slot.offset, number, 0.0)
        _EXPIRY.pack_into(self._map, slot.offset + _ID_BYTES, expires_at_ms)

    def contains(self, call_id: str, now_ms: float) -> bool:
        """Return whether an id is in the file and has not expired."""
        number = int(call_id, _HEXADECIMAL)
        return any(slot.number == number and slot.expires_at_ms > now_ms for slot in self._slots(number))

    def _slots(self, number: int) -> list[Slot]:
        """Return the slots of an id's set."""
        first = (number % SETS) * SLOTS_PER_SET * _SLOT.size
        offsets = range(first, first + SLOTS_PER_SET * _SLOT.size, _SLOT.size)
        return [Slot(offset, *_SLOT.unpack_from(self._map, offset)) for offset in offsets]
