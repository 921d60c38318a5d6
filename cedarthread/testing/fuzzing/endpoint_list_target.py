"""The endpoint list under updates that are late, repeated, out of order and contradictory."""

from __future__ import annotations

import random

from cedarthread.model.endpoints import EndpointState, EndpointUpdateKind
from cedarthread.protocols.endpoint_list import EndpointList, EndpointRecord, worker_id_from_name
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fuzzing import settings as drawn_settings
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.target import FuzzedDataProvider, Target


class EndpointListTarget(Target):
    """The roster under news late, doubled, out of order and contradictory."""

    name = "roster"
    modules = ("cedarthread.protocols.endpoint_list",)

    def generate(self, rng: random.Random) -> bytes:
        """A script."""
        return rng.randbytes(rng.choice((10, 40, 90)))

    def check(self, data: bytes) -> None:
        """Whoever applies the events one after another holds the list that was told last."""
        dice, roster = FuzzedDataProvider(data), EndpointList(settings_from_object(drawn_settings.settings()))
        known: dict[int, EndpointState] = {}
        version, truth = -1, dict[str, EndpointRecord]()
        while dice.has_more():
            number, whole = dice.consume_byte() % 20, bool(dice.consume_byte() & 3)
            told = [self._listing(dice) for _ in range(dice.consume_byte() % 5)]
            event = roster.apply_update(number, told, whole)
            require((event is None) == (number <= version), f"news {number} after {version}")
            if event is None:
                continue
            version = number
            if event.kind is not EndpointUpdateKind.DELTA:
                known.clear()
            for worker in event.endpoints:
                known[worker.worker_id] = worker.state
                if worker.state is EndpointState.REMOVED:
                    del known[worker.worker_id]
            truth = {} if whole else truth
            for listing in told:
                truth.pop(listing.name, None)
                if listing.state is not EndpointState.REMOVED:
                    truth[listing.name] = listing
            held = {number: entry.state for number, entry in roster.by_worker_id().items()}
            require(known == held, f"by the events {known}, by the list {held}")
            numbers = {worker_id_from_name(name) for name in truth}
            require(set(held) == numbers, f"told {sorted(truth)}, held {sorted(roster.records)}")

    def _listing(self, dice: FuzzedDataProvider) -> EndpointRecord:
        name = dice.pick(("s-00000001", "s-00000002", "t-00000001", "other", "s-0000000a"))
        state = dice.pick(tuple(EndpointState))
        zone = dice.pick(("room-a", "room-b", "nowhere"))
        return EndpointRecord(
            name,
            "10.0.0.1",
            dice.consume_byte(),
            zone,
            "std",
            dice.consume_byte() % 3,
            state,
            1.0,
            float(dice.consume_byte()),
        )
