"""A runner for the asynchronous scenario of a test, with a time limit."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


def run_scenario(scenario: Callable[[], Awaitable[None]], timeout_s: float = 60.0) -> None:
    """Run a scenario on a new event loop; raise TimeoutError if it takes longer than ``timeout_s``."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(timeout_s):
            await scenario()

    asyncio.run(run_with_timeout())
