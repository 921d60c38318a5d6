"""The policy that decides when a faulted store is reopened, and which changes are logged."""

from __future__ import annotations

from typing import NamedTuple

from cedarthread.persistence.reopen_policy import (
    GIVEN_UP_PAUSE_MS,
    INITIAL_BACKOFF_MS,
    MAX_ATTEMPTS,
    MAX_BACKOFF_MS,
    ReopenPolicy,
    StoreState,
)
from cedarthread.persistence.store import StoreFault


class FailedAttempts(NamedTuple):
    """The times of reopening attempts, all of which failed, and the lines to log."""

    times_ms: list[float]
    lines: list[str]


def fail_each_attempt(policy: ReopenPolicy, until_ms: float, fault: StoreFault) -> FailedAttempts:
    """Let each attempt fail until a time, and return the attempts."""
    attempts = FailedAttempts([], [])
    now_ms = 0.0
    while now_ms < until_ms:
        if policy.take_due_attempt(now_ms):
            attempts.times_ms.append(now_ms)
            line = policy.on_failure(now_ms, fault)
            if line:
                attempts.lines.append(line)
        now_ms += 10.0
    return attempts


def test_attempts_back_off_and_are_bounded_and_logged_once() -> None:
    policy = ReopenPolicy(seed=4)
    assert policy.on_opened(0.0) is None and policy.state is StoreState.HEALTHY
    line = policy.on_failure(0.0, StoreFault.IO_ERROR)
    assert line is not None and StoreFault.IO_ERROR.value in line

    attempts = fail_each_attempt(policy, GIVEN_UP_PAUSE_MS, StoreFault.IO_ERROR)

    assert len(attempts.times_ms) == MAX_ATTEMPTS
    assert len(attempts.lines) == 1 and attempts.lines[0].startswith("store_given_up ")
    pairs = zip([0.0, *attempts.times_ms], attempts.times_ms, strict=False)
    waits_ms = [after - before for before, after in pairs]
    for number, wait_ms in enumerate(waits_ms):
        backoff_ms = min(INITIAL_BACKOFF_MS * 2**number, MAX_BACKOFF_MS)
        assert backoff_ms / 2 <= wait_ms <= backoff_ms + 10.0
    assert policy.state.value == StoreState.GIVEN_UP.value
    assert not policy.take_due_attempt(policy.next_attempt_at_ms - 1.0)
    assert policy.take_due_attempt(policy.next_attempt_at_ms)
    line = policy.on_opened(policy.next_attempt_at_ms)
    assert line is not None and line.startswith("store_recovered ") and policy.fault is None


def test_routers_on_one_disk_do_not_reopen_at_the_same_time() -> None:
    policies = [ReopenPolicy(seed) for seed in range(10)]
    for policy in policies:
        policy.on_failure(0.0, StoreFault.IO_ERROR)
    assert len({round(policy.next_attempt_at_ms) for policy in policies}) > 5


def test_another_fault_is_logged_and_an_unresponsive_disk_recovers_by_itself() -> None:
    policy = ReopenPolicy(seed=1)
    policy.on_opened(0.0)
    assert policy.on_timeout(0.0) and policy.on_timeout(1.0) is None
    assert policy.fault is StoreFault.UNRESPONSIVE
    assert not policy.take_due_attempt(1e9), "no reopening is due before the disk has responded"
    assert policy.on_write_succeeded(2000.0) == "store_recovered after_s=2.0"
    assert policy.on_failure(3000.0, StoreFault.DISK_FULL)
    assert policy.on_failure(3001.0, StoreFault.DISK_FULL) is None
    assert policy.on_failure(3002.0, StoreFault.READ_ONLY)
    assert policy.take_due_attempt(policy.next_attempt_at_ms)
    assert policy.on_timeout(9e9) is None, "the fault is known already"
