"""The table of the stored calls of two processes: keys, results, cancelling, expiry and unusable files."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from cedarthread.dispatch.calls import CallFailed, CallRejected, CallResult, CallSucceeded
from cedarthread.protocols.invoke import shared_calls
from cedarthread.protocols.invoke.shared_calls import (
    OWNER_GRACE_S,
    SharedCall,
    SharedCalls,
    SharedCallsUnavailableError,
)

if TYPE_CHECKING:
    from pathlib import Path

RETENTION_S = 120.0
DEADLINE_S = 5.0
FINGERPRINT = ("confirm", "7f3a9c21e0b4d655", b"digest")


class Processes:
    """The tables of two processes on one file, with a clock that the test sets."""

    def __init__(self, path: Path) -> None:
        self.now_s = 0.0
        self.old = SharedCalls(path, "old", lambda: self.now_s)
        self.new = SharedCalls(path, "new", lambda: self.now_s)


@pytest.fixture
def processes(tmp_path: Path) -> Processes:
    return Processes(tmp_path / "calls.db")


def make_call(call_id: str, key: str | None = "k", owner: str = "portal") -> SharedCall:
    return SharedCall(call_id, owner, key, FINGERPRINT, RETENTION_S, DEADLINE_S)


def test_a_key_belongs_to_the_process_that_recorded_it_first(processes: Processes) -> None:
    assert processes.old.add(make_call("first")).call_id == "first"
    assert processes.new.add(make_call("second")).call_id == "first"
    assert processes.new.add(make_call("of another owner", owner="desk")).call_id == "of another owner"
    assert processes.new.add(make_call("of another key", "k2")).call_id == "of another key"
    assert processes.new.find("portal", "second") is None
    assert processes.new.find_by_key("portal", "k") == make_call("first")


def test_calls_without_a_key_are_found_by_their_id_and_owner_only(processes: Processes) -> None:
    for call_id in ("a", "b"):
        assert processes.old.add(make_call(call_id, None)).call_id == call_id
    assert processes.new.find("portal", "b") == make_call("b", None)
    assert processes.new.find("desk", "b") is None


@pytest.mark.parametrize(
    "result",
    [
        CallSucceeded(b"\x00body"),
        CallSucceeded(b""),
        CallRejected(250.0, timed_out=True, reason="overloaded"),
        CallRejected(None),
        CallFailed(timed_out=True),
        CallFailed(),
    ],
)
def test_a_result_is_found_by_the_other_process_after_its_own_has_ended(
    processes: Processes, result: CallResult
) -> None:
    processes.old.add(make_call("first"))
    processes.old.complete("first", result)
    processes.old.close()
    found = processes.new.find("portal", "first")
    assert found is not None
    assert found.result == result


def test_only_one_process_starts_a_rejected_call_again(processes: Processes) -> None:
    processes.old.add(make_call("first"))
    processes.old.complete("first", CallRejected(250.0))
    assert processes.new.add(make_call("second"), replaced_call_id="first").call_id == "second"
    assert processes.old.add(make_call("third"), replaced_call_id="first").call_id == "second"


def test_a_pending_call_of_a_dead_process_may_have_been_executed(processes: Processes) -> None:
    processes.old.add(make_call("first"))
    processes.now_s = DEADLINE_S + OWNER_GRACE_S
    pending = processes.new.find("portal", "first")
    assert pending is not None
    assert pending.result is None
    processes.now_s += 0.1
    failed = processes.new.add(make_call("second"))
    assert (failed.call_id, failed.result) == ("first", CallFailed(timed_out=True))


def test_calls_expire_after_their_retention_time(processes: Processes) -> None:
    processes.old.add(make_call("first"))
    processes.now_s = 1.0
    processes.old.complete("first", CallSucceeded(b"x"))
    processes.new.extend_retention("first", RETENTION_S - 1.0)  # shorter: no effect
    processes.now_s = 1.0 + RETENTION_S
    assert processes.new.find("portal", "first") is not None
    processes.now_s += 0.1
    assert processes.new.find("portal", "first") is None
    processes.new.evict_expired()
    assert processes.new.add(make_call("second")).call_id == "second"


def test_a_cancel_reaches_the_process_that_took_the_call(processes: Processes) -> None:
    processes.old.add(make_call("first"))
    processes.new.request_cancel("first")
    assert processes.old.find("portal", "first") is None
    assert processes.new.take_cancelled() == []
    assert processes.old.take_cancelled() == ["first"]
    assert processes.old.take_cancelled() == []


def test_an_unusable_file_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "calls.db"
    path.write_bytes(b"no database" * 100)
    with pytest.raises(SharedCallsUnavailableError):
        SharedCalls(path, "old", lambda: 0.0)


def test_a_closed_file_is_reported(processes: Processes) -> None:
    processes.old.close()
    with pytest.raises(SharedCallsUnavailableError):
        processes.old.add(make_call("first"))


def test_a_folder_that_others_can_access_is_rejected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tempfile.gettempdir", lambda: str(tmp_path))
    path = shared_calls.default_path("::1", 8443)
    assert ":" not in path.name
    path.parent.chmod(0o750)
    with pytest.raises(SharedCallsUnavailableError):
        shared_calls.default_path("::1", 8443)
