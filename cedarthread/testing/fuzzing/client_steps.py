"""The steps of a script that platform clients and callers of the invoke API perform.

A step reads its parameters from the script; their order is part of the corpus.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.testing.fuzzing.invoke_caller import InvokeCaller
from cedarthread.testing.fuzzing.memory_client import MemoryClient
from cedarthread.testing.fuzzing.router_under_test import FUNCTIONS, MemoryPlatformConnection, RouterUnderTest
from cedarthread.testing.fuzzing.script import CLIENT_COUNT, burst_size

if TYPE_CHECKING:
    from cedarthread.testing.fuzzing.target import FuzzedDataProvider

CALLER_IDENTITIES = ("spiffe://gaz.example/desk/a", "spiffe://gaz.example/desk/b")
CALL_TIMEOUTS_MS = (5000, 2000, 400, 150, 60)
BURST_TIMEOUT_MS = 3000
BURST_CLASSES = (0, 0, 2, 1)
SPLIT_UNIT_BYTES = 7  # the message of a call is split at a multiple of this length
MALFORMED_REQUESTS = (b"\xc1", b"\x94\x00\xff", b"\x91" * 40, b"\x00" * 90)


class ClientSteps:
    """The steps of platform clients and of callers of the invoke API; owns both.

    Args:
        router: The router that the clients connect to.
        choices: The script.
    """

    def __init__(self, router: RouterUnderTest, choices: FuzzedDataProvider) -> None:
        self.router = router
        self.choices = choices
        self.clients: list[MemoryClient] = []  # every client of the run, including disconnected ones
        self.invoke_callers: list[InvokeCaller] = []
        self._current_clients: dict[int, MemoryClient] = {}

    def call(self) -> None:
        """Send a call from a client, possibly split into two pieces."""
        choices = self.choices
        router = self.router
        client = self._client()
        class_index = choices.consume_byte() % len(router.raw_settings["classes"])
        timeout_ms = choices.pick(CALL_TIMEOUTS_MS)
        function = choices.pick(FUNCTIONS)
        key = router.next_call_key()
        fields = {}
        if router.class_needs_key(class_index):
            fields["unique"] = f"u{key}"
        if choices.consume_byte() & 1:
            fields["second"] = "1"
        data = self._encode_call(client, key, class_index, function, timeout_ms, fields)
        split_at = SPLIT_UNIT_BYTES * (choices.consume_byte() % 8)
        for fragment in (data[:split_at], data[split_at:]):
            client.transport.peer_send(fragment)

    def burst(self) -> None:
        """Send many calls from several clients at the same time."""
        for _ in range(burst_size(self.choices.consume_byte())):
            client = self._client()
            class_index = self.choices.pick(BURST_CLASSES)
            key = self.router.next_call_key()
            function = self.choices.pick(FUNCTIONS)
            fields = {"unique": key} if class_index == 1 else {}
            data = self._encode_call(client, key, class_index, function, BURST_TIMEOUT_MS, fields)
            client.transport.peer_send(data)

    def interrupt(self) -> None:
        """Interrupt a call of a client; the router may have answered it already."""
        client = self._client()
        if client.pending_calls:
            number = self.choices.pick(list(client.pending_calls))
            client.transport.peer_send(client.encode_interrupt(number))

    def fault(self) -> None:
        """Make a client disconnect, stop writing, stop or resume reading, or send a malformed request."""
        client = self._client()
        match self.choices.consume_byte() % 5:
            case 0:
                client.disconnect()
            case 1:
                client.stop_writing()
            case 2:
                client.pause_reading()
            case 3:
                client.transport.peer_accept(None)
            case _:
                client.is_write_closed = True
                client.transport.peer_send(self.choices.pick(MALFORMED_REQUESTS))

    def invoke_caller(self) -> None:
        """Let a caller of the invoke API perform an action."""
        index = self.choices.consume_byte() % len(CALLER_IDENTITIES)
        while len(self.invoke_callers) <= index:
            identity = CALLER_IDENTITIES[len(self.invoke_callers)]
            self.invoke_callers.append(InvokeCaller(self.router, identity))
        self.invoke_callers[index].act(self.choices)

    def _client(self) -> MemoryClient:
        """Return the client that the script selects, after replacing one that cannot send any more."""
        index = self.choices.consume_byte() % CLIENT_COUNT
        client = self._current_clients.get(index)
        if client is None or not client.can_send():
            connection = MemoryPlatformConnection(self.router.platform)
            client = MemoryClient(self.router.loop, self.router.checker, connection)
            self._current_clients[index] = client
            self.clients.append(client)
        return client

    def _encode_call(
        self,
        client: MemoryClient,
        key: str,
        class_index: int,
        function: str,
        timeout_ms: int,
        fields: dict[str, str],
    ) -> bytes:
        self.router.called_functions.add(function)
        guarantees = self.router.guarantees(class_index)
        name = self.router.class_name(class_index)
        return client.encode_call(key, name, function, timeout_ms, guarantees, **fields)
