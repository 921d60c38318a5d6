"""Missing keys of the configuration file: at startup, and in a file that replaces the one in force."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest

from cedarthread import config
from cedarthread.config_keys import CONFIG_SECTIONS, SETTINGS_SECTIONS
from cedarthread.errors import ConfigurationError
from cedarthread.missing_keys import check_replacement
from tests.unit.config_document import (
    ALL_PATHS,
    CLASS_PATH,
    DOCUMENT,
    ENDPOINT_PATH,
    OPTIONAL_PATHS,
    REQUEST_CLASS,
    REQUIRED_PATHS,
    document_with,
    document_without,
    parent_and_key,
)


def load(document: dict[str, Any]) -> config.Config:
    return config.decode(json.dumps(document).encode(), {}, "config.json")


def replace(in_force: dict[str, Any], new: dict[str, Any]) -> None:
    """Load a file, then replace it as on SIGHUP."""
    loaded = load(in_force)
    check_replacement(load(new).key_inventory, loaded.key_inventory)


def test_the_complete_file_has_every_known_key() -> None:
    """Guards against a key in the table of known keys that no test here removes."""
    known_paths = {
        ".".join(part for part in (prefix, section.path, key) if part).replace("[]", "[0]")
        for prefix, sections in (("", CONFIG_SECTIONS), ("settings", SETTINGS_SECTIONS))
        for section in sections
        for key in (
            *section.required,
            *section.persistent,
            *(key for condition in section.conditional for key in condition.keys),
        )
    }
    assert known_paths == set(ALL_PATHS) - OPTIONAL_PATHS


@pytest.mark.parametrize("key_path", ALL_PATHS)
def test_a_file_that_lacks_any_key_of_the_file_in_force_is_rejected(key_path: str) -> None:
    """Guards against a missing key that is read as a looser rule; optional keys may go."""
    if key_path in OPTIONAL_PATHS:
        replace(DOCUMENT, document_without(key_path))
        return
    section_path, _, key = key_path.rpartition(".")
    location = f"{section_path}: " if section_path else ""
    with pytest.raises(ConfigurationError) as raised:
        replace(DOCUMENT, document_without(key_path))
    reason = (
        f'missing required key "{key}"'
        if key_path in REQUIRED_PATHS
        else f'missing key "{key}", which the configuration in force has'
    )
    assert str(raised.value) == f"config.json: {location}{reason}"


@pytest.mark.parametrize("key_path", sorted(set(ALL_PATHS) - REQUIRED_PATHS))
def test_a_first_file_may_lack_a_key_that_states_no_rule(key_path: str) -> None:
    assert load(document_without(key_path)).port == 5050


@pytest.mark.parametrize("value", [None, ""])
@pytest.mark.parametrize("key_path", ["settings.limits.conn-idle", "control", "peer_listen"])
def test_a_key_with_an_empty_value_counts_as_missing(key_path: str, value: object) -> None:
    changed = document_with(key_path, value)
    assert load(changed).port == 5050
    with pytest.raises(ConfigurationError, match="which the configuration in force has"):
        replace(DOCUMENT, changed)


@pytest.mark.parametrize(
    ("key_path", "other_value", "missing"),
    [
        (f"{CLASS_PATH}.effect", "retryable", f"{CLASS_PATH}.group"),
        (f"{CLASS_PATH}.effect", "fragile", f"{CLASS_PATH}.repeat-window"),
        ("settings.membership-mode", "push", "settings.obligations.ask-every"),
        ("settings.specifics.may-order", False, "settings.specifics.load-window"),
        (f"{ENDPOINT_PATH}.status", "gone", f"{ENDPOINT_PATH}.since_ms"),
    ],
)
def test_a_first_file_may_lack_the_figure_of_a_rule_that_does_not_apply(
    key_path: str, other_value: object, missing: str
) -> None:
    document = document_with(key_path, other_value)
    section, key = parent_and_key(document, missing)
    del section[key]
    assert load(document).port == 5050


def test_keys_that_the_file_in_force_lacks_may_be_absent_and_may_be_added() -> None:
    without_reports = document_without("settings.report")
    replace(without_reports, without_reports)
    replace(without_reports, DOCUMENT)


def with_classes(*classes: dict[str, Any]) -> dict[str, Any]:
    document = copy.deepcopy(DOCUMENT)
    document["settings"]["classes"] = list(classes)
    return document


def test_classes_and_tenants_are_compared_by_name_and_may_be_added_dropped_and_moved() -> None:
    plain = {key: REQUEST_CLASS[key] for key in ("goal-time", "deadline", "value")}
    check = plain | {"name": "check", "effect": "retryable"}
    audit = plain | {"name": "audit", "effect": "retryable"}
    in_force = with_classes(check, REQUEST_CLASS)
    replace(in_force, with_classes(REQUEST_CLASS, audit, check))
    replace(in_force, with_classes(audit))
    replace(DOCUMENT, document_with("settings.tenants", []))
    other_tenant = DOCUMENT["settings"]["tenants"][0] | {"name": "south"}
    replace(DOCUMENT, document_with("settings.tenants", [other_tenant]))


@pytest.mark.parametrize(
    ("key", "in_force_class"), [("group", "revise"), ("value", "audit"), ("stream", "audit")]
)
def test_a_class_must_have_the_keys_it_had_and_a_new_one_those_of_all_classes(
    key: str, in_force_class: str
) -> None:
    changed = REQUEST_CLASS | {"name": in_force_class, "effect": "retryable"}
    del changed[key]
    with pytest.raises(ConfigurationError, match=rf'classes\[0\]: missing key "{key}"'):
        replace(DOCUMENT, with_classes(changed))


def with_endpoints(*endpoints: dict[str, Any]) -> dict[str, Any]:
    document = copy.deepcopy(DOCUMENT)
    document["known"]["events"][0]["members"]["endpoints"] = list(endpoints)
    return document


def test_workers_may_come_and_go_but_each_listed_one_has_the_keys_that_all_have() -> None:
    [endpoint] = DOCUMENT["known"]["events"][0]["members"]["endpoints"]
    other = endpoint | {"name": "s-0000000b"}
    without_weight = {key: value for key, value in other.items() if key != "weight"}
    replace(DOCUMENT, with_endpoints(other, endpoint))
    replace(DOCUMENT, with_endpoints())
    replace(DOCUMENT, with_endpoints(endpoint, without_weight | {"status": "gone"}))
    replace(with_endpoints(endpoint, without_weight), with_endpoints(without_weight))
    with pytest.raises(ConfigurationError, match=r'endpoints\[\]: missing key "weight", which'):
        replace(DOCUMENT, with_endpoints(endpoint, without_weight))


def test_unknown_keys_may_come_and_go() -> None:
    with_unknown_keys = DOCUMENT | {"a-key-of-tomorrow": 1}
    with_unknown_keys["settings"] = DOCUMENT["settings"] | {"a-key-of-tomorrow": {"of": "any shape"}}
    replace(DOCUMENT, with_unknown_keys)
    replace(with_unknown_keys, DOCUMENT)


def test_the_environment_may_take_the_place_of_the_address_for_clients() -> None:
    raw = json.dumps(document_without("listen")).encode()
    assert config.decode(raw, {config.LISTEN_VARIABLE: "127.0.0.1:6000"}).port == 6000
