"""The UDP transport that carries gossip and the other datagrams between routers."""

from __future__ import annotations

import asyncio

from cedarthread.protocols.peers import PeerAddresses, PeerTransport

ANY_PORT = ("127.0.0.1", 0)


def test_datagrams_pass_between_sockets_and_unknown_senders_are_dropped() -> None:
    async def exchange() -> None:
        loop = asyncio.get_running_loop()
        received: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue()
        first, second = (
            PeerTransport(
                PeerAddresses(ANY_PORT, (), None), lambda index, data: received.put_nowait((index, data))
            )
            for _ in range(2)
        )
        for transport in (first, second):
            await transport.start()
        addresses = [
            transport._transport.get_extra_info("sockname")  # type: ignore[union-attr]
            for transport in (first, second)
        ]
        for transport in (first, second):
            transport.addresses = PeerAddresses(ANY_PORT, tuple(addresses), None)
            transport._peer_index_by_address = {address: index for index, address in enumerate(addresses)}
        unknown_sender, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=addresses[1]
        )
        unknown_sender.sendto(b"x")
        first.send(b"y" * 257, 1)
        first.send(b"z", 5)
        first.send(b"hello", 1)
        assert await received.get() == (0, b"hello")
        assert first.unsent_count == 2
        first.send(b"all", None)
        assert {await received.get(), await received.get()} == {(0, b"all")}
        assert second.unknown_sender_count == 1
        unknown_sender.close()
        first.stop()
        second.stop()

    asyncio.run(exchange())
