"""The admission gate, which permits, denies or defers each placement change.

Each code path that changes placements queries the gate before the change. docs/design/change-freeze.md lists
these paths, and ``placement_paths`` checks the source against that list. ``ChangeFreezeComponent`` writes the
gate's rules and flags; the router's queries update the remaining state. All times are ms on the
monotonic clock.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from cedarthread.change_freeze.call_routing import (
    PlacementCandidate,
    RoutingDecision,
    first_instance_change,
    route_call,
)
from cedarthread.change_freeze.deferred_changes import DeferredChange, DeferredChanges
from cedarthread.change_freeze.exception_pools import exception_pool_name
from cedarthread.change_freeze.home_workers import HomeWorkers, with_retained_homes
from cedarthread.change_freeze.placement_changes import (
    RELEASING,
    UNCERTAIN,
    AdmissionAnswer,
    AdmissionDecision,
    FreezeRule,
    PlacementChange,
    PlacementChangeKind,
)
from cedarthread.change_freeze.placement_settings import with_placement_settings_of
from cedarthread.change_freeze.placement_table import PlacementTable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from cedarthread.components.quota_escrow import QuotaEscrow
    from cedarthread.model.settings import RouterSettings

MAX_RETAINED_HOMES = 4096  # functions whose home workers from before a window are retained
# The changes that load an instance at a worker:
LOADING_KINDS = (PlacementChangeKind.FIRST_INSTANCE, PlacementChangeKind.PRELOAD)


class AdmissionGate:
    """The admission gate of one router, which decides on its placement changes while windows are in force.

    While ``is_active`` is False, nothing is frozen, and the methods on the call path return immediately after
    this check. The gate owns the placement table, the deferred changes and the home workers from before the
    windows.

    Args:
        escrow: Contains the exception budgets of the windows in force.
        try_acquire_release: Returns whether one deferred change may be released now; consumes a release token
            if so.
    """

    def __init__(self, escrow: QuotaEscrow, try_acquire_release: Callable[[float], bool]) -> None:
        self.escrow = escrow
        self.try_acquire_release = try_acquire_release
        self.is_active = False
        self.rules: tuple[FreezeRule, ...] = ()
        self.is_uncertain = False  # a window may not have been received, so all changes count as frozen
        self.placements = PlacementTable()
        self.deferred_changes = DeferredChanges()
        self.retained_homes: dict[int, tuple[int, ...]] = {}  # worker ids by function, from before the freeze
        self.deferred_settings: RouterSettings | None = None
        self.exceptions_used = 0
        self.denied_count = 0

    def set_rules(self, rules: Iterable[FreezeRule], *, has_active_window: bool) -> None:
        """Replace the rules in force, and set from them whether placements are frozen and the gate is active.

        Args:
            rules: The rules of all windows in force.
            has_active_window: Whether a window is in force, about to start, or lifted by break-glass, so that
                placements must be tracked.
        """
        self.rules = tuple(dict.fromkeys(rules))  # without duplicates
        self.placements.is_frozen = bool(self.rules) or self.is_uncertain
        self.is_active = self.is_uncertain or has_active_window or bool(self.deferred_changes)
        if not self.is_active:
            self.retained_homes.clear()

    def is_frozen(self, change: PlacementChange) -> bool:
        """Return whether a rule in force freezes the change, regardless of the exception budget."""
        return self.is_active and (self.is_uncertain or any(rule.covers(change) for rule in self.rules))

    def is_emergency(self, function_id: int, *, has_alternatives: bool) -> bool:
        """Return whether an exception may be used for a call of the function.

        An emergency exists if no worker where the function is placed has capacity, or if most of the
        function's placements were lost.
        """
        return not has_alternatives or self.placements.has_lost_most(function_id)

    def can_send(
        self,
        now_ms: float,
        *,
        function_id: int,
        worker_id: int,
        zone_index: int | None,
        tenant_index: int | None,
        is_placed: bool,
        has_alternatives: bool,
    ) -> bool:
        """Return whether a call may be sent to a worker; consumes no exception, but defers a denied change.

        Args:
            now_ms: The time on the monotonic clock.
            function_id: The function that is called.
            worker_id: The worker to which the call would be sent.
            zone_index: The worker's zone; None if unknown.
            tenant_index: The caller's tenant; None if unknown.
            is_placed: Whether the router knows of an instance of the function at the worker.
            has_alternatives: Whether another worker where the function is placed has capacity.
        """
        if not self.is_active:
            return True
        if is_placed:
            self.placements.record(now_ms, function_id, worker_id)
        is_emergency = self.is_emergency(function_id, has_alternatives=has_alternatives)
        change = PlacementChange(
            PlacementChangeKind.FIRST_INSTANCE,
            worker_id,
            function_id,
            zone_index,
            tenant_index,
            is_emergency,
        )
        if self._can_place(now_ms, change):
            return True
        self._defer(change)
        return False

    def _can_place(self, now_ms: float, change: PlacementChange) -> bool:
        if self._is_known_placement(change):
            return True
        if not self.is_frozen(change):
            return change.is_emergency or not self.deferred_changes.includes(change.kind, change.function_id)
        return change.is_emergency and self._has_exception(now_ms, change)

    def admit(self, now_ms: float, change: PlacementChange) -> AdmissionDecision:
        """Decide on a change immediately before the router makes the change.

        If the change is frozen and permitted by exception, one exception of each window that covers the
        change is consumed. A denied change is deferred.
        """
        if not self.is_active or self._is_known_placement(change):
            return AdmissionDecision(AdmissionAnswer.PERMITTED)
        rules = self._rules_for(change)
        if not rules and not self.is_uncertain:
            is_deferred = self.deferred_changes.includes(change.kind, change.function_id)
            if change.is_emergency or not is_deferred or self._try_release(now_ms, change):
                return AdmissionDecision(AdmissionAnswer.PERMITTED)
            return self._deny(change, RELEASING)
        if change.is_emergency and self._use_exception(now_ms, change, rules):
            self.exceptions_used += 1
            if change.function_id is not None and change.worker_id is not None:
                self.placements.record(now_ms, change.function_id, change.worker_id)
            return AdmissionDecision(AdmissionAnswer.PERMITTED_BY_EXCEPTION, rules[0].window_id)
        return self._deny(change, rules[0].window_id if rules else UNCERTAIN)

    def route_call(
        self,
        now_ms: float,
        function_id: int,
        tenant_index: int | None,
        candidates: Sequence[PlacementCandidate],
    ) -> RoutingDecision:
        """Apply ``call_routing.route_call`` under the rules in force.

        A candidate that is not permitted yet counts as permitted if the placement table lists the
        function there, or if no rule freezes a load there and no such load is deferred. The load at the
        first ready candidate that is not permitted and not selected is deferred.
        """

        def load_change(candidate: PlacementCandidate, *, is_emergency: bool) -> PlacementChange:
            return first_instance_change(candidate, function_id, tenant_index, is_emergency=is_emergency)

        def can_place(candidate: PlacementCandidate, *, is_emergency: bool) -> bool:
            change = load_change(candidate, is_emergency=is_emergency)
            return not self.is_active or self._can_place(now_ms, change)

        evaluated = [
            replace(
                candidate, is_permitted=candidate.is_permitted or can_place(candidate, is_emergency=False)
            )
            for candidate in candidates
        ]
        is_emergency = not any(
            candidate.is_ready and candidate.is_permitted and candidate.has_capacity
            for candidate in evaluated
        )
        eligible = [
            candidate
            for candidate in evaluated
            if candidate.is_permitted or (is_emergency and can_place(candidate, is_emergency=True))
        ]
        decision = route_call(eligible, is_load_permitted=is_emergency)
        for candidate in evaluated:
            if (
                candidate.is_ready
                and not candidate.is_permitted
                and candidate.worker_id != decision.worker_id
            ):
                self._defer(load_change(candidate, is_emergency=is_emergency))
                break
        return decision

    def home_workers(
        self, now_ms: float, function_id: int, ready_workers: Sequence[int], home_count: int
    ) -> HomeWorkers:
        """Return the ready workers in the order of preference for the function, and its number of homes.

        While home workers are frozen, the function retains its homes from before the freeze, or from its
        first call during the freeze. Homes that are no longer ready are omitted and not replaced.
        """
        if not self.is_active:
            return HomeWorkers(ready_workers, home_count)
        homes = tuple(ready_workers[:home_count])
        change = PlacementChange(PlacementChangeKind.HOME_WORKERS, None, function_id)
        may_change = not self.is_frozen(change) and not self.deferred_changes.includes(
            change.kind, function_id
        )
        retained_homes = self.retained_homes.get(function_id)
        if may_change or retained_homes is None:
            if len(self.retained_homes) < MAX_RETAINED_HOMES or retained_homes is not None:
                self.retained_homes[function_id] = homes
            return HomeWorkers(ready_workers, home_count)
        if homes != retained_homes:
            self._defer(change)
        return with_retained_homes(ready_workers, retained_homes, home_count)

    def admitted_settings(self, now_ms: float, old: RouterSettings, new: RouterSettings) -> RouterSettings:
        """Return the settings to apply now: the new ones, without changes that the freeze defers.

        If the freeze denies changes of settings, the settings that decide where instances are placed
        retain their old values, and the new settings are stored in ``deferred_settings``.
        """
        if not self.is_active or (restricted := with_placement_settings_of(old, new)) == new:
            self.deferred_settings = None
            return new
        if self.admit(now_ms, PlacementChange(PlacementChangeKind.SETTINGS, None, None)).is_permitted:
            self.deferred_settings = None
            return new
        self.deferred_settings = new
        return restricted

    def release(self, now_ms: float) -> list[DeferredChange]:
        """Remove and return the deferred changes that are no longer frozen, as many as the rate permits."""
        released = self.deferred_changes.release(now_ms, self.is_frozen, self.try_acquire_release)
        for deferred in released:
            if deferred.kind is PlacementChangeKind.HOME_WORKERS and deferred.function_id is not None:
                self.retained_homes.pop(deferred.function_id, None)
        return released

    def _rules_for(self, change: PlacementChange) -> list[FreezeRule]:
        return [rule for rule in self.rules if rule.covers(change)]

    def _is_known_placement(self, change: PlacementChange) -> bool:
        """Return whether the change loads a function at a worker where the function is placed already.

        Such a change is permitted because reloading an instance at its own worker changes no placement.
        """
        if change.kind not in LOADING_KINDS or change.function_id is None or change.worker_id is None:
            return False
        return self.placements.has_placement(change.function_id, change.worker_id)

    def _has_exception(self, now_ms: float, change: PlacementChange) -> bool:
        rules = self._rules_for(change)
        for rule in rules:
            self.escrow.request(now_ms, exception_pool_name(rule.window_id), 1)
        return bool(rules) and all(
            self.escrow.available(now_ms, exception_pool_name(rule.window_id)) > 0 for rule in rules
        )

    def _use_exception(self, now_ms: float, change: PlacementChange, rules: list[FreezeRule]) -> bool:
        """Consume one exception of each window that covers the change; return whether all had one.

        If windows overlap, the strictest one determines the result, because each must have an exception left.
        """
        if change.kind not in LOADING_KINDS or not self._has_exception(now_ms, change):
            return False
        return all(self.escrow.consume(now_ms, exception_pool_name(rule.window_id)) for rule in rules)

    def _deny(self, change: PlacementChange, cause: str) -> AdmissionDecision:
        self.denied_count += 1
        self._defer(change)
        return AdmissionDecision(AdmissionAnswer.DENIED, cause)

    def _defer(self, change: PlacementChange) -> None:
        if self.rules:  # without a declared window there is no window end at which to release the change
            self.deferred_changes.add(change)

    def _try_release(self, now_ms: float, change: PlacementChange) -> bool:
        if not self.try_acquire_release(now_ms):
            return False
        self.deferred_changes.discard(change.kind, change.function_id)
        return True
