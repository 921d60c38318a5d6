"""The running function router: planner, fronts, runners and resolver, from start to the last answer."""

from __future__ import annotations

import asyncio
import gc
import logging
import secrets
import signal
import socket
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cedarthread.config import Config, ConfigError
from cedarthread.core.planner import FIGURES, Planner
from cedarthread.net import descriptors
from cedarthread.net.control import ControlFront
from cedarthread.net.peers import Peers
from cedarthread.net.platform import PlatformFront
from cedarthread.net.resolver import Resolver
from cedarthread.net.roster import Listing, Roster
from cedarthread.net.runners import Runners
from cedarthread.net.stream import Flusher

if TYPE_CHECKING:
    from cedarthread.net.disk import Disk
    from cedarthread.net.invoke import InvokeFront
    from cedarthread.net.invoke_config import InvokeConfig

log = logging.getLogger("cedarthread")

GRACE = 0.75  # s after SIGTERM in which calls keep coming
LONGEST = 3.0  # s of the longest deadline that count, at most, towards the earliest SIGKILL
SETTLED = 0.2  # s past that after SIGTERM by which all is answered: half a second before SIGKILL
LAST = 0.45  # s past it at which the process ends whatever happens
RENEW = 1.0  # s between looks at the invoke API's files
BASE = 20 * 2**20  # bytes that the program itself takes
BODIES, QUEUED = 0.3, 0.2  # parts of the rest for the bodies of open calls, and for answers not yet read
SWEEP = 0.25  # s between looks for what has been idle or silent
EARLY = 0.1  # s by which a look may come early, where the process is awake to ask the resolver
RETRY = 0.5  # s between tries to listen for other routers, and for operators
REPORT = 10.0  # s between log lines on the calls


class Service:
    """One function router."""

    def __init__(
        self,
        config: Config,
        invoke: InvokeConfig | None = None,
        reread: Callable[[], Config] | None = None,
        fleet: Path | None = None,
        store: str | None = None,
    ) -> None:
        self.config = config
        self._reread = reread
        self.fleet, self.store = fleet, store  # the operators' file for the whole fleet, this router's folder
        self.disk: Disk | None = None
        room = max(config.memory - BASE, config.memory // 4)
        life = secrets.randbits(64)  # the configured seed may be the same at each start
        self.planner = Planner(config.settings, config.seed, held=int(BODIES * room), life=life)
        self.budget = budget = descriptors.share_out(
            config.sockets,
            invoke.connections if invoke is not None else 0,
            descriptors.real_limit(),
            descriptors.open_now(),
        )
        self.flusher = Flusher()
        self.planner.turn_done = self.flusher.run
        self.runners = Runners(config.settings, self.planner, budget.runners, self.flusher)
        self.planner.workers = self.runners
        queued = int(QUEUED * room)
        self.platform = PlatformFront(self.planner, budget.clients, self.flusher, queued, budget.turn)
        self.invoke = self._front(invoke) if invoke is not None else None
        self.peers: Peers | None = None
        self.roster = Roster(config.settings)
        self.resolver = Resolver(
            lambda serial, told: self.news(serial, told, whole=True), self._beat, self.runners.give_back
        )
        replies = {"PING": self._ping, "INFO": self._info}
        room_made = self.platform.make_room
        self.control = ControlFront(replies, self.flusher, budget.operators, room_made)
        self.runners.room = room_made
        self.serving = False  # the known list is taken up and the clients' port listens
        self.loads = self.load_errors = 0  # settings files taken and turned down at SIGHUP
        self.port = self.invoke_port = self.control_port = 0  # what is listened on, once started
        self._sweeper: asyncio.TimerHandle | None = None
        self._ending = asyncio.Event()
        self._unjoined = False  # the peers' address could not be listened on, and that has been said
        self._tasks: set[asyncio.Task[None]] = set()

    def _front(self, invoke: InvokeConfig) -> InvokeFront:
        from cedarthread.net.invoke import InvokeFront  # TLS and certificates: not loaded where it is off

        front = InvokeFront(self.planner, invoke, self.flusher)
        front.most, front.scarce = self.budget.callers, self.platform.make_room
        return front

    def news(self, serial: int, told: list[Listing], *, whole: bool) -> None:
        """Pass news of the runners on."""
        event = self.roster.event(serial, told, whole)
        if event is not None:
            log.info(
                "runners: news %d, %d changed, %d listed",
                serial,
                len(event.workers),
                len(self.roster.listings),
            )
            self.runners.update(self.roster.by_number())
            self.planner.membership(event)

    async def run(self) -> None:
        """Serve until SIGTERM, then settle all that was taken."""
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.end)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self._ending.wait()
        await self.finish()

    def end(self) -> None:
        """Begin to end."""
        self._ending.set()

    def _ping(self) -> tuple[bool, list[str]]:
        return self.serving and not self._ending.is_set(), []

    def _info(self) -> tuple[bool, list[str]]:
        return True, [*self.figures(), "END"]

    def figures(self) -> list[str]:
        """What the operators read at INFO, a ``name=value`` a line."""
        lines, tries = [], 0
        for name, counts in self.planner.handled.items():
            lines += [f"router.handled.{name}.{figure}={counts[figure]}" for figure in FIGURES]
            tries += counts["upstream_tries"]
        told = {
            "upstream_tries": tries,
            "in_progress": len(self.planner.calls),
            "known_runners": len(self.roster.listings),
            "skipped_runners": self.planner.router.skipped(),
            "loads": self.loads,
            "load_errors": self.load_errors,
        }
        lines += [f"router.{name}={value}" for name, value in told.items()]
        if self.fleet is not None:
            state = self.planner.decisions.state(self.planner.clock())
            state |= self.disk.figures() if self.disk is not None else {}
            lines += [f"fleet.{name}={value}" for name, value in state.items()]
        return lines

    async def start(self) -> None:
        """Take up the known list, listen, and follow the resolver."""
        self._operate()
        for number, told in self.config.known:
            self.news(number, list(told), whole=self.roster.version < 0)
        self.resolver.serial = self.roster.version
        self.port = await self.platform.listen(self.config.host, self.config.port)
        if self.invoke is not None:
            self.invoke_port = await self.invoke.listen()
            log.info("invoke API on port %d", self.invoke_port)
        self._declare()
        await self._join()
        if self.config.resolver is not None:
            self.resolver.follow(*self.config.resolver)
        self.serving = True
        log.info("serving as %s on port %d", self.config.name, self.port)
        self._tell_budget()
        # What stands now stands till the end: without it in the collector's lists, its pauses stay short.
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 50)
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(SWEEP, self._sweep)
        loop.call_later(REPORT, self._report)
        if self.invoke is not None:
            loop.call_later(RENEW, self._look)

    def _tell_budget(self) -> None:
        parts, told = self.budget, self.config.sockets
        if parts.limit < told:
            log.warning("descriptors: the system allows %d, the configuration says %d", parts.limit, told)
        log.info(
            "descriptors: %d, of them clients %d, callers %d, runners %d, kept back %d",
            *(parts.limit, parts.clients, parts.callers, parts.runners, parts.kept),
        )

    def _operate(self, *, told: bool = False) -> None:
        """Listen for operators. Where that can't be, calls are served without, and it is tried again."""
        if self.config.control is None or self._ending.is_set():
            return
        try:
            self.control_port = self.control.listen(*self.config.control)
        except socket.gaierror:  # a name that is none: it would be looked up, and waited for, at each try
            raise
        except OSError as error:
            if not told:
                host, port = self.config.control
                log.error("no operators' address: %s:%d can't be listened on yet: %s", host, port, error)
            asyncio.get_running_loop().call_later(RETRY, lambda: self._operate(told=True))

    async def _join(self) -> None:
        """Talk to the other routers, where the settings allow it and it is told where they are."""
        told = self.config.peers
        allowed = self.config.settings.limits.peers and not self._ending.is_set()
        if self.peers is not None or told is None or not allowed:
            return
        self.peers = Peers(told, self.planner.heard)
        try:
            await self.peers.start()
        except OSError as error:  # calls are served without it; at an upgrade the old process still listens
            if not self._unjoined:
                log.error("no talk with other routers: %s:%d can't be listened on: %s", *told.listen, error)
            self.peers, self._unjoined = None, True
            loop = asyncio.get_running_loop()
            loop.call_later(RETRY, lambda: self._background(self._join()))
            return
        self._unjoined = False
        self.planner.tell = self.peers.send
        log.info("talking to %d routers from %s:%d", len(told.peers), *told.listen)

    async def finish(self) -> None:
        """Answer ``check`` with no, but all that still comes in full; end when the last answer has left."""
        loop = asyncio.get_running_loop()
        told = loop.time()
        log.info("told to end: %d calls open", len(self.planner.calls))
        self.platform.ready = False
        if self.invoke is not None:
            self.invoke.ready = False
        longest = min(LONGEST, max(klass.deadline for klass in self.config.settings.classes) / 1000.0)
        self.planner.stop_by(self.planner.clock() + max(GRACE, longest + SETTLED) * 1000.0)
        await asyncio.sleep(GRACE)
        self.platform.wind_down()
        while not self._drained() and loop.time() < told + longest + LAST:
            await asyncio.sleep(0.01)
        self.platform.stop_listening()
        if self.invoke is not None:
            self.invoke.stop_listening()
        self.resolver.stop()
        if self.peers is not None:
            self.peers.stop()
        self.control.stop_listening()
        if self.disk is not None:
            self.disk.close()
        self._report()
        log.info("ended with %d calls open", len(self.planner.calls))

    def _drained(self) -> bool:
        fronts = self.platform.drained() and (self.invoke is None or self.invoke.drained())
        return fronts and not self.planner.calls

    def reload(self) -> None:
        """SIGHUP: take the file's settings and resolver whole, or keep all that was; calls stay."""
        self._renew()
        self._declare()
        if self._reread is None:
            return
        try:
            told = self._reread()
        except ConfigError as error:
            self.load_errors += 1
            log.error("configuration turned down whole, the old one stays: %s", error)
            return
        self.loads += 1
        settings = self.planner.retune(told.settings)
        self.runners.retune(settings)
        self.config = replace(
            self.config, settings=told.settings, resolver=told.resolver or self.config.resolver
        )
        self._background(self._join())
        log.info("configuration reloaded: classes %s", ", ".join(k.name for k in told.settings.classes))
        if told.resolver is not None:
            log.info("resolver at %s:%d", *told.resolver)
            self.resolver.follow(*told.resolver)

    def _declare(self) -> None:
        """Read the fleet's file, whole: what is new in it is declared here and told to all."""
        if self.fleet is None:
            return
        from cedarthread.register import declared

        try:
            told = declared.read(self.fleet, self.store)
        except declared.FleetError as error:
            self.load_errors += 1
            log.error("fleet file turned down whole, what was declared stays: %s", error)
            return
        self.planner.declare(told)
        sharing = self.planner.decisions.sharing
        keeping = sharing.keeping if sharing is not None else None
        if self.disk is None and told.disk is not None and keeping is not None:
            from cedarthread.net.disk import Disk

            self.disk = Disk(told.disk, keeping, self.planner.clock, self.config.seed)
        log.info("fleet file read: %d contracts, %d windows", len(told.contract), len(told.freeze))

    def _background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _renew(self) -> None:
        if self.invoke is not None:
            self._background(self.invoke.reload_if_changed())

    def _look(self) -> None:
        self._renew()
        asyncio.get_running_loop().call_later(RENEW, self._look)

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.platform.sweep(now)
        self.runners.sweep(now)
        if self.disk is not None:
            self.disk.turn()
        if self.invoke is not None:
            self.invoke.sweep(now)
        self._sweeper = loop.call_later(SWEEP, self._sweep)

    def _beat(self) -> None:
        """The resolver is asked: what would wake the process a little later is done now, in one waking."""
        self.planner.early(EARLY * 1000.0)
        if self._sweeper is not None and self._sweeper.when() <= asyncio.get_running_loop().time() + EARLY:
            self._sweeper.cancel()
            self._sweep()

    def _dropped(self) -> tuple[int, int, int]:
        """Datagrams from no peer, of no known form, and not sendable, since the start."""
        peers, talk = self.peers, self.planner.decisions.talk
        if peers is None or talk is None:
            return 0, 0, 0
        return peers.strangers + talk.strangers, talk.unreadable, peers.unsent

    def _report(self) -> None:
        counts = " ".join(f"{name}={count}" for name, count in self.planner.counts.items())
        log.info("calls: %s open=%d", counts, len(self.planner.calls))
        dropped = self._dropped()
        if any(dropped):
            log.warning("other routers: strangers=%d unreadable=%d unsent=%d", *dropped)
        asyncio.get_running_loop().call_later(REPORT, self._report)
