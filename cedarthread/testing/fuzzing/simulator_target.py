"""The fuzz target of the simulator host, which answers frames for many router instances."""

from __future__ import annotations

import io
import json
import struct
from typing import TYPE_CHECKING

from cedarthread.simulator import host as simulator_host
from cedarthread.simulator.decoder import SimulatorProtocolError
from cedarthread.testing.fuzzing import settings as fuzz_settings
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.mutation import (
    EDGE_FLOATS,
    INFINITY,
    NOT_A_NUMBER,
    mutate_bytes,
)
from cedarthread.testing.fuzzing.resource_meter import Budget
from cedarthread.testing.fuzzing.target import Target

if TYPE_CHECKING:
    import random

HEADER_BYTES = 16  # length of a frame's header: frame length, time and number of records


class SimulatorTarget(Target):
    """The simulator host, which answers frames for many router instances."""

    name = "wire"
    modules = (
        "cedarthread.settings_parser",
        "cedarthread.simulator.decoder",
        "cedarthread.simulator.encoder",
        "cedarthread.simulator.host",
    )
    line_budget = Budget(80_000, 800)
    byte_budget = Budget(4 * 2**20, 400)

    def generate(self, rng: random.Random) -> bytes:
        """Return a frame with the start of an instance, a list of workers, and events of various kinds."""
        settings = json.dumps(fuzz_settings.settings(preloads_on_miss=rng.random() < 0.3)).encode()
        records = [b"\x0d" + struct.pack("<I", 3), b"\x01" + struct.pack("<QI", 7, len(settings)) + settings]
        workers = [
            struct.pack("<IBHHBfd", number, 0, 0, 0, rng.choice((0, 1, 2, 2)), 1.0, 0.0)
            for number in range(3)
        ]
        records.append(b"\x0c" + struct.pack("<II", 1, len(workers)) + b"".join(workers))
        records.append(b"\x02" + struct.pack("<BQI", rng.choice((1, 2, 3, 4)), 1, 1))
        records.extend(self._event(rng) for _ in range(rng.randrange(8)))
        return self.frame(rng.choice((0.0, 1000.0, 1e308)), len(records), b"".join(records))

    def _event(self, rng: random.Random) -> bytes:
        number = rng.choice((0, 1, 2, 2**32 - 1))
        time_ms = rng.choice((*EDGE_FLOATS, 100.0, 1e6))
        class_index = rng.choice((0, 1, 2, 9))
        key = rng.choice((5, 2**40 - 1, 2**64 - 1))
        outcome = rng.choice((200, 502, 429, 408, 521, 520, 444, 409, 204, 7))
        float32 = rng.choice((0.0, 1.0, NOT_A_NUMBER, INFINITY))
        return rng.choice(
            (
                b"\x03"
                + struct.pack(
                    "<IfdQHffdHH", number, float32, time_ms, key, class_index, float32, float32, time_ms, 0, 3
                ),
                b"\x04" + struct.pack("<IHId", number, 0, number, time_ms),
                b"\x05" + struct.pack("<IIdIHHB", number, 1, time_ms, 9, 0, outcome, 0) + b"\0",
                b"\x06" + struct.pack("<I", number),
                b"\x07" + struct.pack("<I", number),
                b"\x08" + struct.pack("<dIH", time_ms, 1, outcome) + b"\x01" + struct.pack("<f", float32),
                b"\x09" + struct.pack("<IH", 1, 2) + b"ab",
                b"\x0b" + struct.pack("<BIQHd", 1, 1, key, outcome, time_ms),
                b"\x0a",
            )
        )

    def frame(self, now_ms: float, count: int, body: bytes) -> bytes:
        """Return a frame with its header."""
        return struct.pack("<IdI", HEADER_BYTES + len(body), now_ms, count) + body

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """Return the frame with changed bytes, in most cases with a corrected frame length."""
        changed = mutate_bytes(data, rng)
        if rng.random() < 0.85 and len(changed) >= HEADER_BYTES:
            changed = struct.pack("<I", len(changed)) + changed[4:]
        return changed

    def check(self, data: bytes) -> None:
        """Check that the host replies with complete frames, or raises ``SimulatorProtocolError``."""
        host = simulator_host.SimulatorHost()
        source = io.BytesIO(data)
        try:
            while (frame := simulator_host.read_frame(source)) is not None:
                reply = host.handle_frame(frame)
                require(
                    struct.unpack_from("<I", reply)[0] == len(reply),
                    "the declared length of a reply is wrong",
                )
        except SimulatorProtocolError as error:
            require(bool(str(error)), "rejected without an error message")
