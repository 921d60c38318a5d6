"""The base class of targets whose input is a stream, and their shared helpers.

A connection must produce the same output regardless of how the input stream is split into pieces.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.dispatch.calls import Attempt, AttemptResult, Progress
from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.outcomes import Outcome
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fuzzing import settings as fuzz_settings
from cedarthread.testing.fuzzing.finding import Finding, require
from cedarthread.testing.fuzzing.mutation import mutate_bytes
from cedarthread.testing.fuzzing.resource_meter import Budget
from cedarthread.testing.fuzzing.target import Target
from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop, run_virtual
from cedarthread.transport.flusher import Flusher

if TYPE_CHECKING:
    from cedarthread.testing.fuzzing.memory_transport import MemoryTransport


class EchoTransport:
    """A worker transport that answers each call with the call's own body in the next iteration of the loop.

    Args:
        dispatcher: The dispatcher that is notified when an attempt ends.
        loop: The loop.
    """

    def __init__(self, dispatcher: Dispatcher, loop: VirtualLoop) -> None:
        self.dispatcher = dispatcher
        self.loop = loop

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        attempt.progress = Progress.WRITTEN
        self.loop.call_soon(
            self.dispatcher.attempt_ended, attempt, AttemptResult(Outcome.OK, attempt.call.body)
        )

    def refresh_progress(self, attempt: Attempt) -> None:
        """Do nothing because an attempt's progress never changes after ``send``."""

    def withdraw_unsent(self, attempt: Attempt) -> None:
        """Do nothing because ``send`` sends every attempt immediately."""

    def abort_incomplete(self, attempt: Attempt, *, settle_s: float = 0.0) -> None:
        """Do nothing because ``send`` sends every attempt completely."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt."""
        self.dispatcher.attempt_ended(attempt, AttemptResult(Outcome.CANCELLED))

    def preload(self, worker_id: int, function_id: int, instances: int) -> None:
        """Ignore the request."""

    def unload(self, worker_id: int, function_id: int) -> None:
        """Ignore the request."""

    def close_idle_connections(self, worker_id: int) -> None:
        """Ignore the request."""


class EchoDispatcher(NamedTuple):
    """A dispatcher with workers that answer every call, and the flusher of its output."""

    dispatcher: Dispatcher
    flusher: Flusher


def dispatcher_with_echo(loop: VirtualLoop) -> EchoDispatcher:
    """Return a dispatcher with two workers that answer every call with the call's own body."""
    flusher = Flusher()
    settings = settings_from_object(fuzz_settings.settings())
    dispatcher = Dispatcher(settings, 1, clock=loop.unix_ms, flush_output=flusher.flush_all)
    dispatcher.connect_workers(EchoTransport(dispatcher, loop))
    endpoints = tuple(Endpoint(number, 0, 0, 0, EndpointState.READY, None, None) for number in (1, 2))
    dispatcher.endpoints_changed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, endpoints))
    return EchoDispatcher(dispatcher, flusher)


def split_stream(data: bytes, seed: int) -> list[bytes]:
    """Return the data split into pieces whose lengths the seed determines; seed 0 gives one piece."""
    if seed == 0:
        return [data]
    rng = random.Random(seed)
    fragments = []
    position = 0
    while position < len(data):
        size = rng.choice((1, 2, 7, 40, 1000))
        fragments.append(data[position : position + size])
        position += size
    return fragments


async def feed(transport: MemoryTransport, data: bytes, seed: int) -> None:
    """Send data in pieces, run the loop between them, then wait for all answers."""
    for fragment in split_stream(data, seed):
        transport.peer_send(fragment)
        await asyncio.sleep(0)
    for _ in range(40):
        await asyncio.sleep(0.01)


class StreamTarget(Target):
    """A target that feeds the input to a connection in one piece and in several, and compares the outputs.

    The first byte of the input is the seed of the split; the rest is the stream.
    """

    line_budget = Budget(200_000, 3000)
    byte_budget = Budget(4 * 2**20, 400)
    test_runs = 150

    async def serve(self, loop: VirtualLoop, data: bytes, seed: int) -> object:
        """Feed a stream to a new connection and return its output in a comparable form.

        Args:
            loop: The virtual loop.
            data: The stream.
            seed: The seed of the split; 0 for one piece.
        """
        raise NotImplementedError

    def check(self, data: bytes) -> None:
        """Check that the output is equal for the stream in one piece and in several."""
        outputs: list[object] = []
        for seed in (0, 1 + data[0] if data else 1):

            async def work(loop: VirtualLoop, seed: int = seed) -> None:
                outputs.append(await self.serve(loop, data[1:], seed))

            failures = run_virtual(work).failures
            if failures:
                raise Finding(failures[0])
        require(
            outputs[0] == outputs[1],
            f"output in one piece: {str(outputs[0])[:150]}, in several: {str(outputs[1])[:150]}",
        )

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """Return the input with a changed stream or, in some cases, with another seed of the split."""
        if not data or rng.random() < 0.1:
            return rng.randbytes(1) + data[1:]
        return data[:1] + self.mutate_stream(data[1:], rng)

    def mutate_stream(self, data: bytes, rng: random.Random) -> bytes:
        """Return a mutation of the stream."""
        return mutate_bytes(data, rng)
