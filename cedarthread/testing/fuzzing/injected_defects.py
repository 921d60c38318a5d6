"""Injected defects, each of which a fuzz target must find within a number of runs.

A defect is patched into the running program. The defects represent the mistakes that fuzzing must find. Some
of them are defects that fuzzing found and that have since been repaired.
"""

from __future__ import annotations

import random
from contextlib import contextmanager
from dataclasses import dataclass, replace
from types import FunctionType
from typing import TYPE_CHECKING, Any, cast
from unittest import mock

from cryptography import x509

from cedarthread import config, settings_parser
from cedarthread.dispatch import deferred, send_guard
from cedarthread.dispatch.actions import ActionExecutor
from cedarthread.dispatch.call_table import CallTable
from cedarthread.dispatch.calls import Attempt, AttemptResult, Call, CallFailed, CallResult
from cedarthread.dispatch.completion import CallCompletion
from cedarthread.dispatch.deadlines import CallDeadlines
from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.model.endpoints import EndpointState
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import Idempotency, RouterSettings
from cedarthread.protocols import dns, http, msgpack
from cedarthread.protocols.discovery import client as discovery
from cedarthread.protocols.discovery import endpoint_list, endpoint_records
from cedarthread.protocols.invoke import spiffe
from cedarthread.protocols.invoke.calls import InvokeCalls
from cedarthread.protocols.platform.calls import PlatformCalls
from cedarthread.protocols.platform.connection import PlatformConnection
from cedarthread.protocols.worker import connection as worker_connection
from cedarthread.protocols.worker.codec import parse_call_response
from cedarthread.protocols.worker.connection import WorkerConnection
from cedarthread.protocols.worker.connections import WorkerConnections
from cedarthread.routing.preloading import PreloadPolicy
from cedarthread.routing.retries import RetryPolicy
from cedarthread.routing.selection import WorkerSelector
from cedarthread.testing.fuzzing import targets
from cedarthread.testing.fuzzing.target import Target, verdict

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Iterator

    from cedarthread.model.actions import StartAttempt
    from cedarthread.routing.records import PendingRequest, WorkerRecord

SEED = 20261201


@dataclass(frozen=True, slots=True)
class Defect:
    """A defect: its patches, the target that must find it, and the number of runs within which it must."""

    name: str
    target: str
    runs: int
    patches: tuple[tuple[Any, str, Any], ...]

    @contextmanager
    def injected(self) -> Iterator[None]:
        """Patch the defect into the program until the context ends."""
        patches = [mock.patch.object(owner, name, replacement) for owner, name, replacement in self.patches]
        for patch in patches:
            patch.start()
        try:
            yield
        finally:
            for patch in reversed(patches):
                patch.stop()


# Replacements of the program's functions. The replacements call some of the original functions.

_send_answer = PlatformCalls._send_answer
_release = CallTable.release
_start_attempt = ActionExecutor._start_attempt
_may_preload = PreloadPolicy.may_preload
_parse_content_length = http._parse_content_length
_parse_call_response = parse_call_response


def _send_failure_twice(self: PlatformCalls, number: int, answer: CallResult) -> None:
    _send_answer(self, number, answer)
    if isinstance(answer, CallFailed):
        _send_answer(self, number, answer)


def _retain_call_id(self: CallTable, call: Call) -> None:
    _release(self, call)
    self.pending_ids.add(call.call_id)


def _retain_body_bytes(self: CallTable, call: Call) -> None:
    _release(self, call)
    self.pending_body_bytes += len(call.body)


def _start_attempt_twice(self: ActionExecutor, action: StartAttempt) -> None:
    _start_attempt(self, action)
    call = self._calls.pending.get(action.request_id)
    if call is not None and len(call.attempts) == 2 and not call.attempts[1].is_ended:
        self._context.workers().send(Attempt(call, 1, action.worker_id, self._context.clock()))


def _set_extra_timer(self: CallDeadlines, at_ms: float) -> None:
    self._wakeup_at_ms = at_ms
    self._wakeup_timer = self._context.call_at(at_ms, self.on_timer)
    self._context.call_at(at_ms + 1e9, self.on_timer)


def _take_slice_unlimited(data: memoryview, offset: int, count: int) -> memoryview:
    if offset + count > len(data):
        raise msgpack._IncompleteError(offset + count)
    return data[offset : offset + count]


_is_eligible = WorkerSelector.is_eligible


def _allow_any_worker(self: WorkerSelector, request: PendingRequest, worker: WorkerRecord) -> bool:
    return True


def _allow_any_state(self: WorkerSelector, request: PendingRequest, worker: WorkerRecord) -> bool:
    ready = replace(worker, endpoint=replace(worker.endpoint, state=EndpointState.READY))
    return _is_eligible(self, request, ready)


def _preload_beyond_limit(self: PreloadPolicy, now_ms: float) -> bool:
    state = self.state
    budget = state.preload_budget
    budget.on_preload(now_ms) if not budget.preload_times else None
    allowance = 4 * state.settings.rules.preload_allowance + 4
    with mock.patch.object(state, "settings", _with_preload_allowance(state.settings, allowance)):
        return _may_preload(self, now_ms)


def _with_preload_allowance(settings: RouterSettings, allowance: float) -> RouterSettings:
    return replace(settings, rules=replace(settings.rules, preload_allowance=allowance))


def _ignore_retry_scope(self: WorkerSelector, request: PendingRequest, worker: WorkerRecord) -> bool:
    return worker.endpoint.state is EndpointState.READY


def _retry_always(self: RetryPolicy, now_ms: float, request: PendingRequest) -> bool:
    return True


def _return_none(*arguments: Any) -> None:
    return None


def _write_all_lines(self: WorkerConnection, transport: asyncio.Transport, *, is_holding: bool) -> None:
    while (line := self.lines.next_line()) is not None:
        if line.request is not None and not self._may_write(line.request):
            self.withdraw_and_end(line.request)
            continue
        line.data = line.data or self.workers.encode_attempt(cast("Attempt", line.request))
        self.lines.take(line)
        buffered_bytes = transport.get_write_buffer_size()
        transport.write(line.data)
        unwritten_bytes = transport.get_write_buffer_size() - buffered_bytes
        self.lines.on_handed_over(line, len(line.data) - unwritten_bytes)


def _ignore_retry_window(self: RetryPolicy, now_ms: float, request: PendingRequest) -> bool:
    return (
        not request.possibly_executed() or request.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
    )


def _parse_first_length(fields: dict[str, str], max_bytes: int) -> int | http.InvalidRequest:
    fields = {name: value for name, value in fields.items() if name != "transfer-encoding"}
    return _parse_content_length(fields, max_bytes)


def _parse_name_unbounded(data: bytes, offset: int) -> tuple[str, int]:
    labels: list[str] = []
    end = -1
    while (size := data[offset]) != 0:
        if size >= 0xC0:
            end = offset + 2 if end < 0 else end
            offset = (size & 0x3F) << 8 | data[offset + 1]
            continue
        labels.append(data[offset + 1 : offset + 1 + size].decode("ascii").lower())
        offset += 1 + size
    return ".".join(labels), offset + 1 if end < 0 else end


def _apply_stale_update(
    self: endpoint_list.EndpointList,
    version: int,
    records: list[endpoint_list.EndpointRecord],
    *,
    is_snapshot: bool,
) -> Any:
    self.version = min(self.version, version - 1)
    return _apply_update(self, version, records, is_snapshot=is_snapshot)


_apply_update = endpoint_list.EndpointList.apply_update


def _find_of_any_owner(self: deferred.DeferredCalls, owner: str, call_id: str) -> Any:
    return self._calls_by_id.get(call_id)


def _remove_without_bytes(self: deferred.DeferredCalls, entry: deferred.DeferredCall) -> None:
    self._calls_by_id.pop(entry.call_id, None)
    if (
        entry.idempotency_key is not None
        and self._id_by_key.get((entry.owner, entry.idempotency_key)) == entry.call_id
    ):
        del self._id_by_key[(entry.owner, entry.idempotency_key)]


def _parse_any_segment(text: str) -> str | None:
    domain, slash, _ = text.removeprefix("spiffe://").partition("/")
    return domain if text.startswith("spiffe://") and slash and spiffe._DOMAIN.match(domain) else None


def _take_first_uri(leaf: Any) -> Any:
    names = leaf.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    uri = names.get_values_for_type(x509.UniformResourceIdentifier)[0]
    return spiffe.Identity(uri, spiffe.parse_trust_domain(uri) or "", 0.0)


def _accept_any_reply(self: discovery.DiscoveryClient, data: bytes, addr: object) -> None:
    reply = dns.parse(data)
    if isinstance(reply, dns.Reply) and reply.serial is not None:
        records = endpoint_records.endpoints_from_reply(reply)
        if not isinstance(records, str):
            self.on_update(reply.serial, records)


def _accept_malformed(message: dict[str, Any], columns: tuple[str, ...]) -> AttemptResult | None:
    return _parse_call_response(message, columns) or AttemptResult(Outcome.OK, b"spoilt")


def _number_unchecked(value: Any, minimum: float = 0.0) -> float:
    return float(value)


def _abandon_calls_and_close(self: PlatformConnection) -> None:
    calls = self.calls.open
    self.calls.open = {}
    for call in calls.values():
        self.server.dispatcher.abandon_call(call)
    self.lingering_close()


def _end_without_removal(self: WorkerConnections, request: Any, result: Any, outcome: Outcome) -> None:
    if isinstance(request, Attempt):
        self.dispatcher.attempt_ended(request, result(request))
    else:
        self.preloads.finish(request, outcome)


def _cancel_as_not_executed(
    self: WorkerConnections, attempt: Attempt, connection: Any, cancel_line: Any
) -> None:
    self.dispatcher.attempt_ended(attempt, AttemptResult(Outcome.CANCELLED))


def _do_nothing(*_: Any) -> None:
    pass


def _return_false(*_: Any) -> bool:
    return False


def _return_true(*_: Any) -> bool:
    return True


def _dispatcher_patch(handler: str, by: Callable[..., Any]) -> tuple[Any, str, Any]:
    return (Dispatcher, handler, by)


DEFECTS = (
    Defect("second-answer", "calls", 300, ((PlatformCalls, "_send_answer", _send_failure_twice),)),
    Defect("two-attempts-out", "calls", 300, ((ActionExecutor, "_start_attempt", _start_attempt_twice),)),
    Defect("body-bytes-kept", "calls", 20, ((CallTable, "release", _retain_body_bytes),)),
    Defect("names-kept", "calls", 20, ((CallTable, "release", _retain_call_id),)),
    Defect("timer-leak", "calls", 20, ((CallDeadlines, "_set_wakeup", _set_extra_timer),)),
    # SendGuard would refuse these attempts too, so the defect disables it as well.
    Defect(
        "unsafe-sent-again",
        "calls",
        300,
        ((RetryPolicy, "may_attempt", _retry_always), (send_guard, "_refuse_retry", _return_none)),
    ),
    Defect("window-forgotten", "calls", 3000, ((RetryPolicy, "may_attempt", _ignore_retry_window),)),
    Defect("group-forgotten", "calls", 2000, ((WorkerSelector, "is_eligible", _ignore_retry_scope),)),
    Defect(
        "drain-ignored",
        "calls",
        400,
        (
            (WorkerSelector, "is_eligible", _allow_any_worker),
            (send_guard.SendGuard, "refuse_worker", _return_none),
        ),
    ),
    Defect(
        "drained-chosen",
        "calls",
        4000,
        (
            (WorkerSelector, "is_eligible", _allow_any_state),
            (send_guard.SendGuard, "refuse_worker", _return_none),
        ),
    ),
    Defect("order-budget-off", "calls", 1000, ((PreloadPolicy, "may_preload", _preload_beyond_limit),)),
    Defect(
        "answers-swallowed",
        "calls",
        400,
        ((PlatformConnection, "fail_calls_and_close", _abandon_calls_and_close),),
    ),
    Defect(
        "stop-forgotten",
        "calls",
        3000,
        ((CallCompletion, "expire", _do_nothing), (CallCompletion, "complete_overdue", _do_nothing)),
    ),
    Defect("carried-kept", "calls", 1500, ((WorkerConnections, "_end_request", _end_without_removal),)),
    Defect(
        "cancel-not-told", "calls", 6000, ((WorkerConnections, "_finish_cancel", _cancel_as_not_executed),)
    ),
    # Only the progress of a line behind a partly written line can be wrong. The program does not write such
    # lines, so the defect writes them too.
    Defect(
        "half-written-unseen",
        "calls",
        9000,
        (
            (WorkerConnection, "_write_lines", _write_all_lines),
            (WorkerConnection, "refresh_progress", _do_nothing),
        ),
    ),
    Defect("repeat-refused-at-end", "calls", 6000, ((InvokeCalls, "has_executed_call", _return_false),)),
    # The check before a write would refuse an attempt that is not withdrawn, so the defect disables both.
    Defect(
        "unsent-not-withdrawn",
        "calls",
        9000,
        (
            (WorkerConnections, "withdraw_unsent", _do_nothing),
            _dispatcher_patch("may_start_attempt", _return_true),
        ),
    ),
    Defect(
        "goes-on-without-client",
        "calls",
        1500,
        (
            _dispatcher_patch("may_start_attempt", _return_true),
            _dispatcher_patch("client_closing", _do_nothing),
        ),
    ),
    Defect("length-unchecked", "msgpack", 400, ((msgpack, "_take_slice", _take_slice_unlimited),)),
    Defect("depth-unchecked", "msgpack", 400, ((msgpack, "_check_limits", _do_nothing),)),
    Defect(
        "dns-loop",
        "dns",
        200,
        ((dns, "_parse_name", FunctionType(_parse_name_unbounded.__code__, vars(dns))),),
    ),
    Defect("dns-hops-unbounded", "dns", 400, ((dns, "MAX_POINTERS", 10**6),)),
    Defect(
        "reply-not-asked-for",
        "resolver",
        200,
        ((discovery.DiscoveryClient, "datagram_received", _accept_any_reply),),
    ),
    Defect(
        "stale-news-taken", "roster", 50, ((endpoint_list.EndpointList, "apply_update", _apply_stale_update),)
    ),
    Defect("two-lengths-taken", "http", 400, ((http, "_parse_content_length", _parse_first_length),)),
    Defect(
        "spoilt-answer-passed", "lines", 100, ((worker_connection, "parse_call_response", _accept_malformed),)
    ),
    Defect("dots-in-ids", "spiffe", 200, ((spiffe, "parse_trust_domain", _parse_any_segment),)),
    Defect("first-name-counts", "certificate", 200, ((spiffe, "_parse_identity", _take_first_uri),)),
    Defect(
        "figures-unchecked",
        "config",
        400,
        (
            (settings_parser, "bounded_number", _number_unchecked),
            (config, "bounded_number", _number_unchecked),
        ),
    ),
    Defect("foreign-call-collected", "deferred", 50, ((deferred.DeferredCalls, "find", _find_of_any_owner),)),
    Defect("kept-bytes-leak", "deferred", 50, ((deferred.DeferredCalls, "remove", _remove_without_bytes),)),
)


def runs_until_found(defect: Defect, target: Target, seed: int = SEED) -> tuple[int, str] | None:
    """Return the first run that finds an injected defect, and its verdict, or None if no run finds it."""
    rng = random.Random(f"{seed} {defect.name}")
    corpus = list[bytes]()
    is_metered = defect.target == "dns"  # an endless loop exceeds the budget of lines
    with defect.injected():
        for number in range(1, defect.runs + 1):
            data = target.next_input(rng, corpus)
            if (fault := verdict(target, data, metered=is_metered)) is not None:
                return number, fault
            if rng.random() < 0.1:
                corpus.append(data)
    return None


def prove(report: Callable[[str], None], names: set[str] | None = None, seed: int = SEED) -> list[str]:
    """Inject each defect in turn, and return the names of those that no run finds.

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
        found = runs_until_found(defect, targets_by_name[defect.target], seed)
        if found is None:
            missed.append(defect.name)
            report(f"{defect.name:24} {defect.target:12} NOT FOUND in {defect.runs} runs")
        else:
            report(
                f"{defect.name:24} {defect.target:12} run {found[0]:5} of {defect.runs:5}  {found[1][:60]}"
            )
    return missed
