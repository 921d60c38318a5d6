"""Parses the router's settings, as the platform and the simulator give them: a JSON object.

The operators' key names (``send-cap``, ``goal-time``, ``value``, ``stop-sending-within``, ...) are mapped to
the names of ``model.settings`` here and nowhere else. Unknown keys are skipped.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, TypeVar

from cedarthread.errors import CedarthreadError
from cedarthread.model.settings import (
    DeduplicationScope,
    DiscoveryMode,
    Idempotency,
    Limits,
    LoadReportSource,
    NotLoadedBehavior,
    Prices,
    RequestClass,
    RouterSettings,
    RuleParameters,
    Tenant,
    WeightMeaning,
)
from cedarthread.number_checks import bounded_number, positive_or_none

if TYPE_CHECKING:
    from collections.abc import Callable

ParsedT = TypeVar("ParsedT")

# What holds where the settings say nothing, or 0.
DEFAULT_MAX_ATTEMPTS_PER_CONNECTION = 32
DEFAULT_CONNECT_TIMEOUT_MS = 250
DEFAULT_IDLE_TIMEOUT_MS = 30_000

MIN_WINDOW_MS = 1.0  # a shorter window would hold nothing: it is a mistake in the settings

_IDEMPOTENCY_BY_EFFECT = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.WITH_KEY,
    "fragile": Idempotency.NOT_IDEMPOTENT,
}


class SettingsError(CedarthreadError):
    """The settings cannot be used; the message says which part and why."""


def parse_settings(raw: bytes) -> RouterSettings:
    """The settings in a JSON text; SettingsError if they cannot be used."""
    try:
        settings_object = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"settings: {type(error).__name__}: {error}") from None
    return settings_from_object(settings_object)


def settings_from_object(settings_object: Any) -> RouterSettings:
    """The settings in a parsed JSON object; SettingsError if they cannot be used."""
    try:
        return _parse_settings(settings_object)
    except (ValueError, KeyError, TypeError, AttributeError, ArithmeticError) as error:
        raise SettingsError(f"settings: {type(error).__name__}: {error}") from None


def _parse_settings(top: dict[str, Any]) -> RouterSettings:
    limits, rules, prices = top["limits"], top["obligations"], top.get("prices", {})
    special, report = top.get("specifics", {}), top.get("report", {})
    classes = tuple(
        _locate_errors(f"classes[{index}]", _parse_request_class, request_class)
        for index, request_class in enumerate(top["classes"])
    )
    return RouterSettings(
        classes=classes,
        tenants=tuple(_parse_tenant(tenant) for tenant in top.get("tenants") or ()),
        limits=_parse_limits(limits),
        rules=_parse_rules(rules, special),
        prices=_parse_prices(prices, special),
        router_count=int(bounded_number(top["balancers"])),
        router_index=int(bounded_number(top.get("ordinal", 0))),
        zone=int(bounded_number(top.get("zone", 0))),
        tick_ms=bounded_number(top.get("quantum", 0)),
        discovery_mode=DiscoveryMode(top.get("membership-mode", "push")),
        when_not_loaded=NotLoadedBehavior(special.get("on-miss", "load")),
        allows_preloading=bool(special.get("may-order", False)),
        keep_alive_ms=bounded_number(special.get("keep-alive", 0)),
        preload_timeout_ms=bounded_number(special.get("order-limit", 0)),
        reports_start_kind=bool(special.get("says-warm", False)),
        reports_concurrency=bool(special.get("notes-peers-in-hand", False)),
        over_quota_weight=bounded_number(top.get("over-share-worth", 1)),
        load_report_source=LoadReportSource(report.get("how", "none")),
        load_report_columns=tuple(str(column) for column in report.get("columns", ())),
        memory_by_kind=tuple(bounded_number(memory_mb) for memory_mb in special.get("memory-mb-by-kind", ())),
        weight_meaning=WeightMeaning(top.get("weight-source", "none")),
        zones=tuple(str(zone) for zone in top.get("localities", ())),
        worker_kinds=tuple(str(kind) for kind in top.get("kinds", ())),
    )


def _parse_request_class(request_class: dict[str, Any]) -> RequestClass:
    return RequestClass(
        name=str(request_class.get("name", "")),
        latency_objective_ms=bounded_number(request_class["goal-time"]),
        deadline_ms=bounded_number(request_class["deadline"], 1.0),
        priority_weight=bounded_number(request_class.get("value", 1)),
        late_priority_weight=bounded_number(request_class.get("late-worth", 0)),
        idempotency=_parse_idempotency(request_class["effect"]),
        deduplication_scope=DeduplicationScope(request_class.get("group") or "all"),
        deduplication_window_ms=bounded_number(request_class.get("repeat-window", 0)),
        is_streaming=bool(request_class.get("stream", False)),
        latency_objective_work_factor=bounded_number(request_class.get("aim-stretch") or 0),
    )


def _parse_idempotency(effect: Any) -> Idempotency:
    if effect not in _IDEMPOTENCY_BY_EFFECT:
        raise SettingsError(f"unknown effect {effect!r}")
    return _IDEMPOTENCY_BY_EFFECT[effect]


def _parse_tenant(tenant: dict[str, Any]) -> Tenant:
    return Tenant(
        name=str(tenant.get("name", "")),
        quota_fraction=bounded_number(tenant.get("share", 0)),
        quota_per_second=positive_or_none(tenant.get("quota-per-s")),
    )


def _parse_limits(limits: dict[str, Any]) -> Limits:
    return Limits(
        max_attempts=_locate_errors("limits.send-cap", _parse_max_attempts, limits["send-cap"]),
        max_pending_requests=int(bounded_number(limits["most-held"])),
        can_cancel=bool(limits.get("cancel", False)),
        allows_health_checks=bool(limits.get("probing", False)),
        allows_gossip=bool(limits.get("peers", False)),
        allows_hedging=bool(limits.get("second-copies", False)),
        sends_retry_after=bool(limits.get("retry-after", False)),
        max_retry_after_ms=bounded_number(limits.get("max-retry-after", 0)),
        max_attempts_per_connection=int(
            bounded_number(limits.get("streams-per-conn") or DEFAULT_MAX_ATTEMPTS_PER_CONNECTION)
        ),
        connect_timeout_ms=bounded_number(limits.get("connect-timeout") or DEFAULT_CONNECT_TIMEOUT_MS),
        idle_timeout_ms=bounded_number(limits.get("conn-idle") or DEFAULT_IDLE_TIMEOUT_MS),
    )


def _parse_max_attempts(value: Any) -> int:
    """A number above 0; a fraction of an attempt counts as one."""
    number = bounded_number(value)
    if not number > 0:
        raise ValueError(f"{number:g} is no number above 0")
    return max(1, int(number))


def _parse_rules(rules: dict[str, Any], special: dict[str, Any]) -> RuleParameters:
    return RuleParameters(
        answer_slack_ms=bounded_number(rules.get("answer-slack", 0)),
        drain_grace_ms=bounded_number(rules.get("stop-sending-within", 0)),
        slow_start_min_capacity=bounded_number(rules.get("cold-from", 1)),
        slow_start_ms=bounded_number(rules.get("warm-after", 0)),
        collapse_multiple=bounded_number(rules.get("overload-factor", 1)),
        collapse_window_ms=bounded_number(rules.get("fall", 0)),
        max_poll_delay_ms=bounded_number(rules.get("ask-every", 0)),
        preload_allowance=bounded_number(special.get("loads-anyway", 0)),
        preload_share=bounded_number(special.get("load-share", 0)),
        preload_window_ms=_parse_window_ms(special.get("load-window", 0)),
    )


def _parse_window_ms(value: Any) -> float:
    """The window in ms over which something is counted; 0 for none."""
    return bounded_number(value, MIN_WINDOW_MS) if value else 0.0


def _parse_prices(prices: dict[str, Any], special: dict[str, Any]) -> Prices:
    return Prices(
        fetch=bounded_number(prices.get("origin", 0)),
        health_check=bounded_number(prices.get("probe", 0)),
        peer_message=bounded_number(prices.get("peer", 0)),
        cross_zone=bounded_number(prices.get("cross-zone", 0)),
        wasted_work=bounded_number(prices.get("waste", 0)),
        late_failure=bounded_number(prices.get("late-fail", 0)),
        idle_memory=bounded_number(special.get("idle-price", 0)),
    )


def _locate_errors(location: str, parse: Callable[[Any], ParsedT], value: Any) -> ParsedT:
    """Parse one part of the settings; an error says which part it was in."""
    try:
        return parse(value)
    except KeyError as error:
        raise ValueError(f"{location}: {error} is missing") from None
    except (ValueError, TypeError, AttributeError, ArithmeticError) as error:
        raise ValueError(f"{location}: {error}") from None
