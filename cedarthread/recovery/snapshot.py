"""The stored format of the warm-state snapshot that a router writes for its next incarnation.

The snapshot is a MessagePack array: the Unix time of writing in ms, the baseline warm fraction or nil, the
baseline rates per second by the names in ``_ACTION_NAMES``, and one ``ObservationRow`` per observation.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cedarthread.recovery.pacing_limits import PacedAction
from cedarthread.recovery.warm_state import AgedObservation, ObservationSource, WarmState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MAX_STORED_OBSERVATIONS = 2048
"""A row is at most 27 bytes (worker and start tag have 32 bits), so a snapshot is smaller than 56 kB."""
MAX_RATE_PER_SECOND = 1e6
"""A stored baseline rate of this value or more is ignored as corrupt."""

_ACTION_NAMES = {
    PacedAction.LOAD: "LOAD",
    PacedAction.CONNECT: "CONNECT",
    PacedAction.DISCOVERY_QUERY: "RESOLVE",
    PacedAction.PEER_QUERY: "ASK",
    PacedAction.RELEASE: "RELEASE",
}
"""The stored names of the paced actions."""
_ACTIONS_BY_NAME = {name: action for action, name in _ACTION_NAMES.items()}

ObservationRow = tuple[int, int, int, float, bool, int]
"""Worker, start tag, function hash, age in ms, whether a warm instance was found, hops."""


class StoredWarmState(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A snapshot; its fields are stored in this order."""

    unix_ms: float
    baseline_warm_fraction: float | None
    baseline_per_second: dict[str, float]
    observations: list[ObservationRow]

    def known_baselines(self) -> dict[PacedAction, float]:
        """Return the baseline rates of the actions that this version knows, without out-of-range rates."""
        return {
            _ACTIONS_BY_NAME[name]: rate
            for name, rate in self.baseline_per_second.items()
            if name in _ACTIONS_BY_NAME and 0 <= rate < MAX_RATE_PER_SECOND
        }


def encode(
    unix_ms: float,
    baseline_warm_fraction: float | None,
    baseline_per_second: Mapping[PacedAction, float],
    observations: Iterable[AgedObservation],
) -> bytes:
    """Return the bytes of a snapshot."""
    rows = [
        (aged.worker_id, aged.start_tag, aged.function_hash, aged.age_ms, aged.is_warm, aged.hops)
        for aged in observations
    ]
    rates = {_ACTION_NAMES[action]: rate for action, rate in baseline_per_second.items()}
    return msgspec.msgpack.encode(StoredWarmState(unix_ms, baseline_warm_fraction, rates, rows))


def decode(raw: bytes) -> StoredWarmState | None:
    """Return the decoded snapshot, or None if the bytes are not a valid snapshot."""
    try:
        return msgspec.msgpack.decode(raw, type=StoredWarmState)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None


def restore_observations(
    stored: StoredWarmState, warm_state: WarmState, now_ms: float, unix_ms: float, clock_error_ms: float
) -> int:
    """Merge the stored observations into the warm state, with the downtime added to their ages.

    Merges no observation if the wall clock has gone back by more than ``clock_error_ms``, or if the downtime
    exceeds the keep-alive.

    Args:
        stored: The snapshot of the previous incarnation.
        warm_state: State to merge into.
        now_ms: Current time.
        unix_ms: Current Unix time.
        clock_error_ms: Maximum difference between the wall clocks of the two incarnations.

    Returns:
        The number of new observations.
    """
    downtime_ms = unix_ms - stored.unix_ms
    if not -clock_error_ms <= downtime_ms <= warm_state.keep_alive_ms:  # also true for NaN
        return 0
    age_growth_ms = max(0.0, downtime_ms) + clock_error_ms
    return sum(
        restore_observation(warm_state, now_ms, age_growth_ms, row)
        for row in stored.observations[:MAX_STORED_OBSERVATIONS]
    )


def restore_observation(
    warm_state: WarmState, now_ms: float, age_growth_ms: float, row: ObservationRow
) -> bool:
    """Merge one stored observation with ``age_growth_ms`` added to its age; return whether it was new."""
    worker_id, start_tag, function_hash, age_ms, is_warm, hops = row
    if not (min(age_ms, hops) >= 0):  # also true for NaN
        return False
    aged = AgedObservation(worker_id, start_tag, function_hash, age_ms + age_growth_ms, is_warm, hops)
    return warm_state.merge_remote(now_ms, now_ms, aged, ObservationSource.STORE)
