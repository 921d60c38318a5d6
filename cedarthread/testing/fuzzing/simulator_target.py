"""The simulator's frames, answered by the host of many instances."""

from __future__ import annotations

import io
import json
import random
import struct

from cedarthread.simulator import host as simulator_host
from cedarthread.simulator.decoder import SimulatorProtocolError
from cedarthread.testing.fuzzing import settings as drawn_settings
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.mutation import (
    EDGE_FLOATS,
    INFINITY,
    NOT_A_NUMBER,
    mutate_bytes,
)
from cedarthread.testing.fuzzing.resource_meter import Budget
from cedarthread.testing.fuzzing.target import Target


class SimulatorTarget(Target):
    """The simulator's frames, answered by the host of many instances."""

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
        """A start, a list of workers, and events of all kinds."""
        info = json.dumps(drawn_settings.settings(preloads_on_miss=rng.random() < 0.3)).encode()
        records = [b"\x0d" + struct.pack("<I", 3), b"\x01" + struct.pack("<QI", 7, len(info)) + info]
        hosts = [struct.pack("<IBHHBfd", n, 0, 0, 0, rng.choice((0, 1, 2, 2)), 1.0, 0.0) for n in range(3)]
        records.append(b"\x0c" + struct.pack("<II", 1, len(hosts)) + b"".join(hosts))
        records.append(b"\x02" + struct.pack("<BQI", rng.choice((1, 2, 3, 4)), 1, 1))
        for _ in range(rng.randrange(8)):
            records.append(self._event(rng))
        return self.frame(rng.choice((0.0, 1000.0, 1e308)), len(records), b"".join(records))

    def _event(self, rng: random.Random) -> bytes:
        number, figure = rng.choice((0, 1, 2, 2**32 - 1)), rng.choice((*EDGE_FLOATS, 100.0, 1e6))
        klass, key = rng.choice((0, 1, 2, 9)), rng.choice((5, 2**40 - 1, 2**64 - 1))
        verdict = rng.choice((200, 502, 429, 408, 521, 520, 444, 409, 204, 7))
        small = rng.choice((0.0, 1.0, NOT_A_NUMBER, INFINITY))
        return rng.choice(
            (
                b"\x03"
                + struct.pack("<IfdQHffdHH", number, small, figure, key, klass, small, small, figure, 0, 3),
                b"\x04" + struct.pack("<IHId", number, 0, number, figure),
                b"\x05" + struct.pack("<IIdIHHB", number, 1, figure, 9, 0, verdict, 0) + b"\0",
                b"\x06" + struct.pack("<I", number),
                b"\x07" + struct.pack("<I", number),
                b"\x08" + struct.pack("<dIH", figure, 1, verdict) + b"\x01" + struct.pack("<f", small),
                b"\x09" + struct.pack("<IH", 1, 2) + b"ab",
                b"\x0b" + struct.pack("<BIQHd", 1, 1, key, verdict, figure),
                b"\x0a",
            )
        )

    def frame(self, now: float, count: int, body: bytes) -> bytes:
        """A frame with its header."""
        return struct.pack("<IdI", 16 + len(body), now, count) + body

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """The length that the frame says stays right, mostly."""
        changed = mutate_bytes(data, rng)
        if rng.random() < 0.85 and len(changed) >= 16:
            changed = struct.pack("<I", len(changed)) + changed[4:]
        return changed

    def check(self, data: bytes) -> None:
        """Answered with a whole frame, or refused by WireError."""
        host, source = simulator_host.SimulatorHost(), io.BytesIO(data)
        try:
            while (frame := simulator_host.read_frame(source)) is not None:
                reply = host.handle_frame(frame)
                require(struct.unpack_from("<I", reply)[0] == len(reply), "a reply that says another length")
        except SimulatorProtocolError as error:
            require(bool(str(error)), "an error without words")
