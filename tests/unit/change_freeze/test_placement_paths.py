"""Tests that the list of code paths that change placements matches the source."""

from __future__ import annotations

import re
from pathlib import Path

from cedarthread.change_freeze import placement_paths

DECISION_FOLDERS = ("routing", "node", "components")


def _decision_modules() -> dict[str, str]:
    """Return the source by dotted name of all modules that determine where functions are placed."""
    package = Path(placement_paths.__file__).parents[1]
    return {
        f"{folder}.{file.stem}": file.read_text()
        for folder in DECISION_FOLDERS
        for file in sorted((package / folder).glob("*.py"))
    }


def test_every_placement_path_is_listed_and_queries_the_gate() -> None:
    modules = _decision_modules()
    for module, source in modules.items():
        assert placement_paths.find_unlisted_sites(module, source) == []
        assert placement_paths.find_sites_bypassing_gate(source) == []
    assert {
        (module, site.function, site.operation)
        for module, source in modules.items()
        for site in placement_paths.find_change_sites(source)
    } == {(path.module, path.function, path.operation) for path in placement_paths.PLACEMENT_PATHS}


def test_a_listed_path_that_no_longer_queries_the_gate_is_found() -> None:
    modules = _decision_modules()
    for path in placement_paths.PLACEMENT_PATHS:
        bypassing = re.sub(rf"\b{path.gate_name}\b", "free", modules[path.module])
        sites = placement_paths.find_sites_bypassing_gate(bypassing)
        assert path.function in [site.function for site in sites]


def test_a_new_placement_path_is_found_and_must_query_the_gate() -> None:
    added = "def _prefetch(self):\n    self.actions.append(PreloadFunction(1, 2, 1))\n"
    by_module = added.replace("PreloadFunction", "actions.PreloadFunction")
    for source in (added, by_module):
        unlisted = placement_paths.find_unlisted_sites("routing.router", source)
        assert [site.function for site in unlisted] == ["_prefetch"]
        assert placement_paths.find_sites_bypassing_gate(source) == unlisted
    gated = added.replace("self.actions", "if self.gate.admit(self.now, 1).is_permitted: self.actions")
    assert placement_paths.find_sites_bypassing_gate(gated) == []
