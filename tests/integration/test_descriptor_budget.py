"""Descriptors used up by idle clients, floods, strangers and slow readers; discovery down; the start."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import errno
import json
import os
import re
import resource
import signal
import socket
import sys
import time
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.dispatch.calls import CallSucceeded
from cedarthread.protocols.discovery.client import CONNECT_RETRY_S, DiscoveryClient
from cedarthread.protocols.platform.codec import encode_answer
from cedarthread.testing.fakes.discovery_server import FakeDiscoveryServer, ListedWorker
from cedarthread.testing.fakes.scripted import (
    ScriptedClient,
    ScriptedWorker,
    ask_control,
    client,
    pack_call,
    serve_uppercase,
    service,
)
from cedarthread.testing.fakes.settings import SETTINGS
from cedarthread.transport import descriptor_budget
from tests.integration.router_process import ROOT, write_config
from tests.integration.test_invoke import DESK, PATH, Authority, Caller, authority, config

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

__all__ = ["authority"]  # a fixture
CHECK = b"\x94\x00\x01\xa5check\x91\x80"  # a health check: a whole message that leaves nothing open
FEW = 128  # descriptors of the processes here


# The budget.


@pytest.mark.parametrize("limit", [48, 64, 96, 128, 200, 256, 512, 1024, 4096, 65536])
@pytest.mark.parametrize("callers", [0, 128])
def test_the_budget_never_exceeds_the_smaller_limit(limit: int, callers: int) -> None:
    for configured, real in ((limit, 2**31), (2**31, limit)):
        one = descriptor_budget.compute_budget(
            configured, callers if limit >= 96 else 0, real, already_open=6
        )
        assert one.limit == limit
        assert (
            one.client_connections + one.invoke_connections + one.worker_connections + one.reserved == limit
        )
        assert one.client_connections >= limit // 3, "clients may hold a third of the limit"
        assert min(one.worker_connections, one.operator_connections, one.accepts_per_pass) >= 1
        crossing = one.accepts_per_pass + one.operator_connections
        assert (
            one.reserved
            >= 6
            + crossing
            + descriptor_budget.DISCOVERY_SOCKETS
            + descriptor_budget.PEER_SOCKETS
            + descriptor_budget.OPEN_FILES
        )


def test_descriptors_open_at_the_start_are_not_assigned_twice() -> None:
    less = descriptor_budget.compute_budget(1024, 0, 1024, already_open=106).worker_connections
    assert descriptor_budget.compute_budget(1024, 0, 1024, already_open=6).worker_connections - less == 100
    with pytest.raises(ValueError, match="40 descriptors leave none for runners"):
        descriptor_budget.compute_budget(1024, 0, 40, already_open=6)


def test_the_process_limit_is_read_and_not_changed() -> None:
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert descriptor_budget.soft_limit() == before[0]
    assert resource.getrlimit(resource.RLIMIT_NOFILE) == before
    with socket.socket():
        assert descriptor_budget.count_open_descriptors() == len(os.listdir("/proc/self/fd")) - 1


# Processes, each with a limit of its own.


class HeldDiscovery:
    """A resolver that holds its replies till it is let go."""

    def __init__(self, *runners: ListedWorker) -> None:
        self.runners, self.is_released, self.polled = runners, False, asyncio.Event()
        self.server = FakeDiscoveryServer(self._listing, "room-a")

    def _listing(self) -> tuple[int, tuple[ListedWorker, ...]] | None:
        self.polled.set()
        return (2, self.runners) if self.is_released else None

    async def wait_for_poll(self) -> None:
        """Till it is asked once more."""
        self.polled.clear()
        async with asyncio.timeout(10):
            await self.polled.wait()


class RouterProcess:
    """A process of the program, with what it logs."""

    def __init__(self, process: asyncio.subprocess.Process, folder: Path) -> None:
        self.process, self.folder, self.lines = process, folder, list[str]()
        self.more, self.port = asyncio.Event(), 0
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.lines.append(line.decode())
            self.more.set()
        self.lines.append("(ended)")
        self.more.set()

    async def wait_for_log(self, pattern: str, seconds: float = 30.0) -> re.Match[str]:
        """A line of its log, past or to come."""
        at = 0
        async with asyncio.timeout(seconds):
            while True:
                for line in self.lines[at:]:
                    if (found := re.search(pattern, line)) is not None:
                        return found
                    assert line != "(ended)", "".join(self.lines)
                at = len(self.lines)
                self.more.clear()
                await self.more.wait()

    def open_descriptors(self) -> set[int]:
        """Its descriptors, as the system counts them."""
        return set(map(int, os.listdir(f"/proc/{self.process.pid}/fd")))

    async def wait_for_open_descriptors(self, count: int) -> None:
        """Till so many are open: the book and the system agree to the last one."""
        async with asyncio.timeout(10):
            while len(self.open_descriptors()) != count:
                await asyncio.sleep(0.01)

    def control_port(self) -> int:
        return int(json.loads((self.folder / "config.json").read_text())["control"].rpartition(":")[2])

    async def send_command(self, line: bytes) -> list[str]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.control_port())
        writer.write(line)
        async with asyncio.timeout(10):
            told = (await reader.read()).decode().splitlines()
        writer.transport.abort()
        return told

    async def client(self) -> ScriptedClient:
        return ScriptedClient(*await asyncio.open_connection("127.0.0.1", self.port))

    def log(self) -> str:
        return "".join(self.lines)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def configure(folder: Path, **changes: Any) -> None:
    folder.mkdir(exist_ok=True)
    write_config(folder)
    told = json.loads((folder / "config.json").read_text())
    told |= {"control": f"127.0.0.1:{free_port()}", "known": {"n": 0, "events": []}} | changes
    (folder / "config.json").write_text(json.dumps(told))


async def start(folder: Path, few: int | None = None, inherited: Sequence[int] = ()) -> RouterProcess:
    def lower() -> None:  # in the child alone
        if few is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (few, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))

    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cedarthread",
        cwd=ROOT,
        env=os.environ | {"BALANCER_CONFIG": str(folder / "config.json"), "BALANCER_NAME": "n3"},
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=lower,
        pass_fds=inherited,
    )
    return RouterProcess(process, folder)


@asynccontextmanager
async def router(
    folder: Path, few: int | None = None, inherited: Sequence[int] = (), **changes: Any
) -> AsyncIterator[RouterProcess]:
    configure(folder, **changes)
    running = await start(folder, few, inherited)
    try:
        running.port = int((await running.wait_for_log(r"serving router=n3 port=(\d+)"))[1])
        yield running
    finally:
        await end(running)


async def end(running: RouterProcess) -> None:
    with contextlib.suppress(ProcessLookupError):
        running.process.send_signal(signal.SIGCONT)
        running.process.kill()
    await running.process.wait()
    await running._reading


async def flood(running: RouterProcess, count: int, data: bytes = CHECK) -> list[socket.socket]:
    """So many connections that all wait when the process next looks: it stands still while they are made."""
    running.process.send_signal(signal.SIGSTOP)
    while "T" not in Path(f"/proc/{running.process.pid}/stat").read_text().rpartition(")")[2].split()[0]:
        await asyncio.sleep(0)
    made = []
    for _ in range(count):
        one = socket.create_connection(("127.0.0.1", running.port))
        one.sendall(data)
        one.setblocking(False)
        made.append(one)
    running.process.send_signal(signal.SIGCONT)
    return made


async def wait_until_accepted(made: list[socket.socket]) -> None:
    """Till each of them has an answer or its end."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(20):
        for one in made:
            with contextlib.suppress(ConnectionError):
                await loop.sock_recv(one, 1)


def close(made: list[socket.socket]) -> None:
    for one in made:
        one.close()


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def play() -> None:
        async with asyncio.timeout(60):
            await test()

    asyncio.run(play())


@pytest.mark.parametrize(("configured", "real"), [(1024, FEW), (FEW, FEW)])
def test_idle_clients_to_the_limit_leave_descriptors_to_discovery_workers_and_operators(
    tmp_path: Path, configured: int, real: int
) -> None:
    """The budget went by the configured figure alone, and a burst was accepted before anybody counted it."""

    async def test() -> None:
        runner, moved = ScriptedWorker(), ScriptedWorker()
        await runner.start()
        await moved.start()
        old, new = (
            HeldDiscovery(ListedWorker(f"s-{n:08x}", one.port)) for n, one in ((1, runner), (2, moved))
        )
        await old.server.start()
        await new.server.start()
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": configured}
        dns = f"127.0.0.1:{old.server.port}"
        async with router(tmp_path, real, limits=limits, dns=dns) as running:
            await old.wait_for_poll()
            quiet = len(running.open_descriptors())
            held = await flood(running, 300)
            assert await running.send_command(b"PING\n") == ["YES"]
            await old.wait_for_poll()
            await wait_until_accepted(held)
            await running.wait_for_open_descriptors(
                quiet + FEW // 2
            )  # clients hold what is theirs and no more
            assert await running.send_command(b"PING\n") == ["YES"]

            # Discovery comes back: the list is taken, and a new client's call runs over a new connection.
            old.is_released = True
            await running.wait_for_log("endpoints_updated serial=2 changed=1 ")
            caller = await running.client()
            assert await caller.call(1, "confirm", b"x") == [1, 1, None, [b"X", {}]]
            assert len(runner.calls) == 1
            await running.wait_for_open_descriptors(
                quiet + FEW // 2 + 1
            )  # one of the idle has made room for the caller
            assert await running.send_command(b"PING\n") == ["YES"]

            # A second flood, and while all is full discovery moves.
            old.is_released, new.is_released = False, True
            held += await flood(running, 300)
            file = tmp_path / "config.json"
            file.write_text(
                json.dumps(json.loads(file.read_text()) | {"dns": f"127.0.0.1:{new.server.port}"})
            )
            running.process.send_signal(signal.SIGHUP)
            await new.wait_for_poll()
            assert await running.send_command(b"PING\n") == ["YES"]
            assert len(running.open_descriptors()) < FEW
            assert "out of system resource" not in running.log()
            assert "descriptors_exhausted" not in running.log()
            close(held)
        for one in (runner, moved):
            one.stop()
        old.server.stop()
        new.server.stop()

    run(test)


def test_where_the_system_has_no_descriptor_left_idle_clients_are_evicted(tmp_path: Path) -> None:
    """The book may be wrong, as where the limit is lowered under it: calls and PING come before idle ones."""

    async def test() -> None:
        runner = ScriptedWorker()
        await runner.start()
        found = HeldDiscovery(ListedWorker("s-00000001", runner.port))
        found.is_released = True
        await found.server.start()
        async with router(tmp_path, FEW, dns=f"127.0.0.1:{found.server.port}") as running:
            await running.wait_for_log("endpoints_updated serial=2 changed=1 ")
            held = await flood(running, 40)
            await wait_until_accepted(held)
            top = max(running.open_descriptors()) + 1
            assert top == len(running.open_descriptors()), "numbered without a gap: not one more can be had"
            _, hard = resource.prlimit(running.process.pid, resource.RLIMIT_NOFILE)
            resource.prlimit(running.process.pid, resource.RLIMIT_NOFILE, (top, hard))
            caller = await running.client()
            assert await caller.call(1, "confirm", b"x") == [1, 1, None, [b"X", {}]]
            assert await running.send_command(b"PING\n") == ["YES"]
            told = await running.send_command(b"INFO\n")
            assert "router.skipped_runners=0" in told
            assert "router.handled.confirm.upstream_tries=1" in told
            assert len(running.open_descriptors()) <= top
            close(held)
        runner.stop()
        found.server.stop()

    run(test)


def test_inherited_descriptors_are_in_the_budget(tmp_path: Path) -> None:
    async def test() -> None:
        told = r"descriptor_budget limit=128 clients=64 callers=0 workers=(\d+) reserved=(\d+)"
        async with router(tmp_path, FEW) as running:
            alone = await running.wait_for_log(told)
            assert len(running.open_descriptors()) < int(alone[2])
        extra = [socket.socket() for _ in range(10)]
        async with router(tmp_path, FEW, [one.fileno() for one in extra]) as running:
            more = await running.wait_for_log(told)
            assert int(more[2]) == int(alone[2]) + 10
            assert int(more[1]) == int(alone[1]) - 10
        close(extra)

    run(test)


def test_a_flood_at_the_operators_address_leaves_their_commands_answered() -> None:
    """All wait when the loop next looks; a batch that is not up yet can't make room for the next."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with service(ScriptedWorker()) as running:
            running.control.max_connections = descriptor_budget.SMALL_ACCEPTS_PER_PASS
            before = len(os.listdir("/proc/self/fd"))
            made = [socket.create_connection(("127.0.0.1", running.control_port)) for _ in range(61)]
            made[-1].sendall(b"PING\n")
            made[-1].setblocking(False)
            async with asyncio.timeout(10):
                assert await loop.sock_recv(made[-1], 64) == b"YES\n"
            most = running.control.max_connections + descriptor_budget.SMALL_ACCEPTS_PER_PASS
            assert len(os.listdir("/proc/self/fd")) - before - len(made) <= most
            close(made)

    run(test)


# A start that waits for nobody.


def test_processes_are_ready_while_discovery_is_silent(tmp_path: Path) -> None:
    """All at once, all again after a kill, one in ten: each serves before the resolver has said a word."""

    async def test() -> None:
        silent = HeldDiscovery()
        await silent.server.start()
        folders = [tmp_path / f"n{n}" for n in range(10)]
        for folder in folders:
            configure(folder, dns=f"127.0.0.1:{silent.server.port}")
        running: dict[int, RouterProcess] = {}

        async def ready(number: int) -> float:
            began = time.monotonic()
            running[number] = one = await start(folders[number])
            one.port = int((await one.wait_for_log(r"serving router=n3 port=(\d+)"))[1])
            served = time.monotonic() - began
            assert await one.send_command(b"PING\n") == ["YES"]
            caller = await one.client()
            caller.writer.write(CHECK)
            assert await caller.read() == [1, 1, None, [True, {}]]
            caller.writer.transport.abort()
            return served

        try:
            for wave in (range(10), range(10), range(1)):
                for number in wave:
                    if number in running:
                        await end(running[number])
                took = sorted(await asyncio.gather(*(ready(number) for number in wave)))
                print(f"{len(took)} started at once: ready after", *(f"{t:.2f}" for t in took), "s")
                assert took[max(0, len(took) * 9 // 10 - 1)] < 10.0
        finally:
            for one in running.values():
                await end(one)
        silent.server.stop()

    run(test)


def test_unreachable_discovery_does_not_fail_the_start(tmp_path: Path) -> None:
    async def test() -> None:
        later = HeldDiscovery()
        await later.server.start()
        # No socket can be connected there, and nothing leaves the machine.
        async with router(tmp_path, dns="255.255.255.255:53") as running:
            await running.wait_for_log("discovery_connect_failed address=255.255.255.255:53 error=")
            file = tmp_path / "config.json"
            file.write_text(
                json.dumps(json.loads(file.read_text()) | {"dns": f"127.0.0.1:{later.server.port}"})
            )
            running.process.send_signal(signal.SIGHUP)
            await later.wait_for_poll()
        later.server.stop()

    run(test)


def test_an_operators_address_in_use_is_listened_on_once_it_is_free(tmp_path: Path) -> None:
    """The old process may hold it for a while: calls are served all the same."""

    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as old:
            async with router(tmp_path, control=f"127.0.0.1:{old.getsockname()[1]}") as running:
                caller = await running.client()
                caller.writer.write(CHECK)
                assert await caller.read() == [1, 1, None, [True, {}]]
                await running.wait_for_log("control_listen_failed address=127.0.0.1:[0-9]+ error=")
                old.close()
                while True:
                    with contextlib.suppress(ConnectionRefusedError):
                        assert await running.send_command(b"PING\n") == ["YES"]
                        return
                    await asyncio.sleep(0.01)

    run(test)


# Parts of it, in this process.


def test_a_connect_without_a_descriptor_is_no_fault_of_a_worker() -> None:
    """Two in a row opened the runner's circuit breaker."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        runner = ScriptedWorker()
        async with service(runner) as running, client(running) as caller:
            dial = loop.create_connection

            async def scarce(*_: Any, **__: Any) -> Any:
                raise OSError(errno.EMFILE, "too many")

            loop.create_connection = scarce  # type: ignore[method-assign]
            for number in range(1, 5):
                answer = await caller.call(number, "confirm", b"x")
                assert answer[2][0] == "Backoff", "it never ran"
            [view] = running.dispatcher.router.workers.values()
            assert view.outlier_score == 0.0
            assert not view.is_ejected
            assert not runner.calls
            loop.create_connection = dial  # type: ignore[method-assign]
            assert await caller.call(9, "confirm", b"x") == [1, 9, None, [b"X", {}]]

    run(test)


def test_a_connect_without_a_descriptor_evicts_an_idle_client() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        runner, failed = ScriptedWorker(), 0
        async with service(runner) as running, client(running) as idle, client(running) as caller:
            idle.writer.write(CHECK)
            assert (await idle.read())[3][0] is True
            dial = loop.create_connection

            async def once(*told: Any, **more: Any) -> Any:
                nonlocal failed
                if not failed:
                    failed += 1
                    raise OSError(errno.EMFILE, "too many")
                return await dial(*told, **more)

            loop.create_connection = once  # type: ignore[method-assign]
            assert await caller.call(1, "confirm", b"x") == [1, 1, None, [b"X", {}]]
            assert failed == 1 and await idle.read() is None, "it made room"
            told = await ask_control(running, b"INFO\n")
            assert "router.upstream_tries=1" in told

    run(test)


def test_at_the_bound_an_idle_worker_connection_is_closed() -> None:
    async def test() -> None:
        runners = [ScriptedWorker(), ScriptedWorker(), ScriptedWorker()]
        async with service(*runners) as running, client(running) as caller:
            running.workers.max_connections = 1
            for number in range(1, 20):
                answer = await caller.call(number, "confirm", b"x", item=f"{number * 7919:016x}")
                assert answer == [1, number, None, [b"X", {}]]
                assert sum(len(pool.connections) for pool in running.workers.pools.values()) == 1
            assert sum(bool(runner.calls) for runner in runners) > 1
            assert not any(view.outlier_score for view in running.dispatcher.router.workers.values())

    run(test)


def test_a_connect_that_nobody_waits_for_releases_its_descriptor() -> None:
    """It held one, uncounted, till the time for connecting was over."""

    async def test() -> None:
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            fill = [socket.socket() for _ in range(4)]  # its queue is full: no more come up
            for one in fill:
                one.setblocking(False)
                one.connect_ex(full.getsockname())
            far = ScriptedWorker()
            limits = SETTINGS["limits"] | {"connect-timeout": 60_000}
            async with service(far, limits=limits) as running:
                [pool] = running.workers.pools.values()
                pool.endpoint = dataclasses.replace(pool.endpoint, port=full.getsockname()[1])
                before = set(os.listdir("/proc/self/fd"))
                connection = pool.acquire("a")
                assert connection is not None
                while len(os.listdir("/proc/self/fd")) <= len(before):
                    await asyncio.sleep(0)
                connection.abort()
                for _ in range(10):
                    await asyncio.sleep(0)
                assert not pool.connecting
                assert set(os.listdir("/proc/self/fd")) == before
            close(fill)

    run(test)


def test_a_client_that_has_not_read_its_responses_is_not_closed_uncounted() -> None:
    """Its descriptor stayed till it had read them, beyond the limit: it holds its place instead."""

    def long(runner: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any] | None:
        return serve_uppercase(runner, message) | {"body": "QUJD" * 65536}

    async def test() -> None:
        async with service(ScriptedWorker(long)) as running, client(running) as slow:
            platform = running.platform
            platform.max_connections = 1
            for number in range(1, 33):
                slow.writer.write(pack_call(number, "check", b"x"))
            slow.reader._transport.pause_reading()  # type: ignore[attr-defined]
            while not [
                c
                for c in platform.connections
                if not c.calls.open and c.is_write_paused and not c.has_unprocessed_messages
            ]:
                await asyncio.sleep(0)
            async with client(running) as other:
                assert await other.read() is None, "turned away"
            assert len(platform.connections) == 1
            slow.reader._transport.resume_reading()  # type: ignore[attr-defined]
            whole = sum(len(encode_answer(n, CallSucceeded(b"ABC" * 65536))) for n in range(1, 33))
            async with asyncio.timeout(10):
                assert len(await slow.reader.readexactly(whole)) == whole, "and every answer comes"

    run(test)


def test_callers_that_never_finish_a_handshake_stay_within_their_budget(authority: Authority) -> None:
    """They were counted from the end of the handshake on, so that these took every descriptor there was."""

    async def test() -> None:
        told = dataclasses.replace(config(authority), max_connections=4)
        async with service(ScriptedWorker(), invoke=told) as running:
            assert running.invoke is not None
            before = len(os.listdir("/proc/self/fd"))
            silent = [socket.create_connection(("127.0.0.1", running.invoke_port)) for _ in range(40)]
            async with Caller(running, authority.caller(DESK)) as desk:
                assert (await desk.request("POST", PATH + "check", b"a"))[2] == b"A"
                most = before + len(silent) + 4 + 2  # and the caller's own, and the runner's two ends
                assert len(os.listdir("/proc/self/fd")) <= most + 1
                assert len(running.invoke.connections) <= 4
            close(silent)

    run(test)


def test_discovery_is_polled_once_a_socket_is_available() -> None:
    """A move at which there was none was forgotten: the old address was asked for good."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        endpoint, tries, room = loop.create_datagram_endpoint, 0, 0

        async def scarce(*told: Any, **more: Any) -> Any:
            nonlocal tries
            tries += 1
            if tries == 1:
                raise OSError(errno.EMFILE, "too many")
            if tries == 2:
                raise OSError(errno.ENETUNREACH, "no way there")
            return await endpoint(*told, **more)

        def give_back() -> bool:
            nonlocal room
            room += 1
            return True

        old, new = HeldDiscovery(), HeldDiscovery()
        await old.server.start()
        await new.server.start()
        resolver = DiscoveryClient(lambda serial, found: None, release_descriptor=give_back)
        await resolver.connect("127.0.0.1", old.server.port)
        await old.wait_for_poll()
        loop.create_datagram_endpoint = scarce  # type: ignore[method-assign]
        began = loop.time()
        resolver.start_polling("127.0.0.1", new.server.port)
        await new.wait_for_poll()
        assert tries == 3
        assert room == 1
        assert loop.time() - began > 0.9 * CONNECT_RETRY_S
        resolver.stop()
        old.server.stop()
        new.server.stop()

    run(test)


def test_a_discovery_socket_that_fails_is_replaced() -> None:
    async def test() -> None:
        there = HeldDiscovery()
        await there.server.start()
        resolver = DiscoveryClient(lambda serial, found: None)
        resolver.start_polling("127.0.0.1", there.server.port)
        await there.wait_for_poll()
        assert resolver._transport is not None
        first = resolver._transport
        first._fatal_error(RuntimeError("broken"))  # type: ignore[attr-defined]
        while resolver._transport is first:
            await asyncio.sleep(0)
        await there.wait_for_poll()
        resolver.stop()
        there.server.stop()

    run(test)


def test_the_backlog_at_shutdown_is_accepted_over_as_many_passes_as_it_needs() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with service(ScriptedWorker()) as running:
            made = [
                socket.create_connection(("127.0.0.1", running.port))
                for _ in range(3 * descriptor_budget.CLIENT_ACCEPTS_PER_PASS)
            ]
            for one in made:
                one.sendall(CHECK)
                one.setblocking(False)
            running.platform.stop_listening()
            assert not running.platform.is_drained(), "the process may not end yet"
            async with asyncio.timeout(10):
                assert all([await loop.sock_recv(one, 64) for one in made]), "each was answered"
                while not running.platform.is_drained():
                    await asyncio.sleep(0)
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(("127.0.0.1", running.port))
            close(made)

    run(test)
