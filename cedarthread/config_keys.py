"""The table of the configuration's keys, which states what counts as a missing key.

* Required keys must be in every file: those without which the router cannot serve, and the figures of each
  rule that applies. They have no default, because a default could be looser than what the operators mean.
* Persistent keys may be absent at startup, but a file that replaces the one in force must have those that
  this one has.

Keys that the table does not list are never missing: unknown keys, and ``prices.fleet`` and
``classes[].aim-stretch``, which the operators' pages call optional. ``missing_keys`` makes the checks.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.config_section import ConfigSection

SETTINGS_KEY = "settings"  # the key of the settings in the configuration, with which each key path begins
LIST_SUFFIX = "[]"  # stands in a path for each entry of a list


@dataclass(frozen=True, slots=True)
class ConditionalKeys:
    """Keys that are required in a section if another key has one of certain values."""

    keys: tuple[str, ...]
    condition_key: str
    condition_values: tuple[object, ...]
    is_condition_at_root: bool = False  # the other key is not in the section itself, but in the whole object

    def apply_to(self, section: ConfigSection, root: ConfigSection) -> bool:
        """Return whether the keys are required in a section of an object."""
        condition_section = root if self.is_condition_at_root else section
        return condition_section.values.get(self.condition_key) in self.condition_values


@dataclass(frozen=True, slots=True)
class SectionKeys:
    """The known keys of one section of the configuration."""

    path: str  # path of keys to the section, for example ``classes[]``; empty for the whole object
    required: tuple[str, ...] = ()
    conditional: tuple[ConditionalKeys, ...] = ()
    # Keys that a file may lack at startup, but not once the file in force has them. In a list with names they
    # are compared entry by entry, in another list those that all entries have.
    persistent: tuple[str, ...] = ()
    has_names: bool = False  # the section is an entry of a list whose entries have names that stay


# The keys of the whole file except its settings. ``listen`` may also come from the environment.
CONFIG_SECTIONS = (
    SectionKeys(
        "",
        required=("listen", SETTINGS_KEY),
        persistent=(
            "name",
            "seed",
            "limits",
            "dns",
            "control",
            "known",
            "peer_listen",
            "peers",
            "peers_all",
        ),
    ),
    SectionKeys("limits", persistent=("cores", "memory_mb", "sockets")),
    SectionKeys("known", persistent=("n", "events")),
    SectionKeys("known.events[]", required=("n", "members")),
    SectionKeys("known.events[].members", required=("endpoints",), persistent=("index", "snapshot")),
    SectionKeys(
        "known.events[].members.endpoints[]",
        required=("name", "address", "zone", "type", "status"),
        conditional=(ConditionalKeys(("group", "since_ms"), "status", ("ready", "draining")),),
        persistent=("weight",),
    ),
)

# The keys of the settings, of the file and of the simulator alike.
SETTINGS_SECTIONS = (
    SectionKeys(
        "",
        required=("limits", "obligations", "classes", "balancers"),
        persistent=(
            "blend",
            "callers",
            "family",
            "kinds",
            "localities",
            "membership-mode",
            "ordinal",
            "over-share-worth",
            "prices",
            "quantum",
            "report",
            "specifics",
            "stages",
            "tenants",
            "tier",
            "weight-source",
            "worth-by",
            "zone",
        ),
    ),
    SectionKeys(
        "limits",
        required=("send-cap", "most-held"),
        persistent=(
            "cancel",
            "conn-idle",
            "connect-timeout",
            "cpu-us-per-request",
            "cpu-us-per-s",
            "max-retry-after",
            "peers",
            "probing",
            "retry-after",
            "second-copies",
            "streams-per-conn",
        ),
    ),
    SectionKeys(
        "obligations",
        required=(
            "answer-slack",
            "stop-sending-within",
            "cold-from",
            "warm-after",
            "overload-factor",
            "fall",
        ),
        conditional=(
            ConditionalKeys(("ask-every",), "membership-mode", ("ask",), is_condition_at_root=True),
        ),
        persistent=("ask-every",),
    ),
    SectionKeys(
        "classes[]",
        required=("name", "goal-time", "deadline", "effect"),
        conditional=(ConditionalKeys(("group", "repeat-window"), "effect", ("dedup",)),),
        persistent=("group", "late-worth", "repeat-window", "stream", "value"),
        has_names=True,
    ),
    SectionKeys("tenants[]", persistent=("name", "quota-per-s", "share"), has_names=True),
    SectionKeys(
        "specifics",
        conditional=(ConditionalKeys(("load-window", "loads-anyway", "load-share"), "may-order", (True,)),),
        persistent=(
            "idle-price",
            "keep-alive",
            "load-share",
            "load-window",
            "loads-anyway",
            "may-order",
            "memory-mb-by-kind",
            "notes-peers-in-hand",
            "on-miss",
            "order-limit",
            "report-x0",
            "report-x1",
            "says-warm",
        ),
    ),
    SectionKeys("report", persistent=("columns", "how")),
    SectionKeys("blend", persistent=("whole", "worst-class", "worst-tenant", "worst-window")),
    SectionKeys("callers", persistent=("marks-retry",)),
    SectionKeys(
        "prices",
        persistent=(
            "connection",
            "cross-zone",
            "handshake",
            "late-fail",
            "membership-mode",
            "moves",
            "origin",
            "peer",
            "probe",
            "waste",
        ),
    ),
)
