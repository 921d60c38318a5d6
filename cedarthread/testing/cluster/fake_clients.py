"""The fake process that runs the clients, peer relays and discovery servers of some routers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from functools import partial
from typing import TYPE_CHECKING, Any

from cedarthread.testing.cluster.arrivals import Arrival, generate_arrivals
from cedarthread.testing.cluster.endpoint_timeline import EndpointListTimeline, VersionedList
from cedarthread.testing.cluster.facts import (
    CallAbandoned,
    CallAnswered,
    CallSubmitted,
    ClientLeft,
    ListSent,
    NoRouterAvailable,
)
from cedarthread.testing.cluster.peer_relays import PeerRelays
from cedarthread.testing.cluster.plan import CALL_DEADLINE_MS, ClusterPlan
from cedarthread.testing.cluster.process_base import Command, FakeProcess
from cedarthread.testing.cluster.recordings import DiscoveryQuery
from cedarthread.testing.cluster.scenario import Fault, FaultKind, Node, NodeKind
from cedarthread.testing.fakes.client import FakeClient, pack_call, pack_health_check
from cedarthread.testing.fakes.discovery_server import FakeDiscoveryServer

if TYPE_CHECKING:
    from collections.abc import Callable

ZONE = "room-a"
CALLS_PER_YIELD = 32  # An overdue call whose number is a multiple of this lets the event loop run first.
ABANDON_BEFORE_RESUME_S = 0.02  # Calls are abandoned this long before a paused router resumes and can answer.
CONNECT_TRIES = 20
CONNECT_RETRY_S = 0.1
MOVED_SERVER_LINGERS_S = 0.3  # Time from a move until the server at the old address stops replying.
# A request that was sent at most this long before its connection ended may have been in transit when the
# router closed the connection.
CROSSING_CLOSE_MS = 60.0
DISCOVERY_FAULTS = (
    FaultKind.SILENCE_DISCOVERY,
    FaultKind.CORRUPT_DISCOVERY,
    FaultKind.MOVE_DISCOVERY,
)


class FakeClientProcess(FakeProcess):
    """The fake process of some routers' clients, peer relays and discovery servers.

    The numbers of the routers are ``number - 1`` and every ``client_process_count``-th number after it.

    Args:
        plan: The plan of the run.
        number: The process number, from 1.
    """

    def __init__(self, plan: ClusterPlan, number: int) -> None:
        super().__init__(plan, number)
        self.routers = range(number - 1, plan.scenario.router_count, plan.client_process_count)
        self.rng = random.Random(1000 * plan.scenario.seed + number)
        self.list_timeline = EndpointListTimeline(plan.scenario, plan.worker_ports)
        self.discovery_faults = [fault for fault in plan.scenario.faults if fault.kind in DISCOVERY_FAULTS]
        self.clients: dict[int, FakeClient] = {}  # Keys: router numbers.
        # Ids of pending calls. Keys: the router number, then the call's number on its connection.
        self.pending_calls: dict[int, dict[int, str]] = {router: {} for router in self.routers}
        self.submitted_at_ms: dict[str, float] = {}  # Keys: call ids. Times are ms from the start of traffic.
        self.relays = PeerRelays(self)

    async def start(self) -> None:
        """Start the relays and discovery servers at the inherited sockets of this process's routers."""
        for router in self.routers:
            await self.relays.start(router)
            discovery_server = FakeDiscoveryServer(
                partial(self._list_for, router), ZONE, partial(self.on_discovery_query, router)
            )
            await discovery_server.start(socket.socket(fileno=self.plan.discovery_servers[router].descriptor))
            moved_server = FakeDiscoveryServer(
                partial(self._list_for, router), ZONE, partial(self.on_moved_discovery_query, router)
            )
            moved_socket = socket.socket(fileno=self.plan.moved_discovery_servers[router].descriptor)
            await moved_server.start(moved_socket)

    def _list_for(self, router: int) -> VersionedList:
        return self.list_timeline.list_at(self.now_ms(), router)

    async def on_command(self, command: Command, arguments: dict[str, Any]) -> None:
        """Connect clients, or carry out a command that every fake process has."""
        if command is Command.CONNECT:
            await asyncio.gather(
                *(self.connect_client(router) for router in arguments["routers"] if router in self.routers)
            )
        await super().on_command(command, arguments)

    def on_moved_discovery_query(
        self, router: int, make_reply: Callable[[], bytes], send_reply: Callable[[bytes], None]
    ) -> None:
        """Reply to a query to a router's second discovery server, which replies only after a move."""
        if self._has_moved(router, margin_s=0.0):
            self._reply(router, make_reply, send_reply)

    def on_discovery_query(
        self, router: int, make_reply: Callable[[], bytes], send_reply: Callable[[bytes], None]
    ) -> None:
        """Reply to a query to a router's first discovery server, which stops replying soon after a move."""
        if not self._has_moved(router, margin_s=MOVED_SERVER_LINGERS_S):
            self._reply(router, make_reply, send_reply)

    def _has_moved(self, router: int, margin_s: float) -> bool:
        """Return whether a router's discovery server moved at least ``margin_s`` ago and is not back yet."""
        now_s = self.now_ms() / 1000.0
        return any(
            fault.start_s + margin_s <= now_s < fault.end_s
            for fault in self.discovery_faults
            if fault.kind is FaultKind.MOVE_DISCOVERY and fault.targets.includes(NodeKind.ROUTER, router)
        )

    def _reply(
        self, router: int, make_reply: Callable[[], bytes], send_reply: Callable[[bytes], None]
    ) -> None:
        """Send a reply subject to the active faults: immediately, late, corrupted, twice or not at all."""
        now_ms = self.now_ms()
        if not self.is_recording_closed:
            self.recording.discovery_queries.append(DiscoveryQuery(now_ms, router))
        faults = [
            fault
            for fault in self.discovery_faults
            if fault.is_active(now_ms / 1000.0) and fault.targets.includes(NodeKind.DISCOVERY, router)
        ]
        if any(fault.kind is FaultKind.SILENCE_DISCOVERY for fault in faults):
            return
        self.record(ListSent(now_ms, router))
        router_node = Node(NodeKind.ROUTER, router)
        discovery_node = Node(NodeKind.DISCOVERY, router)
        for delay_ms in self.network.datagram_delays_ms(now_ms, router_node, discovery_node):
            reply = make_reply()
            corruptions = [fault for fault in faults if fault.kind is FaultKind.CORRUPT_DISCOVERY]
            if any(self.rng.random() < fault.amount for fault in corruptions):
                reply = corrupt(reply, self.rng)
            self.call_after(delay_ms, partial(send_reply, reply))

    async def connect_client(self, router: int) -> None:
        """Connect the client of a router.

        After ``CONNECT_TRIES`` failures the client gives up and sends its calls to other routers.
        """
        for _ in range(CONNECT_TRIES):
            with contextlib.suppress(OSError):
                await self._connect_client(router)
                return
            await asyncio.sleep(CONNECT_RETRY_S)

    async def _connect_client(self, router: int) -> None:

        def on_answer(number: int, result: str, body: bytes) -> None:
            delay_ms = self.network.stream_delay_ms(
                self.now_ms(), Node(NodeKind.ROUTER, router), Node(NodeKind.CLIENT, router)
            )
            self.call_after(delay_ms, lambda: self._on_answer(router, number, result, body))

        client = FakeClient(on_answer, lambda: self._on_connection_lost(router, client))
        await self.loop.create_connection(lambda: client, "127.0.0.1", self.plan.router_ports[router])
        client.send(pack_health_check())  # A router closes a connection that sends no first message soon.
        self.clients[router] = client

    def _on_connection_lost(self, router: int, client: FakeClient) -> None:
        """Abandon the pending calls of a router after its connection has ended.

        A router that is terminating must answer all calls except those that may have been in transit when it
        closed the connection. The other pending calls are not abandoned, so that the evaluation reports them
        as calls without an answer.
        """
        if self.clients.get(router) is not client:
            return  # The client closed this connection itself and replaces it.
        if self._is_terminating(router):
            since_ms = self.now_ms() - CROSSING_CLOSE_MS
            recent = {
                number: call_id
                for number, call_id in self.pending_calls[router].items()
                if self.submitted_at_ms[call_id] >= since_ms
            }
            self.pending_calls[router] = recent
        self.abandon_calls(router)

    def _is_terminating(self, router: int) -> bool:
        """Return whether a router is terminating, and no kill is active or starts within 1 s."""
        now_s = self.now_ms() / 1000.0
        return any(
            fault.kind is FaultKind.TERMINATE_ROUTER
            and fault.targets.includes(NodeKind.ROUTER, router)
            and fault.start_s <= now_s < fault.end_s
            for fault in self.scenario.faults
        ) and not any(
            fault.kind in (FaultKind.KILL_ROUTER, FaultKind.RESTART_ROUTER)
            and fault.targets.includes(NodeKind.ROUTER, router)
            and fault.start_s - 1.0 <= now_s < fault.end_s
            for fault in self.scenario.faults
        )

    def abandon_calls(self, router: int) -> None:
        """Record that the client of a router no longer waits for any of its pending calls."""
        for call_id in self.pending_calls[router].values():
            self.record(CallAbandoned(self.now_ms(), call_id))
        self.pending_calls[router].clear()

    async def _reconnect_client(self, router: int) -> None:
        """Close the connection to a router while calls are pending, and open another one."""
        client = self.clients.pop(router, None)
        if client is None or client.transport is None:
            return
        for call_id in self.pending_calls[router].values():
            self.record(ClientLeft(self.now_ms(), call_id))
        self.abandon_calls(router)
        client.transport.close()
        await self.connect_client(router)

    def _on_answer(self, router: int, number: int, result: str, body: bytes) -> None:
        if (call_id := self.pending_calls[router].pop(number, None)) is not None:
            self.record(CallAnswered(self.now_ms(), call_id, result, body))

    async def run_traffic(self) -> None:
        """Send this process's calls, each at its scheduled time, even if earlier calls are pending."""
        for number, arrival in enumerate(generate_arrivals(self.scenario)):
            if arrival.router not in self.routers:
                continue
            if (wait_ms := arrival.at_ms - self.now_ms()) > 0.0:
                await asyncio.sleep(wait_ms / 1000.0)
            elif number % CALLS_PER_YIELD == 0:
                await asyncio.sleep(0.0)
            self.recording.lags_ms.append(max(0.0, self.now_ms() - arrival.at_ms))
            router = self._choose_router(arrival.router)
            if router is None:
                self.record(NoRouterAvailable(self.now_ms(), arrival.call_id))
            else:
                self._send_call(number, arrival, router)

    def _send_call(self, number: int, arrival: Arrival, router: int) -> None:
        client = self.clients[router]
        request_class = "confirm" if arrival.is_not_idempotent else "check"
        call_id = f"{router:04x}{arrival.call_id[4:]}"
        fields = {"txn": call_id, "limit": f"{CALL_DEADLINE_MS:.0f}", "item": f"{arrival.function:016x}"}
        fields |= {"props": f"lanes:{self.scenario.concurrency}"}
        if arrival.tenant:
            fields["tenant"] = arrival.tenant
        data = pack_call(number, request_class, f"{arrival.service_ms:.3f}".encode(), fields)
        now_ms = self.now_ms()
        self.record(
            CallSubmitted(self.now_ms(), call_id, request_class, now_ms + CALL_DEADLINE_MS, arrival.tenant)
        )
        self.pending_calls[router][number] = call_id
        self.submitted_at_ms[call_id] = now_ms
        delay_ms = self.network.stream_delay_ms(
            now_ms, Node(NodeKind.CLIENT, router), Node(NodeKind.ROUTER, router)
        )
        self.call_after(delay_ms, lambda: client.send(data))

    def _choose_router(self, router: int) -> int | None:
        """Return the router to send a call to: the client's own, else any other connected one, else None."""
        if self._is_connected(router):
            return router
        others = [other for other in self.clients if self._is_connected(other)]
        return self.rng.choice(others) if others else None

    def _is_connected(self, router: int) -> bool:
        client = self.clients.get(router)
        return client is not None and client.transport is not None

    async def run_fault(self, fault: Fault) -> None:
        """Reconnect clients, or abandon the calls of a paused router shortly before it resumes."""
        if fault.kind is FaultKind.RECONNECT_CLIENT:
            await self.wait_until(fault.start_s)
            leaving = (router for router in fault.targets.numbers if router in self.routers)
            await asyncio.gather(*map(self._reconnect_client, leaving))
        if fault.kind is not FaultKind.PAUSE_ROUTER:
            return
        end_s = self.scenario.end_s
        resumes_s = fault.end_s if fault.end_s < end_s else end_s + CALL_DEADLINE_MS / 1000.0
        await self.wait_until(resumes_s - ABANDON_BEFORE_RESUME_S)
        for router in self.routers:
            if fault.targets.includes(NodeKind.ROUTER, router):
                self.abandon_calls(router)


def corrupt(data: bytes, rng: random.Random) -> bytes:
    """Return a copy of a reply that is truncated or has one byte changed."""
    position = rng.randrange(len(data))
    if rng.random() < 0.5:
        return data[:position]
    return data[:position] + bytes((data[position] ^ rng.randrange(1, 256),)) + data[position + 1 :]
