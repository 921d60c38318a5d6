"""Log lines in the wording they had when the golden files were written.

``tests/golden/fleet.json`` holds a digest of all actions of a small fleet, log lines among them. Since then
lines are events with fields. Each is put back into its old sentence here, from its fields alone, so that the
digest still holds every action, its order, and every value that a line tells. An unknown event raises.
"""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Callable

Fields: TypeAlias = dict[str, str]

_FIELD = re.compile(r' ([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"=\\]+)')
_STATES = {"pending": "due", "in_force": "in force", "lifted": "broken open"}
_PHASES = {"peer_query": "asking", "in_service": "in service"}
_CAUSES = {"timeout": "time"}


def _window_declared(fields: Fields) -> str:
    line = "freeze: window {window} by {author} ({reason}): {start} to {end}".format(**fields)
    since = fields.get("late_in_force_from")
    return (
        line
        if since is None
        else f"{line}; too late to begin then: it is in force everywhere from {since} on"
    )


def _phase_changed(fields: Fields) -> str:
    phase, cause = fields["phase"], fields["cause"]
    return (
        f"return: {_PHASES.get(phase, phase)}, by {_CAUSES.get(cause, cause)}, {fields['after_ms']} ms"
        f" after it came back; {fields['known_instances']} places known,"
        f" {fields['warm_fraction']} of calls found a copy"
    )


_SENTENCES: dict[str, Callable[[Fields], str]] = {
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


def old_sentence(line: str) -> str:
    """The line as it was worded then. Raises where the line is not logfmt, or its event is not known here."""
    event, _, rest = line.partition(" ")
    found = _FIELD.findall(f" {rest}" if rest else "")
    if rest and "".join(f" {name}={value}" for name, value in found) != f" {rest}":
        raise ValueError(f"no logfmt: {line!r}")
    fields = {name: json.loads(value) if value.startswith('"') else value for name, value in found}
    return _SENTENCES[event](fields)
