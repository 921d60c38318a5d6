"""The codec of the bench's wire: frames to events and actions to frames. It decides nothing."""

from __future__ import annotations

import json
import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

from cedarthread import interface as i

T = TypeVar("T")


class WireError(Exception):
    """A frame that is not what the wire page describes."""


@dataclass(frozen=True, slots=True)
class Start:
    """An instance starts, with nothing but its seed and settings."""

    seed: int
    settings: i.Settings


@dataclass(frozen=True, slots=True)
class Kill:
    """An instance was killed."""


HostEvent = i.Event | Start | Kill

_HEADER = struct.Struct("<IdI")
_ENTRY = struct.Struct("<IBHHBfd")
_U32 = struct.Struct("<I")
_OUTCOMES = {
    200: i.Outcome.OK,
    502: i.Outcome.ERROR,
    429: i.Outcome.FULL,
    408: i.Outcome.TIMEOUT,
    521: i.Outcome.CONNECT_FAILED,
    520: i.Outcome.RESET,
    444: i.Outcome.CANCELLED,
    409: i.Outcome.MOOT,
    204: i.Outcome.MISS,
}
_NOTES = (i.CopyNote.NONE, i.CopyNote.FOUND, i.CopyNote.BEGAN, i.CopyNote.AWAITED, i.CopyNote.LOAD_FAILED)
_LIST_KINDS = {4: i.ListKind.DELTA, 3: i.ListKind.FULL, 1: i.ListKind.CACHED, 2: i.ListKind.FAILED}
_STATES = {0: i.WorkerState.GONE, 1: i.WorkerState.DRAINING, 2: i.WorkerState.READY}
_EFFECTS = {"retryable": i.Effect.SAFE, "dedup": i.Effect.KEYED, "fragile": i.Effect.UNSAFE}


def positive(value: Any) -> float | None:
    """A positive finite number, or None where there is none."""
    if isinstance(value, (int, float)) and math.isfinite(value) and value > 0:
        return float(value)
    return None


def figure(value: Any, least: float = 0.0) -> float:
    """A number from ``least`` to 10^15: a larger one, an infinite one or none is a slip, ValueError."""
    number = float(value)
    if not least <= number <= 1e15:
        raise ValueError(f"{number} is not from {least:g} to 1e+15")
    return number


def _attempts(value: Any) -> int:
    """A number of attempts: above 0, a part of one counting as one."""
    number = figure(value)
    if not number > 0:
        raise ValueError(f"{number:g} is no number above 0")
    return max(1, int(number))


def _span(ms: float) -> float:
    """A time or a span. Past 10^15 ms adding to a clock may leave it as it is: timers never end."""
    if not abs(ms) <= 1e15:
        raise WireError(f"{ms} ms is no time")
    return ms


def _window(value: Any) -> float:
    """A span of ms that is counted in; 0 for none. Under 1 ms is a slip: nothing would be in it."""
    return figure(value, 1.0) if value else 0.0


def _pick(table: dict[Any, Any], key: Any, what: str) -> Any:
    if key not in table:
        raise WireError(f"unknown {what} {key!r}")
    return table[key]


class _Reader:
    """Reads packed fields from one frame and names the place where it breaks."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, layout: struct.Struct) -> tuple[Any, ...]:
        if self.at + layout.size > len(self.data):
            raise WireError(f"record cut short at byte {self.at} of {len(self.data)}")
        got = layout.unpack_from(self.data, self.at)
        self.at += layout.size
        return got

    def bytes(self, count: int) -> bytes:
        if self.at + count > len(self.data):
            raise WireError(f"record cut short at byte {self.at} of {len(self.data)}")
        self.at += count
        return self.data[self.at - count : self.at]

    def report(self) -> tuple[float | None, ...]:
        (count,) = self.take(_U8)
        raw = self.bytes(4 * count)
        return tuple(v if math.isfinite(v) and v >= 0 else None for v in struct.unpack(f"<{count}f", raw))


_U8 = struct.Struct("<B")
_UPDATE = struct.Struct("<BQI")
_ARRIVAL = struct.Struct("<IfdQHffdHH")
_FIRST = struct.Struct("<IHId")
_DONE = struct.Struct("<IIdIHHB")
_SAMPLED = struct.Struct("<dIH")
_MEMO = struct.Struct("<IH")
_READY = struct.Struct("<BIQHd")
_ENLIST = struct.Struct("<QI")


class Decoder:
    """Decodes batches; holds the numbered worker lists, which belong to the whole process."""

    def __init__(self) -> None:
        self.tables: dict[int, tuple[i.Worker, ...]] = {}
        self.has_tenants: dict[int, bool] = {}

    def batch(self, frame: bytes) -> tuple[float, Iterator[tuple[int, HostEvent]]]:
        """The clock, and the (instance, event) pairs in order."""
        if len(frame) < _HEADER.size:
            raise WireError(f"batch header cut short: {len(frame)} bytes")
        length, now, count = _HEADER.unpack_from(frame)
        if length != len(frame):
            raise WireError(f"batch says {length} bytes and has {len(frame)}")
        _span(now)
        reader = _Reader(frame)
        reader.at = _HEADER.size
        return now, self._records(reader, count)

    def _records(self, r: _Reader, count: int) -> Iterator[tuple[int, HostEvent]]:
        who: int | None = None
        for number in range(count):
            place = r.at
            (code,) = r.take(_U8)
            if code == 13:
                (who,) = r.take(_U32)
            elif code == 12:
                self._table(r)
            elif who is None:
                raise WireError(f"event record {number} at byte {place} names no instance")
            else:
                try:
                    event = self._event(r, code, who)
                except WireError as error:
                    raise WireError(f"event record {number} (code {code}) at byte {place}: {error}") from None
                yield who, event
        if r.at != len(r.data):
            raise WireError(f"{len(r.data) - r.at} bytes after the last record at byte {r.at}")

    def _table(self, r: _Reader) -> None:
        (number,) = r.take(_U32)
        (count,) = r.take(_U32)
        raw = r.bytes(count * _ENTRY.size)
        self.tables[number] = tuple(
            i.Worker(
                host, zone, kind, cell, _pick(_STATES, state, "status"), positive(weight), positive(started)
            )
            for host, zone, kind, cell, state, weight, started in _ENTRY.iter_unpack(raw)
        )

    def _event(self, r: _Reader, code: int, who: int) -> HostEvent:
        if code == 1:
            seed, count = r.take(_ENLIST)
            settings = parse_settings(r.bytes(count))
            self.has_tenants[who] = bool(settings.tenants)
            return Start(seed, settings)
        if code == 2:
            kind, version, number = r.take(_UPDATE)
            scope = _pick(_LIST_KINDS, kind, "list kind")
            workers = () if scope is i.ListKind.FAILED else _pick(self.tables, number, "table")
            return i.Membership(scope, version, workers)
        if code == 3:
            tid, lanes, give_up, key, klass, memory, load_time, work, tenant, flags = r.take(_ARRIVAL)
            return i.Request(
                tid,
                key,
                klass,
                _span(give_up),
                tenant if self.has_tenants.get(who) else None,
                positive(lanes),
                positive(memory),
                positive(load_time),
                positive(work) if flags & 1 else None,
                bool(flags & 2),
                bool(flags & 4),
            )
        if code == 4:
            request, attempt, worker, took = r.take(_FIRST)
            return i.StreamBegan(request, attempt, worker, _span(took))
        if code == 5:
            tid, host, lag, remark, attempt, verdict, settled = r.take(_DONE)
            outcome = _pick(_OUTCOMES, verdict, "verdict")
            low = remark & 7
            note = _NOTES[low] if low < len(_NOTES) else i.CopyNote.NONE
            return i.AttemptEnded(
                tid, attempt, host, outcome, _span(lag), bool(settled), note, (remark >> 3) & 31, r.report()
            )
        if code == 6:
            return i.ClientGone(*r.take(_U32))
        if code == 7:
            return i.TimerDue(*r.take(_U32))
        if code == 8:
            lag, host, verdict = r.take(_SAMPLED)
            return i.ProbeEnded(host, _pick(_OUTCOMES, verdict, "verdict"), _span(lag), r.report())
        if code == 9:
            sender, count = r.take(_MEMO)
            return i.PeerMessage(sender, r.bytes(count))
        if code == 10:
            return Kill()
        if code == 11:
            copies, host, key, verdict, lag = r.take(_READY)
            return i.OrderEnded(host, key, _pick(_OUTCOMES, verdict, "verdict"), copies, _span(lag))
        raise WireError(f"unknown event code {code}")


def parse_settings(raw: bytes) -> i.Settings:
    """Settings from the JSON text; keys that are not known are skipped."""
    try:
        top = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise WireError(f"settings: {type(error).__name__}: {error}") from None
    return settings_from(top)


def settings_from(top: Any) -> i.Settings:
    """Settings from the parsed object."""
    try:
        return _settings(top)
    except (ValueError, KeyError, TypeError, AttributeError, ArithmeticError) as error:
        raise WireError(f"settings: {type(error).__name__}: {error}") from None


def _class(c: dict[str, Any]) -> i.RequestClass:
    return i.RequestClass(
        name=str(c.get("name", "")),
        aim=figure(c["goal-time"]),
        deadline=figure(c["deadline"], 1.0),
        worth=figure(c.get("value", 1)),
        late_worth=figure(c.get("late-worth", 0)),
        effect=_pick(_EFFECTS, c["effect"], "effect"),
        group=i.Group(c.get("group") or "all"),
        window=figure(c.get("repeat-window", 0)),
        stream=bool(c.get("stream", False)),
        aim_stretch=figure(c.get("aim-stretch") or 0),
    )


def _where(where: str, read: Callable[[Any], T], part: Any) -> T:
    """Read one part; an error says which part it was in."""
    try:
        return read(part)
    except KeyError as error:
        raise ValueError(f"{where}: {error} is missing") from None
    except (ValueError, TypeError, AttributeError, ArithmeticError) as error:
        raise ValueError(f"{where}: {error}") from None


def _settings(top: dict[str, Any]) -> i.Settings:
    limits, rules, prices = top["limits"], top["obligations"], top.get("prices", {})
    special, report = top.get("specifics", {}), top.get("report", {})
    classes = tuple(_where(f"classes[{n}]", _class, c) for n, c in enumerate(top["classes"]))
    tenants = tuple(
        i.Tenant(str(t.get("name", "")), figure(t.get("share", 0)), positive(t.get("quota-per-s")))
        for t in top.get("tenants") or ()
    )
    return i.Settings(
        classes=classes,
        tenants=tenants,
        limits=i.Limits(
            attempts=_where("limits.send-cap", _attempts, limits["send-cap"]),
            open_requests=int(figure(limits["most-held"])),
            cancel=bool(limits.get("cancel", False)),
            probes=bool(limits.get("probing", False)),
            peers=bool(limits.get("peers", False)),
            second_copies=bool(limits.get("second-copies", False)),
            retry_after=bool(limits.get("retry-after", False)),
            max_retry_after=figure(limits.get("max-retry-after", 0)),
            streams=int(figure(limits.get("streams-per-conn") or 32)),
            connect_timeout=figure(limits.get("connect-timeout") or 250),
            idle=figure(limits.get("conn-idle") or 30000),
        ),
        rules=i.Rules(
            answer_slack=figure(rules.get("answer-slack", 0)),
            drain_grace=figure(rules.get("stop-sending-within", 0)),
            cold_from=figure(rules.get("cold-from", 1)),
            cold_time=figure(rules.get("warm-after", 0)),
            fall_multiple=figure(rules.get("overload-factor", 1)),
            fall_time=figure(rules.get("fall", 0)),
            ask_within=figure(rules.get("ask-every", 0)),
            load_free=figure(special.get("loads-anyway", 0)),
            load_share=figure(special.get("load-share", 0)),
            load_window=_window(special.get("load-window", 0)),
        ),
        prices=i.Prices(
            fetch=figure(prices.get("origin", 0)),
            probe=figure(prices.get("probe", 0)),
            peer=figure(prices.get("peer", 0)),
            cross_zone=figure(prices.get("cross-zone", 0)),
            waste=figure(prices.get("waste", 0)),
            late_fail=figure(prices.get("late-fail", 0)),
            idle_memory=figure(special.get("idle-price", 0)),
        ),
        gateways=int(figure(top["balancers"])),
        ordinal=int(figure(top.get("ordinal", 0))),
        zone=int(figure(top.get("zone", 0))),
        tick=figure(top.get("quantum", 0)),
        discovery=i.Discovery(top.get("membership-mode", "push")),
        on_miss=i.OnMiss(special.get("on-miss", "load")),
        orders=bool(special.get("may-order", False)),
        keep_alive=figure(special.get("keep-alive", 0)),
        order_timeout=figure(special.get("order-limit", 0)),
        tells_warm=bool(special.get("says-warm", False)),
        tells_crowd=bool(special.get("notes-peers-in-hand", False)),
        over_share_worth=figure(top.get("over-share-worth", 1)),
        reports=i.Reports(report.get("how", "none")),
        report_columns=tuple(str(c) for c in report.get("columns", ())),
        memory_by_kind=tuple(figure(m) for m in special.get("memory-mb-by-kind", ())),
        weights=i.Weights(top.get("weight-source", "none")),
        zones=tuple(str(z) for z in top.get("localities", ())),
        kinds=tuple(str(k) for k in top.get("kinds", ())),
    )


def _text(code: int, data: bytes) -> bytes:
    return struct.pack("<BH", code, min(len(data), 65535)) + data[:65535]


def _tell(a: i.Tell) -> bytes:
    return struct.pack("<BHH", 70, 0xFFFF if a.peer is None else a.peer, len(a.data)) + a.data


_ENCODERS: dict[type, Callable[[Any], bytes]] = {
    i.Send: lambda a: struct.pack(
        "<BIId", 71, a.request, a.worker, 0.0 if a.patience is None else a.patience
    ),
    i.Refuse: lambda a: struct.pack("<BId", 68, a.request, a.retry_after or 0.0),
    i.Fail: lambda a: struct.pack("<BI", 77, a.request),
    i.Cancel: lambda a: struct.pack("<BIH", 79, a.request, a.attempt),
    i.Order: lambda a: struct.pack("<BIQB", 65, a.worker, a.function, a.copies),
    i.Unload: lambda a: struct.pack("<BQI", 76, a.function, a.worker),
    i.Probe: lambda a: struct.pack("<BI", 78, a.worker),
    i.Tell: _tell,
    i.Subscribe: lambda a: struct.pack("<BB", 74, a.on),
    i.FetchList: lambda a: struct.pack("<B", 73),
    i.CloseIdle: lambda a: struct.pack("<BI", 66, a.worker),
    i.SetTimer: lambda a: struct.pack("<BdI", 67, a.at, a.token),
    i.Log: lambda a: _text(75, a.text.encode()),
}


def encode_action(action: i.Action) -> bytes:
    """One action as a record."""
    return _ENCODERS[type(action)](action)


def encode_instance(who: int) -> bytes:
    """The record that selects an instance for the actions after it."""
    return struct.pack("<BI", 72, who)


def encode_broken(text: str) -> bytes:
    """The record that reports a failure of the decision code."""
    return _text(69, text.encode())


def encode_reply(records: list[bytes]) -> bytes:
    """A whole reply frame."""
    body = b"".join(records)
    return _U32.pack(4 + len(body)) + body
