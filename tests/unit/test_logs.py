"""The format of log lines."""

from __future__ import annotations

import pytest

from cedarthread.logs import format_event


def test_an_event_without_fields_is_its_name() -> None:
    assert format_event("identities_reloaded") == "identities_reloaded"


def test_fields_follow_the_event_in_order() -> None:
    assert format_event("endpoints_updated", serial=7, changed=2, listed=36) == (
        "endpoints_updated serial=7 changed=2 listed=36"
    )


@pytest.mark.parametrize(
    ("value", "text"),
    [
        ("", '""'),
        ("two words", '"two words"'),
        ('a "quote"', '"a \\"quote\\""'),
        ("key=value", '"key=value"'),
        ("line\nbreak", '"line\\nbreak"'),
        ("back\\slash", '"back\\\\slash"'),
        ("Lévis", "Lévis"),
        (0.25, "0.25"),
        (None, "None"),
        (True, "true"),
        (False, "false"),
    ],
)
def test_values_that_logfmt_cannot_express_unquoted_are_quoted(value: object, text: str) -> None:
    assert format_event("event", value=value) == f"event value={text}"
