"""The discovery client: replies lost, late, old, repeated, foreign and truncated."""

from __future__ import annotations

import asyncio
import random
import struct
from typing import Any, cast

from cedarthread.protocols.discovery import DiscoveryClient
from cedarthread.protocols.endpoint_list import EndpointRecord
from cedarthread.testing.fuzzing.dns_target import generate_reply, pack_reply
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.mutation import mutate_bytes
from cedarthread.testing.fuzzing.resource_meter import Budget
from cedarthread.testing.fuzzing.target import FuzzedDataProvider, Target
from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop, run_virtual


class _RecordingDatagramTransport(asyncio.DatagramTransport):
    def __init__(self) -> None:
        super().__init__()
        self.sent: list[bytes] = []
        self.is_closed = False

    def sendto(self, data: Any, addr: Any = None) -> None:
        self.sent.append(bytes(data))

    def close(self) -> None:
        self.is_closed = True


class DiscoveryTarget(Target):
    """The resolver's client, its replies lost, late, old, doubled, foreign and truncated."""

    name = "resolver"
    modules = ("cedarthread.protocols.discovery",)
    line_budget = Budget(400_000, 8000)
    byte_budget = Budget(4 * 2**20, 2000)

    def generate(self, rng: random.Random) -> bytes:
        """A script."""
        return rng.randbytes(rng.choice((10, 40, 80)))

    def check(self, data: bytes) -> None:
        """Numbers told only go up, and each list told is one that was sent under a number asked for."""
        told: list[tuple[int, list[EndpointRecord]]] = []

        async def work(loop: VirtualLoop) -> None:
            await self._play(loop, FuzzedDataProvider(data), told)

        failures = run_virtual(work).failures
        require(not failures, failures[0] if failures else "")
        numbers = [serial for serial, _ in told]
        require(numbers == sorted(set(numbers)), f"told in the order {numbers}")

    async def _play(
        self, loop: VirtualLoop, dice: FuzzedDataProvider, told: list[tuple[int, list[EndpointRecord]]]
    ) -> None:
        resolver = DiscoveryClient(lambda serial, listed: told.append((serial, listed)))
        resolver._random = cast(Any, random.Random(1))
        transport = _RecordingDatagramTransport()
        resolver.connection_made(transport)
        serial, old = 0, list[bytes]()
        while dice.has_more():
            asked = [struct.unpack(">H", query[:2])[0] for query in transport.sent]
            rng = random.Random(dice.consume_uint16())
            reply = generate_reply(rng, rng.randrange(4))
            serial += dice.consume_byte() % 3
            reply.query_id, reply.serial = rng.choice(asked[-3:]), serial
            good = pack_reply(reply)
            before = len(told)
            match dice.consume_byte() % 8:
                case 0:
                    resolver.datagram_received(good[: dice.consume_byte()], None)
                case 1:
                    resolver.datagram_received(pack_reply(reply, flags=0x8600), None)
                    require(len(told) == before, "a truncated reply was taken")
                case 2:
                    foreign = struct.pack(">H", (reply.query_id + 1 + dice.consume_byte()) % 2**16)
                    resolver.datagram_received(foreign + good[2:], None)
                    recent = struct.unpack(">H", foreign)[0] in asked[-16:]
                    require(recent or len(told) == before, "a reply to nothing that was asked was taken")
                case 3 if old:
                    resolver.datagram_received(dice.pick(old), None)
                case 4:
                    resolver.error_received(OSError(111, "refused"))
                case 5:
                    resolver.datagram_received(mutate_bytes(good, rng), None)
                case _:
                    resolver.datagram_received(good, None)
                    old.append(good)
            await asyncio.sleep(dice.consume_byte() / 100)
        resolver.stop()
        require(transport.is_closed and loop.timer_count() == 0, "it asks on after its end")
