"""Invalid input from discovery, workers and clients: one log line, and at most that connection is closed."""

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
from tests.integration.termination_harness import (
    INTERRUPT_PREFIX,
    LONG_TIMEOUT_MS,
    leave_unanswered,
    reset_connection,
    result_name,
    running_router,
    wait_until,
    wait_until_input_read,
    wait_until_settled,
)

if TYPE_CHECKING:
    from cedarthread.service import Service

Alteration = Callable[[bytes], list[bytes]]  # from a valid reply to the datagrams that are sent instead


def unaltered(reply: bytes) -> list[bytes]:
    return [reply]


class ScriptedDiscovery:
    """A discovery server that alters replies by a script, one entry per query, and then sends valid replies.

    Args:
        running: The router that polls this server.
        workers: The workers that the server lists.
    """

    def __init__(self, running: Service, *workers: ScriptedWorker) -> None:
        self.running = running
        self.script: list[Alteration] = []
        self.query_count = 0
        self.listed = tuple(
            ListedWorker(f"s-{number:08x}", worker.port) for number, worker in enumerate(workers, 1)
        )
        self.serial = 2
        self.server = FakeDiscoveryServer(lambda: (self.serial, self.listed), "room-a", self.send_altered)

    def send_altered(self, encode: Callable[[], bytes], send: Callable[[bytes], None]) -> None:
        """Send the datagrams that the script's next entry returns for a reply."""
        self.query_count += 1
        alteration = self.script.pop(0) if self.script else unaltered
        for datagram in alteration(encode()):
            send(datagram)

    async def run_script(self, *script: Alteration) -> None:
        """Reply as the script says, and return once the router has read every reply.

        The router reads a reply before it sends its next query, so one more query is awaited at the end.
        """
        self.script = list(script)
        if self.server.port == 0:
            await self.server.start()
            await self.running.discovery.connect("127.0.0.1", self.server.port)
        await wait_until(lambda: not self.script, "all entries of the script are used")
        query_count = self.query_count
        self.script = [lambda reply: []]
        await wait_until(lambda: self.query_count > query_count, "the next query has arrived")

    def close(self) -> None:
        self.running.discovery.stop()
        self.server.stop()


def empty_list(reply: bytes) -> list[bytes]:
    """Return, twice, a valid reply to the same query that lists no workers."""
    query = reply[:12] + reply[12 : reply.index(b"\0\0!\0\x01") + 5]
    return 2 * [encode_reply(query, 9, (), "room-a")]


INVALID_REPLIES: dict[str, Alteration] = {
    "every prefix": lambda reply: [reply[:size] for size in range(len(reply))],
    "empty list": empty_list,
    "REFUSED": lambda reply: [reply[:3] + b"\x05" + reply[4:]],
    "NXDOMAIN": lambda reply: [reply[:3] + b"\x03" + reply[4:]],
    "truncated flag": lambda reply: [reply[:2] + b"\x86\x00" + reply[4:]],
    "other query id": lambda reply: [bytes((reply[0] ^ 1,)) + reply[1:]],
    "query instead of reply": lambda reply: [reply[:2] + b"\x01\x00" + reply[4:]],
    "lost": lambda reply: [],
}


@pytest.mark.parametrize("alteration", INVALID_REPLIES.values(), ids=list(INVALID_REPLIES))
def test_an_invalid_list_changes_nothing_and_the_next_valid_one_is_applied(alteration: Alteration) -> None:
    async def scenario() -> None:
        workers = [ScriptedWorker(), ScriptedWorker()]
        async with running_router(*workers) as (running, caller):
            discovery = ScriptedDiscovery(running, *workers)
            await discovery.run_script(alteration)
            assert running.endpoint_list.version == 1
            assert len(running.endpoint_list.records) == 2
            assert running.discovery.last_usable_reply_at == 0.0 or alteration is empty_list
            assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            await discovery.run_script(unaltered, unaltered)
            assert running.endpoint_list.version == 2
            assert len(running.endpoint_list.records) == 2
            assert result_name(await caller.call(2, "confirm", b"x")) == "served"
            discovery.close()

    asyncio.run(scenario())


def test_an_invalid_list_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO", "cedarthread.protocols")

    async def scenario() -> None:
        worker = ScriptedWorker()
        async with running_router(worker) as (running, _):
            discovery = ScriptedDiscovery(running, worker)
            await discovery.run_script(INVALID_REPLIES["REFUSED"])
            discovery.close()

    asyncio.run(scenario())
    assert [record.getMessage() for record in caplog.records] == [
        'discovery_response_rejected reason="code 5"'
    ]


def test_when_discovery_stops_the_last_list_stays_and_later_replies_are_used() -> None:
    """The last list remains in use while the discovery server's port is closed (ICMP port unreachable)."""

    async def scenario() -> None:
        workers = [ScriptedWorker(), ScriptedWorker()]
        async with running_router(*workers) as (running, caller):
            discovery = ScriptedDiscovery(running, *workers)
            await discovery.run_script(unaltered, unaltered)
            port = discovery.server.port
            discovery.server.stop()
            await asyncio.sleep(0)
            sent_queries: list[bytes] = []
            sendto = running.discovery._transport.sendto  # type: ignore[union-attr]

            def record_and_send(data: bytes) -> None:
                sent_queries.append(data)
                sendto(data)

            running.discovery._transport.sendto = record_and_send  # type: ignore
            await wait_until(lambda: len(sent_queries) == 3, "three queries are sent without a reply")
            assert running.endpoint_list.version == 2
            assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            discovery.serial = 5
            restarted_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            restarted_socket.bind(("127.0.0.1", port))
            restarted_socket.setblocking(False)
            await discovery.server.start(restarted_socket)
            await wait_until(lambda: running.endpoint_list.version == 5, "the new list is applied")
            discovery.close()

    asyncio.run(scenario())


def test_an_empty_list_is_applied_once_a_second_query_confirms_it() -> None:
    """An empty list can be correct; calls must then be rejected promptly, not sent to removed workers."""

    async def scenario() -> None:
        worker = ScriptedWorker()
        async with running_router(worker) as (running, caller):
            assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            discovery = ScriptedDiscovery(running, worker)
            await discovery.run_script(empty_list, empty_list)
            assert running.endpoint_list.version == 9
            assert running.endpoint_list.records == {}
            assert result_name(await caller.call(2, "confirm", b"x", limit="400")) == "rejected"
            assert len(worker.calls) == 1
            discovery.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("full_list_serial", [1, 2])
def test_two_empty_lists_with_a_full_one_between_are_not_applied(full_list_serial: int) -> None:
    """The full list has the applied serial or a newer one, and is later repeated byte for byte."""

    async def scenario() -> None:
        worker = ScriptedWorker()
        async with running_router(worker) as (running, _):
            discovery = ScriptedDiscovery(running, worker)
            discovery.serial = full_list_serial
            await discovery.run_script(
                unaltered, unaltered, empty_list, unaltered, empty_list, unaltered, empty_list
            )
            assert running.endpoint_list.version == full_list_serial
            assert len(running.endpoint_list.records) == 1
            discovery.close()

    asyncio.run(scenario())


def test_a_duplicate_or_late_list_is_applied_once_and_never_undone(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO", "cedarthread")

    async def scenario() -> None:
        workers = [ScriptedWorker(), ScriptedWorker()]
        async with running_router(*workers) as (running, _):
            discovery = ScriptedDiscovery(running, *workers)

            late_replies: list[bytes] = []

            def delay(reply: bytes) -> list[bytes]:
                late_replies.append(reply)
                discovery.serial = 3
                discovery.listed = discovery.listed[:1]
                return []

            await discovery.run_script(delay, lambda reply: [reply, reply, *late_replies, reply], unaltered)
            assert running.endpoint_list.version == 3
            assert list(running.endpoint_list.records) == ["s-00000001"]
            discovery.close()

    asyncio.run(scenario())
    messages = [record.getMessage() for record in caplog.records]
    updates = [message for message in messages if message.startswith("endpoints_updated ")]
    assert updates == [
        "endpoints_updated serial=1 changed=2 listed=2",
        "endpoints_updated serial=3 changed=1 listed=1",
    ]


INVALID_RESPONSES: dict[str, Callable[[str], bytes]] = {
    "empty": lambda call_id: b"\n",
    "not JSON": lambda call_id: b"no json\n",
    "not an object": lambda call_id: b"[]\n",
    "not UTF-8": lambda call_id: b"\xff\xfe\n",
    "no id": lambda call_id: b'{"op":"HIT","body":""}\n',
    "no body": lambda call_id: json.dumps({"op": "HIT", "id": call_id}).encode() + b"\n",
    "invalid body": lambda call_id: json.dumps({"op": "HIT", "id": call_id, "body": "%"}).encode() + b"\n",
    "unknown operation": lambda call_id: (
        json.dumps({"op": "YES", "id": call_id, "body": ""}).encode() + b"\n"
    ),
    "invalid fields": lambda call_id: (
        json.dumps({"op": "HIT", "id": call_id, "fields": 7, "body": ""}).encode() + b"\n"
    ),
    "nested too deeply": lambda call_id: b"[" * 100_000 + b"\n",
    "too long": lambda call_id: b"x" * (MAX_LINE_BYTES + 1),
}


@pytest.mark.parametrize("encode_invalid", INVALID_RESPONSES.values(), ids=list(INVALID_RESPONSES))
def test_an_invalid_response_ends_only_its_connection(
    encode_invalid: Callable[[str], bytes], caplog: pytest.LogCaptureFixture
) -> None:
    """Calls on the connection may have run, so they fail. Calls at the other worker are not affected."""

    async def scenario() -> None:
        workers = [ScriptedWorker(leave_unanswered), ScriptedWorker(leave_unanswered)]
        async with running_router(*workers) as (_, caller):
            number = 0
            while not (workers[0].calls and workers[1].calls):  # functions prefer different workers
                number += 1
                caller.writer.write(
                    pack_call(number, "confirm", b"x", item=f"{number:016x}", limit=LONG_TIMEOUT_MS)
                )
                await wait_until(
                    lambda: len(workers[0].calls + workers[1].calls) == number,  # noqa: B023
                    "the call is sent",
                )
            invalid_worker, valid_worker = workers
            invalid_worker.writers[0].write(encode_invalid(invalid_worker.calls[0]["id"]))
            failed_numbers = {(await caller.read())[1] for _ in invalid_worker.calls}
            assert failed_numbers == {int(call["id"], 16) for call in invalid_worker.calls}
            for call in valid_worker.calls:
                valid_worker.answer(call, serve_uppercase(valid_worker, call))
                assert result_name(await caller.read()) == "served"
            invalid_worker.behavior = serve_uppercase
            valid_worker.behavior = serve_uppercase
            assert result_name(await caller.call(90, "confirm", b"x")) == "served"

    asyncio.run(scenario())
    records = [record for record in caplog.records if record.name.startswith("cedarthread.protocols.worker")]
    assert [record.getMessage() for record in records] == ["worker_response_invalid worker=s-00000001"]


@pytest.mark.parametrize("packed_number", [b"\x63", b"\x01", b"\xcf" + b"\xff" * 8])
def test_an_interrupt_of_an_unknown_or_completed_call_is_ignored(packed_number: bytes) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker()
        async with running_router(worker) as (running, caller):
            assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            worker.behavior = leave_unanswered
            caller.writer.write(pack_call(2, "confirm", b"x"))
            await worker.wait_until(lambda: len(worker.calls) == 2)
            caller.writer.write(2 * (INTERRUPT_PREFIX + packed_number))
            await wait_until_input_read(caller, 3)
            worker.answer(worker.calls[1], serve_uppercase(worker, worker.calls[1]))
            assert await caller.read() == [1, 2, None, [b"X", {}]]
            assert worker.cancelled_ids == []
            assert running.dispatcher.result_counts["abandoned"] == 0

    asyncio.run(scenario())


def test_a_client_that_disconnects_within_a_message_ends_only_its_own_calls() -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with running_router(worker) as (running, caller), client(running) as disconnecting_client:
            for number, sender in ((1, disconnecting_client), (2, caller)):
                sender.writer.write(pack_call(number, "confirm", b"x", limit=LONG_TIMEOUT_MS))
                await worker.wait_until(lambda: len(worker.calls) == number)  # noqa: B023
            disconnecting_client.writer.write(pack_call(3, "confirm", b"y" * 1000)[:500])
            await wait_until(
                lambda: any(
                    connection.needed_bytes or connection.message_started_at
                    for connection in running.platform.connections
                ),
                "the router has read half of the message",
            )
            reset_connection(disconnecting_client.writer)
            await worker.wait_until(lambda: worker.cancelled_ids == [f"{1:016x}"])
            worker.answer(worker.calls[1], serve_uppercase(worker, worker.calls[1]))
            assert await caller.read() == [1, 2, None, [b"X", {}]]
            await wait_until_settled(running)
            assert len(worker.calls) == 2

    asyncio.run(scenario())
