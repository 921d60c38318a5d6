"""Values in a router's store, by key."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cedarthread.components.notifications import WallClockRead
from cedarthread.escrow.escrow import Escrow
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from cedarthread.persistence import recovered_image
from cedarthread.recovery.component import RecoveryComponent
from cedarthread.recovery.pacing_limits import PacedAction
from tests.golden_builders.replicated_entries import declared_entries
from tests.golden_builders.sample import FUNCTION_ID, WALL_CLOCK_MS, Sample, to_plain
from tests.helpers import settings, worker

if TYPE_CHECKING:
    from tests.golden_builders.sample import Json, Rewriter

POOL = "freeze/fair"
POOL_SIZE = 40
PACED_ACTIONS = (
    PacedAction.LOAD,
    PacedAction.CONNECT,
    PacedAction.DISCOVERY_QUERY,
    PacedAction.PEER_QUERY,
    PacedAction.RELEASE,
)


def build_stored_values() -> list[Sample]:
    """Return each value of a store, and a warm state with baseline rates."""
    readers = {"warm": _read_warm_state, "grants": _read_escrow}
    rewriters: dict[str, Rewriter] = {"grants": _rewrite_escrow}

    def rewriter_of(key: str) -> Rewriter:
        return lambda data: rewrite_values(store_values() | {key: data})[key]

    samples = [
        Sample(key, value, readers.get(key), rewriters.get(key, rewriter_of(key)))
        for key, value in sorted(store_values().items())
    ]
    return [*samples, Sample("warm with usual rates", _warm_state_with_baseline(), _read_baseline)]


def store_values() -> dict[str, bytes]:
    """Return every value that a router stores, by key."""
    values = dict(recovered_image.encode_entry(entry) for entry in declared_entries())
    incarnation = recovered_image.RouterIncarnation(2, 2**64 - 1, 7, True)
    key, value = recovered_image.encode_incarnation(incarnation)
    return values | {key: value, "warm": _warm_state(), "grants": _escrow_image()}


def rewrite_values(values: dict[str, bytes]) -> dict[str, bytes]:
    """Decode the values of a store, and return the encoding of the result.

    Raises:
        ValueError: A value was missing or was rejected.
    """
    image = recovered_image.decode_image(values)
    if image.rejected_count or image.incarnation is None or image.warm_state is None or image.escrow is None:
        raise ValueError(f"{image.rejected_count} values rejected, or a required value is missing")
    key, value = recovered_image.encode_incarnation(image.incarnation)
    entries = dict(recovered_image.encode_entry(entry) for entry in image.entries)
    return entries | {key: value, "warm": image.warm_state, "grants": image.escrow}


def _escrow(incarnation: int) -> Escrow:
    return Escrow(
        0, 1, incarnation, incarnation, clock_rate=0.001, has_complete_history=True, is_durable=True
    )


def _escrow_image() -> bytes:
    """Return the image that a router without peers stores after a request for 3 units of a pool."""
    escrow = _escrow(9)
    escrow.open_pool(POOL, POOL_SIZE, is_consumable=True, ends_at_ms=None)
    escrow.request(0.0, POOL, 3)
    image = escrow.take_due_image(0.0)
    if image is None:
        raise ValueError("the escrow has no image to write")
    return image


def _restored_escrow(image: bytes) -> Escrow:
    escrow = _escrow(10)
    if not escrow.restore(image):
        raise ValueError("the escrow rejected the image")
    return escrow


def _rewrite_escrow(image: bytes) -> bytes:
    """Return the snapshot of the next incarnation before it has used any units of the pool."""
    return _restored_escrow(image).snapshot()


def _read_escrow(image: bytes) -> Json:
    """Return what the next incarnation may use at once, its next image, and what it may use after that."""
    escrow = _restored_escrow(image)
    escrow.open_pool(POOL, POOL_SIZE, is_consumable=True, ends_at_ms=None)
    available_at_once = escrow.available(0.0, POOL)
    escrow.request(0.0, POOL, 3)
    next_image = escrow.take_due_image(0.0) or b""
    escrow.mark_written(0.0)
    return [available_at_once, next_image.hex(), escrow.available(0.0, POOL)]


def _recovery(now_ms: float) -> RecoveryComponent:
    """Return the component of a router that has three workers and has read the wall clock."""
    recovery = RecoveryComponent(settings(router_count=1), 5, now_ms)
    ready = tuple(worker(number, started_at_ms=100.0 * number) for number in range(1, 4))
    recovery.on_notification(now_ms, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 1, ready))
    recovery.on_notification(now_ms, WallClockRead(WALL_CLOCK_MS + now_ms))
    return recovery


def _snapshot(recovery: RecoveryComponent, now_ms: float) -> bytes:
    image = recovery.snapshot(now_ms)
    if image is None:
        raise ValueError("no snapshot: the wall clock was not read")
    return image


def _warm_state() -> bytes:
    """Return the warm state that a router stores before it has baseline rates."""
    recovery = _recovery(0.0)
    for number in range(5):
        recovery.warm_state.record_local(
            100.0 * number, 1 + number % 3, FUNCTION_ID + number, is_warm=number != 3
        )
    return _snapshot(recovery, 900.0)


def _warm_state_with_baseline() -> bytes:
    """Return the warm state of a router that has been in service long enough to have baseline rates."""
    recovery = _recovery(0.0)
    recovery.pacer.enter_service(0.0)
    for number, action in enumerate(PACED_ACTIONS):
        for step in range(number + 1):
            recovery.pacer.record_unpaced(1000.0 * step, action)
    recovery.warm_state.record_local(29_000.0, 2, FUNCTION_ID, is_warm=True)
    return _snapshot(recovery, 30_000.0)


def _read_baseline(image: bytes) -> Json:
    """Return the number of restored observations and the restored rate of each paced action."""
    recovery = _recovery(31_000.0)
    count = recovery.restore(31_000.0, image)
    return [count, *(to_plain(recovery.pacer.baseline.per_second(action)) for action in PACED_ACTIONS)]


def _read_warm_state(image: bytes) -> Json:
    """Return the number of restored observations, the observations, the warm fraction and the raw content."""
    recovery = _recovery(2000.0)
    count = recovery.restore(2000.0, image)
    return [
        count,
        to_plain(recovery.warm_state.latest_observations(2000.0)),
        to_plain(recovery.warm_fraction.saved_baseline),
        to_plain(msgspec.msgpack.decode(image)),
    ]
