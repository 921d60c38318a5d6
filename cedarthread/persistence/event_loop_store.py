"""The store of one process on the event loop, which never waits for it: puts go out, their ends come in."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial
from pathlib import Path

from cedarthread.fleet_config import DiskConfig as Told
from cedarthread.persistence import recovered_image
from cedarthread.persistence.state_persister import PendingWrite, StatePersister
from cedarthread.persistence.store import LoadResult, StoreFault
from cedarthread.persistence.store_thread import StoreThread, open_store

log = logging.getLogger("cedarthread.persistence")


class EventLoopStore:
    """What ``keeping`` wants kept, kept. ``clock``: steady ms."""

    def __init__(
        self, settings: Told, persister: StatePersister, clock: Callable[[], float], seed: int
    ) -> None:
        self.persister, self.clock = persister, clock
        loop = asyncio.get_running_loop()
        self.store: StoreThread = open_store(
            Path(settings.folder),
            settings.sync,
            settings.group,
            clock=clock,
            wake=lambda: loop.call_soon_threadsafe(self._run_callbacks),
            on_opened=self._on_opened,
            log=log.warning,
            seed=seed,
        )

    def _run_callbacks(self) -> None:
        self.store.run_callbacks()

    def on_tick(self) -> None:
        """Some times a second: ends that the clock makes, and what is to be put now."""
        self._run_callbacks()
        puts = self.persister.on_tick(self.clock())
        if (above := self.persister.reset_above_generation) is not None:
            self.persister.reset_above_generation = None
            self.store.reset(above, self._on_reset_completed)
        for put in puts:
            self.store.put(put.key, put.value, partial(self._on_write_completed, put))
        for word in self.persister.take_log_messages():
            log.warning("%s", getattr(word, "message", word))

    def _on_opened(self, read: LoadResult) -> None:
        self.persister.on_store_opened(self.clock(), read, recovered_image.decode_image(read.values))

    def _on_write_completed(self, write: PendingWrite, fault: StoreFault | None) -> None:
        self.persister.on_write_completed(self.clock(), write, fault, self.store.generation)

    def _on_reset_completed(self, trouble: StoreFault | None) -> None:
        self._on_write_completed(PendingWrite("", b"", "reset"), trouble)

    def figures(self) -> dict[str, str]:
        """For operators."""
        told, trouble = self.store.statistics, self.store.fault
        return {
            "store_trouble": "none" if trouble is None else trouble.value,
            "store_generation": str(self.store.generation),
            "store_acknowledged": str(told.acknowledged),
            "store_refused": str(told.rejected),
            "store_waiting": str(told.pending),
        }

    def close(self) -> None:
        """Write what waits, within a bound, and end."""
        self.store.close()
