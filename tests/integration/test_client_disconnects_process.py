"""Tests that no attempt reaches a worker more than 0.1 s after its client has disconnected.

The router is a real process. While it is suspended, workers shed calls, new calls arrive, and clients close,
reset, half-close or interrupt. The process resumes after the 0.1 s, so any call of these clients that then
reaches a worker is late. The check uses the calls that the workers record (term 1 of
docs/results/acceptance.md).
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.testing.fakes.scripted import ScriptedWorker
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration.async_router_process import listed_endpoints, router_process
from tests.integration.client_sockets import DISCONNECTS, BlockingClient

if TYPE_CHECKING:
    from pathlib import Path

SUSPENSION_S = 0.11  # past the 0.1 s after which no attempt of a disconnected client may start
CLIENT_COUNT = 48
EARLY_CLIENT_COUNT = 9  # clients with a call in flight; the retry budget allows each one retry
STAYS = "stays"
BEHAVIORS = [*DISCONNECTS, STAYS]


class NumberedClient(BlockingClient):
    """A client whose one call has the client's number as its id."""

    def __init__(self, port: int, number: int) -> None:
        super().__init__(port)
        self.number = number
        self.behavior = BEHAVIORS[number % len(BEHAVIORS)]

    def send_call(self) -> None:
        """Send the client's call, as number 1 of its connection."""
        class_name = ("check", "confirm")[self.number % 2]
        self.call(1, class_name, txn=f"{self.number:016x}", item=f"{self.number % 7:016x}")

    def disconnect(self) -> None:
        """Disconnect or interrupt, unless the client stays."""
        if self.behavior != STAYS:
            DISCONNECTS[self.behavior](self)


def count_attempts(workers: list[ScriptedWorker]) -> Counter[str]:
    """Return how many attempts of each call the workers have received."""
    return Counter(message["id"] for worker in workers for message in worker.calls)


@pytest.mark.parametrize("has_early_clients", [True, False])
def test_a_resumed_process_starts_no_attempt_for_clients_that_disconnected(
    tmp_path: Path, has_early_clients: bool
) -> None:
    """Calls of early clients are in flight and are shed during the suspension; other clients call during it.

    With ``has_early_clients`` connections to the workers are already open; otherwise the first calls wait for
    a connect.
    """

    async def scenario() -> None:
        unanswered_calls: list[tuple[dict[str, Any], asyncio.StreamWriter]] = []

        def leave_unanswered(worker: ScriptedWorker, message: dict[str, Any]) -> None:
            unanswered_calls.append((message, worker.writers[-1]))

        workers = [ScriptedWorker(leave_unanswered) for _ in range(4)]
        for worker in workers:
            await worker.start()
        async with router_process(tmp_path, known=listed_endpoints(workers), settings=SETTINGS) as running:
            clients = [NumberedClient(running.port, 1 + index) for index in range(CLIENT_COUNT)]
            early_clients = clients[:EARLY_CLIENT_COUNT] if has_early_clients else []
            for client in early_clients:
                client.send_call()
            async with asyncio.timeout(10):
                while len(unanswered_calls) < len(early_clients):
                    await asyncio.sleep(0.001)

            await running.suspend()
            for client in clients:
                if client not in early_clients:
                    client.send_call()
            for message, writer in unanswered_calls:
                writer.write(b'{"op":"SHED","id":"%s","fields":{}}\n' % message["id"].encode())
            await asyncio.sleep(0)
            for client in clients:
                client.disconnect()
            disconnected_at_s = time.monotonic()
            attempts_before = count_attempts(workers)
            # Wait for the 0.1 s that the requirement allows; the suspended router does nothing meanwhile.
            while time.monotonic() < disconnected_at_s + SUSPENSION_S:
                await asyncio.sleep(0.01)
            running.resume()

            # Once attempts of all staying clients have arrived, late ones of others would have arrived too.
            staying_ids = [f"{client.number:016x}" for client in clients if client.behavior == STAYS]
            async with asyncio.timeout(20):
                while any(
                    sum(message["id"] == call_id for worker in workers for message in worker.calls)
                    <= attempts_before[call_id]
                    for call_id in staying_ids
                ):
                    await asyncio.sleep(0.001)
            attempts_after = count_attempts(workers)
            behaviors = {client.number: client.behavior for client in clients}
            attempted_call_behaviors = {
                call_id: behaviors[int(call_id, 16)]
                for call_id in attempts_after
                if attempts_after[call_id] > attempts_before[call_id]
            }
            assert set(attempted_call_behaviors.values()) == {STAYS}, attempted_call_behaviors
            for client in clients:
                with contextlib.suppress(OSError):
                    client.sock.close()
        for worker in workers:
            worker.stop()

    asyncio.run(scenario())
