"""Planted defects: each is put into the running program, and a target must find it within so many runs.

They stand for the mistakes that fuzzing is there for. One that is not found fails the proof; among them are
the defects that fuzzing found and that have since been repaired.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from types import FunctionType
from typing import Any
from unittest import mock

from cryptography import x509

from cedarthread import interface as i
from cedarthread import wire
from cedarthread.core import deferred, planner
from cedarthread.core.calls import Answer, Attempt, Call, Ending, Failed
from cedarthread.decide import Router
from cedarthread.fuzz import targets
from cedarthread.fuzz.target import Target, verdict
from cedarthread.net import dns, http, invoke, msgpack, platform, resolver, roster, runners, spiffe

SEED = 20261201


@dataclass(frozen=True, slots=True)
class Defect:
    """One defect: what is patched by what, which target must find it, and within how many runs."""

    name: str
    target: str
    runs: int
    patches: tuple[tuple[Any, str, Any], ...]

    @contextmanager
    def planted(self) -> Iterator[None]:
        """The program with the defect in it."""
        patches = [mock.patch.object(where, what, by) for where, what, by in self.patches]
        for patch in patches:
            patch.start()
        try:
            yield
        finally:
            for patch in reversed(patches):
                patch.stop()


# What the defective program does instead.

_answer = platform.PlatformConnection._answer
_release = planner.Planner._release
_send = planner.Planner._send
_may_order = Router._may_order
_length = http._length
_read_ending = runners.read_ending


def _answer_twice(self: platform.PlatformConnection, number: int, answer: Answer) -> None:
    _answer(self, number, answer)
    if isinstance(answer, Failed):
        _answer(self, number, answer)


def _no_names(self: planner.Planner, call: Call) -> None:
    _release(self, call)
    self.names.add(call.name)


def _bytes_kept(self: planner.Planner, call: Call) -> None:
    _release(self, call)
    self.held_bytes += len(call.body)


def _two_out(self: planner.Planner, action: i.Send) -> None:
    _send(self, action)
    call = self.calls.get(action.request)
    if call is not None and len(call.attempts) == 2 and not call.attempts[1].ended:
        self._ways().send(Attempt(call, 1, action.worker, self.clock()))


def _timer_breeds(self: planner.Planner, at: float) -> None:
    self._wake_at, self._waker = at, self._at(at, self._wake)
    self._at(at + 1e9, self._wake)


def _no_limit(data: memoryview, at: int, count: int) -> memoryview:
    if at + count > len(data):
        raise msgpack._ShortError(at + count)
    return data[at : at + count]


def _any_state(self: Router, job: Any, view: Any) -> bool:
    return True


def _one_more_order(self: Router) -> bool:
    self.ordered.append(self.now) if not self.ordered else None
    free = self.s.rules
    with mock.patch.object(self, "s", _with_ration(self.s, free.load_free * 4 + 4)):
        return _may_order(self)


def _with_ration(settings: i.Settings, free: float) -> i.Settings:
    return replace(settings, rules=replace(settings.rules, load_free=free))


def _group_forgotten(self: Router, job: Any, view: Any) -> bool:
    return view.entry.state is i.WorkerState.READY


def _always(self: Router, job: Any) -> bool:
    return True


def _window_forgotten(self: Router, job: Any) -> bool:
    return not job.may_have_run() or job.klass.effect is not i.Effect.UNSAFE


def _lenient_length(fields: dict[str, str], most: int) -> int | http.Bad:
    fields = {name: value for name, value in fields.items() if name != "transfer-encoding"}
    return _length(fields, most)


def _loose_name(data: bytes, at: int) -> tuple[str, int]:
    labels: list[str] = []
    end = -1
    while (size := data[at]) != 0:
        if size >= 0xC0:
            end = at + 2 if end < 0 else end
            at = (size & 0x3F) << 8 | data[at + 1]
            continue
        labels.append(data[at + 1 : at + 1 + size].decode("ascii").lower())
        at += 1 + size
    return ".".join(labels), at + 1 if end < 0 else end


def _stale_news(self: roster.Roster, version: int, told: list[roster.Listing], whole: bool) -> Any:
    self.version = min(self.version, version - 1)
    return _event(self, version, told, whole)


_event = roster.Roster.event


def _anyones(self: deferred.DeferredCalls, owner: str, name: str) -> Any:
    return self._calls.get(name)


def _size_kept(self: deferred.DeferredCalls, entry: deferred.Deferred) -> None:
    self._calls.pop(entry.name, None)
    if entry.key is not None and self._keys.get((entry.owner, entry.key)) == entry.name:
        del self._keys[(entry.owner, entry.key)]


def _any_segment(text: str) -> str | None:
    domain, slash, _ = text.removeprefix("spiffe://").partition("/")
    return domain if text.startswith("spiffe://") and slash and spiffe._DOMAIN.match(domain) else None


def _first_uri(leaf: Any) -> Any:
    names = leaf.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    uri = names.get_values_for_type(x509.UniformResourceIdentifier)[0]
    return spiffe.Identity(uri, spiffe.trust_domain(uri) or "", 0.0)


def _any_reply(self: resolver.Resolver, data: bytes, addr: object) -> None:
    reply = dns.parse(data)
    if isinstance(reply, dns.Reply) and reply.serial is not None:
        found = resolver.listings(reply)
        if not isinstance(found, str):
            self.tell(reply.serial, found)


def _spoilt_passes(message: dict[str, Any], columns: tuple[str, ...]) -> Ending | None:
    return _read_ending(message, columns) or Ending(i.Outcome.OK, b"spoilt")


def _figure_unchecked(value: Any, least: float = 0.0) -> float:
    return float(value)


def _swallow(self: platform.PlatformConnection) -> None:
    calls, self.open = self.open, {}
    for call in calls.values():
        self.front.planner.abandon(call)
    self.linger()


def _later_calls_forgotten(self: planner.Planner, at: float) -> None:
    self.stop_at = None


def _kept_in_carrying(self: runners.Runners, carried: Any, ending: Any, outcome: i.Outcome) -> None:
    if isinstance(carried, Attempt):
        self.planner.ended(carried, ending(carried))
    else:
        self.order_done(carried, outcome, 0)


def _cancel_unsure(self: runners.Runners, attempt: Attempt, connection: Any, told: Any) -> None:
    self.planner.ended(attempt, Ending(i.Outcome.CANCELLED))


def _nothing(*_: Any) -> None:
    pass


def _never(*_: Any) -> bool:
    return False


def _begins(*_: Any) -> bool:
    return True


def _dispatch(handler: str, by: Callable[..., Any]) -> tuple[Any, str, Any]:
    return (planner.Planner, handler, by)


DEFECTS = (
    Defect("second-answer", "calls", 300, ((platform.PlatformConnection, "_answer", _answer_twice),)),
    Defect("two-attempts-out", "calls", 300, (_dispatch("_send", _two_out),)),
    Defect("body-bytes-kept", "calls", 20, (_dispatch("_release", _bytes_kept),)),
    Defect("names-kept", "calls", 20, (_dispatch("_release", _no_names),)),
    Defect("timer-leak", "calls", 20, (_dispatch("_wake_by", _timer_breeds),)),
    Defect("unsafe-sent-again", "calls", 300, ((Router, "_may_move", _always),)),
    Defect("window-forgotten", "calls", 3000, ((Router, "_may_move", _window_forgotten),)),
    Defect("group-forgotten", "calls", 2000, ((Router, "_allowed", _group_forgotten),)),
    Defect("drain-ignored", "calls", 400, ((Router, "_allowed", _any_state),)),
    Defect("order-budget-off", "calls", 1000, ((Router, "_may_order", _one_more_order),)),
    Defect("answers-swallowed", "calls", 400, ((platform.PlatformConnection, "end", _swallow),)),
    Defect("stop-forgotten", "calls", 3000, (_dispatch("_lapse", _nothing), _dispatch("_overdue", _nothing))),
    Defect("carried-kept", "calls", 1500, ((runners.Runners, "_lost", _kept_in_carrying),)),
    Defect("cancel-not-told", "calls", 6000, ((runners.Runners, "_given_up", _cancel_unsure),)),
    Defect("half-written-unseen", "calls", 9000, ((runners.RunnerConnection, "look", _nothing),)),
    Defect("repeat-refused-at-end", "calls", 6000, ((invoke.InvokeFront, "knows", _never),)),
    # The look before bytes leave would hold back what is not withdrawn: both guards are out.
    Defect(
        "unsent-not-withdrawn",
        "calls",
        9000,
        ((runners.Runners, "withdraw", _nothing), _dispatch("may_begin", _begins)),
    ),
    Defect(
        "goes-on-without-client",
        "calls",
        1500,
        (_dispatch("may_begin", _begins), _dispatch("closing", _nothing)),
    ),
    Defect("length-unchecked", "msgpack", 400, ((msgpack, "_slice", _no_limit),)),
    Defect("depth-unchecked", "msgpack", 400, ((msgpack, "_room", _nothing),)),
    Defect("dns-loop", "dns", 200, ((dns, "_name", FunctionType(_loose_name.__code__, vars(dns))),)),
    Defect("dns-hops-unbounded", "dns", 400, ((dns, "HOPS", 10**6),)),
    Defect("reply-not-asked-for", "resolver", 200, ((resolver.Resolver, "datagram_received", _any_reply),)),
    Defect("stale-news-taken", "roster", 50, ((roster.Roster, "event", _stale_news),)),
    Defect("two-lengths-taken", "http", 400, ((http, "_length", _lenient_length),)),
    Defect("spoilt-answer-passed", "lines", 100, ((runners, "read_ending", _spoilt_passes),)),
    Defect("dots-in-ids", "spiffe", 200, ((spiffe, "trust_domain", _any_segment),)),
    Defect("first-name-counts", "certificate", 200, ((spiffe, "_identity", _first_uri),)),
    Defect("figures-unchecked", "config", 400, ((wire, "figure", _figure_unchecked),)),
    Defect("foreign-call-collected", "deferred", 50, ((deferred.DeferredCalls, "find", _anyones),)),
    Defect("kept-bytes-leak", "deferred", 50, ((deferred.DeferredCalls, "remove", _size_kept),)),
)


def runs_until_found(defect: Defect, target: Target, seed: int = SEED) -> tuple[int, str] | None:
    """With the defect planted: after how many drawn runs it shows, and as what; None within its runs."""
    rng, corpus = random.Random(f"{seed} {defect.name}"), list[bytes]()
    metered = defect.target == "dns"  # a loop shows by its work
    with defect.planted():
        for number in range(1, defect.runs + 1):
            data = target.next(rng, corpus)
            if (wrong := verdict(target, data, metered=metered)) is not None:
                return number, wrong
            if rng.random() < 0.1:
                corpus.append(data)
    return None


def prove(tell: Callable[[str], None], names: set[str] | None = None, seed: int = SEED) -> list[str]:
    """Plant each defect in turn; the names of those that were not found."""
    missed, known = [], targets.named()
    for defect in DEFECTS:
        if names is not None and defect.name not in names:
            continue
        found = runs_until_found(defect, known[defect.target], seed)
        if found is None:
            missed.append(defect.name)
            tell(f"{defect.name:24} {defect.target:12} NOT FOUND in {defect.runs} runs")
        else:
            tell(f"{defect.name:24} {defect.target:12} run {found[0]:5} of {defect.runs:5}  {found[1][:60]}")
    return missed
