"""Acceptance of endpoint lists: decides whether the list in a reply is current.

Performs no I/O; times are event-loop seconds. A single reply is not trusted. It may be old, and its serial
may belong to another numbering sequence, because discovery restarts its event numbering at each start of a
router. In an incident, an old reply with a higher serial was accepted, and a later drain with the same serial
was ignored. Therefore a list is accepted once the replies to two queries agree.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.protocols.discovery.endpoint_list import EndpointRecord

CONFIRMING_QUERIES = 2  # queries that must return the same list before it is accepted
# Once a candidate with a higher serial is older than this, another reply with the list in use drops it.
CANDIDATE_LIFETIME_S = 1.0
# A list with a lower serial than the list in use counts as old, unless no other list arrives for this time.
LOWER_SERIAL_CONFIRMATION_S = 2.0


class ListVerdict(Enum):
    """The verdict on the list of a reply."""

    KNOWN = auto()  # the list is equal to the list in use
    NEW = auto()  # the list is confirmed, so it becomes (or remains) the list in use
    UNCONFIRMED = auto()  # the list is not accepted yet: it may be new or old


@dataclass(slots=True)
class _Candidate:
    serial: int
    records: frozenset[EndpointRecord]
    first_seen_at_s: float
    query_ids: set[int]
    is_contradicted: bool = False  # the list in use arrived again since, for example from another server


class ListAcceptance:
    """The list in use, and the candidate that may replace it."""

    def __init__(self) -> None:
        self.serial = -1  # serial of the list in use
        self.must_confirm_again = False  # True after an unconfirmed list demoted workers of the list in use
        self._records: frozenset[EndpointRecord] | None = None  # None until a list is confirmed
        self._candidate: _Candidate | None = None

    def evaluate(
        self, serial: int, records: frozenset[EndpointRecord], query_id: int, now_s: float
    ) -> ListVerdict:
        """Return the verdict on the list in the reply to a query."""
        is_in_use = serial == self.serial and records == self._records
        if is_in_use and not self.must_confirm_again:
            self._contradict_candidate(now_s)
            return ListVerdict.KNOWN
        candidate = self._candidate
        if candidate is None or candidate.serial != serial or candidate.records != records:
            candidate = _Candidate(serial, records, now_s, set())
            self._candidate = candidate
        candidate.query_ids.add(query_id)
        if not self._is_confirmed(candidate, now_s):
            return ListVerdict.UNCONFIRMED
        self.serial = serial
        self._records = records
        self._candidate = None
        self.must_confirm_again = False
        return ListVerdict.NEW

    def _contradict_candidate(self, now_s: float) -> None:
        """Drop the candidate, or require one more confirmation, because the list in use arrived again.

        Only a candidate with a higher serial may still be newer. An empty candidate is always dropped,
        because a corrupted reply must not remove every worker.
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
