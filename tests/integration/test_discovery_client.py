"""Replies of discovery servers that are lost, reordered, duplicated, or follow an address change."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from cedarthread.model.endpoints import EndpointState, EndpointUpdateKind
from cedarthread.protocols.discovery.client import DiscoveryClient
from cedarthread.protocols.discovery.endpoint_list import EndpointList, EndpointRecord
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fakes.settings import SETTINGS
from tests.unit.protocols.dns_replies import TRUNCATED_FLAGS, discovery_reply


def test_only_replies_to_queries_with_a_newer_serial_are_applied() -> None:
    """Replies may be lost, reordered or duplicated; a worker that a complete list omits is removed."""

    async def scenario() -> None:
        applied_serials: list[int] = []
        discovery = DiscoveryClient(lambda serial, endpoints: applied_serials.append(serial))
        discovery.datagram_received(discovery_reply(serial=8), None)  # no query was sent with this id
        for query_id in (7, 8):
            discovery.queries.on_sent(query_id, 0.0)

        def receive(*serials: int, query_id: int = 7) -> None:
            for serial in serials:
                reply = query_id.to_bytes(2, "big") + discovery_reply(serial=serial)[2:]
                discovery.datagram_received(reply, None)

        receive(9, 9, 9)
        assert applied_serials == [], "replies to one query must not confirm a list, however many arrive"
        receive(9, query_id=8)
        receive(8)
        receive(8, query_id=8)
        assert applied_serials == [9], "a list with a lower serial must not be applied"
        receive(9)
        receive(10)
        receive(10, query_id=8)
        discovery.datagram_received(discovery_reply(TRUNCATED_FLAGS, serial=11), None)
        discovery.datagram_received(b"garbage", None)
        assert applied_serials == [9, 10]
        endpoint_list = EndpointList(settings_from_object(SETTINGS))
        record = EndpointRecord(
            "s-00000001", "127.0.0.1", 1, "room-a", "std", 0, EndpointState.READY, 1.0, 0.0
        )
        first_update = endpoint_list.apply_update(1, [record], is_snapshot=True)
        assert first_update is not None
        assert first_update.kind is EndpointUpdateKind.CACHED
        second_update = endpoint_list.apply_update(2, [], is_snapshot=True)
        assert second_update is not None
        assert [endpoint.state for endpoint in second_update.endpoints] == [EndpointState.REMOVED]
        assert endpoint_list.apply_update(2, [record], is_snapshot=True) is None

    asyncio.run(scenario())


def test_after_discovery_changes_its_address_a_lower_serial_is_not_applied() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        applied_serials: list[int] = []

        class Server(asyncio.DatagramProtocol):
            def __init__(self, serial: int) -> None:
                self.serial = serial
                self.is_queried = asyncio.Event()

            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                self.transport = cast("asyncio.DatagramTransport", transport)

            def datagram_received(self, data: bytes, addr: Any) -> None:
                self.is_queried.set()
                self.transport.sendto(data[:2] + discovery_reply(serial=self.serial)[2:], addr)

        servers = [Server(serial) for serial in (9, 8, 10)]
        discovery = DiscoveryClient(lambda serial, endpoints: applied_serials.append(serial))
        for server in servers:
            await loop.create_datagram_endpoint(
                lambda protocol=server: protocol,  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
            await discovery.connect(*server.transport.get_extra_info("sockname"))
            async with asyncio.timeout(10):
                await server.is_queried.wait()
                while discovery.last_usable_reply_at == 0.0 or (
                    server.serial > 8 and server.serial not in applied_serials
                ):
                    await asyncio.sleep(0)
        discovery.stop()
        for server in servers:
            server.transport.close()
        assert applied_serials == [9, 10]

    asyncio.run(scenario())
