"""The listeners that the service can do without: for operators, and for other routers.

Where one of their addresses can't be listened on, calls are served meanwhile and the attempt is repeated: at
an upgrade the old process still holds the addresses for a while.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import TYPE_CHECKING

from cedarthread.lifecycle.state import LISTEN_RETRY_S, ServiceState
from cedarthread.logs import format_event
from cedarthread.protocols.peers import PeerTransport

if TYPE_CHECKING:
    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.protocols.control import ControlServer

log = logging.getLogger(__name__)


class ControlListener:
    """Listens for operators."""

    def __init__(self, control: ControlServer, state: ServiceState) -> None:
        self.port = 0  # once it listens
        self._control = control
        self._state = state
        self._is_failure_logged = False

    def listen(self) -> None:
        """Listen on the configured address, now or later. ``socket.gaierror`` where its host name is unknown:
        a repeated lookup would block the event loop each time.
        """
        address = self._state.config.control_address
        if address is None or self._state.shutdown_requested.is_set():
            return
        try:
            self.port = self._control.listen(*address)
        except socket.gaierror:
            raise
        except OSError as error:
            if not self._is_failure_logged:
                host, port = address
                log.error(format_event("control_listen_failed", address=f"{host}:{port}", error=error))
                self._is_failure_logged = True
            asyncio.get_running_loop().call_later(LISTEN_RETRY_S, self.listen)


class PeerListener:
    """Listens for other routers and lets the dispatcher send to them."""

    def __init__(self, dispatcher: Dispatcher, state: ServiceState) -> None:
        self._dispatcher = dispatcher
        self._state = state
        self._is_failure_logged = False

    async def listen(self) -> None:
        """Join the other routers, now or later, where the settings allow gossip and addresses are known."""
        state = self._state
        addresses = state.config.peer_addresses
        is_allowed = state.config.settings.limits.allows_gossip and not state.shutdown_requested.is_set()
        if state.peers is not None or addresses is None or not is_allowed:
            return
        listen_address = "{}:{}".format(*addresses.listen_address)
        state.peers = peers = PeerTransport(addresses, self._dispatcher.peer_message_received)
        try:
            await peers.start()
        except OSError as error:
            if not self._is_failure_logged:
                log.error(format_event("peer_listen_failed", address=listen_address, error=error))
            state.peers, self._is_failure_logged = None, True
            asyncio.get_running_loop().call_later(LISTEN_RETRY_S, self._retry)
            return
        self._is_failure_logged = False
        self._dispatcher.connect_peers(peers.send)
        peer_count = len(addresses.peer_addresses)
        log.info(format_event("gossip_started", peers=peer_count, address=listen_address))

    def _retry(self) -> None:
        self._state.start_task(self.listen())
