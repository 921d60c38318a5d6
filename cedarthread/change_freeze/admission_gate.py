"""The one gate between the placements that are wanted and those that are made.

Whoever is about to change where functions stand asks here first, whatever the cause; the list of these paths
stands in docs/design/freeze.md. Times are ms on the steady clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum

from cedarthread.components.interface import QuotaEscrow
from cedarthread.fleet_config import FrozenAction
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.settings import RouterSettings

PLACEMENT_MEMORY_MS = (
    1_800_000.0  # ms before a window in which a copy was last known to stand for its worker to be its place
)
MAX_PLACEMENTS = 20_000  # places of functions that are remembered at most
MAX_REMOVED_WORKERS = 4096  # workers that are off the list whose places are remembered
MAX_DEFERRED_CHANGES = 512  # what was held back, kept for the end, at most
MAX_KEPT_HOMES = 4096  # functions whose homes are kept as they were


@dataclass(frozen=True, slots=True)
class PlacementChange:
    """A placement change that is wanted. None: not told, so any that is named may be meant.

    ``emergency``: no standing copy has room, or most were lost; see ``Gate.emergency``."""

    kind: FrozenAction
    worker_id: int | None
    function_id: int | None
    zone_index: int | None = None
    tenant_index: int | None = None
    is_emergency: bool = False


class AdmissionAnswer(Enum):
    """What the gate says to a change."""

    PERMITTED = "yes"
    PERMITTED_BY_EXCEPTION = "under the allowance"  # one of it is used up
    DENIED = "no"


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """The answer, and the window that it is by; '' for none, else ``unsure`` or ``releasing``."""

    answer: AdmissionAnswer
    window_id: str = ""

    @property
    def is_permitted(self) -> bool:
        """Whether it may be made."""
        return self.answer is not AdmissionAnswer.DENIED


@dataclass(frozen=True, slots=True)
class FreezeRule:
    """A window in force, its names as numbers of this router. None: all of them."""

    window_id: str
    frozen_kinds: frozenset[str]
    zone_indexes: frozenset[int] | None
    function_ids: frozenset[int] | None
    tenant_indexes: frozenset[int] | None
    exception_budget: int

    def covers(
        self, kind: str, zone_index: int | None, function_id: int | None, tenant_index: int | None
    ) -> bool:
        """What is not told is covered: it may be the one that is meant."""
        return (
            kind in self.frozen_kinds
            and (self.function_ids is None or function_id is None or function_id in self.function_ids)
            and (self.zone_indexes is None or zone_index is None or zone_index in self.zone_indexes)
            and (self.tenant_indexes is None or tenant_index is None or tenant_index in self.tenant_indexes)
        )


@dataclass(slots=True)
class DeferredChange:
    """What was held back, by kind and function: where it was last wanted and how often."""

    kind: FrozenAction
    function_id: int | None
    worker_id: int | None
    request_count: int = 1
    is_emergency: bool = False
    zone_index: int | None = None
    tenant_index: int | None = None


class RoutingVerdict(Enum):
    """What becomes of a call."""

    SEND = "send"  # to a standing copy, or where nothing is frozen
    LOAD = "place"  # to a worker that must load, under the allowance
    WAIT = "wait"  # for a standing copy
    REJECT = "refuse"  # there is none


@dataclass(frozen=True, slots=True)
class PlacementCandidate:
    """A worker as a call sees it. ``open``: a copy stands there, or nothing is frozen there. ``free``: it has
    room, as the router counts it."""

    worker_id: int
    is_ready: bool
    is_open: bool
    has_capacity: bool
    distance: float = 0.0


def route_call(
    candidates: Iterable[PlacementCandidate], is_load_permitted: bool
) -> tuple[RoutingVerdict, int | None]:
    """Service first: a standing copy with room; without one a new place, where the allowance permits; then
    waiting. Refused is only who finds no standing copy at all. Who drains gets nothing, before all else."""
    ready = sorted((c for c in candidates if c.is_ready), key=lambda c: c.distance)
    standing = [c for c in ready if c.is_open]
    for candidate in standing:
        if candidate.has_capacity:
            return RoutingVerdict.SEND, candidate.worker_id
    if is_load_permitted:
        for candidate in ready:
            if not candidate.is_open:
                return RoutingVerdict.LOAD, candidate.worker_id
    return (RoutingVerdict.WAIT, standing[0].worker_id) if standing else (RoutingVerdict.REJECT, None)


@dataclass(slots=True)
class _RemovedWorker:
    started_at_ms: float | None
    placements: dict[int, float]


@dataclass(slots=True)
class PlacementTable:
    """Where functions stand, as this router's own calls and the talk showed: a part of the truth, never more.

    In a window nothing is forgotten by age: a copy that fell idle may be loaded again where it stood."""

    last_seen_by_function: dict[int, dict[int, float]] = field(
        default_factory=dict
    )  # function, worker: when last known
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    removed_workers: dict[int, _RemovedWorker] = field(default_factory=dict)
    lost_placements: dict[int, int] = field(
        default_factory=dict
    )  # places lost, by function, since the window began
    placement_count: int = 0
    is_frozen: bool = False  # a window is in force

    def record(self, now: float, function_id: int, worker_id: int) -> None:
        """A copy stands there now."""
        last_seen = self.last_seen_by_function.pop(function_id, None)
        if last_seen is None:
            last_seen = {}
        self.last_seen_by_function[function_id] = last_seen  # the least lately used first
        self.placement_count += worker_id not in last_seen
        last_seen[worker_id] = now
        while self.placement_count > MAX_PLACEMENTS:
            self.placement_count -= len(
                self.last_seen_by_function.pop(next(iter(self.last_seen_by_function)))
            )

    def has_placement(self, function_id: int, worker_id: int) -> bool:
        """Whether the worker is a place of the function."""
        return worker_id in self.last_seen_by_function.get(function_id, ())

    def expire(self, now: float) -> None:
        """Outside windows: places that nothing was known of for long are none."""
        if self.is_frozen:
            return
        self.lost_placements.clear()
        for function in list(self.last_seen_by_function):
            places = self.last_seen_by_function[function]
            for worker in [w for w, at in places.items() if now - at > PLACEMENT_MEMORY_MS]:
                del places[worker]
                self.placement_count -= 1
            if not places:
                del self.last_seen_by_function[function]

    def on_endpoint_update(self, event: EndpointUpdate) -> None:
        """News of the list: who left it, drains or began anew has lost what stood there."""
        if event.kind is EndpointUpdateKind.FAILED:
            return
        if event.kind is not EndpointUpdateKind.DELTA:
            listed_ids = {entry.worker_id for entry in event.endpoints}
            for entry in [w for w in self.endpoints.values() if w.worker_id not in listed_ids]:
                self._remove_endpoint(entry)
        for entry in event.endpoints:
            self._update_endpoint(entry)

    def _update_endpoint(self, entry: Endpoint) -> None:
        old = self.endpoints.get(entry.worker_id)
        if entry.state is EndpointState.REMOVED:
            return self._remove_endpoint(old or entry)
        self.endpoints[entry.worker_id] = entry
        if old is not None and old.started_at_ms != entry.started_at_ms:
            self._remove_placements(entry.worker_id)
        away = self.removed_workers.pop(entry.worker_id, None) if old is None else None
        # A spoilt list may leave out who is there: the same start means that nothing was lost.
        if away is not None and away.started_at_ms is not None and away.started_at_ms == entry.started_at_ms:
            self._restore_placements(entry.worker_id, away)
        if entry.state is EndpointState.DRAINING and (old is None or old.state is EndpointState.READY):
            for function, places in self.last_seen_by_function.items():
                if entry.worker_id in places:
                    self.lost_placements[function] = self.lost_placements.get(function, 0) + 1

    def _remove_endpoint(self, entry: Endpoint) -> None:
        self.endpoints.pop(entry.worker_id, None)
        if places := self._remove_placements(entry.worker_id):
            self.removed_workers[entry.worker_id] = _RemovedWorker(entry.started_at_ms, places)
            while len(self.removed_workers) > MAX_REMOVED_WORKERS:
                del self.removed_workers[next(iter(self.removed_workers))]

    def on_worker_down(self, worker_id: int) -> None:
        """The host found the process gone (no connection comes up): what stood there is lost."""
        self._remove_placements(worker_id)

    def _remove_placements(self, worker_id: int) -> dict[int, float]:
        taken: dict[int, float] = {}
        for function, places in self.last_seen_by_function.items():
            if (at := places.pop(worker_id, None)) is not None:
                taken[function] = at
                self.lost_placements[function] = self.lost_placements.get(function, 0) + 1
                self.placement_count -= 1
        for function in taken:
            if not self.last_seen_by_function[function]:
                del self.last_seen_by_function[function]
        return taken

    def _restore_placements(self, worker_id: int, removed: _RemovedWorker) -> None:
        for function, at in removed.placements.items():
            self.record(at, function, worker_id)
            self.lost_placements[function] = max(0, self.lost_placements.get(function, 0) - 1)

    def has_lost_most(self, function_id: int) -> bool:
        """More places were lost than are left: the rest will be overrun."""
        return self.lost_placements.get(function_id, 0) > len(self.last_seen_by_function.get(function_id, ()))


def exception_pool_name(window_id: str) -> str:
    """The name of a window's allowance among the grants."""
    return f"freeze/{window_id}"


class AdmissionGate:
    """The gate of one router. ``live`` False: nothing is known to freeze; that one test is all it costs."""

    def __init__(self, escrow: QuotaEscrow) -> None:
        self.escrow = escrow
        self.is_active = False
        self.rules: tuple[FreezeRule, ...] = ()
        self.is_uncertain = False  # what this router may have missed could freeze anything
        self.placements = PlacementTable()
        self.deferred_changes: dict[tuple[FrozenAction, int | None], DeferredChange] = {}
        self.has_overflowed = False
        self.kept_homes: dict[
            int, tuple[int, ...]
        ] = {}  # homes by function, as last seen before it was frozen
        self.deferred_settings: RouterSettings | None = None  # those that are held back
        self.exceptions_used = self.denied_count = 0
        self.take_release: Callable[[float], int] = lambda now: 1  # how many may be released now

    # Asking.

    def is_frozen(
        self,
        now: float,
        kind: FrozenAction,
        zone_index: int | None,
        function_id: int | None,
        tenant_index: int | None,
    ) -> bool:
        """Whether a change of this kind is frozen there, but for the allowance."""
        return self.is_active and (
            self.is_uncertain
            or any(r.covers(kind, zone_index, function_id, tenant_index) for r in self.rules)
        )

    def is_emergency(self, function_id: int, has_alternatives: bool) -> bool:
        """What frees the allowance: no standing copy has room, or more places were lost than are left."""
        return not has_alternatives or self.placements.has_lost_most(function_id)

    def can_send(
        self,
        now: float,
        function_id: int,
        worker_id: int,
        zone_index: int | None,
        tenant_index: int | None,
        is_placed: bool,
        has_alternatives: bool,
    ) -> bool:
        """Whether a call may be sent to a worker; nothing is used up. ``stands``: the router takes a copy to
        be there by what is known, not by hope. ``alternatives``: a standing copy elsewhere has room."""
        if not self.is_active:
            return True
        if is_placed:
            self.placements.record(now, function_id, worker_id)
        change = PlacementChange(
            "first-copy",
            worker_id,
            function_id,
            zone_index,
            tenant_index,
            self.is_emergency(function_id, has_alternatives),
        )
        if self._can_place(now, change):
            return True
        self._defer(change)
        return False

    def _can_place(self, now: float, change: PlacementChange) -> bool:
        if self._is_known_placement(change):
            return True
        if not self.is_frozen(now, change.kind, change.zone_index, change.function_id, change.tenant_index):
            return change.is_emergency or not self._is_deferred(change.kind, change.function_id)
        return change.is_emergency and self._has_exception(now, change)

    def admit(self, now: float, change: PlacementChange) -> AdmissionDecision:
        """The last word before a change is made: one of the allowance is used up where it is frozen."""
        if not self.is_active or self._is_known_placement(change):
            return AdmissionDecision(AdmissionAnswer.PERMITTED)
        rules = [
            r
            for r in self.rules
            if r.covers(change.kind, change.zone_index, change.function_id, change.tenant_index)
        ]
        if not rules and not self.is_uncertain:
            if (
                change.is_emergency
                or not self._is_deferred(change.kind, change.function_id)
                or self._try_release(now, change)
            ):
                return AdmissionDecision(AdmissionAnswer.PERMITTED)
            return self._deny(change, "releasing")
        if change.is_emergency and self._use_exception(now, change, rules):
            self.exceptions_used += 1
            if change.function_id is not None and change.worker_id is not None:
                self.placements.record(now, change.function_id, change.worker_id)
            return AdmissionDecision(AdmissionAnswer.PERMITTED_BY_EXCEPTION, rules[0].window_id)
        return self._deny(change, rules[0].window_id if rules else "unsure")

    def route_call(
        self,
        now: float,
        function_id: int,
        tenant_index: int | None,
        candidates: Sequence[tuple[PlacementCandidate, int | None]],
    ) -> tuple[RoutingVerdict, int | None]:
        """``place`` under what is in force. Candidates come with their rooms; where nothing is frozen, or a
        copy is known to stand, they are ``open`` besides. A nearer one that is shut is kept as a wish."""

        def passes(one: PlacementCandidate, room: int | None, emergency: bool) -> bool:
            wanted = PlacementChange("first-copy", one.worker_id, function_id, room, tenant_index, emergency)
            return not self.is_active or self._can_place(now, wanted)

        seen = [(replace(c, is_open=c.is_open or passes(c, room, False)), room) for c, room in candidates]
        nowhere = not any(c.is_ready and c.is_open and c.has_capacity for c, _ in seen)
        some = [c for c, room in seen if c.is_open or (nowhere and passes(c, room, True))]
        verdict, worker_id = route_call(some, nowhere)
        for shut, room in seen:
            if shut.is_ready and not shut.is_open and shut.worker_id != worker_id:
                self._defer(
                    PlacementChange("first-copy", shut.worker_id, function_id, room, tenant_index, nowhere)
                )
                break
        return verdict, worker_id

    def home_workers(
        self, now: float, function_id: int, ready_workers: Sequence[int], home_count: int
    ) -> tuple[Sequence[int], int]:
        """The ready workers in the order of the function's homes, and how many of them are homes. Frozen: the
        homes of before, as long as they are ready; who is lost is not made up for."""
        if not self.is_active:
            return ready_workers, home_count
        homes = tuple(ready_workers[:home_count])
        is_unfrozen = self._is_unfrozen(now, "homes", None, function_id, None)
        kept_homes = self.kept_homes.get(function_id)
        if (is_unfrozen and not self._is_deferred("homes", function_id)) or kept_homes is None:
            if len(self.kept_homes) < MAX_KEPT_HOMES or kept_homes is not None:
                self.kept_homes[function_id] = homes
            return ready_workers, home_count
        if homes != kept_homes:
            self._defer(PlacementChange("homes", None, function_id))
        ready = set(ready_workers)
        first = [worker for worker in kept_homes if worker in ready]
        if not first:
            return ready_workers, min(home_count, 1)
        known = set(first)
        return [*first, *(worker for worker in ready_workers if worker not in known)], len(first)

    def admitted_settings(self, now: float, old: RouterSettings, new: RouterSettings) -> RouterSettings:
        """The settings that may be in force now: those of the new that would move copies wait for the end."""
        if not self.is_active or (stays := _with_placement_settings_of(old, new)) == new:
            self.deferred_settings = None
            return new
        if self.admit(now, PlacementChange("retune", None, None)).is_permitted:
            self.deferred_settings = None
            return new
        self.deferred_settings = new
        return stays

    # Inside.

    def _is_unfrozen(
        self,
        now: float,
        kind: FrozenAction,
        zone_index: int | None,
        function_id: int | None,
        tenant_index: int | None,
    ) -> bool:
        return not self.is_frozen(now, kind, zone_index, function_id, tenant_index)

    def _is_known_placement(self, change: PlacementChange) -> bool:
        """A copy that fell idle and comes back on its worker moves nothing."""
        loads = change.kind in ("first-copy", "order")
        known = change.function_id is not None and change.worker_id is not None
        return (
            loads and known and self.placements.has_placement(change.function_id or 0, change.worker_id or 0)
        )

    def _has_exception(self, now: float, change: PlacementChange) -> bool:
        rules = [
            r
            for r in self.rules
            if r.covers(change.kind, change.zone_index, change.function_id, change.tenant_index)
        ]
        for rule in rules:
            self.escrow.request(now, exception_pool_name(rule.window_id), 1)
        return bool(rules) and all(
            self.escrow.available(now, exception_pool_name(rule.window_id)) > 0 for rule in rules
        )

    def _use_exception(self, now: float, change: PlacementChange, rules: list[FreezeRule]) -> bool:
        """One of each pool: where windows overlap, the stricter allowance holds. All are looked at first."""
        loads = change.kind in ("first-copy", "order")
        if not loads or not self._has_exception(now, change):
            return False
        return all([self.escrow.consume(now, exception_pool_name(rule.window_id)) for rule in rules])

    def _deny(self, change: PlacementChange, window_id: str) -> AdmissionDecision:
        self.denied_count += 1
        self._defer(change)
        return AdmissionDecision(AdmissionAnswer.DENIED, window_id)

    def _defer(self, change: PlacementChange) -> None:
        if not self.rules:
            return  # nobody declared this: what a start held back is not released by and by, it may go on
        key = (change.kind, change.function_id)
        if (wish := self.deferred_changes.get(key)) is not None:
            wish.request_count += 1
            wish.is_emergency = wish.is_emergency or change.is_emergency
        elif len(self.deferred_changes) < MAX_DEFERRED_CHANGES:
            self.deferred_changes[key] = DeferredChange(
                change.kind,
                change.function_id,
                change.worker_id,
                1,
                change.is_emergency,
                change.zone_index,
                change.tenant_index,
            )
        else:
            self.has_overflowed = True

    def _is_deferred(self, kind: FrozenAction, function_id: int | None) -> bool:
        """After the end: whether a change of this kind was held back, and has not been released since."""
        return (kind, function_id) in self.deferred_changes or (
            self.has_overflowed and bool(self.deferred_changes)
        )

    def _try_release(self, now: float, change: PlacementChange) -> bool:
        if self.take_release(now) < 1:
            return False
        self.deferred_changes.pop((change.kind, change.function_id), None)
        return True

    def release(self, now: float) -> list[DeferredChange]:
        """What was held back and is not frozen now, as much as the pace gives: what was needed most first."""
        due = [
            w
            for w in self.deferred_changes.values()
            if self._is_unfrozen(now, w.kind, w.zone_index, w.function_id, w.tenant_index)
        ]
        due.sort(key=lambda w: (not w.is_emergency, -w.request_count))
        out: list[DeferredChange] = []
        while due and self.take_release(now) > 0:
            wish = due.pop(0)
            del self.deferred_changes[wish.kind, wish.function_id]
            if wish.kind == "homes" and wish.function_id is not None:
                self.kept_homes.pop(wish.function_id, None)
            out.append(wish)
        self.has_overflowed = self.has_overflowed and bool(self.deferred_changes)
        return out


def _with_placement_settings_of(old: RouterSettings, new: RouterSettings) -> RouterSettings:
    """The new settings with what decides where copies stand as it was."""
    prices = replace(new.prices, idle_memory=old.prices.idle_memory, cross_zone=old.prices.cross_zone)
    return replace(
        new,
        prices=prices,
        weight_meaning=old.weight_meaning,
        keep_alive_ms=old.keep_alive_ms,
        when_not_loaded=old.when_not_loaded,
        allows_preloading=old.allows_preloading,
    )
