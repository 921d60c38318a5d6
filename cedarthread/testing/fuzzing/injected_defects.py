"""The injected defects, each of which a fuzz target must find within a number of runs.

A defect is patched into the running program. The defects represent the mistakes that fuzzing must find. Some
of them are former defects of the program that fuzzing found and that have since been fixed.
"""

from __future__ import annotations

import random
from types import FunctionType
from typing import TYPE_CHECKING, NamedTuple

from cedarthread import config_section
from cedarthread.dispatch import deferred, send_guard
from cedarthread.dispatch.actions import ActionExecutor
from cedarthread.dispatch.call_table import CallTable
from cedarthread.dispatch.completion import CallCompletion
from cedarthread.dispatch.deadlines import CallDeadlines
from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.protocols import dns, http, msgpack
from cedarthread.protocols.discovery import client as discovery
from cedarthread.protocols.discovery import endpoint_list
from cedarthread.protocols.invoke import spiffe
from cedarthread.protocols.invoke.calls import InvokeCalls
from cedarthread.protocols.platform.calls import PlatformCalls
from cedarthread.protocols.platform.connection import PlatformConnection
from cedarthread.protocols.worker import connection as worker_connection
from cedarthread.protocols.worker.connection import WorkerConnection
from cedarthread.protocols.worker.connections import WorkerConnections
from cedarthread.routing.preloading import PreloadPolicy
from cedarthread.routing.retries import RetryPolicy
from cedarthread.routing.selection import WorkerSelector
from cedarthread.testing.fuzzing import defective_calls, defective_parsers, targets
from cedarthread.testing.fuzzing.defect import (
    Defect,
    Patch,
    do_nothing,
    return_false,
    return_true,
)
from cedarthread.testing.fuzzing.target import Target, verdict

if TYPE_CHECKING:
    from collections.abc import Callable

SEED = 20261201  # default seed of the generated inputs


class Detection(NamedTuple):
    """The number of the run that found a defect, and the verdict on its input."""

    run: int
    fault: str


DEFECTS = (
    Defect(
        "second-answer",
        "calls",
        300,
        (Patch(PlatformCalls, "_send_call_result", defective_calls.send_failure_twice),),
    ),
    Defect(
        "two-attempts-out",
        "calls",
        300,
        (Patch(ActionExecutor, "_start_attempt", defective_calls.start_attempt_twice),),
    ),
    Defect(
        "body-bytes-kept",
        "calls",
        20,
        (Patch(CallTable, "mark_completed", defective_calls.retain_body_bytes),),
    ),
    Defect("names-kept", "calls", 20, (Patch(CallTable, "mark_completed", defective_calls.retain_call_id),)),
    Defect(
        "timer-leak", "calls", 20, (Patch(CallDeadlines, "_set_wakeup", defective_calls.set_extra_timer),)
    ),
    # SendGuard would refuse these attempts as well, so the defect also disables it.
    Defect(
        "unsafe-sent-again",
        "calls",
        300,
        (
            Patch(RetryPolicy, "may_attempt", defective_calls.retry_always),
            Patch(send_guard, "_refuse_retry", do_nothing),
        ),
    ),
    Defect(
        "window-forgotten",
        "calls",
        3000,
        (Patch(RetryPolicy, "may_attempt", defective_calls.ignore_retry_window),),
    ),
    Defect(
        "group-forgotten",
        "calls",
        2000,
        (Patch(WorkerSelector, "is_eligible", defective_calls.ignore_retry_scope),),
    ),
    Defect(
        "drain-ignored",
        "calls",
        400,
        (
            Patch(WorkerSelector, "is_eligible", defective_calls.allow_any_worker),
            Patch(send_guard.SendGuard, "refuse_worker", do_nothing),
        ),
    ),
    Defect(
        "drained-chosen",
        "calls",
        4000,
        (
            Patch(WorkerSelector, "is_eligible", defective_calls.allow_any_state),
            Patch(send_guard.SendGuard, "refuse_worker", do_nothing),
        ),
    ),
    Defect(
        "order-budget-off",
        "calls",
        1000,
        (Patch(PreloadPolicy, "may_preload", defective_calls.preload_beyond_limit),),
    ),
    Defect(
        "answers-swallowed",
        "calls",
        400,
        (Patch(PlatformConnection, "fail_calls_and_close", defective_calls.abandon_calls_and_close),),
    ),
    Defect(
        "stop-forgotten",
        "calls",
        3000,
        (
            Patch(CallCompletion, "expire", do_nothing),
            Patch(CallCompletion, "complete_overdue", do_nothing),
        ),
    ),
    Defect(
        "carried-kept",
        "calls",
        1500,
        (Patch(WorkerConnections, "_end_request", defective_calls.end_without_removal),),
    ),
    Defect(
        "cancel-not-told",
        "calls",
        6000,
        (Patch(WorkerConnections, "_finish_cancel", defective_calls.cancel_as_not_executed),),
    ),
    # Without a refresh, an attempt's progress can only be wrong if its line follows a partly written line.
    # The program never writes a line there, so the defect also writes such lines.
    Defect(
        "half-written-unseen",
        "calls",
        9000,
        (
            Patch(WorkerConnection, "_write_lines", defective_calls.write_all_lines),
            Patch(WorkerConnection, "refresh_progress", do_nothing),
        ),
    ),
    Defect(
        "repeat-refused-at-end",
        "calls",
        6000,
        (Patch(InvokeCalls, "has_executed_call", return_false),),
    ),
    # The check before a write would refuse an attempt that was not withdrawn, so the defect disables both.
    Defect(
        "unsent-not-withdrawn",
        "calls",
        9000,
        (
            Patch(WorkerConnections, "withdraw_unsent", do_nothing),
            Patch(Dispatcher, "may_start_attempt", return_true),
        ),
    ),
    Defect(
        "goes-on-without-client",
        "calls",
        1500,
        (
            Patch(Dispatcher, "may_start_attempt", return_true),
            Patch(Dispatcher, "client_half_closed", do_nothing),
        ),
    ),
    Defect(
        "length-unchecked",
        "msgpack",
        400,
        (Patch(msgpack, "_take_slice", defective_parsers.take_slice_unlimited),),
    ),
    Defect("depth-unchecked", "msgpack", 400, (Patch(msgpack, "_check_limits", do_nothing),)),
    Defect(
        "dns-loop",
        "dns",
        200,
        (
            Patch(
                dns, "_parse_name", FunctionType(defective_parsers.parse_name_unbounded.__code__, vars(dns))
            ),
        ),
    ),
    Defect("dns-hops-unbounded", "dns", 400, (Patch(dns, "MAX_POINTERS", 10**6),)),
    Defect(
        "reply-not-asked-for",
        "resolver",
        200,
        (Patch(discovery.DiscoveryClient, "datagram_received", defective_parsers.accept_any_reply),),
    ),
    Defect(
        "stale-news-taken",
        "roster",
        50,
        (Patch(endpoint_list.EndpointList, "apply_update", defective_parsers.apply_stale_update),),
    ),
    Defect(
        "two-lengths-taken",
        "http",
        400,
        (Patch(http, "_parse_content_length", defective_parsers.parse_first_length),),
    ),
    Defect(
        "spoilt-answer-passed",
        "lines",
        100,
        (Patch(worker_connection, "parse_call_response", defective_parsers.accept_malformed),),
    ),
    Defect(
        "dots-in-ids",
        "spiffe",
        200,
        (Patch(spiffe, "parse_trust_domain", defective_parsers.parse_without_path_check),),
    ),
    Defect(
        "first-name-counts",
        "certificate",
        200,
        (Patch(spiffe, "_parse_identity", defective_parsers.take_first_uri),),
    ),
    Defect(
        "figures-unchecked",
        "config",
        400,
        (Patch(config_section, "bounded_number", defective_parsers.number_unchecked),),
    ),
    Defect(
        "foreign-call-collected",
        "deferred",
        50,
        (Patch(deferred.DeferredCalls, "find", defective_parsers.find_of_any_owner),),
    ),
    Defect(
        "kept-bytes-leak",
        "deferred",
        50,
        (Patch(deferred.DeferredCalls, "remove", defective_parsers.remove_without_releasing_bytes),),
    ),
)


def runs_until_found(defect: Defect, target: Target, seed: int = SEED) -> Detection | None:
    """Return the number and verdict of the first run that finds an injected defect, or None if none does."""
    rng = random.Random(f"{seed} {defect.name}")
    corpus = list[bytes]()
    is_metered = defect.target == "dns"  # an endless loop exceeds the line budget
    with defect.injected():
        for number in range(1, defect.runs + 1):
            data = target.next_input(rng, corpus)
            if (fault := verdict(target, data, metered=is_metered)) is not None:
                return Detection(number, fault)
            if rng.random() < 0.1:
                corpus.append(data)
    return None


def undetected_defects(
    report: Callable[[str], None], names: set[str] | None = None, seed: int = SEED
) -> list[str]:
    """Inject each defect in turn, and return the names of the defects that no run finds.

    Args:
        report: Receives one line for each defect.
        names: The defects to inject; None for all.
        seed: The seed of the generated inputs.
    """
    missed = []
    targets_by_name = targets.targets_by_name()
    for defect in DEFECTS:
        if names is not None and defect.name not in names:
            continue
        detection = runs_until_found(defect, targets_by_name[defect.target], seed)
        if detection is None:
            missed.append(defect.name)
            report(f"{defect.name:24} {defect.target:12} NOT FOUND in {defect.runs} runs")
        else:
            run = f"run {detection.run:5} of {defect.runs:5}"
            report(f"{defect.name:24} {defect.target:12} {run}  {detection.fault[:60]}")
    return missed
