"""The list of all code paths that change placements, and a check of source text against the list.

A path is a function that creates a ``PreloadFunction`` or an ``UnloadFunction``, calls ``_start_attempt``
(which creates a ``StartAttempt``), sets the order of workers that determines the home workers, or passes new
settings to the router, which may change the number or the order of home workers. The check searches the
syntax tree by name. It finds paths that are not on the list, and paths that do not query the admission gate.
"""

from __future__ import annotations

import ast
from dataclasses import dataclass

# The constants below name functions and attributes of other modules. A rename there must be repeated here;
# otherwise the test of this list fails.
# Calls that can load an instance on a worker, or unload one:
PLACEMENT_CALLS = ("PreloadFunction", "UnloadFunction", "_start_attempt")
# Attributes that determine the home workers of functions:
PLACEMENT_ATTRIBUTES = ("placement_order",)
# Attribute and method through which new settings reach the router, which may move home workers:
SETTINGS_CALL = ("router", "update_settings")
# The name by which a path that is not on the list must refer to the gate:
DEFAULT_GATE_NAME = "gate"


@dataclass(frozen=True, slots=True)
class PlacementPath:
    """A function that changes placements, and the name through which the function queries the gate."""

    module: str  # dotted name of the module below the package
    function: str
    operation: str
    gate_name: str  # a name in the function through which the function queries the gate
    gate_call: str  # the gate's method, and when the function calls the method


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
        "select_warm_worker",
        "PreloadFunction",
        "may_start_instance",
        "admit(first-copy) before the worker is asked to load",
    ),
    PlacementPath(
        "routing.selection",
        "_candidates",
        "placement_order",
        "constraints",
        "home_workers(...) on the order by rendezvous hashing, before it is used",
    ),
    PlacementPath(
        "node.routing_node",
        "update_settings",
        "update_settings",
        "gate",
        "admitted_settings(...) on the settings, before they are applied",
    ),
)


@dataclass(frozen=True, slots=True)
class ChangeSite:
    """A function in a source text that changes placements, and whether the function queries the gate."""

    function: str
    operation: str
    uses_gate: bool


def find_change_sites(source: str) -> list[ChangeSite]:
    """Return the functions of a source text that change placements, in the order of the syntax tree.

    Raises:
        SyntaxError: The text is not valid Python.
    """
    gate_names = {(path.function, path.operation): path.gate_name for path in PLACEMENT_PATHS}
    sites: list[ChangeSite] = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.FunctionDef):
            names = {getattr(inner, field, "") for inner in ast.walk(node) for field in ("attr", "id", "arg")}
            operations = dict.fromkeys(
                operation for inner in ast.walk(node) for operation in _operations_of(inner)
            )
            sites += [
                ChangeSite(
                    node.name, operation, gate_names.get((node.name, operation), DEFAULT_GATE_NAME) in names
                )
                for operation in operations
            ]
    return sites


def _operations_of(node: ast.AST) -> list[str]:
    """Return the names of the calls and attributes by which one syntax node changes placements."""
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
    """Return the functions of a module that change placements and are not on the list."""
    listed = {(path.function, path.operation) for path in PLACEMENT_PATHS if path.module == module}
    return [site for site in find_change_sites(source) if (site.function, site.operation) not in listed]


def find_sites_bypassing_gate(source: str) -> list[ChangeSite]:
    """Return the functions that change placements without querying the gate."""
    return [site for site in find_change_sites(source) if not site.uses_gate]
