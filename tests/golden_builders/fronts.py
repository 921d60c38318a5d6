"""Bytes that complete routers send on loopback; bytes that vary from run to run are masked or omitted."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from tests.golden_builders.control_front import build_control_front
from tests.golden_builders.invoke_front import build_invoke_front
from tests.golden_builders.platform_front import build_platform_front

if TYPE_CHECKING:
    from tests.golden_builders.sample import Sample


def build_fronts() -> list[Sample]:
    """Return the samples of the invoke API, of the control address and of the platform protocol."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_build(Path(folder)))


async def _build(folder: Path) -> list[Sample]:
    return [
        *await build_invoke_front(folder),
        *await build_control_front(folder),
        *await build_platform_front(),
    ]
