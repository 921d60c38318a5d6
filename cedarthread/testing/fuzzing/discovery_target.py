"""The discovery client: replies lost, late, old, repeated, foreign and truncated."""

from __future__ import annotations

import asyncio
import random
import struct
from typing import Any, NamedTuple, cast

from cedarthread.protocols.discovery import DiscoveryClient
from cedarthread.protocols.endpoint_list import EndpointRecord
from cedarthread.protocols.query_tracker import MAX_OUTSTANDING_QUERIES
from cedarthread.testing.fuzzing.dns_target import AUTHORITATIVE_ANSWER, generate_reply, pack_reply
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.mutation import mutate_bytes
from cedarthread.testing.fuzzing.resource_meter import Budget
from cedarthread.testing.fuzzing.target import FuzzedDataProvider, Target
from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop, run_virtual

TRUNCATED = 0x0200  # the flag TC
REPLIED_QUERIES = 3  # the latest, of which one is replied to


class _Update(NamedTuple):
    """A list that the client passed on."""

    serial: int
    records: list[EndpointRecord]


class _RecordingDatagramTransport(asyncio.DatagramTransport):
    def __init__(self) -> None:
        super().__init__()
        self.sent: list[bytes] = []
        self.is_closed = False

    def sendto(self, data: Any, addr: Any = None) -> None:
        self.sent.append(bytes(data))

    def close(self) -> None:
        self.is_closed = True

    def query_ids(self) -> list[int]:
        return [struct.unpack(">H", query[:2])[0] for query in self.sent]


class DiscoveryTarget(Target):
    """The discovery client, with replies lost, late, old, repeated, foreign and truncated."""

    name = "resolver"
    modules = ("cedarthread.protocols.discovery",)
    line_budget = Budget(400_000, 8000)
    byte_budget = Budget(4 * 2**20, 2000)

    def generate(self, rng: random.Random) -> bytes:
        """A script."""
        return rng.randbytes(rng.choice((10, 40, 80)))

    def check(self, data: bytes) -> None:
        """Serials only go up, and a list is passed on only from a complete reply to a recent query."""
        updates: list[_Update] = []

        async def work(loop: VirtualLoop) -> None:
            await self._play(loop, FuzzedDataProvider(data), updates)

        failures = run_virtual(work).failures
        require(not failures, failures[0] if failures else "")
        serials = [update.serial for update in updates]
        require(serials == sorted(set(serials)), f"told in the order {serials}")

    async def _play(self, loop: VirtualLoop, choices: FuzzedDataProvider, updates: list[_Update]) -> None:
        client = DiscoveryClient(lambda serial, records: updates.append(_Update(serial, records)))
        client._random = cast(Any, random.Random(1))
        transport = _RecordingDatagramTransport()
        client.connection_made(transport)
        serial, earlier = 0, list[bytes]()
        while choices.has_more():
            query_ids = transport.query_ids()
            rng = random.Random(choices.consume_uint16())
            reply = generate_reply(rng, rng.randrange(4))
            serial += choices.consume_byte() % 3
            reply.query_id, reply.serial = rng.choice(query_ids[-REPLIED_QUERIES:]), serial
            data, count = pack_reply(reply), len(updates)
            match choices.consume_byte() % 8:
                case 0:
                    client.datagram_received(data[: choices.consume_byte()], None)
                case 1:
                    truncated = pack_reply(reply, flags=AUTHORITATIVE_ANSWER | TRUNCATED)
                    client.datagram_received(truncated, None)
                    require(len(updates) == count, "a truncated reply was taken")
                case 2:
                    foreign_id = (reply.query_id + 1 + choices.consume_byte()) % 2**16
                    client.datagram_received(struct.pack(">H", foreign_id) + data[2:], None)
                    is_recent = foreign_id in query_ids[-MAX_OUTSTANDING_QUERIES:]
                    unchanged = len(updates) == count
                    require(is_recent or unchanged, "a reply to nothing that was asked was taken")
                case 3 if earlier:
                    client.datagram_received(choices.pick(earlier), None)
                case 4:
                    client.error_received(OSError(111, "refused"))
                case 5:
                    client.datagram_received(mutate_bytes(data, rng), None)
                case _:
                    client.datagram_received(data, None)
                    earlier.append(data)
            await asyncio.sleep(choices.consume_byte() / 100)
        client.stop()
        require(transport.is_closed and loop.timer_count() == 0, "it asks on after its end")
