"""The resolver's client: asks for the whole list of runners by DNS over UDP, again and again."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections import deque
from collections.abc import Callable
from typing import cast

from cedarthread import interface as i
from cedarthread.net import dns
from cedarthread.net.descriptors import SCARCE
from cedarthread.net.roster import Listing

log = logging.getLogger("cedarthread.resolver")

NAME = "_back._tcp.pool.lan"
PERIOD = (
    0.2  # s between queries: a lost reply or two still leaves time within the 500 ms of the rule on drains
)
ASKED = 16  # queries whose replies are still taken


def listings(reply: dns.Reply) -> list[Listing] | str:
    """The runners that a reply lists, or what it lacks."""
    found: dict[str, Listing] = {}
    for service in reply.services:
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
        state = i.WorkerState.READY if service.priority == 0 else i.WorkerState.DRAINING
        zone, kind = rest.partition(".")[0], texts.get("kind", "")
        weight = service.weight / 10
        listing = Listing(name, address, service.port, zone, kind, cell, state, weight, started)
        if found.setdefault(name, listing) != listing:
            return f"{name} is listed twice"
    return list(found.values())


class Resolver(asyncio.DatagramProtocol):
    """Polls, and tells the serial and the list of each usable reply."""

    def __init__(
        self,
        tell: Callable[[int, list[Listing]], None],
        beat: Callable[[], None] = lambda: None,
        scarce: Callable[[], bool] = lambda: False,
    ) -> None:
        self.tell, self.beat = tell, beat  # ``beat`` is told of each query: the process is awake then
        self.scarce = scarce  # has a descriptor given back, where none is left
        self._address: tuple[str, int] | None = None  # what is followed
        self._following: asyncio.Task[None] | None = None
        self.serial = -1
        self.usable = 0.0  # loop time of the last usable reply
        self._asked: deque[int] = deque(maxlen=ASKED)
        self._nobody: int | None = None  # the query whose reply, newer than the list that holds, named nobody
        self._taken = b""  # a reply of the serial that holds, without its number
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._random = random.SystemRandom()
        self._loop = asyncio.get_running_loop()

    async def start(self, host: str, port: int) -> None:
        """Begin to ask, or go on asking at another address: numbers go on, and the last good list holds."""
        await self._loop.create_datagram_endpoint(lambda: self, remote_addr=(host, port))

    def follow(self, host: str, port: int) -> None:
        """Ask there as soon as that can be, and try till then; an older address is asked meanwhile.

        Guards the start and a reload: neither waits for the resolver, nor fails by it."""
        self._leave()
        self._address = (host, port)
        self._following = self._loop.create_task(self._reach(host, port))

    async def _reach(self, host: str, port: int) -> None:
        told = False
        while True:
            try:
                return await self.start(host, port)
            except OSError as error:
                if not told:
                    log.error("resolver at %s:%d can't be asked yet: %s", host, port, error)
                told = True
                made = error.errno in SCARCE and self.scarce()
            await asyncio.sleep(0.0 if made else PERIOD)

    def _leave(self) -> None:
        if self._following is not None:
            self._following.cancel()
            self._following = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is there: it takes the place of an older one, whose replies count no more."""
        self._silence()
        self._asked.clear()
        self._transport = cast(asyncio.DatagramTransport, transport)
        self._ask()

    def _ask(self) -> None:
        assert self._transport is not None
        self._timer = self._loop.call_later(PERIOD, self._ask)  # first: whatever fails here, it asks again
        number = self._random.randrange(1 << 16)
        self._asked.append(number)
        self._transport.sendto(dns.query(number, NAME))
        self.beat()

    def datagram_received(self, data: bytes, addr: object) -> None:
        """A reply, perhaps late, perhaps twice."""
        # Most replies say what the last did: reading each took half of an idle router's CPU, workers being
        # many.
        if self._taken and data[2:] == self._taken:
            number = int.from_bytes(data[:2], "big")
            if number in self._asked:
                self.usable, self._nobody = self._loop.time(), None
            return
        reply = dns.parse(data)
        if isinstance(reply, dns.Unusable):
            log.info("reply of the resolver not used: %s", reply.why)
            return
        if reply.number not in self._asked or reply.serial is None:
            return
        self.usable = self._loop.time()
        if reply.serial <= self.serial:
            self._taken = data[2:] if reply.serial == self.serial else self._taken
            self._nobody = None
            return
        found = listings(reply)
        if isinstance(found, str):
            log.info("reply of the resolver not used: %s", found)
            return
        if not found and self._nobody in (None, reply.number):
            # Guards against a spoilt reply that takes every runner away: another query has to be told so too,
            # which is a matter of ``PERIOD``, well within the rule on drains.
            log.warning("reply of the resolver lists nobody under serial %d: asked once more", reply.serial)
            self._nobody = reply.number
            return
        self._nobody = None
        self.serial, self._taken = reply.serial, data[2:]
        self.tell(reply.serial, found)

    def error_received(self, exc: Exception) -> None:
        """Nobody there: the next query tries again."""
        log.debug("resolver not reached: %s", exc)

    def connection_lost(self, exc: Exception | None) -> None:
        """The socket is gone: with an error, it was not closed here, and there has to be another."""
        if exc is not None and self._address is not None:
            log.warning("resolver's socket lost: %s", exc)
            self._silence()
            self.follow(*self._address)

    def stop(self) -> None:
        """Ask no more."""
        self._leave()
        self._address = None
        self._silence()

    def _silence(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
