"""Bad input on each wire: an error value, one log line; at most its connection ends, nothing else."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

import pytest

from cedarthread.protocols.worker.codec import MAX_LINE_BYTES
from cedarthread.testing.fakes.discovery_server import FakeDiscoveryServer, ListedWorker, encode_reply
from cedarthread.testing.fakes.scripted import ScriptedWorker, client, pack_call, serve_uppercase
from tests.integration.test_endings import (
    INTERRUPT,
    LONG,
    fence,
    mute,
    reset,
    result_name,
    running_router,
    until,
    wait_until_settled,
)

if TYPE_CHECKING:
    from cedarthread.service import Service

Spoils = Callable[[bytes], list[bytes]]  # the datagrams that come in place of a reply


def whole(reply: bytes) -> list[bytes]:
    return [reply]


class Discovery:
    """A resolver that plays a script, one entry a query; then it answers well."""

    def __init__(self, running: Service, *runners: ScriptedWorker) -> None:
        self.running, self.script, self.asked = running, list[Spoils](), 0
        self.listed = tuple(ListedWorker(f"s-{n:08x}", runner.port) for n, runner in enumerate(runners, 1))
        self.serial, self.late = 2, list[bytes]()
        self.server = FakeDiscoveryServer(lambda: (self.serial, self.listed), "room-a", self.passes)

    def passes(self, make: Callable[[], bytes], give: Callable[[bytes], None]) -> None:
        self.asked += 1
        spoils = self.script.pop(0) if self.script else whole
        for datagram in spoils(make()):
            give(datagram)

    async def play(self, *script: Spoils) -> None:
        """Till all of it has been taken in: what came before a query is read before that is sent."""
        self.script = list(script)
        if self.server.port == 0:
            await self.server.start()
            await self.running.discovery.connect("127.0.0.1", self.server.port)
        await until(lambda: not self.script, "all has been played")
        seen = self.asked
        self.script = [lambda reply: []]
        await until(lambda: self.asked > seen, "the next query")

    def close(self) -> None:
        self.running.discovery.stop()
        self.server.stop()


def nobody(whole: bytes) -> list[bytes]:
    """A well-formed reply of the same query that lists no runner, twice."""
    return 2 * [encode_reply(whole[:12] + whole[12 : whole.index(b"\0\0!\0\x01") + 5], 9, (), "room-a")]


SPOILT: dict[str, Spoils] = {
    "cut": lambda whole: [whole[:size] for size in range(len(whole))],
    "nobody": nobody,
    "refused": lambda whole: [whole[:3] + b"\x05" + whole[4:]],
    "no such name": lambda whole: [whole[:3] + b"\x03" + whole[4:]],
    "truncated": lambda whole: [whole[:2] + b"\x86\x00" + whole[4:]],
    "another's": lambda whole: [bytes((whole[0] ^ 1,)) + whole[1:]],
    "no reply": lambda whole: [whole[:2] + b"\x01\x00" + whole[4:]],
    "lost": lambda whole: [],
}


@pytest.mark.parametrize("spoils", SPOILT.values(), ids=list(SPOILT))
def test_a_malformed_list_changes_nothing_and_the_next_valid_one_is_applied(spoils: Spoils) -> None:
    async def test() -> None:
        runners = [ScriptedWorker(), ScriptedWorker()]
        async with running_router(*runners) as (running, caller):
            discovery = Discovery(running, *runners)
            await discovery.play(spoils)
            assert running.endpoint_list.version == 1
            assert len(running.endpoint_list.records) == 2
            assert running.discovery.last_usable_reply_at == 0.0 or spoils is nobody
            assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            await discovery.play(whole, whole)
            assert running.endpoint_list.version == 2
            assert len(running.endpoint_list.records) == 2
            assert result_name(await caller.call(2, "confirm", b"x")) == "served"
            discovery.close()

    asyncio.run(test())


def test_a_malformed_list_is_one_log_line(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO", "cedarthread.protocols")

    async def test() -> None:
        runner = ScriptedWorker()
        async with running_router(runner) as (running, _):
            discovery = Discovery(running, runner)
            await discovery.play(SPOILT["refused"])
            discovery.close()

    asyncio.run(test())
    assert [r.getMessage() for r in caplog.records] == ['discovery_response_rejected reason="code 5"']


def test_when_discovery_dies_the_last_list_stays_and_later_replies_are_used() -> None:
    """Queries that are refused by its machine, as where the process is down, end nothing."""

    async def test() -> None:
        runners = [ScriptedWorker(), ScriptedWorker()]
        async with running_router(*runners) as (running, caller):
            discovery = Discovery(running, *runners)
            await discovery.play(whole, whole)
            port = discovery.server.port
            discovery.server.stop()
            await asyncio.sleep(0)
            asked: list[bytes] = []
            sendto = running.discovery._transport.sendto  # type: ignore[union-attr]
            running.discovery._transport.sendto = lambda data: (asked.append(data), sendto(data))  # type: ignore
            await until(lambda: len(asked) == 3, "it is asked on, in vain")
            assert running.endpoint_list.version == 2
            assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            discovery.serial = 5
            again = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            again.bind(("127.0.0.1", port))
            again.setblocking(False)
            await discovery.server.start(again)
            await until(lambda: running.endpoint_list.version == 5, "news again")
            discovery.close()

    asyncio.run(test())


def test_an_empty_list_is_believed_once_a_second_query_confirms_it() -> None:
    """An empty list can be true: then no call may go on to where nobody is, and it has to be known soon."""

    async def test() -> None:
        runner = ScriptedWorker()
        async with running_router(runner) as (running, caller):
            assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            discovery = Discovery(running, runner)
            await discovery.play(nobody, nobody)
            assert running.endpoint_list.version == 9
            assert running.endpoint_list.records == {}
            assert result_name(await caller.call(2, "confirm", b"x", limit="400")) == "refused"
            assert len(runner.calls) == 1
            discovery.close()

    asyncio.run(test())


@pytest.mark.parametrize("between", [1, 2])
def test_two_empty_lists_with_a_full_one_between_are_not_believed(between: int) -> None:
    """The good one is of the serial that holds, read once or known by its bytes, or a newer one."""

    async def test() -> None:
        runner = ScriptedWorker()
        async with running_router(runner) as (running, _):
            discovery = Discovery(running, runner)
            discovery.serial = between
            await discovery.play(whole, whole, nobody, whole, nobody, whole, nobody)
            assert running.endpoint_list.version == between
            assert len(running.endpoint_list.records) == 1
            discovery.close()

    asyncio.run(test())


def test_a_duplicate_or_late_list_is_applied_once_and_never_undone(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO", "cedarthread")

    async def test() -> None:
        runners = [ScriptedWorker(), ScriptedWorker()]
        async with running_router(*runners) as (running, _):
            discovery = Discovery(running, *runners)

            def hold(reply: bytes) -> list[bytes]:
                discovery.late.append(reply)
                discovery.serial, discovery.listed = 3, discovery.listed[:1]
                return []

            await discovery.play(hold, lambda reply: [reply, reply, *discovery.late, reply], whole)
            assert running.endpoint_list.version == 3
            assert list(running.endpoint_list.records) == ["s-00000001"]
            discovery.close()

    asyncio.run(test())
    news = [r.getMessage() for r in caplog.records if r.getMessage().startswith("endpoints_updated ")]
    assert news == [
        "endpoints_updated serial=1 changed=2 listed=2",
        "endpoints_updated serial=3 changed=1 listed=1",
    ]


ANSWERS: dict[str, Callable[[str], bytes]] = {
    "empty": lambda name: b"\n",
    "no json": lambda name: b"no json\n",
    "no object": lambda name: b"[]\n",
    "no text": lambda name: b"\xff\xfe\n",
    "no id": lambda name: b'{"op":"HIT","body":""}\n',
    "no body": lambda name: json.dumps({"op": "HIT", "id": name}).encode() + b"\n",
    "odd body": lambda name: json.dumps({"op": "HIT", "id": name, "body": "%"}).encode() + b"\n",
    "odd word": lambda name: json.dumps({"op": "YES", "id": name, "body": ""}).encode() + b"\n",
    "odd fields": lambda name: (
        json.dumps({"op": "HIT", "id": name, "fields": 7, "body": ""}).encode() + b"\n"
    ),
    "too deep": lambda name: b"[" * 100_000 + b"\n",
    "too long": lambda name: b"x" * (MAX_LINE_BYTES + 1),
}


@pytest.mark.parametrize("spoilt", ANSWERS.values(), ids=list(ANSWERS))
def test_a_malformed_response_ends_its_connection_alone(
    spoilt: Callable[[str], bytes], caplog: pytest.LogCaptureFixture
) -> None:
    """What is open there may have run. A call at another runner is not touched; the log says which it was."""

    async def test() -> None:
        runners = [ScriptedWorker(mute), ScriptedWorker(mute)]
        async with running_router(*runners) as (_, caller):
            number = 0
            while not (runners[0].calls and runners[1].calls):  # functions have homes here and there
                number += 1
                caller.writer.write(pack_call(number, "confirm", b"x", item=f"{number:016x}", limit=LONG))
                await until(lambda: len(runners[0].calls + runners[1].calls) == number, "it is out")  # noqa: B023
            bad, good = runners
            bad.writers[0].write(spoilt(bad.calls[0]["id"]))
            lost = {(await caller.read())[1] for _ in bad.calls}
            assert lost == {int(call["id"], 16) for call in bad.calls}
            for call in good.calls:
                good.answer(call, serve_uppercase(good, call))
                assert result_name(await caller.read()) == "served"
            bad.behavior = good.behavior = serve_uppercase
            assert result_name(await caller.call(90, "confirm", b"x")) == "served"

    asyncio.run(test())
    assert [r.getMessage() for r in caplog.records if r.name.startswith("cedarthread.protocols.worker")] == [
        "worker_response_invalid worker=s-00000001"
    ]


@pytest.mark.parametrize("number", [b"\x63", b"\x01", b"\xcf" + b"\xff" * 8])
def test_an_interrupt_of_an_unknown_or_completed_call_is_ignored(number: bytes) -> None:
    async def test() -> None:
        runner = ScriptedWorker()
        async with running_router(runner) as (running, caller):
            assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            runner.behavior = mute
            caller.writer.write(pack_call(2, "confirm", b"x"))
            await runner.wait_until(lambda: len(runner.calls) == 2)
            caller.writer.write(2 * (INTERRUPT + number))
            await fence(caller, 3)
            runner.answer(runner.calls[1], serve_uppercase(runner, runner.calls[1]))
            assert await caller.read() == [1, 2, None, [b"X", {}]]
            assert runner.cancelled_ids == []
            assert running.dispatcher.result_counts["abandoned"] == 0

    asyncio.run(test())


def test_a_client_that_ends_within_a_message_ends_its_own_calls_alone() -> None:
    async def test() -> None:
        runner = ScriptedWorker(mute)
        async with running_router(runner) as (running, caller), client(running) as cut:
            for number, one in ((1, cut), (2, caller)):
                one.writer.write(pack_call(number, "confirm", b"x", limit=LONG))
                await runner.wait_until(lambda: len(runner.calls) == number)  # noqa: B023
            cut.writer.write(pack_call(3, "confirm", b"y" * 1000)[:500])
            await until(
                lambda: any(c.needed_bytes or c.message_started_at for c in running.platform.connections),
                "half of it",
            )
            reset(cut.writer)
            await runner.wait_until(lambda: runner.cancelled_ids == [f"{1:016x}"])
            runner.answer(runner.calls[1], serve_uppercase(runner, runner.calls[1]))
            assert await caller.read() == [1, 2, None, [b"X", {}]]
            await wait_until_settled(running)
            assert len(runner.calls) == 2

    asyncio.run(test())
