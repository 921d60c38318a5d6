"""The line queue of a worker connection, which records the progress of the requests in it."""

from __future__ import annotations

from typing import NamedTuple

from cedarthread.dispatch.calls import Attempt, Call, Progress
from cedarthread.protocols.worker.line_queue import LineQueue
from cedarthread.protocols.worker.requests import OutboundLine, PendingPreload

LINE_BYTES = 10


class ConnectedQueue(NamedTuple):
    """A line queue of an established connection."""

    queue: LineQueue
    attempts: list[Attempt]  # attempts whose lines are in the queue
    written: list[Attempt]  # attempts whose lines were reported as written


def queue_with(*call_ids: str) -> ConnectedQueue:
    """Return the queue of an established connection with one attempt for each call id."""
    written: list[Attempt] = []
    queue = LineQueue(written.append)
    attempts = [
        Attempt(Call(call_id, 0, 7, 0.0, b"", lambda result: None), 0, 1, 0.0) for call_id in call_ids
    ]
    for attempt in attempts:
        queue.append(OutboundLine(b"x" * LINE_BYTES, attempt))
    queue.on_connected()
    return ConnectedQueue(queue, attempts, written)


def pass_to_transport(queue: LineQueue, accepted_bytes: int) -> list[OutboundLine]:
    """Pass all queued lines to a transport whose socket accepts ``accepted_bytes``; return the lines."""
    lines = []
    remaining_bytes = accepted_bytes
    while (line := queue.next_line()) is not None:
        queue.dequeue(line)
        queue.on_passed_to_transport(line, remaining_bytes)
        remaining_bytes -= len(line.data)
        lines.append(line)
    return lines


def test_attempts_queued_on_an_established_connection_are_unwritten() -> None:
    queue, attempts, written = queue_with("a", "b")
    assert queue.requests() == attempts
    assert bool(queue)
    assert written == []
    assert [attempt.progress for attempt in attempts] == [Progress.UNWRITTEN] * 2


def test_a_queued_request_can_be_removed_and_one_passed_to_the_transport_cannot() -> None:
    queue, (first, second), _ = queue_with("a", "b")
    assert queue.remove(first)
    assert queue.requests() == [second]
    pass_to_transport(queue, 0)
    assert not queue.remove(second)
    assert second.progress is Progress.PARTLY_WRITTEN


def test_a_line_is_reported_as_written_once_with_its_last_byte() -> None:
    queue, attempts, written = queue_with("a", "b", "c")
    lines = pass_to_transport(queue, 2 * LINE_BYTES - 1)
    assert [attempt.progress.name for attempt in attempts] == ["WRITTEN", "PARTLY_WRITTEN", "PARTLY_WRITTEN"]
    assert queue.is_written(lines[0])
    assert not queue.is_written(lines[1])
    queue.on_write_buffer_size(LINE_BYTES + 1)
    assert written == attempts[:1]
    queue.on_write_buffer_size(LINE_BYTES)
    assert written == attempts[:2]
    queue.on_all_written()
    assert written == attempts
    assert not queue


def test_the_last_buffered_line_of_a_broken_connection_is_incomplete() -> None:
    queue, attempts, written = queue_with("a", "b")
    pass_to_transport(queue, 0)
    queue.on_disconnected()
    assert [attempt.may_have_executed() for attempt in attempts] == [True, False]
    assert written == attempts[:1]
    assert not queue


def test_an_attempt_with_a_response_keeps_its_progress() -> None:
    queue, (attempt,), written = queue_with("a")
    pass_to_transport(queue, 0)
    attempt.progress = Progress.RESPONSE_STARTED
    queue.on_all_written()
    assert attempt.progress is Progress.RESPONSE_STARTED
    assert written == []


def test_a_preload_and_a_line_without_a_request_have_no_progress() -> None:
    queue, _, written = queue_with()
    preload = PendingPreload("load-1", 1, 7, 0.0)
    queue.append(OutboundLine(b"x" * LINE_BYTES, preload))
    queue.append(OutboundLine(b"y" * LINE_BYTES))
    assert queue.requests() == [preload]
    pass_to_transport(queue, 2 * LINE_BYTES)
    assert written == []
    assert not queue


def test_a_line_without_a_request_may_be_sent_before_requests_and_first_bytes_are_reported() -> None:
    started: list[object] = []
    queue = LineQueue(lambda attempt: None, started.append)
    preload = PendingPreload("load-1", 1, 7, 0.0)
    queue.append(OutboundLine(b"x" * LINE_BYTES, preload))
    queue.append(cancel := OutboundLine(b"y" * LINE_BYTES))
    assert queue.next_line(without_requests=True) is cancel
    queue.dequeue(cancel)
    queue.on_passed_to_transport(cancel, LINE_BYTES)
    assert queue.next_line(without_requests=True) is None
    assert started == []
    pass_to_transport(queue, 1)
    assert started == [preload]
