"""The home workers of a function while home workers are frozen, as a pure function.

The calls of a function prefer its home workers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence


class HomeWorkers(NamedTuple):
    """The ready workers in the order of preference for a function; the first ``home_count`` are its homes."""

    worker_ids: Sequence[int]
    home_count: int


def with_retained_homes(
    ready_workers: Sequence[int], retained_homes: Sequence[int], home_count: int
) -> HomeWorkers:
    """Return the ready workers with the retained homes first.

    Args:
        ready_workers: Worker ids in the current order of preference.
        retained_homes: The homes from before the freeze. Those that are not ready are omitted.
        home_count: The current number of homes. If no retained home is ready, at most one worker is a home.
    """
    ready = set(ready_workers)
    retained_ready = [worker_id for worker_id in retained_homes if worker_id in ready]
    if not retained_ready:
        return HomeWorkers(ready_workers, min(home_count, 1))
    retained_ids = set(retained_ready)
    others = (worker_id for worker_id in ready_workers if worker_id not in retained_ids)
    return HomeWorkers([*retained_ready, *others], len(retained_ready))
