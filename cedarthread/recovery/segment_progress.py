"""The rule by which the peer query of one segment of the functions is complete.

A segment is complete once another response would contain few new observations. Their fraction is estimated as
in Good (The population frequencies of species, 1953): the fraction of new observations in the last response
approximates the fraction of the peers' observations that this router does not have.
"""

from __future__ import annotations

from dataclasses import dataclass, field

NEW_FRACTION_THRESHOLD = 0.1
"""Fraction of new observations in a response at or below which its segment is complete."""
MIN_RESPONSES = 2
"""Minimum number of responses for a segment, unless fewer peers are alive."""
MAX_NONEMPTY_RESPONSES = 5
"""Number of non-empty responses after which a segment is always complete."""


@dataclass(slots=True)
class SegmentProgress:
    """The responses for one segment, and whether the segment is complete."""

    response_count: int = 0
    nonempty_response_count: int = 0
    responders: set[int] = field(default_factory=set)
    is_complete: bool = False

    def on_response(self, peer: int, *, received_count: int, new_count: int, has_older_peers: bool) -> None:
        """Count a response of which all parts have arrived, and decide whether the segment is complete.

        Args:
            peer: Peer that sent the response.
            received_count: Observations in the response.
            new_count: Those of them that were new to this router.
            has_older_peers: Whether any peer did not restart with this router. If so, an empty response does
                not mean that no peer has observations.
        """
        self.response_count += 1
        self.responders.add(peer)
        self.nonempty_response_count += received_count > 0
        if received_count:
            has_few_new = new_count <= NEW_FRACTION_THRESHOLD * received_count
        else:
            has_few_new = not has_older_peers
        if self.response_count >= MIN_RESPONSES and has_few_new:
            self.is_complete = True
        if self.nonempty_response_count >= MAX_NONEMPTY_RESPONSES:
            self.is_complete = True
