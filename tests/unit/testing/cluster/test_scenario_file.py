"""Scenario files: errors that name the place and the mistake, and the reading of a file."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.testing.cluster import cli
from cedarthread.testing.cluster.scenario import NodeKind
from cedarthread.testing.cluster.scenario_file import ScenarioError, load_scenario, parse_scenario

if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize(
    ("document", "expected_text"),
    [
        ({"router": 3}, "router: unknown key"),
        ({"routers": "3"}, "routers: '3' is not of type int"),
        ({"routers": True}, "routers: True is not of type int"),
        ({"rate": -1.0}, "rate: -1.0 is negative"),
        ({"runners": 0}, "runners: must be above zero"),
        ({"plant": "weeds"}, "plant: 'weeds' is not one of chance"),
        ({"fault": [{"kind": "flood", "who": "router"}]}, "fault 1: kind 'flood'"),
        ({"fault": [{"kind": "cut", "who": "router"}]}, "fault 1: cut needs `to`"),
        ({"tenants": "hydro 0.7, steel 0.4"}, "tenants: 'hydro 0.7, steel 0.4'"),
        ({"fault": [{"kind": "kill", "who": "runner:1"}]}, "fault 1: kill applies to a router"),
        (
            {"fault": [{"kind": "disk", "who": "router:1", "what": "odd"}]},
            "fault 1: what 'odd' is not one of",
        ),
        (
            {"fault": [{"kind": "declare", "who": "router:1"}]},
            "fault 1: router:1 has no initial fleet config",
        ),
        ({"fault": [{"kind": "kill", "who": "router:99"}]}, "fault 1: who: 'router:99' is outside 0 to 23"),
        ({"fault": [{"kind": "kill", "who": "all"}]}, "fault 1: who: 'all' must have the form"),
        ({"fault": [{"kind": "kill", "who": "router", "at": 5, "until": 5}]}, "fault 1: at 5 and until 5"),
        ({"fault": [{"kind": "kill", "who": "router", "when": 5}]}, "fault 1: unknown key: when"),
    ],
)
def test_a_scenario_error_names_the_place_and_the_mistake(
    document: dict[str, Any], expected_text: str
) -> None:
    with pytest.raises(ScenarioError) as error:
        parse_scenario(document)
    assert expected_text in str(error.value)


def test_a_scenario_file_is_read_and_the_error_for_a_missing_or_malformed_file_names_it(
    tmp_path: Path,
) -> None:
    file = tmp_path / "one.toml"
    file.write_text(
        'name = "x"\nrate = 50\n[[fault]]\nkind = "stop"\nat = 1\nuntil = 2\nwho = "router:1-2"\n'
    )
    scenario = load_scenario(file)
    assert scenario.calls_per_second == 50
    assert scenario.faults[0].targets.includes(NodeKind.ROUTER, 2)
    file.write_text("name = ")
    for unusable_file in (file, tmp_path / "none.toml"):
        with pytest.raises(ScenarioError, match=unusable_file.name):
            load_scenario(unusable_file)
        assert cli.main(["rig", "run", str(unusable_file)]) == 2
