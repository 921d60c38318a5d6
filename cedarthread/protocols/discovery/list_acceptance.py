"""Which of the lists that discovery replies with is the present one. It does no I/O; times are loop seconds.

A single reply proves little: it may be an old one, and its serial may belong to another numbering, since
events are numbered anew at each start of a router. One whose serial was ahead was taken once, and a drain
that later bore the same serial passed for known. So a list is taken once replies to two queries agree on it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.protocols.discovery.endpoint_list import EndpointRecord

CONFIRMING_QUERIES = 2  # that have to be answered with the same list
CANDIDATE_LIFETIME_S = 1.0  # in which a list with a higher serial has to be confirmed
# A serial that is lower than that of the list in use is old news, unless nothing else comes for so long.
LOWER_SERIAL_CONFIRMATION_S = 2.0


class ListVerdict(Enum):
    """What a reply's list is."""

    KNOWN = auto()  # the list in use
    NEW = auto()  # confirmed: to be used from now on
    UNCONFIRMED = auto()  # it may be new, or old


@dataclass(slots=True)
class _Candidate:
    serial: int
    records: frozenset[EndpointRecord]
    first_seen_at_s: float
    query_ids: set[int]
    is_contradicted: bool = False  # the list in use came meanwhile, as by another server after a move


class ListAcceptance:
    """The list in use, and the one that may take its place."""

    def __init__(self) -> None:
        self.serial = -1  # of the list in use
        self.must_confirm_again = False  # the list in use was changed by an unconfirmed one
        self._records: frozenset[EndpointRecord] | None = None  # None: no reply has confirmed it yet
        self._candidate: _Candidate | None = None

    def consider(
        self, serial: int, records: frozenset[EndpointRecord], query_id: int, now_s: float
    ) -> ListVerdict:
        """What the list of a reply to this query is."""
        is_in_use = serial == self.serial and records == self._records
        if is_in_use and not self.must_confirm_again:
            self._contradict_candidate(now_s)
            return ListVerdict.KNOWN
        candidate = self._candidate
        if candidate is None or candidate.serial != serial or candidate.records != records:
            candidate = self._candidate = _Candidate(serial, records, now_s, set())
        candidate.query_ids.add(query_id)
        if not self._is_confirmed(candidate, now_s):
            return ListVerdict.UNCONFIRMED
        self.serial, self._records, self._candidate = serial, records, None
        self.must_confirm_again = False
        return ListVerdict.NEW

    def _contradict_candidate(self, now_s: float) -> None:
        """The list in use came once more: of others only one with a higher serial may still be newer.

        An empty one is dropped in any case: a corrupted reply must not remove every worker.
        """
        candidate = self._candidate
        if candidate is None:
            return
        is_expired = now_s > candidate.first_seen_at_s + CANDIDATE_LIFETIME_S
        if candidate.serial <= self.serial or is_expired or not candidate.records:
            self._candidate = None
        else:
            candidate.is_contradicted = True

    def _is_confirmed(self, candidate: _Candidate, now_s: float) -> bool:
        needed = CONFIRMING_QUERIES + candidate.is_contradicted
        if len(candidate.query_ids) < needed:
            return False
        is_lower = candidate.serial < self.serial
        return not is_lower or now_s >= candidate.first_seen_at_s + LOWER_SERIAL_CONFIRMATION_S
