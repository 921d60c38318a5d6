"""The parser of the router's settings, from JSON objects that the platform and the simulator provide.

This module maps the operators' key names (``send-cap``, ``goal-time``, ``stop-sending-within``, ...) to the
names of ``model.settings``. ``config_keys`` decides which keys count as missing; the parser has a default
only for a key that may be absent. Unknown keys are ignored.
"""

from __future__ import annotations

from cedarthread.config_keys import SETTINGS_KEY, SETTINGS_SECTIONS
from cedarthread.config_section import ConfigSection, ConfigValue, parse_json
from cedarthread.errors import ConfigurationError
from cedarthread.missing_keys import check_required_keys
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

SettingsError = ConfigurationError  # alias that other packages catch

# The values of limits that the settings omit or set to 0.
DEFAULT_MAX_ATTEMPTS_PER_CONNECTION = 32
DEFAULT_CONNECT_TIMEOUT_MS = 250
DEFAULT_IDLE_TIMEOUT_MS = 30_000

MIN_DEADLINE_MS = 1.0
MIN_WINDOW_MS = 1.0  # a shorter window is a mistake in the settings, because no event could be counted in it

_IDEMPOTENCY_BY_EFFECT = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.WITH_KEY,
    "fragile": Idempotency.NOT_IDEMPOTENT,
}


def parse_settings(raw: bytes) -> RouterSettings:
    """Return the settings from a JSON document.

    Raises:
        ConfigurationError: The settings cannot be used.
    """
    return settings_from_object(parse_json(raw, key_path=SETTINGS_KEY))


def settings_from_object(settings_object: object) -> RouterSettings:
    """Return the settings from a parsed JSON object.

    Raises:
        ConfigurationError: The settings cannot be used.
    """
    return settings_from_section(ConfigValue(settings_object, "", SETTINGS_KEY).section())


def settings_from_section(top: ConfigSection) -> RouterSettings:
    """Return the settings from a section of a configuration.

    Raises:
        ConfigurationError: The settings cannot be used.
    """
    check_required_keys(top, SETTINGS_SECTIONS)
    limits = top.required("limits").section()
    rules = top.required("obligations").section()
    prices = top.optional_section("prices")
    specifics = top.optional_section("specifics")
    report = top.optional_section("report")
    tenants = top.optional("tenants", ()).entries() if top.has("tenants") else ()
    memory_mb_by_kind = specifics.optional("memory-mb-by-kind", ())
    return RouterSettings(
        classes=_parse_request_classes(top.required("classes")),
        tenants=tuple(_parse_tenant(entry.section()) for entry in tenants),
        limits=_parse_limits(limits),
        rules=_parse_rules(rules, specifics),
        prices=_parse_prices(prices, specifics),
        router_count=int(top.required("balancers").number()),
        router_index=int(top.number("ordinal")),
        zone=int(top.number("zone")),
        tick_ms=top.number("quantum"),
        discovery_mode=top.optional("membership-mode", "push").member_of(DiscoveryMode),
        when_not_loaded=specifics.optional("on-miss", "load").member_of(NotLoadedBehavior),
        allows_preloading=specifics.flag("may-order"),
        instance_keep_alive_ms=specifics.number("keep-alive"),
        preload_timeout_ms=specifics.number("order-limit"),
        reports_start_kind=specifics.flag("says-warm"),
        reports_concurrency=specifics.flag("notes-peers-in-hand"),
        over_quota_weight=top.number("over-share-worth", 1),
        load_report_source=report.optional("how", "none").member_of(LoadReportSource),
        load_report_columns=report.strings("columns"),
        memory_mb_by_kind=tuple(memory_mb.number() for memory_mb in memory_mb_by_kind.entries()),
        weight_meaning=top.optional("weight-source", "none").member_of(WeightMeaning),
        zones=top.strings("localities"),
        worker_kinds=top.strings("kinds"),
    )


def _parse_request_classes(value: ConfigValue) -> tuple[RequestClass, ...]:
    """Return the request classes, at least one: without any, no request could be accepted."""
    classes = tuple(_parse_request_class(entry.section()) for entry in value.entries())
    if not classes:
        raise value.error("a list of at least one class")
    return classes


def _parse_request_class(section: ConfigSection) -> RequestClass:
    idempotency = section.required("effect").value_in(_IDEMPOTENCY_BY_EFFECT)
    return RequestClass(
        name=section.required_string("name"),
        latency_objective_ms=section.required("goal-time").number(),
        deadline_ms=section.required("deadline").json_number(MIN_DEADLINE_MS),
        priority_weight=section.number("value", 1),
        late_priority_weight=section.number("late-worth"),
        idempotency=idempotency,
        deduplication_scope=_parse_scope(section, idempotency),
        deduplication_window_ms=section.number("repeat-window"),
        is_streaming=section.flag("stream"),
        latency_objective_work_factor=section.number_unless_empty("aim-stretch"),
    )


def _parse_scope(section: ConfigSection, idempotency: Idempotency) -> DeduplicationScope:
    """Return the scope, which has no default where workers deduplicate: each value permits other retries."""
    if idempotency is Idempotency.WITH_KEY or section.has("group"):
        return section.required("group").member_of(DeduplicationScope)
    return DeduplicationScope.ALL


def _parse_tenant(section: ConfigSection) -> Tenant:
    return Tenant(
        name=section.string("name"),
        quota_fraction=section.number("share"),
        quota_per_second=section.optional("quota-per-s", None).positive_number_or_none(),
    )


def _parse_limits(section: ConfigSection) -> Limits:
    return Limits(
        max_attempts=max(1, int(section.required("send-cap").positive_number())),  # 0.5 permits one attempt
        max_pending_requests=int(section.required("most-held").number()),
        can_cancel=section.flag("cancel"),
        allows_health_checks=section.flag("probing"),
        allows_gossip=section.flag("peers"),
        allows_hedging=section.flag("second-copies"),
        sends_retry_after=section.flag("retry-after"),
        max_retry_after_ms=section.number("max-retry-after"),
        max_attempts_per_connection=int(
            section.number_unless_empty("streams-per-conn", DEFAULT_MAX_ATTEMPTS_PER_CONNECTION)
        ),
        connect_timeout_ms=section.number_unless_empty("connect-timeout", DEFAULT_CONNECT_TIMEOUT_MS),
        idle_timeout_ms=section.number_unless_empty("conn-idle", DEFAULT_IDLE_TIMEOUT_MS),
    )


def _parse_rules(section: ConfigSection, specifics: ConfigSection) -> RuleParameters:
    return RuleParameters(
        answer_slack_ms=section.required("answer-slack").number(),
        drain_grace_ms=section.required("stop-sending-within").number(),
        slow_start_min_capacity=section.required("cold-from").number(),
        slow_start_ms=section.required("warm-after").number(),
        collapse_multiple=section.required("overload-factor").number(),
        collapse_window_ms=section.required("fall").number(),
        max_poll_delay_ms=section.number("ask-every"),
        preload_allowance=specifics.number("loads-anyway"),
        preload_share=specifics.number("load-share"),
        preload_window_ms=specifics.optional("load-window", 0).number_or_zero(MIN_WINDOW_MS),
    )


def _parse_prices(section: ConfigSection, specifics: ConfigSection) -> Prices:
    return Prices(
        fetch=section.number("origin"),
        health_check=section.number("probe"),
        peer_message=section.number("peer"),
        cross_zone=section.number("cross-zone"),
        wasted_work=section.number("waste"),
        late_failure=section.number("late-fail"),
        idle_memory=specifics.number("idle-price"),
    )
