"""The reload on SIGHUP: each file is either applied as a whole, or rejected as a whole and logged."""

from __future__ import annotations

import logging
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from cedarthread.errors import ConfigurationError
from cedarthread.logs import format_event
from cedarthread.missing_keys import check_replacement

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from cedarthread.config import Config
    from cedarthread.fleet_config import FleetConfig
    from cedarthread.lifecycle.listeners import PeerListener
    from cedarthread.lifecycle.state import ServiceParts, ServiceState

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class FleetFiles:
    """The path of the operators' fleet file, and the folder for this router's persistent state."""

    # Path of the fleet file; None: nothing is declared, and the fleet modules are not imported.
    fleet_file: Path | None
    store_folder: str | None  # overrides the folder from the fleet file; None: no override


class Reloader:
    """Reloader of all files. A pending call keeps the request class under which it was accepted.

    Args:
        parts: The parts to which new settings are applied.
        state: The service state; the reloader sets ``config``, the reload counters and the store.
        peer_listener: Opens the socket for other routers if new settings allow gossip.
        fleet_files: The paths of the operators' fleet file and of the store.
        load_config: Reloads the configuration; None: the configuration never changes.
    """

    def __init__(
        self,
        parts: ServiceParts,
        state: ServiceState,
        peer_listener: PeerListener,
        fleet_files: FleetFiles,
        load_config: Callable[[], Config] | None,
    ) -> None:
        self.load_config = load_config
        self._parts = parts
        self._state = state
        self._peer_listener = peer_listener
        self._fleet_files = fleet_files

    def reload(self) -> None:
        """Reload certificates, fleet file and configuration, and apply the changes."""
        self.reload_invoke_files()
        self.load_fleet_config()
        if self.load_config is None:
            return
        try:
            loaded = self.load_config()
            check_replacement(loaded.key_inventory, self._state.config.key_inventory)
        except ConfigurationError as error:
            self._state.reload_errors += 1
            log.error(format_event("configuration_rejected", error=error))
            return
        self._state.reloads += 1
        self._apply_config(loaded)

    def _apply_config(self, loaded: Config) -> None:
        """Apply new settings and a new discovery address; a reload changes no other address."""
        state = self._state
        self._parts.workers.update_settings(self._parts.dispatcher.update_settings(loaded.settings))
        self._parts.discovery.queries.update_drain_grace(loaded.settings.rules.drain_grace_ms / 1000.0)
        state.config = replace(
            state.config,
            settings=loaded.settings,
            discovery_address=loaded.discovery_address or state.config.discovery_address,
            key_inventory=loaded.key_inventory,
        )
        state.start_task(self._peer_listener.listen())
        class_names = ",".join(request_class.name for request_class in loaded.settings.classes)
        log.info(format_event("configuration_reloaded", classes=class_names))
        if loaded.discovery_address is not None:
            address = "{}:{}".format(*loaded.discovery_address)
            log.info(format_event("discovery_address_reloaded", address=address))
            self._parts.discovery.start_polling(*loaded.discovery_address)

    def reload_invoke_files(self) -> None:
        """Reload the invoke API's certificates if they have changed."""
        if self._parts.invoke is not None:
            self._state.start_task(self._parts.invoke.reload_if_changed())

    def load_fleet_config(self) -> None:
        """Load the fleet file; this router declares new entries and replicates them to all routers."""
        fleet_file = self._fleet_files.fleet_file
        if fleet_file is None:
            return
        # Imported here, because this loads msgspec, which a router without a fleet file does not need.
        from cedarthread import fleet_config

        try:
            loaded = fleet_config.load_fleet_config(fleet_file, self._fleet_files.store_folder)
        except fleet_config.FleetConfigError as error:
            self._state.reload_errors += 1
            log.error(format_event("fleet_config_rejected", error=error))
            return
        self._parts.dispatcher.apply_fleet_config(loaded)
        self._open_store(loaded)
        log.info(
            format_event("fleet_config_loaded", contracts=len(loaded.contract), windows=len(loaded.freeze))
        )

    def _open_store(self, loaded: FleetConfig) -> None:
        """Open the store that the fleet file configures, unless a store is already open."""
        dispatcher = self._parts.dispatcher
        state = self._state
        fleet_components = dispatcher.node.fleet_components
        persister = fleet_components.persister if fleet_components is not None else None
        if state.event_loop_store is None and loaded.disk is not None and persister is not None:
            from cedarthread.persistence.event_loop_store import EventLoopStore

            seed = state.config.seed
            state.event_loop_store = EventLoopStore(loaded.disk, persister, dispatcher.clock, seed)
