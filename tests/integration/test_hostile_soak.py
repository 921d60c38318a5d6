"""A short soak of hostile clients and signals, and injected defects that it must find.

``python -m cedarthread.testing.hostile.soak`` plays any number of seeds.
"""

from __future__ import annotations

import pytest

from cedarthread.testing.hostile.flood import FloodSpec, Style
from cedarthread.testing.hostile.messages import MessageKind
from cedarthread.testing.hostile.rig import RigSetup
from cedarthread.testing.hostile.soak import ROUND_S, Play, draw_play, run_play
from cedarthread.testing.hostile.workers import Behavior

# Returning clients without CANCEL, floods of new names, clients that use all connections, a crowd.
SEEDS = (2, 20, 29, 35)
# For each injected defect, a flood that shows it, and a word of the violation.
DEFECTS = {
    "functions unlimited": (
        FloodSpec(MessageKind.UNSAFE, connections=8, window=32, seconds=ROUND_S),
        "memory grows",
    ),
    "turns unlimited": (FloodSpec(MessageKind.CALLS, seconds=ROUND_S), "calm client"),
    "ids forgotten": (FloodSpec(style=Style.RETURN, connections=4, seconds=ROUND_S), "executed twice"),
}


# Guards against floods under which a process exceeds its memory, starves others or runs a call twice.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_drawn_play_violates_no_rule(seed: int) -> None:
    assert run_play(draw_play(seed)) == []


@pytest.mark.parametrize("defect", DEFECTS)
def test_an_injected_defect_is_found(defect: str) -> None:
    flood, violation = DEFECTS[defect]
    behavior = Behavior.FAIL if flood.kind is MessageKind.UNSAFE else Behavior.SERVE
    setup = RigSetup(service_ms=20.0, behavior=behavior, defect=defect)
    found = run_play(Play(0, setup, (flood,), (), has_pause=False))
    assert any(violation in line for line in found), found
