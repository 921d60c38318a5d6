"""The written list of all paths by which placement can change, and a check of source text against it.

A path is a function of the decisions that makes an ``Order``, an ``Unload`` or a ``Send``, or that sets how
many homes there are or in which order workers become them. The check reads the syntax tree: a new path that
is not on the list, or one on it that does not ask the gate, is found by name.
"""

from __future__ import annotations

import ast
from dataclasses import dataclass

PLACEMENT_CALLS = ("Order", "Unload", "_send")  # what can bring a copy, or take one away
PLACEMENT_ATTRIBUTES = ("order",)  # attributes that say where functions are wanted
GATE_NAME = "gate"  # the name that a path which is not listed must ask by


@dataclass(frozen=True, slots=True)
class PlacementPath:
    """A function of a module that changes placement, by which act, and what it asks the gate for it."""

    module: str
    function: str
    act: str
    asks_by: str  # the name in it by which it asks the gate
    question: str


PLACEMENT_PATHS = (
    PlacementPath("decide", "_place", "_send", "_begins", "so may(first-copy), before; a no holds the call"),
    PlacementPath("decide", "_order", "Order", "_begins", "may(order) before the worker is taken to load"),
    PlacementPath(
        "decide",
        "_near",
        "order",
        "advice",
        "homes(...) over what rank and membership give, before they are used",
    ),
    PlacementPath(
        "decisions", "retune", "retune", "gate", "retuned(...) over the settings, before they are followed"
    ),
)


@dataclass(frozen=True, slots=True)
class ChangeSite:
    """A function in a source text that changes placement, and whether it asks the gate."""

    function: str
    act: str
    asks_gate: bool


def find_change_sites(source: str) -> list[ChangeSite]:
    """All such functions of a source text, in order. SyntaxError for text that is no Python."""
    out: list[ChangeSite] = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.FunctionDef):
            names = {getattr(n, kind, "") for n in ast.walk(node) for kind in ("attr", "id", "arg")}
            by = {(path.function, path.act): path.asks_by for path in PLACEMENT_PATHS}
            acts = dict.fromkeys(act for inner in ast.walk(node) for act in _acts_of(inner))
            out += [ChangeSite(node.name, act, by.get((node.name, act), GATE_NAME) in names) for act in acts]
    return out


def _acts_of(node: ast.AST) -> list[str]:
    if isinstance(node, ast.Call):
        name = getattr(node.func, "attr", getattr(node.func, "id", ""))
        of = getattr(getattr(node.func, "value", None), "attr", "")
        return [name] if name in PLACEMENT_CALLS or (of, name) == ("router", "retune") else []
    if isinstance(node, ast.Assign | ast.AugAssign | ast.AnnAssign):
        targets = node.targets if isinstance(node, ast.Assign) else [node.target]
        names = [n.attr for t in targets for n in ast.walk(t) if isinstance(n, ast.Attribute)]
        return [name for name in names if name in PLACEMENT_ATTRIBUTES]
    return []


def find_unlisted_sites(module: str, source: str) -> list[ChangeSite]:
    """What changes placement in a module and is not on the list."""
    listed = {(path.function, path.act) for path in PLACEMENT_PATHS if path.module == module}
    return [one for one in find_change_sites(source) if (one.function, one.act) not in listed]


def find_sites_bypassing_gate(module: str, source: str) -> list[ChangeSite]:
    """What goes around the gate: it changes placement without asking."""
    return [one for one in find_change_sites(source) if not one.asks_gate]
