"""Behaviors of a ``ScriptedWorker`` that several integration tests share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from cedarthread.testing.fakes.scripted import ScriptedWorker


def leave_unanswered(_worker: ScriptedWorker, _message: dict[str, Any]) -> None:
    """Accept a call and send no response."""
