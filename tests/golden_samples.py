"""Samples of all that goes over a wire or onto a disk, each made by a deterministic builder.

``python -m tests.golden_samples --write`` keeps them in ``tests/golden``.
``tests/contracts/test_golden.py`` compares.
What is read is kept as plain values: no name of a class, field or member stands in a file.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import dataclasses
import hashlib
import json
import math
import re
import sqlite3
import struct
import sys
import tempfile
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import datetime
from enum import Enum, StrEnum
from pathlib import Path
from typing import TYPE_CHECKING, Literal

import msgspec

from cedarthread import fleet_config
from cedarthread.change_freeze import window_entries
from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.components.notifications import WallClockRead
from cedarthread.components.replicated_state import Entry, EntryKind, Version
from cedarthread.config import Config
from cedarthread.config import decode as read_config
from cedarthread.dispatch import calls
from cedarthread.escrow import codec as escrow_codec
from cedarthread.escrow.escrow import Escrow
from cedarthread.gossip import codec as gossip_codec
from cedarthread.gossip.load_gossip import LoadGossip
from cedarthread.membership import codec as members_form
from cedarthread.model.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    PreloadFunction,
    RejectRequest,
    SendToPeer,
    SetTimer,
    StartAttempt,
    SubscribeEndpoints,
    UnloadFunction,
)
from cedarthread.model.endpoints import EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import (
    AttemptEnded,
    ClientDisconnected,
    Event,
    HealthCheckEnded,
    PeerMessageReceived,
    PreloadEnded,
    RequestArrived,
    StreamStarted,
    TimerFired,
)
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.model.settings import Limits, RouterSettings, Tenant
from cedarthread.node.routing_node import RoutingNode
from cedarthread.persistence import recovered_image
from cedarthread.persistence.sqlite_store import SqliteBackend
from cedarthread.priority import codec as pressure_form
from cedarthread.priority import contract_entries
from cedarthread.protocols import dns, http, msgpack
from cedarthread.protocols.discovery import client as protocols_discovery
from cedarthread.protocols.discovery.endpoint_list import EndpointList, EndpointRecord
from cedarthread.protocols.discovery.endpoint_records import endpoints_from_reply
from cedarthread.protocols.invoke.config import InvokeConfig
from cedarthread.protocols.invoke.config import parse as parse_invoke
from cedarthread.protocols.invoke.requests import parse_call_request, worker_idempotency_key
from cedarthread.protocols.invoke.responses import render_answer
from cedarthread.protocols.platform.codec import encode_answer, encode_error, encode_health, parse_call
from cedarthread.protocols.worker.codec import encode_call, encode_message, parse_call_response
from cedarthread.recovery import codec as return_form
from cedarthread.recovery.component import RecoveryComponent
from cedarthread.recovery.pacing_limits import PacedAction
from cedarthread.recovery.warm_state import AgedObservation
from cedarthread.replication import codec as register_form
from cedarthread.replication import entry as entries
from cedarthread.service import Service
from cedarthread.settings_parser import settings_from_object
from cedarthread.simulator import host as simulator_host
from cedarthread.simulator.decoder import Decoder, InstanceKilled, InstanceStarted
from cedarthread.simulator.encoder import encode_action, encode_failure, encode_instance, encode_reply
from cedarthread.testing.fakes import client as client_side
from cedarthread.testing.fakes import discovery_server as resolver_side
from cedarthread.testing.fakes.scripted import ScriptedWorker, ask_control, endpoint_record, service
from cedarthread.testing.fakes.settings import SETTINGS as STANDIN_SETTINGS
from tests.golden_log_lines import old_sentence
from tests.helpers import settings as some_settings
from tests.helpers import worker
from tests.integration.invoke_caller import DESK_ID, Authority, Caller, read_invoke_config

if TYPE_CHECKING:
    from cedarthread.persistence.store import LoadResult, SyncMode

FOLDER = Path(__file__).parent / "golden"
FUNCTION = 0x7F3A9C21E0B4D655

Json = None | bool | int | float | str | list["Json"] | dict[str, "Json"]
Reads = Callable[[bytes], Json]
Again = Callable[[bytes], bytes]


@dataclass(frozen=True)
class Sample:
    """Bytes, what is read of them in plain values, and how they are read and written again."""

    name: str
    data: bytes
    reads: Reads | None = None
    again: Again | None = None


def plain(value: object) -> Json:
    """A value without the names of its class, fields and members: they may be renamed."""
    if isinstance(value, datetime):
        return value.isoformat()
    if isinstance(value, StrEnum):  # stands as it is in stored data
        return str(value.value)
    if isinstance(value, Enum) and not isinstance(value, int):
        return [one is value for one in type(value)].index(True)
    if isinstance(value, float):
        return value if math.isfinite(value) else str(value)
    if isinstance(value, (bytes, bytearray, memoryview)):
        return bytes(value).hex()
    if isinstance(value, bool) or value is None or isinstance(value, str):
        return value
    if isinstance(value, int):
        return int(value)
    if isinstance(value, msgspec.Struct):
        return plain(msgspec.structs.astuple(value))
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return plain(dataclasses.astuple(value))
    if isinstance(value, dict):
        return {str(plain(key)): plain(one) for key, one in value.items()}
    if isinstance(value, (list, tuple)):
        return [plain(one) for one in value]
    raise TypeError(f"no plain value: {type(value)}")


def readable(message: object) -> object:
    """What was decoded, which must not be the word for what can't be."""
    if isinstance(message, MalformedDatagram):
        raise ValueError(message.reason)
    return message


# Datagrams between routers.


def _gossip_again(data: bytes) -> bytes:
    news = gossip_codec.decode(data)
    if isinstance(news, MalformedDatagram):
        raise ValueError(news.reason)
    return gossip_codec.encode(news)


def _gossip(name: str, data: bytes) -> Sample:
    return Sample(name, data, lambda raw: plain(readable(gossip_codec.decode(raw))), _gossip_again)


def talk_exchange() -> list[tuple[str, bytes]]:
    """Two routers that tell each other of their calls."""
    one = LoadGossip(some_settings(router_count=3, router_index=0), 11, 0x01020304)
    two = LoadGossip(some_settings(router_count=3, router_index=1), 12, 0xF1F2F3F4)
    said: list[tuple[str, bytes]] = []
    now_ms: float = 0.0
    for step in range(12):
        for number, talk in enumerate((one, two)):
            for call in range(1 + step % 3):
                talk.on_first_attempt()
                talk.on_attempt_sent(1 + (step + call) % 4, FUNCTION + 977 * call)
            if step > 2:
                is_loaded = (True, False, None)[step % 3]
                talk.on_attempt_ended(now_ms, 1 + step % 4, FUNCTION, is_loaded=is_loaded)
            for tell in talk.collect_due_datagrams(now_ms):
                said.append((f"exchange {step} of {number} for {tell.peer_index}", tell.data))
                other = two if talk is one else one
                other.on_message(now_ms, number, tell.data)
        now_ms += 400.0
    return said


def gossip() -> list[Sample]:
    copies = (
        gossip_codec.InstanceUpdate(gossip_codec.fold_function_id(FUNCTION), 3, 1250.0),
        gossip_codec.InstanceUpdate(1, 300, None),
    )
    workers = (gossip_codec.WorkerUpdate(7, 12, copies), gossip_codec.WorkerUpdate(2**32 - 1, 999))
    full = tuple(
        gossip_codec.WorkerUpdate(n, n, (gossip_codec.InstanceUpdate(n, 1, 100.0 * n),)) for n in range(20)
    )
    news: dict[str, gossip_codec.LoadUpdate] = {
        "asks": gossip_codec.LoadUpdate(0xDEADBEEF, 1, True, ()),
        "workers and copies": gossip_codec.LoadUpdate(0xDEADBEEF, 77, False, workers),
        "filled up": gossip_codec.LoadUpdate(1, 2**32 - 1, False, full),
        "oldest find": gossip_codec.LoadUpdate(
            5, 6, True, (gossip_codec.WorkerUpdate(1, 0, (gossip_codec.InstanceUpdate(2, 0, 1e9),)),)
        ),
    }
    made = [_gossip(name, gossip_codec.encode(one)) for name, one in news.items()]
    return made + [_gossip(name, data) for name, data in talk_exchange()]


def _members_again(data: bytes) -> bytes:
    message = members_form.decode(data)
    if isinstance(message, MalformedDatagram):
        raise ValueError(message.reason)
    return members_form.encode(message)


def membership() -> list[Sample]:
    status: tuple[members_form.MemberStatus, ...] = (
        members_form.MemberStatus.ALIVE,
        members_form.MemberStatus.SUSPECT,
        members_form.MemberStatus.DEAD,
    )
    some = tuple(members_form.MemberUpdate(n, 1000 + n, status[n % 3]) for n in range(5))
    full = tuple(members_form.MemberUpdate(n, n, status[n % 3]) for n in range(members_form.MAX_UPDATES))
    messages: dict[str, members_form.SwimMessage] = {
        "ping": members_form.SwimMessage(members_form.MessageKind.PING, 3, 17),
        "answer": members_form.SwimMessage(members_form.MessageKind.ACK, 4, 17, 0, some),
        "ask for another": members_form.SwimMessage(
            members_form.MessageKind.PING_REQUEST, 2**32 - 1, 65535, 9, some[:1]
        ),
        "news filled up": members_form.SwimMessage(members_form.MessageKind.UPDATE, 5, 0, 0, full),
    }
    return [
        Sample(
            name,
            members_form.encode(one),
            lambda raw: plain(readable(members_form.decode(raw))),
            _members_again,
        )
        for name, one in messages.items()
    ]


def _register_again(data: bytes) -> bytes:
    message = register_form.decode(data)
    if isinstance(message, MalformedDatagram):
        raise ValueError(message.reason)
    return register_form.encode(message)


def register() -> list[Sample]:
    body = bytes(range(256)) * 3
    first, *_, last = register_form.split_into_fragments(body, 0x1122334455667788)
    messages: dict[str, register_form.Message] = {
        "pull": register_form.SyncRequest(1, 2**63 + 5, 3, 208, 9),
        "reply": register_form.SyncResponse(1, 2, 3, True, 40, 0, bytes((0, 63, 64, 128, 255)), 8, 1.75e12),
        "reply without wall clock": register_form.SyncResponse(1, 2, 3, False, 1, 208, b""),
        "ask": register_form.SummaryRequest(
            5, tuple(n * 0x0102030405 for n in range(register_form.BUCKET_COUNT))
        ),
        "summary": register_form.Summary(
            5,
            6,
            7,
            0b110,
            0,
            1,
            tuple(register_form.EntryRef(*ref) for ref in ((1, 2), (2, 2**32 - 1), (33, 0))),
        ),
        "summary in parts": register_form.Summary(
            5, 6, 7, 0b10, 1, 3, tuple(register_form.EntryRef(*ref) for ref in ((1, 2), (33, 4)))
        ),
        "want": register_form.FetchRequest(
            tuple(
                register_form.FetchItem(*item)
                for item in ((1, 2, register_form.ALL_FRAGMENTS), (2**32 - 1, 0, 5))
            )
        ),
        "first piece": first,
        "last piece": last,
    }
    return [
        Sample(
            name,
            register_form.encode(one),
            lambda raw: plain(readable(register_form.decode(raw))),
            _register_again,
        )
        for name, one in messages.items()
    ]


FLEET = b"""
[sharing]
period = 200
clock-error = 250
[disk]
folder = "kept"
sync = "each"
[overload]
onset = 1.2
end = 0.8
dwell = 2.0
preempts = 35.5
[[tier]]
name = "gold"
[[tier]]
name = "best-effort"
[[contract]]
tenant = "shop"
tier = "gold"
rate = 12.5
floor = 0.25
[[contract]]
tenant = "m\xc3\xbcller"
tier = "best-effort"
rate = 3
[[freeze]]
id = "fair"
start = 2026-03-01T08:00:00Z
end = 2026-03-01T14:30:00+01:00
author = "ops"
reason = "spring fair"
rooms = ["room-b", "room-a"]
functions = ["7f3a9c21e0b4d655", "0000000000000001"]
tenants = ["shop"]
frozen = ["unload", "first-copy"]
allowance = 12
[[freeze]]
id = "all"
start = 2026-03-02T00:00:00Z
end = 2026-03-02T01:00:00Z
author = "ops"
reason = ""
[[revoke]]
freeze = "all"
author = "lead"
reason = "not needed"
[[break-glass]]
freeze = "fair"
author = "lead"
reason = "outage"
end = 2026-03-01T09:00:00Z
"""


def declared_entries() -> list[Entry]:
    """The entries of the operators' file, each with a version."""
    fleet: fleet_config.FleetConfig = fleet_config.parse_fleet_config(FLEET)
    bodies: list[tuple[EntryKind, str, bytes]] = [
        *contract_entries.entries_from_config(fleet),
        *window_entries.entries_from_config(fleet),
    ]
    return [
        Entry(kind, name, Version(number + 1, number % 3, 2**63 + number), body, number * 2**60)
        for number, (kind, name, body) in enumerate(bodies)
    ]


def _entry_of(data: bytes) -> Entry:
    entry = entries.decode(data)
    if isinstance(entry, entries.RejectedEntry):
        raise ValueError(entry.problem)
    return entry


def _entry_reads(data: bytes) -> Json:
    entry = _entry_of(data)
    sums: list[int] = [entries.entry_digest(entry), entries.key_hash(entry.kind, entry.name)]
    if entry.kind in (EntryKind.TIERS, EntryKind.CONTRACT):
        said: object = (
            contract_entries.decode_tier_order(entry)
            if entry.kind is EntryKind.TIERS
            else contract_entries.decode_contract(entry)
        )
    else:
        said = window_entries.decode(entry.kind, entry.name, entry.body)
    return [plain(entry), plain(sums), plain(readable(said))]


def register_entries() -> list[Sample]:
    return [
        Sample(
            f"{entry.kind.value} {entry.name}",
            entries.encode(entry),
            _entry_reads,
            lambda raw: entries.encode(_entry_of(raw)),
        )
        for entry in declared_entries()
    ]


def _grants_again(data: bytes) -> bytes:
    message = escrow_codec.decode(data)
    if isinstance(message, MalformedDatagram):
        raise ValueError(message.reason)
    return escrow_codec.encode(message)


def grants() -> list[Sample]:
    pool: int = escrow_codec.pool_key("tenant/shop")
    messages: dict[str, escrow_codec.EscrowRequest | escrow_codec.EscrowResponse] = {
        "ask": escrow_codec.EscrowRequest(pool, 2**64 - 1, 7, 12),
        "ask for most": escrow_codec.EscrowRequest(pool, 1, 2**32 - 1, 2**40),
        "answer": escrow_codec.EscrowResponse(pool, 1, 2, 3, 4, 5, 4000, 1000, 60, 2),
        "answer none": escrow_codec.EscrowResponse(pool, 1, 3, 3, 4, 0, 0, 2**40, 0),
    }
    return [
        Sample(
            name,
            escrow_codec.encode(one),
            lambda raw: plain(readable(escrow_codec.decode(raw))),
            _grants_again,
        )
        for name, one in messages.items()
    ]


def _return_again(data: bytes) -> bytes:
    message = return_form.decode(data)
    if isinstance(message, MalformedDatagram):
        raise ValueError(message.reason)
    return return_form.encode(message)


def recovery() -> list[Sample]:
    places = [AgedObservation(n % 3, 50 + n % 3, 1000 + n, 49.0 * n, n % 4 > 0, n % 16) for n in range(60)]
    groups: list[list[AgedObservation]] = return_form.split_into_datagrams(places)
    messages: dict[str, return_form.Message] = {
        "ask": return_form.Query(2**32 - 1, 3, 4),
        "busy": return_form.Busy(9, 750.0, 12),
        "busy naming nobody": return_form.Busy(9, 1e9),
        "tell nothing": return_form.Response(9, 0, 1, None, 0.0),
        "tell rates": return_form.Response(9, 0, 1, 0.5, 12300.0, tuple(places[:3]), (1.25, 0.5)),
    }
    for number, group in enumerate(groups):
        messages[f"part {number}"] = return_form.Response(9, number, len(groups), 1.0, 1e9, tuple(group))
    return [
        Sample(
            name, return_form.encode(one), lambda raw: plain(readable(return_form.decode(raw))), _return_again
        )
        for name, one in messages.items()
    ]


def _pressure_again(data: bytes) -> bytes:
    told = pressure_form.decode(data)
    if isinstance(told, MalformedDatagram):
        raise ValueError(told.reason)
    return pressure_form.encode(list(told))


def pressure() -> list[Sample]:
    full = [
        pressure_form.RouterPressure(n, n / 10, 1.7**n if n < 20 else 1e6, 333.0 * n)
        for n in range(pressure_form.MAX_ENTRIES)
    ]
    told: dict[str, list[pressure_form.RouterPressure]] = {
        "own": [pressure_form.RouterPressure(0, 1.0, 250.0, 0.0)],
        "filled up": full,
    }
    return [
        Sample(
            name,
            pressure_form.encode(one),
            lambda raw: plain(readable(pressure_form.decode(raw))),
            _pressure_again,
        )
        for name, one in told.items()
    ]


# A whole fleet in one process, and all that its routers tell each other.

WALL = 1_772_352_000_000.0  # 2026-03-01T08:00:00Z


class Routers:
    """Some routers under one clock; datagrams arrive at the next step."""

    def __init__(self, count: int) -> None:
        self.now_ms: float = 1000.0
        self.told: list[bytes] = []
        self.records: list[bytes] = []
        self.post: list[tuple[int, int, bytes]] = []
        self.timers: list[tuple[float, int, int]] = []
        limits: Limits = dataclasses.replace(some_settings().limits, allows_gossip=True)
        tenants = (Tenant("shop", 0.5, None), Tenant("m\u00fcller", 0.5, None))
        self.all: list[RoutingNode] = [
            RoutingNode(
                some_settings(router_count=count, router_index=n, limits=limits, tenants=tenants),
                70 + n,
                500 + n,
            )
            for n in range(count)
        ]
        fleet: fleet_config.FleetConfig = fleet_config.parse_fleet_config(
            FLEET.replace(b'[disk]\nfolder = "kept"\nsync = "each"\n', b"")
        )
        ready = tuple(worker(n, started=100.0 * n) for n in range(1, 7))
        for who in range(count):
            self.feed(who, EndpointUpdate(EndpointUpdateKind.CACHED, 1, ready))
            self.act(who, self.all[who].apply_fleet_config(self.now_ms, fleet, lambda: WALL + self.now_ms))

    def feed(self, who: int, event: Event) -> None:
        self.act(who, self.all[who].handle(self.now_ms, event))

    def act(self, who: int, actions: Sequence[Action]) -> None:
        for action in actions:
            kept = LogMessage(old_sentence(action.message)) if isinstance(action, LogMessage) else action
            self.records.append(encode_instance(who) + encode_action(kept))
            if isinstance(action, SendToPeer):
                self.told.append(action.data)
                others = [n for n in range(len(self.all)) if n != who]
                self.post += [(who, to, action.data) for to in others if action.peer_index in (None, to)]
            elif isinstance(action, SetTimer):
                self.timers.append((action.at_ms, who, action.token))

    def run(self, steps: int) -> None:
        for step in range(steps):
            self.now_ms += 50.0
            post, self.post = self.post, []
            for sender, to, data in post:
                self.feed(to, PeerMessageReceived(sender, data))
            due = sorted(one for one in self.timers if one[0] <= self.now_ms)
            self.timers = [one for one in self.timers if one[0] > self.now_ms]
            for _, who, token in due:
                self.feed(who, TimerFired(token))
            if step % 2 == 0:
                self.call(step)

    def call(self, step: int) -> None:
        who = step // 2 % len(self.all)
        function = FUNCTION + step % 10
        request = RequestArrived(
            step + 1, function, 0, self.now_ms + 1000.0, step // 2 % 2, 1.0, 128.0, 300.0, 20.0
        )
        before: int = len(self.records)
        self.feed(who, request)
        for record in self.records[before:]:
            if record[5] == 71:  # an attempt: it ends at once, and well
                number, at = struct.unpack_from("<II", record, 6)
                note = StartKind.COLD if step < 20 else StartKind.WARM
                self.feed(who, AttemptEnded(number, 0, at, Outcome.OK, 20.0, True, note, 0))


def fleet() -> list[Sample]:
    """Datagrams as whole routers make them: the first ones of each kind, and the sum of all in order."""
    routers = Routers(3)
    routers.run(160)
    seen: dict[bytes, int] = {}
    samples: list[Sample] = []
    again: dict[int, Again] = {
        0xC1: _gossip_again,
        0xC2: _members_again,
        0xC3: _register_again,
        0xC4: _grants_again,
        0xC5: _return_again,
        0xC6: _pressure_again,
    }
    for data in routers.told:
        kind: bytes = data[:1] if data[0] in (0xC1, 0xC6) else data[:2]
        seen[kind] = seen.get(kind, 0) + 1
        if seen[kind] <= 4:
            samples.append(Sample(f"{kind.hex()} {seen[kind]}", data, None, again[data[0]]))
    samples += [Sample(f"{kind.hex()} count", b"%d" % count) for kind, count in sorted(seen.items())]
    for name, parts_of in (("all datagrams", routers.told), ("all actions", routers.records)):
        samples.append(Sample(f"{name} sha256", hashlib.sha256(b"".join(parts_of)).digest()))
    for who, router in enumerate(routers.all):
        samples.append(
            text(f"state {who}", json.dumps(router.status(routers.now_ms), indent=0, sort_keys=True))
        )
    return samples


def text(name: str, content: str) -> Sample:
    return Sample(name, content.encode())


# The workers' wire.


def runner_lines() -> list[Sample]:
    def call(body: bytes, key: str | None) -> calls.Call:
        return calls.Call("00000000000000a1", 0, FUNCTION, 0.0, body, lambda answer: None, key)

    columns: tuple[str, ...] = ("inflight", "x1", "util")
    fields: dict[str, object] = {"remark": "spawn", "depth": 4, "report": "inflight:7;util:0.61;odd:x"}
    answers: dict[str, dict[str, object]] = {
        "hit": {"op": "HIT", "id": "a1", "fields": fields, "body": "AAEC"},
        "hit awaited": {"op": "HIT", "id": "a1", "fields": {"remark": "pending", "depth": 99}, "body": ""},
        "miss": {"op": "NONE", "id": "a1", "fields": {"remark": "spawn_failed"}},
        "full": {"op": "SHED", "id": "a1", "fields": {"report": "x1:3"}},
        "failed": {"op": "FAULT", "id": "a1"},
        "moot": {"op": "LATE", "id": "a1", "fields": {"remark": "hit"}},
        "unknown": {"op": "OTHER", "id": "a1"},
        "spoilt body": {"op": "HIT", "id": "a1", "fields": {}, "body": "?"},
    }

    def reads(raw: bytes) -> Json:
        return plain(parse_call_response(json.loads(raw), columns))

    tag: str = "load-1"
    return [
        Sample("call", encode_call(call(b"body \x00\xff", None), '"check"', 1234.9)),
        Sample("keyed call", encode_call(call(b"", 'k"\u00e9'), json.dumps("rev\u00fc"), 0.2)),
        Sample("load", encode_message("LOAD", tag, {"thing": f"{FUNCTION:016x}", "pods": 2})),
        Sample("cancel", encode_message("CANCEL", "00000000000000a1")),
        Sample("unload", encode_message("UNLOAD", f"{FUNCTION:016x}")),
        *(Sample(f"answer {name}", json.dumps(one).encode(), reads) for name, one in answers.items()),
    ]


# The platform's wire.


def platform_wire() -> list[Sample]:
    some: RouterSettings = some_settings()

    def message(raw: bytes) -> Json:
        got = msgpack.parse(memoryview(raw))
        if not isinstance(got, msgpack.ParsedValue):
            raise ValueError("no whole value")
        return [plain(got.value), got.end]

    def request(raw: bytes) -> Json:
        got = msgpack.parse(memoryview(raw))
        if not isinstance(got, msgpack.ParsedValue):
            raise ValueError("no whole value")
        fields, body = got.value[3]
        klass: int = {"a": 0, "c": 2}[got.value[2]]
        call = parse_call(klass, some, fields, body, 1000.0)
        if isinstance(call, str):
            return call
        own = (
            call.call_id,
            call.class_index,
            call.function_id,
            call.deadline_ms,
            call.body,
            call.idempotency_key,
        )
        return plain((*own, call.concurrency, call.memory_mb, call.is_client_retry))

    asked: dict[str, str] = {"txn": "00000000000000a1", "limit": "3000", "item": "7f3a9c21e0b4d655"}
    changes: dict[str, tuple[str, dict[str, str]]] = {
        "call": ("a", {}),
        "keyed call": ("c", {"unique": "5c0f", "props": "memory_mb:512;lanes:2", "second": "1"}),
        "keyed call without key": ("c", {}),
        "bad function": ("a", {"item": "7f3a"}),
        "bad limit": ("a", {"limit": "-5"}),
        "limit out of range": ("a", {"limit": "0"}),
        "bad figures": ("a", {"props": "lanes:-1"}),
    }
    answers: dict[str, calls.CallResult] = {
        "served": calls.CallSucceeded(b"body \x00\xff"),
        "served long": calls.CallSucceeded(bytes(range(256)) * 2),
        "refused": calls.CallRejected(250.4),
        "refused with reason": calls.CallRejected(0.2, False, "frozen"),
        "refused without time": calls.CallRejected(None, True),
        "failed": calls.CallFailed(),
        "failed late": calls.CallFailed(True),
    }
    numbers: list[int] = [0, 127, 128, 255, 256, 65535, 65536, 2**32 - 1, 2**32, 2**64 - 1]
    return [
        *(
            Sample(f"request {name}", client_side.pack_call(7, klass, b"in\x00", asked | extra), request)
            for name, (klass, extra) in changes.items()
        ),
        Sample("request health", client_side.pack_health_check(), message),
        *(Sample(f"response {name}", encode_answer(70_000, one), message) for name, one in answers.items()),
        Sample("response no", encode_error(3, "BadRequest", {"reason": "x" * 40}), message),
        Sample("response ready", encode_health(3, is_ready=True), message),
        Sample("response not ready", encode_health(2**32, is_ready=False), message),
        *(Sample(f"number {number}", msgpack.pack_uint(number), message) for number in numbers),
        Sample("text", msgpack.pack_str("\u00e9" * 30), message),
        Sample("bytes", msgpack.pack_bin(bytes(300)), message),
        Sample("long bytes sha256", hashlib.sha256(msgpack.pack_bin(bytes(70_000))).digest()),
        Sample("fields", msgpack.pack_fields({"a": "b", "later": "5"}), message),
    ]


# The discovery's wire.


def discovery() -> list[Sample]:
    query: bytes = dns.encode_query(0xBEEF, protocols_discovery.SERVICE_NAME)
    listed = (
        resolver_side.ListedWorker("s-00000001", 9001, False, 0.0),
        resolver_side.ListedWorker("s-00000002", 9002, True, 1234.0),
    )

    def reads(raw: bytes) -> Json:
        reply = dns.parse(raw)
        if isinstance(reply, dns.UnusableReply):
            return reply.reason
        return [plain(reply), plain(endpoints_from_reply(reply))]

    whole: bytes = resolver_side.encode_reply(query, 41, listed, "room-a")
    return [
        Sample("query", query),
        Sample("reply", whole, reads),
        Sample("reply that lists nobody", resolver_side.encode_reply(query, 42, (), "room-a"), reads),
        Sample("reply cut short", whole[:-3], reads),
        Sample("reply truncated", whole[:2] + b"\x86" + whole[3:], reads),
        Sample("reply that says no", whole[:3] + b"\x03" + whole[4:], reads),
        Sample("query for a reply", query, reads),
    ]


# The simulator's wire.

SETTINGS: dict[str, object] = {
    "balancers": 3,
    "ordinal": 1,
    "zone": 1,
    "quantum": 1.0,
    "membership-mode": "ask",
    "over-share-worth": 0.25,
    "classes": [
        {"name": "x", "goal-time": 500.0, "deadline": 2000.0, "effect": "retryable", "value": 2.0},
        {"name": "y", "goal-time": 500, "deadline": 2000, "effect": "dedup", "group": "zone"},
        {
            "name": "w",
            "goal-time": 50,
            "deadline": 900,
            "effect": "fragile",
            "stream": True,
            "late-worth": 0.5,
        },
        {
            "name": "z",
            "goal-time": 500,
            "deadline": 2000,
            "effect": "dedup",
            "group": "cell",
            "repeat-window": 3000,
            "aim-stretch": 1.5,
        },
    ],
    "tenants": [{"name": "t", "share": 0.5, "quota-per-s": 20}, {"name": "u"}],
    "limits": {
        "send-cap": 3,
        "most-held": 100,
        "cancel": True,
        "probing": True,
        "peers": True,
        "second-copies": True,
        "retry-after": True,
        "max-retry-after": 500,
        "streams-per-conn": 8,
        "connect-timeout": 100,
        "conn-idle": 5000,
    },
    "obligations": {
        "answer-slack": 8,
        "stop-sending-within": 500,
        "cold-from": 0.2,
        "warm-after": 9000.0,
        "fall": 1000.0,
        "overload-factor": 2.0,
        "ask-every": 700,
    },
    "prices": {
        "origin": 0.1,
        "probe": 0.01,
        "peer": 0.02,
        "cross-zone": 0.03,
        "waste": 0.04,
        "late-fail": 0.05,
    },
    "specifics": {
        "on-miss": "miss",
        "may-order": True,
        "keep-alive": 8700,
        "order-limit": 10000,
        "says-warm": True,
        "notes-peers-in-hand": True,
        "idle-price": 0.06,
        "memory-mb-by-kind": [1024, 2048],
        "loads-anyway": 5,
        "load-share": 0.5,
        "load-window": 1000,
    },
    "report": {"how": "probe", "columns": ["inflight", "x1"]},
    "weight-source": "live",
    "localities": ["room-a", "room-b"],
    "kinds": ["std", "big"],
    "a-key-of-tomorrow": 1,
}
LEAST: dict[str, object] = {
    "balancers": 1,
    "classes": [{"goal-time": 500.0, "deadline": 2000.0, "effect": "retryable"}],
    "limits": {"send-cap": 3, "most-held": 100},
    "obligations": {},
}


def frame(*records: bytes, now_ms: float = 250.0) -> bytes:
    body: bytes = b"".join(records)
    return struct.pack("<IdI", 16 + len(body), now_ms, len(records)) + body


def at(who: int) -> bytes:
    return struct.pack("<BI", 13, who)


def start(told: dict[str, object]) -> bytes:
    raw: bytes = json.dumps(told).encode()
    return struct.pack("<BQI", 1, 99, len(raw)) + raw


def table(number: int, *hosts: int) -> bytes:
    rows = b"".join(struct.pack("<IBHHBfd", h, h % 2, h % 2, h % 3, 2, 1.0, 10.0 * h) for h in hosts)
    return struct.pack("<BII", 12, number, len(hosts)) + rows


def update(number: int, scope: int = 1, version: int = 1) -> bytes:
    return struct.pack("<BBQI", 2, scope, version, number)


def arrival(tid: int, give_up: float, klass: int = 0, flags: int = 1, key: int = 77) -> bytes:
    return struct.pack("<BIfdQHffdHH", 3, tid, 2.0, give_up, key, klass, 384.0, 900.0, 12.0, 1, flags)


def ended(tid: int, host: int, verdict: int = 200, remark: int = 8 * 6 + 1, settled: int = 1) -> bytes:
    head = struct.pack("<BIIdIHHBB", 5, tid, host, 26.0, remark, 0, verdict, settled, 2)
    return head + struct.pack("<2f", 0.5, -1.0)


_EVENTS: tuple[tuple[type[object], str], ...] = (
    (EndpointUpdate, "list"),
    (RequestArrived, "request"),
    (StreamStarted, "stream began"),
    (AttemptEnded, "attempt ended"),
    (ClientDisconnected, "client gone"),
    (TimerFired, "timer"),
    (HealthCheckEnded, "probe ended"),
    (PeerMessageReceived, "peer message"),
    (PreloadEnded, "order ended"),
    (InstanceStarted, "start"),
    (InstanceKilled, "kill"),
)


def _settings_of(name: str, value: str) -> dict[str, object]:
    """The least settings with one more key, perhaps of a part."""
    top, _, key = name.partition(".")
    if top == "classes":
        return LEAST | {top: [{"goal-time": 500.0, "deadline": 2000.0, "effect": "dedup", key: value}]}
    return LEAST | {top: {key: value} if key else value}


WORDS: dict[str, tuple[str, ...]] = {
    "classes.effect": ("retryable", "dedup", "fragile"),
    "classes.group": ("all", "zone", "cell"),
    "membership-mode": ("push", "ask"),
    "specifics.on-miss": ("load", "miss"),
    "report.how": ("none", "answers", "probe"),
    "weight-source": ("none", "nominal", "rough", "live"),
}


def _batch(raw: bytes) -> Json:
    now_ms, events = Decoder().decode_batch(raw)
    told: list[Json] = [plain(now_ms)]
    for who, event in events:
        named: list[str] = [name for kind, name in _EVENTS if isinstance(event, kind)]
        told.append([who, *named, plain(event)])
    return told


def simulator_events() -> list[Sample]:
    verdicts: tuple[int, ...] = (200, 502, 429, 408, 521, 520, 444, 409, 204)
    odd = struct.pack("<BIfdQHffdHH", 3, 9, math.nan, 1.0, 77, 0, -1.0, math.inf, 12.0, 3, 0xFFF2)
    listed = [table(0, 4, 5), *(update(0, scope, 7) for scope in (1, 3, 4)), update(0, 2, 8)]
    states = struct.pack("<BII", 12, 1, 3) + b"".join(
        struct.pack("<IBHHBfd", n, 0, 1, 2, n, -1.0, math.nan) for n in range(3)
    )
    ends = [ended(n, 4, verdict, 8 * n + n % 6, n % 2) for n, verdict in enumerate(verdicts)]
    probes = [struct.pack("<BdIHB", 8, 2.5, 4, verdict, 0) for verdict in verdicts]
    batches: dict[str, tuple[bytes, ...]] = {
        "nothing": (),
        "start": (at(5), start(SETTINGS)),
        "start with least settings": (at(5), start(LEAST)),
        "lists": (at(5), *listed, states, update(1, 3, 9)),
        "requests": (at(5), arrival(9, 2250.0), arrival(10, 99.5, 1, 7), odd),
        "requests with tenants": (at(5), start(SETTINGS), arrival(9, 2250.0, 1, 2)),
        "attempts end": (at(5), *ends),
        "probes end": (at(5), *probes),
        "others": (
            at(5),
            struct.pack("<BIHId", 4, 9, 1, 4, 2.5),
            struct.pack("<BI", 6, 9),
            struct.pack("<BI", 7, 77),
            struct.pack("<BIH", 9, 2, 2) + b"hi",
            struct.pack("<BBIQHd", 11, 2, 4, 77, 429, 5.0),
            at(6),
            struct.pack("<B", 10),
        ),
    }
    for name, values in WORDS.items():
        for value in values:
            batches[f"{name} {value}"] = (at(5), start(_settings_of(name, value)))
    return [Sample(name, frame(*records), _batch) for name, records in batches.items()]


def simulator_actions() -> list[Sample]:
    actions: dict[str, Action] = {
        "send": StartAttempt(9, 4, 80.0),
        "send without patience": StartAttempt(9, 4),
        "refuse": RejectRequest(9, 50.0, "told in words"),
        "refuse without time": RejectRequest(9),
        "fail": FailRequest(9),
        "cancel": CancelAttempt(9, 1),
        "order": PreloadFunction(4, FUNCTION, 3),
        "unload": UnloadFunction(4, FUNCTION),
        "probe": CheckHealth(4),
        "tell all": SendToPeer(b"hi"),
        "tell one": SendToPeer(b"hi", 2),
        "subscribe": SubscribeEndpoints(),
        "subscribe no more": SubscribeEndpoints(False),
        "fetch": FetchEndpoints(),
        "close idle": CloseIdleConnections(4),
        "timer": SetTimer(8400.25, 77),
        "log": LogMessage("\u00e9 ok"),
    }
    made = [Sample(name, encode_action(one)) for name, one in actions.items()]
    made.append(Sample("instance", encode_instance(5)))
    made.append(Sample("broken", encode_failure("IndexError: x")))
    made.append(Sample("reply", encode_reply([encode_instance(5), b"\x49"])))
    return made


def simulator_exchange() -> list[Sample]:
    """Frames to one process with two instances, and its replies, in order."""
    host = simulator_host.SimulatorHost()
    frames: list[bytes] = []
    for who in (0, 1):
        told = SETTINGS | {"ordinal": who, "balancers": 2, "membership-mode": "push"}
        begin = (at(who), start(told), table(who, 4, 5, 6), update(who))
        frames.append(frame(*begin, now_ms=0.0))
    for step in range(30):
        now_ms: float = 10.0 + 100.0 * step
        request = arrival(step + 1, now_ms + 2000.0, step % 4, key=77 + step % 3)
        frames.append(frame(at(step % 2), request, now_ms=now_ms))
        due = [struct.pack("<BI", 7, token) for token in (2**32 - 1, step)]
        note: int = 8 * (step % 5) + step % 4
        frames.append(
            frame(at(step % 2), ended(step + 1, 4 + step % 3, 200, note), *due, now_ms=now_ms + 50.0)
        )
    samples: list[Sample] = []
    for number, raw in enumerate(frames):
        reply: bytes = host.handle_frame(raw)
        samples += [Sample(f"{number} in", raw), Sample(f"{number} out", reply)]
    return samples


# The invoke API.


def _head_reads(raw: bytes) -> Json:
    head = http.parse_head(memoryview(raw), 1000)
    if isinstance(head, http.IncompleteHead):
        return "short"
    if isinstance(head, http.InvalidRequest):
        return [head.status, head.reason]
    own = (head.method, head.target, head.headers, head.content_length, head.head_bytes, head.keep_alive)
    return plain((*own, head.preferences()))


def _wanted_reads(raw: bytes) -> Json:
    head = http.parse_head(memoryview(raw), 1000)
    if not isinstance(head, http.RequestHead):
        raise ValueError("no head")
    some: RouterSettings = some_settings()
    current: dict[str, int] = {klass.name: number for number, klass in enumerate(some.classes)}
    wanted = parse_call_request(some, current, head, raw[head.head_bytes :])
    if isinstance(wanted, http.Response):
        return wanted.encode(keep_alive=True).decode("latin-1")
    own = (
        wanted.class_index,
        wanted.function_hex,
        wanted.idempotency_key,
        wanted.body,
        wanted.timeout_ms,
        wanted.concurrency,
        wanted.memory_mb,
    )
    return [plain(own), plain(wanted.fingerprint())]


def invoke_api() -> list[Sample]:
    path: str = "/v1/functions/7f3a9c21e0b4d655/"

    def asked(target: str, *fields: str, body: str = "in") -> bytes:
        lines: list[str] = [f"POST {target} HTTP/1.1", "Host: r", *fields, f"Content-Length: {len(body)}"]
        return ("\r\n".join(lines) + "\r\n\r\n" + body).encode("latin-1")

    figures: tuple[str, ...] = ("Call-Timeout-Ms: 700", "Call-Lanes: 2", "Call-Memory-Mb: 512")
    wanted: dict[str, bytes] = {
        "call": asked(path + "a"),
        "keyed call": asked(path + "c", 'Idempotency-Key: "k1"', *figures),
        "no such class": asked(path + "nosuch"),
        "bad key": asked(path + "c", "Idempotency-Key: a b"),
        "no key": asked(path + "c"),
        "bad limit": asked(path + "a", "Call-Timeout-Ms: -1"),
        "bad figure": asked(path + "a", "Call-Lanes: two"),
    }
    heads: dict[str, bytes] = {
        "deferred": asked(path + "a", "Prefer: respond-async, wait=10", "X: a", "X: b"),
        "old version": b"GET /v1/ready HTTP/1.0\r\n\r\n",
        "closing": b"GET /v1/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n",
        "not whole": b"GET /v1/ready HTTP/1.1\r\nHost",
        "malformed line": b"GET\r\n\r\n",
        "malformed version": b"GET / HTTQ/1\r\n\r\n",
        "other version": b"GET / HTTP/2.0\r\n\r\n",
        "no host": b"GET / HTTP/1.1\r\n\r\n",
        "malformed field": b"GET / HTTP/1.1\r\nHost : r\r\n\r\n",
        "expectation": b"GET / HTTP/1.1\r\nHost: r\r\nExpect: x\r\n\r\n",
        "chunked": b"POST / HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n",
        "malformed length": b"POST / HTTP/1.1\r\nHost: r\r\nContent-Length: x\r\n\r\n",
        "too large": b"POST / HTTP/1.1\r\nHost: r\r\nContent-Length: 1001\r\n\r\n",
    }
    answers: dict[str, calls.CallResult] = {
        "served": calls.CallSucceeded(b"body"),
        "refused": calls.CallRejected(250.4),
        "refused in time": calls.CallRejected(1500.0, True, "frozen"),
        "refused without time": calls.CallRejected(None),
        "failed": calls.CallFailed(),
        "failed late": calls.CallFailed(True),
    }
    samples = [Sample(f"request {name}", raw, _wanted_reads) for name, raw in wanted.items()]
    samples += [Sample(f"head {name}", raw, _head_reads) for name, raw in heads.items()]
    for name, one in answers.items():
        samples.append(Sample(f"answer {name}", render_answer(one).encode(keep_alive=True)))
    for status in sorted(http.REASON_PHRASES):
        packed: bytes = http.problem_response(status, "why", {"Retry-After": "1"}, repeat="harmless").encode(
            keep_alive=status % 2 == 0
        )
        samples.append(Sample(f"problem {status}", packed))
    samples.append(text("key at the worker", worker_idempotency_key("spiffe://a/b", "k1")))
    return samples


# The fronts on loopback; what differs from run to run is masked by name.

_NAMED = re.compile(rb"/v1/calls/[A-Za-z0-9_-]+")
INVOKE_FILE = """[invoke]
listen = "127.0.0.1:0"
trust_domain = "gaz.example"
svid = "svid.pem"
key = "svid.key"
bundle = "bundle.pem"
allow = ["spiffe://gaz.example/desk/*"]
"""


async def _response(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(10):
        head: bytes = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"Content-Length: ([0-9]+)", head)
        return head + (await reader.readexactly(int(length[1])) if length is not None else b"")


async def _invoke_front(folder: Path) -> list[Sample]:
    made = Authority(folder)
    made.svid("svid", "spiffe://gaz.example/router")
    (folder / "invoke.toml").write_text(INVOKE_FILE)
    path: str = "/v1/functions/7f3a9c21e0b4d655/"
    collected: str = ""
    samples: list[Sample] = []
    asked: tuple[tuple[str, str, str, dict[str, str]], ...] = (
        ("ready", "GET", "/v1/ready", {}),
        ("call", "POST", path + "check", {}),
        ("deferred call", "POST", path + "confirm", {"Prefer": "respond-async", "Idempotency-Key": "k"}),
        ("collected", "GET", "", {"Prefer": "wait=5"}),
        ("key of another call", "POST", path + "check", {"Prefer": "respond-async", "Idempotency-Key": "k"}),
        ("forgotten", "DELETE", "", {}),
        ("no such call", "GET", "", {}),
        ("no such method", "PUT", path + "check", {}),
        ("no such method of a call", "POST", "/v1/calls/x", {}),
        ("nothing there", "GET", "/", {}),
        ("expectation", "GET", "/v1/ready", {"Expect": "other"}),
    )
    async with service(ScriptedWorker(), invoke=read_invoke_config(made)) as running:
        async with Caller(running, made.caller(DESK_ID)) as desk:
            for name, method, target, fields in asked:
                desk.send(method, target or collected, b"body", **fields)
                reply: bytes = await _response(desk.reader)
                if (found := _NAMED.search(reply)) is not None:
                    collected = found[0].decode()
                samples.append(Sample(f"invoke {name}", _NAMED.sub(b"/v1/calls/MASKED", reply)))
        async with Caller(running, made.caller("spiffe://gaz.example/other")) as other:
            other.send("GET", "/v1/ready")
            samples.append(Sample("invoke not let in", await _response(other.reader)))
        async with Caller(running, made.caller(DESK_ID)) as desk:
            if running.invoke is not None:
                running.invoke.is_ready = False
            desk.send("GET", "/v1/ready")
            samples.append(Sample("invoke draining", await _response(desk.reader)))
    return samples


async def _control_front(folder: Path) -> list[Sample]:
    """Replies to operators; of ``INFO`` the names alone, since figures vary."""
    samples: list[Sample] = []
    file = folder / "fleet.toml"
    file.write_bytes(FLEET)
    (folder / "kept").mkdir()
    runner = ScriptedWorker()
    await runner.start()
    known = ((1, (endpoint_record(runner, 1),)),)
    settings: RouterSettings = settings_from_object(STANDIN_SETTINGS)
    told = Config("n0", "127.0.0.1", 0, 7, 1024, 192 * 2**20, None, settings, known, ("127.0.0.1", 0))
    for name, running in (
        ("alone", Service(told)),
        ("with a fleet", Service(told, None, None, file, str(folder / "kept"))),
    ):
        await running.start()
        for line in (b"PING\n", b"OTHER\n", b"INFO\n"):
            reply: list[str] = await ask_control(running, line)
            names: str = "\n".join(one.partition("=")[0] for one in reply) + "\n"
            samples.append(Sample(f"{name}: {line.decode().strip()}", names.encode()))
        running.platform.stop_listening()
        running.control.stop_listening()
        if running.event_loop_store is not None:
            running.event_loop_store.close()
        for pool in running.workers.pools.values():
            for connection in list(pool.connections):
                connection.abort()
    runner.stop()
    await asyncio.sleep(0)
    return samples


class RawRunner:
    """A runner that keeps each line as it came, and answers by what the line holds."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.ended = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            self.lines.append(line)
            told: dict[str, Json] = json.loads(line)
            body: Json = told.get("body")
            if told["op"] == "LOAD":
                answer: dict[str, Json] = {"op": "HIT", "fields": {"pods": 2}}
            elif told["op"] == "CALL" and body != base64.b64encode(b"hold").decode():
                fault = body == base64.b64encode(b"lost").decode()
                answer = (
                    {"op": "FAULT"} if fault else {"op": "HIT", "fields": {"remark": "hit"}, "body": body}
                )
            else:
                continue
            writer.write(json.dumps(answer | {"id": told["id"]}).encode() + b"\n")
        writer.close()
        self.ended.set()

    async def until(self, count: int) -> None:
        async with asyncio.timeout(10):
            while len(self.lines) < count:
                await asyncio.sleep(0.005)


async def _message(reader: asyncio.StreamReader) -> bytes:
    """The bytes of the next message of the platform."""
    raw: bytes = b""
    async with asyncio.timeout(10):
        while not isinstance(msgpack.parse(memoryview(raw)), msgpack.ParsedValue):
            raw += await reader.readexactly(1)
    return raw


async def _call_fronts() -> list[Sample]:
    """A client's messages through a whole router: its answers, and the lines that a runner is sent."""
    runner = RawRunner()
    server = await asyncio.start_server(runner.serve, "127.0.0.1", 0)
    port: int = server.sockets[0].getsockname()[1]
    here = EndpointRecord("s-00000001", "127.0.0.1", port, "room-a", "std", 0, EndpointState.READY, 1.0, 0.0)
    settings: RouterSettings = settings_from_object(STANDIN_SETTINGS)
    known = ((1, (here,)),)
    running = Service(
        Config("n0", "127.0.0.1", 0, 7, 1024, 192 * 2**20, None, settings, known, ("127.0.0.1", 0))
    )
    await running.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
    own: dict[str, str] = {"limit": "3000", "item": "7f3a9c21e0b4d655"}
    asked: tuple[tuple[str, str, bytes, dict[str, str]], ...] = (
        ("call", "check", b"body", {}),
        ("keyed call", "revise", b"", {"unique": "5c0f", "props": "lanes:2;memory_mb:512"}),
        ("call that fails", "confirm", b"lost", {}),
        ("keyed call without key", "revise", b"", {}),
        ("no such class", "nosuch", b"", {}),
    )
    samples: list[Sample] = []
    writer.write(client_side.pack_health_check())
    samples.append(Sample("platform health", await _message(reader)))
    for number, (name, klass, body, fields) in enumerate(asked, 1):
        writer.write(client_side.pack_call(number, klass, body, own | {"txn": f"{number:016x}"} | fields))
        samples.append(Sample(f"platform {name}", await _message(reader)))
    # A call that may not run twice, with time for far longer than is waited here: only the client ends it.
    held_back: dict[str, str] = own | {"txn": f"{9:016x}", "limit": "100000"}
    writer.write(client_side.pack_call(9, "confirm", b"hold", held_back))
    await runner.until(4)
    writer.write(b"\x93\x02\xa9interrupt\x91\x09")
    await runner.until(5)
    running.workers.preload(1, FUNCTION, 2)
    await runner.until(6)
    running.workers.unload(1, FUNCTION)
    await runner.until(7)
    for place, line in enumerate(runner.lines):
        masked: bytes = re.sub(rb'"max":[0-9]+', b'"max":0', line)
        samples.append(Sample(f"runner line {place}", masked))
    writer.transport.abort()
    running.platform.stop_listening()
    running.control.stop_listening()
    for pool in running.workers.pools.values():
        for connection in list(pool.connections):
            connection.abort()
    server.close()
    async with asyncio.timeout(10):
        await runner.ended.wait()
    return samples


def fronts() -> list[Sample]:
    async def both(folder: Path) -> list[Sample]:
        return await _invoke_front(folder) + await _control_front(folder) + await _call_fronts()

    with tempfile.TemporaryDirectory() as name:
        return asyncio.run(both(Path(name)))


# Files that operators and the platform write.

PLATFORM_FILE: dict[str, object] = {
    "listen": "127.0.0.1:5050",
    "name": "n3",
    "seed": "ff07",
    "limits": {"sockets": 512, "memory_mb": 96},
    "dns": "127.0.0.1:5353",
    "control": "127.0.0.1:5051",
    "peer_listen": "[::1]:5052",
    "peers": ["127.0.0.1:5052", "127.0.0.1:5054"],
    "peers_all": "127.0.0.1:5053",
    "known": {
        "events": [
            {
                "n": 4,
                "members": {
                    "endpoints": [
                        {
                            "name": f"s-0000000{place}",
                            "address": f"127.0.0.1:900{place}",
                            "zone": "room-a",
                            "type": "std",
                            "group": place,
                            "status": status,
                            "weight": 0.5,
                            "since_ms": 1200,
                        }
                        for place, status in enumerate(("ready", "draining", "gone"))
                    ]
                },
            }
        ]
    },
}


def _platform_file_reads(raw: bytes) -> Json:
    found: Config = read_config(raw, {})
    news: list[Json] = []
    roster = EndpointList(found.settings)
    for number, told in found.initial_endpoints:
        news.append(plain(roster.apply_update(number, list(told), is_snapshot=True)))
    return [plain(found), news]


def _fleet_file_reads(raw: bytes) -> Json:
    return plain(fleet_config.parse_fleet_config(raw))


def _invoke_file_reads(raw: bytes) -> Json:
    found: InvokeConfig = parse_invoke(raw, Path("folder/invoke.toml"))
    paths: list[Json] = [
        path.as_posix() for path in (found.path, found.svid_path, found.key_path, found.bundle_path)
    ]
    return [
        *paths,
        plain((found.host, found.port, found.trust_domain, found.allowed_patterns, found.max_connections)),
    ]


def files() -> list[Sample]:
    sharing = FLEET.replace(b"clock-error", b"fresh = 9000\nclock-rate = 0.002\nclock-error")
    whole = sharing.replace(b'sync = "each"', b'sync = "none"\ngroup = 7.5')
    platform_file: bytes = json.dumps(PLATFORM_FILE | {"settings": SETTINGS}).encode()
    least: bytes = json.dumps({"listen": "127.0.0.1:0", "settings": LEAST}).encode()
    return [
        Sample("platform", platform_file, _platform_file_reads),
        Sample("platform with least", least, _platform_file_reads),
        Sample("fleet", whole, _fleet_file_reads),
        Sample("fleet with nothing", b"", _fleet_file_reads),
        Sample("invoke", INVOKE_FILE.encode(), _invoke_file_reads),
        Sample("invoke with all", INVOKE_FILE.encode() + b"connections = 9\n", _invoke_file_reads),
    ]


# The store.


def grants_image() -> bytes:
    """What the grants of a router of one have written of a count."""
    made = Escrow(0, 1, 9, 9, clock_rate=0.001, has_memory=True, is_durable=True)
    made.open_pool("freeze/fair", 40, is_consumable=True, ends_at_ms=None)
    made.request(0.0, "freeze/fair", 3)
    image: bytes | None = made.image_to_write(0.0)
    if image is None:
        raise ValueError("nothing to write")
    return image


def _later_grants(image: bytes) -> Escrow:
    made = Escrow(0, 1, 10, 10, clock_rate=0.001, has_memory=True, is_durable=True)
    if not made.restore(image):
        raise ValueError("not read")
    return made


def grants_again(image: bytes) -> bytes:
    """The image as a later life holds it, before it uses anything."""
    return _later_grants(image).snapshot()


def grants_reads(image: bytes) -> Json:
    """What a later life may use of it: at once, and once the disk has more as gone."""
    made = _later_grants(image)
    made.open_pool("freeze/fair", 40, is_consumable=True, ends_at_ms=None)
    before: int = made.available(0.0, "freeze/fair")
    made.request(0.0, "freeze/fair", 3)
    written: bytes = made.image_to_write(0.0) or b""
    made.mark_written(0.0)
    return [before, written.hex(), made.available(0.0, "freeze/fair")]


def _recovery(now_ms: float) -> RecoveryComponent:
    made = RecoveryComponent(some_settings(router_count=1), 5, now_ms)
    ready = tuple(worker(n, started=100.0 * n) for n in range(1, 4))
    made.on_notification(now_ms, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 1, ready))
    made.on_notification(now_ms, WallClockRead(WALL + now_ms))
    return made


def warm_image() -> bytes:
    """What stands warm, as a router keeps it."""
    made = _recovery(0.0)
    for number in range(5):
        made.warm_state.record_local(100.0 * number, 1 + number % 3, FUNCTION + number, number != 3)
    image: bytes | None = made.snapshot(900.0)
    if image is None:
        raise ValueError("no wall clock")
    return image


KINDS: tuple[PacedAction, ...] = (
    PacedAction.LOAD,
    PacedAction.CONNECT,
    PacedAction.DISCOVERY_QUERY,
    PacedAction.PEER_QUERY,
    PacedAction.RELEASE,
)


def usual_image() -> bytes:
    """What stands warm, of a router that has been in service for long enough to know what is usual."""
    made = _recovery(0.0)
    made.pacer.enter_service(0.0)
    for number, kind in enumerate(KINDS):
        for step in range(number + 1):
            made.pacer.record_unpaced(1000.0 * step, kind)
    made.warm_state.record_local(29_000.0, 2, FUNCTION, True)
    image: bytes | None = made.snapshot(30_000.0)
    if image is None:
        raise ValueError("no wall clock")
    return image


def usual_reads(image: bytes) -> Json:
    """The rates that a later life takes for usual, kind by kind."""
    made = _recovery(31_000.0)
    count: int = made.restore(31_000.0, image)
    return [count, *(plain(made.pacer.baseline.per_second(kind)) for kind in KINDS)]


def warm_reads(image: bytes) -> Json:
    """What a later life reads of it: how many count, and which."""
    made = _recovery(2000.0)
    count: int = made.restore(2000.0, image)
    return [
        count,
        plain(made.warm_state.digest(2000.0)),
        plain(made.warm_fraction.remembered_baseline),
        plain(msgspec.msgpack.decode(image)),
    ]


def store_values() -> dict[str, bytes]:
    """Key and value of all that a router keeps."""
    values: dict[str, bytes] = dict(recovered_image.encode_entry(entry) for entry in declared_entries())
    key, value = recovered_image.encode_incarnation(recovered_image.RouterIncarnation(2, 2**64 - 1, 7, True))
    return values | {key: value, "warm": warm_image(), "grants": grants_image()}


def values_again(values: dict[str, bytes]) -> dict[str, bytes]:
    """Read, and written again."""
    kept: recovered_image.RecoveredImage = recovered_image.decode_image(values)
    if kept.rejected_count or kept.incarnation is None or kept.warm_state is None or kept.escrow is None:
        raise ValueError(f"{kept.rejected_count} left out")
    key, value = recovered_image.encode_incarnation(kept.incarnation)
    written: dict[str, bytes] = dict(recovered_image.encode_entry(entry) for entry in kept.entries)
    return written | {key: value, "warm": kept.warm_state, "grants": kept.escrow}


def stored_values() -> list[Sample]:
    reads: dict[str, Reads] = {"warm": warm_reads, "grants": grants_reads}
    again: dict[str, Again] = {"grants": grants_again}

    def same(key: str) -> Again:
        return lambda raw: values_again(store_values() | {key: raw})[key]

    samples = [
        Sample(key, value, reads.get(key), again.get(key, same(key)))
        for key, value in sorted(store_values().items())
    ]
    return [*samples, Sample("warm with usual rates", usual_image(), usual_reads)]


@dataclass(frozen=True)
class Mode:
    """How a folder is written, and how it is left: closed, as of a killed process, or in mid-commit."""

    sync: SyncMode
    left: Literal["closed", "open", "torn"] = "closed"


MODES: dict[str, Mode] = {
    "each": Mode("each"),
    "group": Mode("group"),
    "none": Mode("none"),
    "each, left open": Mode("each", "open"),
    "group, torn": Mode("group", "torn"),
}


def _files(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


def _torn(folder: Path) -> dict[str, bytes]:
    """The files as a power cut leaves them in mid-commit: the journal has what is to be played back."""
    connection = sqlite3.connect(folder / "state-1.db", isolation_level=None)
    try:
        connection.execute("PRAGMA journal_mode=PERSIST")
        connection.execute("PRAGMA cache_size=1")
        connection.execute("BEGIN IMMEDIATE")
        connection.execute("UPDATE rows SET value = x'00'")
        connection.execute("CREATE TABLE more(value BLOB)")
        for _ in range(50):  # so much that the changed rows leave the cache for the file
            connection.execute("INSERT INTO more VALUES(?)", (b"x" * 3000,))
        return _files(folder)
    finally:
        connection.execute("ROLLBACK")
        connection.close()


def write_folder(folder: Path, mode: Mode) -> dict[str, bytes]:
    """A store with all that a router keeps, some of it written twice and some dropped; its files' bytes."""
    store = SqliteBackend(folder, mode.sync)
    store.open()
    values: list[tuple[str, bytes]] = sorted(store_values().items())
    puts: list[list[tuple[str, bytes | None]]] = [
        [("warm", b"earlier"), ("entry/contract/gone", b"x" * 5000)],
        [(key, value) for key, value in values],
        [("entry/contract/gone", None)],
    ]
    for some in puts:
        if store.commit(some) is not None:
            raise OSError("not written")
    if mode.left == "open":
        files: dict[str, bytes] = _files(folder)
        store.close()
        return files
    store.close()
    return _torn(folder) if mode.left == "torn" else _files(folder)


def read_folder(folder: Path, sync: SyncMode) -> tuple[dict[str, bytes], int, bool]:
    """Values, generation, and whether nothing was wrong."""
    store = SqliteBackend(folder, sync)
    loaded: LoadResult = store.open()
    store.close()
    return dict(loaded.values), loaded.generation, loaded.fault is None


def folders() -> dict[str, Json]:
    """The store's folder by mode: its files in base64, and what it holds."""
    made: dict[str, Json] = {}
    for name, mode in MODES.items():
        with tempfile.TemporaryDirectory() as folder:
            files = write_folder(Path(folder), mode)
            values, generation, whole = read_folder(Path(folder), mode.sync)
        made[name] = {
            "files": {file: base64.b64encode(raw).decode() for file, raw in files.items()},
            "values": {key: value.hex() for key, value in sorted(values.items())},
            "generation": generation,
            "whole": whole,
        }
    return made


BUILDERS: dict[str, Callable[[], list[Sample]]] = {
    "gossip": gossip,
    "membership": membership,
    "register": register,
    "register-entries": register_entries,
    "grants": grants,
    "recovery": recovery,
    "pressure": pressure,
    "fleet": fleet,
    "stored-values": stored_values,
    "runner-lines": runner_lines,
    "platform": platform_wire,
    "discovery": discovery,
    "simulator-events": simulator_events,
    "simulator-actions": simulator_actions,
    "simulator-host": simulator_exchange,
    "invoke": invoke_api,
    "fronts": fronts,
    "files": files,
}
FOLDERS = "store-folders"


def shown(sample: Sample) -> dict[str, Json]:
    """A sample as its file has it: text that is plain as text, else hex."""
    told: dict[str, Json] = {}
    if sample.data.isascii() and all(byte >= 32 or byte in b"\r\n" for byte in sample.data):
        told["text"] = sample.data.decode("ascii")
    else:
        told["hex"] = sample.data.hex()
    if sample.reads is not None:
        told["read"] = sample.reads(sample.data)
    return told


def kept(told: dict[str, Json]) -> bytes:
    """The bytes of a sample in a file."""
    written, raw = told.get("text"), told.get("hex")
    if isinstance(written, str):
        return written.encode("ascii")
    if isinstance(raw, str):
        return bytes.fromhex(raw)
    raise ValueError("neither text nor hex")


def dump(content: dict[str, Json]) -> str:
    """The text of a file."""
    return json.dumps(content, indent=1) + "\n"


def file_text(name: str) -> str:
    """The whole text of one file, made now."""
    samples: list[Sample] = BUILDERS[name]()
    if len({sample.name for sample in samples}) < len(samples):
        raise ValueError(f"{name}: a name is there twice")
    return dump({sample.name: shown(sample) for sample in samples})


def main(arguments: Sequence[str]) -> int:
    """Write the files; none that is there is written over without ``--force``."""
    parser = argparse.ArgumentParser(prog="tests.golden_samples")
    parser.add_argument("--write", action="store_true", required=True)
    parser.add_argument("--force", action="store_true")
    told: argparse.Namespace = parser.parse_args(arguments)
    force: bool = told.force
    there: list[str] = [n for n in (*BUILDERS, FOLDERS) if (FOLDER / f"{n}.json").exists()]
    if there and not force:
        print(f"there already, not written over without --force: {', '.join(there)}", file=sys.stderr)
        return 1
    FOLDER.mkdir(exist_ok=True)
    for name in BUILDERS:
        (FOLDER / f"{name}.json").write_text(file_text(name))
    (FOLDER / f"{FOLDERS}.json").write_text(dump(folders()))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
