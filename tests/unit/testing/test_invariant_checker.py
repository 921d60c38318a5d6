"""The invariant checker: each test breaks rules on purpose and expects the violations."""

from __future__ import annotations

from cedarthread.testing.invariants import CallGuarantees, Idempotency, InvariantChecker, InvariantLimits

NOT_IDEMPOTENT = CallGuarantees(Idempotency.NOT_IDEMPOTENT)
WITH_KEY = CallGuarantees(Idempotency.WITH_KEY, "zone", 1000.0)


def make_checker() -> InvariantChecker:
    """Return a checker with two ready workers in different zones."""
    checker = InvariantChecker(
        InvariantLimits(max_attempts=2, preload_window_ms=5000.0, preload_allowance=2.0, preload_share=0.1)
    )
    for worker in (1, 2):
        checker.on_worker_state(0.0, worker, "ready", zone=worker)
    return checker


def broken_rules(checker: InvariantChecker) -> list[str]:
    """Return the rule of each violation, in order."""
    return [violation.rule for violation in checker.violations]


def test_each_call_gets_one_answer_in_time_with_a_body_that_was_produced() -> None:
    checker = make_checker()
    checker.on_call_submitted(0.0, "a", NOT_IDEMPOTENT, 1000.0)
    checker.on_body_produced("a", b"x")
    checker.on_answer(1058.0, "a", "served", b"x")
    assert not checker.violations

    checker.on_answer(1059.0, "a", "served", b"y")
    assert broken_rules(checker) == ["answers", "deadline", "served"]

    checker.on_call_submitted(0.0, "b", NOT_IDEMPOTENT, 1000.0)
    checker.check_all_answered(2000.0)
    checker.on_answer(0.0, "nobody", "failed")
    assert broken_rules(checker)[3:] == ["answers", "answers"]


def test_attempts_in_flight_their_number_and_their_effects_are_checked() -> None:
    checker = make_checker()
    checker.on_call_submitted(0.0, "a", NOT_IDEMPOTENT, 1000.0)
    first = checker.on_attempt_started(1.0, "a", 1)
    checker.on_attempt_ended(first, may_have_executed=False)
    second = checker.on_attempt_started(2.0, "a", 2)
    assert not checker.violations

    # The third attempt breaks three rules: two are in flight, three exceed the maximum, and the second may
    # have been executed.
    checker.on_attempt_started(3.0, "a", 1)
    assert broken_rules(checker) == ["attempts", "attempts", "effects"]

    checker.on_attempt_ended(second, may_have_executed=True)
    checker.on_answer(4.0, "a", "refused")
    assert broken_rules(checker)[3:] == ["effects"]


def test_a_retry_with_a_key_must_be_within_its_window_and_scope() -> None:
    for worker, retried_at_ms, violations in (
        (1, 900.0, []),
        (1, 1100.0, ["effects"]),
        (2, 900.0, ["effects"]),
    ):
        checker = make_checker()
        checker.on_call_submitted(0.0, "a", WITH_KEY, 5000.0)
        attempt = checker.on_attempt_started(1.0, "a", 1)
        checker.on_attempt_ended(attempt, may_have_executed=True)

        checker.on_attempt_started(retried_at_ms, "a", worker)

        assert broken_rules(checker) == violations


def test_a_drain_counts_from_the_first_byte_and_preloads_count_in_their_window() -> None:
    checker = make_checker()
    checker.on_call_submitted(0.0, "a", CallGuarantees(Idempotency.IDEMPOTENT), 9000.0)
    checker.on_worker_state(100.0, 1, "draining")
    checker.on_worker_state(300.0, 1, "draining")  # a repeated state does not extend the time
    in_time = checker.on_attempt_started(700.0, "a", 1, first_byte_at_ms=650.0)
    checker.on_attempt_ended(in_time, may_have_executed=False)
    assert not checker.violations

    checker.on_attempt_started(700.0, "a", 1, first_byte_at_ms=651.0)
    assert broken_rules(checker) == ["drain"]

    for requested_at_ms in (1000.0, 1001.0, 1002.0, 6100.0, 6101.0):
        checker.on_preload(requested_at_ms, 2, 1)
    assert broken_rules(checker) == ["drain"]

    checker.on_preload(6102.0, 2, 1)
    checker.on_preload(6103.0, 2, 1)
    assert broken_rules(checker) == ["drain", "orders"]
