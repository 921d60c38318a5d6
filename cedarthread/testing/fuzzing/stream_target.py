"""What targets that are connections share: the same comes out however the bytes are cut."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from cedarthread.dispatch.calls import Attempt, AttemptResult, Progress
from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.outcomes import Outcome
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fuzzing import settings as drawn_settings
from cedarthread.testing.fuzzing.finding import Finding, require
from cedarthread.testing.fuzzing.mutation import mutate_bytes
from cedarthread.testing.fuzzing.resource_meter import Budget
from cedarthread.testing.fuzzing.target import Target
from cedarthread.testing.fuzzing.virtual_loop import MemoryTransport, VirtualLoop, run_virtual
from cedarthread.transport.flusher import Flusher


class EchoTransport:
    """A worker transport that serves each call with its own body, in the loop's next iteration."""

    def __init__(self, dispatcher: Dispatcher, loop: VirtualLoop) -> None:
        self.dispatcher, self.loop, self.sent_count = dispatcher, loop, 0

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        self.sent_count += 1
        attempt.progress = Progress.WRITTEN
        self.loop.call_soon(
            self.dispatcher.attempt_ended, attempt, AttemptResult(Outcome.OK, attempt.call.body)
        )

    def refresh_progress(self, attempt: Attempt) -> None:
        """Progress never changes here."""

    def withdraw_unsent(self, attempt: Attempt) -> None:
        """Every attempt is sent at once."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt."""
        self.dispatcher.attempt_ended(attempt, AttemptResult(Outcome.CANCELLED))

    def preload(self, worker_id: int, function_id: int, instances: int) -> None:
        """Not used here."""

    def unload(self, worker_id: int, function_id: int) -> None:
        """Not used here."""

    def close_idle_connections(self, worker_id: int) -> None:
        """Not used here."""


def dispatcher_with_echo(loop: VirtualLoop) -> tuple[Dispatcher, Flusher, EchoTransport]:
    """A dispatcher whose calls are all served."""
    dispatcher = Dispatcher(settings_from_object(drawn_settings.settings()), 1, clock=loop.unix_ms)
    flusher = Flusher()
    dispatcher.flush_output = flusher.flush_all
    echo = EchoTransport(dispatcher, loop)
    dispatcher.connect_workers(echo)
    endpoints = tuple(Endpoint(number, 0, 0, 0, EndpointState.READY, None, None) for number in (1, 2))
    dispatcher.endpoints_changed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, endpoints))
    return dispatcher, flusher, echo


def cut_into_pieces(data: bytes, seed: int) -> list[bytes]:
    """The data in pieces whose lengths follow from the seed; seed 0 leaves it in one."""
    if seed == 0:
        return [data]
    rng, pieces, position = random.Random(seed), [], 0
    while position < len(data):
        size = rng.choice((1, 2, 7, 40, 1000))
        pieces.append(data[position : position + size])
        position += size
    return pieces


async def feed(transport: MemoryTransport, data: bytes, seed: int) -> None:
    """Send data in pieces, with the loop running between them, and let all answers come."""
    for piece in cut_into_pieces(data, seed):
        transport.peer_send(piece)
        await asyncio.sleep(0)
    for _ in range(40):
        await asyncio.sleep(0.01)


class StreamTarget(Target):
    """A connection. The input's first byte says how the rest is cut; the same comes out however it is."""

    line_budget = Budget(200_000, 3000)
    byte_budget = Budget(4 * 2**20, 400)
    test_runs = 150

    async def serve(self, loop: VirtualLoop, data: bytes, seed: int) -> Any:
        """What comes out, in a form that can be compared."""
        raise NotImplementedError

    def check(self, data: bytes) -> None:
        """The same comes out in one piece and cut."""
        outputs: list[Any] = []
        for seed in (0, 1 + data[0] if data else 1):

            async def work(loop: VirtualLoop, seed: int = seed) -> None:
                outputs.append(await self.serve(loop, data[1:], seed))

            failures = run_virtual(work).failures
            if failures:
                raise Finding(failures[0])
        require(outputs[0] == outputs[1], f"whole {str(outputs[0])[:150]}, cut {str(outputs[1])[:150]}")

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """Mostly the stream; now and then how it is cut."""
        if not data or rng.random() < 0.1:
            return rng.randbytes(1) + data[1:]
        return data[:1] + self.mutate_stream(data[1:], rng)

    def mutate_stream(self, data: bytes, rng: random.Random) -> bytes:
        """The stream, changed."""
        return mutate_bytes(data, rng)
