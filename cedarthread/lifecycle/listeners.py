"""The listeners for operators and for other routers, which the service does not need to serve calls.

If one of their addresses cannot be listened on, the service still serves calls and the listener retries,
because during an upgrade the old process keeps the addresses for a while.
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
    """The listening socket for operators, opened at startup or as soon as the address is free.

    Args:
        control: The server that replies to operators.
        state: The service state, which contains the configured address.
    """

    def __init__(self, control: ControlServer, state: ServiceState) -> None:
        self.port = 0  # 0 until the listener is open
        self._control = control
        self._state = state
        self._is_failure_logged = False

    def listen(self) -> None:
        """Listen on the configured address, or retry later if the address is in use.

        Raises:
            socket.gaierror: The host name of the address is unknown. This is not retried, because each lookup
                blocks the event loop.
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
    """The listener for other routers, which connects the dispatcher to the peer socket.

    Args:
        dispatcher: The dispatcher that receives and sends the messages.
        state: The service state, which contains the configured addresses; this listener sets ``state.peers``.
    """

    def __init__(self, dispatcher: Dispatcher, state: ServiceState) -> None:
        self._dispatcher = dispatcher
        self._state = state
        self._is_failure_logged = False

    async def listen(self) -> None:
        """Open the socket if gossip is allowed and the addresses are configured; retry later on failure."""
        state = self._state
        addresses = state.config.peer_addresses
        is_allowed = state.config.settings.limits.allows_gossip and not state.shutdown_requested.is_set()
        if state.peers is not None or addresses is None or not is_allowed:
            return
        listen_address = "{}:{}".format(*addresses.listen_address)
        peers = PeerTransport(addresses, self._dispatcher.peer_message_received)
        state.peers = peers
        try:
            await peers.start()
        except OSError as error:
            if not self._is_failure_logged:
                log.error(format_event("peer_listen_failed", address=listen_address, error=error))
            state.peers = None
            self._is_failure_logged = True
            asyncio.get_running_loop().call_later(LISTEN_RETRY_S, self._retry)
            return
        self._is_failure_logged = False
        self._dispatcher.connect_peers(peers.send)
        peer_count = len(addresses.peer_addresses)
        log.info(format_event("gossip_started", peers=peer_count, address=listen_address))

    def _retry(self) -> None:
        self._state.start_task(self.listen())
