"""The limits that follow from the configured memory."""

from __future__ import annotations

import pytest

from cedarthread.limits.resource_limits import (
    BYTES_PER_CALL_ID,
    BYTES_PER_FUNCTION,
    RESTING_MEMORY_BYTES,
    derive_limits,
)

MB = 2**20


@pytest.mark.parametrize("memory_mb", [96, 128, 192, 2048])
def test_all_limits_together_leave_a_quarter_of_the_available_memory(memory_mb: int) -> None:
    limits = derive_limits(memory_mb * MB)
    counted_bytes = (
        limits.pending_body_bytes
        + limits.queued_output_bytes
        + limits.input_buffer_bytes
        + limits.functions * BYTES_PER_FUNCTION
        + limits.call_ids * BYTES_PER_CALL_ID
    )
    assert counted_bytes <= 0.75 * (memory_mb * MB - RESTING_MEMORY_BYTES)


def test_a_process_with_less_memory_than_it_needs_at_rest_has_positive_limits() -> None:
    limits = derive_limits(8 * MB)
    assert min(limits.functions, limits.call_ids, limits.pending_body_bytes) > 0
