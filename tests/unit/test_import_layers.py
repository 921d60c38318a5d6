"""Imports between the layers of docs/ARCHITECTURE.md, which must form no cycle.

A file may import from its own layer and from lower ones. Imports for annotations count too.
"""

from __future__ import annotations

import ast
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).parents[2]
PACKAGE = "cedarthread"

# From the lowest layer to the highest; each name is a package or a module directly in ``cedarthread``.
LAYERS = (
    (
        "errors",
        "logs",
        "number_checks",
        "config_keys",
        "config_section",
        "missing_keys",
        "statistics",
        "limits",
        "model",
        "settings_parser",
        "fleet_config",
    ),
    ("components",),
    ("routing",),
    ("change_freeze", "escrow", "gossip", "membership", "persistence", "priority", "recovery", "replication"),
    ("node",),
    ("dispatch", "transport"),
    ("protocols", "simulator"),
    ("config",),
    ("lifecycle",),
    ("service",),
    ("cli", "__main__"),
)
LAYER_OF = {name: number for number, names in enumerate(LAYERS) for name in names}
TESTING_PACKAGE = "testing"


def _module_name(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {_module_name(path): path for path in sorted((ROOT / PACKAGE).rglob("*.py"))}


def _imported_modules(path: Path) -> Iterator[str]:
    """Yield every module of the package that a file imports, also inside functions and for annotations."""
    for node in ast.walk(ast.parse(path.read_text(), str(path))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name in MODULES)
        elif isinstance(node, ast.ImportFrom) and node.module in MODULES:
            submodules = [f"{node.module}.{alias.name}" for alias in node.names]
            yield from (name if name in MODULES else node.module for name in submodules)


IMPORTS = {name: sorted(set(_imported_modules(path)) - {name}) for name, path in MODULES.items()}


def _top_level_name(module: str) -> str:
    return module.split(".")[1] if "." in module else ""


def _runtime_modules() -> Iterator[str]:
    for module in MODULES:
        if _top_level_name(module) not in ("", TESTING_PACKAGE):
            yield module


def test_every_module_belongs_to_a_layer() -> None:
    assert [module for module in _runtime_modules() if _top_level_name(module) not in LAYER_OF] == []


def test_no_module_imports_from_a_higher_layer() -> None:
    upward_imports = [
        f"{module} imports {imported}"
        for module in _runtime_modules()
        for imported in IMPORTS[module]
        if _top_level_name(imported) in LAYER_OF
        and LAYER_OF[_top_level_name(imported)] > LAYER_OF[_top_level_name(module)]
    ]
    assert upward_imports == []


def test_only_the_command_line_imports_the_testing_package() -> None:
    importers = [
        module
        for module in _runtime_modules()
        if any(_top_level_name(imported) == TESTING_PACKAGE for imported in IMPORTS[module])
    ]
    assert importers == [f"{PACKAGE}.cli"]


def _find_cycle(start: str) -> list[str]:
    """Return a chain of imports from a module back to itself, or an empty list."""
    paths = [[start]]
    seen = {start}
    while paths:
        path = paths.pop()
        for imported in IMPORTS[path[-1]]:
            if imported == start:
                return [*path, start]
            if imported not in seen:
                seen.add(imported)
                paths.append([*path, imported])
    return []


def test_imports_form_no_cycle() -> None:
    cycles = {" -> ".join(sorted(set(cycle))) for module in MODULES if (cycle := _find_cycle(module))}
    assert sorted(cycles) == []
