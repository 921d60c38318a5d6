"""The list of all paths by which placements can change, and a check of source text against it.

A path is a function of the decisions that makes a ``PreloadFunction``, an ``UnloadFunction`` or a
``StartAttempt``, or that sets how many home workers there are or in which order workers become them. The
check reads the syntax tree: it finds by name a path that is not on the list, and one on it that does not ask
the gate.
"""

from __future__ import annotations

import ast
from dataclasses import dataclass

# Names of the product's code. A rename there must be followed here; the test of this list fails otherwise.
# What can bring an instance to a worker, or remove one:
PLACEMENT_CALLS = ("PreloadFunction", "UnloadFunction", "_start_attempt")
# Attributes that say where functions are wanted:
PLACEMENT_ATTRIBUTES = ("placement_order",)
# Owner and method by which settings that move home workers are followed:
SETTINGS_CALL = ("router", "update_settings")
# The name by which a path that is not listed must ask:
GATE_NAME = "gate"


@dataclass(frozen=True, slots=True)
class PlacementPath:
    """A function of a module that changes placements, by which act, and what it asks the gate for it."""

    module: str  # below the package, dotted
    function: str
    act: str
    asks_by: str  # the name in it by which it asks the gate
    question: str


PLACEMENT_PATHS = (
    PlacementPath(
        "routing.router",
        "_dispatch",
        "_start_attempt",
        "may_start_instance",
        "admit(first-copy) before; a denial keeps the call queued",
    ),
    PlacementPath(
        "routing.preloading",
        "warm_worker",
        "PreloadFunction",
        "may_start_instance",
        "admit(first-copy) before the worker is asked to load",
    ),
    PlacementPath(
        "routing.selection",
        "_candidates",
        "placement_order",
        "constraints",
        "home_workers(...) over the order by rendezvous hashing, before it is used",
    ),
    PlacementPath(
        "components.node",
        "update_settings",
        "update_settings",
        "gate",
        "admitted_settings(...) over the settings, before they are followed",
    ),
)


@dataclass(frozen=True, slots=True)
class ChangeSite:
    """A function in a source text that changes placements, and whether it asks the gate."""

    function: str
    act: str
    asks_gate: bool


def find_change_sites(source: str) -> list[ChangeSite]:
    """All such functions of a source text, in order. SyntaxError: the text is no Python."""
    gate_names = {(path.function, path.act): path.asks_by for path in PLACEMENT_PATHS}
    sites: list[ChangeSite] = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.FunctionDef):
            names = {getattr(inner, field, "") for inner in ast.walk(node) for field in ("attr", "id", "arg")}
            acts = dict.fromkeys(act for inner in ast.walk(node) for act in _acts_of(inner))
            sites += [
                ChangeSite(node.name, act, gate_names.get((node.name, act), GATE_NAME) in names)
                for act in acts
            ]
    return sites


def _acts_of(node: ast.AST) -> list[str]:
    """The acts of one node of the tree that change placements, by name."""
    if isinstance(node, ast.Call):
        name = getattr(node.func, "attr", getattr(node.func, "id", ""))
        owner = getattr(getattr(node.func, "value", None), "attr", "")
        return [name] if name in PLACEMENT_CALLS or (owner, name) == SETTINGS_CALL else []
    if isinstance(node, ast.Assign | ast.AugAssign | ast.AnnAssign):
        targets = node.targets if isinstance(node, ast.Assign) else [node.target]
        names = [
            inner.attr for target in targets for inner in ast.walk(target) if isinstance(inner, ast.Attribute)
        ]
        return [name for name in names if name in PLACEMENT_ATTRIBUTES]
    return []


def find_unlisted_sites(module: str, source: str) -> list[ChangeSite]:
    """What changes placements in a module and is not on the list."""
    listed = {(path.function, path.act) for path in PLACEMENT_PATHS if path.module == module}
    return [site for site in find_change_sites(source) if (site.function, site.act) not in listed]


def find_sites_bypassing_gate(source: str) -> list[ChangeSite]:
    """What changes placements without asking the gate."""
    return [site for site in find_change_sites(source) if not site.asks_gate]
