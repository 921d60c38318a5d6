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
    """A way to the workers that serves each call with its own body, in the next turn."""

    def __init__(self, planner: Dispatcher, loop: VirtualLoop) -> None:
        self.dispatcher, self.loop, self.sent_count = planner, loop, 0

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        self.sent_count += 1
        attempt.progress = Progress.WRITTEN
        self.loop.call_soon(
            self.dispatcher.attempt_ended, attempt, AttemptResult(Outcome.OK, attempt.call.body)
        )

    def refresh_progress(self, attempt: Attempt) -> None:
        """Nothing to look at."""

    def withdraw_unsent(self, attempt: Attempt) -> None:
        """All has left."""

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up."""
        self.dispatcher.attempt_ended(attempt, AttemptResult(Outcome.CANCELLED))

    def preload(self, worker_id: int, function_id: int, instances: int) -> None:
        """Not used here."""

    def unload(self, worker_id: int, function_id: int) -> None:
        """Not used here."""

    def close_idle_connections(self, worker_id: int) -> None:
        """Not used here."""


def dispatcher_with_echo(loop: VirtualLoop) -> tuple[Dispatcher, Flusher, EchoTransport]:
    """A planner whose calls are all served."""
    planner = Dispatcher(settings_from_object(drawn_settings.settings()), 1, clock=loop.unix_ms)
    flusher = Flusher()
    planner.flush_output = flusher.flush_all
    echo = EchoTransport(planner, loop)
    planner.connect_workers(echo)
    listed = tuple(Endpoint(n, 0, 0, 0, EndpointState.READY, None, None) for n in (1, 2))
    planner.endpoints_changed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, listed))
    return planner, flusher, echo


def cut_into_pieces(data: bytes, seed: int) -> list[bytes]:
    """The data in cuts that follow from the seed; seed 0 leaves it whole."""
    if seed == 0:
        return [data]
    rng, out, at = random.Random(seed), [], 0
    while at < len(data):
        size = rng.choice((1, 2, 7, 40, 1000))
        out.append(data[at : at + size])
        at += size
    return out


async def feed(transport: MemoryTransport, data: bytes, seed: int) -> None:
    """Send it in pieces, the loop running between them."""
    for piece in cut_into_pieces(data, seed):
        transport.peer_send(piece)
        await asyncio.sleep(0)
    for _ in range(40):
        await asyncio.sleep(0.01)


class StreamTarget(Target):
    """A connection. The input's first byte says how the rest is cut; whole or cut, the same comes out."""

    line_budget = Budget(200_000, 3000)
    byte_budget = Budget(4 * 2**20, 400)
    test_runs = 150

    async def serve(self, loop: VirtualLoop, data: bytes, seed: int) -> Any:
        """What comes out, in a form that can be compared."""
        raise NotImplementedError

    def check(self, data: bytes) -> None:
        """The same whole and cut."""
        seen: list[Any] = []
        for seed in (0, 1 + data[0] if data else 1):

            async def work(loop: VirtualLoop, seed: int = seed) -> None:
                seen.append(await self.serve(loop, data[1:], seed))

            failures = run_virtual(work).failures
            if failures:
                raise Finding(failures[0])
        require(seen[0] == seen[1], f"whole {str(seen[0])[:150]}, cut {str(seen[1])[:150]}")

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """Mostly what stands in it; now and then the cut."""
        if not data or rng.random() < 0.1:
            return rng.randbytes(1) + data[1:]
        return data[:1] + self.mutate_stream(data[1:], rng)

    def mutate_stream(self, data: bytes, rng: random.Random) -> bytes:
        """The stream, changed."""
        return mutate_bytes(data, rng)
