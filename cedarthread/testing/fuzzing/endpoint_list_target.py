"""The fuzz target of the endpoint list, with late, repeated, reordered and contradictory updates."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.model.endpoints import EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.protocols.discovery.endpoint_list import EndpointList, EndpointRecord, worker_id_from_name
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fuzzing import settings as fuzz_settings
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.target import FuzzedDataProvider, Target

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable


class _Subscriber:
    """A subscriber that derives the workers' states from the events of the endpoint list."""

    def __init__(self) -> None:
        self.state_by_worker: dict[int, EndpointState] = {}

    def apply(self, event: EndpointUpdate) -> None:
        """Apply an event, which is a delta or a complete list."""
        if event.kind is not EndpointUpdateKind.DELTA:
            self.state_by_worker.clear()
        for endpoint in event.endpoints:
            self.state_by_worker[endpoint.worker_id] = endpoint.state
            if endpoint.state is EndpointState.REMOVED:
                del self.state_by_worker[endpoint.worker_id]


class _Model:
    """A model of the endpoint list: the records that the list must contain, by name."""

    def __init__(self) -> None:
        self.records: dict[str, EndpointRecord] = {}

    def apply(self, records: Iterable[EndpointRecord], *, is_complete: bool) -> None:
        """Apply an update that the list accepted."""
        if is_complete:
            self.records = {}
        for record in records:
            self.records.pop(record.name, None)
            if record.state is not EndpointState.REMOVED:
                self.records[record.name] = record


class EndpointListTarget(Target):
    """The endpoint list, with late, repeated, reordered and contradictory updates."""

    name = "roster"
    modules = ("cedarthread.protocols.discovery.endpoint_list",)

    def generate(self, rng: random.Random) -> bytes:
        """Return random bytes, which select the updates."""
        return rng.randbytes(rng.choice((10, 40, 90)))

    def check(self, data: bytes) -> None:
        """Check that the list, a subscriber to its events and the model agree after every accepted update."""
        choices = FuzzedDataProvider(data)
        endpoint_list = EndpointList(settings_from_object(fuzz_settings.settings()))
        subscriber = _Subscriber()
        model = _Model()
        version = -1
        while choices.has_more():
            number = choices.consume_byte() % 20
            is_complete = bool(choices.consume_byte() & 3)
            records = [self._record(choices) for _ in range(choices.consume_byte() % 5)]
            event = endpoint_list.apply_update(number, records, is_snapshot=is_complete)
            require(
                (event is None) == (number <= version),
                f"update {number} after version {version} was wrongly applied or ignored",
            )
            if event is None:
                continue
            version = number
            subscriber.apply(event)
            model.apply(records, is_complete=is_complete)
            self._check_consistency(endpoint_list, subscriber, model)

    def _check_consistency(self, endpoint_list: EndpointList, subscriber: _Subscriber, model: _Model) -> None:
        listed = {worker_id: record.state for worker_id, record in endpoint_list.by_worker_id().items()}
        states_from_events = subscriber.state_by_worker
        require(
            states_from_events == listed,
            f"states from events: {states_from_events}, states in the list: {listed}",
        )
        worker_ids = {worker_id_from_name(name) for name in model.records}
        names = sorted(endpoint_list.records)
        require(
            set(listed) == worker_ids, f"workers in the model: {sorted(model.records)}, in the list: {names}"
        )

    def _record(self, choices: FuzzedDataProvider) -> EndpointRecord:
        name = choices.pick(("s-00000001", "s-00000002", "t-00000001", "other", "s-0000000a"))
        state = choices.pick(tuple(EndpointState))
        zone = choices.pick(("room-a", "room-b", "nowhere"))
        port = choices.consume_byte()
        cell = choices.consume_byte() % 3
        started_at_ms = float(choices.consume_byte())
        return EndpointRecord(name, "10.0.0.1", port, zone, "std", cell, state, 1.0, started_at_ms)
