"""Updates of the endpoint list from the configuration and from discovery."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING

from cedarthread.logs import format_event
from cedarthread.protocols.discovery.endpoint_list import EndpointList, EndpointRecord
from cedarthread.protocols.discovery.start_times import StartTimes

if TYPE_CHECKING:
    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.model.endpoints import EndpointUpdate
    from cedarthread.model.settings import RouterSettings
    from cedarthread.protocols.discovery.endpoint_records import PartialList
    from cedarthread.protocols.discovery.query_tracker import QueryTracker
    from cedarthread.protocols.worker.connections import WorkerConnections

log = logging.getLogger(__name__)


class EndpointUpdates:
    """Owner of the router's endpoint list and of the start times of its workers.

    Each change of the list is applied to the worker connections first and to the dispatcher second, so that
    the dispatcher only selects workers that have a connection pool.

    Args:
        settings: The settings, which define zones and kinds of workers.
        queries: Tracks the discovery queries, and thereby the freshness of the list.
        workers: The worker connections, which are updated from the list.
        dispatcher: The dispatcher, which is updated from the list.
    """

    def __init__(
        self,
        settings: RouterSettings,
        queries: QueryTracker,
        workers: WorkerConnections,
        dispatcher: Dispatcher,
    ) -> None:
        self.endpoint_list = EndpointList(settings)
        self._start_times = StartTimes()
        self._queries = queries
        self._workers = workers
        self._dispatcher = dispatcher

    def update(self, serial: int, records: list[EndpointRecord], *, is_complete: bool) -> None:
        """Apply a newer list of workers.

        Args:
            serial: The serial number of the list; a list without a newer serial number is ignored.
            records: All workers, or the workers that changed.
            is_complete: Whether ``records`` contains all workers.
        """
        event = self.endpoint_list.apply_update(
            serial, self._with_corrected_starts(records), is_snapshot=is_complete
        )
        self._on_list_changed(serial, event)

    def replace(self, serial: int, records: list[EndpointRecord]) -> None:
        """Apply a complete list that discovery has confirmed, even if its serial number is not newer."""
        event = self.endpoint_list.replace_all(serial, self._with_corrected_starts(records))
        self._on_list_changed(serial, event)

    def apply_partial_list(self, partial: PartialList) -> bool:
        """Mark workers as draining if an otherwise unusable list shows them as draining or omits them.

        Return whether any ready worker was marked.
        """
        listed = partial.listed_names
        event = self.endpoint_list.demote(
            lambda name: name in partial.draining_names or (listed is not None and name not in listed)
        )
        if event is None:
            return False
        log.info(format_event("endpoints_demoted", serial=event.version, demoted=len(event.endpoints)))
        self._apply(event)
        return True

    def _with_corrected_starts(self, records: list[EndpointRecord]) -> list[EndpointRecord]:
        now_ms = self._dispatcher.clock()
        return self._start_times.correct_list(records, now_ms, self._fresh_as_of_ms(now_ms))

    def _fresh_as_of_ms(self, now_ms: float) -> float | None:
        """Return when the list was last known to be current, on the dispatcher's clock; None: never."""
        fresh_as_of_s = self._queries.fresh_as_of_s
        if fresh_as_of_s == -math.inf:
            return None
        return now_ms - 1000.0 * (asyncio.get_running_loop().time() - fresh_as_of_s)

    def _on_list_changed(self, serial: int, event: EndpointUpdate | None) -> None:
        """Log and apply a change of the list; ``event`` is None if the list has not changed."""
        if event is None:
            return
        changed = len(event.endpoints)
        listed = len(self.endpoint_list.records)
        log.info(format_event("endpoints_updated", serial=serial, changed=changed, listed=listed))
        self._apply(event)

    def _apply(self, event: EndpointUpdate) -> None:
        self._workers.update_endpoints(self.endpoint_list.by_worker_id())
        self._dispatcher.endpoints_changed(event)
