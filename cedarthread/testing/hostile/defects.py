"""Defects for ``cluster/injected_defects.py`` that take out a limit, to show that the soak finds them."""

from __future__ import annotations


def unlimited_functions() -> None:
    """Keep a record of each function that was ever called recently."""
    from cedarthread.routing.function_table import FunctionTable

    FunctionTable._make_room = lambda self: None  # type: ignore[method-assign]


def unlimited_turns() -> None:
    """Let a look at a client last for as long as the client sends."""
    from cedarthread.limits import input_turns

    input_turns.LOOK_MESSAGES_PER_CONNECTION = 10**9
    input_turns.LOOK_TIME_S = 1e9


def forget_executed_ids() -> None:
    """Accept each id again as soon as its call has ended."""
    from cedarthread.dispatch.executed_ids import ExecutedIds

    ExecutedIds.contains = lambda self, call_id, now_ms: False  # type: ignore[method-assign]
