"""The resolver's client: asks for the whole list of runners by DNS over UDP, again and again."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections import deque
from collections.abc import Callable
from typing import cast

from cedarthread.model.endpoints import EndpointState
from cedarthread.protocols import dns
from cedarthread.protocols.endpoint_list import EndpointRecord
from cedarthread.transport.descriptor_budget import EXHAUSTION_ERRNOS

log = logging.getLogger("cedarthread.resolver")

SERVICE_NAME = "_back._tcp.pool.lan"
POLL_INTERVAL_S = (
    0.2  # s between queries: a lost reply or two still leaves time within the 500 ms of the rule on drains
)
MAX_OUTSTANDING_QUERIES = 16  # queries whose replies are still taken


def endpoints_from_reply(reply: dns.Reply) -> list[EndpointRecord] | str:
    """The runners that a reply lists, or what it lacks."""
    found: dict[str, EndpointRecord] = {}
    for service in reply.srv_records:
        name, _, rest = service.target.partition(".")
        address, texts = reply.addresses.get(service.target), reply.texts.get(service.target)
        if address is None or texts is None:
            return f"no address or text for {service.target}"
        try:
            cell, started = int(texts.get("cell", "0")), float(texts.get("started", "0"))
        except ValueError:
            return f"odd text for {service.target}"
        if not math.isfinite(started):  # NaN differs from itself: each reply would be news of a start
            return f"odd text for {service.target}"
        state = EndpointState.READY if service.priority == 0 else EndpointState.DRAINING
        zone, kind = rest.partition(".")[0], texts.get("kind", "")
        weight = service.weight / 10
        listing = EndpointRecord(name, address, service.port, zone, kind, cell, state, weight, started)
        if found.setdefault(name, listing) != listing:
            return f"{name} is listed twice"
    return list(found.values())


class DiscoveryClient(asyncio.DatagramProtocol):
    """Polls, and tells the serial and the list of each usable reply."""

    def __init__(
        self,
        on_update: Callable[[int, list[EndpointRecord]], None],
        on_poll: Callable[[], None] = lambda: None,
        release_descriptor: Callable[[], bool] = lambda: False,
    ) -> None:
        self.on_update, self.on_poll = (
            on_update,
            on_poll,
        )  # ``beat`` is told of each query: the process is awake then
        self.release_descriptor = release_descriptor  # has a descriptor given back, where none is left
        self._address: tuple[str, int] | None = None  # what is followed
        self._connect_task: asyncio.Task[None] | None = None
        self.last_serial = -1
        self.last_usable_reply_at = 0.0  # loop time of the last usable reply
        self._outstanding_ids: deque[int] = deque(maxlen=MAX_OUTSTANDING_QUERIES)
        self._empty_reply_id: int | None = (
            None  # the query whose reply, newer than the list that holds, named nobody
        )
        self._last_payload = b""  # a reply of the serial that holds, without its number
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._random = random.SystemRandom()
        self._loop = asyncio.get_running_loop()

    async def connect(self, host: str, port: int) -> None:
        """Begin to ask, or go on asking at another address: numbers go on, and the last good list holds."""
        await self._loop.create_datagram_endpoint(lambda: self, remote_addr=(host, port))

    def start_polling(self, host: str, port: int) -> None:
        """Ask there as soon as that can be, and try till then; an older address is asked meanwhile.

        Guards the start and a reload: neither waits for the resolver, nor fails by it."""
        self._cancel_connecting()
        self._address = (host, port)
        self._connect_task = self._loop.create_task(self._connect_until_up(host, port))

    async def _connect_until_up(self, host: str, port: int) -> None:
        told = False
        while True:
            try:
                return await self.connect(host, port)
            except OSError as error:
                if not told:
                    log.error("resolver at %s:%d can't be asked yet: %s", host, port, error)
                told = True
                made = error.errno in EXHAUSTION_ERRNOS and self.release_descriptor()
            await asyncio.sleep(0.0 if made else POLL_INTERVAL_S)

    def _cancel_connecting(self) -> None:
        if self._connect_task is not None:
            self._connect_task.cancel()
            self._connect_task = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is there: it takes the place of an older one, whose replies count no more."""
        self._close_socket()
        self._outstanding_ids.clear()
        self._transport = cast(asyncio.DatagramTransport, transport)
        self._poll()

    def _poll(self) -> None:
        assert self._transport is not None
        self._timer = self._loop.call_later(
            POLL_INTERVAL_S, self._poll
        )  # first: whatever fails here, it asks again
        number = self._random.randrange(1 << 16)
        self._outstanding_ids.append(number)
        self._transport.sendto(dns.encode_query(number, SERVICE_NAME))
        self.on_poll()

    def datagram_received(self, data: bytes, addr: object) -> None:
        """A reply, perhaps late, perhaps twice."""
        # Most replies say what the last did: reading each took half of an idle router's CPU, workers being
        # many.
        if self._last_payload and data[2:] == self._last_payload:
            number = int.from_bytes(data[:2], "big")
            if number in self._outstanding_ids:
                self.last_usable_reply_at, self._empty_reply_id = self._loop.time(), None
            return
        reply = dns.parse(data)
        if isinstance(reply, dns.UnusableReply):
            log.info("reply of the resolver not used: %s", reply.reason)
            return
        if reply.query_id not in self._outstanding_ids or reply.serial is None:
            return
        self.last_usable_reply_at = self._loop.time()
        if reply.serial <= self.last_serial:
            self._last_payload = data[2:] if reply.serial == self.last_serial else self._last_payload
            self._empty_reply_id = None
            return
        found = endpoints_from_reply(reply)
        if isinstance(found, str):
            log.info("reply of the resolver not used: %s", found)
            return
        if not found and self._empty_reply_id in (None, reply.query_id):
            # Guards against a spoilt reply that takes every runner away: another query has to be told so too,
            # which is a matter of ``PERIOD``, well within the rule on drains.
            log.warning("reply of the resolver lists nobody under serial %d: asked once more", reply.serial)
            self._empty_reply_id = reply.query_id
            return
        self._empty_reply_id = None
        self.last_serial, self._last_payload = reply.serial, data[2:]
        self.on_update(reply.serial, found)

    def error_received(self, exc: Exception) -> None:
        """Nobody there: the next query tries again."""
        log.debug("resolver not reached: %s", exc)

    def connection_lost(self, exc: Exception | None) -> None:
        """The socket is gone: with an error, it was not closed here, and there has to be another."""
        if exc is not None and self._address is not None:
            log.warning("resolver's socket lost: %s", exc)
            self._close_socket()
            self.start_polling(*self._address)

    def stop(self) -> None:
        """Ask no more."""
        self._cancel_connecting()
        self._address = None
        self._close_socket()

    def _close_socket(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
