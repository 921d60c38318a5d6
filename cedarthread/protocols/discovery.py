"""The discovery client: polls the complete endpoint list by DNS over UDP."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections import deque
from collections.abc import Callable
from typing import cast

from cedarthread.logs import format_event
from cedarthread.model.endpoints import EndpointState
from cedarthread.protocols import dns
from cedarthread.protocols.endpoint_list import EndpointRecord
from cedarthread.transport.descriptor_budget import EXHAUSTION_ERRNOS

log = logging.getLogger(__name__)

SERVICE_NAME = "_back._tcp.pool.lan"
# A lost reply or two still leaves time within the 500 ms in which sending to a draining worker must stop.
POLL_INTERVAL_S = 0.2
MAX_OUTSTANDING_QUERIES = 16  # the latest queries whose replies are still accepted
QUERY_ID_BYTES = 2  # at the start of a message
QUERY_IDS = 1 << 16
SRV_WEIGHT_SCALE = 10  # SRV weights are whole numbers: tenths of an endpoint's weight


def endpoints_from_reply(reply: dns.Reply) -> list[EndpointRecord] | str:
    """The endpoints that a reply lists, or what is wrong with it."""
    records: dict[str, EndpointRecord] = {}
    for service in reply.srv_records:
        record = _endpoint_from_records(service, reply)
        if isinstance(record, str):
            return record
        if records.setdefault(record.name, record) != record:
            return f"{record.name} is listed twice"
    return list(records.values())


def _endpoint_from_records(service: dns.SrvRecord, reply: dns.Reply) -> EndpointRecord | str:
    name, _, rest = service.target.partition(".")
    address, texts = reply.addresses.get(service.target), reply.texts.get(service.target)
    if address is None or texts is None:
        return f"no address or text for {service.target}"
    try:
        cell, started_at_ms = int(texts.get("cell", "0")), float(texts.get("started", "0"))
    except ValueError:
        return f"odd text for {service.target}"
    if not math.isfinite(started_at_ms):  # NaN differs from itself: each reply would report a restart
        return f"odd text for {service.target}"
    state = EndpointState.READY if service.priority == 0 else EndpointState.DRAINING
    zone, kind = rest.partition(".")[0], texts.get("kind", "")
    weight = service.weight / SRV_WEIGHT_SCALE
    return EndpointRecord(
        name=name,
        host=address,
        port=service.port,
        zone=zone,
        kind=kind,
        cell=cell,
        state=state,
        weight=weight,
        started_at_ms=started_at_ms,
    )


def _log_rejected_response(reason: str) -> None:
    if log.isEnabledFor(logging.INFO):
        log.info(format_event("discovery_response_rejected", reason=reason))


class DiscoveryClient(asyncio.DatagramProtocol):
    """Polls, and reports the serial and the endpoints of each newer usable reply.

    ``on_update`` gets both; ``on_poll`` is called with each query, when the process is awake anyway;
    ``release_descriptor`` frees a descriptor where none is left, and says whether it has."""

    def __init__(
        self,
        on_update: Callable[[int, list[EndpointRecord]], None],
        on_poll: Callable[[], None] = lambda: None,
        release_descriptor: Callable[[], bool] = lambda: False,
    ) -> None:
        self.on_update, self.on_poll = on_update, on_poll
        self.release_descriptor = release_descriptor
        self.last_serial = -1
        self.last_usable_reply_at = 0.0  # loop time in seconds
        self._address: tuple[str, int] | None = None  # the one to poll
        self._connect_task: asyncio.Task[None] | None = None
        self._outstanding_ids: deque[int] = deque(maxlen=MAX_OUTSTANDING_QUERIES)
        self._empty_reply_id: int | None = None  # the query whose reply, newer than the last list, was empty
        self._last_payload = b""  # a reply of the last serial, without its query id
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._random = random.SystemRandom()
        self._loop = asyncio.get_running_loop()

    async def connect(self, host: str, port: int) -> None:
        """Poll at this address: serials go on, and the last list stays until a newer one comes."""
        await self._loop.create_datagram_endpoint(lambda: self, remote_addr=(host, port))

    def start_polling(self, host: str, port: int) -> None:
        """Poll at this address as soon as it can be reached; the one before is polled until then.

        So neither the start of the process nor a reload waits for discovery, or fails by it."""
        self._cancel_connecting()
        self._address = (host, port)
        self._connect_task = self._loop.create_task(self._connect_until_up(host, port))

    async def _connect_until_up(self, host: str, port: int) -> None:
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
            await asyncio.sleep(0.0 if has_released else POLL_INTERVAL_S)

    def _cancel_connecting(self) -> None:
        if self._connect_task is not None:
            self._connect_task.cancel()
            self._connect_task = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open (asyncio): it replaces an older one, whose replies are not accepted any more."""
        self._close_socket()
        self._outstanding_ids.clear()
        self._transport = cast(asyncio.DatagramTransport, transport)
        self._poll()

    def _poll(self) -> None:
        assert self._transport is not None
        self._timer = self._loop.call_later(
            POLL_INTERVAL_S, self._poll
        )  # first: whatever fails here, it goes on
        query_id = self._random.randrange(QUERY_IDS)
        self._outstanding_ids.append(query_id)
        self._transport.sendto(dns.encode_query(query_id, SERVICE_NAME))
        self.on_poll()

    def datagram_received(self, data: bytes, addr: object) -> None:
        """A reply, perhaps late, perhaps a duplicate (asyncio)."""
        # Most replies repeat the last one: with many workers, parsing each took half of an idle router's CPU.
        if self._last_payload and data[QUERY_ID_BYTES:] == self._last_payload:
            if int.from_bytes(data[:QUERY_ID_BYTES], "big") in self._outstanding_ids:
                self.last_usable_reply_at, self._empty_reply_id = self._loop.time(), None
            return
        reply = dns.parse(data)
        if isinstance(reply, dns.UnusableReply):
            _log_rejected_response(reply.reason)
        elif reply.query_id in self._outstanding_ids and reply.serial is not None:
            self.last_usable_reply_at = self._loop.time()
            self._handle_reply(reply, reply.serial, data[QUERY_ID_BYTES:])

    def _handle_reply(self, reply: dns.Reply, serial: int, payload: bytes) -> None:
        if serial <= self.last_serial:
            self._last_payload = payload if serial == self.last_serial else self._last_payload
            self._empty_reply_id = None
            return
        records = endpoints_from_reply(reply)
        if isinstance(records, str):
            _log_rejected_response(records)
            return
        if not records and self._empty_reply_id in (None, reply.query_id):
            # A corrupted reply must not remove every worker: a second query has to confirm it. That takes one
            # ``POLL_INTERVAL_S``, well within the time in which sending to a draining worker must stop.
            log.warning(format_event("discovery_response_empty", serial=serial))
            self._empty_reply_id = reply.query_id
            return
        self._empty_reply_id = None
        self.last_serial, self._last_payload = serial, payload
        self.on_update(serial, records)

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there (asyncio): the next query tries again."""
        if log.isEnabledFor(logging.DEBUG):
            log.debug(format_event("discovery_unreachable", error=exc))

    def connection_lost(self, exc: Exception | None) -> None:
        """The socket is closed (asyncio); with an error, it was not closed here, and is replaced."""
        if exc is not None and self._address is not None:
            log.warning(format_event("discovery_socket_lost", error=exc))
            self._close_socket()
            self.start_polling(*self._address)

    def stop(self) -> None:
        """Poll no more."""
        self._cancel_connecting()
        self._address = None
        self._close_socket()

    def _close_socket(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
