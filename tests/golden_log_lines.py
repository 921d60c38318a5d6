"""Conversion of log lines to the wording that they had when the golden files were written.

``tests/golden/fleet.json`` contains a digest of all actions of a small fleet, and log lines are among the
actions. Since then log lines have become events with fields. This module rebuilds each earlier message from
the fields of its event alone, so that the digest still covers every action, the order of the actions, and
every value in a log line.
"""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Callable

Fields: TypeAlias = dict[str, str]

# A field of a logfmt line: its name, and its value with or without quotes.
_FIELD = re.compile(r' ([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"=\\]+)')
# Earlier spellings of field values; other values have not changed.
_STATES = {"pending": "due", "in_force": "in force", "lifted": "broken open"}
_PHASES = {"peer_query": "asking", "in_service": "in service"}
_CAUSES = {"timeout": "time"}


def _window_declared(fields: Fields) -> str:
    sentence = "freeze: window {window} by {author} ({reason}): {start} to {end}".format_map(fields)
    in_force_from = fields.get("late_in_force_from")
    if in_force_from is None:
        return sentence
    return f"{sentence}; too late to begin then: it is in force everywhere from {in_force_from} on"


def _phase_changed(fields: Fields) -> str:
    phase = _PHASES.get(fields["phase"], fields["phase"])
    cause = _CAUSES.get(fields["cause"], fields["cause"])
    return (
        f"return: {phase}, by {cause}, {fields['after_ms']} ms"
        f" after it came back; {fields['known_instances']} places known,"
        f" {fields['warm_fraction']} of calls found a copy"
    )


# The earlier message of each event, from its fields.
_LEGACY_MESSAGES: dict[str, Callable[[Fields], str]] = {
    "change_freeze_hold_ended": lambda fields: "freeze: no more frozen for what may be missed",
    "change_freeze_window_declared": _window_declared,
    "change_freeze_window_state_changed": lambda fields: (
        f"freeze: window {fields['window']}: {_STATES.get(fields['state'], fields['state'])}"
    ),
    "concurrent_edit_lost": lambda fields: (
        f"register: {fields['kind']} {fields['name']!r} as declared here lost to an edit made at router "
        f"{fields['winning_router']} at about the same time"
    ),
    "load_shed": lambda fields: (
        f"shed: refusing {float(fields['probability']):.2f} of calls like one that could not be answered"
        " in time"
    ),
    "overload_level_changed": "tiers: cluster overload level {level}, was {previous}".format_map,
    "recovery_phase_changed": _phase_changed,
    "replica_became_voter": lambda fields: (
        "register: seat taken, this router lacks nothing that others settled"
    ),
    "worker_ejected": "eject: worker {worker_id} set aside".format_map,
}


def legacy_message(line: str) -> str:
    """Return the earlier wording of a log line.

    Raises:
        ValueError: The line is not logfmt.
        KeyError: The event has no earlier wording in this module.
    """
    event, _, field_text = line.partition(" ")
    found = _FIELD.findall(f" {field_text}" if field_text else "")
    if field_text and "".join(f" {name}={value}" for name, value in found) != f" {field_text}":
        raise ValueError(f"not a logfmt line: {line!r}")
    fields = {name: json.loads(value) if value.startswith('"') else value for name, value in found}
    return _LEGACY_MESSAGES[event](fields)
