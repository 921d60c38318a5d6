"""The wire format of load gossip."""

from __future__ import annotations

import random

import pytest

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES, MalformedDatagram
from cedarthread.gossip import codec
from cedarthread.gossip.codec import InstanceUpdate, LoadUpdate, WorkerUpdate


def random_instance(rng: random.Random) -> InstanceUpdate:
    return InstanceUpdate(
        rng.getrandbits(32), rng.randrange(256), rng.choice([None, 100.0 * rng.randrange(255)])
    )


def random_worker(rng: random.Random) -> WorkerUpdate:
    worker_id = rng.getrandbits(32)
    in_flight = rng.randrange(256)
    return WorkerUpdate(worker_id, in_flight, tuple(random_instance(rng) for _ in range(rng.randrange(8))))


@pytest.mark.parametrize("seed", range(4))
def test_a_datagram_decodes_as_it_was_encoded_and_no_bytes_raise(seed: int) -> None:
    rng = random.Random(seed)
    for _ in range(300):
        workers = tuple(random_worker(rng) for _ in range(rng.randrange(4)))
        update = LoadUpdate(rng.getrandbits(32), rng.getrandbits(32), rng.random() < 0.5, workers)
        data = codec.encode(update)
        assert codec.decode(data) == update
        assert len(data) <= MAX_DATAGRAM_BYTES
        truncated = data[: rng.randrange(len(data))]
        assert isinstance(codec.decode(truncated), (LoadUpdate, MalformedDatagram))
        codec.decode(rng.randbytes(rng.randrange(300)))
