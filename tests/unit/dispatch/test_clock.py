"""The clock of the dispatcher."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING

from cedarthread.dispatch import clock as clock_module

if TYPE_CHECKING:
    import pytest


def test_a_step_of_the_wall_clock_does_not_change_the_monotonic_clock(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    wall_s = [1_760_000_000.0]
    monotonic_s = [50.0]
    clocks = SimpleNamespace(time=lambda: wall_s[0], monotonic=lambda: monotonic_s[0])
    monkeypatch.setattr(clock_module, "time", clocks)
    clock = clock_module.monotonic_unix_clock_ms()
    assert clock() == 1_760_000_000_000.0
    monotonic_s[0] += 2.0
    for step_s in (-3600.0, 7200.0):
        wall_s[0] += step_s
        assert clock() == 1_760_000_002_000.0
