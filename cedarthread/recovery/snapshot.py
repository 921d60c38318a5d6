"""The warm-state snapshot in the store: what a router keeps for its next incarnation.

A MessagePack array: Unix time of writing in ms, the baseline warm fraction or nil, the baseline rates by the
names below, and the observations, each as worker, start tag, function hash, age in ms, whether
it was warm, and hops.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cedarthread.recovery.pacing_limits import PacedAction
from cedarthread.recovery.warm_state import AgedObservation, Source, WarmState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MAX_STORED_OBSERVATIONS = 2048
"""Each takes 27 bytes at most (worker and start of 32 bits), so a snapshot stays under 56 kB."""
MAX_RATE_PER_SECOND = 1e6
"""A stored baseline rate from here on is taken for damage."""

_ACTION_NAMES = {
    PacedAction.LOAD: "LOAD",
    PacedAction.CONNECT: "CONNECT",
    PacedAction.DISCOVERY_QUERY: "RESOLVE",
    PacedAction.PEER_QUERY: "ASK",
    PacedAction.RELEASE: "RELEASE",
}
"""The names of the paced actions as they are stored."""
_ACTIONS_BY_NAME = {name: action for action, name in _ACTION_NAMES.items()}

ObservationRow = tuple[int, int, int, float, bool, int]
"""Worker, start tag, function hash, age in ms, is warm, hops."""


class StoredWarmState(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """The snapshot as it is written, in the order of its fields."""

    unix_ms: float
    baseline_warm_fraction: float | None
    baseline_per_second: dict[str, float]
    observations: list[ObservationRow]

    def known_baselines(self) -> dict[PacedAction, float]:
        """The baseline rates of actions that this version knows, without impossible ones."""
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
    """The bytes of a snapshot."""
    rows = [
        (seen.worker_id, seen.start_tag, seen.function_hash, seen.age_ms, seen.is_warm, seen.hops)
        for seen in observations
    ]
    rates = {_ACTION_NAMES[action]: rate for action, rate in baseline_per_second.items()}
    return msgspec.msgpack.encode(StoredWarmState(unix_ms, baseline_warm_fraction, rates, rows))


def decode(raw: bytes) -> StoredWarmState | None:
    """The snapshot that was written; None for bytes that are none."""
    try:
        return msgspec.msgpack.decode(raw, type=StoredWarmState)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None


def restore_observations(
    stored: StoredWarmState, warm_state: WarmState, now_ms: float, unix_ms: float, clock_error_ms: float
) -> int:
    """Take the stored observations, older by the downtime; how many are news.

    ``unix_ms``: the wall clock now. None is taken where that clock went back by more than ``clock_error_ms``,
    or the downtime is over the keep-alive.
    """
    downtime_ms = unix_ms - stored.unix_ms
    if not -clock_error_ms <= downtime_ms <= warm_state.keep_alive_ms:  # refuses NaN too
        return 0
    age_growth_ms = max(0.0, downtime_ms) + clock_error_ms
    return sum(
        restore_observation(warm_state, now_ms, age_growth_ms, row)
        for row in stored.observations[:MAX_STORED_OBSERVATIONS]
    )


def restore_observation(
    warm_state: WarmState, now_ms: float, age_growth_ms: float, row: ObservationRow
) -> bool:
    """Take one stored observation, older by ``age_growth_ms``; whether it was news."""
    worker_id, start_tag, function_hash, age_ms, is_warm, hops = row
    if not (min(age_ms, hops) >= 0):  # refuses NaN too
        return False
    aged = AgedObservation(worker_id, start_tag, function_hash, age_ms + age_growth_ms, is_warm, hops)
    return warm_state.merge_remote(now_ms, now_ms, aged, Source.STORE)
