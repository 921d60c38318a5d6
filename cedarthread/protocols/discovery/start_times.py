"""Start times of workers converted to this router's clock. Performs no I/O; times are Unix ms.

Discovery reports the start of a worker by the clock of another machine. This router's clock is the Unix time
at the start of its process, continued by the monotonic clock; it may be off by an hour as long as the process
runs. Discovery lists a worker within a few seconds of its start. Therefore the arrival time of the first list
that shows a start bounds the start time, regardless of the clocks, and also reveals the offset between them.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.protocols.discovery.endpoint_list import EndpointRecord

# Longest time from the start of a worker until discovery lists it: a few seconds at the operators' sites,
# including late lists.
MAX_LISTING_DELAY_MS = 8_000.0
# Maximum difference between synchronized clocks; a start may appear to be this far in the future.
MAX_CLOCK_DIFFERENCE_MS = 1_000.0
USUAL_LISTING_DELAY_MS = 1_500.0  # listing delay that is assumed if only the time of the listing is known


@dataclass(frozen=True, slots=True)
class _KnownStart:
    reported_ms: float
    corrected_ms: float


class StartTimes:
    """Corrected start times by worker name, and the offset from discovery's clock to this router's."""

    def __init__(self) -> None:
        self._known: dict[str, _KnownStart] = {}
        self._offset_ms = 0.0  # offset from the reported times to this router's clock

    def correct_list(
        self, records: list[EndpointRecord], now_ms: float, fresh_as_of_ms: float | None
    ) -> list[EndpointRecord]:
        """Return the records of a new list with their start times on this router's clock.

        Args:
            records: The records of the list.
            now_ms: When the list arrived.
            fresh_as_of_ms: When the previous list was last known to be up to date; None if there is none.
        """
        return [
            replace(
                record,
                started_at_ms=self._correct(record.name, record.started_at_ms, now_ms, fresh_as_of_ms),
            )
            for record in records
        ]

    def _correct(self, name: str, reported_ms: float, now_ms: float, fresh_as_of_ms: float | None) -> float:
        """Return the corrected start time of one worker; 0 (no recent start) stays 0.

        The first list bounds no start time, because its workers may have been listed long before it arrived.
        Its start times are taken as the clocks report them; a start in the future counts as a start now.
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
            # Only a restart reveals the offset. A worker that was never listed may have started long ago and
            # been partitioned since.
            if known is not None:
                self._offset_ms = corrected_ms - reported_ms
        self._known[name] = _KnownStart(reported_ms, corrected_ms)
        return corrected_ms
