"""Start times of workers on this router's clock. It does no I/O; times are Unix ms.

Discovery reports when a worker started by the clock of another machine. This router's clock is Unix time at
the start of its process, carried on by the monotonic clock: it may be off by an hour for the whole life of
the process. A worker that starts late is listed within some seconds. So what a list first shows of a start
bounds the start, whatever the clocks say; a start seen so shows by how much the clocks differ, too.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.protocols.discovery.endpoint_list import EndpointRecord

# From the start of a worker until discovery lists it: some seconds at the operators' sites, with late lists.
MAX_LISTING_DELAY_MS = 8_000.0
# By which clocks of machines that are kept in step differ, and a start may seem to lie ahead.
MAX_CLOCK_DIFFERENCE_MS = 1_000.0
USUAL_LISTING_DELAY_MS = 1_500.0  # assumed where a start has to be placed by its listing alone


@dataclass(frozen=True, slots=True)
class _KnownStart:
    reported_ms: float
    corrected_ms: float


class StartTimes:
    """Corrected start times, by the worker's name."""

    def __init__(self) -> None:
        self._known: dict[str, _KnownStart] = {}
        self._offset_ms = 0.0  # from the reported times to this router's clock

    def correct_list(
        self, records: list[EndpointRecord], now_ms: float, fresh_as_of_ms: float | None
    ) -> list[EndpointRecord]:
        """The records of a list that comes now, with their starts on this router's clock.

        ``fresh_as_of_ms``: until when the list before it was known to be up to date; None: there is none.
        """
        return [
            replace(
                record,
                started_at_ms=self._correct(record.name, record.started_at_ms, now_ms, fresh_as_of_ms),
            )
            for record in records
        ]

    def _correct(self, name: str, reported_ms: float, now_ms: float, fresh_as_of_ms: float | None) -> float:
        """The start of one worker; 0, for one that did not start late, stays 0.

        In the first list nothing shows when a start was listed: it is taken by the clocks, but for one that
        would lie ahead, which is a start just now.
        """
        if reported_ms <= 0.0:
            return reported_ms
        known = self._known.get(name)
        if known is not None and known.reported_ms == reported_ms:
            return known.corrected_ms
        corrected_ms = reported_ms + self._offset_ms
        if corrected_ms > now_ms + MAX_CLOCK_DIFFERENCE_MS:
            corrected_ms = now_ms
            self._offset_ms = corrected_ms - reported_ms
        elif fresh_as_of_ms is not None and corrected_ms < fresh_as_of_ms - MAX_LISTING_DELAY_MS:
            corrected_ms = max(fresh_as_of_ms - MAX_LISTING_DELAY_MS, now_ms - USUAL_LISTING_DELAY_MS)
            if known is not None:  # a restart that is listed at last: one never listed may have been cut off
                self._offset_ms = corrected_ms - reported_ms
        self._known[name] = _KnownStart(reported_ms, corrected_ms)
        return corrected_ms
