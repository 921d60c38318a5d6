"""The limits on the memory that clients can make a process hold, derived from the configured memory.

Each limit is a fraction of the memory beyond what the process uses at rest. The fractions sum to well under
one, because Python objects, the allocator and the garbage collector need memory beside the counted bytes.
"""

from __future__ import annotations

from dataclasses import dataclass

RESTING_MEMORY_BYTES = 26 * 2**20  # memory use of a process without any calls
MIN_AVAILABLE_FRACTION = 0.25  # least fraction of the memory that counts as available beyond that
PENDING_BODY_FRACTION = 0.25
QUEUED_OUTPUT_FRACTION = 0.15
INPUT_BUFFER_FRACTION = 0.1
FUNCTION_FRACTION = 0.12
CALL_ID_FRACTION = 0.05
BYTES_PER_FUNCTION = 3 * 1024  # of a function's record after calls at a few workers
BYTES_PER_CALL_ID = 256


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """The limits of one process."""

    pending_body_bytes: int  # bodies and idempotency keys of the calls in the process
    queued_output_bytes: int  # responses that clients have not read
    input_buffer_bytes: int  # receive buffers of all connections beyond their initial size
    functions: int  # records of functions
    call_ids: int  # ids of calls that must not be executed again


def derive_limits(memory_bytes: int) -> ResourceLimits:
    """Return the limits for the configured memory of the process."""
    available = max(memory_bytes - RESTING_MEMORY_BYTES, MIN_AVAILABLE_FRACTION * memory_bytes)
    return ResourceLimits(
        pending_body_bytes=int(PENDING_BODY_FRACTION * available),
        queued_output_bytes=int(QUEUED_OUTPUT_FRACTION * available),
        input_buffer_bytes=int(INPUT_BUFFER_FRACTION * available),
        functions=int(FUNCTION_FRACTION * available / BYTES_PER_FUNCTION),
        call_ids=int(CALL_ID_FRACTION * available / BYTES_PER_CALL_ID),
    )
