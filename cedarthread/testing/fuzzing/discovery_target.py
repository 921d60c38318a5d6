"""The fuzz target of the discovery client, with missing, outdated and invalid replies."""

from __future__ import annotations

import asyncio
import itertools
import random
import struct
from collections import defaultdict
from typing import TYPE_CHECKING, Any, NamedTuple, cast

from cedarthread.protocols import dns
from cedarthread.protocols.discovery.client import DiscoveryClient
from cedarthread.protocols.discovery.endpoint_records import endpoints_from_reply
from cedarthread.protocols.discovery.list_acceptance import CONFIRMING_QUERIES
from cedarthread.protocols.discovery.query_tracker import MAX_OUTSTANDING_QUERIES
from cedarthread.testing.fuzzing.dns_target import AUTHORITATIVE_ANSWER, generate_reply, pack_reply
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.mutation import mutate_bytes
from cedarthread.testing.fuzzing.resource_meter import Budget
from cedarthread.testing.fuzzing.target import FuzzedDataProvider, Target
from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop, run_virtual

if TYPE_CHECKING:
    from cedarthread.protocols.discovery.endpoint_list import EndpointRecord

TRUNCATED = 0x0200  # the DNS flag TC
REPLIED_QUERIES = 3  # a reply answers one of this many most recent queries


class _Update(NamedTuple):
    """An endpoint list that the client passed on."""

    serial: int
    records: list[EndpointRecord]


class _RecordingDatagramTransport(asyncio.DatagramTransport):
    """A datagram transport that records the queries of the client."""

    def __init__(self) -> None:
        super().__init__()
        self.sent: list[bytes] = []
        self.is_closed = False

    def sendto(self, data: bytes | bytearray | memoryview, addr: object = None) -> None:
        self.sent.append(bytes(data))

    def close(self) -> None:
        self.is_closed = True

    def query_ids(self) -> list[int]:
        return [struct.unpack(">H", query[:2])[0] for query in self.sent]


class _ObservedReplies:
    """The queries that were answered with each list, and the lists that the client passed on.

    Args:
        updates: Receives each list that the client passes on.
    """

    def __init__(self, updates: list[_Update]) -> None:
        self.updates = updates
        self._queries: defaultdict[tuple[int, frozenset[EndpointRecord]], set[int]] = defaultdict(set)

    def on_reply(self, datagram: bytes) -> None:
        """Record a datagram that is delivered to the client."""
        reply = dns.parse(datagram)
        if isinstance(reply, dns.Reply) and reply.serial is not None:
            records = endpoints_from_reply(reply)
            if not isinstance(records, str):
                self._queries[reply.serial, frozenset(records)].add(reply.query_id)

    def on_update(self, serial: int, records: list[EndpointRecord]) -> None:
        """Check that enough queries confirmed a list that the client passes on."""
        count = len(self._queries[serial, frozenset(records)])
        require(count >= CONFIRMING_QUERIES, f"list with serial {serial} accepted after only {count} queries")
        self.updates.append(_Update(serial, records))


class _DiscoveryRun:
    """A discovery client that receives the replies that one input selects.

    Args:
        choices: The input.
        updates: Receives each list that the client passes on.
    """

    def __init__(self, choices: FuzzedDataProvider, updates: list[_Update]) -> None:
        self.choices = choices
        self.updates = updates
        self.observed = _ObservedReplies(updates)
        self.client = DiscoveryClient(self.observed.on_update)
        # A fixed seed, so that the query IDs are the same in every run of an input.
        self.client._random = cast("Any", random.Random(1))
        self.transport = _RecordingDatagramTransport()
        self.client.connection_made(self.transport)
        self.serial = 0
        self.delivered: list[bytes] = []  # complete replies that were delivered and may be delivered again

    async def run(self) -> None:
        """Deliver replies until the end of the input, then stop the client."""
        while self.choices.has_more():
            self._deliver_next()
            await asyncio.sleep(self.choices.consume_byte() / 100)
        self.client.stop()

    def _deliver_next(self) -> None:
        choices = self.choices
        query_ids = self.transport.query_ids()
        rng = random.Random(choices.consume_uint16())
        reply = generate_reply(rng, rng.randrange(4))
        self.serial += choices.consume_byte() % 3
        reply.query_id = rng.choice(query_ids[-REPLIED_QUERIES:])
        reply.serial = self.serial
        data = pack_reply(reply)
        match choices.consume_byte() % 8:
            case 0:
                self._deliver(data[: choices.consume_byte()])
            case 1:
                self._deliver_truncated(reply)
            case 2:
                other_id = (reply.query_id + 1 + choices.consume_byte()) % 2**16
                is_recent = other_id in query_ids[-MAX_OUTSTANDING_QUERIES:]
                self._deliver_with_other_id(struct.pack(">H", other_id) + data[2:], is_recent=is_recent)
            case 3 if self.delivered:
                self._deliver(choices.pick(self.delivered))
            case 4:
                self.client.error_received(OSError(111, "refused"))
            case 5:
                self._deliver(mutate_bytes(data, rng))
            case _:
                self._deliver(data)
                self.delivered.append(data)

    def _deliver(self, datagram: bytes) -> None:
        self.observed.on_reply(datagram)
        self.client.datagram_received(datagram, None)

    def _deliver_truncated(self, reply: dns.Reply) -> None:
        count = len(self.updates)
        self._deliver(pack_reply(reply, flags=AUTHORITATIVE_ANSWER | TRUNCATED))
        require(len(self.updates) == count, "a truncated reply was accepted")

    def _deliver_with_other_id(self, datagram: bytes, *, is_recent: bool) -> None:
        count = len(self.updates)
        self._deliver(datagram)
        is_unchanged = len(self.updates) == count
        require(is_recent or is_unchanged, "an unsolicited reply was accepted")


class DiscoveryTarget(Target):
    """The discovery client, with lost, late, old, repeated, unsolicited and truncated replies."""

    name = "resolver"
    modules = ("cedarthread.protocols.discovery.client",)
    line_budget = Budget(400_000, 8000)
    byte_budget = Budget(4 * 2**20, 2000)

    def generate(self, rng: random.Random) -> bytes:
        """Return random bytes, which select the replies."""
        return rng.randbytes(rng.choice((10, 40, 80)))

    def check(self, data: bytes) -> None:
        """Check that the client passes a list on only after two complete replies, and never twice in a row.

        The two replies must answer different recent queries.
        """
        updates: list[_Update] = []

        async def work(loop: VirtualLoop) -> None:
            run = _DiscoveryRun(FuzzedDataProvider(data), updates)
            await run.run()
            has_stopped = run.transport.is_closed and loop.timer_count() == 0
            require(has_stopped, "socket or timers still open after stop()")

        failures = run_virtual(work).failures
        require(not failures, failures[0] if failures else "")
        for earlier, later in itertools.pairwise(updates):
            is_same = earlier.serial == later.serial and set(earlier.records) == set(later.records)
            require(not is_same, f"the list with serial {later.serial} was passed on twice in a row")
