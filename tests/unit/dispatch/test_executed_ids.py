"""The ids of calls that must not be executed again."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from cedarthread.dispatch.calls import Attempt, Call, Progress
from cedarthread.dispatch.executed_ids import ExecutedIds
from cedarthread.model.settings import Idempotency
from cedarthread.protocols.platform.shared_ids import SLOTS_PER_SET, MappedIds
from tests.unit.dispatch.builders import ROUTER_SETTINGS

if TYPE_CHECKING:
    from pathlib import Path

NOT_IDEMPOTENT = next(
    request_class
    for request_class in ROUTER_SETTINGS.classes
    if request_class.idempotency is Idempotency.NOT_IDEMPOTENT
)
DEADLINE_MS = 1000.0
EXPIRY_MS = DEADLINE_MS + NOT_IDEMPOTENT.deadline_ms


def ended_call(number: int = 1, progress: Progress = Progress.WRITTEN) -> Call:
    call = Call(f"{number:016x}", 0, 7, DEADLINE_MS, b"", lambda result: None)
    call.attempts.append(Attempt(call, 0, 5, 0.0, progress))
    return call


def test_an_id_is_kept_until_the_client_has_given_up() -> None:
    ids = ExecutedIds()
    call = ended_call()
    ids.on_call_ended(0.0, call, NOT_IDEMPOTENT)
    assert ids.contains(call.call_id, EXPIRY_MS - 1.0)
    assert not ids.contains(call.call_id, EXPIRY_MS)


@pytest.mark.parametrize("progress", [Progress.UNCONNECTED, Progress.UNWRITTEN])
def test_the_id_of_a_call_that_was_not_sent_may_come_again(progress: Progress) -> None:
    ids = ExecutedIds()
    call = ended_call(progress=progress)
    ids.on_call_ended(0.0, call, NOT_IDEMPOTENT)
    assert not ids.contains(call.call_id, 0.0)


def test_the_id_of_an_idempotent_call_may_come_again() -> None:
    ids = ExecutedIds()
    call = ended_call()
    ids.on_call_ended(0.0, call, replace(NOT_IDEMPOTENT, idempotency=Idempotency.IDEMPOTENT))
    assert len(ids) == 0


def test_a_full_table_keeps_its_ids_and_has_room_again_once_they_expire() -> None:
    ids = ExecutedIds(max_ids=3)
    for number in range(3):
        ids.on_call_ended(0.0, ended_call(number), NOT_IDEMPOTENT)
    assert ids.is_full(EXPIRY_MS - 1.0)
    assert all(ids.contains(f"{number:016x}", EXPIRY_MS - 1.0) for number in range(3))
    assert not ids.is_full(EXPIRY_MS)
    assert len(ids) == 0


def test_another_process_finds_the_id_of_a_call_whose_client_left(tmp_path: Path) -> None:
    old = ExecutedIds()
    new = ExecutedIds()
    old.shared = MappedIds(tmp_path / "ids")
    new.shared = MappedIds(tmp_path / "ids")
    call = ended_call(0xABC)
    old.on_client_left(0.0, call, NOT_IDEMPOTENT)
    assert new.contains(call.call_id, EXPIRY_MS - 1.0)
    assert not new.contains(call.call_id, EXPIRY_MS)
    assert not new.contains(f"{0xABD:016x}", 0.0)


def test_a_full_set_of_the_file_displaces_the_id_that_expires_first(tmp_path: Path) -> None:
    ids = MappedIds(tmp_path / "ids")
    call_ids = [f"{0x10000 * number:016x}" for number in range(1, SLOTS_PER_SET + 2)]
    for number, call_id in enumerate(call_ids):
        ids.add(call_id, 0.0, 100.0 + number)
    assert [ids.contains(call_id, 0.0) for call_id in call_ids] == [False] + [True] * SLOTS_PER_SET
