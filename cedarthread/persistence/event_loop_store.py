"""The store of a router on its event loop, which never waits for the disk.

The store's thread schedules its callbacks on the event loop, so that only the event loop changes state here.
"""

from __future__ import annotations

import asyncio
import logging
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from cedarthread.model.actions import LogMessage
from cedarthread.persistence import recovered_image
from cedarthread.persistence.state_persister import RESET_WRITE, PendingWrite, StatePersister
from cedarthread.persistence.store_thread import StoreHost, open_store

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.fleet_config import DiskConfig
    from cedarthread.persistence.store import LoadResult, StoreFault

log = logging.getLogger(__name__)


class EventLoopStore:
    """The adapter through which a router's ``StatePersister`` writes to a ``StoreThread``.

    It owns the ``StoreThread``. An instance must be created while the event loop runs.

    Args:
        config: the folder and the sync mode of the store.
        persister: decides which writes to make.
        clock: returns the time of a monotonic clock in ms.
        seed: seed of the jitter between reopening attempts.
    """

    def __init__(
        self, config: DiskConfig, persister: StatePersister, clock: Callable[[], float], seed: int
    ) -> None:
        self.persister = persister
        self.clock = clock
        loop = asyncio.get_running_loop()
        self.store = open_store(
            Path(config.folder),
            config.sync,
            config.group,
            host=StoreHost(
                clock=clock,
                wake=lambda: loop.call_soon_threadsafe(self._run_callbacks),
                on_opened=self._on_opened,
                log=log.warning,
            ),
            seed=seed,
        )

    def _run_callbacks(self) -> None:
        self.store.run_callbacks()

    def on_tick(self) -> None:
        """Run due callbacks and start the persister's writes; called several times a second."""
        self._run_callbacks()
        writes = self.persister.on_tick(self.clock())
        if (above_generation := self.persister.reset_above_generation) is not None:
            self.persister.reset_above_generation = None
            self.store.reset(above_generation, partial(self._on_write_completed, RESET_WRITE))
        for write in writes:
            self.store.put(write.key, write.value, partial(self._on_write_completed, write))
        for message in self.persister.take_log_messages():
            log.warning(message.message if isinstance(message, LogMessage) else message)

    def _on_opened(self, load_result: LoadResult) -> None:
        image = recovered_image.decode_image(load_result.values)
        self.persister.on_store_opened(self.clock(), load_result, image)

    def _on_write_completed(self, write: PendingWrite, fault: StoreFault | None) -> None:
        self.persister.on_write_completed(self.clock(), write, fault, self.store.generation)

    def metrics(self) -> dict[str, str]:
        """Return the store's metrics for operators, by their published names."""
        statistics = self.store.statistics
        fault = self.store.fault
        return {
            "store_trouble": "none" if fault is None else fault.value,
            "store_generation": str(self.store.generation),
            "store_acknowledged": str(statistics.acknowledged),
            "store_refused": str(statistics.rejected),
            "store_waiting": str(statistics.pending),
        }

    def close(self) -> None:
        """Write the pending values, within a bounded time, and close the store."""
        self.store.close()
