"""How far the requests on a worker's connection have come, as its line queue records it."""

from __future__ import annotations

from cedarthread.dispatch.calls import Attempt, Call, Progress
from cedarthread.protocols.worker.line_queue import LineQueue
from cedarthread.protocols.worker.requests import OutboundLine, PendingPreload

LINE_BYTES = 10


def queue_with(*call_ids: str) -> tuple[LineQueue, list[Attempt], list[Attempt]]:
    """A connected queue with an attempt for each id, the attempts, and those reported as written."""
    written: list[Attempt] = []
    queue = LineQueue(written.append)
    attempts = [Attempt(Call(one, 0, 7, 0.0, b"", lambda result: None), 0, 1, 0.0) for one in call_ids]
    for attempt in attempts:
        queue.append(OutboundLine(b"x" * LINE_BYTES, attempt))
    queue.on_connected()
    return queue, attempts, written


def hand_over(queue: LineQueue, written_bytes: int) -> list[OutboundLine]:
    """Hand all queued lines over, of which the socket takes so many bytes; the lines."""
    lines = []
    while (line := queue.next_line()) is not None:
        queue.take(line)
        queue.on_handed_over(line, written_bytes)
        written_bytes -= len(line.data)
        lines.append(line)
    return lines


def test_a_connected_queue_holds_unwritten_attempts() -> None:
    queue, attempts, written = queue_with("a", "b")
    assert queue.requests() == attempts
    assert bool(queue)
    assert written == []
    assert [attempt.progress for attempt in attempts] == [Progress.UNWRITTEN] * 2


def test_a_queued_request_can_be_removed_and_one_handed_over_cannot() -> None:
    queue, (first, second), _ = queue_with("a", "b")
    assert queue.remove(first)
    assert queue.requests() == [second]
    hand_over(queue, 0)
    assert not queue.remove(second)
    assert second.progress is Progress.PARTLY_WRITTEN


def test_a_line_counts_as_written_with_its_last_byte_and_is_reported_once() -> None:
    queue, attempts, written = queue_with("a", "b", "c")
    lines = hand_over(queue, 2 * LINE_BYTES - 1)
    assert [attempt.progress.name for attempt in attempts] == ["WRITTEN", "PARTLY_WRITTEN", "PARTLY_WRITTEN"]
    assert queue.is_written(lines[0])
    assert not queue.is_written(lines[1])
    queue.on_drained_to(LINE_BYTES + 1)
    assert written == attempts[:1]
    queue.on_drained_to(LINE_BYTES)
    assert written == attempts[:2]
    queue.on_all_written()
    assert written == attempts
    assert not queue


def test_of_a_broken_connection_the_last_buffered_line_is_not_complete() -> None:
    queue, attempts, written = queue_with("a", "b")
    hand_over(queue, 0)
    queue.on_disconnected()
    assert [attempt.may_have_executed() for attempt in attempts] == [True, False]
    assert written == attempts[:1]
    assert not queue


def test_an_attempt_with_a_response_keeps_its_progress() -> None:
    queue, (attempt,), written = queue_with("a")
    hand_over(queue, 0)
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
    hand_over(queue, 2 * LINE_BYTES)
    assert written == []
    assert not queue


def test_a_line_without_a_request_may_pass_requests_and_first_bytes_are_reported() -> None:
    begun: list[object] = []
    queue = LineQueue(lambda attempt: None, begun.append)
    preload = PendingPreload("load-1", 1, 7, 0.0)
    queue.append(OutboundLine(b"x" * LINE_BYTES, preload))
    queue.append(cancel := OutboundLine(b"y" * LINE_BYTES))
    assert queue.next_line(without_requests=True) is cancel
    queue.take(cancel)
    queue.on_handed_over(cancel, LINE_BYTES)
    assert queue.next_line(without_requests=True) is None
    assert begun == []
    hand_over(queue, 1)
    assert begun == [preload]
