"""Encoding and decoding of the datagrams of the peer query."""

from __future__ import annotations

import dataclasses
import random

import pytest

from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.recovery import codec
from cedarthread.recovery.warm_state import AgedObservation


def random_observation(rng: random.Random) -> AgedObservation:
    worker_id = rng.randrange(4)
    tag = rng.getrandbits(32)
    function_hash = rng.getrandbits(32)
    return AgedObservation(worker_id, tag, function_hash, rng.random() * 9e4, True, 3)


@pytest.mark.parametrize("seed", range(3))
def test_responses_decode_as_encoded_with_ages_rounded_up_and_no_input_raises(seed: int) -> None:
    rng = random.Random(seed)
    for _ in range(200):
        parts = codec.split_into_datagrams([random_observation(rng) for _ in range(rng.randrange(150))])
        assert len(parts) <= codec.MAX_PARTS
        for number, sent in enumerate(parts):
            response = codec.Response(rng.getrandbits(32), number, len(parts), 0.5, 900.0, tuple(sent))
            data = codec.encode(response)
            decoded = codec.decode(data)
            assert isinstance(decoded, codec.Response)
            assert len(data) <= 256
            assert len(decoded.observations) == len(sent)
            for before, after in zip(sent, decoded.observations, strict=True):
                assert before.age_ms <= after.age_ms < before.age_ms + codec.AGE_UNIT_MS
                assert dataclasses.replace(after, age_ms=before.age_ms) == before
            codec.decode(data[: rng.randrange(len(data))])
        codec.decode(bytes((0xC5, rng.randrange(4))) + rng.randbytes(rng.randrange(300)))
    assert codec.decode(codec.encode(codec.Query(5, 1, 4))) == codec.Query(5, 1, 4)
    assert codec.decode(codec.encode(codec.Busy(5, 700.0, None))) == codec.Busy(5, 700.0, None)
    for malformed in (
        b"",
        b"\xc5",
        b"\xc5\x01" + b"\0" * 6,
        b"\xc5\x02" + b"\0" * 9,
        b"\xc1\x01" + b"\0" * 6,
    ):
        assert isinstance(codec.decode(malformed), MalformedDatagram)
