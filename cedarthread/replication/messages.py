"""Messages of replication datagrams: their fields, without the wire format (``codec.py``).

The module is stateless.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

AGES_PER_RESPONSE = 208  # number of routers whose ages fit in one datagram
BUCKET_COUNT = 32
BUCKET_SUM_MODULUS = 2**48  # bucket sums are sent modulo this
DIGEST_LOW_MODULUS = 2**32  # refs carry digests modulo this
AGE_UNKNOWN = 63  # value of the age bits if the age is unknown
VOTER_FLAG = 64  # flag in the age byte: the age is that of a read of a voter
HAS_ROOT_FLAG = 128  # flag in the age byte: the router has the responder's root digest
ALL_FRAGMENTS = 0xFFFF  # fragment bits that request a whole entry


class EntryRef(NamedTuple):
    """A short reference to one version of an entry."""

    key_hash: int
    digest_low: int

    @property
    def bucket(self) -> int:
        """The bucket whose sum includes the entry."""
        return self.key_hash % BUCKET_COUNT


class FetchItem(NamedTuple):
    """The fragments to fetch of one entry, a bit for each."""

    key_hash: int
    digest_low: int
    fragment_bits: int


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """A request for a peer's root digest and for the ages of the peer's reads.

    The ages are those of AGES_PER_RESPONSE routers from ``first_router`` on.
    """

    nonce: int
    root_digest: int
    incarnation: int
    first_router: int
    store_generation: int = 0


@dataclass(frozen=True, slots=True)
class SyncResponse:
    """The responder's root digest, and a byte with age and flags for each router from ``first_router`` on."""

    nonce: int
    root_digest: int
    incarnation: int
    is_voter: bool  # whether the responder is a voter
    age_step_ms: int  # unit of the ages in ms
    first_router: int
    ages: bytes
    remembered_generation: int = 0  # the greatest store generation that the requester reported
    unix_ms: float = math.nan  # the responder's wall clock; NaN if unknown


@dataclass(frozen=True, slots=True)
class SummaryRequest:
    """A request for the refs in the buckets whose sums differ from the requester's."""

    nonce: int
    bucket_sums: tuple[int, ...]  # bucket sums of the requester, modulo BUCKET_SUM_MODULUS


@dataclass(frozen=True, slots=True)
class Summary:
    """Refs of all entries in some buckets, or one part of a bucket that does not fit in one datagram."""

    nonce: int
    root_digest: int
    incarnation: int
    bucket_bits: int  # bit set of the listed buckets
    part_index: int
    part_count: int
    refs: tuple[EntryRef, ...]


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """A request for fragments of entries."""

    items: tuple[FetchItem, ...]


@dataclass(frozen=True, slots=True)
class EntryFragment:
    """A fragment of an entry's canonical bytes."""

    digest: int
    entry_bytes: int
    fragment_index: int
    data: bytes


Message = SyncRequest | SyncResponse | SummaryRequest | Summary | FetchRequest | EntryFragment
