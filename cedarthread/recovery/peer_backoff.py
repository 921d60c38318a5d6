"""Exponential backoff of the queries to each peer."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

INITIAL_BACKOFF_MS = 250.0
"""Initial backoff for a peer that does not respond; doubles up to ``MAX_BACKOFF_MS``."""
MAX_BACKOFF_MS = 2000.0
BACKOFF_JITTER = 0.5, 1.5
"""Range of the random factor that is applied to each backoff."""


@dataclass(slots=True)
class _PeerBackoff:
    """The earliest time of the next query to a peer, and the peer's next backoff."""

    not_before_ms: float = -math.inf
    next_backoff_ms: float = INITIAL_BACKOFF_MS


class PeerBackoffs:
    """The backoffs of all peers of one client.

    Args:
        rng: Random number generator of the client, for the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._backoffs: dict[int, _PeerBackoff] = {}

    def may_query(self, now_ms: float, peer: int) -> bool:
        """Return whether the backoff of a peer has expired."""
        backoff = self._backoffs.get(peer)
        return backoff is None or now_ms >= backoff.not_before_ms

    def back_off(self, now_ms: float, peer: int, retry_after_ms: float | None = None) -> None:
        """Suspend queries to a peer for its Retry-After, or else for its backoff; double the next backoff."""
        backoff = self._backoffs.setdefault(peer, _PeerBackoff())
        wait_ms = backoff.next_backoff_ms if retry_after_ms is None else retry_after_ms
        backoff.not_before_ms = now_ms + wait_ms * self._rng.uniform(*BACKOFF_JITTER)
        backoff.next_backoff_ms = min(2 * backoff.next_backoff_ms, MAX_BACKOFF_MS)
