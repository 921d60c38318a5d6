"""The discovery client: polls the complete endpoint list by DNS over UDP, and owns the sockets for this."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING, cast

from cedarthread.logs import format_event
from cedarthread.protocols import dns
from cedarthread.protocols.discovery.endpoint_records import PartialList, endpoints_from_reply, partial_list
from cedarthread.protocols.discovery.list_acceptance import ListAcceptance, ListVerdict
from cedarthread.protocols.discovery.poll_schedule import NoPollObserver, PollSchedule
from cedarthread.protocols.discovery.query_tracker import MAX_POLL_INTERVAL_S, QueryTracker
from cedarthread.transport.descriptor_budget import EXHAUSTION_ERRNOS

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.protocols.discovery.endpoint_list import EndpointRecord
    from cedarthread.protocols.discovery.poll_schedule import PollObserver

log = logging.getLogger(__name__)

SERVICE_NAME = "_back._tcp.pool.lan"
CONNECT_RETRY_S = MAX_POLL_INTERVAL_S
QUERY_ID_BYTES = 2  # size of the query id, the first field of a message
QUERY_ID_COUNT = 1 << 16


class DiscoverySocket(asyncio.DatagramProtocol):
    """The socket to one discovery server."""

    def __init__(self, client: DiscoveryClient) -> None:
        self._client = client
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the open socket to the client (called by asyncio)."""
        self._transport = cast("asyncio.DatagramTransport", transport)
        self._client.connection_made(self._transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Pass a reply to the client, possibly late or duplicated (called by asyncio)."""
        if self._client.datagram_received(data, addr):
            self._client.on_usable_socket(self._transport)

    def error_received(self, exc: Exception) -> None:
        """Report a closed server port (called by asyncio)."""
        self._client.error_received(exc)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report a socket that was closed by an error (called by asyncio)."""
        if exc is not None:
            self._client.on_socket_lost(self._transport, exc)


class DiscoveryClient:
    """Polls discovery servers, and reports the serial and the endpoints of each newer usable reply.

    Args:
        on_update: Applies the serial and the complete list of a newer usable reply.
        on_poll: Called after each query, because work that is due soon can run while the process is awake.
        release_descriptor: Frees a descriptor if none is left; returns whether it has freed one.
        on_partial_list: Applies the drains found in an unusable reply; returns whether there were any.
        observer: Notified of scheduled queries and of replies with an up-to-date list.
        schedule: The time of the next query, shared with the freshness gate if there is one.
        queries: The queries in flight and the freshness of the list, shared in the same way.
    """

    def __init__(
        self,
        on_update: Callable[[int, list[EndpointRecord]], None],
        on_poll: Callable[[], None] = lambda: None,
        release_descriptor: Callable[[], bool] = lambda: False,
        *,
        on_partial_list: Callable[[PartialList], bool] | None = None,
        observer: PollObserver | None = None,
        schedule: PollSchedule | None = None,
        queries: QueryTracker | None = None,
    ) -> None:
        self.on_update, self.on_poll = on_update, on_poll
        self.release_descriptor = release_descriptor
        self.on_partial_list = on_partial_list
        self._observer = observer if observer is not None else NoPollObserver()
        self._schedule = schedule if schedule is not None else PollSchedule()
        self.acceptance = ListAcceptance()
        self.last_usable_reply_at = 0.0  # loop time in s of the last usable reply
        self._random = random.SystemRandom()
        self.queries = queries if queries is not None else QueryTracker(self._random_fraction)
        self._address: tuple[str, int] | None = None  # address of the server to poll
        self._connect_task: asyncio.Task[None] | None = None
        self._last_payload = b""  # the last reply with the list in use, without its query id
        self._is_list_confirmed = False  # the latest received list is the one in use, without demotions
        self._transport: asyncio.DatagramTransport | None = None
        # The previous socket after a change of address; polled until the new server replies.
        self._previous_transport: asyncio.DatagramTransport | None = None
        self._has_transport_replied = False
        self._loop = asyncio.get_running_loop()

    def _random_fraction(self) -> float:
        return self._random.random()

    @property
    def last_serial(self) -> int:
        """The serial of the list in use."""
        return self.acceptance.serial

    @last_serial.setter
    def last_serial(self, serial: int) -> None:
        self.acceptance.serial = serial

    async def connect(self, host: str, port: int) -> None:
        """Open a socket to this address and poll it; keep the list in use until a newer one is confirmed."""
        await self._loop.create_datagram_endpoint(lambda: DiscoverySocket(self), remote_addr=(host, port))

    def start_polling(self, host: str, port: int) -> None:
        """Poll this address as soon as its socket opens, and the previous address until this one replies.

        Neither the start of the process nor a reload waits for discovery or fails because of it, and replies
        in flight are not lost.
        """
        self._cancel_connect()
        self._address = (host, port)
        self._connect_task = self._loop.create_task(self._connect_with_retries(host, port))

    async def _connect_with_retries(self, host: str, port: int) -> None:
        is_logged = False
        while True:
            try:
                await self.connect(host, port)
                return
            except OSError as error:
                if not is_logged:
                    log.error(format_event("discovery_connect_failed", address=f"{host}:{port}", error=error))
                is_logged = True
                has_released = error.errno in EXHAUSTION_ERRNOS and self.release_descriptor()
            await asyncio.sleep(0.0 if has_released else CONNECT_RETRY_S)

    def _cancel_connect(self) -> None:
        if self._connect_task is not None:
            self._connect_task.cancel()
            self._connect_task = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Use a new socket; keep the previous one until the new one has received a usable reply."""
        if self._has_transport_replied:
            _close(self._previous_transport)
            self._previous_transport = self._transport
        else:  # the replaced socket never received a reply: keep the one before it
            _close(self._transport)
        self._transport = cast("asyncio.DatagramTransport", transport)
        self._has_transport_replied = False
        self._schedule.start(self._poll)
        self.queries.restart_retries(self._loop.time())
        self._poll()

    def on_usable_socket(self, transport: asyncio.DatagramTransport | None) -> None:
        """Close the previous socket after the first usable reply on the new one."""
        if transport is not None and transport is self._transport and not self._has_transport_replied:
            self._has_transport_replied = True
            _close(self._previous_transport)
            self._previous_transport = None

    def _poll_on_timer(self) -> None:
        self._observer.on_poll_due(self._schedule.next_poll_at_s)
        self._poll()

    def _poll(self) -> None:
        assert self._transport is not None
        query_id = self._random.randrange(QUERY_ID_COUNT)
        self.queries.on_sent(query_id, self._loop.time())
        self._schedule_poll()  # first, so that polling continues if the send fails
        query = dns.encode_query(query_id, SERVICE_NAME)
        self._transport.sendto(query)
        if self._previous_transport is not None:
            self._previous_transport.sendto(query)
        self.on_poll()

    def _schedule_poll(self) -> None:
        self._schedule.schedule(self.queries.next_query_at_s(), self._poll_on_timer)

    def datagram_received(self, data: bytes, addr: object) -> bool:
        """Process a reply, possibly late or duplicated.

        Returns whether the reply shows that the list in use is up to date.
        """
        query_id = int.from_bytes(data[:QUERY_ID_BYTES], "big")
        if not self.queries.accepts(query_id):
            return False
        # Most replies repeat the last one. Parsing each of them took half of an idle router's CPU time with
        # many workers.
        is_repeated = bool(self._last_payload) and data[QUERY_ID_BYTES:] == self._last_payload
        if is_repeated and self._is_list_confirmed:
            self._on_usable_reply(query_id)
            return True
        is_usable = self._handle_reply(dns.parse(data), query_id, data[QUERY_ID_BYTES:])
        if is_usable:
            self._on_usable_reply(query_id)
        elif self._transport is not None:
            self._schedule_poll()
        return is_usable

    def _on_usable_reply(self, query_id: int) -> None:
        now_s = self._loop.time()
        self.last_usable_reply_at = now_s
        self.queries.on_usable_reply(query_id, now_s)
        if self._transport is not None:
            self._schedule_poll()
        self._observer.on_list_confirmed()

    def _handle_reply(self, reply: dns.Reply | dns.UnusableReply, query_id: int, payload: bytes) -> bool:
        """Process the parsed reply to a query.

        Returns whether the reply shows that the list in use is up to date.
        """
        if isinstance(reply, dns.UnusableReply):
            self._reject(reply)
            return False
        if reply.serial is None:
            self._reject(dns.UnusableReply("no SOA record with a serial"))
            return False
        records = endpoints_from_reply(reply)
        if isinstance(records, str):
            self._reject(dns.UnusableReply(records, reply, is_answer_complete=True))
            return False
        verdict = self.acceptance.evaluate(reply.serial, frozenset(records), query_id, self._loop.time())
        if verdict is ListVerdict.UNCONFIRMED:
            self._on_unconfirmed(reply, reply.serial)
            return False
        self._is_list_confirmed = True
        self._last_payload = payload
        if verdict is ListVerdict.NEW:
            self.on_update(reply.serial, records)
        return True

    def _on_unconfirmed(self, reply: dns.Reply, serial: int) -> None:
        """Demote the workers that an unconfirmed list reports as draining, so that they get no more calls."""
        self._is_list_confirmed = False
        self.queries.on_unconfirmed_reply(self._loop.time())
        if not reply.srv_records:  # a corrupted reply must not remove every worker
            log.warning(format_event("discovery_response_empty", serial=serial))
        elif log.isEnabledFor(logging.DEBUG):
            log.debug(format_event("discovery_list_unconfirmed", serial=serial, known=self.last_serial))
        self._demote(partial_list(reply, self.last_serial, is_answer_complete=True))

    def _demote(self, partial: PartialList) -> None:
        if self.on_partial_list is not None and self.on_partial_list(partial):
            self.acceptance.must_confirm_again = True
            self._is_list_confirmed = False

    def _reject(self, reply: dns.UnusableReply) -> None:
        self.queries.on_unusable_reply(self._loop.time())
        if log.isEnabledFor(logging.INFO):
            log.info(format_event("discovery_response_rejected", reason=reply.reason))
        if reply.partial is not None and self.on_partial_list is not None:
            self._demote(
                partial_list(reply.partial, self.last_serial, is_answer_complete=reply.is_answer_complete)
            )

    def error_received(self, exc: Exception) -> None:
        """Log a closed server port; the next query is a retry."""
        if log.isEnabledFor(logging.DEBUG):
            log.debug(format_event("discovery_unreachable", error=exc))

    def on_socket_lost(self, transport: asyncio.DatagramTransport | None, exc: Exception) -> None:
        """Replace a socket that was closed by an error."""
        log.warning(format_event("discovery_socket_lost", error=exc))
        if transport is self._previous_transport:
            self._previous_transport = None
        elif transport is self._transport and self._address is not None:
            self._transport = self._previous_transport
            self._previous_transport = None
            if self._transport is None:
                self._schedule.cancel()
                self._schedule.stop()
            self.start_polling(*self._address)

    def stop(self) -> None:
        """Stop polling and close the sockets."""
        self._cancel_connect()
        self._address = None
        self._schedule.cancel()
        _close(self._transport)
        _close(self._previous_transport)


def _close(transport: asyncio.DatagramTransport | None) -> None:
    if transport is not None:
        transport.close()
