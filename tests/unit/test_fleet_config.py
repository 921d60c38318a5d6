"""The operators' fleet file, which is accepted as a whole or rejected with location and problem."""

from __future__ import annotations

from pathlib import Path

import pytest

from cedarthread.fleet_config import FleetConfigError, load_fleet_config, parse_fleet_config

WINDOW = """
[[freeze]]
id = "cycle"
start = 2026-12-18T16:00:00-05:00
end = 2026-12-18T22:00:00-05:00
author = "desk"
reason = "nominations close"
"""
TIERS = '[[tier]]\nname = "firm"\n[[tier]]\nname = "standard"\n'
CONTRACT = TIERS + '[[contract]]\ntenant = "north"\ntier = "firm"\nrate = 40\n'


def test_the_shipped_file_is_valid() -> None:
    fleet = load_fleet_config(Path(__file__).parents[2] / "deploy" / "fleet.toml")
    assert [tier.name for tier in fleet.tier] == ["firm", "standard", "interruptible"]
    assert fleet.disk is None
    assert not fleet.freeze


def test_a_complete_file_is_decoded() -> None:
    fleet = parse_fleet_config(
        (CONTRACT + "floor = 0.5\n" + WINDOW + 'frozen = ["order", "unload"]\n').encode()
    )
    assert fleet.contract[0].floor == 0.5
    assert fleet.freeze[0].frozen == ("order", "unload")
    assert (fleet.freeze[0].end - fleet.freeze[0].start).total_seconds() == 6 * 3600


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        (CONTRACT + "floor = 1.01\n", "contract[0] (north): floor: 1.01 is outside the range 0 to 1"),
        (CONTRACT + "flor = 0.5\n", "flor"),
        (CONTRACT + CONTRACT.removeprefix(TIERS), "contract[1]: 'north' appears more than once"),
        (
            CONTRACT.replace('tier = "firm"', 'tier = "frim"'),
            "tier 'frim' is unknown; known tiers: firm, standard",
        ),
        (CONTRACT.replace("40", "nan"), "contract[0] (north): rate: nan is outside the range"),
        (CONTRACT.replace("40", "-1"), "rate: -1.0 is outside the range"),
        (TIERS + '[[tier]]\nname = "firm"\n', "tier[2]: 'firm' appears more than once"),
        ('[[tier]]\nname = ""\n', "tier[0]: '' is not a name"),
        ("[sharing]\nperiod = 1\n", "sharing.period: 1.0 is outside the range 50 to 10000"),
        ("[overload]\nonset = 1.0\nend = 1.2\n", "overload.end: 1.2 is outside the range 0.1 to 1"),
        (
            WINDOW.replace("22:00", "15:00"),
            "freeze[0] (cycle): duration in seconds: -3600.0 is outside the range",
        ),
        (
            WINDOW.replace("12-18T22", "12-19T22"),
            "freeze[0] (cycle): duration in seconds: 108000.0 is outside the range 1 to 43200",
        ),
        (
            WINDOW.replace("-05:00", ""),
            "freeze[0] (cycle): start: 2026-12-18T16:00:00 has no UTC offset",
        ),
        (WINDOW + 'functions = ["7F"]\n', "freeze[0] (cycle): functions: '7F' is not 16 hex digits"),
        (WINDOW + 'frozen = ["everything"]\n', "$.freeze[0].frozen[0]"),
        (WINDOW + "allowance = -1\n", "allowance: -1 is outside the range"),
        (
            '[[revoke]]\nfreeze = "x"\nauthor = "a"\nreason = "r"\n',
            "revoke: freeze window 'x' is not declared in this file",
        ),
        ("[[freeze]\n", "line 1"),
    ],
)
def test_an_error_states_location_and_problem(text: str, expected_error: str) -> None:
    with pytest.raises(FleetConfigError) as raised:
        parse_fleet_config(text.encode())
    assert expected_error in str(raised.value)


def test_invalid_utf8_and_a_missing_file_are_errors(tmp_path: Path) -> None:
    with pytest.raises(FleetConfigError):
        parse_fleet_config(b"\xff\xfe")
    with pytest.raises(FleetConfigError, match=r"nowhere\.toml"):
        load_fleet_config(tmp_path / "nowhere.toml")
