"""The memory of grown read buffers, counted over all connections."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread.limits.buffer_memory import BufferMemory
from cedarthread.transport.read_buffer import INITIAL_BUFFER_BYTES, ReadBuffer

MAX_BYTES = 8 * INITIAL_BUFFER_BYTES
steps = st.lists(st.tuples(st.integers(0, 2), st.booleans(), st.floats(0.0, 1.0)), max_size=60)


@settings(derandomize=True, deadline=None)
@given(steps)
def test_the_counted_memory_is_that_of_the_buffers_after_any_reads(
    actions: list[tuple[int, bool, float]],
) -> None:
    memory = BufferMemory(10 * MAX_BYTES)
    buffers = [ReadBuffer(MAX_BYTES, memory) for _ in range(3)]
    for index, is_read, fraction in actions:
        buffer = buffers[index]
        if is_read:
            expected_bytes = len(buffer._data) + buffer.growth_bytes()
            space = len(buffer.writable_space())
            assert len(buffer._data) == expected_bytes
            buffer.advance(int(fraction * space) if fraction < 0.5 else space)
        else:
            buffer.consume(int(fraction * len(buffer.peek())) if fraction < 0.5 else len(buffer.peek()))
        assert memory.used_bytes == sum(len(each._data) - INITIAL_BUFFER_BYTES for each in buffers)
    for buffer in buffers:
        buffer.clear()
    assert memory.used_bytes == 0


def test_buffers_may_grow_up_to_the_limit() -> None:
    memory = BufferMemory(100)
    assert memory.can_grow(100)
    memory.change(60)
    assert not memory.can_grow(41)
    memory.change(-60)
    assert memory.can_grow(41)
